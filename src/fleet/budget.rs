//! Retry budget of one service: an entry's share of the retries that all entries together may send.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::config::RetryLimits;

/// Buckets into which the window is divided.
const BUCKET_COUNT: u32 = 20;

/// Share of the limits that is used, so that the total stays below them although entries count
/// differently.
const USED_SHARE: f64 = 0.93;

struct WindowBucket {
    start: Instant,
    requests: u32,
    retries: u32,
}

/// Sliding-window count of requests and retries.
pub struct RetryBudget {
    limits: RetryLimits,
    buckets: VecDeque<WindowBucket>,
}

impl RetryBudget {
    pub fn new(limits: RetryLimits) -> Self {
        Self { limits, buckets: VecDeque::new() }
    }

    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Consumes one retry; returns `false` when this entry's share is used up. The slack is divided
    /// among `entries`.
    pub fn try_take(&mut self, now: Instant, entries: u32) -> bool {
        if self.remaining(now, entries) < 1.0 {
            return false;
        }
        self.current_bucket(now).retries += 1;
        true
    }

    /// Returns a retry that was taken at `taken_at` and reached no server.
    pub fn give_back(&mut self, taken_at: Instant) {
        let bucket = self.buckets.iter_mut().rev().find(|bucket| bucket.start <= taken_at);
        if let Some(bucket) = bucket {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Number of retries that this entry may still send in the current window.
    pub fn remaining(&mut self, now: Instant, entries: u32) -> f64 {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = f64::from(self.limits.slack) / f64::from(entries.max(1));
        let allowed = USED_SHARE * (self.limits.ratio * f64::from(requests) + slack);
        allowed - f64::from(retries)
    }

    fn current_bucket(&mut self, now: Instant) -> &mut WindowBucket {
        let bucket_length: Duration = self.limits.window / BUCKET_COUNT;
        // One bucket more than the window holds, because the newest one is incomplete.
        let max_age = self.limits.window + bucket_length;
        while self.buckets.front().is_some_and(|first| now.duration_since(first.start) > max_age) {
            self.buckets.pop_front();
        }
        let is_current =
            self.buckets.back().is_some_and(|last| now.duration_since(last.start) < bucket_length);
        if !is_current {
            self.buckets.push_back(WindowBucket { start: now, requests: 0, retries: 0 });
        }
        self.buckets.back_mut().expect("a bucket was added above")
    }
}
