//! Some upstreams break off a fiftieth of their long answers. An answer before the broken one on the same
//! connection, whole and of a sound upstream, is still on its way to a client on a slow line, and a further
//! request arrives. LOST: the request before was passed on to a sound upstream and must get its answer.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upstreams of the store; one of them breaks off answers: 0.33 of the service.
const STORE_UPSTREAMS: usize = 3;

/// Each answer with this number is broken off: 0.02 of the upstream's answers.
const BROKEN_EACH: u32 = 50;

/// Bytes of the answers, and bytes after which a broken one ends.
const ROUND_BYTES: usize = 300_000;
const SHEET_BYTES: usize = 180_000;
const BROKEN_BYTES: usize = 150_000;

/// Clients at a time; together they ask for some 26 sheets a second, as on the site.
const CLIENTS: u32 = 30;

/// Rate at which a client's line delivers: 2 Mbit/s.
const LINE_BYTES_PER_S: f64 = 250_000.0;

/// Requests on one connection, and the time between two of them.
const REQUESTS: u32 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

const TRAFFIC: Duration = Duration::from_secs(75);

/// LOST is broken by more of them.
const ALLOWED_LOST: usize = 3;

/// Attempts whose answer a sound upstream has sent whole.
type Sent = Arc<Mutex<BTreeSet<String>>>;

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
    let sent: Sent = Arc::default();
    for number in 0..STORE_UPSTREAMS {
        let is_garbling = number == 0;
        let (answers, record, sent) = (AtomicU32::new(0), deployment.record.clone(), Arc::clone(&sent));
        let work = move |request: &UpstreamRequest, connection: &mut Connection| {
            thread::sleep(Duration::from_millis(20));
            let attempt = request.head.get("x-attempt-id").unwrap_or_default().to_owned();
            let answer_number = answers.fetch_add(1, Ordering::SeqCst) + 1;
            if is_garbling && has_trouble() && answer_number % BROKEN_EACH == 0 {
                record.line(&format!("upstream breaks off its answer to {attempt}"));
                return break_off(&attempt, connection);
            }
            answer(request, connection, &vec![b's'; SHEET_BYTES])?;
            if !is_garbling {
                sent.lock().expect("no holder panics").insert(attempt);
            }
            Ok(())
        };
        Upstream::start(deployment, &format!("i-store{number}"), "store", number, Box::new(work));
    }
    for number in 0..2 {
        let sent = Arc::clone(&sent);
        let work = move |request: &UpstreamRequest, connection: &mut Connection| {
            thread::sleep(Duration::from_millis(10));
            answer(request, connection, &vec![b'r'; ROUND_BYTES])?;
            let attempt = request.head.get("x-attempt-id").unwrap_or_default().to_owned();
            sent.lock().expect("no holder panics").insert(attempt);
            Ok(())
        };
        let id = format!("i-book{number}");
        Upstream::start(deployment, &id, "book", STORE_UPSTREAMS + number, Box::new(work));
    }
    let routes = [("/sheets/", "download", "store", 8000), ("/rounds/", "download", "book", 8000)];
    if !deployment.put_config(&config(1, &routes, &["store", "book"]))
        || !deployment.wait_until_ready(Duration::from_secs(15))
    {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let whole = Arc::new(AtomicU32::new(0));
    let ends_at = Instant::now() + TRAFFIC;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (deployment.entries[0].frontend(), deployment.record.clone());
            let (cut, whole) = (Arc::clone(&cut), Arc::clone(&whole));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(53) * client);
                let mut round = 0;
                while Instant::now() < ends_at {
                    round += 1;
                    let session = Session { client, round, record: &record, whole: &whole };
                    let left = session.run(entry).unwrap_or_default();
                    cut.lock().expect("no holder panics").extend(left);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("no client panics");
    }
    let (sent, cut) = (sent.lock().expect("no holder panics"), cut.lock().expect("no holder panics"));
    let lost: Vec<_> = cut.iter().filter(|attempt| sent.contains(*attempt)).collect();
    deployment.record.line(&format!(
        "{} answers arrived whole; answers that a sound upstream sent whole and that were cut off before the \
         broken one: {} {lost:?}",
        whole.load(Ordering::SeqCst),
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
    // A moment for the bytes to arrive.
    thread::sleep(Duration::from_millis(10));
    connection.stream.shutdown(std::net::Shutdown::Both)?;
    Err(std::io::ErrorKind::UnexpectedEof.into())
}

/// One connection of a client: a long answer first, then sheets, without waiting for the answers.
struct Session<'a> {
    client: u32,
    round: u32,
    record: &'a Record,
    whole: &'a AtomicU32,
}

impl Session<'_> {
    /// Returns the attempts whose answers, or parts of them, were due first when the connection ended early:
    /// the one that was being read, and those behind it.
    fn run(&self, entry: SocketAddr) -> std::io::Result<Vec<String>> {
        let mut connection = Connection::open(entry, Duration::from_secs(8))?;
        let started = Instant::now();
        let mut due: Vec<String> = Vec::new();
        let (mut sent_count, mut received) = (0, 0_usize);
        let mut expected: Option<usize> = None;
        while sent_count < REQUESTS || !due.is_empty() {
            while sent_count < REQUESTS && started.elapsed() >= REQUEST_INTERVAL * sent_count {
                let attempt = format!("{:04x}{:06x}{sent_count:06x}", self.client, self.round);
                let path = if sent_count == 0 { "/rounds/1" } else { "/sheets/1" };
                let text = format!(
                    "GET {path} HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Deadline-Ms: 8000\r\n\r\n"
                );
                sent_count += 1;
                due.push(attempt);
                if connection.stream.write_all(text.as_bytes()).is_err() {
                    break;
                }
            }
            if due.is_empty() {
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            // The line delivers a little at a time.
            let mut piece = [0; 4096];
            let count = match std::io::Read::read(&mut connection.stream, &mut piece) {
                Ok(count) if count > 0 => count,
                ended => {
                    self.record.line(&format!(
                        "client {}: connection ends ({ended:?}) after {received} bytes, without whole \
                         answers to {due:?}",
                        self.client
                    ));
                    return Ok(due);
                }
            };
            connection.buffered.extend_from_slice(&piece[..count]);
            received += count;
            let line_time = Duration::from_secs_f64(received as f64 / LINE_BYTES_PER_S);
            thread::sleep(line_time.saturating_sub(started.elapsed()));
            loop {
                let Some(length) = expected else {
                    let has_head = connection.buffered.windows(4).any(|window| window == b"\r\n\r\n");
                    if !has_head {
                        break;
                    }
                    let head = connection.read_head()?;
                    let length = head.get("content-length").and_then(|text| text.parse().ok());
                    expected = Some(length.unwrap_or(0));
                    continue;
                };
                if connection.buffered.len() < length {
                    break;
                }
                connection.buffered.drain(..length);
                expected = None;
                due.remove(0);
                self.whole.fetch_add(1, Ordering::SeqCst);
            }
        }
        Ok(Vec::new())
    }
}
