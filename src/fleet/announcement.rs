//! What a server says of itself, and the order of its statements.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ServerId, ServiceName};

/// Start of an incarnation in milliseconds of the server's own clock; 0 when it does not tell.
pub type IncarnationStart = u64;

/// Whether a server takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    Ready,
    Draining,
}

/// One statement of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    pub service: ServiceName,
    pub address: SocketAddr,
    pub availability_zone: Box<str>,
    pub slots: u32,
    pub state: ServerState,
    /// How much longer the server is slow after its start.
    pub warmup: Duration,
    pub started: IncarnationStart,
    pub sequence: u64,
}

/// A statement that names no server to use.
#[derive(Debug, Error, PartialEq)]
#[error("the announcement cannot be used: {0}")]
pub struct AnnouncementError(pub Box<str>);

impl ServerAnnouncement {
    /// Whether `self` says something that `known` does not, apart from its number.
    pub fn differs(&self, known: &Self) -> bool {
        let (new, old) = (self, known);
        new.started != old.started
            || new.service != old.service
            || new.address != old.address
            || new.slots != old.slots
            || new.state != old.state
            || new.availability_zone != old.availability_zone
    }

    /// Whether `self` was said after `known` by the same or a later incarnation.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.started, self.sequence) > (known.started, known.sequence)
    }
}

/// Identity and statement.
pub type NamedAnnouncement = (ServerId, ServerAnnouncement);
