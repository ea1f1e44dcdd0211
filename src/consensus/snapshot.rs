//! Chunked snapshot transfer from the leader to a member.

use std::sync::Arc;

use super::members::MemberSet;
use super::message::{MessageBody, SharedSnapshot, Snapshot};
use super::node::{RaftAction, RaftNode};
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Snapshot that the leader is sending to one member.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    snapshot: SharedSnapshot,
    offset: usize,
}

impl OutgoingSnapshot {
    pub(super) fn index(&self) -> LogIndex {
        self.snapshot.index
    }
}

/// Snapshot that is being received from the leader.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: MemberId,
    leader_term: TermNumber,
    index: LogIndex,
    total: u64,
    round: u64,
    data: Vec<u8>,
    installing: bool,
}

impl RaftNode {
    pub(super) fn start_snapshot(&mut self, peer: MemberId) {
        let Some(snapshot) = self.shared_snapshot() else { return };
        let Some(progress) = self.progress.get_mut(&peer) else { return };
        if progress.snapshot.is_some() {
            return;
        }
        progress.snapshot = Some(OutgoingSnapshot { snapshot, offset: 0 });
        self.send_chunk(peer);
    }

    pub(super) fn send_chunk(&mut self, peer: MemberId) {
        let round = self.reads.round;
        let Some(progress) = self.progress.get(&peer) else { return };
        let Some(outgoing) = &progress.snapshot else { return };
        let (snapshot, offset) = (&outgoing.snapshot, outgoing.offset);
        let end = (offset + self.config.snapshot_chunk_bytes).min(snapshot.data.len());
        let body = MessageBody::SnapshotChunk {
            index: snapshot.index,
            last_term: snapshot.term,
            members: snapshot.members.clone(),
            total: snapshot.data.len() as u64,
            offset: offset as u64,
            round,
            data: snapshot.data[offset..end].to_vec(),
        };
        self.send(peer, body);
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: MemberId,
        index: LogIndex,
        received: u64,
        round: u64,
    ) {
        if !self.record_response(from, round) {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        let Some(outgoing) = &mut progress.snapshot else { return };
        let received = received as usize;
        let complete = received >= outgoing.snapshot.data.len();
        if outgoing.index() != index || complete {
            // A complete snapshot is acknowledged with `AppendAccepted` once it is installed.
            return;
        }
        if received <= outgoing.offset {
            // Either a stale reply, or the receiver has started over, as it does after a restart or
            // a delayed chunk of another snapshot. The transfer resumes at this offset when the
            // receiver rejects the next heartbeat. Sending a chunk here would multiply chunks when
            // replies are duplicated.
            outgoing.offset = received;
            return;
        }
        outgoing.offset = received;
        self.send_chunk(from);
    }

    pub(super) fn on_snapshot_chunk(&mut self, from: MemberId, chunk: MessageBody) {
        let MessageBody::SnapshotChunk { index, last_term, members, total, offset, round, data } =
            chunk
        else {
            return;
        };
        if index <= self.commit_index {
            // The committed log of this member equals the leader's.
            let body = MessageBody::AppendAccepted { match_index: self.commit_index, round };
            return self.send_durable(from, body);
        }
        if total > self.config.max_snapshot_bytes {
            return;
        }
        let term = self.hard_state.term;
        let is_same_transfer = |known: &IncomingSnapshot| {
            (known.from, known.leader_term, known.index, known.total) == (from, term, index, total)
        };
        if !self.incoming_snapshot.as_ref().is_some_and(is_same_transfer) {
            let data = Vec::new();
            self.incoming_snapshot = Some(IncomingSnapshot {
                from,
                leader_term: term,
                index,
                total,
                round,
                data,
                installing: false,
            });
        }
        let incoming = self.incoming_snapshot.as_mut().expect("set above if it was missing");
        let is_next_chunk =
            offset == incoming.data.len() as u64 && offset + data.len() as u64 <= total;
        if is_next_chunk && !incoming.installing {
            incoming.data.extend_from_slice(&data);
        }
        incoming.round = round;
        let received = incoming.data.len() as u64;
        if received == total && !incoming.installing {
            incoming.installing = true;
            let data = std::mem::take(&mut incoming.data);
            let snapshot = build_snapshot(index, last_term, members, data);
            self.actions.push(RaftAction::InstallSnapshot(snapshot));
            return;
        }
        if !incoming.installing {
            self.send_durable(from, MessageBody::SnapshotReply { index, received, round });
        }
    }

    pub(super) fn on_snapshot_installed(&mut self, snapshot: SharedSnapshot) {
        let sender = self.incoming_snapshot.take().map(|incoming| (incoming.from, incoming.round));
        if snapshot.index <= self.commit_index {
            return;
        }
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            // The truncation starts at or before the snapshot's index, so that recovery also drops
            // a conflicting entry at that index.
            self.truncate(self.commit_index + 1);
            self.log.reset(snapshot.index, snapshot.term);
        }
        self.member_sets.retain(|&index, _| index > snapshot.index);
        self.member_sets.insert(snapshot.index, snapshot.members.clone());
        self.commit_index = snapshot.index;
        let match_index = snapshot.index;
        self.snapshot = Some(snapshot);
        if let Some((from, round)) = sender {
            self.send_durable(from, MessageBody::AppendAccepted { match_index, round });
        }
    }
}

fn build_snapshot(
    index: LogIndex,
    term: TermNumber,
    members: MemberSet,
    data: Vec<u8>,
) -> SharedSnapshot {
    Arc::new(Snapshot { index, term, members, data })
}
