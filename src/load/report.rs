//! Result of a run of the load generator.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{LoadOptions, LoadOutcome, RateSwing, ScheduledRequest};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;

/// Number of requests with each outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OutcomeCounts {
    /// Whole responses to the right request.
    pub ok: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown whether run.
    pub unknown: u64,
    /// Whole responses with an error status of the server.
    pub failed: u64,
    /// Responses that ended early or were malformed.
    pub broken: u64,
    /// Responses to another request or with another content.
    pub wrong: u64,
}

/// Figures of one class; latencies are those of requests that ended well.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: Box<str>,
    /// Outcomes.
    pub counts: OutcomeCounts,
    /// Requests that ended well, per second of the run.
    pub goodput: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile in microseconds.
    pub p99_9_us: u64,
    /// Largest latency in microseconds.
    pub max_us: u64,
}

/// Figures of one swing.
#[derive(Clone, Debug, Serialize)]
pub struct SwingReport {
    /// Start in milliseconds.
    pub at_ms: u64,
    /// Length in milliseconds.
    pub duration_ms: u64,
    /// Multiplier of the rate.
    pub factor: f64,
    /// Requests that were due within the swing.
    pub due: u64,
    /// Requests that ended well within the swing, per second.
    pub goodput: f64,
}

/// Figures of a whole run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Seed of the run.
    pub seed: u64,
    /// Requests a second outside swings.
    pub offered_rate: f64,
    /// Requests that were due.
    pub offered: u64,
    /// Time until the last outcome, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that ended well, per second of the run.
    pub goodput: f64,
    /// 99th percentile of the delay between due time and sending, in microseconds.
    ///
    /// It is part of the latencies. A high value means that the generator or its connections were the
    /// bottleneck.
    pub send_delay_p99_us: u64,
    /// Outcomes.
    pub counts: OutcomeCounts,
    /// Figures of each class.
    pub classes: Vec<ClassReport>,
    /// Figures of each swing.
    pub swings: Vec<SwingReport>,
    /// Outcome of each request by its number.
    #[serde(skip)]
    pub outcomes: Vec<LoadOutcome>,
}

/// Collects outcomes during a run.
#[derive(Debug)]
pub(super) struct ReportBuilder {
    seed: u64,
    rate: f64,
    classes: Vec<ClassFigures>,
    swings: Vec<SwingFigures>,
    delays: Histogram<u64>,
    outcomes: Vec<LoadOutcome>,
}

#[derive(Debug)]
struct ClassFigures {
    name: Box<str>,
    counts: OutcomeCounts,
    latencies: Histogram<u64>,
}

#[derive(Debug)]
struct SwingFigures {
    swing: RateSwing,
    due: u64,
    ended_well: u64,
}

impl ReportBuilder {
    pub(super) fn new(options: &LoadOptions, schedule: &[ScheduledRequest]) -> Self {
        let mut classes = Vec::new();
        for class in &options.classes {
            classes.push(ClassFigures {
                name: class.name.clone(),
                counts: OutcomeCounts::default(),
                latencies: new_histogram(),
            });
        }
        let mut swings = Vec::new();
        for swing in options.swings.iter().copied() {
            let due = schedule.iter().filter(|request| swing.contains(request.at)).count() as u64;
            swings.push(SwingFigures { swing, due, ended_well: 0 });
        }
        Self {
            seed: options.seed,
            rate: options.rate,
            classes,
            swings,
            delays: new_histogram(),
            outcomes: vec![LoadOutcome::Unknown; schedule.len()],
        }
    }

    pub(super) fn add(
        &mut self,
        number: usize,
        request: ScheduledRequest,
        sent: Duration,
        ended: Duration,
        outcome: LoadOutcome,
    ) {
        self.outcomes[number] = outcome;
        self.delays.saturating_record(micros(sent.saturating_sub(request.at)));
        let class = &mut self.classes[request.class];
        class.counts.add(outcome);
        if outcome != LoadOutcome::Ok {
            return;
        }
        class.latencies.saturating_record(micros(ended.saturating_sub(request.at)));
        for figures in &mut self.swings {
            if figures.swing.contains(ended) {
                figures.ended_well += 1;
            }
        }
    }

    pub(super) fn build(&mut self, elapsed: Duration) -> LoadReport {
        let seconds = elapsed.as_secs_f64().max(1e-9);
        let mut counts = OutcomeCounts::default();
        for outcome in &self.outcomes {
            counts.add(*outcome);
        }
        LoadReport {
            seed: self.seed,
            offered_rate: self.rate,
            offered: self.outcomes.len() as u64,
            elapsed_ms: elapsed.as_millis() as u64,
            goodput: counts.ok as f64 / seconds,
            send_delay_p99_us: self.delays.value_at_quantile(0.99),
            counts,
            classes: self.classes.iter().map(|class| class.report(seconds)).collect(),
            swings: self.swings.iter().map(SwingFigures::report).collect(),
            outcomes: std::mem::take(&mut self.outcomes),
        }
    }
}

impl ClassFigures {
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

impl SwingFigures {
    fn report(&self) -> SwingReport {
        SwingReport {
            at_ms: self.swing.at.as_millis() as u64,
            duration_ms: self.swing.duration.as_millis() as u64,
            factor: self.swing.factor,
            due: self.due,
            goodput: self.ended_well as f64 / self.swing.duration.as_secs_f64().max(1e-9),
        }
    }
}

impl OutcomeCounts {
    fn add(&mut self, outcome: LoadOutcome) {
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

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
