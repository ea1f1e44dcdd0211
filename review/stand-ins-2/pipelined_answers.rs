//! Some upstreams break off a fiftieth of their long answers. Clients send safe requests behind a download on
//! the same connection. LOST: a request of a kept connection that was passed on to a sound upstream must get
//! an answer.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upstreams of the store; one of them breaks off answers: 0.33 of the service.
const STORE_UPSTREAMS: usize = 3;

/// Each answer with this number is broken off: 0.02 of the upstream's answers.
const BROKEN_EACH: u32 = 50;

/// Bytes of a sheet, and bytes after which a broken answer ends.
const SHEET_BYTES: usize = 180_000;
const BROKEN_BYTES: usize = 150_000;

/// Clients, each with one connection at a time, and the requests that each sends behind a download.
const CLIENTS: u32 = 4;
const LOOKUPS: u32 = 3;

/// Time between two downloads of a client: 23 a second of all clients together, as on the site.
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(174);

/// Time for which clients send.
const TRAFFIC: Duration = Duration::from_secs(45);

/// LOST is broken by more of them.
const ALLOWED_LOST: usize = 3;

type Ran = Arc<Mutex<BTreeSet<String>>>;

fn main() {
    let record = std::env::args().nth(1).expect("the path of the record");
    std::process::exit(run(Path::new(&record)));
}

fn run(record: &Path) -> i32 {
    let deployment = Deployment::start(record, 3, 1, 1);
    let verdict = play(&deployment);
    deployment.record.line(&format!("exit code {verdict}"));
    deployment.end();
    verdict
}

fn play(deployment: &Deployment) -> i32 {
    let ran: Ran = Arc::default();
    for number in 0..STORE_UPSTREAMS {
        let garbles = number == 0 && has_trouble();
        let (answers, record) = (AtomicU32::new(0), deployment.record.clone());
        let work = move |request: &UpstreamRequest, connection: &mut Connection| {
            thread::sleep(Duration::from_millis(30));
            let answer_number = answers.fetch_add(1, Ordering::SeqCst) + 1;
            if garbles && answer_number % BROKEN_EACH == 0 {
                let attempt = request.head.get("x-attempt-id").unwrap_or_default();
                record.line(&format!("upstream breaks off its answer to {attempt}"));
                return break_off(attempt, connection);
            }
            answer(request, connection, &vec![b's'; SHEET_BYTES])
        };
        Upstream::start(deployment, &format!("i-store{number}"), "store", number, Box::new(work));
    }
    for number in 0..2 {
        let ran = Arc::clone(&ran);
        let work = move |request: &UpstreamRequest, connection: &mut Connection| {
            thread::sleep(Duration::from_millis(20));
            let attempt = request.head.get("x-attempt-id").unwrap_or_default().to_owned();
            ran.lock().expect("no holder panics").insert(attempt);
            answer(request, connection, b"the round of today")
        };
        let id = format!("i-book{number}");
        Upstream::start(deployment, &id, "book", STORE_UPSTREAMS + number, Box::new(work));
    }
    let routes = [("/sheets/", "download", "store", 2000), ("/rounds/", "safe", "book", 2000)];
    if !deployment.put_config(&config(1, &routes, &["store", "book"]))
        || !deployment.wait_until_ready(Duration::from_secs(15))
    {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let ends_at = Instant::now() + TRAFFIC;
    let counts = Arc::new((AtomicU32::new(0), AtomicU32::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (deployment.entries[0].frontend(), deployment.record.clone());
            let (unanswered, counts) = (Arc::clone(&unanswered), Arc::clone(&counts));
            thread::spawn(move || {
                let mut round = 0;
                while Instant::now() < ends_at {
                    round += 1;
                    let session = Session { client, round, record: &record, counts: &counts };
                    let left = session.run(entry);
                    unanswered.lock().expect("no holder panics").extend(left);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("no client panics");
    }
    let ran = ran.lock().expect("no holder panics");
    let unanswered = unanswered.lock().expect("no holder panics");
    let lost: Vec<_> = unanswered.iter().filter(|attempt| ran.contains(*attempt)).collect();
    let record = &deployment.record;
    record.line(&format!(
        "{} downloads, {} lookups answered; lookups that a sound upstream ran and whose connection ended \
         without their answer: {} {lost:?}",
        counts.0.load(Ordering::SeqCst),
        counts.1.load(Ordering::SeqCst),
        lost.len()
    ));
    if lost.len() > ALLOWED_LOST {
        BROKEN
    } else {
        HELD
    }
}

/// Sends the head of a whole answer and a part of its body, and closes the connection.
fn break_off(attempt: &str, connection: &mut Connection) -> std::io::Result<()> {
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Upstream-Signature: signed.{attempt}\r\n\
         Content-Length: {SHEET_BYTES}\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes())?;
    connection.stream.write_all(&vec![b's'; BROKEN_BYTES])?;
    // A moment for the bytes to arrive; the requests behind are at work meanwhile.
    thread::sleep(Duration::from_millis(10));
    connection.stream.shutdown(std::net::Shutdown::Both)?;
    Err(std::io::ErrorKind::UnexpectedEof.into())
}

/// One connection of a client.
struct Session<'a> {
    client: u32,
    round: u32,
    record: &'a Record,
    counts: &'a (AtomicU32, AtomicU32),
}

impl Session<'_> {
    /// Sends a download and lookups behind it until the connection ends, at most ten times; returns the
    /// lookups that were sent and got no answer.
    fn run(&self, entry: std::net::SocketAddr) -> Vec<String> {
        let Ok(mut connection) = Connection::open(entry, Duration::from_secs(3)) else {
            return Vec::new();
        };
        for turn in 0..10 {
            let began_at = Instant::now();
            let mut due: Vec<(bool, String)> = Vec::new();
            let mut text = String::new();
            for place in 0..=LOOKUPS {
                let attempt = format!("{:04x}{:06x}{turn:02x}{place:04x}", self.client, self.round);
                let path = if place == 0 { "/sheets/1" } else { "/rounds/1" };
                text.push_str(&format!(
                    "GET {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Deadline-Ms: 2000\r\n\r\n"
                ));
                due.push((place > 0, attempt));
            }
            if connection.stream.write_all(text.as_bytes()).is_err() {
                return Vec::new();
            }
            while !due.is_empty() {
                let answer = match connection.read_answer("GET") {
                    Ok(answer) => answer,
                    Err(error) => {
                        let attempts: Vec<_> = due.iter().map(|(_, attempt)| attempt).collect();
                        self.record.line(&format!(
                            "client {}: connection ends ({error}), without answers to {attempts:?}",
                            self.client
                        ));
                        let lookups = due.into_iter().filter(|(is_lookup, _)| *is_lookup);
                        return lookups.map(|(_, attempt)| attempt).collect();
                    }
                };
                let (is_lookup, attempt) = due.remove(0);
                let counts = if is_lookup { &self.counts.1 } else { &self.counts.0 };
                counts.fetch_add(1, Ordering::SeqCst);
                if answer.status != 200 {
                    self.record.line(&format!("client {}: {attempt} gets {}", self.client, answer.status));
                }
                let closes = answer.head.get("connection");
                if closes.is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                    // What was sent behind counts as not read, and is sent again.
                    return Vec::new();
                }
            }
            thread::sleep(DOWNLOAD_INTERVAL.saturating_sub(began_at.elapsed()));
        }
        Vec::new()
    }
}
