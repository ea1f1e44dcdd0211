//! Soak test with fault injection: fleet processes are killed, paused, stopped and reloaded, servers
//! break their connections, documents change, and deadly requests end the servers that run them. All of
//! it comes in series and overlaps. A seed selects the sequence.
//!
//! Each run verifies that no at-most-once request was executed twice, that no request reported as not
//! executed was executed, that no response belongs to another request or is a part of one, that no
//! acknowledged document was lost, that a deadly request is no longer sent once it is known, that no
//! other request is refused for it, that servers which leave or ask for a pause are left alone, and that
//! the fleet serves requests again.
//!
//! `SOAK_SEEDS=10..60` runs other seeds, `SOAK_ENTRIES=60` with another number of entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use yare::parameterized;

use crate::fault_series::FaultSeries;
use crate::harness::{call, document, exchange, parse_response, wait_for};
use crate::planned_client::{RequestEnd, SoakClient, SoakRequest};
use crate::repeat_client::{RepeatedRequest, RepeatedTraffic, check_deadly_sends};
use crate::support::{FleetChild, FleetProcesses, run_given_seeds};
use crate::work_server::{StatementKind, StatementSpan, WorkServer};

const MEMBERS: usize = 5;
const ENTRIES: usize = 3;
const SERVERS: usize = 8;
const CLIENTS: usize = 8;
const BOOKING_CLIENTS: usize = 3;

/// Duration of the faults of one run.
const FAULT_TIME: Duration = Duration::from_secs(14);

/// Time without faults at the end: long enough to see whether a known deadly request is still sent.
const QUIET_TIME: Duration = Duration::from_secs(4);

const GRACE: Duration = Duration::from_secs(4);

const DOCUMENT_PATH: &str = "/.curranthollow/document";

/// Puts documents in series until `stop` is set, and verifies that acknowledged ones are read. Returns
/// the last acknowledged version and what was broken.
fn change_documents(
    operators: &[SocketAddr],
    mut random: fastrand::Rng,
    stop: &AtomicBool,
) -> (u64, Vec<String>) {
    let (mut version, mut acknowledged, mut broken) = (1, 1, Vec::new());
    while !stop.load(Ordering::Relaxed) {
        for _ in 0..random.u32(1..4) {
            version += 1;
            let text = document(version);
            let mut statuses = operators.iter().map(|at| call(*at, "PUT", DOCUMENT_PATH, &text).0);
            if statuses.any(|status| status == 200) {
                acknowledged = version;
            }
        }
        let answers = operators.iter().map(|at| call(*at, "GET", DOCUMENT_PATH, ""));
        let read =
            answers.filter(|(status, _)| *status == 200).find_map(|(_, body)| version_of(&body));
        if read.is_some_and(|read| read < acknowledged) {
            broken.push(format!("read version {read:?}, but {acknowledged} was acknowledged"));
        }
        std::thread::sleep(Duration::from_millis(random.u64(0..600)));
    }
    (acknowledged, broken)
}

fn version_of(text: &str) -> Option<u64> {
    serde_json::from_str::<serde_json::Value>(text).ok()?["version"].as_u64()
}

/// Sends at-most-once requests until `stop` is set; returns the response status of each request id, 0
/// for no response.
fn send_bookings(
    traffic: SocketAddr,
    stop: &AtomicBool,
    next: &AtomicU32,
) -> BTreeMap<String, u16> {
    let mut answers = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("b{}", next.fetch_add(1, Ordering::Relaxed));
        let text = format!(
            "POST /book/w/0/2 HTTP/1.1\r\nhost: shop\r\nx-request-id: {id}\r\n\
             x-request-deadline: 1500\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let status =
            exchange(traffic, text.as_bytes()).map_or(0, |answer| parse_response(&answer).0);
        answers.insert(id, status);
        std::thread::sleep(Duration::from_millis(5));
    }
    answers
}

/// What clients were told, compared with what servers ran.
pub struct RequestCheck {
    pub run_counts: BTreeMap<String, usize>,
    /// Number of responses by status.
    pub statuses: BTreeMap<u16, usize>,
    pub broken: Vec<String>,
}

impl RequestCheck {
    pub fn new(servers: &[WorkServer]) -> Self {
        let mut run_counts = BTreeMap::<String, usize>::new();
        for run in servers.iter().flat_map(WorkServer::runs) {
            *run_counts.entry(run.id).or_default() += 1;
        }
        Self { run_counts, statuses: BTreeMap::new(), broken: Vec::new() }
    }

