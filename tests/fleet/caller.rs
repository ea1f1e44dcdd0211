//! Tests of the timeouts on callers and of the responses that slow callers get.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::harness::{
    ScriptedServer, ServerStep, TEST_TIMEOUT, TestEntry, TestFleet, announce, announcement,
    document_with_limits, parse_response, wait_for,
};

/// Size of the response that a slow caller reads; larger than the buffers of a connection.
const LARGE_BODY: usize = 24 << 20;

struct CallerSystem {
    fleet: TestFleet,
    entry: TestEntry,
    _server: ScriptedServer,
}

impl CallerSystem {
    /// Starts a fleet with one entry, one server and limits on callers.
    fn start(idle_ms: u64, head_ms: u64, steps: &[ServerStep]) -> Self {
        let fleet = TestFleet::start();
        fleet.put_document(&document_with_limits(1, idle_ms, head_ms));
        let server = ScriptedServer::start(steps);
        announce(&fleet, "s0", &announcement(server.address, false, 1, 1));
        let entry = TestEntry::start(&fleet.seeds);
        wait_for("the entry to be ready", || entry.is_ready());
        Self { fleet, entry, _server: server }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.entry.traffic).expect("the entry listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        stream
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the entry reads");
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is text");
    response
}

/// Request that closes its connection.
const CLOSING_REQUEST: &str =
    "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\nconnection: close\r\n\r\n";

/// Head and half of the body of a request.
const PARTIAL_REQUEST: &str = "POST /book/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: b1\r\n\
                     connection: close\r\ncontent-length: 6\r\n\r\nabc";

/// Guards against a request that is cut off because its connection was idle before.
#[test]
fn a_body_that_arrives_past_the_idle_limit_is_read() {
    let system = CallerSystem::start(1000, 3000, &[]);
    let mut stream = system.connect();
    std::thread::sleep(Duration::from_millis(1700));
    send(&mut stream, PARTIAL_REQUEST);
    std::thread::sleep(Duration::from_millis(800));
    send(&mut stream, "def");
    let response = read_to_end(stream);
    assert_eq!(parse_response(&response).0, 200, "{response:?}");
}

/// Guards against an idle limit that is fixed when the connection becomes idle: a caller that
/// relies on the new document would lose its next request.
#[test]
fn a_longer_idle_limit_holds_for_idle_connections() {
    let system = CallerSystem::start(1500, 3000, &[]);
    let mut stream = system.connect();
    system.fleet.put_document(&document_with_limits(2, 6000, 3000));
    std::thread::sleep(Duration::from_millis(3500));
    send(&mut stream, CLOSING_REQUEST);
    let response = read_to_end(stream);
    assert_eq!(parse_response(&response).0, 200, "{response:?}");
}

/// Guards against a close that races with a request: on a slow line the end of a connection reaches
/// the caller a quarter of a second late.
#[test]
fn a_caller_slightly_over_the_idle_limit_is_served() {
    let system = CallerSystem::start(1000, 3000, &[]);
    let mut stream = system.connect();
    std::thread::sleep(Duration::from_millis(1300));
    send(&mut stream, CLOSING_REQUEST);
    let response = read_to_end(stream);
    assert_eq!(parse_response(&response).0, 200, "{response:?}");
}

/// Guards against idle connections that are never closed.
#[test]
fn an_idle_connection_is_closed_without_a_response() {
    let system = CallerSystem::start(500, 3000, &[]);
    assert_eq!(read_to_end(system.connect()), "");
}

/// Guards against an incomplete head that holds a connection for as long as the idle limit.
#[test]
fn a_slow_head_gets_408_within_the_limit() {
    let system = CallerSystem::start(20_000, 700, &[]);
    let mut stream = system.connect();
    send(&mut stream, "GET /read/1 HTTP/1.1\r\nho");
    let started = std::time::Instant::now();
    let response = read_to_end(stream);
    assert_eq!(parse_response(&response).0, 408, "{response:?}");
    assert!(
        started.elapsed() < Duration::from_secs(10),
        "the connection was held beyond the head timeout"
    );
}

/// Guards against a response that is truncated because the caller reads slowly.
#[test]
fn a_caller_that_pauses_gets_the_complete_response() {
    let system = CallerSystem::start(5000, 3000, &[ServerStep::Large(LARGE_BODY)]);
    let mut stream = system.connect();
    let head = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\n\
                x-request-deadline: 30000\r\nconnection: close\r\n\r\n";
    send(&mut stream, head);
    // Longer than the time after which unacknowledged data ends a connection between processes.
    std::thread::sleep(Duration::from_secs(4));
    let response = read_to_end(stream);
    assert_eq!(parse_response(&response).1.len(), LARGE_BODY);
}

/// Holds uploads of one size at the entry of a [`CallerSystem`].
struct UploadSystem {
    system: CallerSystem,
    upload_bytes: usize,
}

impl UploadSystem {
    fn start(upload_bytes: usize) -> Self {
        let system = CallerSystem::start(15_000, 3000, &[]);
        // The timeout counts from the head, and the uploads are held for long.
        let patient = document_with_limits(2, 15_000, 3000)
            .replace("\"timeout_ms\":2000", "\"timeout_ms\":60000");
        system.fleet.put_document(&patient);
        wait_for("the entry to follow", || system.entry.metric("entry_document_version") == 2);
        Self { system, upload_bytes }
    }

