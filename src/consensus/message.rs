//! Log entries, snapshots and messages that members exchange.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::members::MemberSet;
use crate::ids::{GroupId, LogIndex, MemberId, ProcessName, TermNumber};

/// Content of one log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// First entry of a leader's term; it commits the entries of earlier terms.
    Noop,
    /// Command for the replicated state machine.
    Payload(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Complete member list, in force from the moment it is in the log.
    Members(MemberSet),
}

/// One entry of a replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    pub term: TermNumber,
    pub index: LogIndex,
    pub body: EntryBody,
}

impl LogEntry {
    /// Bytes this entry counts for in message and queue bounds.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.body {
            EntryBody::Noop => OVERHEAD_BYTES,
            EntryBody::Payload(payload) => OVERHEAD_BYTES + payload.len(),
            EntryBody::Members(members) => OVERHEAD_BYTES + members.size(),
        }
    }
}

/// Term and vote; they must be synced before a reply that depends on them leaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: TermNumber,
    pub vote: Option<MemberId>,
}

/// State of a group up to and including `index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: LogIndex,
    pub term: TermNumber,
    pub members: MemberSet,
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Shared snapshot; the leader sends chunks from it.
pub type SharedSnapshot = Arc<Snapshot>;

/// Consensus message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    pub group: GroupId,
    pub from: MemberId,
    pub to: MemberId,
    pub term: TermNumber,
    pub body: MessageBody,
}

impl RaftMessage {
    /// Bytes this message counts for in queue bounds.
    pub fn size(&self) -> usize {
        const HEADER_BYTES: usize = 96;
        let content = match &self.body {
            MessageBody::Append { entries, .. } => entries.iter().map(LogEntry::size).sum(),
            MessageBody::SnapshotChunk { data, members, .. } => data.len() + members.size(),
            _ => 0,
        };
        HEADER_BYTES + content
    }
}

/// Content of a consensus message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether a vote in `term` would be granted; changes no state.
    PreVote {
        last_index: LogIndex,
        last_term: TermNumber,
    },
    PreVoteReply {
        granted: bool,
    },
    /// `transfer` is set when the current leader asked for this election.
    Vote {
        last_index: LogIndex,
        last_term: TermNumber,
        transfer: bool,
    },
    VoteReply {
        granted: bool,
    },
    /// Entries after `prev_index`; without entries it is a heartbeat.
    Append {
        prev_index: LogIndex,
        prev_term: TermNumber,
        commit: LogIndex,
        round: u64,
        entries: Vec<LogEntry>,
    },
    /// Everything up to `match_index` is synced and equal to the leader's log.
    AppendAccepted {
        match_index: LogIndex,
        round: u64,
    },
    /// The entry at `prev_index` is missing or differs; `hint` is where to try next.
    AppendRejected {
        prev_index: LogIndex,
        hint: LogIndex,
        round: u64,
    },
    /// Part of a snapshot; `total` is the length of its data in bytes.
    SnapshotChunk {
        index: LogIndex,
        last_term: TermNumber,
        members: MemberSet,
        total: u64,
        offset: u64,
        round: u64,
        #[serde(with = "serde_bytes")]
        data: Vec<u8>,
    },
    /// The receiver holds the first `received` bytes of the snapshot.
    SnapshotReply {
        index: LogIndex,
        received: u64,
        round: u64,
    },
    /// The receiver starts an election at once.
    TimeoutNow,
    /// A member that is not in the member list asks to become a learner.
    Join {
        name: ProcessName,
        member: MemberId,
    },
}
