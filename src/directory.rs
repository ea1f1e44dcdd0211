//! Servers as announced, kept by every entry and by control.
//!
//! An entry that hears a server by HTTP relays the heartbeat once, in a batch, to all other
//! processes; a relayed heartbeat is never relayed again. One heartbeat therefore costs one relay
//! item per link, whatever the number of batches or the order of their arrival.

mod announcement;
mod expiry;
mod sync;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use announcement::{
    AnnouncedState, LifeEvent, LifeState, RelayedAnnouncement, ServerAnnouncement, ServiceKey,
    next_state,
};
pub use sync::{ServerSummary, ServiceSummary};

use crate::ids::{ServerId, TeamName};

/// A server without a heartbeat for this long is suspect; servers send one each second.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// A server without a heartbeat for this long is gone, unless its service is under mass suspicion.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// A gone server's numbers are kept for this long after its last heartbeat, so that a delayed
/// copy of an old announcement can't bring it back.
pub const FORGET_AFTER: Duration = Duration::from_secs(70);

/// Longest time that mass suspicion keeps a silent server. Without a limit, a service that its
/// team has taken away would occupy the directory forever.
pub const HOLD_LIMIT: Duration = Duration::from_secs(3_600);

/// Time that heartbeats wait for their batch.
pub const RELAY_INTERVAL: Duration = Duration::from_millis(50);

/// Announcements in one batch. At 2 KiB for the longest ones a batch stays under the 8 MiB frame.
pub const RELAY_BATCH: usize = 1_024;

/// Bounds of one directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryLimits {
    pub services: usize,
    pub servers: usize,
    /// Keeps one team from filling the directory for the others.
    pub servers_per_team: usize,
    pub servers_per_service: usize,
    /// Bytes of each text field.
    pub text_bytes: usize,
}

impl Default for DirectoryLimits {
    /// Twice the servers and services that the design page expects in two years.
    fn default() -> Self {
        Self {
            services: 8_400,
            servers: 46_000,
            servers_per_team: 11_500,
            servers_per_service: 1_024,
            text_bytes: 255,
        }
    }
}

/// What the directory is told.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// A server announced itself here by HTTP.
    Announced(ServerAnnouncement),
    /// Another process sent a batch or an answer of anti-entropy.
    Relayed(Vec<RelayedAnnouncement>),
    /// Time has passed; due at least every `RELAY_INTERVAL` while `relay_due` is set.
    Tick,
}

/// What the directory asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryAction {
    /// Send to every other entry and to control.
    Relay(Vec<RelayedAnnouncement>),
    /// A server appeared, or its life-cycle state or description changed.
    ServerChanged { from: Option<LifeState>, to: LifeState, announcement: Arc<ServerAnnouncement> },
    /// A heartbeat changed only the load.
    LoadReported { announcement: Arc<ServerAnnouncement> },
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCounters {
    pub announced: u64,
    pub relayed_in: u64,
    pub relayed_out: u64,
    pub batches_out: u64,
    /// Announcements that brought nothing new.
    pub ignored_old: u64,
    pub refused_full: u64,
    pub refused_text: u64,
    pub suspected: u64,
    pub expired: u64,
    /// Times that a service came under mass suspicion.
    pub mass_suspicions: u64,
}

/// One server as the directory knows it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub announcement: Arc<ServerAnnouncement>,
    pub life: LifeState,
    /// Estimated time of the newest heartbeat, by the local clock.
    pub heard: Instant,
    content_digest: u64,
    relay_pending: bool,
}

/// Servers of one service.
#[derive(Debug)]
struct ServiceEntry {
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Wrapping sum of the servers' content digests, so that one server changes it in O(1).
    digest: u64,
    /// No server of the service is due for expiry before this time.
    next_check: Instant,
    /// More than half of the servers are late.
    mass_suspicion: bool,
    /// End of the last mass suspicion; silent servers get a full `GONE_AFTER` from here.
    suspicion_ended: Option<Instant>,
}

