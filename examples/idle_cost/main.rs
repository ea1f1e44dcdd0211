//! Cost of an idle system: network, processor time and memory of real processes on loopback.
//!
//! Prints rows `metric size value`; `--summary` reads the rows of several runs from standard input
//! and prints minimum, median and maximum with a fitted line. Traffic is that on links, with
//! WebSocket headers and without TCP and IP headers.

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

use self::fleet::Fleet;
use self::processes::{ProcessGroup, Sample};

/// Arguments of a run.
#[derive(Debug, Parser)]
struct Arguments {
    /// Read rows from standard input and print their summary.
    #[arg(long)]
    summary: bool,
    /// Binary to measure.
    #[arg(long, default_value = "target/release/curranthollow")]
    binary: PathBuf,
    /// Control processes.
    #[arg(long, default_value_t = 1)]
    controls: usize,
    /// Numbers of entries, each of which is one case.
    #[arg(long, value_delimiter = ',', default_value = "1,4,8,13")]
    entries: Vec<usize>,
    /// Numbers of announcing servers, each of which is one case.
    #[arg(long, value_delimiter = ',', default_value = "28")]
    servers: Vec<usize>,
    /// Services over which the servers are spread.
    #[arg(long, value_delimiter = ',', default_value = "3")]
    services: Vec<usize>,
    /// What a case's size is in the rows.
    #[arg(long, value_enum, default_value_t = SizeName::Entries)]
    size: SizeName,
    /// Seconds before the measurement.
    #[arg(long, default_value_t = 6)]
    settle: u64,
    /// Seconds of the measurement.
    #[arg(long, default_value_t = 10)]
    measure: u64,
    /// Runs of all cases.
    #[arg(long, default_value_t = 1)]
    runs: usize,
    /// Print traffic by kind of message.
    #[arg(long)]
    kinds: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum SizeName {
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
                    run_case(&arguments, entries, servers, services)?;
                }
            }
        }
    }
    Ok(())
}

fn run_case(
    arguments: &Arguments,
    entries: usize,
    servers: usize,
    services: usize,
) -> Result<(), Box<dyn Error>> {
    let size = match arguments.size {
        SizeName::Entries => entries,
        SizeName::Servers => servers,
        SizeName::Services => services,
    };
    let mut group = ProcessGroup::start(&arguments.binary, arguments.controls, entries)?;
    group.put_settings(services)?;
    let fleet = Fleet::start(group.traffic_addresses(), servers, services);
    sleep(Duration::from_secs(arguments.settle));
    let before = group.sample()?;
    let (started, accepted) = (Instant::now(), fleet.accepted());
    sleep(Duration::from_secs(arguments.measure));
    let after = group.sample()?;
    let seconds = started.elapsed().as_secs_f64();
    let beats = (fleet.accepted() - accepted) as f64 / seconds;
    fleet.stop();
    print_row("announcements_per_s", size, beats);
    report(size, "entry", &before, &after, seconds, arguments.kinds);
    report(size, "control", &before, &after, seconds, arguments.kinds);
    group.stop();
    Ok(())
}

/// Prints the mean over the processes of one role, and the highest traffic among them.
fn report(size: usize, role: &str, before: &[Sample], after: &[Sample], seconds: f64, kinds: bool) {
    let mut totals: BTreeMap<String, f64> = BTreeMap::new();
    let mut highest = 0.0_f64;
    let mut count = 0.0;
    for (before, after) in before.iter().zip(after) {
        if !after.name.starts_with(role) {
            continue;
        }
        count += 1.0;
        let mut bytes = 0.0;
        for (key, value) in &after.traffic {
            let rate = (value - before.traffic.get(key).copied().unwrap_or(0.0)) / seconds;
            let (unit, kind, direction) = (key.0.as_str(), key.1.as_str(), key.2.as_str());
            *totals.entry(format!("{role}_{direction}_{unit}_per_s")).or_default() += rate;
            if kinds && rate > 0.0 {
                *totals.entry(format!("{role}_{direction}_{kind}_{unit}_s")).or_default() += rate;
            }
            if unit == "bytes" {
                bytes += rate;
            }
        }
        highest = highest.max(bytes);
        let used = (after.processor_ms - before.processor_ms) / seconds;
        *totals.entry(format!("{role}_processor_ms_per_s")).or_default() += used;
        *totals.entry(format!("{role}_resident_mib")).or_default() += after.resident_mib;
    }
    for (metric, total) in totals {
        print_row(&metric, size, total / count);
    }
    print_row(&format!("{role}_highest_bytes_per_s"), size, highest);
}
