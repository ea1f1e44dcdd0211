//! Benchmarks of the release binary: real processes that communicate over loopback.

mod added;
mod claims;
mod fleet;
mod ideal;
mod policies;
mod slopes;
mod system;
mod usage;

use std::path::PathBuf;

use async_std::task;
use clap::{Parser, Subcommand};

/// Starts control processes, entries and stand-in servers, measures them and stops them.
#[derive(Parser)]
struct Arguments {
    /// Binary to measure; defaults to `curranthollow` in the target folder of this example.
    #[arg(long, global = true)]
    binary: Option<PathBuf>,
    /// Seed of schedules and service times; run `n`, counted from 0, adds `n` to it, and `claims`
    /// derives a seed for each rate and run.
    #[arg(long, global = true, default_value_t = 1)]
    seed: u64,
    /// Runs of each measurement.
    #[arg(long, global = true, default_value_t = 3)]
    runs: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Latency and CPU time that an entry adds to a direct call.
    Added(added::AddedLatencyArguments),
    /// Selection policies under load.
    Policies(policies::PolicyArguments),
    /// Requests that need a claim, through three control processes.
    Claims(claims::ClaimArguments),
    /// Cost of one process as a function of one size.
    Slopes(slopes::SlopeArguments),
    /// Runs stand-in servers for the other commands, controlled by JSON lines on standard input.
    Servers,
}

/// Options shared by all measurements.
struct CommonOptions {
    binary: PathBuf,
    seed: u64,
    runs: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let binary = match arguments.binary {
        Some(binary) => binary,
        None => system::default_binary()?,
    };
    let common = CommonOptions { binary, seed: arguments.seed, runs: arguments.runs.max(1) };
    task::block_on(async {
        match &arguments.command {
            Command::Added(arguments) => added::measure(&common, arguments).await,
            Command::Policies(arguments) => policies::measure(&common, arguments).await,
            Command::Claims(arguments) => claims::measure(&common, arguments).await,
            Command::Slopes(arguments) => slopes::measure(&common, arguments).await,
            Command::Servers => fleet::run_commands().await,
        }
    })
}
