//! Responses of faulty servers: a truncated response, or that of another request, must not reach the
//! caller as a complete one.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use curranthollow::entry::EXCHANGE_HEADER;
use curranthollow::http::{HeaderList, send_request};

use super::client::{Answer, Call};
use super::cluster::{ClusterOptions, DEFAULT_LEASE, TEAM_TOKEN, TestCluster};
use super::support::{seed, wait_until};

/// Faults that a request can select in its query.
const FAULTS: [&str; 9] = [
    "none",
    "dies",
    "short_chunks",
    "over_long",
    "stalls",
    "late",
    "two_answers",
    "late_copy",
    "dies_in_head",
];

const CALL_COUNT: usize = 200;

/// Server whose response has the fault that the query parameter `fault` selects.
struct FaultyServer {
    stopped: Arc<AtomicBool>,
}

impl FaultyServer {
    fn start(entry: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let stopped = Arc::new(AtomicBool::new(false));
        let (server_stopped, announcer_stopped) = (Arc::clone(&stopped), Arc::clone(&stopped));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if server_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                thread::spawn(move || {
                    let mut late_copy = Vec::new();
                    while serve(&stream, &mut late_copy).is_ok_and(|keep_open| keep_open) {}
                });
            }
        });
        thread::spawn(move || {
            for sequence in 1.. {
                if announcer_stopped.load(Ordering::SeqCst) {
                    return;
                }
                announce(entry, address, sequence);
                thread::sleep(Duration::from_millis(500));
            }
        });
        Self { stopped }
    }
}

impl Drop for FaultyServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn announce(entry: SocketAddr, address: SocketAddr, sequence: u64) {
    let body = serde_json::json!({
        "team": "demo", "service": "faulty", "server": "faulty-1",
        "address": address.to_string(), "availability_zone": "zone-1", "slots": 6,
        "connections": 64, "state": "ready", "load": 0, "incarnation": 1, "sequence": sequence,
    });
    let mut headers = HeaderList::new();
    headers.append("authorization", format!("Bearer {TEAM_TOKEN}").as_bytes()).unwrap();
    let path = curranthollow::entry::ANNOUNCE_PATH;
    let body = body.to_string().into_bytes();
    let _ = block_on(send_request(entry, "POST", path, headers, &body, Duration::from_secs(1)));
}

/// Complete body of the response to the request `run_id`.
fn complete_body(run_id: &str) -> Vec<u8> {
    format!("{run_id};").repeat(20_000 / (run_id.len() + 1)).into_bytes()
}

/// Serves one request; returns whether the connection stays open. `late_copy` is a second copy of the
/// previous response, which is sent when the next request has arrived.
fn serve(mut stream: &TcpStream, late_copy: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut reader = BufReader::with_capacity(1, stream);
    let (mut fault, mut run_id) = (String::new(), String::new());
    let mut exchange_line = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        if let Some((_, query)) = line.split_once("fault=") {
            fault = query.split(' ').next().unwrap().into();
        }
        if let Some(value) = line.strip_prefix("x-run-id: ") {
            run_id = value.trim().into();
        }
        if line.starts_with(EXCHANGE_HEADER) {
            exchange_line.clone_from(&line);
        }
        if line == "\r\n" {
            break;
        }
    }
    stream.write_all(&std::mem::take(late_copy))?;
    let body = complete_body(&run_id);
    let head = format!("HTTP/1.1 200 OK\r\nx-run-id: {run_id}\r\n{exchange_line}");
    let head_with_length = format!("{head}content-length: {}\r\n\r\n", body.len());
    let half = &body[..body.len() / 2];
    match &*fault {
        "dies" => {
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(half)?;
            return Ok(false);
        }
        "dies_in_head" => {
            stream.write_all(head.as_bytes())?;
            return Ok(false);
        }
        "short_chunks" => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n{:x}\r\n", half.len())?;
            stream.write_all(half)?;
            stream.write_all(b"\r\n")?;
            return Ok(false);
        }
        "over_long" => {
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(&body)?;
            stream.write_all(b"bytes after the end")?;
        }
        "endless_head" => {
            stream.write_all(head.as_bytes())?;
            loop {
                stream.write_all("x-noise: y\r\n".repeat(1000).as_bytes())?;
            }
        }
        "endless_chunks" => {
            write!(stream, "{head}transfer-encoding: chunked\r\n\r\n")?;
            loop {
                stream.write_all("4\r\nabcd\r\n".repeat(1000).as_bytes())?;
            }
        }
        "late_copy" => {
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(&body)?;
            *late_copy = head_with_length.into_bytes();
            late_copy.extend_from_slice(&body);
        }
        "two_answers" => {
            let forged = format!("{head}content-length: 2\r\n\r\nno");
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(&body)?;
            stream.write_all(forged.as_bytes())?;
        }
        "stalls" => {
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(half)?;
            thread::sleep(Duration::from_millis(1500));
            return Ok(false);
        }
        "late" => {
            thread::sleep(Duration::from_millis(1000));
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(&body)?;
        }
        _ => {
            stream.write_all(head_with_length.as_bytes())?;
            stream.write_all(&body)?;
        }
    }
    Ok(true)
}

