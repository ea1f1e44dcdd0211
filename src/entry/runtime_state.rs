//! State behind the lock of a [`ServiceRuntime`](super::runtime::ServiceRuntime), and conversions
//! from the settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;

use super::permit::SlotPermit;
use crate::credit::{CreditWallet, EntryMessage, ServerKey, WalletEvent, server_key};
use crate::directory::{LifeState, ServerAnnouncement};
use crate::ids::{EpochNumber, ProcessName, ServerId, ZoneName};
use crate::route::{
    AdmissionQueue, AdmissionSettings, HealthSettings, MeasureBudget, MeasureLimits, PickOutcome,
    PickedServer, PoolServer, PoolSettings, RetryBudget, RetrySettings, RoutePolicy, ServerPool,
};
use crate::settings::{SelectionPolicy, ServiceSettings};

/// Typical size of a message to the account holder. The wallet is ticked only if the measuring
/// budget has room for one such message.
const TYPICAL_MESSAGE_BYTES: u32 = 256;

pub(super) struct RuntimeState {
    pub(super) settings: Arc<ServiceSettings>,
    pub(super) servers: BTreeMap<ServerKey, ServerView>,
    pub(super) pool: ServerPool,
    pub(super) wallet: CreditWallet,
    pub(super) queue: AdmissionQueue<QueueTicket>,
    pub(super) retry: RetryBudget,
    pub(super) measure: MeasureBudget,
    pub(super) live_entries: usize,
    /// Epoch, live entries, and whether the account holder is reachable.
    pub(super) holder: Option<(EpochNumber, Vec<ProcessName>, bool)>,
    pub(super) occupied_slots: usize,
}

/// Server as seen by this entry.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Announced name.
    pub id: ServerId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: ZoneName,
    /// Number of slots announced by the server.
    pub slots: u32,
    /// Number of connections announced by the server.
    pub connections: u32,
    /// Life-cycle state.
    pub life: LifeState,
    /// Time at which this entry saw the server become ready; `None` if it was ready when first
    /// seen.
    pub ready_since: Option<Instant>,
}

/// Ticket of a queued request that waits for a permit.
pub(super) struct QueueTicket {
    pub(super) excluded: Vec<ServerKey>,
    pub(super) grant: Sender<SlotPermit>,
}

impl RuntimeState {
    pub(super) fn usable_server_count(&self) -> usize {
        self.servers.values().filter(|view| view.is_usable()).count()
    }

    /// This entry's share of the connections that the server accepts.
    pub(super) fn connection_share(&self, view: &ServerView) -> usize {
        let total = view.connections.min(self.settings.servers.connections) as usize;
        (total / self.live_entries).max(1)
    }

    /// Returns a due message with demand, returned credits or lease renewals, unless the measuring
    /// budget is exhausted.
    pub(super) fn tick_wallet(&mut self, now: Instant) -> Option<EntryMessage> {
        if !self.measure.has_room(now, TYPICAL_MESSAGE_BYTES) {
            return None;
        }
        let waiting = match self.uses_credits() {
            true => self.queue.waiting(),
            false if self.holds_credits() => Default::default(),
            false => return None,
        };
        let message = self.wallet.handle(now, WalletEvent::Tick(waiting))?;
        self.measure.charge(now, message.wire_bytes());
        Some(message)
    }

    pub(super) fn uses_credits(&self) -> bool {
        self.settings.policy == SelectionPolicy::Credits
    }

    pub(super) fn holds_credits(&self) -> bool {
        self.servers.keys().any(|server| self.wallet.held(*server) > 0)
    }

    /// Starts a new session with the account holder after the service has switched to credits.
    ///
    /// Other entries may hold credits for all slots, so no work starts on the local count before
    /// the holder's answer. Requests that still run under the previous policy occupy slots
    /// that no account counts until they finish.
    pub(super) fn restart_credit_session(&mut self, now: Instant) -> Option<EntryMessage> {
        let (epoch, live, reachable) = self.holder.clone()?;
        if !reachable {
            return None;
        }
        self.wallet.handle(now, WalletEvent::HolderUnreachable);
        self.wallet.handle(now, WalletEvent::HolderChanged { epoch, live })
    }

    /// Replaces a server that the request has already tried by another one with a free slot, if
    /// any.
    pub(super) fn avoid_excluded_servers(
        &mut self,
        now: Instant,
        picked: PickedServer,
        excluded: &[ServerKey],
    ) -> PickedServer {
        if !excluded.contains(&picked.server) {
            return picked;
        }
        let class = picked.class;
        match self.pool.pick(now, class, excluded, &mut self.wallet) {
            PickOutcome::Start(other) => {
                self.pool.cancel(now, picked, &mut self.wallet);
                other
            }
            PickOutcome::Wait | PickOutcome::NoServer => picked,
        }
    }

