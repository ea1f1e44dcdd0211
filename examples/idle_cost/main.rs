//! Measures the cost of an idle system: link traffic, CPU time and memory of real processes on
//! loopback.
//!
//! Prints rows `metric size value`; `--summary` reads the rows of several runs from standard input
//! and prints minimum, median and maximum with a fitted line. Traffic is that on links, including
//! WebSocket headers but not TCP and IP headers.

#[path = "../cost_summary/mod.rs"]
mod cost_summary;
mod fleet;
mod processes;

use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Parser;
use cost_summary::print_row;

use self::fleet::Announcers;
use self::processes::{ProcessGroup, ProcessSample};

/// Measures the cost of an idle system.
#[derive(Debug, Parser)]
struct Arguments {
    /// Read rows from standard input and print their summary.
    #[arg(long)]
    summary: bool,
    /// Binary to measure.
    #[arg(long, default_value = "target/release/curranthollow")]
    binary: PathBuf,
    /// Number of control processes.
    #[arg(long, default_value_t = 1)]
    controls: usize,
    /// Numbers of entries to measure.
    #[arg(long, value_delimiter = ',', default_value = "1,4,8,13")]
    entries: Vec<usize>,
    /// Numbers of announcing servers to measure.
    #[arg(long, value_delimiter = ',', default_value = "28")]
    servers: Vec<usize>,
    /// Numbers of services to measure; the servers are spread over them.
    #[arg(long, value_delimiter = ',', default_value = "3")]
    services: Vec<usize>,
    /// Quantity that is printed as the size in the rows.
    #[arg(long, value_enum, default_value_t = SizeQuantity::Entries)]
    size: SizeQuantity,
    /// Seconds to wait before the measurement.
    #[arg(long, default_value_t = 6)]
    settle: u64,
    /// Length of the measurement in seconds.
    #[arg(long, default_value_t = 10)]
    measure: u64,
    /// Number of times that all combinations are measured.
    #[arg(long, default_value_t = 1)]
    runs: usize,
    /// Print link traffic for each kind of message too.
    #[arg(long)]
    kinds: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum SizeQuantity {
    Entries,
    Servers,
    Services,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    if arguments.summary {
        cost_summary::summarize();
        return Ok(());
    }
    for _ in 0..arguments.runs {
        for &entries in &arguments.entries {
            for &servers in &arguments.servers {
                for &services in &arguments.services {
                    measure_case(&arguments, entries, servers, services)?;
                }
            }
        }
    }
    Ok(())
}

fn measure_case(
    arguments: &Arguments,
    entries: usize,
    servers: usize,
    services: usize,
) -> Result<(), Box<dyn Error>> {
    let size = match arguments.size {
        SizeQuantity::Entries => entries,
        SizeQuantity::Servers => servers,
        SizeQuantity::Services => services,
    };
    let mut group = ProcessGroup::start(&arguments.binary, arguments.controls, entries)?;
    group.put_settings(services)?;
    let announcers = Announcers::start(group.traffic_addresses(), servers, services);
    sleep(Duration::from_secs(arguments.settle));
    let before = group.sample()?;
    let (started, accepted_before) = (Instant::now(), announcers.accepted_count());
    sleep(Duration::from_secs(arguments.measure));
    let after = group.sample()?;
    let seconds = started.elapsed().as_secs_f64();
    let announcements_per_s = (announcers.accepted_count() - accepted_before) as f64 / seconds;
    announcers.stop();
    print_row("announcements_per_s", size, announcements_per_s);
    print_role_usage(size, "entry", &before, &after, seconds, arguments.kinds);
    print_role_usage(size, "control", &before, &after, seconds, arguments.kinds);
    group.stop();
    Ok(())
}

/// Prints the mean usage over the processes of one role, and the highest traffic of one of them.
fn print_role_usage(
    size: usize,
    role: &str,
    before: &[ProcessSample],
    after: &[ProcessSample],
    seconds: f64,
    print_kinds: bool,
) {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    let mut max_bytes_per_s = 0.0_f64;
    let mut process_count = 0.0;
    for (before, after) in before.iter().zip(after) {
        if !after.name.starts_with(role) {
            continue;
        }
        process_count += 1.0;
        let mut bytes_per_s = 0.0;
        for (key, value) in &after.traffic {
            let rate = (value - before.traffic.get(key).copied().unwrap_or(0.0)) / seconds;
            let (unit, kind, direction) = (key.0.as_str(), key.1.as_str(), key.2.as_str());
            *totals.entry(format!("{role}_{direction}_{unit}_per_s")).or_default() += rate;
            if print_kinds && rate > 0.0 {
                *totals.entry(format!("{role}_{direction}_{kind}_{unit}_s")).or_default() += rate;
            }
            if unit == "bytes" {
                bytes_per_s += rate;
            }
        }
        max_bytes_per_s = max_bytes_per_s.max(bytes_per_s);
        let cpu_ms_per_s = (after.cpu_ms - before.cpu_ms) / seconds;
        *totals.entry(format!("{role}_processor_ms_per_s")).or_default() += cpu_ms_per_s;
        *totals.entry(format!("{role}_resident_mib")).or_default() += after.resident_mib;
    }
    for (metric, total) in totals {
        print_row(&metric, size, total / process_count);
    }
    print_row(&format!("{role}_highest_bytes_per_s"), size, max_bytes_per_s);
}
