//! Requests that an entry quarantines on its own evidence.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::follow_plan::FRESHNESS_LIFETIME;
use crate::ids::RequestDigest;

/// Time for which a request stays in the local quarantine although the replica does not quarantine it.
/// Control has decided long before, unless it is not in touch; then the time starts again.
pub const LOCAL_QUARANTINE_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of requests in the local quarantine; a full one takes no more.
pub const MAX_LOCAL_QUARANTINE: usize = 1024;

/// Time after control is back in touch for which requests with evidence against them are held. A new leader
/// collects reports for 100 ms and lets suspects settle for 200 ms; the rest is for the commit and the update.
pub const REGAIN_HOLD_TIME: Duration = Duration::from_secs(1);

/// Quarantine that applies until the replica decides.
#[derive(Debug, Default)]
pub struct LocalQuarantine {
    /// Digests, with the time at which they were added.
    added: BTreeMap<RequestDigest, Instant>,
    /// Time at which a member last confirmed that it is up to date.
    control_seen_at: Option<Instant>,
    /// Time until which control was last known to be out of touch.
    control_missed_until: Option<Instant>,
    has_been_in_touch: bool,
    /// Time at which control was last back in touch.
    regained_at: Option<Instant>,
}

impl LocalQuarantine {
    /// Adds a digest; returns `false` if the quarantine is full.
    pub fn add(&mut self, now: Instant, digest: RequestDigest) -> bool {
        self.expire(now);
        if self.added.len() >= MAX_LOCAL_QUARANTINE && !self.added.contains_key(&digest) {
            return false;
        }
        self.added.insert(digest, now);
        true
    }

    /// Records a notice from a member that is up to date.
    pub fn record_control(&mut self, now: Instant) {
        if !self.has_control(now) {
            self.control_missed_until = Some(now);
        }
        self.control_seen_at = Some(now);
    }

    /// Records that a first member is up to date, at the start or after none was.
    pub fn record_regained(&mut self, now: Instant) {
        if std::mem::replace(&mut self.has_been_in_touch, true) {
            self.regained_at = Some(now);
        }
    }

    /// Remaining time for which suspects are held because control has just come back; its decisions may be
    /// on their way.
    pub fn regain_hold(&self, now: Instant) -> Option<Duration> {
        let until = self.regained_at? + REGAIN_HOLD_TIME;
        (now < until).then(|| until.saturating_duration_since(now))
    }

    pub fn contains(&self, now: Instant, digest: RequestDigest) -> bool {
        self.added.get(&digest).is_some_and(|added_at| self.applies(now, *added_at))
    }

    pub fn remove(&mut self, digest: RequestDigest) {
        self.added.remove(&digest);
    }

    pub fn expire(&mut self, now: Instant) {
        let mut added = std::mem::take(&mut self.added);
        added.retain(|_, added_at| self.applies(now, *added_at));
        self.added = added;
    }

    pub fn len(&self) -> usize {
        self.added.len()
    }

    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
    }

    /// Whether a member has confirmed lately that it is up to date.
    pub fn has_control(&self, now: Instant) -> bool {
        self.control_seen_at
            .is_some_and(|at| now.saturating_duration_since(at) < FRESHNESS_LIFETIME)
    }

    fn applies(&self, now: Instant, added_at: Instant) -> bool {
        let since = self.control_missed_until.map_or(added_at, |missed| missed.max(added_at));
        !self.has_control(now) || now.saturating_duration_since(since) < LOCAL_QUARANTINE_LIFETIME
    }
}
