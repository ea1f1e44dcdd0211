//! Threads of the executor and backlog of listeners.

use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, mpsc};
use std::thread;
use std::time::Duration;

use async_std::task;
use curranthollow::commands::init_executor;
use curranthollow::listen::listen;

/// Guards against a configured number of traffic threads that is not used.
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
            let now = running.fetch_add(1, Ordering::SeqCst) + 1;
            // Fewer threads never get past this; more would run more tasks at once.
            barrier.wait();
            thread::sleep(Duration::from_millis(10));
            running.fetch_sub(1, Ordering::SeqCst);
            let name = thread::current().name().unwrap_or_default().to_owned();
            sender.send((now, name)).expect("the test waits");
        });
    }
    let mut most = 0;
    for _ in 0..TASKS {
        let result = results.recv_timeout(Duration::from_secs(60));
        let (now, name) = result.expect("the tasks run");
        assert_eq!(name, "traffic");
        most = most.max(now);
    }
    assert_eq!(most, THREADS as usize);
}

/// Guards against the standard library's backlog of 128: callers that connect all at once must not
/// wait for the repetition of a dropped attempt.
#[test]
fn backlog_holds_a_burst() {
    const BURST: usize = 400;
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut connections = Vec::new();
    for _ in 0..BURST {
        // Nobody accepts. An attempt beyond the backlog would not succeed at all.
        let connection = TcpStream::connect_timeout(&address, Duration::from_secs(10));
        connections.push(connection.expect("the backlog has room"));
    }
    assert_eq!(connections.len(), BURST);
}
