//! Upstreams go silent in the middle of long answers. CONFIG: a request that lasts longer than its route's
//! timeout must have a final answer half a second after it.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Upstreams of the store, how many of them go silent at a time (0.143 of the service), how often, and the
/// time after which others come in their place.
const UPSTREAMS: usize = 14;
const SILENT: usize = 2;
const EVENTS: usize = 8;
const DOWN_TIME: Duration = Duration::from_millis(4500);

/// Clients, which together ask for some 23 sheets a second, as on the site.
const CLIENTS: u32 = 20;
const SHEET_BYTES: usize = 540_000;
const PIECES: usize = 40;
const PIECE_PAUSE: Duration = Duration::from_millis(20);

const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);
const CLIENT_DEADLINE: Duration = Duration::from_millis(6000);

/// Time after the timeout at which there must be a final answer.
const SLACK: Duration = Duration::from_millis(500);

/// The rule counts from so many requests beyond their timeout on.
const MIN_LONG: usize = 8;

#[derive(Clone, Copy)]
struct Outcome {
    /// Time until the answer was complete, or the connection ended; `None` if neither came.
    ended_after: Option<Duration>,
}

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
    let start = |number: usize| {
        let is_silent = Arc::new(AtomicBool::new(false));
        let switch = Arc::clone(&is_silent);
        let work = move |request: &UpstreamRequest, connection: &mut Connection| {
            send_slowly(request, connection, &is_silent)
        };
        let id = format!("i-store{number:02}");
        (Upstream::start(deployment, &id, "store", number, Box::new(work)), switch)
    };
    let mut upstreams: Vec<_> = (0..UPSTREAMS).map(start).collect();
    let timeout = ROUTE_TIMEOUT.as_millis() as u32;
    let routes = [("/sheets/", "download", "store", timeout)];
    if !deployment.put_config(&config(1, &routes, &["store"]))
        || !deployment.wait_until_ready(Duration::from_secs(15))
    {
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let ends_at = Instant::now() + (DOWN_TIME + Duration::from_millis(500)) * EVENTS as u32;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (entry, record) = (deployment.entries[0].frontend(), deployment.record.clone());
            let outcomes = Arc::clone(&outcomes);
            thread::spawn(move || {
                let mut round = 0;
                while Instant::now() < ends_at {
                    round += 1;
                    let attempt = format!("{client:08x}{round:08x}");
                    if let Some(outcome) = download(entry, &attempt, &record) {
                        outcomes.lock().expect("no holder panics").push(outcome);
                    }
                }
            })
        })
        .collect();
    for event in 0..EVENTS {
        thread::sleep(Duration::from_millis(500));
        let first = event * SILENT;
        if has_trouble() {
            // The disruption: some upstreams crash and are silent (`srv_crash`, `dark`).
            for (upstream, switch) in &upstreams[first..first + SILENT] {
                deployment.record.line(&format!("upstream {} goes silent", upstream.id));
                switch.store(true, Ordering::SeqCst);
                upstream.stop_beating();
            }
        }
        thread::sleep(DOWN_TIME);
        if has_trouble() {
            let next = upstreams.len();
            upstreams.extend((next..next + SILENT).map(start));
        }
    }
    for client in clients {
        client.join().expect("no client panics");
    }
    let outcomes = outcomes.lock().expect("no holder panics");
    let is_open_at =
        |outcome: &&Outcome, time: Duration| outcome.ended_after.is_none_or(|ended_after| ended_after > time);
    let long: Vec<_> = outcomes.iter().filter(|outcome| is_open_at(outcome, ROUTE_TIMEOUT)).collect();
    let late = long.iter().filter(|outcome| is_open_at(outcome, ROUTE_TIMEOUT + SLACK)).count();
    deployment.record.line(&format!(
        "{} downloads, {} without a final answer at the route's timeout, {late} of them half a second later",
        outcomes.len(),
        long.len()
    ));
    let breaks = long.len() >= MIN_LONG && late * 4 > long.len();
    if breaks {
        BROKEN
    } else {
        HELD
    }
}

/// Sends a sheet in pieces, as it is produced. A silent upstream holds its connections and sends nothing more.
fn send_slowly(
    request: &UpstreamRequest,
    connection: &mut Connection,
    is_silent: &AtomicBool,
) -> std::io::Result<()> {
    let attempt = request.head.get("x-attempt-id").unwrap_or_default();
    let hold = || {
        while is_silent.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
        }
    };
    hold();
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Upstream-Signature: signed.{attempt}\r\n\
         X-Upstream-Load: 1,0,6\r\nContent-Length: {SHEET_BYTES}\r\n\r\n"
    );
    connection.stream.write_all(text.as_bytes())?;
    for _ in 0..PIECES {
        thread::sleep(PIECE_PAUSE);
        hold();
        connection.stream.write_all(&vec![b's'; SHEET_BYTES / PIECES])?;
    }
    Ok(())
}

fn download(entry: SocketAddr, attempt: &str, record: &Record) -> Option<Outcome> {
    let mut connection = Connection::open(entry, CLIENT_DEADLINE).ok()?;
    let started = Instant::now();
    let text = format!(
        "GET /sheets/1 HTTP/1.1\r\nHost: jepu9.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Deadline-Ms: {}\r\nConnection: close\r\n\r\n",
        CLIENT_DEADLINE.as_millis()
    );
    connection.stream.write_all(text.as_bytes()).ok()?;
    let result = read_until(&mut connection, started + CLIENT_DEADLINE);
    let elapsed = started.elapsed();
    let (what, is_final) = match &result {
        Ok(status) => (format!("{status}, whole"), true),
        Err(error) if is_timeout(error) => ("no end, given up".to_owned(), false),
        Err(error) => (format!("connection ended: {error}"), true),
    };
    record.line(&format!("download {attempt}: {what} after {} ms", elapsed.as_millis()));
    Some(Outcome { ended_after: is_final.then_some(elapsed) })
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}

/// Reads the answer; fails with a timeout at the deadline.
fn read_until(connection: &mut Connection, deadline: Instant) -> std::io::Result<u16> {
    let remaining = |connection: &mut Connection| -> std::io::Result<()> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        connection.stream.set_read_timeout(Some(left))?;
        connection.fill()
    };
    while !connection.buffered.windows(4).any(|window| window == b"\r\n\r\n") {
        remaining(connection)?;
    }
    let head = connection.read_head()?;
    let length: usize = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while connection.buffered.len() < length {
        remaining(connection)?;
    }
    Ok(head.word(1).parse().unwrap_or(0))
}
