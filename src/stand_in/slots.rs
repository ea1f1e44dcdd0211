//! Slots with a first-in-first-out queue.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};

use async_channel::Sender;

/// Limits concurrent work; work beyond the limit waits in order of arrival.
///
/// The queue has no limit of its own. Its length is bounded by the connections or tasks of the owner.
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

/// Use of the slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCounts {
    /// Occupied slots.
    pub running: usize,
    /// Work that waits for a slot.
    pub waiting: usize,
    /// Largest number of waiting work seen.
    pub max_waiting: usize,
    /// Largest sum of running and waiting work seen.
    pub max_demand: usize,
}

impl SlotQueue {
    /// Creates a queue in front of `slots` slots.
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

    /// Waits for a slot. Dropping the future gives up the place in the queue.
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
        receiver.recv().await.expect("the queue outlives its waiting work")
    }

    /// Returns the largest demand since the previous call.
    pub fn take_max_demand(&self) -> usize {
        let mut state = lock(&self.state);
        state.waiting.retain(|waiter| !waiter.is_closed());
        let present = state.running + state.waiting.len();
        std::mem::replace(&mut state.max_demand, present)
    }

    /// Returns the present and the largest use.
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
        let Some(shared) = self.state.take() else {
            return;
        };
        loop {
            let Some(waiter) = next_waiter(&shared) else {
                return;
            };
            match waiter.try_send(SlotGuard { state: Some(Arc::clone(&shared)) }) {
                Ok(()) => return,
                // The guard comes back from a waiter that has given up; the loop still owns the slot.
                Err(error) => error.into_inner().state = None,
            }
        }
    }
}

/// Removes the first waiter, or frees the slot when there is none.
///
/// The waiter is used outside the lock, because a guard that is dropped with it locks the state.
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
