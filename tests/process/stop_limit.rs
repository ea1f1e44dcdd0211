//! End of a planned stop: requests that outlast the shutdown limit are answered before the exit.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use yare::parameterized;

use super::cluster::{ClusterOptions, DEFAULT_LEASE, TestCluster};
use super::support::{WAIT_LIMIT, wait_until};

/// Shutdown limit of the entry that stops.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(3);

/// Longest time that the steps after the last response may take.
const EXIT_TIME: Duration = Duration::from_secs(2);

// Guards against a stop that takes as long as its slowest request, so that whoever ends the process cuts
// it off without a response.
#[parameterized(
    running = { "GET /read?time_us=9000000 HTTP/1.1\r\nhost: test\r\nx-run-id: l\r\n\r\n", 504, "unknown" },
    partial_head = { "GET /read HTTP/1.1\r\nhost: te", 503, "not_run" },
    partial_body = {
        "POST /book HTTP/1.1\r\nhost: test\r\nidempotency-key: l\r\ncontent-length: 9\r\n\r\nhalf",
        503, "not_run"
    },
)]
fn a_request_beyond_the_shutdown_limit_is_answered(request: &str, status: u16, run: &str) {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    restart_with_limit(&mut cluster);
    let mut stream = TcpStream::connect(cluster.entry(1)).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    std::thread::sleep(Duration::from_millis(200));
    let stopped_at = Instant::now();
    cluster.terminate("entry-1");
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let answered_after = stopped_at.elapsed();
    cluster.wait_for_exit("entry-1");
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(response.contains(&format!("\"run\":\"{run}\"")), "{response}");
    assert!(answered_after < SHUTDOWN_LIMIT, "answered after {answered_after:?}");
    let exited_after = stopped_at.elapsed();
    assert!(exited_after < SHUTDOWN_LIMIT + EXIT_TIME, "exited after {exited_after:?}");
}

/// Restarts the entry with a short shutdown limit and waits until it serves.
fn restart_with_limit(cluster: &mut TestCluster) {
    cluster.terminate("entry-1");
    cluster.wait_for_exit("entry-1");
    let path = &cluster.nodes["entry-1"].config_path;
    let text = fs::read_to_string(path).unwrap();
    let limit = format!("{{\"shutdown_limit\":\"{}s\",", SHUTDOWN_LIMIT.as_secs());
    fs::write(path, text.replacen('{', &limit, 1)).unwrap();
    cluster.restart("entry-1");
    let entry = cluster.entry(1);
    wait_until("the entry serves again", || {
        super::client::Call::get("/read", "ready").send(entry).is_served()
    });
}
