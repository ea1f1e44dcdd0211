//! Directory of the announced servers, replicated to every entry and to control.
//!
//! Servers announce themselves to an entry over HTTP. The entry relays changes to all other
//! processes in the next batch. Of the heartbeats that change only sequence and load, it relays at
//! most one per server and `MIN_HEARTBEAT_RELAY_INTERVAL`. A relayed announcement is never relayed
//! again, whatever the number of batches and the order of their arrival.
//!
//! The silence of a server is the time since its newest heartbeat.

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
pub use exchange::{DirectorySync, SYNC_INTERVAL, SYNC_ITEMS_PER_SECOND, SyncExchange, SyncReply};
pub use heartbeat::{
    CompactHeartbeat, DirectoryRequest, HeartbeatError, MAX_REQUESTED_DIGESTS,
    MIN_HEARTBEAT_RELAY_INTERVAL, PEER_REQUEST_AFTER,
};
pub use sync::{ServerSummary, ServiceSummary};

use self::heartbeat::PeerRequests;
use crate::ids::{ProcessName, ServerId, TeamName};

/// Silence after which a server is suspect; servers send one heartbeat per second.
pub const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// Silence after which a server is gone, unless its service is under mass suspicion.
pub const GONE_AFTER: Duration = Duration::from_secs(10);

/// Silence after which the record of a gone server is deleted. Until then its incarnation and
/// sequence keep a delayed copy of an old announcement from reviving it.
pub const FORGET_AFTER: Duration = Duration::from_secs(70);

/// Silence after which a server is gone even under mass suspicion. Without this limit, a service
/// that its team has shut down would stay in the directory forever.
pub const MASS_SUSPICION_LIMIT: Duration = Duration::from_secs(3_600);

/// Delay of relayed announcements, within which they are collected into a batch.
pub const RELAY_BATCH_DELAY: Duration = Duration::from_millis(50);

/// Most announcements in one batch. At 2 KiB for the longest one, a batch fits the 8 MiB frame.
pub const MAX_RELAY_BATCH_ITEMS: usize = 1_024;

/// Size limits of one directory.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryLimits {
    pub services: usize,
    pub servers: usize,
    /// Keeps one team from using up the capacity of the others.
    pub servers_per_team: usize,
    pub servers_per_service: usize,
    /// Limit of each text field, in bytes.
    pub text_bytes: usize,
}

impl Default for DirectoryLimits {
    /// Twice the numbers of servers and services that the design expects in two years.
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

/// Input of a `ServerDirectory`.
#[derive(Clone, Debug)]
pub enum DirectoryEvent {
    /// A server announced itself to this process over HTTP.
    Announced(ServerAnnouncement),
    /// Another process relayed a batch to all processes.
    Relayed(Vec<RelayedAnnouncement>),
    /// Another process relayed heartbeats that changed only sequence and load to all processes.
    Heartbeats { from: ProcessName, heartbeats: Vec<CompactHeartbeat> },
    /// Another process sent announcements to this process alone, so others may lack them.
    Answered(Vec<RelayedAnnouncement>),
    /// Runs expiry, relays and requests. It is due at least every `RELAY_BATCH_DELAY` while
    /// `relay_due` is set.
    Tick,
}

/// What the caller of `ServerDirectory::handle` must do.
#[derive(Clone, Debug, PartialEq)]
pub enum DirectoryAction {
    /// Send the announcements to every other entry and to control.
    Relay(Vec<RelayedAnnouncement>),
    /// Send the compact heartbeats to every other entry and to control.
    RelayHeartbeats(Vec<CompactHeartbeat>),
    /// Send the request to the named peer, or to any two entries if there is none.
    SendRequest { peer: Option<ProcessName>, request: DirectoryRequest },
    /// A server is new, or its life-cycle state or description changed.
    ServerChanged { from: Option<LifeState>, to: LifeState, announcement: Arc<ServerAnnouncement> },
    /// A heartbeat changed the load and nothing else.
    LoadReported { announcement: Arc<ServerAnnouncement> },
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DirectoryCounters {
    pub announced: u64,
    pub relayed_in: u64,
    pub relayed_out: u64,
    /// Compact heartbeats among `relayed_out`.
    pub beats_out: u64,
    /// Heartbeats that were not relayed, because another one of the server recently was.
    pub beats_kept: u64,
    pub batches_out: u64,
    /// Announcements that changed nothing, because they were old or repeated.
    pub ignored_old: u64,
    pub refused_full: u64,
    pub refused_text: u64,
    pub suspected: u64,
    pub expired: u64,
    /// Number of times that a service came under mass suspicion.
    pub mass_suspicions: u64,
}

/// State of one server in the directory.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub announcement: Arc<ServerAnnouncement>,
    pub life: LifeState,
    /// Estimated time of the newest heartbeat, by the local clock.
    pub heartbeat_at: Instant,
    /// Estimated time of the newest heartbeat that was relayed to all processes.
    relayed_heartbeat_at: Option<Instant>,
    /// Requests to peers about the server since its newest heartbeat.
    peer_requests: u32,
    content_digest: u64,
    pending_relay: Option<PendingRelay>,
}

/// What the next batch must contain about a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PendingRelay {
    CompactHeartbeat,
    Announcement,
}

