//! State of one entry and of one server in an account.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::account_health::{HealthCap, Suspicion};
use super::{CREDIT_LEASE, HolderMessage, ServerKey, WorkClass};
use crate::ids::{EpochNumber, ZoneName};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryStatus {
    /// Has not reported in this epoch. Nothing is granted to any entry until it has.
    AwaitingReport,
    /// Has reported.
    Reported,
    /// Its link is closed, or has opened but not brought a report yet. Its credits stay counted until
    /// the lease expires.
    Silent,
    /// Live, but its lease has expired. Its share of every server's slots stays reserved, because the
    /// entry may use it without a lease.
    Fallback,
    /// No longer in the list of live entries. Its credits stay counted until the lease expires.
    Departed,
}

#[derive(Debug)]
pub(super) struct EntryState {
    pub(super) zone: ZoneName,
    pub(super) status: EntryStatus,
    pub(super) session: u64,
    /// Sequence of the latest message received.
    pub(super) acknowledged: u64,
    pub(super) lease_expires_at: Instant,
    pub(super) held: BTreeMap<(ServerKey, WorkClass), u32>,
    /// Sum of `held`, cached because it is read for each entry at each event.
    pub(super) held_total: u32,
    /// Credits granted in this session.
    pub(super) granted: u64,
    /// Credits received in this session, as last reported by the entry.
    pub(super) received: u64,
    /// Idle credits, as last reported by the entry.
    pub(super) idle: u32,
    pub(super) demand: [Option<WaitingDemand>; 2],
    /// Credits recalled and not returned yet; reset when the recall may be sent again.
    pub(super) recalled: u32,
    pub(super) recalled_at: Instant,
    /// Requests started, exponentially decayed by `RATE_DECAY_TIME`.
    pub(super) rate: f64,
    pub(super) idle_allowance: u32,
    pub(super) ejected: Vec<ServerKey>,
    pub(super) suspects: Vec<Suspicion>,
    pub(super) replied_at: Option<Instant>,
    /// Message to the entry that the current event has produced so far.
    pub(super) outbox: Option<HolderMessage>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingDemand {
    pub(super) since: Instant,
    /// Work that waited when the entry reported, less the credits granted since.
    pub(super) waiting: u32,
    /// Work that waited when the entry reported; at least one, because it is a divisor.
    pub(super) reported_waiting: u32,
    pub(super) deadline: Option<Instant>,
}

#[derive(Debug)]
pub(super) struct ServerState {
    pub(super) zone: ZoneName,
    /// Slots in effect according to the directory.
    pub(super) limit: u32,
    /// Slots that may be granted now: `limit`, or fewer while the server is capped.
    pub(super) slots: u32,
    pub(super) cap: HealthCap,
    /// End of the pause after a failure; nothing is granted before.
    pub(super) paused_until: Option<Instant>,
    pub(super) pause: Duration,
    pub(super) failed_at: Option<Instant>,
    /// Credits that entries hold: in use, idle or in transit.
    pub(super) outstanding: u32,
    pub(super) long_outstanding: u32,
    pub(super) recall_sent_at: Option<Instant>,
}

impl EntryState {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            zone: "".into(),
            status: EntryStatus::AwaitingReport,
            session: 0,
            acknowledged: 0,
            lease_expires_at: now,
            held: BTreeMap::new(),
            held_total: 0,
            granted: 0,
            received: 0,
            idle: 0,
            demand: [None; 2],
            recalled: 0,
            recalled_at: now,
            rate: 0.0,
            idle_allowance: 0,
            ejected: Vec::new(),
            suspects: Vec::new(),
            replied_at: None,
            outbox: None,
        }
    }

    pub(super) fn is_live(&self) -> bool {
        self.status != EntryStatus::Departed
    }

    pub(super) fn clear_pending(&mut self) {
        self.demand = [None; 2];
        self.recalled = 0;
        self.outbox = None;
    }

    pub(super) fn in_transit(&self) -> u32 {
        self.granted.saturating_sub(self.received) as u32
    }

    pub(super) fn idle_estimate(&self) -> u32 {
        self.idle + self.in_transit()
    }

    pub(super) fn held_on(&self, server: ServerKey) -> u32 {
        WorkClass::ALL.iter().filter_map(|class| self.held.get(&(server, *class))).sum()
    }

    /// Estimated arrival of the oldest work that has no grant yet, assuming that the waiting work
    /// arrived at a constant rate.
    pub(super) fn waiting_since(&self, now: Instant, class: WorkClass) -> Option<Instant> {
        let demand = self.demand[class.index()]?;
        let is_expired = demand.deadline.is_some_and(|deadline| deadline <= now);
        if demand.waiting == 0 || is_expired || self.status != EntryStatus::Reported {
            return None;
        }
        let age = now.saturating_duration_since(demand.since);
        let granted = demand.reported_waiting.saturating_sub(demand.waiting);
        Some(demand.since + age * granted / demand.reported_waiting)
    }

    pub(super) fn empty_message(&self, epoch: EpochNumber) -> HolderMessage {
        HolderMessage {
            epoch,
            session: self.session,
            acknowledged: self.acknowledged,
            lease: CREDIT_LEASE,
            idle_allowance: self.idle_allowance,
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

impl ServerState {
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
            recall_sent_at: None,
        }
    }

    pub(super) fn apply_cap(&mut self) {
        self.slots = self.cap.limit(self.limit);
    }

    /// Whether the server has slots or outstanding credits. Otherwise its state can be removed.
    pub(super) fn is_needed(&self) -> bool {
        self.limit + self.outstanding > 0
    }

    pub(super) fn unused_slots(&self) -> u32 {
        self.slots.saturating_sub(self.outstanding)
    }

    pub(super) fn free_slots(&self, class: WorkClass, long_percent: u32) -> u32 {
        if self.paused_until.is_some() {
            return 0;
        }
        if class == WorkClass::Short {
            return self.unused_slots();
        }
        let limit = long_limit(self.slots, long_percent);
        self.unused_slots().min(limit.saturating_sub(self.long_outstanding))
    }

    pub(super) fn has_free_long_slot(&self, percent: u32) -> bool {
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
