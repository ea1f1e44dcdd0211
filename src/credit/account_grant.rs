//! Decides which entry gets which free slot and which credits are recalled.

use std::cmp::Reverse;
use std::time::Instant;

use super::account::AccountBook;
use super::account_state::{EntryStanding, ServerAccount};
use super::{CreditLine, RecallLine, ServerKey, WorkClass};
use crate::ids::ProcessName;

const SHORT: WorkClass = WorkClass::Short;

impl AccountBook {
    /// Grants free slots to waiting work, oldest first, until no grant is possible.
    pub(super) fn grant_demand(&mut self, now: Instant) {
        let mut blocked: Vec<(ProcessName, WorkClass)> = Vec::new();
        let mut exhausted = [false; 2];
        while let Some((name, class)) = self.oldest_waiting(now, &blocked, exhausted) {
            let Some(server) = self.best_server(&name, class) else {
                // An entry that avoids no server finds none only if nobody can.
                let avoids = self.entries.get(&name).is_some_and(|entry| !entry.avoided.is_empty());
                if avoids {
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
                let is_blocked =
                    blocked.iter().any(|(other, kind)| other == name && *kind == class);
                if is_blocked || best.is_some_and(|(first, _, _)| first <= since) {
                    continue;
                }
                best = Some((since, name, class));
            }
        }
        best.map(|(_, name, class)| (name.clone(), class))
    }

    /// Servers on probe first, so that they return also under light load; then the entry's zone,
    /// then the most free slots; servers the entry ejected never.
    fn best_server(&self, name: &ProcessName, class: WorkClass) -> Option<ServerKey> {
        let entry = self.entries.get(name)?;
        let mut best = None;
        for (server, account) in &self.servers {
            let free = account.free(class, self.settings.long_percent);
            if free == 0 || entry.avoided.contains(server) {
                continue;
            }
            let rank = (account.cap.is_probing(), account.zone == entry.zone, free);
            if best.is_none_or(|(first, _)| rank > first) {
                best = Some((rank, *server));
            }
        }
        best.map(|(_, server)| server)
    }

    fn grant(&mut self, name: &ProcessName, server: ServerKey, class: WorkClass) {
        let (Some(entry), Some(account)) =
            (self.entries.get_mut(name), self.servers.get_mut(&server))
        else {
            return;
        };
        account.add(class, 1);
        *entry.held.entry((server, class)).or_insert(0) += 1;
        entry.held_total += 1;
        entry.granted += 1;
        let is_probing = account.cap.is_probing();
        let message = entry.message(self.epoch);
        if is_probing && !message.probes.contains(&server) {
            message.probes.push(server);
        }
        let grants = &mut message.grants;
        match grants.iter_mut().find(|line| line.server == server && line.class == class) {
            Some(line) => line.count += 1,
            None => grants.push(CreditLine { server, class, count: 1 }),
        }
    }

    /// Hands part of the unused slots to entries in proportion to their recent demand.
    pub(super) fn grant_ahead(&mut self) {
        let mut spare = self.servers.values().map(ServerAccount::unused).sum::<u32>();
        let mut total_rate = 0.0;
        for entry in self.entries.values().filter(|entry| entry.standing == EntryStanding::Reported)
        {
            if entry.demand[WorkClass::Short.index()].is_some_and(|demand| demand.waiting > 0) {
                return;
            }
            spare += entry.idle_estimate();
            total_rate += entry.rate;
        }
        // Below one request in the rate memory there is no demand worth a message.
        if total_rate < 1.0 {
            return;
        }
        let budget = f64::from(spare) * f64::from(self.settings.ahead_percent) / 100.0;
        let names: Vec<ProcessName> = self.entries.keys().cloned().collect();
        for name in names {
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            if entry.standing != EntryStanding::Reported {
                continue;
            }
            entry.keep = (budget * entry.rate / total_rate).round() as u32;
            // Topping up at half the target sends a message for several requests, not for each.
            if entry.idle_estimate() * 2 > entry.keep || entry.keep == 0 {
                continue;
            }
            for _ in entry.idle_estimate()..entry.keep {
                let Some(server) = self.best_server(&name, WorkClass::Short) else {
                    return;
                };
                self.grant(&name, server, WorkClass::Short);
            }
        }
    }

    /// Recalls credits of servers with more credits outstanding than slots.
    pub(super) fn recall_excess(&mut self, now: Instant) {
        for (server, account) in &mut self.servers {
            let excess = account.outstanding.saturating_sub(account.slots);
            let repeat = self.settings.recall_repeat;
            if excess == 0 || account.recall_sent.is_some_and(|sent| now < sent + repeat) {
                continue;
            }
            account.recall_sent = Some(now);
            let mut left = excess;
            for entry in self.entries.values_mut() {
                if entry.standing != EntryStanding::Reported {
                    continue;
                }
                let count = left.min(entry.held_of(*server));
                if count == 0 {
                    continue;
                }
                left -= count;
                let line = RecallLine { server: Some(*server), count };
                entry.message(self.epoch).recalls.push(line);
            }
        }
        self.servers.retain(|_, account| account.is_needed());
    }

    /// Recalls idle credits for waiting work of others, then credits in use by younger work.
    pub(super) fn recall_for_waiting(&mut self, now: Instant) {
        let mut missing = self.missing_credits(now);
        if missing == 0 {
            return;
        }
        let oldest =
            self.entries.values().filter_map(|entry| entry.waiting_since(now, SHORT)).min();
        for entry in self.entries.values_mut() {
            if entry.standing != EntryStanding::Reported || missing == 0 {
                continue;
            }
            let mut count = entry.idle_estimate().saturating_sub(entry.recalled).min(missing);
            if let Some(own) = entry.waiting_since(now, SHORT) {
                // Only the same class is compared: a credit for short work cannot carry long work.
                let gap = self.settings.fairness_gap;
                let is_younger = oldest.is_some_and(|oldest| own > oldest + gap);
                count = u32::from(is_younger && entry.recalled == 0 && entry.held_total > 1);
            }
            if count == 0 {
                continue;
            }
            missing -= count;
            entry.recalled += count;
            entry.recalled_at = now;
            entry.message(self.epoch).recalls.push(RecallLine { server: None, count });
        }
        self.recall_unseen(now, missing);
    }

    /// Recalls one credit each from entries without waiting work, those with most credits first.
    ///
    /// The account does not see a credit become idle. Such an entry gives back an idle credit or
    /// the next one that a request frees, instead of keeping it idle beside waiting work.
    fn recall_unseen(&mut self, now: Instant, missing: u32) {
        if missing == 0 {
            return;
        }
        let mut names = Vec::new();
        for (name, entry) in &self.entries {
            let is_asked = entry.standing != EntryStanding::Reported || entry.recalled > 0;
            if is_asked || entry.waiting_since(now, SHORT).is_some() || entry.held_total == 0 {
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
            entry.message(self.epoch).recalls.push(RecallLine { server: None, count: 1 });
        }
    }

    /// Credits for which work waits, less what was recalled and has not come back yet.
    fn missing_credits(&mut self, now: Instant) -> u32 {
        let percent = self.settings.long_percent;
        let has_long_room = self.servers.values().any(|account| account.has_long_room(percent));
        let mut wanted = 0;
        let mut pending = 0;
        for entry in self.entries.values_mut() {
            if now >= entry.recalled_at + self.settings.recall_repeat {
                entry.recalled = 0;
            }
            pending += entry.recalled;
            for class in WorkClass::ALL {
                let is_possible = class == SHORT || has_long_room;
                if is_possible && entry.waiting_since(now, class).is_some() {
                    wanted += entry.demand[class.index()].map_or(0, |demand| demand.waiting);
                }
            }
        }
        wanted.saturating_sub(pending)
    }
}
