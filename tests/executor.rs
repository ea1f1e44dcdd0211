//! Number of executor threads and backlog of listening sockets.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, mpsc};
use std::thread;
use std::time::Duration;

use async_std::task;
use curranthollow::commands::init_executor;
use curranthollow::listen::listen;

/// Guards against an executor that ignores the configured number of traffic threads.
#[test]
fn executor_has_configured_threads() {
    const THREADS: u32 = 3;
    const TASKS: usize = 30;
    init_executor(THREADS);
    let running = Arc::new(AtomicUsize::new(0));
    let barrier = Arc::new(Barrier::new(THREADS as usize));
    let (sender, results) = mpsc::channel();
    for _ in 0..TASKS {
        let (running, sender) = (Arc::clone(&running), sender.clone());
        let barrier = Arc::clone(&barrier);
        task::spawn(async move {
            let running_now = running.fetch_add(1, Ordering::SeqCst) + 1;
            // Blocks forever with fewer threads; with more threads, more tasks would run concurrently.
            barrier.wait();
            thread::sleep(Duration::from_millis(10));
            running.fetch_sub(1, Ordering::SeqCst);
            let name = thread::current().name().unwrap_or_default().to_owned();
            sender.send((running_now, name)).expect("the test receives the results");
        });
    }
    let mut max_running = 0;
    for _ in 0..TASKS {
        let result = results.recv_timeout(Duration::from_secs(60));
        let (running_now, name) = result.expect("the tasks complete");
        assert_eq!(name, "traffic");
        max_running = max_running.max(running_now);
    }
    assert_eq!(max_running, THREADS as usize);
}

/// Guards against the standard library's backlog of 128, with which some of many simultaneous
/// connection attempts are dropped and have to be repeated.
#[test]
fn backlog_holds_a_burst() {
    const BURST: usize = 400;
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut connections = Vec::new();
    for _ in 0..BURST {
        // No connection is accepted, so an attempt beyond the backlog would time out.
        let connection = TcpStream::connect_timeout(&address, Duration::from_secs(10));
        connections.push(connection.expect("the backlog has room"));
    }
    assert_eq!(connections.len(), BURST);
}
