//! What a choice of a server would be now, without its effects.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{ServerStats, ServiceBalancer};
use crate::fleet::announcement::ServerState;
use crate::fleet::explain::{
    MAX_NAMED_TARGETS, TargetCondition, TargetOutlook, TargetStep, ZoneOutlook,
};
use crate::fleet::zone_balance::CallerTerms;
use crate::ids::ServerId;

impl ServiceBalancer {
    /// Servers in the order in which a request would ask them, of which the first with room gets it. A load report
    /// younger than `fresh_time` makes a probe unnecessary; without one, `is_probed` tells whether there are any.
    pub fn explain_choices(
        &self,
        now: Instant,
        connected: &[ServerId],
        terms: &CallerTerms,
        (is_probed, fresh_time): (bool, Duration),
        random: &mut fastrand::Rng,
    ) -> Vec<TargetOutlook> {
        let mut targets = Vec::new();
        let mut excluded = Vec::new();
        while targets.len() < MAX_NAMED_TARGETS {
            let Some(chosen) = self.choose_for(now, &excluded, connected, terms, random) else {
                break;
            };
            let Some(stats) = self.servers.get(&chosen.server) else { break };
            let is_fresh = chosen.load_age.is_some_and(|age| age < fresh_time);
            let step = match (is_probed, is_fresh) {
                (true, false) => TargetStep::Probe,
                (true, true) if !chosen.has_spare_capacity => TargetStep::PassOver,
                _ => TargetStep::Send,
            };
            let server = chosen.server;
            targets.push(TargetOutlook {
                zone: stats.availability_zone.clone(),
                cost: chosen.cost,
                expected_factor: chosen.expected_factor,
                has_connection: connected.contains(&server),
                load_age_ms: chosen.load_age.map(|age| age.as_millis() as u64),
                step,
                server: server.clone(),
            });
            excluded.push(server);
            if step == TargetStep::Send {
                break;
            }
        }
        targets
    }

    /// Numbers of servers by condition.
    pub fn conditions(&self, now: Instant) -> BTreeMap<TargetCondition, usize> {
        let mut counts = BTreeMap::new();
        for stats in self.servers.values() {
            *counts.entry(self.condition(now, stats)).or_default() += 1;
        }
        counts
    }

    fn condition(&self, now: Instant, stats: &ServerStats) -> TargetCondition {
        if stats.is_evacuated {
            TargetCondition::Evacuated
        } else if stats.state != ServerState::Ready || !stats.stated.accepts(now) {
            TargetCondition::Withdrawn
        } else if !stats.warmup.admits(now, &self.pacing) {
            TargetCondition::Cold
        } else if stats.ejected_until.is_some_and(|until| now < until) {
            TargetCondition::Ejected
        } else if !stats.is_available(now) {
            TargetCondition::Silent
        } else if stats.reported_no_room(now) {
            TargetCondition::Full
        } else {
            TargetCondition::Usable
        }
    }

    /// How much of the service's requests leaves the zone.
    pub fn zone_outlook(&self) -> ZoneOutlook {
        ZoneOutlook { share: self.zone_plan.share(), parts: self.zone_plan.parts().to_vec() }
    }
}
