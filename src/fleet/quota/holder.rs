//! Accounts of all tenants, held by the leader of the control members.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::account::{LoanTotals, QuotaAccount};
use super::message::{
    AskNumber, AskRow, EntryIncarnation, GrantRow, MAX_ROWS, QuotaAsk, QuotaGrant,
};
use super::{BootTime, LEASE_MARGIN, LEASE_TIME};
use crate::fleet::config::QuotaLimits;
use crate::fleet::tenant::TenantRule;
use crate::ids::{ProcessName, TenantName, TermNumber};

/// Age of the last contact with a quorum above which the holder lends nothing: another member may lead. It is
/// below the shortest time after which one can be elected in place of a leader that lives and accepts
/// connections (`docs/design/control-failover.md`).
const MAX_QUORUM_AGE: Duration = Duration::from_millis(600);

/// Gap between two calls that shows that the process was stopped. A leader has timers every 220 ms.
const STALL_LIMIT: Duration = Duration::from_millis(500);

/// Time after a stall without lending, in which messages of a new leader are read.
const STALL_PAUSE: Duration = Duration::from_millis(300);

/// Maximum number of terms that are remembered. With more of them in a window, none is known from before.
const MAX_TERMS: usize = 16;

/// Maximum number of entries whose asks are told apart.
const MAX_ENTRIES: usize = 4_096;

/// `next_ms` of tenants that the holder does not know yet.
const UNKNOWN_NEXT_MS: u32 = 100;

/// Last ask of an entry.
#[derive(Debug, Clone, Copy)]
struct LastAsk {
    number: AskNumber,
    received_at: BootTime,
}

/// Counters and values for the metrics page.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HolderCounts {
    pub asks: u64,
    /// Asks without an answer, because they were overtaken or the holder could not lend.
    pub unanswered_asks: u64,
    pub lent_tokens: u64,
    /// Tokens that this member has lent from its stocks as a deputy.
    pub stock_tokens: u64,
    pub leases: usize,
    /// Standing rates of all leases, in requests per second.
    pub lent_rate: f64,
}

impl HolderCounts {
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            ("quota_asks", "Asks of entries for tokens, on the leader", self.asks),
            ("quota_unanswered_asks", "Asks without an answer", self.unanswered_asks),
            ("quota_lent_tokens", "Tokens lent to waiting requests", self.lent_tokens),
            ("quota_stock_tokens", "Tokens lent from stocks without a holder", self.stock_tokens),
        ];
        for (name, help, value) in counters {
            let counter: Counter = Counter::default();
            counter.inc_by(value);
            registry.register(name, help, counter);
        }
        let leases: Gauge = Gauge::default();
        leases.set(self.leases as i64);
        registry.register("quota_leases", "Leases with a standing rate", leases);
        let lent_rate: Gauge<f64, AtomicU64> = Gauge::default();
        lent_rate.set(self.lent_rate);
        registry.register("quota_lent_rate", "Sum of the standing rates, per second", lent_rate);
    }
}

/// Terms of the log that this member has seen lately.
#[derive(Debug, Default)]
struct TermHistory {
    /// Each term with the time at which it was first seen; the first one is at least a window old, if the
    /// process is.
    terms: VecDeque<(BootTime, TermNumber)>,
}

impl TermHistory {
    fn record(&mut self, now: BootTime, term: TermNumber) {
        if self.terms.back().is_some_and(|(_, last)| *last >= term) {
            return;
        }
        self.terms.push_back((now, term));
        if self.terms.len() > MAX_TERMS {
            self.terms.pop_front();
        }
    }

    /// Newest term that was known before the window that ends now.
    fn term_before(&self, now: BootTime, window: Duration) -> Option<TermNumber> {
        let mut known = self.terms.iter().rev();
        known.find(|(seen_at, _)| *seen_at + window < now).map(|(_, term)| *term)
    }
}

