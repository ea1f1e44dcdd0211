//! Rate limit of the messages that measure server load and transfer credits.

use std::time::{Duration, Instant};

/// A full bucket holds the allowance of this time, which permits short bursts.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Rate limits of one service, from its settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MeasureLimits {
    pub messages_per_second: f64,
    pub bytes_per_second: f64,
}

/// Totals since the start, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MeasureCounters {
    pub messages_spent: u64,
    pub bytes_spent: u64,
    pub messages_suppressed: u64,
    pub bytes_suppressed: u64,
}

impl MeasureCounters {
    /// Returns the sum of both, counter by counter.
    pub fn plus(self, other: Self) -> Self {
        Self {
            messages_spent: self.messages_spent + other.messages_spent,
            bytes_spent: self.bytes_spent + other.bytes_spent,
            messages_suppressed: self.messages_suppressed + other.messages_suppressed,
            bytes_suppressed: self.bytes_suppressed + other.bytes_suppressed,
        }
    }
}

/// Token buckets for messages and bytes. Over any time `t` at most
/// `limit * (t + 500 ms)` is spent. A limit under two messages per second admits none.
#[derive(Debug)]
pub struct MeasureBudget {
    limits: MeasureLimits,
    messages: f64,
    bytes: f64,
    refilled_at: Instant,
    counters: MeasureCounters,
}

impl MeasureBudget {
    pub fn new(now: Instant, limits: MeasureLimits) -> Self {
        let counters = MeasureCounters::default();
        let mut budget = Self { limits, messages: 0.0, bytes: 0.0, refilled_at: now, counters };
        budget.add_allowance(BURST_TIME);
        budget
    }

    /// Spends the tokens of one message of `bytes` bytes, or returns `false` if it must not be sent.
    pub fn try_spend(&mut self, now: Instant, bytes: u32) -> bool {
        if !self.has_room(now, bytes) {
            self.counters.messages_suppressed += 1;
            self.counters.bytes_suppressed += u64::from(bytes);
            return false;
        }
        self.spend(bytes);
        true
    }

    /// Whether the budget has tokens for a message of `bytes` bytes now. Changes no counter.
    ///
    /// The messages of wallets and accounts transfer credits, so once created they must not be
    /// dropped. Check this before the tick that would create one.
    pub fn has_room(&mut self, now: Instant, bytes: u32) -> bool {
        self.refill(now);
        self.messages >= 1.0 && self.bytes >= f64::from(bytes)
    }

    /// Spends the tokens of a message that must be sent, such as the answer to a recall. The
    /// buckets may become negative; `try_spend` then fails until they have refilled.
    pub fn charge(&mut self, now: Instant, bytes: u32) {
        self.refill(now);
        self.spend(bytes);
    }

    /// Replaces the limits and reduces the tokens in the buckets to the new maximum.
    pub fn change_limits(&mut self, limits: MeasureLimits) {
        self.limits = limits;
        self.add_allowance(Duration::ZERO);
    }

    pub fn counters(&self) -> MeasureCounters {
        self.counters
    }

    fn spend(&mut self, bytes: u32) {
        self.messages -= 1.0;
        self.bytes -= f64::from(bytes);
        self.counters.messages_spent += 1;
        self.counters.bytes_spent += u64::from(bytes);
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add_allowance(passed);
    }

    fn add_allowance(&mut self, passed: Duration) {
        let (seconds, burst) = (passed.as_secs_f64(), BURST_TIME.as_secs_f64());
        let MeasureLimits { messages_per_second, bytes_per_second } = self.limits;
        let messages = self.messages + messages_per_second * seconds;
        let bytes = self.bytes + bytes_per_second * seconds;
        self.messages = messages.min(messages_per_second * burst);
        self.bytes = bytes.min(bytes_per_second * burst);
    }
}
