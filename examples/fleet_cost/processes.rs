//! Processes of a fleet with their configs, and what they used.

use std::error::Error;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::{cost_summary, servers};

const MEMBERS: usize = 5;
const SERVERS: usize = 3;

/// Time for the fleet to form.
const PATIENCE: Duration = Duration::from_secs(20);

/// What one process used since its start.
pub(crate) struct ProcessSample {
    pub(crate) role: &'static str,
    pub(crate) switches: u64,
    pub(crate) link_bytes: u64,
    /// Resident memory in bytes.
    pub(crate) resident: f64,
    cpu_ns: u64,
}

impl ProcessSample {
    /// Processor time in milliseconds.
    pub(crate) fn cpu_ms(&self) -> f64 {
        self.cpu_ns as f64 / 1e6
    }
}

struct FleetProcess {
    role: &'static str,
    child: Child,
    metrics: SocketAddr,
    /// Operator address of a member, traffic address of an entry.
    address: SocketAddr,
}

/// Running fleet; its processes are killed when it is dropped.
pub(crate) struct FleetGroup {
    folder: PathBuf,
    processes: Vec<FleetProcess>,
}

fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl FleetGroup {
    pub(crate) fn start(binary: &Path, entries: usize) -> Result<Self, Box<dyn Error>> {
        let folder =
            std::env::temp_dir().join(format!("fleet-cost-{}-{entries}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut group = Self { folder, processes: Vec::new() };
        let mut links = Vec::new();
        for _ in 0..MEMBERS {
            links.push(free_address()?);
        }
        let seeds = serde_json::json!(links[..3]).to_string();
        for link in links {
            let (operator, data) = (free_address()?, group.folder.join(link.port().to_string()));
            let part = format!(
                r#""control":{{"operator":"{operator}","link":"{link}","data_folder":{data:?},
                "form":true,"survivable_losses":2,"heartbeat":"60s"}}"#
            );
            group.spawn(binary, "control", operator, &seeds, &part)?;
        }
        for _ in 0..entries {
            let (traffic, readiness) = (free_address()?, free_address()?);
            let part = format!(
                r#""entry":{{"traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,
                "retry_slack":50,"retry_window":"10s"}}"#
            );
            group.spawn(binary, "entry", traffic, &seeds, &part)?;
        }
        group.put_state()?;
        Ok(group)
    }

    fn spawn(
        &mut self,
        binary: &Path,
        role: &'static str,
        address: SocketAddr,
        seeds: &str,
        part: &str,
    ) -> Result<(), Box<dyn Error>> {
        let metrics = free_address()?;
        let text = format!(
            r#"{{"name":"{role}","availability_zone":"a","seeds":{seeds},"grace":"1s",
            "metrics":"{metrics}",{part}}}"#
        );
        let config = self.folder.join(format!("{}.jsonc", address.port()));
        fs::write(&config, text)?;
        let mut command = Command::new(binary);
        command.arg("fleet").arg("--config").arg(&config).stdout(Stdio::null());
        self.processes.push(FleetProcess { role, child: command.spawn()?, metrics, address });
        Ok(())
    }

    /// Announces servers and puts a document with one route.
    fn put_state(&self) -> Result<(), Box<dyn Error>> {
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
        for number in 0..SERVERS {
            let said = serde_json::json!({
                "service": "rounds", "address": servers::start()?, "availability_zone": "a",
                "slots": 64, "draining": false, "started": 1, "sequence": 1,
            });
            self.put(&format!("/.curranthollow/servers/s{number}"), &said.to_string())?;
        }
        Ok(())
    }

    fn put(&self, path: &str, body: &str) -> Result<(), Box<dyn Error>> {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let answer = call(self.processes[0].address, "PUT", path, body).unwrap_or_default();
            if answer.starts_with("HTTP/1.1 200") {
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("the fleet accepts nothing".into())
    }

    /// Traffic addresses of the entries.
    pub(crate) fn traffic(&self) -> Vec<SocketAddr> {
        let entries = self.processes.iter().filter(|process| process.role == "entry");
        entries.map(|process| process.address).collect()
    }

    pub(crate) fn sample(&mut self) -> Result<Vec<ProcessSample>, Box<dyn Error>> {
        self.processes.iter().map(sample).collect()
    }
}

impl Drop for FleetGroup {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn sample(process: &FleetProcess) -> Result<ProcessSample, Box<dyn Error>> {
    let (mut cpu_ns, mut switches) = (0, 0);
    for task in fs::read_dir(format!("/proc/{}/task", process.child.id()))? {
        let task = task?.path();
        let times = fs::read_to_string(task.join("schedstat"))?;
        cpu_ns += times.split_whitespace().next().unwrap_or("0").parse::<u64>()?;
        let status = fs::read_to_string(task.join("status"))?;
        for line in status.lines().filter(|line| line.contains("ctxt_switches")) {
            switches += line.split_whitespace().nth(1).unwrap_or("0").parse::<u64>()?;
        }
    }
    // The page costs a little processor time, which a later sample of the process contains.
    let page = call(process.metrics, "GET", "/metrics", "")?;
    let mut link_bytes = 0;
    for line in page.lines().filter(|line| line.contains("_link_bytes_") && !line.starts_with('#'))
    {
        link_bytes += line.split_whitespace().nth(1).unwrap_or("0").parse::<u64>()?;
    }
    let resident = cost_summary::resident_bytes(&process.child.id().to_string());
    Ok(ProcessSample { role: process.role, switches, link_bytes, resident, cpu_ns })
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: fleet\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
