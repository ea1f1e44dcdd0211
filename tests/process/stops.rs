//! Planned stops: every request that reaches a process is answered or refused.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use super::client::Call;
use super::cluster::{ClusterOptions, DEFAULT_LEASE, ROOT_TOKEN, TestCluster, numbered_document};
use super::cluster::{TEAM_TOKEN, replace_request};
use super::support::{WAIT_LIMIT, wait_until};

/// Threads that open connections during a stop.
const CALLERS: usize = 4;

/// Round trip to callers as stated in the design.
const ROUND_TRIP: Duration = Duration::from_millis(16);

/// Result of a request on a connection of its own.
#[derive(Debug, PartialEq, Eq)]
enum RawResult {
    /// Status of a complete response.
    Answered(u16),
    /// The operating system refused the connection, so nothing was sent.
    ConnectionRefused,
    /// The connection was accepted, but it ended without a complete response.
    Lost(String),
}

fn start_cluster() -> TestCluster {
    TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE })
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    Ok(stream)
}

fn send_raw(address: SocketAddr, request: &str) -> RawResult {
    match connect(address) {
        Ok(stream) => exchange_raw(stream, request),
        Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            RawResult::ConnectionRefused
        }
        Err(error) => RawResult::Lost(format!("connect: {error}")),
    }
}

fn exchange_raw(mut stream: TcpStream, request: &str) -> RawResult {
    if let Err(error) = stream.write_all(request.as_bytes()) {
        return RawResult::Lost(format!("write: {error}"));
    }
    let mut bytes = Vec::new();
    if let Err(error) = stream.read_to_end(&mut bytes) {
        return RawResult::Lost(format!("read after {} bytes: {error}", bytes.len()));
    }
    let text = String::from_utf8_lossy(&bytes);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return RawResult::Lost(format!("closed after {} bytes", bytes.len()));
    };
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    if length.and_then(|length| length.parse().ok()) != Some(body.len()) {
        return RawResult::Lost(format!("truncated: {text}"));
    }
    RawResult::Answered(head[9..12].parse().unwrap())
}

fn get_request(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\r\n")
}

/// Waits until the process writes `text` to its log.
fn wait_for_log(cluster: &TestCluster, name: &str, text: &str) {
    wait_until(&format!("{name} logs {text}"), || cluster.log(name).contains(text));
}

/// Number in a `name=number` field of a log line.
fn log_number(line: &str, name: &str) -> u64 {
    let prefix = format!("{name}=");
    let value = line.split(' ').find_map(|field| field.strip_prefix(&*prefix));
    value.and_then(|value| value.trim().parse().ok()).unwrap_or_else(|| panic!("{name}: {line}"))
}

