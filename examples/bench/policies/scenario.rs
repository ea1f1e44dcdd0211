//! Load and fault injection of each scenario.

use std::net::SocketAddr;
use std::time::Duration;

use clap::ValueEnum;
use curranthollow::load::{LoadClass, LoadOptions, RateSwing};
use curranthollow::stand_in::ServiceTime;
use serde_json::{Value, json};

use crate::fleet::{ServerFleet, ServerGroup};
use crate::system::BenchSystem;

/// Service time of an upload.
const UPLOAD_TIME: Duration = Duration::from_millis(500);

/// Size of an upload in bytes.
const UPLOAD_BYTES: u64 = 256 * 1024;

/// Fraction of the capacity that uploads use.
const UPLOAD_CAPACITY_FRACTION: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// 85 % of the capacity.
    Steady,
    /// 30 % of the capacity, with a sudden swing to ten times as much for 300 ms.
    Swing,
    /// 60 % of the capacity; the reference for uploads.
    ShortOnly,
    /// The same short work, and uploads of 256 KiB and 500 ms for 10 % of the capacity.
    Uploads,
    /// 70 % of the capacity; one server takes five times as long.
    Straggler,
    /// 70 % of the capacity; one server answers `500` at once.
    FailFast,
    /// 70 % of the capacity; an entry other than the account holder is killed halfway.
    EntryKilled,
    /// 70 % of the capacity; the account holder is killed halfway.
    HolderKilled,
    /// 40 % of the capacity; half of the servers start to drain halfway.
    Draining,
}

/// Server capacity and short work of a measurement.
pub struct Workload {
    pub total_slots: usize,
    pub mean_service_time: Duration,
    pub sigma: f64,
    pub run_seconds: f64,
}

impl Workload {
    /// Returns the rate of short requests, per second, that keeps every slot busy.
    pub fn capacity(&self) -> f64 {
        self.total_slots as f64 / self.mean_service_time.as_secs_f64()
    }

    /// Returns the request rate per second outside a swing.
    pub fn rate(&self, scenario: Scenario) -> f64 {
        let upload_rate =
            UPLOAD_CAPACITY_FRACTION * self.total_slots as f64 / UPLOAD_TIME.as_secs_f64();
        match scenario {
            Scenario::Steady => self.capacity() * 0.85,
            Scenario::Swing => self.capacity() * 0.3,
            Scenario::ShortOnly => self.capacity() * 0.6,
            Scenario::Uploads => self.capacity() * 0.6 + upload_rate,
            Scenario::Draining => self.capacity() * 0.4,
            _ => self.capacity() * 0.7,
        }
    }

    /// Returns the settings document of the team.
    pub fn settings_document(&self, policy: &str) -> Value {
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

    pub fn server_group(
        &self,
        count: usize,
        slots: usize,
        entries: Vec<SocketAddr>,
    ) -> ServerGroup {
        ServerGroup {
            team: "bench".into(),
            service: "read".into(),
            count,
            slots,
            mean_us: self.mean_service_time.as_micros() as u64,
            sigma: self.sigma,
            entries,
        }
    }

    pub fn load_options(
        &self,
        scenario: Scenario,
        targets: Vec<SocketAddr>,
        seed: u64,
        seconds: f64,
    ) -> LoadOptions {
        let mut short = LoadClass::short_read();
        short.service_time =
            Some(ServiceTime::LogNormal { mean: self.mean_service_time, sigma: self.sigma });
        let rate = self.rate(scenario);
        let mut classes = vec![short];
        if scenario == Scenario::Uploads {
            let upload_share = 1.0 - self.rate(Scenario::ShortOnly) / rate;
            let mut upload = LoadClass::long_transfer(upload_share, UPLOAD_BYTES, None);
            upload.service_time = Some(ServiceTime::Fixed(UPLOAD_TIME));
            classes[0].share = 1.0 - upload_share;
            classes.push(upload);
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
    /// Puts the servers into the scenario's initial state before the run.
    pub fn prepare(self, fleet: &mut ServerFleet) -> anyhow::Result<()> {
        match self {
            Self::Straggler => fleet.set_straggler(0, 5.0),
            Self::FailFast => fleet.set_fail_fast(0, 500),
            _ => Ok(()),
        }
    }

    /// Injects the scenario's fault; called in the middle of the run.
    pub async fn inject_fault(
        self,
        system: &mut BenchSystem,
        fleet: &mut ServerFleet,
    ) -> anyhow::Result<()> {
        match self {
            Self::EntryKilled | Self::HolderKilled => {
                let dump = system.dump(system.entries[0].operator_address).await?;
                let holder = dump["services"]["bench/read"]["holder"].as_str().unwrap_or_default();
                let kill_holder = self == Self::HolderKilled;
                let mut entries = system.entries.iter_mut();
                if let Some(entry) = entries.find(|entry| (entry.name == holder) == kill_holder) {
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

    /// Restores the initial state of servers and entries after the run.
    pub async fn restore(
        self,
        system: &mut BenchSystem,
        fleet: &mut ServerFleet,
    ) -> anyhow::Result<()> {
        match self {
            Self::Straggler | Self::FailFast => {
                fleet.set_normal(0)?;
                // Gives the entries time to take an ejected server back.
                async_std::task::sleep(Duration::from_secs(2)).await;
            }
            Self::EntryKilled | Self::HolderKilled => {
                system.restart_entries()?;
                system.wait_healthy().await?;
                system.wait_servers_ready("bench/read", fleet.addresses.len()).await?;
            }
            Self::Draining => {
                for server in 0..fleet.addresses.len() / 2 {
                    fleet.set_ready(server)?;
                }
                system.wait_servers_ready("bench/read", fleet.addresses.len()).await?;
                async_std::task::sleep(Duration::from_secs(2)).await;
            }
            _ => (),
        }
        Ok(())
    }
}
