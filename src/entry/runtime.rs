//! Running state of one service on one entry: servers, credits and waiting requests.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::future::timeout;

use super::answer::FailureReason;
use crate::credit::{
    CreditWallet, EntryMessage, HeldCredit, HolderMessage, ServerKey, WaitingWork, WalletEvent,
    WalletServer, WalletSettings, WorkClass, server_key,
};
use crate::directory::{LifeState, ServerAnnouncement, ServiceKey};
use crate::ids::{EpochNumber, ProcessName, ServerId, ZoneName};
use crate::settings::ServiceSettings;

/// Where messages to the account holder go.
pub type CreditOutbox = Box<dyn Fn(&ServiceKey, EntryMessage) + Send + Sync>;

/// Servers, credits and queues of one service.
pub struct ServiceRuntime {
    key: ServiceKey,
    outbox: CreditOutbox,
    state: Mutex<RuntimeState>,
}

struct RuntimeState {
    settings: Arc<ServiceSettings>,
    servers: BTreeMap<ServerKey, ServerView>,
    wallet: CreditWallet,
    waiting: [VecDeque<WaitingRequest>; 2],
    live_entries: usize,
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
    /// Slots that it announced, capped by the settings.
    pub slots: u32,
    /// Connections that it announced, capped by the settings.
    pub connections: u32,
    /// Life-cycle state.
    pub life: LifeState,
}

struct WaitingRequest {
    since: Instant,
    deadline: Instant,
    excluded: Vec<ServerKey>,
    grant: Sender<SlotPermit>,
}

/// Right to occupy one slot of a server; returned when dropped.
pub struct SlotPermit {
    runtime: Arc<ServiceRuntime>,
    credit: Option<HeldCredit>,
    server: ServerKey,
}

impl SlotPermit {
    /// Key of the server.
    pub fn server(&self) -> ServerKey {
        self.server
    }

    fn take(mut self) -> Option<HeldCredit> {
        self.credit.take()
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(credit) = self.credit.take() {
            self.runtime.release(credit);
        }
    }
}

impl ServiceRuntime {
    /// Creates the state of a service without servers.
    pub fn new(
        key: ServiceKey,
        settings: Arc<ServiceSettings>,
        name: ProcessName,
        availability_zone: ZoneName,
        outbox: CreditOutbox,
        now: Instant,
    ) -> Arc<Self> {
        let wallet = CreditWallet::new(now, name, availability_zone, WalletSettings::default());
        let state = RuntimeState {
            settings,
            servers: BTreeMap::new(),
            wallet,
            waiting: Default::default(),
            live_entries: 1,
        };
        Arc::new(Self { key, outbox, state: Mutex::new(state) })
    }

    /// Team and name of the service.
    pub fn key(&self) -> &ServiceKey {
        &self.key
    }

