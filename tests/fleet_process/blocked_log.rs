//! Behaviour of an entry whose standard output is a full pipe.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use crate::harness::{call, exchange, free_address, parse_response, unique_path, wait_for};

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
    let (traffic, readiness, seed) = (free_address(), free_address(), free_address());
    let config_text = format!(
        r#"{{"name":"e","availability_zone":"a","seeds":["{seed}"],"grace":"1s","entry":{{
        "traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,"retry_slack":1,
        "retry_window":"10s"}}}}"#
    );
    let config_path = unique_path().with_extension("jsonc");
    std::fs::write(&config_path, config_text).expect("the test folder is writable");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
    command.arg("fleet").arg("--config").arg(&config_path).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the binary starts");
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
