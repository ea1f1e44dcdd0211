//! Raft state machine of one group: state, persistence, proposals, membership.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::config::RaftConfig;
use super::log::RaftLog;
use super::members::{MemberChange, MemberError, MemberSet};
use super::message::{
    EntryBody, HardState, LogEntry, MessageBody, RaftMessage, SharedSnapshot, Snapshot,
};
use super::read_index::ReadIndex;
use super::replicate::PeerProgress;
use super::snapshot::IncomingSnapshot;
use crate::ids::{GroupId, LogIndex, MemberId, TermNumber};

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Payload to replicate; `request` is returned with the outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub request: u64,
    pub payload: Vec<u8>,
}

/// Input of the state machine.
#[derive(Debug, Clone)]
pub enum RaftEvent {
    /// Time has passed; expected several times per heartbeat interval.
    Tick,
    Message(RaftMessage),
    Propose(Vec<Proposal>),
    ConfirmLeadership {
        request: u64,
    },
    ChangeMembers {
        request: u64,
        change: MemberChange,
    },
    /// Hands leadership to `to`, or to the voter with the longest log.
    Transfer {
        to: Option<MemberId>,
    },
    /// Everything up to the `Persist` action with this number is synced.
    Persisted {
        sequence: u64,
    },
    /// A snapshot of the own state machine is synced.
    SnapshotSaved(SharedSnapshot),
    /// The snapshot of an `InstallSnapshot` action is synced and restored.
    SnapshotInstalled(SharedSnapshot),
}

/// Why a request was refused. Nothing was added to the log for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    NotLeader {
        leader: Option<MemberId>,
    },
    /// A bound is reached, a change is in progress or leadership is being transferred.
    Busy,
    Member(MemberError),
}

/// Output of the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum RaftAction {
    /// To be synced in order, then acknowledged by `Persisted`.
    Persist {
        sequence: u64,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        entries: Vec<LogEntry>,
    },
    Send(RaftMessage),
    /// Committed entries, in order and each once since the last start.
    Commit(Vec<LogEntry>),
    /// The request is in the log at this place; it is decided when this index is committed.
    Accepted {
        request: u64,
        term: TermNumber,
        index: LogIndex,
    },
    Refused {
        request: u64,
        refusal: Refusal,
    },
    /// This member was leader after the request came; all up to `index` was committed then.
    LeadershipConfirmed {
        request: u64,
        index: LogIndex,
    },
    /// To be synced and restored, then acknowledged by `SnapshotInstalled`.
    InstallSnapshot(SharedSnapshot),
    RoleChanged {
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    },
}

/// State of one member in one group.
#[derive(Debug)]
pub struct RaftNode {
    pub(super) config: RaftConfig,
    pub(super) group: GroupId,
    pub(super) member: MemberId,
    pub(super) random: fastrand::Rng,
    pub(super) now: Instant,
    pub(super) role: Role,
    pub(super) hard: HardState,
    pub(super) leader: Option<MemberId>,
    pub(super) log: RaftLog,
    /// Member lists by the index of their log entry; the last one is in force.
    pub(super) lists: BTreeMap<LogIndex, MemberSet>,
    pub(super) commit: LogIndex,
    pub(super) election_deadline: Instant,
    pub(super) leader_heard: Option<Instant>,
    /// Whether a leader was known since the start.
    pub(super) knew_leader: bool,
    pub(super) votes: BTreeSet<MemberId>,
    /// Persist number that makes the own vote durable.
    pub(super) own_vote: Option<u64>,
    pub(super) progress: BTreeMap<MemberId, PeerProgress>,
    pub(super) next_heartbeat: Instant,
    pub(super) term_start: LogIndex,
    pub(super) uncommitted_bytes: usize,
    pub(super) transfer: Option<(MemberId, Instant)>,
    pub(super) reads: ReadIndex,
    pub(super) snapshot: Option<SharedSnapshot>,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) persist: PersistQueue,
    pub(super) actions: Vec<RaftAction>,
}

