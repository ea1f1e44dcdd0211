//! Replication: append messages, progress of each member, commit index.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use super::members::MemberSet;
use super::message::{LogEntry, MessageBody};
use super::node::{RaftNode, Role};
use super::snapshot::OutgoingSnapshot;
use crate::ids::{LogIndex, MemberId, TermNumber};

/// What the leader knows about one member.
#[derive(Debug)]
pub(super) struct PeerProgress {
    pub(super) match_index: LogIndex,
    pub(super) next_index: LogIndex,
    /// Last index of each append message that has no answer yet.
    pub(super) in_flight: VecDeque<LogIndex>,
    /// The place where the logs agree is unknown; one message at a time looks for it.
    pub(super) probing: bool,
    /// Where the last probe started.
    probe_start: LogIndex,
    /// Time of the last answer; the time of the election at first.
    pub(super) heard: Instant,
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
            heard: now,
            snapshot: None,
        }
    }
}

impl RaftNode {
    /// Gives every member of the list in force a progress record, and only those.
    pub(super) fn sync_progress(&mut self) {
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

    pub(super) fn match_of(&self, peer: MemberId) -> LogIndex {
        if peer == self.member {
            return self.persisted_index();
        }
        self.progress.get(&peer).map_or(0, |progress| progress.match_index)
    }

    /// Match index of every member, as the leader knows it.
    pub fn match_indexes(&self) -> BTreeMap<MemberId, LogIndex> {
        self.progress.keys().map(|&peer| (peer, self.match_of(peer))).collect()
    }

    /// Whether the leader heard `peer` within an election timeout.
    pub fn is_active(&self, peer: MemberId) -> bool {
        if peer == self.member {
            return true;
        }
        let progress = self.progress.get(&peer);
        progress.is_some_and(|known| self.now < known.heard + self.config.election_timeout)
    }

    /// Whether `peer` is active and holds every committed entry; known by the leader only.
    pub fn holds_committed(&self, peer: MemberId) -> bool {
        self.is_active(peer) && self.match_of(peer) >= self.commit
    }

    /// Voters that can be lost now without losing the majority or a committed entry.
    ///
    /// While a list is not committed, the others may still elect under the list before it. The
    /// smaller number of both counts.
    pub fn survivable_losses(&self) -> usize {
        let committed = self.lists.range(..=self.commit).next_back();
        let open = self.lists.range(self.commit + 1..);
        let lists = committed.into_iter().chain(open).map(|(_, members)| members);
        lists.map(|members| self.losses_under(members)).min().unwrap_or(0)
    }

    fn losses_under(&self, members: &MemberSet) -> usize {
        let holders = members.voters().filter(|&voter| self.holds_committed(voter)).count();
        holders.saturating_sub(members.quorum())
    }

    pub(super) fn hears_quorum(&self) -> bool {
        let members = self.members();
        let heard = members.voters().filter(|&voter| self.is_active(voter)).count();
        heard >= members.quorum()
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
        let (commit, round) = (self.commit, self.reads.round);
        self.send(peer, MessageBody::Append { prev_index, prev_term, commit, round, entries });
    }

    pub(super) fn replicate_all(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        for peer in self.peers() {
            self.replicate(peer);
        }
    }

    /// Sends what `peer` lacks, as far as its bound of unanswered messages allows.
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

    /// Notes that `peer` answered; false when this member does not lead it.
    pub(super) fn note_answer(&mut self, peer: MemberId, round: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        let Some(progress) = self.progress.get_mut(&peer) else { return false };
        progress.heard = self.now;
        self.acknowledge_round(peer, round);
        true
    }

    pub(super) fn on_accepted(&mut self, from: MemberId, match_index: LogIndex, round: u64) {
        if !self.note_answer(from, round) {
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
        self.advance_commit();
        self.replicate(from);
        self.finish_transfer(from);
    }

    pub(super) fn on_rejected(
        &mut self,
        from: MemberId,
        prev_index: LogIndex,
        hint: LogIndex,
        round: u64,
    ) {
        if !self.note_answer(from, round) {
            return;
        }
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        if prev_index <= progress.match_index {
            return;
        }
        if progress.snapshot.is_some() {
            // The member still lacks the snapshot, so the last chunk or its answer was lost.
            return self.send_chunk(from);
        }
        let next = (hint + 1).min(last + 1).max(progress.match_index + 1);
        // Answers to messages sent before the probe say the same; only the refusal of a heartbeat
        // sent after the probe shows that the probe was lost. A probe from before the base cannot
        // be sent again, and heartbeats then start at the base, so a snapshot is needed at once.
        let under_way = progress.probing && !progress.in_flight.is_empty();
        let is_older = prev_index + 1 != progress.next_index && next > self.log.base_index();
        if under_way && progress.probe_start == next && is_older {
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
        // Committed entries equal the leader's, so the check is needed after them only.
        let matches = prev_index <= self.commit || self.log.term_at(prev_index) == Some(prev_term);
        if !matches {
            let hint = self.retry_hint(prev_index);
            let body = MessageBody::AppendRejected { prev_index, hint, round };
            return self.send_durable(from, body);
        }
        let match_index = prev_index + entries.len() as u64;
        for (entry, expected) in entries.into_iter().zip(prev_index + 1..) {
            if entry.index != expected {
                return;
            }
            self.accept_entry(entry);
        }
        self.set_commit(commit.min(match_index));
        self.send_durable(from, MessageBody::AppendAccepted { match_index, round });
    }

    fn accept_entry(&mut self, entry: LogEntry) {
        if entry.index <= self.commit || self.log.term_at(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            self.truncate(entry.index);
        }
        self.append(entry);
    }

    /// Index up to which the logs may agree, skipping a whole conflicting term.
    fn retry_hint(&self, prev_index: LogIndex) -> LogIndex {
        if prev_index > self.log.last_index() {
            return self.log.last_index();
        }
        self.log.term_start(prev_index).saturating_sub(1).max(self.commit)
    }

    /// Commits what a majority of voters has synced.
    pub(super) fn advance_commit(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let members = self.members();
        let mut matched: Vec<_> = members.voters().map(|voter| self.match_of(voter)).collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = matched.get(members.quorum() - 1) else { return };
        // Entries of earlier terms are only committed together with one of the own term.
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.set_commit(index);
        if self.config.announce_commits {
            self.send_heartbeats();
        }
        self.start_round();
        self.leave_when_removed();
    }

    /// A leader that the committed list no longer has as a voter tells the others and steps down.
    fn leave_when_removed(&mut self) {
        let list_index = *self.lists.last_key_value().expect("the base list is always kept").0;
        if list_index > self.commit || self.members().is_voter(self.member) {
            return;
        }
        self.send_heartbeats();
        self.become_follower(self.hard.term, None);
    }
}
