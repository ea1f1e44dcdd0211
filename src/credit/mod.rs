//! Credit-based flow control: a credit is the right of one entry to occupy one slot of one server.
//!
//! For each service, one process (the account holder) keeps the account: it grants credits to the
//! entries and recalls them, so that the entries together never exceed the slots of a server. Each
//! entry keeps the credits granted to it in a wallet. All credits of an entry are covered by one
//! lease. Without a lease, or without an account holder, an entry falls back to a fixed share of
//! each server's slots.

pub mod account;
mod account_grant;
mod account_health;
mod account_state;
pub mod wallet;
mod wallet_report;
mod wallet_settings;
mod wallet_state;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EpochNumber, ProcessName};

pub use account::{
    AccountAction, AccountEvent, AccountSettings, CreditAccount, LiveEntry, ServerLimit,
};
pub use wallet::{
    CreditWallet, HeldCredit, WaitingWork, WalletEvent, WalletServer, WalletSettings,
};

/// Hash of a server's id. Its fixed size keeps messages small and avoids allocations.
pub type ServerKey = u64;

/// Duration of the lease that every message of the account holder grants.
pub const CREDIT_LEASE: Duration = Duration::from_secs(2);

/// Time after which the holder treats the credits of a silent entry as free. It is 10 % longer than
/// the lease to allow for clock drift between two VMs.
pub const LEASE_WITH_DRIFT: Duration = Duration::from_millis(2200);

/// A server that failed a request gets no new work for this long, and twice as long after each
/// further failure, up to the maximum. Otherwise it would attract work by failing fast.
const FIRST_FAILURE_PAUSE: Duration = Duration::from_millis(2);
const MAX_FAILURE_PAUSE: Duration = Duration::from_millis(16);

/// Class of work by its expected duration. Part of each server's slots is reserved for short work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkClass {
    Short,
    Long,
}

impl WorkClass {
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Index in arrays that hold one value per class.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Work of one class that waits in an entry, as sent to the account holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassDemand {
    pub class: WorkClass,
    pub waiting: u32,
    pub oldest_age: Duration,
    /// Time left until the latest deadline of the waiting work, if all of it has one. The demand
    /// expires at that time.
    pub deadline: Option<Duration>,
}

/// A number of credits of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditCount {
    #[serde(rename = "s")]
    pub server: ServerKey,
    #[serde(rename = "c")]
    pub class: WorkClass,
    #[serde(rename = "n")]
    pub count: u32,
}

/// Numbers of credits of one server and class that an entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldCounts {
    #[serde(rename = "s")]
    pub server: ServerKey,
    #[serde(rename = "c")]
    pub class: WorkClass,
    #[serde(rename = "u")]
    pub in_use: u32,
    #[serde(rename = "i")]
    pub idle: u32,
}

/// Request of the holder to return credits of one server, or of any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditRecall {
    #[serde(rename = "s")]
    pub server: Option<ServerKey>,
    #[serde(rename = "n")]
    pub count: u32,
}

/// Why an entry suspects a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SuspectReason {
    Slow,
    Failing,
}

/// A server that an entry suspects because of its responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectServer {
    pub server: ServerKey,
    pub reason: SuspectReason,
    /// Outlier score in percent of the threshold that ejects a server; 100 for an ejected one.
    pub strength: u8,
}

/// How a request ended, compared with the usual responses of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseVerdict {
    Good,
    /// Slower than usual, but not by enough to count.
    Neutral,
    Slow,
    Failed,
    /// Failed while many responses of the whole service fail, which says nothing about this server.
    ServiceWideFailure,
}

/// Numbers of responses of one server: all classified ones of a server that is being probed, only
/// the failed ones of any other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerOutcomes {
    pub server: ServerKey,
    pub good: u32,
    pub slow: u32,
    pub failed: u32,
}

