//! Allocation of an account's credits: which entry gets which free slot, and which credits are
//! recalled.

use std::cmp::Reverse;
use std::time::Instant;

use super::account::CreditAccount;
use super::account_state::{EntryStatus, ServerState};
use super::{CreditCount, CreditRecall, ServerKey, WorkClass};
use crate::ids::ProcessName;

const SHORT: WorkClass = WorkClass::Short;

impl CreditAccount {
    /// Grants free slots to waiting work, oldest first, until no grant is possible.
    pub(super) fn grant_demand(&mut self, now: Instant) {
        let mut blocked: Vec<(ProcessName, WorkClass)> = Vec::new();
        let mut exhausted = [false; 2];
        while let Some((name, class)) = self.oldest_waiting(now, &blocked, exhausted) {
            let Some(server) = self.best_server(&name, class) else {
                // If an entry without ejected servers finds no free slot, no other entry can.
                let has_ejections =
                    self.entries.get(&name).is_some_and(|entry| !entry.ejected.is_empty());
                if has_ejections {
                    blocked.push((name, class));
                } else {
                    exhausted[class.index()] = true;
                }
                continue;
            };
            self.grant(&name, server, class);
            let entry =
                self.entries.get_mut(&name).and_then(|entry| entry.demand[class.index()].as_mut());
            if let Some(demand) = entry {
                demand.waiting -= 1;
            }
        }
    }

    fn oldest_waiting(
        &self,
        now: Instant,
        blocked: &[(ProcessName, WorkClass)],
        exhausted: [bool; 2],
    ) -> Option<(ProcessName, WorkClass)> {
        let mut best: Option<(Instant, &ProcessName, WorkClass)> = None;
        for (name, entry) in &self.entries {
            for class in WorkClass::ALL {
                if exhausted[class.index()] {
                    continue;
                }
                let Some(since) = entry.waiting_since(now, class) else {
                    continue;
                };
                let is_blocked = blocked
                    .iter()
                    .any(|(other, blocked_class)| other == name && *blocked_class == class);
                if is_blocked || best.is_some_and(|(first, _, _)| first <= since) {
                    continue;
                }
                best = Some((since, name, class));
            }
        }
        best.map(|(_, name, class)| (name.clone(), class))
    }

    /// Prefers servers being probed, so that probing proceeds also under light load, then servers in
    /// the entry's zone, then those with the most free slots. Never returns a server that the entry
    /// has ejected.
    fn best_server(&self, name: &ProcessName, class: WorkClass) -> Option<ServerKey> {
        let entry = self.entries.get(name)?;
        let mut best = None;
        for (server, state) in &self.servers {
            let free = state.free_slots(class, self.settings.long_percent);
            if free == 0 || entry.ejected.contains(server) {
                continue;
            }
            let rank = (state.cap.is_probing(), state.zone == entry.zone, free);
            if best.is_none_or(|(first, _)| rank > first) {
                best = Some((rank, *server));
            }
        }
        best.map(|(_, server)| server)
    }

    fn grant(&mut self, name: &ProcessName, server: ServerKey, class: WorkClass) {
        let (Some(entry), Some(state)) =
            (self.entries.get_mut(name), self.servers.get_mut(&server))
        else {
            return;
        };
        state.add(class, 1);
        *entry.held.entry((server, class)).or_insert(0) += 1;
        entry.held_total += 1;
        entry.granted += 1;
        let is_probing = state.cap.is_probing();
        let message = entry.message(self.epoch);
        if is_probing && !message.probes.contains(&server) {
            message.probes.push(server);
        }
        let grants = &mut message.grants;
        match grants.iter_mut().find(|grant| grant.server == server && grant.class == class) {
            Some(grant) => grant.count += 1,
            None => grants.push(CreditCount { server, class, count: 1 }),
        }
    }

    /// Grants part of the unused slots ahead of demand, in proportion to the recent request rates.
    pub(super) fn grant_prefetch(&mut self) {
        let mut free_slots = self.servers.values().map(ServerState::unused_slots).sum::<u32>();
        let mut total_rate = 0.0;
        for entry in self.entries.values().filter(|entry| entry.status == EntryStatus::Reported) {
            if entry.demand[WorkClass::Short.index()].is_some_and(|demand| demand.waiting > 0) {
                return;
            }
            free_slots += entry.idle_estimate();
            total_rate += entry.rate;
        }
        // Below one request per `RATE_DECAY_TIME` the demand is not worth a message.
        if total_rate < 1.0 {
            return;
        }
        let prefetch_budget =
            f64::from(free_slots) * f64::from(self.settings.prefetch_percent) / 100.0;
        let names: Vec<ProcessName> = self.entries.keys().cloned().collect();
        for name in names {
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            if entry.status != EntryStatus::Reported {
                continue;
            }
            entry.idle_allowance = (prefetch_budget * entry.rate / total_rate).round() as u32;
            // Granting only below half the target takes one message for several requests instead of
            // one for each.
            if entry.idle_estimate() * 2 > entry.idle_allowance || entry.idle_allowance == 0 {
                continue;
            }
            for _ in entry.idle_estimate()..entry.idle_allowance {
                let Some(server) = self.best_server(&name, WorkClass::Short) else {
                    return;
                };
                self.grant(&name, server, WorkClass::Short);
            }
        }
    }

