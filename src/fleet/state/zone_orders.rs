//! Orders of operators for availability zones, in the order of the log.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::FleetState;
use crate::ids::{LogIndex, ZoneName};

/// Maximum number of evacuated availability zones.
pub const MAX_EVACUATED: usize = 256;

/// Number of newest orders without an effect, of each kind, that are remembered until their callers have been
/// answered.
const MAX_REFUSED_ORDERS: usize = 64;

/// Maximum number of availability zones whose newest order is remembered; the oldest goes first.
const MAX_ORDERED_ZONES: usize = 512;

/// Order to evacuate an availability zone, or to end that.
///
/// An operator sends an order again at another member if the first one does not answer. The first call may be
/// carried out seconds later, when another operator's order for the zone has been acknowledged. It must not undo
/// that, so an order has no effect if a contrary one came after `seen`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    pub zone: ZoneName,
    /// `false` ends the evacuation.
    pub evacuates: bool,
    /// Log index up to which the member had applied the log when the call arrived.
    pub seen: LogIndex,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    InForce,
    /// A contrary order came first; nothing was changed.
    Outdated,
    /// Too many availability zones are evacuated; nothing was changed.
    Refused,
}

/// Newest orders, to judge further ones.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct OrderHistory {
    /// Log index of the newest order for each zone, whether it changed anything or not.
    newest: BTreeMap<ZoneName, LogIndex>,
    /// Log index of the newest order that is no longer remembered.
    forgotten: LogIndex,
    /// Log indexes of the newest outdated orders.
    outdated: BTreeSet<LogIndex>,
}

impl OrderHistory {
    fn newest(&self, zone: &ZoneName) -> LogIndex {
        self.newest.get(zone).copied().unwrap_or(self.forgotten)
    }

    fn record(&mut self, index: LogIndex, zone: ZoneName) {
        self.newest.insert(zone, index);
        if self.newest.len() <= MAX_ORDERED_ZONES {
            return;
        }
        let oldest = self.newest.iter().min_by_key(|(_, index)| **index);
        let Some((zone, index)) = oldest.map(|(zone, index)| (zone.clone(), *index)) else {
            return;
        };
        self.newest.remove(&zone);
        self.forgotten = self.forgotten.max(index);
    }
}

impl FleetState {
    /// Availability zones whose servers get nothing.
    pub fn evacuated(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated
    }

    /// Outcome of the order that was applied at `index`, while it is remembered.
    pub fn order_outcome(&self, index: LogIndex) -> OrderOutcome {
        if self.refused_evacuations.contains(&index) {
            return OrderOutcome::Refused;
        }
        if self.zone_orders.outdated.contains(&index) {
            return OrderOutcome::Outdated;
        }
        OrderOutcome::InForce
    }

    pub(super) fn order_zone(&mut self, index: LogIndex, order: ZoneOrder) {
        let ZoneOrder { zone, evacuates, seen } = order;
        let changes = self.evacuated.contains(&zone) != evacuates;
        if changes && seen < self.zone_orders.newest(&zone) {
            remember(index, &mut self.zone_orders.outdated);
            return;
        }
        if changes && evacuates && self.evacuated.len() >= MAX_EVACUATED {
            remember(index, &mut self.refused_evacuations);
            return;
        }
        if changes {
            if evacuates {
                self.evacuated.insert(zone.clone());
            } else {
                self.evacuated.remove(&zone);
            }
            self.evacuated_changed = index;
        }
        self.zone_orders.record(index, zone);
    }
}

fn remember(index: LogIndex, indexes: &mut BTreeSet<LogIndex>) {
    indexes.insert(index);
    if indexes.len() > MAX_REFUSED_ORDERS {
        indexes.pop_first();
    }
}
