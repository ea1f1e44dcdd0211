//! Retries and hedged requests, both limited by one budget.

use std::time::{Duration, Instant};

use crate::credit::ServerKey;

/// Retry settings of one service.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Maximum attempts of one request, including the first.
    pub max_attempts: u32,
    /// Tokens added for each successful response; one retry or hedge costs one token.
    pub tokens_per_success: f64,
    /// Tokens added per second, independent of successes.
    pub tokens_per_second: f64,
    /// Capacity of the token bucket.
    pub max_tokens: f64,
    pub base_backoff: Duration,
    pub max_backoff: Duration,
    /// Quantile of recent latencies after which a request may be hedged, such as 0.95.
    pub hedge_quantile: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            tokens_per_success: 0.1,
            tokens_per_second: 1.0,
            max_tokens: 100.0,
            base_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_millis(250),
            hedge_quantile: 0.95,
        }
    }
}

/// A request that may be retried after a failed attempt, or hedged.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate<'a> {
    pub idempotent: bool,
    /// The first byte of the response has been sent to the caller.
    pub response_started: bool,
    /// The caller retries as well (`X-Retry-Attempt` is present).
    pub has_outer_retry: bool,
    /// Servers of all attempts so far, the most recent last.
    pub tried: &'a [ServerKey],
    pub deadline: Option<Instant>,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after this time, preferably on a server that was not tried before.
    RetryAfter(Duration),
    Refuse(RetryRefusal),
}

/// Why there is no further attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetryRefusal {
    #[error("the request is not idempotent")]
    NotIdempotent,
    #[error("the response has started")]
    ResponseStarted,
    #[error("an outer layer retries")]
    OuterRetry,
    #[error("no attempts are left")]
    NoAttemptsLeft,
    #[error("the deadline is too close")]
    DeadlineTooClose,
    #[error("the retry budget is spent")]
    BudgetExhausted,
}

/// Token bucket for the retries and hedges of one service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    refilled_at: Instant,
    latency: LatencyQuantile,
    random: fastrand::Rng,
}

impl RetryBudget {
    pub fn new(now: Instant, settings: RetrySettings, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let latency = LatencyQuantile::default();
        Self { settings, tokens: 1.0, refilled_at: now, latency, random }
    }

    /// Replaces the settings and reduces the tokens to the new capacity.
    pub fn change_settings(&mut self, now: Instant, settings: RetrySettings) {
        self.refill(now);
        self.settings = settings;
        self.add_tokens(0.0);
    }

    /// Records a successful response, which adds to the budget.
    pub fn record_success(&mut self, now: Instant, latency: Duration) {
        self.refill(now);
        self.add_tokens(self.settings.tokens_per_success);
        self.latency.record(latency);
    }

    /// Records the latency so far of an attempt that was abandoned as slow; adds nothing to the
    /// budget.
    pub fn record_slow(&mut self, latency: Duration) {
        self.latency.record(latency);
    }

    /// Decides on another attempt and spends a token for it.
    pub fn decide(&mut self, now: Instant, candidate: &RetryCandidate<'_>) -> RetryDecision {
        let backoff = self.backoff(candidate.tried.len() as u32);
        if let Some(refusal) = self.refusal(now, candidate, backoff) {
            return RetryDecision::Refuse(refusal);
        }
        self.tokens -= 1.0;
        RetryDecision::RetryAfter(backoff)
    }

    /// Age at which a request may be hedged; `None` until enough latencies are recorded.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.latency.quantile(self.settings.hedge_quantile)
    }

    /// Whether to send a second attempt now for a request sent at `sent`. If so, spends a token.
    pub fn decide_hedge(
        &mut self,
        now: Instant,
        sent: Instant,
        candidate: &RetryCandidate<'_>,
    ) -> bool {
        let Some(after) = self.hedge_after() else {
            return false;
        };
        // At most one hedge per request: more would add load just when servers are slow.
        if now < sent + after || candidate.tried.len() > 1 {
            return false;
        }
        if self.refusal(now, candidate, Duration::ZERO).is_some() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refusal(
        &mut self,
        now: Instant,
        candidate: &RetryCandidate<'_>,
        backoff: Duration,
    ) -> Option<RetryRefusal> {
        self.refill(now);
        if !candidate.idempotent {
            return Some(RetryRefusal::NotIdempotent);
        }
        if candidate.response_started {
            return Some(RetryRefusal::ResponseStarted);
        }
        if candidate.has_outer_retry {
            return Some(RetryRefusal::OuterRetry);
        }
        if candidate.tried.len() as u32 >= self.settings.max_attempts {
            return Some(RetryRefusal::NoAttemptsLeft);
        }
        let median_latency = self.latency.quantile(0.5).unwrap_or(Duration::ZERO);
        if candidate.deadline.is_some_and(|deadline| now + backoff + median_latency >= deadline) {
            return Some(RetryRefusal::DeadlineTooClose);
        }
        (self.tokens < 1.0).then_some(RetryRefusal::BudgetExhausted)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add_tokens(elapsed.as_secs_f64() * self.settings.tokens_per_second);
    }

    fn add_tokens(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.max_tokens);
    }

    /// Exponential backoff, uniformly distributed between half and all of its full value.
    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let unjittered = self.settings.base_backoff * (1 << doublings);
        unjittered.min(self.settings.max_backoff).mul_f64(0.5 + 0.5 * self.random.f64())
    }
}

const BUCKETS_PER_OCTAVE: usize = 4;
const BUCKET_COUNT: usize = 88;
/// Upper bound of the first bucket; the 88 buckets reach to about three minutes.
const FIRST_BUCKET_MICROS: f64 = 50.0;
/// At this number of samples all counts are halved, so that old latencies lose weight.
const MAX_SAMPLES: u32 = 2048;
/// Fewer samples give no usable estimate of a high quantile.
const MIN_SAMPLES: u32 = 50;

/// Latency histogram with logarithmic buckets. Quantiles are overestimated by up to about 19 %.
#[derive(Debug)]
pub struct LatencyQuantile {
    counts: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for LatencyQuantile {
    fn default() -> Self {
        Self { counts: [0; BUCKET_COUNT], total: 0 }
    }
}

impl LatencyQuantile {
    pub fn record(&mut self, latency: Duration) {
        let ratio = latency.as_secs_f64() * 1e6 / FIRST_BUCKET_MICROS;
        let bucket = (ratio.max(1.0).log2() * BUCKETS_PER_OCTAVE as f64).ceil() as usize;
        self.counts[bucket.min(BUCKET_COUNT - 1)] += 1;
        self.total += 1;
        if self.total < MAX_SAMPLES {
            return;
        }
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }

    /// Returns the latency that the fraction `quantile` of the recent samples does not exceed.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * quantile).ceil() as u32;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                let octaves = bucket as f64 / BUCKETS_PER_OCTAVE as f64;
                return Some(Duration::from_secs_f64(FIRST_BUCKET_MICROS * octaves.exp2() / 1e6));
            }
        }
        None
    }
}
