//! Close of the listener of a stopping entry.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task;

use super::harness::{TEST_TIMEOUT, TestEntry, ample_limits, get};

/// Threads that connect during a close.
const CALLERS: usize = 4;

/// Entries that stop while callers connect.
const CLOSES: usize = 20;

/// Time for which callers connect before the listener is closed.
const CONNECT_TIME: Duration = Duration::from_millis(20);

/// Time after which a caller gives up a handshake that the kernel does not begin.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// Guards against a connection that the kernel completes between the last accept and the close of the
/// listener: each caller gets a response or is refused.
#[test]
fn a_connection_during_the_close_is_answered_or_refused() {
    let lost: usize = (0..CLOSES).map(|_| close_beside_callers()).sum();
    assert_eq!(lost, 0, "connections were reset in {CLOSES} closes");
}

/// Stops an entry while callers connect; returns how many got neither a response nor a refusal.
fn close_beside_callers() -> usize {
    let entry = task::block_on(TestEntry::start(&[], ample_limits()));
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(|| count_lost(entry.address, &stopped))).collect();
        thread::sleep(CONNECT_TIME);
        entry.context.advance("stop");
        entry.context.advance("delay_over");
        thread::sleep(HANDSHAKE_TIMEOUT);
        stopped.store(true, Ordering::Relaxed);
        callers.into_iter().map(|caller| caller.join().expect("no caller panics")).sum()
    })
}

/// Asks for the health page until the listener has closed; returns the number of missing responses.
fn count_lost(address: SocketAddr, stopped: &AtomicBool) -> usize {
    let mut lost = 0;
    while !stopped.load(Ordering::Relaxed) {
        let mut stream = match TcpStream::connect_timeout(&address, HANDSHAKE_TIMEOUT) {
            Ok(stream) => stream,
            // The handshake did not begin, so nothing was sent.
            Err(error)
                if matches!(error.kind(), ErrorKind::ConnectionRefused | ErrorKind::TimedOut) =>
            {
                return lost;
            }
            Err(_) => {
                lost += 1;
                continue;
            }
        };
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
        let mut response = String::new();
        let is_answered = stream.write_all(&get("/.curranthollow/health")).is_ok()
            && stream.read_to_string(&mut response).is_ok()
            && response.starts_with("HTTP/1.1 503 ") | response.starts_with("HTTP/1.1 200 ");
        lost += usize::from(!is_answered);
    }
    lost
}
