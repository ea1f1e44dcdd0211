//! Decides when a link is dialled again, and what is sent over it then.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fleet::link::LinkFrame;

/// Delay after the first failure of a link; it doubles up to the longest one. Members that start together
/// need each other for an election 80 ms after a start.
const FIRST_DELAY: Duration = Duration::from_millis(10);

/// Longest delay.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// Duration of a link after which its failure counts as the first one.
const STABLE_LINK_TIME: Duration = Duration::from_secs(1);

/// Maximum number of frames that wait for a peer that cannot be reached. The newest ones are kept: Raft
/// repeats older messages.
const MAX_KEPT_FRAMES: usize = 16;

/// Maximum age of such a frame. A vote is repeated after 80 ms at the earliest, and a call that comes late
/// may no longer be wanted.
const MAX_KEPT_AGE: Duration = Duration::from_millis(250);

/// Delays between attempts to open a link.
#[derive(Debug, Default)]
pub struct RetryDelay {
    failures: u32,
}

impl RetryDelay {
    /// Returns the delay after a failure; `lasted` is the duration of the link, if it was open.
    pub fn after_failure(&mut self, lasted: Option<Duration>) -> Duration {
        if lasted.is_some_and(|lasted| lasted >= STABLE_LINK_TIME) {
            self.failures = 0;
        }
        let delay = FIRST_DELAY.saturating_mul(1 << self.failures.min(8)).min(MAX_DELAY);
        self.failures = self.failures.saturating_add(1);
        delay
    }
}

/// Frame with the time at which it was queued.
#[derive(Debug, Clone)]
pub struct QueuedFrame {
    pub frame: LinkFrame,
    pub queued_at: Instant,
}

/// Frames that wait until a link is open.
#[derive(Debug, Default)]
pub struct FrameBacklog {
    frames: VecDeque<QueuedFrame>,
}

impl FrameBacklog {
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    pub fn push(&mut self, frame: QueuedFrame) {
        if self.frames.len() >= MAX_KEPT_FRAMES {
            self.frames.pop_front();
        }
        self.frames.push_back(frame);
    }

    /// Drops the frames that are too old to be of use.
    pub fn drop_old(&mut self, now: Instant) {
        self.frames.retain(|queued| now.duration_since(queued.queued_at) < MAX_KEPT_AGE);
    }

    /// Takes the oldest frame.
    pub fn pop(&mut self) -> Option<LinkFrame> {
        self.frames.pop_front().map(|queued| queued.frame)
    }
}
