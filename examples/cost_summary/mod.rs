//! Output of measurements as rows, and their summary over several runs.
//!
//! A run prints one row `metric size value` for each measured value; the summary reads the rows of
//! all runs.

use std::collections::BTreeMap;
use std::io::{BufRead, stdin};

/// Prints one measured value.
pub(crate) fn print_row(metric: &str, size: usize, value: f64) {
    println!("{metric} {size} {value:.3}");
}

/// Returns the resident memory of a process, given by its id or as `self`, in bytes; 0 if it cannot
/// be read.
pub(crate) fn resident_bytes(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("VmRSS: 0");
    let kibibytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1024.0
}

/// Reads rows from standard input; prints minimum, median and maximum of each metric and size, and
/// a least-squares line through the medians.
pub(crate) fn summarize() {
    let mut values_by_metric: BTreeMap<String, BTreeMap<usize, Vec<f64>>> = BTreeMap::new();
    for line in stdin().lock().lines().map_while(Result::ok) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let [metric, size, value] = fields[..] else {
            continue;
        };
        let (Ok(size), Ok(value)) = (size.parse(), value.parse()) else {
            continue;
        };
        values_by_metric.entry(metric.to_owned()).or_default().entry(size).or_default().push(value);
    }
    for (metric, values_by_size) in &mut values_by_metric {
        let mut medians = Vec::new();
        for (size, values) in values_by_size {
            values.sort_by(f64::total_cmp);
            let (min, median) = (values[0], values[values.len() / 2]);
            let max = values[values.len() - 1];
            let runs = values.len();
            println!(
                "{metric:34} {size:>8} min={min:.3} median={median:.3} max={max:.3} runs={runs}"
            );
            medians.push((*size as f64, median));
        }
        print_fit(metric, &medians);
    }
}

/// Prints the least-squares line through the points; with equal sizes, its slope is 0.
fn print_fit(metric: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
    let intercept = mean_y - slope * mean_x;
    let squared_residuals: f64 =
        points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let rms_residual = (squared_residuals / count).sqrt();
    println!(
        "{metric:34} fit: {intercept:.3} + {slope:.6} * size, residual (rms) {rms_residual:.3}"
    );
}
