//! Heartbeats that change only sequence and load: compact relay items, and the requests of a
//! process that lacks something.
//!
//! An item names the server by its content digest. A receiver that knows the digest therefore has
//! the same address, limits and state; any other receiver asks the sender for the announcement.
//! At most one beat of a server is relayed in `RELAY_QUIET`, whichever entries hear it. A process
//! for which a server falls silent asks two peers before it suspects the server, so a lost batch
//! or a cut between two processes alone makes no server suspect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::announcement::{LifeEvent, next_state};
use super::{
    DirectoryAction, RELAY_BATCH, RelayedAnnouncement, ServerAnnouncement, ServerDirectory,
};
use crate::ids::ProcessName;

/// A beat is not relayed when a beat younger than this is known to have been relayed.
///
/// With a heartbeat each second, every second one is relayed; the gap stays under `ASK_AFTER`.
pub const RELAY_QUIET: Duration = Duration::from_millis(1_500);

/// Silence after which peers are asked; leaves 600 ms for their answer before suspicion.
pub const ASK_AFTER: Duration = Duration::from_millis(2_400);

/// A digest is not requested again within this time.
const REQUEST_QUIET: Duration = Duration::from_secs(1);

/// Digests in one request, and requested within `REQUEST_QUIET` altogether.
pub const REQUEST_LIMIT: usize = 1_024;

/// Unit of the load in an item: 4 permille, so that one byte covers full load.
const LOAD_UNIT: u32 = 4;

/// Unit of the age in an item in milliseconds, so that one byte covers `SUSPECT_AFTER`.
const AGE_UNIT: u64 = 16;

/// Bytes of the shortest item: digest, one byte of the sequence, load and age.
const ITEM_BYTES: usize = 11;

/// A heartbeat that changes only sequence and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompactHeartbeat {
    /// Content digest of the announcement.
    pub digest: u64,
    /// Number of the heartbeat.
    pub sequence: u64,
    /// Load in permille, rounded down to a multiple of 4 and cut to 1,020.
    pub load: u32,
    /// Milliseconds since the server was heard, rounded up to a multiple of 16 and cut to 4,080.
    pub age_ms: u64,
}

/// A packed batch ends within an item or is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed batch of heartbeats")]
pub struct HeartbeatError;

/// What a process asks a peer for, by content digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryRequest {
    /// Announcements that the asking process lacks.
    pub unknown: Vec<u64>,
    /// Servers that the asking process has not heard for `ASK_AFTER`.
    pub late: Vec<u64>,
}

/// Requests that wait for the next tick, and those made lately.
#[derive(Debug, Default)]
pub(super) struct RequestBook {
    waiting: BTreeMap<ProcessName, Vec<u64>>,
    made: BTreeMap<u64, Instant>,
    pub(super) late: Vec<u64>,
}

impl CompactHeartbeat {
    /// Packs a batch: for each item 8 bytes of digest, the sequence as LEB128, load and age.
    pub fn pack(batch: &[Self]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(batch.len() * (ITEM_BYTES + 2));
        for beat in batch {
            bytes.extend_from_slice(&beat.digest.to_be_bytes());
            let mut rest = beat.sequence;
            while rest >= 0x80 {
                bytes.push(rest as u8 | 0x80);
                rest >>= 7;
            }
            bytes.push(rest as u8);
            bytes.push(u8::try_from(beat.load / LOAD_UNIT).unwrap_or(u8::MAX));
            bytes.push(u8::try_from(beat.age_ms.div_ceil(AGE_UNIT)).unwrap_or(u8::MAX));
        }
        bytes
    }

    /// Unpacks a batch of at most `RELAY_BATCH` items.
    pub fn unpack(mut bytes: &[u8]) -> Result<Vec<Self>, HeartbeatError> {
        let mut batch = Vec::new();
        while !bytes.is_empty() {
            if batch.len() == RELAY_BATCH {
                return Err(HeartbeatError);
            }
            let (digest, rest) = bytes.split_first_chunk().ok_or(HeartbeatError)?;
            let (sequence, rest) = read_number(rest)?;
            let ([load, age], rest) = rest.split_first_chunk().ok_or(HeartbeatError)?;
            batch.push(Self {
                digest: u64::from_be_bytes(*digest),
                sequence,
                load: u32::from(*load) * LOAD_UNIT,
                age_ms: u64::from(*age) * AGE_UNIT,
            });
            bytes = rest;
        }
        Ok(batch)
    }
}

