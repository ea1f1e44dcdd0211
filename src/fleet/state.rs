//! Replicated state: the document in force and the announced servers.

mod zone_orders;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::announcement::{IncarnationStart, NamedAnnouncement, ServerAnnouncement, ServerState};
use super::document::{RouteDocument, RouteKey, RouteRule};
use super::tenant::TenantRule;
use super::update::{DocumentHead, FleetUpdate, ServerView};
use crate::ids::{LogIndex, RequestDigest, ServerId, TenantName, ZoneName};
use zone_orders::OrderHistory;
pub use zone_orders::{MAX_EVACUATED, OrderOutcome, ZoneOrder};

/// Maximum number of tombstones of each kind. An entry whose revision is older than a discarded
/// tombstone gets a complete update.
const MAX_TOMBSTONES: usize = 4096;

/// Maximum number of requests in quarantine. A full quarantine refuses further ones, so that nobody can
/// push a request out with others.
pub const MAX_QUARANTINED: usize = 1024;

/// Command that changes the replicated state.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the document; `text` is the document as the operator sent it.
    PutDocument {
        document: Box<RouteDocument>,
        #[serde(with = "serde_bytes")]
        text: Vec<u8>,
    },
    Announce(ServerId, ServerAnnouncement),
    /// Removes an incarnation of a server; `None` stands for the current one.
    Leave(ServerId, Option<IncarnationStart>),
    /// Marks incarnations of servers as silent because their heartbeats stopped.
    Silent(Vec<(ServerId, IncarnationStart)>),
    /// Clears the silent mark of servers whose heartbeats resumed.
    Heard(Vec<(ServerId, IncarnationStart)>),
    /// Puts requests that crash servers into quarantine; members of older versions skip the command.
    Quarantine(Vec<RequestDigest>),
    /// Takes requests out of quarantine.
    Release(Vec<RequestDigest>),
    /// [`Self::OrderZone`] in logs of older versions, which is never outdated.
    Evacuate(ZoneName),
    /// The same for the end of an evacuation.
    EndEvacuation(ZoneName),
    /// Evacuates an availability zone, so that its servers get nothing more, or ends that.
    OrderZone(ZoneOrder),
}

impl fmt::Debug for FleetCommand {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, subject): (_, &dyn fmt::Debug) = match self {
            // The text contains keys.
            Self::PutDocument { document, .. } => ("PutDocument", document),
            Self::Announce(_, announcement) => ("Announce", announcement),
            Self::Leave(server, _) => ("Leave", server),
            Self::Silent(servers) => ("Silent", servers),
            Self::Heard(servers) => ("Heard", servers),
            Self::Quarantine(digests) => ("Quarantine", digests),
            Self::Release(digests) => ("Release", digests),
            Self::Evacuate(zone) => ("Evacuate", zone),
            Self::EndEvacuation(zone) => ("EndEvacuation", zone),
            Self::OrderZone(order) => ("OrderZone", order),
        };
        formatter.debug_tuple(name).field(subject).finish()
    }
}

/// Document as the operator sent it. Its debug output does not show the text, which contains keys.
#[derive(Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct DocumentText(#[serde(with = "serde_bytes")] Vec<u8>);

impl fmt::Debug for DocumentText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "DocumentText({} bytes)", self.0.len())
    }
}

/// Failure to decode a replicated command or a snapshot.
#[derive(Debug, Error)]
#[error("replicated state cannot be decoded: {0}")]
pub struct StateError(Box<str>);

/// Replicated record of one server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    pub announcement: ServerAnnouncement,
    /// Whether heartbeats to the control members have stopped.
    pub silent: bool,
    /// Log index of the last change.
    changed: LogIndex,
}

