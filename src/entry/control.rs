//! Control thread of an entry, which handles settings, the lease, the directory, credit accounts
//! and links.

mod directory_link;
mod dump;
mod services;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_util::future::{Either, select};
use futures_util::pin_mut;

pub use self::directory_link::choose_peers_to_ask;
use super::accounts::{AccountSet, choose_account_holder};
use super::context::{EntryContext, ServiceTable};
use super::lease::{LeaseClient, LeaseInput, RenewalAction};
use super::warm::{POOL_REFRESH_INTERVAL, PoolMaintainer};
use crate::credit::EntryMessage;
use crate::directory::{
    DirectoryEvent, DirectoryLimits, ServerAnnouncement, ServerDirectory, ServiceKey, SyncExchange,
};
use crate::ids::{EpochNumber, ProcessName};
use crate::link::{
    GrantLease, HelloMessage, LinkEvent, LinkHub, LiveEntry, ProcessRole, RenewLease, WireMessage,
};
use crate::settings::{InstalledSettings, SettingsDelta};
use crate::suspension::{SuspensionDeadline, SuspensionWatch, suspended_time};
use crate::timer::TimerService;

/// Tick interval of the control thread while requests are open or credits are transferred.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Tick interval while the entry is idle. Leases, heartbeats and relays have deadlines of at least
/// 50 ms.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Time without requests or credit transfers after which the entry counts as idle.
const IDLE_AFTER: Duration = Duration::from_millis(500);

/// Interval at which the directory checks for late heartbeats when nothing waits to be relayed.
const DIRECTORY_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which slow start, idle connections and metrics are updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Input of the control thread.
pub enum ControlInput {
    /// A link came up, went down or delivered a message.
    Link(LinkEvent),
    /// A server announced itself to this entry.
    Announced(ServerAnnouncement),
    /// A wallet of this process has a message for the account holder.
    Credit(ServiceKey, EntryMessage),
    /// The first server request while the control thread is idle.
    Wake,
    /// Requests the state as JSON.
    Dump(Sender<serde_json::Value>),
    /// The process stops; answered once the message to the control leader is queued.
    Leave(Sender<()>),
}

/// State of the control thread.
pub struct EntryControl {
    context: Arc<EntryContext>,
    hub: LinkHub,
    lease_client: LeaseClient,
    suspension_watch: SuspensionWatch,
    installed: InstalledSettings,
    directory: ServerDirectory,
    sync_exchange: SyncExchange,
    accounts: AccountSet,
    epoch: EpochNumber,
    live_entries: Vec<LiveEntry>,
    peers: BTreeSet<ProcessName>,
    controls: BTreeSet<ProcessName>,
    /// Peer entries whose renewals were relayed to the leader, with the nonce of the last one.
    relayed_renewals: BTreeMap<ProcessName, u64>,
    directory_tick_due: Instant,
    refresh_due: Instant,
    pool_maintainer: PoolMaintainer,
    pool_refresh_due: Instant,
    active_until: Instant,
    is_leaving: bool,
    /// A new session was already started since the lease lapsed.
    has_new_session: bool,
}

