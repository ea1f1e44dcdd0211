//! Raft state machine of one member in one group: state, persistence, proposals and membership.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::config::RaftConfig;
pub use super::event::{Proposal, RaftAction, RaftEvent, Refusal, Role};
use super::failover::FailoverPhase;
use super::log::RaftLog;
use super::members::{MemberChange, MemberError, MemberSet};
use super::message::{
    EntryBody, HardState, LogEntry, MessageBody, RaftMessage, SharedSnapshot, Snapshot,
};
use super::read_index::ReadIndex;
use super::replicate::PeerProgress;
use super::snapshot::IncomingSnapshot;
use crate::ids::{GroupId, LogIndex, MemberId, TermNumber};

/// Maximum number of times that the first election timeout is doubled.
const MAX_DOUBLINGS: u32 = 16;

/// Raft state of one member in one group.
#[derive(Debug)]
pub struct RaftNode {
    pub(super) config: RaftConfig,
    pub(super) group: GroupId,
    pub(super) member: MemberId,
    pub(super) random: fastrand::Rng,
    pub(super) now: Instant,
    pub(super) role: Role,
    pub(super) hard_state: HardState,
    pub(super) leader: Option<MemberId>,
    pub(super) log: RaftLog,
    /// Member sets by the index of their log entry; the last one is in effect.
    pub(super) member_sets: BTreeMap<LogIndex, MemberSet>,
    pub(super) commit_index: LogIndex,
    pub(super) election_deadline: Instant,
    pub(super) last_leader_contact: Option<Instant>,
    /// Phase after the end of a leader, until another one is known.
    pub(super) failover: Option<FailoverPhase>,
    /// See [`Self::quorum_seen_at`]; as a leader, the value from before.
    pub(super) quorum_seen_at: Option<Instant>,
    /// Whether a leader has been known since the start.
    pub(super) has_seen_leader: bool,
    /// Elections of this member that timed out since the start.
    pub(super) failed_elections: u32,
    pub(super) votes: BTreeSet<MemberId>,
    /// Sequence of the `Persist` action that makes this member's vote for itself durable.
    pub(super) own_vote_sequence: Option<u64>,
    pub(super) progress: BTreeMap<MemberId, PeerProgress>,
    pub(super) next_heartbeat: Instant,
    pub(super) term_start_index: LogIndex,
    pub(super) uncommitted_bytes: usize,
    pub(super) transfer: Option<(MemberId, Instant)>,
    pub(super) reads: ReadIndex,
    pub(super) snapshot: Option<SharedSnapshot>,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) persist: PersistQueue,
    pub(super) actions: Vec<RaftAction>,
}

/// Changes that are not yet synced, and the messages that must not be sent before they are.
#[derive(Debug, Default)]
pub(super) struct PersistQueue {
    last_sequence: u64,
    hard_state_changed: bool,
    truncate_from: Option<LogIndex>,
    first_changed_index: Option<LogIndex>,
    /// `Persist` actions that are not acknowledged, each with the first log index that it changes.
    unacknowledged: VecDeque<(u64, Option<LogIndex>)>,
    deferred_messages: VecDeque<(u64, RaftMessage)>,
}

impl PersistQueue {
    fn is_dirty(&self) -> bool {
        self.hard_state_changed
            || self.truncate_from.is_some()
            || self.first_changed_index.is_some()
    }

    /// Sequence that must be acknowledged for all changes so far to be durable; `None` if they are.
    pub(super) fn required_sequence(&self) -> Option<u64> {
        if self.is_dirty() {
            return Some(self.last_sequence + 1);
        }
        self.unacknowledged.back().map(|&(sequence, _)| sequence)
    }

    fn mark_changed_from(&mut self, index: LogIndex) {
        self.first_changed_index =
            Some(self.first_changed_index.map_or(index, |first| first.min(index)));
    }
}

/// State recovered from disk at a restart.
#[derive(Debug, Clone, Default)]
pub struct RestartState {
    pub hard_state: HardState,
    /// Initial member set of the cluster; empty for a member that joins later.
    pub initial: MemberSet,
    pub snapshot: Option<SharedSnapshot>,
    pub entries: VecDeque<LogEntry>,
}

