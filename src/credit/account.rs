//! Account of one service's server slots, kept by the account holder.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account_state::{EntryAccount, EntryStanding, ServerAccount, WaitingDemand};
use super::{
    CreditLine, DemandLine, EntryMessage, HolderMessage, LEASE_WITH_DRIFT, ServerKey, WorkClass,
    fallback_share,
};
use crate::ids::{EpochNumber, ProcessName, ZoneName};

/// Bounds of what one message may claim; they keep sums from overflowing on malformed input.
const MAX_COUNT: u32 = 65_535;
const MAX_REPORT_LINES: usize = 8192;

/// Bound of the servers that one entry may ask to avoid.
const MAX_AVOIDED: usize = 64;

/// An entry's lease is renewed at most this often when there is nothing else to send.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Credits are scarce when less than one slot in this many is free of work.
const SCARCE_PART: u32 = 5;

/// Rules of one service's account.
#[derive(Clone, Debug)]
pub struct AccountSettings {
    /// Part of a server's slots that long work may occupy, in percent; at least one slot, and at
    /// most `slots - 1` on servers with several slots.
    pub long_percent: u32,
    /// Part of the unused slots that is handed out ahead of demand, in percent.
    pub ahead_percent: u32,
    /// Time after which an unanswered recall is sent again.
    pub recall_repeat: Duration,
    /// Work must be older than the work of another entry by this much before credits in use move.
    pub fairness_gap: Duration,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            long_percent: 50,
            ahead_percent: 80,
            recall_repeat: Duration::from_millis(10),
            fairness_gap: Duration::from_millis(20),
        }
    }
}

/// A server as the directory has it. `slots` is the number in effect now (slow start included).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLimit {
    pub server: ServerKey,
    pub zone: ZoneName,
    pub slots: u32,
    pub draining: bool,
}

/// An entry of the live entry list.
#[derive(Clone, Debug)]
pub struct LiveEntry {
    pub name: ProcessName,
    pub zone: ZoneName,
}

/// Input of the account.
#[derive(Clone, Debug)]
pub enum AccountEvent {
    /// All servers of the service; servers left out get no further grants.
    ServersChanged(Vec<ServerLimit>),
    /// The live entry list has a new revision, or this process has become the holder.
    EpochChanged {
        epoch: EpochNumber,
        entries: Vec<LiveEntry>,
    },
    EntryConnected(ProcessName),
    /// The link to an entry closed; messages of that link no longer arrive.
    EntryLost(ProcessName),
    Message {
        entry: ProcessName,
        message: EntryMessage,
    },
    /// Comes about every millisecond while the service has traffic.
    Tick,
}

/// Output of the account: one message to one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AccountAction {
    pub entry: ProcessName,
    pub message: HolderMessage,
}

/// Keeps count of the credits of one service; sole source of credits while its epoch lasts.
///
/// After every event the sum of credits held by entries, in use or idle or on the way, is at most
/// the slots of each server, unless a server's slots shrank or an entry reported work it had
/// started by its own count. In these cases the account recalls and grants nothing of that server.
#[derive(Debug)]
pub struct AccountBook {
    pub(super) settings: AccountSettings,
    pub(super) epoch: EpochNumber,
    pub(super) servers: BTreeMap<ServerKey, ServerAccount>,
    pub(super) entries: BTreeMap<ProcessName, EntryAccount>,
    rated_at: Instant,
}

impl AccountBook {
    pub fn new(now: Instant, settings: AccountSettings) -> Self {
        let (servers, entries) = (BTreeMap::new(), BTreeMap::new());
        Self { settings, epoch: 0, servers, entries, rated_at: now }
    }