/// State after all commands up to `revision`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetState {
    revision: LogIndex,
    document: RouteDocument,
    text: DocumentText,
    /// Log index at which the document was last replaced; 0 before the first one.
    head_changed: LogIndex,
    /// Log index of the last change of each route.
    route_changes: BTreeMap<RouteKey, LogIndex>,
    /// Tombstones of removed routes, with the log index of the removal.
    removed_routes: BTreeMap<RouteKey, LogIndex>,
    servers: BTreeMap<ServerId, ServerRecord>,
    /// Tombstones of servers that left. The incarnation in a tombstone and all earlier ones cannot
    /// announce themselves again.
    left: BTreeMap<ServerId, (IncarnationStart, LogIndex)>,
    /// An entry at a lower revision gets a complete update.
    complete_from: LogIndex,
    /// Requests that no entry sends to a server, with the log index of the command.
    #[serde(default)]
    quarantine: BTreeMap<RequestDigest, LogIndex>,
    /// Tombstones of released requests, with the log index of the release.
    #[serde(default)]
    released: BTreeMap<RequestDigest, LogIndex>,
    /// Log index of the last change of each tenant.
    #[serde(default)]
    tenant_changes: BTreeMap<TenantName, LogIndex>,
    /// Tombstones of removed tenants, with the log index of the removal.
    #[serde(default)]
    removed_tenants: BTreeMap<TenantName, LogIndex>,
    /// Availability zones whose servers get nothing.
    #[serde(default)]
    evacuated: BTreeSet<ZoneName>,
    /// Log index at which an evacuation last began or ended.
    #[serde(default)]
    evacuated_changed: LogIndex,
    /// Log indexes of the newest evacuations that found no room below the maximum.
    #[serde(default)]
    refused_evacuations: BTreeSet<LogIndex>,
    #[serde(default)]
    zone_orders: OrderHistory,
}

impl FleetCommand {
    /// Whether the command has an empty list.
    pub fn is_empty(&self) -> bool {
        match self {
            Self::Silent(servers) | Self::Heard(servers) => servers.is_empty(),
            Self::Quarantine(digests) | Self::Release(digests) => digests.is_empty(),
            Self::PutDocument { .. } | Self::Announce(..) | Self::Leave(..) => false,
            Self::Evacuate(_) | Self::EndEvacuation(_) | Self::OrderZone(_) => false,
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        ciborium::from_reader(bytes).map_err(|error| StateError(error.to_string().into()))
    }
}

impl FleetState {
    pub fn snapshot(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to memory does not fail");
        bytes
    }

    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        ciborium::from_reader(bytes).map_err(|error| StateError(error.to_string().into()))
    }

    pub fn revision(&self) -> LogIndex {
        self.revision
    }

    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Current document as the operator sent it; `None` before the first one.
    pub fn text(&self) -> Option<&[u8]> {
        (self.head_changed > 0).then_some(&self.text.0)
    }

    pub fn servers(&self) -> &BTreeMap<ServerId, ServerRecord> {
        &self.servers
    }

    /// Requests in quarantine, with the log index at which they came in.
    pub fn quarantine(&self) -> &BTreeMap<RequestDigest, LogIndex> {
        &self.quarantine
    }

    /// Whether this incarnation of `server` has left.
    pub fn has_left(&self, server: &ServerId, started: IncarnationStart) -> bool {
        self.left.get(server).is_some_and(|(left, _)| started <= *left)
    }

    /// Advances the revision to `index`; a log entry need not carry a command.
    pub fn advance(&mut self, index: LogIndex) {
        self.revision = self.revision.max(index);
    }

    /// Applies the command at `index`.
    pub fn apply(&mut self, index: LogIndex, command: FleetCommand) {
        self.advance(index);
        match command {
            FleetCommand::PutDocument { document, text } => self.put(index, *document, text),
            FleetCommand::Announce(server, announcement) => {
                self.announce(index, server, announcement)
            }
            FleetCommand::Leave(server, started) => self.leave(index, &server, started),
            FleetCommand::Silent(servers) => self.set_silent(index, servers, true),
            FleetCommand::Heard(servers) => self.set_silent(index, servers, false),
            FleetCommand::Quarantine(digests) => self.add_quarantined(index, digests),
            FleetCommand::Release(digests) => self.release(index, digests),
            FleetCommand::Evacuate(zone) => {
                self.order_zone(index, ZoneOrder { zone, evacuates: true, seen: LogIndex::MAX });
            }
            FleetCommand::EndEvacuation(zone) => {
                self.order_zone(index, ZoneOrder { zone, evacuates: false, seen: LogIndex::MAX });
            }
            FleetCommand::OrderZone(order) => self.order_zone(index, order),
        }
        self.prune_tombstones();
    }