impl EntryControl {
    /// Creates the control state of an entry that is starting.
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
            lease_client: LeaseClient::new(controls, seed, now),
            suspension_watch: SuspensionWatch::new(suspended_time()),
            installed: InstalledSettings::new(),
            directory: ServerDirectory::new(DirectoryLimits::default()),
            sync_exchange: SyncExchange::new(now),
            epoch: 0,
            live_entries: Vec::new(),
            peers: BTreeSet::new(),
            controls: BTreeSet::new(),
            relayed_renewals: BTreeMap::new(),
            directory_tick_due: now,
            refresh_due: now,
            pool_maintainer: PoolMaintainer::new(),
            pool_refresh_due: now,
            active_until: now + IDLE_AFTER,
            is_leaving: false,
            has_new_session: false,
        }
    }

    /// Handles inputs and ticks until the input channel closes.
    pub async fn run(mut self, inputs: Receiver<ControlInput>, timers: TimerService) {
        let mut interval = TICK_INTERVAL;
        let mut ticks = timers.every(interval);
        loop {
            let input = inputs.recv();
            let tick = ticks.recv();
            pin_mut!(input, tick);
            match select(input, tick).await {
                Either::Left((Ok(input), _)) => {
                    self.check_suspension(Instant::now());
                    self.handle_input(input);
                }
                Either::Right((Ok(_), _)) => {
                    self.check_suspension(Instant::now());
                    self.tick(Instant::now());
                }
                Either::Left((Err(_), _)) | Either::Right((Err(_), _)) => return,
            }
            let next = self.next_tick_interval();
            if next != interval {
                interval = next;
                ticks = timers.every(interval);
            }
        }
    }

    fn next_tick_interval(&mut self) -> Duration {
        let now = Instant::now();
        if self.context.server_requests() > 0 {
            self.active_until = now + IDLE_AFTER;
        }
        if now >= self.active_until && self.context.enter_idle_mode() {
            IDLE_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        }
    }

    /// Keeps the short tick interval for another [`IDLE_AFTER`].
    fn record_activity(&mut self, now: Instant) {
        self.active_until = now + IDLE_AFTER;
    }

    fn handle_input(&mut self, input: ControlInput) {
        let now = Instant::now();
        match input {
            ControlInput::Link(event) => self.handle_link_event(now, event),
            ControlInput::Announced(announcement) => {
                self.handle_directory_event(now, DirectoryEvent::Announced(announcement));
            }
            ControlInput::Credit(service, message) => {
                self.send_to_account_holder(now, &service, message)
            }
            ControlInput::Wake => {
                self.record_activity(now);
                self.tick(now);
            }
            ControlInput::Dump(reply) => {
                let _ = reply.try_send(self.dump(now));
            }
            ControlInput::Leave(reply) => {
                self.is_leaving = true;
                // The leader no longer waits for this entry to install new settings, so its
                // settings may become outdated.
                self.context.set_lease(None);
                if let Some(leader) = self.lease_client.leader() {
                    let session = self.context.session();
                    self.hub.send(leader, WireMessage::Leaving { session });
                }
                let _ = reply.try_send(());
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.handle_lease_input(now, LeaseInput::Tick);
        let relay_due = self.directory.relay_due().is_some_and(|due| now >= due);
        if relay_due || now >= self.directory_tick_due {
            self.directory_tick_due = now + DIRECTORY_TICK_INTERVAL;
            self.handle_directory_event(now, DirectoryEvent::Tick);
        }
        let table = self.context.table();
        for runtime in table.all() {
            runtime.tick(now);
        }
        self.accounts.tick(now);
        self.deliver_grants();
        if now >= self.refresh_due {
            self.refresh_due = now + REFRESH_INTERVAL;
            self.start_sync(now);
            self.refresh(now, &table);
        }
    }

    /// Updates slow start, idle connections and gauges.
    fn refresh(&mut self, now: Instant, table: &ServiceTable) {
        for runtime in table.all() {
            runtime.refresh_slots(now);
            self.accounts.update_servers(now, runtime.key(), || runtime.server_limits(now));
        }
        self.context.pool.close_expired(now);
        if now >= self.pool_refresh_due {
            self.pool_refresh_due = now + POOL_REFRESH_INTERVAL;
            self.pool_maintainer.refresh(&self.context.pool, table.all());
        }
        let metrics = &self.context.metrics;
        metrics.settings_revision.set(i64::try_from(self.installed.revision()).unwrap_or(i64::MAX));
        let seconds_left = match self.lease_client.expires_at() {
            Some(expires) if expires >= now => (expires - now).as_secs_f64(),
            Some(expires) => -(now - expires).as_secs_f64(),
            None => f64::NEG_INFINITY,
        };
        metrics.lease_seconds.set(seconds_left);
        metrics.set_link_totals(self.hub.traffic());
        for runtime in table.all() {
            let account = self.accounts.measure_counters(runtime.key());
            metrics.set_measure_totals(runtime.key(), runtime.measure_counters().plus(account));
        }
        self.deliver_grants();
    }

    fn handle_link_event(&mut self, now: Instant, event: LinkEvent) {
        match event {
            LinkEvent::Up(hello) => self.link_up(now, hello),
            LinkEvent::Down(name) => self.link_down(now, name),
            LinkEvent::Message(from, message) => self.receive_message(now, &from, *message),
        }
    }

    fn link_up(&mut self, now: Instant, hello: HelloMessage) {
        match hello.role {
            ProcessRole::Control => {
                self.controls.insert(hello.name.clone());
                self.send_directory(now, &hello.name);
                self.handle_lease_input(now, LeaseInput::ControlUp(hello.name));
            }
            ProcessRole::Entry => {
                self.peers.insert(hello.name.clone());
                self.send_directory(now, &hello.name);
                self.accounts.entry_connected(now, &hello.name);
                self.handle_lease_input(now, LeaseInput::PeerUp(hello.name));
            }
        }
        self.assign_account_holders();
    }

    fn link_down(&mut self, now: Instant, name: ProcessName) {
        self.controls.remove(&name);
        if self.peers.remove(&name) {
            self.accounts.entry_disconnected(now, &name);
            for runtime in self.context.table().all() {
                if choose_account_holder(runtime.key(), &self.live_entries).as_ref() == Some(&name)
                {
                    runtime.mark_holder_unreachable();
                }
            }
        }
        self.handle_lease_input(now, LeaseInput::Down(name));
    }

    fn receive_message(&mut self, now: Instant, from: &ProcessName, message: WireMessage) {
        match message {
            WireMessage::GrantLease(grant) => self.receive_lease_grant(now, *grant),
            WireMessage::NotLeader(leader) => {
                self.handle_lease_input(now, LeaseInput::Redirected(leader))
            }
            WireMessage::RenewLease(request) => self.relay_renewal(from, request),
            WireMessage::Settings(delta) => {
                if self.install_settings(&delta) {
                    self.report_installed(from);
                }
            }
            WireMessage::Announce(batch) => {
                self.handle_directory_event(now, DirectoryEvent::Relayed(batch));
            }
            WireMessage::Heartbeats(packed) => self.receive_heartbeats(now, from, &packed),
            WireMessage::DirectoryRequest(request) => {
                self.answer_directory_request(now, from, &request)
            }
            WireMessage::DirectorySync(step) => self.receive_sync(now, from, &step),
            WireMessage::DirectoryAnswer(batch) => {
                self.handle_directory_event(now, DirectoryEvent::Answered(batch));
            }
            WireMessage::CreditRequest { service, message } => {
                if message.moves_credits() {
                    self.record_activity(now);
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
            WireMessage::ClaimReply(reply) => self.context.claims.receive_reply(reply),
            _ => log::warn!(peer:% = from; "unexpected message on a link"),
        }
    }

    /// Relays the renewal of a peer entry to the control leader.
    fn relay_renewal(&mut self, from: &ProcessName, request: RenewLease) {
        // Only a peer's own renewal is relayed, so that renewals cannot loop.
        if request.entry != *from {
            return;
        }
        if let Some(leader) = self.lease_client.leader() {
            self.relayed_renewals.insert(request.entry.clone(), request.nonce);
            self.hub.send(leader, WireMessage::RenewLease(request));
        }
    }

    fn receive_lease_grant(&mut self, now: Instant, grant: GrantLease) {
        if grant.entry != self.context.name {
            if self.relayed_renewals.remove(&grant.entry) == Some(grant.nonce) {
                let peer = grant.entry.clone();
                self.hub.send(&peer, WireMessage::GrantLease(Box::new(grant)));
            }
            return;
        }
        if let Some(delta) = &grant.update
            && !self.install_settings(delta)
        {
            return;
        }
        if self.is_leaving {
            return;
        }
        let lease = Duration::from_millis(grant.lease_ms);
        let leader = grant.leader.clone();
        let had_update = grant.update.is_some();
        self.handle_lease_input(now, LeaseInput::Granted { leader, nonce: grant.nonce, lease });
        self.publish_lease();
        if had_update {
            self.report_installed(&grant.leader);
        }
        if grant.epoch > self.epoch {
            self.epoch = grant.epoch;
            self.live_entries = grant.entries;
            self.assign_account_holders();
        }
        self.context.advance("ready");
    }

    /// Makes the expiry of the lease known to the traffic threads.
    fn publish_lease(&self) {
        let suspended = self.suspension_watch.known();
        let expiry = self.lease_client.expires_at();
        self.context.set_lease(expiry.map(|until| SuspensionDeadline::new(until, suspended)));
    }

    /// Counts a suspension of the machine against the lease.
    fn check_suspension(&mut self, now: Instant) {
        let Some(duration) = self.suspension_watch.check(suspended_time()) else { return };
        log::warn!(suspended_ms = duration.as_millis(); "machine was suspended");
        for runtime in self.context.table().all() {
            runtime.expire_credit_lease(now);
        }
        if self.is_leaving {
            return;
        }
        self.handle_lease_input(now, LeaseInput::Suspended(duration));
        self.publish_lease();
    }

    fn handle_lease_input(&mut self, now: Instant, input: LeaseInput) {
        let Some(RenewalAction { to, nonce }) = self.lease_client.handle(now, input) else {
            return;
        };
        if self.is_leaving {
            return;
        }
        // Claims of a lapsed session may have been marked unknown, so new claims need a new
        // session. All renewal attempts share it, because the control leader knows only the session
        // it granted.
        let lapsed = self.lease_client.expires_at().is_some_and(|expires| expires <= now);
        if lapsed && !self.has_new_session {
            self.context.start_new_session();
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

    fn install_settings(&mut self, delta: &SettingsDelta) -> bool {
        let previous = self.installed.revision();
        match self.installed.install(delta) {
            Ok(tree) => {
                if previous != self.installed.revision() || self.context.table().tree.is_none() {
                    log::info!(revision = self.installed.revision(); "settings installed");
                    self.apply_settings(tree);
                }
                true
            }
            Err(error) => {
                log::warn!(error:%; "settings update could not be installed");
                false
            }
        }
    }

    /// Sends a message of a local wallet to the account holder, which may be this process.
    fn send_to_account_holder(
        &mut self,
        now: Instant,
        service: &ServiceKey,
        message: EntryMessage,
    ) {
        let Some(holder) = choose_account_holder(service, &self.live_entries) else {
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

    /// Sends the messages that the accounts have produced to their wallets.
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
