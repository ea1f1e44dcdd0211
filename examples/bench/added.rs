//! Latency that an entry adds to a direct call, and its processor time per request.

use std::time::Duration;

use clap::Args;
use curranthollow::load::{ArrivalProcess, LoadClass, LoadOptions, LoadReport, run_load};
use futures_util::future::join;
use serde_json::json;

use super::Session;
use super::fleet::{FleetGroup, ServerFleet};
use super::system::{BenchSystem, SystemSize};
use super::usage::{processor_time, spread};

#[derive(Args)]
pub struct AddedArguments {
    /// Numbers of entries.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 13])]
    entries: Vec<usize>,
    /// Requests a second, through the entries and again directly.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Length of one run in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    #[arg(long, default_value_t = 2)]
    threads: usize,
    #[arg(long, default_value = "least_in_flight")]
    policy: String,
}

/// Figures of one run in microseconds.
struct AddedRun {
    direct: [f64; 3],
    entry: [f64; 3],
    cpu: f64,
}

const SERVERS: usize = 8;

pub async fn measure(session: &Session, options: &AddedArguments) -> anyhow::Result<()> {
    println!(
        "policy {}, {} requests/s by entry and direct at once, {} s, {SERVERS} servers, no service time",
        options.policy, options.rate, options.seconds
    );
    println!("latencies in us, minimum / median / maximum of {} runs", session.runs);
    println!("| entries | measure | p50 | p99 | p99.9 | entry CPU us/request |");
    println!("|---|---|---|---|---|---|");
    for entries in &options.entries {
        let runs = measure_size(session, options, *entries).await?;
        let row = |name: &str, value: &dyn Fn(&AddedRun, usize) -> f64, cpu: &str| {
            let cells: Vec<String> = (0..3)
                .map(|index| {
                    let values: Vec<f64> = runs.iter().map(|run| value(run, index)).collect();
                    spread(&values, 0)
                })
                .collect();
            println!("| {entries} | {name} | {} | {cpu} |", cells.join(" | "));
        };
        let cpu: Vec<f64> = runs.iter().map(|run| run.cpu).collect();
        row("direct", &|run, index| run.direct[index], "");
        row("entry", &|run, index| run.entry[index], &spread(&cpu, 1));
        row("added", &|run, index| run.entry[index] - run.direct[index], "");
    }
    Ok(())
}

async fn measure_size(
    session: &Session,
    options: &AddedArguments,
    entries: usize,
) -> anyhow::Result<Vec<AddedRun>> {
    let size = SystemSize { controls: 1, entries, traffic_threads: options.threads };
    let mut system = BenchSystem::start(&session.binary, size).await?;
    let document = json!({
        "team": "bench",
        "services": { "read": {
            "match": { "path_prefix": "/short" }, "deadline": "10s", "policy": options.policy,
            "servers": { "slots": 64 },
        } },
    });
    system.put("bench", 0, &document).await?;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::new()?;
    fleet.start(FleetGroup {
        team: "bench".into(),
        service: "read".into(),
        count: SERVERS,
        slots: 64,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic(),
    })?;
    system.wait_servers("bench/read", SERVERS).await?;
    let load = |targets, seed, seconds| LoadOptions {
        targets,
        rate: options.rate,
        arrival_process: ArrivalProcess::Poisson,
        duration: Duration::from_secs_f64(seconds),
        classes: vec![LoadClass::short_read()],
        seed,
        ..LoadOptions::default()
    };
    // Opens the connections and lets a slow start of the servers pass.
    join(run_load(load(system.traffic(), 1, 2.5)), run_load(load(fleet.addresses.clone(), 2, 2.5)))
        .await;
    let mut runs = Vec::new();
    for run in 0..session.runs {
        let seed = session.seed + run;
        let before = total_time(&system)?;
        let (entry, direct) = join(
            run_load(load(system.traffic(), seed, options.seconds)),
            run_load(load(fleet.addresses.clone(), seed + 1000, options.seconds)),
        )
        .await;
        let used = total_time(&system)? - before;
        if entry.counts.ok != entry.offered || direct.counts.ok != direct.offered {
            println!("run {run}: entry {:?}, direct {:?}", entry.counts, direct.counts);
        }
        runs.push(AddedRun {
            direct: quantiles(&direct),
            entry: quantiles(&entry),
            cpu: used.as_secs_f64() * 1e6 / entry.offered as f64,
        });
    }
    Ok(runs)
}

fn quantiles(report: &LoadReport) -> [f64; 3] {
    let class = &report.classes[0];
    [class.p50_us as f64, class.p99_us as f64, class.p99_9_us as f64]
}

fn total_time(system: &BenchSystem) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for process in system.entry_ids() {
        total += processor_time(process)?;
    }
    Ok(total)
}
