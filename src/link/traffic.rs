//! Counters of messages and bytes on links, by kind of message.

use std::sync::atomic::{AtomicU64, Ordering};

use super::WireMessage;

/// Metric label of each kind of message, indexed by [`kind_index`].
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

/// Number of kinds of messages.
const KIND_COUNT: usize = KIND_NAMES.len();

/// Size in bytes of the masking key, which a WebSocket client sends with each message.
const MASKING_KEY_BYTES: usize = 4;

/// Counters since the start of the process, updated without locks.
#[derive(Debug, Default)]
pub struct LinkTraffic {
    sent: [KindCounters; KIND_COUNT],
    received: [KindCounters; KIND_COUNT],
}

#[derive(Debug, Default)]
struct KindCounters {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Totals of one kind of message in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrafficTotals {
    /// Name of the kind.
    pub kind: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
    /// Number of messages.
    pub messages: u64,
    /// Bytes, including WebSocket headers and excluding TCP and IP headers.
    pub bytes: u64,
}

impl LinkTraffic {
    /// Counts a queued frame of `length` bytes; `masked` is true if this process opened the
    /// connection.
    pub(super) fn count_sent(&self, kind: usize, length: usize, masked: bool) {
        self.sent[kind].add(length + websocket_header_bytes(length, masked));
    }

    /// Counts a received frame of `length` bytes; `masked` is true if the peer opened the
    /// connection.
    pub(super) fn count_received(&self, kind: usize, length: usize, masked: bool) {
        self.received[kind].add(length + websocket_header_bytes(length, masked));
    }

    /// Totals of each kind and direction with at least one message.
    pub fn totals(&self) -> Vec<TrafficTotals> {
        let mut totals = Vec::new();
        for (direction, counters) in [("sent", &self.sent), ("received", &self.received)] {
            for (kind, counters) in KIND_NAMES.into_iter().zip(counters) {
                let messages = counters.messages.load(Ordering::Relaxed);
                let bytes = counters.bytes.load(Ordering::Relaxed);
                if messages > 0 {
                    totals.push(TrafficTotals { kind, direction, messages, bytes });
                }
            }
        }
        totals
    }
}

impl KindCounters {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// Returns the size of the WebSocket header of a message (RFC 6455, section 5.2).
fn websocket_header_bytes(length: usize, masked: bool) -> usize {
    let header_length = match length {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    header_length + if masked { MASKING_KEY_BYTES } else { 0 }
}

/// Returns the index of a message's kind in [`KIND_NAMES`].
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
