//! Account of one service: which entry holds how many credits of which server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account_state::{EntryState, EntryStatus, ServerState, WaitingDemand};
use super::{
    ClassDemand, CreditCount, EntryMessage, HolderMessage, LEASE_WITH_DRIFT, ServerKey, WorkClass,
    fallback_share,
};
use crate::ids::{EpochNumber, ProcessName, ZoneName};

/// Limits on the contents of one message, so that malformed input cannot overflow sums.
const MAX_CREDIT_COUNT: u32 = 65_535;
const MAX_REPORTED_HOLDINGS: usize = 8192;

/// Maximum number of servers that one entry may report as ejected.
const MAX_EJECTED: usize = 64;

/// Minimum time between two messages that only renew an entry's lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Credits are scarce when less than one slot in this many is free.
const SCARCITY_DIVISOR: u32 = 5;

/// Settings of one service's account.
#[derive(Clone, Debug)]
pub struct AccountSettings {
    /// Percentage of a server's slots that long work may occupy: at least one slot, and at most
    /// `slots - 1` on servers with several slots.
    pub long_percent: u32,
    /// Percentage of the unused slots that is granted ahead of demand.
    pub prefetch_percent: u32,
    /// Time after which a recall is sent again if the credits have not been returned.
    pub recall_resend_after: Duration,
    /// Credits in use are recalled from an entry whose waiting work is younger than that of another
    /// entry by more than this.
    pub fairness_gap: Duration,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            long_percent: 50,
            prefetch_percent: 80,
            recall_resend_after: Duration::from_millis(10),
            fairness_gap: Duration::from_millis(20),
        }
    }
}

/// A server of the directory. `slots` is the number in effect now, which grows during slow start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimit {
    pub server: ServerKey,
    pub zone: ZoneName,
    pub slots: u32,
    pub draining: bool,
}

/// An entry in the list of live entries.
#[derive(Clone, Debug)]
pub struct LiveEntry {
    pub name: ProcessName,
    pub zone: ZoneName,
}

/// Input of the account.
#[derive(Clone, Debug)]
pub enum AccountEvent {
    /// All servers of the service. Nothing more is granted for servers that are not listed.
    ServersChanged(Vec<ServerLimit>),
    /// The list of live entries has a new revision, or this process has become the holder.
    EpochChanged {
        epoch: EpochNumber,
        entries: Vec<LiveEntry>,
    },
    EntryConnected(ProcessName),
    /// The link to an entry closed. No more messages of that link will arrive.
    EntryDisconnected(ProcessName),
    Message {
        entry: ProcessName,
        message: EntryMessage,
    },
    /// Sent about every millisecond while the service has traffic.
    Tick,
}

/// Output of the account: a message to one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountAction {
    pub entry: ProcessName,
    pub message: HolderMessage,
}

/// Grants and recalls the credits of one service. Only the account of the current epoch grants any.
///
/// After every event the credits of each server that entries hold (in use, idle or in transit) are
/// at most its slots, unless the slots were reduced or an entry reported work that it had started
/// without a lease. In these cases the account recalls the excess and grants nothing for that
/// server.
#[derive(Debug)]
pub struct CreditAccount {
    pub(super) settings: AccountSettings,
    pub(super) epoch: EpochNumber,
    pub(super) servers: BTreeMap<ServerKey, ServerState>,
    pub(super) entries: BTreeMap<ProcessName, EntryState>,
    rates_decayed_at: Instant,
}

impl CreditAccount {
    pub fn new(now: Instant, settings: AccountSettings) -> Self {
        let (servers, entries) = (BTreeMap::new(), BTreeMap::new());
        Self { settings, epoch: 0, servers, entries, rates_decayed_at: now }
    }

