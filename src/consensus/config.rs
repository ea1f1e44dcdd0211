//! Settings of a group.

use std::time::Duration;

/// Timeouts and bounds of a group.
#[derive(Debug, Clone)]
pub struct RaftConfig {
    /// Shortest election timeout; each is drawn between this and twice this.
    pub election_timeout: Duration,
    /// Like `election_timeout`, until a leader is known for the first time after a start: a pre-vote
    /// does not disturb a leader that exists, and a split vote is repeated soon.
    pub first_election_timeout: Duration,
    /// Interval of heartbeats, well below the election timeout.
    pub heartbeat_interval: Duration,
    /// Tells followers at once what is committed, not with the next heartbeat.
    pub announce_commits: bool,
    /// Entry bytes in one append message; one entry may exceed it.
    pub max_append_bytes: usize,
    /// Append messages to one member that wait for an answer.
    pub max_in_flight: usize,
    /// Entries that may wait for commit before proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Bytes that may wait for commit before proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Leadership confirmations that may wait.
    pub max_confirms: usize,
    /// Snapshot bytes in one message.
    pub chunk_bytes: usize,
    /// Longest snapshot accepted from a leader.
    pub max_snapshot_bytes: u64,
    /// Entries kept in memory behind a snapshot, so that a slow follower needs no snapshot.
    pub kept_entries: u64,
    /// Bytes of these entries; whichever bound is reached first counts.
    pub kept_bytes: usize,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(500),
            first_election_timeout: Duration::from_millis(500),
            heartbeat_interval: Duration::from_millis(100),
            announce_commits: false,
            max_append_bytes: 256 << 10,
            max_in_flight: 16,
            max_uncommitted_entries: 8192,
            max_uncommitted_bytes: 16 << 20,
            max_confirms: 8192,
            chunk_bytes: 256 << 10,
            max_snapshot_bytes: 256 << 20,
            kept_entries: 1024,
            kept_bytes: 1 << 20,
        }
    }
}
