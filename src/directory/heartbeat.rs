//! Compact heartbeats, which change only sequence and load, and requests for missing announcements.
//!
//! A compact heartbeat identifies the server by its content digest. A receiver that knows the
//! digest has the same address, limits and state; any other receiver requests the announcement from
//! the sender. At most one heartbeat of a server is relayed per `MIN_HEARTBEAT_RELAY_INTERVAL`,
//! whichever entries receive it. Before a process suspects a silent server, it sends a request to
//! two peers, so that a lost batch or a broken link between two processes alone makes no server
//! suspect.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::announcement::{LifeEvent, next_state};
use super::{
    DirectoryAction, MAX_RELAY_BATCH_ITEMS, RelayedAnnouncement, ServerAnnouncement,
    ServerDirectory,
};
use crate::ids::ProcessName;

/// Time after a relayed heartbeat within which a process that knows of it relays no other one.
///
/// Servers send one heartbeat per second, so every other one is relayed, and the gap between two
/// relayed ones stays below `PEER_REQUEST_AFTER`.
pub const MIN_HEARTBEAT_RELAY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Silence after which peers are sent a request, which leaves 600 ms for their answer before the
/// server is suspect.
pub const PEER_REQUEST_AFTER: Duration = Duration::from_millis(2_400);

/// Time within which the same digest is not requested again.
const REQUEST_REPEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Most digests in one request, and most unknown digests requested per `REQUEST_REPEAT_INTERVAL`.
pub const MAX_REQUESTED_DIGESTS: usize = 1_024;

/// Unit of a packed load, in permille, chosen so that one byte covers full load.
const LOAD_UNIT_PERMILLE: u32 = 4;

/// Unit of a packed age, in milliseconds, chosen so that one byte covers `SUSPECT_AFTER`.
const AGE_UNIT_MS: u64 = 16;

/// Size of the shortest packed heartbeat: 8 bytes of digest and one byte each of sequence, load and
/// age.
const MIN_ITEM_BYTES: usize = 11;

/// A heartbeat that changes only sequence and load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CompactHeartbeat {
    /// Content digest of the server's announcement.
    pub digest: u64,
    /// Number of the heartbeat within the server's incarnation.
    pub sequence: u64,
    /// Load in permille; packing rounds it down to a multiple of 4 and caps it at 1,020.
    pub load: u32,
    /// Age of the heartbeat in milliseconds; packing rounds it up to a multiple of 16 and caps it
    /// at 4,080.
    pub age_ms: u64,
}

/// A packed batch is truncated, has too many items, or contains an overlong number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("malformed batch of heartbeats")]
pub struct HeartbeatError;

/// Request to a peer for announcements, by content digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryRequest {
    /// Announcements that the requesting process doesn't have.
    pub unknown: Vec<u64>,
    /// Servers that have been silent at the requesting process for `PEER_REQUEST_AFTER`.
    pub late: Vec<u64>,
}

/// Requests that the next tick sends, and the digests that were requested recently.
#[derive(Debug, Default)]
pub(super) struct PeerRequests {
    queued: BTreeMap<ProcessName, Vec<u64>>,
    requested_at: BTreeMap<u64, Instant>,
    pub(super) late: Vec<u64>,
}

impl CompactHeartbeat {
    /// Encodes a batch: for each item 8 bytes of digest, the sequence as LEB128, and one byte each
    /// of load and age.
    pub fn pack(batch: &[Self]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(batch.len() * (MIN_ITEM_BYTES + 2));
        for heartbeat in batch {
            bytes.extend_from_slice(&heartbeat.digest.to_be_bytes());
            let mut sequence = heartbeat.sequence;
            while sequence >= 0x80 {
                bytes.push(sequence as u8 | 0x80);
                sequence >>= 7;
            }
            bytes.push(sequence as u8);
            bytes.push(u8::try_from(heartbeat.load / LOAD_UNIT_PERMILLE).unwrap_or(u8::MAX));
            bytes.push(u8::try_from(heartbeat.age_ms.div_ceil(AGE_UNIT_MS)).unwrap_or(u8::MAX));
        }
        bytes
    }

