//! Compares selection policies under steady load, rate swings, failures and long work.

mod scenario;

use std::time::Duration;

use async_std::task;
use clap::Args;
use curranthollow::load::{LoadReport, run_load};
use futures_util::future::join;

use self::scenario::{Scenario, Workload};
use super::CommonOptions;
use super::fleet::ServerFleet;
use super::ideal;
use super::system::{BenchSystem, SystemSize};
use super::usage::{cpu_time, format_spread, median};

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

/// Key of the service under load in an entry's dump.
const SERVICE: &str = "bench/read";

/// Results of one run.
struct PolicyRun {
    /// p50, p99 and p99.9 of short work in milliseconds.
    latency_ms: [f64; 3],
    /// p99 of short work divided by that of the ideal shared queue.
    ideal_ratio: f64,
    /// See [`goodput_ratio`].
    goodput_ratio: f64,
    messages_per_request: f64,
    bytes_per_request: f64,
    max_demand: f64,
    /// CPU time of all entries per request in microseconds.
    cpu_us_per_request: f64,
    send_delay_p99_ms: f64,
    not_ok: u64,
}

pub async fn measure(common: &CommonOptions, arguments: &PolicyArguments) -> anyhow::Result<()> {
    let system_size = SystemSize {
        controls: arguments.controls,
        entries: arguments.entries,
        traffic_threads: arguments.threads,
    };
    let workload = Workload {
        total_slots: arguments.servers * arguments.slots,
        mean_service_time: Duration::from_micros(arguments.mean_us),
        sigma: arguments.sigma,
        run_seconds: arguments.seconds,
    };
    println!(
        "{} control, {} entries, {} servers x {} slots, lognormal mean {} us sigma {}, capacity {:.0}/s, {} s a run, seed {}",
        arguments.controls,
        arguments.entries,
        arguments.servers,
        arguments.slots,
        arguments.mean_us,
        arguments.sigma,
        workload.capacity(),
        arguments.seconds,
        common.seed
    );
    let mut system = BenchSystem::start(&common.binary, system_size).await?;
    let mut base_version = 0;
    system.put("bench", base_version, &workload.settings_document("credits")).await?;
    base_version += 1;
    system.wait_healthy().await?;
    let mut fleet = ServerFleet::spawn()?;
    fleet.start_servers(workload.server_group(
        arguments.servers,
        arguments.slots,
        system.traffic_addresses(),
    ))?;
    system.wait_servers_ready(SERVICE, arguments.servers).await?;
    println!("minimum / median / maximum of {} runs; latencies of short work in ms", common.runs);
    println!(
        "| scenario | offered/s | policy | p50 | p99 | p99.9 | p99 : ideal | goodput | messages/request | bytes/request | most demand at a server ({} slots) | entry CPU us/request | not ok | send delay p99 |",
        arguments.slots
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for scenario in &arguments.scenarios {
        let mut runs_by_policy: Vec<Vec<PolicyRun>> =
            arguments.policies.iter().map(|_| Vec::new()).collect();
        for run in 0..common.runs {
            for (policy, policy_runs) in arguments.policies.iter().zip(&mut runs_by_policy) {
                system.put("bench", base_version, &workload.settings_document(policy)).await?;
                base_version += 1;
                let seed = common.seed + run;
                policy_runs
                    .push(measure_run(&mut system, &mut fleet, &workload, *scenario, seed).await?);
            }
        }
        for (policy, runs) in arguments.policies.iter().zip(&runs_by_policy) {
            print_row(*scenario, &workload, policy, runs);
        }
    }
    Ok(())
}

async fn measure_run(
    system: &mut BenchSystem,
    fleet: &mut ServerFleet,
    workload: &Workload,
    scenario: Scenario,
    seed: u64,
) -> anyhow::Result<PolicyRun> {
    // Opens the connections and distributes the credits before the measurement.
    run_load(workload.load_options(
        Scenario::ShortOnly,
        system.traffic_addresses(),
        seed + 5000,
        0.7,
    ))
    .await;
    scenario.prepare(fleet)?;
    let load_options =
        workload.load_options(scenario, system.traffic_addresses(), seed, workload.run_seconds);
    let measuring_before = system.measuring_cost(SERVICE).await?;
    let cpu_before = entry_cpu_time(system)?;
    fleet.take_usage()?;
    let half_run = Duration::from_secs_f64(workload.run_seconds / 2.0);
    let (report, fault_result) = join(run_load(load_options.clone()), async {
        task::sleep(half_run).await;
        scenario.inject_fault(system, fleet).await
    })
    .await;
    fault_result?;
    let cpu_used = entry_cpu_time(system)?.saturating_sub(cpu_before);
    let max_demand = fleet.take_usage()?.iter().map(|usage| usage.max_demand).max().unwrap_or(0);
    let measuring_after = system.measuring_cost(SERVICE).await?;
    scenario.restore(system, fleet).await?;
    let requests: Vec<(Duration, Duration)> = load_options
        .schedule()
        .iter()
        .enumerate()
        .map(|(index, request)| {
            (request.due_at, load_options.service_time(index, request.class).unwrap_or_default())
        })
        .collect();
    let ideal_latencies = ideal::latencies(&requests, workload.total_slots);
    let mut short_latencies = Vec::new();
    for (latency, request) in ideal_latencies.iter().zip(load_options.schedule()) {
        if request.class == 0 {
            short_latencies.push(*latency);
        }
    }
    let ideal_p99_ms = ideal::quantile(&mut short_latencies, 0.99).as_secs_f64() * 1e3;
    let offered = report.offered as f64;
    let class = &report.classes[0];
    let latency_ms = [class.p50_us, class.p99_us, class.p99_9_us].map(|value| value as f64 / 1e3);
    Ok(PolicyRun {
        latency_ms,
        ideal_ratio: latency_ms[1] / ideal_p99_ms,
        goodput_ratio: goodput_ratio(&report, &requests, &ideal_latencies),
        messages_per_request: measuring_after.0.saturating_sub(measuring_before.0) as f64 / offered,
        bytes_per_request: measuring_after.1.saturating_sub(measuring_before.1) as f64 / offered,
        max_demand: max_demand as f64,
        cpu_us_per_request: cpu_used.as_secs_f64() * 1e6 / offered,
        send_delay_p99_ms: report.send_delay_p99_us as f64 / 1e3,
        not_ok: report.offered - report.counts.ok,
    })
}

/// Fraction of the requests that succeeded. With a rate swing, goodput during the swing divided by
/// that of the ideal shared queue in the same period.
fn goodput_ratio(
    report: &LoadReport,
    requests: &[(Duration, Duration)],
    ideal_latencies: &[Duration],
) -> f64 {
    let Some(swing) = report.swings.first() else {
        return report.counts.ok as f64 / report.offered as f64;
    };
    let swing_start = Duration::from_millis(swing.at_ms);
    let swing_duration = Duration::from_millis(swing.duration_ms);
    let finishes =
        requests.iter().zip(ideal_latencies).map(|((arrival, _), latency)| *arrival + *latency);
    let ideal_finished = finishes
        .filter(|finish| *finish >= swing_start && *finish < swing_start + swing_duration)
        .count();
    swing.goodput * swing_duration.as_secs_f64() / ideal_finished as f64
}

fn entry_cpu_time(system: &BenchSystem) -> anyhow::Result<Duration> {
    let mut total = Duration::ZERO;
    for process_id in system.entry_process_ids() {
        total += cpu_time(process_id)?;
    }
    Ok(total)
}

fn print_row(scenario: Scenario, workload: &Workload, policy: &str, runs: &[PolicyRun]) {
    let column = |value: &dyn Fn(&PolicyRun) -> f64, decimals| {
        let values: Vec<f64> = runs.iter().map(value).collect();
        format_spread(&values, decimals)
    };
    let send_delays_ms: Vec<f64> = runs.iter().map(|run| run.send_delay_p99_ms).collect();
    println!(
        "| {scenario:?} | {:.0} | {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} |",
        workload.rate(scenario),
        column(&|run| run.latency_ms[0], 1),
        column(&|run| run.latency_ms[1], 1),
        column(&|run| run.latency_ms[2], 1),
        column(&|run| run.ideal_ratio, 2),
        column(&|run| run.goodput_ratio, 3),
        column(&|run| run.messages_per_request, 3),
        column(&|run| run.bytes_per_request, 0),
        column(&|run| run.max_demand, 0),
        column(&|run| run.cpu_us_per_request, 0),
        column(&|run| run.not_ok as f64, 0),
        median(&send_delays_ms),
    );
}
