//! Updates of the services of an entry: settings, servers and account holders.

use std::sync::Arc;
use std::time::Instant;

use super::{ControlInput, EntryControl};
use crate::directory::{LifeState, ServerAnnouncement, ServiceKey};
use crate::entry::accounts::choose_account_holder;
use crate::entry::context::ServiceTable;
use crate::entry::runtime::{RuntimeIdentity, ServiceRuntime};
use crate::ids::ProcessName;
use crate::settings::SettingsTree;

impl EntryControl {
    /// Applies new settings; services that remain keep their runtime.
    pub(super) fn apply_settings(&mut self, tree: Arc<SettingsTree>) {
        let now = Instant::now();
        let old = self.context.table();
        let mut table = ServiceTable { tree: Some(Arc::clone(&tree)), ..Default::default() };
        let mut added = Vec::new();
        for (team, settings) in &tree.teams {
            let services = table.runtimes.entry(team.clone()).or_default();
            for (service, settings) in &settings.services {
                let runtime = match old.runtime(team, service) {
                    Some(runtime) => {
                        runtime.update_settings(Arc::clone(settings));
                        runtime
                    }
                    None => {
                        let key = ServiceKey { team: team.clone(), service: service.clone() };
                        let identity = self.runtime_identity();
                        let runtime = ServiceRuntime::new(key, Arc::clone(settings), identity, now);
                        added.push(Arc::clone(&runtime));
                        runtime
                    }
                };
                services.insert(service.clone(), runtime);
            }
        }
        self.context.publish(table);
        for runtime in added {
            self.add_known_servers(now, &runtime);
        }
        let table = self.context.table();
        self.accounts.retain(|key| table.runtime(&key.team, &key.service).is_some());
        self.assign_account_holders();
    }

    /// Adds the servers that the directory already knows to a new service.
    fn add_known_servers(&self, now: Instant, runtime: &Arc<ServiceRuntime>) {
        for record in self.directory.servers(runtime.key()) {
            runtime.update_server(now, &record.announcement, record.life);
        }
    }

    fn runtime_identity(&self) -> RuntimeIdentity {
        let inbox = self.context.inbox.clone();
        RuntimeIdentity {
            name: self.context.name.clone(),
            availability_zone: self.context.availability_zone.clone(),
            seed: self.context.random(),
            // The message is lost if the queue is full; the wallet repeats demand and reports.
            outbox: Box::new(move |service, message| {
                let _ = inbox.try_send(ControlInput::Credit(service.clone(), message));
            }),
        }
    }

    pub(super) fn update_server(
        &mut self,
        now: Instant,
        table: &ServiceTable,
        from: Option<LifeState>,
        to: LifeState,
        announcement: &ServerAnnouncement,
    ) {
        if from != Some(to) {
            log::info!(
                team:% = announcement.team, service:% = announcement.service,
                server:% = announcement.server, from:? = from, to:? = to; "server state changed"
            );
        }
        let Some(runtime) = table.runtime(&announcement.team, &announcement.service) else {
            return;
        };
        runtime.update_server(now, announcement, to);
        self.accounts.update_servers(now, runtime.key(), || runtime.server_limits(now));
    }

    /// Determines the account holder of each service from the live entries, and opens or drops the
    /// accounts held here.
    pub(super) fn assign_account_holders(&mut self) {
        let now = Instant::now();
        let names: Vec<ProcessName> =
            self.live_entries.iter().map(|entry| entry.name.clone()).collect();
        for runtime in self.context.table().all() {
            let Some(holder) = choose_account_holder(runtime.key(), &self.live_entries) else {
                continue;
            };
            let is_own = holder == self.context.name;
            if is_own {
                let servers = runtime.server_limits(now);
                let key = runtime.key();
                self.accounts.hold(now, key, self.epoch, &self.live_entries, servers);
                self.accounts.update_limits(key, runtime.measure_limits());
            } else {
                self.accounts.release(runtime.key());
            }
            let reachable = is_own || self.peers.contains(&holder);
            runtime.update_holder(self.epoch, names.clone(), reachable);
        }
        self.deliver_grants();
    }
}