    pub(super) fn apply_settings(&mut self, now: Instant, settings: Arc<ServiceSettings>) {
        self.measure.change_limits(measure_limits(&settings));
        self.pool.change_settings(pool_settings(&settings));
        self.retry.change_settings(now, retry_settings(&settings));
        self.queue.change_settings(admission_settings(&settings));
        self.settings = settings;
    }

    pub(super) fn update_server_view(
        &mut self,
        now: Instant,
        announcement: &ServerAnnouncement,
        life: LifeState,
    ) {
        let key = server_key(&announcement.server);
        if life == LifeState::Gone {
            self.servers.remove(&key);
            return;
        }
        let previous = self.servers.get(&key);
        let was_starting = previous.is_some_and(|view| view.life == LifeState::Starting);
        let ready_since = match previous {
            _ if was_starting && life == LifeState::Ready => Some(now),
            Some(view) => view.ready_since,
            None => None,
        };
        let view = ServerView {
            id: announcement.server.clone(),
            address: announcement.address,
            availability_zone: announcement.availability_zone.clone(),
            slots: announcement.slots,
            connections: announcement.connections,
            life,
            ready_since,
        };
        self.servers.insert(key, view);
    }

    /// Passes the current servers to the pool and the wallet.
    pub(super) fn update_pool_and_wallet(&mut self, now: Instant) -> Option<EntryMessage> {
        let limits = &self.settings.servers;
        let mut servers = Vec::with_capacity(self.servers.len());
        for (key, view) in &self.servers {
            if view.life == LifeState::Starting {
                continue;
            }
            servers.push(PoolServer {
                server: *key,
                zone: view.availability_zone.clone(),
                slots: view.slots.min(limits.slots),
                connections: view.connections.min(limits.connections),
                ready_since: view.ready_since,
                draining: view.life == LifeState::Draining,
            });
        }
        let live = u32::try_from(self.live_entries).unwrap_or(u32::MAX);
        self.pool.set_servers(servers, live);
        let mut servers = self.pool.wallet_servers(now);
        if !self.uses_credits() {
            // Marking all servers as draining makes the wallet return its unused credits.
            for server in &mut servers {
                server.draining = true;
            }
        }
        let event = WalletEvent::ServersChanged(servers);
        self.wallet.handle(now, event)
    }

    pub(super) fn take_queue(&mut self) -> AdmissionQueue<QueueTicket> {
        let settings = admission_settings(&self.settings);
        std::mem::replace(&mut self.queue, AdmissionQueue::new(settings))
    }
}

impl ServerView {
    /// Whether the server may receive new work.
    ///
    /// Suspect servers stay in use, because responses show sooner than heartbeats whether they
    /// work.
    pub fn is_usable(&self) -> bool {
        matches!(self.life, LifeState::Ready | LifeState::Suspect)
    }
}

pub(super) fn pool_settings(settings: &ServiceSettings) -> PoolSettings {
    PoolSettings {
        policy: match settings.policy {
            SelectionPolicy::Random => RoutePolicy::Random,
            SelectionPolicy::RoundRobin => RoutePolicy::RoundRobin,
            SelectionPolicy::LeastInFlight => RoutePolicy::LeastInFlight,
            SelectionPolicy::TwoChoices => RoutePolicy::TwoChoices,
            SelectionPolicy::Credits => RoutePolicy::Credits,
        },
        slow_start: settings.drain.slow_start,
        health: HealthSettings::default(),
    }
}

pub(super) fn admission_settings(settings: &ServiceSettings) -> AdmissionSettings {
    let limit = settings.servers.queue as usize;
    AdmissionSettings { limits: [limit, limit], ..AdmissionSettings::default() }
}

pub(super) fn retry_settings(settings: &ServiceSettings) -> RetrySettings {
    let retry = &settings.retry;
    RetrySettings {
        max_attempts: retry.attempts,
        tokens_per_success: f64::from(retry.budget_percent) / 100.0,
        base_backoff: retry.backoff_min,
        max_backoff: retry.backoff_max,
        hedge_quantile: retry.hedge_quantile.unwrap_or(1.0),
        ..RetrySettings::default()
    }
}

pub(super) fn measure_limits(settings: &ServiceSettings) -> MeasureLimits {
    MeasureLimits {
        messages_per_second: f64::from(settings.measure.messages_per_second),
        bytes_per_second: settings.measure.bytes_per_second as f64,
    }
}
