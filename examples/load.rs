//! Open-loop load generator; prints its report as one line of JSON.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use anyhow::{Context, bail};
use async_std::task;
use clap::Parser;
use curranthollow::load::{ArrivalProcess, LoadClass, LoadOptions, RateSwing, run_load};

/// Sends short requests and long transfers on a fixed schedule and verifies each response.
#[derive(Parser)]
struct Arguments {
    /// Address to which requests are sent; may be repeated.
    #[arg(long = "target", required = true)]
    targets: Vec<SocketAddr>,
    /// Value of the Host header.
    #[arg(long, default_value = "service.team")]
    host: Box<str>,
    /// Additional header as NAME:VALUE; may be repeated.
    #[arg(long = "header")]
    headers: Vec<String>,
    /// Requests per second outside swings.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Sends requests at equal intervals instead of as a Poisson process.
    #[arg(long)]
    constant: bool,
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Swing of the request rate as START_MS:FACTOR:DURATION_MS; may be repeated.
    #[arg(long = "swing")]
    swings: Vec<SwingArgument>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "GET")]
    short_method: Box<str>,
    #[arg(long, default_value = "/short")]
    short_path: Box<str>,
    /// Fraction of requests that are long transfers.
    #[arg(long, default_value_t = 0.0)]
    long_share: f64,
    #[arg(long, default_value = "/long")]
    long_path: Box<str>,
    /// Size of long uploads in bytes.
    #[arg(long, default_value_t = 0)]
    upload: u64,
    /// Size of long downloads in bytes.
    #[arg(long)]
    download: Option<u64>,
    #[arg(long, default_value_t = 1_000_000)]
    max_requests: usize,
    #[arg(long, default_value_t = 10_000)]
    max_in_flight: usize,
    #[arg(long, default_value_t = 512)]
    connections_per_target: usize,
    #[arg(long, default_value_t = 10_000)]
    timeout_ms: u64,
}

#[derive(Clone, Copy)]
struct SwingArgument(RateSwing);

impl FromStr for SwingArgument {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let parts: Vec<&str> = text.split(':').collect();
        let [start, factor, duration] = parts[..] else {
            bail!("expected a swing as START_MS:FACTOR:DURATION_MS");
        };
        Ok(Self(RateSwing {
            start: Duration::from_millis(start.parse()?),
            factor: factor.parse()?,
            duration: Duration::from_millis(duration.parse()?),
        }))
    }
}

fn main() -> anyhow::Result<()> {
    let arguments = Arguments::parse();
    let mut headers = Vec::new();
    for header in &arguments.headers {
        let (name, value) = header.split_once(':').context("expected a header as NAME:VALUE")?;
        headers.push((name.trim().into(), value.trim().into()));
    }
    let mut short = LoadClass::short_read();
    short.share = 1.0 - arguments.long_share;
    short.method = arguments.short_method;
    short.path = arguments.short_path;
    let mut long =
        LoadClass::long_transfer(arguments.long_share, arguments.upload, arguments.download);
    long.path = arguments.long_path;
    let options = LoadOptions {
        targets: arguments.targets,
        host: arguments.host,
        headers,
        classes: vec![short, long],
        rate: arguments.rate,
        arrival_process: if arguments.constant {
            ArrivalProcess::Constant
        } else {
            ArrivalProcess::Poisson
        },
        duration: Duration::from_secs_f64(arguments.seconds),
        swings: arguments.swings.iter().map(|swing| swing.0).collect(),
        seed: arguments.seed,
        max_requests: arguments.max_requests,
        max_in_flight: arguments.max_in_flight,
        connections_per_target: arguments.connections_per_target,
        timeout: Duration::from_millis(arguments.timeout_ms),
    };
    let report = task::block_on(run_load(options));
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
