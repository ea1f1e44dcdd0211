//! Wallet of one entry: the credits of one service that the entry holds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub use super::wallet_settings::WalletSettings;
use super::wallet_state::{ServerCredits, WalletMode};
use super::{
    CREDIT_LEASE, CreditCount, CreditRecall, EntryMessage, HolderMessage, ResponseVerdict,
    ServerKey, SuspectServer, WorkClass, fallback_share,
};
use crate::ids::{EpochNumber, ProcessName, ZoneName};

/// After a link to the holder opens, work waits this long for credits before it may start in
/// fallback mode.
const FALLBACK_DELAY: Duration = Duration::from_millis(250);

/// A server as known to this entry.
#[derive(Clone, Debug)]
pub struct WalletServer {
    pub server: ServerKey,
    pub zone: ZoneName,
    pub slots: u32,
    /// A draining server gets no new work, even if the entry holds a credit for it.
    pub draining: bool,
}

/// Input of the wallet, apart from `acquire`, `release` and `finish`.
#[derive(Clone, Debug)]
pub enum WalletEvent {
    ServersChanged(Vec<WalletServer>),
    /// The list of live entries or the holder changed, or the link to the holder opened again.
    HolderChanged {
        epoch: EpochNumber,
        live: Vec<ProcessName>,
    },
    /// The link to the holder closed. No more grants of that link will arrive.
    HolderUnreachable,
    Message(HolderMessage),
    /// The lease has run out, although the steady clock does not show it.
    LeaseExpired,
    /// All servers that this entry has ejected. Their credits are returned and they get no work.
    EjectedChanged(Vec<ServerKey>),
    /// All servers that this entry suspects, to be reported to the holder.
    SuspectsChanged(Vec<SuspectServer>),
    /// Sent about every millisecond while the service has traffic, and when work starts to wait.
    /// Carries the waiting work.
    Tick([WaitingWork; 2]),
}

/// Waiting work of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingWork {
    pub count: u32,
    pub oldest: Option<Instant>,
    /// Latest deadline of the waiting work, if all of it has one.
    pub deadline: Option<Instant>,
}

/// Credit in use by a request. Must be passed to `CreditWallet::finish` or `release`.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldCredit {
    pub server: ServerKey,
    class: WorkClass,
}

/// Decides whether a request may start now and on which server.
///
/// `acquire` and `release` scan the servers of the service without allocating. After `release` and
/// after every `handle`, the caller calls `acquire` for its queued work until it returns `None`,
/// and passes what still waits with the next tick.
///
/// Without a lease the wallet is in fallback mode: it starts work up to the entry's fixed share of
/// each server's slots. The shares of all entries with the same list of live entries and the same
/// server limits add up to exactly the slots. While the lists differ, a server can receive up to
/// one share more for each entry whose list differs. Work that was running when the lease expired
/// comes on top of that until it finishes.
#[derive(Debug)]
pub struct CreditWallet {
    pub(super) name: ProcessName,
    pub(super) zone: ZoneName,
    pub(super) settings: WalletSettings,
    pub(super) mode: WalletMode,
    pub(super) epoch: EpochNumber,
    pub(super) live: Vec<ProcessName>,
    pub(super) is_connected: bool,
    pub(super) session: u64,
    pub(super) has_session: bool,
    pub(super) sequence: u64,
    /// Sequences and times of sent messages. The lease runs from the time of the one acknowledged.
    pub(super) sent_times: VecDeque<(u64, Instant)>,
    pub(super) lease_expires_at: Instant,
    pub(super) servers: Vec<ServerCredits>,
    /// Credits received in this session.
    pub(super) received: u64,
    /// Requests started since the last message.
    pub(super) started: u32,
    /// Work was started in fallback mode since the last report.
    pub(super) started_in_fallback: bool,
    /// Time from which work may start in fallback mode.
    pub(super) fallback_from: Instant,
    /// Idle credits that may be kept, as set by the holder.
    pub(super) idle_allowance: u32,
    pub(super) is_scarce: bool,
    pub(super) idle_total: u32,
    /// Lowest number of idle credits since `min_idle_since`.
    pub(super) min_idle: u32,
    pub(super) min_idle_since: Instant,
    /// Unmet rest of a recall from any server, void after `recall_expires_at`.
    pub(super) recalled_from_any: u32,
    pub(super) recall_expires_at: Instant,
    pub(super) last_sent: Option<Instant>,
    pub(super) last_active_at: Instant,
    /// Waiting work as last sent to the holder, less the credits granted since.
    pub(super) last_sent_demand: [u32; 2],
    /// Long work that waited at the last tick, less the long work started since.
    pub(super) waiting_long: u32,
    pub(super) has_returns: bool,
    pub(super) suspects: Vec<SuspectServer>,
    /// A suspicion is new or stronger than in the last message.
    pub(super) has_new_suspicion: bool,
}

