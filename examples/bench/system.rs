//! Control processes and entries as operating-system processes.

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

/// Ports for listeners of processes.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Longest wait for a started system to be ready.
const START_TIME: Duration = Duration::from_secs(30);

/// Availability zones over which processes are spread in turn.
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];

/// Size of a system.
#[derive(Clone, Copy)]
pub struct SystemSize {
    pub controls: usize,
    pub entries: usize,
    pub traffic_threads: usize,
}

/// One started process; killed by its id when dropped.
pub struct ManagedProcess {
    pub name: String,
    pub traffic: SocketAddr,
    pub operator: SocketAddr,
    link: SocketAddr,
    config: PathBuf,
    child: Option<Child>,
}

/// Running control processes and entries.
pub struct BenchSystem {
    pub controls: Vec<ManagedProcess>,
    pub entries: Vec<ManagedProcess>,
    binary: PathBuf,
    folder: PathBuf,
    changes: u64,
}

/// Path of the release binary beside this example.
pub fn sibling_binary() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().and_then(Path::parent).context("no target folder")?;
    Ok(folder.join("curranthollow"))
}

/// Name of the availability zone of the process or server with this number.
pub fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

impl ManagedProcess {
    pub fn id(&self) -> Option<u32> {
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
        let log = File::create(self.config.with_extension("log"))?;
        let child = Command::new(binary)
            .args([role, "--config"])
            .arg(&self.config)
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
/// the ports of all processes. They lie below the range from which the kernel takes ports for
/// outgoing connections, so that no connection takes one meanwhile.
fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let mut listeners = Vec::new();
    let mut addresses = Vec::new();
    for _ in 0..count * 20 {
        let port = fastrand::u16(PORTS);
        let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) else {
            continue;
        };
        addresses.push(listener.local_addr()?);
        listeners.push(listener);
        if addresses.len() == count {
            return Ok(addresses);
        }
    }
    bail!("no {count} free ports")
}

impl BenchSystem {
    /// Starts all processes and waits until each entry is healthy under the root settings.
    pub async fn start(binary: &Path, size: SystemSize) -> anyhow::Result<Self> {
        let name = format!("curranthollow-bench-{}-{:08x}", std::process::id(), fastrand::u32(..));
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let addresses = free_addresses((size.controls + size.entries) * 3)?;
        let mut system = Self {
            controls: processes("control", &addresses[..size.controls * 3], &folder),
            entries: processes("entry", &addresses[size.controls * 3..], &folder),
            binary: binary.to_owned(),
            folder,
            changes: 0,
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

    fn write_configs(&self, threads: usize) -> anyhow::Result<()> {
        let peers = |list: &[ManagedProcess]| -> Vec<Value> {
            list.iter().map(|item| json!({ "name": item.name, "link": item.link })).collect()
        };
        let (controls, entries) = (peers(&self.controls), peers(&self.entries));
        for (role, list) in [("control", &self.controls), ("entry", &self.entries)] {
            for (number, process) in list.iter().enumerate() {
                let mut config = json!({
                    "role": role,
                    "name": process.name,
                    "region": "bench",
                    "availability_zone": zone(number),
                    "listen": { "operator": process.operator, "link": process.link },
                    "control_peers": controls,
                    "entry_peers": entries,
                    "log_level": "warn",
                });
                if role == "control" {
                    let data = process.config.with_extension("data");
                    fs::create_dir_all(&data)?;
                    config["data_folder"] = json!(data);
                    config["root_token_sha256"] = json!(token_sha256(ROOT_TOKEN));
                } else {
                    config["listen"]["traffic"] = json!(process.traffic);
                    config["traffic_threads"] = json!(threads);
                }
                fs::write(&process.config, serde_json::to_vec_pretty(&config)?)?;
            }
        }
        Ok(())
    }

    /// Addresses for callers of the entries that run.
    pub fn traffic(&self) -> Vec<SocketAddr> {
        let running = self.entries.iter().filter(|entry| entry.child.is_some());
        running.map(|entry| entry.traffic).collect()
    }

    /// Processes of entries that run.
    pub fn entry_ids(&self) -> Vec<u32> {
        self.entries.iter().filter_map(ManagedProcess::id).collect()
    }

    /// Starts entries that were killed.
    pub fn restart_entries(&mut self) -> anyhow::Result<()> {
        for entry in self.entries.iter_mut().filter(|entry| entry.child.is_none()) {
            entry.start(&self.binary, "entry")?;
        }
        Ok(())
    }

    fn client(&self, token: &str) -> OperatorClient {
        let addresses = self.controls.iter().map(|control| control.operator).collect();
        OperatorClient::new(addresses, Some(token.into()), START_TIME)
    }

    /// Creates a team's branch or replaces its document; returns the time until it was accepted.
    pub async fn put(
        &mut self,
        team: &str,
        base: i64,
        document: &Value,
    ) -> anyhow::Result<Duration> {
        self.changes += 1;
        let create = base == 0;
        // The root token creates a branch; afterwards the branch takes the team's token only.
        let token = if create { ROOT_TOKEN } else { TEAM_TOKEN };
        let change = ChangeRequest {
            action: if create { ChangeVerb::Create } else { ChangeVerb::Replace },
            base_version: base,
            branch: team.into(),
            change_id: format!("bench-{}", self.changes),
            document: Some(document.to_string()),
            team_token_sha256: create.then(|| token_sha256(TEAM_TOKEN).into()),
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
        let deadline = Instant::now() + START_TIME;
        for address in self.traffic() {
            loop {
                let limit = Duration::from_secs(2);
                let headers = HeaderList::new();
                let reply = send_request(address, "GET", HEALTH_PATH, headers, &[], limit).await;
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

    /// State of one entry.
    pub async fn dump(&self, operator: SocketAddr) -> anyhow::Result<Value> {
        let limit = Duration::from_secs(5);
        let reply = send_request(operator, "GET", "/dump", HeaderList::new(), &[], limit).await?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    /// Waits until every running entry knows `count` servers of a service as ready.
    pub async fn wait_servers(&self, service: &str, count: usize) -> anyhow::Result<()> {
        let deadline = Instant::now() + START_TIME;
        for entry in self.entries.iter().filter(|entry| entry.child.is_some()) {
            loop {
                let dump = self.dump(entry.operator).await?;
                let servers = dump["services"][service]["servers"].as_array();
                let ready = servers.map_or(0, |servers| {
                    servers.iter().filter(|server| server["state"] == "ready").count()
                });
                if ready >= count {
                    break;
                }
                if Instant::now() > deadline {
                    bail!("{} knows {ready} of {count} servers of {service}: {dump}", entry.name);
                }
                task::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Messages and bytes that the entries have spent on measuring a service.
    pub async fn measuring(&self, service: &str) -> anyhow::Result<(u64, u64)> {
        let mut total = (0, 0);
        for entry in self.entries.iter().filter(|entry| entry.child.is_some()) {
            let dump = self.dump(entry.operator).await?;
            let state = &dump["services"][service];
            total.0 += state["measure_messages"].as_u64().unwrap_or(0);
            total.1 += state["measure_bytes"].as_u64().unwrap_or(0);
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

fn processes(role: &str, addresses: &[SocketAddr], folder: &Path) -> Vec<ManagedProcess> {
    let mut list = Vec::new();
    for (number, addresses) in addresses.chunks(3).enumerate() {
        let name = format!("{role}-{:02}", number + 1);
        list.push(ManagedProcess {
            config: folder.join(format!("{name}.json")),
            name,
            traffic: addresses[0],
            operator: addresses[1],
            link: addresses[2],
            child: None,
        });
    }
    list
}
