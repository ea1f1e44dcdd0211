//! Announcements that servers send about themselves, and their order.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ServerId, ServiceName};

/// Start time of an incarnation in milliseconds of the server's own clock; 0 if the server does not
/// report it.
pub type IncarnationStart = u64;

/// Maximum length of the names in an announcement in bytes. All members and entries hold them for each
/// server.
const MAX_NAME_BYTES: usize = 128;

/// Maximum start time and sequence number: the largest integer that every JSON writer can represent. No
/// later announcement could supersede the largest number of the type.
const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Maximum remaining warm-up. A longer one is taken for a mistake.
pub const MAX_WARMUP: Duration = Duration::from_secs(3600);

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
    /// Checks whether the announcement of `server` can be replicated and names an address to which
    /// requests can be sent. Anyone who reaches a member can announce.
    pub fn check(&self, server: &ServerId) -> Result<(), AnnouncementError> {
        let problem = |text: &str| Err(AnnouncementError(text.into()));
        if self.service.is_empty() {
            return problem("the service has no name");
        }
        let names = [server, &self.service, &self.availability_zone];
        if names.into_iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return problem(&format!("a name is longer than {MAX_NAME_BYTES} bytes"));
        }
        if self.address.port() == 0 || !is_unicast(self.address.ip()) {
            return problem("no request can be sent to the address");
        }
        if self.started > MAX_NUMBER || self.sequence > MAX_NUMBER {
            return problem("a number is larger than 2^53 - 1");
        }
        if self.warmup > MAX_WARMUP {
            return problem("the warm-up is longer than an hour");
        }
        Ok(())
    }

    /// Whether `self` differs from `known` in more than the sequence number and the length of the remaining
    /// warm-up. That a warm-up begins or ends matters: an entry that starts later must not take a server
    /// for cold because of its first announcement.
    pub fn differs(&self, known: &Self) -> bool {
        let (new, old) = (self, known);
        new.started != old.started
            || new.service != old.service
            || new.address != old.address
            || new.slots != old.slots
            || new.state != old.state
            || new.warmup.is_zero() != old.warmup.is_zero()
            || new.availability_zone != old.availability_zone
    }

    /// Whether `self` is newer than `known`: from a later incarnation, or from the same one with a
    /// higher sequence number.
    pub fn supersedes(&self, known: &Self) -> bool {
        (self.started, self.sequence) > (known.started, known.sequence)
    }
}

/// Checks whether the leave call of `server` can be replicated. The incarnation in it and all earlier ones
/// cannot announce themselves again.
pub fn check_leave(
    server: &ServerId,
    started: Option<IncarnationStart>,
) -> Result<(), AnnouncementError> {
    if server.len() > MAX_NAME_BYTES || started.is_some_and(|started| started > MAX_NUMBER) {
        return Err(AnnouncementError("the id or the start time is too long".into()));
    }
    Ok(())
}

/// Whether a name from outside is printable ASCII without spaces, not empty and not too long.
pub fn is_printable_name(name: &str) -> bool {
    let is_printable = name.bytes().all(|byte| byte.is_ascii_graphic());
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && is_printable
}

fn is_unicast(address: IpAddr) -> bool {
    let is_broadcast = matches!(address, IpAddr::V4(address) if address.is_broadcast());
    !address.is_unspecified() && !address.is_multicast() && !is_broadcast
}

/// Server id and announcement.
pub type NamedAnnouncement = (ServerId, ServerAnnouncement);
