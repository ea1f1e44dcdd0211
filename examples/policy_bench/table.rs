//! Prints the results of one policy.

use std::time::Duration;

use crate::scenario::Scenario;
use crate::{CAPACITY, RunResult, SERVER_COUNT};

/// Formats a measure over the runs of all seeds as `minimum/median/maximum`.
fn format_spread(results: &[RunResult], measure: impl Fn(&RunResult) -> f64) -> String {
    let mut values: Vec<f64> = results.iter().map(measure).collect();
    values.sort_by(f64::total_cmp);
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{min:.2}/{:.2}/{max:.2}", values[values.len() / 2])
}

/// Returns the value at a quantile of sorted seconds, in milliseconds.
fn quantile_ms(sorted_seconds: &[f64], quantile: f64) -> f64 {
    let index = (sorted_seconds.len() as f64 * quantile) as usize;
    sorted_seconds.get(index).map_or(f64::NAN, |seconds| seconds * 1000.0)
}

fn mean_ns(total_time: Duration, count: u64) -> f64 {
    total_time.as_nanos() as f64 / count.max(1) as f64
}

pub(crate) fn print_row(
    scenario_name: &str,
    policy_name: &str,
    scenario: Scenario,
    results: &[RunResult],
) {
    let capacity_requests = CAPACITY * scenario.measured_seconds();
    let print_measure = |label: &str, measure: &dyn Fn(&RunResult) -> f64| {
        print!(" {label}={}", format_spread(results, measure));
    };
    print!("{scenario_name:9} {policy_name:15}");
    print_measure("p50_ms", &|result| quantile_ms(&result.short_latencies, 0.5));
    print_measure("p99_ms", &|result| quantile_ms(&result.short_latencies, 0.99));
    print_measure("p999_ms", &|result| quantile_ms(&result.short_latencies, 0.999));
    print_measure("wait_p50_ms", &|result| quantile_ms(&result.short_waits, 0.5));
    print_measure("wait_p90_ms", &|result| quantile_ms(&result.short_waits, 0.9));
    print_measure("wait_p99_ms", &|result| quantile_ms(&result.short_waits, 0.99));
    print_measure("at_once", &|result| {
        let count = result.short_waits.partition_point(|wait| *wait < 1e-6);
        count as f64 / result.short_waits.len() as f64
    });
    print_measure("goodput", &|result| result.on_time as f64 / capacity_requests);
    print_measure("over_slots", &|result| f64::from(result.over_slots));
    print_measure("refused", &|result| result.refused_count as f64);
    print_measure("late", &|result| result.late_count as f64);
    print_measure("failed", &|result| result.failed_count as f64);
    print_measure("messages", &|result| result.message_count as f64 / result.request_count as f64);
    print_measure("bytes", &|result| result.message_bytes as f64 / result.request_count as f64);
    print_measure("decision_ns", &|result| mean_ns(result.selection_time, result.selection_count));
    print_measure("holder_ns", &|result| mean_ns(result.holder_time, result.holder_event_count));
    if results.iter().any(|result| result.long_offered[1] > 0) {
        for (group, label) in ["long_wait_entry0_ms", "long_wait_others_ms"].iter().enumerate() {
            let done_label = label.replace("wait", "done").replace("_ms", "");
            print_measure(&done_label, &|result| {
                result.long_done[group] as f64 / result.long_offered[group] as f64
            });
            for (quantile_name, quantile) in [("p50", 0.5), ("p90", 0.9)] {
                let label = format!("{label}_{quantile_name}");
                print_measure(&label, &|result| quantile_ms(&result.long_waits[group], quantile));
            }
        }
    }
    if scenario == Scenario::Onset {
        for window in 0..3 {
            print_measure(&format!("straggler_share{window}"), &|result| {
                let (straggler_starts, all_starts) = result.onset_starts[window];
                f64::from(straggler_starts) * SERVER_COUNT as f64 / f64::from(all_starts)
            });
        }
    }
    println!();
}
