//! Status of the system, as control processes report it and `curranthollow status` shows it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::{EpochNumber, ProcessName, SettingsRevision, TermNumber};

/// Status that one control process reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SystemStatus {
    /// Name of the reporting process.
    pub name: ProcessName,
    /// Cluster id in hex; `None` before the cluster is formed.
    pub cluster: Option<Box<str>>,
    /// Leader of the settings group, if known.
    pub leader: Option<ProcessName>,
    /// Term of the settings group.
    pub term: TermNumber,
    /// Whether a majority confirmed for this report that the reporting process is the leader.
    pub confirmed: bool,
    /// Number of control members that can be lost now without losing data or the majority of any
    /// group; `None` if the leader of a group did not report.
    pub survivable_losses: Option<usize>,
    /// Control members.
    pub members: Vec<MemberSummary>,
    /// Claim groups.
    pub claim_groups: Vec<ClaimGroupSummary>,
    /// Current version of each settings branch.
    pub branches: BTreeMap<Box<str>, u64>,
    /// Current revision of the settings.
    pub revision: SettingsRevision,
    /// Epoch of the list of live entries.
    pub epoch: EpochNumber,
    /// Entries with a live settings lease.
    pub entries: Vec<EntrySummary>,
    /// Announced servers.
    pub servers: Vec<ServerSummary>,
}

impl SystemStatus {
    /// Merges another process's report on the claim groups that it leads.
    pub fn merge_claim_groups(&mut self, other: &Self) {
        for own_group in &mut self.claim_groups {
            let Some(other_group) =
                other.claim_groups.iter().find(|other_group| other_group.group == own_group.group)
            else {
                continue;
            };
            // A deposed leader may report as well, so the lower number is used.
            own_group.survivable_losses =
                match (own_group.survivable_losses, other_group.survivable_losses) {
                    (Some(own), Some(other)) => Some(own.min(other)),
                    (own, other) => own.or(other),
                };
        }
    }

    /// Limits the number of survivable losses to the minimum over all claim groups.
    pub fn limit_survivable_losses(&mut self) {
        for claim_group in &self.claim_groups {
            self.survivable_losses = match (self.survivable_losses, claim_group.survivable_losses) {
                (Some(system), Some(group)) => Some(system.min(group)),
                _ => None,
            };
        }
    }
}

/// Status of a control member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// Name of the process.
    pub name: ProcessName,
    /// Member id in hex.
    pub member: Box<str>,
    /// `voter` or `learner`.
    pub state: Box<str>,
    /// Number of settings log entries that the member holds, if known.
    pub holds: Option<u64>,
}

/// Status of a claim group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroupSummary {
    /// Number of the group.
    pub group: u32,
    /// Leader of the group, if known.
    pub leader: Option<ProcessName>,
    /// Number of stored claims.
    pub claims: usize,
    /// Number of control members whose loss the group survives; only its leader knows it.
    pub survivable_losses: Option<usize>,
}

/// Status of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntrySummary {
    /// Name of the process.
    pub name: ProcessName,
    /// Availability zone of the process.
    pub availability_zone: Box<str>,
    /// Settings revision in force at the entry.
    pub revision: SettingsRevision,
    /// Whether the link to the entry is lost.
    pub suspect: bool,
}

/// Status of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSummary {
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
    /// Number of slots that the server announces.
    pub slots: u32,
    /// Reported load in per mille of the slots.
    pub load: u32,
}
