//! Tests of requests that a stopping entry cannot finish.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use yare::parameterized;

use crate::entry::TestSystem;
use crate::harness::{
    HEALTH_PAGE, ScriptedServer, ServerStep, TEST_TIMEOUT, VALID_RESPONSE, document, exchange,
    header_value, parse_response, read_request, wait_for,
};

/// Grace period of test entries.
const GRACE: Duration = Duration::from_secs(4);

/// Time that a server needs which is still at work when its entry exits.
const ENDLESS: Duration = Duration::from_secs(20);

/// Starts a system whose routes allow more time than the grace period.
fn start_with_long_timeout(servers: &[SocketAddr]) -> TestSystem {
    let text = document(2).replace(r#""timeout_ms":2000"#, r#""timeout_ms":20000"#);
    TestSystem::start_with_document(servers, None, &text)
}

/// Connects to the entry and sends `text`.
fn send(system: &TestSystem, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(system.entry.traffic).expect("the entry listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    stream.write_all(text.as_bytes()).expect("the entry reads");
    stream
}

fn request(line: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\ncontent-length: 0\r\n\r\n")
}

/// Number of requests that reached servers, without health probes.
fn sent_count(servers: &[ScriptedServer]) -> usize {
    servers.iter().map(ScriptedServer::sent_count).sum()
}

/// Guards against a stop that ends a caller's connection without a response because its server is still
/// at work, and against a response of the entry's own while the server may still end in time.
#[parameterized(
    idempotent = { &["GET /read/1"], &[504] },
    at_most_once = { &["POST /book/1"], &[504] },
    unsent_behind_another = { &["GET /read/1", "POST /book/1"], &[504, 503] },
)]
fn a_request_whose_server_is_at_work_at_the_exit_is_answered(lines: &[&str], statuses: &[u16]) {
    let endless = ServerStep::Delay(ENDLESS, VALID_RESPONSE);
    let server = ScriptedServer::start(&[endless.clone(), endless]);
    let system = start_with_long_timeout(&[server.address]);
    let text: String = lines.iter().map(|line| request(line)).collect();
    let mut stream = send(&system, &text);
    let servers = [server];
    wait_for("the server to get the request", || sent_count(&servers) > 0);
    let TestSystem { entry, fleet } = system;
    let stopped_at = Instant::now();
    let stopping = std::thread::spawn(move || entry.stop());
    let mut response = [0; 12];
    stream.read_exact(&mut response).expect("the entry answers before it exits");
    let answered_after = stopped_at.elapsed();
    let mut text = String::from_utf8_lossy(&response).into_owned();
    stream.read_to_string(&mut text).expect("the connection ends cleanly");
    stopping.join().expect("the entry stops");
    let received: Vec<u16> = text.split("HTTP/1.1 ").skip(1).map(status_number).collect();
    assert_eq!(received, statuses, "{text}");
    assert!(text.contains("connection: close"), "{text}");
    assert!(answered_after >= GRACE.mul_f64(5.0 / 6.0), "{answered_after:?}");
    assert_eq!(sent_count(&servers), 1);
    drop(fleet);
}

fn status_number(text: &str) -> u16 {
    text[..3].parse().expect("a status is a number")
}

const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nx-request-id: ID\r\nx-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";

