//! Snapshot transfer in chunks.

use std::sync::Arc;

use super::members::MemberSet;
use super::message::{MessageBody, SharedSnapshot, Snapshot};
use super::node::{RaftAction, RaftNode};
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Snapshot that the leader sends to one member.
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

/// Snapshot that arrives from the leader.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    from: MemberId,
    sent_in: TermNumber,
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
        let end = (offset + self.config.chunk_bytes).min(snapshot.data.len());
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
        if !self.note_answer(from, round) {
            return;
        }
        let Some(progress) = self.progress.get_mut(&from) else { return };
        let Some(outgoing) = &mut progress.snapshot else { return };
        let received = received as usize;
        let complete = received >= outgoing.snapshot.data.len();
        if outgoing.index() != index || complete {
            // A complete snapshot is acknowledged by an accepted append once it is installed.
            return;
        }
        if received <= outgoing.offset {
            // Either an old answer, or the receiver has started again, as it does after a restart
            // or after a late chunk of another snapshot. The refusal of the next heartbeat resumes
            // the transfer here; sending at once would multiply the chunks under duplicates.
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
        if index <= self.commit {
            // Everything committed here equals the leader's log.
            let body = MessageBody::AppendAccepted { match_index: self.commit, round };
            return self.send_durable(from, body);
        }
        if total > self.config.max_snapshot_bytes {
            return;
        }
        let term = self.hard.term;
        let same = |known: &IncomingSnapshot| {
            (known.from, known.sent_in, known.index, known.total) == (from, term, index, total)
        };
        if !self.incoming.as_ref().is_some_and(same) {
            let data = Vec::new();
            self.incoming = Some(IncomingSnapshot {
                from,
                sent_in: term,
                index,
                total,
                round,
                data,
                installing: false,
            });
        }
        let incoming = self.incoming.as_mut().expect("a transfer was started above");
        let fits = offset == incoming.data.len() as u64 && offset + data.len() as u64 <= total;
        if fits && !incoming.installing {
            incoming.data.extend_from_slice(&data);
        }
        incoming.round = round;
        let received = incoming.data.len() as u64;
        if received == total && !incoming.installing {
            incoming.installing = true;
            let data = std::mem::take(&mut incoming.data);
            let snapshot = complete_snapshot(index, last_term, members, data);
            self.actions.push(RaftAction::InstallSnapshot(snapshot));
            return;
        }
        if !incoming.installing {
            self.send_durable(from, MessageBody::SnapshotReply { index, received, round });
        }
    }

    pub(super) fn on_snapshot_installed(&mut self, snapshot: SharedSnapshot) {
        let answer = self.incoming.take().map(|incoming| (incoming.from, incoming.round));
        if snapshot.index <= self.commit {
            return;
        }
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.log.compact(snapshot.index);
        } else {
            // The truncation starts at or before the snapshot's index, so that recovery forgets a
            // conflicting entry at that index too.
            self.truncate(self.commit + 1);
            self.log.reset(snapshot.index, snapshot.term);
        }
        self.lists.retain(|&index, _| index > snapshot.index);
        self.lists.insert(snapshot.index, snapshot.members.clone());
        self.commit = snapshot.index;
        let match_index = snapshot.index;
        self.snapshot = Some(snapshot);
        if let Some((from, round)) = answer {
            self.send_durable(from, MessageBody::AppendAccepted { match_index, round });
        }
    }
}

fn complete_snapshot(
    index: LogIndex,
    term: TermNumber,
    members: MemberSet,
    data: Vec<u8>,
) -> SharedSnapshot {
    Arc::new(Snapshot { index, term, members, data })
}
