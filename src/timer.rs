//! Timer service: components subscribe to an interval or a deadline and receive ticks on a channel.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// Maximum number of ticks queued for a slow subscriber; further ticks are dropped.
const MAX_QUEUED_TICKS: usize = 1;

/// Sends ticks to all subscribers from one thread.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<SharedState>,
}

struct SharedState {
    state: Mutex<TimerState>,
    changed: Condvar,
}

#[derive(Default)]
struct TimerState {
    next_key: u64,
    due: BTreeMap<(Instant, u64), Subscription>,
    stopped: bool,
}

struct Subscription {
    interval: Option<Duration>,
    sender: Sender<Instant>,
}

impl TimerService {
    /// Starts the timer thread.
    pub fn start() -> Self {
        let shared = Arc::new(SharedState { state: Mutex::default(), changed: Condvar::new() });
        let service = Self { shared: Arc::clone(&shared) };
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || shared.run())
            .expect("the operating system can start the timer thread");
        service
    }

    /// Subscribes to periodic ticks, the first of them after one `interval`.
    pub fn every(&self, interval: Duration) -> Receiver<Instant> {
        self.subscribe(Instant::now() + interval, Some(interval))
    }

    /// Subscribes to a single tick at `deadline`, after which the channel closes.
    pub fn at(&self, deadline: Instant) -> Receiver<Instant> {
        self.subscribe(deadline, None)
    }

    /// Stops the timer thread and closes all channels.
    pub fn stop(&self) {
        let mut state = self.shared.lock();
        state.stopped = true;
        state.due.clear();
        self.shared.changed.notify_one();
    }

    fn subscribe(&self, first_tick: Instant, interval: Option<Duration>) -> Receiver<Instant> {
        let (sender, receiver) = async_channel::bounded(MAX_QUEUED_TICKS);
        let mut state = self.shared.lock();
        if state.stopped {
            return receiver;
        }
        let key = state.next_key;
        state.next_key += 1;
        state.due.insert((first_tick, key), Subscription { interval, sender });
        self.shared.changed.notify_one();
        receiver
    }
}

impl SharedState {
    fn lock(&self) -> std::sync::MutexGuard<'_, TimerState> {
        self.state.lock().expect("no holder of the timer lock panics")
    }

    fn run(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let Some((&(due, key), _)) = state.due.first_key_value() else {
                state = self.changed.wait(state).expect("no holder of the timer lock panics");
                continue;
            };
            let now = Instant::now();
            if due > now {
                let waited = self.changed.wait_timeout(state, due - now);
                state = waited.expect("no holder of the timer lock panics").0;
                continue;
            }
            state.fire(due, key, now);
        }
    }
}

impl TimerState {
    fn fire(&mut self, due: Instant, key: u64, now: Instant) {
        let Some(subscription) = self.due.remove(&(due, key)) else {
            return;
        };
        let is_closed = matches!(
            subscription.sender.try_send(now),
            Err(async_channel::TrySendError::Closed(_))
        );
        let Some(interval) = subscription.interval else {
            return;
        };
        if is_closed {
            return;
        }
        // Skips missed intervals, so that a VM that was paused does not send a burst of ticks.
        let mut next = due + interval;
        if next <= now {
            next = now + interval;
        }
        self.due.insert((next, key), subscription);
    }
}