/// Guards against a retry or a hedged send that a stopping entry starts although it may not end before
/// the exit.
#[parameterized(
    refused = { "POST /book/1", Duration::from_millis(400), REFUSED, 503 },
    broken = { "GET /read/1", Duration::from_millis(400), "no response\r\n\r\n", 502 },
    hedged = { "GET /read/1", Duration::from_secs(2), VALID_RESPONSE, 200 },
)]
fn a_stopping_entry_starts_no_send_that_may_outlast_it(
    line: &str,
    delay: Duration,
    response: &'static str,
    status: u16,
) {
    // Whichever server comes first.
    let step = ServerStep::Delay(delay, response);
    let servers = [(); 2].map(|()| ScriptedServer::start(std::slice::from_ref(&step)));
    let addresses = servers.each_ref().map(|server| server.address);
    let system = start_with_long_timeout(&addresses);
    let mut stream = send(&system, &request(line));
    wait_for("a server to get the request", || sent_count(&servers) > 0);
    let TestSystem { entry, fleet } = system;
    let stopping = std::thread::spawn(move || entry.stop());
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the connection ends cleanly");
    stopping.join().expect("the entry stops");
    assert_eq!(parse_response(&text).0, status, "{text}");
    let retry_after = header_value(&text, "retry-after");
    assert_eq!(retry_after.as_deref(), (status == 503).then_some("0.000"));
    assert_eq!(sent_count(&servers), 1);
    drop(fleet);
}

/// Guards against a stop that drops a response which is arriving from its server: held back for a retry
/// that would not start, it was cut off at the exit although the caller could have had all of it.
#[test]
fn a_response_that_is_arriving_is_relayed_to_the_end() {
    let (server, permissions) = paused_server("GET", 2);
    let system = start_with_long_timeout(&[server]);
    let mut stream = send(&system, &request("GET /read/1"));
    // The server has begun its response.
    let permission = permissions.recv_timeout(TEST_TIMEOUT).expect("the server gets the request");
    let TestSystem { entry, fleet } = system;
    let stopped_at = Instant::now();
    let stopping = std::thread::spawn(move || entry.stop());
    let mut response = vec![0; 12];
    stream.read_exact(&mut response).expect("the response begins before the exit");
    assert!(stopped_at.elapsed() < GRACE / 2, "held back for {:?}", stopped_at.elapsed());
    permission.send(()).expect("the server waits");
    stream.read_to_end(&mut response).expect("the connection ends cleanly");
    stopping.join().expect("the entry stops");
    let response = String::from_utf8_lossy(&response);
    assert_eq!(parse_response(&response), (200, "xx".into()));
    assert_eq!(header_value(&response, "connection").as_deref(), Some("close"));
    drop(fleet);
}

/// Guards against a stop that refuses what it could finish: a response that took long because of its
/// caller or on another route made all requests of its service count as long.
#[parameterized(
    slow_caller = { "GET", 64 << 20 },
    other_route = { "POST", 1 << 20 },
)]
fn a_slow_relay_does_not_refuse_other_requests(method: &'static str, body_bytes: usize) {
    const SLOW_TIME: Duration = Duration::from_millis(2500);
    let is_caller_slow = method == "GET";
    let path = if is_caller_slow { "/read/1" } else { "/book/1" };
    let (server, permissions) = paused_server(method, body_bytes);
    let system = TestSystem::start_with_document(&[server], None, &document(1));
    let mut stream = send(&system, &close_request(method, path));
    let permission = permissions.recv_timeout(TEST_TIMEOUT).expect("the server gets the request");
    if is_caller_slow {
        permission.send(()).expect("the server waits");
        std::thread::sleep(SLOW_TIME);
    } else {
        std::thread::spawn(move || {
            std::thread::sleep(SLOW_TIME);
            permission.send(()).expect("the server waits");
        });
    }
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the response is complete");
    assert_eq!(parse_response(&response).1.len(), body_bytes);
    let traffic = system.entry.traffic;
    let TestSystem { entry, fleet } = system;
    let stopping = std::thread::spawn(move || entry.stop());
    // The timeout of 2 s and the slow relay do not fit into the rest of the grace period.
    std::thread::sleep(Duration::from_millis(400));
    let status = |method, path| {
        let text = close_request(method, path);
        parse_response(&exchange(traffic, text.as_bytes()).expect("the entry responds")).0
    };
    assert_eq!(status("HEAD", "/read/2"), 200);
    if !is_caller_slow {
        assert_eq!(status("HEAD", "/book/2"), 503);
    }
    stopping.join().expect("the entry stops");
    drop(fleet);
}

