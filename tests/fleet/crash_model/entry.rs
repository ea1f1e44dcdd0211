//! Entry of the model. It decides with the types of the product.

use std::collections::BTreeSet;
use std::time::Instant;

use curranthollow::fleet::crash::CrashLedger;
use curranthollow::fleet::entry::local_quarantine::LocalQuarantine;
use curranthollow::fleet::entry::suspect_hold::{SendDecision, SuspectHolds};
use curranthollow::fleet::state::FleetState;
use curranthollow::fleet::update::FleetReplica;
use curranthollow::ids::RequestDigest;

use super::world::MEMBERS;

/// Number of counted crashes up to which an entry retries, as in `crash_gate`.
const MAX_CRASHES_FOR_RETRY: usize = 1;

pub struct ModelEntry {
    pub ledger: CrashLedger,
    pub replica: FleetReplica,
    local: LocalQuarantine,
    holds: SuspectHolds,
    /// Members without a link.
    pub cut: BTreeSet<usize>,
    /// Requests that this entry has quarantined by itself.
    pub quarantined: Vec<RequestDigest>,
}

impl ModelEntry {
    pub fn new() -> Self {
        Self {
            ledger: CrashLedger::of_entry(),
            replica: FleetReplica::default(),
            local: LocalQuarantine::default(),
            holds: SuspectHolds::default(),
            cut: BTreeSet::new(),
            quarantined: Vec::new(),
        }
    }

    fn has_control(&self, now: Instant) -> bool {
        self.cut.len() < MEMBERS && self.local.has_control(now)
    }

    pub fn decide(&mut self, now: Instant, digest: RequestDigest) -> SendDecision {
        if self.replica.is_quarantined(digest) || self.local.contains(now, digest) {
            return SendDecision::Quarantined;
        }
        let has_control = self.has_control(now);
        let decision = self.holds.decide(now, digest, has_control);
        if decision == SendDecision::Quarantined {
            self.quarantine_locally(now, digest);
        }
        decision
    }

    pub fn allows_retry(&self, digest: RequestDigest) -> bool {
        self.ledger.counted_crashes(digest) <= MAX_CRASHES_FOR_RETRY
    }

    /// Holds a request on the evidence of this entry.
    pub fn hold(&mut self, now: Instant, digest: RequestDigest) {
        self.holds.hold(now, digest);
    }

    fn quarantine_locally(&mut self, now: Instant, digest: RequestDigest) {
        self.holds.remove(digest);
        self.local.add(now, digest);
        self.quarantined.push(digest);
    }

    /// Records a success; returns whether the members have to know.
    pub fn record_served(&mut self, digest: RequestDigest) -> bool {
        if self.ledger.is_empty() {
            return false;
        }
        let was_held = self.holds.remove(digest);
        self.ledger.record_served(digest) || was_held
    }

    /// Brings the entry up to date.
    pub fn follow(&mut self, now: Instant, state: &FleetState, has_leader: bool) {
        if has_leader {
            self.local.record_control(now);
        }
        let update = state.update_since(self.replica.revision());
        for digest in &update.quarantined {
            self.ledger.remove(*digest);
            self.local.remove(*digest);
            self.holds.remove(*digest);
        }
        self.replica.apply(update);
    }
}
