//! Signals that meet: several SIGTERMs, SIGHUPs during a stop, a SIGTERM within a series of SIGHUPs, and a
//! stop of an entry that has just started.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use yare::parameterized;

use crate::harness::{call, document, free_address, parse_response, wait_for};
use crate::support::{FleetProcesses, start_lone_entry};
use crate::work_server::response_body;

const GRACE: Duration = Duration::from_secs(4);

/// Time for which the server works on each request.
const SERVICE_MS: u64 = 1200;

const RESPONSE_BYTES: usize = 200_000;

/// Longest time for which a caller waits.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Number of SIGHUPs in a series; each comes with other seeds in the config.
const HANGUPS: usize = 20;

/// Guards against a signal that ends a stop early, or a process at once, with requests in progress.
#[parameterized(
    two_terminations = { &[Signal::TERM, Signal::TERM] },
    three_at_once = { &[Signal::TERM, Signal::TERM, Signal::TERM] },
    hangup_during_a_stop = { &[Signal::TERM, Signal::HUP, Signal::HUP] },
    hangup_right_before = { &[Signal::HUP, Signal::TERM] },
    within_a_series = { &[Signal::HUP; HANGUPS] },
)]
fn signals_that_meet_lose_no_request(signals: &[Signal]) {
    let mut fleet = FleetProcesses::start(3, &[None], GRACE);
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &document(1)));
    let _servers = fleet.start_servers(2);
    let address = fleet.entries[0].address;
    wait_for("a served request", || call(address, "GET", "/read/w/0/2", "").0 == 200);
    let mut callers = Vec::new();
    for (number, route) in ["read", "book", "read", "book"].into_iter().enumerate() {
        callers.push(std::thread::spawn(move || request_long(address, route, number)));
    }
    std::thread::sleep(Duration::from_millis(300));
    let links = fleet.links.clone();
    for (number, signal) in signals.iter().enumerate() {
        fleet.entries[0].write_config(&links[..=number % links.len()], false);
        fleet.entries[0].signal(*signal);
        if number == HANGUPS / 2 {
            // In the middle of the series.
            fleet.entries[0].signal(Signal::TERM);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let stopped_at = Instant::now();
    for (number, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("the caller does not panic");
        let expected = response_body(&format!("r{number}"), RESPONSE_BYTES);
        let (status, body) = parse_response(&response);
        assert_eq!((status, body == expected), (200, true), "{} bytes", response.len());
    }
    wait_for("the entry to exit", || fleet.entries[0].has_ended());
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
    assert_eq!(fleet.entries[0].log_lines("entry_stopped").len(), 1);
}

fn request_long(entry: SocketAddr, route: &str, number: usize) -> String {
    let text = format!(
        "GET /{route}/w/{SERVICE_MS}/{RESPONSE_BYTES} HTTP/1.1\r\nhost: shop\r\n\
         x-request-id: r{number}\r\n\r\n"
    );
    exchange_on_kept_connection(entry, &text)
}

/// Sends a request on a connection that stays open; returns what arrives before the entry closes it.
fn exchange_on_kept_connection(entry: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(entry).expect("the entry listens");
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("the timeout is valid");
    stream.write_all(text.as_bytes()).expect("the entry reads");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the connection ends cleanly");
    response
}

/// Guards against a stop that drops the requests which wait for the first document.
#[test]
fn a_request_that_waits_for_a_document_is_answered_by_a_stop() {
    let traffic = free_address();
    let mut child = start_lone_entry(traffic, free_address());
    wait_for("the entry to listen", || TcpStream::connect(traffic).is_ok());
    let text = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\
                x-request-deadline: 60000\r\n\r\n";
    let caller = std::thread::spawn(move || exchange_on_kept_connection(traffic, text));
    std::thread::sleep(Duration::from_millis(200));
    let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
    kill_process(pid, Signal::TERM).expect("the process exists");
    let response = caller.join().expect("the caller does not panic");
    assert_eq!(parse_response(&response).0, 503, "{response}");
    child.wait().expect("the process ends");
}