/// Message of an entry to the account holder. Carries demand, returned credits and reports in one
/// batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMessage {
    #[serde(rename = "e")]
    pub epoch: EpochNumber,
    /// Increases with every full report. Grants of earlier sessions are void.
    #[serde(rename = "s")]
    pub session: u64,
    /// Increases with every message. The holder echoes it, and the lease runs from the time at which
    /// the echoed message was sent.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Credits received in this session, from which the holder computes those still in transit.
    #[serde(rename = "r")]
    pub received: u64,
    /// Requests started since the previous message, the measure of recent demand.
    #[serde(rename = "t")]
    pub started: u32,
    /// Idle credits that remain after the returns of this message.
    #[serde(rename = "i")]
    pub idle: u32,
    /// Whether `demand` replaces the demand known to the holder, which otherwise stays unchanged.
    #[serde(rename = "h")]
    pub has_demand: bool,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<ClassDemand>,
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<CreditCount>,
    /// All credits held. Present only in the first message of a session.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Vec<HeldCounts>>,
    /// Servers that the entry has ejected and for which it needs no credits.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub ejected: Vec<ServerKey>,
    /// Servers that the entry suspects now. Replaces the list of the previous message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectServer>,
    /// Responses to requests on probe credits, and failed responses, since the previous message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<ServerOutcomes>,
}

/// Message of the account holder to one entry. Without grants, recalls and probes it only renews
/// the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderMessage {
    #[serde(rename = "e")]
    pub epoch: EpochNumber,
    #[serde(rename = "s")]
    pub session: u64,
    /// Sequence of the latest message received. The lease runs from the time that message was sent.
    #[serde(rename = "k")]
    pub acknowledged: u64,
    #[serde(rename = "l")]
    pub lease: Duration,
    /// Number of idle credits that the entry may keep until they are recalled.
    #[serde(rename = "p")]
    pub idle_allowance: u32,
    /// Few slots are unused, so idle credits above `idle_allowance` must be returned with the next
    /// message.
    #[serde(rename = "c")]
    pub is_scarce: bool,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<CreditCount>,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub recalls: Vec<CreditRecall>,
    /// Servers being probed. Each granted credit of them is returned after one request, together
    /// with its outcome.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub probes: Vec<ServerKey>,
}

impl EntryMessage {
    /// Whether the message reports, requests or returns credits, or reports started requests.
    pub fn moves_credits(&self) -> bool {
        self.started > 0
            || self.report.is_some()
            || !self.demand.is_empty()
            || !self.returns.is_empty()
    }

    /// Size on the wire in bytes, estimated from the encoded size of each part.
    pub fn wire_bytes(&self) -> u32 {
        const MESSAGE_BYTES: usize = 200;
        const ITEM_BYTES: usize = 60;
        let report = self.report.as_ref().map_or(0, Vec::len);
        let health = self.ejected.len() + self.suspects.len() + self.outcomes.len();
        let items = self.demand.len() + self.returns.len() + report + health;
        u32::try_from(MESSAGE_BYTES + items * ITEM_BYTES).unwrap_or(u32::MAX)
    }
}

impl HolderMessage {
    /// Size on the wire in bytes, estimated from the encoded size of each part.
    pub fn wire_bytes(&self) -> u32 {
        const MESSAGE_BYTES: usize = 180;
        const ITEM_BYTES: usize = 50;
        let items = self.grants.len() + self.recalls.len() + self.probes.len();
        u32::try_from(MESSAGE_BYTES + items * ITEM_BYTES).unwrap_or(u32::MAX)
    }
}

/// Hashes a server's id (FNV-1a, 64 bits). Two ids of one service with equal hashes would share the
/// slots of one server, which loses capacity but exceeds no limit.
pub fn server_key(id: &str) -> ServerKey {
    hash_bytes(0xcbf2_9ce4_8422_2325, id.as_bytes())
}

fn hash_bytes(start: u64, bytes: &[u8]) -> u64 {
    let mut hash = start;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

/// Share of a server's slots that `entry` may use without a lease. The shares of all live entries
/// add up to exactly `limit`; the remainder of the division goes to the entries with the highest
/// rendezvous hashes.
pub fn fallback_share<'a>(
    server: ServerKey,
    limit: u32,
    entry: &str,
    live: impl Iterator<Item = &'a ProcessName>,
) -> u32 {
    let own = (rendezvous_weight(server, entry), entry);
    let mut total = 0;
    let mut higher = 0;
    let mut is_live = false;
    for name in live {
        total += 1;
        is_live |= **name == *entry;
        higher += u32::from((rendezvous_weight(server, name), &**name) > own);
    }
    if !is_live {
        return 0;
    }
    limit / total + u32::from(higher < limit % total)
}

fn rendezvous_weight(server: ServerKey, entry: &str) -> u64 {
    // FNV mixes the last bytes poorly, so the SplitMix64 finalizer is applied to the hash.
    let mut hash = hash_bytes(server, entry.as_bytes());
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
