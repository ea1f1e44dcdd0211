//! Elections: pre-vote, votes, role changes and leadership transfer.

use super::failover::LeaderLoss;
use super::message::{EntryBody, MessageBody, RaftMessage};
use super::node::{RaftAction, RaftNode, Role};
use crate::ids::{LogIndex, MemberId, TermNumber};

impl RaftNode {
    pub(super) fn on_tick(&mut self) {
        if self.role == Role::Leader {
            return self.on_leader_tick();
        }
        if self.now < self.election_deadline {
            return;
        }
        if self.role == Role::Candidate {
            self.failed_elections = self.failed_elections.saturating_add(1);
        }
        self.reset_election_deadline();
        self.report_leader_loss(LeaderLoss::Silent);
        self.leader = None;
        if self.members().is_voter(self.member) {
            self.start_pre_vote();
        }
    }

    /// Ends the leadership of a member without contact to a quorum, which must not keep answering callers.
    pub(super) fn step_down_without_quorum(&mut self) {
        if self.role == Role::Leader && !self.has_active_quorum() {
            self.become_follower(self.hard_state.term, None);
        }
    }

    fn on_leader_tick(&mut self) {
        if self.transfer.is_some_and(|(_, deadline)| self.now >= deadline) {
            self.transfer = None;
        }
        if self.now >= self.next_heartbeat {
            self.send_heartbeats();
        }
    }

    fn start_pre_vote(&mut self) {
        self.role = Role::PreCandidate;
        self.votes.clear();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.other_voters() {
            let body = MessageBody::PreVote { last_index, last_term };
            let message = self.build_message(peer, self.hard_state.term + 1, body);
            self.actions.push(RaftAction::Send(message));
        }
        self.count_vote(self.member);
    }

    fn start_election(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.reset_election_deadline();
        self.set_hard_state(self.hard_state.term + 1, Some(self.member));
        self.own_vote_sequence = self.persist.required_sequence();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for peer in self.other_voters() {
            self.send_durable(peer, MessageBody::Vote { last_index, last_term, transfer });
        }
    }

    pub(super) fn count_vote(&mut self, voter: MemberId) {
        if !self.members().is_voter(voter) {
            return;
        }
        self.votes.insert(voter);
        if self.votes.len() < self.members().quorum() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_follower(&mut self, term: TermNumber, leader: Option<MemberId>) {
        self.quorum_seen_at = self.quorum_seen_at();
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
        }
        if self.role == Role::Leader {
            self.progress.clear();
            self.transfer = None;
            self.last_leader_contact = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.own_vote_sequence = None;
        self.refuse_pending_confirmations();
        self.reset_election_deadline();
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.has_seen_leader = true;
        self.failover = None;
        self.leader = Some(self.member);
        self.incoming_snapshot = None;
        self.transfer = None;
        self.progress.clear();
        self.update_peer_progress();
        self.uncommitted_bytes = self.log.size_bytes_after(self.commit_index);
        self.term_start_index = self.append_in_current_term(EntryBody::Noop);
        self.next_heartbeat = self.now + self.config.heartbeat_interval;
        self.replicate_all();
    }

    /// Whether this member is the leader or heard from one within the minimum election timeout.
    fn heard_leader_recently(&self) -> bool {
        let timeout = self.config.election_timeout;
        self.role == Role::Leader
            || self.last_leader_contact.is_some_and(|heard| self.now < heard + timeout)
    }

    fn is_up_to_date(&self, last_index: LogIndex, last_term: TermNumber) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn on_message(&mut self, message: RaftMessage) {
        if message.to != self.member || message.group != self.group {
            return;
        }
        match message.body {
            MessageBody::PreVote { last_index, last_term } => {
                return self.on_pre_vote(message.from, message.term, last_index, last_term);
            }
            MessageBody::PreVoteReply { granted: true } => {
                if self.role == Role::PreCandidate && message.term == self.hard_state.term + 1 {
                    self.count_vote(message.from);
                }
                return;
            }
            MessageBody::Join { .. } => return,
            _ => {}
        }
        if message.term > self.hard_state.term {
            let is_transfer = matches!(message.body, MessageBody::Vote { transfer: true, .. });
            let is_vote = matches!(message.body, MessageBody::Vote { .. });
            if is_vote {
                self.notice_resignation(message.from, message.term);
            }
            if is_vote && !is_transfer && self.heard_leader_recently() {
                return;
            }
            self.become_follower(message.term, None);
        }
        if message.term < self.hard_state.term {
            return self.reply_to_stale_term(&message);
        }
        self.on_current_term(message);
    }

    /// Answers a message from an older term, so that its sender learns of the current term.
    fn reply_to_stale_term(&mut self, message: &RaftMessage) {
        let body = match message.body {
            MessageBody::Append { prev_index, round, .. } => {
                MessageBody::AppendRejected { prev_index, hint: 0, round }
            }
            MessageBody::SnapshotChunk { index, round, .. } => {
                MessageBody::SnapshotReply { index, received: 0, round }
            }
            MessageBody::Vote { .. } => MessageBody::VoteReply { granted: false },
            _ => return,
        };
        self.send_durable(message.from, body);
    }

    fn on_current_term(&mut self, message: RaftMessage) {
        let from = message.from;
        match message.body {
            MessageBody::Vote { last_index, last_term, .. } => {
                self.on_vote(from, last_index, last_term);
            }
            MessageBody::VoteReply { granted } => {
                if granted && self.role == Role::Candidate {
                    self.count_vote(from);
                }
            }
            MessageBody::TimeoutNow => {
                if self.role == Role::Follower && self.members().is_voter(self.member) {
                    self.start_election(true);
                }
            }
            MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } => {
                self.on_leader_message(from, message.body);
            }
            MessageBody::AppendAccepted { match_index, round } => {
                self.on_append_accepted(from, match_index, round);
            }
            MessageBody::AppendRejected { prev_index, hint, round } => {
                self.on_append_rejected(from, prev_index, hint, round);
            }
            MessageBody::SnapshotReply { index, received, round } => {
                self.on_snapshot_reply(from, index, received, round);
            }
            // Pre-votes, their replies and joins are handled before the term check.
            MessageBody::PreVote { .. }
            | MessageBody::PreVoteReply { .. }
            | MessageBody::Join { .. } => {}
        }
    }

