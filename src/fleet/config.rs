//! Config of a process in fleet mode.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::zone_balance::WayPrices;

/// Limits of the retry budget, shared by all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in each window regardless of the number of requests.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Limits of the tenants' quotas, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimits {
    /// Length of the sliding window in which requests are counted.
    pub window: Duration,
    /// Part of a quota by which a window may exceed it.
    pub overshoot: f64,
    /// Requests by which a window may exceed a quota besides.
    pub tolerance: f64,
}

impl Default for QuotaLimits {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overshoot: 0.1, tolerance: 20.0 }
    }
}

/// Limits on the requests of one second to a cold server, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimits {
    /// Factor by which a second may exceed the warm-up rate.
    pub overshoot: f64,
    /// Requests by which a second may exceed it besides.
    pub tolerance: f64,
}

impl Default for WarmupLimits {
    fn default() -> Self {
        Self { overshoot: 1.5, tolerance: 8.0 }
    }
}

/// Config common to all roles.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Process name, used in logs.
    pub name: Box<str>,
    pub availability_zone: Box<str>,
    /// Link addresses used to discover control members.
    pub seeds: Vec<SocketAddr>,
    /// Time allowed for a graceful stop after SIGTERM.
    pub grace: Duration,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
    pub quota: QuotaLimits,
    pub warmup: WarmupLimits,
    pub role: FleetRole,
}

/// Config of one role.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetRole {
    Entry(EntryConfig),
    Control(ControlConfig),
}

/// Config of an entry.
#[derive(Debug, Clone, PartialEq)]
pub struct EntryConfig {
    pub traffic: SocketAddr,
    pub readiness: SocketAddr,
    pub retry: RetryLimits,
    /// Speed of the machine's line in Mbit/s, if known. Long bodies use only a part of a slow line.
    pub line_mbps: Option<f64>,
    pub way_prices: WayPrices,
}

/// Config of a control member.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlConfig {
    /// Address for servers and operators.
    pub operator: SocketAddr,
    /// Address for links from entries and other members.
    pub link: SocketAddr,
    pub data_folder: PathBuf,
    /// Whether to form a new cluster. True only at the first start of the whole system, when every
    /// process has the same seeds.
    pub form: bool,
    /// Number of members that may lose their disks at the same time.
    pub survivable_losses: usize,
    /// Interval of server heartbeats.
    pub heartbeat: Duration,
}
