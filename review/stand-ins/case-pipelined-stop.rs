//! Case: a planned stop cuts off answers that a caller on a slow line has not received yet, because the
//! caller's next pipelined request meets a closed socket.

#[path = "harness.rs"]
mod harness;

use std::collections::{BTreeMap, VecDeque};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Connection, Deployment, Record, Upstream, has_trouble, unix_ms};

const SERVERS: usize = 6;
const CALLERS: usize = 10;
/// Requests that a caller has sent and not received answers to.
const DEPTH: usize = 3;
/// Size of an answer: the largest of `sheet-pull` in the site file.
const BODY_BYTES: usize = 540_000;
/// Line of a caller: 4 Mbit/s.
const BYTES_PER_S: f64 = 500_000.0;
const DEADLINE_MS: u64 = 8000;

#[derive(Default)]
struct Outcomes {
    runs: BTreeMap<String, String>,
    /// Time from sending to the end of the connection, for requests without a complete answer.
    cut: BTreeMap<String, (Duration, String)>,
    complete: usize,
}

fn serve(stream: TcpStream, id: &str, outcomes: &Mutex<Outcomes>, record: &Record) {
    let mut connection = Connection::new(stream);
    while let Ok(Some(request)) = connection.read_message(false) {
        let attempt = request.header("x-attempt-id").to_owned();
        let mut head = format!("HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nX-Upstream-Load: 0,0,50\r\n");
        let body = if request.path() == "/healthz" {
            "ok".to_owned()
        } else {
            record.line(&format!("run    {attempt} at {id}"));
            outcomes.lock().unwrap().runs.insert(attempt.clone(), id.to_owned());
            thread::sleep(Duration::from_millis(61));
            head += &format!("X-Attempt-Id: {attempt}\r\nX-Upstream-Signature: s.{id}.{attempt}\r\n");
            "x".repeat(BODY_BYTES)
        };
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        if connection.stream.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case is given");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    let mut deployment = Deployment::new("stop", 1, 2);
    deployment.start_all();
    let admins = deployment.admins();
    let outcomes: Arc<Mutex<Outcomes>> = Arc::default();
    for number in 0..SERVERS {
        let ip = deployment.take_ip();
        let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
        let upstream = Upstream {
            id: format!("i-{number}"), service: "sheets".into(), address: listener.local_addr().unwrap(),
            zone: format!("zone-{}", number % 3), slots: 50, born: unix_ms(),
        };
        let (id, outcomes, record) = (upstream.id.clone(), Arc::clone(&outcomes), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, outcomes, record) = (id.clone(), Arc::clone(&outcomes), record.clone());
                thread::spawn(move || serve(stream, &id, &outcomes, &record));
            }
        });
        upstream.keep_beating(admins.clone());
    }
    let config = r#"{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"a.example","route_rules":[{"name":"sheet","route_type":"download","target_latency":"300ms","priority":1,"match":{"path_prefix":"/sheet/"},"action":{"service":"sheets","timeout":"8000ms","max_attempts":2}}]}],"clusters":[{"name":"sheets","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false}]}"#;
    if !deployment.put_config(config) || !deployment.wait_until_ready() {
        eprintln!("the deployment did not start");
        return ExitCode::from(2);
    }
    thread::sleep(Duration::from_secs(3));
    let stop = Arc::new(AtomicBool::new(false));
    let entry = deployment.entries[0].address;
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (record, outcomes, stop) = (record.clone(), Arc::clone(&outcomes), Arc::clone(&stop));
            thread::spawn(move || run_caller(number, entry, &record, &outcomes, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if has_trouble() {
        record.line("SIGTERM to the entry");
        deployment.entries[0].signal("TERM");
        // The platform restarts what has ended; this caller's balancer would send it elsewhere.
    }
    thread::sleep(Duration::from_secs(9));
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    judge(&record, &outcomes.lock().unwrap())
}

/// Keeps `DEPTH` requests on one connection and reads at the speed of its line. Respects
/// `Connection: close`; does not connect again after a stop.
fn run_caller(
    number: usize, entry: SocketAddr, record: &Record, outcomes: &Mutex<Outcomes>, stop: &AtomicBool,
) {
    let Ok(mut stream) = TcpStream::connect(entry) else { return };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
    let mut due: VecDeque<(String, Instant)> = VecDeque::new();
    let (mut count, mut buffer, mut last) = (0, Vec::new(), false);
    let mut line_free_at = Instant::now();
    let end = loop {
        while due.len() < DEPTH && !last && !stop.load(Ordering::Relaxed) {
            count += 1;
            let id = format!("{number:04x}{count:08x}");
            let request = format!(
                "GET /sheet/{id} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
            );
            record.line(&format!("sent   {id}"));
            due.push_back((id, Instant::now()));
            if stream.write_all(request.as_bytes()).is_err() {
                record.line(&format!("caller {number}: the connection takes no more requests"));
                last = true;
            }
        }
        if due.is_empty() {
            break "no request is due";
        }
        // The head and the whole body of the oldest request.
        let complete = loop {
            if let Some((length, total, closes)) = parse(&buffer)
                && buffer.len() >= length + total
            {
                buffer.drain(..length + total);
                last |= closes;
                break true;
            }
            if parse(&buffer).is_some_and(|(_, _, closes)| closes) {
                last = true;
            }
            let now = Instant::now();
            if line_free_at > now {
                thread::sleep(line_free_at - now);
            }
            let mut bytes = [0; 5000];
            match stream.read(&mut bytes) {
                Ok(size) if size > 0 => {
                    buffer.extend_from_slice(&bytes[..size]);
                    let pause = Duration::from_secs_f64(size as f64 / BYTES_PER_S);
                    line_free_at = line_free_at.max(now) + pause;
                }
                _ => break false,
            }
        };
        if !complete {
            break "the connection ended";
        }
        let (id, sent_at) = due.pop_front().expect("a request is due");
        record.line(&format!("answer {id} whole after {} ms", sent_at.elapsed().as_millis()));
        outcomes.lock().unwrap().complete += 1;
    };
    let got = buffer.len();
    for (place, (id, sent_at)) in due.into_iter().enumerate() {
        let text = if place == 0 { format!("{end}, {got} bytes of its answer came") } else { end.to_owned() };
        record.line(&format!("cut    {id} after {} ms: {text}", sent_at.elapsed().as_millis()));
        outcomes.lock().unwrap().cut.insert(id, (sent_at.elapsed(), text));
    }
}

/// Length of the head, size of the body, and whether the connection closes after it.
fn parse(buffer: &[u8]) -> Option<(usize, usize, bool)> {
    let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..end]).to_lowercase();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"))?;
    Some((end + 4, length.trim().parse().ok()?, head.contains("connection: close")))
}

fn judge(record: &Record, outcomes: &Outcomes) -> ExitCode {
    let lost: Vec<_> = outcomes
        .cut
        .iter()
        .filter(|(id, (age, _))| {
            outcomes.runs.contains_key(*id) && age.as_millis() < u128::from(DEADLINE_MS)
        })
        .collect();
    for (id, (age, text)) in &lost {
        record.line(&format!(
            "LOST   {id} ran at {}, and after {} ms {text}", outcomes.runs[*id], age.as_millis()
        ));
    }
    let summary = format!(
        "whole_answers={} cut={} of_these_passed_on_to_a_server={}",
        outcomes.complete, outcomes.cut.len(), lost.len()
    );
    record.line(&summary);
    println!("{summary}");
    if outcomes.complete < 30 {
        return ExitCode::from(2);
    }
    if lost.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