    /// Takes one event and returns at most one message for each entry.
    pub fn handle(&mut self, now: Instant, event: AccountEvent) -> Vec<AccountAction> {
        self.expire(now);
        let is_tick = matches!(event, AccountEvent::Tick);
        match event {
            AccountEvent::ServersChanged(servers) => self.change_servers(servers),
            AccountEvent::EpochChanged { epoch, entries } => self.change_epoch(now, epoch, entries),
            AccountEvent::EntryConnected(name) | AccountEvent::EntryLost(name) => {
                self.interrupt(&name);
            }
            AccountEvent::Message { entry, message } => self.receive(now, &entry, message),
            AccountEvent::Tick => {
                self.decay_rates(now);
                self.start_probes(now);
            }
        }
        if self.epoch > 0 && self.is_complete() {
            self.grant_demand(now);
            if is_tick {
                self.grant_ahead();
            }
        }
        self.recall_excess(now);
        self.recall_for_waiting(now);
        self.collect(now)
    }

    /// Credits of a server that are held, in use or on the way.
    pub fn outstanding(&self, server: ServerKey) -> u32 {
        self.servers.get(&server).map_or(0, |account| account.outstanding)
    }

    /// Whether every live entry has reported under this epoch or its lease has ended.
    pub fn is_complete(&self) -> bool {
        self.entries.values().all(|entry| entry.standing != EntryStanding::Awaited)
    }

    fn change_servers(&mut self, servers: Vec<ServerLimit>) {
        for account in self.servers.values_mut() {
            account.limit = 0;
        }
        for server in servers {
            let slots = if server.draining { 0 } else { server.slots };
            let account = self.servers.entry(server.server).or_insert_with(ServerAccount::empty);
            account.zone = server.zone;
            account.limit = slots;
        }
        for account in self.servers.values_mut() {
            account.apply_cap();
        }
        self.servers.retain(|_, account| account.is_needed());
    }

    fn change_epoch(&mut self, now: Instant, epoch: EpochNumber, live: Vec<LiveEntry>) {
        if epoch <= self.epoch {
            return;
        }
        self.epoch = epoch;
        for entry in self.entries.values_mut() {
            entry.standing = EntryStanding::Departed;
            entry.clear_requests();
        }
        for LiveEntry { name, zone } in live {
            let account = self.entries.entry(name).or_insert_with(|| EntryAccount::new(now));
            account.zone = zone;
            account.standing = EntryStanding::Awaited;
            account.session = 0;
            account.expires = now + LEASE_WITH_DRIFT;
        }
    }

