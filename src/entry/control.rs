//! Control thread of an entry: settings, lease, directory, credit accounts and links.

mod directory_link;
mod dump;
mod services;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_util::future::{Either, select};
use futures_util::pin_mut;

pub use self::directory_link::choose_peers;
use super::accounts::{AccountSet, holder_of};
use super::context::{EntryContext, ServiceTable};
use super::lease::{LeaseClient, LeaseInput, RenewalAction};
use super::warm::{PoolKeeper, WARM_INTERVAL};
use crate::credit::EntryMessage;
use crate::directory::{
    DirectoryEvent, DirectoryLimits, ServerAnnouncement, ServerDirectory, ServiceKey, SyncExchange,
};
use crate::ids::{EpochNumber, ProcessName};
use crate::link::{
    GrantLease, HelloMessage, LinkEvent, LinkHub, LiveEntry, ProcessRole, RenewLease, WireMessage,
};
use crate::settings::{InstalledSettings, SettingsDelta};
use crate::timer::TimerService;

/// Interval of all periodic work of the control thread while there are requests or credits move.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Interval while nothing of that kind happens. Leases, heartbeats and relays have deadlines of 50 ms
/// and more.
const REST_INTERVAL: Duration = Duration::from_millis(20);

/// Time without requests or credits on the move after which the thread rests.
const REST_AFTER: Duration = Duration::from_millis(500);

/// Interval at which the directory looks for late heartbeats when nothing waits to be relayed.
const DIRECTORY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which slow start and metrics are brought up to date.
const SLOW_INTERVAL: Duration = Duration::from_millis(100);

/// Input of the control thread.
pub enum ControlInput {
    /// Something happened on a link.
    Link(LinkEvent),
    /// A server announced itself here.
    Announced(ServerAnnouncement),
    /// A wallet of this process has a message for the account holder.
    Credit(ServiceKey, EntryMessage),
    /// The first request after a time without any.
    Wake,
    /// Asks for the state as JSON.
    Dump(Sender<serde_json::Value>),
    /// The process stops; answers when the control leader was told.
    Leave(Sender<()>),
}

/// State of the control thread.
pub struct EntryControl {
    context: Arc<EntryContext>,
    hub: LinkHub,
    lease: LeaseClient,
    installed: InstalledSettings,
    directory: ServerDirectory,
    exchange: SyncExchange,
    accounts: AccountSet,
    epoch: EpochNumber,
    live: Vec<LiveEntry>,
    peers: BTreeSet<ProcessName>,
    controls: BTreeSet<ProcessName>,
    /// Peer entries whose lease requests were passed on, with the nonce of the last one.
    relayed: BTreeMap<ProcessName, u64>,
    directory_due: Instant,
    slow_due: Instant,
    pool_keeper: PoolKeeper,
    warm_due: Instant,
    active_until: Instant,
    is_leaving: bool,
    /// A new session was started since the lease lapsed.
    has_new_session: bool,
}

impl EntryControl {
    /// Creates the state of a starting entry.
    pub fn new(
        context: Arc<EntryContext>,
        hub: LinkHub,
        controls: Vec<ProcessName>,
        now: Instant,
    ) -> Self {
        let seed = context.random();
        Self {
            accounts: AccountSet::new(),
            context,
            hub,
            lease: LeaseClient::new(controls, seed, now),
            installed: InstalledSettings::new(),
            directory: ServerDirectory::new(DirectoryLimits::default()),
            exchange: SyncExchange::new(now),
            epoch: 0,
            live: Vec::new(),
            peers: BTreeSet::new(),
            controls: BTreeSet::new(),
            relayed: BTreeMap::new(),
            directory_due: now,
            slow_due: now,
            pool_keeper: PoolKeeper::new(),
            warm_due: now,
            active_until: now + REST_AFTER,
            is_leaving: false,
            has_new_session: false,
        }
    }

    /// Processes inputs and ticks until the input channel closes.
    pub async fn run(mut self, inputs: Receiver<ControlInput>, timers: TimerService) {
        let mut interval = TICK_INTERVAL;
        let mut ticks = timers.every(interval);
        loop {
            let input = inputs.recv();
            let tick = ticks.recv();
            pin_mut!(input, tick);
            match select(input, tick).await {
                Either::Left((Ok(input), _)) => self.process(input),
                Either::Right((Ok(_), _)) => self.tick(Instant::now()),
                Either::Left((Err(_), _)) | Either::Right((Err(_), _)) => return,
            }
            let next = self.next_interval();
            if next != interval {
                interval = next;
                ticks = timers.every(interval);
            }
        }
    }

    fn next_interval(&mut self) -> Duration {
        let now = Instant::now();
        if self.context.server_requests() > 0 {
            self.active_until = now + REST_AFTER;
        }
        if now >= self.active_until && self.context.rest() { REST_INTERVAL } else { TICK_INTERVAL }
    }

