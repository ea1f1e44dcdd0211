//! Report of a run of the load generator.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{LoadOptions, LoadOutcome, RateSwing, ScheduledRequest};

/// Maximum latency that the histograms record, in microseconds; longer ones count as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Number of significant decimal digits that the histograms preserve.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// Number of requests with each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Complete and correct responses.
    pub ok: u64,
    /// Requests that were not run.
    pub not_run: u64,
    /// Requests of which the caller cannot determine whether they were run.
    pub unknown: u64,
    /// Complete responses with an error status.
    pub failed: u64,
    /// Responses that ended early or were malformed.
    pub broken: u64,
    /// Responses that belong to another request or have unexpected content.
    pub wrong: u64,
}

/// Results of one class; latencies include successful requests only.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: Box<str>,
    /// Number of requests with each outcome.
    pub counts: OutcomeCounts,
    /// Successful requests per second of the run.
    pub goodput: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency in microseconds.
    pub p99_9_us: u64,
    /// Maximum latency in microseconds.
    pub max_us: u64,
}

/// Results of one swing.
#[derive(Clone, Debug, Serialize)]
pub struct SwingReport {
    /// Start of the swing in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Length of the swing in milliseconds.
    pub duration_ms: u64,
    /// Factor by which the rate is multiplied.
    pub factor: f64,
    /// Number of requests due during the swing.
    pub due: u64,
    /// Successful requests per second that ended during the swing.
    pub goodput: f64,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests per second outside swings.
    pub offered_rate: f64,
    /// Number of scheduled requests.
    pub offered: u64,
    /// Time from the start of the run to the last outcome, in milliseconds.
    pub elapsed_ms: u64,
    /// Successful requests per second of the run.
    pub goodput: f64,
    /// 99th percentile of the delay between due time and sending, in microseconds.
    ///
    /// This delay is part of the latencies. A high value means that the generator or its
    /// connections were the bottleneck.
    pub send_delay_p99_us: u64,
    /// Number of requests with each outcome.
    pub counts: OutcomeCounts,
    /// Results of each class.
    pub classes: Vec<ClassReport>,
    /// Results of each swing.
    pub swings: Vec<SwingReport>,
    /// Outcome of each request, indexed by request number.
    #[serde(skip)]
    pub outcomes: Vec<LoadOutcome>,
}

/// Collects the outcomes of a run.
#[derive(Debug)]
pub(super) struct ReportBuilder {
    seed: u64,
    rate: f64,
    classes: Vec<ClassStatistics>,
    swings: Vec<SwingStatistics>,
    send_delays: Histogram<u64>,
    outcomes: Vec<LoadOutcome>,
}

#[derive(Debug)]
struct ClassStatistics {
    name: Box<str>,
    counts: OutcomeCounts,
    latencies: Histogram<u64>,
}

#[derive(Debug)]
struct SwingStatistics {
    swing: RateSwing,
    due: u64,
    succeeded: u64,
}

impl ReportBuilder {
    pub(super) fn new(options: &LoadOptions, schedule: &[ScheduledRequest]) -> Self {
        let mut classes = Vec::new();
        for class in &options.classes {
            classes.push(ClassStatistics {
                name: class.name.clone(),
                counts: OutcomeCounts::default(),
                latencies: new_latency_histogram(),
            });
        }
        let mut swings = Vec::new();
        for swing in options.swings.iter().copied() {
            let due =
                schedule.iter().filter(|request| swing.contains(request.due_at)).count() as u64;
            swings.push(SwingStatistics { swing, due, succeeded: 0 });
        }
        Self {
            seed: options.seed,
            rate: options.rate,
            classes,
            swings,
            send_delays: new_latency_histogram(),
            outcomes: vec![LoadOutcome::Unknown; schedule.len()],
        }
    }

    pub(super) fn record(
        &mut self,
        request_number: usize,
        request: ScheduledRequest,
        sent_at: Duration,
        ended_at: Duration,
        outcome: LoadOutcome,
    ) {
        self.outcomes[request_number] = outcome;
        self.send_delays.saturating_record(to_micros(sent_at.saturating_sub(request.due_at)));
        let class = &mut self.classes[request.class];
        class.counts.increment(outcome);
        if outcome != LoadOutcome::Ok {
            return;
        }
        class.latencies.saturating_record(to_micros(ended_at.saturating_sub(request.due_at)));
        for statistics in &mut self.swings {
            if statistics.swing.contains(ended_at) {
                statistics.succeeded += 1;
            }
        }
    }

    pub(super) fn build(&mut self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64().max(1e-9);
        let mut counts = OutcomeCounts::default();
        for outcome in &self.outcomes {
            counts.increment(*outcome);
        }
        LoadReport {
            seed: self.seed,
            offered_rate: self.rate,
            offered: self.outcomes.len() as u64,
            elapsed_ms: elapsed.as_millis() as u64,
            goodput: counts.ok as f64 / seconds,
            send_delay_p99_us: self.send_delays.value_at_quantile(0.99),
            counts,
            classes: self.classes.iter().map(|class| class.report(seconds)).collect(),
            swings: self.swings.iter().map(SwingStatistics::report).collect(),
            outcomes: std::mem::take(&mut self.outcomes),
        }
    }
}

impl ClassStatistics {
    fn report(&self, seconds: f64) -> ClassReport {
        ClassReport {
            name: self.name.clone(),
            counts: self.counts,
            goodput: self.counts.ok as f64 / seconds,
            p50_us: self.latencies.value_at_quantile(0.5),
            p99_us: self.latencies.value_at_quantile(0.99),
            p99_9_us: self.latencies.value_at_quantile(0.999),
            max_us: self.latencies.max(),
        }
    }
}

impl SwingStatistics {
    fn report(&self) -> SwingReport {
        SwingReport {
            at_ms: self.swing.start.as_millis() as u64,
            duration_ms: self.swing.duration.as_millis() as u64,
            factor: self.swing.factor,
            due: self.due,
            goodput: self.succeeded as f64 / self.swing.duration.as_secs_f64().max(1e-9),
        }
    }
}

impl OutcomeCounts {
    fn increment(&mut self, outcome: LoadOutcome) {
        match outcome {
            LoadOutcome::Ok => self.ok += 1,
            LoadOutcome::NotRun => self.not_run += 1,
            LoadOutcome::Unknown => self.unknown += 1,
            LoadOutcome::Failed => self.failed += 1,
            LoadOutcome::Broken => self.broken += 1,
            LoadOutcome::Wrong => self.wrong += 1,
        }
    }
}

fn new_latency_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
        .expect("the bounds are valid")
}

fn to_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
