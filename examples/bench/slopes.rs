//! Measures the cost of one process as a function of one size and fits a line to it.

use std::time::Duration;

use async_std::task;
use clap::{Args, ValueEnum};
use curranthollow::load::{LoadOptions, run_load};
use serde_json::{Map, Value, json};

use super::CommonOptions;
use super::fleet::{ServerFleet, ServerGroup};
use super::system::{BenchSystem, SystemSize};
use super::usage::{cpu_time, fit_line, format_spread, resident_memory};

#[derive(Args)]
pub struct SlopeArguments {
    #[arg(long, value_enum)]
    by: VariedSize,
    /// Sizes to measure; at least two.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Length of one run in seconds.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum VariedSize {
    /// Requests per second through one entry.
    Rate,
    /// Entries of an idle system.
    Entries,
    /// Announcing servers of an idle system with one entry.
    Servers,
    /// Services of an idle system with one entry.
    Services,
}

/// Names of the metrics of one run, in the order of [`RunMetrics`].
const METRIC_NAMES: [&str; 5] = [
    "entry CPU ms/s",
    "entry memory MB",
    "control CPU ms/s",
    "control memory MB",
    "settings put ms",
];

type RunMetrics = [f64; METRIC_NAMES.len()];

pub async fn measure(common: &CommonOptions, arguments: &SlopeArguments) -> anyhow::Result<()> {
    println!("by {:?}, {} s a run, seed {}", arguments.by, arguments.seconds, common.seed);
    println!("minimum / median / maximum of {} runs", common.runs);
    println!("| {:?} | {} |", arguments.by, METRIC_NAMES.join(" | "));
    println!("|{}", "---|".repeat(METRIC_NAMES.len() + 1));
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); METRIC_NAMES.len()];
    for size in &arguments.sizes {
        let runs = measure_size(common, arguments, *size).await?;
        let mut cells = Vec::new();
        for metric in 0..METRIC_NAMES.len() {
            let values: Vec<f64> = runs.iter().map(|run| run[metric]).collect();
            cells.push(format_spread(&values, 2));
            points[metric].extend(values.iter().map(|value| (*size as f64, *value)));
        }
        println!("| {size} | {} |", cells.join(" | "));
    }
    for (name, points) in METRIC_NAMES.iter().zip(&points) {
        let (intercept, slope, residual) = fit_line(points);
        println!("{name} = {intercept:.3} + {slope:.5} x size, residual {residual:.3}");
    }
    Ok(())
}

async fn measure_size(
    common: &CommonOptions,
    arguments: &SlopeArguments,
    size: usize,
) -> anyhow::Result<Vec<RunMetrics>> {
    let size_or = |by, default| if arguments.by == by { size } else { default };
    let entries = size_or(VariedSize::Entries, 1);
    let servers = size_or(VariedSize::Servers, 8);
    let services = size_or(VariedSize::Services, 1);
    let system_size = SystemSize { controls: 1, entries, traffic_threads: 2 };
    let mut system = BenchSystem::start(&common.binary, system_size).await?;
    system.put("bench", 0, &settings_document(services)).await?;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::spawn()?;
    fleet.start_servers(ServerGroup {
        team: "bench".into(),
        service: "service-0000".into(),
        count: servers,
        slots: 6,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic_addresses(),
    })?;
    system.wait_servers_ready("bench/service-0000", servers).await?;
    task::sleep(Duration::from_secs(2)).await;
    let entry_process_id = system.entry_process_ids()[0];
    let control_process_id = system.controls[0].process_id().unwrap_or_default();
    let mut runs = Vec::new();
    for run in 0..common.runs {
        let cpu_before = (cpu_time(entry_process_id)?, cpu_time(control_process_id)?);
        let duration = Duration::from_secs_f64(arguments.seconds);
        if arguments.by == VariedSize::Rate {
            let load_options = LoadOptions {
                targets: system.traffic_addresses(),
                rate: size as f64,
                duration,
                seed: common.seed + run,
                ..LoadOptions::default()
            };
            run_load(load_options).await;
        } else {
            task::sleep(duration).await;
        }
        let cpu_used = (
            cpu_time(entry_process_id)? - cpu_before.0,
            cpu_time(control_process_id)? - cpu_before.1,
        );
        let put_time = system.put("bench", run as i64 + 1, &settings_document(services)).await?;
        runs.push([
            cpu_used.0.as_secs_f64() * 1e3 / arguments.seconds,
            resident_memory(entry_process_id)? as f64 / 1e6,
            cpu_used.1.as_secs_f64() * 1e3 / arguments.seconds,
            resident_memory(control_process_id)? as f64 / 1e6,
            put_time.as_secs_f64() * 1e3,
        ]);
    }
    Ok(runs)
}

fn settings_document(services: usize) -> Value {
    let mut service_map = Map::new();
    for number in 0..services {
        let name = format!("service-{number:04}");
        let prefix = if number == 0 { "/short".to_owned() } else { format!("/{name}") };
        service_map.insert(name, json!({ "match": { "path_prefix": prefix } }));
    }
    json!({ "team": "bench", "services": service_map })
}
