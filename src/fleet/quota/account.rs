//! Account of one tenant at the holder.
//!
//! The tenant's rate is divided: the standing rates of leases accrue in the entries' purses, the rest accrues
//! here and is lent as single tokens. What entries may hold unspent is bounded by a part of the margin that
//! the rule allows, so that the requests of a window of length W never exceed rate x W + burst + that part.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{AskRow, EntryIncarnation, GrantRow};
use super::{BootTime, GRANT_TIME, LEASE_MARGIN, LEASE_TIME};
use crate::fleet::config::QuotaLimits;
use crate::fleet::tenant::TenantRule;

/// Part of the rate that leases may hold. A new holder lends the rest at once, and counts this part as lent until
/// the leases of its predecessor have ended.
const STANDING_FRACTION: f64 = 0.65;

/// Minimum limit in requests per second of a tenant with leases. A smaller one reaches a hundred entries with less
/// than the demand for a lease each, its asks cost little, and a new holder lends its whole rate at once.
const MIN_LEASED_LIMIT: f64 = 100.0;

/// Part of the rate that the stocks of deputies may hold of a tenant without leases. A new holder lends the rest
/// at once, which covers tenants that stay a quarter below their limit.
const STOCK_FRACTION: f64 = 0.25;

/// Part of what leases leave that the stocks of a tenant with leases may hold, so that leases can grow.
const LEFT_STOCK_FRACTION: f64 = 0.5;

/// Demand in relation to what is measured that the account keeps from stocks: their rate is lent again half a
/// second later, in which an account over half of its burst serves a crowd.
const STOCK_DEMAND_HEADROOM: f64 = 1.15;

/// Part of the burst that the account keeps from stocks.
const STOCK_BALANCE_FRACTION: f64 = 0.5;

/// Time since the last ask of an entry for which deputies keep a stock of a tenant.
const STOCK_LIFETIME: Duration = Duration::from_secs(30);

/// Part of the window's margin that may be unspent at entries. What this and the opening balance leave covers
/// the time between the admission of a request and its arrival, and hedged sends.
const LENT_MARGIN_FRACTION: f64 = 0.6;

/// Part of the window's margin with which an account opens after a change of the holder, so that a small
/// tenant is served while the leases of the earlier holder run out.
const OPENING_MARGIN_FRACTION: f64 = 0.2;

/// Part of that for the depths of leases; the remainder is for tokens on their way.
const DEPTH_FRACTION: f64 = 0.6;

/// Standing rate in relation to the demand, so that random arrivals find a token.
const DEMAND_HEADROOM: f64 = 1.4;

/// Minimum demand for a lease in requests per second. A single request counts 0.5 for a moment.
const MIN_LEASED_DEMAND: f64 = 0.75;

/// Seconds of its standing rate that a lease may accumulate, besides one token.
const DEPTH_SECONDS: f64 = 0.2;

/// Time for which a reported demand counts without a further report.
const DEMAND_LIFETIME: Duration = Duration::from_secs(2);

/// Part of the balance that one ask may take of a tenant over its limit, besides the entry's share.
const CROWDED_BALANCE_FRACTION: f64 = 0.125;

/// Demand in relation to the limit above which an entry gets its part only, with one ask for each token. A
/// small tenant's demand seems to exceed its limit by less when a few requests come together.
const FLOOD_FACTOR: f64 = 1.5;

/// Minimum time after which an entry asks again, in milliseconds.
const MIN_NEXT_MS: u32 = 20;

/// Maximum time after which an entry asks again, in milliseconds: a window of the usual rules.
const MAX_NEXT_MS: u32 = 5_000;

/// Maximum number of entries with a loan from one account.
const MAX_LOANS: usize = 4_096;

/// What an entry holds at most.
#[derive(Debug, Clone, Copy, Default)]
struct EntryLoan {
    rate: f64,
    depth: f64,
    /// Tokens that may be on their way until `tokens_until`.
    tokens: f64,
    tokens_until: BootTime,
    demand: f64,
    asked_at: BootTime,
    ends_at: BootTime,
    /// Whether this is the stock of a deputy.
    is_stock: bool,
}

/// Sums over the loans of an account.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoanTotals {
    pub leases: usize,
    /// Standing rates in tokens per second.
    pub rate: f64,
    pub depth: f64,
    /// Parts of these that are stocks of deputies.
    pub stock_rate: f64,
    pub stock_depth: f64,
    /// Tokens that may be on their way.
    pub tokens: f64,
    /// Requests per second that callers send.
    pub demand: f64,
}

