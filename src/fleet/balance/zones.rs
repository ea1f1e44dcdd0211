//! Use of the decision how much leaves the zone.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::ServiceBalancer;
use crate::fleet::zone_balance::{CallerTerms, WayPrices, ZoneCapacity, ZoneChange};
use crate::ids::{ServerId, ZoneName};

/// Usual duration of a request before the first response.
const UNKNOWN_DURATION: Duration = Duration::from_millis(200);

impl ServiceBalancer {
    pub fn set_way_prices(&mut self, prices: WayPrices) {
        self.zone_plan.set_prices(prices);
    }

    /// Records a request before its first choice, with the expected size of request and response.
    pub fn record_request(&mut self, bytes: u64) {
        self.zone_plan.record_request(bytes);
    }

    /// Updates the decision if it is due, before a choice; returns it if it changed.
    pub fn update_zones(&mut self, now: Instant) -> Option<ZoneChange> {
        if !self.zone_plan.is_due(now) {
            return None;
        }
        let mut capacities: BTreeMap<&str, ZoneCapacity> = BTreeMap::new();
        for stats in self.servers.values() {
            let has_room = stats.may_get_requests(now) && stats.is_available(now);
            if !has_room || stats.warmup.is_slow(now) {
                continue;
            }
            let capacity = capacities.entry(&*stats.availability_zone).or_default();
            capacity.slots += f64::from(stats.slots);
            capacity.in_flight += f64::from(stats.in_flight);
        }
        let expected = self.mean_latency().unwrap_or(UNKNOWN_DURATION);
        self.zone_plan.update(now, &capacities, expected)
    }

    /// Part of the requests that leaves the zone.
    pub fn leaving_share(&self) -> f64 {
        self.zone_plan.share()
    }

    /// Records the time that opening a connection to `server` took.
    pub fn record_connect(&mut self, server: &ServerId, elapsed: Duration) {
        if let Some(stats) = self.servers.get(server) {
            self.zone_plan.record_connect(&stats.availability_zone, elapsed);
        }
    }

    /// Zone that a request prefers; `None` for the own zone.
    pub(super) fn choose_zone(
        &self,
        now: Instant,
        tried: &[ServerId],
        terms: &CallerTerms,
        random: &mut fastrand::Rng,
    ) -> Option<&ZoneName> {
        let is_own = |server| self.servers.get(server).is_some_and(|stats| stats.same_zone);
        self.zone_plan.choose_zone(now, terms, tried.iter().any(is_own), random)
    }

    /// Divides the ranking by zone, for the choice among the servers of another zone.
    pub(super) fn rank_zones(&mut self, own_zone: &str) {
        let zones = self.servers.values().map(|stats| &stats.availability_zone);
        self.zone_plan.set_zones(own_zone, zones);
        self.zone_rankings.clear();
        for server in &self.ranking {
            let Some(stats) = self.servers.get(server) else { continue };
            if !stats.same_zone {
                let ranking =
                    self.zone_rankings.entry(stats.availability_zone.clone()).or_default();
                ranking.push(server.clone());
            }
        }
    }
}
