//! Calls in progress on the operator port, and the phases of a planned stop.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// Phase of a member's life cycle, as the operator port sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    Serving,
    /// Leadership is being transferred. Each connection is closed after its next response.
    Stopping,
    /// No connection is accepted, and idle connections are closed.
    Closing,
    /// No call is proposed any more, because its outcome could come after the exit.
    Refusing,
    /// The member is about to exit: calls without an outcome get their response now.
    Ending,
}

/// Counts calls and connections, and publishes the phase of the stop.
pub struct CallTracker {
    phase: watch::Sender<StopPhase>,
    calls: Rc<Cell<usize>>,
    connections: Rc<Cell<usize>>,
}

/// Counts one call or connection until it is dropped.
pub struct CountGuard(Rc<Cell<usize>>);

impl CountGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Default for CallTracker {
    fn default() -> Self {
        let phase = watch::Sender::new(StopPhase::Serving);
        Self { phase, calls: Rc::default(), connections: Rc::default() }
    }
}

impl CallTracker {
    pub fn begin_call(&self) -> CountGuard {
        CountGuard::new(&self.calls)
    }

    pub fn begin_connection(&self) -> CountGuard {
        CountGuard::new(&self.connections)
    }

    /// Number of calls from their first byte to the end of the response.
    pub fn calls(&self) -> usize {
        self.calls.get()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    pub fn enter(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the stop has reached `phase`.
    pub async fn reach(&self, phase: StopPhase) {
        // The sender lives as long as the tracker.
        let _ = self.phase.subscribe().wait_for(|reached| *reached >= phase).await;
    }
}
