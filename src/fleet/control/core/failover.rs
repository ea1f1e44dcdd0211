//! Replacement of a leader whose process has ended.

use std::net::SocketAddr;
use std::time::Instant;

use super::ControlCore;
use crate::consensus::{LeaderLoss, RaftEvent};
use crate::fleet::control::leader_watch::{KnownLeader, LeaderProbe, ProbeOutcome, ProbeStep};
use crate::ids::{MemberId, TermNumber};
use crate::log_info;

/// Leaders that this member has lost, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeaderLossCounts {
    pub silent: u64,
    pub ended: u64,
    pub resigned: u64,
}

impl ControlCore {
    /// Records a link that the member at `address` has opened.
    pub fn on_member_link(&mut self, address: SocketAddr) {
        self.leader_watch.record_open(address);
        self.peers.wake(address);
    }

    /// Records that such a link was closed. The caller connects to the leader of the returned probe and
    /// reports each outcome.
    pub fn on_member_link_closed(&mut self, address: SocketAddr) -> Option<LeaderProbe> {
        self.leader_watch.record_closed(address, self.known_leader())
    }

    pub fn on_probe_outcome(
        &mut self,
        now: Instant,
        probe: &mut LeaderProbe,
        outcome: ProbeOutcome,
    ) -> ProbeStep {
        let step = self.leader_watch.record_outcome(probe, self.known_leader(), outcome);
        if step == ProbeStep::Ended {
            let KnownLeader { member, term, .. } = probe.leader;
            self.handle(now, RaftEvent::LeaderEnded { leader: member, term });
        }
        step
    }

    /// Whether this member has not lost its links to a quorum, itself included.
    ///
    /// Where a device resets the connections of a leader that lives and refuses new ones, its followers
    /// have evidence of its end. It notices that its own links were reset, and must not act alone then.
    pub(super) fn has_linked_quorum(&self) -> bool {
        let members = self.node.members();
        let is_linked = |voter: &MemberId| {
            let address = self.address_of(*voter);
            *voter == self.member || address.is_some_and(|address| !self.peers.is_lost(address))
        };
        members.voters().filter(is_linked).count() >= members.quorum()
    }

    /// Address of the leader that this member follows or is.
    pub(super) fn leader_address(&self) -> Option<SocketAddr> {
        self.node.leader().and_then(|leader| self.address_of(leader))
    }

    /// Leader that this member follows.
    fn known_leader(&self) -> Option<KnownLeader> {
        let member = self.node.leader().filter(|leader| *leader != self.member)?;
        let address = self.address_of(member)?;
        Some(KnownLeader { member, term: self.node.term(), address })
    }

    pub(super) fn on_leader_lost(&mut self, leader: MemberId, term: TermNumber, cause: LeaderLoss) {
        let counts = &mut self.leader_losses;
        match cause {
            LeaderLoss::Silent => counts.silent += 1,
            LeaderLoss::Ended => counts.ended += 1,
            LeaderLoss::Resigned => counts.resigned += 1,
        }
        log_info!("leader_lost", "leader={leader:016x} term={term} cause={cause:?}");
    }
}
