//! Load and disturbance of each scenario.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ValueEnum;
use curranthollow::load::{LoadClass, LoadOptions, RateSwing};
use curranthollow::stand_in::ServiceTime;
use serde_json::{Value, json};

use crate::fleet::{FleetGroup, ServerFleet};
use crate::system::BenchSystem;

/// Service time of an upload.
const UPLOAD_TIME: Duration = Duration::from_millis(500);

/// Size of an upload in bytes.
const UPLOAD_BYTES: u64 = 256 * 1024;

/// Part of the capacity that uploads use.
const UPLOAD_LOAD: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// 85 % of the capacity.
    Steady,
    /// 30 % of the capacity, and ten times as much from one moment to the next for 300 ms.
    Swing,
    /// 60 % of the capacity; the reference for uploads.
    ShortOnly,
    /// The same short work, and uploads of 256 KiB and 500 ms for 10 % of the capacity.
    Uploads,
    /// 70 % of the capacity; one server takes five times as long.
    Straggler,
    /// 70 % of the capacity; one server answers `500` at once.
    FailFast,
    /// 70 % of the capacity; an entry that holds no account is killed halfway.
    EntryKilled,
    /// 70 % of the capacity; the account holder is killed halfway.
    HolderKilled,
    /// 40 % of the capacity; half of the servers start to drain halfway.
    Draining,
}

/// Servers and short work of a measurement.
pub struct Workload {
    pub slots: usize,
    pub mean: Duration,
    pub sigma: f64,
    pub seconds: f64,
}

impl Workload {
    /// Short requests a second that keep every slot busy.
    pub fn capacity(&self) -> f64 {
        self.slots as f64 / self.mean.as_secs_f64()
    }

    /// Requests a second outside a swing.
    pub fn rate(&self, scenario: Scenario) -> f64 {
        let uploads = UPLOAD_LOAD * self.slots as f64 / UPLOAD_TIME.as_secs_f64();
        match scenario {
            Scenario::Steady => self.capacity() * 0.85,
            Scenario::Swing => self.capacity() * 0.3,
            Scenario::ShortOnly => self.capacity() * 0.6,
            Scenario::Uploads => self.capacity() * 0.6 + uploads,
            Scenario::Draining => self.capacity() * 0.4,
            _ => self.capacity() * 0.7,
        }
    }

    /// Settings of the team.
    pub fn document(&self, policy: &str) -> Value {
        json!({
            "team": "bench",
            "services": { "read": {
                "match": { "path_prefix": "/" }, "deadline": "5s", "policy": policy,
                "classes": [
                    { "name": "upload", "path_prefix": "/long", "idempotent": true, "length": "long" },
                ],
            } },
        })
    }

    pub fn group(&self, count: usize, slots: usize, entries: Vec<SocketAddr>) -> FleetGroup {
        FleetGroup {
            team: "bench".into(),
            service: "read".into(),
            count,
            slots,
            mean_us: self.mean.as_micros() as u64,
            sigma: self.sigma,
            entries,
        }
    }

    pub fn load(
        &self,
        scenario: Scenario,
        targets: Vec<SocketAddr>,
        seed: u64,
        seconds: f64,
    ) -> LoadOptions {
        let mut short = LoadClass::short_read();
        short.service_time = Some(ServiceTime::LogNormal { mean: self.mean, sigma: self.sigma });
        let rate = self.rate(scenario);
        let mut classes = vec![short];
        if scenario == Scenario::Uploads {
            let share = 1.0 - self.rate(Scenario::ShortOnly) / rate;
            let mut long = LoadClass::long_transfer(share, UPLOAD_BYTES, None);
            long.service_time = Some(ServiceTime::Fixed(UPLOAD_TIME));
            classes[0].share = 1.0 - share;
            classes.push(long);
        }
        let swing = RateSwing {
            start: Duration::from_secs_f64(seconds / 2.0),
            factor: 10.0,
            duration: Duration::from_millis(300),
        };
        LoadOptions {
            targets,
            classes,
            rate,
            duration: Duration::from_secs_f64(seconds),
            swings: if scenario == Scenario::Swing { vec![swing] } else { Vec::new() },
            seed,
            connections_per_target: 1500,
            max_in_flight: 18_000,
            ..LoadOptions::default()
        }
    }
}

impl Scenario {
    /// Brings the servers into the state of the scenario before the run.
    pub fn prepare(self, fleet: &mut ServerFleet) -> anyhow::Result<()> {
        match self {
            Self::Straggler => fleet.straggler(0, 5.0),
            Self::FailFast => fleet.fail_fast(0, 500),
            _ => Ok(()),
        }
    }

    /// Acts in the middle of the run.
    pub async fn disturb(
        self,
        system: &mut BenchSystem,
        fleet: &mut ServerFleet,
    ) -> anyhow::Result<()> {
        match self {
            Self::EntryKilled | Self::HolderKilled => {
                let dump = system.dump(system.entries[0].operator).await?;
                let holder = dump["services"]["bench/read"]["holder"].as_str().unwrap_or_default();
                let wanted = self == Self::HolderKilled;
                let mut entries = system.entries.iter_mut();
                if let Some(entry) = entries.find(|entry| (entry.name == holder) == wanted) {
                    entry.kill();
                }
            }
            Self::Draining => {
                for server in 0..fleet.addresses.len() / 2 {
                    fleet.drain(server)?;
                }
            }
            _ => (),
        }
        Ok(())
    }

    /// Undoes the scenario's changes.
    pub async fn restore(
        self,
        system: &mut BenchSystem,
        fleet: &mut ServerFleet,
    ) -> anyhow::Result<()> {
        match self {
            Self::Straggler | Self::FailFast => {
                fleet.normal(0)?;
                // Lets an ejected server return.
                async_std::task::sleep(Duration::from_secs(2)).await;
            }
            Self::EntryKilled | Self::HolderKilled => {
                system.restart_entries()?;
                system.wait_healthy().await?;
                system.wait_servers("bench/read", fleet.addresses.len()).await?;
            }
            Self::Draining => {
                for server in 0..fleet.addresses.len() / 2 {
                    fleet.ready(server)?;
                }
                system.wait_servers("bench/read", fleet.addresses.len()).await?;
                async_std::task::sleep(Duration::from_secs(2)).await;
            }
            _ => (),
        }
        Ok(())
    }
}
