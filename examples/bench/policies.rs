//! Selection policies under steady load, swings, failures and long work.

mod scenario;

use std::time::Duration;

use async_std::task;
use clap::Args;
use curranthollow::load::{LoadReport, run_load};
use futures_util::future::join;

use self::scenario::{Scenario, Workload};
use super::Session;
use super::fleet::ServerFleet;
use super::ideal;
use super::system::{BenchSystem, SystemSize};
use super::usage::{median, processor_time, spread};

#[derive(Args)]
pub struct PolicyArguments {
    #[arg(
        long,
        value_delimiter = ',',
        default_values_t = ["random", "round_robin", "least_in_flight", "two_choices", "credits"]
            .map(str::to_owned)
    )]
    policies: Vec<String>,
    #[arg(long, value_enum, value_delimiter = ',', required = true)]
    scenarios: Vec<Scenario>,
    #[arg(long, default_value_t = 3)]
    controls: usize,
    #[arg(long, default_value_t = 13)]
    entries: usize,
    #[arg(long, default_value_t = 15)]
    servers: usize,
    #[arg(long, default_value_t = 6)]
    slots: usize,
    /// Mean service time of short work in microseconds.
    #[arg(long, default_value_t = 20_000)]
    mean_us: u64,
    /// Standard deviation of the logarithm of the service time of short work.
    #[arg(long, default_value_t = 0.8)]
    sigma: f64,
    /// Length of one run in seconds.
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

/// Team and service under load, as named in the dump.
const SERVICE: &str = "bench/read";

/// Figures of one run.
struct PolicyRun {
    /// p50, p99 and p99.9 of short work in milliseconds.
    latency: [f64; 3],
    /// p99 of short work divided by that of the ideal shared queue.
    ideal_ratio: f64,
    /// Successful requests divided by those offered, or goodput in the swing by that of the ideal
    /// shared queue.
    goodput: f64,
    messages: f64,
    bytes: f64,
    max_demand: f64,
    /// Processor time of all entries per request in microseconds.
    cpu: f64,
    send_delay_ms: f64,
    bad: u64,
}

