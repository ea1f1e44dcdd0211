//! Log replication: append messages, replication progress per member and the commit index.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use super::members::MemberSet;
use super::message::{LogEntry, MessageBody};
use super::node::{RaftNode, Role};
use super::snapshot::OutgoingSnapshot;
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Replication progress of one member, as known by the leader.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) match_index: LogIndex,
    pub(super) next_index: LogIndex,
    /// Last index of each unacknowledged append message.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// The last index at which both logs agree is unknown; append messages are sent one at a time
    /// until it is found.
    pub(super) probing: bool,
    /// First index sent by the last probe.
    probe_start: LogIndex,
    /// Time of the last response; initially the time at which this record was created.
    pub(super) last_response_at: Instant,
    pub(super) snapshot: Option<OutgoingSnapshot>,
}

impl PeerProgress {
    fn new(next_index: LogIndex, now: Instant) -> Self {
        Self {
            match_index: 0,
            next_index,
            in_flight: VecDeque::new(),
            probing: true,
            probe_start: 0,
            last_response_at: now,
            snapshot: None,
        }
    }
}

impl RaftNode {
    /// Adds missing progress records for the current members and removes those of other members.
    pub(super) fn update_peer_progress(&mut self) {
        let members = self.members().clone();
        self.progress.retain(|&peer, _| members.contains(peer));
        for &peer in members.members.keys() {
            let next = self.log.last_index() + 1;
            let now = self.now;
            self.progress.entry(peer).or_insert_with(|| PeerProgress::new(next, now));
        }
    }

    fn peers(&self) -> Vec<MemberId> {
        self.progress.keys().copied().filter(|&peer| peer != self.member).collect()
    }

    pub(super) fn match_index_of(&self, peer: MemberId) -> LogIndex {
        if peer == self.member {
            return self.persisted_index();
        }
        self.progress.get(&peer).map_or(0, |progress| progress.match_index)
    }

    /// Match index of every member, as the leader knows it.
    pub fn match_indexes(&self) -> BTreeMap<MemberId, LogIndex> {
        self.progress.keys().map(|&peer| (peer, self.match_index_of(peer))).collect()
    }

    /// Whether `peer` responded to the leader within the last election timeout.
    pub fn is_active(&self, peer: MemberId) -> bool {
        if peer == self.member {
            return true;
        }
        let progress = self.progress.get(&peer);
        progress.is_some_and(|progress| {
            self.now < progress.last_response_at + self.config.election_timeout
        })
    }

    /// Time of the last response of `peer`, or of the election if it has not responded since; `None`
    /// for this member and for members that it does not lead.
    pub fn last_response_at(&self, peer: MemberId) -> Option<Instant> {
        self.progress.get(&peer).map(|progress| progress.last_response_at)
    }

    /// Whether `peer` is active and holds all committed entries; known by the leader only.
    pub fn is_caught_up(&self, peer: MemberId) -> bool {
        self.is_active(peer) && self.match_index_of(peer) >= self.commit_index
    }

    /// Number of voters that can be lost now without losing the quorum or a committed entry.
    ///
    /// While a member set is uncommitted, the other members may still elect a leader under the
    /// previous one, so the result is the minimum over the committed and all later sets.
    pub fn survivable_losses(&self) -> usize {
        let committed = self.member_sets.range(..=self.commit_index).next_back();
        let uncommitted = self.member_sets.range(self.commit_index + 1..);
        let sets = committed.into_iter().chain(uncommitted).map(|(_, members)| members);
        sets.map(|members| self.survivable_losses_with(members)).min().unwrap_or(0)
    }

    fn survivable_losses_with(&self, members: &MemberSet) -> usize {
        let caught_up = members.voters().filter(|&voter| self.is_caught_up(voter)).count();
        caught_up.saturating_sub(members.quorum())
    }

    pub(super) fn has_active_quorum(&self) -> bool {
        let members = self.members();
        let active = members.voters().filter(|&voter| self.is_active(voter)).count();
        active >= members.quorum()
    }

    pub(super) fn send_heartbeats(&mut self) {
        self.next_heartbeat = self.now + self.config.heartbeat_interval;
        for peer in self.peers() {
            let next = self.progress.get(&peer).map_or(1, |progress| progress.next_index);
            let prev_index = (next - 1).max(self.log.base_index());
            self.send_append(peer, prev_index, Vec::new());
        }
    }

    fn send_append(&mut self, peer: MemberId, prev_index: LogIndex, entries: Vec<LogEntry>) {
        let Some(prev_term) = self.log.term_at(prev_index) else { return };
        let (commit, round) = (self.commit_index, self.reads.round);
        let quorum_age_ms = self.quorum_age_ms();
        let body =
            MessageBody::Append { prev_index, prev_term, commit, round, entries, quorum_age_ms };
        self.send(peer, body);
    }

    pub(super) fn replicate_all(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        for peer in self.peers() {
            self.replicate(peer);
        }
    }

