//! What an account knows about one entry and one server.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account_health::{HealthCap, SuspectEntry};
use super::{CREDIT_LEASE, HolderMessage, ServerKey, WorkClass};
use crate::ids::{EpochNumber, ZoneName};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryStanding {
    /// Has not reported under this epoch; nothing is granted to anyone until it has.
    Awaited,
    /// Has reported.
    Reported,
    /// Its link is closed or has not reported since it opened; its credits count until the lease
    /// ends.
    Silent,
    /// Live but its lease ended: its share of every limit is set aside, because it may now use
    /// its own count.
    Fallback,
    /// Left the live list; its credits count until the lease ends.
    Departed,
}

#[derive(Debug)]
pub(super) struct EntryAccount {
    pub(super) zone: ZoneName,
    pub(super) standing: EntryStanding,
    pub(super) session: u64,
    pub(super) acknowledged: u64,
    pub(super) expires: Instant,
    pub(super) held: BTreeMap<(ServerKey, WorkClass), u32>,
    /// Sum of `held`, kept because it is read for each entry at each event.
    pub(super) held_total: u32,
    pub(super) granted: u64,
    pub(super) received: u64,
    pub(super) idle: u32,
    pub(super) demand: [Option<WaitingDemand>; 2],
    pub(super) recalled: u32,
    pub(super) recalled_at: Instant,
    pub(super) rate: f64,
    pub(super) keep: u32,
    pub(super) avoided: Vec<ServerKey>,
    pub(super) suspects: Vec<SuspectEntry>,
    pub(super) replied_at: Option<Instant>,
    pub(super) outbox: Option<HolderMessage>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingDemand {
    pub(super) since: Instant,
    /// Waiting when the entry reported, less what was granted since.
    pub(super) waiting: u32,
    pub(super) reported: u32,
    pub(super) deadline: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct ServerAccount {
    pub(super) zone: ZoneName,
    /// Slots in effect by the directory.
    pub(super) limit: u32,
    /// Slots that may be granted now: the limit, or less while the server is capped.
    pub(super) slots: u32,
    pub(super) cap: HealthCap,
    /// No grants until the pause after a failure ends.
    pub(super) paused_until: Option<Instant>,
    pub(super) pause: Duration,
    pub(super) failed_at: Option<Instant>,
    pub(super) outstanding: u32,
    pub(super) long_outstanding: u32,
    pub(super) recall_sent: Option<Instant>,
}

impl EntryAccount {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            zone: "".into(),
            standing: EntryStanding::Awaited,
            session: 0,
            acknowledged: 0,
            expires: now,
            held: BTreeMap::new(),
            held_total: 0,
            granted: 0,
            received: 0,
            idle: 0,
            demand: [None; 2],
            recalled: 0,
            recalled_at: now,
            rate: 0.0,
            keep: 0,
            avoided: Vec::new(),
            suspects: Vec::new(),
            replied_at: None,
            outbox: None,
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.standing != EntryStanding::Departed
    }

    pub(super) fn clear_requests(&mut self) {
        self.demand = [None; 2];
        self.recalled = 0;
        self.outbox = None;
    }

    pub(super) fn on_the_way(&self) -> u32 {
        self.granted.saturating_sub(self.received) as u32
    }

    pub(super) fn idle_estimate(&self) -> u32 {
        self.idle + self.on_the_way()
    }

    pub(super) fn held_of(&self, server: ServerKey) -> u32 {
        WorkClass::ALL.iter().filter_map(|class| self.held.get(&(server, *class))).sum()
    }

    /// Estimated arrival of the oldest work not yet granted: arrivals count as evenly spread.
    pub(super) fn waiting_since(&self, now: Instant, class: WorkClass) -> Option<Instant> {
        let demand = self.demand[class.index()]?;
        let is_expired = demand.deadline.is_some_and(|deadline| deadline <= now);
        if demand.waiting == 0 || is_expired || self.standing != EntryStanding::Reported {
            return None;
        }
        let age = now.saturating_duration_since(demand.since);
        let granted = demand.reported.saturating_sub(demand.waiting);
        Some(demand.since + age * granted / demand.reported)
    }

    pub(super) fn empty_message(&self, epoch: EpochNumber) -> HolderMessage {
        HolderMessage {
            epoch,
            session: self.session,
            acknowledged: self.acknowledged,
            lease: CREDIT_LEASE,
            keep: self.keep,
            is_scarce: false,
            grants: Vec::new(),
            recalls: Vec::new(),
            probes: Vec::new(),
        }
    }

    pub(super) fn message(&mut self, epoch: EpochNumber) -> &mut HolderMessage {
        let empty = self.empty_message(epoch);
        self.outbox.get_or_insert(empty)
    }
}

impl ServerAccount {
    pub(super) fn empty() -> Self {
        let zone = "".into();
        let cap = HealthCap::default();
        Self {
            zone,
            limit: 0,
            slots: 0,
            cap,
            paused_until: None,
            pause: Duration::ZERO,
            failed_at: None,
            outstanding: 0,
            long_outstanding: 0,
            recall_sent: None,
        }
    }

    pub(super) fn apply_cap(&mut self) {
        self.slots = self.cap.limit(self.limit);
    }

    /// Whether the account must remember the server.
    pub(super) fn is_needed(&self) -> bool {
        self.limit + self.outstanding > 0
    }

    pub(super) fn unused(&self) -> u32 {
        self.slots.saturating_sub(self.outstanding)
    }

    pub(super) fn free(&self, class: WorkClass, long_percent: u32) -> u32 {
        if self.paused_until.is_some() {
            return 0;
        }
        if class == WorkClass::Short {
            return self.unused();
        }
        let limit = long_limit(self.slots, long_percent);
        self.unused().min(limit.saturating_sub(self.long_outstanding))
    }

    pub(super) fn has_long_room(&self, percent: u32) -> bool {
        self.long_outstanding < long_limit(self.slots, percent)
    }

    pub(super) fn add(&mut self, class: WorkClass, count: u32) {
        self.outstanding += count;
        self.long_outstanding += if class == WorkClass::Long { count } else { 0 };
    }

    pub(super) fn subtract(&mut self, class: WorkClass, count: u32) {
        self.outstanding -= count;
        self.long_outstanding -= if class == WorkClass::Long { count } else { 0 };
    }
}

/// Slots that long work may occupy on a server with `slots` slots.
pub(super) fn long_limit(slots: u32, long_percent: u32) -> u32 {
    if slots <= 1 {
        return slots;
    }
    (slots * long_percent / 100).clamp(1, slots - 1)
}
