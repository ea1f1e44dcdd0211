//! Requests that need a claim, beside short reads at the same rate.

use std::time::Duration;

use clap::Args;
use curranthollow::load::{LoadClass, LoadOptions, LoadReport, run_load};
use futures_util::future::join;
use serde_json::json;

use super::Session;
use super::fleet::{FleetGroup, ServerFleet};
use super::system::{BenchSystem, SystemSize};
use super::usage::spread;

#[derive(Args)]
pub struct ClaimArguments {
    /// Claimed requests a second.
    #[arg(long, value_delimiter = ',', default_values_t = [100.0, 300.0, 1000.0, 2000.0])]
    rates: Vec<f64>,
    #[arg(long, default_value_t = 3)]
    entries: usize,
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
}

const SERVERS: usize = 8;

pub async fn measure(session: &Session, options: &ClaimArguments) -> anyhow::Result<()> {
    let size = SystemSize { controls: 3, entries: options.entries, traffic_threads: 2 };
    let mut system = BenchSystem::start(&session.binary, size).await?;
    let document = json!({
        "team": "bench",
        "services": { "book": {
            "match": { "path_prefix": "/" }, "deadline": "10s",
            "classes": [
                { "name": "claimed", "methods": ["POST"], "idempotent": false, "length": "short" },
            ],
        } },
    });
    system.put("bench", 0, &document).await?;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::new()?;
    fleet.start(FleetGroup {
        team: "bench".into(),
        service: "book".into(),
        count: SERVERS,
        slots: 32,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic(),
    })?;
    system.wait_servers("bench/book", SERVERS).await?;
    println!(
        "3 control, {} entries, {SERVERS} servers without service time, {} s a run, seed {}",
        options.entries, options.seconds, session.seed
    );
    println!("minimum / median / maximum of {} runs; latencies in ms", session.runs);
    println!(
        "| POST/s offered | completed/s | not ok | POST p50 | POST p99 | GET p50 | GET p99 | added p50 | added p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let load = |method: &str, rate, seed, seconds| {
        let mut class = LoadClass::short_read();
        class.method = method.into();
        LoadOptions {
            targets: system.traffic(),
            rate,
            duration: Duration::from_secs_f64(seconds),
            classes: vec![class],
            seed,
            ..LoadOptions::default()
        }
    };
    join(run_load(load("POST", 100.0, 1, 1.0)), run_load(load("GET", 100.0, 2, 1.0))).await;
    for (number, rate) in options.rates.iter().enumerate() {
        let mut runs = Vec::new();
        for run in 0..session.runs {
            // Keys are made from the seed, and a claim is kept, so each run has its own seed.
            let seed = session.seed + 1000 * (number as u64 + 1) + 2 * run;
            let post = load("POST", *rate, seed, options.seconds);
            let get = load("GET", *rate, seed + 1, options.seconds);
            runs.push(join(run_load(post), run_load(get)).await);
        }
        let column = |value: &dyn Fn(&(LoadReport, LoadReport)) -> f64, digits| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            spread(&values, digits)
        };
        let p50 = |report: &LoadReport| report.classes[0].p50_us as f64 / 1e3;
        let p99 = |report: &LoadReport| report.classes[0].p99_us as f64 / 1e3;
        println!(
            "| {rate} | {} | {} | {} | {} | {} | {} | {} | {} |",
            column(&|run| run.0.goodput, 0),
            column(&|run| (run.0.offered - run.0.counts.ok) as f64, 0),
            column(&|run| p50(&run.0), 2),
            column(&|run| p99(&run.0), 2),
            column(&|run| p50(&run.1), 2),
            column(&|run| p99(&run.1), 2),
            column(&|run| p50(&run.0) - p50(&run.1), 2),
            column(&|run| p99(&run.0) - p99(&run.1), 2),
        );
    }
    Ok(())
}