/// Accounts of all tenants.
#[derive(Debug)]
pub struct QuotaHolder {
    limits: QuotaLimits,
    name: ProcessName,
    /// Time at which this member became the holder; `None` while it is not.
    since: Option<BootTime>,
    terms: TermHistory,
    /// Whether this member is the only one that became the holder within a window.
    is_only_change: bool,
    seen_at: BootTime,
    lends_from: BootTime,
    accounts: BTreeMap<TenantName, QuotaAccount>,
    /// When accounts were closed whose leases may still be in use.
    closed_at: BTreeMap<TenantName, BootTime>,
    last_asks: BTreeMap<EntryIncarnation, LastAsk>,
    counts: HolderCounts,
}

impl QuotaHolder {
    pub fn new(limits: QuotaLimits, name: ProcessName) -> Self {
        Self {
            limits,
            name,
            since: None,
            terms: TermHistory::default(),
            is_only_change: false,
            seen_at: BootTime::ZERO,
            lends_from: BootTime::ZERO,
            accounts: BTreeMap::new(),
            closed_at: BTreeMap::new(),
            last_asks: BTreeMap::new(),
            counts: HolderCounts::default(),
        }
    }

    /// Follows the role of this member and the term of the log. Nothing that a holder knew is valid when it
    /// becomes the holder again.
    pub fn set_leading(&mut self, now: BootTime, term: TermNumber, leads: bool) {
        self.notice_stall(now);
        let before = self.terms.term_before(now, self.limits.window);
        self.terms.record(now, term);
        if leads == self.since.is_some() {
            return;
        }
        self.since = leads.then_some(now);
        // With a later term, another holder may have come and gone unseen.
        self.is_only_change = before.is_some_and(|before| term <= before + 1);
        self.accounts.clear();
        self.closed_at.clear();
        self.last_asks.clear();
    }

    /// Answers an ask; `None` if this member must not lend or a later ask was received. `quorum_age` is the
    /// time since a quorum was known to follow this member.
    pub fn on_ask(
        &mut self,
        now: BootTime,
        quorum_age: Option<Duration>,
        tenants: &BTreeMap<TenantName, TenantRule>,
        ask: &QuotaAsk,
    ) -> Option<QuotaGrant> {
        let since = self.admit(now, quorum_age, tenants, ask)?;
        let mut rows = Vec::new();
        for row in ask.rows.iter().take(MAX_ROWS) {
            let Some(rule) = tenants.get(&row.tenant).filter(|rule| rule.is_limited()) else {
                let is_known = tenants.contains_key(&row.tenant);
                rows.push(unlimited_row(&row.tenant, if is_known { row.wanted } else { 0 }));
                continue;
            };
            let grant = self.account(since, &row.tenant, rule).lend(now, rule, &ask.entry, row);
            self.counts.lent_tokens += u64::from(grant.tokens);
            rows.push(grant);
        }
        Some(self.grant(ask, rows))
    }

    /// Answers the ask of a deputy, of which there are `deputies`, with its stocks of the tenants in use.
    pub fn on_deputy_ask(
        &mut self,
        now: BootTime,
        quorum_age: Option<Duration>,
        tenants: &BTreeMap<TenantName, TenantRule>,
        ask: &QuotaAsk,
        deputies: usize,
    ) -> Option<QuotaGrant> {
        let since = self.admit(now, quorum_age, tenants, ask)?;
        let share = 1.0 / deputies.max(1) as f64;
        let mut reported = BTreeMap::new();
        for row in ask.rows.iter().take(MAX_ROWS) {
            reported.insert(row.tenant.clone(), row.clone());
        }
        for (tenant, account) in &self.accounts {
            if account.is_in_use(now) && reported.len() < MAX_ROWS {
                reported.entry(tenant.clone()).or_insert_with(|| empty_row(tenant));
            }
        }
        let mut rows = Vec::new();
        for (tenant, row) in &reported {
            let Some(rule) = tenants.get(tenant).filter(|rule| rule.is_limited()) else { continue };
            let account = self.account(since, tenant, rule);
            rows.push(account.lend_stock(now, rule, &ask.entry, row, share));
        }
        Some(self.grant(ask, rows))
    }

