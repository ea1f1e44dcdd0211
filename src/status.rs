//! Status of the system as the control leader reports it and the operator's client shows it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EpochNumber, ProcessName, SettingsRevision, TermNumber};

/// Status from the view of one control process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SystemStatus {
    /// Process that reports.
    pub name: ProcessName,
    /// Id of the cluster in hex; `None` before it is formed.
    pub cluster: Option<Box<str>>,
    /// Leader of the settings group, when known.
    pub leader: Option<ProcessName>,
    /// Term of the settings group.
    pub term: TermNumber,
    /// Whether a majority confirmed the reporting process as leader for this report.
    pub confirmed: bool,
    /// Control members that can be lost now without loss of data or majority of any group; `None`
    /// when a group's leader did not report.
    pub survivable_losses: Option<usize>,
    /// Control members.
    pub members: Vec<MemberLine>,
    /// Claim groups.
    pub claim_groups: Vec<ClaimLine>,
    /// Version of each settings branch.
    pub branches: BTreeMap<Box<str>, u64>,
    /// Revision of the settings.
    pub revision: SettingsRevision,
    /// Epoch of the list of live entries.
    pub epoch: EpochNumber,
    /// Entries with a live settings lease.
    pub entries: Vec<EntryLine>,
    /// Announced servers.
    pub servers: Vec<ServerLine>,
}

impl SystemStatus {
    /// Takes over what another process reports about the claim groups that it leads.
    pub fn merge_groups(&mut self, other: &Self) {
        for line in &mut self.claim_groups {
            let Some(found) = other.claim_groups.iter().find(|found| found.group == line.group)
            else {
                continue;
            };
            // A deposed leader may report, too; the lower number is the careful one.
            line.survivable_losses = match (line.survivable_losses, found.survivable_losses) {
                (Some(own), Some(found)) => Some(own.min(found)),
                (own, found) => own.or(found),
            };
        }
    }

    /// Lowers the number of survivable losses to that of the weakest claim group.
    pub fn apply_groups(&mut self) {
        for line in &self.claim_groups {
            self.survivable_losses = match (self.survivable_losses, line.survivable_losses) {
                (Some(own), Some(group)) => Some(own.min(group)),
                _ => None,
            };
        }
    }
}

/// One control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberLine {
    /// Name of the process.
    pub name: ProcessName,
    /// Member id in hex.
    pub member: Box<str>,
    /// `voter` or `learner`.
    pub state: Box<str>,
    /// Entries of the settings log that it holds, when known.
    pub holds: Option<u64>,
}

/// One claim group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLine {
    /// Number of the group.
    pub group: u32,
    /// Leader, when known.
    pub leader: Option<ProcessName>,
    /// Claims kept.
    pub claims: usize,
    /// Control members whose loss the group survives; known to its leader only.
    pub survivable_losses: Option<usize>,
}

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLine {
    /// Name of the process.
    pub name: ProcessName,
    /// Availability zone of the process.
    pub availability_zone: Box<str>,
    /// Revision in force there.
    pub revision: SettingsRevision,
    /// The link to it is lost.
    pub suspect: bool,
}

/// One server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLine {
    /// Name of the team.
    pub team: Box<str>,
    /// Name of the service.
    pub service: Box<str>,
    /// Name of the server.
    pub server: Box<str>,
    /// Address of the server.
    pub address: Box<str>,
    /// Availability zone of the server.
    pub availability_zone: Box<str>,
    /// Life-cycle state.
    pub state: Box<str>,
    /// Announced slots.
    pub slots: u32,
    /// Reported load in permille of the slots.
    pub load: u32,
}
