//! Announcements that servers send about themselves, and their order.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ServerId, ServiceName};

/// Start time of an incarnation in milliseconds of the server's own clock; 0 if the server does not
/// report it.
pub type IncarnationStart = u64;

/// Whether a server accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    Ready,
    Draining,
}

/// Announcement of one server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub availability_zone: Box<str>,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    pub state: ServerState,
    /// Remaining time for which the server is slow after its start.
    pub warmup: Duration,
    pub started: IncarnationStart,
    pub sequence: u64,
}

/// An announcement that cannot be decoded or is incomplete.
#[derive(Debug, Error, PartialEq)]
#[error("the announcement cannot be used: {0}")]
pub struct AnnouncementError(pub Box<str>);

impl ServerAnnouncement {
    /// Whether `self` differs from `known` in more than the sequence number and the remaining warm-up.
    pub fn differs(&self, known: &Self) -> bool {
        let (new, old) = (self, known);
        new.started != old.started
            || new.service != old.service
            || new.address != old.address
            || new.slots != old.slots
            || new.state != old.state
            || new.availability_zone != old.availability_zone
    }

    /// Whether `self` is newer than `known`: from a later incarnation, or from the same one with a
    /// higher sequence number.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.started, self.sequence) > (known.started, known.sequence)
    }
}

/// Server id and announcement.
pub type NamedAnnouncement = (ServerId, ServerAnnouncement);
