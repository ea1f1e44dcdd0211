//! Load generator: schedules, and outcomes of requests to stand-in servers.

use std::time::Duration;

use async_std::task::{self, block_on};
use curranthollow::load::{
    ArrivalProcess, LoadClass, LoadOptions, LoadOutcome, LoadReport, OutcomeCounts, RateSwing,
    SchedulePlan, run_id, run_load,
};
use curranthollow::stand_in::{ServiceTime, StandInMode, StandInOptions, StandInServer};

fn start_server(slots: usize) -> StandInServer {
    let options = StandInOptions {
        slots,
        service_time: ServiceTime::Fixed(Duration::from_millis(2)),
        ..StandInOptions::default()
    };
    block_on(StandInServer::start(options)).expect("the server listens")
}

fn options(servers: &[&StandInServer], requests: usize) -> LoadOptions {
    LoadOptions {
        targets: servers.iter().map(|server| server.address()).collect(),
        rate: 2000.0,
        duration: Duration::from_secs(60),
        max_requests: requests,
        // Below the accept backlog of a listener: connections beyond it are delayed by whole
        // seconds.
        connections_per_target: 64,
        timeout: Duration::from_secs(20),
        ..LoadOptions::default()
    }
}

fn plan(arrival_process: ArrivalProcess, swings: Vec<RateSwing>) -> SchedulePlan {
    SchedulePlan {
        seed: 7,
        rate: 1000.0,
        arrival_process,
        duration: Duration::from_secs(10),
        swings,
        shares: vec![0.9, 0.1],
        max_requests: 1_000_000,
    }
}

fn count_between(plan: &SchedulePlan, from_ms: u64, to_ms: u64) -> usize {
    let range = Duration::from_millis(from_ms)..Duration::from_millis(to_ms);
    plan.requests().iter().filter(|request| range.contains(&request.due_at)).count()
}

/// Guards against a schedule whose rate or class shares differ from the plan; each swing must start
/// and end on time.
#[test]
fn schedule_follows_swings() {
    let swing = RateSwing {
        start: Duration::from_secs(4),
        factor: 3.0,
        duration: Duration::from_millis(500),
    };
    let constant = plan(ArrivalProcess::Constant, vec![swing]);
    assert_eq!(count_between(&constant, 3900, 4000), 100);
    assert!(count_between(&constant, 4000, 4005).abs_diff(15) <= 1);
    assert!(count_between(&constant, 4000, 4500).abs_diff(1500) <= 1);
    assert!(count_between(&constant, 4500, 4600).abs_diff(100) <= 1);
    // The tolerances are four standard deviations of the Poisson distributed counts.
    let poisson = plan(ArrivalProcess::Poisson, vec![swing]);
    assert!(count_between(&poisson, 0, 4000).abs_diff(4000) < 4 * 64);
    assert!(count_between(&poisson, 4000, 4500).abs_diff(1500) < 4 * 39);
    assert_eq!(poisson.requests(), poisson.requests());
    let long_count = poisson.requests().iter().filter(|request| request.class == 1).count();
    assert!(long_count.abs_diff(1100) < 4 * 33);
}

/// Guards against requests that are lost, run more than once or not verified.
#[test]
fn each_request_runs_once() {
    let servers = [&start_server(6), &start_server(6)];
    let mut options = options(&servers, 400);
    let upload = LoadClass::long_transfer(0.2, 300_000, None);
    let download = LoadClass::long_transfer(0.2, 0, Some(300_000));
    options.classes = vec![LoadClass::short_read(), upload, download];
    let report = block_on(run_load(options));
    assert_eq!(report.counts, OutcomeCounts { ok: 400, ..OutcomeCounts::default() });
    for number in 0..400 {
        let id = run_id(report.seed, number);
        let runs: u32 = servers.iter().map(|server| server.runs().count_by_run_id(&id)).sum();
        assert_eq!(runs, 1, "request {number}");
    }
}

/// Guards against an overload that is visible neither at the server nor in the latencies.
#[test]
fn overload_is_measured() {
    let server = start_server(1);
    let report = block_on(run_load(options(&[&server], 200)));
    assert_eq!(report.counts.ok, 200);
    let slots = server.slots();
    assert!(slots.max_waiting > 10, "{slots:?}");
    // 200 requests of 2 ms in one slot take at least 400 ms; they are due within about 100 ms.
    assert!(report.elapsed_ms >= 400);
    assert!(report.classes[0].p99_us > 100_000, "{report:?}");
}

/// Sends five requests to a server in the given mode; a server in stall mode is stopped once it has
/// received all of them.
fn run_against_mode(mode: StandInMode) -> (LoadReport, StandInServer) {
    let server = start_server(6);
    server.set_mode(mode);
    let run = task::spawn(run_load(options(&[&server], 5)));
    block_on(async {
        while mode == StandInMode::Stall && server.runs().total < 5 {
            task::sleep(Duration::from_millis(5)).await;
        }
        if mode == StandInMode::Stall {
            server.stop().await;
        }
        (run.await, server)
    })
}

/// Guards against an outcome that misstates whether the request was run.
#[yare::parameterized(
    normal = { StandInMode::Normal, LoadOutcome::Ok, 5 },
    refuse = { StandInMode::Refuse, LoadOutcome::NotRun, 0 },
    fail_fast = { StandInMode::FailFast { status: 500 }, LoadOutcome::Failed, 5 },
    stall = { StandInMode::Stall, LoadOutcome::Unknown, 5 },
)]
fn outcome_matches_the_server_mode(mode: StandInMode, outcome: LoadOutcome, runs: u64) {
    let (report, server) = run_against_mode(mode);
    assert_eq!(report.outcomes, vec![outcome; 5]);
    assert_eq!(server.runs().total, runs);
}

/// Guards against reporting a failed connection as a request that may have been run.
#[test]
fn unreachable_target_is_not_run() {
    let server = start_server(6);
    let options = options(&[&server], 3);
    block_on(server.stop());
    assert_eq!(block_on(run_load(options)).counts.not_run, 3);
}