/// Effect of a merged announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MergeOutcome {
    Unchanged,
    /// Only sequence and load changed.
    HeartbeatOnly,
    Changed,
}

/// Servers of one service.
#[derive(Debug)]
struct ServiceEntry {
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Wrapping sum of the servers' content digests, so that one server changes it in O(1).
    digest: u64,
    /// No server of the service is due for expiry before this time.
    next_check: Instant,
    /// More than half of the servers are late, so that none is removed (see `expiry`).
    mass_suspicion: bool,
    /// End of the last mass suspicion, from which silent servers get a full `GONE_AFTER`.
    suspicion_ended: Option<Instant>,
}

/// Server directory of one process.
#[derive(Debug)]
pub struct ServerDirectory {
    limits: DirectoryLimits,
    services: BTreeMap<ServiceKey, ServiceEntry>,
    servers_by_team: BTreeMap<TeamName, usize>,
    server_count: usize,
    digest: u64,
    servers_by_digest: BTreeMap<u64, (ServiceKey, ServerId)>,
    requests: PeerRequests,
    pending_relays: Vec<(ServiceKey, ServerId)>,
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
            servers_by_digest: BTreeMap::new(),
            requests: PeerRequests::default(),
            pending_relays: Vec::new(),
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
                match self.merge_announcement(now, now, &announcement, &mut actions) {
                    MergeOutcome::Unchanged => (),
                    MergeOutcome::HeartbeatOnly => {
                        self.queue_relay(now, &announcement, PendingRelay::CompactHeartbeat)
                    }
                    MergeOutcome::Changed => {
                        self.queue_relay(now, &announcement, PendingRelay::Announcement)
                    }
                }
            }
            DirectoryEvent::Relayed(batch) => {
                for item in &batch {
                    let heartbeat_at = self.merge_relayed(now, item, &mut actions);
                    if let Some(record) = self.record_mut(&item.announcement) {
                        record.note_relay(heartbeat_at);
                    }
                }
            }
            DirectoryEvent::Heartbeats { from, heartbeats } => {
                self.merge_heartbeats(now, &from, &heartbeats, &mut actions);
            }
            DirectoryEvent::Answered(batch) => {
                for item in &batch {
                    self.merge_relayed(now, item, &mut actions);
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

    /// Returns the time from which a tick relays the pending batch, if there is one.
    pub fn relay_due(&self) -> Option<Instant> {
        self.relay_at
    }

    pub fn counters(&self) -> DirectoryCounters {
        self.counters
    }

    /// Returns the servers of one service, including gone ones that aren't deleted yet.
    pub fn servers(&self, service: &ServiceKey) -> impl Iterator<Item = &ServerRecord> + use<'_> {
        self.services.get(service).into_iter().flat_map(|entry| entry.servers.values())
    }

    /// Returns the number of servers, including gone ones that aren't deleted yet.
    pub fn server_count(&self) -> usize {
        self.server_count
    }

    fn merge_relayed(
        &mut self,
        now: Instant,
        item: &RelayedAnnouncement,
        actions: &mut Vec<DirectoryAction>,
    ) -> Instant {
        self.counters.relayed_in += 1;
        let heartbeat_at = now.checked_sub(Duration::from_millis(item.age_ms)).unwrap_or(now);
        self.merge_announcement(now, heartbeat_at, &item.announcement, actions);
        heartbeat_at
    }

    fn record_mut(&mut self, announcement: &ServerAnnouncement) -> Option<&mut ServerRecord> {
        let entry = self.services.get_mut(&announcement.service_key())?;
        entry.servers.get_mut(&announcement.server)
    }

    /// Merges one announcement of a heartbeat that was sent at `heartbeat_at`.
    fn merge_announcement(
        &mut self,
        now: Instant,
        heartbeat_at: Instant,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> MergeOutcome {
        if announcement.max_text_bytes() > self.limits.text_bytes {
            self.counters.refused_text += 1;
            return MergeOutcome::Unchanged;
        }
        let key = announcement.service_key();
        let Some(entry) = self.services.get_mut(&key) else {
            return self.insert(now, heartbeat_at, key, announcement, actions);
        };
        let Some(record) = entry.servers.get_mut(&announcement.server) else {
            return self.insert(now, heartbeat_at, key, announcement, actions);
        };
        let old = Arc::clone(&record.announcement);
        let merged = old.merge(announcement);
        if merged.is_repeat_of(&old) {
            self.counters.ignored_old += 1;
            return MergeOutcome::Unchanged;
        }
        let newer_heartbeat =
            (merged.incarnation, merged.sequence) > (old.incarnation, old.sequence);
        let restarted = merged.incarnation > old.incarnation;
        if newer_heartbeat {
            record.note_heartbeat(heartbeat_at);
            entry.next_check = entry.next_check.min(heartbeat_at + PEER_REQUEST_AFTER);
        }
        let event = match restarted {
            true => LifeEvent::Restarted(merged.state),
            false => LifeEvent::Announced(merged.state),
        };
        let from = record.life;
        // An older announcement is no sign of life, but it may raise the state to draining or gone.
        if newer_heartbeat || merged.state != old.state {
            record.life = next_state(from, event);
        }
        let changed = merged.differs_for_routing(&old);
        record.announcement = merged;
        if changed {
            let digest = record.announcement.content_digest();
            let delta = digest.wrapping_sub(record.content_digest);
            self.servers_by_digest.remove(&record.content_digest);
            self.servers_by_digest.insert(digest, (key, announcement.server.clone()));
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
        if changed { MergeOutcome::Changed } else { MergeOutcome::HeartbeatOnly }
    }

    fn insert(
        &mut self,
        now: Instant,
        heartbeat_at: Instant,
        key: ServiceKey,
        announcement: &Arc<ServerAnnouncement>,
        actions: &mut Vec<DirectoryAction>,
    ) -> MergeOutcome {
        let is_forgettable = now.saturating_duration_since(heartbeat_at) >= FORGET_AFTER;
        if is_forgettable && announcement.state == AnnouncedState::Gone {
            self.counters.ignored_old += 1;
            return MergeOutcome::Unchanged;
        }
        if !self.has_capacity(&key) {
            self.counters.refused_full += 1;
            return MergeOutcome::Unchanged;
        }
        let content_digest = announcement.content_digest();
        let record = ServerRecord {
            announcement: Arc::clone(announcement),
            life: announcement.state.into(),
            heartbeat_at,
            relayed_heartbeat_at: None,
            peer_requests: 0,
            content_digest,
            pending_relay: None,
        };
        let to = record.life;
        *self.servers_by_team.entry(key.team.clone()).or_default() += 1;
        self.server_count += 1;
        self.digest = self.digest.wrapping_add(content_digest);
        let server_key = (key.clone(), announcement.server.clone());
        self.servers_by_digest.insert(content_digest, server_key);
        let entry = self.services.entry(key).or_insert_with(|| ServiceEntry::new(heartbeat_at));
        entry.digest = entry.digest.wrapping_add(content_digest);
        entry.next_check = entry.next_check.min(heartbeat_at + PEER_REQUEST_AFTER);
        entry.servers.insert(announcement.server.clone(), record);
        let announcement = Arc::clone(announcement);
        actions.push(DirectoryAction::ServerChanged { from: None, to, announcement });
        MergeOutcome::Changed
    }

    fn has_capacity(&self, key: &ServiceKey) -> bool {
        let in_service = self.services.get(key).map(|entry| entry.servers.len());
        let in_team = self.servers_by_team.get(&key.team).copied().unwrap_or(0);
        if in_service.is_none() && self.services.len() >= self.limits.services {
            return false;
        }
        in_service.unwrap_or(0) < self.limits.servers_per_service
            && in_team < self.limits.servers_per_team
            && self.server_count < self.limits.servers
    }

    fn queue_relay(&mut self, now: Instant, announcement: &ServerAnnouncement, kind: PendingRelay) {
        let Some(record) = self.record_mut(announcement) else {
            return;
        };
        if kind == PendingRelay::CompactHeartbeat && record.relayed_recently(now) {
            self.counters.beats_kept += 1;
            return;
        }
        // A server that is already pending keeps its place; the batch sends its newest state.
        let already_pending = record.pending_relay.is_some();
        record.pending_relay = record.pending_relay.max(Some(kind));
        if !already_pending {
            self.pending_relays.push((announcement.service_key(), announcement.server.clone()));
        }
        self.relay_at.get_or_insert(now + RELAY_BATCH_DELAY);
    }

    fn flush_relays(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        if self.relay_at.is_none_or(|relay_at| relay_at > now) {
            return;
        }
        self.relay_at = None;
        let (mut announcements, mut heartbeats) = (Vec::new(), Vec::new());
        for (key, server) in std::mem::take(&mut self.pending_relays) {
            let entry = self.services.get_mut(&key);
            let Some(record) = entry.and_then(|entry| entry.servers.get_mut(&server)) else {
                continue;
            };
            match record.pending_relay.take() {
                // Another entry has relayed a heartbeat in the meantime.
                Some(PendingRelay::CompactHeartbeat) if record.relayed_recently(now) => {
                    self.counters.beats_kept += 1;
                    continue;
                }
                Some(PendingRelay::CompactHeartbeat) => {
                    heartbeats.push(record.compact_heartbeat(now))
                }
                _ => announcements.push(record.relayed_announcement(now)),
            }
            record.note_relay(record.heartbeat_at);
        }
        self.counters.relayed_out += (announcements.len() + heartbeats.len()) as u64;
        self.counters.beats_out += heartbeats.len() as u64;
        for batch in announcements.chunks(MAX_RELAY_BATCH_ITEMS) {
            self.counters.batches_out += 1;
            actions.push(DirectoryAction::Relay(batch.to_vec()));
        }
        for batch in heartbeats.chunks(MAX_RELAY_BATCH_ITEMS) {
            self.counters.batches_out += 1;
            actions.push(DirectoryAction::RelayHeartbeats(batch.to_vec()));
        }
    }
}

impl ServerRecord {
    fn relayed_announcement(&self, now: Instant) -> RelayedAnnouncement {
        let age_ms = self.age_ms(now);
        RelayedAnnouncement { announcement: Arc::clone(&self.announcement), age_ms }
    }

    fn compact_heartbeat(&self, now: Instant) -> CompactHeartbeat {
        CompactHeartbeat {
            digest: self.content_digest,
            sequence: self.announcement.sequence,
            load: self.announcement.load,
            age_ms: self.age_ms(now),
        }
    }

    fn age_ms(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.heartbeat_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }

    fn note_heartbeat(&mut self, heartbeat_at: Instant) {
        self.heartbeat_at = self.heartbeat_at.max(heartbeat_at);
        self.peer_requests = 0;
    }

    fn note_relay(&mut self, heartbeat_at: Instant) {
        self.relayed_heartbeat_at = self.relayed_heartbeat_at.max(Some(heartbeat_at));
    }

    fn relayed_recently(&self, now: Instant) -> bool {
        self.relayed_heartbeat_at.is_some_and(|relayed_heartbeat_at| {
            now.saturating_duration_since(relayed_heartbeat_at) < MIN_HEARTBEAT_RELAY_INTERVAL
        })
    }
}

impl ServiceEntry {
    fn new(heartbeat_at: Instant) -> Self {
        Self {
            servers: BTreeMap::new(),
            digest: 0,
            next_check: heartbeat_at + PEER_REQUEST_AFTER,
            mass_suspicion: false,
            suspicion_ended: None,
        }
    }
}