pub async fn measure(session: &Session, options: &PolicyArguments) -> anyhow::Result<()> {
    let size = SystemSize {
        controls: options.controls,
        entries: options.entries,
        traffic_threads: options.threads,
    };
    let work = Workload {
        slots: options.servers * options.slots,
        mean: Duration::from_micros(options.mean_us),
        sigma: options.sigma,
        seconds: options.seconds,
    };
    println!(
        "{} control, {} entries, {} servers x {} slots, lognormal mean {} us sigma {}, capacity {:.0}/s, {} s a run, seed {}",
        options.controls,
        options.entries,
        options.servers,
        options.slots,
        options.mean_us,
        options.sigma,
        work.capacity(),
        options.seconds,
        session.seed
    );
    let mut system = BenchSystem::start(&session.binary, size).await?;
    let mut version = 0;
    system.put("bench", version, &work.document("credits")).await?;
    version += 1;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::new()?;
    fleet.start(work.group(options.servers, options.slots, system.traffic()))?;
    system.wait_servers(SERVICE, options.servers).await?;
    println!("minimum / median / maximum of {} runs; latencies of short work in ms", session.runs);
    println!(
        "| scenario | offered/s | policy | p50 | p99 | p99.9 | p99 : ideal | goodput | messages/request | bytes/request | most demand at a server ({} slots) | entry CPU us/request | not ok | send delay p99 |",
        options.slots
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in &options.scenarios {
        let mut rows: Vec<Vec<PolicyRun>> = options.policies.iter().map(|_| Vec::new()).collect();
        for run in 0..session.runs {
            for (policy, row) in options.policies.iter().zip(&mut rows) {
                system.put("bench", version, &work.document(policy)).await?;
                version += 1;
                let seed = session.seed + run;
                row.push(run_once(&mut system, &mut fleet, &work, *scenario, seed).await?);
            }
        }
        for (policy, runs) in options.policies.iter().zip(&rows) {
            print_row(*scenario, &work, policy, runs);
        }
    }
    Ok(())
}

async fn run_once(
    system: &mut BenchSystem,
    fleet: &mut ServerFleet,
    work: &Workload,
    scenario: Scenario,
    seed: u64,
) -> anyhow::Result<PolicyRun> {
    // Connections are opened and credits are spread before the measurement.
    run_load(work.load(Scenario::ShortOnly, system.traffic(), seed + 5000, 0.7)).await;
    scenario.prepare(fleet)?;
    let options = work.load(scenario, system.traffic(), seed, work.seconds);
    let before = system.measuring(SERVICE).await?;
    let used_before = entry_time(system)?;
    fleet.slots()?;
    let half = Duration::from_secs_f64(work.seconds / 2.0);
    let (report, disturbed) = join(run_load(options.clone()), async {
        task::sleep(half).await;
        scenario.disturb(system, fleet).await
    })
    .await;
    disturbed?;
    let used = entry_time(system)?.saturating_sub(used_before);
    let most = fleet.slots()?.iter().map(|server| server.max_demand).max().unwrap_or(0);
    let after = system.measuring(SERVICE).await?;
    scenario.restore(system, fleet).await?;
    let requests: Vec<(Duration, Duration)> = options
        .schedule()
        .iter()
        .enumerate()
        .map(|(number, request)| {
            (request.due_at, options.service_time(number, request.class).unwrap_or_default())
        })
        .collect();
    let ideal = ideal::latencies(&requests, work.slots);
    let mut short = Vec::new();
    for (latency, request) in ideal.iter().zip(options.schedule()) {
        if request.class == 0 {
            short.push(*latency);
        }
    }
    let ideal_p99 = ideal::quantile(&mut short, 0.99).as_secs_f64() * 1e3;
    let offered = report.offered as f64;
    let class = &report.classes[0];
    let latency = [class.p50_us, class.p99_us, class.p99_9_us].map(|value| value as f64 / 1e3);
    Ok(PolicyRun {
        latency,
        ideal_ratio: latency[1] / ideal_p99,
        goodput: goodput(&report, &requests, &ideal),
        messages: after.0.saturating_sub(before.0) as f64 / offered,
        bytes: after.1.saturating_sub(before.1) as f64 / offered,
        max_demand: most as f64,
        cpu: used.as_secs_f64() * 1e6 / offered,
        send_delay_ms: report.send_delay_p99_us as f64 / 1e3,
        bad: report.offered - report.counts.ok,
    })
}

/// Part of the requests that ended well, or in a swing relative to the ideal queue in that period.
fn goodput(report: &LoadReport, requests: &[(Duration, Duration)], ideal: &[Duration]) -> f64 {
    let Some(swing) = report.swings.first() else {
        return report.counts.ok as f64 / report.offered as f64;
    };
    let start = Duration::from_millis(swing.at_ms);
    let length = Duration::from_millis(swing.duration_ms);
    let ends = requests.iter().zip(ideal).map(|((at, _), latency)| *at + *latency);
    let count = ends.filter(|end| *end >= start && *end < start + length).count();
    swing.goodput * length.as_secs_f64() / count as f64
}

fn entry_time(system: &BenchSystem) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for process in system.entry_ids() {
        total += processor_time(process)?;
    }
    Ok(total)
}

fn print_row(scenario: Scenario, work: &Workload, policy: &str, runs: &[PolicyRun]) {
    let column = |value: &dyn Fn(&PolicyRun) -> f64, digits| {
        let values: Vec<f64> = runs.iter().map(value).collect();
        spread(&values, digits)
    };
    let delays: Vec<f64> = runs.iter().map(|run| run.send_delay_ms).collect();
    println!(
        "| {scenario:?} | {:.0} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} |",
        work.rate(scenario),
        column(&|run| run.latency[0], 1),
        column(&|run| run.latency[1], 1),
        column(&|run| run.latency[2], 1),
        column(&|run| run.ideal_ratio, 2),
        column(&|run| run.goodput, 3),
        column(&|run| run.messages, 3),
        column(&|run| run.bytes, 0),
        column(&|run| run.max_demand, 0),
        column(&|run| run.cpu, 0),
        column(&|run| run.bad as f64, 0),
        median(&delays),
    );
}
