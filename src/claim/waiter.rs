//! Wait of a duplicate request at an entry until the first one has ended.

use std::time::{Duration, Instant};

use super::command::{ClaimView, StoredAnswer};

/// Time before the second look; most requests that are duplicated end within it.
pub const FIRST_POLL: Duration = Duration::from_millis(10);

/// Longest time between two looks, so that an answer is at most this much late.
pub const LAST_POLL: Duration = Duration::from_millis(500);

/// Looks of one waiter; a caller with a distant deadline can't cause more.
pub const MAX_POLLS: u32 = 256;

/// What a waiter is told.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitEvent {
    /// The time given by `WaitAction::Sleep` has come.
    Wake,
    /// The group's answer to a look.
    Viewed(ClaimView),
    /// The look failed: no leader, or the link was lost.
    LookFailed,
}

/// What a waiter asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum WaitAction {
    /// Ask the group's leader for the claim's state; wake at the time given even without an answer.
    Look { until: Instant },
    /// Do nothing until the time given.
    Sleep { until: Instant },
    /// The claim was released: send this request's `Open` again, with the same attempt. It holds no
    /// grant, unless a late copy of its first command was granted meanwhile; that grant is its own.
    OpenAgain,
    /// Answer the caller.
    Respond(DuplicateAnswer),
}

/// Answer to a duplicate request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateAnswer {
    /// The answer of the first request.
    Done(StoredAnswer),
    /// The first request ran, and its answer isn't stored.
    AlreadyRun,
    /// The first request may have run.
    OutcomeUnknown,
    /// The key belongs to another request (`422`).
    Mismatch,
}

/// One waiting duplicate.
#[derive(Clone, Debug)]
pub struct DuplicateWaiter {
    deadline: Instant,
    pause: Duration,
    looks: u32,
    looking: bool,
}

impl DuplicateWaiter {
    /// Creates a waiter; `deadline` is that of the duplicate request itself.
    pub fn new(deadline: Instant) -> Self {
        Self { deadline, pause: FIRST_POLL, looks: 0, looking: false }
    }

    /// Returns what to do next; start with `Wake`.
    ///
    /// | event | before the deadline | at the deadline |
    /// |---|---|---|
    /// | done, unknown, mismatch | respond | respond |
    /// | absent | open again | outcome unknown |
    /// | running, look failed | sleep | outcome unknown |
    /// | wake while asleep | look | outcome unknown |
    /// | wake while looking | sleep | outcome unknown |
    ///
    /// A released claim at the deadline is reported as unknown although nothing ran under the old
    /// number: between the look and the response, another duplicate may have been granted.
    pub fn handle(&mut self, now: Instant, event: WaitEvent) -> WaitAction {
        let expired = now >= self.deadline;
        let wake = event == WaitEvent::Wake && !self.looking;
        let absent = event == WaitEvent::Viewed(ClaimView::Absent);
        let answer = match event {
            WaitEvent::Viewed(ClaimView::Done(Some(answer))) => Some(DuplicateAnswer::Done(answer)),
            WaitEvent::Viewed(ClaimView::Done(None)) => Some(DuplicateAnswer::AlreadyRun),
            WaitEvent::Viewed(ClaimView::Unknown) => Some(DuplicateAnswer::OutcomeUnknown),
            WaitEvent::Viewed(ClaimView::Mismatch) => Some(DuplicateAnswer::Mismatch),
            _ if expired => Some(DuplicateAnswer::OutcomeUnknown),
            _ => None,
        };
        if let Some(answer) = answer {
            return WaitAction::Respond(answer);
        }
        if absent {
            return WaitAction::OpenAgain;
        }
        self.looking = wake && self.looks < MAX_POLLS;
        if self.looking {
            self.looks += 1;
            return WaitAction::Look { until: self.deadline.min(now + LAST_POLL) };
        }
        let pause = self.pause;
        self.pause = (self.pause * 2).min(LAST_POLL);
        if self.looks >= MAX_POLLS {
            return WaitAction::Sleep { until: self.deadline };
        }
        WaitAction::Sleep { until: self.deadline.min(now + pause) }
    }
}
