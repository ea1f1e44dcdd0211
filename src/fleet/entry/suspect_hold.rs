//! Requests that an entry holds on its own evidence while control members decide.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::RequestDigest;

/// Duration of the first hold. Control decides within one commit and one update, and an innocent request
/// loses no more than this.
pub const FIRST_HOLD_TIME: Duration = Duration::from_secs(1);

/// Maximum duration of a hold. Each further crash doubles the duration, so that a crashing request
/// that control does not quarantine is sent rarely.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(16);

/// Time after its last crash for which a request is held. Evidence is no older, and some requests have no
/// success that ends the hold, for example those without a length.
pub const HOLD_MEMORY: Duration = Duration::from_secs(60);

/// Number of crashed trials after which an entry without control quarantines a held request. Three crashes alone
/// are no proof: while several requests crash servers, an innocent one can meet them all within 0.3 s.
pub const CONVICTING_TRIALS: usize = 2;

/// Maximum number of held requests; a full table takes no more.
pub const MAX_HELD: usize = 1024;

/// Whether a request may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendDecision {
    Allowed,
    /// Allowed as the only attempt until its outcome is known: the hold is over and control has not
    /// quarantined the request.
    Trial,
    /// Not to be sent for this time.
    Held(Duration),
    /// Not to be sent at all.
    Quarantined,
}

#[derive(Debug, Clone, Copy)]
struct HoldRecord {
    length: Duration,
    /// Number of trials that crashed.
    crashed_trials: usize,
    until: Instant,
    /// Time of the crash that began the hold or made it longer.
    crashed_at: Instant,
}

/// Held requests. Like a circuit breaker, a hold that is over lets one attempt pass and holds the others
/// for as long again; a success ends the hold, and a further crash makes it longer.
#[derive(Debug, Default)]
pub struct SuspectHolds {
    records: BTreeMap<RequestDigest, HoldRecord>,
}

impl SuspectHolds {
    /// Holds a request whose crashes would convict it; returns the duration, or `None` if the table is
    /// full.
    pub fn hold(&mut self, now: Instant, digest: RequestDigest) -> Option<Duration> {
        self.expire(now);
        let (length, crashed_trials) = match self.records.get(&digest) {
            Some(record) => {
                // What crashed during the hold had been sent before.
                let was_trial = now >= record.crashed_at + record.length;
                let length = (record.length * 2).min(MAX_HOLD_TIME);
                (length, record.crashed_trials + usize::from(was_trial))
            }
            None if self.records.len() >= MAX_HELD => return None,
            None => (FIRST_HOLD_TIME, 0),
        };
        let until = now + length;
        let record = HoldRecord { length, crashed_trials, until, crashed_at: now };
        self.records.insert(digest, record);
        Some(length)
    }

    /// Decides on a send. Without control, a hold becomes a quarantine after [`CONVICTING_TRIALS`]: nobody
    /// else decides.
    pub fn decide(
        &mut self,
        now: Instant,
        digest: RequestDigest,
        has_control: bool,
    ) -> SendDecision {
        let Some(record) = self.records.get_mut(&digest) else { return SendDecision::Allowed };
        if now < record.until {
            if !has_control && record.crashed_trials >= CONVICTING_TRIALS {
                return SendDecision::Quarantined;
            }
            return SendDecision::Held(record.until.saturating_duration_since(now));
        }
        record.until = now + record.length;
        SendDecision::Trial
    }

    /// Records that a trial ended without having been sent, so that another one may follow at once.
    pub fn return_trial(&mut self, now: Instant, digest: RequestDigest) {
        if let Some(record) = self.records.get_mut(&digest) {
            record.until = record.until.min(now);
        }
    }

    /// Ends the hold of a request; returns whether it was held.
    pub fn remove(&mut self, digest: RequestDigest) -> bool {
        self.records.remove(&digest).is_some()
    }

    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.records.contains_key(&digest)
    }

    /// Removes holds whose evidence is too old.
    pub fn expire(&mut self, now: Instant) {
        let age = |record: &HoldRecord| now.saturating_duration_since(record.crashed_at);
        self.records.retain(|_, record| age(record) < HOLD_MEMORY);
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
