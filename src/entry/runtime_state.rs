//! Data of one service on one entry, and its rules from the settings.

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

/// Size of a usual message to the account holder, for which the measuring budget must have room.
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
    /// Epoch and live entries, and whether the account holder can be reached.
    pub(super) holder: Option<(EpochNumber, Vec<ProcessName>, bool)>,
    pub(super) open: usize,
}

/// A server as this entry uses it.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Announced name.
    pub id: ServerId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of the server.
    pub availability_zone: ZoneName,
    /// Slots that it announced.
    pub slots: u32,
    /// Connections that it announced.
    pub connections: u32,
    /// Life-cycle state.
    pub life: LifeState,
    /// When this entry saw the server become ready; `None` for one that it met ready.
    pub ready_since: Option<Instant>,
}

/// Queued request that waits for a permit.
pub(super) struct QueueTicket {
    pub(super) excluded: Vec<ServerKey>,
    pub(super) grant: Sender<SlotPermit>,
}

impl RuntimeState {
    pub(super) fn usable_servers(&self) -> usize {
        self.servers.values().filter(|view| view.is_usable()).count()
    }

    /// This entry's share of the connections that the server accepts.
    pub(super) fn connection_share(&self, view: &ServerView) -> usize {
        let total = view.connections.min(self.settings.servers.connections) as usize;
        (total / self.live_entries).max(1)
    }

    /// Sends demand, returns and lease renewals unless the measuring budget is spent.
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

    /// Starts a new session with the account holder after a time without credits.
    ///
    /// Others may hold credits for all slots, so no work starts by own count before the answer.
    /// Requests that still run under the other policy are on no account until they finish.
    pub(super) fn resume_credits(&mut self, now: Instant) -> Option<EntryMessage> {
        let (epoch, live, reachable) = self.holder.clone()?;
        if !reachable {
            return None;
        }
        self.wallet.handle(now, WalletEvent::HolderUnreachable);
        self.wallet.handle(now, WalletEvent::HolderChanged { epoch, live })
    }

    /// Exchanges a server that the request has tried for another one with a free slot.
    pub(super) fn respect_exclusions(
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

    pub(super) fn replace_settings(&mut self, now: Instant, settings: Arc<ServiceSettings>) {
        self.measure.change_limits(measure_limits(&settings));
        self.pool.change_settings(pool_settings(&settings));
        self.retry.change_settings(now, retry_settings(&settings));
        self.queue.change_settings(admission_settings(&settings));
        self.settings = settings;
    }

    pub(super) fn change_view(
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

    /// Passes the servers on to pool and wallet.
    pub(super) fn announce_servers(&mut self, now: Instant) -> Option<EntryMessage> {
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
            // The wallet returns credits that no request uses.
            for server in &mut servers {
                server.draining = true;
            }
        }
        let event = WalletEvent::ServersChanged(servers);
        self.wallet.handle(now, event)
    }

    pub(super) fn drain_queue(&mut self) -> AdmissionQueue<QueueTicket> {
        let settings = admission_settings(&self.settings);
        std::mem::replace(&mut self.queue, AdmissionQueue::new(settings))
    }
}

impl ServerView {
    /// Whether the server may receive new work.
    ///
    /// A suspect server stays in use: responses show sooner than heartbeats whether it works.
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
    let rule = &settings.retry;
    RetrySettings {
        max_attempts: rule.attempts,
        tokens_per_success: f64::from(rule.budget_percent) / 100.0,
        base_backoff: rule.backoff_min,
        max_backoff: rule.backoff_max,
        hedge_quantile: rule.hedge_quantile.unwrap_or(1.0),
        ..RetrySettings::default()
    }
}

pub(super) fn measure_limits(settings: &ServiceSettings) -> MeasureLimits {
    MeasureLimits {
        messages_per_second: f64::from(settings.measure.messages_per_second),
        bytes_per_second: settings.measure.bytes_per_second as f64,
    }
}
