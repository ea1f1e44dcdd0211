//! Measures the cost of the processes of a fleet on loopback, idle and under load.
//!
//! Starts 5 control processes, a number of entries and 3 servers, and prints rows
//! `metric size value` with the number of entries as size: milliseconds of CPU time, context
//! switches and bytes on links per second, each as the mean and the maximum over the processes of a
//! role. `--summary` reads the rows of several runs and prints their summary.

#[path = "../cost_summary/mod.rs"]
mod cost_summary;
mod processes;
mod servers;

use std::error::Error;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Parser;

use crate::processes::{Fleet, ProcessSample};

/// Measures the cost of the processes of a fleet, idle and under load.
#[derive(Debug, Parser)]
struct Arguments {
    /// Numbers of entries to measure, one fleet after the other.
    #[arg(long, value_delimiter = ',', default_value = "13")]
    entries: Vec<usize>,
    /// Requests per second over all entries; 0 measures idle processes only.
    #[arg(long, default_value_t = 300)]
    rate: u32,
    /// Length of each measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Runs with each number of entries.
    #[arg(long, default_value_t = 3)]
    runs: u32,
    /// Binary to measure.
    #[arg(long, default_value = "target/release/curranthollow")]
    binary: PathBuf,
    /// Reads rows from standard input and prints their summary.
    #[arg(long)]
    summary: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = Arguments::parse();
    if arguments.summary {
        cost_summary::summarize();
        return Ok(());
    }
    for _ in 0..arguments.runs {
        for &entries in &arguments.entries {
            measure(&arguments, entries)?;
        }
    }
    Ok(())
}

fn measure(arguments: &Arguments, entries: usize) -> Result<(), Box<dyn Error>> {
    let mut fleet = Fleet::start(&arguments.binary, entries)?;
    // By then, leaders are elected, and the entries have joined and received their first state.
    sleep(Duration::from_secs(4));
    let duration = Duration::from_secs(arguments.seconds);
    let before = fleet.sample()?;
    sleep(duration);
    print_usage("idle", entries, &before, &fleet.sample()?, duration);
    if arguments.rate > 0 {
        let before = fleet.sample()?;
        let served_count = send_requests(&fleet.traffic_addresses(), arguments.rate, duration)?;
        print_usage("busy", entries, &before, &fleet.sample()?, duration);
        cost_summary::print_row(
            "busy_served_per_s",
            entries,
            served_count / duration.as_secs_f64(),
        );
    }
    Ok(())
}

/// Prints the usage of each role between two samples of all processes.
fn print_usage(
    phase: &str,
    entries: usize,
    before: &[ProcessSample],
    after: &[ProcessSample],
    duration: Duration,
) {
    for role in ["entry", "control"] {
        let pairs: Vec<_> =
            before.iter().zip(after).filter(|(sample, _)| sample.role == role).collect();
        for (metric, value) in [
            ("cpu_ms_per_s", ProcessSample::cpu_ms as fn(&ProcessSample) -> f64),
            ("switches_per_s", |sample| sample.context_switches as f64),
            ("link_bytes_per_s", |sample| sample.link_bytes as f64),
        ] {
            let rates = pairs
                .iter()
                .map(|(before, after)| (value(after) - value(before)) / duration.as_secs_f64());
            let (sum, max) =
                rates.fold((0.0, 0.0), |(sum, max): (f64, f64), rate| (sum + rate, max.max(rate)));
            let mean = sum / pairs.len() as f64;
            cost_summary::print_row(&format!("{phase}_{role}_{metric}_mean"), entries, mean);
            cost_summary::print_row(&format!("{phase}_{role}_{metric}_most"), entries, max);
        }
        let max_resident_bytes =
            pairs.iter().map(|(_, after)| after.resident_bytes).fold(0.0, f64::max);
        cost_summary::print_row(
            &format!("{phase}_{role}_memory_mb_most"),
            entries,
            max_resident_bytes / 1e6,
        );
    }
}

/// Sends requests at equal intervals over one connection to each entry; returns how many were
/// served.
fn send_requests(
    entries: &[SocketAddr],
    rate: u32,
    duration: Duration,
) -> Result<f64, Box<dyn Error>> {
    let started = Instant::now();
    let rate_per_entry = f64::from(rate) / entries.len() as f64;
    let callers: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(index, &address)| {
            let interval = Duration::from_secs_f64(1.0 / rate_per_entry);
            let offset = interval.mul_f64(index as f64 / entries.len() as f64);
            std::thread::spawn(move || {
                send_until(address, started + offset, interval, started + duration)
            })
        })
        .collect();
    let mut served_count = 0.0;
    for caller in callers {
        served_count += caller.join().map_err(|_| "a caller thread panicked")??;
    }
    Ok(served_count)
}

fn send_until(
    address: SocketAddr,
    mut next_send: Instant,
    interval: Duration,
    end: Instant,
) -> std::io::Result<f64> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut served_count = 0.0;
    let mut response = [0; 4096];
    while next_send < end {
        sleep(next_send.saturating_duration_since(Instant::now()));
        next_send += interval;
        stream.write_all(
            b"GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\
              x-request-deadline: 2000\r\n\r\n",
        )?;
        // A response is short enough for one read.
        let count = stream.read(&mut response)?;
        served_count += f64::from(u8::from(response[..count].starts_with(b"HTTP/1.1 200")));
    }
    Ok(served_count)
}