    /// Waits for a slot until `deadline`; servers in `excluded` are used only when no other is free.
    pub async fn acquire(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &[ServerKey],
        deadline: Instant,
    ) -> Result<SlotPermit, FailureReason> {
        let receiver = match self.start_or_queue(class, excluded, deadline)? {
            Ok(permit) => return Ok(permit),
            Err(receiver) => receiver,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        match timeout(left, receiver.recv()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(FailureReason::NoServer),
            Err(_) => Err(FailureReason::DeadlineBeforeStart),
        }
    }

    fn start_or_queue(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &[ServerKey],
        deadline: Instant,
    ) -> Result<Result<SlotPermit, Receiver<SlotPermit>>, FailureReason> {
        let now = Instant::now();
        let mut state = self.lock();
        if now >= deadline {
            return Err(FailureReason::DeadlineBeforeStart);
        }
        if state.usable_servers() == 0 {
            return Err(FailureReason::NoServer);
        }
        let queue_limit = state.settings.servers.queue as usize;
        if state.waiting[class.index()].is_empty()
            && let Some(credit) = state.wallet.acquire(now, class, excluded)
        {
            return Ok(Ok(self.permit(credit)));
        }
        if state.waiting[class.index()].len() >= queue_limit {
            return Err(FailureReason::QueueFull);
        }
        let (sender, receiver) = async_channel::bounded(1);
        state.waiting[class.index()].push_back(WaitingRequest {
            since: now,
            deadline,
            excluded: excluded.to_vec(),
            grant: sender,
        });
        let message = state.tick(now);
        drop(state);
        self.send(message);
        Ok(Err(receiver))
    }

    fn permit(self: &Arc<Self>, credit: HeldCredit) -> SlotPermit {
        let server = credit.server;
        SlotPermit { runtime: Arc::clone(self), credit: Some(credit), server }
    }

    fn release(self: &Arc<Self>, credit: HeldCredit) {
        let now = Instant::now();
        let mut state = self.lock();
        state.wallet.release(now, credit);
        self.grant_waiting(&mut state, now);
    }

    /// Gives free slots to waiting requests, short work first, oldest first in each class.
    fn grant_waiting(self: &Arc<Self>, state: &mut RuntimeState, now: Instant) {
        for class in WorkClass::ALL {
            while let Some(request) = state.waiting[class.index()].front() {
                if request.deadline <= now || request.grant.is_closed() {
                    state.waiting[class.index()].pop_front();
                    continue;
                }
                let excluded = request.excluded.clone();
                let Some(credit) = state.wallet.acquire(now, class, &excluded) else {
                    break;
                };
                let Some(request) = state.waiting[class.index()].pop_front() else {
                    break;
                };
                if let Err(refused) = request.grant.try_send(self.permit(credit)) {
                    // The request gave up meanwhile. The permit must not be dropped here, because its
                    // drop locks the state again.
                    if let Some(credit) = refused.into_inner().take() {
                        state.wallet.release(now, credit);
                    }
                }
            }
        }
    }

    /// Takes over new settings.
    pub fn change_settings(self: &Arc<Self>, settings: Arc<ServiceSettings>) {
        let now = Instant::now();
        let mut state = self.lock();
        state.settings = settings;
        let message = state.announce_servers(now);
        self.grant_waiting(&mut state, now);
        drop(state);
        self.send(message);
    }

    /// Takes over a server's announcement or a change of its life-cycle state.
    pub fn change_server(self: &Arc<Self>, announcement: &ServerAnnouncement, life: LifeState) {
        let now = Instant::now();
        let mut state = self.lock();
        let key = server_key(&announcement.server);
        if life == LifeState::Gone {
            state.servers.remove(&key);
        } else {
            let view = ServerView {
                id: announcement.server.clone(),
                address: announcement.address,
                availability_zone: announcement.availability_zone.clone(),
                slots: announcement.slots,
                connections: announcement.connections,
                life,
            };
            state.servers.insert(key, view);
        }
        let message = state.announce_servers(now);
        if state.usable_servers() == 0 {
            // Waiting requests learn at once that there is no server left.
            state.waiting = Default::default();
        }
        self.grant_waiting(&mut state, now);
        drop(state);
        self.send(message);
    }

    /// Takes over a new list of live entries and the link state of the account holder.
    pub fn change_holder(
        self: &Arc<Self>,
        epoch: EpochNumber,
        live: Vec<ProcessName>,
        reachable: bool,
    ) {
        let now = Instant::now();
        let mut state = self.lock();
        state.live_entries = live.len().max(1);
        let message = state.wallet.handle(now, WalletEvent::HolderChanged { epoch, live });
        if !reachable {
            state.wallet.handle(now, WalletEvent::HolderUnreachable);
        }
        self.grant_waiting(&mut state, now);
        drop(state);
        self.send(message);
    }

    /// Takes over a message of the account holder.
    pub fn receive(self: &Arc<Self>, message: HolderMessage) {
        let now = Instant::now();
        let mut state = self.lock();
        let reply = state.wallet.handle(now, WalletEvent::Message(message));
        self.grant_waiting(&mut state, now);
        drop(state);
        self.send(reply);
    }

    /// Lets time pass.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        let mut state = self.lock();
        let message = state.tick(now);
        self.grant_waiting(&mut state, now);
        drop(state);
        self.send(message);
    }

    /// Returns a server with this entry's share of its connections.
    pub fn target(&self, server: ServerKey) -> Option<(ServerView, usize)> {
        let state = self.lock();
        let view = state.servers.get(&server)?.clone();
        let total = view.connections.min(state.settings.servers.connections) as usize;
        let share = (total / state.live_entries).max(1);
        Some((view, share))
    }

    /// Servers with slots in effect, for the account holder.
    pub fn servers(&self) -> Vec<ServerView> {
        let state = self.lock();
        let limit = state.settings.servers.slots;
        let capped = |view: &ServerView| ServerView { slots: view.slots.min(limit), ..view.clone() };
        state.servers.values().map(capped).collect()
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        let state = self.lock();
        state.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether slots are chosen by the entry's own count, because there is no credit lease.
    pub fn is_own_count(&self) -> bool {
        self.lock().wallet.is_own_count()
    }

    fn lock(&self) -> MutexGuard<'_, RuntimeState> {
        self.state.lock().expect("no holder of the runtime lock panics")
    }

    fn send(&self, message: Option<EntryMessage>) {
        if let Some(message) = message {
            (self.outbox)(&self.key, message);
        }
    }
}

impl RuntimeState {
    fn usable_servers(&self) -> usize {
        self.servers.values().filter(|view| view.is_usable()).count()
    }

    fn tick(&mut self, now: Instant) -> Option<EntryMessage> {
        let mut work = [WaitingWork::default(); 2];
        for (class, queue) in self.waiting.iter_mut().enumerate() {
            queue.retain(|request| request.deadline > now && !request.grant.is_closed());
            work[class] = WaitingWork {
                count: u32::try_from(queue.len()).unwrap_or(u32::MAX),
                oldest: queue.front().map(|request| request.since),
                deadline: queue.iter().map(|request| request.deadline).min(),
            };
        }
        self.wallet.handle(now, WalletEvent::Tick(work))
    }

    fn announce_servers(&mut self, now: Instant) -> Option<EntryMessage> {
        let limit = self.settings.servers.slots;
        let mut servers = Vec::with_capacity(self.servers.len());
        for (key, view) in &self.servers {
            if view.life == LifeState::Starting {
                continue;
            }
            servers.push(WalletServer {
                server: *key,
                zone: view.availability_zone.clone(),
                slots: view.slots.min(limit),
                draining: view.life == LifeState::Draining,
            });
        }
        self.wallet.handle(now, WalletEvent::ServersChanged(servers))
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

/// Interval of ticks while a service has waiting requests.
pub const BUSY_TICK: Duration = Duration::from_millis(1);
