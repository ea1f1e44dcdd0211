//! Concurrency limit with a first-in, first-out queue.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::Sender;

/// Limits the number of concurrent requests; further requests wait in order of arrival.
///
/// The queue itself is unbounded: the owner bounds its length by its number of connections or tasks.
#[derive(Clone, Debug)]
pub struct SlotQueue {
    state: Arc<Mutex<SlotState>>,
}

#[derive(Debug)]
struct SlotState {
    slots: usize,
    running: usize,
    max_waiting: usize,
    max_demand: usize,
    waiting: VecDeque<Sender<SlotGuard>>,
}

/// Occupies one slot until dropped.
#[derive(Debug)]
pub struct SlotGuard {
    state: Option<Arc<Mutex<SlotState>>>,
}

/// Numbers of running and waiting requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Number of occupied slots.
    pub running: usize,
    /// Number of requests that wait for a slot.
    pub waiting: usize,
    /// Maximum number of waiting requests so far.
    pub max_waiting: usize,
    /// Maximum sum of running and waiting requests since it was last taken.
    pub max_demand: usize,
}

impl SlotQueue {
    /// Creates a queue for `slots` slots.
    pub fn new(slots: usize) -> Self {
        let state = SlotState {
            slots,
            running: 0,
            max_waiting: 0,
            max_demand: 0,
            waiting: VecDeque::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Waits for a slot. Dropping the future leaves the queue.
    pub async fn acquire(&self) -> SlotGuard {
        let receiver = {
            let mut state = lock(&self.state);
            if state.running < state.slots {
                state.running += 1;
                state.max_demand = state.max_demand.max(state.running);
                return SlotGuard { state: Some(Arc::clone(&self.state)) };
            }
            let (sender, receiver) = async_channel::bounded(1);
            state.waiting.retain(|waiter| !waiter.is_closed());
            state.waiting.push_back(sender);
            state.max_waiting = state.max_waiting.max(state.waiting.len());
            state.max_demand = state.max_demand.max(state.running + state.waiting.len());
            receiver
        };
        receiver.recv().await.expect("the queue outlives its waiters")
    }

    /// Returns the maximum sum of running and waiting requests since the previous call.
    pub fn take_max_demand(&self) -> usize {
        let mut state = lock(&self.state);
        state.waiting.retain(|waiter| !waiter.is_closed());
        let current_demand = state.running + state.waiting.len();
        std::mem::replace(&mut state.max_demand, current_demand)
    }

    /// Returns the current and the maximum numbers.
    pub fn counts(&self) -> SlotCounts {
        let mut state = lock(&self.state);
        state.waiting.retain(|waiter| !waiter.is_closed());
        SlotCounts {
            running: state.running,
            waiting: state.waiting.len(),
            max_waiting: state.max_waiting,
            max_demand: state.max_demand,
        }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let Some(shared_state) = self.state.take() else {
            return;
        };
        loop {
            let Some(waiter) = next_waiter(&shared_state) else {
                return;
            };
            match waiter.try_send(SlotGuard { state: Some(Arc::clone(&shared_state)) }) {
                Ok(()) => return,
                // The waiter has left the queue and returns the guard; the loop keeps the slot.
                Err(error) => error.into_inner().state = None,
            }
        }
    }
}

/// Removes the first waiter, or frees the slot if there is none.
///
/// The waiter must be used after the lock is released, because dropping a guard locks the state.
fn next_waiter(shared: &Mutex<SlotState>) -> Option<Sender<SlotGuard>> {
    let mut state = lock(shared);
    let waiter = state.waiting.pop_front();
    if waiter.is_none() {
        state.running -= 1;
    }
    waiter
}

fn lock(state: &Mutex<SlotState>) -> MutexGuard<'_, SlotState> {
    state.lock().expect("no holder of the slot lock panics")
}
