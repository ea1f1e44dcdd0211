//! Timer service: deadlines, intervals and shutdown.

use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::timer::TimerService;

/// Guards against a deadline tick that is sent early or more than once.
#[test]
fn deadline_ticks_once() {
    let service = TimerService::start();
    let deadline = Instant::now() + Duration::from_millis(5);
    let receiver = service.at(deadline);
    let tick = block_on(receiver.recv()).expect("a tick arrives");
    assert!(tick >= deadline);
    assert!(block_on(receiver.recv()).is_err());
}

/// Guards against unbounded queues of ticks for slow subscribers.
#[test]
fn queues_one_tick_for_slow_subscriber() {
    let service = TimerService::start();
    let receiver = service.every(Duration::from_millis(1));
    let deadline_receiver = service.at(Instant::now() + Duration::from_millis(30));
    block_on(deadline_receiver.recv()).expect("the deadline tick arrives");
    assert_eq!(receiver.len(), 1);
}

/// Guards against subscribers that wait forever after the service has stopped.
#[test]
fn stop_closes_channels() {
    let service = TimerService::start();
    let receiver = service.every(Duration::from_secs(60));
    service.stop();
    assert!(block_on(receiver.recv()).is_err());
    assert!(block_on(service.at(Instant::now()).recv()).is_err());
}
