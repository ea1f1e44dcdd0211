//! CPU time and memory of processes, and statistics over runs.

use std::fs;
use std::time::Duration;

use anyhow::Context;

/// Clock ticks per second in `/proc/PID/stat`; this is a constant of the kernel's user interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that the process with this id has used in user and kernel mode.
pub fn cpu_time(process: u32) -> anyhow::Result<Duration> {
    let text = fs::read_to_string(format!("/proc/{process}/stat"))?;
    // The program name in parentheses may contain spaces.
    let (_, fields) = text.rsplit_once(')').context("unexpected format of /proc/PID/stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks: u64 = fields[11].parse::<u64>()? + fields[12].parse::<u64>()?;
    Ok(Duration::from_secs_f64(ticks as f64 / TICKS_PER_SECOND))
}

/// Returns the resident memory of the process with this id in bytes.
pub fn resident_memory(process: u32) -> anyhow::Result<u64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .context("no VmRSS line in /proc/PID/status")?;
    let kib: u64 = line.split_whitespace().nth(1).context("VmRSS line has no value")?.parse()?;
    Ok(kib * 1024)
}

/// Formats values as `minimum / median / maximum`, or as `-` if there are none.
pub fn format_spread(values: &[f64], decimals: usize) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (sorted.first(), sorted.last()) else {
        return "-".to_owned();
    };
    format!("{min:.decimals$} / {:.decimals$} / {max:.decimals$}", median(values))
}

/// Returns the median, which is the upper one of two middle values, or NaN without values.
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Fits a line by least squares; returns its intercept, its slope and the root mean square of the
/// residuals.
pub fn fit_line(points: &[(f64, f64)]) -> (f64, f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for (x, y) in points {
        covariance += (x - mean_x) * (y - mean_y);
        variance += (x - mean_x).powi(2);
    }
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let squared_residuals: f64 =
        points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    (intercept, slope, (squared_residuals / count).sqrt())
}
