//! Tests of requests that crash servers, with real members and entries on loopback, and of the evidence
//! against them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use yare::parameterized;

use crate::crash_server::{CrashServer, DEADLY, GARBAGE, LONG, RESET};
use crate::harness::{
    TestEntry, TestFleet, announce, announcement, call, document, exchange, wait_for,
};

/// Number of servers that may crash under one request: three convict it, and until all entries know,
/// three further sends are allowed.
const MAX_CRASHED_SERVERS: usize = 6;

/// Fleet with three members, two entries and servers of the service `rounds`.
pub struct CrashSystem {
    pub fleet: TestFleet,
    pub entries: [TestEntry; 2],
    pub servers: Vec<CrashServer>,
}

impl CrashSystem {
    pub fn start(server_count: usize) -> Self {
        let servers: Vec<_> = (0..server_count).map(|_| CrashServer::start()).collect();
        let fleet = TestFleet::with_members(3);
        fleet.put_document(&document(1));
        for (number, server) in servers.iter().enumerate() {
            announce(&fleet, &format!("s{number}"), &announcement(server.address, false, 1, 1));
        }
        let entries = [0, 1].map(|_| TestEntry::start(&fleet.seeds));
        for entry in &entries {
            wait_for("the entry to be ready", || entry.is_ready());
            wait_for("the entry to follow the members", || {
                entry.metric("entry_fresh_members") == 3
            });
        }
        Self { fleet, entries, servers }
    }

    pub fn count(&self, part: &str) -> usize {
        self.servers.iter().map(|server| server.count(part)).sum()
    }

    pub fn running_servers(&self) -> usize {
        self.servers.iter().filter(|server| server.is_running()).count()
    }

    pub fn crash_reports(&self) -> u64 {
        self.entries.iter().map(|entry| entry.metric("entry_crashes_reported_total")).sum()
    }
}

/// Guards against one request that ends server after server because every entry sends it on.
#[parameterized(
    idempotent = { "GET", "/read/1" },
    at_most_once = { "POST", "/book/1" },
)]
fn a_request_that_crashes_servers_is_refused_by_all_entries(method: &str, path: &str) {
    let system = CrashSystem::start(9);
    let [first, second] = &system.entries;
    let revision = second.metric("entry_revision");
    wait_for("the first entry to refuse the request", || {
        let (status, _) = call(first.traffic, method, path, DEADLY);
        assert!(status == 502 || status == 422, "{status}");
        assert!(system.running_servers() > 0, "the request crashed all servers");
        status == 422
    });
    wait_for("the second entry to know", || second.metric("entry_revision") > revision);
    for entry in &system.entries {
        for _ in 0..5 {
            let (status, reason) = call(entry.traffic, method, path, DEADLY);
            assert_eq!((status, &*reason), (422, "the request crashed several servers"));
            assert_eq!(call(entry.traffic, method, path, "harmless").0, 200);
            assert_eq!(call(entry.traffic, "GET", "/read/2", "").0, 200);
        }
        assert!(entry.metric("entry_quarantined_requests_total") >= 5);
    }
    assert_eq!(system.count(DEADLY), 3);
    let refusal = exchange(second.traffic, deadly_text(method, path).as_bytes());
    let refusal = refusal.expect("the entry responds").to_ascii_lowercase();
    assert!(!refusal.contains("retry-after"), "{refusal}");
}

/// Guards against a request with a body that is hashed in pieces, and that is not recognized for it.
#[test]
fn a_long_request_that_crashes_servers_is_refused_by_all_entries() {
    let system = CrashSystem::start(9);
    let [first, second] = &system.entries;
    let fill = "x".repeat(3 << 20);
    let deadly = format!("{fill}{DEADLY}");
    let revision = second.metric("entry_revision");
    wait_for("the first entry to refuse the request", || {
        let (status, _) = call(first.traffic, "POST", "/book/1", &deadly);
        assert!(status == 502 || status == 422, "{status}");
        status == 422
    });
    wait_for("the second entry to know", || second.metric("entry_revision") > revision);
    for entry in &system.entries {
        assert_eq!(call(entry.traffic, "POST", "/book/1", &deadly).0, 422);
        assert_eq!(call(entry.traffic, "POST", "/book/1", &format!("{fill}harmless")).0, 200);
    }
    assert_eq!(system.count(DEADLY), 3);
}