    /// Decodes a batch of at most `MAX_RELAY_BATCH_ITEMS` items.
    pub fn unpack(mut bytes: &[u8]) -> Result<Vec<Self>, HeartbeatError> {
        let mut batch = Vec::new();
        while !bytes.is_empty() {
            if batch.len() == MAX_RELAY_BATCH_ITEMS {
                return Err(HeartbeatError);
            }
            let (digest, rest) = bytes.split_first_chunk().ok_or(HeartbeatError)?;
            let (sequence, rest) = read_leb128(rest)?;
            let ([load, age], rest) = rest.split_first_chunk().ok_or(HeartbeatError)?;
            batch.push(Self {
                digest: u64::from_be_bytes(*digest),
                sequence,
                load: u32::from(*load) * LOAD_UNIT_PERMILLE,
                age_ms: u64::from(*age) * AGE_UNIT_MS,
            });
            bytes = rest;
        }
        Ok(batch)
    }
}

fn read_leb128(bytes: &[u8]) -> Result<(u64, &[u8]), HeartbeatError> {
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

impl PeerRequests {
    /// Queues a request to `peer` for a digest that this process doesn't know.
    fn request_announcement(&mut self, now: Instant, peer: &ProcessName, digest: u64) {
        if self.requested_at.len() >= MAX_REQUESTED_DIGESTS
            || self.requested_at.contains_key(&digest)
        {
            return;
        }
        self.requested_at.insert(digest, now);
        self.queued.entry(peer.clone()).or_default().push(digest);
    }

    /// Emits the queued requests, and forgets digests that may be requested again.
    pub(super) fn flush(&mut self, now: Instant, actions: &mut Vec<DirectoryAction>) {
        self.requested_at
            .retain(|_, at| now.saturating_duration_since(*at) < REQUEST_REPEAT_INTERVAL);
        for (peer, unknown) in std::mem::take(&mut self.queued) {
            let request = DirectoryRequest { unknown, late: Vec::new() };
            actions.push(DirectoryAction::SendRequest { peer: Some(peer), request });
        }
        for late in std::mem::take(&mut self.late).chunks(MAX_REQUESTED_DIGESTS) {
            let request = DirectoryRequest { unknown: Vec::new(), late: late.to_vec() };
            actions.push(DirectoryAction::SendRequest { peer: None, request });
        }
    }
}

impl ServerDirectory {
    /// Merges a relayed batch of compact heartbeats.
    pub(super) fn merge_heartbeats(
        &mut self,
        now: Instant,
        from: &ProcessName,
        heartbeats: &[CompactHeartbeat],
        actions: &mut Vec<DirectoryAction>,
    ) {
        for heartbeat in heartbeats {
            self.counters.relayed_in += 1;
            self.merge_heartbeat(now, from, heartbeat, actions);
        }
    }

    fn merge_heartbeat(
        &mut self,
        now: Instant,
        from: &ProcessName,
        heartbeat: &CompactHeartbeat,
        actions: &mut Vec<DirectoryAction>,
    ) {
        let Some((key, server)) = self.servers_by_digest.get(&heartbeat.digest) else {
            self.requests.request_announcement(now, from, heartbeat.digest);
            return;
        };
        let Some(entry) = self.services.get_mut(key) else {
            return;
        };
        let Some(record) = entry.servers.get_mut(server) else {
            return;
        };
        let heartbeat_at = now.checked_sub(Duration::from_millis(heartbeat.age_ms)).unwrap_or(now);
        record.note_relay(heartbeat_at);
        if heartbeat.sequence <= record.announcement.sequence {
            self.counters.ignored_old += 1;
            return;
        }
        record.note_heartbeat(heartbeat_at);
        entry.next_check = entry.next_check.min(heartbeat_at + PEER_REQUEST_AFTER);
        let old = &record.announcement;
        let merged = ServerAnnouncement {
            sequence: heartbeat.sequence,
            load: heartbeat.load,
            ..(**old).clone()
        };
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

    /// Returns the announcements of the requested servers that this process knows. Late servers are
    /// included only if their newest heartbeat here is younger than `PEER_REQUEST_AFTER`.
    pub fn answer(&self, now: Instant, request: &DirectoryRequest) -> Vec<RelayedAnnouncement> {
        let mut answer = Vec::new();
        let unknown = request.unknown.iter().map(|digest| (digest, false));
        let late = request.late.iter().map(|digest| (digest, true));
        for (digest, is_late) in unknown.chain(late).take(MAX_REQUESTED_DIGESTS) {
            let Some((key, server)) = self.servers_by_digest.get(digest) else {
                continue;
            };
            let entry = self.services.get(key);
            let Some(record) = entry.and_then(|entry| entry.servers.get(server)) else {
                continue;
            };
            if !is_late || now.saturating_duration_since(record.heartbeat_at) < PEER_REQUEST_AFTER {
                answer.push(record.relayed_announcement(now));
            }
        }
        answer
    }
}
