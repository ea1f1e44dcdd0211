//! Measures how many requests per second callers send.

use super::BootTime;

/// Time in seconds over which requests are averaged. It follows a crowd within a few renewals.
const AVERAGING_SECONDS: f64 = 2.0;

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
        self.weighted_count(now) / AVERAGING_SECONDS
    }

    fn weighted_count(&self, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.weighted_count * (-elapsed / AVERAGING_SECONDS).exp()
    }
}
