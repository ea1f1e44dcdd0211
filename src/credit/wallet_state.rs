//! Credits of one server in a wallet, and the demand sent for waiting work.

use std::time::{Duration, Instant};

use super::wallet::WaitingWork;
use super::{
    AnswerVerdict, DemandLine, FIRST_PAUSE, LONGEST_PAUSE, OutcomeLine, ServerKey, WorkClass,
};

#[derive(Debug)]
pub(super) struct ServerCredits {
    pub(super) server: ServerKey,
    pub(super) is_local: bool,
    pub(super) draining: bool,
    pub(super) avoided: bool,
    /// Part of the limit that this entry may use by its own count.
    pub(super) share: u32,
    pub(super) slots: u32,
    pub(super) idle: [u32; 2],
    pub(super) in_use: [u32; 2],
    pub(super) returning: [u32; 2],
    /// Credits on probe; each goes back after one request.
    pub(super) probes: u32,
    pub(super) outcome: Option<OutcomeLine>,
    /// Length of the last pause after a failure; zero after any other answer.
    pause: Duration,
    paused_until: Option<Instant>,
    /// Credits in use that go back when their request finishes.
    pub(super) owed: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WalletMode {
    /// Starts work only on credits.
    Credits,
    /// Starts work by its own count, within its share of each limit.
    OwnCount,
}

impl ServerCredits {
    pub(super) fn new(server: ServerKey) -> Self {
        Self {
            server,
            is_local: false,
            draining: false,
            avoided: false,
            share: 0,
            slots: 0,
            idle: [0; 2],
            in_use: [0; 2],
            returning: [0; 2],
            probes: 0,
            outcome: None,
            pause: Duration::ZERO,
            paused_until: None,
            owed: 0,
        }
    }

    /// Whether the server gets no new work from this entry.
    pub(super) fn is_closed(&self) -> bool {
        self.draining || self.avoided
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Starts a pause after a failure; any other answer ends the growth of the pauses.
    pub(super) fn note_pause(&mut self, now: Instant, verdict: Option<AnswerVerdict>) {
        match verdict {
            Some(AnswerVerdict::Failed) => {
                self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
                self.paused_until = Some(now + self.pause);
            }
            Some(_) => self.pause = Duration::ZERO,
            None => (),
        }
    }

    /// Counts an answer on a probe credit and any failed one. Returns whether the credit goes
    /// back to the holder.
    pub(super) fn note_outcome(&mut self, verdict: Option<AnswerVerdict>) -> bool {
        if self.probes == 0 && verdict != Some(AnswerVerdict::Failed) {
            return false;
        }
        self.probes = self.probes.saturating_sub(1);
        let server = self.server;
        let empty = OutcomeLine { server, good: 0, slow: 0, failed: 0 };
        let outcome = self.outcome.get_or_insert(empty);
        match verdict {
            Some(AnswerVerdict::Good) => outcome.good += 1,
            Some(AnswerVerdict::Slow) => outcome.slow += 1,
            Some(AnswerVerdict::Failed) => outcome.failed += 1,
            Some(AnswerVerdict::Neutral | AnswerVerdict::CommonFailure) | None => (),
        }
        true
    }

    pub(super) fn running(&self) -> u32 {
        self.in_use.iter().sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running() + self.idle.iter().sum::<u32>() + self.returning.iter().sum::<u32>() == 0
    }

    /// Slots for a request. The holder grants credits for long work by the age of that work, so
    /// short work uses them only when no long work waits here.
    pub(super) fn free(&self, mode: WalletMode, class: WorkClass, has_waiting_long: bool) -> u32 {
        if mode == WalletMode::OwnCount {
            return self.share.saturating_sub(self.running());
        }
        match class {
            WorkClass::Short if has_waiting_long => self.idle[class.index()],
            WorkClass::Short => self.idle.iter().sum(),
            WorkClass::Long => self.idle[WorkClass::Long.index()],
        }
    }

    pub(super) fn return_idle(&mut self, limit: u32) -> u32 {
        let mut left = limit;
        for class in [0, 1] {
            let count = left.min(self.idle[class]);
            self.idle[class] -= count;
            self.returning[class] += count;
            left -= count;
        }
        if self.idle == [0; 2] {
            self.probes = self.probes.min(self.running());
        }
        limit - left
    }
}

pub(super) fn demand_lines(now: Instant, waiting: &[WaitingWork; 2]) -> Vec<DemandLine> {
    let mut lines = Vec::new();
    for class in WorkClass::ALL {
        let work = waiting[class.index()];
        if work.count == 0 {
            continue;
        }
        let oldest_age =
            work.oldest.map_or(Duration::ZERO, |oldest| now.saturating_duration_since(oldest));
        let deadline = work.deadline.map(|deadline| deadline.saturating_duration_since(now));
        lines.push(DemandLine { class, waiting: work.count, oldest_age, deadline });
    }
    lines
}
