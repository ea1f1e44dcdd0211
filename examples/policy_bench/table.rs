//! Prints the measures of one policy.

use std::time::Duration;

use crate::scenario::Scenario;
use crate::{CAPACITY, Outcome, SERVERS};

/// Value of a measure over the seeds as minimum/median/maximum.
fn spread(outcomes: &[Outcome], measure: impl Fn(&Outcome) -> f64) -> String {
    let mut values: Vec<f64> = outcomes.iter().map(measure).collect();
    values.sort_by(f64::total_cmp);
    let (first, last) = (values[0], values[values.len() - 1]);
    format!("{first:.2}/{:.2}/{last:.2}", values[values.len() / 2])
}

/// Quantile of sorted seconds, in milliseconds.
fn quantile(sorted: &[f64], part: f64) -> f64 {
    let position = (sorted.len() as f64 * part) as usize;
    sorted.get(position).map_or(f64::NAN, |seconds| seconds * 1000.0)
}

fn per(time: Duration, count: u64) -> f64 {
    time.as_nanos() as f64 / count.max(1) as f64
}

pub(crate) fn print_row(scenario_name: &str, name: &str, scenario: Scenario, outcomes: &[Outcome]) {
    let capacity = CAPACITY * scenario.measured_seconds();
    let show = |label: &str, measure: &dyn Fn(&Outcome) -> f64| {
        print!(" {label}={}", spread(outcomes, measure));
    };
    print!("{scenario_name:9} {name:15}");
    show("p50_ms", &|outcome| quantile(&outcome.latencies, 0.5));
    show("p99_ms", &|outcome| quantile(&outcome.latencies, 0.99));
    show("p999_ms", &|outcome| quantile(&outcome.latencies, 0.999));
    show("wait_p50_ms", &|outcome| quantile(&outcome.waits, 0.5));
    show("wait_p90_ms", &|outcome| quantile(&outcome.waits, 0.9));
    show("wait_p99_ms", &|outcome| quantile(&outcome.waits, 0.99));
    show("at_once", &|outcome| {
        let count = outcome.waits.partition_point(|wait| *wait < 1e-6);
        count as f64 / outcome.waits.len() as f64
    });
    show("goodput", &|outcome| outcome.good as f64 / capacity);
    show("over_slots", &|outcome| f64::from(outcome.over_slots));
    show("refused", &|outcome| outcome.refused as f64);
    show("late", &|outcome| outcome.late as f64);
    show("failed", &|outcome| outcome.failed as f64);
    show("messages", &|outcome| outcome.messages as f64 / outcome.requests as f64);
    show("bytes", &|outcome| outcome.bytes as f64 / outcome.requests as f64);
    show("decision_ns", &|outcome| per(outcome.decision_time, outcome.decisions));
    show("holder_ns", &|outcome| per(outcome.holder_time, outcome.holder_events));
    if outcomes.iter().any(|outcome| outcome.long_offered[1] > 0) {
        for (index, label) in ["long_wait_entry0_ms", "long_wait_others_ms"].iter().enumerate() {
            let done = label.replace("wait", "done").replace("_ms", "");
            show(&done, &|outcome| {
                outcome.long_done[index] as f64 / outcome.long_offered[index] as f64
            });
            for (name, part) in [("p50", 0.5), ("p90", 0.9)] {
                let label = format!("{label}_{name}");
                show(&label, &|outcome| quantile(&outcome.long_waits[index], part));
            }
        }
    }
    if scenario == Scenario::Onset {
        for window in 0..3 {
            show(&format!("straggler_share{window}"), &|outcome| {
                let (slow, all) = outcome.onset_starts[window];
                f64::from(slow) * SERVERS as f64 / f64::from(all)
            });
        }
    }
    println!();
}
