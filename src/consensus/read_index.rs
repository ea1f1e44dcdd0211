//! Confirmation of leadership by a quorum, as needed before a linearizable read or a lease.

use std::collections::BTreeSet;

use super::node::{RaftAction, RaftNode, Refusal, Role};
use crate::ids::{LogIndex, MemberId};

/// Pending confirmations. One round of heartbeats confirms all requests queued when it starts.
#[derive(Debug, Default)]
pub(super) struct ReadIndex {
    pub(super) round: u64,
    acknowledged: BTreeSet<MemberId>,
    current_requests: Vec<u64>,
    current_index: LogIndex,
    queued_requests: Vec<u64>,
}

impl RaftNode {
    pub(super) fn on_confirm_leadership(&mut self, request: u64) {
        let pending = self.reads.current_requests.len() + self.reads.queued_requests.len();
        let refusal = if self.role != Role::Leader {
            Some(Refusal::NotLeader { leader: self.leader })
        } else if pending >= self.config.max_pending_confirmations {
            Some(Refusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.actions.push(RaftAction::Refused { request, refusal });
            return;
        }
        self.reads.queued_requests.push(request);
        self.start_confirmation_round();
    }

    /// Starts a round for the queued requests, unless a round is in progress.
    pub(super) fn start_confirmation_round(&mut self) {
        // Until an entry of its own term is committed, a new leader's commit index may be lower
        // than that of the previous leader.
        let ready = self.role == Role::Leader && self.commit_index >= self.term_start_index;
        if !ready
            || !self.reads.current_requests.is_empty()
            || self.reads.queued_requests.is_empty()
        {
            return;
        }
        self.reads.current_requests = std::mem::take(&mut self.reads.queued_requests);
        self.reads.current_index = self.commit_index;
        self.reads.round += 1;
        self.reads.acknowledged = BTreeSet::from([self.member]);
        self.send_heartbeats();
        self.finish_round_on_quorum();
    }

    /// Records that `peer` answered a message of `round`.
    pub(super) fn record_round_ack(&mut self, peer: MemberId, round: u64) {
        if self.reads.current_requests.is_empty() || round < self.reads.round {
            return;
        }
        self.reads.acknowledged.insert(peer);
        self.finish_round_on_quorum();
    }

    fn finish_round_on_quorum(&mut self) {
        let members = self.members();
        let voter_acks =
            self.reads.acknowledged.iter().filter(|&&peer| members.is_voter(peer)).count();
        if voter_acks < members.quorum() {
            return;
        }
        let index = self.reads.current_index;
        for request in std::mem::take(&mut self.reads.current_requests) {
            self.actions.push(RaftAction::LeadershipConfirmed { request, index });
        }
        self.start_confirmation_round();
    }

    /// Refuses all pending confirmations after leadership has ended.
    pub(super) fn refuse_pending_confirmations(&mut self) {
        let current = std::mem::take(&mut self.reads.current_requests);
        let queued = std::mem::take(&mut self.reads.queued_requests);
        for request in current.into_iter().chain(queued) {
            let refusal = Refusal::NotLeader { leader: self.leader };
            self.actions.push(RaftAction::Refused { request, refusal });
        }
    }
}
