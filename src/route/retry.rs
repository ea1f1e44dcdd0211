//! Decides on retries and hedged requests within one budget.

use std::time::{Duration, Instant};

use crate::credit::ServerKey;

/// Rules of one service.
#[derive(Clone, Debug)]
pub struct RetrySettings {
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// Tokens earned by each success; one retry or hedge costs one token.
    pub budget_fraction: f64,
    /// Tokens earned without any success.
    pub minimum_per_second: f64,
    /// Bound of the saved tokens.
    pub budget_limit: f64,
    pub backoff_base: Duration,
    pub backoff_limit: Duration,
    /// Quantile of recent latency after which a request is hedged, such as 0.95.
    pub hedge_quantile: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_fraction: 0.1,
            minimum_per_second: 1.0,
            budget_limit: 100.0,
            backoff_base: Duration::from_millis(5),
            backoff_limit: Duration::from_millis(250),
            hedge_quantile: 0.95,
        }
    }
}

/// State of a request whose attempt failed, or that may be hedged.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    pub idempotent: bool,
    /// The first response byte has reached the caller.
    pub response_started: bool,
    /// An outer layer retries already (`X-Retry-Attempt` is present).
    pub has_outer_retry: bool,
    /// Servers of all attempts so far, the newest last.
    pub tried: &'a [ServerKey],
    pub deadline: Option<Instant>,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time; the servers tried are excluded as first choice.
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
    BudgetSpent,
}

/// Token bucket shared by retries and hedges of one service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    filled_at: Instant,
    latency: LatencyQuantile,
    random: fastrand::Rng,
}

impl RetryBudget {
    pub fn new(now: Instant, settings: RetrySettings, seed: u64) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        let latency = LatencyQuantile::default();
        Self { settings, tokens: 1.0, filled_at: now, latency, random }
    }

    /// Takes over new rules; saved tokens are cut to the new bound.
    pub fn change_settings(&mut self, now: Instant, settings: RetrySettings) {
        self.fill(now);
        self.settings = settings;
        self.earn(0.0);
    }

    /// Notes a successful response, which earns budget.
    pub fn note_success(&mut self, now: Instant, latency: Duration) {
        self.fill(now);
        self.earn(self.settings.budget_fraction);
        self.latency.note(latency);
    }

    /// Notes the latency of an attempt that was given up as slow; it earns no budget.
    pub fn note_slow(&mut self, latency: Duration) {
        self.latency.note(latency);
    }

    /// Decides on another attempt and spends the budget for it.
    pub fn decide(&mut self, now: Instant, attempt: &FailedAttempt<'_>) -> RetryDecision {
        let backoff = self.backoff(attempt.tried.len() as u32);
        if let Some(refusal) = self.refusal(now, attempt, backoff) {
            return RetryDecision::Refuse(refusal);
        }
        self.tokens -= 1.0;
        RetryDecision::RetryAfter(backoff)
    }

    /// Age at which a request may be hedged; `None` until enough latencies are known.
    pub fn hedge_after(&self) -> Option<Duration> {
        self.latency.quantile(self.settings.hedge_quantile)
    }

    /// Whether to send a second attempt now for a request sent at `sent`; spends the budget.
    pub fn decide_hedge(
        &mut self,
        now: Instant,
        sent: Instant,
        attempt: &FailedAttempt<'_>,
    ) -> bool {
        let Some(after) = self.hedge_after() else {
            return false;
        };
        // One hedge per request: a second one would add load exactly when servers are slow.
        if now < sent + after || attempt.tried.len() > 1 {
            return false;
        }
        if self.refusal(now, attempt, Duration::ZERO).is_some() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refusal(
        &mut self,
        now: Instant,
        attempt: &FailedAttempt<'_>,
        backoff: Duration,
    ) -> Option<RetryRefusal> {
        self.fill(now);
        if !attempt.idempotent {
            return Some(RetryRefusal::NotIdempotent);
        }
        if attempt.response_started {
            return Some(RetryRefusal::ResponseStarted);
        }
        if attempt.has_outer_retry {
            return Some(RetryRefusal::OuterRetry);
        }
        if attempt.tried.len() as u32 >= self.settings.max_attempts {
            return Some(RetryRefusal::NoAttemptsLeft);
        }
        let typical = self.latency.quantile(0.5).unwrap_or(Duration::ZERO);
        if attempt.deadline.is_some_and(|deadline| now + backoff + typical >= deadline) {
            return Some(RetryRefusal::DeadlineTooClose);
        }
        (self.tokens < 1.0).then_some(RetryRefusal::BudgetSpent)
    }

    fn fill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.earn(passed.as_secs_f64() * self.settings.minimum_per_second);
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.settings.budget_limit);
    }

    /// Exponential backoff, evenly spread between half and all of its value.
    fn backoff(&mut self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        let full = self.settings.backoff_base * (1 << doublings);
        full.min(self.settings.backoff_limit).mul_f64(0.5 + 0.5 * self.random.f64())
    }
}

const BUCKETS_PER_OCTAVE: usize = 4;
const BUCKET_COUNT: usize = 88;
/// Upper bound of the first bucket; 88 buckets reach to about three minutes.
const FIRST_BUCKET_MICROS: f64 = 50.0;
/// Beyond this number of samples all counts are halved, so that old latencies fade.
const MAX_SAMPLES: u32 = 2048;
/// Fewer samples give no usable high quantile.
const MIN_SAMPLES: u32 = 50;

/// Streaming latency quantile from logarithmic buckets; accurate to about 19 %, upwards.
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
    pub fn note(&mut self, latency: Duration) {
        let ratio = latency.as_secs_f64() * 1e6 / FIRST_BUCKET_MICROS;
        let position = (ratio.max(1.0).log2() * BUCKETS_PER_OCTAVE as f64).ceil() as usize;
        self.counts[position.min(BUCKET_COUNT - 1)] += 1;
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

    /// Latency that `quantile` of the recent samples do not exceed.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let wanted = (f64::from(self.total) * quantile).ceil() as u32;
        let mut seen = 0;
        for (position, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                let octaves = position as f64 / BUCKETS_PER_OCTAVE as f64;
                return Some(Duration::from_secs_f64(FIRST_BUCKET_MICROS * octaves.exp2() / 1e6));
            }
        }
        None
    }
}