/// Changes that are not yet synced, and messages that wait for them.
#[derive(Debug, Default)]
pub(super) struct PersistQueue {
    issued: u64,
    hard_changed: bool,
    truncate_from: Option<LogIndex>,
    first_changed: Option<LogIndex>,
    /// Issued and not acknowledged, each with the first log index it changes.
    open: VecDeque<(u64, Option<LogIndex>)>,
    held: VecDeque<(u64, RaftMessage)>,
}

impl PersistQueue {
    fn is_dirty(&self) -> bool {
        self.hard_changed || self.truncate_from.is_some() || self.first_changed.is_some()
    }

    /// Number that must be acknowledged before everything changed so far is durable.
    pub(super) fn awaited(&self) -> Option<u64> {
        if self.is_dirty() {
            return Some(self.issued + 1);
        }
        self.open.back().map(|&(sequence, _)| sequence)
    }

    fn mark_from(&mut self, index: LogIndex) {
        self.first_changed = Some(self.first_changed.map_or(index, |first| first.min(index)));
    }
}

/// State that a restart recovers.
#[derive(Debug, Clone, Default)]
pub struct RestartState {
    pub hard_state: HardState,
    /// Member list of the formation; empty for a member that joins a formed cluster.
    pub initial: MemberSet,
    pub snapshot: Option<SharedSnapshot>,
    pub entries: VecDeque<LogEntry>,
}

