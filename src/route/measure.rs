//! Budget of the messages that measure server load and move credits.

use std::time::{Duration, Instant};

/// A full bucket holds the allowance of this time, so that a short burst passes.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Limits of one service, from its settings.
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
    /// Returns the sums of two totals.
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
    filled_at: Instant,
    counters: MeasureCounters,
}

impl MeasureBudget {
    pub fn new(now: Instant, limits: MeasureLimits) -> Self {
        let counters = MeasureCounters::default();
        let mut budget = Self { limits, messages: 0.0, bytes: 0.0, filled_at: now, counters };
        budget.add(BURST_TIME);
        budget
    }

    /// Spends one message of `bytes` bytes; on `false` the message must not be sent.
    pub fn try_spend(&mut self, now: Instant, bytes: u32) -> bool {
        if !self.has_room(now, bytes) {
            self.counters.messages_suppressed += 1;
            self.counters.bytes_suppressed += u64::from(bytes);
            return false;
        }
        self.spend(bytes);
        true
    }

    /// Whether a message of `bytes` bytes could be spent now; counts nothing.
    ///
    /// Credits travel in messages of wallets and accounts, so such a message must never be
    /// dropped once it exists. Check this before the tick that would produce one.
    pub fn has_room(&mut self, now: Instant, bytes: u32) -> bool {
        self.fill(now);
        self.messages >= 1.0 && self.bytes >= f64::from(bytes)
    }

    /// Spends a message that must go out, such as the answer to a recall. The bucket may fall
    /// below zero; nothing else is then sent until the debt is paid.
    pub fn charge(&mut self, now: Instant, bytes: u32) {
        self.fill(now);
        self.spend(bytes);
    }

    /// Takes new limits; what is left in the buckets is cut to them.
    pub fn change_limits(&mut self, limits: MeasureLimits) {
        self.limits = limits;
        self.add(Duration::ZERO);
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

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.add(passed);
    }

    fn add(&mut self, passed: Duration) {
        let (seconds, burst) = (passed.as_secs_f64(), BURST_TIME.as_secs_f64());
        let MeasureLimits { messages_per_second, bytes_per_second } = self.limits;
        let messages = self.messages + messages_per_second * seconds;
        let bytes = self.bytes + bytes_per_second * seconds;
        self.messages = messages.min(messages_per_second * burst);
        self.bytes = bytes.min(bytes_per_second * burst);
    }
}
