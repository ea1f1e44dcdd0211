//! Starts, configures and observes the control processes and entries that are measured.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use async_std::task;
use curranthollow::entry::HEALTH_PATH;
use curranthollow::generated::operator::{ChangeRequest, ChangeVerb, OutcomeName};
use curranthollow::http::{HeaderList, send_request};
use curranthollow::operator::OperatorClient;
use curranthollow::settings::token_sha256;
use serde_json::{Value, json};

const ROOT_TOKEN: &str = "bench-root-token";
pub const TEAM_TOKEN: &str = "bench-team-token";

/// Ports on which the processes listen.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// Time limit for a started system to become ready, and for a settings change.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Availability zones that are assigned to processes in turn.
const AVAILABILITY_ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Number of processes in a system, and of traffic threads in each entry.
#[derive(Clone, Copy)]
pub struct SystemSize {
    pub controls: usize,
    pub entries: usize,
    pub traffic_threads: usize,
}

/// A control process or entry, which may be stopped; killed on drop.
pub struct ManagedProcess {
    pub name: String,
    pub traffic_address: SocketAddr,
    pub operator_address: SocketAddr,
    link_address: SocketAddr,
    config_path: PathBuf,
    child: Option<Child>,
}

/// Running control processes and entries.
pub struct BenchSystem {
    pub controls: Vec<ManagedProcess>,
    pub entries: Vec<ManagedProcess>,
    binary: PathBuf,
    folder: PathBuf,
    change_count: u64,
}

/// Returns the path of the `curranthollow` binary in the target folder of this example.
pub fn default_binary() -> anyhow::Result<PathBuf> {
    let example_path = std::env::current_exe()?;
    let folder = example_path
        .parent()
        .and_then(Path::parent)
        .context("example is not inside a target folder")?;
    Ok(folder.join("curranthollow"))
}

/// Returns the availability zone of the process or server with this index.
pub fn zone_name(index: usize) -> &'static str {
    AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.len()]
}

impl ManagedProcess {
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Kills the process without a graceful stop.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start(&mut self, binary: &Path, role: &str) -> anyhow::Result<()> {
        let log = File::create(self.config_path.with_extension("log"))?;
        let child = Command::new(binary)
            .args([role, "--config"])
            .arg(&self.config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", binary.display()))?;
        self.child = Some(child);
        Ok(())
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds free ports. They are released before the processes bind them, because every config names
/// the ports of all processes. They lie below the kernel's ephemeral port range, so that no
/// outgoing connection takes one in the meantime.
fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..count * 20 {
        let port = fastrand::u16(PORT_RANGE);
        let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) else {
            continue;
        };
        addresses.push(listener.local_addr()?);
        listeners.push(listener);
        if addresses.len() == count {
            return Ok(addresses);
        }
    }
    bail!("could not find {count} free ports")
}

impl BenchSystem {
    /// Starts all processes without waiting until they are ready.
    pub async fn start(binary: &Path, size: SystemSize) -> anyhow::Result<Self> {
        let folder_name =
            format!("curranthollow-bench-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let folder = std::env::temp_dir().join(folder_name);
        fs::create_dir_all(&folder)?;
        let addresses = free_addresses((size.controls + size.entries) * 3)?;
        let mut system = Self {
            controls: new_processes("control", &addresses[..size.controls * 3], &folder),
            entries: new_processes("entry", &addresses[size.controls * 3..], &folder),
            binary: binary.to_owned(),
            folder,
            change_count: 0,
        };
        system.write_configs(size.traffic_threads)?;
        for process in &mut system.controls {
            process.start(&system.binary, "control")?;
        }
        for process in &mut system.entries {
            process.start(&system.binary, "entry")?;
        }
        Ok(system)
    }

    fn write_configs(&self, traffic_threads: usize) -> anyhow::Result<()> {
        let peers = |processes: &[ManagedProcess]| -> Vec<Value> {
            processes
                .iter()
                .map(|process| json!({ "name": process.name, "link": process.link_address }))
                .collect()
        };
        let (control_peers, entry_peers) = (peers(&self.controls), peers(&self.entries));
        for (role, processes) in [("control", &self.controls), ("entry", &self.entries)] {
            for (index, process) in processes.iter().enumerate() {
                let mut config = json!({
                    "role": role,
                    "name": process.name,
                    "region": "bench",
                    "availability_zone": zone_name(index),
                    "listen": { "operator": process.operator_address, "link": process.link_address },
                    "control_peers": control_peers,
                    "entry_peers": entry_peers,
                    "log_level": "warn",
                });
                if role == "control" {
                    let data_folder = process.config_path.with_extension("data");
                    fs::create_dir_all(&data_folder)?;
                    config["data_folder"] = json!(data_folder);
                    config["root_token_sha256"] = json!(token_sha256(ROOT_TOKEN));
                } else {
                    config["listen"]["traffic"] = json!(process.traffic_address);
                    config["traffic_threads"] = json!(traffic_threads);
                }
                fs::write(&process.config_path, serde_json::to_vec_pretty(&config)?)?;
            }
        }
        Ok(())
    }

    /// Returns the addresses at which callers reach the running entries.
    pub fn traffic_addresses(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.child.is_some());
        running.map(|entry| entry.traffic_address).collect()
    }

