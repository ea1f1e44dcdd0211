//! Credits of one service held by one entry.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

pub use super::wallet_settings::WalletSettings;
use super::wallet_state::{ServerCredits, WalletMode};
use super::{
    AnswerVerdict, CREDIT_LEASE, CreditLine, EntryMessage, HolderMessage, RecallLine, ServerKey,
    SuspectLine, WorkClass, fallback_share,
};
use crate::ids::{EpochNumber, ProcessName, ZoneName};

/// With a new link to the holder, work waits this long for credits before own counting starts.
const OWN_COUNT_DELAY: Duration = Duration::from_millis(250);

/// A server as this entry sees it.
#[derive(Clone, Debug)]
pub struct WalletServer {
    pub server: ServerKey,
    pub zone: ZoneName,
    pub slots: u32,
    /// A draining server gets no new work, also with a credit.
    pub draining: bool,
}

/// Input of the wallet besides requests.
#[derive(Clone, Debug)]
pub enum WalletEvent {
    ServersChanged(Vec<WalletServer>),
    /// The live entry list or the holder changed, or the link to the holder opened again.
    HolderChanged {
        epoch: EpochNumber,
        live: Vec<ProcessName>,
    },
    /// The link to the holder closed; grants of that link no longer arrive.
    HolderUnreachable,
    Message(HolderMessage),
    /// Ejected servers; their credits go back and they get no work from this entry.
    AvoidedChanged(Vec<ServerKey>),
    /// Servers whose answers look bad here; passed on to the holder.
    SuspectsChanged(Vec<SuspectLine>),
    /// Comes about every millisecond while the service has traffic, and when work starts to
    /// wait; carries the waiting work.
    Tick([WaitingWork; 2]),
}

/// Waiting work of one class, in the order of `WorkClass::ALL`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingWork {
    pub count: u32,
    pub oldest: Option<Instant>,
    /// Latest deadline, if all of the work has one.
    pub deadline: Option<Instant>,
}

/// Right to occupy one slot of a server; must go back to the wallet by `release`.
#[derive(Debug, PartialEq, Eq)]
pub struct HeldCredit {
    pub server: ServerKey,
    class: WorkClass,
}

/// Decides whether a request may start now and on which server.
///
/// `acquire` and `release` scan the servers of the service and allocate nothing. After `release`
/// and after every `handle`, the caller offers its queued work to `acquire` until it returns
/// `None`, and passes what still waits with the next tick.
///
/// Bound without an account: the shares of all entries with the same live list and server limits
/// add up to exactly the slots. While entries disagree on the list, a server can receive up to
/// one share more for each entry that disagrees. Work already running when the lease ends stays
/// on top of that until it finishes.
#[derive(Debug)]
pub struct CreditWallet {
    pub(super) name: ProcessName,
    pub(super) zone: ZoneName,
    pub(super) settings: WalletSettings,
    pub(super) mode: WalletMode,
    pub(super) epoch: EpochNumber,
    pub(super) live: Vec<ProcessName>,
    pub(super) is_linked: bool,
    pub(super) session: u64,
    pub(super) has_session: bool,
    pub(super) sequence: u64,
    pub(super) sent_times: VecDeque<(u64, Instant)>,
    pub(super) lease_end: Instant,
    pub(super) servers: Vec<ServerCredits>,
    pub(super) received: u64,
    pub(super) started: u32,
    pub(super) started_by_count: bool,
    pub(super) own_count_from: Instant,
    pub(super) keep: u32,
    pub(super) is_scarce: bool,
    pub(super) idle_total: u32,
    pub(super) lowest_idle: u32,
    pub(super) lowest_since: Instant,
    pub(super) owed_any: u32,
    pub(super) owed_until: Instant,
    pub(super) last_sent: Option<Instant>,
    pub(super) active_at: Instant,
    pub(super) last_demand: [u32; 2],
    /// Long work that waited at the last tick, less what has started since.
    pub(super) waiting_long: u32,
    pub(super) has_returns: bool,
    pub(super) suspects: Vec<SuspectLine>,
    /// A suspicion is new or has grown since the last message.
    pub(super) has_news: bool,
}

impl CreditWallet {
    pub fn new(now: Instant, name: ProcessName, zone: ZoneName, settings: WalletSettings) -> Self {
        Self {
            name,
            zone,
            settings,
            mode: WalletMode::OwnCount,
            epoch: 0,
            live: Vec::new(),
            is_linked: false,
            session: 0,
            has_session: false,
            sequence: 0,
            sent_times: VecDeque::new(),
            lease_end: now,
            servers: Vec::new(),
            received: 0,
            started: 0,
            started_by_count: false,
            own_count_from: now,
            keep: 0,
            is_scarce: false,
            idle_total: 0,
            lowest_idle: 0,
            lowest_since: now,
            owed_any: 0,
            owed_until: now,
            last_sent: None,
            active_at: now,
            last_demand: [0; 2],
            waiting_long: 0,
            has_returns: false,
            suspects: Vec::new(),
            has_news: false,
        }
    }

