//! Inputs and outputs of the Raft state machine.

use super::failover::LeaderLoss;
use super::members::{MemberChange, MemberError};
use super::message::{HardState, LogEntry, RaftMessage, SharedSnapshot};
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Payload to replicate; `request` identifies the proposal in the resulting actions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    pub request: u64,
    pub payload: Vec<u8>,
}

/// Input to the Raft state machine.
#[derive(Debug, Clone)]
pub enum RaftEvent {
    /// Periodic timer; expected several times per heartbeat interval.
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
    /// Transfers leadership to `to`, or by default to the other voter with the longest log.
    TransferLeadership {
        to: Option<MemberId>,
    },
    /// The process that led in `term` has ended. The caller needs evidence for it: a leader that lives
    /// on keeps its role until it hears of its successor.
    LeaderEnded {
        leader: MemberId,
        term: TermNumber,
    },
    /// All `Persist` actions up to and including `sequence` are synced.
    Persisted {
        sequence: u64,
    },
    /// A snapshot that this member took of its state machine is synced.
    SnapshotSaved(SharedSnapshot),
    /// The snapshot of an `InstallSnapshot` action is synced and restored into the state machine.
    SnapshotInstalled(SharedSnapshot),
    /// This member was removed and has durably taken the new id `member`. It keeps its log.
    IdentityReplaced {
        member: MemberId,
    },
}

/// Reason why a request was refused. A refused request adds nothing to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    NotLeader {
        leader: Option<MemberId>,
    },
    /// A limit is reached, a member change is in progress or leadership is being transferred.
    Busy,
    Member(MemberError),
}

/// Output of the Raft state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum RaftAction {
    /// Write and sync in order, then acknowledge with [`RaftEvent::Persisted`].
    Persist {
        sequence: u64,
        hard_state: Option<HardState>,
        truncate_from: Option<LogIndex>,
        entries: Vec<LogEntry>,
    },
    Send(RaftMessage),
    /// Newly committed entries, in order; each is emitted once per start of the node.
    Commit(Vec<LogEntry>),
    /// The request was appended to the log; its outcome is known once `index` is committed.
    Accepted {
        request: u64,
        term: TermNumber,
        index: LogIndex,
    },
    Refused {
        request: u64,
        refusal: Refusal,
    },
    /// A quorum confirmed this member as leader after the request was made; all entries up to
    /// `index` were committed by then.
    LeadershipConfirmed {
        request: u64,
        index: LogIndex,
    },
    /// Sync and restore, then acknowledge with [`RaftEvent::SnapshotInstalled`].
    InstallSnapshot(SharedSnapshot),
    RoleChanged {
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    },
    /// This follower no longer follows the leader of `term` and takes part in the election of another.
    LeaderLost {
        leader: MemberId,
        term: TermNumber,
        cause: LeaderLoss,
    },
}
