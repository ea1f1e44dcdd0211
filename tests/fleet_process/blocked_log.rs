//! A standard output that nobody reads.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use crate::harness::{call, exchange, free_address, parse_response, unique_path, wait_for};

/// Requests whose log lines are several times what a pipe holds.
const REQUESTS: usize = 1500;

/// A request that does not wait for the first document.
const HASTY: &str = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\
                     x-request-deadline: 1\r\nconnection: close\r\n\r\n";

/// Longest time for one answer; a write to the full pipe would wait for ever.
const ANSWER_TIME: Duration = Duration::from_secs(5);

/// Guards against a blocked standard output that delays requests.
#[test]
fn a_full_pipe_delays_no_request() {
    let (traffic, readiness, seed) = (free_address(), free_address(), free_address());
    let text = format!(
        r#"{{"name":"e","availability_zone":"a","seeds":["{seed}"],"grace":"1s","entry":{{
        "traffic":"{traffic}","readiness":"{readiness}","retry_ratio":0.2,"retry_slack":1,
        "retry_window":"10s"}}}}"#
    );
    let config = unique_path().with_extension("jsonc");
    std::fs::write(&config, text).expect("the folder can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
    command.arg("fleet").arg("--config").arg(&config).stdout(Stdio::piped());
    let mut child = command.spawn().expect("the binary starts");
    wait_for("the entry to listen", || call(traffic, "GET", "/read/1", "").0 == 503);
    for number in 0..REQUESTS {
        let started = Instant::now();
        let answer = exchange(traffic, HASTY.as_bytes()).expect("the entry answers");
        assert_eq!(parse_response(&answer).0, 503, "request {number}");
        assert!(started.elapsed() < ANSWER_TIME, "request {number} waited");
    }
    child.kill().expect("the process runs");
    child.wait().expect("the process ends");
}