/// The directory of one process.
#[derive(Debug)]
pub struct ServerDirectory {
    limits: DirectoryLimits,
    services: BTreeMap<ServiceKey, ServiceEntry>,
    servers_by_team: BTreeMap<TeamName, usize>,
    server_count: usize,
    digest: u64,
    pending: Vec<(ServiceKey, ServerId)>,
    relay_at: Option<Instant>,
    counters: DirectoryCounters,
}

impl ServerDirectory {
    /// Creates an empty directory.
    pub fn new(limits: DirectoryLimits) -> Self {
        Self {
            limits,
            services: BTreeMap::new(),
            servers_by_team: BTreeMap::new(),
            server_count: 0,
            digest: 0,
            pending: Vec::new(),
            relay_at: None,
            counters: DirectoryCounters::default(),
        }
    }

    /// Applies one event and returns what to do.
    pub fn handle(&mut self, now: Instant, event: DirectoryEvent) -> Vec<DirectoryAction> {
        let mut actions = Vec::new();
        match event {
            DirectoryEvent::Announced(announcement) => {
                self.counters.announced += 1;
                let announcement = Arc::new(announcement);
                if self.hear(now, now, &announcement, &mut actions) {
                    self.queue_relay(now, &announcement);
                }
            }
            DirectoryEvent::Relayed(batch) => {
                for item in batch {
                    self.counters.relayed_in += 1;
                    let age = Duration::from_millis(item.age_ms);
                    let heard = now.checked_sub(age).unwrap_or(now);
                    self.hear(now, heard, &item.announcement, &mut actions);
                }
            }
            DirectoryEvent::Tick => {
                self.expire(now, &mut actions);
                self.flush_relays(now, &mut actions);
            }
        }
        actions
    }

    /// Returns the time at which waiting heartbeats are to be relayed by a tick.
    pub fn relay_due(&self) -> Option<Instant> {
        self.relay_at
    }

    /// Returns the counts since the start.
    pub fn counters(&self) -> DirectoryCounters {
        self.counters
    }

