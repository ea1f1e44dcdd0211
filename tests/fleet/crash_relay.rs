//! Tests of requests whose servers crash while their long responses are relayed, and of sends that are
//! cancelled.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use yare::parameterized;

use crate::crash_server::{BodyStyle, DEADLY, HUGE, INTERIM, LONG, SLOW, STALLED, TORN};
use crate::crash_watch::CrashSystem;
use crate::harness::{TEST_TIMEOUT, TestEntry, announce, announcement, call, exchange, wait_for};

/// Time after a crash in which evidence would have been reported: an unconfirmed crash is dropped after
/// 2 s.
const QUIET_TIME: Duration = Duration::from_millis(2500);

fn request_text(method: &str, path: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request whose server breaks off in the middle of its response, and reads what there is.
fn call_torn(entry: &TestEntry, method: &str, path: &str, body: &str) {
    // A reset loses the end of the response.
    if let Ok(response) = exchange(entry.traffic, request_text(method, path, body).as_bytes()) {
        assert!(response.starts_with("HTTP/1.1 200 "), "{}", &response[..response.len().min(300)]);
        assert!(response.len() > 128 << 10, "only {} bytes were relayed", response.len());
    }
}

/// Sends a request and waits for the start of its response, but reads no more.
fn begin_call(address: SocketAddr, path: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the entry accepts");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    stream.write_all(request_text("GET", path, body).as_bytes()).expect("the entry reads");
    let mut start = [0; 12];
    stream.read_exact(&mut start).expect("the entry responds");
    assert_eq!(&start, b"HTTP/1.1 200");
    stream
}

fn torn_body(style: BodyStyle) -> String {
    format!("{TORN} {}", style.word())
}

/// Guards against a request that is sent on for ever because its servers crash only after the relay of
/// their responses has begun.
#[parameterized(
    length = { "GET", "/read/1", BodyStyle::Length },
    length_at_most_once = { "POST", "/book/1", BodyStyle::Length },
    chunks = { "GET", "/read/1", BodyStyle::Chunks },
    reset_without_length = { "GET", "/read/1", BodyStyle::Abort },
)]
fn a_crash_in_a_relayed_response_is_evidence(method: &str, path: &str, style: BodyStyle) {
    let system = CrashSystem::start(7);
    let revisions = system.entries.each_ref().map(|entry| entry.metric("entry_revision"));
    let body = torn_body(style);
    for number in 0..3 {
        call_torn(&system.entries[number % 2], method, path, &body);
        assert_eq!(system.crash_reports(), number as u64 + 1, "reports after the response");
    }
    for (entry, revision) in system.entries.iter().zip(revisions) {
        wait_for("the entry to know", || entry.metric("entry_revision") > revision);
        assert_eq!(call(entry.traffic, method, path, &body).0, 422);
        assert_eq!(call(entry.traffic, method, path, "harmless").0, 200);
    }
    assert_eq!(system.count(&body), 3);
    assert_eq!(system.running_servers(), 4);
}

/// Guards against a request that is not recognized because its body was dropped before its server crashed.
#[test]
fn a_long_request_with_a_relayed_response_is_recognized() {
    let system = CrashSystem::start(7);
    let [first, second] = &system.entries;
    let revision = second.metric("entry_revision");
    let fill = "x".repeat(3 << 20);
    let body = format!("{fill}{}", torn_body(BodyStyle::Length));
    for entry in [first, second, first] {
        call_torn(entry, "POST", "/book/1", &body);
    }
    wait_for("the second entry to know", || second.metric("entry_revision") > revision);
    for entry in &system.entries {
        assert_eq!(call(entry.traffic, "POST", "/book/1", &body).0, 422);
        assert_eq!(call(entry.traffic, "POST", "/book/1", &format!("{fill}harmless")).0, 200);
    }
    assert_eq!(system.count(TORN), 3);
}

/// Guards against evidence from the end of a body without a length, which every such response has.
#[test]
fn the_end_of_a_relayed_body_without_a_length_is_no_evidence() {
    let system = CrashSystem::start(4);
    for number in 0..3 {
        call_torn(&system.entries[number % 2], "GET", "/read/1", &torn_body(BodyStyle::Close));
    }
    std::thread::sleep(QUIET_TIME);
    assert_eq!(system.count(TORN), 3);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against a suspect that is convicted although servers complete its long responses, and against a
/// clearance by a body whose end may be a crash.
#[parameterized(
    length = { BodyStyle::Length, 502 },
    chunks = { BodyStyle::Chunks, 502 },
    close = { BodyStyle::Close, 422 },
)]
fn a_complete_relayed_response_clears_a_suspect(style: BodyStyle, next_status: u16) {
    let system = CrashSystem::start(6);
    let [entry, _] = &system.entries;
    let body = format!("{DEADLY} {}", torn_body(style));
    let set_tame = |tame| system.servers.iter().for_each(|server| server.set_tame(tame));
    for _ in 0..2 {
        assert_eq!(call(entry.traffic, "POST", "/book/1", &body).0, 502);
    }
    set_tame(true);
    let response = exchange(entry.traffic, request_text("POST", "/book/1", &body).as_bytes());
    assert!(response.expect("the response is complete").len() > 600 << 10);
    set_tame(false);
    assert_eq!(call(entry.traffic, "POST", "/book/1", &body).0, 502);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(call(entry.traffic, "POST", "/book/1", &body).0, next_status);
}