    /// Takes a slot for a request that may start now; `None` means that it has to wait.
    ///
    /// Excluded servers are used only when no other server has a slot; avoided servers never, and
    /// servers that just failed not until their pause ends.
    pub fn acquire(
        &mut self,
        now: Instant,
        class: WorkClass,
        excluded: &[ServerKey],
    ) -> Option<HeldCredit> {
        self.check_lease(now);
        if self.mode == WalletMode::OwnCount && now < self.own_count_from {
            return None;
        }
        let mut best = None;
        for (position, server) in self.servers.iter().enumerate() {
            let free = server.free(self.mode, class, self.waiting_long > 0);
            if free == 0 || server.is_closed() || server.is_paused(now) {
                continue;
            }
            let is_excluded = excluded.contains(&server.server);
            // Answers on probe credits decide when a server returns for all entries.
            let rank = (!is_excluded, server.probes > 0, server.is_local, free);
            if best.is_none_or(|(first, _)| rank > first) {
                best = Some((rank, position));
            }
        }
        let (_, position) = best?;
        Some(self.start(position, class))
    }

    /// Gives a slot back whose request says nothing about the server.
    pub fn release(&mut self, now: Instant, credit: HeldCredit) {
        self.settle(now, credit, None);
    }

    /// Gives the slot of an answered request back.
    pub fn finish(&mut self, now: Instant, credit: HeldCredit, verdict: AnswerVerdict) {
        self.settle(now, credit, Some(verdict));
    }

    fn settle(&mut self, now: Instant, credit: HeldCredit, verdict: Option<AnswerVerdict>) {
        self.check_lease(now);
        let class = credit.class.index();
        let Ok(position) = self.position(credit.server) else {
            return;
        };
        let server = &mut self.servers[position];
        server.in_use[class] = server.in_use[class].saturating_sub(1);
        server.note_pause(now, verdict);
        if self.mode == WalletMode::OwnCount {
            // A report on the way counts this request; the return corrects it after the answer.
            server.returning[class] += u32::from(self.has_session);
            self.has_returns |= self.has_session;
            return;
        }
        let goes_back = server.note_outcome(verdict);
        // The holder grants it to the oldest waiting work of all entries. The way there and back
        // is short beside the time for which long work holds a slot.
        let goes_back = goes_back || credit.class == WorkClass::Long;
        let is_owed = server.owed > 0 || server.is_closed() || goes_back;
        let is_owed_any = self.owed_any > 0 && now < self.owed_until;
        if is_owed || is_owed_any {
            server.owed = server.owed.saturating_sub(1);
            self.owed_any -= u32::from(!is_owed);
            server.returning[class] += 1;
            self.has_returns = true;
            return;
        }
        server.idle[class] += 1;
        self.idle_total += 1;
    }

    /// Takes one event and returns at most one message to the holder.
    pub fn handle(&mut self, now: Instant, event: WalletEvent) -> Option<EntryMessage> {
        self.check_lease(now);
        match event {
            WalletEvent::ServersChanged(servers) => self.change_servers(&servers),
            WalletEvent::HolderChanged { epoch, live } => {
                return self.change_holder(now, epoch, live);
            }
            WalletEvent::HolderUnreachable => {
                self.is_linked = false;
                self.own_count_from = now;
            }
            WalletEvent::Message(message) => return self.receive(now, message),
            WalletEvent::AvoidedChanged(avoided) => self.change_avoided(&avoided),
            WalletEvent::SuspectsChanged(suspects) => self.change_suspects(suspects),
            WalletEvent::Tick(waiting) => return self.tick(now, waiting),
        }
        None
    }

    /// Whether the entry starts work by its own count because it has no lease.
    pub fn is_own_count(&self) -> bool {
        self.mode == WalletMode::OwnCount
    }

    pub fn idle(&self) -> u32 {
        self.idle_total
    }

    /// Requests of this entry running on a server.
    pub fn in_use(&self, server: ServerKey) -> u32 {
        self.position(server).map_or(0, |position| self.servers[position].running())
    }

