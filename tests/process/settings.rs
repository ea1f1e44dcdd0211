//! Settings changes: one change is accepted per version, each change id has one outcome, and a change is
//! in force when `put` returns.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use curranthollow::generated::operator::OutcomeName;

use super::client::{Answer, Call};
use super::cluster::{
    ClusterOptions, ROOT_TOKEN, SHORT_LEASE, TEAM_TOKEN, TestCluster, numbered_document,
    replace_request, timed,
};
use super::support::{seed, wait_until};

/// Settings changes before all control processes are restarted.
const CHANGE_COUNT: u64 = 400;

/// Length of a comment in each document, so that the changes exceed the 16 MiB at which the log is
/// compacted.
const PADDING_BYTES: usize = 48 * 1024;

/// Maximum time from a restart of all control processes to the first confirmed answer.
const RESTART_LIMIT: Duration = Duration::from_secs(10);

/// Sends a change and, once it is committed, closes the connection without reading the answer.
fn send_without_reading_answer(cluster: &TestCluster, name: &str, body: &[u8]) {
    let mut stream = TcpStream::connect(cluster.nodes[name].operator).unwrap();
    let length = body.len();
    write!(
        stream,
        "PUT /settings HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TEAM_TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n"
    )
    .unwrap();
    stream.write_all(body).unwrap();
    // The process must have received the change before the connection is closed.
    wait_until("the change is committed", || {
        cluster.status().is_some_and(|status| status.branches.get("demo") == Some(&2))
    });
}

// Guards against accepting two changes of one version, losing the outcome of a change and reverting an
// accepted change.
#[test]
fn races_resends_and_restarts_keep_each_outcome() {
    let mut cluster = TestCluster::start_without_settings(ClusterOptions {
        entries: 1,
        proxied: false,
        lease: SHORT_LEASE,
    });
    cluster.put_initial_settings(SHORT_LEASE);
    let unanswered_change = replace_request("demo", 1, "lost-answer", &numbered_document(0));
    let leader = cluster.leader();
    send_without_reading_answer(
        &cluster,
        &leader,
        &serde_json::to_vec(&unanswered_change).unwrap(),
    );
    cluster.kill(&leader);
    let resend = |cluster: &TestCluster, when: &str| {
        let reply = block_on(cluster.client(TEAM_TOKEN).change(&unanswered_change)).unwrap();
        assert_eq!((reply.outcome, reply.version), (OutcomeName::Accepted, Some(2)), "{when}");
    };
    resend(&cluster, "after the leader was killed");
    cluster.restart(&leader);
    let mut version = race_two_operators(&cluster, 2);
    resend(&cluster, "after later changes");
    for number in 0..CHANGE_COUNT {
        let document = padded_document(number);
        let reply = cluster.put("demo", version, &format!("many-{number}"), &document).unwrap();
        assert_eq!(reply.outcome, OutcomeName::Accepted);
        version += 1;
    }
    for name in cluster.process_names("control") {
        assert!(is_compacted(&cluster, &name), "{name} has no snapshot");
        cluster.kill(&name);
    }
    for name in cluster.process_names("control") {
        cluster.restart(&name);
    }
    let (restored_version, elapsed) = timed(|| cluster.version("demo"));
    println!("restart after {CHANGE_COUNT} changes took {elapsed:?}");
    assert_eq!(restored_version, version);
    assert!(elapsed < RESTART_LIMIT, "restart took {elapsed:?}");
    resend(&cluster, "after a restart of all processes and compaction");
    let body = block_on(cluster.client(ROOT_TOKEN).get("/settings/demo")).unwrap();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(body["document"], padded_document(CHANGE_COUNT - 1));
}

fn padded_document(number: u64) -> String {
    format!("// {}\n{}", "x".repeat(PADDING_BYTES), numbered_document(1000 + number))
}

fn is_compacted(cluster: &TestCluster, name: &str) -> bool {
    let files = std::fs::read_dir(cluster.data_folder(name)).unwrap();
    let mut names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    names.any(|name| name.ends_with(".snapshot"))
}

/// Lets two operators change the same version concurrently, ten times; returns the last version.
fn race_two_operators(cluster: &TestCluster, first_version: u64) -> u64 {
    for round in 0..10 {
        let base = first_version + round;
        let outcomes = thread::scope(|scope| {
            let operators: Vec<_> = (0..2)
                .map(|operator| {
                    let id = format!("race-{}-{round}-{operator}", seed());
                    let document = numbered_document(round * 2 + operator);
                    scope.spawn(move || cluster.put("demo", base, &id, &document).unwrap())
                })
                .collect();
            operators.into_iter().map(|operator| operator.join().unwrap()).collect::<Vec<_>>()
        });
        let won = outcomes.iter().filter(|reply| reply.outcome == OutcomeName::Accepted).count();
        let lost = outcomes.iter().filter(|reply| reply.outcome == OutcomeName::Conflict).count();
        assert_eq!((won, lost), (1, 1), "{outcomes:?}");
        for reply in outcomes {
            assert_eq!(reply.version, Some(base as i64 + 1));
        }
    }
    first_version + 10
}

/// Whether the entry has a service for the request: without servers it answers `no_server`, and without
/// the service `no_service`.
fn is_known_service(answer: &Answer) -> bool {
    answer.code() == "no_server"
}

// Guards against an entry that still uses older settings after `put` has returned.
#[test]
fn change_is_in_force_when_put_returns() {
    let cluster = TestCluster::start_without_settings(ClusterOptions {
        entries: 3,
        proxied: false,
        lease: SHORT_LEASE,
    });
    cluster.put_initial_settings(SHORT_LEASE);
    wait_until("all entries are healthy", || {
        cluster.process_names("entry").iter().all(|name| cluster.is_healthy(name))
    });
    for number in 1..=20 {
        cluster
            .put("demo", number, &format!("force-{number}"), &numbered_document(number))
            .unwrap();
        for entry in cluster.entries() {
            let new = Call::get(&format!("/moved-{number}"), "new").send(entry);
            assert!(is_known_service(&new), "{entry} {number}: {new:?}");
            let old = Call::get(&format!("/moved-{}", number - 1), "old").send(entry);
            assert_eq!(old.code(), "no_service", "{entry} {number}: {old:?}");
        }
    }
    let frozen = cluster.entry(2);
    cluster.freeze("entry-2");
    // The kernel accepts the connection, so the process reads the request once it is unfrozen.
    let late = thread::spawn(move || Call::get("/moved-20", "late").send(frozen));
    let (reply, elapsed) =
        timed(|| cluster.put("demo", 21, "while-frozen", &numbered_document(21)).unwrap());
    assert_eq!(reply.outcome, OutcomeName::Accepted);
    assert!(elapsed > Duration::from_millis(500), "put did not wait for the lease: {elapsed:?}");
    assert!(elapsed < Duration::from_secs(5), "put waited for {elapsed:?}");
    for number in [1, 3] {
        assert!(is_known_service(&Call::get("/moved-21", "new").send(cluster.entry(number))));
    }
    cluster.unfreeze("entry-2");
    let answer = late.join().unwrap();
    assert!(["settings_stale", "no_service"].contains(&answer.code()), "{answer:?}");
    wait_until("the unfrozen entry has the change", || {
        is_known_service(&Call::get("/moved-21", "new").send(frozen))
    });
}