/// Guards against evidence from a caller that leaves during the relay.
#[test]
fn a_caller_that_leaves_during_the_relay_is_no_evidence() {
    let system = CrashSystem::start(4);
    let [entry, _] = &system.entries;
    for number in 0..3 {
        let caller = begin_call(entry.traffic, "/read/1", STALLED);
        caller.shutdown(Shutdown::Both).expect("the caller can leave");
        drop(caller);
        wait_for("the request to end", || entry.metric("entry_caller_connections") == 0);
        let running = system.servers.iter().filter(|server| server.is_running());
        running.filter(|server| server.count(STALLED) > 0).for_each(|server| server.crash());
        assert_eq!(system.running_servers(), 3 - number);
    }
    std::thread::sleep(QUIET_TIME);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against evidence from a relay that ends because its time is over.
#[test]
fn a_relay_that_takes_too_long_is_no_evidence() {
    let system = CrashSystem::start(1);
    let [entry, _] = &system.entries;
    call_torn(entry, "GET", "/read/1", STALLED);
    system.servers[0].crash();
    std::thread::sleep(QUIET_TIME);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against a planned stop that looks like a crash because the entry notices the lost connection only
/// when its slow caller reads on: the server is back by then.
#[test]
fn a_planned_stop_behind_a_slow_caller_is_no_evidence() {
    let system = CrashSystem::start(1);
    let [entry, _] = &system.entries;
    let revision = entry.metric("entry_revision");
    let body = format!("{HUGE} {}", torn_body(BodyStyle::Length));
    let mut caller = begin_call(entry.traffic, "/read/1", &body);
    std::thread::sleep(Duration::from_millis(300));
    let address = system.servers[0].address;
    announce(&system.fleet, "s0", &announcement(address, true, 1, 2));
    wait_for("the entry to know", || entry.metric("entry_revision") > revision);
    system.servers[0].crash();
    announce(&system.fleet, "s0", &announcement(address, false, 2, 1));
    wait_for("the entry to know", || entry.metric("entry_revision") > revision + 1);
    let mut rest = Vec::new();
    let _ = caller.read_to_end(&mut rest);
    std::thread::sleep(QUIET_TIME);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against evidence against a request that was cancelled before its server crashed.
#[test]
fn a_send_that_is_cancelled_before_the_crash_is_no_evidence() {
    let system = CrashSystem::start(1);
    let [entry, _] = &system.entries;
    let text = request_text("GET", "/read/1", LONG);
    let mut caller = TcpStream::connect(entry.traffic).expect("the entry accepts");
    caller.write_all(text.as_bytes()).expect("the entry reads");
    wait_for("the server to get the request", || system.count(LONG) == 1);
    drop(caller);
    wait_for("the request to end", || entry.metric("entry_caller_connections") == 0);
    system.servers[0].crash();
    announce(&system.fleet, "s0", &announcement(system.servers[0].address, false, 2, 1));
    std::thread::sleep(QUIET_TIME);
    assert_eq!(system.crash_reports(), 0);
}

/// Guards against deadly requests that are sent on for ever because a hedged send or interim responses
/// hide the crash.
#[parameterized(
    hedged = { SLOW },
    interim = { INTERIM },
)]
fn a_crash_is_evidence_beside(word: &str) {
    let system = CrashSystem::start(9);
    let [first, second] = &system.entries;
    let body = format!("{DEADLY} {word}");
    let revision = second.metric("entry_revision");
    wait_for("the first entry to refuse the request", || {
        let (status, _) = call(first.traffic, "GET", "/read/1", &body);
        assert!([502, 503, 504, 422].contains(&status), "{status}");
        status == 422
    });
    wait_for("the second entry to know", || second.metric("entry_revision") > revision);
    assert_eq!(call(second.traffic, "GET", "/read/1", &body).0, 422);
    // A hedged send that was cancelled before its server crashed is no evidence.
    let sent_count = system.count(&body);
    assert!((3..=4).contains(&sent_count), "it was sent {sent_count} times");
}
