//! Servers as announced, kept by every entry and by control.
//!
//! An entry that hears a server by HTTP relays changes at once, in a batch, to all other processes;
//! of heartbeats that change nothing else than sequence and load, at most one in `RELAY_QUIET` is
//! relayed. What was relayed is never relayed again, whatever the number of batches or the order of
//! their arrival.

mod announcement;
mod exchange;
mod expiry;
mod heartbeat;
mod sync;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use announcement::{
    AnnouncedState, LifeEvent, LifeState, RelayedAnnouncement, ServerAnnouncement, ServiceKey,
    next_state,
};
pub use exchange::{DirectorySync, SYNC_INTERVAL, SYNC_ITEMS, SyncExchange, SyncReply};
pub use heartbeat::{
    ASK_AFTER, CompactHeartbeat, DirectoryRequest, HeartbeatError, RELAY_QUIET, REQUEST_LIMIT,
};
pub use sync::{ServerSummary, ServiceSummary};

use self::heartbeat::RequestBook;
use crate::ids::{ProcessName, ServerId, TeamName};

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
    /// Another process sent a batch to all processes.
    Relayed(Vec<RelayedAnnouncement>),
    /// Another process sent heartbeats that changed only sequence and load to all processes.
    Heartbeats { from: ProcessName, beats: Vec<CompactHeartbeat> },
    /// Another process sent announcements to this one only, so that others may lack them.
    Answered(Vec<RelayedAnnouncement>),
    /// Time has passed; due at least every `RELAY_INTERVAL` while `relay_due` is set.
    Tick,
}

/// What the directory asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryAction {
    /// Send to every other entry and to control.
    Relay(Vec<RelayedAnnouncement>),
    /// Send to every other entry and to control.
    RelayBeats(Vec<CompactHeartbeat>),
    /// Send to the named peer, or to any two entries.
    Ask { peer: Option<ProcessName>, request: DirectoryRequest },
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
    /// Items of `relayed_out` that were compact.
    pub beats_out: u64,
    /// Heartbeats that were not relayed because a younger one was.
    pub beats_kept: u64,
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
    /// Estimated time of the newest heartbeat that all processes were sent.
    shared: Option<Instant>,
    /// Times that peers were asked about the server since its newest heartbeat.
    asked: u32,
    content_digest: u64,
    pending: Option<PendingRelay>,
}

/// What waits to be relayed of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingRelay {
    Beat,
    Whole,
}

