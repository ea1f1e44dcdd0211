//! Credits of one server in a wallet, and the demand reported for waiting work.

use std::time::{Duration, Instant};

use super::wallet::WaitingWork;
use super::{
    ClassDemand, FIRST_FAILURE_PAUSE, MAX_FAILURE_PAUSE, ResponseVerdict, ServerKey,
    ServerOutcomes, WorkClass,
};

#[derive(Debug)]
pub(super) struct ServerCredits {
    pub(super) server: ServerKey,
    pub(super) is_local: bool,
    pub(super) draining: bool,
    pub(super) is_ejected: bool,
    /// Slots that this entry may use in fallback mode.
    pub(super) share: u32,
    pub(super) slots: u32,
    pub(super) idle: [u32; 2],
    pub(super) in_use: [u32; 2],
    /// Credits to be returned to the holder with the next message.
    pub(super) pending_returns: [u32; 2],
    /// Probe credits, each of which is returned after one request.
    pub(super) probes: u32,
    pub(super) outcome: Option<ServerOutcomes>,
    /// Length of the last pause after a failure; zero after any other response.
    pause: Duration,
    paused_until: Option<Instant>,
    /// Number of recalled credits in use, to be returned when their requests finish.
    pub(super) recalled: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WalletMode {
    /// Starts work only with credits.
    Credits,
    /// Has no lease; starts work within its fixed share of each server's slots.
    Fallback,
}

impl ServerCredits {
    pub(super) fn new(server: ServerKey) -> Self {
        Self {
            server,
            is_local: false,
            draining: false,
            is_ejected: false,
            share: 0,
            slots: 0,
            idle: [0; 2],
            in_use: [0; 2],
            pending_returns: [0; 2],
            probes: 0,
            outcome: None,
            pause: Duration::ZERO,
            paused_until: None,
            recalled: 0,
        }
    }

    /// Whether the server gets no new work from this entry.
    pub(super) fn is_unavailable(&self) -> bool {
        self.draining || self.is_ejected
    }

    pub(super) fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Starts a pause after a failure; any other response resets the length of the next pause.
    pub(super) fn update_pause(&mut self, now: Instant, verdict: Option<ResponseVerdict>) {
        match verdict {
            Some(ResponseVerdict::Failed) => {
                self.pause = (self.pause * 2).clamp(FIRST_FAILURE_PAUSE, MAX_FAILURE_PAUSE);
                self.paused_until = Some(now + self.pause);
            }
            Some(_) => self.pause = Duration::ZERO,
            None => (),
        }
    }

    /// Forgets the failures of a server that left. Its credits may still be kept until they are
    /// returned, but they say nothing about a later life of the server.
    pub(super) fn forget_failures(&mut self) {
        self.is_ejected = false;
        self.pause = Duration::ZERO;
        self.paused_until = None;
    }

    /// Counts a response to a request on a probe credit, and any failed response. Returns whether
    /// the credit must be returned to the holder.
    pub(super) fn record_outcome(&mut self, verdict: Option<ResponseVerdict>) -> bool {
        if self.probes == 0 && verdict != Some(ResponseVerdict::Failed) {
            return false;
        }
        self.probes = self.probes.saturating_sub(1);
        let server = self.server;
        let empty = ServerOutcomes { server, good: 0, slow: 0, failed: 0 };
        let outcome = self.outcome.get_or_insert(empty);
        match verdict {
            Some(ResponseVerdict::Good) => outcome.good += 1,
            Some(ResponseVerdict::Slow) => outcome.slow += 1,
            Some(ResponseVerdict::Failed) => outcome.failed += 1,
            Some(ResponseVerdict::Neutral | ResponseVerdict::ServiceWideFailure) | None => (),
        }
        true
    }

    pub(super) fn running(&self) -> u32 {
        self.in_use.iter().sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.running() + self.idle.iter().sum::<u32>() + self.pending_returns.iter().sum::<u32>()
            == 0
    }

    /// Slots that a request may use now. The holder grants credits for long work by the age of that
    /// work, so short work uses them only when no long work waits here.
    pub(super) fn free_slots(
        &self,
        mode: WalletMode,
        class: WorkClass,
        has_waiting_long: bool,
    ) -> u32 {
        if mode == WalletMode::Fallback {
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
            self.pending_returns[class] += count;
            left -= count;
        }
        if self.idle == [0; 2] {
            self.probes = self.probes.min(self.running());
        }
        limit - left
    }
}

pub(super) fn waiting_demand(now: Instant, waiting: &[WaitingWork; 2]) -> Vec<ClassDemand> {
    let mut demand = Vec::new();
    for class in WorkClass::ALL {
        let work = waiting[class.index()];
        if work.count == 0 {
            continue;
        }
        let oldest_age =
            work.oldest.map_or(Duration::ZERO, |oldest| now.saturating_duration_since(oldest));
        let deadline = work.deadline.map(|deadline| deadline.saturating_duration_since(now));
        demand.push(ClassDemand { class, waiting: work.count, oldest_age, deadline });
    }
    demand
}
