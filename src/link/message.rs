//! Messages between the system's processes.

use serde::{Deserialize, Serialize};

use crate::ids::{ProcessName, ZoneName};

/// Role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessRole {
    /// Traffic process.
    Entry,
    /// Settings and claims process.
    Control,
}

impl ProcessRole {
    /// Name in logs and status output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
        }
    }
}

/// First message on each link.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloMessage {
    /// Name of the process.
    pub name: ProcessName,
    /// Role of the process.
    pub role: ProcessRole,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
}

/// All messages on links.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireMessage {
    /// Introduces a process.
    Hello(HelloMessage),
    /// Asks for a pong.
    Ping,
    /// Answers a ping.
    Pong,
}
