//! Whether a member knows what its group has committed lately.

use std::time::{Duration, Instant};

use super::node::{RaftNode, Role};
use crate::ids::LogIndex;

impl RaftNode {
    /// Last time at which a quorum followed a leader that had committed an entry of its term, as far as
    /// this member knows; `None` if it has not known such a leader since the start.
    ///
    /// A follower takes this from the leader, and only once it holds what the leader has committed.
    pub fn quorum_seen_at(&self) -> Option<Instant> {
        self.quorum_response_at().max(self.quorum_seen_at)
    }

    /// Whether this member leads a quorum or follows its leader, and has an entry of the current term
    /// committed. The quorum may have been lost since [`Self::quorum_seen_at`].
    pub fn has_committed_leader(&self) -> bool {
        match self.role {
            Role::Leader => self.has_committed_in_term(),
            Role::Follower => self.leader.is_some() && self.has_committed_in_term(),
            Role::PreCandidate | Role::Candidate => false,
        }
    }

    fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    /// Time since which a quorum has responded to this leader; `None` if it does not lead or has not
    /// committed an entry of its term.
    pub(super) fn quorum_response_at(&self) -> Option<Instant> {
        if self.role != Role::Leader || !self.has_committed_in_term() {
            return None;
        }
        let members = self.members();
        let response_at = |member| match member == self.member {
            true => Some(self.now),
            false => self.progress.get(&member).map(|progress| progress.last_response_at),
        };
        let mut responses: Vec<_> = members.voters().filter_map(response_at).collect();
        responses.sort_unstable_by(|left, right| right.cmp(left));
        responses.get(members.quorum() - 1).copied()
    }

    /// Time since a quorum responded to this leader, in milliseconds, as told to followers.
    pub(super) fn quorum_age_ms(&self) -> u32 {
        let age = self.quorum_response_at().map(|at| self.now.saturating_duration_since(at));
        age.map_or(0, |age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }

    /// Records what a leader told about its quorum, after its message was applied.
    pub(super) fn record_quorum_age(&mut self, commit: LogIndex, age_ms: u32) {
        if self.commit_index < commit || !self.has_committed_in_term() {
            return;
        }
        let age = Duration::from_millis(u64::from(age_ms));
        self.quorum_seen_at = self.now.checked_sub(age).max(self.quorum_seen_at);
    }
}
