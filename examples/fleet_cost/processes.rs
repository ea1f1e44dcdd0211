//! Processes of a fleet, their configs and their resource usage.

use std::error::Error;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::{cost_summary, servers};

const CONTROL_COUNT: usize = 5;
const SERVER_COUNT: usize = 3;

/// Time limit for the fleet to form, and for reading one response.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Resource usage of one process since its start.
pub(crate) struct ProcessSample {
    pub(crate) role: &'static str,
    pub(crate) context_switches: u64,
    pub(crate) link_bytes: u64,
    pub(crate) resident_bytes: f64,
    cpu_ns: u64,
}

impl ProcessSample {
    /// CPU time in milliseconds.
    pub(crate) fn cpu_ms(&self) -> f64 {
        self.cpu_ns as f64 / 1e6
    }
}

struct FleetProcess {
    role: &'static str,
    child: Child,
    metrics_address: SocketAddr,
    /// Operator address of a control process, or traffic address of an entry.
    address: SocketAddr,
}

/// Running fleet; its processes are killed on drop.
pub(crate) struct Fleet {
    folder: PathBuf,
    processes: Vec<FleetProcess>,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Fleet {
    pub(crate) fn start(binary: &Path, entries: usize) -> Result<Self, Box<dyn Error>> {
        let folder =
            std::env::temp_dir().join(format!("fleet-cost-{}-{entries}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self { folder, processes: Vec::new() };
        let mut link_addresses = Vec::new();
        for _ in 0..CONTROL_COUNT {
            link_addresses.push(free_address()?);
        }
        let seeds = serde_json::json!(link_addresses[..3]).to_string();
        for link in link_addresses {
            let (operator, data_folder) =
                (free_address()?, fleet.folder.join(link.port().to_string()));
            let role_config = format!(
                r#""control":{{"operator":"{operator}","link":"{link}","data_folder":{data_folder:?},
                "form":true,"survivable_losses":2,"heartbeat":"60s"}}"#
            );
            fleet.spawn(binary, "control", operator, &seeds, &role_config)?;
        }
        for _ in 0..entries {
            let (traffic, readiness) = (free_address()?, free_address()?);
            let role_config = format!(
                r#""entry":{{"traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,
                "retry_slack":50,"retry_window":"10s"}}"#
            );
            fleet.spawn(binary, "entry", traffic, &seeds, &role_config)?;
        }
        fleet.put_document_and_servers()?;
        Ok(fleet)
    }

    fn spawn(
        &mut self,
        binary: &Path,
        role: &'static str,
        address: SocketAddr,
        seeds: &str,
        role_config: &str,
    ) -> Result<(), Box<dyn Error>> {
        let metrics_address = free_address()?;
        let config = format!(
            r#"{{"name":"{role}","availability_zone":"a","seeds":{seeds},"grace":"1s",
            "metrics":"{metrics_address}",{role_config}}}"#
        );
        let config_path = self.folder.join(format!("{}.jsonc", address.port()));
        fs::write(&config_path, config)?;
        let mut command = Command::new(binary);
        command.arg("fleet").arg("--config").arg(&config_path).stdout(Stdio::null());
        self.processes.push(FleetProcess {
            role,
            child: command.spawn()?,
            metrics_address,
            address,
        });
        Ok(())
    }

    /// Puts a document with one route and announces its servers.
    fn put_document_and_servers(&self) -> Result<(), Box<dyn Error>> {
        let document = serde_json::json!({
            "version": 1,
            "services": { "rounds": { "health_path": "/health", "max_connections": 1000 } },
            "routes": [{
                "name": "read", "host": "shop", "prefix": "/read/", "idempotent": true,
                "timeout_ms": 2000, "target_latency_ms": 1500, "max_attempts": 2,
                "targets": [["rounds", 1.0]],
            }],
        });
        self.put("/.curranthollow/document", &document.to_string())?;
        for number in 0..SERVER_COUNT {
            let announcement = serde_json::json!({
                "service": "rounds", "address": servers::start()?, "availability_zone": "a",
                "slots": 64, "draining": false, "started": 1, "sequence": 1,
            });
            self.put(&format!("/.curranthollow/servers/s{number}"), &announcement.to_string())?;
        }
        Ok(())
    }

    fn put(&self, path: &str, body: &str) -> Result<(), Box<dyn Error>> {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            let response =
                send_request(self.processes[0].address, "PUT", path, body).unwrap_or_default();
            if response.starts_with("HTTP/1.1 200") {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("fleet did not accept a PUT request in time".into())
    }

    /// Returns the traffic addresses of the entries.
    pub(crate) fn traffic_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.processes.iter().filter(|process| process.role == "entry");
        entries.map(|process| process.address).collect()
    }

    pub(crate) fn sample(&mut self) -> Result<Vec<ProcessSample>, Box<dyn Error>> {
        self.processes.iter().map(sample_process).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn sample_process(process: &FleetProcess) -> Result<ProcessSample, Box<dyn Error>> {
    let (mut cpu_ns, mut context_switches) = (0, 0);
    for task in fs::read_dir(format!("/proc/{}/task", process.child.id()))? {
        let task_path = task?.path();
        let schedstat = fs::read_to_string(task_path.join("schedstat"))?;
        cpu_ns += schedstat.split_whitespace().next().unwrap_or("0").parse::<u64>()?;
        let status = fs::read_to_string(task_path.join("status"))?;
        for line in status.lines().filter(|line| line.contains("ctxt_switches")) {
            context_switches += line.split_whitespace().nth(1).unwrap_or("0").parse::<u64>()?;
        }
    }
    // Rendering the metrics costs a little CPU time, which the next sample of the process includes.
    let metrics = send_request(process.metrics_address, "GET", "/metrics", "")?;
    let mut link_bytes = 0;
    for line in
        metrics.lines().filter(|line| line.contains("_link_bytes_") && !line.starts_with('#'))
    {
        link_bytes += line.split_whitespace().nth(1).unwrap_or("0").parse::<u64>()?;
    }
    let resident_bytes = cost_summary::resident_bytes(&process.child.id().to_string());
    Ok(ProcessSample { role: process.role, context_switches, link_bytes, resident_bytes, cpu_ns })
}

fn send_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
