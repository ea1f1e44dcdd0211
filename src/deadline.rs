//! Time limits on the traffic path that cost no system call.
//!
//! A timer of async-io interrupts the reactor's wait each time it is set. Requests set several time
//! limits and hardly ever reach one, so these limits are kept in one ordered map instead, and its
//! thread is woken only for a limit that is earlier than all others.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Condvar, LazyLock, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};

static ALARMS: LazyLock<&'static AlarmClock> = LazyLock::new(AlarmClock::start);

/// A time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("time limit has passed")]
pub struct LimitPassed;

/// Runs `future` for at most `limit`.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Result<T, LimitPassed> {
    let mut future = pin!(future);
    let mut alarm = Alarm { deadline: Instant::now().checked_add(limit), registered: None };
    poll_fn(|context| {
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(Ok(output));
        }
        if alarm.is_due(context) { Poll::Ready(Err(LimitPassed)) } else { Poll::Pending }
    })
    .await
}

/// Wakes one task at a deadline; `None` stands for a limit too long to be represented.
struct Alarm {
    deadline: Option<Instant>,
    registered: Option<(u64, Waker)>,
}

impl Alarm {
    fn is_due(&mut self, context: &Context<'_>) -> bool {
        let Some(deadline) = self.deadline else {
            return false;
        };
        if Instant::now() >= deadline {
            return true;
        }
        if self.registered.as_ref().is_some_and(|(_, waker)| waker.will_wake(context.waker())) {
            return false;
        }
        self.cancel();
        let key = ALARMS.set(deadline, context.waker().clone());
        self.registered = Some((key, context.waker().clone()));
        false
    }

    fn cancel(&mut self) {
        if let (Some(deadline), Some((key, _))) = (self.deadline, self.registered.take()) {
            ALARMS.clear(deadline, key);
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Deadlines of the whole process.
struct AlarmClock {
    state: Mutex<AlarmState>,
    changed: Condvar,
}

#[derive(Default)]
struct AlarmState {
    next_key: u64,
    due: BTreeMap<(Instant, u64), Waker>,
    /// End of the thread's present wait; `None` while it waits for the first deadline.
    wakes_at: Option<Instant>,
}

impl AlarmClock {
    fn start() -> &'static Self {
        let clock: &'static Self =
            Box::leak(Box::new(Self { state: Mutex::default(), changed: Condvar::new() }));
        thread::Builder::new()
            .name("deadlines".to_owned())
            .spawn(|| clock.run())
            .expect("the operating system can start the deadline thread");
        clock
    }

    fn lock(&self) -> MutexGuard<'_, AlarmState> {
        self.state.lock().expect("no holder of the deadline lock panics")
    }

    fn set(&self, deadline: Instant, waker: Waker) -> u64 {
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        state.due.insert((deadline, key), waker);
        let is_earlier = state.wakes_at.is_none_or(|wakes_at| deadline < wakes_at);
        if is_earlier {
            state.wakes_at = Some(deadline);
        }
        drop(state);
        if is_earlier {
            self.changed.notify_one();
        }
        key
    }

    fn clear(&self, deadline: Instant, key: u64) {
        // The waker is dropped outside the lock, because its task may end with it.
        let waker = self.lock().due.remove(&(deadline, key));
        drop(waker);
    }

    fn run(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            let mut due = Vec::new();
            while let Some(entry) = state.due.first_entry()
                && entry.key().0 <= now
            {
                due.push(entry.remove());
            }
            if !due.is_empty() {
                drop(state);
                due.into_iter().for_each(Waker::wake);
                state = self.lock();
                continue;
            }
            state.wakes_at = state.due.first_key_value().map(|((deadline, _), _)| *deadline);
            state = match state.wakes_at {
                Some(deadline) => {
                    let waited = self.changed.wait_timeout(state, deadline - now);
                    waited.expect("no holder of the deadline lock panics").0
                }
                None => self.changed.wait(state).expect("no holder of the deadline lock panics"),
            };
        }
    }
}