    /// Credits of a server held here: idle, in use, and returns not yet sent.
    pub fn held(&self, server: ServerKey) -> u32 {
        let Ok(position) = self.position(server) else {
            return 0;
        };
        let server = &self.servers[position];
        server.running() + server.idle.iter().sum::<u32>() + server.returning.iter().sum::<u32>()
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
            // A credit for long work also carries short work, never the other way round.
            if server.idle[class.index()] == 0 {
                used = WorkClass::Long;
            }
            server.idle[used.index()] -= 1;
            self.idle_total -= 1;
            self.lowest_idle = self.lowest_idle.min(self.idle_total);
        } else {
            self.started_by_count = true;
        }
        server.in_use[used.index()] += 1;
        HeldCredit { server: server.server, class: used }
    }

    /// Without a lease idle credits are void, and work starts by the entry's own count.
    fn check_lease(&mut self, now: Instant) {
        if self.mode == WalletMode::OwnCount || now < self.lease_end {
            return;
        }
        self.mode = WalletMode::OwnCount;
        self.has_session = false;
        self.drop_idle();
    }

    fn drop_idle(&mut self) {
        for server in &mut self.servers {
            server.idle = [0; 2];
            server.returning = [0; 2];
            server.owed = 0;
            (server.probes, server.outcome) = (0, None);
        }
        self.idle_total = 0;
        self.lowest_idle = 0;
        self.owed_any = 0;
        self.has_returns = false;
    }

    fn change_servers(&mut self, servers: &[WalletServer]) {
        for credits in &mut self.servers {
            credits.draining = true;
            credits.slots = 0;
        }
        for server in servers {
            let is_local = server.zone == self.zone;
            let position = self.ensure(server.server);
            let credits = &mut self.servers[position];
            credits.is_local = is_local;
            credits.draining = server.draining;
            credits.slots = server.slots;
        }
        for credits in self.servers.iter_mut().filter(|credits| credits.draining) {
            let count = credits.return_idle(u32::MAX);
            self.idle_total -= count;
            self.has_returns |= count > 0;
        }
        self.lowest_idle = self.lowest_idle.min(self.idle_total);
        self.servers.retain(|credits| credits.slots > 0 || !credits.is_empty());
        self.change_shares();
    }

    fn ensure(&mut self, server: ServerKey) -> usize {
        let position = match self.position(server) {
            Ok(position) => return position,
            Err(position) => position,
        };
        self.servers.insert(position, ServerCredits::new(server));
        position
    }

    fn change_shares(&mut self) {
        for credits in &mut self.servers {
            let live = self.live.iter();
            credits.share = fallback_share(credits.server, credits.slots, &self.name, live);
        }
    }

    fn change_avoided(&mut self, avoided: &[ServerKey]) {
        for credits in &mut self.servers {
            credits.avoided = avoided.contains(&credits.server);
            if credits.avoided && self.mode == WalletMode::Credits {
                self.idle_total -= credits.return_idle(u32::MAX);
                self.has_returns = true;
            }
        }
        self.lowest_idle = self.lowest_idle.min(self.idle_total);
    }

    fn change_suspects(&mut self, suspects: Vec<SuspectLine>) {
        for line in &suspects {
            let before = self.suspects.iter().find(|other| other.server == line.server);
            self.has_news |= before.is_none_or(|before| before.strength < line.strength);
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
        if !self.is_linked {
            // The others may hold credits for all slots, so own counting waits for the answer.
            self.own_count_from = now + OWN_COUNT_DELAY;
        }
        self.is_linked = true;
        self.change_shares();
        Some(self.report(now))
    }

    fn receive(&mut self, now: Instant, message: HolderMessage) -> Option<EntryMessage> {
        if message.epoch != self.epoch || message.session != self.session || !self.has_session {
            return None;
        }
        self.renew_lease(message.acknowledged, message.lease);
        if now >= self.lease_end {
            return None;
        }
        self.mode = WalletMode::Credits;
        if self.started_by_count {
            // Work started by own count after the report is not on the books yet.
            return Some(self.report(now));
        }
        self.keep = message.keep;
        self.is_scarce = message.is_scarce;
        // Recalls first: credits of the same message are meant for this entry's own work.
        for line in &message.recalls {
            self.give_back(now, *line);
        }
        for line in &message.grants {
            self.accept(*line, message.probes.contains(&line.server));
        }
        // Others wait for what was recalled, so it does not stay until the next tick.
        let is_awaited = self.has_returns && !message.recalls.is_empty();
        is_awaited.then(|| self.return_message(now))
    }

    fn renew_lease(&mut self, acknowledged: u64, lease: Duration) {
        while let Some(&(sequence, sent)) = self.sent_times.front() {
            if sequence > acknowledged {
                break;
            }
            if sequence == acknowledged {
                self.lease_end = self.lease_end.max(sent + lease.min(CREDIT_LEASE));
                break;
            }
            self.sent_times.pop_front();
        }
    }

    fn accept(&mut self, line: CreditLine, is_probe: bool) {
        self.received += u64::from(line.count);
        let position = self.ensure(line.server);
        let server = &mut self.servers[position];
        server.idle[line.class.index()] += line.count;
        server.probes += if is_probe { line.count } else { 0 };
        self.idle_total += line.count;
        let demand = &mut self.last_demand[line.class.index()];
        *demand = demand.saturating_sub(line.count);
        if server.is_closed() || server.slots == 0 {
            self.idle_total -= server.return_idle(u32::MAX);
            self.has_returns = true;
        }
    }

    /// Returns idle credits at once and remembers the rest for requests that finish.
    fn give_back(&mut self, now: Instant, line: RecallLine) {
        /// A recall that found too few credits is void after this time; the holder repeats it.
        const RECALL_MEMORY: Duration = Duration::from_millis(10);
        let mut left = line.count;
        for credits in &mut self.servers {
            if line.server.is_some_and(|server| server != credits.server) {
                continue;
            }
            let count = credits.return_idle(left);
            self.idle_total -= count;
            left -= count;
            if line.server.is_some() {
                credits.owed = left.min(credits.running());
            }
        }
        self.has_returns |= left < line.count;
        self.lowest_idle = self.lowest_idle.min(self.idle_total);
        if line.server.is_none() {
            self.owed_any = left;
            self.owed_until = now + RECALL_MEMORY;
        }
    }
}
