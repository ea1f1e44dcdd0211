//! Type aliases for ids and counters that several modules use.

/// Random id of a control member's data folder; a new folder gets a new id.
pub type MemberId = u64;

/// Number of a replicated log: 0 stores the settings, all others store claims.
pub type GroupId = u32;

/// Term of a consensus group.
pub type TermNumber = u64;

/// Position in a replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Random id of a control cluster, chosen when the cluster is formed.
pub type ClusterId = u64;

/// Number of settings changes that the cluster has accepted.
pub type SettingsRevision = u64;

/// Revision of the list of live entries; also the epoch of credit accounts.
pub type EpochNumber = u64;

/// Number of a claim, assigned by its claim group and never reused.
pub type ClaimNumber = u64;

/// Digest that identifies a request with its caller and body.
pub type RequestDigest = u128;

/// Name of a process, unique within the system.
pub type ProcessName = Box<str>;

/// Name of a team's branch.
pub type TeamName = Box<str>;

/// Name of a tenant, unique within its document.
pub type TenantName = Box<str>;

/// Name of a service within its team.
pub type ServiceName = Box<str>;

/// Name that a server announces, unique within its service.
pub type ServerId = Box<str>;

/// Name of an availability zone.
pub type ZoneName = Box<str>;

/// Name of a region.
pub type RegionName = Box<str>;