    /// A closed or new link may have lost messages, so nothing is granted until the next report.
    fn interrupt(&mut self, name: &ProcessName) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        entry.clear_requests();
        // A restarted entry counts its sessions from one again.
        entry.session = 0;
        if entry.standing == EntryStanding::Reported {
            entry.standing = EntryStanding::Silent;
        }
    }

    fn expire(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for (name, entry) in &self.entries {
            if entry.expires <= now && entry.standing != EntryStanding::Fallback {
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
        entry.clear_requests();
        if entry.standing == EntryStanding::Departed {
            self.entries.remove(name);
            return;
        }
        entry.standing = EntryStanding::Fallback;
        let mut shares = BTreeMap::new();
        for (server, account) in &self.servers {
            let live = self.entries.iter().filter(|(_, entry)| entry.is_live());
            let share = fallback_share(*server, account.limit, name, live.map(|(name, _)| name));
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
        let before = std::mem::replace(&mut entry.held, held);
        entry.held_total = entry.held.values().sum();
        for ((server, class), count) in before {
            let account = self.servers.entry(server).or_insert_with(ServerAccount::empty);
            account.subtract(class, count);
        }
        for (&(server, class), &count) in &entry.held {
            self.servers.entry(server).or_insert_with(ServerAccount::empty).add(class, count);
        }
    }

    fn receive(&mut self, now: Instant, name: &ProcessName, message: EntryMessage) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        if message.epoch != self.epoch || !entry.is_live() || message.session < entry.session {
            return;
        }
        let is_report = message.report.is_some() && message.session > entry.session;
        if !is_report
            && (entry.standing != EntryStanding::Reported || message.session != entry.session)
        {
            return;
        }
        entry.expires = now + LEASE_WITH_DRIFT;
        entry.acknowledged = message.sequence;
        entry.rate += f64::from(message.started);
        entry.idle = message.idle.min(MAX_COUNT);
        entry.received = message.received.min(u64::MAX / 2);
        entry.avoided = message.avoided;
        entry.avoided.truncate(MAX_AVOIDED);
        if entry.replied_at.is_none_or(|sent| now >= sent + RENEWAL_INTERVAL) {
            entry.message(self.epoch);
        }
        if let (true, Some(report)) = (is_report, message.report) {
            entry.standing = EntryStanding::Reported;
            entry.session = message.session;
            entry.granted = entry.received;
            entry.clear_requests();
            entry.outbox = Some(entry.empty_message(self.epoch));
            let mut held = BTreeMap::new();
            for line in report.into_iter().take(MAX_REPORT_LINES) {
                *held.entry((line.server, line.class)).or_insert(0) +=
                    line.in_use.min(MAX_COUNT) + line.idle.min(MAX_COUNT);
            }
            held.retain(|_, count| *count > 0);
            self.replace_held(name, held);
        }
        for line in message.returns {
            self.take_back(name, line);
        }
        self.note_outcomes(now, &message.outcomes);
        self.note_suspects(now, name, &message.suspects);
        if message.has_demand {
            self.note_demand(now, name, &message.demand);
        }
    }

    fn take_back(&mut self, name: &ProcessName, line: CreditLine) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let Some(held) = entry.held.get_mut(&(line.server, line.class)) else {
            return;
        };
        // A count above what is on the books would free slots that others hold.
        let count = line.count.min(*held);
        *held -= count;
        entry.held_total -= count;
        if *held == 0 {
            entry.held.remove(&(line.server, line.class));
        }
        entry.recalled = entry.recalled.saturating_sub(count);
        if let Some(account) = self.servers.get_mut(&line.server) {
            account.subtract(line.class, count);
        }
    }

    fn note_demand(&mut self, now: Instant, name: &ProcessName, lines: &[DemandLine]) {
        let Some(entry) = self.entries.get_mut(name) else {
            return;
        };
        let mut on_the_way = entry.on_the_way();
        entry.demand = [None; 2];
        for line in lines {
            let waiting = line.waiting.min(MAX_COUNT);
            let covered = on_the_way.min(waiting);
            on_the_way -= covered;
            let demand = WaitingDemand {
                since: now.checked_sub(line.oldest_age).unwrap_or(now),
                waiting: waiting - covered,
                reported: waiting.max(1),
                deadline: line.deadline.and_then(|left| now.checked_add(left)),
            };
            entry.demand[line.class.index()] = Some(demand);
        }
    }

    fn decay_rates(&mut self, now: Instant) {
        /// Time over which recent demand counts when idle credits are shared out.
        const RATE_MEMORY: Duration = Duration::from_millis(200);
        let passed = now.saturating_duration_since(self.rated_at);
        self.rated_at = now;
        let factor = (-passed.as_secs_f64() / RATE_MEMORY.as_secs_f64()).exp();
        for entry in self.entries.values_mut() {
            entry.rate *= factor;
        }
    }

    fn collect(&mut self, now: Instant) -> Vec<AccountAction> {
        let mut actions = Vec::new();
        let slots: u32 = self.servers.values().map(|account| account.slots).sum();
        let mut spare: u32 = self.servers.values().map(ServerAccount::unused).sum();
        spare += self.entries.values().map(EntryAccount::idle_estimate).sum::<u32>();
        let is_scarce = spare * SCARCE_PART < slots;
        for (name, entry) in &mut self.entries {
            let Some(mut message) = entry.outbox.take() else {
                continue;
            };
            message.keep = entry.keep;
            message.is_scarce = is_scarce;
            entry.replied_at = Some(now);
            actions.push(AccountAction { entry: name.clone(), message });
        }
        actions
    }
}