    /// Processes one event and returns at most one message to each entry.
    pub fn handle(&mut self, now: Instant, event: AccountEvent) -> Vec<AccountAction> {
        self.expire(now);
        let is_tick = matches!(event, AccountEvent::Tick);
        match event {
            AccountEvent::ServersChanged(servers) => self.change_servers(servers),
            AccountEvent::EpochChanged { epoch, entries } => self.change_epoch(now, epoch, entries),
            AccountEvent::EntryConnected(name) | AccountEvent::EntryDisconnected(name) => {
                self.handle_link_change(&name);
            }
            AccountEvent::Message { entry, message } => self.handle_message(now, &entry, message),
            AccountEvent::Tick => {
                self.decay_rates(now);
                self.start_probes(now);
            }
        }
        if self.epoch > 0 && self.has_all_reports() {
            self.grant_demand(now);
            if is_tick {
                self.grant_prefetch();
            }
        }
        self.recall_excess(now);
        self.recall_for_waiting(now);
        self.take_actions(now)
    }

    /// Credits of a server that entries hold: in use, idle or in transit.
    pub fn outstanding(&self, server: ServerKey) -> u32 {
        self.servers.get(&server).map_or(0, |state| state.outstanding)
    }

    /// Whether every live entry has reported in this epoch or its lease has expired.
    pub fn has_all_reports(&self) -> bool {
        self.entries.values().all(|entry| entry.status != EntryStatus::AwaitingReport)
    }

    fn change_servers(&mut self, servers: Vec<ServerLimit>) {
        for state in self.servers.values_mut() {
            state.limit = 0;
        }
        for server in servers {
            let slots = if server.draining { 0 } else { server.slots };
            let state = self.servers.entry(server.server).or_insert_with(ServerState::empty);
            state.zone = server.zone;
            state.limit = slots;
        }
        for state in self.servers.values_mut() {
            state.apply_cap();
        }
        self.servers.retain(|_, state| state.is_needed());
    }