    /// Checks one request by the status of its response, 0 for none.
    pub fn check(&mut self, id: &str, at_most_once: bool, may_be_deadly: bool, status: u16) {
        *self.statuses.entry(status).or_default() += 1;
        let runs = self.run_counts.get(id).copied().unwrap_or_default();
        let is_sound = match status {
            200 => runs > 0 && !may_be_deadly,
            // Refused as not executed.
            429 | 503 => runs == 0,
            422 => runs == 0 && may_be_deadly,
            0 | 502 | 504 => true,
            _ => false,
        };
        if !is_sound || (at_most_once && runs > 1) {
            self.broken.push(format!("{id}: ran {runs} times, status {status}"));
        }
    }

    fn check_soak_request(&mut self, request: &SoakRequest, end: &RequestEnd) {
        let status = match end {
            RequestEnd::Served => 200,
            RequestEnd::Refused => 503,
            RequestEnd::TimedOut => 504,
            RequestEnd::Crossed | RequestEnd::CrossedUpload => 0,
            RequestEnd::Behind | RequestEnd::Unsent => 0,
            // Faults end connections; a complete response has a status.
            RequestEnd::Broken(reason) => match reason.strip_prefix("HTTP/1.1 ") {
                Some(status) if status.starts_with("200") => {
                    self.broken.push(format!("{request:?}: {reason}"));
                    0
                }
                Some(status) => status[..3].parse().unwrap_or(1),
                None => 0,
            },
        };
        self.check(&request.id, request.at_most_once, false, status);
    }

    fn check_repeated(&mut self, is_deadly: bool, route: &str, requests: &[RepeatedRequest]) {
        for request in requests {
            self.check(&request.id, route == "book", is_deadly, request.status);
            if request.status == 200 && !request.is_own {
                self.broken.push(format!("{}: another response", request.id));
            }
        }
    }
}

/// Lets one server after the other say that it leaves or wants a pause.
fn make_statements(
    servers: &[WorkServer],
    mut random: fastrand::Rng,
    stop: &AtomicBool,
) -> Vec<StatementSpan> {
    let mut spans = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let server = &servers[random.usize(0..servers.len())];
        let kinds = [StatementKind::Leaving, StatementKind::Pause];
        let duration = Duration::from_millis(random.u64(1000..2500));
        server.begin_statement(kinds[random.usize(0..2)], duration);
        std::thread::sleep(duration);
        let span = server.end_statement();
        let has_left = span.as_ref().is_some_and(|span| span.kind == StatementKind::Leaving);
        // At the end of the run no member is left to which a new incarnation could announce itself.
        if has_left && !stop.load(Ordering::Relaxed) {
            server.restart();
        }
        spans.extend(span);
    }
    spans
}

/// Checks that a server is left alone: two requests of each entry may come late. An entry that was killed
/// meanwhile learns anew, so all spans are counted together.
fn check_statements(
    spans: &[StatementSpan],
    entry_count: usize,
    seed: u64,
    broken: &mut Vec<String>,
) {
    for kind in [StatementKind::Leaving, StatementKind::Pause] {
        let spans = spans.iter().filter(|span| span.kind == kind && span.answered_at.is_some());
        let (count, late) = spans.fold((0, 0), |sum, span| (sum.0 + 1, sum.1 + span.late_arrivals));
        println!("seed {seed}, {kind:?}: {count} times, {late} late requests");
        if late > 2 * entry_count * count {
            broken.push(format!("{kind:?}: {late} late requests in {count} times"));
        }
    }
}

