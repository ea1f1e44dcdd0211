//! Closes servers that several entries find slow or failing, and opens them again step by step.

use std::time::{Duration, Instant};

use super::account::AccountBook;
use super::account_state::{EntryStanding, ServerAccount};
use super::{FIRST_PAUSE, LONGEST_PAUSE, OutcomeLine, ServerKey, SuspectLine};
use crate::ids::ProcessName;

/// Bound of the servers that one entry may suspect.
const MAX_SUSPECTS: usize = 64;

/// Evidence of one entry counts at most this much, in percent of what ejects a server there.
const MAX_STRENGTH: u32 = 70;

/// Evidence that closes a server: twice the most that one entry can give, so that a single
/// faulty entry never closes a server for all.
const CLOSING_STRENGTH: u32 = 2 * MAX_STRENGTH;

/// A server stays closed this long at first, and twice as long after each probe that fails.
/// A probe costs one request, so the first period is shorter than that of an entry's ejection.
const FIRST_PERIOD: Duration = Duration::from_millis(200);
const LONGEST_PERIOD: Duration = Duration::from_secs(30);

/// A server that stayed open for this many of its last periods starts again with the first one.
const FORGIVING_PERIODS: u32 = 10;

/// Failures further apart than this count as single ones.
const PAUSE_MEMORY: Duration = Duration::from_millis(50);

/// An answer that failed outweighs this many good answers of a server on probe.
const FAILED_WEIGHT: u32 = 2;

/// What an entry said about one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectEntry {
    server: ServerKey,
    strength: u32,
    /// Strength that has closed the server already; only more than that counts again.
    spent: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CapPhase {
    #[default]
    Open,
    Closed {
        until: Instant,
    },
    /// A few slots are granted; their answers decide.
    Probing {
        slots: u32,
        good: u32,
        bad: u32,
    },
}

/// Limit that the holder sets to a server because of its answers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthCap {
    pub(super) phase: CapPhase,
    period: Duration,
    opened_at: Option<Instant>,
}

impl HealthCap {
    pub(super) fn limit(&self, slots: u32) -> u32 {
        match self.phase {
            CapPhase::Open => slots,
            CapPhase::Closed { .. } => 0,
            CapPhase::Probing { slots: probes, .. } => slots.min(probes),
        }
    }

    pub(super) fn is_probing(&self) -> bool {
        matches!(self.phase, CapPhase::Probing { .. })
    }

    fn close(&mut self, now: Instant) {
        let is_forgiven =
            self.opened_at.is_some_and(|opened| now >= opened + self.period * FORGIVING_PERIODS);
        let is_first = self.period.is_zero() || is_forgiven;
        self.period = if is_first { FIRST_PERIOD } else { (self.period * 2).min(LONGEST_PERIOD) };
        self.opened_at = None;
        self.phase = CapPhase::Closed { until: now + self.period };
    }

    /// Counts answers of a server on probe: each step doubles the slots after as many good ones.
    fn note(&mut self, now: Instant, line: &OutcomeLine, limit: u32) {
        let CapPhase::Probing { slots, good, bad } = &mut self.phase else {
            return;
        };
        *good = good.saturating_add(line.good);
        *bad =
            bad.saturating_add(line.slow).saturating_add(line.failed.saturating_mul(FAILED_WEIGHT));
        if *bad > *good {
            self.close(now);
            return;
        }
        // One, two, four ... slots: the good answers of all steps add up to `2 * slots - 1`.
        while *good - *bad >= slots.saturating_mul(2) - 1 && *slots < limit {
            *slots *= 2;
        }
        if *slots >= limit {
            self.phase = CapPhase::Open;
            self.opened_at = Some(now);
        }
    }
}

impl ServerAccount {
    /// Good answers are not reported, so a time without failures ends the growth of the pauses.
    fn note_pause(&mut self, now: Instant, failed: u32) {
        if failed == 0 {
            return;
        }
        let is_repeated = self.failed_at.is_some_and(|at| now < at + PAUSE_MEMORY);
        let pause = if is_repeated { self.pause * 2 } else { FIRST_PAUSE };
        self.pause = pause.min(LONGEST_PAUSE);
        self.failed_at = Some(now);
        self.paused_until = Some(now + self.pause);
    }
}

