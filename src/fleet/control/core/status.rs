//! What a member reports of itself: metrics, and status notices to entries.

use std::time::Instant;

use super::ControlCore;
use crate::consensus::Role;
use crate::fleet::control::metrics::MemberMetrics;
use crate::fleet::link::FreshnessNotice;

impl ControlCore {
    /// Current values for the metrics page.
    pub fn metrics(&self) -> MemberMetrics {
        MemberMetrics {
            leads: self.node.role() == Role::Leader,
            has_leader: self.node.leader().is_some(),
            term: self.node.term(),
            voters: self.node.members().voters().count(),
            applied: self.applied,
            document_version: self.state.document().version,
            servers: self.state.servers().len(),
            entries: self.entries,
            suspects: self.quarantine.ledger().suspects().count(),
            quarantined: self.state.quarantine().len(),
            evacuated_zones: self.state.evacuated().len(),
            leader_losses: self.leader_losses,
            quarantine_counts: self.quarantine.counts(),
            quota_counts: self.quota_counts(),
        }
    }

    /// Builds the status notice that is sent to entries.
    pub fn freshness_notice(&self, now: Instant) -> FreshnessNotice {
        let seen_at = self.node.quorum_seen_at();
        let leader_age = seen_at.map(|seen_at| now.saturating_duration_since(seen_at));
        let set = self.node.members();
        let voters = set.members.values().filter(|record| record.voter);
        let members = voters.filter_map(|record| record.name.parse().ok()).collect();
        let (entries, zone, revision) = (self.entries, self.zone.clone(), self.applied);
        FreshnessNotice {
            leader_age,
            members,
            entries,
            zone,
            revision,
            accepts_crashes: true,
            accepts_quota_asks: true,
            leads: self.leads(),
        }
    }
}