/// Guards against a stopping entry that takes a request of a caller which reads slowly, and cuts its
/// response off at the exit.
#[test]
fn a_caller_that_has_read_slowly_is_refused_in_time() {
    const BODY_BYTES: usize = 64 << 20;
    let responses = [(); 2].map(|()| ServerStep::Large(BODY_BYTES));
    let server = ScriptedServer::start(&responses);
    let system = TestSystem::start_with_document(&[server.address], None, &document(1));
    let mut stream = send(&system, &request("POST /book/1"));
    std::thread::sleep(Duration::from_millis(2500));
    read_head(&mut stream);
    stream.read_exact(&mut vec![0; BODY_BYTES]).expect("the response is complete");
    let TestSystem { entry, fleet } = system;
    let stopping = std::thread::spawn(move || entry.stop());
    std::thread::sleep(Duration::from_millis(400));
    stream.write_all(request("POST /book/2").as_bytes()).expect("the entry reads");
    stopping.join().expect("the entry stops");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the connection ends cleanly");
    assert_eq!(parse_response(&response).0, 503, "{} bytes", response.len());
    drop(fleet);
}

/// Reads up to the body of a response.
fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the response goes on");
        head.push(byte[0]);
    }
}

fn close_request(method: &str, path: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\nconnection: close\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Guards against a stopping entry that has relayed nothing since its start, takes a request that fits
/// before the exit without its response, and cuts off the long response.
#[test]
fn an_entry_without_history_takes_no_request_whose_response_may_be_long() {
    const BODY_BYTES: usize = 1_200_000;
    let head =
        VALID_RESPONSE.replace("content-length: 2", &format!("content-length: {BODY_BYTES}"));
    let response = head.trim_end_matches("ok").to_owned() + &"x".repeat(BODY_BYTES);
    let late = ServerStep::Delay(Duration::from_millis(1500), response.leak());
    let server = ScriptedServer::start(&[late]);
    let system = TestSystem::start_with_document(&[server.address], Some(4.0), &document(1));
    let mut stream = TcpStream::connect(system.entry.traffic).expect("the entry listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    let TestSystem { entry, fleet } = system;
    let stopping = std::thread::spawn(move || entry.stop());
    std::thread::sleep(Duration::from_millis(400));
    stream.write_all(request("POST /book/1").as_bytes()).expect("the entry reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the connection ends cleanly");
    stopping.join().expect("the entry stops");
    assert_eq!(parse_response(&response).0, 503, "{} bytes", response.len());
    drop(fleet);
}

/// Starts a server that holds back the last byte of its responses to requests with this method until it
/// is permitted, and sends others at once.
fn paused_server(
    method: &'static str,
    body_bytes: usize,
) -> (SocketAddr, mpsc::Receiver<mpsc::Sender<()>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let (sender, permissions) = mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut input = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut input) {
                    if request.starts_with("GET /health") {
                        let _ = stream.write_all(HEALTH_PAGE.as_bytes());
                        continue;
                    }
                    let response = VALID_RESPONSE.replace("ID", "r1");
                    if !request.starts_with(method) {
                        let _ = stream.write_all(response.trim_end_matches("ok").as_bytes());
                        continue;
                    }
                    let length = format!("content-length: {body_bytes}");
                    let mut response = response.replace("content-length: 2", &length);
                    response.truncate(response.len() - 2);
                    response += &"x".repeat(body_bytes);
                    let (permission, permitted) = mpsc::channel();
                    let (begin, last) = response.split_at(response.len() - 1);
                    // A long response ends only when the caller has read it.
                    let mut begun = stream.try_clone().expect("the stream can be cloned");
                    let begin = begin.to_owned();
                    let writing = std::thread::spawn(move || begun.write_all(begin.as_bytes()));
                    let _ = sender.send(permission);
                    let _ = permitted.recv();
                    let _ = writing.join();
                    let _ = stream.write_all(last.as_bytes());
                }
            });
        }
    });
    (address, permissions)
}

