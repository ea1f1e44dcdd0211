//! Isolation between teams: tokens, and load that one team causes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::generated::operator::OutcomeName;
use curranthollow::operator::OperatorClient;
use curranthollow::stand_in::{ServiceTime, StandInOptions, StandInServer};

use super::client::Call;
use super::cluster::{ClusterOptions, DEFAULT_LEASE, TEAM_DOCUMENT, TestCluster, replace_request};
use super::support::{WAIT_LIMIT, wait_until};

/// Settings of the team `calm`, which must not be affected by the team `demo`.
const CALM_DOCUMENT: &str = r#"{ "team": "calm", "services": {
  "calm": { "match": { "path_prefix": "/calm" }, "deadline": "2s" } } }"#;

/// Concurrent callers of the team `demo` during the flood.
const FLOOD_CALLERS: usize = 300;

/// Requests of the team `calm` in each measurement.
const CALM_REQUESTS: usize = 200;

// Guards against accepting settings changes, settings reads or server announcements with the token of
// another team.
#[test]
fn wrong_tokens_are_refused() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    assert_eq!(cluster.create("calm", CALM_DOCUMENT, "calm-token").outcome, OutcomeName::Accepted);
    for token in ["calm-token", "wrong"] {
        let client = OperatorClient::new(cluster.controls(), Some(token.into()), WAIT_LIMIT);
        let change = replace_request("demo", 1, &format!("by-{token}"), TEAM_DOCUMENT);
        let reply = block_on(client.change(&change)).unwrap();
        assert_eq!(reply.outcome, OutcomeName::Refused, "{reply:?}");
        block_on(client.get("/settings/demo")).unwrap_err();
        block_on(client.get("/settings/root")).unwrap_err();
    }
    assert_eq!(cluster.version("demo"), 1);
    let intruder = cluster.add_server_with(StandInOptions {
        team: "demo".into(),
        service: "read".into(),
        server: "intruder".into(),
        token: "calm-token".into(),
        ..StandInOptions::default()
    });
    let calm_server = add_calm_server(&mut cluster);
    wait_until("the server with the right token is announced", || calm_server.announcements() > 2);
    assert_eq!(intruder.announcements(), 0);
    for _ in 0..20 {
        assert!(Call::get("/read", "read").send(cluster.entry(1)).is_served());
    }
    assert_eq!(intruder.runs().total, 0);
}

fn add_calm_server(cluster: &mut TestCluster) -> StandInServer {
    cluster.add_server_with(StandInOptions {
        team: "calm".into(),
        service: "calm".into(),
        server: "calm-1".into(),
        token: "calm-token".into(),
        service_time: ServiceTime::Fixed(Duration::from_millis(2)),
        ..StandInOptions::default()
    })
}

/// Sends the requests of the team `calm` one by one; returns the failures and the 99th percentile of the
/// latency.
fn measure_calm_team(cluster: &TestCluster) -> (Vec<String>, Duration) {
    let (mut failures, mut latencies) = (Vec::new(), Vec::new());
    for number in 0..CALM_REQUESTS {
        let entry = cluster.entry(1 + number % 2);
        let start = Instant::now();
        let answer = Call::get("/calm", &format!("calm-{number}")).send(entry);
        latencies.push(start.elapsed());
        if !answer.is_served() {
            failures.push(format!("{answer:?}"));
        }
    }
    latencies.sort();
    (failures, latencies[CALM_REQUESTS * 99 / 100])
}

// Guards against failed requests of one team while another team's slow servers and full queue cause
// refusals.
#[test]
fn flood_by_one_team_fails_no_request_of_another() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 2, proxied: false, lease: DEFAULT_LEASE });
    assert_eq!(cluster.create("calm", CALM_DOCUMENT, "calm-token").outcome, OutcomeName::Accepted);
    add_calm_server(&mut cluster);
    for entry in cluster.entries() {
        wait_until("calm serves", || Call::get("/calm", "first").send(entry).is_served());
    }
    let (failures, p99_alone) = measure_calm_team(&cluster);
    assert_eq!(failures, Vec::<String>::new());
    let stopped = AtomicBool::new(false);
    let refused = AtomicBool::new(false);
    let entries = cluster.entries();
    let flood = async {
        let mut callers = Vec::new();
        for caller in 0..FLOOD_CALLERS {
            let (entries, stopped, refused) = (&entries, &stopped, &refused);
            callers.push(async move {
                let entry = entries[caller % entries.len()];
                while !stopped.load(Ordering::SeqCst) {
                    let call = Call::get("/read?time_us=300000", &format!("flood-{caller}"));
                    let answer = call.send_async(entry).await;
                    if ["queue_full", "deadline_unreachable"].contains(&answer.code()) {
                        refused.store(true, Ordering::SeqCst);
                    }
                    // An overloaded server may also answer a request after its deadline.
                    let is_late = answer.code() == "deadline_exceeded";
                    assert!(answer.is_served() || answer.is_not_run() || is_late, "{answer:?}");
                    async_std::task::sleep(Duration::from_millis(20)).await;
                }
            });
        }
        futures_util::future::join_all(callers).await;
    };
    thread::scope(|scope| {
        scope.spawn(|| block_on(flood));
        // Catches a panic so that the flood is stopped in any case.
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            wait_until("requests of the flood are refused", || refused.load(Ordering::SeqCst));
            measure_calm_team(&cluster)
        }));
        stopped.store(true, Ordering::SeqCst);
        let (failures, p99_flooded) = result.unwrap();
        println!("p99 of the team calm: {p99_alone:?} alone, {p99_flooded:?} during the flood");
        assert_eq!(failures, Vec::<String>::new());
    });
}
