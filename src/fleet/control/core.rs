//! State of a control member: the Raft node, the replicated state, pending calls and the heartbeats
//! of servers.

mod apply;
pub(super) mod failover;
mod quarantine;
pub(super) mod quota;
mod snapshot;
mod status;
mod upkeep;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot, watch};

use self::failover::LeaderLossCounts;
use self::quota::GrantLinks;
use super::disk::{self, DiskJob, DiskReport};
use super::heard::HeartbeatTracker;
use super::leader_watch::LeaderWatch;
use super::peers::PeerLinks;
use crate::consensus::message::RaftMessage;
use crate::consensus::node::Proposal;
use crate::consensus::{RaftAction, RaftEvent, RaftNode, Role};
use crate::fleet::announcement::IncarnationStart;
use crate::fleet::config::QuotaLimits;
use crate::fleet::control::placement::JoinRequests;
use crate::fleet::crash::controller::{QuarantineController, ReportBatch};
use crate::fleet::link::{self, CallOutcome, ForwardCall, LinkFrame, LinkMessage};
use crate::fleet::quota::deputy::QuotaDeputy;
use crate::fleet::quota::holder::QuotaHolder;
use crate::fleet::state::{FleetCommand, FleetState};
use crate::fleet::update::CompactUpdate;
use crate::ids::{LogIndex, MemberId, ProcessName, ServerId, TermNumber, ZoneName};
use crate::log_info;
use crate::storage::{FormedIdentity, StoredIdentity};
use crate::suspension::boot_time;

/// Time after which a forwarded call without a reply is abandoned.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which followers report received heartbeats to the leader, and at which the leader
/// checks for silent servers.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Recipient of the outcome of a consensus request.
enum CallWaiter {
    Local(oneshot::Sender<CallOutcome>),
    Remote {
        to: ProcessName,
        request: u64,
    },
    /// No recipient: the member itself made the request and repeats it if it has no effect.
    Internal,
}

/// State of a control member, confined to one thread.
pub struct ControlCore {
    name: ProcessName,
    zone: ZoneName,
    survivable_losses: usize,
    heartbeat: Duration,
    seeds: Vec<SocketAddr>,
    member: MemberId,
    /// Member list at the formation, which stays when the member takes a new id.
    formed: Option<FormedIdentity>,
    /// Whether a new id is being saved.
    is_rejoining: bool,
    node: RaftNode,
    state: FleetState,
    applied: LogIndex,
    snapshot_index: LogIndex,
    /// Size of the log entries applied since that snapshot.
    unsaved_bytes: usize,
    /// Whether a snapshot of this member's state is being saved.
    is_saving_snapshot: bool,
    disk: Sender<DiskJob>,
    peers: Rc<PeerLinks>,
    revision: watch::Sender<LogIndex>,
    /// Encoded updates to the current revision, keyed by the revision they start from.
    updates: BTreeMap<LogIndex, LinkFrame>,
    /// The same in parts.
    update_parts: BTreeMap<LogIndex, Rc<[LinkFrame]>>,
    last_request: u64,
    /// Requests that the Raft node has not accepted yet.
    requests: BTreeMap<u64, CallWaiter>,
    /// Requests that are in the log but not committed, with the term of their log entry.
    uncommitted: BTreeMap<LogIndex, (TermNumber, CallWaiter)>,
    /// Calls that were forwarded to the leader.
    forwarded_calls: BTreeMap<u64, (Instant, oneshot::Sender<CallOutcome>)>,
    join_requests: JoinRequests,
    /// Addresses of members that sent Raft messages. A new learner needs them to answer the leader
    /// before it has a member list.
    sender_addresses: BTreeMap<MemberId, SocketAddr>,
    heartbeat_tracker: HeartbeatTracker,
    quarantine: QuarantineController,
    leading_since: Option<Instant>,
    leader_watch: LeaderWatch,
    leader_losses: LeaderLossCounts,
    quota_holder: QuotaHolder,
    /// Stocks for the time in which no holder answers.
    deputy: QuotaDeputy,
    /// Last message of the leader that this member follows.
    leader_heard_at: Option<Instant>,
    grant_links: GrantLinks,
    has_committed_leader: watch::Sender<bool>,
    next_report_at: Instant,
    /// Time for which the next tick is scheduled.
    tick_due: Instant,
    tick_wake: Rc<Notify>,
    entries: u32,
    started: Instant,
}

