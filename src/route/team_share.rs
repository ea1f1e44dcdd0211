//! Fair shares of teams in what one process has in common: requests and buffered bodies.

use std::collections::BTreeMap;

use crate::ids::TeamName;

/// Credit of a team in one round of the deficit round robin, in requests.
const QUANTUM: u32 = 4;

/// Bounds of one process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub queued: u32,
    pub open: u32,
    /// Request bodies held in memory, in KiB.
    pub buffered_kib: u32,
}

#[derive(Debug, Default)]
struct TeamUse {
    queued: u32,
    open: u32,
    buffered_kib: u32,
    deficit: u32,
}

/// Shares the bounds of one process between its teams.
///
/// Every team is guaranteed half of its even share of each bound; the rest goes to whoever
/// comes first. A flood of one team therefore never uses up what another team needs. Teams come
/// from the settings, so their number is bounded.
#[derive(Debug)]
pub struct TeamShare {
    limits: ProcessLimits,
    teams: BTreeMap<TeamName, TeamUse>,
    queued: u32,
    open: u32,
    buffered_kib: u32,
    /// Team whose turn it is in the round robin.
    turn: Option<TeamName>,
}

impl TeamShare {
    pub fn new(limits: ProcessLimits) -> Self {
        Self { limits, teams: BTreeMap::new(), queued: 0, open: 0, buffered_kib: 0, turn: None }
    }

    /// Sets the teams; a team with requests stays until they have ended.
    pub fn set_teams(&mut self, teams: &[TeamName]) {
        self.teams.retain(|name, team| teams.contains(name) || team.is_active());
        for name in teams {
            self.teams.entry(name.clone()).or_default();
        }
    }

    /// Counts a queued request, or returns `false` if the team must be refused.
    pub fn try_queue(&mut self, name: &str) -> bool {
        let guarantee = self.guarantee(self.limits.queued);
        let kept = self.kept_for_others(name, guarantee, |team| team.queued);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        if self.queued + kept >= self.limits.queued {
            return false;
        }
        team.queued += 1;
        self.queued += 1;
        true
    }

    /// Counts off a queued request that was started, expired or cancelled.
    pub fn leave_queue(&mut self, name: &str) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.queued > 0) else {
            return;
        };
        team.queued -= 1;
        self.queued -= 1;
    }

    /// Counts an open request (sent to a server), or returns `false` if it has to wait.
    pub fn try_open(&mut self, name: &str) -> bool {
        let guarantee = self.guarantee(self.limits.open);
        let kept = self.kept_for_others(name, guarantee, |team| team.open);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        if self.open + kept >= self.limits.open {
            return false;
        }
        team.open += 1;
        self.open += 1;
        true
    }

    /// Counts off an open request.
    pub fn close(&mut self, name: &str) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.open > 0) else {
            return;
        };
        team.open -= 1;
        self.open -= 1;
    }

    /// Reserves memory for a body, or returns `false` if the team must not buffer it.
    pub fn try_buffer(&mut self, name: &str, kib: u32) -> bool {
        let guarantee = self.guarantee(self.limits.buffered_kib);
        let kept = self.kept_for_others(name, guarantee, |team| team.buffered_kib);
        let Some(team) = self.teams.get_mut(name) else {
            return false;
        };
        let free = self.limits.buffered_kib.saturating_sub(self.buffered_kib + kept);
        if kib > free {
            return false;
        }
        team.buffered_kib += kib;
        self.buffered_kib += kib;
        true
    }

    /// Releases the memory of a body.
    pub fn release_buffer(&mut self, name: &str, kib: u32) {
        let Some(team) = self.teams.get_mut(name).filter(|team| team.buffered_kib >= kib) else {
            return;
        };
        team.buffered_kib -= kib;
        self.buffered_kib -= kib;
    }

    /// Team that opens the next request, by deficit round robin over the teams that can.
    ///
    /// `can_start` tells whether a team has queued work with a free slot. The caller then starts
    /// one request of this team and asks again.
    pub fn next_team(&mut self, can_start: impl Fn(&str) -> bool) -> Option<TeamName> {
        let names: Vec<TeamName> = self.teams.keys().cloned().collect();
        let turn = self.turn.take();
        let start = turn.and_then(|turn| names.iter().position(|name| *name == turn)).unwrap_or(0);
        // One step more than teams: the team of this turn may have to wait for a new round.
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
                team.deficit += QUANTUM;
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

    fn guarantee(&self, limit: u32) -> u32 {
        limit / (2 * self.teams.len().max(1) as u32)
    }

    /// Part of the bound that other teams have not used of their guarantees.
    fn kept_for_others(&self, name: &str, guarantee: u32, used: impl Fn(&TeamUse) -> u32) -> u32 {
        let others = self.teams.iter().filter(|(other, _)| ***other != *name);
        others.map(|(_, team)| guarantee.saturating_sub(used(team))).sum()
    }
}

impl TeamUse {
    fn is_active(&self) -> bool {
        self.queued > 0 || self.open > 0 || self.buffered_kib > 0
    }
}