impl RaftNode {
    /// Starts as a follower from the recovered state.
    pub fn new(
        config: RaftConfig,
        group: GroupId,
        member: MemberId,
        seed: u64,
        now: Instant,
        state: RestartState,
    ) -> Self {
        let snapshot = state.snapshot;
        let (index, term, members) = match &snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term, snapshot.members.clone()),
            None => (0, 0, state.initial),
        };
        let mut lists = BTreeMap::from([(index, members)]);
        for entry in &state.entries {
            if let EntryBody::Members(members) = &entry.body {
                lists.insert(entry.index, members.clone());
            }
        }
        let mut node = Self {
            config,
            group,
            member,
            random: fastrand::Rng::with_seed(seed),
            now,
            role: Role::Follower,
            hard: state.hard_state,
            leader: None,
            log: RaftLog::new(index, term, state.entries),
            lists,
            commit: index,
            election_deadline: now,
            leader_heard: None,
            knew_leader: false,
            votes: BTreeSet::new(),
            own_vote: None,
            progress: BTreeMap::new(),
            next_heartbeat: now,
            term_start: 0,
            uncommitted_bytes: 0,
            transfer: None,
            reads: ReadIndex::default(),
            snapshot,
            incoming: None,
            persist: PersistQueue::default(),
            actions: Vec::new(),
        };
        node.reset_election_deadline();
        node
    }

    /// Processes one event. The time must not go backwards between calls.
    pub fn handle(&mut self, now: Instant, event: RaftEvent) -> Vec<RaftAction> {
        self.now = now;
        let before = (self.role, self.hard.term, self.leader);
        match event {
            RaftEvent::Tick => self.on_tick(),
            RaftEvent::Message(message) => self.on_message(message),
            RaftEvent::Propose(proposals) => self.on_propose(proposals),
            RaftEvent::ConfirmLeadership { request } => self.on_confirm(request),
            RaftEvent::ChangeMembers { request, change } => self.on_change(request, &change),
            RaftEvent::Transfer { to } => self.on_transfer(to),
            RaftEvent::Persisted { sequence } => self.on_persisted(sequence),
            RaftEvent::SnapshotSaved(snapshot) => self.on_snapshot_saved(snapshot),
            RaftEvent::SnapshotInstalled(snapshot) => self.on_snapshot_installed(snapshot),
        }
        self.emit_persist();
        if before != (self.role, self.hard.term, self.leader) {
            let (role, term, leader) = (self.role, self.hard.term, self.leader);
            self.actions.push(RaftAction::RoleChanged { role, term, leader });
        }
        std::mem::take(&mut self.actions)
    }

    /// When the next [`RaftEvent::Tick`] has something to do, unless an event comes before.
    pub fn next_deadline(&self) -> Instant {
        match self.role {
            Role::Leader => self.next_heartbeat,
            _ => self.election_deadline,
        }
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> TermNumber {
        self.hard.term
    }

    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Member list in force.
    pub fn members(&self) -> &MemberSet {
        self.lists.last_key_value().expect("the base list is always kept").1
    }

    /// Snapshot of `data`, the state machine's state at the committed `index`.
    pub fn snapshot_at(&self, index: LogIndex, data: Vec<u8>) -> Option<Snapshot> {
        if index > self.commit {
            return None;
        }
        let term = self.log.term_at(index)?;
        let members = self.lists.range(..=index).next_back()?.1.clone();
        Some(Snapshot { index, term, members, data })
    }

    /// Synced prefix of the log.
    pub(super) fn persisted_index(&self) -> LogIndex {
        let open = self.persist.open.iter().filter_map(|&(_, first)| first);
        let first = open.chain(self.persist.first_changed).min();
        first.map_or(self.log.last_index(), |first| first - 1)
    }

    /// Sends `body` at once; only for messages that depend on no unsynced state.
    pub(super) fn send(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, self.hard.term, body);
        self.actions.push(RaftAction::Send(message));
    }

    /// Sends `body` when everything changed so far is synced.
    pub(super) fn send_durable(&mut self, to: MemberId, body: MessageBody) {
        let message = self.message(to, self.hard.term, body);
        match self.persist.awaited() {
            Some(sequence) => self.persist.held.push_back((sequence, message)),
            None => self.actions.push(RaftAction::Send(message)),
        }
    }

    pub(super) fn message(&self, to: MemberId, term: TermNumber, body: MessageBody) -> RaftMessage {
        RaftMessage { group: self.group, from: self.member, to, term, body }
    }

    pub(super) fn set_hard(&mut self, term: TermNumber, vote: Option<MemberId>) {
        self.hard = HardState { term, vote };
        self.persist.hard_changed = true;
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        if let EntryBody::Members(members) = &entry.body {
            self.lists.insert(entry.index, members.clone());
        }
        self.persist.mark_from(entry.index);
        self.log.push(entry);
    }

    pub(super) fn append_own(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = LogEntry { term: self.hard.term, index, body };
        self.uncommitted_bytes += entry.size();
        self.append(entry);
        index
    }

    pub(super) fn truncate(&mut self, from: LogIndex) {
        debug_assert!(from > self.commit, "committed entries never change");
        self.log.truncate(from);
        self.lists.split_off(&from);
        self.persist.mark_from(from);
        let earlier = self.persist.truncate_from.unwrap_or(from);
        self.persist.truncate_from = Some(earlier.min(from));
    }

    fn emit_persist(&mut self) {
        let queue = &mut self.persist;
        if !queue.is_dirty() {
            return;
        }
        queue.issued += 1;
        let sequence = queue.issued;
        let first = queue.first_changed.take();
        let truncate_from = queue.truncate_from.take();
        let hard_state = std::mem::take(&mut queue.hard_changed).then_some(self.hard);
        queue.open.push_back((sequence, first));
        let last = self.log.last_index();
        let entries = first.map_or_else(Vec::new, |first| self.log.range(first, last));
        let action = RaftAction::Persist { sequence, hard_state, truncate_from, entries };
        self.actions.push(action);
    }

    fn on_persisted(&mut self, sequence: u64) {
        while self.persist.open.front().is_some_and(|&(first, _)| first <= sequence) {
            self.persist.open.pop_front();
        }
        while self.persist.held.front().is_some_and(|(first, _)| *first <= sequence) {
            let (_, message) = self.persist.held.pop_front().expect("the queue has an item");
            self.actions.push(RaftAction::Send(message));
        }
        if self.own_vote.is_some_and(|awaited| awaited <= sequence) {
            self.own_vote = None;
            self.count_vote(self.member);
        }
        self.advance_commit();
    }

    fn on_propose(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let request = proposal.request;
            if let Some(refusal) = self.refuse_entry() {
                self.actions.push(RaftAction::Refused { request, refusal });
                continue;
            }
            let index = self.append_own(EntryBody::Payload(proposal.payload));
            self.actions.push(RaftAction::Accepted { request, term: self.hard.term, index });
        }
        self.replicate_all();
    }

    fn refuse_entry(&self) -> Option<Refusal> {
        if self.role != Role::Leader {
            return Some(Refusal::NotLeader { leader: self.leader });
        }
        let waiting = self.log.last_index() - self.commit;
        let full = waiting >= self.config.max_uncommitted_entries
            || self.uncommitted_bytes >= self.config.max_uncommitted_bytes;
        (full || self.transfer.is_some()).then_some(Refusal::Busy)
    }

    fn on_change(&mut self, request: u64, change: &MemberChange) {
        match self.changed_members(change) {
            Ok(members) => {
                let index = self.append_own(EntryBody::Members(members));
                self.sync_progress();
                let term = self.hard.term;
                self.actions.push(RaftAction::Accepted { request, term, index });
                self.replicate_all();
            }
            Err(refusal) => self.actions.push(RaftAction::Refused { request, refusal }),
        }
    }

    fn changed_members(&self, change: &MemberChange) -> Result<MemberSet, Refusal> {
        if let Some(refusal) = self.refuse_entry() {
            return Err(refusal);
        }
        let list_index = *self.lists.last_key_value().expect("the base list is always kept").0;
        // Two changes in flight, or one before the own term has a committed entry, could give two
        // majorities without a common member.
        if list_index > self.commit || self.commit < self.term_start {
            return Err(Refusal::Busy);
        }
        let index = self.log.last_index() + 1;
        let members = self.members().changed(change, index).map_err(Refusal::Member)?;
        match change {
            MemberChange::Promote { member } if !self.holds_committed(*member) => {
                Err(Refusal::Member(MemberError::NotCaughtUp(*member)))
            }
            MemberChange::Remove { member } if self.members().is_voter(*member) => {
                let holders = members.voters().filter(|&voter| self.holds_committed(voter));
                if holders.count() < members.quorum() {
                    return Err(Refusal::Member(MemberError::TooFewVoters));
                }
                Ok(members)
            }
            _ => Ok(members),
        }
    }

    /// Applies the commit index: hands out entries and follows a committed member list.
    pub(super) fn set_commit(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        if index <= self.commit {
            return;
        }
        let entries = self.log.range(self.commit + 1, index);
        let bytes: usize = entries.iter().map(LogEntry::size).sum();
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        self.commit = index;
        self.actions.push(RaftAction::Commit(entries));
    }

    fn on_snapshot_saved(&mut self, snapshot: SharedSnapshot) {
        if self.snapshot.as_ref().is_some_and(|old| old.index >= snapshot.index) {
            return;
        }
        let (entries, bytes) = (self.config.kept_entries, self.config.kept_bytes);
        let base = self.log.base_behind(snapshot.index, entries, bytes);
        self.log.compact(base);
        self.forget_lists(self.log.base_index());
        self.snapshot = Some(snapshot);
    }

    /// Forgets member lists that no position from `base` on needs.
    pub(super) fn forget_lists(&mut self, base: LogIndex) {
        let Some((&needed, _)) = self.lists.range(..=base).next_back() else { return };
        self.lists = self.lists.split_off(&needed);
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let shortest = match self.knew_leader {
            true => self.config.election_timeout,
            false => self.config.first_election_timeout,
        };
        let spread = self.random.u64(0..shortest.as_micros().max(1) as u64);
        self.election_deadline = self.now + shortest + Duration::from_micros(spread);
    }

    pub(super) fn shared_snapshot(&self) -> Option<SharedSnapshot> {
        self.snapshot.as_ref().map(Arc::clone)
    }
}