    /// Returns the process ids of the running entries.
    pub fn entry_process_ids(&self) -> Vec<u32> {
        self.entries.iter().filter_map(ManagedProcess::process_id).collect()
    }

    /// Starts the entries that were killed.
    pub fn restart_entries(&mut self) -> anyhow::Result<()> {
        for entry in self.entries.iter_mut().filter(|entry| entry.child.is_none()) {
            entry.start(&self.binary, "entry")?;
        }
        Ok(())
    }

    fn client(&self, token: &str) -> OperatorClient {
        let addresses = self.controls.iter().map(|control| control.operator_address).collect();
        OperatorClient::new(addresses, Some(token.into()), START_TIMEOUT)
    }

    /// Creates a team's branch (`base_version` 0) or replaces its document; returns the time until
    /// the change was accepted.
    pub async fn put(
        &mut self,
        team: &str,
        base_version: i64,
        document: &Value,
    ) -> anyhow::Result<Duration> {
        self.change_count += 1;
        let is_create = base_version == 0;
        // Only the root token can create a branch; later changes need the team's token.
        let token = if is_create { ROOT_TOKEN } else { TEAM_TOKEN };
        let change = ChangeRequest {
            action: if is_create { ChangeVerb::Create } else { ChangeVerb::Replace },
            base_version,
            branch: team.into(),
            change_id: format!("bench-{}", self.change_count),
            document: Some(document.to_string()),
            team_token_sha256: is_create.then(|| token_sha256(TEAM_TOKEN).into()),
        };
        let started = Instant::now();
        let reply = self.client(token).change(&change).await?;
        if reply.outcome != OutcomeName::Accepted {
            bail!("settings not accepted: {:?} {:?}", reply.reason, reply.errors);
        }
        Ok(started.elapsed())
    }

    /// Waits until every running entry reports itself healthy.
    pub async fn wait_healthy(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for address in self.traffic_addresses() {
            loop {
                let timeout = Duration::from_secs(2);
                let headers = HeaderList::new();
                let reply = send_request(address, "GET", HEALTH_PATH, headers, &[], timeout).await;
                if reply.is_ok_and(|reply| reply.head.status == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    bail!("entry at {address} is not healthy; logs: {}", self.folder.display());
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the state of one entry.
    pub async fn dump(&self, operator_address: SocketAddr) -> anyhow::Result<Value> {
        let timeout = Duration::from_secs(5);
        let reply =
            send_request(operator_address, "GET", "/dump", HeaderList::new(), &[], timeout).await?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// Waits until every running entry lists at least `count` ready servers of a service.
    pub async fn wait_servers_ready(&self, service: &str, count: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        for entry in self.entries.iter().filter(|entry| entry.child.is_some()) {
            loop {
                let dump = self.dump(entry.operator_address).await?;
                let servers = dump["services"][service]["servers"].as_array();
                let ready_count = servers.map_or(0, |servers| {
                    servers.iter().filter(|server| server["state"] == "ready").count()
                });
                if ready_count >= count {
                    break;
                }
                if Instant::now() > deadline {
                    bail!(
                        "{} lists {ready_count} ready servers of {service}, expected {count}: {dump}",
                        entry.name
                    );
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Returns the messages and bytes that the running entries have spent on measuring a service.
    pub async fn measuring_cost(&self, service: &str) -> anyhow::Result<(u64, u64)> {
        let mut total = (0, 0);
        for entry in self.entries.iter().filter(|entry| entry.child.is_some()) {
            let dump = self.dump(entry.operator_address).await?;
            let service_state = &dump["services"][service];
            total.0 += service_state["measure_messages"].as_u64().unwrap_or(0);
            total.1 += service_state["measure_bytes"].as_u64().unwrap_or(0);
        }
        Ok(total)
    }
}

impl Drop for BenchSystem {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().chain(&mut self.controls) {
            process.kill();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn new_processes(role: &str, addresses: &[SocketAddr], folder: &Path) -> Vec<ManagedProcess> {
    let mut processes = Vec::new();
    for (index, addresses) in addresses.chunks(3).enumerate() {
        let name = format!("{role}-{:02}", index + 1);
        processes.push(ManagedProcess {
            config_path: folder.join(format!("{name}.json")),
            name,
            traffic_address: addresses[0],
            operator_address: addresses[1],
            link_address: addresses[2],
            child: None,
        });
    }
    processes
}