fn read_number(bytes: &[u8]) -> Result<(u64, &[u8]), HeartbeatError> {
    let mut number = 0_u64;
    for (position, byte) in bytes.iter().enumerate().take(10) {
        let bits = u64::from(byte & 0x7f);
        let shift = 7 * position as u32;
        if bits << shift >> shift != bits {
            return Err(HeartbeatError);
        }
        number |= bits << shift;
        if byte & 0x80 == 0 {
            return Ok((number, &bytes[position + 1..]));
        }
    }
    Err(HeartbeatError)
}

impl RequestBook {
    /// Notes a digest that `peer` knows and this process does not.
    fn want(&mut self, now: Instant, peer: &ProcessName, digest: u64) {
        if self.made.len() >= REQUEST_LIMIT || self.made.contains_key(&digest) {
            return;
        }
        self.made.insert(digest, now);
        self.waiting.entry(peer.clone()).or_default().push(digest);
    }

    /// Requests that are due.
    pub(super) fn flush(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        self.made.retain(|_, made| now.saturating_duration_since(*made) < REQUEST_QUIET);
        for (peer, unknown) in std::mem::take(&mut self.waiting) {
            let request = DirectoryRequest { unknown, late: Vec::new() };
            actions.push(DirectoryAction::Ask { peer: Some(peer), request });
        }
        for late in std::mem::take(&mut self.late).chunks(REQUEST_LIMIT) {
            let request = DirectoryRequest { unknown: Vec::new(), late: late.to_vec() };
            actions.push(DirectoryAction::Ask { peer: None, request });
        }
    }
}

impl ServerDirectory {
    /// Merges a relayed batch of beats.
    pub(super) fn hear_beats(
        &mut self,
        now: Instant,
        from: &ProcessName,
        beats: &[CompactHeartbeat],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for beat in beats {
            self.counters.relayed_in += 1;
            self.hear_beat(now, from, beat, actions);
        }
    }

    fn hear_beat(
        &mut self,
        now: Instant,
        from: &ProcessName,
        beat: &CompactHeartbeat,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let Some((key, server)) = self.by_digest.get(&beat.digest) else {
            self.requests.want(now, from, beat.digest);
            return;
        };
        let Some(entry) = self.services.get_mut(key) else {
            return;
        };
        let Some(record) = entry.servers.get_mut(server) else {
            return;
        };
        let heard = now.checked_sub(Duration::from_millis(beat.age_ms)).unwrap_or(now);
        record.note_shared(heard);
        if beat.sequence <= record.announcement.sequence {
            self.counters.ignored_old += 1;
            return;
        }
        record.note_heard(heard);
        entry.next_check = entry.next_check.min(heard + ASK_AFTER);
        let old = &record.announcement;
        let merged =
            ServerAnnouncement { sequence: beat.sequence, load: beat.load, ..(**old).clone() };
        let load_changed = merged.load != old.load;
        record.announcement = Arc::new(merged);
        let from = record.life;
        record.life = next_state(from, LifeEvent::Announced(record.announcement.state));
        let announcement = Arc::clone(&record.announcement);
        if record.life != from {
            let to = record.life;
            actions.push(DirectoryAction::ServerChanged { from: Some(from), to, announcement });
        } else if load_changed {
            actions.push(DirectoryAction::LoadReported { announcement });
        }
    }

    /// Returns what is known of the requested servers; of late ones only those heard lately.
    pub fn answer(&self, now: Instant, request: &DirectoryRequest) -> Vec<RelayedAnnouncement> {
        let mut answer = Vec::new();
        let unknown = request.unknown.iter().map(|digest| (digest, false));
        let late = request.late.iter().map(|digest| (digest, true));
        for (digest, is_late) in unknown.chain(late).take(REQUEST_LIMIT) {
            let Some((key, server)) = self.by_digest.get(digest) else {
                continue;
            };
            let entry = self.services.get(key);
            let Some(record) = entry.and_then(|entry| entry.servers.get(server)) else {
                continue;
            };
            if !is_late || now.saturating_duration_since(record.heard) < ASK_AFTER {
                answer.push(record.relayed(now));
            }
        }
        answer
    }
}
