//! Suspects on which the leader does not decide at once, because others may explain their crashes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::ledger::RACK_WINDOW;
use super::{CrashLedger, CrashReport};
use crate::ids::RequestDigest;

/// Time between the crash that would convict a suspect and the decision, if there are other causes for its
/// crashes. Successes and the reports about these causes arrive meanwhile; it is a small part of the
/// stable window.
pub const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Maximum number of suspects that settle at a time, because each decision looks at all suspects; further
/// ones are convicted at once. Also the maximum number of waiting ones; further ones are decided with their
/// next crash.
const MAX_SETTLING: usize = 64;

#[derive(Debug, Clone)]
struct SettlingSuspect {
    /// Time from which the reports about its newest crash are complete, so that it may be separated.
    complete_at: Instant,
    /// Time at which the leader decides in any case.
    due_at: Instant,
    report: CrashReport,
}

/// Suspects with enough counted crashes that may be explained by others.
#[derive(Debug, Default)]
pub struct SettlingSuspects {
    settling: BTreeMap<RequestDigest, SettlingSuspect>,
    /// Suspects that have settled and were not decided: the next crash, a success, or a conviction that
    /// explains crashes of others tells them apart.
    waiting: BTreeMap<RequestDigest, CrashReport>,
}

impl SettlingSuspects {
    pub fn has_room(&self) -> bool {
        self.settling.len() < MAX_SETTLING
    }

    /// Adds a suspect whose newest crash is that of the report. A new leader decides on nothing before
    /// `gathers_until`.
    pub fn add(&mut self, now: Instant, gathers_until: Option<Instant>, report: &CrashReport) {
        let digest = report.digest;
        let reported_at = now + RACK_WINDOW;
        let complete_at = gathers_until.map_or(reported_at, |until| until.max(reported_at));
        let due_at = gathers_until.unwrap_or(now + SETTLING_TIME);
        let suspect = self.settling.entry(digest).or_insert_with(|| SettlingSuspect {
            complete_at,
            due_at,
            report: report.clone(),
        });
        suspect.complete_at = complete_at;
        suspect.due_at = suspect.due_at.max(complete_at);
        self.waiting.remove(&digest);
    }

    pub fn remove(&mut self, digest: RequestDigest) {
        self.settling.remove(&digest);
        self.waiting.remove(&digest);
    }

    /// Brings waiting suspects to a decision after a change of the evidence: what may have caused their
    /// crashes may be cleared by a success, or explained by a conviction.
    pub fn reconsider(&mut self, now: Instant, ledger: &CrashLedger) {
        self.settling.retain(|digest, _| ledger.is_due(now, *digest));
        for (digest, report) in std::mem::take(&mut self.waiting) {
            if !ledger.is_due(now, digest) {
                continue;
            }
            let suspect = SettlingSuspect { complete_at: now, due_at: now, report };
            self.settling.entry(digest).or_insert(suspect);
        }
    }

    /// Removes a suspect; returns the report that brought it here.
    fn take_report(&mut self, digest: RequestDigest) -> Option<CrashReport> {
        let settling = self.settling.remove(&digest).map(|suspect| suspect.report);
        settling.or_else(|| self.waiting.remove(&digest))
    }

    /// Time of the next decision.
    pub fn next_decision(&self) -> Option<Instant> {
        let times = self.settling.values().map(|suspect| suspect.complete_at.min(suspect.due_at));
        times.min()
    }

    /// Convicts suspects that have settled, stronger ones, and those that are separated by now, those with
    /// most crashes first: crashes under a convicted request no longer count against the others. Returns
    /// the report of each.
    pub fn decide(&mut self, now: Instant, ledger: &mut CrashLedger) -> Vec<CrashReport> {
        let mut convicted = Vec::new();
        if self.next_decision().is_none_or(|decision_at| now < decision_at) {
            return convicted;
        }
        let due = self.settling.iter().filter(|(_, suspect)| now >= suspect.due_at);
        let weakest = due.map(|(digest, _)| ledger.counted_crashes(*digest)).min();
        let mut ranked = Vec::new();
        for digest in self.settling.keys() {
            let crashes = ledger.counted_crashes(*digest);
            ranked.push((crashes, ledger.clear_crashes(now, *digest), *digest));
        }
        ranked.sort_unstable();
        for (crashes, _, digest) in ranked.into_iter().rev() {
            let Some(suspect) = self.settling.get_mut(&digest) else { continue };
            let is_complete = now >= suspect.complete_at;
            let is_due = now >= suspect.due_at;
            if is_complete {
                suspect.complete_at = suspect.due_at;
            }
            let report = suspect.report.clone();
            if is_due {
                self.settling.remove(&digest);
            }
            while is_complete
                && ledger.is_overdue(now, digest)
                && let Some(stronger) = ledger.stronger_suspect(now, digest)
                && let Some(report) = self.take_report(stronger)
            {
                ledger.convict(stronger);
                convicted.push(report);
            }
            let is_ranked = weakest.is_some_and(|weakest| crashes >= weakest);
            if is_complete && ledger.is_separated(now, digest)
                || is_ranked && ledger.is_settled(now, digest)
            {
                ledger.convict(digest);
                convicted.push(report);
            } else if is_due && self.waiting.len() < MAX_SETTLING {
                self.waiting.insert(digest, report);
            }
        }
        convicted
    }
}