/// What an earlier holder may have lent, after a change of the holder.
#[derive(Debug, Clone, Copy)]
struct EarlierLoans {
    /// End of the last lease that it can have granted.
    end_at: BootTime,
    /// Parts of its leases that entries have reported.
    reported_rate: f64,
    reported_depth: f64,
}

/// Account of one tenant.
#[derive(Debug)]
pub struct QuotaAccount {
    limits: QuotaLimits,
    rate: f64,
    burst: f64,
    balance: f64,
    accrued_until: BootTime,
    loans: BTreeMap<EntryIncarnation, EntryLoan>,
    earlier: EarlierLoans,
    /// Last ask of an entry, or the time since which the holder can know of one.
    asked_at: BootTime,
}

impl QuotaAccount {
    /// Creates the account of a holder that began at `since`. Tokens that its predecessor has lent may be on
    /// their way a little longer, and its leases until they end. There is one `opening` at most in a window.
    pub fn new(limits: QuotaLimits, rule: &TenantRule, since: BootTime, opening: bool) -> Self {
        let end_at = since + LEASE_TIME + LEASE_MARGIN;
        let mut account = Self {
            limits,
            rate: rule.rate,
            burst: rule.burst,
            balance: 0.0,
            accrued_until: since + GRANT_TIME + LEASE_MARGIN,
            loans: BTreeMap::new(),
            earlier: EarlierLoans { end_at, reported_rate: 0.0, reported_depth: 0.0 },
            asked_at: since,
        };
        if opening {
            account.balance = (account.margin() * OPENING_MARGIN_FRACTION).min(account.capacity());
        }
        account
    }

    /// Sums over the loans, without that of `entry`.
    pub fn totals(&self, now: BootTime, entry: Option<&EntryIncarnation>) -> LoanTotals {
        let mut totals = LoanTotals::default();
        for (holder, loan) in &self.loans {
            if Some(holder) == entry {
                continue;
            }
            totals.leases += usize::from(loan.rate > 0.0);
            totals.rate += loan.rate;
            totals.depth += loan.depth;
            if loan.is_stock {
                totals.stock_rate += loan.rate;
                totals.stock_depth += loan.depth;
            }
            if now < loan.tokens_until {
                totals.tokens += loan.tokens;
            }
            if now < loan.asked_at + DEMAND_LIFETIME {
                totals.demand += loan.demand;
            }
        }
        totals
    }

    /// Answers a part of an ask.
    pub fn lend(
        &mut self,
        now: BootTime,
        rule: &TenantRule,
        entry: &EntryIncarnation,
        row: &AskRow,
    ) -> GrantRow {
        self.asked_at = now;
        let (mut loan, others) = self.prepare(now, rule, entry, row);
        let (rate, depth) = self.lease_for(now, &others, loan.demand);
        let (tokens, missing) = self.tokens_for(&others, &loan, row.wanted);
        loan.rate = loan.rate.max(rate);
        loan.depth = loan.depth.max(depth);
        // Tokens of an earlier grant are spent or lost, because its time for acceptance has passed.
        loan.tokens = f64::from(tokens);
        // The entry counts from its ask, which came before.
        loan.tokens_until = now + GRANT_TIME;
        self.record(now, entry, loan);
        let (next_ms, is_used_up) = missing.unwrap_or((0, false));
        GrantRow {
            tenant: row.tenant.clone(),
            rate: rate as f32,
            depth: depth as f32,
            limit: self.rate as f32,
            tokens,
            next_ms,
            is_used_up,
        }
    }

    /// Answers the part of a deputy's ask: its `share` of what stocks may hold, and tokens that fill it.
    pub fn lend_stock(
        &mut self,
        now: BootTime,
        rule: &TenantRule,
        deputy: &EntryIncarnation,
        row: &AskRow,
        share: f64,
    ) -> GrantRow {
        let (mut loan, others) = self.prepare(now, rule, deputy, row);
        let (rate, depth) = self.stock_for(now, &others, share);
        // A deputy without a stock does not know how many tokens fit.
        let wanted = if row.depth > 0.0 { f64::from(row.wanted).min(depth) } else { depth };
        let spare = self.balance - self.capacity() * STOCK_BALANCE_FRACTION;
        let tokens = wanted.min(spare).max(0.0).floor();
        self.balance -= tokens;
        loan.rate = loan.rate.max(rate);
        loan.depth = loan.depth.max(depth);
        loan.is_stock = true;
        self.record(now, deputy, loan);
        GrantRow {
            tenant: row.tenant.clone(),
            rate: rate as f32,
            depth: depth as f32,
            limit: self.rate as f32,
            tokens: tokens as u32,
            next_ms: 0,
            is_used_up: false,
        }
    }

