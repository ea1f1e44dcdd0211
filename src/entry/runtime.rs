//! Runtime of one service on one entry: servers, credits and waiting requests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Receiver;

use super::answer::FailureReason;
use super::permit::SlotPermit;
use super::plan::RequestPlan;
use super::queued_wait::QueuedWait;
use super::runtime_state::{
    QueueTicket, RuntimeState, ServerView, admission_settings, measure_limits, pool_settings,
    retry_settings,
};
use super::warm::WarmTarget;
use crate::credit::{
    CreditWallet, EntryMessage, HolderMessage, ServerKey, ServerLimit, WalletEvent, WalletSettings,
    WorkClass, server_key,
};
use crate::deadline::with_timeout;
use crate::directory::{LifeState, ServerAnnouncement, ServiceKey};
use crate::ids::{EpochNumber, ProcessName, ZoneName};
use crate::route::{
    AdmissionQueue, AdmissionRefusal, MeasureBudget, MeasureCounters, MeasureLimits, PickOutcome,
    PickedServer, RetryBudget, RetryCandidate, RetryDecision, ServerPool,
};
use crate::settings::{SelectionPolicy, ServiceSettings};

/// Callback that sends a message to the account holder.
pub type CreditOutbox = Box<dyn Fn(&ServiceKey, EntryMessage) + Send + Sync>;

/// Identity of the entry that owns a [`ServiceRuntime`], and the outlet for its messages.
pub struct RuntimeIdentity {
    /// Name of the entry.
    pub name: ProcessName,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Sends messages to the account holder.
    pub outbox: CreditOutbox,
}

/// Runtime of one service: servers, credits and queues.
pub struct ServiceRuntime {
    key: ServiceKey,
    outbox: CreditOutbox,
    state: Mutex<RuntimeState>,
}

impl ServiceRuntime {
    /// Creates the runtime of a service without servers.
    pub fn new(
        key: ServiceKey,
        settings: Arc<ServiceSettings>,
        identity: RuntimeIdentity,
        now: Instant,
    ) -> Arc<Self> {
        let RuntimeIdentity { name, availability_zone, seed, outbox } = identity;
        let zone = availability_zone.clone();
        let wallet = CreditWallet::new(now, name, availability_zone, WalletSettings::default());
        let state = RuntimeState {
            pool: ServerPool::new(zone, pool_settings(&settings), seed),
            queue: AdmissionQueue::new(admission_settings(&settings)),
            retry: RetryBudget::new(now, retry_settings(&settings), seed),
            measure: MeasureBudget::new(now, measure_limits(&settings)),
            settings,
            servers: BTreeMap::new(),
            wallet,
            live_entries: 1,
            holder: None,
            occupied_slots: 0,
        };
        Arc::new(Self { key, outbox, state: Mutex::new(state) })
    }

    /// Team and name of the service.
    pub fn key(&self) -> &ServiceKey {
        &self.key
    }

