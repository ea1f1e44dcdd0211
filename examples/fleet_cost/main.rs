//! Cost of the processes of a fleet, idle and under load, on loopback.
//!
//! Starts 5 control members, entries and 3 servers, and prints rows `metric size value` with the
//! number of entries as size: processor milliseconds, context switches and bytes on links a second
//! for the mean and the costliest process of each role. `--summary` reads rows of several runs.

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

use crate::processes::{FleetGroup, ProcessSample};

/// Options of a run.
#[derive(Debug, Parser)]
struct Arguments {
    /// Numbers of entries, one system after the other.
    #[arg(long, value_delimiter = ',', default_value = "13")]
    entries: Vec<usize>,
    /// Requests a second over all entries; 0 measures idle processes only.
    #[arg(long, default_value_t = 300)]
    rate: u32,
    /// Length of each measurement in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Runs of each size.
    #[arg(long, default_value_t = 3)]
    runs: u32,
    /// Program that is measured.
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
    let mut group = FleetGroup::start(&arguments.binary, entries)?;
    // Elections, joins and first states are over by then.
    sleep(Duration::from_secs(4));
    let length = Duration::from_secs(arguments.seconds);
    let before = group.sample()?;
    sleep(length);
    report("idle", entries, &before, &group.sample()?, length);
    if arguments.rate > 0 {
        let before = group.sample()?;
        let served = send_requests(&group.traffic(), arguments.rate, length)?;
        report("busy", entries, &before, &group.sample()?, length);
        cost_summary::print_row("busy_served_per_s", entries, served / length.as_secs_f64());
    }
    Ok(())
}

fn report(
    phase: &str,
    entries: usize,
    before: &[ProcessSample],
    after: &[ProcessSample],
    length: Duration,
) {
    for role in ["entry", "control"] {
        let pairs: Vec<_> =
            before.iter().zip(after).filter(|(sample, _)| sample.role == role).collect();
        for (name, value) in [
            ("cpu_ms_per_s", ProcessSample::cpu_ms as fn(&ProcessSample) -> f64),
            ("switches_per_s", |sample| sample.switches as f64),
            ("link_bytes_per_s", |sample| sample.link_bytes as f64),
        ] {
            let rates = pairs
                .iter()
                .map(|(before, after)| (value(after) - value(before)) / length.as_secs_f64());
            let (sum, most) = rates
                .fold((0.0, 0.0), |(sum, most): (f64, f64), rate| (sum + rate, most.max(rate)));
            let mean = sum / pairs.len() as f64;
            cost_summary::print_row(&format!("{phase}_{role}_{name}_mean"), entries, mean);
            cost_summary::print_row(&format!("{phase}_{role}_{name}_most"), entries, most);
        }
        let most = pairs.iter().map(|(_, after)| after.resident).fold(0.0, f64::max);
        cost_summary::print_row(&format!("{phase}_{role}_memory_mb_most"), entries, most / 1e6);
    }
}

/// Sends requests at equal distances, one connection to each entry; returns how many were served.
fn send_requests(
    entries: &[SocketAddr],
    rate: u32,
    length: Duration,
) -> Result<f64, Box<dyn Error>> {
    let started = Instant::now();
    let share = f64::from(rate) / entries.len() as f64;
    let callers: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(number, &address)| {
            let pause = Duration::from_secs_f64(1.0 / share);
            let first = pause.mul_f64(number as f64 / entries.len() as f64);
            std::thread::spawn(move || {
                call_until(address, started + first, pause, started + length)
            })
        })
        .collect();
    let mut served = 0.0;
    for caller in callers {
        served += caller.join().map_err(|_| "a caller failed")??;
    }
    Ok(served)
}

fn call_until(
    address: SocketAddr,
    mut next: Instant,
    pause: Duration,
    end: Instant,
) -> std::io::Result<f64> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut served = 0.0;
    let mut bytes = [0; 4096];
    while next < end {
        sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        stream.write_all(
            b"GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\
              x-request-deadline: 2000\r\n\r\n",
        )?;
        // The answers are shorter than one read.
        let count = stream.read(&mut bytes)?;
        served += f64::from(u8::from(bytes[..count].starts_with(b"HTTP/1.1 200")));
    }
    Ok(served)
}
