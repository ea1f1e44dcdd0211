//! Requests that end every server that runs them.
//!
//! Each run verifies that, from 3 s after the third server ended, a deadly request is sent at most three
//! more times in all, that no other request is refused for it, and that other requests are served.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

use crate::harness::{call, document, exchange, parse_response, wait_for};
use crate::support::FleetProcesses;
use crate::work_server::{DEADLY_BODY, DEADLY_PREFIX, WorkServer};

const MEMBERS: usize = 3;
const ENTRIES: usize = 3;
const SERVERS: usize = 8;

/// Duration for which deadly requests arrive.
const DEADLY_TIME: Duration = Duration::from_secs(10);

/// Interval at which each client sends its deadly request.
const DEADLY_INTERVAL: Duration = Duration::from_millis(150);

/// Time after the end of the third server from which a deadly request is no longer sent on.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Number of sends of a deadly request that are still allowed after that time, in all.
const MAX_LATE_SENDS: usize = 3;

/// Number of servers after whose end a deadly request is known.
const CONVICTING_ENDS: usize = 3;

/// Time within which a known deadly request is refused: nothing is sent and nothing waited for.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Fault or planned work beside the deadly requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    EntryStop,
    LeaderKill,
}

/// Status of a request in quarantine.
const QUARANTINED_STATUS: u16 = 422;

/// Sends one request and returns the status of its response, 0 if there is none. The request id names
/// work and body.
fn send_request(entry: SocketAddr, route: &str, work: &str, body: &str) -> u16 {
    let text = format!(
        "POST /{route}/{work} HTTP/1.1\r\nhost: shop\r\nx-request-id: {work}-{body}-{}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        fastrand::u64(..),
        body.len()
    );
    exchange(entry, text.as_bytes()).map_or(0, |response| parse_response(&response).0)
}

/// Path of deadly request `number`: its server ends 80 ms after it began to run it. `bytes` is the size of
/// the response.
fn deadly_work(number: usize, bytes: usize) -> String {
    format!("{DEADLY_PREFIX}{number}/80/{bytes}")
}

