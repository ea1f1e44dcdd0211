//! Snapshot of a claim group: a sequence of CBOR items, a header and then one item per claim.
//!
//! Claims are written and read one at a time, so neither side needs a second copy in memory.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::HolderSession;
use super::store::{ClaimLimits, ClaimRecord, ClaimState, ClaimStore, EndedSession, ServiceScope};
use crate::ids::{ClaimNumber, ProcessName};

/// Version of the snapshot format that this build writes and reads.
pub const SNAPSHOT_FORMAT: u16 = 1;

/// A snapshot that can't be written.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    #[error("claim snapshot cannot be written: {0}")]
    Write(#[from] ciborium::ser::Error<std::io::Error>),
}

/// A snapshot that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    #[error("claim snapshot cannot be read: {0}")]
    Read(#[from] ciborium::de::Error<std::io::Error>),
    #[error("claim snapshot has format {0}, expected {SNAPSHOT_FORMAT}")]
    Format(u16),
    #[error("claim snapshot holds claim {0} twice or out of order")]
    Order(ClaimNumber),
    #[error("claim snapshot holds claim {0}, which is not below its next number")]
    Number(ClaimNumber),
}

#[derive(Serialize, Deserialize)]
struct SnapshotHeader {
    format: u16,
    limits: ClaimLimits,
    now_ms: u64,
    next_number: ClaimNumber,
    ended: BTreeMap<ProcessName, EndedSession>,
    claims: u64,
}

#[derive(Serialize, Deserialize)]
struct SnapshotClaim {
    #[serde(with = "serde_bytes")]
    identity: [u8; 32],
    number: ClaimNumber,
    #[serde(with = "serde_bytes")]
    digest: [u8; 32],
    attempt: u64,
    retention_ms: u64,
    service: Arc<ServiceScope>,
    holder: Arc<HolderSession>,
    state: ClaimState,
}

/// Same fields as `SnapshotClaim`, written without a copy of the answer.
#[derive(Serialize)]
struct SnapshotClaimRef<'a> {
    #[serde(with = "serde_bytes")]
    identity: &'a [u8; 32],
    number: ClaimNumber,
    #[serde(with = "serde_bytes")]
    digest: &'a [u8; 32],
    attempt: u64,
    retention_ms: u64,
    service: &'a ServiceScope,
    holder: &'a HolderSession,
    state: &'a ClaimState,
}

impl ClaimStore {
    /// Writes the state.
    ///
    /// # Errors
    /// Fails when `writer` does.
    pub fn snapshot(&self, mut writer: impl Write) -> Result<(), SnapshotError> {
        let header = SnapshotHeader {
            format: SNAPSHOT_FORMAT,
            limits: self.limits,
            now_ms: self.now_ms,
            next_number: self.next_number,
            ended: self.ended.clone(),
            claims: self.claims.len() as u64,
        };
        ciborium::into_writer(&header, &mut writer)?;
        for (identity, record) in &self.claims {
            let claim = SnapshotClaimRef {
                identity,
                number: record.number,
                digest: &record.digest,
                attempt: record.attempt,
                retention_ms: record.retention_ms,
                service: &record.service,
                holder: &record.holder,
                state: &record.state,
            };
            ciborium::into_writer(&claim, &mut writer)?;
        }
        Ok(())
    }

    /// Reads a state written by `snapshot`.
    ///
    /// # Errors
    /// Fails when the input is truncated, malformed, of another format or contradicts itself.
    pub fn restore(mut reader: impl Read) -> Result<Self, RestoreError> {
        let header: SnapshotHeader = ciborium::from_reader(&mut reader)?;
        if header.format != SNAPSHOT_FORMAT {
            return Err(RestoreError::Format(header.format));
        }
        let mut store = Self::new(header.limits);
        store.now_ms = header.now_ms;
        store.next_number = header.next_number;
        store.ended = header.ended;
        for _ in 0..header.claims {
            let claim: SnapshotClaim = ciborium::from_reader(&mut reader)?;
            let last = store.claims.last_key_value().map(|(identity, _)| *identity);
            if last.is_some_and(|last| last >= claim.identity) {
                return Err(RestoreError::Order(claim.number));
            }
            if claim.number >= header.next_number {
                return Err(RestoreError::Number(claim.number));
            }
            let record = ClaimRecord {
                number: claim.number,
                digest: claim.digest,
                attempt: claim.attempt,
                retention_ms: claim.retention_ms,
                service: claim.service,
                holder: claim.holder,
                state: claim.state,
            };
            store.insert(claim.identity, record);
        }
        Ok(store)
    }
}
