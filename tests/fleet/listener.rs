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

use crate::harness::TEST_TIMEOUT;

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
