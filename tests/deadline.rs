//! Timeouts of the traffic path.

use std::future::pending;
use std::time::{Duration, Instant};

use async_std::task;
use curranthollow::deadline::{TimeoutElapsed, with_timeout};
use futures_util::future::join;

/// Guards against a timeout that is never reported.
#[test]
fn reports_an_elapsed_timeout() {
    let timeout = Duration::from_millis(20);
    let started = Instant::now();
    let result = task::block_on(with_timeout(timeout, pending::<()>()));
    assert_eq!(result, Err(TimeoutElapsed));
    assert!(started.elapsed() >= timeout);
}

/// Guards against losing the output of a ready future if the timeout is short.
#[test]
fn returns_output_of_a_ready_future() {
    let result = task::block_on(with_timeout(Duration::ZERO, async { 7 }));
    assert_eq!(result, Ok(7));
}

/// Guards against a timer thread that waits for a deadline although an earlier one was registered
/// after it.
#[test]
fn wakes_for_an_earlier_deadline_registered_later() {
    let result = task::block_on(async {
        let (sender, receiver) = async_channel::bounded::<()>(1);
        let long = with_timeout(Duration::from_secs(600), receiver.recv());
        let short = async {
            let result = with_timeout(Duration::from_millis(20), pending::<()>()).await;
            drop(sender);
            result
        };
        join(long, short).await
    });
    assert!(matches!(result, (Ok(Err(_)), Err(TimeoutElapsed))));
}

/// Guards against an overflow when the deadline of a very long timeout is computed.
#[test]
fn accepts_a_timeout_beyond_the_range_of_instants() {
    let result = task::block_on(with_timeout(Duration::MAX, task::sleep(Duration::from_millis(1))));
    assert_eq!(result, Ok(()));
}
