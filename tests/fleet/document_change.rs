//! Tests of requests that are in progress while a document or the announcement of a server changes.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use yare::parameterized;

use crate::entry::TestSystem;
use crate::harness::{
    ScriptedServer, ServerStep, TEST_TIMEOUT, VALID_RESPONSE, announce, announcement, call,
    document, document_with_limits, header_value, parse_response, wait_for,
};

/// Time for which the server works on each request.
const SERVICE_TIME: Duration = Duration::from_millis(1500);

/// Number of sends that take the service time: one of each request, and hedged ones.
const MAX_SENDS: usize = 12;

/// Time after the document for a change of a server to be in force too.
const CHANGE_TIME: Duration = Duration::from_millis(500);

fn without_routes(version: u64) -> String {
    document(version).replace("/read/", "/other/").replace("/book/", "/another/")
}

fn with_other_service(version: u64) -> String {
    document(version).replace("rounds", "elsewhere")
}

fn with_short_timeout(version: u64) -> String {
    document(version)
        .replace(r#""timeout_ms":2000"#, r#""timeout_ms":100"#)
        .replace(r#""max_attempts":2"#, r#""max_attempts":1"#)
}

fn with_swapped_repetition(version: u64) -> String {
    document(version)
        .replace("/read/", "/swapped/")
        .replace("/book/", "/read/")
        .replace("/swapped/", "/book/")
}

/// Limits below what the requests in progress need.
fn with_short_limits(version: u64) -> String {
    document_with_limits(version, 50, 50)
}

fn unchanged(version: u64) -> String {
    document(version)
}

/// Change of the announcement of the server that runs the requests.
#[derive(Debug, Clone, Copy)]
enum ServerChange {
    None,
    Draining,
    Left,
    NextIncarnation,
}

/// Guards against a change of the document, or of a server, that ends requests in progress: each runs for
/// longer than the change takes to come into force.
#[parameterized(
    route_removed = { without_routes, ServerChange::None },
    service_replaced = { with_other_service, ServerChange::None },
    shorter_timeout = { with_short_timeout, ServerChange::None },
    swapped_repetition = { with_swapped_repetition, ServerChange::None },
    shorter_limits = { with_short_limits, ServerChange::None },
    server_drains = { unchanged, ServerChange::Draining },
    server_leaves = { unchanged, ServerChange::Left },
    server_restarts = { unchanged, ServerChange::NextIncarnation },
    all_at_once = { without_routes, ServerChange::Left },
)]
fn a_change_cuts_no_request(next_document: fn(u64) -> String, server_change: ServerChange) {
    let step = ServerStep::Delay(SERVICE_TIME, VALID_RESPONSE);
    let server = ScriptedServer::start(&vec![step; MAX_SENDS]);
    let system = TestSystem::start_with_document(&[server.address], None, &document(1));
    let connect = || {
        let stream = TcpStream::connect(system.entry.traffic).expect("the entry listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        stream
    };
    let head = |method: &str, path: &str, id: &str, length: usize| {
        format!(
            "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: {id}\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let (mut idempotent, mut at_most_once) = (connect(), connect());
    let (mut pipelined, mut uploading) = (connect(), connect());
    idempotent.write_all(head("GET", "/read/1", "r1", 0).as_bytes()).expect("the entry reads");
    at_most_once.write_all(head("POST", "/book/1", "b1", 0).as_bytes()).expect("the entry reads");
    let both = head("GET", "/read/2", "r2", 0) + &head("GET", "/read/3", "r3", 0);
    pipelined.write_all(both.as_bytes()).expect("the entry reads");
    uploading.write_all(head("POST", "/book/2", "b2", 6).as_bytes()).expect("the entry reads");
    uploading.write_all(b"abc").expect("the entry reads");
    let sent_count = || {
        let requests = server.requests();
        requests.iter().filter(|request| !request.starts_with("GET /health")).count()
    };
    wait_for("the server to get the requests", || sent_count() >= 4);
    let sent_at = Instant::now();
    system.fleet.put_document(&next_document(2));
    let path = "/.curranthollow/servers/s0";
    let leave = || {
        let mut members = system.fleet.members.iter();
        members.any(|member| call(member.operator, "DELETE", path, "").0 == 200)
    };
    match server_change {
        ServerChange::None => {}
        ServerChange::Draining => {
            announce(&system.fleet, "s0", &announcement(server.address, true, 1, 2));
        }
        ServerChange::NextIncarnation => {
            announce(&system.fleet, "s0", &announcement(server.address, false, 2, 1));
        }
        ServerChange::Left => wait_for("the server to leave", leave),
    }
    wait_for("the document to be in force", || system.entry.metric("entry_document_version") == 2);
    std::thread::sleep(CHANGE_TIME);
    assert!(sent_at.elapsed() < SERVICE_TIME, "the change was slower than the requests");
    uploading.write_all(b"def").expect("the entry reads");
    for (stream, count) in [(&mut idempotent, 1), (&mut at_most_once, 1), (&mut pipelined, 2)] {
        for _ in 0..count {
            assert_eq!(read_response(stream), (200, "ok".into()));
        }
    }
    // Handled by the document that is in force when the request is complete, but never without a response.
    let (status, _) = read_response(&mut uploading);
    assert!([200, 404, 503, 504].contains(&status), "{status}");
}

/// Reads one response with a declared length.
fn read_response(stream: &mut TcpStream) -> (u16, String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the response is complete");
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header_value(&head, "content-length").expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).expect("the response is complete");
    parse_response(&(head + &String::from_utf8_lossy(&body)))
}
