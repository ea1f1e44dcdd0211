//! What an entry was lent, and its asks for more.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{AskKind, AskNumber, EntryIncarnation, MAX_ROWS, QuotaAsk, QuotaGrant};
use super::pending_ask::PendingAsk;
use super::tenant_purse::TenantPurse;
use super::{BootTime, RENEWAL_INTERVAL};
use crate::ids::{ProcessName, TenantName};

/// Time without an answer after which requests do not wait for one any more: two asks.
const HOLDER_PATIENCE: Duration = Duration::from_millis(400);

/// Minimum time between two asks that carry only renewals, so that those of all tenants travel together.
const MIN_RENEWAL_GAP: Duration = Duration::from_millis(200);

/// Maximum number of tenants with a purse; a document names fewer.
const MAX_TENANTS: usize = 65_536;

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TakeOutcome {
    Taken,
    /// The request waits for the answer to an ask.
    Waits,
    /// The limit is used up; a token can be expected after this time.
    Refused(Duration),
    /// The holder does not answer, so nobody knows whether the limit is used up.
    Unknown,
}

/// What this entry knows about a tenant's account, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownAccount<'a> {
    /// Member that answered last.
    pub holder: &'a str,
    /// Time since that answer.
    pub age: Option<Duration>,
    /// Standing rate in requests per second.
    pub rate: f64,
}

/// What an entry was lent.
#[derive(Debug, Clone)]
pub struct QuotaPurse {
    entry: EntryIncarnation,
    tenants: BTreeMap<TenantName, TenantPurse>,
    last_number: AskNumber,
    pending: Option<PendingAsk>,
    last_ask_at: BootTime,
    /// When the first ask without an answer was sent.
    silent_since: Option<BootTime>,
    holder: ProcessName,
}

impl QuotaPurse {
    /// Creates the empty purse of a process that started at `started`.
    pub fn new(name: ProcessName, started: BootTime) -> Self {
        let started = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        Self {
            entry: EntryIncarnation(name, started),
            tenants: BTreeMap::new(),
            last_number: 0,
            pending: None,
            last_ask_at: BootTime::ZERO,
            silent_since: None,
            holder: "-".into(),
        }
    }

    /// Takes a token for a new request. `limit` is the tenant's limit in requests per second.
    pub fn take(&mut self, now: BootTime, tenant: &TenantName, limit: f64) -> TakeOutcome {
        if !self.tenants.contains_key(tenant) {
            if self.tenants.len() >= MAX_TENANTS {
                return TakeOutcome::Unknown;
            }
            self.tenants.insert(tenant.clone(), TenantPurse::default());
        }
        let is_silent = self.is_silent(now);
        let Some(purse) = self.tenants.get_mut(tenant) else { return TakeOutcome::Unknown };
        purse.accrue(now, limit);
        purse.demand.record(now);
        if purse.waiting == 0 && purse.take() {
            return TakeOutcome::Taken;
        }
        if purse.is_used_up(now) {
            return TakeOutcome::Refused(purse.refuse(now));
        }
        if is_silent {
            purse.wants_answer = true;
            return TakeOutcome::Unknown;
        }
        purse.waiting += 1;
        TakeOutcome::Waits
    }

    /// Tries again for a request that waits. Any outcome but [`TakeOutcome::Waits`] ends the wait.
    pub fn take_waiting(&mut self, now: BootTime, tenant: &TenantName, limit: f64) -> TakeOutcome {
        let is_silent = self.is_silent(now);
        let Some(purse) = self.tenants.get_mut(tenant) else { return TakeOutcome::Unknown };
        purse.accrue(now, limit);
        if purse.reserved > 0 {
            purse.reserved -= 1;
            purse.waiting -= 1;
            return TakeOutcome::Taken;
        }
        if purse.take() {
            purse.waiting -= 1;
            return TakeOutcome::Taken;
        }
        if purse.is_used_up(now) {
            purse.waiting -= 1;
            return TakeOutcome::Refused(purse.refuse(now));
        }
        if is_silent {
            purse.waiting -= 1;
            return TakeOutcome::Unknown;
        }
        TakeOutcome::Waits
    }

    /// Ends the wait of a request that is given up.
    pub fn stop_waiting(&mut self, tenant: &TenantName) {
        let Some(purse) = self.tenants.get_mut(tenant) else { return };
        purse.waiting = purse.waiting.saturating_sub(1);
        purse.reserved = purse.reserved.min(purse.waiting);
    }