    fn put(&mut self, index: LogIndex, document: RouteDocument, text: Vec<u8>) {
        if self.head_changed > 0 && document.version <= self.document.version {
            return;
        }
        let routes = (&self.document.routes, &document.routes);
        record_changes(index, routes, &mut self.route_changes, &mut self.removed_routes);
        let tenants = (&self.document.tenants, &document.tenants);
        record_changes(index, tenants, &mut self.tenant_changes, &mut self.removed_tenants);
        self.document = document;
        self.text = DocumentText(text);
        self.head_changed = index;
    }

    fn announce(
        &mut self,
        index: LogIndex,
        server: ServerId,
        mut announcement: ServerAnnouncement,
    ) {
        if self.has_left(&server, announcement.started) {
            return;
        }
        if let Some(known) = self.servers.get(&server) {
            if !announcement.supersedes(&known.announcement) {
                return;
            }
            let same_incarnation = known.announcement.started == announcement.started;
            if same_incarnation && known.announcement.state == ServerState::Draining {
                // Draining is final within an incarnation.
                announcement.state = ServerState::Draining;
            }
        }
        let holders = self.servers.iter().filter(|(other, record)| {
            **other != server && record.announcement.address == announcement.address
        });
        let holders: Vec<_> =
            holders.map(|(id, record)| (id.clone(), record.announcement.started)).collect();
        if holders.iter().any(|(_, started)| *started > announcement.started) {
            // A late announcement from a server whose address now belongs to a newer server.
            return;
        }
        for (holder, started) in holders {
            self.leave(index, &holder, Some(started));
        }
        let record = ServerRecord { announcement, silent: false, changed: index };
        self.servers.insert(server, record);
    }

    fn leave(&mut self, index: LogIndex, server: &ServerId, started: Option<IncarnationStart>) {
        let known = self.servers.get(server).map(|record| record.announcement.started);
        let Some(started) = started.or(known) else { return };
        if known.is_some_and(|known| known <= started) {
            self.servers.remove(server);
        }
        let last = self.left.get(server).map_or(0, |(last, _)| *last);
        self.left.insert(server.clone(), (started.max(last), index));
    }

    fn set_silent(
        &mut self,
        index: LogIndex,
        servers: Vec<(ServerId, IncarnationStart)>,
        silent: bool,
    ) {
        for (server, started) in servers {
            let Some(record) = self.servers.get_mut(&server) else { continue };
            if record.announcement.started != started || record.silent == silent {
                continue;
            }
            record.silent = silent;
            record.changed = index;
        }
    }

    fn add_quarantined(&mut self, index: LogIndex, digests: Vec<RequestDigest>) {
        for digest in digests {
            if self.quarantine.contains_key(&digest) || self.quarantine.len() >= MAX_QUARANTINED {
                continue;
            }
            self.quarantine.insert(digest, index);
            self.released.remove(&digest);
        }
    }

    fn release(&mut self, index: LogIndex, digests: Vec<RequestDigest>) {
        for digest in digests {
            if self.quarantine.remove(&digest).is_some() {
                self.released.insert(digest, index);
            }
        }
    }

    fn prune_tombstones(&mut self) {
        while self.left.len() > MAX_TOMBSTONES {
            let Some((server, index)) = oldest(self.left.iter().map(|(id, (_, at))| (id, at)))
            else {
                return;
            };
            self.left.remove(&server);
            self.complete_from = self.complete_from.max(index);
        }
        prune(&mut self.removed_routes, &mut self.complete_from);
        prune(&mut self.removed_tenants, &mut self.complete_from);
        prune(&mut self.released, &mut self.complete_from);
    }

