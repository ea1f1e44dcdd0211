//! Behaviour of an entry whose standard output is a full pipe.

use std::time::{Duration, Instant};

use crate::harness::{call, exchange, free_address, parse_response, wait_for};
use crate::support::start_lone_entry;

/// Number of requests; their log lines exceed the capacity of a pipe several times.
const REQUESTS: usize = 1500;

/// Request with a deadline of 1 ms, so that the entry does not wait for the first document.
const SHORT_DEADLINE_REQUEST: &str = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\
                     x-request-deadline: 1\r\nconnection: close\r\n\r\n";

/// Maximum time for one response. A blocking write to the full pipe would never return.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against requests that block because nothing reads the process's standard output.
#[test]
fn full_log_pipe_does_not_delay_requests() {
    let traffic = free_address();
    let mut child = start_lone_entry(traffic, free_address());
    wait_for("the entry to listen", || call(traffic, "GET", "/read/1", "").0 == 503);
    for number in 0..REQUESTS {
        let started = Instant::now();
        let answer =
            exchange(traffic, SHORT_DEADLINE_REQUEST.as_bytes()).expect("the entry answers");
        assert_eq!(parse_response(&answer).0, 503, "request {number}");
        assert!(started.elapsed() < RESPONSE_TIMEOUT, "request {number} was delayed");
    }
    child.kill().expect("the process runs");
    child.wait().expect("the process ends");
}