/// How the bytes of a late request arrive.
#[derive(Debug, Clone, Copy)]
enum LateArrival {
    /// On a connection that is opened for it.
    NewConnection,
    /// The head began to arrive before the stop.
    RestOfHead,
    /// The head arrived before the stop, the body ends late.
    RestOfBody,
}

/// What became of a request that was sent during a stop.
#[derive(Debug, PartialEq, Eq)]
enum LateResult {
    /// Complete response.
    Answered(u16),
    /// The connection was refused or ended before the request was complete.
    NotTaken,
    /// The request was sent completely, and the connection ended without a complete response.
    Lost(String),
}

/// Begins a request and returns what completes it.
fn begin_late(
    system_address: SocketAddr,
    arrival: LateArrival,
    text: &str,
) -> (Option<TcpStream>, String) {
    let split_at = match arrival {
        LateArrival::NewConnection => return (None, text.to_owned()),
        LateArrival::RestOfHead => text.len() / 2,
        LateArrival::RestOfBody => text.len() - 1,
    };
    let mut stream = TcpStream::connect(system_address).expect("the entry listens");
    stream.write_all(&text.as_bytes()[..split_at]).expect("the entry reads");
    (Some(stream), text[split_at..].to_owned())
}

fn finish_late(address: SocketAddr, stream: Option<TcpStream>, rest: &str) -> LateResult {
    let Some(mut stream) = stream.or_else(|| TcpStream::connect(address).ok()) else {
        return LateResult::NotTaken;
    };
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    // What the entry sent before the request was complete is a refusal of its own.
    let is_refused = stream.set_nonblocking(true).is_ok() && stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).expect("the mode is valid");
    let written = stream.write_all(rest.as_bytes());
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let text = String::from_utf8_lossy(&response).into_owned();
    let length = header_value(&text, "content-length").and_then(|length| length.parse().ok());
    if length == Some(parse_response(&text).1.len()) {
        return LateResult::Answered(parse_response(&text).0);
    }
    if written.is_err() || is_refused {
        return LateResult::NotTaken;
    }
    LateResult::Lost(format!("{text:?} {read:?}"))
}

/// Guards against a request that is taken late in the grace and passed on, and whose connection the exit
/// cuts without a response.
#[parameterized(
    new_connection = { LateArrival::NewConnection },
    rest_of_head = { LateArrival::RestOfHead },
    rest_of_body = { LateArrival::RestOfBody },
)]
fn a_request_late_in_the_grace_is_answered_or_not_taken(arrival: LateArrival) {
    let slow = ServerStep::Delay(Duration::from_millis(700), VALID_RESPONSE);
    let servers: Vec<_> = (0..8).map(|_| ScriptedServer::start(&vec![slow.clone(); 200])).collect();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let TestSystem { entry, fleet } = start_with_long_timeout(&addresses);
    let traffic = entry.traffic;
    let mut callers = Vec::new();
    for number in 0..40_u32 {
        // It counts from the arrival of the head.
        let deadlines_ms = match arrival {
            LateArrival::RestOfBody => [1500, 2500, 3500, 10_000],
            LateArrival::NewConnection | LateArrival::RestOfHead => [600, 1000, 2500, 10_000],
        };
        let deadline_ms = deadlines_ms[number as usize % 4];
        let (method, path) = if number % 8 < 4 { ("GET", "/read/") } else { ("POST", "/book/") };
        let text = format!(
            "{method} {path}{number} HTTP/1.1\r\nhost: shop\r\nx-request-id: late-{number}\r\n\
             x-request-deadline: {deadline_ms}\r\ncontent-length: 4\r\n\r\nbody"
        );
        let (stream, rest) = begin_late(traffic, arrival, &text);
        callers.push((number, stream, rest));
    }
    std::thread::sleep(Duration::from_millis(100));
    let stopping = std::thread::spawn(move || entry.stop());
    let started = Instant::now();
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads = callers.into_iter().map(|(number, stream, rest)| {
            scope.spawn(move || {
                std::thread::sleep((GRACE / 40 * number).saturating_sub(started.elapsed()));
                (number, finish_late(traffic, stream, &rest))
            })
        });
        let threads: Vec<_> = threads.collect();
        threads.into_iter().map(|thread| thread.join().expect("it ends")).collect()
    });
    stopping.join().expect("the entry stops");
    drop(fleet);
    let sent: Vec<String> = servers.iter().flat_map(ScriptedServer::requests).collect();
    let ran = |number: u32| {
        let id = format!("late-{number}\r\n");
        sent.iter().filter(|request| request.contains(&id)).count()
    };
    for (number, result) in &results {
        assert!(!matches!(result, LateResult::Lost(_)), "{number}: {results:?}");
        if matches!(result, LateResult::Answered(503) | LateResult::NotTaken) {
            assert_eq!(ran(*number), 0, "{number} was refused and ran: {results:?}");
        }
        if number % 8 >= 4 {
            assert!(ran(*number) <= 1, "{number} ran twice");
        }
    }
    let served = results.iter().filter(|(_, result)| *result == LateResult::Answered(200)).count();
    assert!(served > 5, "{results:?}");
}

