//! Measures how many requests per second callers send.

use std::time::Duration;

use super::BootTime;
use crate::fleet::decay::decay_factor;

/// Time over which requests are averaged. It follows a crowd within a few renewals.
const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Exponentially weighted rate of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandMeter {
    weighted_count: f64,
    updated_at: BootTime,
}

impl DemandMeter {
    pub fn record(&mut self, now: BootTime) {
        self.weighted_count = self.weighted_count(now) + 1.0;
        self.updated_at = now;
    }

    /// Requests per second.
    pub fn rate(&self, now: BootTime) -> f64 {
        self.weighted_count(now) / AVERAGING_TIME.as_secs_f64()
    }

    fn weighted_count(&self, now: BootTime) -> f64 {
        self.weighted_count * decay_factor(now.saturating_sub(self.updated_at), AVERAGING_TIME)
    }
}
