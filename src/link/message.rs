//! Messages that the processes of the system exchange over links.

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
    /// Process that accepts callers' requests and forwards them to servers.
    Entry,
    /// Process that stores settings and claims in consensus groups.
    Control,
}

impl ProcessRole {
    /// Name of the role in logs and status responses.
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
    /// Member id of a control process; `None` for an entry.
    pub member: Option<MemberId>,
}

/// Entry that holds a settings lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntry {
    /// Name of the process.
    pub name: ProcessName,
    /// Random id that the entry chose when its process started.
    pub session: u64,
    /// Availability zone of the process.
    pub availability_zone: ZoneName,
    /// The control leader has lost the link to it, so it must not become account holder.
    pub suspect: bool,
}

/// Request for a settings lease; an entry that relays it for another one leaves it unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewLease {
    /// Entry that requests the lease.
    #[serde(rename = "e")]
    pub entry: ProcessName,
    /// Random id that the entry chose when its process started.
    #[serde(rename = "s")]
    pub session: u64,
    /// Availability zone of the entry.
    #[serde(rename = "z")]
    pub availability_zone: ZoneName,
    /// Settings revision that the entry has installed.
    #[serde(rename = "i")]
    pub installed: SettingsRevision,
    /// Epoch of the list of live entries that the entry has.
    #[serde(rename = "p")]
    pub epoch: EpochNumber,
    /// Nonce that the grant repeats.
    #[serde(rename = "n")]
    pub nonce: u64,
}

/// Grant of a settings lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantLease {
    /// Entry that receives the lease.
    #[serde(rename = "e")]
    pub entry: ProcessName,
    /// Control leader that grants the lease.
    #[serde(rename = "l")]
    pub leader: ProcessName,
    /// Nonce of the request.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// Duration in milliseconds, counted from the time at which the entry sent the request.
    #[serde(rename = "d")]
    pub lease_ms: u64,
    /// Epoch of the list of live entries.
    #[serde(rename = "p")]
    pub epoch: EpochNumber,
    /// Entries with a lease; empty when the entry already has the list of this epoch.
    #[serde(rename = "v")]
    pub entries: Vec<LiveEntry>,
    /// Settings changes since the revision that the entry has installed.
    #[serde(rename = "u")]
    pub update: Option<SettingsDelta>,
}

/// Request from an entry to a claim group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimCall {
    /// Commits a new claim.
    Open(Box<OpenClaim>),
    /// Commits the result of a claim.
    Settle(Box<SettleClaim>),
    /// Reads the state of a claim.
    Look {
        /// Key of the claim.
        key: ClaimKey,
        /// SHA-256 digest of the caller's request.
        #[serde(with = "serde_bytes")]
        digest: [u8; 32],
    },
}

/// Response to a claim request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClaimReply {
    /// Number of the claim request.
    pub call: u64,
    /// Result, or why the request was not carried out.
    pub result: Result<ClaimResult, ClaimFailure>,
}

/// Result of a claim request that was carried out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimResult {
    /// Outcome of a committed command.
    Outcome(ClaimOutcome),
    /// State of a claim.
    View(ClaimView),
}

/// Why a control process did not carry out a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimFailure {
    /// The process does not lead the group; names the leader if known. Nothing was committed.
    NotLeader(Option<ProcessName>),
    /// The queue of commands is full. Nothing was committed.
    Busy,
    /// The outcome is unknown: the command may or may not have been committed.
    Lost,
}

/// Message on a link.
///
/// Names are abbreviated in the encoding, because most messages are small and frequent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireMessage {
    /// First message of each side; identifies the process.
    #[serde(rename = "h")]
    Hello(HelloMessage),
    /// Requests a pong.
    #[serde(rename = "p")]
    Ping,
    /// Answers a ping.
    #[serde(rename = "q")]
    Pong,
    /// Consensus message between control processes.
    #[serde(rename = "r")]
    Raft(Box<RaftMessage>),
    /// Initial formation of the control cluster.
    #[serde(rename = "f")]
    Formation(FormationMessage),
    /// Entry to the control leader, directly or relayed by another entry: requests a settings
    /// lease.
    #[serde(rename = "l")]
    RenewLease(RenewLease),
    /// Control leader to an entry, on the reverse path of the request: grants a settings lease.
    #[serde(rename = "g")]
    GrantLease(Box<GrantLease>),
    /// Control process that is not the leader, to an entry: names the leader if known.
    #[serde(rename = "n")]
    NotLeader(Option<ProcessName>),
    /// Control leader to entries: newly committed settings.
    #[serde(rename = "s")]
    Settings(Box<SettingsDelta>),
    /// Entry to the control leader: confirms that a settings revision is in force.
    #[serde(rename = "i")]
    Installed {
        /// Random id that the entry chose when its process started.
        session: u64,
        /// Revision in force.
        revision: SettingsRevision,
    },
    /// Entry to all processes: announcements that it received from servers.
    #[serde(rename = "a")]
    Announce(Vec<RelayedAnnouncement>),
    /// Entry to all processes: heartbeats that changed only sequence number and load, in compact
    /// form.
    #[serde(rename = "b")]
    Heartbeats(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Requests directory records that the sender is missing.
    #[serde(rename = "u")]
    DirectoryRequest(DirectoryRequest),
    /// Directory records that the receiver is missing.
    #[serde(rename = "v")]
    DirectoryAnswer(Vec<RelayedAnnouncement>),
    /// Step of the anti-entropy protocol between two directories.
    #[serde(rename = "y")]
    DirectorySync(DirectorySync),
    /// Entry to the account holder of a service: credit demand.
    #[serde(rename = "c")]
    CreditRequest {
        /// Service whose account is concerned.
        #[serde(rename = "s")]
        service: ServiceKey,
        /// Credit demand, returned credits and load reports.
        #[serde(rename = "m")]
        message: EntryMessage,
    },
    /// Account holder to an entry: granted and recalled credits.
    #[serde(rename = "d")]
    CreditGrant {
        /// Service whose account is concerned.
        #[serde(rename = "s")]
        service: ServiceKey,
        /// Granted and recalled credits.
        #[serde(rename = "m")]
        message: HolderMessage,
    },
    /// Entry to a control process: claim request.
    #[serde(rename = "k")]
    ClaimCall {
        /// Number that the reply repeats.
        call: u64,
        /// Claim group to which the request is addressed.
        group: GroupId,
        /// The request.
        body: ClaimCall,
    },
    /// Control process to an entry: response to a claim request.
    #[serde(rename = "m")]
    ClaimReply(ClaimReply),
    /// Settings leader to control processes: sessions of the entries that hold a lease.
    #[serde(rename = "e")]
    LiveSessions(Vec<(ProcessName, u64)>),
    /// Entry to the control leader: the entry is shutting down.
    #[serde(rename = "x")]
    Leaving {
        /// Random id that the entry chose when its process started.
        session: u64,
    },
}
