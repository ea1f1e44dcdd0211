//! Commands of a claim group's log and their outcomes.

use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};

use crate::ids::{ClaimNumber, GroupId, ProcessName, ServiceName, TeamName};

/// Version of `ClaimCommand` that this build writes and applies.
pub const COMMAND_VERSION: u16 = 1;

/// One entry of a claim group's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCommand {
    pub version: u16,
    /// Time stamped by the group's leader, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    pub action: ClaimAction,
}

/// What a command asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAction {
    Open(OpenClaim),
    Settle(SettleClaim),
    /// The lease of an entry's session has expired; earlier sessions of the entry end with it.
    ExpireHolder(HolderSession),
    /// Drops settled claims past their retention.
    Expire,
}

/// What a claim is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimKey {
    pub team: TeamName,
    pub service: ServiceName,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: Box<str>,
}

/// One lease session of an entry; a later session of the same entry has a higher number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HolderSession {
    pub holder: ProcessName,
    pub session: u64,
}

/// Asks for the right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenClaim {
    pub key: ClaimKey,
    /// SHA-256 of the request, see `digest`.
    #[serde(with = "serde_bytes")]
    pub digest: [u8; 32],
    pub holder: HolderSession,
    /// Random id of this request at the entry; a resent command carries the same one.
    pub attempt: u64,
    pub retention_ms: u64,
    /// Claims that the service may have in this group.
    pub capacity: u64,
}

/// Reports how a granted claim ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleClaim {
    pub key: ClaimKey,
    pub number: ClaimNumber,
    pub holder: HolderSession,
    pub outcome: SettledAs,
}

/// How a claim ended, as its holder saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettledAs {
    /// The request ran; `None` stands for an answer over the limit.
    Done(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
    /// The request did not run.
    NotRun,
}

/// Response kept for duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    /// Header lines as sent to the caller.
    pub head: ByteBuf,
    pub body: ByteBuf,
}

/// Result of one command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    Open(OpenOutcome),
    Settle(SettleOutcome),
    /// The number of running claims that became unknown.
    HolderExpired(u64),
    /// The number of claims dropped, and whether more are due.
    Expired {
        dropped: u64,
        more: bool,
    },
    /// The command is of a version that this build doesn't know; nothing changed.
    UnsupportedVersion,
}

/// Result of `Open`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpenOutcome {
    /// The attempt may run the request.
    Granted { number: ClaimNumber },
    /// Another attempt may be running it.
    Running { number: ClaimNumber, holder: ProcessName },
    /// It ran; `None` stands for an answer that isn't stored.
    Done { number: ClaimNumber, answer: Option<StoredAnswer> },
    /// It may have run.
    Unknown { number: ClaimNumber },
    /// The key belongs to another request.
    Mismatch,
    /// No room; the request was not run.
    Full,
    /// The asking session has ended; this attempt was not run and gets no claim.
    SessionEnded,
    /// A name or the key is longer than `TEXT_BYTES`; the request was not run.
    Invalid,
}

/// Result of `Settle`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The state is as asked for.
    Settled,
    /// The claim is released; "not run" may be told.
    Released,
    /// `NotRun` came after the claim was reported unknown, which stays.
    AlreadyUnknown,
    /// The claim has its final answer, which stays.
    AlreadyDone,
    /// The sender doesn't hold the claim.
    NotHolder,
    /// No claim of this number: it was released or is past its retention.
    NoClaim,
}

/// State of a claim for a duplicate request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimView {
    Absent,
    Running,
    Done(Option<StoredAnswer>),
    Unknown,
    Mismatch,
}

impl ClaimKey {
    /// Returns the SHA-256 of the length-prefixed fields.
    pub fn identity(&self) -> [u8; 32] {
        key_hash(&self.team, &self.service, &self.key)
    }
}

impl StoredAnswer {
    /// Returns the bytes of head and body.
    pub fn size(&self) -> u64 {
        (self.head.len() + self.body.len()) as u64
    }
}

/// Returns the claim group of a key, from 1 to `groups`.
///
/// The first 8 bytes of the SHA-256 over the length-prefixed team, service and key, read big
/// endian, are scaled to the number of groups (`hash * groups / 2^64`). A change of `groups` moves
/// keys between groups, so the number is fixed while claims exist. Zero groups count as one.
pub fn shard_of(team: &str, service: &str, key: &str, groups: u32) -> GroupId {
    let hash = key_hash(team, service, key);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    let scaled = (u128::from(u64::from_be_bytes(prefix)) * u128::from(groups.max(1))) >> 64;
    scaled as u32 + 1
}

fn key_hash(team: &str, service: &str, key: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in [team, service, key] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    hash.finalize().into()
}
