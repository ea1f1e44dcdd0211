//! Aliases for the ids and counters that modules share.

/// Random id of one control data folder; a new folder gets a new id.
pub type MemberId = u64;

/// Number of a replicated log: 0 holds the settings, 1 and up hold claims.
pub type GroupId = u32;

/// Term of a leader election.
pub type TermNumber = u64;

/// Position in a replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Random id of one formed control cluster.
pub type ClusterId = u64;

/// Cluster-wide count of accepted settings changes.
pub type SettingsRevision = u64;

/// Revision of the list of live entries; also the epoch of credit accounts.
pub type EpochNumber = u64;

/// Number of one claim, assigned by its group and never assigned twice.
pub type ClaimNumber = u64;

/// Name of a process, unique within the system.
pub type ProcessName = Box<str>;

/// Name of a team's branch.
pub type TeamName = Box<str>;

/// Name of a service within its team.
pub type ServiceName = Box<str>;

/// Name that a server announces for itself, unique within its service.
pub type ServerId = Box<str>;

/// Name of an availability zone.
pub type ZoneName = Box<str>;

/// Name of a region.
pub type RegionName = Box<str>;
