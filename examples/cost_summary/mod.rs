//! Rows of measurements, and their summary over several runs.
//!
//! A run prints rows `metric size value`; the summary reads the rows of all runs.

use std::collections::BTreeMap;
use std::io::{BufRead, stdin};

/// Prints one measured value.
pub(crate) fn print_row(metric: &str, size: usize, value: f64) {
    println!("{metric} {size} {value:.3}");
}

/// Returns the resident memory of a process in bytes, by its id or `self`.
pub(crate) fn resident_bytes(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("VmRSS: 0");
    let kibibytes = line.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1024.0
}

/// Reads rows from standard input; prints minimum, median and maximum of each metric and size, and
/// a least-squares line through the medians.
pub(crate) fn summarize() {
    let mut values: BTreeMap<String, BTreeMap<usize, Vec<f64>>> = BTreeMap::new();
    for line in stdin().lock().lines().map_while(Result::ok) {
        let fields: Vec<_> = line.split_whitespace().collect();
        let [metric, size, value] = fields[..] else {
            continue;
        };
        let (Ok(size), Ok(value)) = (size.parse(), value.parse()) else {
            continue;
        };
        values.entry(metric.to_owned()).or_default().entry(size).or_default().push(value);
    }
    for (metric, sizes) in &mut values {
        let mut medians = Vec::new();
        for (size, values) in sizes {
            values.sort_by(f64::total_cmp);
            let (low, middle) = (values[0], values[values.len() / 2]);
            let high = values[values.len() - 1];
            let runs = values.len();
            println!(
                "{metric:34} {size:>8} min={low:.3} median={middle:.3} max={high:.3} runs={runs}"
            );
            medians.push((*size as f64, middle));
        }
        print_fit(metric, &medians);
    }
}

fn print_fit(metric: &str, points: &[(f64, f64)]) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let shared: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = if spread == 0.0 { 0.0 } else { shared / spread };
    let start = mean_y - slope * mean_x;
    let squares: f64 = points.iter().map(|(x, y)| (y - start - slope * x).powi(2)).sum();
    let residual = (squares / count).sqrt();
    println!("{metric:34} fit: {start:.3} + {slope:.6} * size, residual (rms) {residual:.3}");
}
