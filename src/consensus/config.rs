//! Configuration of a Raft group.

use std::time::Duration;

/// Timeouts and limits of a Raft group.
#[derive(Debug, Clone)]
pub struct RaftConfig {
    /// Minimum election timeout; each timeout is drawn at random from one to two times this value.
    pub election_timeout: Duration,
    /// Replaces `election_timeout` until the node first learns of a leader after a start. It can be
    /// shorter, because a pre-vote does not disturb an existing leader and a split vote is then
    /// repeated sooner. It doubles after each election that timed out, up to `election_timeout`.
    pub first_election_timeout: Duration,
    /// Time between the elections of two members after the end of a leader. It covers a pre-vote and a
    /// vote, each with a sync, and the time between two members' evidence of that end.
    pub failover_slot: Duration,
    /// Interval between heartbeats; must be well below the election timeout.
    pub heartbeat_interval: Duration,
    /// Sends a new commit index to followers at once instead of with the next heartbeat.
    pub broadcast_commits: bool,
    /// Maximum entry bytes in one append message; a single larger entry is still sent.
    pub max_append_bytes: usize,
    /// Maximum unacknowledged append messages per member.
    pub max_in_flight: usize,
    /// Uncommitted entries above which proposals are refused.
    pub max_uncommitted_entries: u64,
    /// Uncommitted bytes above which proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Maximum pending leadership confirmations.
    pub max_pending_confirmations: usize,
    /// Maximum snapshot bytes in one message.
    pub snapshot_chunk_bytes: usize,
    /// Maximum size of a snapshot accepted from a leader.
    pub max_snapshot_bytes: u64,
    /// Entries retained in memory before a snapshot's index, so that a slow follower can catch up
    /// from the log.
    pub retained_entries: u64,
    /// Maximum bytes of these retained entries; the lower of both limits applies.
    pub retained_bytes: usize,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(500),
            first_election_timeout: Duration::from_millis(500),
            failover_slot: Duration::from_millis(25),
            heartbeat_interval: Duration::from_millis(100),
            broadcast_commits: false,
            max_append_bytes: 256 << 10,
            max_in_flight: 16,
            max_uncommitted_entries: 8192,
            max_uncommitted_bytes: 16 << 20,
            max_pending_confirmations: 8192,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 256 << 20,
            retained_entries: 1024,
            retained_bytes: 1 << 20,
        }
    }
}