/// Guards against a crash that is not reported because the caller leaves while the body of the request is
/// hashed; an unoptimized build takes longer for this one than the caller waits.
#[test]
fn a_crash_is_reported_although_the_caller_leaves_while_the_request_is_hashed() {
    let system = CrashSystem::start(2);
    let [entry, _] = &system.entries;
    let body = format!("{}{LONG}", "x".repeat(8 << 20));
    let text = format!(
        "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut caller = TcpStream::connect(entry.traffic).expect("the entry accepts");
    caller.write_all(text.as_bytes()).expect("the entry reads");
    wait_for("a server to get the request", || system.count(LONG) == 1);
    let server = system.servers.iter().find(|server| server.count(LONG) == 1);
    server.expect("a server has the request").crash();
    std::thread::sleep(Duration::from_millis(20));
    drop(caller);
    wait_for("the crash to be reported", || system.crash_reports() == 1);
}

/// Guards against a crash that is not reported because the first check of the server got no answer: its
/// packets were lost, or the line was busy.
#[test]
fn a_crash_is_reported_although_the_address_is_silent_at_first() {
    let system = CrashSystem::start(2);
    let [entry, _] = &system.entries;
    let traffic = entry.traffic;
    let caller = std::thread::spawn(move || call(traffic, "POST", "/book/1", LONG));
    wait_for("a server to get the request", || system.count(LONG) == 1);
    let server = system.servers.iter().find(|server| server.count(LONG) == 1);
    server.expect("a server has the request").crash_silently();
    assert_eq!(caller.join().expect("the call ends").0, 502);
    assert_eq!(system.crash_reports(), 0);
    wait_for("the crash to be reported", || system.crash_reports() == 1);
}

/// Guards against copies of the same request at several entries that crash more servers than allowed
/// before all entries know.
#[test]
fn copies_at_both_entries_crash_a_few_servers_only() {
    let system = CrashSystem::start(9);
    std::thread::scope(|scope| {
        for entry in &system.entries {
            scope.spawn(move || {
                wait_for("the deadly request to be refused", || {
                    call(entry.traffic, "GET", "/read/1", DEADLY).0 == 422
                });
            });
        }
    });
    let sent_count = system.count(DEADLY);
    assert!((3..=MAX_CRASHED_SERVERS).contains(&sent_count), "it was sent {sent_count} times");
}

fn deadly_text(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: again\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{DEADLY}",
        DEADLY.len()
    )
}

/// Guards against an entry that crashes more servers when no control member can be asked.
#[test]
fn an_entry_without_control_refuses_on_its_own_evidence() {
    let mut system = CrashSystem::start(6);
    for member in &mut system.fleet.members {
        member.kill();
    }
    let entry = &system.entries[0];
    for _ in 0..3 {
        assert_eq!(call(entry.traffic, "POST", "/book/1", DEADLY).0, 502);
    }
    // One send after each hold.
    for sent_count in 3..5 {
        for _ in 0..10 {
            assert_eq!(call(entry.traffic, "POST", "/book/1", DEADLY).0, 503);
        }
        assert_eq!(call(entry.traffic, "POST", "/book/1", "harmless").0, 200);
        assert_eq!(system.count(DEADLY), sent_count);
        wait_for("the trial", || call(entry.traffic, "POST", "/book/1", DEADLY).0 == 502);
    }
    for _ in 0..10 {
        assert_eq!(call(entry.traffic, "POST", "/book/1", DEADLY).0, 422);
    }
    assert_eq!(call(entry.traffic, "POST", "/book/1", "harmless").0, 200);
    assert_eq!(system.count(DEADLY), 5);
}

