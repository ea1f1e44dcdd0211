//! Servers whose heartbeats arrive, and those that have fallen silent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::announcement::IncarnationStart;
use crate::fleet::state::{FleetCommand, FleetState};
use crate::ids::ServerId;

/// Heartbeat intervals without a heartbeat after which a server counts as silent.
const SILENT_HEARTBEATS: u32 = 4;

/// Incarnation that was heard, and when.
struct HeardServer {
    started: IncarnationStart,
    at: Instant,
}

/// Heartbeats that arrived here or were reported by other members.
#[derive(Default)]
pub struct HeardServers {
    last: BTreeMap<ServerId, HeardServer>,
    unreported: BTreeMap<ServerId, IncarnationStart>,
}

impl HeardServers {
    /// Notes a heartbeat that another member reported.
    pub fn note_report(&mut self, now: Instant, server: &ServerId, started: IncarnationStart) {
        self.last.insert(server.clone(), HeardServer { started, at: now });
    }

    /// Notes a heartbeat that arrived here.
    pub fn note(&mut self, now: Instant, server: &ServerId, started: IncarnationStart) {
        self.note_report(now, server, started);
        self.unreported.insert(server.clone(), started);
    }

    /// Servers that were heard here since the last call.
    pub fn take_unreported(&mut self) -> Vec<(ServerId, IncarnationStart)> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }

    /// Changes that the leader since `since` proposes: servers that fell silent or are heard again.
    pub fn changes(
        &mut self,
        now: Instant,
        since: Instant,
        heartbeat: Duration,
        state: &FleetState,
    ) -> Vec<FleetCommand> {
        let limit = heartbeat * SILENT_HEARTBEATS;
        let (mut silent, mut heard) = (Vec::new(), Vec::new());
        for (server, record) in state.servers() {
            let started = record.announcement.started;
            let last = self.last.get(server).filter(|heard| heard.started == started);
            // A new leader knows only what was reported since it leads.
            let age = now.duration_since(last.map_or(since, |heard| heard.at.max(since)));
            if age > limit && !record.silent {
                silent.push((server.clone(), started));
            } else if record.silent && last.is_some() && age < limit {
                heard.push((server.clone(), started));
            }
        }
        self.last.retain(|server, _| state.servers().contains_key(server));
        // When most servers fall silent together the fault is on this side.
        if silent.len() * 2 > state.servers().len() {
            silent.clear();
        }
        let commands = [FleetCommand::Silent(silent), FleetCommand::Heard(heard)];
        commands.into_iter().filter(|command| !command.is_empty()).collect()
    }
}
