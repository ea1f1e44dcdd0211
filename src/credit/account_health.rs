//! Blocks servers for all entries when several entries suspect them to be slow or failing, and
//! returns them to service step by step.

use std::time::{Duration, Instant};

use super::account::CreditAccount;
use super::account_state::{EntryStatus, ServerState};
use super::{FIRST_FAILURE_PAUSE, MAX_FAILURE_PAUSE, ServerKey, ServerOutcomes, SuspectServer};
use crate::ids::ProcessName;

/// Maximum number of servers that one entry may suspect.
const MAX_SUSPECTS: usize = 64;

/// Suspicion of one entry counts at most this much, in percent of what ejects a server there.
const MAX_ENTRY_STRENGTH: u32 = 70;

/// Total suspicion that blocks a server: twice the maximum of one entry, so that a single faulty
/// entry cannot block a server for all.
const BLOCKING_STRENGTH: u32 = 2 * MAX_ENTRY_STRENGTH;

/// First period for which a server is blocked; it doubles after each failed probe, up to the
/// maximum. A failed probe costs only one request, so the first period is shorter than the first
/// ejection by an entry.
const FIRST_BLOCK_PERIOD: Duration = Duration::from_millis(200);
const MAX_BLOCK_PERIOD: Duration = Duration::from_secs(30);

/// A server that was uncapped for this many times its last period starts again with the first.
const PERIODS_UNTIL_RESET: u32 = 10;

/// A failure within this time of the previous one counts as repeated and doubles the pause.
const REPEATED_FAILURE_WINDOW: Duration = Duration::from_millis(50);

/// A failed response of a server that is being probed outweighs this many good ones.
const FAILURE_WEIGHT: u32 = 2;

/// Suspicion of one entry against one server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    server: ServerKey,
    strength: u32,
    /// Strength that has already contributed to blocking the server. The suspicion counts again only
    /// once it is stronger than this.
    used_strength: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CapPhase {
    #[default]
    Uncapped,
    Blocked {
        until: Instant,
    },
    /// Only this many slots are granted; the responses decide what follows.
    Probing {
        slots: u32,
        good: u32,
        bad: u32,
    },
}

/// Cap that the account holder sets on a server's slots because of its responses.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthCap {
    pub(super) phase: CapPhase,
    block_period: Duration,
    uncapped_at: Option<Instant>,
}

impl HealthCap {
    pub(super) fn limit(&self, slots: u32) -> u32 {
        match self.phase {
            CapPhase::Uncapped => slots,
            CapPhase::Blocked { .. } => 0,
            CapPhase::Probing { slots: probe_slots, .. } => slots.min(probe_slots),
        }
    }

    pub(super) fn is_probing(&self) -> bool {
        matches!(self.phase, CapPhase::Probing { .. })
    }

    fn block(&mut self, now: Instant) {
        let is_reset = self
            .uncapped_at
            .is_some_and(|uncapped| now >= uncapped + self.block_period * PERIODS_UNTIL_RESET);
        let starts_again = self.block_period.is_zero() || is_reset;
        self.block_period = if starts_again {
            FIRST_BLOCK_PERIOD
        } else {
            (self.block_period * 2).min(MAX_BLOCK_PERIOD)
        };
        self.uncapped_at = None;
        self.phase = CapPhase::Blocked { until: now + self.block_period };
    }

    /// Counts responses while probing. The slots double once there were as many good responses as
    /// slots; the server is blocked again when bad responses outweigh the good ones.
    fn record_outcomes(&mut self, now: Instant, outcomes: &ServerOutcomes, limit: u32) {
        let CapPhase::Probing { slots, good, bad } = &mut self.phase else {
            return;
        };
        *good = good.saturating_add(outcomes.good);
        *bad = bad
            .saturating_add(outcomes.slow)
            .saturating_add(outcomes.failed.saturating_mul(FAILURE_WEIGHT));
        if *bad > *good {
            self.block(now);
            return;
        }
        // The steps are 1, 2, 4 ... slots, which require `2 * slots - 1` good responses in total.
        while *good - *bad >= slots.saturating_mul(2) - 1 && *slots < limit {
            *slots *= 2;
        }
        if *slots >= limit {
            self.phase = CapPhase::Uncapped;
            self.uncapped_at = Some(now);
        }
    }
}

