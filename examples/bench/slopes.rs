//! Cost of one process as a function of one size, with a fitted line.

use std::time::Duration;

use async_std::task;
use clap::{Args, ValueEnum};
use curranthollow::load::{LoadOptions, run_load};
use serde_json::{Map, Value, json};

use super::Session;
use super::fleet::{FleetGroup, ServerFleet};
use super::system::{BenchSystem, SystemSize};
use super::usage::{fit_line, processor_time, resident_memory, spread};

#[derive(Args)]
pub struct SlopeArguments {
    #[arg(long, value_enum)]
    by: SlopeSize,
    /// Sizes to measure; at least two.
    #[arg(long, value_delimiter = ',')]
    sizes: Vec<usize>,
    /// Length of one run in seconds.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum SlopeSize {
    /// Requests a second through one entry.
    Rate,
    /// Entries of an idle system.
    Entries,
    /// Announcing servers of an idle system with one entry.
    Servers,
    /// Services of an idle system with one entry.
    Services,
}

/// Names of the figures of one run, in the order of [`SlopeRun`].
const FIGURES: [&str; 5] = [
    "entry CPU ms/s",
    "entry memory MB",
    "control CPU ms/s",
    "control memory MB",
    "settings put ms",
];

type SlopeRun = [f64; FIGURES.len()];

pub async fn measure(session: &Session, options: &SlopeArguments) -> anyhow::Result<()> {
    println!("by {:?}, {} s a run, seed {}", options.by, options.seconds, session.seed);
    println!("minimum / median / maximum of {} runs", session.runs);
    println!("| {:?} | {} |", options.by, FIGURES.join(" | "));
    println!("|{}", "---|".repeat(FIGURES.len() + 1));
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); FIGURES.len()];
    for size in &options.sizes {
        let runs = measure_size(session, options, *size).await?;
        let mut cells = Vec::new();
        for figure in 0..FIGURES.len() {
            let values: Vec<f64> = runs.iter().map(|run| run[figure]).collect();
            cells.push(spread(&values, 2));
            points[figure].extend(values.iter().map(|value| (*size as f64, *value)));
        }
        println!("| {size} | {} |", cells.join(" | "));
    }
    for (name, points) in FIGURES.iter().zip(&points) {
        let (intercept, slope, residual) = fit_line(points);
        println!("{name} = {intercept:.3} + {slope:.5} x size, residual {residual:.3}");
    }
    Ok(())
}

async fn measure_size(
    session: &Session,
    options: &SlopeArguments,
    size: usize,
) -> anyhow::Result<Vec<SlopeRun>> {
    let of = |by, other| if options.by == by { size } else { other };
    let entries = of(SlopeSize::Entries, 1);
    let servers = of(SlopeSize::Servers, 8);
    let services = of(SlopeSize::Services, 1);
    let system_size = SystemSize { controls: 1, entries, traffic_threads: 2 };
    let mut system = BenchSystem::start(&session.binary, system_size).await?;
    system.put("bench", 0, &document(services)).await?;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::new()?;
    fleet.start(FleetGroup {
        team: "bench".into(),
        service: "service-0000".into(),
        count: servers,
        slots: 6,
        mean_us: 0,
        sigma: 0.0,
        entries: system.traffic(),
    })?;
    system.wait_servers("bench/service-0000", servers).await?;
    task::sleep(Duration::from_secs(2)).await;
    let entry = system.entry_ids()[0];
    let control = system.controls[0].id().unwrap_or_default();
    let mut runs = Vec::new();
    for run in 0..session.runs {
        let before = (processor_time(entry)?, processor_time(control)?);
        let duration = Duration::from_secs_f64(options.seconds);
        if options.by == SlopeSize::Rate {
            let load = LoadOptions {
                targets: system.traffic(),
                rate: size as f64,
                duration,
                seed: session.seed + run,
                ..LoadOptions::default()
            };
            run_load(load).await;
        } else {
            task::sleep(duration).await;
        }
        let used = (processor_time(entry)? - before.0, processor_time(control)? - before.1);
        let put = system.put("bench", run as i64 + 1, &document(services)).await?;
        runs.push([
            used.0.as_secs_f64() * 1e3 / options.seconds,
            resident_memory(entry)? as f64 / 1e6,
            used.1.as_secs_f64() * 1e3 / options.seconds,
            resident_memory(control)? as f64 / 1e6,
            put.as_secs_f64() * 1e3,
        ]);
    }
    Ok(runs)
}

fn document(services: usize) -> Value {
    let mut list = Map::new();
    for number in 0..services {
        let name = format!("service-{number:04}");
        let prefix = if number == 0 { "/short".to_owned() } else { format!("/{name}") };
        list.insert(name, json!({ "match": { "path_prefix": prefix } }));
    }
    json!({ "team": "bench", "services": list })
}