    fn change_epoch(&mut self, now: Instant, epoch: EpochNumber, live: Vec<LiveEntry>) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        for entry in self.entries.values_mut() {
            entry.status = EntryStatus::Departed;
            entry.clear_pending();
        }
        for LiveEntry { name, zone } in live {
            let state = self.entries.entry(name).or_insert_with(|| EntryState::new(now));
            state.zone = zone;
            state.status = EntryStatus::AwaitingReport;
            state.session = 0;
            state.lease_expires_at = now + LEASE_WITH_DRIFT;
        }
    }

    /// Messages may have been lost with the previous link, so nothing is granted to the entry until
    /// its next report.
    fn handle_link_change(&mut self, name: &ProcessName) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.clear_pending();
        // The sessions of a restarted entry start again from one.
        entry.session = 0;
        if entry.status == EntryStatus::Reported {
            entry.status = EntryStatus::Silent;
        }
    }

    fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (name, entry) in &self.entries {
            if entry.lease_expires_at <= now && entry.status != EntryStatus::Fallback {
                expired.push(name.clone());
            }
        }
        for name in expired {
            self.expire_entry(&name);
        }
    }

    fn expire_entry(&mut self, name: &ProcessName) {
        self.replace_held(name, BTreeMap::new());
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.clear_pending();
        if entry.status == EntryStatus::Departed {
            self.entries.remove(name);
            return;
        }
        entry.status = EntryStatus::Fallback;
        let mut shares = BTreeMap::new();
        for (server, state) in &self.servers {
            let live = self.entries.iter().filter(|(_, entry)| entry.is_live());
            let share = fallback_share(*server, state.limit, name, live.map(|(name, _)| name));
            if share > 0 {
                shares.insert((*server, WorkClass::Short), share);
            }
        }
        self.replace_held(name, shares);
    }

    fn replace_held(&mut self, name: &ProcessName, held: BTreeMap<(ServerKey, WorkClass), u32>) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let previous = std::mem::replace(&mut entry.held, held);
        entry.held_total = entry.held.values().sum();
        for ((server, class), count) in previous {
            let state = self.servers.entry(server).or_insert_with(ServerState::empty);
            state.subtract(class, count);
        }
        for (&(server, class), &count) in &entry.held {
            self.servers.entry(server).or_insert_with(ServerState::empty).add(class, count);
        }
    }

    fn handle_message(&mut self, now: Instant, name: &ProcessName, message: EntryMessage) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if message.epoch != self.epoch || !entry.is_live() || message.session < entry.session {
            return;
        }
        let is_report = message.report.is_some() && message.session > entry.session;
        if !is_report && (entry.status != EntryStatus::Reported || message.session != entry.session)
        {
            return;
        }
        entry.lease_expires_at = now + LEASE_WITH_DRIFT;
        entry.acknowledged = message.sequence;
        entry.rate += f64::from(message.started);
        entry.idle = message.idle.min(MAX_CREDIT_COUNT);
        entry.received = message.received.min(u64::MAX / 2);
        entry.ejected = message.ejected;
        entry.ejected.truncate(MAX_EJECTED);
        if entry.replied_at.is_none_or(|sent| now >= sent + RENEWAL_INTERVAL) {
            entry.message(self.epoch);
        }
        if let (true, Some(report)) = (is_report, message.report) {
            entry.status = EntryStatus::Reported;
            entry.session = message.session;
            entry.granted = entry.received;
            entry.clear_pending();
            entry.outbox = Some(entry.empty_message(self.epoch));
            let mut held = BTreeMap::new();
            for holding in report.into_iter().take(MAX_REPORTED_HOLDINGS) {
                *held.entry((holding.server, holding.class)).or_insert(0) +=
                    holding.in_use.min(MAX_CREDIT_COUNT) + holding.idle.min(MAX_CREDIT_COUNT);
            }
            held.retain(|_, count| *count > 0);
            self.replace_held(name, held);
        }
        for returned in message.returns {
            self.accept_returned(name, returned);
        }
        self.record_outcomes(now, &message.outcomes);
        self.record_suspects(now, name, &message.suspects);
        if message.has_demand {
            self.record_demand(now, name, &message.demand);
        }
    }

    fn accept_returned(&mut self, name: &ProcessName, returned: CreditCount) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(held) = entry.held.get_mut(&(returned.server, returned.class)) else {
            return;
        };
        // Counting more than the entry holds would free slots that others hold.
        let count = returned.count.min(*held);
        *held -= count;
        entry.held_total -= count;
        if *held == 0 {
            entry.held.remove(&(returned.server, returned.class));
        }
        entry.recalled = entry.recalled.saturating_sub(count);
        if let Some(state) = self.servers.get_mut(&returned.server) {
            state.subtract(returned.class, count);
        }
    }

    fn record_demand(&mut self, now: Instant, name: &ProcessName, demand: &[ClassDemand]) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let mut in_transit = entry.in_transit();
        entry.demand = [None; 2];
        for class_demand in demand {
            let waiting = class_demand.waiting.min(MAX_CREDIT_COUNT);
            let covered = in_transit.min(waiting);
            in_transit -= covered;
            let waiting_demand = WaitingDemand {
                since: now.checked_sub(class_demand.oldest_age).unwrap_or(now),
                waiting: waiting - covered,
                reported_waiting: waiting.max(1),
                deadline: class_demand.deadline.and_then(|left| now.checked_add(left)),
            };
            entry.demand[class_demand.class.index()] = Some(waiting_demand);
        }
    }

    fn decay_rates(&mut self, now: Instant) {
        /// Time constant of the exponential decay of the request rates, which decide how the
        /// prefetched credits are divided.
        const RATE_DECAY_TIME: Duration = Duration::from_millis(200);
        let elapsed = now.saturating_duration_since(self.rates_decayed_at);
        self.rates_decayed_at = now;
        let factor = (-elapsed.as_secs_f64() / RATE_DECAY_TIME.as_secs_f64()).exp();
        for entry in self.entries.values_mut() {
            entry.rate *= factor;
        }
    }

    fn take_actions(&mut self, now: Instant) -> Vec<AccountAction> {
        let mut actions = Vec::new();
        let slots: u32 = self.servers.values().map(|state| state.slots).sum();
        let mut free_slots: u32 = self.servers.values().map(ServerState::unused_slots).sum();
        free_slots += self.entries.values().map(EntryState::idle_estimate).sum::<u32>();
        let is_scarce = free_slots * SCARCITY_DIVISOR < slots;
        for (name, entry) in &mut self.entries {
            let Some(mut message) = entry.outbox.take() else {
                continue;
            };
            message.idle_allowance = entry.idle_allowance;
            message.is_scarce = is_scarce;
            entry.replied_at = Some(now);
            actions.push(AccountAction { entry: name.clone(), message });
        }
        actions
    }
}
