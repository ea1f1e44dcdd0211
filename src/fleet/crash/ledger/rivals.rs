//! Comparison of suspects that ran on the same crashing servers.

use std::time::Instant;

use super::{CONVICTION_CRASHES, CrashLedger, Incarnation, SuspectRecord};
use crate::ids::RequestDigest;

/// Number of suspects that are compared with another one, those with most crashes first. Each comparison looks
/// at all suspects.
const MAX_RIVALS: usize = 8;

impl CrashLedger {
    /// Whether other suspects explain all crashes of this one.
    pub(super) fn is_explained(&self, now: Instant, digest: RequestDigest) -> bool {
        self.is_covered(now, digest) || self.stronger_suspect(now, digest).is_some()
    }

    /// Suspect to convict first if others with enough crashes explain all crashes of this one together: the one
    /// of them with most crashes that no other suspect explains. A request that ran beside each of several
    /// crashing ones has more crashes than they, and its conviction would explain theirs.
    pub fn stronger_suspect(&self, now: Instant, digest: RequestDigest) -> Option<RequestDigest> {
        let record = self.records.get(&digest)?;
        let limit = self.limit(now, digest, record);
        if record.count() < limit || limit == 1 || self.own_crashes(now, digest) > 0 {
            return None;
        }
        let rivals = self.records.iter().filter(|(other, rival)| {
            let shares = || record.open_incarnations().any(|shared| rival.is_open(shared));
            **other != digest && !rival.is_convicted && self.is_due(now, **other) && shares()
        });
        let mut rivals: Vec<_> = rivals.map(|(other, rival)| (rival.count(), *other)).collect();
        rivals.sort_unstable();
        let ranked = rivals.into_iter().rev().take(MAX_RIVALS);
        let ranked = ranked.map(|(count, other)| (self.own_crashes(now, other), count, other));
        ranked.max().filter(|(own, ..)| *own > 0).map(|(.., other)| other)
    }

    /// Number of crashes, counted or not, on whose server no other suspect with enough crashes ran. Those of
    /// which reports may still be on their way are left out.
    fn own_crashes(&self, now: Instant, digest: RequestDigest) -> usize {
        let Some(record) = self.records.get(&digest) else { return 0 };
        let is_other = |(other, rival): &(&RequestDigest, &SuspectRecord)| {
            let crashes = rival.open_incarnations().count();
            **other != digest && !rival.is_convicted && crashes >= CONVICTION_CRASHES
        };
        let others: Vec<_> = self.records.iter().filter(is_other).collect();
        let is_own = |incarnation: &&Incarnation| {
            let is_shared = others.iter().any(|(_, rival)| rival.is_open(incarnation));
            !is_shared && record.crashes[*incarnation].is_complete(now)
        };
        record.open_incarnations().filter(is_own).count()
    }
}
