//! Suspicion and removal of silent servers.
//!
//! Counted are starting, ready and suspect servers. A draining server that falls silent has most
//! likely left as it said, so it neither counts nor is kept.
//!
//! - More than half of them late: none is removed. All stay suspect, for at most `HOLD_LIMIT`.
//! - They come back one by one: each is ready again at its heartbeat. When no more than half are
//!   late, the rest aren't removed at once, although they have been silent for long: each gets a
//!   full `GONE_AFTER` from that moment.
//! - A service with one server: a silent server is always more than half, so it stays suspect. Its
//!   removal would leave nothing to route to.
//! - A service with two: one silent server is half and is removed; then the rule for one applies.

use std::time::{Duration, Instant};

use super::announcement::{LifeEvent, LifeState, next_state};
use super::{
    ASK_AFTER, DirectoryAction, FORGET_AFTER, GONE_AFTER, HOLD_LIMIT, SUSPECT_AFTER,
    ServerDirectory, ServerRecord, ServiceEntry, ServiceKey,
};

/// Interval at which a service with late servers is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Times that peers are asked about one silence, others each time; the first ones may have missed the
/// same batch.
const ASK_TIMES: u32 = 3;

/// Interval of these requests; the last one is 200 ms before suspicion.
const ASK_INTERVAL: Duration = Duration::from_millis(200);

impl ServerDirectory {
    /// Looks at the services whose check is due.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let mut forgotten: Vec<(ServiceKey, Vec<ServerRecord>)> = Vec::new();
        for (key, entry) in &mut self.services {
            if entry.next_check > now {
                continue;
            }
            let was_mass = entry.mass_suspicion;
            entry.suspect_late(now, actions, &mut self.counters.suspected);
            entry.ask_about_late(now, &mut self.requests.late);
            if entry.mass_suspicion && !was_mass {
                self.counters.mass_suspicions += 1;
            }
            entry.remove_lost(now, actions, &mut self.counters.expired);
            let records = entry.forget_gone(now);
            if !records.is_empty() {
                forgotten.push((key.clone(), records));
            }
            entry.schedule_check(now);
        }
        for (key, records) in forgotten {
            self.drop_records(&key, &records);
        }
    }

    fn drop_records(&mut self, key: &ServiceKey, records: &[ServerRecord]) {
        self.server_count -= records.len();
        for record in records {
            self.digest = self.digest.wrapping_sub(record.content_digest);
            self.by_digest.remove(&record.content_digest);
        }
        if let Some(count) = self.servers_by_team.get_mut(&key.team) {
            *count -= records.len();
            if *count == 0 {
                self.servers_by_team.remove(&key.team);
            }
        }
        if self.services.get(key).is_some_and(|entry| entry.servers.is_empty()) {
            self.services.remove(key);
        }
    }
}

impl ServiceEntry {
    fn suspect_late(
        &mut self,
        now: Instant,
        actions: &mut Vec<DirectoryAction>,
        suspected: &mut u64,
    ) {
        let mut counted = 0_usize;
        let mut late = 0_usize;
        for record in self.servers.values_mut() {
            if matches!(record.life, LifeState::Draining | LifeState::Gone) {
                continue;
            }
            counted += 1;
            if record.silence(now) < SUSPECT_AFTER {
                continue;
            }
            late += 1;
            if record.step(LifeEvent::HeartbeatLate, actions) {
                *suspected += 1;
            }
        }
        let mass = late * 2 > counted;
        if self.mass_suspicion && !mass {
            self.suspicion_ended = Some(now);
        }
        self.mass_suspicion = mass;
    }

    /// Notes the servers about which peers are to be asked.
    fn ask_about_late(&mut self, now: Instant, late: &mut Vec<u64>) {
        for record in self.servers.values_mut() {
            let counts = matches!(record.life, LifeState::Starting | LifeState::Ready);
            if counts && record.ask_due().is_some_and(|due| now >= due) {
                record.asked += 1;
                late.push(record.content_digest);
            }
        }
    }

    fn remove_lost(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>, expired: &mut u64) {
        let grace = self.suspicion_ended.is_some_and(|ended| now < ended + GONE_AFTER);
        let held = self.mass_suspicion || grace;
        for record in self.servers.values_mut() {
            let silence = record.silence(now);
            if record.life == LifeState::Gone || silence < GONE_AFTER {
                continue;
            }
            if held && record.life != LifeState::Draining && silence < HOLD_LIMIT {
                continue;
            }
            if record.step(LifeEvent::HeartbeatLost, actions) {
                *expired += 1;
            }
        }
    }

    fn forget_gone(&mut self, now: Instant) -> Vec<ServerRecord> {
        let old = |record: &ServerRecord| {
            record.life == LifeState::Gone && record.silence(now) >= FORGET_AFTER
        };
        if !self.servers.values().any(old) {
            return Vec::new();
        }
        let mut kept = std::mem::take(&mut self.servers);
        let forgotten: Vec<_> = kept.extract_if(.., |_, record| old(record)).collect();
        self.servers = kept;
        let mut records = Vec::new();
        for (_, record) in forgotten {
            self.digest = self.digest.wrapping_sub(record.content_digest);
            records.push(record);
        }
        records
    }

    /// Sets the next check from the oldest heartbeat, so that a service without late servers is
    /// scanned once in about `SUSPECT_AFTER` and not at every tick.
    fn schedule_check(&mut self, now: Instant) {
        let mut next = now + ASK_AFTER;
        for record in self.servers.values() {
            let due = match record.life {
                LifeState::Starting | LifeState::Ready => {
                    record.ask_due().unwrap_or(record.heard + SUSPECT_AFTER)
                }
                LifeState::Draining => record.heard + GONE_AFTER,
                LifeState::Gone => record.heard + FORGET_AFTER,
                LifeState::Suspect => now + RECHECK_INTERVAL,
            };
            next = next.min(due);
        }
        self.next_check = next;
    }
}

impl ServerRecord {
    /// Returns when peers are to be asked about the server; `None` when they were asked often enough.
    fn ask_due(&self) -> Option<Instant> {
        (self.asked < ASK_TIMES).then(|| self.heard + ASK_AFTER + ASK_INTERVAL * self.asked)
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard)
    }

    fn step(&mut self, event: LifeEvent, actions: &mut Vec<DirectoryAction>) -> bool {
        let from = self.life;
        self.life = next_state(from, event);
        if self.life == from {
            return false;
        }
        let announcement = self.announcement.clone();
        actions.push(DirectoryAction::ServerChanged {
            from: Some(from),
            to: self.life,
            announcement,
        });
        true
    }
}
