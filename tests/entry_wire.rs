//! HTTP conformance tests at byte level, through a complete demonstration system.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::demo::DemoSystem;
use yare::parameterized;

/// Read timeout; reached only when a test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static SYSTEM: LazyLock<DemoSystem> = LazyLock::new(|| {
    let system = block_on(DemoSystem::start(0)).expect("the demonstration starts");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !send(&system, b"GET /hello HTTP/1.0\r\n\r\n").starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < deadline, "servers announce themselves in time");
        std::thread::sleep(Duration::from_millis(20));
    }
    system
});

/// Sends a raw request and reads until the entry closes the connection.
fn send(system: &DemoSystem, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(system.traffic_address).expect("the entry accepts");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    stream.write_all(bytes).expect("the entry reads");
    let mut response = Vec::new();
    stream.read_to_end(&mut response).expect("the entry answers and closes");
    String::from_utf8_lossy(&response).into_owned()
}

fn runs(run_id: &str) -> u32 {
    let counts = SYSTEM.servers().iter().map(|server| server.runs().count_by_run_id(run_id));
    counts.sum()
}

fn statuses(response: &str) -> Vec<&str> {
    response.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)).collect()
}

/// Guards against malformed or ambiguous requests that reach a server, hang, or get no response.
#[parameterized(
    two_lengths = { "GET /hello HTTP/1.1\r\nHost: a\r\nX-Run-Id: bad\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", "400" },
    signed_length = { "POST /hello HTTP/1.1\r\nHost: a\r\nX-Run-Id: bad\r\nContent-Length: +4\r\n\r\nabcd", "400" },
    length_and_coding = { "POST /hello HTTP/1.1\r\nHost: a\r\nX-Run-Id: bad\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400" },
    unknown_coding = { "POST /hello HTTP/1.1\r\nHost: a\r\nX-Run-Id: bad\r\nTransfer-Encoding: xchunked\r\n\r\n", "501" },
    no_host = { "GET /hello HTTP/1.1\r\nX-Run-Id: bad\r\n\r\n", "400" },
    two_hosts = { "GET /hello HTTP/1.1\r\nHost: a\r\nHost: b\r\nX-Run-Id: bad\r\n\r\n", "400" },
    bare_line_feed = { "GET /hello HTTP/1.1\nHost: a\nX-Run-Id: bad\n\n", "400" },
    space_before_colon = { "GET /hello HTTP/1.1\r\nHost : a\r\nX-Run-Id: bad\r\n\r\n", "400" },
    http_2_preface = { "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "505" },
    connect_method = { "CONNECT /hello HTTP/1.1\r\nHost: a\r\nX-Run-Id: bad\r\n\r\n", "501" },
)]
fn malformed_request_is_refused(request: &str, status: &str) {
    let response = send(&SYSTEM, request.as_bytes());
    assert_eq!(statuses(&response), [status], "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert!(response.contains("\"run\":\"not_run\""), "{response}");
    assert_eq!(runs("bad"), 0);
}

/// Guards against an oversized head that exhausts memory or resets the connection without a
/// response.
#[test]
fn oversized_head_is_answered() {
    let mut request = b"GET /hello HTTP/1.1\r\nHost: a\r\nX-Long: ".to_vec();
    request.resize(150_000, b'x');
    request.extend_from_slice(b"\r\n\r\n");
    let response = send(&SYSTEM, &request);
    assert_eq!(statuses(&response), ["431"], "{response}");
}

/// Guards against forwarding a truncated body as a complete one.
#[test]
fn short_body_reaches_no_claim_and_no_server() {
    let mut stream = TcpStream::connect(SYSTEM.traffic_address).expect("the entry accepts");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    let request = "POST /booking HTTP/1.1\r\nHost: a\r\nIdempotency-Key: short\r\n\
                   X-Run-Id: short\r\nContent-Length: 10\r\n\r\nabc";
    stream.write_all(request.as_bytes()).expect("the entry reads");
    stream.shutdown(std::net::Shutdown::Write).expect("the socket is open");
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response);
    assert!(!response.contains("200 OK"), "{response}");
    assert_eq!(runs("short"), 0);
}

