//! Contract of the timer service.

use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::timer::TimerService;

/// Guards against a deadline tick that comes early or more than once.
#[test]
fn deadline_ticks_once() {
    let service = TimerService::start();
    let deadline = Instant::now() + Duration::from_millis(5);
    let receiver = service.at(deadline);
    let tick = block_on(receiver.recv()).expect("one tick comes");
    assert!(tick >= deadline);
    assert!(block_on(receiver.recv()).is_err());
}

/// Guards against a slow subscriber that makes the service queue ticks without bound.
#[test]
fn slow_subscriber_keeps_one_tick() {
    let service = TimerService::start();
    let receiver = service.every(Duration::from_millis(1));
    let witness = service.at(Instant::now() + Duration::from_millis(30));
    block_on(witness.recv()).expect("the witness ticks");
    assert_eq!(receiver.len(), 1);
}

/// Guards against subscribers that wait for ever after the service has stopped.
#[test]
fn stop_closes_channels() {
    let service = TimerService::start();
    let receiver = service.every(Duration::from_secs(60));
    service.stop();
    assert!(block_on(receiver.recv()).is_err());
    assert!(block_on(service.at(Instant::now()).recv()).is_err());
}