impl AccountBook {
    /// Servers that get fewer slots than they have because of their answers.
    pub fn capped(&self) -> Vec<ServerKey> {
        let is_capped = |account: &ServerAccount| account.cap.phase != CapPhase::Open;
        let capped = self.servers.iter().filter(|(_, account)| is_capped(account));
        capped.map(|(server, _)| *server).collect()
    }

    /// Takes over what an entry says about servers now; it replaces what it said before.
    pub(super) fn note_suspects(
        &mut self,
        now: Instant,
        name: &ProcessName,
        lines: &[SuspectLine],
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if lines.is_empty() {
            entry.suspects.clear();
            return;
        }
        let mut suspects = Vec::with_capacity(lines.len().min(MAX_SUSPECTS));
        for line in lines.iter().take(MAX_SUSPECTS) {
            let strength = u32::from(line.strength).min(MAX_STRENGTH);
            let previous = entry.suspects.iter().find(|suspect| suspect.server == line.server);
            let spent = previous.map_or(0, |suspect| suspect.spent.min(strength));
            suspects.push(SuspectEntry { server: line.server, strength, spent });
        }
        entry.suspects = suspects;
        for line in lines.iter().take(MAX_SUSPECTS) {
            self.judge(now, line.server);
        }
    }

    fn judge(&mut self, now: Instant, server: ServerKey) {
        let is_open = |account: &ServerAccount| account.cap.phase == CapPhase::Open;
        if !self.servers.get(&server).is_some_and(is_open)
            || self.evidence(server) < CLOSING_STRENGTH
        {
            return;
        }
        // At most half of the servers, and none when most of them look bad to someone.
        let total = self.servers.values().filter(|account| account.limit > 0).count();
        let mut bad = 1;
        for (other, account) in &self.servers {
            if *other == server || account.limit == 0 {
                continue;
            }
            bad += usize::from(!is_open(account) || self.evidence(*other) >= MAX_STRENGTH);
        }
        if bad * 2 <= total {
            self.close_server(now, server);
        }
    }

    /// Evidence of all entries against a server. An entry that suspects more than a third of the
    /// servers does not count, because the fault is more likely its own.
    fn evidence(&self, server: ServerKey) -> u32 {
        let most = (self.servers.len() / 3).max(1);
        let mut sum = 0;
        for entry in self.entries.values() {
            if entry.standing != EntryStanding::Reported || entry.suspects.len() > most {
                continue;
            }
            let suspect = entry.suspects.iter().find(|suspect| suspect.server == server);
            let fresh = suspect.filter(|suspect| suspect.strength > suspect.spent);
            sum += fresh.map_or(0, |suspect| suspect.strength);
        }
        sum
    }

    fn close_server(&mut self, now: Instant, server: ServerKey) {
        let Some(account) = self.servers.get_mut(&server) else {
            return;
        };
        account.cap.close(now);
        account.apply_cap();
        for entry in self.entries.values_mut() {
            for suspect in entry.suspects.iter_mut().filter(|suspect| suspect.server == server) {
                suspect.spent = suspect.strength;
            }
        }
    }

    pub(super) fn note_outcomes(&mut self, now: Instant, lines: &[OutcomeLine]) {
        for line in lines.iter().take(MAX_SUSPECTS) {
            let Some(account) = self.servers.get_mut(&line.server) else {
                continue;
            };
            account.note_pause(now, line.failed);
            account.cap.note(now, line, account.limit);
            account.apply_cap();
        }
    }

    /// Starts probes of servers whose period is over, and ends pauses.
    pub(super) fn start_probes(&mut self, now: Instant) {
        for account in self.servers.values_mut() {
            if account.paused_until.is_some_and(|until| now >= until) {
                account.paused_until = None;
            }
            let CapPhase::Closed { until } = account.cap.phase else {
                continue;
            };
            if now >= until {
                account.cap.phase = CapPhase::Probing { slots: 1, good: 0, bad: 0 };
                account.apply_cap();
            }
        }
    }
}
