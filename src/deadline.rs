//! Timeouts on the traffic path that usually need no system call.
//!
//! Setting a timer of async-io interrupts the reactor's wait. A request sets several timeouts and
//! rarely reaches one, so all deadlines are kept in one ordered map instead. Its thread is woken only
//! for a deadline that is earlier than all others.

use std::collections::BTreeMap;
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Condvar, LazyLock, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};

static DEADLINE_TIMER: LazyLock<&'static DeadlineTimer> = LazyLock::new(DeadlineTimer::start);

/// The timeout has elapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timeout has elapsed")]
pub struct TimeoutElapsed;

/// Runs `future` for at most `timeout`.
pub async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Result<T, TimeoutElapsed> {
    let mut future = pin!(future);
    let mut guard =
        DeadlineGuard { deadline: Instant::now().checked_add(timeout), registration: None };
    poll_fn(|context| {
        if let Poll::Ready(output) = future.as_mut().poll(context) {
            return Poll::Ready(Ok(output));
        }
        if guard.is_elapsed(context) { Poll::Ready(Err(TimeoutElapsed)) } else { Poll::Pending }
    })
    .await
}

/// Deadline of one future, whose task it wakes.
struct DeadlineGuard {
    /// `None` if the timeout ends beyond the range of [`Instant`].
    deadline: Option<Instant>,
    /// Key and waker of the registration in the timer.
    registration: Option<(u64, Waker)>,
}

impl DeadlineGuard {
    /// Returns whether the deadline has passed, and registers the task's waker if it has not.
    fn is_elapsed(&mut self, context: &Context<'_>) -> bool {
        let Some(deadline) = self.deadline else {
            return false;
        };
        if Instant::now() >= deadline {
            return true;
        }
        if self.registration.as_ref().is_some_and(|(_, waker)| waker.will_wake(context.waker())) {
            return false;
        }
        self.cancel();
        let key = DEADLINE_TIMER.register(deadline, context.waker().clone());
        self.registration = Some((key, context.waker().clone()));
        false
    }

    fn cancel(&mut self) {
        if let (Some(deadline), Some((key, _))) = (self.deadline, self.registration.take()) {
            DEADLINE_TIMER.unregister(deadline, key);
        }
    }
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// Process-wide timer with one thread.
struct DeadlineTimer {
    state: Mutex<TimerState>,
    changed: Condvar,
}

#[derive(Default)]
struct TimerState {
    next_key: u64,
    wakers: BTreeMap<(Instant, u64), Waker>,
    /// End of the thread's current wait; `None` while no deadline is registered.
    waiting_until: Option<Instant>,
}

impl DeadlineTimer {
    fn start() -> &'static Self {
        let timer: &'static Self =
            Box::leak(Box::new(Self { state: Mutex::default(), changed: Condvar::new() }));
        thread::Builder::new()
            .name("deadlines".to_owned())
            .spawn(|| timer.run())
            .expect("the operating system can start the deadline thread");
        timer
    }

    fn lock(&self) -> MutexGuard<'_, TimerState> {
        self.state.lock().expect("no holder of the deadline lock panics")
    }

    fn register(&self, deadline: Instant, waker: Waker) -> u64 {
        let mut state = self.lock();
        let key = state.next_key;
        state.next_key += 1;
        state.wakers.insert((deadline, key), waker);
        let is_earliest = state.waiting_until.is_none_or(|waiting_until| deadline < waiting_until);
        if is_earliest {
            state.waiting_until = Some(deadline);
        }
        drop(state);
        if is_earliest {
            self.changed.notify_one();
        }
        key
    }

    fn unregister(&self, deadline: Instant, key: u64) {
        // Dropped outside the lock, because the waker may hold the last reference to its task.
        let waker = self.lock().wakers.remove(&(deadline, key));
        drop(waker);
    }

    fn run(&self) {
        let mut state = self.lock();
        loop {
            let now = Instant::now();
            let mut due = Vec::new();
            while let Some(entry) = state.wakers.first_entry()
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
            state.waiting_until =
                state.wakers.first_key_value().map(|((deadline, _), _)| *deadline);
            state = match state.waiting_until {
                Some(deadline) => {
                    let waited = self.changed.wait_timeout(state, deadline - now);
                    waited.expect("no holder of the deadline lock panics").0
                }
                None => self.changed.wait(state).expect("no holder of the deadline lock panics"),
            };
        }
    }
}