    /// Recalls the excess credits of servers with more outstanding credits than slots.
    pub(super) fn recall_excess(&mut self, now: Instant) {
        for (server, state) in &mut self.servers {
            let excess = state.outstanding.saturating_sub(state.slots);
            let resend_after = self.settings.recall_resend_after;
            if excess == 0 || state.recall_sent_at.is_some_and(|sent| now < sent + resend_after) {
                continue;
            }
            state.recall_sent_at = Some(now);
            let mut left = excess;
            for entry in self.entries.values_mut() {
                if entry.status != EntryStatus::Reported {
                    continue;
                }
                let count = left.min(entry.held_on(*server));
                if count == 0 {
                    continue;
                }
                left -= count;
                let recall = CreditRecall { server: Some(*server), count };
                entry.message(self.epoch).recalls.push(recall);
            }
        }
        self.servers.retain(|_, state| state.is_needed());
    }

    /// Recalls credits for waiting work: idle ones, and one credit in use from each entry whose own
    /// waiting work is younger by more than `fairness_gap`.
    pub(super) fn recall_for_waiting(&mut self, now: Instant) {
        let mut missing = self.unmet_demand(now);
        if missing == 0 {
            return;
        }
        let oldest =
            self.entries.values().filter_map(|entry| entry.waiting_since(now, SHORT)).min();
        for entry in self.entries.values_mut() {
            if entry.status != EntryStatus::Reported || missing == 0 {
                continue;
            }
            let mut count = entry.idle_estimate().saturating_sub(entry.recalled).min(missing);
            if let Some(own_since) = entry.waiting_since(now, SHORT) {
                // Only short work is compared, because a credit for short work cannot start long work.
                let gap = self.settings.fairness_gap;
                let is_younger = oldest.is_some_and(|oldest| own_since > oldest + gap);
                count = u32::from(is_younger && entry.recalled == 0 && entry.held_total > 1);
            }
            if count == 0 {
                continue;
            }
            missing -= count;
            entry.recalled += count;
            entry.recalled_at = now;
            entry.message(self.epoch).recalls.push(CreditRecall { server: None, count });
        }
        self.recall_from_entries_without_demand(now, missing);
    }

    /// Recalls one credit each from entries without waiting work, those with the most credits first.
    ///
    /// The account is not told when a credit becomes idle. Such an entry returns an idle credit, or
    /// the next one that a finished request releases, instead of keeping it idle while work waits
    /// elsewhere.
    fn recall_from_entries_without_demand(&mut self, now: Instant, missing: u32) {
        if missing == 0 {
            return;
        }
        let mut names = Vec::new();
        for (name, entry) in &self.entries {
            let is_skipped = entry.status != EntryStatus::Reported || entry.recalled > 0;
            if is_skipped || entry.waiting_since(now, SHORT).is_some() || entry.held_total == 0 {
                continue;
            }
            names.push((Reverse(entry.held_total), name.clone()));
        }
        names.sort();
        for (_, name) in names.into_iter().take(missing as usize) {
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            entry.recalled = 1;
            entry.recalled_at = now;
            entry.message(self.epoch).recalls.push(CreditRecall { server: None, count: 1 });
        }
    }

    /// Number of credits for which work waits, less those recalled and not returned yet.
    fn unmet_demand(&mut self, now: Instant) -> u32 {
        let percent = self.settings.long_percent;
        let has_free_long_slot =
            self.servers.values().any(|state| state.has_free_long_slot(percent));
        let mut waiting = 0;
        let mut recalled = 0;
        for entry in self.entries.values_mut() {
            if now >= entry.recalled_at + self.settings.recall_resend_after {
                entry.recalled = 0;
            }
            recalled += entry.recalled;
            for class in WorkClass::ALL {
                let is_possible = class == SHORT || has_free_long_slot;
                if is_possible && entry.waiting_since(now, class).is_some() {
                    waiting += entry.demand[class.index()].map_or(0, |demand| demand.waiting);
                }
            }
        }
        waiting.saturating_sub(recalled)
    }
}