    /// Waits for a slot until `deadline`; servers in `excluded` are used only if no other is free.
    pub async fn acquire(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &[ServerKey],
        deadline: Instant,
    ) -> Result<SlotPermit, FailureReason> {
        let receiver = match self.start_or_queue(class, excluded, deadline)? {
            StartOutcome::Started(permit) => return Ok(permit),
            StartOutcome::Queued(receiver) => receiver,
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let mut wait = QueuedWait { runtime: self, class, receiver, is_dequeued: false };
        let result = with_timeout(time_left, wait.receiver.recv()).await;
        wait.is_dequeued = result.is_ok();
        match result {
            Ok(Ok(permit)) => Ok(permit),
            // The queue dropped the ticket: no server is left, or its deadline can no longer be
            // met.
            Ok(Err(_)) if self.lock().usable_server_count() == 0 => Err(FailureReason::NoServer),
            Ok(Err(_)) | Err(_) => Err(FailureReason::DeadlineBeforeStart),
        }
    }

    fn start_or_queue(
        self: &Arc<Self>,
        class: WorkClass,
        excluded: &[ServerKey],
        deadline: Instant,
    ) -> Result<StartOutcome, FailureReason> {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        if now >= deadline {
            return Err(FailureReason::DeadlineBeforeStart);
        }
        if state.queue.len(class) == 0 {
            match state.pool.pick(now, class, excluded, &mut state.wallet) {
                PickOutcome::Start(picked) => {
                    state.occupied_slots += 1;
                    return Ok(StartOutcome::Started(self.new_permit(picked)));
                }
                PickOutcome::NoServer => return Err(FailureReason::NoServer),
                PickOutcome::Wait => (),
            }
        }
        let (sender, receiver) = async_channel::bounded(1);
        let ticket = QueueTicket { excluded: excluded.to_vec(), grant: sender };
        if let Err((_, refusal)) = state.queue.offer(now, class, ticket, Some(deadline)) {
            return Err(match refusal {
                AdmissionRefusal::QueueFull => FailureReason::QueueFull,
                AdmissionRefusal::DeadlineTooClose => FailureReason::DeadlineBeforeStart,
            });
        }
        let message = state.tick_wallet(now);
        drop(guard);
        self.send_to_holder(message);
        Ok(StartOutcome::Queued(receiver))
    }

    fn new_permit(self: &Arc<Self>, picked: PickedServer) -> SlotPermit {
        let server = picked.server;
        SlotPermit { runtime: Arc::clone(self), picked: Some(picked), server }
    }

    pub(super) fn finish(self: &Arc<Self>, picked: PickedServer, failed: bool) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.occupied_slots = state.occupied_slots.saturating_sub(1);
        let elapsed = now.saturating_duration_since(picked.sent);
        state.queue.record_service_time(picked.class, elapsed);
        if !failed {
            state.retry.record_success(now, elapsed);
        }
        state.pool.finish(now, picked, failed, &mut state.wallet);
        self.grant_free_slots(guard, now);
    }

