//! Measures the latency that an entry adds compared with direct calls to the servers, and the CPU
//! time that the entry spends per request.

use std::time::Duration;

use clap::Args;
use curranthollow::load::{ArrivalProcess, LoadClass, LoadOptions, LoadReport, run_load};
use futures_util::future::join;
use serde_json::json;

use super::CommonOptions;
use super::fleet::{ServerFleet, ServerGroup};
use super::system::{BenchSystem, SystemSize};
use super::usage::{cpu_time, format_spread};

#[derive(Args)]
pub struct AddedLatencyArguments {
    /// Numbers of entries to measure, one system after the other.
    #[arg(long, value_delimiter = ',', default_values_t = [1, 4, 13])]
    entries: Vec<usize>,
    /// Requests per second sent through the entries, and as many sent directly to the servers.
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

/// Results of one run; the latencies are p50, p99 and p99.9.
struct AddedLatencyRun {
    direct_us: [f64; 3],
    entry_us: [f64; 3],
    cpu_us_per_request: f64,
}

const SERVER_COUNT: usize = 8;

pub async fn measure(
    common: &CommonOptions,
    arguments: &AddedLatencyArguments,
) -> anyhow::Result<()> {
    println!(
        "policy {}, {} requests/s by entry and direct at once, {} s, {SERVER_COUNT} servers, no service time",
        arguments.policy, arguments.rate, arguments.seconds
    );
    println!("latencies in us, minimum / median / maximum of {} runs", common.runs);
    println!("| entries | measure | p50 | p99 | p99.9 | entry CPU us/request |");
    println!("|---|---|---|---|---|---|");
    for entries in &arguments.entries {
        let runs = measure_entry_count(common, arguments, *entries).await?;
        let print_row =
            |measure: &str, value: &dyn Fn(&AddedLatencyRun, usize) -> f64, cpu_cell: &str| {
                let cells: Vec<String> = (0..3)
                    .map(|index| {
                        let values: Vec<f64> = runs.iter().map(|run| value(run, index)).collect();
                        format_spread(&values, 0)
                    })
                    .collect();
                println!("| {entries} | {measure} | {} | {cpu_cell} |", cells.join(" | "));
            };
        let cpu_values: Vec<f64> = runs.iter().map(|run| run.cpu_us_per_request).collect();
        print_row("direct", &|run, index| run.direct_us[index], "");
        print_row("entry", &|run, index| run.entry_us[index], &format_spread(&cpu_values, 1));
        print_row("added", &|run, index| run.entry_us[index] - run.direct_us[index], "");
    }
    Ok(())
}

async fn measure_entry_count(
    common: &CommonOptions,
    arguments: &AddedLatencyArguments,
    entries: usize,
) -> anyhow::Result<Vec<AddedLatencyRun>> {
    let system_size = SystemSize { controls: 1, entries, traffic_threads: arguments.threads };
    let mut system = BenchSystem::start(&common.binary, system_size).await?;
    let document = json!({
        "team": "bench",
        "services": { "read": {
            "match": { "path_prefix": "/short" }, "deadline": "10s", "policy": arguments.policy,
            "servers": { "slots": 64 },
        } },
    });
    system.put("bench", 0, &document).await?;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::spawn()?;
    fleet.start_servers(ServerGroup {
        team: "bench".into(),
        service: "read".into(),
        count: SERVER_COUNT,
        slots: 64,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic_addresses(),
    })?;
    system.wait_servers_ready("bench/read", SERVER_COUNT).await?;
    let load_options = |targets, seed, seconds| LoadOptions {
        targets,
        rate: arguments.rate,
        arrival_process: ArrivalProcess::Poisson,
        duration: Duration::from_secs_f64(seconds),
        classes: vec![LoadClass::short_read()],
        seed,
        ..LoadOptions::default()
    };
    // Opens the connections and lets the slow start of the servers pass before the measurement.
    join(
        run_load(load_options(system.traffic_addresses(), 1, 2.5)),
        run_load(load_options(fleet.addresses.clone(), 2, 2.5)),
    )
    .await;
    let mut runs = Vec::new();
    for run in 0..common.runs {
        let seed = common.seed + run;
        let cpu_before = entry_cpu_time(&system)?;
        let (entry, direct) = join(
            run_load(load_options(system.traffic_addresses(), seed, arguments.seconds)),
            run_load(load_options(fleet.addresses.clone(), seed + 1000, arguments.seconds)),
        )
        .await;
        let cpu_used = entry_cpu_time(&system)? - cpu_before;
        if entry.counts.ok != entry.offered || direct.counts.ok != direct.offered {
            println!("run {run}: entry {:?}, direct {:?}", entry.counts, direct.counts);
        }
        runs.push(AddedLatencyRun {
            direct_us: latency_quantiles_us(&direct),
            entry_us: latency_quantiles_us(&entry),
            cpu_us_per_request: cpu_used.as_secs_f64() * 1e6 / entry.offered as f64,
        });
    }
    Ok(runs)
}

fn latency_quantiles_us(report: &LoadReport) -> [f64; 3] {
    let class = &report.classes[0];
    [class.p50_us as f64, class.p99_us as f64, class.p99_9_us as f64]
}

fn entry_cpu_time(system: &BenchSystem) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for process_id in system.entry_process_ids() {
        total += cpu_time(process_id)?;
    }
    Ok(total)
}