/// Shared handle to the core; must not be borrowed across an `await`.
pub type SharedCore = Rc<RefCell<ControlCore>>;

/// Arguments of [`ControlCore::new`].
pub struct CoreParts {
    pub name: ProcessName,
    pub zone: ZoneName,
    pub survivable_losses: usize,
    pub heartbeat: Duration,
    pub seeds: Vec<SocketAddr>,
    pub identity: StoredIdentity,
    pub node: RaftNode,
    pub state: FleetState,
    pub snapshot_index: LogIndex,
    pub disk: Sender<DiskJob>,
    pub peers: Rc<PeerLinks>,
    pub quota: QuotaLimits,
}

impl ControlCore {
    pub fn new(parts: CoreParts, now: Instant) -> Self {
        Self {
            quota_holder: QuotaHolder::new(parts.quota, parts.name.clone()),
            deputy: QuotaDeputy::new(&parts.name, boot_time()),
            leader_heard_at: None,
            grant_links: GrantLinks::default(),
            name: parts.name,
            zone: parts.zone,
            survivable_losses: parts.survivable_losses,
            heartbeat: parts.heartbeat,
            seeds: parts.seeds,
            member: parts.identity.member,
            formed: parts.identity.formed,
            is_rejoining: false,
            node: parts.node,
            applied: parts.snapshot_index,
            state: parts.state,
            snapshot_index: parts.snapshot_index,
            unsaved_bytes: 0,
            is_saving_snapshot: false,
            disk: parts.disk,
            peers: parts.peers,
            revision: watch::Sender::new(parts.snapshot_index),
            updates: BTreeMap::new(),
            update_parts: BTreeMap::new(),
            last_request: 0,
            requests: BTreeMap::new(),
            uncommitted: BTreeMap::new(),
            forwarded_calls: BTreeMap::new(),
            join_requests: JoinRequests::new(),
            sender_addresses: BTreeMap::new(),
            heartbeat_tracker: HeartbeatTracker::default(),
            quarantine: QuarantineController::default(),
            leading_since: None,
            leader_watch: LeaderWatch::default(),
            leader_losses: LeaderLossCounts::default(),
            has_committed_leader: watch::Sender::new(false),
            next_report_at: now,
            tick_due: now,
            tick_wake: Rc::default(),
            entries: 0,
            started: now,
        }
    }

    pub fn state(&self) -> &FleetState {
        &self.state
    }

    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the encoded update for an entry at revision `from` and the revision that it leads to;
    /// `None` if the entry is up to date.
    ///
    /// Most entries are at the same revision, so each update is encoded once and cached.
    pub fn update_frame(&mut self, from: LogIndex) -> Option<(LogIndex, LinkFrame)> {
        if self.applied <= from {
            return None;
        }
        let state = &self.state;
        let frame = self
            .updates
            .entry(from)
            .or_insert_with(|| link::encode(&LinkMessage::Update(state.update_since(from))));
        Some((self.applied, frame.clone()))
    }

    /// Like [`Self::update_frame`], in parts.
    pub fn update_part_frames(&mut self, from: LogIndex) -> Option<(LogIndex, Rc<[LinkFrame]>)> {
        if self.applied <= from {
            return None;
        }
        let state = &self.state;
        let parts = self
            .update_parts
            .entry(from)
            .or_insert_with(|| link::encode_parts(&CompactUpdate(state.update_since(from))).into());
        Some((self.applied, Rc::clone(parts)))
    }

    /// Subscribes to the revision of the replicated state.
    pub fn subscribe(&self) -> watch::Receiver<LogIndex> {
        self.revision.subscribe()
    }

    /// Subscribes to whether a leader is known that has committed an entry of its term.
    pub fn subscribe_leader(&self) -> watch::Receiver<bool> {
        self.has_committed_leader.subscribe()
    }