    /// Returns since when this member is the holder; `None` if it must not lend or a later ask was received.
    fn admit(
        &mut self,
        now: BootTime,
        quorum_age: Option<Duration>,
        tenants: &BTreeMap<TenantName, TenantRule>,
        ask: &QuotaAsk,
    ) -> Option<BootTime> {
        self.notice_stall(now);
        self.counts.asks += 1;
        let can_lend = now >= self.lends_from && quorum_age.is_some_and(|age| age < MAX_QUORUM_AGE);
        let since = self.since.filter(|_| can_lend);
        let Some(since) = since.filter(|_| self.is_next(now, ask)) else {
            self.counts.unanswered_asks += 1;
            return None;
        };
        self.close_accounts(now, tenants);
        Some(since)
    }

    fn account(
        &mut self,
        since: BootTime,
        tenant: &TenantName,
        rule: &TenantRule,
    ) -> &mut QuotaAccount {
        let closed_at = self.closed_at.get(tenant).copied();
        let (limits, opening) = (self.limits, self.is_only_change && closed_at.is_none());
        let since = since.max(closed_at.unwrap_or_default());
        let open = || QuotaAccount::new(limits, rule, since, opening);
        self.accounts.entry(tenant.clone()).or_insert_with(open)
    }

    fn grant(&self, ask: &QuotaAsk, rows: Vec<GrantRow>) -> QuotaGrant {
        QuotaGrant { number: ask.number, holder: self.name.clone(), rows, is_stock: false }
    }

    /// Values for the metrics page.
    pub fn counts(&self, now: BootTime) -> HolderCounts {
        let mut counts = self.counts;
        for account in self.accounts.values() {
            let totals = account.totals(now, None);
            counts.leases += totals.leases;
            counts.lent_rate += totals.rate;
        }
        counts
    }

    /// Sums over the loans of one tenant.
    pub fn totals(&self, now: BootTime, tenant: &TenantName) -> Option<LoanTotals> {
        Some(self.accounts.get(tenant)?.totals(now, None))
    }

    /// Closes the accounts of tenants without a limit. If a limit comes back soon, the new account counts the
    /// leases of the old one.
    fn close_accounts(&mut self, now: BootTime, tenants: &BTreeMap<TenantName, TenantRule>) {
        self.closed_at.retain(|_, closed_at| now < *closed_at + LEASE_TIME + LEASE_MARGIN);
        let closed_at = &mut self.closed_at;
        self.accounts.retain(|tenant, _| {
            let is_limited = tenants.get(tenant).is_some_and(TenantRule::is_limited);
            if !is_limited {
                closed_at.insert(tenant.clone(), now);
            }
            is_limited
        });
    }

    /// Stops lending for a moment after the process was stopped or the machine was suspended.
    fn notice_stall(&mut self, now: BootTime) {
        if now.saturating_sub(self.seen_at) > STALL_LIMIT {
            self.lends_from = now + STALL_PAUSE;
        }
        self.seen_at = now;
    }

    /// Whether no later ask of this entry was received. Asks that took different ways can overtake each other.
    fn is_next(&mut self, now: BootTime, ask: &QuotaAsk) -> bool {
        if let Some(last) = self.last_asks.get(&ask.entry)
            && ask.number <= last.number
        {
            return false;
        }
        if self.last_asks.len() >= MAX_ENTRIES {
            self.last_asks.retain(|_, last| now < last.received_at + LEASE_TIME);
        }
        if self.last_asks.len() >= MAX_ENTRIES && !self.last_asks.contains_key(&ask.entry) {
            return false;
        }
        let last = LastAsk { number: ask.number, received_at: now };
        self.last_asks.insert(ask.entry.clone(), last);
        true
    }
}

/// Row of a deputy without a stock of `tenant`.
fn empty_row(tenant: &TenantName) -> AskRow {
    AskRow { tenant: tenant.clone(), rate: 0.0, depth: 0.0, demand: 0.0, wanted: 0 }
}

fn unlimited_row(tenant: &TenantName, tokens: u32) -> GrantRow {
    GrantRow {
        tenant: tenant.clone(),
        rate: 0.0,
        depth: 0.0,
        limit: 0.0,
        tokens,
        next_ms: UNKNOWN_NEXT_MS,
        is_used_up: false,
    }
}