    pub(super) fn finish_superseded(self: &Arc<Self>, picked: PickedServer) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.occupied_slots = state.occupied_slots.saturating_sub(1);
        // Without this sample the latency quantile would shrink with each hedge.
        state.retry.record_slow(now.saturating_duration_since(picked.sent));
        state.pool.finish(now, picked, false, &mut state.wallet);
        self.grant_free_slots(guard, now);
    }

    pub(super) fn cancel(self: &Arc<Self>, picked: PickedServer) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.occupied_slots = state.occupied_slots.saturating_sub(1);
        state.pool.cancel(now, picked, &mut state.wallet);
        self.grant_free_slots(guard, now);
    }

    /// Grants free slots to waiting requests, short work first.
    fn grant_free_slots(self: &Arc<Self>, mut guard: MutexGuard<'_, RuntimeState>, now: Instant) {
        let mut used_tickets = Vec::new();
        for class in WorkClass::ALL {
            while guard.queue.len(class) > 0 {
                if !self.grant_next(&mut guard, class, now, &mut used_tickets) {
                    break;
                }
            }
        }
        drop(guard);
        // Dropping tickets wakes expired requests, so it happens outside the lock.
        drop(used_tickets);
    }

    fn grant_next(
        self: &Arc<Self>,
        state: &mut RuntimeState,
        class: WorkClass,
        now: Instant,
        used_tickets: &mut Vec<QueueTicket>,
    ) -> bool {
        let PickOutcome::Start(picked) = state.pool.pick(now, class, &[], &mut state.wallet) else {
            return false;
        };
        let Some(ticket) = state.queue.take(now, class, used_tickets) else {
            state.pool.cancel(now, picked, &mut state.wallet);
            return false;
        };
        let picked = state.avoid_excluded_servers(now, picked, &ticket.excluded);
        state.occupied_slots += 1;
        if let Err(unsent) = ticket.grant.try_send(self.new_permit(picked)) {
            // The request has stopped waiting. The permit must not be dropped here, because its
            // `Drop` takes the lock again.
            let mut permit = unsent.into_inner();
            if let Some(picked) = permit.picked.take() {
                state.occupied_slots = state.occupied_slots.saturating_sub(1);
                state.pool.cancel(now, picked, &mut state.wallet);
            }
        }
        // If the request stops waiting now, the ticket is the last owner of the permit, so it must
        // not be dropped under the lock either.
        used_tickets.push(ticket);
        true
    }

    /// Applies new settings.
    pub fn update_settings(self: &Arc<Self>, settings: Arc<ServiceSettings>) {
        let now = Instant::now();
        let mut guard = self.lock();
        if *guard.settings == *settings {
            return;
        }
        let resumes_credits = guard.settings.policy != SelectionPolicy::Credits
            && settings.policy == SelectionPolicy::Credits;
        guard.apply_settings(now, settings);
        let message = guard.update_pool_and_wallet(now);
        let report = if resumes_credits { guard.restart_credit_session(now) } else { None };
        self.grant_free_slots(guard, now);
        self.send_to_holder(message);
        self.send_to_holder(report);
    }

    /// Applies a server's announcement or a change of its life-cycle state.
    pub fn update_server(
        self: &Arc<Self>,
        now: Instant,
        announcement: &ServerAnnouncement,
        life: LifeState,
    ) {
        let mut guard = self.lock();
        guard.update_server_view(now, announcement, life);
        let message = guard.update_pool_and_wallet(now);
        // Dropping the tickets fails the waiting requests at once if no server is left.
        let unserved_queue = (guard.usable_server_count() == 0).then(|| guard.take_queue());
        self.grant_free_slots(guard, now);
        drop(unserved_queue);
        self.send_to_holder(message);
    }

    /// Records a server's own load report.
    pub fn record_load_report(&self, announcement: &ServerAnnouncement) {
        let load = announcement.load.saturating_mul(announcement.slots) / 1000;
        self.lock().pool.record_load_report(server_key(&announcement.server), load);
    }

    /// Applies a new list of live entries and the link state of the account holder.
    pub fn update_holder(
        self: &Arc<Self>,
        epoch: EpochNumber,
        live: Vec<ProcessName>,
        reachable: bool,
    ) {
        let now = Instant::now();
        let mut guard = self.lock();
        guard.live_entries = live.len().max(1);
        guard.holder = Some((epoch, live.clone(), reachable));
        let mut messages = Vec::new();
        messages.extend(guard.wallet.handle(now, WalletEvent::HolderChanged { epoch, live }));
        if !reachable {
            guard.wallet.handle(now, WalletEvent::HolderUnreachable);
            messages.clear();
        }
        messages.extend(guard.update_pool_and_wallet(now));
        self.grant_free_slots(guard, now);
        for message in messages {
            self.send_to_holder(Some(message));
        }
    }

    /// Records that the link to the account holder is lost, so that no grants can arrive.
    pub fn mark_holder_unreachable(self: &Arc<Self>) {
        let now = Instant::now();
        let mut guard = self.lock();
        guard.wallet.handle(now, WalletEvent::HolderUnreachable);
        if let Some((_, _, reachable)) = &mut guard.holder {
            *reachable = false;
        }
        self.grant_free_slots(guard, now);
    }

    /// Ends the credit lease early, because the machine was suspended while it ran.
    pub fn expire_credit_lease(self: &Arc<Self>, now: Instant) {
        self.lock().wallet.handle(now, WalletEvent::LeaseExpired);
    }

    /// Handles a message from the account holder.
    pub fn receive(self: &Arc<Self>, message: HolderMessage) {
        let now = Instant::now();
        let mut guard = self.lock();
        let reply = guard.wallet.handle(now, WalletEvent::Message(message));
        self.grant_free_slots(guard, now);
        self.send_to_holder(reply);
    }

    /// Runs the periodic work; must be called every few milliseconds.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut expired = Vec::new();
        state.queue.expire(now, &mut expired);
        if let Some(ejected) = state.pool.tick(now) {
            let event = WalletEvent::EjectedChanged(ejected.to_vec());
            state.wallet.handle(now, event);
        }
        if let Some(suspects) = state.pool.changed_suspects(now) {
            let event = WalletEvent::SuspectsChanged(suspects.to_vec());
            state.wallet.handle(now, event);
        }
        let message = state.tick_wallet(now);
        self.grant_free_slots(guard, now);
        drop(expired);
        self.send_to_holder(message);
    }

    /// Updates the effective slots of servers that may be in slow start.
    pub fn refresh_slots(self: &Arc<Self>, now: Instant) {
        let mut guard = self.lock();
        if !guard.servers.values().any(|view| view.ready_since.is_some()) {
            return;
        }
        let message = guard.update_pool_and_wallet(now);
        self.grant_free_slots(guard, now);
        self.send_to_holder(message);
    }

    /// Returns a server and this entry's share of its connections.
    pub fn server_target(&self, server: ServerKey) -> Option<(ServerView, usize)> {
        let state = self.lock();
        let view = state.servers.get(&server)?.clone();
        let share = state.connection_share(&view);
        Some((view, share))
    }

    /// Returns the connections to keep open to each server that may receive new work.
    pub fn warm_targets(&self) -> Vec<WarmTarget> {
        let state = self.lock();
        let mut targets = Vec::with_capacity(state.servers.len());
        for (key, view) in state.servers.iter().filter(|(_, view)| view.is_usable()) {
            let wanted = state.wallet.held(*key).max(1) as usize;
            let limit = state.connection_share(view);
            targets.push(WarmTarget { address: view.address, wanted, limit });
        }
        targets
    }

    /// Returns the servers with their effective slots, for the account holder.
    pub fn server_limits(&self, now: Instant) -> Vec<ServerLimit> {
        let mut limits = Vec::new();
        for server in self.lock().pool.wallet_servers(now) {
            limits.push(ServerLimit {
                server: server.server,
                zone: server.zone,
                slots: server.slots,
                draining: server.draining,
            });
        }
        limits
    }

    /// Returns the servers as announced.
    pub fn servers(&self) -> Vec<ServerView> {
        self.lock().servers.values().cloned().collect()
    }

    /// Decides whether to retry after a failed attempt; returns the delay before the retry.
    pub fn decide_retry(
        &self,
        tried: &[ServerKey],
        deadline: Instant,
        has_outer_retry: bool,
    ) -> Option<Duration> {
        let attempt = RetryCandidate {
            idempotent: true,
            response_started: false,
            has_outer_retry,
            tried,
            deadline: Some(deadline),
        };
        match self.lock().retry.decide(Instant::now(), &attempt) {
            RetryDecision::RetryAfter(wait) => Some(wait),
            RetryDecision::Refuse(_) => None,
        }
    }

    /// Delay after which a request may be hedged; `None` if the settings disable hedging or too few
    /// latencies are known.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let state = self.lock();
        state.settings.retry.hedge_quantile?;
        state.retry.hedge_after()
    }

    /// Takes a free slot of another server for a hedge, charged to the retry budget.
    pub fn start_hedge(
        self: &Arc<Self>,
        plan: &RequestPlan,
        sent: Instant,
        tried: &[ServerKey],
    ) -> Option<SlotPermit> {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        // A hedge must not overtake requests that wait for their first attempt.
        if !state.queue.is_empty() {
            return None;
        }
        let PickOutcome::Start(picked) = state.pool.pick(now, plan.class, tried, &mut state.wallet)
        else {
            return None;
        };
        let attempt = RetryCandidate {
            idempotent: plan.idempotent,
            response_started: false,
            has_outer_retry: plan.has_outer_retry,
            tried,
            deadline: Some(plan.deadline),
        };
        let is_other = !tried.contains(&picked.server);
        if !is_other || !state.retry.decide_hedge(now, sent, &attempt) {
            state.pool.cancel(now, picked, &mut state.wallet);
            return None;
        }
        state.occupied_slots += 1;
        Some(self.new_permit(picked))
    }

    /// Returns the numbers of waiting short and long requests.
    pub fn waiting(&self) -> [usize; 2] {
        let state = self.lock();
        WorkClass::ALL.map(|class| state.queue.len(class))
    }

    /// Number of slots occupied by requests of this entry.
    pub fn occupied_slots(&self) -> usize {
        self.lock().occupied_slots
    }

    /// Limits on the messages and bytes spent on measuring and credits.
    pub fn measure_limits(&self) -> MeasureLimits {
        measure_limits(&self.lock().settings)
    }

    /// Messages and bytes spent on measuring and credits so far.
    pub fn measure_counters(&self) -> MeasureCounters {
        self.lock().measure.counters()
    }

    /// Whether slots are assigned by this entry's local count, because it has no valid credit
    /// lease.
    pub fn uses_local_count(&self) -> bool {
        self.lock().wallet.is_in_fallback()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, RuntimeState> {
        self.state.lock().expect("service runtime lock is not poisoned")
    }

    fn send_to_holder(&self, message: Option<EntryMessage>) {
        if let Some(message) = message {
            (self.outbox)(&self.key, message);
        }
    }
}

enum StartOutcome {
    Started(SlotPermit),
    Queued(Receiver<SlotPermit>),
}
