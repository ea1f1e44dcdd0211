//! Log of a process that stops.

use std::io::Read;
use std::net::TcpListener;
use std::process::Child;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::harness::{call, exchange, free_address, wait_for};
use crate::support::start_lone_entry;

/// Longest time for which a process that has no requests may take to exit while it still starts.
const STARTING_EXIT_TIME: Duration = Duration::from_secs(1);

/// Number of refused requests, with a line each, that fills a pipe nobody reads.
const LINES_BEYOND_THE_PIPE: usize = 700;

/// Guards against a process that ignores SIGTERM while it cannot start, and is killed at the end of its
/// grace period.
#[test]
fn a_process_that_still_starts_can_be_stopped() {
    let occupied = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let traffic = occupied.local_addr().expect("a listener has an address");
    let mut child = start_lone_entry(traffic, free_address());
    std::thread::sleep(Duration::from_millis(500));
    assert!(child.try_wait().expect("the process is a child").is_none(), "it goes on trying");
    let signalled_at = Instant::now();
    let log = terminate(&mut child);
    assert!(signalled_at.elapsed() < STARTING_EXIT_TIME, "{:?}", signalled_at.elapsed());
    assert!(log.contains("event=process_stopped"), "{log}");
}

/// Guards against an exit that loses the last lines of the log, which say what a planned stop cut off.
#[test]
fn the_last_lines_are_written_before_the_exit() {
    let readiness = free_address();
    let mut child = start_lone_entry(free_address(), readiness);
    wait_for("the entry to listen", || {
        call(readiness, "GET", "/.curranthollow/ready", "").0 == 503
    });
    let log = terminate(&mut child);
    for event in ["process_stopping", "entry_stopped active=0 receiving=0", "process_stopped"] {
        assert!(log.contains(&format!("event={event}")), "no {event} in\n{log}");
    }
}

/// Guards against an exit that loses the last lines of the log although the grace period leaves time to
/// write them: here the reader of the log is late, on a busy machine its writer.
#[test]
fn the_last_lines_are_written_while_the_grace_period_lasts() {
    const LATE_READ_TIME: Duration = Duration::from_millis(400);
    let traffic = free_address();
    let mut child = start_lone_entry(traffic, free_address());
    wait_for("the entry to listen", || call(traffic, "GET", "/read/1", "").0 == 503);
    // More lines than the pipe holds.
    for _ in 0..LINES_BEYOND_THE_PIPE {
        let request = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-deadline: 1\r\n\
                       connection: close\r\n\r\n";
        exchange(traffic, request.as_bytes()).expect("the entry answers");
    }
    signal_stop(&child);
    std::thread::sleep(LATE_READ_TIME);
    let mut log = String::new();
    let output = child.stdout.as_mut().expect("the output is piped");
    output.read_to_string(&mut log).expect("the log is text");
    child.wait().expect("the process ends");
    assert!(log.contains("event=process_stopped"), "{}", &log[log.len() - 1000..]);
}

/// Sends SIGTERM and returns the log once the process has exited.
fn terminate(child: &mut Child) -> String {
    signal_stop(child);
    child.wait().expect("the process ends");
    let mut log = String::new();
    let output = child.stdout.as_mut().expect("the output is piped");
    output.read_to_string(&mut log).expect("the log is text");
    log
}

fn signal_stop(child: &Child) {
    let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
    kill_process(pid, Signal::TERM).expect("the process exists");
}