    /// Takes back the token of a request of which nothing was sent.
    pub fn give_back(&mut self, now: BootTime, tenant: &TenantName, limit: f64) {
        let Some(purse) = self.tenants.get_mut(tenant) else { return };
        purse.accrue(now, limit);
        purse.give_back();
    }

    /// Installs the answer to the pending ask; all others are too old.
    pub fn on_grant(&mut self, now: BootTime, grant: QuotaGrant) {
        let Some(ask) = PendingAsk::take_answered(&mut self.pending, now, &grant) else { return };
        self.silent_since = None;
        for row in &grant.rows {
            let Some(purse) = self.tenants.get_mut(&row.tenant) else { continue };
            purse.accrue(now, f64::INFINITY);
            if grant.is_stock {
                purse.install_stock(now, row);
            } else {
                purse.install(now, ask.sent_at, row);
            }
        }
        self.holder = grant.holder;
    }

    /// Builds the next ask if one is due.
    pub fn next_ask(&mut self, now: BootTime) -> Option<QuotaAsk> {
        if self.next_ask_at(now).is_none_or(|due| now < due) {
            return None;
        }
        self.tenants.retain(|_, purse| !purse.is_idle(now));
        let mut rows = Vec::new();
        for (tenant, purse) in &mut self.tenants {
            // A lease that is due soon travels along.
            let renews = purse.lease.rate > 0.0 && now >= purse.asked_at + RENEWAL_INTERVAL / 2;
            let wants = purse.needs_answer() && now >= purse.asks_from;
            if (renews || wants) && rows.len() < MAX_ROWS {
                purse.accrue(now, f64::INFINITY);
                rows.push(purse.ask(now, tenant));
            }
        }
        if !self.has_asked_lately(now) {
            self.silent_since = None;
        }
        let is_repeated = self.silent_since.is_some();
        let kind = if is_repeated { AskKind::Repeated } else { AskKind::First };
        self.last_number += 1;
        self.last_ask_at = now;
        self.pending = Some(PendingAsk { number: self.last_number, sent_at: now });
        self.silent_since.get_or_insert(now);
        Some(QuotaAsk { entry: self.entry.clone(), number: self.last_number, rows, kind })
    }

    /// Time at which an ask is due; `None` while nothing is needed.
    pub fn next_ask_at(&self, now: BootTime) -> Option<BootTime> {
        let mut due: Option<BootTime> = None;
        for purse in self.tenants.values() {
            let wanted_at = purse.needs_answer().then_some(purse.asks_from);
            let renewal_at = (purse.lease.rate > 0.0).then(|| {
                (purse.asked_at + RENEWAL_INTERVAL).max(self.last_ask_at + MIN_RENEWAL_GAP)
            });
            for at in [wanted_at, renewal_at].into_iter().flatten() {
                due = Some(due.map_or(at, |due| due.min(at)));
            }
        }
        let free_at = self.pending.map_or(now, |ask| ask.ends_at());
        due.map(|due| due.max(free_at))
    }

    /// Whether the last ask was not answered in time.
    pub fn is_unanswered(&self, now: BootTime) -> bool {
        self.pending.is_some_and(|ask| now >= ask.ends_at())
    }

    /// What is known about a tenant's account.
    pub fn known_account(&self, now: BootTime, tenant: &TenantName) -> KnownAccount<'_> {
        let purse = self.tenants.get(tenant);
        let granted_at = purse.and_then(|purse| purse.granted_at);
        let age = granted_at.map(|granted_at| now.saturating_sub(granted_at));
        let rate = purse.map_or(0.0, |purse| purse.lease.rate);
        KnownAccount { holder: &self.holder, age, rate }
    }

    /// Number of leases with a standing rate.
    pub fn lease_count(&self) -> usize {
        self.tenants.values().filter(|purse| purse.lease.rate > 0.0).count()
    }

    /// Forgets tenants that are no longer in the document.
    pub fn retain(&mut self, is_limited: impl Fn(&TenantName) -> bool) {
        self.tenants.retain(|tenant, purse| purse.waiting > 0 || is_limited(tenant));
    }

    /// Whether the last asks had no answer. What was found out earlier does not count.
    fn is_silent(&self, now: BootTime) -> bool {
        let is_unanswered = self.silent_since.is_some_and(|since| now >= since + HOLDER_PATIENCE);
        is_unanswered && self.has_asked_lately(now)
    }

    fn has_asked_lately(&self, now: BootTime) -> bool {
        now < self.last_ask_at + RENEWAL_INTERVAL
    }
}