/// Guards against refusing valid but rare request forms, or answering them only in part.
#[parameterized(
    http_1_0 = { "GET /hello HTTP/1.0\r\n\r\n", &["200"] },
    absolute_form = { "GET http://a:80/hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["200"] },
    leading_empty_line = { "\r\nGET /hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["200"] },
    pipelined = { "GET /hello HTTP/1.1\r\nHost: a\r\n\r\nGET /hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["200", "200"] },
    pipelined_with_body = { "POST /booking HTTP/1.1\r\nHost: a\r\nIdempotency-Key: piped\r\nContent-Length: 3\r\n\r\nabcGET /hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["200", "200"] },
    chunked_body = { "POST /booking HTTP/1.1\r\nHost: a\r\nIdempotency-Key: chunks\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n", &["200"] },
    expect_continue = { "POST /booking HTTP/1.1\r\nHost: a\r\nIdempotency-Key: expect\r\nExpect: 100-continue\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc", &["100", "200"] },
    head_method = { "HEAD /hello HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["200"] },
    no_service = { "GET /nothing HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", &["404"] },
    no_key = { "POST /booking HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", &["400"] },
)]
fn rare_request_form_is_served(request: &str, expected: &[&str]) {
    let response = send(&SYSTEM, request.as_bytes());
    assert_eq!(statuses(&response), expected, "{response}");
}

/// Guards against non-ASCII header bytes that crash the task of a connection.
#[test]
fn header_bytes_pass_through() {
    let request =
        b"GET /hello HTTP/1.1\r\nHost: a\r\nX-Name: caf\xc3\xa9\r\nConnection: close\r\n\r\n";
    let response = send(&SYSTEM, request);
    assert_eq!(statuses(&response), ["200"], "{response}");
}

/// Guards against accepting announcements without the team's token or with an invalid body.
#[parameterized(
    no_token = { "", "{}", "400" },
    wrong_token = { "Authorization: Bearer wrong\r\n", VALID, "403" },
    malformed = { "Authorization: Bearer try-team-token\r\n", "{\"team\":", "400" },
    unknown_key = { "Authorization: Bearer try-team-token\r\n", "{\"team\":\"try\",\"extra\":1}", "400" },
    other_service = { "Authorization: Bearer try-team-token\r\n", OTHER_SERVICE, "404" },
    valid = { "Authorization: Bearer try-team-token\r\n", VALID, "202" },
)]
fn announcement_is_checked(header: &str, body: &str, status: &str) {
    let request = format!(
        "POST /.curranthollow/announce HTTP/1.1\r\nHost: a\r\n{header}Content-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        body.len()
    );
    let response = send(&SYSTEM, request.as_bytes());
    assert_eq!(statuses(&response), [status], "{response}");
}

/// Guards against endpoints that close the connection without a response when the body is refused.
#[parameterized(
    oversized_announcement = { "POST /.curranthollow/announce", 5000, "413" },
    body_on_health_page = { "POST /.curranthollow/health", 1, "413" },
)]
fn refused_body_is_answered(line: &str, size: usize, status: &str) {
    let body = "x".repeat(size);
    let request = format!("{line} HTTP/1.1\r\nHost: a\r\nContent-Length: {size}\r\n\r\n{body}");
    let response = send(&SYSTEM, request.as_bytes());
    assert_eq!(statuses(&response), [status], "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
}

const VALID: &str = r#"{"team":"try","service":"hello","server":"extra","address":"127.0.0.1:1",
    "availability_zone":"zone-1","slots":1,"connections":1,"state":"gone","incarnation":1,
    "sequence":1}"#;

const OTHER_SERVICE: &str = r#"{"team":"try","service":"none","server":"extra",
    "address":"127.0.0.1:1","availability_zone":"zone-1","slots":1,"connections":1,
    "state":"ready","incarnation":1,"sequence":1}"#;
