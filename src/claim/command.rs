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

/// Operation of a `ClaimCommand`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAction {
    Open(OpenClaim),
    Settle(SettleClaim),
    /// The lease of an entry's session has expired; this also ends the entry's earlier sessions.
    ExpireHolder(HolderSession),
    /// Drops settled claims past their retention.
    Expire,
}

/// Identifies the logical request that a claim is for.
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

/// Requests the exclusive right to run a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenClaim {
    pub key: ClaimKey,
    /// SHA-256 of the request, computed by `digest`.
    #[serde(with = "serde_bytes")]
    pub digest: [u8; 32],
    pub holder: HolderSession,
    /// Random id of this request at the entry; the same in every copy of the command.
    pub attempt: u64,
    pub retention_ms: u64,
    /// Most claims that the service may have in this group.
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
    /// The request ran; `None` if its answer exceeds the size limit.
    Done(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
    /// The request did not run.
    NotRun,
}

/// Server response to the first request, stored to answer its duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    pub status: u16,
    /// Response headers as sent to the caller.
    pub head: ByteBuf,
    pub body: ByteBuf,
}

/// Result of a `ClaimCommand`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    Open(OpenOutcome),
    Settle(SettleOutcome),
    /// The number of running claims that became unknown.
    HolderExpired(u64),
    /// The number of claims dropped, and whether others are past their retention.
    Expired {
        dropped: u64,
        more: bool,
    },
    /// This build doesn't support the command's version; nothing changed.
    UnsupportedVersion,
}

/// Result of `Open`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpenOutcome {
    /// The attempt may run the request.
    Granted { number: ClaimNumber },
    /// Another attempt holds the claim and may be running the request.
    Running { number: ClaimNumber, holder: ProcessName },
    /// The request ran; `None` if its answer isn't stored.
    Done { number: ClaimNumber, answer: Option<StoredAnswer> },
    /// The request may have run.
    Unknown { number: ClaimNumber },
    /// The key belongs to another request.
    Mismatch,
    /// The service or the group is at its claim limit; the request was not run.
    Full,
    /// The holder's session has ended; this attempt was not run and gets no claim.
    SessionEnded,
    /// A name or the key is longer than `MAX_TEXT_BYTES`; the request was not run.
    Invalid,
}

/// Result of `Settle`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SettleOutcome {
    /// The claim is in the requested final state.
    Settled,
    /// The claim is released; the caller may be told that the request was not run.
    Released,
    /// The claim already is unknown, which a `NotRun` can't change.
    AlreadyUnknown,
    /// The claim already is done, and its outcome can't change.
    AlreadyDone,
    /// The sender doesn't hold the claim.
    NotHolder,
    /// No claim has this number: it was released, or dropped after its retention.
    NoClaim,
}

/// State of a claim as reported to a duplicate request.
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
    /// Returns the size of head and body in bytes.
    pub fn size(&self) -> u64 {
        (self.head.len() + self.body.len()) as u64
    }
}

/// Returns the id of the claim group that stores a key, from 1 to `groups`.
///
/// The first 8 bytes of the SHA-256 over the length-prefixed team, service and key, read as a
/// big-endian number, are scaled to the number of groups (`hash * groups / 2^64`). A change of
/// `groups` moves keys between groups, so it must not change while claims exist. Zero groups count
/// as one.
pub fn claim_group_of(team: &str, service: &str, key: &str, groups: u32) -> GroupId {
    let hash = key_hash(team, service, key);
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash[..8]);
    let group_index = (u128::from(u64::from_be_bytes(prefix)) * u128::from(groups.max(1))) >> 64;
    group_index as u32 + 1
}

fn key_hash(team: &str, service: &str, key: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for field in [team, service, key] {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.finalize().into()
}
