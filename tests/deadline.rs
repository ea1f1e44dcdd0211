//! Time limits of the traffic path.

use std::future::pending;
use std::time::{Duration, Instant};

use async_std::task;
use curranthollow::deadline::{LimitPassed, within};
use futures_util::future::join;

/// Guards against a limit that is never reported.
#[test]
fn reports_a_passed_limit() {
    let limit = Duration::from_millis(20);
    let started = Instant::now();
    let result = task::block_on(within(limit, pending::<()>()));
    assert_eq!(result, Err(LimitPassed));
    assert!(started.elapsed() >= limit);
}

/// Guards against a result that is lost when the limit is short.
#[test]
fn prefers_a_result_that_is_ready() {
    let result = task::block_on(within(Duration::ZERO, async { 7 }));
    assert_eq!(result, Ok(7));
}

/// Guards against a thread that sleeps until the first limit although an earlier one was set later.
#[test]
fn wakes_for_an_earlier_limit_that_was_set_later() {
    let result = task::block_on(async {
        let (sender, receiver) = async_channel::bounded::<()>(1);
        let long = within(Duration::from_secs(600), receiver.recv());
        let short = async {
            let result = within(Duration::from_millis(20), pending::<()>()).await;
            drop(sender);
            result
        };
        join(long, short).await
    });
    assert!(matches!(result, (Ok(Err(_)), Err(LimitPassed))));
}

/// Guards against an overflow of the point in time that a very long limit stands for.
#[test]
fn takes_a_limit_beyond_the_range_of_instants() {
    let result = task::block_on(within(Duration::MAX, task::sleep(Duration::from_millis(1))));
    assert_eq!(result, Ok(()));
}
