//! Decides whether the leader's process has ended.
//!
//! A closed link alone shows nothing: a process that lives may close one. A refused connection shows that
//! no process listens on the address, and a member listens on its link address from before it votes or
//! leads until its process ends, also during a planned stop. Both together count as evidence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{MemberId, TermNumber};

/// Delay after the first attempt to connect; it doubles. A process that ends may close its links some
/// moments before its listener.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(4);

/// Attempts to connect after a link was closed, over half a second. Followers then miss the heartbeats.
const MAX_PROBES: u32 = 8;

/// Leader that a follower knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownLeader {
    pub member: MemberId,
    pub term: TermNumber,
    /// Its link address.
    pub address: SocketAddr,
}

/// Outcome of an attempt to connect to a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The address refused the connection.
    Refused,
    /// The connection was accepted, or nothing came: the process may live.
    Open,
}

/// What follows an attempt to connect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// The process that led has ended.
    Ended,
    Again {
        after: Duration,
    },
    Stop,
}

/// Attempts to connect to a leader after its link was closed.
#[derive(Debug)]
pub struct LeaderProbe {
    pub leader: KnownLeader,
    count: u32,
}

/// Links that other members have opened to this one.
#[derive(Debug, Default)]
pub struct LeaderWatch {
    link_counts: BTreeMap<SocketAddr, u32>,
}

impl LeaderWatch {
    /// Records a link from the member at `address`.
    pub fn record_open(&mut self, address: SocketAddr) {
        *self.link_counts.entry(address).or_default() += 1;
    }

    /// Records that a link from `address` was closed. Returns a probe if that was the last link of the
    /// leader.
    pub fn record_closed(
        &mut self,
        address: SocketAddr,
        leader: Option<KnownLeader>,
    ) -> Option<LeaderProbe> {
        let count = self.link_counts.get_mut(&address)?;
        *count -= 1;
        if *count > 0 {
            return None;
        }
        self.link_counts.remove(&address);
        let leader = leader.filter(|leader| leader.address == address)?;
        Some(LeaderProbe { leader, count: 0 })
    }

    /// Records the outcome of an attempt that began while `probe.leader` was the known leader; `leader` is
    /// the one that is known now.
    pub fn record_outcome(
        &self,
        probe: &mut LeaderProbe,
        leader: Option<KnownLeader>,
        outcome: ProbeOutcome,
    ) -> ProbeStep {
        // A member that has opened a link again lives, or its new process does.
        let is_linked = self.link_counts.contains_key(&probe.leader.address);
        if is_linked || leader != Some(probe.leader) {
            return ProbeStep::Stop;
        }
        if outcome == ProbeOutcome::Refused {
            return ProbeStep::Ended;
        }
        probe.count += 1;
        if probe.count >= MAX_PROBES {
            return ProbeStep::Stop;
        }
        ProbeStep::Again { after: FIRST_PROBE_DELAY * (1 << (probe.count - 1)) }
    }
}
