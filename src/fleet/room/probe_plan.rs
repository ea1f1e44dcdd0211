//! Schedule of the health probes for one send: how many servers are probed, and when the next probe
//! starts beside unanswered ones.
//!
//! Servers that are down accept no connection, and each entry notices this for itself. If the probes
//! of a request ran one after the other, it would wait for a connection attempt at each such server.

use std::time::{Duration, Instant};

/// Time without progress after which the next server is probed as well. A server with a free slot
/// answers within 2 to 8 ms; one that takes longer is full, disturbed or down.
pub const PROBE_PATIENCE: Duration = Duration::from_millis(25);

/// Time after which a server without an answer counts as full. A server that is slowed down to a fifth
/// by its neighbours answers within 35 ms.
const FULL_PATIENCE: Duration = Duration::from_millis(45);

/// Timeout of a probe on an open connection. The answer of a disturbed server keeps its connection
/// usable; the probe of a full one would wait for a slot and then occupy it.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Timeout for opening a connection. One lost packet delays it by a second, so a longer wait is
/// useless.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of servers that are probed for one choice. Up to four in ten may be disturbed at
/// the same time.
const MAX_PROBES: usize = 6;

/// Number of a probe within its plan.
pub type ProbeNumber = usize;

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// Probe another server, or call [`ProbePlan::no_more_servers`].
    Start,
    /// Wait for a result until this time at most.
    Wait(Instant),
    /// No server has room.
    GiveUp,
}

/// Probe without a result.
#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    number: ProbeNumber,
    started_at: Instant,
    /// Time at which the health page was requested on an open connection.
    asked_at: Option<Instant>,
}

impl PendingProbe {
    /// Time from which the probe counts as overdue.
    fn due_at(&self) -> Instant {
        self.asked_at.unwrap_or(self.started_at) + PROBE_PATIENCE
    }

    /// Time from which the server counts as full. A connection that does not open says nothing about
    /// free slots.
    fn full_at(&self) -> Option<Instant> {
        Some(self.asked_at? + FULL_PATIENCE)
    }

    /// Time after which no result is expected any more.
    fn expires_at(&self) -> Instant {
        match self.asked_at {
            Some(asked_at) => asked_at + FULL_PATIENCE,
            None => self.started_at + CONNECT_TIMEOUT,
        }
    }
}

/// Schedule of the probes for one choice of a server.
#[derive(Debug)]
pub struct ProbePlan {
    /// Number of full servers after which the service counts as crowded.
    max_full: usize,
    max_probes: usize,
    full_count: usize,
    started_count: usize,
    has_more_servers: bool,
    pending: Vec<PendingProbe>,
}

impl ProbePlan {
    /// Creates a schedule that ends after `max_full` full servers.
    pub fn new(max_full: usize) -> Self {
        Self {
            max_full,
            max_probes: MAX_PROBES,
            full_count: 0,
            started_count: 0,
            has_more_servers: true,
            pending: Vec::new(),
        }
    }

    /// Limits the number of servers that are probed.
    pub fn with_max_probes(self, max_probes: usize) -> Self {
        Self { max_probes: max_probes.min(MAX_PROBES), ..self }
    }

    /// Returns the next step.
    pub fn next(&self, now: Instant) -> ProbeStep {
        let full_times = self.pending.iter().filter_map(PendingProbe::full_at);
        let delayed_count = full_times.clone().filter(|full_at| *full_at <= now).count();
        if self.full_count + delayed_count >= self.max_full {
            return ProbeStep::GiveUp;
        }
        let may_start = self.has_more_servers && self.started_count < self.max_probes;
        let newest_due_at = self.pending.iter().map(PendingProbe::due_at).max();
        if may_start && newest_due_at.is_none_or(|due_at| due_at <= now) {
            return ProbeStep::Start;
        }
        let due_times = newest_due_at.filter(|_| may_start).into_iter();
        let expiry_times = self.pending.iter().map(PendingProbe::expires_at);
        let last_expiry = expiry_times.max().filter(|_| !may_start).into_iter();
        // A server that becomes full while others are pending may end the choice.
        let wake_times = due_times.chain(last_expiry).chain(full_times);
        match wake_times.filter(|at| *at > now).min() {
            Some(wake_at) => ProbeStep::Wait(wake_at),
            None => ProbeStep::GiveUp,
        }
    }

    /// Records the start of a probe; `has_connection` tells whether a connection was open already.
    pub fn record_start(&mut self, now: Instant, has_connection: bool) -> ProbeNumber {
        let number = self.started_count;
        self.started_count += 1;
        let asked_at = has_connection.then_some(now);
        self.pending.push(PendingProbe { number, started_at: now, asked_at });
        number
    }

    /// Records that a connection was opened and the health page is requested on it.
    pub fn record_connected(&mut self, now: Instant, number: ProbeNumber) {
        let probe = self.pending.iter_mut().find(|probe| probe.number == number);
        if let Some(probe) = probe {
            probe.asked_at = Some(now);
        }
    }

    /// Records the result of a probe; `is_full` tells whether the server has no free slot.
    pub fn record_result(&mut self, number: ProbeNumber, is_full: bool) {
        self.pending.retain(|probe| probe.number != number);
        self.full_count += usize::from(is_full);
    }

    /// Records that all servers were probed.
    pub fn no_more_servers(&mut self) {
        self.has_more_servers = false;
    }

    /// Probes without a result that are overdue, and whether each has a connection.
    pub fn overdue(&self, now: Instant) -> impl Iterator<Item = (ProbeNumber, bool)> {
        let overdue = self.pending.iter().filter(move |probe| now >= probe.due_at());
        overdue.map(|probe| (probe.number, probe.asked_at.is_some()))
    }
}
