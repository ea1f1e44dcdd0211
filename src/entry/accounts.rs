//! Credit accounts of the services for which this entry is the account holder.

use std::collections::BTreeMap;
use std::time::Instant;

use sha2::{Digest, Sha256};

use crate::credit::{
    AccountAction, AccountEvent, AccountSettings, CreditAccount, EntryMessage,
    LiveEntry as AccountEntry, ServerLimit,
};
use crate::directory::ServiceKey;
use crate::ids::{EpochNumber, ProcessName};
use crate::link::LiveEntry;
use crate::route::{MeasureBudget, MeasureCounters, MeasureLimits};

/// Typical size of a message to an entry. A tick is skipped unless the measuring budget has room
/// for one such message.
const TYPICAL_MESSAGE_BYTES: u32 = 256;

/// Limits that apply until the settings of the service are known.
const UNLIMITED: MeasureLimits = MeasureLimits { messages_per_second: 1e9, bytes_per_second: 1e12 };

/// Credit accounts held by one entry, and the messages that they have produced.
#[derive(Default)]
pub struct AccountSet {
    accounts: BTreeMap<ServiceKey, HeldAccount>,
    actions: Vec<(ServiceKey, AccountAction)>,
}

struct HeldAccount {
    credits: CreditAccount,
    servers: Vec<ServerLimit>,
    measure: MeasureBudget,
}

/// Chooses the entry that holds the credit account of a service, by rendezvous hashing.
///
/// Suspect entries are skipped; returns `None` if no other entry is live.
pub fn choose_account_holder(service: &ServiceKey, live: &[LiveEntry]) -> Option<ProcessName> {
    let mut best: Option<([u8; 32], &ProcessName)> = None;
    for entry in live {
        if entry.suspect {
            continue;
        }
        let weight = rendezvous_weight(service, &entry.name);
        if best.is_none_or(|(highest, _)| weight > highest) {
            best = Some((weight, &entry.name));
        }
    }
    best.map(|(_, name)| name.clone())
}

fn rendezvous_weight(service: &ServiceKey, entry: &str) -> [u8; 32] {
    let mut hash = Sha256::new();
    for text in [&service.team, &service.service, entry] {
        hash.update((text.len() as u64).to_be_bytes());
        hash.update(text.as_bytes());
    }
    hash.finalize().into()
}

impl AccountSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens the account of a service if it is not held yet, and sets its live entries and servers.
    pub fn hold(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        epoch: EpochNumber,
        live: &[LiveEntry],
        servers: Vec<ServerLimit>,
    ) {
        let account = self.accounts.entry(service.clone()).or_insert_with(|| HeldAccount {
            credits: CreditAccount::new(now, AccountSettings::default()),
            servers: Vec::new(),
            measure: MeasureBudget::new(now, UNLIMITED),
        });
        let mut entries = Vec::with_capacity(live.len());
        for entry in live {
            entries.push(AccountEntry {
                name: entry.name.clone(),
                zone: entry.availability_zone.clone(),
            });
        }
        let mut actions =
            account.credits.handle(now, AccountEvent::EpochChanged { epoch, entries });
        account.servers = servers.clone();
        actions.extend(account.credits.handle(now, AccountEvent::ServersChanged(servers)));
        charge_messages(now, account, &actions);
        self.push_actions(service, actions);
    }

    /// Sets the limits on the cost of a service's messages.
    pub fn update_limits(&mut self, service: &ServiceKey, limits: MeasureLimits) {
        if let Some(account) = self.accounts.get_mut(service) {
            account.measure.change_limits(limits);
        }
    }

    /// Drops the account of a service.
    pub fn release(&mut self, service: &ServiceKey) {
        self.accounts.remove(service);
    }

    /// Drops the accounts of services for which `exists` returns false.
    pub fn retain(&mut self, exists: impl Fn(&ServiceKey) -> bool) {
        self.accounts.retain(|service, _| exists(service));
    }

    /// Updates the servers of a service if its account is held here and they have changed.
    pub fn update_servers(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        servers: impl FnOnce() -> Vec<ServerLimit>,
    ) {
        let Some(account) = self.accounts.get_mut(service) else {
            return;
        };
        let servers = servers();
        if servers == account.servers {
            return;
        }
        account.servers = servers.clone();
        let actions = account.credits.handle(now, AccountEvent::ServersChanged(servers));
        charge_messages(now, account, &actions);
        self.push_actions(service, actions);
    }

    /// Handles a message from the wallet of `entry`; ignored if the account is not held here.
    pub fn receive(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        entry: &ProcessName,
        message: EntryMessage,
    ) {
        let Some(account) = self.accounts.get_mut(service) else {
            return;
        };
        let event = AccountEvent::Message { entry: entry.clone(), message };
        let actions = account.credits.handle(now, event);
        charge_messages(now, account, &actions);
        self.push_actions(service, actions);
    }

    /// Tells all accounts that a link to an entry was established.
    pub fn entry_connected(&mut self, now: Instant, entry: &ProcessName) {
        self.handle_for_all(now, &AccountEvent::EntryConnected(entry.clone()));
    }

    /// Tells all accounts that the link to an entry was lost.
    pub fn entry_disconnected(&mut self, now: Instant, entry: &ProcessName) {
        self.handle_for_all(now, &AccountEvent::EntryDisconnected(entry.clone()));
    }

    /// Runs the periodic work of all accounts.
    pub fn tick(&mut self, now: Instant) {
        for (service, account) in &mut self.accounts {
            // Messages carry credits and must not be dropped once made, so without budget the
            // account is not ticked and its work stays due.
            if !account.measure.has_room(now, TYPICAL_MESSAGE_BYTES) {
                continue;
            }
            let actions = account.credits.handle(now, AccountEvent::Tick);
            charge_messages(now, account, &actions);
            self.actions.extend(actions.into_iter().map(|action| (service.clone(), action)));
        }
    }

    /// Messages and bytes that the account of a service has spent so far.
    pub fn measure_counters(&self, service: &ServiceKey) -> MeasureCounters {
        self.accounts.get(service).map(|account| account.measure.counters()).unwrap_or_default()
    }

    /// Returns and clears the messages that have become due since the last call.
    pub fn take_actions(&mut self) -> Vec<(ServiceKey, AccountAction)> {
        std::mem::take(&mut self.actions)
    }

    fn handle_for_all(&mut self, now: Instant, event: &AccountEvent) {
        for (service, account) in &mut self.accounts {
            let actions = account.credits.handle(now, event.clone());
            charge_messages(now, account, &actions);
            self.actions.extend(actions.into_iter().map(|action| (service.clone(), action)));
        }
    }

    fn push_actions(&mut self, service: &ServiceKey, actions: Vec<AccountAction>) {
        for action in actions {
            self.actions.push((service.clone(), action));
        }
    }
}

/// Charges messages to the measuring budget; they are sent even if it is exceeded.
fn charge_messages(now: Instant, account: &mut HeldAccount, actions: &[AccountAction]) {
    for action in actions {
        account.measure.charge(now, action.message.wire_bytes());
    }
}