impl CreditWallet {
    pub fn new(now: Instant, name: ProcessName, zone: ZoneName, settings: WalletSettings) -> Self {
        Self {
            name,
            zone,
            settings,
            mode: WalletMode::Fallback,
            epoch: 0,
            live: Vec::new(),
            is_connected: false,
            session: 0,
            has_session: false,
            sequence: 0,
            sent_times: VecDeque::new(),
            lease_expires_at: now,
            servers: Vec::new(),
            received: 0,
            started: 0,
            started_in_fallback: false,
            fallback_from: now,
            idle_allowance: 0,
            is_scarce: false,
            idle_total: 0,
            min_idle: 0,
            min_idle_since: now,
            recalled_from_any: 0,
            recall_expires_at: now,
            last_sent: None,
            last_active_at: now,
            last_sent_demand: [0; 2],
            waiting_long: 0,
            has_returns: false,
            suspects: Vec::new(),
            has_new_suspicion: false,
        }
    }

    /// Takes a slot for a request that may start now, or returns `None` if it has to wait.
    ///
    /// Excluded servers are used only when no other server has a slot, ejected and draining servers
    /// never, and servers that failed a request not until their pause ends.
    pub fn acquire(
        &mut self,
        now: Instant,
        class: WorkClass,
        excluded: &[ServerKey],
    ) -> Option<HeldCredit> {
        self.check_lease(now);
        if self.mode == WalletMode::Fallback && now < self.fallback_from {
            return None;
        }
        let mut best = None;
        for (position, server) in self.servers.iter().enumerate() {
            let free = server.free_slots(self.mode, class, self.waiting_long > 0);
            if free == 0 || server.is_unavailable() || server.is_paused(now) {
                continue;
            }
            let is_excluded = excluded.contains(&server.server);
            // Probe credits come first: their responses decide when the server is unblocked for all
            // entries.
            let rank = (!is_excluded, server.probes > 0, server.is_local, free);
            if best.is_none_or(|(first, _)| rank > first) {
                best = Some((rank, position));
            }
        }
        let (_, position) = best?;
        Some(self.start(position, class))
    }

    /// Releases the slot of a request whose end says nothing about the server.
    pub fn release(&mut self, now: Instant, credit: HeldCredit) {
        self.release_credit(now, credit, None);
    }

    /// Releases the slot of a request that ended with a response or failed.
    pub fn finish(&mut self, now: Instant, credit: HeldCredit, verdict: ResponseVerdict) {
        self.release_credit(now, credit, Some(verdict));
    }

    fn release_credit(
        &mut self,
        now: Instant,
        credit: HeldCredit,
        verdict: Option<ResponseVerdict>,
    ) {
        self.check_lease(now);
        let class = credit.class.index();
        let Ok(position) = self.position(credit.server) else {
            return;
        };
        let server = &mut self.servers[position];
        server.in_use[class] = server.in_use[class].saturating_sub(1);
        server.update_pause(now, verdict);
        if self.mode == WalletMode::Fallback {
            // A report in transit counts this credit as in use; once the holder has replied, this
            // return corrects its count.
            server.pending_returns[class] += u32::from(self.has_session);
            self.has_returns |= self.has_session;
            return;
        }
        let must_return = server.record_outcome(verdict);
        // Credits for long work always go back, so that the holder can grant them to the oldest
        // waiting work of all entries. The round trip is short compared with the time for which long
        // work holds a slot.
        let must_return = must_return || credit.class == WorkClass::Long;
        let is_recalled = server.recalled > 0 || server.is_unavailable() || must_return;
        let is_recalled_from_any = self.recalled_from_any > 0 && now < self.recall_expires_at;
        if is_recalled || is_recalled_from_any {
            server.recalled = server.recalled.saturating_sub(1);
            self.recalled_from_any -= u32::from(!is_recalled);
            server.pending_returns[class] += 1;
            self.has_returns = true;
            return;
        }
        server.idle[class] += 1;
        self.idle_total += 1;
    }

