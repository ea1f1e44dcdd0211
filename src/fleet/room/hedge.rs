//! When a second send starts beside an unanswered one.

use std::time::{Duration, Instant};

/// Multiple of the mean latency after which a hedged send starts.
const HEDGE_LATENCY_FACTOR: f64 = 1.4;

/// Lower and upper limit of that delay, as fractions of the target latency.
const HEDGE_DELAY_LIMITS: (f64, f64) = (0.25, 0.6);

/// Remaining retry budget that hedged sends leave for failures.
const HEDGE_BUDGET_RESERVE: f64 = 1.5;

/// Interval at which a hedged send is tried again while the budget or the room does not allow it.
const HEDGE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Looks for a server that one request may spend on hedged sends.
const MAX_HEDGE_FINDS: u32 = 3;

/// What decides whether a hedged send starts now.
#[derive(Debug, Clone, Copy)]
pub struct HedgeConditions {
    /// Whether room at the service is short.
    pub is_room_short: bool,
    /// Time from which on the server of the first send counts as silent; `None` before the send.
    pub silent_at: Option<Instant>,
    /// Part of the retry budget that may be used.
    pub budget: f64,
}

/// Schedule of the hedged sends of one request.
#[derive(Debug, Default)]
pub struct HedgePlan {
    due_at: Option<Instant>,
    finds_left: u32,
}

impl HedgePlan {
    /// Creates the schedule of a request that may be sent twice; `mean` is the mean latency of its service.
    pub fn new(now: Instant, mean: Option<Duration>, target: Duration) -> Self {
        let (min_delay, max_delay) =
            (target.mul_f64(HEDGE_DELAY_LIMITS.0), target.mul_f64(HEDGE_DELAY_LIMITS.1));
        let delay = mean.map_or(max_delay, |mean| {
            mean.mul_f64(HEDGE_LATENCY_FACTOR).clamp(min_delay, max_delay)
        });
        Self { due_at: Some(now + delay), finds_left: MAX_HEDGE_FINDS }
    }

    /// Time at which [`Self::decide`] is due, if the first send is still unanswered.
    pub fn due_at(&self) -> Option<Instant> {
        self.due_at
    }

    /// Ends the schedule.
    pub fn cancel(&mut self) {
        self.due_at = None;
    }

    /// Decides whether a hedged send starts now; if not, it is tried again later.
    ///
    /// While room is short, a second send would only lengthen the queue in which the first one waits, unless
    /// the first one is lost.
    pub fn decide(&mut self, now: Instant, conditions: HedgeConditions) -> bool {
        let silent_at = conditions.silent_at;
        let is_silent = silent_at.is_some_and(|silent_at| silent_at <= now);
        if conditions.is_room_short && !is_silent {
            self.due_at = Some(silent_at.unwrap_or(now + HEDGE_RETRY_INTERVAL));
            return false;
        }
        if conditions.budget < HEDGE_BUDGET_RESERVE {
            // The budget refills while the request waits.
            self.due_at = Some(now + HEDGE_RETRY_INTERVAL);
            return false;
        }
        self.due_at = None;
        true
    }

    /// Records that a hedged send found no server with room.
    pub fn record_no_server(&mut self, now: Instant) {
        let number = MAX_HEDGE_FINDS.saturating_sub(self.finds_left);
        self.finds_left = self.finds_left.saturating_sub(1);
        let pause = HEDGE_RETRY_INTERVAL * (1 << number.min(4));
        self.due_at = Some(now + pause).filter(|_| self.finds_left > 0);
    }
}
