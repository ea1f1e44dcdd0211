//! When entries were in touch with control, by their logs.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::support::FleetChild;

/// When an entry was in touch with control, by its log.
pub struct ControlHistory {
    /// Times since the epoch, and whether control is in touch from then on.
    changes: Vec<(Duration, bool)>,
}

impl ControlHistory {
    pub fn read(entry: &FleetChild) -> Self {
        let mut changes = Vec::new();
        for (event, in_touch) in
            [("process_started", false), ("control_lost", false), ("control_regained", true)]
        {
            for line in entry.log_lines(event) {
                let time = line.split(' ').find_map(|field| field.strip_prefix("time="));
                let seconds = time.and_then(|time| time.parse().ok()).expect("a time in seconds");
                changes.push((Duration::from_secs_f64(seconds), in_touch));
            }
        }
        changes.sort();
        Self { changes }
    }

    /// Whether the entry is in touch at a time since the epoch.
    pub fn in_touch(&self, at: Duration) -> bool {
        let before = self.changes.iter().rfind(|(changed_at, _)| *changed_at <= at);
        before.is_some_and(|(_, in_touch)| *in_touch)
    }

    /// Whether the entry was in touch at `at` and all of `time` before it.
    pub fn in_touch_for(&self, at: Instant, time: Duration) -> bool {
        let (start, end) = (since_epoch(at - time), since_epoch(at));
        let mut changes = self.changes.iter();
        self.in_touch(start) && !changes.any(|(at, _)| *at > start && *at <= end)
    }
}

/// Time since the epoch, as the logs state it.
pub fn since_epoch(at: Instant) -> Duration {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    epoch.saturating_sub(at.elapsed())
}

/// Number of the entry that a request was sent to, from its id.
pub fn entry_of(id: &str) -> usize {
    let entry = id.rsplit("-e").next().and_then(|entry| entry.parse().ok());
    entry.expect("the id names the entry")
}
