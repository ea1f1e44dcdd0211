//! Running state of one service on one entry: servers, credits and waiting requests.

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
    AdmissionQueue, AdmissionRefusal, FailedAttempt, MeasureBudget, MeasureCounters, MeasureLimits,
    PickOutcome, PickedServer, RetryBudget, RetryDecision, ServerPool,
};
use crate::settings::{SelectionPolicy, ServiceSettings};

/// Where messages to the account holder go.
pub type CreditOutbox = Box<dyn Fn(&ServiceKey, EntryMessage) + Send + Sync>;

/// Who this entry is and where its messages go.
pub struct RuntimeIdentity {
    /// Name of the entry.
    pub name: ProcessName,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Seed of random choices.
    pub seed: u64,
    /// Receives messages to the account holder.
    pub outbox: CreditOutbox,
}

/// Servers, credits and queues of one service.
pub struct ServiceRuntime {
    key: ServiceKey,
    outbox: CreditOutbox,
    state: Mutex<RuntimeState>,
}

impl ServiceRuntime {
    /// Creates the state of a service without servers.
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
            open: 0,
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
            StartOutcome::Started(permit) => return Ok(permit),
            StartOutcome::Queued(receiver) => receiver,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let mut wait = QueuedWait { runtime: self, class, receiver, is_over: false };
        let result = with_timeout(left, wait.receiver.recv()).await;
        wait.is_over = result.is_ok();
        match result {
            Ok(Ok(permit)) => Ok(permit),
            // The queue dropped the ticket: its deadline can no longer be met, or no server is left.
            Ok(Err(_)) if self.lock().usable_servers() == 0 => Err(FailureReason::NoServer),
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
                    state.open += 1;
                    return Ok(StartOutcome::Started(self.permit(picked)));
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
        self.send(message);
        Ok(StartOutcome::Queued(receiver))
    }

    fn permit(self: &Arc<Self>, picked: PickedServer) -> SlotPermit {
        let server = picked.server;
        SlotPermit { runtime: Arc::clone(self), picked: Some(picked), server }
    }

