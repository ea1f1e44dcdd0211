//! Messages between entries and the holder. Rows travel without field names.

use serde::{Deserialize, Serialize};

use crate::ids::{ProcessName, TenantName};

/// Maximum number of rows that are read from one message.
pub const MAX_ROWS: usize = 256;

/// Number of an ask; each entry counts its own.
pub type AskNumber = u64;

/// Process of an entry: its name and the boot time of its start in milliseconds. A later start under the same
/// name shows that the earlier process has ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryIncarnation(pub ProcessName, pub u64);

/// Who asks, and whether its last ask was answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskKind {
    /// An entry of an older version, which takes the grant of a deputy for one of the holder.
    #[default]
    #[serde(rename = "o")]
    Old,
    #[serde(rename = "f")]
    First,
    /// The last ask was not answered in time.
    #[serde(rename = "r")]
    Repeated,
    /// A deputy asks for its stock. The rows state what it holds; the grant names all tenants that ask.
    #[serde(rename = "d")]
    Deputy,
}

/// Request of an entry for leases and tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    #[serde(rename = "e")]
    pub entry: EntryIncarnation,
    #[serde(rename = "n")]
    pub number: AskNumber,
    #[serde(rename = "r")]
    pub rows: Vec<AskRow>,
    #[serde(rename = "k", default)]
    pub kind: AskKind,
}

/// Part of an ask for one tenant. It states all that the entry holds, since no earlier grant is accepted
/// after this ask was sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "AskTuple", into = "AskTuple")]
pub struct AskRow {
    pub tenant: TenantName,
    /// Standing rate of the lease, in tokens per second.
    pub rate: f32,
    /// Number of tokens up to which the standing rate fills the purse.
    pub depth: f32,
    /// Requests per second that callers send.
    pub demand: f32,
    /// Tokens for which requests wait, or for which a deputy has room.
    pub wanted: u32,
}

type AskTuple = (TenantName, f32, f32, f32, u32);

impl From<AskTuple> for AskRow {
    fn from((tenant, rate, depth, demand, wanted): AskTuple) -> Self {
        Self { tenant, rate, depth, demand, wanted }
    }
}

impl From<AskRow> for AskTuple {
    fn from(row: AskRow) -> Self {
        (row.tenant, row.rate, row.depth, row.demand, row.wanted)
    }
}

/// Answer of the holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Ask that is answered.
    #[serde(rename = "n")]
    pub number: AskNumber,
    /// Member that holds the accounts, for logs.
    #[serde(rename = "h")]
    pub holder: ProcessName,
    #[serde(rename = "r")]
    pub rows: Vec<GrantRow>,
    /// Whether the tokens are of a deputy's stock; leases stay as they are.
    #[serde(rename = "d", default)]
    pub is_stock: bool,
}

/// Part of a grant for one tenant. It replaces the lease.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "GrantTuple", into = "GrantTuple")]
pub struct GrantRow {
    pub tenant: TenantName,
    pub rate: f32,
    pub depth: f32,
    /// Limit of the tenant for which rate and depth were computed, in requests per second.
    pub limit: f32,
    /// Tokens for requests that wait, or for the stock of a deputy.
    pub tokens: u32,
    /// Time in milliseconds after which a further token can be expected; 0 if none is missing.
    pub next_ms: u32,
    /// Whether tokens are missing because the limit is used up, not because too many are on their way.
    pub is_used_up: bool,
}

type GrantTuple = (TenantName, f32, f32, f32, u32, u32, bool);

impl From<GrantTuple> for GrantRow {
    fn from(tuple: GrantTuple) -> Self {
        let (tenant, rate, depth, limit, tokens, next_ms, is_used_up) = tuple;
        Self { tenant, rate, depth, limit, tokens, next_ms, is_used_up }
    }
}

impl From<GrantRow> for GrantTuple {
    fn from(row: GrantRow) -> Self {
        let GrantRow { tenant, rate, depth, limit, tokens, next_ms, is_used_up } = row;
        (tenant, rate, depth, limit, tokens, next_ms, is_used_up)
    }
}

/// Message of a member that is not the holder, for one of its entry links.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedAsk {
    #[serde(rename = "l")]
    pub link: u64,
    #[serde(rename = "a")]
    pub ask: QuotaAsk,
}

/// Answer to a [`RelayedAsk`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedGrant {
    #[serde(rename = "l")]
    pub link: u64,
    #[serde(rename = "g")]
    pub grant: QuotaGrant,
}
