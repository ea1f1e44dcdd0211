//! Polling state machine of a duplicate request, which waits at an entry until the first request
//! with the same key has ended.

use std::time::{Duration, Instant};

use super::command::{ClaimView, StoredAnswer};

/// Delay between the first and the second query; most duplicated requests end within it.
pub const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest delay between two queries, which bounds how late a duplicate learns the result.
pub const MAX_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Most queries that one waiter sends, however distant the caller's deadline is.
pub const MAX_QUERIES: u32 = 256;

/// Input of a `DuplicateWaiter`.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitEvent {
    /// The time given by the last `WaitAction` has been reached.
    Wake,
    /// The claim group replied to a query.
    StateReceived(ClaimView),
    /// The query failed: the group has no leader, or the link was lost.
    QueryFailed,
}

/// What the caller of `DuplicateWaiter::handle` must do.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitAction {
    /// Query the group's leader for the claim's state, and send `Wake` at `until` if it has not
    /// replied.
    Query { until: Instant },
    /// Send `Wake` at `until`.
    Sleep { until: Instant },
    /// The claim was released: send this request's `Open` again with the same attempt id. This
    /// request has no grant yet, unless a delayed copy of its first command was granted meanwhile;
    /// the resent command then returns that grant.
    OpenAgain,
    /// Respond to the caller.
    Respond(DuplicateAnswer),
}

/// Answer to a duplicate request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateAnswer {
    /// The stored answer of the first request.
    Done(StoredAnswer),
    /// The first request ran, but its answer isn't stored.
    AlreadyRun,
    /// The first request may have run.
    OutcomeUnknown,
    /// The key belongs to another request (`422`).
    Mismatch,
}

/// State of one duplicate request that waits for the first one.
#[derive(Clone, Debug)]
pub struct DuplicateWaiter {
    deadline: Instant,
    poll_interval: Duration,
    queries: u32,
    query_pending: bool,
}

impl DuplicateWaiter {
    /// Creates a waiter; `deadline` is that of the duplicate request itself.
    pub fn new(deadline: Instant) -> Self {
        Self { deadline, poll_interval: INITIAL_POLL_INTERVAL, queries: 0, query_pending: false }
    }

    /// Returns the next action. The first event must be `Wake`.
    ///
    /// | event | before the deadline | at the deadline |
    /// |---|---|---|
    /// | done, unknown, mismatch | respond | respond |
    /// | absent | open again | outcome unknown |
    /// | running, query failed | sleep | outcome unknown |
    /// | wake, no query pending | query | outcome unknown |
    /// | wake, query pending | sleep | outcome unknown |
    ///
    /// A claim that is found released at the deadline is reported as unknown, although nothing ran
    /// under the old number: another duplicate may have been granted between the query and the
    /// response.
    pub fn handle(&mut self, now: Instant, event: WaitEvent) -> WaitAction {
        let deadline_reached = now >= self.deadline;
        let query_due = event == WaitEvent::Wake && !self.query_pending;
        let absent = event == WaitEvent::StateReceived(ClaimView::Absent);
        let answer = match event {
            WaitEvent::StateReceived(ClaimView::Done(Some(answer))) => {
                Some(DuplicateAnswer::Done(answer))
            }
            WaitEvent::StateReceived(ClaimView::Done(None)) => Some(DuplicateAnswer::AlreadyRun),
            WaitEvent::StateReceived(ClaimView::Unknown) => Some(DuplicateAnswer::OutcomeUnknown),
            WaitEvent::StateReceived(ClaimView::Mismatch) => Some(DuplicateAnswer::Mismatch),
            _ if deadline_reached => Some(DuplicateAnswer::OutcomeUnknown),
            _ => None,
        };
        if let Some(answer) = answer {
            return WaitAction::Respond(answer);
        }
        if absent {
            return WaitAction::OpenAgain;
        }
        self.query_pending = query_due && self.queries < MAX_QUERIES;
        if self.query_pending {
            self.queries += 1;
            return WaitAction::Query { until: self.deadline.min(now + MAX_POLL_INTERVAL) };
        }
        let poll_interval = self.poll_interval;
        self.poll_interval = (self.poll_interval * 2).min(MAX_POLL_INTERVAL);
        if self.queries >= MAX_QUERIES {
            return WaitAction::Sleep { until: self.deadline };
        }
        WaitAction::Sleep { until: self.deadline.min(now + poll_interval) }
    }
}
