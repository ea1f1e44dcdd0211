//! Log entries, snapshots and the messages exchanged between members.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::consensus::members::MemberSet;
use crate::ids::{GroupId, LogIndex, MemberId, ProcessName, TermNumber};

/// Content of one log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// First entry of a leader's term; committing it also commits the entries of earlier terms.
    Noop,
    /// Command for the replicated state machine.
    Payload(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Complete member set; takes effect as soon as it is appended to the log.
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
    /// Approximate size in bytes, as counted against message and queue limits.
    pub fn size_bytes(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        match &self.body {
            EntryBody::Noop => OVERHEAD_BYTES,
            EntryBody::Payload(payload) => OVERHEAD_BYTES + payload.len(),
            EntryBody::Members(members) => OVERHEAD_BYTES + members.size_bytes(),
        }
    }
}

/// Current term and vote; must be synced before any reply that depends on them is sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    pub term: TermNumber,
    pub vote: Option<MemberId>,
}

/// State of a group after applying all entries up to and including `index`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: LogIndex,
    pub term: TermNumber,
    pub members: MemberSet,
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// Reference-counted snapshot; a leader sends chunks of it to several members.
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
    /// Approximate size in bytes, as counted against queue limits.
    pub fn size_bytes(&self) -> usize {
        const HEADER_BYTES: usize = 96;
        let content = match &self.body {
            MessageBody::Append { entries, .. } => entries.iter().map(LogEntry::size_bytes).sum(),
            MessageBody::SnapshotChunk { data, members, .. } => data.len() + members.size_bytes(),
            _ => 0,
        };
        HEADER_BYTES + content
    }
}

/// Content of a consensus message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would grant a vote in `term`; changes no state.
    PreVote {
        last_index: LogIndex,
        last_term: TermNumber,
    },
    PreVoteReply {
        granted: bool,
    },
    /// `transfer` is set when the current leader requested this election with `TimeoutNow`.
    Vote {
        last_index: LogIndex,
        last_term: TermNumber,
        transfer: bool,
    },
    VoteReply {
        granted: bool,
    },
    /// Entries after `prev_index`; without entries, a heartbeat.
    Append {
        prev_index: LogIndex,
        prev_term: TermNumber,
        commit: LogIndex,
        round: u64,
        entries: Vec<LogEntry>,
        /// Time since a quorum responded to the leader; 0 from leaders of older versions.
        #[serde(default)]
        quorum_age_ms: u32,
    },
    /// The log up to `match_index` is synced and equals the leader's log.
    AppendAccepted {
        match_index: LogIndex,
        round: u64,
    },
    /// The entry at `prev_index` is missing or has another term; `hint` is the `prev_index` to try
    /// next.
    AppendRejected {
        prev_index: LogIndex,
        hint: LogIndex,
        round: u64,
    },
    /// Chunk of a snapshot; `total` is the length of the snapshot's data in bytes.
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
    /// The sender of this reply holds the first `received` bytes of the snapshot.
    SnapshotReply {
        index: LogIndex,
        received: u64,
        round: u64,
    },
    /// Tells the receiver to start an election at once.
    TimeoutNow,
    /// A member that is not in the member set asks to be added as a learner.
    Join {
        name: ProcessName,
        member: MemberId,
    },
}
