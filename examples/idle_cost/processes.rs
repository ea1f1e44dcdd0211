//! Processes under measurement; all are ended by id when the group is dropped.

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

/// Longest wait for the cluster to accept the settings.
const START_TIME: Duration = Duration::from_secs(30);

/// Clock ticks of `/proc/PID/stat` in one second on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Totals by unit, kind and direction.
type TrafficTotals = BTreeMap<(String, String, String), f64>;

/// What was read from one process.
pub(crate) struct Sample {
    /// Name of the process.
    pub name: String,
    /// Totals on links.
    pub traffic: TrafficTotals,
    /// Processor time since the start.
    pub processor_ms: f64,
    /// Resident memory.
    pub resident_mib: f64,
}

struct Member {
    name: String,
    operator: SocketAddr,
    link: SocketAddr,
    traffic: SocketAddr,
    child: Option<Child>,
}

/// Running control processes and entries.
pub(crate) struct ProcessGroup {
    members: Vec<Member>,
    folder: PathBuf,
}

impl ProcessGroup {
    /// Starts all processes.
    pub(crate) fn start(
        binary: &Path,
        controls: usize,
        entries: usize,
    ) -> Result<Self, Box<dyn Error>> {
        let number = fastrand::u32(..);
        let folder = std::env::temp_dir().join(format!("curranthollow-idle-{number:08x}"));
        fs::create_dir_all(&folder)?;
        // Held until all ports are chosen, so that none is chosen twice.
        let mut held = Vec::new();
        let mut members = Vec::new();
        for index in 0..controls + entries {
            let name = match index < controls {
                true => format!("control-{:02}", index + 1),
                false => format!("entry-{:02}", index + 1 - controls),
            };
            let mut addresses = Vec::new();
            for _ in 0..3 {
                let listener = TcpListener::bind("127.0.0.1:0")?;
                addresses.push(listener.local_addr()?);
                held.push(listener);
            }
            let [operator, link, traffic] = addresses[..] else { unreachable!("three addresses") };
            members.push(Member { name, operator, link, traffic, child: None });
        }
        drop(held);
        let mut group = Self { members, folder };
        for index in 0..group.members.len() {
            group.spawn(binary, index)?;
        }
        Ok(group)
    }

    fn spawn(&mut self, binary: &Path, index: usize) -> Result<(), Box<dyn Error>> {
        let member = &self.members[index];
        let is_control = member.name.starts_with("control");
        let mut config = serde_json::json!({
            "role": if is_control { "control" } else { "entry" },
            "name": member.name,
            "region": "idle",
            "availability_zone": format!("zone-{}", index % 3),
            "listen": { "operator": member.operator, "link": member.link },
            "control_peers": self.peers("control"),
            "entry_peers": self.peers("entry"),
            "log_level": "warn",
        });
        if is_control {
            config["data_folder"] = self.folder.join(&member.name).to_string_lossy().into();
            config["root_token_sha256"] = token_sha256(ROOT_TOKEN).to_string().into();
        } else {
            config["listen"]["traffic"] = member.traffic.to_string().into();
        }
        let path = self.folder.join(format!("{}.jsonc", member.name));
        fs::write(&path, config.to_string())?;
        let child = Command::new(binary)
            .arg(if is_control { "control" } else { "entry" })
            .arg("--config")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(fs::File::create(self.folder.join(format!("{}.log", member.name)))?)
            .spawn()?;
        self.members[index].child = Some(child);
        Ok(())
    }

    fn peers(&self, role: &str) -> Vec<serde_json::Value> {
        let members = self.members.iter().filter(|member| member.name.starts_with(role));
        members
            .map(|member| serde_json::json!({ "name": member.name, "link": member.link }))
            .collect()
    }

    /// Creates the team with its services.
    pub(crate) fn put_settings(&self, services: usize) -> Result<(), Box<dyn Error>> {
        let mut map = serde_json::Map::new();
        for service in 0..services {
            let path = serde_json::json!({ "match": { "path_prefix": format!("/s{service}") } });
            map.insert(format!("service-{service}"), path);
        }
        let document = serde_json::json!({ "team": "idle", "services": map }).to_string();
        let controls = self.members.iter().filter(|member| member.name.starts_with("control"));
        let addresses = controls.map(|member| member.operator).collect();
        let client = OperatorClient::new(addresses, Some(ROOT_TOKEN.into()), START_TIME);
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
            return Err(format!("settings refused: {reply:?}").into());
        }
        Ok(())
    }

    /// Addresses for announcements.
    pub(crate) fn traffic_addresses(&self) -> Vec<SocketAddr> {
        let entries = self.members.iter().filter(|member| member.name.starts_with("entry"));
        entries.map(|member| member.traffic).collect()
    }

    /// Reads the counts of all processes.
    pub(crate) fn sample(&mut self) -> Result<Vec<Sample>, Box<dyn Error>> {
        let mut samples = Vec::new();
        for member in &mut self.members {
            let child = member.child.as_mut().ok_or("the process was not started")?;
            if let Some(status) = child.try_wait()? {
                return Err(format!("{} ended: {status}", member.name).into());
            }
            let id = child.id();
            samples.push(Sample {
                name: member.name.clone(),
                traffic: read_traffic(member.operator)?,
                processor_ms: processor_ms(id)?,
                resident_mib: resident_bytes(&id.to_string()) / f64::from(1 << 20),
            });
        }
        Ok(samples)
    }

    /// Ends all processes and removes their files.
    pub(crate) fn stop(self) {
        drop(self);
    }
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(child) = &mut member.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Reads `link_messages` and `link_bytes` from the metrics page.
fn read_traffic(operator: SocketAddr) -> Result<TrafficTotals, Box<dyn Error>> {
    let mut stream = TcpStream::connect(operator)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    write!(stream, "GET /metrics HTTP/1.1\r\nhost: idle\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let mut traffic = BTreeMap::new();
    for line in text.lines() {
        let Some(rest) = line.strip_prefix("curranthollow_link_") else {
            continue;
        };
        let Some((unit, rest)) = rest.split_once("_total{") else {
            continue;
        };
        let quoted: Vec<_> = rest.split('"').collect();
        let [_, kind, _, direction, value] = quoted[..] else {
            continue;
        };
        let value: f64 = value.trim_start_matches('}').trim().parse()?;
        traffic.insert((unit.to_owned(), kind.to_owned(), direction.to_owned()), value);
    }
    Ok(traffic)
}

fn processor_ms(id: u32) -> Result<f64, Box<dyn Error>> {
    let text = fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The program's name, in parentheses, may contain spaces.
    let (_, rest) = text.rsplit_once(')').ok_or("unexpected format of stat")?;
    let fields: Vec<_> = rest.split_whitespace().collect();
    let user: f64 = fields[11].parse()?;
    let system: f64 = fields[12].parse()?;
    Ok((user + system) * 1000.0 / TICKS_PER_SECOND)
}
