//! Budget for repeated sends to one service: an entry's share of what all entries may send.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::config::RetryLimits;

/// Parts into which the window is divided.
const BUCKETS: u32 = 20;

/// Part of the limits that is used, so that entries that count differently stay below the sum.
const USED_PART: f64 = 0.8;

struct CountBucket {
    start: Instant,
    requests: u32,
    repeats: u32,
}

/// Sliding count of requests and repeated sends.
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<CountBucket>,
}

impl RetryBudget {
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    pub fn note_request(&mut self, now: Instant) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeated send; false when the share is used up. `entries` share the slack.
    pub fn take(&mut self, now: Instant, entries: u32) -> bool {
        if self.left(now, entries) < 1.0 {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Repeated sends that are left now.
    pub fn left(&mut self, now: Instant, entries: u32) -> f64 {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let slack = f64::from(self.limits.slack) / f64::from(entries.max(1));
        let allowed = USED_PART * (self.limits.ratio * f64::from(requests) + slack);
        allowed - f64::from(repeats)
    }

    fn bucket(&mut self, now: Instant) -> &mut CountBucket {
        let length: Duration = self.limits.window / BUCKETS;
        // One bucket more than the window holds, because the newest one is not complete.
        let oldest = self.limits.window + length;
        while self.buckets.front().is_some_and(|first| now.duration_since(first.start) > oldest) {
            self.buckets.pop_front();
        }
        let current =
            self.buckets.back().is_some_and(|last| now.duration_since(last.start) < length);
        if !current {
            self.buckets.push_back(CountBucket { start: now, requests: 0, repeats: 0 });
        }
        self.buckets.back_mut().expect("a bucket was added above")
    }
}