    fn on_leader_message(&mut self, from: MemberId, body: MessageBody) {
        if self.role == Role::Leader {
            return;
        }
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(self.hard_state.term, Some(from));
        }
        self.last_leader_contact = Some(self.now);
        self.has_seen_leader = true;
        self.failover = None;
        self.reset_election_deadline();
        match body {
            MessageBody::Append {
                prev_index,
                prev_term,
                commit,
                round,
                entries,
                quorum_age_ms,
            } => {
                self.on_append(from, (prev_index, prev_term), commit, round, entries);
                self.record_quorum_age(commit, quorum_age_ms);
            }
            chunk => self.on_snapshot_chunk(from, chunk),
        }
    }

    fn on_pre_vote(
        &mut self,
        from: MemberId,
        term: TermNumber,
        last_index: LogIndex,
        last_term: TermNumber,
    ) {
        self.notice_resignation(from, term);
        let granted = term > self.hard_state.term
            && !self.heard_leader_recently()
            && self.is_up_to_date(last_index, last_term);
        if granted {
            let message = self.build_message(from, term, MessageBody::PreVoteReply { granted });
            self.actions.push(RaftAction::Send(message));
            if self.is_failing_over() {
                // An election of this member at the same time would split the votes.
                self.reset_election_deadline();
            }
        } else if term <= self.hard_state.term {
            // The reply reveals this member's term, which must be durable first.
            self.send_durable(from, MessageBody::PreVoteReply { granted });
        }
    }

    fn on_vote(&mut self, from: MemberId, last_index: LogIndex, last_term: TermNumber) {
        let can_vote = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = matches!(self.role, Role::Follower | Role::PreCandidate)
            && can_vote
            && self.is_up_to_date(last_index, last_term);
        if granted {
            if self.hard_state.vote.is_none() {
                self.set_hard_state(self.hard_state.term, Some(from));
            }
            self.reset_election_deadline();
        }
        self.send_durable(from, MessageBody::VoteReply { granted });
    }

    pub(super) fn on_transfer_leadership(&mut self, to: Option<MemberId>) {
        if self.role != Role::Leader || self.transfer.is_some() {
            return;
        }
        let most_caught_up =
            self.other_voters().into_iter().max_by_key(|&peer| self.match_index_of(peer));
        let Some(target) = to.or(most_caught_up) else { return };
        if target == self.member || !self.members().is_voter(target) {
            return;
        }
        self.transfer = Some((target, self.now + self.config.election_timeout));
        self.send_timeout_now_if_caught_up(target);
    }

    /// Tells the transfer target to start an election once it holds the whole log.
    pub(super) fn send_timeout_now_if_caught_up(&mut self, peer: MemberId) {
        let is_target = self.transfer.is_some_and(|(target, _)| target == peer);
        if is_target && self.match_index_of(peer) == self.log.last_index() {
            self.send(peer, MessageBody::TimeoutNow);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        self.members().voters().filter(|&voter| voter != self.member).collect()
    }
}
