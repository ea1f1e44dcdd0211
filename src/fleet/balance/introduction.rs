//! First requests of servers that joined later than the others.

use std::time::{Duration, Instant};

use super::{ServerStats, ServiceBalancer, rendezvous_score};
use crate::ids::ServerId;

/// Requests that a new server gets from all entries together as its introduction, as a multiple of its
/// slots. Without them a cold server of a service with little load would get none.
const INTRODUCTION_FACTOR: f64 = 2.0;

/// Time over which these requests are spread.
const INTRODUCTION_TIME: Duration = Duration::from_secs(2);

impl ServiceBalancer {
    /// Decides by a hash whether this entry introduces a new server, and when, so that all entries
    /// together send a few requests and not all at the same moment.
    pub(super) fn schedule_introduction(
        &mut self,
        now: Instant,
        entry: &str,
        entry_count: u32,
        server: &ServerId,
        stats: &ServerStats,
    ) {
        if stats.warmup.is_limited(now, &self.pacing) {
            if let Some(due_at) = stats.warmup.first_send(now, &self.pacing) {
                self.introductions.insert(server.clone(), due_at);
            }
            return;
        }
        let slots = stats.slots;
        let share = INTRODUCTION_FACTOR * f64::from(slots) / f64::from(entry_count.max(1));
        // Another hash than that of the ranking: mostly entries that do not prefer the server.
        let score = rendezvous_score(server, entry);
        if score < share {
            let delay = INTRODUCTION_TIME.mul_f64((score / share).clamp(0.0, 1.0));
            self.introductions.insert(server.clone(), now + delay);
        }
    }

    /// Returns a new server whose introduction is due.
    pub(super) fn due_introduction(
        &self,
        now: Instant,
        tried: &[ServerId],
    ) -> Option<(&ServerId, &ServerStats)> {
        for (server, due_at) in &self.introductions {
            if *due_at > now || tried.contains(server) {
                continue;
            }
            let known = self.servers.get_key_value(server);
            let usable =
                known.filter(|(_, stats)| self.may_get(now, stats) && stats.is_available(now));
            if usable.is_some() {
                return usable;
            }
        }
        None
    }
}
