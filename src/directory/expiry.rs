//! Suspicion and removal of silent servers.
//!
//! A service is under mass suspicion while more than half of its starting, ready and suspect
//! servers are late. Draining servers don't count, and mass suspicion doesn't keep them: a draining
//! server that falls silent has most likely stopped as announced.
//!
//! - Under mass suspicion no server is removed. Late servers stay suspect, for at most
//!   `MASS_SUSPICION_LIMIT`.
//! - Servers that return one by one are ready again at their next heartbeat. Once no more than half
//!   are late, the others aren't removed at once, despite their long silence: each gets a full
//!   `GONE_AFTER` from that moment.
//! - In a service with one server, a silent server is always more than half, so it stays suspect.
//!   Its removal would leave no server to route to.
//! - In a service with two servers, one silent server is exactly half and is removed; the rule for
//!   one server then applies.

use std::time::{Duration, Instant};

use super::announcement::{LifeEvent, LifeState, next_state};
use super::{
    DirectoryAction, FORGET_AFTER, GONE_AFTER, MASS_SUSPICION_LIMIT, PEER_REQUEST_AFTER,
    SUSPECT_AFTER, ServerDirectory, ServerRecord, ServiceEntry, ServiceKey,
};

/// Interval at which a service with suspect servers is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most requests to peers during one silence of a server. Each goes to other peers, because the
/// first ones may have missed the same batch.
const MAX_PEER_REQUESTS: u32 = 3;

/// Interval of these requests; the last one is sent 200 ms before the server is suspect.
const PEER_REQUEST_INTERVAL: Duration = Duration::from_millis(200);

impl ServerDirectory {
    /// Checks the services whose check is due.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        let mut forgotten: Vec<(ServiceKey, Vec<ServerRecord>)> = Vec::new();
        for (key, entry) in &mut self.services {
            if entry.next_check > now {
                continue;
            }
            let was_mass_suspicion = entry.mass_suspicion;
            entry.suspect_late_servers(now, actions, &mut self.counters.suspected);
            entry.collect_late_servers(now, &mut self.requests.late);
            if entry.mass_suspicion && !was_mass_suspicion {
                self.counters.mass_suspicions += 1;
            }
            entry.remove_lost_servers(now, actions, &mut self.counters.expired);
            let records = entry.forget_gone_servers(now);
            if !records.is_empty() {
                forgotten.push((key.clone(), records));
            }
            entry.schedule_check(now);
        }
        for (key, records) in forgotten {
            self.remove_records(&key, &records);
        }
    }

    fn remove_records(&mut self, key: &ServiceKey, records: &[ServerRecord]) {
        self.server_count -= records.len();
        for record in records {
            self.digest = self.digest.wrapping_sub(record.content_digest);
            self.servers_by_digest.remove(&record.content_digest);
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
    fn suspect_late_servers(
        &mut self,
        now: Instant,
        actions: &mut Vec<DirectoryAction>,
        suspected: &mut u64,
    ) {
        let mut eligible = 0_usize;
        let mut late = 0_usize;
        for record in self.servers.values_mut() {
            if matches!(record.life, LifeState::Draining | LifeState::Gone) {
                continue;
            }
            eligible += 1;
            if record.silence(now) < SUSPECT_AFTER {
                continue;
            }
            late += 1;
            if record.apply_event(LifeEvent::HeartbeatLate, actions) {
                *suspected += 1;
            }
        }
        let majority_late = late * 2 > eligible;
        if self.mass_suspicion && !majority_late {
            self.suspicion_ended = Some(now);
        }
        self.mass_suspicion = majority_late;
    }

    /// Collects the digests of the servers for which a request to peers is due.
    fn collect_late_servers(&mut self, now: Instant, late: &mut Vec<u64>) {
        for record in self.servers.values_mut() {
            let can_become_suspect = matches!(record.life, LifeState::Starting | LifeState::Ready);
            if can_become_suspect && record.peer_request_due().is_some_and(|due| now >= due) {
                record.peer_requests += 1;
                late.push(record.content_digest);
            }
        }
    }

    fn remove_lost_servers(
        &mut self,
        now: Instant,
        actions: &mut Vec<DirectoryAction>,
        expired: &mut u64,
    ) {
        let in_grace_period = self.suspicion_ended.is_some_and(|ended| now < ended + GONE_AFTER);
        let removal_suspended = self.mass_suspicion || in_grace_period;
        for record in self.servers.values_mut() {
            let silence = record.silence(now);
            if record.life == LifeState::Gone || silence < GONE_AFTER {
                continue;
            }
            if removal_suspended
                && record.life != LifeState::Draining
                && silence < MASS_SUSPICION_LIMIT
            {
                continue;
            }
            if record.apply_event(LifeEvent::HeartbeatLost, actions) {
                *expired += 1;
            }
        }
    }

    fn forget_gone_servers(&mut self, now: Instant) -> Vec<ServerRecord> {
        let is_forgettable = |record: &ServerRecord| {
            record.life == LifeState::Gone && record.silence(now) >= FORGET_AFTER
        };
        if !self.servers.values().any(is_forgettable) {
            return Vec::new();
        }
        let mut servers = std::mem::take(&mut self.servers);
        let forgotten: Vec<_> =
            servers.extract_if(.., |_, record| is_forgettable(record)).collect();
        self.servers = servers;
        let mut records = Vec::new();
        for (_, record) in forgotten {
            self.digest = self.digest.wrapping_sub(record.content_digest);
            records.push(record);
        }
        records
    }

    /// Schedules the next check by the oldest heartbeat, so that a service without late servers is
    /// scanned about once per `SUSPECT_AFTER` instead of at every tick.
    fn schedule_check(&mut self, now: Instant) {
        let mut next = now + PEER_REQUEST_AFTER;
        for record in self.servers.values() {
            let due = match record.life {
                LifeState::Starting | LifeState::Ready => {
                    record.peer_request_due().unwrap_or(record.heartbeat_at + SUSPECT_AFTER)
                }
                LifeState::Draining => record.heartbeat_at + GONE_AFTER,
                LifeState::Gone => record.heartbeat_at + FORGET_AFTER,
                LifeState::Suspect => now + RECHECK_INTERVAL,
            };
            next = next.min(due);
        }
        self.next_check = next;
    }
}

impl ServerRecord {
    /// Returns when the next request to peers about the server is due; `None` after the last one.
    fn peer_request_due(&self) -> Option<Instant> {
        (self.peer_requests < MAX_PEER_REQUESTS).then(|| {
            self.heartbeat_at + PEER_REQUEST_AFTER + PEER_REQUEST_INTERVAL * self.peer_requests
        })
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heartbeat_at)
    }

    fn apply_event(&mut self, event: LifeEvent, actions: &mut Vec<DirectoryAction>) -> bool {
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
