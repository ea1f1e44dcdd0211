//! Elections: pre-vote, votes, change of role, leadership transfer.

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
        self.reset_election_deadline();
        self.leader = None;
        if self.members().is_voter(self.member) {
            self.start_pre_vote();
        }
    }

    fn on_leader_tick(&mut self) {
        if !self.hears_quorum() {
            // A leader that cannot hear a majority must not keep answering callers.
            return self.become_follower(self.hard.term, None);
        }
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
            let message = self.message(peer, self.hard.term + 1, body);
            self.actions.push(RaftAction::Send(message));
        }
        self.count_vote(self.member);
    }

    fn start_vote(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.votes.clear();
        self.reset_election_deadline();
        self.set_hard(self.hard.term + 1, Some(self.member));
        self.own_vote = self.persist.awaited();
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
            Role::PreCandidate => self.start_vote(false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    pub(super) fn become_follower(&mut self, term: TermNumber, leader: Option<MemberId>) {
        if term > self.hard.term {
            self.set_hard(term, None);
        }
        if self.role == Role::Leader {
            self.progress.clear();
            self.transfer = None;
            self.leader_heard = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.own_vote = None;
        self.refuse_confirms();
        self.reset_election_deadline();
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.knew_leader = true;
        self.leader = Some(self.member);
        self.incoming = None;
        self.transfer = None;
        self.progress.clear();
        self.sync_progress();
        self.uncommitted_bytes = self.log.bytes_after(self.commit);
        self.term_start = self.append_own(EntryBody::Noop);
        self.next_heartbeat = self.now + self.config.heartbeat_interval;
        self.replicate_all();
    }

    /// Whether a leader was heard so recently that no election is needed.
    fn has_live_leader(&self) -> bool {
        let timeout = self.config.election_timeout;
        self.role == Role::Leader
            || self.leader_heard.is_some_and(|heard| self.now < heard + timeout)
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
                if self.role == Role::PreCandidate && message.term == self.hard.term + 1 {
                    self.count_vote(message.from);
                }
                return;
            }
            MessageBody::Join { .. } => return,
            _ => {}
        }
        if message.term > self.hard.term {
            let transfer = matches!(message.body, MessageBody::Vote { transfer: true, .. });
            let vote = matches!(message.body, MessageBody::Vote { .. });
            if vote && !transfer && self.has_live_leader() {
                return;
            }
            self.become_follower(message.term, None);
        }
        if message.term < self.hard.term {
            return self.answer_old_term(&message);
        }
        self.on_current_term(message);
    }

    /// Tells a member of an older term about the current one.
    fn answer_old_term(&mut self, message: &RaftMessage) {
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
                    self.start_vote(true);
                }
            }
            MessageBody::Append { .. } | MessageBody::SnapshotChunk { .. } => {
                self.on_leader_message(from, message.body);
            }
            MessageBody::AppendAccepted { match_index, round } => {
                self.on_accepted(from, match_index, round);
            }
            MessageBody::AppendRejected { prev_index, hint, round } => {
                self.on_rejected(from, prev_index, hint, round);
            }
            MessageBody::SnapshotReply { index, received, round } => {
                self.on_snapshot_reply(from, index, received, round);
            }
            // Pre-vote replies and joins were handled before the term check.
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
            self.become_follower(self.hard.term, Some(from));
        }
        self.leader_heard = Some(self.now);
        self.knew_leader = true;
        self.reset_election_deadline();
        match body {
            MessageBody::Append { prev_index, prev_term, commit, round, entries } => {
                self.on_append(from, (prev_index, prev_term), commit, round, entries);
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
        let granted = term > self.hard.term
            && !self.has_live_leader()
            && self.is_up_to_date(last_index, last_term);
        if granted {
            let message = self.message(from, term, MessageBody::PreVoteReply { granted });
            self.actions.push(RaftAction::Send(message));
        } else if term <= self.hard.term {
            // The reply carries the newer term, which is only known to be durable after a sync.
            self.send_durable(from, MessageBody::PreVoteReply { granted });
        }
    }

    fn on_vote(&mut self, from: MemberId, last_index: LogIndex, last_term: TermNumber) {
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = matches!(self.role, Role::Follower | Role::PreCandidate)
            && free
            && self.is_up_to_date(last_index, last_term);
        if granted {
            if self.hard.vote.is_none() {
                self.set_hard(self.hard.term, Some(from));
            }
            self.reset_election_deadline();
        }
        self.send_durable(from, MessageBody::VoteReply { granted });
    }

    pub(super) fn on_transfer(&mut self, to: Option<MemberId>) {
        if self.role != Role::Leader || self.transfer.is_some() {
            return;
        }
        let longest = self.other_voters().into_iter().max_by_key(|&peer| self.match_of(peer));
        let Some(target) = to.or(longest) else { return };
        if target == self.member || !self.members().is_voter(target) {
            return;
        }
        self.transfer = Some((target, self.now + self.config.election_timeout));
        self.finish_transfer(target);
    }

    /// Starts the target's election once it holds the whole log.
    pub(super) fn finish_transfer(&mut self, peer: MemberId) {
        let is_target = self.transfer.is_some_and(|(target, _)| target == peer);
        if is_target && self.match_of(peer) == self.log.last_index() {
            self.send(peer, MessageBody::TimeoutNow);
        }
    }

    pub(super) fn other_voters(&self) -> Vec<MemberId> {
        self.members().voters().filter(|&voter| voter != self.member).collect()
    }
}
