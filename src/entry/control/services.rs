//! Services of an entry: settings, servers and the holders of their credit accounts.

use std::sync::Arc;
use std::time::Instant;

use super::{ControlInput, EntryControl};
use crate::directory::{LifeState, ServerAnnouncement, ServiceKey};
use crate::entry::accounts::holder_of;
use crate::entry::context::ServiceTable;
use crate::entry::runtime::{RuntimeIdentity, ServiceRuntime};
use crate::ids::ProcessName;
use crate::settings::SettingsTree;

impl EntryControl {
    /// Publishes new settings; services that stay keep their running state.
    pub(super) fn publish(&mut self, tree: Arc<SettingsTree>) {
        let now = Instant::now();
        let old = self.context.table();
        let mut table = ServiceTable { tree: Some(Arc::clone(&tree)), ..Default::default() };
        let mut added = Vec::new();
        for (team, settings) in &tree.teams {
            let services = table.runtimes.entry(team.clone()).or_default();
            for (service, settings) in &settings.services {
                let runtime = match old.runtime(team, service) {
                    Some(runtime) => {
                        runtime.change_settings(Arc::clone(settings));
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
            self.fill(now, &runtime);
        }
        let table = self.context.table();
        self.accounts.retain(|key| table.runtime(&key.team, &key.service).is_some());
        self.change_holders();
    }

    /// Gives a new service the servers that the directory knows already.
    fn fill(&self, now: Instant, runtime: &Arc<ServiceRuntime>) {
        for record in self.directory.servers(runtime.key()) {
            runtime.change_server(now, &record.announcement, record.life);
        }
    }

    fn runtime_identity(&self) -> RuntimeIdentity {
        let inbox = self.context.inbox.clone();
        RuntimeIdentity {
            name: self.context.name.clone(),
            availability_zone: self.context.availability_zone.clone(),
            seed: self.context.random(),
            // A full queue loses the message; the wallet repeats demand and reports.
            outbox: Box::new(move |service, message| {
                let _ = inbox.try_send(ControlInput::Credit(service.clone(), message));
            }),
        }
    }

    pub(super) fn change_server(
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
                server:% = announcement.server, from:? = from, to:? = to; "server state"
            );
        }
        let Some(runtime) = table.runtime(&announcement.team, &announcement.service) else {
            return;
        };
        runtime.change_server(now, announcement, to);
        self.accounts.change_servers(now, runtime.key(), || runtime.server_limits(now));
    }

    /// Assigns the account of each service to an entry of the current list.
    pub(super) fn change_holders(&mut self) {
        let now = Instant::now();
        let names: Vec<ProcessName> = self.live.iter().map(|entry| entry.name.clone()).collect();
        for runtime in self.context.table().all() {
            let Some(holder) = holder_of(runtime.key(), &self.live) else {
                continue;
            };
            let is_own = holder == self.context.name;
            if is_own {
                let servers = runtime.server_limits(now);
                let key = runtime.key();
                self.accounts.hold(now, key, self.epoch, &self.live, servers);
                self.accounts.change_limits(key, runtime.measure_limits());
            } else {
                self.accounts.release(runtime.key());
            }
            let reachable = is_own || self.peers.contains(&holder);
            runtime.change_holder(self.epoch, names.clone(), reachable);
        }
        self.deliver_grants();
    }
}
