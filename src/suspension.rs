//! Detects that the machine was suspended.
//!
//! The steady clock behind [`std::time::Instant`] stops while a machine is suspended, so a lease or a
//! deadline that is kept as an `Instant` seems valid after it has run out for everybody else.
//! `CLOCK_BOOTTIME` goes on; the difference of the two is the time spent suspended.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Growth of the difference up to which the machine counts as not suspended, because the two clocks
/// are not read at the same instant.
const READING_TOLERANCE: Duration = Duration::from_millis(20);

/// Time since the machine started, including the time for which it was suspended.
pub type BootTime = Duration;

/// Reads the clock that goes on while the machine is suspended.
pub fn boot_time() -> BootTime {
    duration_of(clock_gettime(ClockId::Boottime))
}

/// Time for which the machine has been suspended since it started.
pub fn suspended_time() -> Duration {
    let steady = duration_of(clock_gettime(ClockId::Monotonic));
    boot_time().saturating_sub(steady)
}

fn duration_of(time: Timespec) -> Duration {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}

/// Reports each suspension once.
#[derive(Clone, Copy, Debug, Default)]
pub struct SuspensionWatch {
    known: Duration,
}

impl SuspensionWatch {
    /// Creates a watch at a value of [`suspended_time`].
    pub fn new(suspended: Duration) -> Self {
        Self { known: suspended }
    }

    /// Value of [`suspended_time`] up to which suspensions were reported.
    pub fn known(&self) -> Duration {
        self.known
    }

    /// Returns how long the machine was suspended since the last report; `None` if it was not.
    pub fn check(&mut self, suspended: Duration) -> Option<Duration> {
        let growth = suspended.saturating_sub(self.known);
        if growth <= READING_TOLERANCE {
            return None;
        }
        self.known = suspended;
        Some(growth)
    }
}

/// Time limit that also counts the time for which the machine is suspended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspensionDeadline {
    until: Instant,
    /// Value of [`suspended_time`] when `until` was determined.
    suspended: Duration,
}

impl SuspensionDeadline {
    pub fn new(until: Instant, suspended: Duration) -> Self {
        Self { until, suspended }
    }

    /// Time left at `now`, when [`suspended_time`] returns `suspended`; zero once it has passed.
    pub fn time_left(&self, now: Instant, suspended: Duration) -> Duration {
        let lost = suspended.saturating_sub(self.suspended);
        let lost = if lost <= READING_TOLERANCE { Duration::ZERO } else { lost };
        self.until.saturating_duration_since(now).saturating_sub(lost)
    }

    /// Whether the time limit has passed.
    pub fn is_over(&self, now: Instant, suspended: Duration) -> bool {
        self.time_left(now, suspended).is_zero()
    }
}
