//! Messages of a wallet to the account holder.

use std::time::{Duration, Instant};

use super::wallet::{CreditWallet, WaitingWork};
use super::wallet_state::{ServerCredits, WalletMode, waiting_demand};
use super::{CreditCount, EntryMessage, HeldCounts, ServerKey, ServerOutcomes, WorkClass};

/// Maximum number of sent messages whose times are kept. The holder's reply to any further message
/// does not extend the lease.
const MAX_SENT_TIMES: usize = 1024;

impl CreditWallet {
    /// Starts a session with a full report. Grants of earlier sessions still in transit become void.
    pub(super) fn start_session(&mut self, now: Instant) -> EntryMessage {
        let mut holdings = Vec::new();
        for server in &mut self.servers {
            // Leaving unsent returns out of the report returns them as well.
            server.pending_returns = [0; 2];
            server.recalled = 0;
            for class in WorkClass::ALL {
                let (in_use, idle) = (server.in_use[class.index()], server.idle[class.index()]);
                if in_use + idle > 0 {
                    holdings.push(HeldCounts { server: server.server, class, in_use, idle });
                }
            }
        }
        self.session += 1;
        self.has_session = true;
        self.started_in_fallback = false;
        self.received = 0;
        self.recalled_from_any = 0;
        self.has_returns = false;
        self.idle_allowance = 0;
        self.last_sent_demand = [0; 2];
        let mut message = self.message(now);
        message.report = Some(holdings);
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
            ejected: self.ejected_servers(),
            suspects: self.suspects.clone(),
            outcomes: self.take_outcomes(),
        }
    }

    fn take_outcomes(&mut self) -> Vec<ServerOutcomes> {
        self.has_new_suspicion = false;
        self.servers.iter_mut().filter_map(|credits| credits.outcome.take()).collect()
    }

    fn ejected_servers(&self) -> Vec<ServerKey> {
        self.servers
            .iter()
            .filter(|credits| credits.is_ejected)
            .map(|credits| credits.server)
            .collect()
    }

    pub(super) fn tick(&mut self, now: Instant, waiting: [WaitingWork; 2]) -> Option<EntryMessage> {
        self.waiting_long = waiting[WorkClass::Long.index()].count;
        if !self.is_connected {
            return None;
        }
        let has_lease = self.mode == WalletMode::Credits;
        let resend_after = self.settings.report_resend_after;
        if !self.has_session || !has_lease {
            let is_due = self.last_sent.is_none_or(|sent| now >= sent + resend_after);
            return is_due.then(|| self.start_session(now));
        }
        self.return_surplus(now, &waiting);
        let counts = waiting.map(|work| work.count);
        let elapsed =
            self.last_sent.map_or(Duration::MAX, |sent| now.saturating_duration_since(sent));
        let has_demand = counts != [0; 2];
        let has_grown =
            counts[0] > self.last_sent_demand[0] || counts[1] > self.last_sent_demand[1];
        let has_changed = has_demand || self.last_sent_demand != [0; 2];
        let is_active =
            has_demand || self.started > 0 || !self.servers.iter().all(ServerCredits::is_empty);
        if is_active {
            self.last_active_at = now;
        }
        let is_idle =
            now.saturating_duration_since(self.last_active_at) >= self.settings.idle_after;
        let renewal_interval = match is_idle {
            true => self.settings.idle_renewal_interval,
            false => self.settings.renewal_interval,
        };
        let needs_top_up = self.idle_allowance > 0
            && self.idle_total * 2 <= self.idle_allowance
            && self.started > 0;
        let is_due = (has_grown || self.has_returns || self.has_new_suspicion)
            && elapsed >= self.settings.min_message_interval
            || (has_changed || needs_top_up) && elapsed >= self.settings.demand_resend_after
            || elapsed >= renewal_interval;
        if !is_due {
            return None;
        }
        self.last_sent_demand = counts;
        let mut message = self.return_message(now);
        message.demand = waiting_demand(now, &waiting);
        message.has_demand = true;
        Some(message)
    }

    /// Returns a message with the pending returns that leaves the demand known to the holder as it is.
    pub(super) fn return_message(&mut self, now: Instant) -> EntryMessage {
        let returns = self.take_returns();
        let mut message = self.message(now);
        message.returns = returns;
        message
    }

    /// Returns credits that have been idle for `idle_return_after`, except for `idle_allowance`.
    fn return_surplus(&mut self, now: Instant, waiting: &[WaitingWork; 2]) {
        if !self.is_scarce && now < self.min_idle_since + self.settings.idle_return_after {
            return;
        }
        let is_waiting = waiting.iter().any(|work| work.count > 0);
        let unneeded = if self.is_scarce { self.idle_total } else { self.min_idle };
        let mut surplus = unneeded.saturating_sub(if is_waiting { 0 } else { self.idle_allowance });
        for credits in &mut self.servers {
            let count = credits.return_idle(surplus);
            surplus -= count;
            self.idle_total -= count;
            self.has_returns |= count > 0;
        }
        self.min_idle = self.idle_total;
        self.min_idle_since = now;
    }

    fn take_returns(&mut self) -> Vec<CreditCount> {
        let mut returns = Vec::new();
        self.has_returns = false;
        for server in &mut self.servers {
            for class in WorkClass::ALL {
                let count = std::mem::take(&mut server.pending_returns[class.index()]);
                if count > 0 {
                    returns.push(CreditCount { server: server.server, class, count });
                }
            }
        }
        returns
    }
}
