//! Config of one process in fleet mode.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Share and fixed part of the budget for repeated sends, over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Repeated sends per request.
    pub ratio: f64,
    /// Repeated sends that are free in each window.
    pub slack: u32,
    /// Length of the sliding window.
    pub window: Duration,
}

/// What every process needs.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetConfig {
    /// Name for logs.
    pub name: Box<str>,
    pub availability_zone: Box<str>,
    /// Link addresses at which control members may be found.
    pub seeds: Vec<SocketAddr>,
    /// Time from SIGTERM to the end of the process.
    pub grace: Duration,
    /// Address of the metrics page.
    pub metrics: Option<SocketAddr>,
    pub role: FleetRole,
}

/// What one role needs besides.
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
}

/// Config of a control member.
#[derive(Debug, Clone, PartialEq)]
pub struct ControlConfig {
    /// Address for servers and operators.
    pub operator: SocketAddr,
    /// Address for links from entries and other members.
    pub link: SocketAddr,
    pub data_folder: PathBuf,
    /// True only at the first start of the whole system, on which every process has the same seeds.
    pub form: bool,
    /// Members that may lose their disks at the same time.
    pub survivable_losses: usize,
    /// Interval at which servers announce themselves.
    pub heartbeat: Duration,
}
