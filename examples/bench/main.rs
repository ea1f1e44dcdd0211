//! Measurements with real processes of the release binary on loopback.

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

/// Starts control processes, entries and stand-in servers, measures and ends them.
#[derive(Parser)]
struct Arguments {
    /// Binary to measure; the default is the sibling in the target folder.
    #[arg(long, global = true)]
    binary: Option<PathBuf>,
    /// Seed of schedules and service times; run `n` uses the seed plus `n`.
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
    /// Latency and processor time that an entry adds to a direct call.
    Added(added::AddedArguments),
    /// Selection policies under load.
    Policies(policies::PolicyArguments),
    /// Requests that need a claim, through three control processes.
    Claims(claims::ClaimArguments),
    /// Cost of one process as a function of one size.
    Slopes(slopes::SlopeArguments),
    /// Runs stand-in servers for the other commands; reads its orders from the standard input.
    Servers,
}

/// Settings of all measurements.
struct Session {
    binary: PathBuf,
    seed: u64,
    runs: u64,
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let binary = match arguments.binary {
        Some(binary) => binary,
        None => system::sibling_binary()?,
    };
    let session = Session { binary, seed: arguments.seed, runs: arguments.runs.max(1) };
    task::block_on(async {
        match &arguments.command {
            Command::Added(options) => added::measure(&session, options).await,
            Command::Policies(options) => policies::measure(&session, options).await,
            Command::Claims(options) => claims::measure(&session, options).await,
            Command::Slopes(options) => slopes::measure(&session, options).await,
            Command::Servers => fleet::serve_orders().await,
        }
    })
}