    pub(super) fn finish(self: &Arc<Self>, picked: PickedServer, failed: bool) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.open = state.open.saturating_sub(1);
        let elapsed = now.saturating_duration_since(picked.sent);
        state.queue.note_service(picked.class, elapsed);
        if !failed {
            state.retry.note_success(now, elapsed);
        }
        state.pool.finish(now, picked, failed, &mut state.wallet);
        self.grant_waiting(guard, now);
    }

    pub(super) fn finish_slow(self: &Arc<Self>, picked: PickedServer) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.open = state.open.saturating_sub(1);
        // Without this sample the quantile would shrink with each hedge.
        state.retry.note_slow(now.saturating_duration_since(picked.sent));
        state.pool.finish(now, picked, false, &mut state.wallet);
        self.grant_waiting(guard, now);
    }

    pub(super) fn cancel(self: &Arc<Self>, picked: PickedServer) {
        let now = Instant::now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.open = state.open.saturating_sub(1);
        state.pool.cancel(now, picked, &mut state.wallet);
        self.grant_waiting(guard, now);
    }

    /// Gives free slots to waiting requests, short work first.
    fn grant_waiting(self: &Arc<Self>, mut guard: MutexGuard<'_, RuntimeState>, now: Instant) {
        let mut used = Vec::new();
        for class in WorkClass::ALL {
            while guard.queue.len(class) > 0 {
                if !self.grant_one(&mut guard, class, now, &mut used) {
                    break;
                }
            }
        }
        drop(guard);
        // Dropping the tickets wakes expired requests; this happens outside the lock.
        drop(used);
    }

    fn grant_one(
        self: &Arc<Self>,
        state: &mut RuntimeState,
        class: WorkClass,
        now: Instant,
        used: &mut Vec<QueueTicket>,
    ) -> bool {
        let PickOutcome::Start(picked) = state.pool.pick(now, class, &[], &mut state.wallet) else {
            return false;
        };
        let Some(ticket) = state.queue.take(now, class, used) else {
            state.pool.cancel(now, picked, &mut state.wallet);
            return false;
        };
        let picked = state.respect_exclusions(now, picked, &ticket.excluded);
        state.open += 1;
        if let Err(refused) = ticket.grant.try_send(self.permit(picked)) {
            // The request gave up meanwhile. The permit must not be dropped here, because its drop
            // takes the lock again.
            let mut permit = refused.into_inner();
            if let Some(picked) = permit.picked.take() {
                state.open = state.open.saturating_sub(1);
                state.pool.cancel(now, picked, &mut state.wallet);
            }
        }
        // When the request gives up now, the ticket is the last owner of the permit, so it must not
        // be dropped under the lock either.
        used.push(ticket);
        true
    }

    /// Takes over new settings.
    pub fn change_settings(self: &Arc<Self>, settings: Arc<ServiceSettings>) {
        let now = Instant::now();
        let mut guard = self.lock();
        if *guard.settings == *settings {
            return;
        }
        let resumes = guard.settings.policy != SelectionPolicy::Credits
            && settings.policy == SelectionPolicy::Credits;
        guard.replace_settings(now, settings);
        let message = guard.announce_servers(now);
        let report = if resumes { guard.resume_credits(now) } else { None };
        self.grant_waiting(guard, now);
        self.send(message);
        self.send(report);
    }

    /// Takes over a server's announcement or a change of its life-cycle state.
    pub fn change_server(
        self: &Arc<Self>,
        now: Instant,
        announcement: &ServerAnnouncement,
        life: LifeState,
    ) {
        let mut guard = self.lock();
        guard.change_view(now, announcement, life);
        let message = guard.announce_servers(now);
        // Waiting requests learn at once that there is no server left.
        let unserved = (guard.usable_servers() == 0).then(|| guard.drain_queue());
        self.grant_waiting(guard, now);
        drop(unserved);
        self.send(message);
    }

    /// Takes over a server's own load report.
    pub fn note_report(&self, announcement: &ServerAnnouncement) {
        let load = announcement.load.saturating_mul(announcement.slots) / 1000;
        self.lock().pool.note_report(server_key(&announcement.server), load);
    }

    /// Takes over a new list of live entries and the link state of the account holder.
    pub fn change_holder(
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
        messages.extend(guard.announce_servers(now));
        self.grant_waiting(guard, now);
        for message in messages {
            self.send(Some(message));
        }
    }

    /// Notes that grants of the account holder can no longer arrive.
    pub fn lose_holder(self: &Arc<Self>) {
        let now = Instant::now();
        let mut guard = self.lock();
        guard.wallet.handle(now, WalletEvent::HolderUnreachable);
        if let Some((_, _, reachable)) = &mut guard.holder {
            *reachable = false;
        }
        self.grant_waiting(guard, now);
    }

    /// Takes over a message of the account holder.
    pub fn receive(self: &Arc<Self>, message: HolderMessage) {
        let now = Instant::now();
        let mut guard = self.lock();
        let reply = guard.wallet.handle(now, WalletEvent::Message(message));
        self.grant_waiting(guard, now);
        self.send(reply);
    }

    /// Lets time pass; due every few milliseconds.
    pub fn tick(self: &Arc<Self>, now: Instant) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut expired = Vec::new();
        state.queue.expire(now, &mut expired);
        if let Some(avoided) = state.pool.tick(now) {
            let event = WalletEvent::AvoidedChanged(avoided.to_vec());
            state.wallet.handle(now, event);
        }
        if let Some(suspects) = state.pool.changed_suspects(now) {
            let event = WalletEvent::SuspectsChanged(suspects.to_vec());
            state.wallet.handle(now, event);
        }
        let message = state.tick_wallet(now);
        self.grant_waiting(guard, now);
        drop(expired);
        self.send(message);
    }

    /// Brings the slots in effect up to date while a server is in slow start.
    pub fn refresh_slots(self: &Arc<Self>, now: Instant) {
        let mut guard = self.lock();
        if !guard.servers.values().any(|view| view.ready_since.is_some()) {
            return;
        }
        let message = guard.announce_servers(now);
        self.grant_waiting(guard, now);
        self.send(message);
    }

    /// Returns a server with this entry's share of its connections.
    pub fn target(&self, server: ServerKey) -> Option<(ServerView, usize)> {
        let state = self.lock();
        let view = state.servers.get(&server)?.clone();
        let share = state.connection_share(&view);
        Some((view, share))
    }

    /// Connections to have for each server that may receive new work.
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

    /// Servers with the slots in effect now, for the account holder.
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

    /// Servers as announced.
    pub fn servers(&self) -> Vec<ServerView> {
        self.lock().servers.values().cloned().collect()
    }

    /// Decides on another attempt after a failed one; returns the wait before it.
    pub fn decide_retry(
        &self,
        tried: &[ServerKey],
        deadline: Instant,
        has_outer_retry: bool,
    ) -> Option<Duration> {
        let attempt = FailedAttempt {
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

    /// Age at which a request may be hedged; `None` when the settings exclude it or too few
    /// latencies are known.
    pub fn hedge_after(&self) -> Option<Duration> {
        let state = self.lock();
        state.settings.retry.hedge_quantile?;
        state.retry.hedge_after()
    }

    /// Takes a free slot of another server for a hedge and pays for it from the retry budget.
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
        let attempt = FailedAttempt {
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
        state.open += 1;
        Some(self.permit(picked))
    }

    /// Number of waiting requests, short and long.
    pub fn waiting(&self) -> [usize; 2] {
        let state = self.lock();
        WorkClass::ALL.map(|class| state.queue.len(class))
    }

    /// Requests that occupy a slot.
    pub fn open(&self) -> usize {
        self.lock().open
    }

    /// Limits of what measuring and credits may cost.
    pub fn measure_limits(&self) -> MeasureLimits {
        measure_limits(&self.lock().settings)
    }

    /// What measuring and credits have cost so far.
    pub fn measure_counters(&self) -> MeasureCounters {
        self.lock().measure.counters()
    }

    /// Whether slots are chosen by the entry's own count, because there is no credit lease.
    pub fn is_own_count(&self) -> bool {
        self.lock().wallet.is_own_count()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, RuntimeState> {
        self.state.lock().expect("no holder of the runtime lock panics")
    }

    fn send(&self, message: Option<EntryMessage>) {
        if let Some(message) = message {
            (self.outbox)(&self.key, message);
        }
    }
}

enum StartOutcome {
    Started(SlotPermit),
    Queued(Receiver<SlotPermit>),
}
