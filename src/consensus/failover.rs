//! Elections that begin because the leader has ended, without waiting for an election timeout.

use std::time::{Duration, Instant};

use super::node::{RaftAction, RaftNode, Role};
use crate::ids::{MemberId, TermNumber};

/// Number of election timeouts for which elections after the end of a leader use the short timeout. By
/// then the members without evidence of that end count the leader as silent as well.
const FAILOVER_TIMEOUTS: u32 = 2;

/// Time in which elections follow the end of a leader.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailoverPhase {
    until: Instant,
    /// Term of the lost leader.
    term: TermNumber,
}

/// Why a follower no longer follows its leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderLoss {
    /// Nothing came from it for an election timeout.
    Silent,
    /// Its process has ended, see [`super::RaftEvent::LeaderEnded`].
    Ended,
    /// It asked for votes in a later term. A leader does not, so it has restarted or stepped down.
    Resigned,
}

impl RaftNode {
    pub(super) fn on_leader_ended(&mut self, leader: MemberId, term: TermNumber) {
        if self.hard_state.term == term {
            self.replace_leader(leader, LeaderLoss::Ended);
        }
    }

    /// Handles a pre-vote or vote of `from` in `term`. A member in a later term never leads in this one
    /// again, also after a restart, and neither does one that asks for pre-votes in the next term.
    pub(super) fn notice_resignation(&mut self, from: MemberId, term: TermNumber) {
        if term > self.hard_state.term {
            self.replace_leader(from, LeaderLoss::Resigned);
        }
    }

    /// Forgets that `leader` was heard, grants votes to others from now on and prepares an election.
    fn replace_leader(&mut self, leader: MemberId, cause: LeaderLoss) {
        if self.role != Role::Follower || self.leader != Some(leader) {
            return;
        }
        self.report_leader_loss(cause);
        self.leader = None;
        self.last_leader_contact = None;
        let until = self.now + self.config.election_timeout * FAILOVER_TIMEOUTS;
        self.failover = Some(FailoverPhase { until, term: self.hard_state.term });
        self.election_deadline = self.now + self.failover_delay(leader);
    }

    pub(super) fn report_leader_loss(&mut self, cause: LeaderLoss) {
        let Some(leader) = self.leader else { return };
        let term = self.hard_state.term;
        self.actions.push(RaftAction::LeaderLost { leader, term, cause });
    }

    /// Whether an election after the end of a leader is under way.
    pub(super) fn is_failing_over(&self) -> bool {
        self.failover.is_some_and(|phase| self.now < phase.until)
    }

    /// Minimum election timeout in such an election. A pre-vote needs no sync. Once a vote is requested, the
    /// candidate and its voters sync, and another election would stop it.
    pub(super) fn failover_timeout(&self) -> Duration {
        let timeout = self.config.election_timeout;
        match self.failover.is_some_and(|phase| self.hard_state.term > phase.term) {
            true => timeout / 2,
            false => self.first_election_timeout().min(timeout),
        }
    }

    /// Delay of this member's election. The members that lost the same leader have slots of their own, so
    /// that the votes do not split.
    fn failover_delay(&mut self, lost: MemberId) -> Duration {
        let voters = self.members().voters();
        let rank = voters.filter(|voter| *voter != lost && *voter < self.member).count();
        let slot = self.config.failover_slot;
        let jitter_us = self.random.u64(0..(slot / 2).as_micros().max(1) as u64);
        slot / 2 + slot.saturating_mul(rank as u32) + Duration::from_micros(jitter_us)
    }
}
