//! Counts of messages and bytes on links, by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use super::WireMessage;

/// Names of the kinds in the order of [`kind_index`].
const KIND_NAMES: [&str; 21] = [
    "hello",
    "ping",
    "pong",
    "raft",
    "formation",
    "renew_lease",
    "grant_lease",
    "not_leader",
    "settings",
    "installed",
    "announce",
    "credit_request",
    "credit_grant",
    "claim_call",
    "claim_reply",
    "live_sessions",
    "leaving",
    "heartbeats",
    "directory_request",
    "directory_answer",
    "directory_sync",
];

/// Number of kinds.
const KINDS: usize = KIND_NAMES.len();

/// Bytes that a WebSocket client adds to each message, because its payload is masked.
const MASK_BYTES: usize = 4;

/// Counts since the start of the process; cheap to update from several threads.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    sent: [KindCells; KINDS],
    received: [KindCells; KINDS],
}

#[derive(Debug, Default)]
struct KindCells {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Totals of one kind of message in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficLine {
    /// Name of the kind.
    pub kind: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
    /// Messages.
    pub messages: u64,
    /// Bytes with WebSocket headers, without TCP and IP headers.
    pub bytes: u64,
}

impl LinkTraffic {
    /// Counts a frame of `length` bytes that was queued; `masked` on the side that connected.
    pub(super) fn count_sent(&self, kind: usize, length: usize, masked: bool) {
        self.sent[kind].add(length + header_bytes(length, masked));
    }

    /// Counts a frame of `length` bytes that arrived; `masked` when the peer connected.
    pub(super) fn count_received(&self, kind: usize, length: usize, masked: bool) {
        self.received[kind].add(length + header_bytes(length, masked));
    }

    /// Kinds that occurred, with their totals.
    pub fn lines(&self) -> Vec<TrafficLine> {
        let mut lines = Vec::new();
        for (direction, cells) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, cells) in KIND_NAMES.into_iter().zip(cells) {
                let messages = cells.messages.load(Ordering::Relaxed);
                let bytes = cells.bytes.load(Ordering::Relaxed);
                if messages > 0 {
                    lines.push(TrafficLine { kind, direction, messages, bytes });
                }
            }
        }
        lines
    }
}

impl KindCells {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

fn header_bytes(length: usize, masked: bool) -> usize {
    let header = match length {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    header + if masked { MASK_BYTES } else { 0 }
}

/// Position of a message's kind in the counts.
pub(super) fn kind_index(message: &WireMessage) -> usize {
    match message {
        WireMessage::Hello(_) => 0,
        WireMessage::Ping => 1,
        WireMessage::Pong => 2,
        WireMessage::Raft(_) => 3,
        WireMessage::Formation(_) => 4,
        WireMessage::RenewLease(_) => 5,
        WireMessage::GrantLease(_) => 6,
        WireMessage::NotLeader(_) => 7,
        WireMessage::Settings(_) => 8,
        WireMessage::Installed { .. } => 9,
        WireMessage::Announce(_) => 10,
        WireMessage::CreditRequest { .. } => 11,
        WireMessage::CreditGrant { .. } => 12,
        WireMessage::ClaimCall { .. } => 13,
        WireMessage::ClaimReply(_) => 14,
        WireMessage::LiveSessions(_) => 15,
        WireMessage::Leaving { .. } => 16,
        WireMessage::Heartbeats(_) => 17,
        WireMessage::DirectoryRequest(_) => 18,
        WireMessage::DirectoryAnswer(_) => 19,
        WireMessage::DirectorySync(_) => 20,
    }
}
