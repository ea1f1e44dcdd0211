//! Credit accounts that this entry holds for the services assigned to it.

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

/// Size of a usual message to an entry, for which the measuring budget must have room at a tick.
const TYPICAL_MESSAGE_BYTES: u32 = 256;

/// Limits until those of the settings are known.
const UNLIMITED: MeasureLimits = MeasureLimits { messages_per_second: 1e9, bytes_per_second: 1e12 };

/// Accounts held by one entry.
#[derive(Default)]
pub struct AccountSet {
    books: BTreeMap<ServiceKey, HeldAccount>,
    actions: Vec<(ServiceKey, AccountAction)>,
}

struct HeldAccount {
    book: CreditAccount,
    servers: Vec<ServerLimit>,
    measure: MeasureBudget,
}

/// Chooses the account holder of a service by rendezvous hashing.
///
/// Suspect entries are left out; with no other entry there is no holder.
pub fn holder_of(service: &ServiceKey, live: &[LiveEntry]) -> Option<ProcessName> {
    let mut best: Option<([u8; 32], &ProcessName)> = None;
    for entry in live {
        if entry.suspect {
            continue;
        }
        let weight = weight(service, &entry.name);
        if best.is_none_or(|(highest, _)| weight > highest) {
            best = Some((weight, &entry.name));
        }
    }
    best.map(|(_, name)| name.clone())
}

fn weight(service: &ServiceKey, entry: &str) -> [u8; 32] {
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

    /// Takes over the account of a service, or gives it a new list of live entries.
    pub fn hold(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        epoch: EpochNumber,
        live: &[LiveEntry],
        servers: Vec<ServerLimit>,
    ) {
        let account = self.books.entry(service.clone()).or_insert_with(|| HeldAccount {
            book: CreditAccount::new(now, AccountSettings::default()),
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
        let mut actions = account.book.handle(now, AccountEvent::EpochChanged { epoch, entries });
        account.servers = servers.clone();
        actions.extend(account.book.handle(now, AccountEvent::ServersChanged(servers)));
        charge(now, account, &actions);
        self.collect(service, actions);
    }

    /// Takes the limits of a service's messages from its settings.
    pub fn change_limits(&mut self, service: &ServiceKey, limits: MeasureLimits) {
        if let Some(account) = self.books.get_mut(service) {
            account.measure.change_limits(limits);
        }
    }

    /// Gives up the account of a service.
    pub fn release(&mut self, service: &ServiceKey) {
        self.books.remove(service);
    }

    /// Gives up the accounts of services that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&ServiceKey) -> bool) {
        self.books.retain(|service, _| exists(service));
    }

    /// Takes over the servers of a service, if its account is held here and they have changed.
    pub fn change_servers(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        servers: impl FnOnce() -> Vec<ServerLimit>,
    ) {
        let Some(account) = self.books.get_mut(service) else {
            return;
        };
        let servers = servers();
        if servers == account.servers {
            return;
        }
        account.servers = servers.clone();
        let actions = account.book.handle(now, AccountEvent::ServersChanged(servers));
        charge(now, account, &actions);
        self.collect(service, actions);
    }

    /// Takes over a message of a wallet.
    pub fn receive(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        entry: &ProcessName,
        message: EntryMessage,
    ) {
        let Some(account) = self.books.get_mut(service) else {
            return;
        };
        let event = AccountEvent::Message { entry: entry.clone(), message };
        let actions = account.book.handle(now, event);
        charge(now, account, &actions);
        self.collect(service, actions);
    }

    /// Notes a new link to an entry.
    pub fn entry_connected(&mut self, now: Instant, entry: &ProcessName) {
        self.for_all(now, &AccountEvent::EntryConnected(entry.clone()));
    }

    /// Notes that the link to an entry is gone.
    pub fn entry_lost(&mut self, now: Instant, entry: &ProcessName) {
        self.for_all(now, &AccountEvent::EntryDisconnected(entry.clone()));
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        for (service, account) in &mut self.books {
            // Without room no message may arise, as credits travel in them; what is due waits.
            if !account.measure.has_room(now, TYPICAL_MESSAGE_BYTES) {
                continue;
            }
            let actions = account.book.handle(now, AccountEvent::Tick);
            charge(now, account, &actions);
            self.actions.extend(actions.into_iter().map(|action| (service.clone(), action)));
        }
    }

    /// What the account of a service has cost so far.
    pub fn counters(&self, service: &ServiceKey) -> MeasureCounters {
        self.books.get(service).map(|account| account.measure.counters()).unwrap_or_default()
    }

    /// Messages that are due since the last call.
    pub fn take_actions(&mut self) -> Vec<(ServiceKey, AccountAction)> {
        std::mem::take(&mut self.actions)
    }

    fn for_all(&mut self, now: Instant, event: &AccountEvent) {
        for (service, account) in &mut self.books {
            let actions = account.book.handle(now, event.clone());
            charge(now, account, &actions);
            self.actions.extend(actions.into_iter().map(|action| (service.clone(), action)));
        }
    }

    fn collect(&mut self, service: &ServiceKey, actions: Vec<AccountAction>) {
        for action in actions {
            self.actions.push((service.clone(), action));
        }
    }
}

/// Charges messages that must go out.
fn charge(now: Instant, account: &mut HeldAccount, actions: &[AccountAction]) {
    for action in actions {
        account.measure.charge(now, action.message.wire_bytes());
    }
}
