//! What an entry knows of the room in one zone.

use std::time::{Duration, Instant};

use crate::fleet::decay::decay_factor;

/// Time constant of the mean utilisation. An entry sees a few reports a second; a shorter one would
/// follow single servers.
const UTILIZATION_TIME_CONSTANT: Duration = Duration::from_millis(1000);

/// Weight of a new report in the mean while reports are frequent.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// Time for which the mean is believed without a further report.
const ROOM_LIFETIME: Duration = Duration::from_secs(4);

/// Utilisation assumed of a server that does not answer a probe because it is full.
const FULL_UTILIZATION: f64 = 1.2;

/// Upper limit of a reported utilisation. One server with a long queue, or one that reports any numbers,
/// says little about its zone.
const MAX_UTILIZATION: f64 = 2.0;

/// Slots of the servers of one zone that can be used now. Ejected, evacuated, leaving and cold servers do
/// not count.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ZoneCapacity {
    pub slots: f64,
    /// Requests of this entry at these servers.
    pub in_flight: f64,
}

/// Moving average of the utilisation of a zone's servers.
#[derive(Debug, Clone, Default)]
pub struct ZoneRoom {
    utilization: Option<(f64, Instant)>,
    pub capacity: ZoneCapacity,
}

impl ZoneRoom {
    /// Records that a server has `occupied` of its `slots` in use.
    pub fn record_load(&mut self, now: Instant, occupied: u32, slots: u32) {
        let utilization = f64::from(occupied) / f64::from(slots.max(1));
        self.record(now, utilization.min(MAX_UTILIZATION));
    }

    /// Records a server that is full. Full servers alone give no mean: the zone's servers may report no
    /// load at all.
    pub fn record_full(&mut self, now: Instant) {
        if self.known(now).is_some() {
            self.record(now, FULL_UTILIZATION);
        }
    }

    fn record(&mut self, now: Instant, sample: f64) {
        let Some((mean, at)) = self.known(now) else {
            self.utilization = Some((sample, now));
            return;
        };
        let kept = decay_factor(now.saturating_duration_since(at), UTILIZATION_TIME_CONSTANT);
        let weight = (1.0 - kept).max(MIN_SAMPLE_WEIGHT);
        self.utilization = Some((mean + (sample - mean) * weight, now));
    }

    fn known(&self, now: Instant) -> Option<(f64, Instant)> {
        self.utilization.filter(|(_, at)| now.saturating_duration_since(*at) < ROOM_LIFETIME)
    }

    /// Mean utilisation; `None` if no server of the zone has reported lately.
    pub fn utilization(&self, now: Instant) -> Option<f64> {
        let (mean, _) = self.known(now)?;
        Some(mean.max(self.capacity.in_flight / self.capacity.slots.max(1.0)))
    }
}