// Guards against connections that a stopping entry accepts and closes without a response.
#[test]
fn a_connection_during_a_stop_is_served_or_refused() {
    let mut cluster = start_cluster();
    let entry = cluster.entry(1);
    let (is_stopped, lost) = (AtomicBool::new(false), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        // Keeps the process up beyond the shutdown delay.
        let long_call = Call::get("/read?time_us=3000000", "long");
        let long_answer = scope.spawn(move || long_call.send(entry));
        thread::sleep(Duration::from_millis(300));
        cluster.terminate("entry-1");
        for caller in 0..CALLERS {
            let (is_stopped, lost) = (&is_stopped, &lost);
            scope.spawn(move || {
                while !is_stopped.load(Ordering::SeqCst) {
                    let run_id = format!("x-run-id: stop-{caller}\r\n");
                    let request = get_request("/read?time_us=20000", &run_id);
                    match send_raw(entry, &request) {
                        RawResult::Answered(200) | RawResult::ConnectionRefused => (),
                        result => lost.lock().unwrap().push(result),
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        cluster.wait_for_exit("entry-1");
        is_stopped.store(true, Ordering::SeqCst);
        let long_answer = long_answer.join().unwrap();
        assert!(long_answer.is_served(), "{long_answer:?}");
    });
    let lost = lost.into_inner().unwrap();
    assert!(lost.is_empty(), "{} requests were lost: {lost:?}", lost.len());
}

// Guards against closing a new connection whose first request is still on its way.
#[test]
fn the_first_request_of_an_accepted_connection_is_served() {
    let mut cluster = start_cluster();
    let stream = connect(cluster.entry(1)).unwrap();
    cluster.terminate("entry-1");
    wait_for_log(&cluster, "entry-1", "to=finishing");
    let request = get_request("/read?time_us=300000", "x-run-id: first\r\n");
    assert_eq!(exchange_raw(stream, &request), RawResult::Answered(200));
    cluster.wait_for_exit("entry-1");
}

// Guards against closing a connection right after a response that promised to keep it open.
#[test]
fn a_request_after_a_response_with_keep_alive_is_served() {
    let mut cluster = start_cluster();
    let mut stream = connect(cluster.entry(1)).unwrap();
    // Runs beyond the shutdown delay.
    stream
        .write_all(b"GET /read?time_us=2000000 HTTP/1.1\r\nhost: test\r\nx-run-id: kept\r\n\r\n")
        .unwrap();
    thread::sleep(Duration::from_millis(200));
    cluster.terminate("entry-1");
    let mut response = Vec::new();
    while !response.ends_with(b"}") {
        let mut piece = [0; 4096];
        let count = stream.read(&mut piece).unwrap();
        assert!(count > 0, "closed after {:?}", String::from_utf8_lossy(&response));
        response.extend_from_slice(&piece[..count]);
    }
    let response = String::from_utf8(response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    // A caller that was told of the close sends nothing more on this connection.
    if !response.contains("connection: close\r\n") {
        thread::sleep(ROUND_TRIP);
        let request = get_request("/read", "x-run-id: next\r\n");
        assert_eq!(exchange_raw(stream, &request), RawResult::Answered(200));
    }
    cluster.wait_for_exit("entry-1");
}

// Guards against a stopping control process that cuts off an operator's waiting call.
#[test]
fn a_watch_call_is_answered_when_its_process_stops() {
    let mut cluster = start_cluster();
    let leader = cluster.leader();
    let stream = connect(cluster.nodes[&leader].operator).unwrap();
    let token = format!("authorization: Bearer {ROOT_TOKEN}\r\n");
    let request = get_request("/settings/root/watch/1000", &token);
    let result = thread::scope(|scope| {
        let call = scope.spawn(move || exchange_raw(stream, &request));
        thread::sleep(Duration::from_millis(500));
        cluster.terminate(&leader);
        call.join().unwrap()
    });
    assert!(matches!(result, RawResult::Answered(200 | 421 | 503)), "{result:?}");
    cluster.wait_for_exit(&leader);
}

// Guards against a stopping control process that cuts off a settings change without an outcome.
#[test]
fn a_settings_change_is_answered_when_its_process_stops() {
    let mut cluster = start_cluster();
    let leader = cluster.leader();
    // The change stays unconfirmed, because the entry does not install it.
    cluster.freeze("entry-1");
    let stream = connect(cluster.nodes[&leader].operator).unwrap();
    let body = replace_request("demo", 1, "stop-1", &numbered_document(1));
    let body = serde_json::to_string(&body).unwrap();
    let request = format!(
        "PUT /settings HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         authorization: Bearer {TEAM_TOKEN}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let result = thread::scope(|scope| {
        let call = scope.spawn(move || exchange_raw(stream, &request));
        thread::sleep(Duration::from_millis(500));
        cluster.terminate(&leader);
        call.join().unwrap()
    });
    assert!(matches!(result, RawResult::Answered(200 | 504)), "{result:?}");
    cluster.wait_for_exit(&leader);
    cluster.unfreeze("entry-1");
}

// Guards against a stop that leaves no record of what was still active and how long it took.
#[test]
fn a_stop_logs_what_was_active_and_how_long_it_took() {
    let mut cluster = start_cluster();
    let mut partial = connect(cluster.entry(1)).unwrap();
    partial.write_all(b"GET /read HTTP/1.1\r\nhost: te").unwrap();
    let entry = cluster.entry(1);
    thread::scope(|scope| {
        let call = Call::get("/read?time_us=2500000", "logged");
        let answer = scope.spawn(move || call.send(entry));
        thread::sleep(Duration::from_millis(300));
        cluster.terminate("entry-1");
        wait_for_log(&cluster, "entry-1", "to=finishing");
        wait_for_log(&cluster, "entry-1", "waiting for callers");
        drop(partial);
        assert!(answer.join().unwrap().is_served());
    });
    cluster.wait_for_exit("entry-1");
    let log = cluster.log("entry-1");
    let line = log.lines().find(|line| line.contains("waiting for callers")).unwrap();
    // Announcements of servers may be counted as well.
    assert!(log_number(line, "requests") >= 1, "{line}");
    assert!(log_number(line, "partial_requests") >= 1, "{line}");
    assert!(log_number(line, "connections") >= 2, "{line}");
    let line = log.lines().find(|line| line.contains("entry stopped")).expect("a line of the stop");
    for field in ["requests=0", "partial_requests=0", "connections=0", "after_ms="] {
        assert!(line.contains(field), "{line}");
    }
    let leader = cluster.leader();
    cluster.terminate(&leader);
    cluster.wait_for_exit(&leader);
    let log = cluster.log(&leader);
    let line = log.lines().find(|line| line.contains("control process stopped"));
    let line = line.expect("a line of the stop");
    for field in ["requests=0", "connections=", "after_ms="] {
        assert!(line.contains(field), "{line}");
    }
}

// Guards against SIGHUP that ends a process together with its requests in progress.
#[test]
fn a_hang_up_signal_interrupts_no_request() {
    let cluster = start_cluster();
    let entry = cluster.entry(1);
    let call = Call::get("/read?time_us=1000000", "hang-up");
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(move || call.send(entry));
        thread::sleep(Duration::from_millis(300));
        for name in cluster.process_names("") {
            cluster.hang_up(&name);
        }
        answer.join().unwrap()
    });
    assert!(answer.is_served(), "{answer:?}");
    let answer = Call::post("/book", "after-hang-up", "deposit").send(entry);
    assert!(answer.is_served(), "{answer:?}");
}

// Guards against a stop that drops pipelined requests or an upload whose body is still arriving.
#[test]
fn pipelined_requests_and_uploads_survive_a_stop() {
    let mut cluster = start_cluster();
    let mut pipeline = connect(cluster.entry(1)).unwrap();
    let mut pipelined = String::new();
    for number in 0..3 {
        pipelined += &format!(
            "GET /read?time_us=200000 HTTP/1.1\r\nhost: test\r\nx-run-id: pipe-{number}\r\n\r\n"
        );
    }
    let mut upload = connect(cluster.entry(1)).unwrap();
    let head = "POST /book HTTP/1.1\r\nhost: test\r\nconnection: close\r\nx-run-id: upload\r\n\
                idempotency-key: upload\r\ncontent-length: 20\r\n\r\n";
    upload.write_all(head.as_bytes()).unwrap();
    cluster.terminate("entry-1");
    pipeline.write_all(pipelined.as_bytes()).unwrap();
    wait_for_log(&cluster, "entry-1", "waiting for callers");
    thread::sleep(Duration::from_millis(700));
    assert_eq!(exchange_raw(upload, "twenty bytes of body"), RawResult::Answered(200));
    let mut text = String::new();
    pipeline.read_to_string(&mut text).unwrap();
    let (complete, told) =
        (text.matches("HTTP/1.1 200").count(), text.matches("connection: close"));
    // Requests behind a response with `Connection: close` are refused by it.
    assert!(complete == 3 || told.count() == 1, "{text}");
    cluster.wait_for_exit("entry-1");
}
