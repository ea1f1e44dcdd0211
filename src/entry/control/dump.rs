//! JSON dump of the state of an entry.

use std::time::Instant;

use super::EntryControl;
use crate::entry::accounts::choose_account_holder;
use crate::entry::runtime::ServiceRuntime;

impl EntryControl {
    pub(super) fn dump(&self, now: Instant) -> serde_json::Value {
        let mut services = serde_json::Map::new();
        for runtime in self.context.table().all() {
            let key = runtime.key();
            let name = format!("{}/{}", key.team, key.service);
            services.insert(name, self.dump_service(runtime));
        }
        serde_json::json!({
            "name": self.context.name,
            "role": "entry",
            "region": self.context.region,
            "availability_zone": self.context.availability_zone,
            "state": self.context.process_state(),
            "session": self.context.session(),
            "settings_revision": self.installed.revision(),
            "cluster": self.installed.cluster().map(|cluster| format!("{cluster:016x}")),
            "lease_valid": self.lease_client.is_valid(now),
            "leader": self.lease_client.leader(),
            "epoch": self.epoch,
            "live_entries": self.live_entries,
            "peers": self.peers,
            "controls": self.controls,
            "open_requests": self.context.open_requests(),
            "open_claim_calls": self.context.claims.pending_calls(),
            "directory": format!("{:?}", self.directory.counters()),
            "services": services,
        })
    }

    fn dump_service(&self, runtime: &ServiceRuntime) -> serde_json::Value {
        let mut servers = Vec::new();
        for view in runtime.servers() {
            let counts = self.context.pool.counts(view.address);
            servers.push(serde_json::json!({
                "id": view.id,
                "address": view.address,
                "availability_zone": view.availability_zone,
                "state": format!("{:?}", view.life).to_lowercase(),
                "slots": view.slots,
                "connections_open": counts.open,
                "connections_idle": counts.idle,
            }));
        }
        let counters = runtime.measure_counters();
        serde_json::json!({
            "holder": choose_account_holder(runtime.key(), &self.live_entries),
            "own_count": runtime.uses_local_count(),
            "open": runtime.occupied_slots(),
            "waiting": runtime.waiting(),
            "measure_messages": counters.messages_spent,
            "measure_bytes": counters.bytes_spent,
            "measure_suppressed": counters.messages_suppressed,
            "servers": servers,
        })
    }
}