    /// Time at which the core was created.
    pub fn started(&self) -> Instant {
        self.started
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    pub fn add_entry(&mut self) {
        self.entries += 1;
    }

    pub fn remove_entry(&mut self) {
        self.entries -= 1;
    }

    /// Returns the time at which [`Self::tick`] is due next, if [`Self::tick_wake`] does not come before.
    pub fn schedule_tick(&mut self, now: Instant) -> Instant {
        let mut due = self.node.next_deadline().min(self.next_report_at);
        if let Some(decision_at) = self.quarantine.next_decision() {
            due = due.min(decision_at);
        }
        self.tick_due = due.max(now + Duration::from_millis(5));
        self.tick_due
    }

    /// Wakes the timer when an event has made a tick due earlier than it was scheduled.
    pub fn tick_wake(&self) -> Rc<Notify> {
        Rc::clone(&self.tick_wake)
    }

    pub fn tick(&mut self, now: Instant) {
        self.handle(now, RaftEvent::Tick);
        self.forwarded_calls
            .retain(|_, (sent_at, _)| now.duration_since(*sent_at) < FORWARD_TIMEOUT);
        self.propose_member_change(now);
        self.tick_quarantine(now);
        if now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL;
            self.report_heartbeats(now);
            self.send_join_requests();
        }
    }

    /// Proposes a change of the replicated state; the receiver gets the outcome once it is decided.
    pub fn propose(
        &mut self,
        now: Instant,
        command: &FleetCommand,
    ) -> oneshot::Receiver<CallOutcome> {
        self.call(now, ForwardCall::Propose(command.encode()))
    }

    /// Requests a log index that covers every change acknowledged before this call.
    pub fn read_index(&mut self, now: Instant) -> oneshot::Receiver<CallOutcome> {
        self.call(now, ForwardCall::ReadIndex)
    }

    fn call(&mut self, now: Instant, call: ForwardCall) -> oneshot::Receiver<CallOutcome> {
        let (reply, outcome) = oneshot::channel();
        self.last_request += 1;
        let request = self.last_request;
        if self.node.role() == Role::Leader {
            self.start_call(now, request, call, CallWaiter::Local(reply));
            return outcome;
        }
        let Some(leader) = self.leader_address() else {
            let _ = reply.send(CallOutcome::Refused);
            return outcome;
        };
        self.forwarded_calls.insert(request, (now, reply));
        self.peers.send(leader, &LinkMessage::Forward { request, call });
        outcome
    }

    fn start_call(&mut self, now: Instant, request: u64, call: ForwardCall, waiter: CallWaiter) {
        self.requests.insert(request, waiter);
        let event = match call {
            ForwardCall::Propose(payload) => {
                RaftEvent::Propose(vec![Proposal { request, payload }])
            }
            ForwardCall::ReadIndex => RaftEvent::ConfirmLeadership { request },
        };
        self.handle(now, event);
    }

    /// Handles a message from the member `from`.
    pub fn on_message(&mut self, now: Instant, from: &ProcessName, message: LinkMessage) {
        match message {
            LinkMessage::Raft(message) => {
                if let Ok(address) = from.parse() {
                    self.sender_addresses.insert(message.from, address);
                }
                self.on_raft(now, message);
            }
            LinkMessage::Join { name, member, listed_at } => {
                self.on_join(now, from, name, member, listed_at);
            }
            LinkMessage::Removed { member } => self.on_removed(member),
            LinkMessage::Forward { request, call } => {
                self.last_request += 1;
                let waiter = CallWaiter::Remote { to: from.clone(), request };
                if self.node.role() == Role::Leader {
                    self.start_call(now, self.last_request, call, waiter);
                } else {
                    self.send_reply(waiter, CallOutcome::Refused);
                }
            }
            LinkMessage::Reply { request, outcome } => {
                if let Some((_, reply)) = self.forwarded_calls.remove(&request) {
                    let _ = reply.send(outcome);
                }
            }
            LinkMessage::Seen(servers) => {
                for (server, started) in servers {
                    self.heartbeat_tracker.record_reported(now, &server, started);
                }
            }
            LinkMessage::Crashes(reports) => {
                self.on_member_batch(now, ReportBatch::Crashes(reports));
            }
            LinkMessage::Served(digests) => {
                self.on_member_batch(now, ReportBatch::Served(digests));
            }
            LinkMessage::RelayedAsk(relayed) => self.on_relayed_ask(now, from, &relayed),
            LinkMessage::RelayedGrant(relayed) => self.on_relayed_grant(relayed),
            _ => {}
        }
    }

    fn on_raft(&mut self, now: Instant, message: RaftMessage) {
        let from = message.from;
        self.handle(now, RaftEvent::Message(message));
        if self.node.leader() == Some(from) {
            self.on_leader_heard(now);
        }
        if !self.join_requests.is_empty() || self.node.role() == Role::Leader {
            self.propose_member_change(now);
        }
    }