/// Guards against crash reports about servers that go on: a reset connection is no crash, however often
/// the same request meets it.
#[test]
fn a_reset_connection_to_a_living_server_is_no_crash() {
    let system = CrashSystem::start(4);
    for number in 0..8 {
        let entry = &system.entries[number % 2];
        assert_eq!(call(entry.traffic, "POST", "/book/1", RESET).0, 502);
    }
    assert_eq!(system.count(RESET), 8);
    assert_eq!(system.crash_reports(), 0);
    assert_eq!(system.entries[0].metric("entry_suspect_requests"), 0);
}

/// Guards against a crash that is missed because the server was back before it was checked.
#[test]
fn a_new_incarnation_after_a_lost_connection_is_a_crash() {
    let system = CrashSystem::start(1);
    let [entry, _] = &system.entries;
    assert_eq!(call(entry.traffic, "POST", "/book/1", RESET).0, 502);
    assert_eq!(system.crash_reports(), 0);
    announce(&system.fleet, "s0", &announcement(system.servers[0].address, false, 2, 1));
    wait_for("the crash to be reported", || system.crash_reports() == 1);
    assert_eq!(entry.metric("entry_suspect_requests"), 1);
}

/// Guards against crash reports about invalid responses, even of servers that are gone right after.
#[test]
fn an_invalid_response_is_no_crash() {
    let system = CrashSystem::start(4);
    let [entry, _] = &system.entries;
    for _ in 0..4 {
        assert_eq!(call(entry.traffic, "POST", "/book/1", GARBAGE).0, 502);
    }
    wait_for("all servers to go away", || system.running_servers() == 0);
    assert_eq!(system.count(GARBAGE), 4);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against crash reports about planned stops: a server that drains ends its connections and its
/// listener.
#[test]
fn a_draining_server_that_goes_away_is_no_crash() {
    let system = CrashSystem::start(1);
    let [entry, _] = &system.entries;
    let caller = spawn_call(entry.traffic, "POST", "/book/1", LONG);
    wait_for("the server to get the request", || system.count(LONG) == 1);
    let drained = announcement(system.servers[0].address, true, 1, 2);
    let revision = entry.metric("entry_revision");
    announce(&system.fleet, "s0", &drained);
    wait_for("the entry to know", || entry.metric("entry_revision") > revision);
    system.servers[0].crash();
    assert_eq!(caller.join().expect("the caller ends"), 502);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against errors for requests that ran beside a deadly one.
#[test]
fn a_request_on_a_crashed_server_is_retried_and_served() {
    let system = CrashSystem::start(4);
    let [entry, _] = &system.entries;
    let mut callers = Vec::new();
    // The deadly request goes to any server, so each of them has to run another one.
    wait_for("all servers to run a request", || {
        let path = format!("/read/{}", callers.len());
        callers.push(spawn_call(entry.traffic, "GET", &path, LONG));
        wait_for("a server to get the request", || system.count(LONG) >= callers.len());
        system.servers.iter().all(|server| server.count(LONG) > 0)
    });
    let sent_before = system.count(LONG);
    assert_eq!(call(entry.traffic, "POST", "/book/1", DEADLY).0, 502);
    for caller in callers {
        assert_eq!(caller.join().expect("the caller ends"), 200);
    }
    assert_eq!(system.running_servers(), 3);
    assert!(system.count(LONG) > sent_before, "no request ran on the crashed server");
}

fn spawn_call(
    address: SocketAddr,
    method: &'static str,
    path: &str,
    body: &'static str,
) -> std::thread::JoinHandle<u16> {
    let path = path.to_owned();
    std::thread::spawn(move || call(address, method, &path, body).0)
}
