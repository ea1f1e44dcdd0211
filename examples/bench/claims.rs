//! Measures requests that need a claim next to short reads at the same rate.

use std::time::Duration;

use clap::Args;
use curranthollow::load::{LoadClass, LoadOptions, LoadReport, run_load};
use futures_util::future::join;
use serde_json::json;

use super::CommonOptions;
use super::fleet::{ServerFleet, ServerGroup};
use super::system::{BenchSystem, SystemSize};
use super::usage::format_spread;

#[derive(Args)]
pub struct ClaimArguments {
    /// Rates of requests that need a claim, per second; short reads are sent at the same rate.
    #[arg(long, value_delimiter = ',', default_values_t = [100.0, 300.0, 1000.0, 2000.0])]
    rates: Vec<f64>,
    #[arg(long, default_value_t = 3)]
    entries: usize,
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
}

const SERVER_COUNT: usize = 8;

pub async fn measure(common: &CommonOptions, arguments: &ClaimArguments) -> anyhow::Result<()> {
    let system_size = SystemSize { controls: 3, entries: arguments.entries, traffic_threads: 2 };
    let mut system = BenchSystem::start(&common.binary, system_size).await?;
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
    let mut fleet = ServerFleet::spawn()?;
    fleet.start_servers(ServerGroup {
        team: "bench".into(),
        service: "book".into(),
        count: SERVER_COUNT,
        slots: 32,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic_addresses(),
    })?;
    system.wait_servers_ready("bench/book", SERVER_COUNT).await?;
    println!(
        "3 control, {} entries, {SERVER_COUNT} servers without service time, {} s a run, seed {}",
        arguments.entries, arguments.seconds, common.seed
    );
    println!("minimum / median / maximum of {} runs; latencies in ms", common.runs);
    println!(
        "| POST/s offered | completed/s | not ok | POST p50 | POST p99 | GET p50 | GET p99 | added p50 | added p99 |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let load_options = |method: &str, rate, seed, seconds| {
        let mut class = LoadClass::short_read();
        class.method = method.into();
        LoadOptions {
            targets: system.traffic_addresses(),
            rate,
            duration: Duration::from_secs_f64(seconds),
            classes: vec![class],
            seed,
            ..LoadOptions::default()
        }
    };
    join(
        run_load(load_options("POST", 100.0, 1, 1.0)),
        run_load(load_options("GET", 100.0, 2, 1.0)),
    )
    .await;
    for (rate_index, rate) in arguments.rates.iter().enumerate() {
        let mut runs = Vec::new();
        for run in 0..common.runs {
            // Idempotency keys are derived from the seed, and claims outlive a run, so each run
            // needs a seed of its own.
            let seed = common.seed + 1000 * (rate_index as u64 + 1) + 2 * run;
            let post_options = load_options("POST", *rate, seed, arguments.seconds);
            let get_options = load_options("GET", *rate, seed + 1, arguments.seconds);
            runs.push(join(run_load(post_options), run_load(get_options)).await);
        }
        let column = |value: &dyn Fn(&(LoadReport, LoadReport)) -> f64, decimals| {
            let values: Vec<f64> = runs.iter().map(value).collect();
            format_spread(&values, decimals)
        };
        let p50_ms = |report: &LoadReport| report.classes[0].p50_us as f64 / 1e3;
        let p99_ms = |report: &LoadReport| report.classes[0].p99_us as f64 / 1e3;
        println!(
            "| {rate} | {} | {} | {} | {} | {} | {} | {} | {} |",
            column(&|run| run.0.goodput, 0),
            column(&|run| (run.0.offered - run.0.counts.ok) as f64, 0),
            column(&|run| p50_ms(&run.0), 2),
            column(&|run| p99_ms(&run.0), 2),
            column(&|run| p50_ms(&run.1), 2),
            column(&|run| p99_ms(&run.1), 2),
            column(&|run| p50_ms(&run.0) - p50_ms(&run.1), 2),
            column(&|run| p99_ms(&run.0) - p99_ms(&run.1), 2),
        );
    }
    Ok(())
}