fn run_soak(seed: u64, entry_count: usize) {
    let mut random = fastrand::Rng::with_seed(seed);
    let (server_count, max_together) = match entry_count {
        ENTRIES => (SERVERS, 3),
        _ => (2 * SERVERS, entry_count / 4),
    };
    let fleet = FleetProcesses::start(MEMBERS, &vec![None; entry_count], GRACE);
    wait_for("the first document", || fleet.call("PUT", DOCUMENT_PATH, &document(1)));
    fleet.write_configs(fleet.seeds(), false);
    let servers = fleet.start_servers(server_count);
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.address).collect();
    let operators: Vec<_> = fleet.members.iter().map(|member| member.address).collect();
    for entry in &entries {
        wait_for("a served request", || call(*entry, "GET", "/read/w/0/2", "").0 == 200);
    }

    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let bookings: Vec<_> = (0..BOOKING_CLIENTS)
        .map(|number| {
            let (stop, next) = (Arc::clone(&stop), Arc::clone(&next));
            let traffic = entries[number % entries.len()];
            std::thread::spawn(move || send_bookings(traffic, &stop, &next))
        })
        .collect();
    let clients: Vec<_> = (0..entry_count.max(CLIENTS))
        .map(|number| {
            let (stop, random) = (Arc::clone(&stop), random.fork());
            let client = SoakClient { number, entries: entries.clone(), random, sent: Vec::new() };
            std::thread::spawn(move || client.run(&stop))
        })
        .collect();
    let repeated = RepeatedTraffic::start(&mut random, &entries, &stop);
    let documents = {
        let (stop, random) = (Arc::clone(&stop), random.fork());
        std::thread::spawn(move || change_documents(&operators, random, &stop))
    };
    // A generator of its own: the sequence of the other faults depends on the seed only.
    let statement_random = fastrand::Rng::with_seed(!seed);
    let (statement_stop, statement_servers) = (Arc::clone(&stop), servers.clone());
    let statements = std::thread::spawn(move || {
        make_statements(&statement_servers, statement_random, &statement_stop)
    });
    let mut series = FaultSeries::new(fleet, &servers, random, (FAULT_TIME, max_together), GRACE);
    series.run();
    let FaultSeries { fleet, events, mut broken, .. } = series;

    wait_for("the fleet to read again", || fleet.read_document().is_some());
    std::thread::sleep(QUIET_TIME);
    stop.store(true, Ordering::Relaxed);
    let spans = statements.join().expect("the thread does not panic");
    check_statements(&spans, entry_count, seed, &mut broken);
    let (acknowledged, document_faults) = documents.join().expect("the thread does not panic");
    broken.extend(document_faults);
    wait_for("the fleet to read again", || fleet.read_document().is_some());
    let read = fleet.read_document().and_then(|text| version_of(&text));
    if read.is_none_or(|read| read < acknowledged) {
        broken.push(format!("acknowledged version {acknowledged} was lost: {read:?}"));
    }
    // Read after the clients have ended, so that no request is missing.
    let bookings: Vec<_> = bookings.into_iter().map(join).collect();
    let sent: Vec<_> = clients.into_iter().flat_map(join).collect();
    let mut repeats = Vec::new();
    for (is_deadly, route, client) in repeated.clients {
        repeats.push((is_deadly, route, join(client)));
    }
    let mut check = RequestCheck::new(&servers);
    for (id, status) in bookings.iter().flatten() {
        check.check(id, true, false, *status);
    }
    for (request, end) in &sent {
        check.check_soak_request(request, end);
    }
    let served = check.statuses.get(&200).copied().unwrap_or_default();
    println!("seed {seed}, responses without the repeated requests: {:?}", check.statuses);
    for (is_deadly, route, requests) in &repeats {
        check.check_repeated(*is_deadly, route, requests);
    }
    println!("seed {seed}, all responses: {:?}", check.statuses);
    broken.append(&mut check.broken);
    for work in &repeated.works {
        println!(
            "seed {seed}, {}",
            check_deadly_sends(work, &servers, &fleet.entries, &mut broken)
        );
    }
    for line in fleet.entries.iter().flat_map(|entry| entry.log_lines("request_quarantined")) {
        if !repeated.works.iter().any(|work| line.contains(&format!("request={work}-"))) {
            broken.push(format!("refused for a deadly request: {line}"));
        }
    }
    let logs: Vec<_> =
        fleet.entries.iter().chain(&fleet.members).map(FleetChild::log_path).collect();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}\nfaults: {events:?}\nlogs: {logs:?}");
    assert!(served > 50, "seed {seed}: only {served} were served: {:?}", check.statuses);
    for entry in &entries {
        wait_for("a served request", || call(*entry, "GET", "/read/w/0/2", "").0 == 200);
    }
}

fn join<T>(thread: JoinHandle<T>) -> T {
    thread.join().expect("the client does not panic")
}

/// Guards against broken promises while faults of all kinds overlap, and against deadly requests that
/// end server after server meanwhile.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn promises_hold_under_faults(seed: u64) {
    run_soak(seed, ENTRIES);
}

/// Runs the seeds of `SOAK_SEEDS`; without it, nothing beyond the test above.
#[test]
fn promises_hold_under_faults_with_given_seeds() {
    let entries = std::env::var("SOAK_ENTRIES").ok().and_then(|text| text.parse().ok());
    run_given_seeds("SOAK_SEEDS", move |seed| run_soak(seed, entries.unwrap_or(ENTRIES)));
}
