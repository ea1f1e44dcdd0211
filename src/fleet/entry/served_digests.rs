//! Requests that servers completed for an entry shortly before.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ids::RequestDigest;

/// Time for which a completed request is no suspect. It is well below the stable window of 3 s, because a
/// request can begin to crash servers that completed it before.
pub const SERVED_LIFETIME: Duration = Duration::from_secs(1);

/// Maximum number of requests that are remembered; the oldest goes first.
pub const MAX_SERVED: usize = 4096;

/// Completed requests, recorded while there is evidence against any request: only then are digests computed.
#[derive(Debug, Default)]
pub struct ServedDigests {
    served: BTreeMap<RequestDigest, Instant>,
    order: VecDeque<(Instant, RequestDigest)>,
}

impl ServedDigests {
    pub fn record(&mut self, now: Instant, digest: RequestDigest) {
        self.expire(now);
        if self.order.len() >= MAX_SERVED {
            self.remove_oldest();
        }
        self.served.insert(digest, now);
        self.order.push_back((now, digest));
    }

    /// Whether a server completed the request within [`SERVED_LIFETIME`].
    pub fn contains(&self, now: Instant, digest: RequestDigest) -> bool {
        let served_at = self.served.get(&digest);
        served_at.is_some_and(|at| now.saturating_duration_since(*at) < SERVED_LIFETIME)
    }

    pub fn len(&self) -> usize {
        self.served.len()
    }

    pub fn is_empty(&self) -> bool {
        self.served.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        while let Some((served_at, _)) = self.order.front()
            && now.saturating_duration_since(*served_at) >= SERVED_LIFETIME
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((served_at, digest)) = self.order.pop_front() else { return };
        if self.served.get(&digest) == Some(&served_at) {
            self.served.remove(&digest);
        }
    }
}