impl ServerState {
    /// Pauses the server after failures. Good responses are not reported, so the pause is reset after
    /// a time without failures.
    fn pause_after_failure(&mut self, now: Instant, failed: u32) {
        if failed == 0 {
            return;
        }
        let is_repeated = self.failed_at.is_some_and(|at| now < at + REPEATED_FAILURE_WINDOW);
        let pause = if is_repeated { self.pause * 2 } else { FIRST_FAILURE_PAUSE };
        self.pause = pause.min(MAX_FAILURE_PAUSE);
        self.failed_at = Some(now);
        self.paused_until = Some(now + self.pause);
    }
}

impl CreditAccount {
    /// Returns the servers that are capped because of their responses, blocked or being probed.
    pub fn capped(&self) -> Vec<ServerKey> {
        let is_capped = |state: &ServerState| state.cap.phase != CapPhase::Uncapped;
        let capped = self.servers.iter().filter(|(_, state)| is_capped(state));
        capped.map(|(server, _)| *server).collect()
    }

    /// Replaces the suspicions of an entry.
    pub(super) fn record_suspects(
        &mut self,
        now: Instant,
        name: &ProcessName,
        suspect_servers: &[SuspectServer],
    ) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if suspect_servers.is_empty() {
            entry.suspects.clear();
            return;
        }
        let mut suspects = Vec::with_capacity(suspect_servers.len().min(MAX_SUSPECTS));
        for reported in suspect_servers.iter().take(MAX_SUSPECTS) {
            let strength = u32::from(reported.strength).min(MAX_ENTRY_STRENGTH);
            let previous = entry.suspects.iter().find(|suspect| suspect.server == reported.server);
            let used_strength = previous.map_or(0, |suspect| suspect.used_strength.min(strength));
            suspects.push(Suspicion { server: reported.server, strength, used_strength });
        }
        entry.suspects = suspects;
        for reported in suspect_servers.iter().take(MAX_SUSPECTS) {
            self.block_if_suspected(now, reported.server);
        }
    }

    fn block_if_suspected(&mut self, now: Instant, server: ServerKey) {
        let is_uncapped = |state: &ServerState| state.cap.phase == CapPhase::Uncapped;
        if !self.servers.get(&server).is_some_and(is_uncapped)
            || self.suspicion(server) < BLOCKING_STRENGTH
        {
            return;
        }
        // Never more than half of the servers, where those under strong suspicion count as blocked.
        let total = self.servers.values().filter(|state| state.limit > 0).count();
        let mut bad = 1;
        for (other, state) in &self.servers {
            if *other == server || state.limit == 0 {
                continue;
            }
            bad += usize::from(!is_uncapped(state) || self.suspicion(*other) >= MAX_ENTRY_STRENGTH);
        }
        if bad * 2 <= total {
            self.block_server(now, server);
        }
    }

    /// Total suspicion of all entries against a server. An entry that suspects more than a third of
    /// the servers does not count, because the fault is more likely on its side.
    fn suspicion(&self, server: ServerKey) -> u32 {
        let max_suspects = (self.servers.len() / 3).max(1);
        let mut sum = 0;
        for entry in self.entries.values() {
            if entry.status != EntryStatus::Reported || entry.suspects.len() > max_suspects {
                continue;
            }
            let suspect = entry.suspects.iter().find(|suspect| suspect.server == server);
            let unused = suspect.filter(|suspect| suspect.strength > suspect.used_strength);
            sum += unused.map_or(0, |suspect| suspect.strength);
        }
        sum
    }

    fn block_server(&mut self, now: Instant, server: ServerKey) {
        let Some(state) = self.servers.get_mut(&server) else {
            return;
        };
        state.cap.block(now);
        state.apply_cap();
        for entry in self.entries.values_mut() {
            for suspect in entry.suspects.iter_mut().filter(|suspect| suspect.server == server) {
                suspect.used_strength = suspect.strength;
            }
        }
    }

    pub(super) fn record_outcomes(&mut self, now: Instant, outcomes: &[ServerOutcomes]) {
        for server_outcomes in outcomes.iter().take(MAX_SUSPECTS) {
            let Some(state) = self.servers.get_mut(&server_outcomes.server) else {
                continue;
            };
            state.pause_after_failure(now, server_outcomes.failed);
            state.cap.record_outcomes(now, server_outcomes, state.limit);
            state.apply_cap();
        }
    }

    /// Starts probing servers whose block period is over, and ends pauses.
    pub(super) fn start_probes(&mut self, now: Instant) {
        for state in self.servers.values_mut() {
            if state.paused_until.is_some_and(|until| now >= until) {
                state.paused_until = None;
            }
            let CapPhase::Blocked { until } = state.cap.phase else {
                continue;
            };
            if now >= until {
                state.cap.phase = CapPhase::Probing { slots: 1, good: 0, bad: 0 };
                state.apply_cap();
            }
        }
    }
}