impl RaftNode {
    /// Creates a follower with the recovered state.
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
        let mut member_sets = BTreeMap::from([(index, members)]);
        for entry in &state.entries {
            if let EntryBody::Members(members) = &entry.body {
                member_sets.insert(entry.index, members.clone());
            }
        }
        let mut node = Self {
            config,
            group,
            member,
            random: fastrand::Rng::with_seed(seed),
            now,
            role: Role::Follower,
            hard_state: state.hard_state,
            leader: None,
            log: RaftLog::new(index, term, state.entries),
            member_sets,
            commit_index: index,
            election_deadline: now,
            last_leader_contact: None,
            failover: None,
            quorum_seen_at: None,
            has_seen_leader: false,
            failed_elections: 0,
            votes: BTreeSet::new(),
            own_vote_sequence: None,
            progress: BTreeMap::new(),
            next_heartbeat: now,
            term_start_index: 0,
            uncommitted_bytes: 0,
            transfer: None,
            reads: ReadIndex::default(),
            snapshot,
            incoming_snapshot: None,
            persist: PersistQueue::default(),
            actions: Vec::new(),
        };
        node.reset_election_deadline();
        node
    }

    /// Processes one event. `now` must not decrease between calls.
    pub fn handle(&mut self, now: Instant, event: RaftEvent) -> Vec<RaftAction> {
        self.now = now;
        let before = (self.role, self.hard_state.term, self.leader);
        // Checked before answers are counted that may have waited while this process was paused.
        self.step_down_without_quorum();
        match event {
            RaftEvent::Tick => self.on_tick(),
            RaftEvent::Message(message) => self.on_message(message),
            RaftEvent::Propose(proposals) => self.on_propose(proposals),
            RaftEvent::ConfirmLeadership { request } => self.on_confirm_leadership(request),
            RaftEvent::ChangeMembers { request, change } => {
                self.on_change_members(request, &change)
            }
            RaftEvent::TransferLeadership { to } => self.on_transfer_leadership(to),
            RaftEvent::LeaderEnded { leader, term } => self.on_leader_ended(leader, term),
            RaftEvent::Persisted { sequence } => self.on_persisted(sequence),
            RaftEvent::SnapshotSaved(snapshot) => self.on_snapshot_saved(snapshot),
            RaftEvent::SnapshotInstalled(snapshot) => self.on_snapshot_installed(snapshot),
            RaftEvent::IdentityReplaced { member } => self.on_identity_replaced(member),
        }
        self.emit_persist();
        if before != (self.role, self.hard_state.term, self.leader) {
            let (role, term, leader) = (self.role, self.hard_state.term, self.leader);
            self.actions.push(RaftAction::RoleChanged { role, term, leader });
        }
        std::mem::take(&mut self.actions)
    }

    /// Earliest time at which a [`RaftEvent::Tick`] has an effect, if no other event comes before.
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
        self.hard_state.term
    }

    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    pub fn last_index(&self) -> LogIndex {
        self.log.last_index()
    }

    /// Member set in effect.
    pub fn members(&self) -> &MemberSet {
        self.member_sets.last_key_value().expect("the member set at the base is always kept").1
    }

    /// Index from which on the member set in effect applies.
    pub fn members_index(&self) -> LogIndex {
        *self.member_sets.last_key_value().expect("the member set at the base is always kept").0
    }

    /// Latest committed member set, and the index from which on it applies.
    pub fn committed_members(&self) -> (LogIndex, &MemberSet) {
        let committed = self.member_sets.range(..=self.commit_index).next_back();
        let (&index, members) = committed.expect("the member set at the base is always kept");
        (index, members)
    }

    /// Builds a snapshot from `data`, the state machine's state at `index`; `None` if `index` is
    /// not committed or was compacted.
    pub fn snapshot_at(&self, index: LogIndex, data: Vec<u8>) -> Option<Snapshot> {
        if index > self.commit_index {
            return None;
        }
        let term = self.log.term_at(index)?;
        let members = self.member_sets.range(..=index).next_back()?.1.clone();
        Some(Snapshot { index, term, members, data })
    }

    /// Last index of the synced prefix of the log.
    pub(super) fn persisted_index(&self) -> LogIndex {
        let unacknowledged = self.persist.unacknowledged.iter().filter_map(|&(_, first)| first);
        let first = unacknowledged.chain(self.persist.first_changed_index).min();
        first.map_or(self.log.last_index(), |first| first - 1)
    }

    /// Sends `body` immediately; only for messages that depend on no unsynced state.
    pub(super) fn send(&mut self, to: MemberId, body: MessageBody) {
        let message = self.build_message(to, self.hard_state.term, body);
        self.actions.push(RaftAction::Send(message));
    }

    /// Sends `body` once all changes so far are synced.
    pub(super) fn send_durable(&mut self, to: MemberId, body: MessageBody) {
        let message = self.build_message(to, self.hard_state.term, body);
        match self.persist.required_sequence() {
            Some(sequence) => self.persist.deferred_messages.push_back((sequence, message)),
            None => self.actions.push(RaftAction::Send(message)),
        }
    }

    pub(super) fn build_message(
        &self,
        to: MemberId,
        term: TermNumber,
        body: MessageBody,
    ) -> RaftMessage {
        RaftMessage { group: self.group, from: self.member, to, term, body }
    }

    pub(super) fn set_hard_state(&mut self, term: TermNumber, vote: Option<MemberId>) {
        self.hard_state = HardState { term, vote };
        self.persist.hard_state_changed = true;
    }

    pub(super) fn append(&mut self, entry: LogEntry) {
        if let EntryBody::Members(members) = &entry.body {
            self.member_sets.insert(entry.index, members.clone());
        }
        self.persist.mark_changed_from(entry.index);
        self.log.push(entry);
    }

    pub(super) fn append_in_current_term(&mut self, body: EntryBody) -> LogIndex {
        let index = self.log.last_index() + 1;
        let entry = LogEntry { term: self.hard_state.term, index, body };
        self.uncommitted_bytes += entry.size_bytes();
        self.append(entry);
        index
    }

    pub(super) fn truncate(&mut self, from: LogIndex) {
        debug_assert!(from > self.commit_index, "committed entries must not be truncated");
        self.log.truncate(from);
        self.member_sets.split_off(&from);
        self.persist.mark_changed_from(from);
        let previous = self.persist.truncate_from.unwrap_or(from);
        self.persist.truncate_from = Some(previous.min(from));
    }

    fn emit_persist(&mut self) {
        let queue = &mut self.persist;
        if !queue.is_dirty() {
            return;
        }
        queue.last_sequence += 1;
        let sequence = queue.last_sequence;
        let first = queue.first_changed_index.take();
        let truncate_from = queue.truncate_from.take();
        let hard_state = std::mem::take(&mut queue.hard_state_changed).then_some(self.hard_state);
        queue.unacknowledged.push_back((sequence, first));
        let last = self.log.last_index();
        let entries = first.map_or_else(Vec::new, |first| self.log.range(first, last));
        let action = RaftAction::Persist { sequence, hard_state, truncate_from, entries };
        self.actions.push(action);
    }

    fn on_persisted(&mut self, sequence: u64) {
        while self.persist.unacknowledged.front().is_some_and(|&(first, _)| first <= sequence) {
            self.persist.unacknowledged.pop_front();
        }
        while self.persist.deferred_messages.front().is_some_and(|(first, _)| *first <= sequence) {
            let (_, message) =
                self.persist.deferred_messages.pop_front().expect("the queue is not empty");
            self.actions.push(RaftAction::Send(message));
        }
        if self.own_vote_sequence.is_some_and(|required_sequence| required_sequence <= sequence) {
            self.own_vote_sequence = None;
            self.count_vote(self.member);
        }
        self.advance_commit_index();
    }

    fn on_propose(&mut self, proposals: Vec<Proposal>) {
        for proposal in proposals {
            let request = proposal.request;
            if let Some(refusal) = self.proposal_refusal() {
                self.actions.push(RaftAction::Refused { request, refusal });
                continue;
            }
            let index = self.append_in_current_term(EntryBody::Payload(proposal.payload));
            self.actions.push(RaftAction::Accepted { request, term: self.hard_state.term, index });
        }
        self.replicate_all();
    }

    fn proposal_refusal(&self) -> Option<Refusal> {
        if self.role != Role::Leader {
            return Some(Refusal::NotLeader { leader: self.leader });
        }
        let uncommitted = self.log.last_index() - self.commit_index;
        let is_full = uncommitted >= self.config.max_uncommitted_entries
            || self.uncommitted_bytes >= self.config.max_uncommitted_bytes;
        (is_full || self.transfer.is_some()).then_some(Refusal::Busy)
    }

    fn on_change_members(&mut self, request: u64, change: &MemberChange) {
        match self.changed_members(change) {
            Ok(members) => {
                let index = self.append_in_current_term(EntryBody::Members(members));
                self.update_peer_progress();
                let term = self.hard_state.term;
                self.actions.push(RaftAction::Accepted { request, term, index });
                self.replicate_all();
            }
            Err(refusal) => self.actions.push(RaftAction::Refused { request, refusal }),
        }
    }

    fn changed_members(&self, change: &MemberChange) -> Result<MemberSet, Refusal> {
        if let Some(refusal) = self.proposal_refusal() {
            return Err(refusal);
        }
        let members_index = self.members_index();
        // Two concurrent changes, or one before an entry of the current term is committed, could
        // result in two majorities that have no member in common.
        if members_index > self.commit_index || self.commit_index < self.term_start_index {
            return Err(Refusal::Busy);
        }
        let index = self.log.last_index() + 1;
        let members = self.members().with_change(change, index).map_err(Refusal::Member)?;
        match change {
            MemberChange::Promote { member } if !self.is_caught_up(*member) => {
                Err(Refusal::Member(MemberError::NotCaughtUp(*member)))
            }
            MemberChange::Remove { member } if self.members().is_voter(*member) => {
                let caught_up = members.voters().filter(|&voter| self.is_caught_up(voter));
                if caught_up.count() < members.quorum() {
                    return Err(Refusal::Member(MemberError::TooFewVoters));
                }
                Ok(members)
            }
            _ => Ok(members),
        }
    }

    fn on_identity_replaced(&mut self, member: MemberId) {
        self.become_follower(self.hard_state.term, None);
        self.votes.clear();
        self.incoming_snapshot = None;
        // They answer for the old id.
        self.persist.deferred_messages.clear();
        self.member = member;
    }

    /// Advances the commit index and emits the newly committed entries.
    pub(super) fn set_commit_index(&mut self, index: LogIndex) {
        let index = index.min(self.log.last_index());
        if index <= self.commit_index {
            return;
        }
        let entries = self.log.range(self.commit_index + 1, index);
        let bytes: usize = entries.iter().map(LogEntry::size_bytes).sum();
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(bytes);
        self.commit_index = index;
        self.actions.push(RaftAction::Commit(entries));
    }

    fn on_snapshot_saved(&mut self, snapshot: SharedSnapshot) {
        if self.snapshot.as_ref().is_some_and(|previous| previous.index >= snapshot.index) {
            return;
        }
        let (entries, bytes) = (self.config.retained_entries, self.config.retained_bytes);
        let base = self.log.compaction_base(snapshot.index, entries, bytes);
        self.log.compact(base);
        self.drop_member_sets_before(self.log.base_index());
        self.snapshot = Some(snapshot);
    }

    /// Removes member sets that are not in effect at `base` or any later index.
    pub(super) fn drop_member_sets_before(&mut self, base: LogIndex) {
        let Some((&first_kept, _)) = self.member_sets.range(..=base).next_back() else { return };
        self.member_sets = self.member_sets.split_off(&first_kept);
    }

    pub(super) fn reset_election_deadline(&mut self) {
        let min_timeout = match self.has_seen_leader {
            true if self.is_failing_over() => self.failover_timeout(),
            true => self.config.election_timeout,
            false => self.first_election_timeout(),
        };
        let jitter_us = self.random.u64(0..min_timeout.as_micros().max(1) as u64);
        self.election_deadline = self.now + min_timeout + Duration::from_micros(jitter_us);
    }

    /// Minimum election timeout before a leader is known. It doubles with each election that timed out:
    /// two syncs on a busy disk may take longer than the short timeout.
    pub(super) fn first_election_timeout(&self) -> Duration {
        let first = self.config.first_election_timeout;
        let longer = first.saturating_mul(1 << self.failed_elections.min(MAX_DOUBLINGS));
        longer.min(self.config.election_timeout.max(first))
    }

    pub(super) fn shared_snapshot(&self) -> Option<SharedSnapshot> {
        self.snapshot.as_ref().map(Arc::clone)
    }
}