    /// Returns the servers of one service, including those recently gone.
    pub fn servers(&self, service: &ServiceKey) -> impl Iterator<Item = &ServerRecord> + use<'_> {
        self.services.get(service).into_iter().flat_map(|entry| entry.servers.values())
    }

    /// Returns the number of servers kept, including those recently gone.
    pub fn server_count(&self) -> usize {
        self.server_count
    }

    /// Returns whether more than half of the service's servers are late.
    pub fn is_mass_suspicion(&self, service: &ServiceKey) -> bool {
        self.services.get(service).is_some_and(|entry| entry.mass_suspicion)
    }

    /// Merges one announcement; returns whether it brought anything new.
    fn hear(
        &mut self,
        now: Instant,
        heard: Instant,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> bool {
        if announcement.longest_text() > self.limits.text_bytes {
            self.counters.refused_text += 1;
            return false;
        }
        let key = announcement.service_key();
        let Some(entry) = self.services.get_mut(&key) else {
            return self.insert(now, heard, key, announcement, actions);
        };
        let Some(record) = entry.servers.get_mut(&announcement.server) else {
            return self.insert(now, heard, key, announcement, actions);
        };
        let old = Arc::clone(&record.announcement);
        let merged = old.merge(announcement);
        if merged.same_heartbeat(&old) {
            self.counters.ignored_old += 1;
            return false;
        }
        let heartbeat = (merged.incarnation, merged.sequence) > (old.incarnation, old.sequence);
        let restarted = merged.incarnation > old.incarnation;
        if heartbeat {
            record.heard = record.heard.max(heard);
            entry.next_check = entry.next_check.min(heard + SUSPECT_AFTER);
        }
        let event = match restarted {
            true => LifeEvent::Restarted(merged.state),
            false => LifeEvent::Announced(merged.state),
        };
        let from = record.life;
        // An older announcement that only raises the state to draining or gone is no sign of life.
        if heartbeat || merged.state != old.state {
            record.life = next_state(from, event);
        }
        let changed = merged.differs_for_routing(&old);
        record.announcement = merged;
        if changed {
            let digest = record.announcement.content_digest();
            let delta = digest.wrapping_sub(record.content_digest);
            record.content_digest = digest;
            entry.digest = entry.digest.wrapping_add(delta);
            self.digest = self.digest.wrapping_add(delta);
        }
        let announcement = Arc::clone(&record.announcement);
        if changed || record.life != from {
            let to = record.life;
            actions.push(DirectoryAction::ServerChanged { from: Some(from), to, announcement });
        } else if announcement.load != old.load {
            actions.push(DirectoryAction::LoadReported { announcement });
        }
        true
    }

    fn insert(
        &mut self,
        now: Instant,
        heard: Instant,
        key: ServiceKey,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> bool {
        let forgotten = now.saturating_duration_since(heard) >= FORGET_AFTER;
        if forgotten && announcement.state == AnnouncedState::Gone {
            self.counters.ignored_old += 1;
            return false;
        }
        if !self.has_room(&key) {
            self.counters.refused_full += 1;
            return false;
        }
        let content_digest = announcement.content_digest();
        let record = ServerRecord {
            announcement: Arc::clone(announcement),
            life: announcement.state.into(),
            heard,
            content_digest,
            relay_pending: false,
        };
        let to = record.life;
        *self.servers_by_team.entry(key.team.clone()).or_default() += 1;
        self.server_count += 1;
        self.digest = self.digest.wrapping_add(content_digest);
        let entry = self.services.entry(key).or_insert_with(|| ServiceEntry::new(heard));
        entry.digest = entry.digest.wrapping_add(content_digest);
        entry.next_check = entry.next_check.min(heard + SUSPECT_AFTER);
        entry.servers.insert(announcement.server.clone(), record);
        let announcement = Arc::clone(announcement);
        actions.push(DirectoryAction::ServerChanged { from: None, to, announcement });
        true
    }

    fn has_room(&self, key: &ServiceKey) -> bool {
        let in_service = self.services.get(key).map(|entry| entry.servers.len());
        let in_team = self.servers_by_team.get(&key.team).copied().unwrap_or(0);
        if in_service.is_none() && self.services.len() >= self.limits.services {
            return false;
        }
        in_service.unwrap_or(0) < self.limits.servers_per_service
            && in_team < self.limits.servers_per_team
            && self.server_count < self.limits.servers
    }

    fn queue_relay(&mut self, now: Instant, announcement: &ServerAnnouncement) {
        let key = announcement.service_key();
        let Some(entry) = self.services.get_mut(&key) else {
            return;
        };
        let Some(record) = entry.servers.get_mut(&announcement.server) else {
            return;
        };
        // A second heartbeat within the interval goes out with the first one's place.
        if record.relay_pending {
            return;
        }
        record.relay_pending = true;
        self.pending.push((key, announcement.server.clone()));
        self.relay_at.get_or_insert(now + RELAY_INTERVAL);
    }

    fn flush_relays(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if self.relay_at.is_none_or(|due| due > now) {
            return;
        }
        self.relay_at = None;
        let mut items = Vec::new();
        for (key, server) in std::mem::take(&mut self.pending) {
            let entry = self.services.get_mut(&key);
            let Some(record) = entry.and_then(|entry| entry.servers.get_mut(&server)) else {
                continue;
            };
            record.relay_pending = false;
            items.push(record.relayed(now));
        }
        self.counters.relayed_out += items.len() as u64;
        for batch in items.chunks(RELAY_BATCH) {
            self.counters.batches_out += 1;
            actions.push(DirectoryAction::Relay(batch.to_vec()));
        }
    }
}

impl ServerRecord {
    fn relayed(&self, now: Instant) -> RelayedAnnouncement {
        let age = now.saturating_duration_since(self.heard);
        let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        RelayedAnnouncement { announcement: Arc::clone(&self.announcement), age_ms }
    }
}

impl ServiceEntry {
    fn new(heard: Instant) -> Self {
        Self {
            servers: BTreeMap::new(),
            digest: 0,
            next_check: heard + SUSPECT_AFTER,
            mass_suspicion: false,
            suspicion_ended: None,
        }
    }
}
