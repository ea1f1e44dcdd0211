//! Config file of a process in fleet mode: JSON with comments, validated before the process starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

use super::config::{
    ControlConfig, EntryConfig, FleetConfig, FleetRole, QuotaLimits, RetryLimits, WarmupLimits,
};
use super::zone_balance::WayPrices;
use crate::units::parse_duration;

/// Errors in a config file.
#[derive(Debug, Error)]
pub enum FileError {
    #[error("{path}: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("{path}: {message}")]
    Format { path: PathBuf, message: Box<str> },
    #[error("{field}: `{text}` is not a duration such as 250ms or 6s")]
    Duration { field: &'static str, text: Box<str> },
    #[error("{0} is no number from 0 on")]
    Negative(&'static str),
    #[error("exactly one of `entry` and `control` is required")]
    Role,
    #[error("entry.line_mbps must be above 0")]
    LineSpeed,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    name: Box<str>,
    availability_zone: Box<str>,
    seeds: Vec<SocketAddr>,
    grace: Box<str>,
    metrics: Option<SocketAddr>,
    quota: Option<QuotaSection>,
    warmup: Option<WarmupSection>,
    entry: Option<EntrySection>,
    control: Option<ControlSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct QuotaSection {
    window: Box<str>,
    overshoot: f64,
    tolerance: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WarmupSection {
    overshoot: f64,
    tolerance: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EntrySection {
    traffic: SocketAddr,
    readiness: SocketAddr,
    retry_ratio: f64,
    retry_slack: u32,
    retry_window: Box<str>,
    line_mbps: Option<f64>,
    zone_traffic: Option<ZoneTrafficSection>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ZoneTrafficSection {
    request_price: f64,
    mib_price: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ControlSection {
    operator: SocketAddr,
    link: SocketAddr,
    data_folder: PathBuf,
    form: bool,
    survivable_losses: usize,
    heartbeat: Box<str>,
}

/// Reads and validates a config file.
pub fn read_config(path: &Path) -> Result<FleetConfig, FileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| FileError::Read { path: path.to_owned(), error })?;
    let file: FleetFile =
        jsonc_parser::parse_to_serde_value(&text, &Default::default()).map_err(|error| {
            FileError::Format { path: path.to_owned(), message: error.to_string().into() }
        })?;
    file.into_config()
}

impl FleetFile {
    fn into_config(self) -> Result<FleetConfig, FileError> {
        let role = match (self.entry, self.control) {
            (Some(entry), None) => FleetRole::Entry(entry.into_config()?),
            (None, Some(control)) => FleetRole::Control(control.into_config()?),
            _ => return Err(FileError::Role),
        };
        Ok(FleetConfig {
            name: self.name,
            availability_zone: self.availability_zone,
            seeds: self.seeds,
            grace: duration("grace", &self.grace)?,
            metrics: self.metrics,
            quota: self.quota.map_or(Ok(QuotaLimits::default()), QuotaSection::into_limits)?,
            warmup: self.warmup.map_or(Ok(WarmupLimits::default()), WarmupSection::into_limits)?,
            role,
        })
    }
}

impl QuotaSection {
    fn into_limits(self) -> Result<QuotaLimits, FileError> {
        Ok(QuotaLimits {
            window: duration("quota.window", &self.window)?,
            overshoot: non_negative("quota.overshoot", self.overshoot)?,
            tolerance: non_negative("quota.tolerance", self.tolerance)?,
        })
    }
}

impl WarmupSection {
    fn into_limits(self) -> Result<WarmupLimits, FileError> {
        Ok(WarmupLimits {
            overshoot: non_negative("warmup.overshoot", self.overshoot)?,
            tolerance: non_negative("warmup.tolerance", self.tolerance)?,
        })
    }
}

impl EntrySection {
    fn into_config(self) -> Result<EntryConfig, FileError> {
        let window = duration("entry.retry_window", &self.retry_window)?;
        let retry = RetryLimits { ratio: self.retry_ratio, slack: self.retry_slack, window };
        if self.line_mbps.is_some_and(|mbps| !mbps.is_finite() || mbps <= 0.0) {
            return Err(FileError::LineSpeed);
        }
        let way_prices = self.zone_traffic.map(ZoneTrafficSection::into_prices).transpose()?;
        let way_prices = way_prices.unwrap_or_default();
        let Self { traffic, readiness, line_mbps, .. } = self;
        Ok(EntryConfig { traffic, readiness, retry, line_mbps, way_prices })
    }
}

impl ZoneTrafficSection {
    fn into_prices(self) -> Result<WayPrices, FileError> {
        Ok(WayPrices {
            request: non_negative("entry.zone_traffic.request_price", self.request_price)?,
            mib: non_negative("entry.zone_traffic.mib_price", self.mib_price)?,
        })
    }
}

impl ControlSection {
    fn into_config(self) -> Result<ControlConfig, FileError> {
        Ok(ControlConfig {
            operator: self.operator,
            link: self.link,
            data_folder: self.data_folder,
            form: self.form,
            survivable_losses: self.survivable_losses,
            heartbeat: duration("control.heartbeat", &self.heartbeat)?,
        })
    }
}

fn non_negative(field: &'static str, value: f64) -> Result<f64, FileError> {
    if value.is_finite() && value >= 0.0 { Ok(value) } else { Err(FileError::Negative(field)) }
}

fn duration(field: &'static str, text: &str) -> Result<Duration, FileError> {
    parse_duration(text).ok_or_else(|| FileError::Duration { field, text: text.into() })
}
