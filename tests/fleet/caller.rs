//! How long an entry waits for a caller, and what a caller that is late gets.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::harness::{
    PATIENCE, ScriptedServer, ServerStep, TestEntry, TestFleet, announce, announcement,
    document_with_limits, split, wait_for,
};

/// Body of the response that a slow caller reads; more than the buffers of a connection hold.
const LARGE_BODY: usize = 24 << 20;

struct CallerSystem {
    fleet: TestFleet,
    entry: TestEntry,
    _server: ScriptedServer,
}

impl CallerSystem {
    /// A fleet with one entry, one server and limits on callers.
    fn start(idle_ms: u64, head_ms: u64, steps: &[ServerStep]) -> Self {
        let fleet = TestFleet::start();
        fleet.put(&document_with_limits(1, idle_ms, head_ms));
        let server = ScriptedServer::start(steps);
        announce(&fleet, "s0", &announcement(server.address, false, 1, 1));
        let entry = TestEntry::start(&fleet.seeds);
        wait_for("the entry to be ready", || entry.is_ready());
        Self { fleet, entry, _server: server }
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.entry.traffic).expect("the entry listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("the timeout is valid");
        stream
    }
}

fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the entry reads");
}

fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer is text");
    answer
}

/// Request that ends its connection.
const LAST: &str =
    "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\nconnection: close\r\n\r\n";

/// Head and half of the body of a request.
const BEGUN: &str = "POST /book/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: b1\r\n\
                     connection: close\r\ncontent-length: 6\r\n\r\nabc";

/// Guards against a request that is cut off because its connection was idle before it.
#[test]
fn a_body_that_arrives_past_the_idle_limit_is_read() {
    let system = CallerSystem::start(1000, 3000, &[]);
    let mut stream = system.connect();
    std::thread::sleep(Duration::from_millis(1700));
    send(&mut stream, BEGUN);
    std::thread::sleep(Duration::from_millis(800));
    send(&mut stream, "def");
    let answer = read_to_end(stream);
    assert_eq!(split(&answer).0, 200, "{answer:?}");
}

/// Guards against an idle limit that stays as it was when the connection became idle: a caller that
/// keeps to the new document would lose its next request.
#[test]
fn a_longer_idle_limit_holds_for_idle_connections() {
    let system = CallerSystem::start(1500, 3000, &[]);
    let mut stream = system.connect();
    system.fleet.put(&document_with_limits(2, 6000, 3000));
    std::thread::sleep(Duration::from_millis(3500));
    send(&mut stream, LAST);
    let answer = read_to_end(stream);
    assert_eq!(split(&answer).0, 200, "{answer:?}");
}

/// Guards against a close that crosses a request on its way: on a slow line the end of a connection
/// reaches its caller a quarter of a second late.
#[test]
fn a_caller_slightly_over_the_idle_limit_is_served() {
    let system = CallerSystem::start(1000, 3000, &[]);
    let mut stream = system.connect();
    std::thread::sleep(Duration::from_millis(1300));
    send(&mut stream, LAST);
    let answer = read_to_end(stream);
    assert_eq!(split(&answer).0, 200, "{answer:?}");
}

/// Guards against a connection that is kept for ever.
#[test]
fn an_idle_connection_is_closed_without_a_word() {
    let system = CallerSystem::start(500, 3000, &[]);
    assert_eq!(read_to_end(system.connect()), "");
}

/// Guards against a head that keeps a connection for as long as an idle one.
#[test]
fn a_slow_head_gets_408_within_the_limit() {
    let system = CallerSystem::start(20_000, 700, &[]);
    let mut stream = system.connect();
    send(&mut stream, "GET /read/1 HTTP/1.1\r\nho");
    let started = std::time::Instant::now();
    let answer = read_to_end(stream);
    assert_eq!(split(&answer).0, 408, "{answer:?}");
    assert!(started.elapsed() < Duration::from_secs(10), "the idle limit was waited for");
}

/// Guards against a response that is cut because the caller takes it slowly.
#[test]
fn a_caller_that_pauses_gets_the_whole_response() {
    let system = CallerSystem::start(5000, 3000, &[ServerStep::Large(LARGE_BODY)]);
    let mut stream = system.connect();
    let head = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\n\
                x-request-deadline: 30000\r\nconnection: close\r\n\r\n";
    send(&mut stream, head);
    // Longer than a connection between processes may be without an acknowledgement.
    std::thread::sleep(Duration::from_secs(4));
    let answer = read_to_end(stream);
    assert_eq!(split(&answer).1.len(), LARGE_BODY);
}
