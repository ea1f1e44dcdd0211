//! Snapshot of a claim group: a sequence of CBOR items, a header followed by one item per claim.
//!
//! Claims are encoded and decoded one at a time, so neither direction needs a second copy of the
//! store in memory.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::HolderSession;
use super::store::{ClaimLimits, ClaimRecord, ClaimState, ClaimStore, EndedSession, ServiceScope};
use crate::ids::{ClaimNumber, ProcessName};

/// Version of the snapshot format that this build writes and reads.
pub const SNAPSHOT_FORMAT: u16 = 1;

/// Error of `ClaimStore::snapshot`.
#[derive(Debug, thiserror::Error)]
pub enum SnapshotError {
    #[error("claim snapshot cannot be written: {0}")]
    Write(#[from] ciborium::ser::Error<std::io::Error>),
}

/// Error of `ClaimStore::restore`.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    #[error("claim snapshot cannot be read: {0}")]
    Read(#[from] ciborium::de::Error<std::io::Error>),
    #[error("claim snapshot has format version {0}, expected {SNAPSHOT_FORMAT}")]
    Format(u16),
    #[error("claim snapshot is not in ascending key order at claim {0}")]
    Order(ClaimNumber),
    #[error("claim snapshot contains claim {0}, which is not below its next claim number")]
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

/// Borrowed form of `SnapshotClaim`, which is written without a copy of the answer.
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
    /// Writes the whole store as a snapshot.
    ///
    /// # Errors
    /// Fails if writing to `writer` fails.
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

    /// Reads a snapshot written by `snapshot`.
    ///
    /// # Errors
    /// Fails if the input is truncated, malformed, inconsistent or in another format version.
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
            let previous = store.claims.last_key_value().map(|(identity, _)| *identity);
            if previous.is_some_and(|previous| previous >= claim.identity) {
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