    /// Processes one event and returns at most one message to the holder.
    pub fn handle(&mut self, now: Instant, event: WalletEvent) -> Option<EntryMessage> {
        self.check_lease(now);
        match event {
            WalletEvent::ServersChanged(servers) => self.change_servers(&servers),
            WalletEvent::HolderChanged { epoch, live } => {
                return self.change_holder(now, epoch, live);
            }
            WalletEvent::HolderUnreachable => {
                self.is_connected = false;
                self.fallback_from = now;
            }
            WalletEvent::Message(message) => return self.handle_message(now, message),
            WalletEvent::LeaseExpired => {
                self.lease_expires_at = now;
                self.sent_times.clear();
                self.check_lease(now);
            }
            WalletEvent::EjectedChanged(ejected) => self.change_ejected(&ejected),
            WalletEvent::SuspectsChanged(suspects) => self.change_suspects(suspects),
            WalletEvent::Tick(waiting) => return self.tick(now, waiting),
        }
        None
    }

    /// Whether the entry has no lease and therefore starts work within its fixed share.
    pub fn is_in_fallback(&self) -> bool {
        self.mode == WalletMode::Fallback
    }

    pub fn idle(&self) -> u32 {
        self.idle_total
    }

    /// Requests of this entry that are running on a server.
    pub fn in_use(&self, server: ServerKey) -> u32 {
        self.position(server).map_or(0, |position| self.servers[position].running())
    }

    /// Credits of a server that this entry holds: idle, in use, or to be returned with the next
    /// message.
    pub fn held(&self, server: ServerKey) -> u32 {
        let Ok(position) = self.position(server) else {
            return 0;
        };
        let server = &self.servers[position];
        server.running()
            + server.idle.iter().sum::<u32>()
            + server.pending_returns.iter().sum::<u32>()
    }

