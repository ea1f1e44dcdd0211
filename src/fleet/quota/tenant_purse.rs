//! What an entry was lent for one tenant.

use std::time::Duration;

use super::BootTime;
use super::demand::DemandMeter;
use super::lease::LeaseBalance;
use super::message::{AskRow, GrantRow};
use crate::ids::TenantName;

/// Lower and upper limit of the time after which a refused caller may come back.
const RETRY_LIMITS: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(10));

/// Minimum rate at which a purse over its limit is expected to get tokens, per second.
const MIN_TOKEN_RATE: f64 = 0.05;

/// What an entry was lent for one tenant.
#[derive(Debug, Clone, Default)]
pub struct TenantPurse {
    pub lease: LeaseBalance,
    /// Time until which no token is to be had, as the holder said.
    used_up_until: BootTime,
    /// Tokens per second that the holder can be expected to give besides the standing rate.
    extra_rate: f64,
    /// Requests refused since the holder last answered.
    refused: u32,
    /// Requests that wait for an answer.
    pub waiting: u32,
    /// Tokens of waiting requests that have not been taken.
    pub reserved: u32,
    /// Whether an ask shall show that the holder answers again.
    pub wants_answer: bool,
    pub demand: DemandMeter,
    pub asked_at: BootTime,
    pub granted_at: Option<BootTime>,
    /// Earliest time of the next ask for waiting requests.
    pub asks_from: BootTime,
}

impl TenantPurse {
    /// Adds what has accrued; `limit` is the tenant's limit in the document in force.
    pub fn accrue(&mut self, now: BootTime, limit: f64) {
        self.lease.accrue(now, limit, 0);
    }

    /// Takes a token of the lease.
    pub fn take(&mut self) -> bool {
        self.lease.take(1) == 1
    }

    /// Takes back a token.
    pub fn give_back(&mut self) {
        self.lease.add(1, 0);
    }

    /// Whether requests wait for an answer of the holder.
    pub fn needs_answer(&self) -> bool {
        self.waiting > self.reserved || self.wants_answer
    }

    pub fn is_used_up(&self, now: BootTime) -> bool {
        now < self.used_up_until
    }

    /// Records a refused request and returns the time after which a token for it can be expected: those
    /// refused before come first.
    pub fn refuse(&mut self, now: BootTime) -> Duration {
        let first = self.used_up_until.saturating_sub(now);
        let rate = (self.lease.rate + self.extra_rate).max(MIN_TOKEN_RATE);
        let queue = Duration::from_secs_f64(f64::from(self.refused) / rate);
        self.refused = self.refused.saturating_add(1);
        (first + queue).clamp(RETRY_LIMITS.0, RETRY_LIMITS.1)
    }

    /// Installs a grant for an ask that was sent at `asked_at`.
    pub fn install(&mut self, now: BootTime, asked_at: BootTime, row: &GrantRow) {
        self.lease.install(asked_at, row, 0);
        self.reserve(row.tokens);
        let next = Duration::from_millis(u64::from(row.next_ms));
        self.used_up_until = if row.is_used_up { now + next } else { BootTime::ZERO };
        self.extra_rate = if row.is_used_up { 1.0 / next.as_secs_f64().max(0.001) } else { 0.0 };
        self.asks_from = now + next;
        self.refused = 0;
        self.granted_at = Some(now);
    }

    /// Installs the tokens of a deputy, which leave the lease and what the holder said as they are.
    pub fn install_stock(&mut self, now: BootTime, row: &GrantRow) {
        self.reserve(row.tokens);
        self.asks_from = now + Duration::from_millis(u64::from(row.next_ms));
    }

    fn reserve(&mut self, tokens: u32) {
        self.reserved += tokens.min(self.waiting.saturating_sub(self.reserved));
    }

    /// Builds the part of an ask for this tenant.
    pub fn ask(&mut self, now: BootTime, tenant: &TenantName) -> AskRow {
        self.asked_at = now;
        self.wants_answer = false;
        AskRow {
            tenant: tenant.clone(),
            rate: self.lease.rate as f32,
            depth: self.lease.depth as f32,
            demand: self.demand.rate(now) as f32,
            wanted: self.waiting.saturating_sub(self.reserved),
        }
    }

    /// Whether nothing is lost when the purse is forgotten.
    pub fn is_idle(&self, now: BootTime) -> bool {
        let is_forgotten = self.demand.rate(now) < 0.01 && !self.is_used_up(now);
        self.waiting == 0 && self.lease.has_ended(now) && is_forgotten
    }
}
