//! Stock of tokens at a member that does not hold the accounts. It serves waiting requests while no holder
//! answers.
//!
//! A stock is a lease like that of an entry, so the holder counts it in the same way. One place for many entries
//! needs fewer tokens than a stock at each entry, most of which a small tenant would not use.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::lease::LeaseBalance;
use super::message::{
    AskKind, AskNumber, AskRow, EntryIncarnation, GrantRow, MAX_ROWS, QuotaAsk, QuotaGrant,
};
use super::pending_ask::PendingAsk;
use super::{BootTime, GRANT_TIME};
use crate::fleet::tenant::TenantRule;
use crate::ids::{ProcessName, TenantName};

/// Minimum time between two asks for the stock. It follows the leader's heartbeats, of which each second one
/// causes an ask.
const STOCK_INTERVAL: Duration = Duration::from_millis(400);

/// `next_ms` of tenants without a token: the entry asks another deputy, or a holder elected meanwhile.
const EMPTY_NEXT_MS: u32 = 100;

/// Tokens that an entry may still use.
#[derive(Debug, Clone, Copy)]
struct LentTokens {
    until: BootTime,
    tokens: u32,
}

/// Stock of one tenant.
#[derive(Debug, Default)]
struct TenantStock {
    lease: LeaseBalance,
    /// Tokens on their way to entries count as part of the depth, so that it is not filled twice.
    lent: VecDeque<LentTokens>,
}

impl TenantStock {
    fn accrue(&mut self, now: BootTime, limit: f64) {
        while self.lent.front().is_some_and(|lent| now >= lent.until) {
            self.lent.pop_front();
        }
        let on_way = self.on_way();
        self.lease.accrue(now, limit, on_way);
    }

    fn on_way(&self) -> u32 {
        self.lent.iter().map(|lent| lent.tokens).sum()
    }

    /// Whether tokens can be lent: an entry may use them until the time of a grant has passed.
    fn can_lend(&self, now: BootTime) -> bool {
        !self.lease.has_ended(now + GRANT_TIME)
    }

    fn lend(&mut self, now: BootTime, wanted: u32) -> u32 {
        let tokens = if self.can_lend(now) { self.lease.take(wanted) } else { 0 };
        if tokens > 0 {
            self.lent.push_back(LentTokens { until: now + GRANT_TIME, tokens });
        }
        tokens
    }
}

/// Stocks of all tenants at one member.
#[derive(Debug)]
pub struct QuotaDeputy {
    identity: EntryIncarnation,
    stocks: BTreeMap<TenantName, TenantStock>,
    last_number: AskNumber,
    pending: Option<PendingAsk>,
    next_ask_at: BootTime,
    lent_tokens: u64,
}

impl QuotaDeputy {
    /// Creates the empty stocks of a member process that started at `started`.
    pub fn new(member: &str, started: BootTime) -> Self {
        let started = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        // An entry of the same name is another borrower.
        let name: ProcessName = format!("deputy/{member}").into();
        Self {
            identity: EntryIncarnation(name, started),
            stocks: BTreeMap::new(),
            last_number: 0,
            pending: None,
            next_ask_at: BootTime::ZERO,
            lent_tokens: 0,
        }
    }

    /// Builds the next ask if one is due.
    pub fn next_ask(&mut self, now: BootTime) -> Option<QuotaAsk> {
        if now < self.next_ask_at {
            return None;
        }
        self.next_ask_at = now + STOCK_INTERVAL;
        let mut rows = Vec::new();
        self.stocks.retain(|tenant, stock| {
            stock.accrue(now, f64::INFINITY);
            if stock.lease.has_ended(now) {
                return !stock.lent.is_empty();
            }
            rows.push(AskRow {
                tenant: tenant.clone(),
                rate: stock.lease.rate as f32,
                depth: stock.lease.depth as f32,
                demand: 0.0,
                wanted: stock.lease.room(stock.on_way()),
            });
            true
        });
        self.last_number += 1;
        self.pending = Some(PendingAsk { number: self.last_number, sent_at: now });
        let (entry, number) = (self.identity.clone(), self.last_number);
        Some(QuotaAsk { entry, number, rows, kind: AskKind::Deputy })
    }

    /// Installs the answer to the pending ask; all others are too old.
    pub fn on_grant(&mut self, now: BootTime, grant: &QuotaGrant) {
        let Some(ask) = PendingAsk::take_answered(&mut self.pending, now, grant) else { return };
        for row in grant.rows.iter().take(MAX_ROWS) {
            if row.depth <= 0.0 && !self.stocks.contains_key(&row.tenant) {
                continue;
            }
            let stock = self.stocks.entry(row.tenant.clone()).or_default();
            stock.accrue(now, f64::INFINITY);
            let on_way = stock.on_way();
            stock.lease.install(ask.sent_at, row, on_way);
            stock.lease.add(row.tokens, on_way);
        }
    }

    /// Serves waiting requests of an entry from the stocks; `None` if there are none, or if `must_cover` and they
    /// do not cover all that wait.
    pub fn lend(
        &mut self,
        now: BootTime,
        tenants: &BTreeMap<TenantName, TenantRule>,
        ask: &QuotaAsk,
        must_cover: bool,
    ) -> Option<QuotaGrant> {
        let accepts_stock = matches!(ask.kind, AskKind::First | AskKind::Repeated);
        if !accepts_stock || !self.stocks.values().any(|stock| stock.can_lend(now)) {
            return None;
        }
        let wanted = || ask.rows.iter().take(MAX_ROWS).filter(|row| row.wanted > 0);
        let covers_all =
            wanted().all(|row| self.available(now, tenants, &row.tenant) >= row.wanted);
        if must_cover && (wanted().next().is_none() || !covers_all) {
            return None;
        }
        let mut rows = Vec::new();
        for row in wanted() {
            let available = self.available(now, tenants, &row.tenant);
            let stock = self.stocks.get_mut(&row.tenant).filter(|_| available > 0);
            let tokens = stock.map_or(0, |stock| stock.lend(now, row.wanted));
            self.lent_tokens += u64::from(tokens);
            rows.push(GrantRow {
                tenant: row.tenant.clone(),
                rate: 0.0,
                depth: 0.0,
                limit: 0.0,
                tokens,
                next_ms: if tokens < row.wanted { EMPTY_NEXT_MS } else { 0 },
                is_used_up: false,
            });
        }
        let holder = self.identity.0.clone();
        Some(QuotaGrant { number: ask.number, holder, rows, is_stock: true })
    }

    /// Gives up the stocks, since this member holds the accounts itself. Tokens on their way still count.
    pub fn clear(&mut self) {
        self.pending = None;
        for stock in self.stocks.values_mut() {
            stock.lease = LeaseBalance::default();
        }
    }

    /// Tokens lent since the start.
    pub fn lent_tokens(&self) -> u64 {
        self.lent_tokens
    }

    fn available(
        &mut self,
        now: BootTime,
        tenants: &BTreeMap<TenantName, TenantRule>,
        tenant: &TenantName,
    ) -> u32 {
        let rule = tenants.get(tenant).filter(|rule| rule.is_limited());
        let (Some(rule), Some(stock)) = (rule, self.stocks.get_mut(tenant)) else { return 0 };
        stock.accrue(now, rule.rate);
        if stock.can_lend(now) { stock.lease.available() } else { 0 }
    }
}
