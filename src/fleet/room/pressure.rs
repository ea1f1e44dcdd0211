//! How much of the least urgent load is turned away so that the rest is served.

use std::time::{Duration, Instant};

use crate::fleet::decay::decay_factor;

/// Share of the admitted requests that should find a server. The few others show that there is no room left
/// that is not used.
const TARGET_SHARE: f64 = 0.95;

/// Time over which admitted requests are counted. An entry sees some ten requests of a service in it.
const COUNT_TIME: Duration = Duration::from_millis(700);

/// Admitted requests from which on their share is used.
const MIN_REQUESTS: f64 = 3.0;

/// Change of the pressure a second, for each unit by which the share misses its target. What is admitted now
/// fills the servers for some tenths of a second; a faster change would overshoot.
const CHANGE_RATE: f64 = 2.0;

/// Share of the probes that find room while the room is back.
const FREE_SHARE: f64 = 0.6;

/// Time after which such a share is no chance.
const FREE_TIME: Duration = Duration::from_millis(200);

/// Fall of the pressure a second while the room is back, so that nobody is refused for long after it.
const FREE_FALL: f64 = 4.0;

/// Longest time between two requests that counts.
const MAX_STEP: Duration = Duration::from_millis(200);

/// Part of the requests of the lowest standing that is turned away, from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct AdmissionPressure {
    pressure: f64,
    admitted: f64,
    found: f64,
    last_at: Option<Instant>,
    /// Time since when most probes find room.
    free_since: Option<Instant>,
}

impl AdmissionPressure {
    /// Records whether an admitted request found a server; `probe_share` is the share of the latest probes
    /// that found room.
    pub fn record(&mut self, now: Instant, has_found: bool, probe_share: f64) {
        let age = self.last_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let remaining = decay_factor(age, COUNT_TIME);
        self.admitted = self.admitted * remaining + 1.0;
        self.found = self.found * remaining + f64::from(u8::from(has_found));
        self.last_at = Some(now);
        let share = if self.admitted < MIN_REQUESTS { 1.0 } else { self.found / self.admitted };
        self.free_since = (probe_share >= FREE_SHARE).then(|| self.free_since.unwrap_or(now));
        let is_free =
            self.free_since.is_some_and(|at| now.saturating_duration_since(at) >= FREE_TIME);
        let fall = if is_free { FREE_FALL } else { 0.0 };
        let rate = CHANGE_RATE * (TARGET_SHARE - share) - fall;
        let step = age.min(MAX_STEP).as_secs_f64();
        self.pressure = (self.pressure + rate * step).clamp(0.0, 1.0);
    }

    /// Current pressure. It is gone when there was no request for a while.
    pub fn get(&self, now: Instant) -> f64 {
        let is_old =
            self.last_at.is_none_or(|at| now.saturating_duration_since(at) > 2 * COUNT_TIME);
        if is_old { 0.0 } else { self.pressure }
    }
}
