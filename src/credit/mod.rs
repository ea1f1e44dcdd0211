//! Slot accounts and wallets: one account holder per service leases server slots to the entries.

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
    AccountAction, AccountBook, AccountEvent, AccountSettings, LiveEntry, ServerLimit,
};
pub use wallet::{
    CreditWallet, HeldCredit, WaitingWork, WalletEvent, WalletServer, WalletSettings,
};

/// Hash of a server's id; fixed size keeps messages small and decisions free of allocation.
pub type ServerKey = u64;

/// Credit lease granted with every message of the account holder.
pub const CREDIT_LEASE: Duration = Duration::from_secs(2);

/// The holder waits this long before it counts a silent entry's credits as free. The 10 % above
/// the lease covers clock drift between two VMs.
pub const LEASE_WITH_DRIFT: Duration = Duration::from_millis(2200);

/// A server that failed a request gets no new work for this long, and twice as long after each
/// further failure; otherwise it would attract work by failing fast.
const FIRST_PAUSE: Duration = Duration::from_millis(2);
const LONGEST_PAUSE: Duration = Duration::from_millis(16);

/// Class of work. Part of each server's slots is reserved for short work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum WorkClass {
    Short,
    Long,
}

impl WorkClass {
    pub const ALL: [Self; 2] = [Self::Short, Self::Long];

    /// Position in arrays that hold one value per class.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// Work of one class that waits in an entry, as sent to the account holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandLine {
    pub class: WorkClass,
    pub waiting: u32,
    pub oldest_age: Duration,
    /// Time left until the latest deadline of the waiting work, if all of it has one; the demand
    /// is void then.
    pub deadline: Option<Duration>,
}

/// A number of credits of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CreditLine {
    #[serde(rename = "s")]
    pub server: ServerKey,
    #[serde(rename = "c")]
    pub class: WorkClass,
    #[serde(rename = "n")]
    pub count: u32,
}

/// Credits of one server and class that an entry holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldLine {
    #[serde(rename = "s")]
    pub server: ServerKey,
    #[serde(rename = "c")]
    pub class: WorkClass,
    #[serde(rename = "u")]
    pub in_use: u32,
    #[serde(rename = "i")]
    pub idle: u32,
}

/// Credits the holder wants back: of one server, or of any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecallLine {
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

/// A server whose answers look bad to an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectLine {
    pub server: ServerKey,
    pub reason: SuspectReason,
    /// In percent of the score that ejects a server; 100 for an ejected one.
    pub strength: u8,
}

/// How a request ended, compared with the usual answers of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    Good,
    /// Slower than usual, but not by enough to count.
    Neutral,
    Slow,
    Failed,
    /// Failed while many answers of the whole service fail; says nothing about this server.
    CommonFailure,
}

/// Answers of a server on probe, and failed answers of any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeLine {
    pub server: ServerKey,
    pub good: u32,
    pub slow: u32,
    pub failed: u32,
}

/// Message of an entry to the account holder; carries demand, returns and reports in one batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMessage {
    #[serde(rename = "e")]
    pub epoch: EpochNumber,
    /// Counts up with every full report; older grants are void then.
    #[serde(rename = "s")]
    pub session: u64,
    /// Counts up with every message; the holder echoes it, which dates the lease.
    #[serde(rename = "q")]
    pub sequence: u64,
    /// Credits received in this session; the holder subtracts what is still on the way.
    #[serde(rename = "r")]
    pub received: u64,
    /// Requests started since the previous message; the measure of recent demand.
    #[serde(rename = "t")]
    pub started: u32,
    /// Idle credits after the returns of this message.
    #[serde(rename = "i")]
    pub idle: u32,
    /// Whether `demand` replaces what the holder knows; otherwise that stays as it is.
    #[serde(rename = "h")]
    pub has_demand: bool,
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<DemandLine>,
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub returns: Vec<CreditLine>,
    /// All credits held; present in the first message of a session.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub report: Option<Vec<HeldLine>>,
    /// Servers the entry has ejected and wants no credits of.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub avoided: Vec<ServerKey>,
    /// Servers whose answers look bad to the entry now; replaces the earlier statement.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectLine>,
    /// Answers on probe credits and failed answers since the previous message.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<OutcomeLine>,
}

/// Message of the account holder to one entry. Without lines it only renews the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderMessage {
    #[serde(rename = "e")]
    pub epoch: EpochNumber,
    #[serde(rename = "s")]
    pub session: u64,
    /// Sequence of the newest message received; the lease runs from the time it was sent.
    #[serde(rename = "k")]
    pub acknowledged: u64,
    #[serde(rename = "l")]
    pub lease: Duration,
    /// Idle credits that the entry may keep until they are recalled.
    #[serde(rename = "p")]
    pub keep: u32,
    /// Few slots are unused: credits above `keep` go back with the next message.
    #[serde(rename = "c")]
    pub is_scarce: bool,
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<CreditLine>,
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub recalls: Vec<RecallLine>,
    /// Servers on probe: each credit of the grants goes back after one request, with its outcome.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub probes: Vec<ServerKey>,
}

impl EntryMessage {
    /// Whether it does more than renew the lease.
    pub fn moves_credits(&self) -> bool {
        self.started > 0
            || self.report.is_some()
            || !self.demand.is_empty()
            || !self.returns.is_empty()
    }

    /// Size on the wire in bytes, estimated from the encoded size of each part.
    pub fn wire_bytes(&self) -> u32 {
        const MESSAGE_BYTES: usize = 200;
        const LINE_BYTES: usize = 60;
        let report = self.report.as_ref().map_or(0, Vec::len);
        let health = self.avoided.len() + self.suspects.len() + self.outcomes.len();
        let lines = self.demand.len() + self.returns.len() + report + health;
        u32::try_from(MESSAGE_BYTES + lines * LINE_BYTES).unwrap_or(u32::MAX)
    }
}

impl HolderMessage {
    /// Size on the wire in bytes, estimated from the encoded size of each part.
    pub fn wire_bytes(&self) -> u32 {
        const MESSAGE_BYTES: usize = 180;
        const LINE_BYTES: usize = 50;
        let lines = self.grants.len() + self.recalls.len() + self.probes.len();
        u32::try_from(MESSAGE_BYTES + lines * LINE_BYTES).unwrap_or(u32::MAX)
    }
}

/// Hashes a server's id (FNV-1a, 64 bits). Two ids of one service with equal hashes would share
/// one server's slots, which loses capacity but exceeds no limit.
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

/// Share of a server's limit that `entry` may use by its own count. Over all live entries the
/// shares add up to exactly `limit`: the remainder goes to the entries with the highest hashes.
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
    // FNV mixes the last bytes poorly, so the hash is finished with the SplitMix64 rounds.
    let mut hash = hash_bytes(server, entry.as_bytes());
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