    fn held_bytes(&self) -> usize {
        self.system.entry.metric("entry_held_body_bytes") as usize
    }

    /// Sends the head of an upload and `bytes` of its body.
    fn begin(&self, bytes: usize) -> TcpStream {
        let mut stream = self.system.connect();
        let head = format!(
            "POST /book/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: b1\r\nconnection: close\r\n\
             content-length: {}\r\n\r\n",
            self.upload_bytes
        );
        send(&mut stream, &head);
        // The entry may refuse the upload before its end.
        let _ = stream.write_all(&vec![b'x'; bytes]);
        stream
    }

    /// Sends an upload without its last byte and waits until the entry holds the rest of `count` uploads.
    fn hold(&self, count: usize) -> TcpStream {
        let expected = count * (self.upload_bytes - 1);
        let stream = self.begin(self.upload_bytes - 1);
        wait_for("the entry to hold an upload", || self.held_bytes() == expected);
        stream
    }

    /// Sends the last byte of a held upload; returns the status of the response.
    fn finish(&self, mut stream: TcpStream) -> u16 {
        send(&mut stream, "x");
        parse_response(&read_to_end(stream)).0
    }
}

/// Guards against a machine that runs out of memory because many callers upload at once: what fits is
/// served, the rest is refused as not run, and the memory is free again afterwards. Bytes that are in
/// memory but not counted let a later upload take the place of a held one.
#[test]
fn uploads_beyond_the_memory_are_refused() {
    const UPLOAD: usize = 24 << 20;
    let uploads = UploadSystem::start(UPLOAD);
    let mut held: Vec<_> = (1..=3).map(|count| uploads.hold(count)).collect();
    let mut refused = uploads.begin(UPLOAD);
    let mut response = String::new();
    let _ = refused.read_to_string(&mut response);
    // The caller may see the reset of its unread bytes instead of the response.
    assert!(response.is_empty() || parse_response(&response).0 == 503, "{response}");
    assert_eq!(uploads.held_bytes(), 3 * (UPLOAD - 1));
    assert_eq!(uploads.finish(held.remove(0)), 200);
    let next = uploads.hold(3);
    for stream in held.into_iter().chain([next]) {
        assert_eq!(uploads.finish(stream), 200);
    }
    wait_for("the memory to be free", || uploads.held_bytes() == 0);
}

/// Guards against the memory of a refused upload that stays in use while its connection is being closed.
#[test]
fn a_refused_upload_frees_its_memory_at_once() {
    const UPLOAD: usize = 20 << 20;
    let uploads = UploadSystem::start(UPLOAD);
    let held: Vec<_> = (1..=3).map(|count| uploads.hold(count)).collect();
    // Slightly more than there is room for.
    let mut refused = uploads.begin((12 << 20) + (256 << 10));
    let mut response = [0; 12];
    refused.read_exact(&mut response).expect("the refusal is read");
    let held_bytes = uploads.held_bytes();
    assert_eq!(response, *b"HTTP/1.1 503");
    assert_eq!(held_bytes, held.len() * (UPLOAD - 1));
}
