//! Metrics of the decision.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::ZoneChange;
use crate::ids::ZoneName;

/// Zones with a series of their own; the others share the label `other`.
const MAX_ZONE_LABELS: usize = 16;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabel {
    service: Box<str>,
    zone: ZoneName,
}

/// Part of each service's requests that leaves the zone, by destination.
#[derive(Debug, Default)]
pub struct ZoneMetrics {
    shares: Family<ZoneLabel, Gauge>,
    known_zones: std::sync::Mutex<std::collections::BTreeSet<ZoneName>>,
}

impl ZoneMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let help = "Requests that leave the zone, in thousandths of the service's requests";
        registry.register("zone_leaving_permille", help, self.shares.clone());
    }

    /// Records a changed decision; `service` is a bounded label value.
    pub fn record(&self, service: &str, change: &ZoneChange) {
        let mut zones = self.known_zones.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (zone, _) in &change.parts {
            if zones.len() < MAX_ZONE_LABELS {
                zones.insert(zone.clone());
            }
        }
        let part_of = |zone: &ZoneName| {
            let part = change.parts.iter().find(|(name, _)| name == zone);
            part.map_or(0.0, |(_, part)| part * change.share)
        };
        for zone in zones.iter() {
            self.set(service, zone.clone(), part_of(zone));
        }
        let others = change.parts.iter().filter(|(zone, _)| !zones.contains(zone));
        let other_share: f64 = others.map(|(_, part)| part * change.share).sum();
        if other_share > 0.0 {
            self.set(service, "other".into(), other_share);
        }
    }

    fn set(&self, service: &str, zone: ZoneName, share: f64) {
        let label = ZoneLabel { service: service.into(), zone };
        self.shares.get_or_create(&label).set((share * 1000.0).round() as i64);
    }
}