    /// Whether an entry has asked lately.
    pub fn is_in_use(&self, now: BootTime) -> bool {
        now < self.asked_at + STOCK_LIFETIME
    }

    /// Takes over the rule and what `entry` reports, and returns its loan and the sums over the others.
    fn prepare(
        &mut self,
        now: BootTime,
        rule: &TenantRule,
        entry: &EntryIncarnation,
        row: &AskRow,
    ) -> (EntryLoan, LoanTotals) {
        self.accrue(now);
        self.set_rule(rule);
        self.remove_ended(now, entry);
        let loan = self.report(now, entry, row);
        (loan, self.totals(now, Some(entry)))
    }

    fn record(&mut self, now: BootTime, entry: &EntryIncarnation, mut loan: EntryLoan) {
        loan.ends_at = now + LEASE_TIME + LEASE_MARGIN;
        loan.asked_at = now;
        if self.loans.len() < MAX_LOANS || self.loans.contains_key(entry) {
            self.loans.insert(entry.clone(), loan);
        }
    }

    /// Follows a changed document.
    fn set_rule(&mut self, rule: &TenantRule) {
        (self.rate, self.burst) = (rule.rate, rule.burst);
        self.balance = self.balance.min(self.capacity());
    }

    /// Maximum balance. Below one token nothing could be lent.
    fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }

    /// Sum of the standing rates that leases and stocks may have.
    fn max_standing_rate(&self) -> f64 {
        self.rate * if self.has_leases() { STANDING_FRACTION } else { STOCK_FRACTION }
    }

    /// Sum of the depths that leases and stocks may have.
    fn max_standing_depth(&self) -> f64 {
        self.lent_margin() * DEPTH_FRACTION
    }

    fn has_leases(&self) -> bool {
        self.rate >= MIN_LEASED_LIMIT
    }

    /// Tokens that all entries together may hold unspent.
    fn lent_margin(&self) -> f64 {
        self.margin() * LENT_MARGIN_FRACTION
    }

    /// Requests by which a window may exceed the limit.
    fn margin(&self) -> f64 {
        let window = self.limits.window.as_secs_f64();
        self.limits.overshoot * (self.rate * window + self.burst) + self.limits.tolerance
    }

    /// Adds what has accrued since the last call. Leases that have ended in the meantime count in full.
    fn accrue(&mut self, now: BootTime) {
        let from = self.accrued_until;
        if now <= from {
            return;
        }
        let lent_rate: f64 = self.loans.values().map(|loan| loan.rate).sum();
        let rest = (self.rate - lent_rate).max(0.0);
        let early_rest = rest.min(self.rate - self.max_standing_rate());
        let border = self.earlier.end_at.clamp(from, now);
        let accrued =
            early_rest * (border - from).as_secs_f64() + rest * (now - border).as_secs_f64();
        self.balance = (self.balance + accrued).min(self.capacity());
        self.accrued_until = now;
    }

    /// Removes loans that have ended, and those of earlier processes of `entry`.
    fn remove_ended(&mut self, now: BootTime, entry: &EntryIncarnation) {
        self.loans.retain(|holder, loan| {
            let has_restarted = holder.0 == entry.0 && holder.1 < entry.1;
            now < loan.ends_at && !has_restarted
        });
    }

    /// Takes over what the entry says it holds.
    fn report(&mut self, now: BootTime, entry: &EntryIncarnation, row: &AskRow) -> EntryLoan {
        let (rate, depth) = (f64::from(row.rate).max(0.0), f64::from(row.depth).max(0.0));
        if !self.loans.contains_key(entry) && now < self.earlier.end_at {
            self.earlier.reported_rate += rate;
            self.earlier.reported_depth += depth;
        }
        EntryLoan { rate, depth, demand: f64::from(row.demand).max(0.0), ..EntryLoan::default() }
    }

    /// Rate and depth of an entry's next lease.
    fn lease_for(&self, now: BootTime, others: &LoanTotals, demand: f64) -> (f64, f64) {
        if demand < MIN_LEASED_DEMAND || !self.has_leases() {
            return (0.0, 0.0);
        }
        let (all_rates, all_depths) = self.standing_limits(now);
        let total_demand = demand + others.demand;
        let max_rate = self.max_standing_rate();
        let wanted = (demand * DEMAND_HEADROOM).min(max_rate * demand / total_demand);
        let rate = wanted.min(all_rates - others.rate);
        let depth = (1.0 + rate * DEPTH_SECONDS).min(all_depths - others.depth);
        if rate <= 0.0 || depth < 1.0 { (0.0, 0.0) } else { (rate, depth) }
    }

    /// Sums of the rates and depths that leases and stocks may have now.
    fn standing_limits(&self, now: BootTime) -> (f64, f64) {
        let (rates, depths) = (self.max_standing_rate(), self.max_standing_depth());
        if now >= self.earlier.end_at {
            return (rates, depths);
        }
        // Leases that nobody has reported yet may still be in use.
        (rates.min(self.earlier.reported_rate), depths.min(self.earlier.reported_depth))
    }

    /// Rate and depth of a deputy's stock: its share of what nobody needs now.
    fn stock_for(&self, now: BootTime, others: &LoanTotals, share: f64) -> (f64, f64) {
        if !self.is_in_use(now) {
            return (0.0, 0.0);
        }
        let lease_rate = others.rate - others.stock_rate;
        let lease_depth = others.depth - others.stock_depth;
        let mut stock_rates = self.max_standing_rate() - lease_rate;
        let mut stock_depths = self.max_standing_depth() - lease_depth;
        if self.has_leases() {
            stock_rates *= LEFT_STOCK_FRACTION;
            stock_depths *= LEFT_STOCK_FRACTION;
        }
        let unleased_demand = (others.demand - lease_rate / DEMAND_HEADROOM).max(0.0);
        let unused = self.rate - lease_rate - unleased_demand * STOCK_DEMAND_HEADROOM;
        let is_short = self.balance < self.capacity() * STOCK_BALANCE_FRACTION;
        stock_rates = if is_short { 0.0 } else { stock_rates.min(unused) };
        let (all_rates, all_depths) = self.standing_limits(now);
        let rate = (stock_rates * share).min(all_rates - others.rate).max(0.0);
        let depth = (stock_depths * share).min(all_depths - others.depth);
        if depth < 1.0 { (0.0, 0.0) } else { (rate, depth) }
    }

    /// Takes tokens for waiting requests. If some are missing, returns also after how many milliseconds one
    /// can be expected and whether the limit is used up.
    fn tokens_for(
        &mut self,
        others: &LoanTotals,
        loan: &EntryLoan,
        wanted: u32,
    ) -> (u32, Option<(u32, bool)>) {
        if wanted == 0 {
            return (0, None);
        }
        let rest = (self.rate - others.rate - loan.rate).max(self.rate * 0.01);
        let demand = (loan.demand + others.demand).max(f64::MIN_POSITIVE);
        let own_part = (loan.demand / demand).clamp(0.01, 1.0);
        let mut share = f64::from(wanted);
        if demand > self.rate {
            // Entries that ask often or for much leave the others their part.
            let crowded = self.balance * CROWDED_BALANCE_FRACTION;
            share = share.min((rest * own_part + crowded).ceil().max(1.0));
        }
        let affordable = self.balance.max(0.0).floor();
        // One token always travels, so that a tenant with hardly any margin is served at all.
        let lendable = self.lent_margin() * (1.0 - DEPTH_FRACTION);
        let lendable = lendable.max(1.0) - others.tokens;
        let granted = share.min(affordable).min(lendable.max(0.0).floor());
        self.balance -= granted;
        let is_flooded = demand > self.rate * FLOOD_FACTOR && self.balance < self.capacity() / 2.0;
        if granted >= f64::from(wanted) && !is_flooded {
            return (wanted, None);
        }
        let is_used_up = is_flooded || affordable < f64::from(wanted) || share < f64::from(wanted);
        if !is_used_up {
            return (granted as u32, Some((MIN_NEXT_MS, false)));
        }
        // Over the limit, each entry waits until its own part has accrued.
        let is_crowded = demand > self.rate;
        let missing = if is_crowded { 1.0 / own_part } else { (1.0 - self.balance).max(0.0) };
        let missing = missing / rest;
        let next_ms = (missing * 1_000.0) as u32;
        (granted as u32, Some((next_ms.clamp(MIN_NEXT_MS, MAX_NEXT_MS), true)))
    }
}