// Guards against truncated, mixed-up and late responses that reach a caller as complete ones.
#[test]
fn callers_get_whole_answers_or_clear_failures() {
    let cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    let entry = cluster.entry(1);
    let _server = FaultyServer::start(entry);
    wait_until("the faulty server serves a request", || {
        Call::get("/faulty?fault=none", "first").send(entry).is_served()
    });
    let mut random = fastrand::Rng::with_seed(seed());
    let planned_faults: Vec<_> =
        (0..CALL_COUNT).map(|_| FAULTS[random.usize(..FAULTS.len())]).collect();
    let mut counts_by_fault = std::collections::BTreeMap::<&str, (u32, u32)>::new();
    for (group, faults) in planned_faults.chunks(8).enumerate() {
        let answers: Vec<(&str, String, Answer)> = thread::scope(|scope| {
            let calls: Vec<_> = faults
                .iter()
                .enumerate()
                .map(|(number, fault)| {
                    scope.spawn(move || {
                        let run_id = format!("whole-{group}-{number}");
                        let call = Call::get(&format!("/faulty?fault={fault}"), &run_id);
                        let answer = call.send(entry);
                        (*fault, run_id, answer)
                    })
                })
                .collect();
            calls.into_iter().map(|call| call.join().unwrap()).collect()
        });
        for (fault, run_id, answer) in answers {
            let counts = counts_by_fault.entry(fault).or_default();
            match answer {
                Answer::Served(body) => {
                    counts.0 += 1;
                    assert!(
                        body == complete_body(&run_id),
                        "{fault}: not the complete response to this request"
                    );
                    let may_be_served =
                        ["none", "over_long", "two_answers", "late_copy"].contains(&fault);
                    assert!(may_be_served, "{fault}: faulty response reported as complete");
                }
                Answer::Failed { .. } | Answer::Broken(_) => counts.1 += 1,
            }
        }
    }
    println!("served and failed: {counts_by_fault:?}");
    assert!(counts_by_fault["none"].0 > 0, "{counts_by_fault:?}");
}

// Guards against a second copy of a response that arrives while the connection carries the next
// request: it must not reach the caller of that request.
#[test]
fn a_late_copy_reaches_no_other_caller() {
    let cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    let entry = cluster.entry(1);
    let _server = FaultyServer::start(entry);
    wait_until("the faulty server serves a request", || {
        Call::get("/faulty?fault=none", "first").send(entry).is_served()
    });
    let mut served_count = 0;
    for number in 0..200 {
        let run_id = format!("copy-{number}");
        let answer = Call::get("/faulty?fault=late_copy", &run_id).send(entry);
        if let Answer::Served(body) = answer {
            served_count += 1;
            assert!(body == complete_body(&run_id), "{run_id} got another response");
        }
    }
    assert!(served_count >= 100, "{served_count} of 200 were served");
}

// Guards against bytes without end from a server, in a head or a body: the caller sees a failure in
// bounded time, and other requests are served meanwhile.
#[test]
fn bytes_without_end_end_visibly() {
    let cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    let entry = cluster.entry(1);
    let _server = FaultyServer::start(entry);
    wait_until("the faulty server serves a request", || {
        Call::get("/faulty?fault=none", "first").send(entry).is_served()
    });
    for fault in ["endless_head", "endless_chunks"] {
        thread::scope(|scope| {
            let target = format!("/faulty?fault={fault}");
            let endless = scope.spawn(move || Call::get(&target, fault).send(entry));
            thread::sleep(Duration::from_millis(200));
            let other = Call::get("/read", &format!("beside-{fault}")).send(entry);
            assert!(other.is_served(), "beside {fault}: {other:?}");
            let answer = endless.join().unwrap();
            assert!(!answer.is_served(), "{fault}");
        });
    }
}