    /// Sends missing entries to `peer`, within the limit of unacknowledged messages.
    pub(super) fn replicate(&mut self, peer: MemberId) {
        loop {
            let Some(progress) = self.progress.get_mut(&peer) else { return };
            let limit = if progress.probing { 1 } else { self.config.max_in_flight };
            let next = progress.next_index;
            if next > self.log.last_index() || progress.in_flight.len() >= limit {
                return;
            }
            if next <= self.log.base_index() {
                return self.start_snapshot(peer);
            }
            let entries = self.log.batch(next, self.config.max_append_bytes);
            progress.next_index = next + entries.len() as u64;
            progress.in_flight.push_back(progress.next_index - 1);
            self.send_append(peer, next - 1, entries);
        }
    }

    /// Records a response from `peer`; returns false if this member does not lead `peer`.
    pub(super) fn record_response(&mut self, peer: MemberId, round: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let Some(progress) = self.progress.get_mut(&peer) else { return false };
        progress.last_response_at = self.now;
        self.record_round_ack(peer, round);
        true
    }

    pub(super) fn on_append_accepted(&mut self, from: MemberId, match_index: LogIndex, round: u64) {
        if !self.record_response(from, round) {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.match_index = progress.match_index.max(match_index);
        progress.next_index = progress.next_index.max(match_index + 1);
        progress.in_flight.retain(|&last| last > match_index);
        progress.probing = false;
        if progress.snapshot.as_ref().is_some_and(|sent| sent.index() <= match_index) {
            progress.snapshot = None;
        }
        self.advance_commit_index();
        self.replicate(from);
        self.send_timeout_now_if_caught_up(from);
    }

    pub(super) fn on_append_rejected(
        &mut self,
        from: MemberId,
        prev_index: LogIndex,
        hint: LogIndex,
        round: u64,
    ) {
        if !self.record_response(from, round) {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        if prev_index <= progress.match_index {
            return;
        }
        if progress.snapshot.is_some() {
            // The member still lacks the snapshot, so the last chunk or the reply to it was lost.
            return self.send_chunk(from);
        }
        let next = (hint + 1).min(last + 1).max(progress.match_index + 1);
        // Messages sent before the probe are rejected with the same hint. Only the rejection of a
        // heartbeat sent after the probe shows that the probe was lost. Once the log is compacted
        // past the probe's start, the probe cannot be repeated and heartbeats start at the base, so
        // a snapshot must be sent immediately.
        let probe_in_flight = progress.probing && !progress.in_flight.is_empty();
        let is_stale_rejection =
            prev_index + 1 != progress.next_index && next > self.log.base_index();
        if probe_in_flight && progress.probe_start == next && is_stale_rejection {
            return;
        }
        progress.probe_start = next;
        progress.next_index = next;
        progress.in_flight.clear();
        progress.probing = true;
        self.replicate(from);
    }

    pub(super) fn on_append(
        &mut self,
        from: MemberId,
        (prev_index, prev_term): (LogIndex, TermNumber),
        commit: LogIndex,
        round: u64,
        entries: Vec<LogEntry>,
    ) {
        // Committed entries are identical to the leader's, so only later entries need the check.
        let matches =
            prev_index <= self.commit_index || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.reject_hint(prev_index);
            let body = MessageBody::AppendRejected { prev_index, hint, round };
            return self.send_durable(from, body);
        }
        let match_index = prev_index + entries.len() as u64;
        for (entry, expected) in entries.into_iter().zip(prev_index + 1..) {
            if entry.index != expected {
                return;
            }
            self.append_if_new(entry);
        }
        self.set_commit_index(commit.min(match_index));
        self.send_durable(from, MessageBody::AppendAccepted { match_index, round });
    }

    fn append_if_new(&mut self, entry: LogEntry) {
        if entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.append(entry);
    }

    /// Highest index at which the logs may agree; skips all entries of the conflicting term.
    fn reject_hint(&self, prev_index: LogIndex) -> LogIndex {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        self.log.first_index_of_term_at(prev_index).saturating_sub(1).max(self.commit_index)
    }

    /// Commits the entries that a quorum of voters has synced.
    pub(super) fn advance_commit_index(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let members = self.members();
        let mut match_indexes: Vec<_> =
            members.voters().map(|voter| self.match_index_of(voter)).collect();
        match_indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = match_indexes.get(members.quorum() - 1) else { return };
        // Entries of earlier terms are only committed together with an entry of the current term.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.hard_state.term) {
            return;
        }
        self.set_commit_index(index);
        if self.config.broadcast_commits {
            self.send_heartbeats();
        }
        self.start_confirmation_round();
        self.step_down_if_removed();
    }

    /// Sends the commit index to the others and steps down if this leader is no longer a voter in
    /// the committed member set.
    fn step_down_if_removed(&mut self) {
        if self.members_index() > self.commit_index || self.members().is_voter(self.member) {
            return;
        }
        self.send_heartbeats();
        self.become_follower(self.hard_state.term, None);
    }
}