/// What an announcement brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeardNews {
    Nothing,
    /// A new sequence or load only.
    Beat,
    Change,
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
    by_digest: BTreeMap<u64, (ServiceKey, ServerId)>,
    requests: RequestBook,
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
            by_digest: BTreeMap::new(),
            requests: RequestBook::default(),
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
                match self.hear(now, now, &announcement, &mut actions) {
                    HeardNews::Nothing => (),
                    HeardNews::Beat => self.queue_relay(now, &announcement, PendingRelay::Beat),
                    HeardNews::Change => self.queue_relay(now, &announcement, PendingRelay::Whole),
                }
            }
            DirectoryEvent::Relayed(batch) => {
                for item in &batch {
                    let heard = self.hear_item(now, item, &mut actions);
                    if let Some(record) = self.record_mut(&item.announcement) {
                        record.note_shared(heard);
                    }
                }
            }
            DirectoryEvent::Heartbeats { from, beats } => {
                self.hear_beats(now, &from, &beats, &mut actions);
            }
            DirectoryEvent::Answered(batch) => {
                for item in &batch {
                    self.hear_item(now, item, &mut actions);
                }
            }
            DirectoryEvent::Tick => {
                self.expire(now, &mut actions);
                self.flush_relays(now, &mut actions);
                self.requests.flush(now, &mut actions);
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

    fn hear_item(
        &mut self,
        now: Instant,
        item: &RelayedAnnouncement,
        actions: &mut Vec<DirectoryAction>,
    ) -> Instant {
        self.counters.relayed_in += 1;
        let heard = now.checked_sub(Duration::from_millis(item.age_ms)).unwrap_or(now);
        self.hear(now, heard, &item.announcement, actions);
        heard
    }

    fn record_mut(&mut self, announcement: &ServerAnnouncement) -> Option<&mut ServerRecord> {
        let entry = self.services.get_mut(&announcement.service_key())?;
        entry.servers.get_mut(&announcement.server)
    }

    /// Merges one announcement.
    fn hear(
        &mut self,
        now: Instant,
        heard: Instant,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> HeardNews {
        if announcement.longest_text() > self.limits.text_bytes {
            self.counters.refused_text += 1;
            return HeardNews::Nothing;
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
            return HeardNews::Nothing;
        }
        let heartbeat = (merged.incarnation, merged.sequence) > (old.incarnation, old.sequence);
        let restarted = merged.incarnation > old.incarnation;
        if heartbeat {
            record.note_heard(heard);
            entry.next_check = entry.next_check.min(heard + ASK_AFTER);
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
            self.by_digest.remove(&record.content_digest);
            self.by_digest.insert(digest, (key, announcement.server.clone()));
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
        if changed { HeardNews::Change } else { HeardNews::Beat }
    }

    fn insert(
        &mut self,
        now: Instant,
        heard: Instant,
        key: ServiceKey,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> HeardNews {
        let forgotten = now.saturating_duration_since(heard) >= FORGET_AFTER;
        if forgotten && announcement.state == AnnouncedState::Gone {
            self.counters.ignored_old += 1;
            return HeardNews::Nothing;
        }
        if !self.has_room(&key) {
            self.counters.refused_full += 1;
            return HeardNews::Nothing;
        }
        let content_digest = announcement.content_digest();
        let record = ServerRecord {
            announcement: Arc::clone(announcement),
            life: announcement.state.into(),
            heard,
            shared: None,
            asked: 0,
            content_digest,
            pending: None,
        };
        let to = record.life;
        *self.servers_by_team.entry(key.team.clone()).or_default() += 1;
        self.server_count += 1;
        self.digest = self.digest.wrapping_add(content_digest);
        let named = (key.clone(), announcement.server.clone());
        self.by_digest.insert(content_digest, named);
        let entry = self.services.entry(key).or_insert_with(|| ServiceEntry::new(heard));
        entry.digest = entry.digest.wrapping_add(content_digest);
        entry.next_check = entry.next_check.min(heard + ASK_AFTER);
        entry.servers.insert(announcement.server.clone(), record);
        let announcement = Arc::clone(announcement);
        actions.push(DirectoryAction::ServerChanged { from: None, to, announcement });
        HeardNews::Change
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

    fn queue_relay(
        &mut self,
        now: Instant,
        announcement: &ServerAnnouncement,
        relay: PendingRelay,
    ) {
        let Some(record) = self.record_mut(announcement) else {
            return;
        };
        if relay == PendingRelay::Beat && record.was_shared(now) {
            self.counters.beats_kept += 1;
            return;
        }
        // A second heartbeat within the interval goes out with the first one's place.
        let waits = record.pending.is_some();
        record.pending = record.pending.max(Some(relay));
        if !waits {
            self.pending.push((announcement.service_key(), announcement.server.clone()));
        }
        self.relay_at.get_or_insert(now + RELAY_INTERVAL);
    }

    fn flush_relays(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if self.relay_at.is_none_or(|due| due > now) {
            return;
        }
        self.relay_at = None;
        let (mut items, mut beats) = (Vec::new(), Vec::new());
        for (key, server) in std::mem::take(&mut self.pending) {
            let entry = self.services.get_mut(&key);
            let Some(record) = entry.and_then(|entry| entry.servers.get_mut(&server)) else {
                continue;
            };
            match record.pending.take() {
                // Another entry relayed a beat in the meantime.
                Some(PendingRelay::Beat) if record.was_shared(now) => {
                    self.counters.beats_kept += 1;
                    continue;
                }
                Some(PendingRelay::Beat) => beats.push(record.compact(now)),
                _ => items.push(record.relayed(now)),
            }
            record.note_shared(record.heard);
        }
        self.counters.relayed_out += (items.len() + beats.len()) as u64;
        self.counters.beats_out += beats.len() as u64;
        for batch in items.chunks(RELAY_BATCH) {
            self.counters.batches_out += 1;
            actions.push(DirectoryAction::Relay(batch.to_vec()));
        }
        for batch in beats.chunks(RELAY_BATCH) {
            self.counters.batches_out += 1;
            actions.push(DirectoryAction::RelayBeats(batch.to_vec()));
        }
    }
}

impl ServerRecord {
    fn relayed(&self, now: Instant) -> RelayedAnnouncement {
        let age_ms = self.age_ms(now);
        RelayedAnnouncement { announcement: Arc::clone(&self.announcement), age_ms }
    }

    fn compact(&self, now: Instant) -> CompactHeartbeat {
        CompactHeartbeat {
            digest: self.content_digest,
            sequence: self.announcement.sequence,
            load: self.announcement.load,
            age_ms: self.age_ms(now),
        }
    }

    fn age_ms(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.heard);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    fn note_heard(&mut self, heard: Instant) {
        self.heard = self.heard.max(heard);
        self.asked = 0;
    }

    fn note_shared(&mut self, heard: Instant) {
        self.shared = self.shared.max(Some(heard));
    }

    fn was_shared(&self, now: Instant) -> bool {
        self.shared.is_some_and(|shared| now.saturating_duration_since(shared) < RELAY_QUIET)
    }
}

impl ServiceEntry {
    fn new(heard: Instant) -> Self {
        Self {
            servers: BTreeMap::new(),
            digest: 0,
            next_check: heard + ASK_AFTER,
            mass_suspicion: false,
            suspicion_ended: None,
        }
    }
}
