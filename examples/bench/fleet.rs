//! Stand-in servers in a child process, controlled by JSON lines on its standard input.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

use anyhow::Context;
use async_std::task;
use curranthollow::stand_in::{
    AnnouncedState, ServiceTime, StandInMode, StandInOptions, StandInServer,
};
use serde::{Deserialize, Serialize};

use super::system::{TEAM_TOKEN, zone_name};

/// Group of servers of one service.
#[derive(Clone, Serialize, Deserialize)]
pub struct ServerGroup {
    pub team: String,
    pub service: String,
    pub count: usize,
    pub slots: usize,
    pub mean_us: u64,
    pub sigma: f64,
    /// Entries that receive the announcements of the servers.
    pub entries: Vec<SocketAddr>,
}

/// Command to the child process, which answers each one with a line.
#[derive(Serialize, Deserialize)]
enum FleetCommand {
    Start(ServerGroup),
    Straggler { server: usize, factor: f64 },
    FailFast { server: usize, status: u16 },
    Normal { server: usize },
    Drain { server: usize },
    Ready { server: usize },
    Slots,
}

/// Largest sum of running and waiting requests since the last reading, and requests running now.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct ServerUsage {
    pub max_demand: usize,
    pub running: usize,
}

/// Child process that runs the servers. It exits when its standard input closes, and is killed on
/// drop.
pub struct ServerFleet {
    child: Child,
    stdin: Option<ChildStdin>,
    stdout: BufReader<ChildStdout>,
    pub addresses: Vec<SocketAddr>,
}

impl ServerFleet {
    pub fn spawn() -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("servers")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdin = child.stdin.take();
        let stdout =
            BufReader::new(child.stdout.take().context("server process has no standard output")?);
        Ok(Self { child, stdin, stdout, addresses: Vec::new() })
    }

    fn send_command(&mut self, command: &FleetCommand) -> anyhow::Result<String> {
        let stdin = self.stdin.as_mut().context("server process has no standard input")?;
        writeln!(stdin, "{}", serde_json::to_string(command)?)?;
        stdin.flush()?;
        let mut line = String::new();
        self.stdout.read_line(&mut line)?;
        Ok(line)
    }

    /// Starts a group of servers and appends their addresses to `addresses`.
    pub fn start_servers(&mut self, group: ServerGroup) -> anyhow::Result<()> {
        let line = self.send_command(&FleetCommand::Start(group))?;
        let addresses: Vec<SocketAddr> = serde_json::from_str(&line)?;
        self.addresses.extend(addresses);
        Ok(())
    }

    pub fn set_straggler(&mut self, server: usize, factor: f64) -> anyhow::Result<()> {
        self.send_command(&FleetCommand::Straggler { server, factor }).map(drop)
    }

    pub fn set_fail_fast(&mut self, server: usize, status: u16) -> anyhow::Result<()> {
        self.send_command(&FleetCommand::FailFast { server, status }).map(drop)
    }

    pub fn set_normal(&mut self, server: usize) -> anyhow::Result<()> {
        self.send_command(&FleetCommand::Normal { server }).map(drop)
    }

    pub fn drain(&mut self, server: usize) -> anyhow::Result<()> {
        self.send_command(&FleetCommand::Drain { server }).map(drop)
    }

    pub fn set_ready(&mut self, server: usize) -> anyhow::Result<()> {
        self.send_command(&FleetCommand::Ready { server }).map(drop)
    }

    /// Returns the usage of each server since the previous call.
    pub fn take_usage(&mut self) -> anyhow::Result<Vec<ServerUsage>> {
        Ok(serde_json::from_str(&self.send_command(&FleetCommand::Slots)?)?)
    }
}

impl Drop for ServerFleet {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Main loop of the child process; returns when its standard input closes.
pub async fn run_commands() -> anyhow::Result<()> {
    let mut servers: Vec<StandInServer> = Vec::new();
    for line in std::io::stdin().lock().lines() {
        let reply = match serde_json::from_str(&line?)? {
            FleetCommand::Start(group) => {
                let first_index = servers.len();
                start_server_group(&mut servers, &group).await?;
                let addresses: Vec<_> =
                    servers[first_index..].iter().map(StandInServer::address).collect();
                serde_json::to_string(&addresses)?
            }
            FleetCommand::Straggler { server, factor } => {
                servers[server].set_mode(StandInMode::Straggler { factor });
                String::new()
            }
            FleetCommand::FailFast { server, status } => {
                servers[server].set_mode(StandInMode::FailFast { status });
                String::new()
            }
            FleetCommand::Normal { server } => {
                servers[server].set_mode(StandInMode::Normal);
                String::new()
            }
            FleetCommand::Drain { server } => {
                servers[server].drain();
                String::new()
            }
            FleetCommand::Ready { server } => {
                servers[server].set_announced_state(AnnouncedState::Ready);
                String::new()
            }
            FleetCommand::Slots => {
                let mut usages = Vec::new();
                for server in &servers {
                    let max_demand = server.take_max_demand();
                    usages.push(ServerUsage { max_demand, running: server.slots().running });
                }
                serde_json::to_string(&usages)?
            }
        };
        println!("{reply}");
    }
    Ok(())
}

async fn start_server_group(
    servers: &mut Vec<StandInServer>,
    group: &ServerGroup,
) -> anyhow::Result<()> {
    let mean_service_time = Duration::from_micros(group.mean_us);
    let service_time = match group.sigma > 0.0 {
        true => ServiceTime::LogNormal { mean: mean_service_time, sigma: group.sigma },
        false => ServiceTime::Fixed(mean_service_time),
    };
    for index in 0..group.count {
        let mut entries = group.entries.clone();
        if !entries.is_empty() {
            entries.rotate_left(index % group.entries.len());
        }
        let options = StandInOptions {
            team: group.team.as_str().into(),
            service: group.service.as_str().into(),
            server: format!("{}-{:04}", group.service, index + 1).into(),
            availability_zone: zone_name(index).into(),
            entries,
            token: TEAM_TOKEN.into(),
            slots: group.slots,
            connections: 220,
            service_time,
            seed: index as u64 + 1,
            ..StandInOptions::default()
        };
        servers.push(StandInServer::start(options).await?);
        if index % 64 == 63 {
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}
