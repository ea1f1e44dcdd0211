//! Control processes and entries under measurement.

use std::collections::BTreeMap;
use std::error::Error;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use async_std::task::block_on;
use curranthollow::generated::operator::{ChangeRequest, ChangeVerb, OutcomeName};
use curranthollow::operator::OperatorClient;
use curranthollow::settings::token_sha256;

use super::cost_summary::resident_bytes;
use super::fleet::TEAM_TOKEN;

/// Token of the root branch.
const ROOT_TOKEN: &str = "idle-root-token";

/// Time limit for the control processes to accept the settings.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc/PID/stat` on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Total link traffic by unit, kind of message and direction.
type TrafficTotals = BTreeMap<(String, String, String), f64>;

/// Resource usage of one process since its start.
pub(crate) struct ProcessSample {
    pub name: String,
    pub traffic: TrafficTotals,
    pub cpu_ms: f64,
    pub resident_mib: f64,
}

struct ManagedProcess {
    name: String,
    operator_address: SocketAddr,
    link_address: SocketAddr,
    traffic_address: SocketAddr,
    child: Option<Child>,
}

/// Running control processes and entries; killed on drop.
pub(crate) struct ProcessGroup {
    processes: Vec<ManagedProcess>,
    folder: PathBuf,
}

impl ProcessGroup {
    /// Starts all processes.
    pub(crate) fn start(
        binary: &Path,
        controls: usize,
        entries: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let folder_id = fastrand::u32(..);
        let folder = std::env::temp_dir().join(format!("curranthollow-idle-{folder_id:08x}"));
        fs::create_dir_all(&folder)?;
        // Keeps the listeners open until all ports are chosen, so that no port is chosen twice.
        let mut listeners = Vec::new();
        let mut processes = Vec::new();
        for index in 0..controls + entries {
            let name = match index < controls {
                true => format!("control-{:02}", index + 1),
                false => format!("entry-{:02}", index + 1 - controls),
            };
            let mut addresses = Vec::new();
            for _ in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                addresses.push(listener.local_addr()?);
                listeners.push(listener);
            }
            let [operator_address, link_address, traffic_address] = addresses[..] else {
                unreachable!("three addresses")
            };
            processes.push(ManagedProcess {
                name,
                operator_address,
                link_address,
                traffic_address,
                child: None,
            });
        }
        drop(listeners);
        let mut group = Self { processes, folder };
        for index in 0..group.processes.len() {
            group.spawn(binary, index)?;
        }
        Ok(group)
    }

    fn spawn(&mut self, binary: &Path, index: usize) -> Result<(), Box<dyn Error>> {
        let process = &self.processes[index];
        let is_control = process.name.starts_with("control");
        let mut config = serde_json::json!({
            "role": if is_control { "control" } else { "entry" },
            "name": process.name,
            "region": "idle",
            "availability_zone": format!("zone-{}", index % 3),
            "listen": { "operator": process.operator_address, "link": process.link_address },
            "control_peers": self.peers("control"),
            "entry_peers": self.peers("entry"),
            "log_level": "warn",
        });
        if is_control {
            config["data_folder"] = self.folder.join(&process.name).to_string_lossy().into();
            config["root_token_sha256"] = token_sha256(ROOT_TOKEN).to_string().into();
        } else {
            config["listen"]["traffic"] = process.traffic_address.to_string().into();
        }
        let config_path = self.folder.join(format!("{}.jsonc", process.name));
        fs::write(&config_path, config.to_string())?;
        let child = Command::new(binary)
            .arg(if is_control { "control" } else { "entry" })
            .arg("--config")
            .arg(&config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(self.folder.join(format!("{}.log", process.name)))?)
            .spawn()?;
        self.processes[index].child = Some(child);
        Ok(())
    }

    fn peers(&self, role: &str) -> Vec<serde_json::Value> {
        let processes = self.processes.iter().filter(|process| process.name.starts_with(role));
        processes
            .map(
                |process| serde_json::json!({ "name": process.name, "link": process.link_address }),
            )
            .collect()
    }

    /// Creates the branch of the team with its services.
    pub(crate) fn put_settings(&self, services: usize) -> Result<(), Box<dyn Error>> {
        let mut service_map = serde_json::Map::new();
        for service in 0..services {
            let service_document =
                serde_json::json!({ "match": { "path_prefix": format!("/s{service}") } });
            service_map.insert(format!("service-{service}"), service_document);
        }
        let document = serde_json::json!({ "team": "idle", "services": service_map }).to_string();
        let controls = self.processes.iter().filter(|process| process.name.starts_with("control"));
        let addresses = controls.map(|process| process.operator_address).collect();
        let client = OperatorClient::new(addresses, Some(ROOT_TOKEN.into()), SETTINGS_TIMEOUT);
        let change = ChangeRequest {
            action: ChangeVerb::Create,
            base_version: 0,
            branch: "idle".into(),
            change_id: "idle-1".into(),
            document: Some(document),
            team_token_sha256: Some(token_sha256(TEAM_TOKEN).into()),
        };
        let reply = block_on(client.change(&change))?;
        if reply.outcome != OutcomeName::Accepted {
            return Err(format!("settings change not accepted: {reply:?}").into());
        }
        Ok(())
    }

    /// Returns the addresses of the entries for announcements and requests.
    pub(crate) fn traffic_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.processes.iter().filter(|process| process.name.starts_with("entry"));
        entries.map(|process| process.traffic_address).collect()
    }

    /// Reads the resource usage of all processes.
    pub(crate) fn sample(&mut self) -> Result<Vec<ProcessSample>, Box<dyn Error>> {
        let mut samples = Vec::new();
        for process in &mut self.processes {
            let child = process.child.as_mut().ok_or("the process was not started")?;
            if let Some(status) = child.try_wait()? {
                return Err(format!("{} exited unexpectedly: {status}", process.name).into());
            }
            let process_id = child.id();
            samples.push(ProcessSample {
                name: process.name.clone(),
                traffic: read_traffic(process.operator_address)?,
                cpu_ms: cpu_ms(process_id)?,
                resident_mib: resident_bytes(&process_id.to_string()) / f64::from(1 << 20),
            });
        }
        Ok(samples)
    }

    /// Kills all processes and removes their files.
    pub(crate) fn stop(self) {
        drop(self);
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for process in &mut self.processes {
            if let Some(child) = &mut process.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Reads the totals of `link_messages` and `link_bytes` from the metrics of a process.
fn read_traffic(operator_address: SocketAddr) -> Result<TrafficTotals, Box<dyn Error>> {
    let mut stream = TcpStream::connect(operator_address)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET /metrics HTTP/1.1\r\nhost: idle\r\nconnection: close\r\n\r\n")?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let mut traffic = BTreeMap::new();
    for line in response.lines() {
        let Some(rest) = line.strip_prefix("curranthollow_link_") else {
            continue;
        };
        let Some((unit, rest)) = rest.split_once("_total{") else {
            continue;
        };
        let parts: Vec<_> = rest.split('"').collect();
        let [_, kind, _, direction, value] = parts[..] else {
            continue;
        };
        let value: f64 = value.trim_start_matches('}').trim().parse()?;
        traffic.insert((unit.to_owned(), kind.to_owned(), direction.to_owned()), value);
    }
    Ok(traffic)
}

/// Returns the CPU time of the process with this id in user and kernel mode.
fn cpu_ms(id: u32) -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program name in parentheses may contain spaces.
    let (_, rest) = stat.rsplit_once(')').ok_or("unexpected format of /proc/PID/stat")?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let user: f64 = fields[11].parse()?;
    let system: f64 = fields[12].parse()?;
    Ok((user + system) * 1000.0 / TICKS_PER_SECOND)
}
