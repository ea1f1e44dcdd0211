//! Timer service: parts subscribe to an interval or a deadline and receive ticks on a channel.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};

/// Ticks that may wait for a slow subscriber; further ticks are dropped until it catches up.
const TICK_BACKLOG: usize = 1;

/// Delivers ticks from one thread to all subscribers.
#[derive(Clone)]
pub struct TimerService {
    shared: Arc<SharedTimers>,
}

struct SharedTimers {
    state: Mutex<TimerState>,
    changed: Condvar,
}

#[derive(Default)]
struct TimerState {
    next_key: u64,
    due: BTreeMap<(Instant, u64), TimerEntry>,
    stopped: bool,
}

struct TimerEntry {
    interval: Option<Duration>,
    sender: Sender<Instant>,
}

impl TimerService {
    /// Starts the timer thread.
    pub fn start() -> Self {
        let shared = Arc::new(SharedTimers { state: Mutex::default(), changed: Condvar::new() });
        let service = Self { shared: Arc::clone(&shared) };
        thread::Builder::new()
            .name("timer".to_owned())
            .spawn(move || shared.run())
            .expect("the operating system can start the timer thread");
        service
    }

    /// Subscribes to ticks at every `interval`; the first one comes after one interval.
    pub fn every(&self, interval: Duration) -> Receiver<Instant> {
        self.subscribe(Instant::now() + interval, Some(interval))
    }

    /// Subscribes to one tick at `deadline`; the channel closes after it.
    pub fn at(&self, deadline: Instant) -> Receiver<Instant> {
        self.subscribe(deadline, None)
    }

    /// Stops the thread; all channels close.
    pub fn stop(&self) {
        let mut state = self.shared.lock();
        state.stopped = true;
        state.due.clear();
        self.shared.changed.notify_one();
    }

    fn subscribe(&self, first: Instant, interval: Option<Duration>) -> Receiver<Instant> {
        let (sender, receiver) = async_channel::bounded(TICK_BACKLOG);
        let mut state = self.shared.lock();
        if state.stopped {
            return receiver;
        }
        let key = state.next_key;
        state.next_key += 1;
        state.due.insert((first, key), TimerEntry { interval, sender });
        self.shared.changed.notify_one();
        receiver
    }
}

impl SharedTimers {
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
        let Some(entry) = self.due.remove(&(due, key)) else {
            return;
        };
        let closed =
            matches!(entry.sender.try_send(now), Err(async_channel::TrySendError::Closed(_)));
        let Some(interval) = entry.interval else {
            return;
        };
        if closed {
            return;
        }
        // Missed intervals are skipped, so a paused VM does not replay a burst of ticks.
        let mut next = due + interval;
        if next <= now {
            next = now + interval;
        }
        self.due.insert((next, key), entry);
    }
}
