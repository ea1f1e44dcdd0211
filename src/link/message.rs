//! Messages between the system's processes.

use serde::{Deserialize, Serialize};

use crate::claim::{ClaimKey, ClaimOutcome, ClaimView, OpenClaim, SettleClaim};
use crate::consensus::formation::FormationMessage;
use crate::consensus::message::RaftMessage;
use crate::credit::{EntryMessage, HolderMessage};
use crate::directory::{DirectoryRequest, DirectorySync, RelayedAnnouncement, ServiceKey};
use crate::ids::{EpochNumber, GroupId, MemberId, ProcessName, SettingsRevision, ZoneName};
use crate::settings::SettingsDelta;

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
    /// Member id of a control process.
    pub member: Option<MemberId>,
}

/// Entry with a live settings lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntry {
    /// Name of the process.
    pub name: ProcessName,
    /// Random id of its process start.
    pub session: u64,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
    /// The control leader lost the link to it, so it must not become account holder.
    pub suspect: bool,
}

/// Request for a settings lease; a peer entry passes it on unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLease {
    /// Entry that wants the lease.
    #[serde(rename = "e")]
    pub entry: ProcessName,
    /// Random id of its process start.
    #[serde(rename = "s")]
    pub session: u64,
    /// Availability zone of the entry.
    #[serde(rename = "z")]
    pub availability_zone: ZoneName,
    /// Revision that it has installed.
    #[serde(rename = "i")]
    pub installed: SettingsRevision,
    /// Epoch of the list of live entries that it knows.
    #[serde(rename = "p")]
    pub epoch: EpochNumber,
    /// Echoed in the grant.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Grant of a settings lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantLease {
    /// Entry that receives the lease.
    #[serde(rename = "e")]
    pub entry: ProcessName,
    /// Control process that grants.
    #[serde(rename = "l")]
    pub leader: ProcessName,
    /// Nonce of the request.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Duration in milliseconds from the moment the entry sent the request.
    #[serde(rename = "d")]
    pub lease_ms: u64,
    /// Epoch of the list of live entries.
    #[serde(rename = "p")]
    pub epoch: EpochNumber,
    /// Live entries; empty when the entry knows this epoch.
    #[serde(rename = "v")]
    pub entries: Vec<LiveEntry>,
    /// Settings that the entry lacks.
    #[serde(rename = "u")]
    pub update: Option<SettingsDelta>,
}

/// Request of an entry to a claim group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimCall {
    /// Commit a claim.
    Open(Box<OpenClaim>),
    /// Commit the end of a claim.
    Settle(Box<SettleClaim>),
    /// Read the state of a claim.
    Look {
        /// Key of the claim.
        key: ClaimKey,
        /// Digest of the request.
        #[serde(with = "serde_bytes")]
        digest: [u8; 32],
    },
}

/// Answer to a claim request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Number of the request.
    pub call: u64,
    /// Answer, or why there is none.
    pub result: Result<ClaimResult, ClaimFailure>,
}

/// Answer to a claim request that was carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimResult {
    /// Outcome of a committed command.
    Outcome(ClaimOutcome),
    /// State of a claim.
    View(ClaimView),
}

/// Why a claim request was not carried out by the process asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimFailure {
    /// Another process may lead the group; nothing was done.
    NotLeader(Option<ProcessName>),
    /// Too many commands wait; nothing was done.
    Busy,
    /// The command may or may not be committed.
    Lost,
}

/// All messages on links. Names are short on the wire, as most messages are small and frequent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireMessage {
    /// Introduces a process.
    #[serde(rename = "h")]
    Hello(HelloMessage),
    /// Asks for a pong.
    #[serde(rename = "p")]
    Ping,
    /// Answers a ping.
    #[serde(rename = "q")]
    Pong,
    /// Consensus message between control processes.
    #[serde(rename = "r")]
    Raft(Box<RaftMessage>),
    /// First formation of the control cluster.
    #[serde(rename = "f")]
    Formation(FormationMessage),
    /// Entry to the control leader, directly or through a peer entry.
    #[serde(rename = "l")]
    RenewLease(RenewLease),
    /// Control leader to an entry, on the path of the request.
    #[serde(rename = "g")]
    GrantLease(Box<GrantLease>),
    /// Control process that is not leader, to an entry.
    #[serde(rename = "n")]
    NotLeader(Option<ProcessName>),
    /// Control leader to entries: settings that were just committed.
    #[serde(rename = "s")]
    Settings(Box<SettingsDelta>),
    /// Entry to the control leader: a revision is in force.
    #[serde(rename = "i")]
    Installed {
        /// Random id of the entry's process start.
        session: u64,
        /// Revision in force.
        revision: SettingsRevision,
    },
    /// Servers as announced to the sending entry, to all processes.
    #[serde(rename = "a")]
    Announce(Vec<RelayedAnnouncement>),
    /// Packed heartbeats that changed only sequence and load, to all processes.
    #[serde(rename = "b")]
    Heartbeats(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Asks a peer for servers that the sender lacks.
    #[serde(rename = "u")]
    DirectoryRequest(DirectoryRequest),
    /// Servers that the receiving process lacks.
    #[serde(rename = "v")]
    DirectoryAnswer(Vec<RelayedAnnouncement>),
    /// Step of anti-entropy between two directories.
    #[serde(rename = "y")]
    DirectorySync(DirectorySync),
    /// Entry to the account holder of a service.
    #[serde(rename = "c")]
    CreditRequest {
        /// Service of the account.
        #[serde(rename = "s")]
        service: ServiceKey,
        /// Demand, returns and reports.
        #[serde(rename = "m")]
        message: EntryMessage,
    },
    /// Account holder to an entry.
    #[serde(rename = "d")]
    CreditGrant {
        /// Service of the account.
        #[serde(rename = "s")]
        service: ServiceKey,
        /// Grants and recalls.
        #[serde(rename = "m")]
        message: HolderMessage,
    },
    /// Entry to a control process.
    #[serde(rename = "k")]
    ClaimCall {
        /// Number for the reply.
        call: u64,
        /// Claim group.
        group: GroupId,
        /// Request.
        body: ClaimCall,
    },
    /// Control process to an entry.
    #[serde(rename = "m")]
    ClaimReply(ClaimReply),
    /// Settings leader to control processes: sessions of entries with a live lease.
    #[serde(rename = "e")]
    LiveSessions(Vec<(ProcessName, u64)>),
    /// Entry to the control leader: it stops.
    #[serde(rename = "x")]
    Leaving {
        /// Random id of the entry's process start.
        session: u64,
    },
}
