//! Requests that crash the servers that run them: their identity, and the evidence against them.

pub mod controller;
mod digest;
mod ledger;
mod settling;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use self::digest::{DIGEST_PIECE_BYTES, request_digest, request_digest_in_pieces};
pub use self::ledger::{
    CLEARED_CONVICTION_CRASHES, CONVICTION_CRASHES, CrashFinding, CrashLedger, EVIDENCE_LIFETIME,
    MAX_SUSPECTS, PROBATION_LIFETIME, SuspectRecord,
};
use super::announcement::IncarnationStart;
use crate::ids::{RequestDigest, ServerId};

/// Evidence of one entry: a server crashed while it ran a request.
///
/// An entry sends a report only if it counts in the entry's own ledger ([`CrashFinding::Suspected`] or
/// [`CrashFinding::Convicted`]): that ledger knows best which sends and successes of the entry came
/// before others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub digest: RequestDigest,
    pub server: ServerId,
    /// Incarnation of the server that crashed.
    pub started: IncarnationStart,
    /// Time from the start of the send to the loss of the connection.
    pub ran_for: Duration,
    /// Time from the loss of the connection until the report is sent; whoever holds the report back
    /// adds that time. A report can wait for the next incarnation of the server.
    #[serde(default)]
    pub age: Duration,
}