/// Client that sends the same request until `stop` is set; returns how many responses had each
/// status.
fn repeat_request(
    entry: SocketAddr,
    route: &'static str,
    work: String,
    body: &'static str,
    stop: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<BTreeMap<u16, usize>> {
    let stop = Arc::clone(stop);
    std::thread::spawn(move || {
        let mut statuses = BTreeMap::new();
        while !stop.load(Ordering::Relaxed) {
            *statuses.entry(send_request(entry, route, &work, body)).or_default() += 1;
            std::thread::sleep(DEADLY_INTERVAL);
        }
        statuses
    })
}

/// Injects what happens beside the deadly requests, and ends it before returning.
fn inject(fleet: &mut FleetProcesses, beside: Beside) {
    match beside {
        Beside::Nothing => {}
        Beside::EntryStop => {
            fleet.entries[0].signal(Signal::TERM);
            wait_for("the entry to end", || fleet.entries[0].has_ended());
            fleet.entries[0].start();
        }
        Beside::LeaderKill => {
            let leads = |address: &SocketAddr| {
                call(*address, "GET", "/metrics", "").1.contains("control_leads 1")
            };
            let leader = fleet.member_metrics.iter().position(leads).expect("a member leads");
            fleet.members[leader].kill();
            std::thread::sleep(Duration::from_secs(1));
            fleet.restart_member(leader);
        }
    }
}

/// Verifies the number of sends of one deadly request.
fn check_sends(servers: &[WorkServer], number: usize) {
    let prefix = format!("{DEADLY_PREFIX}{number}");
    let mut sends = Vec::new();
    for run in servers.iter().flat_map(WorkServer::runs) {
        if run.deadly && run.work == prefix {
            sends.push(run.at);
        }
    }
    sends.sort();
    let mut ends: Vec<_> = servers.iter().flat_map(WorkServer::ends).collect();
    ends.sort();
    println!("{prefix}: {} sends, {} ends of servers in all", sends.len(), ends.len());
    // With two deadly requests, each needs its own three ends: the third one that it caused itself
    // is its third send or later.
    let third_send = sends.get(CONVICTING_ENDS - 1).expect("three servers ran the request");
    let third_end = ends.iter().find(|end| *end >= third_send).expect("that server ended");
    let late = sends.iter().filter(|at| **at > *third_end + STABLE_TIME).count();
    assert!(late <= MAX_LATE_SENDS, "{prefix}: sent {late} times after {STABLE_TIME:?}");
}

/// Guards against one request that ends server after server, because every entry sends it on again.
#[parameterized(
    idempotent = { "read", 1, 2, Beside::Nothing },
    at_most_once = { "book", 1, 2, Beside::Nothing },
    two_requests = { "read", 2, 2, Beside::Nothing },
    entry_stop = { "read", 1, 2, Beside::EntryStop },
    leader_kill = { "read", 1, 2, Beside::LeaderKill },
    long_responses = { "read", 1, 400_000, Beside::Nothing },
)]
fn a_deadly_request_is_quarantined(
    route: &'static str,
    deadly_count: usize,
    bytes: usize,
    beside: Beside,
) {
    let mut fleet = FleetProcesses::start(MEMBERS, &[None; ENTRIES], Duration::from_secs(4));
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &document(1)));
    let servers = fleet.start_servers(SERVERS);
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.address).collect();
    for entry in &entries {
        wait_for("a served request", || send_request(*entry, "read", "w/0/2", "") == 200);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut deadly_clients = Vec::new();
    let mut other_clients = Vec::new();
    for entry in &entries {
        for number in 0..deadly_count {
            let work = deadly_work(number, bytes);
            deadly_clients.push(repeat_request(*entry, route, work, DEADLY_BODY, &stop));
        }
        // The same path with another body, and requests of both routes that servers run meanwhile.
        for (route, work, body) in [
            (route, deadly_work(0, bytes), "harmless"),
            ("read", format!("w/60/{}", bytes.max(200)), ""),
            ("book", "w/60/200".into(), "deposit"),
            ("read", "w/20/20".into(), DEADLY_BODY),
        ] {
            other_clients.push((route, repeat_request(*entry, route, work, body, &stop)));
        }
    }
    let end = Instant::now() + DEADLY_TIME;
    std::thread::sleep(Duration::from_millis(700));
    inject(&mut fleet, beside);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));

    let mut refusals = Vec::new();
    for entry in &entries {
        for number in 0..deadly_count {
            let started = Instant::now();
            let status = send_request(*entry, route, &deadly_work(number, bytes), DEADLY_BODY);
            refusals.push((status, started.elapsed()));
        }
    }
    stop.store(true, Ordering::Relaxed);
    let mut statuses = BTreeMap::<u16, usize>::new();
    for (route, client) in other_clients {
        for (status, count) in client.join().expect("the client does not panic") {
            println!("other requests of {route}: {count} with status {status}");
            *statuses.entry(status).or_default() += count;
        }
    }
    for client in deadly_clients {
        println!("deadly requests: {:?}", client.join().expect("the client does not panic"));
    }
    println!("refusals {refusals:?}");
    for number in 0..deadly_count {
        check_sends(&servers, number);
    }
    for (status, elapsed) in &refusals {
        assert_eq!(*status, QUARANTINED_STATUS, "status of the deadly request");
        assert!(*elapsed < REFUSAL_TIME, "the deadly request was refused after {elapsed:?}");
    }
    assert_eq!(statuses.get(&QUARANTINED_STATUS), None, "other requests: {statuses:?}");
    // A request that was sent before its refusal gets 502, as one whose server ended beneath it.
    for line in fleet.entries.iter().flat_map(|entry| entry.log_lines("request_quarantined")) {
        let is_deadly = line.contains(&format!("request={DEADLY_PREFIX}"));
        assert!(is_deadly && line.contains(&format!("-{DEADLY_BODY}-")), "refused: {line}");
    }
    for entry in &entries {
        wait_for("a served request", || send_request(*entry, "read", "w/0/2", "") == 200);
        for work in ["w/5/20", &deadly_work(0, bytes)] {
            assert_eq!(send_request(*entry, route, work, "harmless"), 200, "{work}");
        }
    }
}
