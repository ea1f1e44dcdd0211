//! Tokens that accrue at a standing rate until a lease ends.

use super::message::GrantRow;
use super::{BootTime, LEASE_TIME};

/// Lease with the tokens that have accrued and are not spent.
#[derive(Debug, Clone, Default)]
pub struct LeaseBalance {
    /// Standing rate in tokens per second.
    pub rate: f64,
    pub depth: f64,
    /// Limit of the tenant for which the lease was computed.
    limit: f64,
    ends_at: BootTime,
    balance: f64,
    accrued_until: BootTime,
}

impl LeaseBalance {
    /// Adds what has accrued, up to the depth less the tokens `on_way`. `limit` is the tenant's limit in the
    /// document in force. A lower limit than that of the lease binds at once.
    pub fn accrue(&mut self, now: BootTime, limit: f64, on_way: u32) {
        if limit < self.limit {
            let part = limit / self.limit;
            (self.rate, self.depth) = (self.rate * part, self.depth * part);
            self.limit = limit;
        }
        let until = now.min(self.ends_at);
        let elapsed = until.saturating_sub(self.accrued_until).as_secs_f64();
        self.balance += self.rate * elapsed;
        self.accrued_until = now;
        if self.has_ended(now) {
            (self.rate, self.depth) = (0.0, 0.0);
        }
        self.add(0, on_way);
    }

    /// Adds tokens. What does not fit is lost, because the holder counts no more than the depth.
    pub fn add(&mut self, tokens: u32, on_way: u32) {
        let room = (self.depth - f64::from(on_way)).max(0.0);
        self.balance = (self.balance + f64::from(tokens)).min(room);
    }

    /// Takes up to `wanted` tokens and returns their number.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.available());
        self.balance -= f64::from(taken);
        taken
    }

    /// Number of whole tokens.
    pub fn available(&self) -> u32 {
        self.balance as u32
    }

    /// Number of tokens that can be added.
    pub fn room(&self, on_way: u32) -> u32 {
        (self.depth - f64::from(on_way) - self.balance).max(0.0) as u32
    }

    /// Installs the lease of a grant for an ask that was sent at `asked_at`.
    pub fn install(&mut self, asked_at: BootTime, row: &GrantRow, on_way: u32) {
        (self.rate, self.depth) = (f64::from(row.rate), f64::from(row.depth));
        self.limit = f64::from(row.limit);
        self.ends_at = asked_at + LEASE_TIME;
        self.add(0, on_way);
    }

    pub fn has_ended(&self, now: BootTime) -> bool {
        now >= self.ends_at
    }
}
