//! Metrics of the authentication of callers at an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::TenantTable;
use crate::fleet::process_metrics::SharedCounter;

/// Labels of a metric by reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Metrics of the authentication of callers. They have no series by tenant, of which there may be many.
#[derive(Debug, Default)]
pub struct KeyMetrics {
    refusals: Family<ReasonLabel, SharedCounter>,
    keys: Gauge,
    tenants: Gauge,
}

impl KeyMetrics {
    pub fn register(&self, registry: &mut Registry) {
        let refusals = self.refusals.clone();
        registry.register("key_refusals", "Requests without a key in force, by reason", refusals);
        registry.register("keys", "Keys in force", self.keys.clone());
        registry.register("tenants", "Tenants in force", self.tenants.clone());
    }

    /// Records the tenants in force.
    pub fn record_table(&self, table: &TenantTable) {
        self.keys.set(table.key_count() as i64);
        self.tenants.set(table.tenant_count() as i64);
    }

    /// Records a refused request.
    pub fn record_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }
}
