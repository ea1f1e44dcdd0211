//! Fair sharing of one process between teams: queued requests, open requests and buffered bodies.

use std::collections::BTreeMap;

use crate::ids::TeamName;

/// Requests that a team may open in one round of the deficit round robin.
const QUANTUM_REQUESTS: u32 = 4;

/// Limits of one process over all teams.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub queued: u32,
    pub open: u32,
    /// Request bodies held in memory, in KiB.
    pub buffered_kib: u32,
}

#[derive(Debug, Default)]
struct TeamUsage {
    queued: u32,
    open: u32,
    buffered_kib: u32,
    deficit: u32,
}

/// Divides the limits of one process between its teams.
///
/// Every team is guaranteed half of its even share of each limit; the rest is first come, first
/// served. A flood of requests for one team therefore cannot starve another. Teams come from the
/// settings, so their number is bounded.
#[derive(Debug)]
pub struct TeamShare {
    limits: ProcessLimits,
    teams: BTreeMap<TeamName, TeamUsage>,
    queued: u32,
    open: u32,
    buffered_kib: u32,
    /// Team at which the round robin continues.
    turn: Option<TeamName>,
}

impl TeamShare {
    pub fn new(limits: ProcessLimits) -> Self {
        Self { limits, teams: BTreeMap::new(), queued: 0, open: 0, buffered_kib: 0, turn: None }
    }

    /// Sets the teams. A removed team with requests or buffered bodies stays until a later call.
    pub fn set_teams(&mut self, teams: &[TeamName]) {
        self.teams.retain(|name, team| teams.contains(name) || team.is_active());
        for name in teams {
            self.teams.entry(name.clone()).or_default();
        }
    }

    /// Counts a queued request, or returns `false` if it must be refused.
    pub fn try_queue(&mut self, name: &str) -> bool {
        let guaranteed_share = self.guaranteed_share(self.limits.queued);
        let reserved = self.reserved_for_others(name, guaranteed_share, |team| team.queued);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        if self.queued + reserved >= self.limits.queued {
            return false;
        }
        team.queued += 1;
        self.queued += 1;
        true
    }

    /// Removes a queued request that was started, expired or cancelled from the count.
    pub fn leave_queue(&mut self, name: &str) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.queued > 0) else {
            return;
        };
        team.queued -= 1;
        self.queued -= 1;
    }

    /// Counts an open request (sent to a server), or returns `false` if it has to wait.
    pub fn try_open(&mut self, name: &str) -> bool {
        let guaranteed_share = self.guaranteed_share(self.limits.open);
        let reserved = self.reserved_for_others(name, guaranteed_share, |team| team.open);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        if self.open + reserved >= self.limits.open {
            return false;
        }
        team.open += 1;
        self.open += 1;
        true
    }

    /// Removes an open request from the count.
    pub fn close(&mut self, name: &str) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.open > 0) else {
            return;
        };
        team.open -= 1;
        self.open -= 1;
    }

    /// Reserves memory for a body, or returns `false` if the body must not be buffered.
    pub fn try_buffer(&mut self, name: &str, kib: u32) -> bool {
        let guaranteed_share = self.guaranteed_share(self.limits.buffered_kib);
        let reserved = self.reserved_for_others(name, guaranteed_share, |team| team.buffered_kib);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        let free = self.limits.buffered_kib.saturating_sub(self.buffered_kib + reserved);
        if kib > free {
            return false;
        }
        team.buffered_kib += kib;
        self.buffered_kib += kib;
        true
    }

    /// Releases the memory reserved for a body.
    pub fn release_buffer(&mut self, name: &str, kib: u32) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.buffered_kib >= kib) else {
            return;
        };
        team.buffered_kib -= kib;
        self.buffered_kib -= kib;
    }

    /// Returns the team that may open the next request, by deficit round robin over the teams for
    /// which `can_start` is true: those with queued work and a free slot for it.
    ///
    /// The caller opens one request of that team before the next call.
    pub fn next_team(&mut self, can_start: impl Fn(&str) -> bool) -> Option<TeamName> {
        let names: Vec<TeamName> = self.teams.keys().cloned().collect();
        let turn = self.turn.take();
        let start = turn.and_then(|turn| names.iter().position(|name| *name == turn)).unwrap_or(0);
        // One step more than there are teams, because the first team may have used up its quantum
        // and then gets a new one only after all others.
        for offset in 0..=names.len() {
            let name = names.get((start + offset) % names.len().max(1))?;
            let Some(team) = self.teams.get_mut(name) else {
                continue;
            };
            if !can_start(name) {
                team.deficit = 0;
                continue;
            }
            if offset > 0 {
                team.deficit += QUANTUM_REQUESTS;
            }
            if team.deficit == 0 {
                continue;
            }
            team.deficit -= 1;
            self.turn = Some(name.clone());
            return self.turn.clone();
        }
        None
    }

    pub fn queued(&self) -> u32 {
        self.queued
    }

    pub fn open(&self) -> u32 {
        self.open
    }

    pub fn buffered_kib(&self) -> u32 {
        self.buffered_kib
    }

    fn guaranteed_share(&self, limit: u32) -> u32 {
        limit / (2 * self.teams.len().max(1) as u32)
    }

    /// Sum of the guaranteed shares that other teams have not used yet.
    fn reserved_for_others(
        &self,
        name: &str,
        guaranteed_share: u32,
        used: impl Fn(&TeamUsage) -> u32,
    ) -> u32 {
        let others = self.teams.iter().filter(|(other, _)| ***other != *name);
        others.map(|(_, team)| guaranteed_share.saturating_sub(used(team))).sum()
    }
}

impl TeamUsage {
    fn is_active(&self) -> bool {
        self.queued > 0 || self.open > 0 || self.buffered_kib > 0
    }
}
