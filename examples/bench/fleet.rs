//! Stand-in servers in a helper process, controlled by lines of JSON.

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

use super::system::{TEAM_TOKEN, zone};

/// Servers of one service.
#[derive(Clone, Serialize, Deserialize)]
pub struct FleetGroup {
    pub team: String,
    pub service: String,
    pub count: usize,
    pub slots: usize,
    pub mean_us: u64,
    pub sigma: f64,
    /// Entries that take announcements.
    pub entries: Vec<SocketAddr>,
}

/// Order to the helper process; it answers each one with a line.
#[derive(Serialize, Deserialize)]
enum FleetOrder {
    Start(FleetGroup),
    Straggler { server: usize, factor: f64 },
    FailFast { server: usize, status: u16 },
    Normal { server: usize },
    Drain { server: usize },
    Ready { server: usize },
    Slots,
}

/// Largest sum of running and waiting requests, and requests running now.
#[derive(Clone, Copy, Serialize, Deserialize)]
pub struct ServerUse {
    pub max_demand: usize,
    pub running: usize,
}

/// Helper process; it ends with its standard input, and is killed by its id on drop.
pub struct ServerFleet {
    child: Child,
    input: Option<ChildStdin>,
    output: BufReader<ChildStdout>,
    pub addresses: Vec<SocketAddr>,
}

impl ServerFleet {
    pub fn new() -> anyhow::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("servers")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let input = child.stdin.take();
        let output = BufReader::new(child.stdout.take().context("no output of the helper")?);
        Ok(Self { child, input, output, addresses: Vec::new() })
    }

    fn order(&mut self, order: &FleetOrder) -> anyhow::Result<String> {
        let input = self.input.as_mut().context("the helper has no input")?;
        writeln!(input, "{}", serde_json::to_string(order)?)?;
        input.flush()?;
        let mut line = String::new();
        self.output.read_line(&mut line)?;
        Ok(line)
    }

    /// Starts servers; the addresses of all servers so far are in `addresses`.
    pub fn start(&mut self, group: FleetGroup) -> anyhow::Result<()> {
        let line = self.order(&FleetOrder::Start(group))?;
        let addresses: Vec<SocketAddr> = serde_json::from_str(&line)?;
        self.addresses.extend(addresses);
        Ok(())
    }

    pub fn straggler(&mut self, server: usize, factor: f64) -> anyhow::Result<()> {
        self.order(&FleetOrder::Straggler { server, factor }).map(drop)
    }

    pub fn fail_fast(&mut self, server: usize, status: u16) -> anyhow::Result<()> {
        self.order(&FleetOrder::FailFast { server, status }).map(drop)
    }

    pub fn normal(&mut self, server: usize) -> anyhow::Result<()> {
        self.order(&FleetOrder::Normal { server }).map(drop)
    }

    pub fn drain(&mut self, server: usize) -> anyhow::Result<()> {
        self.order(&FleetOrder::Drain { server }).map(drop)
    }

    pub fn ready(&mut self, server: usize) -> anyhow::Result<()> {
        self.order(&FleetOrder::Ready { server }).map(drop)
    }

    /// Use of each server since the previous call.
    pub fn slots(&mut self) -> anyhow::Result<Vec<ServerUse>> {
        Ok(serde_json::from_str(&self.order(&FleetOrder::Slots)?)?)
    }
}

impl Drop for ServerFleet {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Main loop of the helper process; ends when its standard input closes.
pub async fn serve_orders() -> anyhow::Result<()> {
    let mut servers: Vec<StandInServer> = Vec::new();
    for line in std::io::stdin().lock().lines() {
        let answer = match serde_json::from_str(&line?)? {
            FleetOrder::Start(group) => {
                let first = servers.len();
                start_group(&mut servers, &group).await?;
                let addresses: Vec<_> =
                    servers[first..].iter().map(StandInServer::address).collect();
                serde_json::to_string(&addresses)?
            }
            FleetOrder::Straggler { server, factor } => {
                servers[server].set_mode(StandInMode::Straggler { factor });
                String::new()
            }
            FleetOrder::FailFast { server, status } => {
                servers[server].set_mode(StandInMode::FailFast { status });
                String::new()
            }
            FleetOrder::Normal { server } => {
                servers[server].set_mode(StandInMode::Normal);
                String::new()
            }
            FleetOrder::Drain { server } => {
                servers[server].drain();
                String::new()
            }
            FleetOrder::Ready { server } => {
                servers[server].set_announced_state(AnnouncedState::Ready);
                String::new()
            }
            FleetOrder::Slots => {
                let mut uses = Vec::new();
                for server in &servers {
                    let max_demand = server.take_max_demand();
                    uses.push(ServerUse { max_demand, running: server.slots().running });
                }
                serde_json::to_string(&uses)?
            }
        };
        println!("{answer}");
    }
    Ok(())
}

async fn start_group(servers: &mut Vec<StandInServer>, group: &FleetGroup) -> anyhow::Result<()> {
    let mean = Duration::from_micros(group.mean_us);
    let service_time = match group.sigma > 0.0 {
        true => ServiceTime::LogNormal { mean, sigma: group.sigma },
        false => ServiceTime::Fixed(mean),
    };
    for number in 0..group.count {
        let mut entries = group.entries.clone();
        if !entries.is_empty() {
            entries.rotate_left(number % group.entries.len());
        }
        let options = StandInOptions {
            team: group.team.as_str().into(),
            service: group.service.as_str().into(),
            server: format!("{}-{:04}", group.service, number + 1).into(),
            availability_zone: zone(number).into(),
            entries,
            token: TEAM_TOKEN.into(),
            slots: group.slots,
            connections: 220,
            service_time,
            seed: number as u64 + 1,
            ..StandInOptions::default()
        };
        servers.push(StandInServer::start(options).await?);
        if number % 64 == 63 {
            task::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}