    /// Returns the update from revision `from` to the current revision.
    pub fn update_since(&self, from: LogIndex) -> FleetUpdate {
        let complete = from == 0 || from < self.complete_from;
        let since = if complete { 0 } else { from };
        let routes = self.route_changes.iter().filter(|(_, changed)| **changed > since);
        let rule_of = |key: &RouteKey| -> Option<(RouteKey, RouteRule)> {
            Some((key.clone(), self.document.routes.get(key)?.clone()))
        };
        // A complete update replaces the whole state, so it needs no tombstones.
        let removed =
            self.removed_routes.iter().filter(|(_, changed)| !complete && **changed > since);
        let servers = self.servers.iter().filter(|(_, record)| record.changed > since);
        let left = self.left.iter().filter(|(_, (_, changed))| !complete && *changed > since);
        let quarantined = self.quarantine.iter().filter(|(_, changed)| **changed > since);
        let released = self.released.iter().filter(|(_, changed)| !complete && **changed > since);
        let tenants = self.tenant_changes.iter().filter(|(_, changed)| **changed > since);
        let tenant_of = |name: &TenantName| -> Option<(TenantName, TenantRule)> {
            Some((name.clone(), self.document.tenants.get(name)?.clone()))
        };
        let removed_tenants =
            self.removed_tenants.iter().filter(|(_, changed)| !complete && **changed > since);
        let evacuated_changed = complete || self.evacuated_changed > since;
        let head = || DocumentHead {
            version: self.document.version,
            limits: self.document.limits,
            services: self.document.services.clone(),
        };
        let routes: Vec<_> = routes.filter_map(|(key, _)| rule_of(key)).collect();
        let public_routes = routes.iter().filter(|(_, rule)| rule.is_public);
        FleetUpdate {
            public_routes: public_routes.map(|(key, _)| key.clone()).collect(),
            from: since,
            to: self.revision,
            complete,
            head: (self.head_changed > since).then(head),
            routes,
            removed_routes: removed.map(|(key, _)| key.clone()).collect(),
            servers: servers.map(|(id, record)| (id.clone(), ServerView::of(record))).collect(),
            left: left.map(|(id, (started, _))| (id.clone(), *started)).collect(),
            quarantined: quarantined.map(|(digest, _)| *digest).collect(),
            released: released.map(|(digest, _)| *digest).collect(),
            tenants: tenants.filter_map(|(name, _)| tenant_of(name)).collect(),
            removed_tenants: removed_tenants.map(|(name, _)| name.clone()).collect(),
            evacuated: evacuated_changed.then(|| self.evacuated.clone()),
        }
    }

    /// Whether an announcement would change the state and must be replicated.
    pub fn needs_replication(&self, server_announcement: &NamedAnnouncement) -> bool {
        let (server, announcement) = server_announcement;
        if self.has_left(server, announcement.started) {
            return false;
        }
        match self.servers.get(server) {
            Some(known) => {
                let known = &known.announcement;
                let reverts_drain = announcement.started == known.started
                    && known.state == ServerState::Draining
                    && announcement.state == ServerState::Ready;
                announcement.supersedes(known) && announcement.differs(known) && !reverts_drain
            }
            None => true,
        }
    }
}

/// Records at which index entries of a document were last changed, and tombstones of those that are gone.
fn record_changes<K: Clone + Ord, V: PartialEq>(
    index: LogIndex,
    (before, after): (&BTreeMap<K, V>, &BTreeMap<K, V>),
    changes: &mut BTreeMap<K, LogIndex>,
    tombstones: &mut BTreeMap<K, LogIndex>,
) {
    for (key, value) in after {
        if before.get(key) == Some(value) {
            continue;
        }
        changes.insert(key.clone(), index);
        tombstones.remove(key);
    }
    for key in before.keys() {
        if after.contains_key(key) {
            continue;
        }
        changes.remove(key);
        tombstones.insert(key.clone(), index);
    }
}

/// Discards the oldest tombstones beyond the maximum. An entry at a lower revision than `complete_from` gets a
/// complete update.
fn prune<K: Clone + Ord>(tombstones: &mut BTreeMap<K, LogIndex>, complete_from: &mut LogIndex) {
    while tombstones.len() > MAX_TOMBSTONES {
        let Some((key, index)) = oldest(tombstones.iter()) else { return };
        tombstones.remove(&key);
        *complete_from = (*complete_from).max(index);
    }
}

fn oldest<'a, K: Clone + 'a>(
    items: impl Iterator<Item = (&'a K, &'a LogIndex)>,
) -> Option<(K, LogIndex)> {
    items.min_by_key(|(_, index)| **index).map(|(key, index)| (key.clone(), *index))
}