    /// Records a heartbeat that a server sent to this member.
    pub fn record_heartbeat(&mut self, now: Instant, server: &ServerId, started: IncarnationStart) {
        self.heartbeat_tracker.record_received(now, server, started);
    }

    pub fn on_disk_report(&mut self, now: Instant, report: DiskReport) {
        let saved = matches!(report, DiskReport::SnapshotSaved { .. });
        let event = match report {
            DiskReport::IdentitySaved { member } => return self.on_identity_saved(now, member),
            DiskReport::Appended { sequence } => RaftEvent::Persisted { sequence },
            DiskReport::SnapshotSaved { snapshot, installed: false } => {
                self.is_saving_snapshot = false;
                RaftEvent::SnapshotSaved(snapshot)
            }
            DiskReport::SnapshotSaved { snapshot, installed: true } => {
                self.restore(&snapshot);
                RaftEvent::SnapshotInstalled(snapshot)
            }
        };
        self.handle(now, event);
        if saved {
            // The disk runs this job after the log truncation that an installed snapshot requires.
            let _ = self.disk.send(DiskJob::Prune);
        }
    }

    /// Transfers leadership to another member before a planned stop.
    pub fn transfer_leadership(&mut self, now: Instant) {
        self.handle(now, RaftEvent::TransferLeadership { to: None });
    }

    fn handle(&mut self, now: Instant, event: RaftEvent) {
        for action in self.node.handle(now, event) {
            self.perform(now, action);
        }
        if self.node.next_deadline() < self.tick_due {
            self.tick_wake.notify_one();
        }
        self.follow_leader(now);
        self.follow_holder();
        let has_leader = self.node.has_committed_leader();
        self.has_committed_leader
            .send_if_modified(|had_leader| std::mem::replace(had_leader, has_leader) != has_leader);
    }

    fn perform(&mut self, now: Instant, action: RaftAction) {
        match action {
            RaftAction::Persist { .. } => {
                // The disk thread runs until the process exits, so the send cannot fail.
                let _ = disk::append_job(action).map(|job| self.disk.send(job));
            }
            RaftAction::Send(message) => {
                if let Some(address) = self.address_of(message.to) {
                    self.peers.send(address, &LinkMessage::Raft(message));
                }
            }
            RaftAction::Commit(entries) => self.apply(entries),
            RaftAction::Accepted { request, term, index } => {
                if let Some(waiter) = self.requests.remove(&request) {
                    self.uncommitted.insert(index, (term, waiter));
                }
            }
            RaftAction::Refused { request, .. } => {
                if let Some(waiter) = self.requests.remove(&request) {
                    self.send_reply(waiter, CallOutcome::Refused);
                }
            }
            RaftAction::LeadershipConfirmed { request, index } => {
                if let Some(waiter) = self.requests.remove(&request) {
                    self.send_reply(waiter, CallOutcome::Done { index });
                }
            }
            RaftAction::InstallSnapshot(snapshot) => {
                let _ = self.disk.send(DiskJob::Snapshot { snapshot, installed: true });
            }
            RaftAction::RoleChanged { role, term, leader } => {
                self.on_role_changed(now, role, term, leader);
            }
            RaftAction::LeaderLost { leader, term, cause } => {
                self.on_leader_lost(leader, term, cause);
            }
        }
    }

    fn on_role_changed(
        &mut self,
        now: Instant,
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    ) {
        let leader = leader.unwrap_or(0);
        log_info!("role_changed", "role={role:?} term={term} leader={leader:016x}");
        if role == Role::Leader {
            self.leading_since.get_or_insert(now);
            return;
        }
        self.leading_since = None;
        for (_, waiter) in std::mem::take(&mut self.uncommitted).into_values() {
            self.send_reply(waiter, CallOutcome::Unknown);
        }
    }

    fn send_reply(&self, waiter: CallWaiter, outcome: CallOutcome) {
        match waiter {
            // The send fails if the caller no longer waits.
            CallWaiter::Local(reply) => {
                let _ = reply.send(outcome);
            }
            CallWaiter::Remote { to, request } => {
                if let Ok(address) = to.parse() {
                    self.peers.send(address, &LinkMessage::Reply { request, outcome });
                }
            }
            CallWaiter::Internal => {}
        }
    }

    fn address_of(&self, member: MemberId) -> Option<SocketAddr> {
        let record = self.node.members().members.get(&member);
        if let Some(record) = record {
            return record.name.parse().ok();
        }
        self.sender_addresses.get(&member).copied()
    }
}
