//! Leadership confirmation with a majority, as needed before a read or a lease.

use std::collections::BTreeSet;

use super::node::{RaftAction, RaftNode, Refusal, Role};
use crate::ids::{LogIndex, MemberId};

/// Confirmations in progress. One round of heartbeats serves all requests that wait when it starts.
#[derive(Debug, Default)]
pub(super) struct ReadIndex {
    pub(super) round: u64,
    acknowledged: BTreeSet<MemberId>,
    active: Vec<u64>,
    active_index: LogIndex,
    waiting: Vec<u64>,
}

impl RaftNode {
    pub(super) fn on_confirm(&mut self, request: u64) {
        let waiting = self.reads.active.len() + self.reads.waiting.len();
        let refusal = if self.role != Role::Leader {
            Some(Refusal::NotLeader { leader: self.leader })
        } else if waiting >= self.config.max_confirms {
            Some(Refusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.actions.push(RaftAction::Refused { request, refusal });
            return;
        }
        self.reads.waiting.push(request);
        self.start_round();
    }

    /// Starts a round for the waiting requests, unless one is active.
    pub(super) fn start_round(&mut self) {
        // Before an entry of the own term is committed, the commit index may be behind that of the
        // previous leader.
        let ready = self.role == Role::Leader && self.commit >= self.term_start;
        if !ready || !self.reads.active.is_empty() || self.reads.waiting.is_empty() {
            return;
        }
        self.reads.active = std::mem::take(&mut self.reads.waiting);
        self.reads.active_index = self.commit;
        self.reads.round += 1;
        self.reads.acknowledged = BTreeSet::from([self.member]);
        self.send_heartbeats();
        self.finish_round();
    }

    /// Counts an answer of `peer` to a message of `round`.
    pub(super) fn acknowledge_round(&mut self, peer: MemberId, round: u64) {
        if self.reads.active.is_empty() || round < self.reads.round {
            return;
        }
        self.reads.acknowledged.insert(peer);
        self.finish_round();
    }

    fn finish_round(&mut self) {
        let members = self.members();
        let count = self.reads.acknowledged.iter().filter(|&&peer| members.is_voter(peer)).count();
        if count < members.quorum() {
            return;
        }
        let index = self.reads.active_index;
        for request in std::mem::take(&mut self.reads.active) {
            self.actions.push(RaftAction::LeadershipConfirmed { request, index });
        }
        self.start_round();
    }

    /// Refuses all confirmations after leadership has ended.
    pub(super) fn refuse_confirms(&mut self) {
        let active = std::mem::take(&mut self.reads.active);
        let waiting = std::mem::take(&mut self.reads.waiting);
        for request in active.into_iter().chain(waiting) {
            let refusal = Refusal::NotLeader { leader: self.leader };
            self.actions.push(RaftAction::Refused { request, refusal });
        }
    }
}