    /// Keeps the short interval for some time.
    fn note_activity(&mut self, now: Instant) {
        self.active_until = now + REST_AFTER;
    }

    fn process(&mut self, input: ControlInput) {
        let now = Instant::now();
        match input {
            ControlInput::Link(event) => self.process_link(now, event),
            ControlInput::Announced(announcement) => {
                self.directory_event(now, DirectoryEvent::Announced(announcement));
            }
            ControlInput::Credit(service, message) => self.route_credit(now, &service, message),
            ControlInput::Wake => {
                self.note_activity(now);
                self.tick(now);
            }
            ControlInput::Dump(reply) => {
                let _ = reply.try_send(self.dump(now));
            }
            ControlInput::Leave(reply) => {
                self.is_leaving = true;
                // The leader no longer waits for this entry, so its settings may be outdated.
                self.context.set_lease(None);
                if let Some(leader) = self.lease.leader() {
                    let session = self.context.session();
                    self.hub.send(leader, WireMessage::Leaving { session });
                }
                let _ = reply.try_send(());
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.renew(now, LeaseInput::Tick);
        let relay_due = self.directory.relay_due().is_some_and(|due| now >= due);
        if relay_due || now >= self.directory_due {
            self.directory_due = now + DIRECTORY_INTERVAL;
            self.directory_event(now, DirectoryEvent::Tick);
        }
        let table = self.context.table();
        for runtime in table.all() {
            runtime.tick(now);
        }
        self.accounts.tick(now);
        self.deliver_grants();
        if now >= self.slow_due {
            self.slow_due = now + SLOW_INTERVAL;
            self.start_sync(now);
            self.refresh(now, &table);
        }
    }

    /// Brings slow start, idle connections and gauges up to date.
    fn refresh(&mut self, now: Instant, table: &ServiceTable) {
        for runtime in table.all() {
            runtime.refresh_slots(now);
            self.accounts.change_servers(now, runtime.key(), || runtime.server_limits(now));
        }
        self.context.pool.close_expired(now);
        if now >= self.warm_due {
            self.warm_due = now + WARM_INTERVAL;
            self.pool_keeper.refresh(&self.context.pool, table.all());
        }
        let metrics = &self.context.metrics;
        metrics.settings_revision.set(i64::try_from(self.installed.revision()).unwrap_or(i64::MAX));
        let left = match self.lease.expires() {
            Some(expires) if expires >= now => (expires - now).as_secs_f64(),
            Some(expires) => -(now - expires).as_secs_f64(),
            None => f64::NEG_INFINITY,
        };
        metrics.lease_seconds.set(left);
        metrics.set_link_totals(self.hub.traffic());
        for runtime in table.all() {
            let account = self.accounts.counters(runtime.key());
            metrics.set_measure_totals(runtime.key(), runtime.measure_counters().plus(account));
        }
        self.deliver_grants();
    }

    fn process_link(&mut self, now: Instant, event: LinkEvent) {
        match event {
            LinkEvent::Up(hello) => self.link_up(now, hello),
            LinkEvent::Down(name) => self.link_down(now, name),
            LinkEvent::Message(from, message) => self.receive(now, &from, *message),
        }
    }

    fn link_up(&mut self, now: Instant, hello: HelloMessage) {
        match hello.role {
            ProcessRole::Control => {
                self.controls.insert(hello.name.clone());
                self.send_directory(now, &hello.name);
                self.renew(now, LeaseInput::ControlUp(hello.name));
            }
            ProcessRole::Entry => {
                self.peers.insert(hello.name.clone());
                self.send_directory(now, &hello.name);
                self.accounts.entry_connected(now, &hello.name);
                self.renew(now, LeaseInput::PeerUp(hello.name));
            }
        }
        self.change_holders();
    }

    fn link_down(&mut self, now: Instant, name: ProcessName) {
        self.controls.remove(&name);
        if self.peers.remove(&name) {
            self.accounts.entry_lost(now, &name);
            for runtime in self.context.table().all() {
                if holder_of(runtime.key(), &self.live).as_ref() == Some(&name) {
                    runtime.lose_holder();
                }
            }
        }
        self.renew(now, LeaseInput::Down(name));
    }

    fn receive(&mut self, now: Instant, from: &ProcessName, message: WireMessage) {
        match message {
            WireMessage::GrantLease(grant) => self.receive_grant(now, *grant),
            WireMessage::NotLeader(leader) => self.renew(now, LeaseInput::Redirected(leader)),
            WireMessage::RenewLease(request) => self.relay_renewal(from, request),
            WireMessage::Settings(delta) => {
                if self.install(&delta) {
                    self.report_installed(from);
                }
            }
            WireMessage::Announce(batch) => {
                self.directory_event(now, DirectoryEvent::Relayed(batch));
            }
            WireMessage::Heartbeats(packed) => self.receive_heartbeats(now, from, &packed),
            WireMessage::DirectoryRequest(request) => self.answer_request(now, from, &request),
            WireMessage::DirectorySync(step) => self.receive_sync(now, from, &step),
            WireMessage::DirectoryAnswer(batch) => {
                self.directory_event(now, DirectoryEvent::Answered(batch));
            }
            WireMessage::CreditRequest { service, message } => {
                if message.moves_credits() {
                    self.note_activity(now);
                }
                self.accounts.receive(now, &service, from, message);
                self.deliver_grants();
            }
            WireMessage::CreditGrant { service, message } => {
                let table = self.context.table();
                if let Some(runtime) = table.runtime(&service.team, &service.service) {
                    runtime.receive(message);
                }
            }
            WireMessage::ClaimReply(reply) => self.context.claims.receive(reply),
            _ => log::warn!(peer:% = from; "unexpected message"),
        }
    }

    /// Passes a peer's renewal on to the control leader, or the leader's grant back to the peer.
    fn relay_renewal(&mut self, from: &ProcessName, request: RenewLease) {
        // Only the peer's own request is passed on, so that requests cannot circulate.
        if request.entry != *from {
            return;
        }
        if let Some(leader) = self.lease.leader() {
            self.relayed.insert(request.entry.clone(), request.nonce);
            self.hub.send(leader, WireMessage::RenewLease(request));
        }
    }

    fn receive_grant(&mut self, now: Instant, grant: GrantLease) {
        if grant.entry != self.context.name {
            if self.relayed.remove(&grant.entry) == Some(grant.nonce) {
                let peer = grant.entry.clone();
                self.hub.send(&peer, WireMessage::GrantLease(Box::new(grant)));
            }
            return;
        }
        if let Some(delta) = &grant.update
            && !self.install(delta)
        {
            return;
        }
        if self.is_leaving {
            return;
        }
        let lease = Duration::from_millis(grant.lease_ms);
        let leader = grant.leader.clone();
        let had_update = grant.update.is_some();
        self.renew(now, LeaseInput::Granted { leader, nonce: grant.nonce, lease });
        self.context.set_lease(self.lease.expires());
        if had_update {
            self.report_installed(&grant.leader);
        }
        if grant.epoch > self.epoch {
            self.epoch = grant.epoch;
            self.live = grant.entries;
            self.change_holders();
        }
        self.context.advance("ready");
    }

    fn renew(&mut self, now: Instant, input: LeaseInput) {
        let Some(RenewalAction { to, nonce }) = self.lease.handle(now, input) else {
            return;
        };
        if self.is_leaving {
            return;
        }
        // Claims of a lapsed session may have been marked unknown; a new session opens new ones. It is
        // one session for all attempts, because the control leader knows only the one it granted.
        let lapsed = self.lease.expires().is_some_and(|expires| expires <= now);
        if lapsed && !self.has_new_session {
            self.context.renew_session();
        }
        self.has_new_session = lapsed;
        let session = self.context.session();
        let request = RenewLease {
            entry: self.context.name.clone(),
            session,
            availability_zone: self.context.availability_zone.clone(),
            installed: self.installed.revision(),
            epoch: self.epoch,
            nonce,
        };
        self.hub.send(&to, WireMessage::RenewLease(request));
    }

    fn report_installed(&self, leader: &str) {
        let message = WireMessage::Installed {
            session: self.context.session(),
            revision: self.installed.revision(),
        };
        self.hub.send(leader, message);
    }

    fn install(&mut self, delta: &SettingsDelta) -> bool {
        let previous = self.installed.revision();
        match self.installed.install(delta) {
            Ok(tree) => {
                if previous != self.installed.revision() || self.context.table().tree.is_none() {
                    log::info!(revision = self.installed.revision(); "settings installed");
                    self.publish(tree);
                }
                true
            }
            Err(error) => {
                log::warn!(error:%; "settings not installed");
                false
            }
        }
    }

    /// Sends a wallet's message to the holder of the account, which may be this process.
    fn route_credit(&mut self, now: Instant, service: &ServiceKey, message: EntryMessage) {
        let Some(holder) = holder_of(service, &self.live) else {
            return;
        };
        if holder == self.context.name {
            let name = self.context.name.clone();
            self.accounts.receive(now, service, &name, message);
            self.deliver_grants();
            return;
        }
        let message = WireMessage::CreditRequest { service: service.clone(), message };
        self.hub.send(&holder, message);
    }

    /// Sends the grants that the accounts have made.
    fn deliver_grants(&mut self) {
        for (service, action) in self.accounts.take_actions() {
            if action.entry == self.context.name {
                let table = self.context.table();
                if let Some(runtime) = table.runtime(&service.team, &service.service) {
                    runtime.receive(action.message);
                }
                continue;
            }
            let message = WireMessage::CreditGrant { service, message: action.message };
            self.hub.send(&action.entry, message);
        }
    }
}