/// Size of the responses to a pipelining caller.
const PIPELINED_BYTES: usize = 300_000;

/// Rate at which that caller reads: a line of 4 Mbit/s.
const PIPELINED_BYTES_PER_S: f64 = 500_000.0;

/// Reads one response at the caller's rate; returns its head, or `None` if it is not complete.
fn read_response_slowly(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<String> {
    let mut piece = vec![0; 8192];
    loop {
        let text = String::from_utf8_lossy(input).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n")
            && body.len() >= PIPELINED_BYTES
        {
            let head = format!("{head}\r\n");
            input.drain(..head.len() + 2 + PIPELINED_BYTES);
            return Some(head);
        }
        let count = stream.read(&mut piece).ok().filter(|count| *count > 0)?;
        input.extend_from_slice(&piece[..count]);
        std::thread::sleep(Duration::from_secs_f64(count as f64 / PIPELINED_BYTES_PER_S));
    }
}

/// Guards against a stop that drops a connection while its caller still reads (review case 5): the next
/// pipelined request meets a closed socket, and the reset discards what the kernel has not sent yet.
#[test]
fn a_pipelining_caller_on_a_slow_line_gets_all_responses() {
    let large = ServerStep::Large(PIPELINED_BYTES);
    let server = ScriptedServer::start(&vec![large; 20]);
    let system = TestSystem::start_with_document(&[server.address], None, &document(1));
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket can be opened");
    socket.set_recv_buffer_size(16 << 10).expect("the size is valid");
    socket.connect(&system.entry.traffic.into()).expect("the entry listens");
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    let text = request("GET /read/1");
    stream.write_all(text.repeat(3).as_bytes()).expect("the entry reads");
    let servers = [server];
    wait_for("the requests to be passed on", || sent_count(&servers) == 3);
    let TestSystem { entry, fleet } = system;
    let stopping = std::thread::spawn(move || entry.stop());
    let (mut input, mut complete) = (Vec::new(), 0);
    while let Some(head) = read_response_slowly(&mut stream, &mut input) {
        complete += 1;
        if head.contains("connection: close") {
            break;
        }
        // The caller has not seen that the connection will be closed.
        let _ = stream.write_all(text.as_bytes());
    }
    stopping.join().expect("the entry stops");
    drop(fleet);
    assert_eq!(complete, sent_count(&servers), "responses of requests that were passed on");
}
