//! Messages of a wallet to the account holder.

use std::time::{Duration, Instant};

use super::wallet::{CreditWallet, WaitingWork};
use super::wallet_state::{ServerCredits, WalletMode, demand_lines};
use super::{CreditLine, EntryMessage, HeldLine, OutcomeLine, ServerKey, WorkClass};

/// Sent messages whose times are kept for dating the lease; without a time the lease stays as is.
const MAX_SENT_TIMES: usize = 1024;

impl CreditWallet {
    /// Starts a session: grants of earlier sessions that are still on the way become void.
    pub(super) fn report(&mut self, now: Instant) -> EntryMessage {
        let mut lines = Vec::new();
        for server in &mut self.servers {
            // Returns not yet sent are left out of the report, which frees them as well.
            server.returning = [0; 2];
            server.owed = 0;
            for class in WorkClass::ALL {
                let (in_use, idle) = (server.in_use[class.index()], server.idle[class.index()]);
                if in_use + idle > 0 {
                    lines.push(HeldLine { server: server.server, class, in_use, idle });
                }
            }
        }
        self.session += 1;
        self.has_session = true;
        self.started_by_count = false;
        self.received = 0;
        self.owed_any = 0;
        self.has_returns = false;
        self.keep = 0;
        self.last_demand = [0; 2];
        let mut message = self.message(now);
        message.report = Some(lines);
        message
    }

    fn message(&mut self, now: Instant) -> EntryMessage {
        self.sequence += 1;
        self.last_sent = Some(now);
        if self.sent_times.len() < MAX_SENT_TIMES {
            self.sent_times.push_back((self.sequence, now));
        }
        EntryMessage {
            epoch: self.epoch,
            session: self.session,
            sequence: self.sequence,
            received: self.received,
            started: std::mem::take(&mut self.started),
            idle: self.idle_total,
            has_demand: false,
            demand: Vec::new(),
            returns: Vec::new(),
            report: None,
            avoided: self.avoided(),
            suspects: self.suspects.clone(),
            outcomes: self.take_outcomes(),
        }
    }

    fn take_outcomes(&mut self) -> Vec<OutcomeLine> {
        self.has_news = false;
        self.servers.iter_mut().filter_map(|credits| credits.outcome.take()).collect()
    }

    fn avoided(&self) -> Vec<ServerKey> {
        self.servers
            .iter()
            .filter(|credits| credits.avoided)
            .map(|credits| credits.server)
            .collect()
    }

    pub(super) fn tick(&mut self, now: Instant, waiting: [WaitingWork; 2]) -> Option<EntryMessage> {
        self.waiting_long = waiting[WorkClass::Long.index()].count;
        if !self.is_linked {
            return None;
        }
        let is_confirmed = self.mode == WalletMode::Credits;
        let repeat = self.settings.report_repeat;
        if !self.has_session || !is_confirmed {
            let is_due = self.last_sent.is_none_or(|sent| now >= sent + repeat);
            return is_due.then(|| self.report(now));
        }
        self.return_surplus(now, &waiting);
        let counts = waiting.map(|work| work.count);
        let elapsed =
            self.last_sent.map_or(Duration::MAX, |sent| now.saturating_duration_since(sent));
        let has_demand = counts != [0; 2];
        let has_more = counts[0] > self.last_demand[0] || counts[1] > self.last_demand[1];
        let has_changed = has_demand || self.last_demand != [0; 2];
        let is_active =
            has_demand || self.started > 0 || !self.servers.iter().all(ServerCredits::is_empty);
        if is_active {
            self.active_at = now;
        }
        let is_idle = now.saturating_duration_since(self.active_at) >= self.settings.idle_after;
        let renewal = match is_idle {
            true => self.settings.idle_interval,
            false => self.settings.report_interval,
        };
        let is_low = self.keep > 0 && self.idle_total * 2 <= self.keep && self.started > 0;
        let is_due = (has_more || self.has_returns || self.has_news)
            && elapsed >= self.settings.message_gap
            || (has_changed || is_low) && elapsed >= self.settings.demand_repeat
            || elapsed >= renewal;
        if !is_due {
            return None;
        }
        self.last_demand = counts;
        let mut message = self.return_message(now);
        message.demand = demand_lines(now, &waiting);
        message.has_demand = true;
        Some(message)
    }

    /// Sends the returns without a statement on demand.
    pub(super) fn return_message(&mut self, now: Instant) -> EntryMessage {
        let returns = self.take_returns();
        let mut message = self.message(now);
        message.returns = returns;
        message
    }

    /// Credits that stayed idle beyond the number to keep go back.
    fn return_surplus(&mut self, now: Instant, waiting: &[WaitingWork; 2]) {
        if !self.is_scarce && now < self.lowest_since + self.settings.idle_hold {
            return;
        }
        let is_waiting = waiting.iter().any(|work| work.count > 0);
        let unneeded = if self.is_scarce { self.idle_total } else { self.lowest_idle };
        let mut surplus = unneeded.saturating_sub(if is_waiting { 0 } else { self.keep });
        for credits in &mut self.servers {
            let count = credits.return_idle(surplus);
            surplus -= count;
            self.idle_total -= count;
            self.has_returns |= count > 0;
        }
        self.lowest_idle = self.idle_total;
        self.lowest_since = now;
    }

    fn take_returns(&mut self) -> Vec<CreditLine> {
        let mut lines = Vec::new();
        self.has_returns = false;
        for server in &mut self.servers {
            for class in WorkClass::ALL {
                let count = std::mem::take(&mut server.returning[class.index()]);
                if count > 0 {
                    lines.push(CreditLine { server: server.server, class, count });
                }
            }
        }
        lines
    }
}