    fn position(&self, server: ServerKey) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&server, |credits| credits.server)
    }

    fn start(&mut self, position: usize, class: WorkClass) -> HeldCredit {
        let server = &mut self.servers[position];
        self.started = self.started.saturating_add(1);
        let is_long = class == WorkClass::Long;
        self.waiting_long = self.waiting_long.saturating_sub(u32::from(is_long));
        let mut used = class;
        if self.mode == WalletMode::Credits {
            // A credit for long work can also start short work, but not the reverse.
            if server.idle[class.index()] == 0 {
                used = WorkClass::Long;
            }
            server.idle[used.index()] -= 1;
            self.idle_total -= 1;
            self.min_idle = self.min_idle.min(self.idle_total);
        } else {
            self.started_in_fallback = true;
        }
        server.in_use[used.index()] += 1;
        HeldCredit { server: server.server, class: used }
    }

    /// Switches to fallback mode when the lease has expired, which voids all idle credits.
    fn check_lease(&mut self, now: Instant) {
        if self.mode == WalletMode::Fallback || now < self.lease_expires_at {
            return;
        }
        self.mode = WalletMode::Fallback;
        self.has_session = false;
        self.discard_credits();
    }

    fn discard_credits(&mut self) {
        for server in &mut self.servers {
            server.idle = [0; 2];
            server.pending_returns = [0; 2];
            server.recalled = 0;
            (server.probes, server.outcome) = (0, None);
        }
        self.idle_total = 0;
        self.min_idle = 0;
        self.recalled_from_any = 0;
        self.has_returns = false;
    }

    fn change_servers(&mut self, servers: &[WalletServer]) {
        for credits in &mut self.servers {
            credits.draining = true;
            credits.slots = 0;
        }
        for server in servers {
            let is_local = server.zone == self.zone;
            let position = self.find_or_insert(server.server);
            let credits = &mut self.servers[position];
            credits.is_local = is_local;
            credits.draining = server.draining;
            credits.slots = server.slots;
        }
        for credits in self.servers.iter_mut().filter(|credits| credits.slots == 0) {
            credits.forget_failures();
        }
        for credits in self.servers.iter_mut().filter(|credits| credits.draining) {
            let count = credits.return_idle(u32::MAX);
            self.idle_total -= count;
            self.has_returns |= count > 0;
        }
        self.min_idle = self.min_idle.min(self.idle_total);
        self.servers.retain(|credits| credits.slots > 0 || !credits.is_empty());
        self.update_shares();
    }

    fn find_or_insert(&mut self, server: ServerKey) -> usize {
        let position = match self.position(server) {
            Ok(position) => return position,
            Err(position) => position,
        };
        self.servers.insert(position, ServerCredits::new(server));
        position
    }

    fn update_shares(&mut self) {
        for credits in &mut self.servers {
            let live = self.live.iter();
            credits.share = fallback_share(credits.server, credits.slots, &self.name, live);
        }
    }

    fn change_ejected(&mut self, ejected: &[ServerKey]) {
        for credits in &mut self.servers {
            credits.is_ejected = ejected.contains(&credits.server);
            if credits.is_ejected && self.mode == WalletMode::Credits {
                self.idle_total -= credits.return_idle(u32::MAX);
                self.has_returns = true;
            }
        }
        self.min_idle = self.min_idle.min(self.idle_total);
    }

    fn change_suspects(&mut self, suspects: Vec<SuspectServer>) {
        for suspect in &suspects {
            let previous = self.suspects.iter().find(|other| other.server == suspect.server);
            self.has_new_suspicion |=
                previous.is_none_or(|previous| previous.strength < suspect.strength);
        }
        self.suspects = suspects;
    }

    fn change_holder(
        &mut self,
        now: Instant,
        epoch: EpochNumber,
        live: Vec<ProcessName>,
    ) -> Option<EntryMessage> {
        if epoch < self.epoch {
            return None;
        }
        self.epoch = epoch;
        self.live = live;
        if !self.is_connected {
            // Other entries may hold credits for all slots, so fallback mode waits for a reply.
            self.fallback_from = now + FALLBACK_DELAY;
        }
        self.is_connected = true;
        self.update_shares();
        Some(self.start_session(now))
    }

    fn handle_message(&mut self, now: Instant, message: HolderMessage) -> Option<EntryMessage> {
        if message.epoch != self.epoch || message.session != self.session || !self.has_session {
            return None;
        }
        self.renew_lease(message.acknowledged, message.lease);
        if now >= self.lease_expires_at {
            return None;
        }
        self.mode = WalletMode::Credits;
        if self.started_in_fallback {
            // The holder does not know of the work started in fallback mode since the report.
            return Some(self.start_session(now));
        }
        self.idle_allowance = message.idle_allowance;
        self.is_scarce = message.is_scarce;
        // Recalls come first, so that they do not take the credits granted in the same message.
        for recall in &message.recalls {
            self.handle_recall(now, *recall);
        }
        for grant in &message.grants {
            self.add_grant(*grant, message.probes.contains(&grant.server));
        }
        // Other entries wait for the recalled credits, so they are not kept until the next tick.
        let must_reply = self.has_returns && !message.recalls.is_empty();
        must_reply.then(|| self.return_message(now))
    }

    fn renew_lease(&mut self, acknowledged: u64, lease: Duration) {
        while let Some(&(sequence, sent)) = self.sent_times.front() {
            if sequence > acknowledged {
                break;
            }
            if sequence == acknowledged {
                self.lease_expires_at = self.lease_expires_at.max(sent + lease.min(CREDIT_LEASE));
                break;
            }
            self.sent_times.pop_front();
        }
    }

    fn add_grant(&mut self, grant: CreditCount, is_probe: bool) {
        self.received += u64::from(grant.count);
        let position = self.find_or_insert(grant.server);
        let server = &mut self.servers[position];
        server.idle[grant.class.index()] += grant.count;
        server.probes += if is_probe { grant.count } else { 0 };
        self.idle_total += grant.count;
        let demand = &mut self.last_sent_demand[grant.class.index()];
        *demand = demand.saturating_sub(grant.count);
        if server.is_unavailable() || server.slots == 0 {
            self.idle_total -= server.return_idle(u32::MAX);
            self.has_returns = true;
        }
    }

    /// Returns idle credits at once and remembers the rest of the recall for requests that finish.
    fn handle_recall(&mut self, now: Instant, recall: CreditRecall) {
        /// Time after which the unmet rest of a recall is void, because the holder repeats it.
        const RECALL_LIFETIME: Duration = Duration::from_millis(10);
        let mut left = recall.count;
        for credits in &mut self.servers {
            if recall.server.is_some_and(|server| server != credits.server) {
                continue;
            }
            let count = credits.return_idle(left);
            self.idle_total -= count;
            left -= count;
            if recall.server.is_some() {
                credits.recalled = left.min(credits.running());
            }
        }
        self.has_returns |= left < recall.count;
        self.min_idle = self.min_idle.min(self.idle_total);
        if recall.server.is_none() {
            self.recalled_from_any = left;
            self.recall_expires_at = now + RECALL_LIFETIME;
        }
    }
}
