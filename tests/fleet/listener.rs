//! Tests of the close of a listener and of a connection: what has arrived in the kernel is not lost.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use curranthollow::fleet::listener::{accept_until, listen};
use curranthollow::fleet::stream::HttpStream;
use futures_util::FutureExt;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::harness::{TEST_TIMEOUT, TestEntry, TestFleet, document, parse_response, wait_for};

/// Connections in the queue of the kernel, which has room for 128.
const QUEUED: usize = 100;

/// Threads that connect during a close.
const CALLERS: usize = 4;

/// Listeners that are closed while callers connect.
const CLOSES: usize = 40;

/// Time for which callers connect before the close begins.
const CONNECT_TIME: Duration = Duration::from_millis(20);

/// Time after which a caller gives up a handshake that the kernel does not begin.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(200);

fn run_local<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime can be built"), future)
}

/// Guards against connections that are reset because the runtime has not noticed them yet when the
/// listener is closed.
#[test]
fn queued_connections_are_accepted_before_a_listener_closes() {
    let accepted = run_local(async {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        // The runtime notes that the queue is empty.
        assert!(listener.accept().now_or_never().is_none());
        let _callers: Vec<_> =
            (0..QUEUED).map(|_| TcpStream::connect(address).expect("the queue has room")).collect();
        let mut accepted = 0;
        accept_until(std::future::ready(()), listener, "test", |_| accepted += 1).await;
        accepted
    });
    assert_eq!(accepted, QUEUED);
}

/// Guards against a connection that the kernel completes between the last accept and the close: each
/// caller is served or refused.
#[test]
fn a_connection_during_the_close_is_served_or_refused() {
    let lost: usize = (0..CLOSES).map(|_| close_beside_callers()).sum();
    assert_eq!(lost, 0, "connections were reset in {CLOSES} closes");
}

/// Guards against a request that is dropped by the close of its connection because the runtime has not
/// noticed it yet.
#[test]
fn bytes_in_the_kernel_are_seen_before_a_connection_closes() {
    let seen = run_local(async {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let mut caller = TcpStream::connect(address).expect("the queue has room");
        let (stream, _) = listener.accept().await.expect("the caller is in the queue");
        let mut stream = HttpStream::new(stream);
        // The runtime notes that nothing has arrived.
        assert!(!stream.fill_available().expect("the connection is open"));
        caller.write_all(b"GET").expect("the connection is open");
        stream.fill_available().expect("the connection is open");
        stream.buffered().to_vec()
    });
    assert_eq!(seen, b"GET");
}

/// Closes a listener while callers connect; returns how many of them were neither served nor refused.
fn close_beside_callers() -> usize {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.set_nonblocking(true).expect("the mode can be set");
    let address = listener.local_addr().expect("a listener has an address");
    let closed = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let closed = Arc::clone(&closed);
            thread::spawn(move || count_lost(address, &closed))
        })
        .collect();
    run_local(async {
        let listener = tokio::net::TcpListener::from_std(listener).expect("the runtime has room");
        let closing = tokio::time::sleep(CONNECT_TIME);
        accept_until(closing, listener, "test", |stream| {
            let mut stream = stream.into_std().expect("the runtime gives it back");
            let _ = stream.write_all(b"x");
        })
        .await;
    });
    closed.store(true, Ordering::Relaxed);
    callers.into_iter().map(|caller| caller.join().expect("no caller panics")).sum()
}

/// Connects until the listener has closed; returns the number of connections without a byte.
fn count_lost(address: SocketAddr, closed: &AtomicBool) -> usize {
    let (mut lost, end) = (0, Instant::now() + TEST_TIMEOUT);
    while !closed.load(Ordering::Relaxed) && Instant::now() < end {
        let mut stream = match TcpStream::connect_timeout(&address, HANDSHAKE_TIMEOUT) {
            Ok(stream) => stream,
            // The handshake did not begin, so nothing was sent.
            Err(error)
                if [ErrorKind::ConnectionRefused, ErrorKind::TimedOut].contains(&error.kind()) =>
            {
                return lost;
            }
            Err(_) => {
                lost += 1;
                continue;
            }
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let mut byte = [0; 1];
        if !stream.read(&mut byte).is_ok_and(|count| count == 1) {
            lost += 1;
        }
    }
    lost
}

/// Time between a connect and its request: several round trips to a caller.
const REQUEST_DELAY: Duration = Duration::from_millis(60);

/// Time after the start of a stop at which callers begin and cease to connect. The listener is closed 2.5 s
/// after the start.
const CONNECTING: [Duration; 2] = [Duration::from_millis(2300), Duration::from_millis(2700)];

/// Guards against closing a connection that was accepted just before the close while its first request is
/// still on its way.
#[test]
fn the_first_request_of_a_connection_is_answered_during_a_stop() {
    let fleet = TestFleet::start();
    fleet.put_document(&document(1));
    let entry = TestEntry::start(&fleet.seeds);
    wait_for("the entry to be ready", || entry.is_ready());
    let (traffic, started) = (entry.traffic, Instant::now());
    let stopping = thread::spawn(move || entry.stop());
    thread::sleep(CONNECTING[0]);
    let mut callers = Vec::new();
    while started.elapsed() < CONNECTING[1] {
        let Ok(stream) = TcpStream::connect_timeout(&traffic, HANDSHAKE_TIMEOUT) else { break };
        callers.push(thread::spawn(move || send_late(stream)));
        thread::sleep(Duration::from_millis(10));
    }
    let statuses: Vec<_> =
        callers.into_iter().map(|caller| caller.join().expect("no caller panics")).collect();
    stopping.join().expect("the entry stops");
    // No server is announced, so a request that is read is refused.
    assert!(statuses.len() > 5 && statuses.iter().all(|status| *status == 503), "{statuses:?}");
}

/// Sends a request some time after the connect; returns the status of the response, or 0.
fn send_late(mut stream: TcpStream) -> u16 {
    thread::sleep(REQUEST_DELAY);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    let mut response = String::new();
    let _ = stream.write_all(b"GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\r\n");
    let _ = stream.read_to_string(&mut response);
    parse_response(&response).0
}
