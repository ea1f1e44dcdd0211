//! Tracks the heartbeats of servers and detects servers that have gone silent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::announcement::IncarnationStart;
use crate::fleet::state::{FleetCommand, FleetState};
use crate::ids::ServerId;

/// Number of heartbeat intervals without a heartbeat after which a server counts as silent.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Incarnation of a server that sent the last heartbeat, and when it arrived.
struct LastHeartbeat {
    started: IncarnationStart,
    received_at: Instant,
}

/// Last heartbeat of each server, received by this member or reported by another.
#[derive(Default)]
pub struct HeartbeatTracker {
    last: BTreeMap<ServerId, LastHeartbeat>,
    unreported: BTreeMap<ServerId, IncarnationStart>,
}

impl HeartbeatTracker {
    /// Records a heartbeat that another member reported.
    pub fn record_reported(&mut self, now: Instant, server: &ServerId, started: IncarnationStart) {
        self.last.insert(server.clone(), LastHeartbeat { started, received_at: now });
    }

    /// Records a heartbeat that this member received.
    pub fn record_received(&mut self, now: Instant, server: &ServerId, started: IncarnationStart) {
        self.record_reported(now, server, started);
        self.unreported.insert(server.clone(), started);
    }

    /// Takes the heartbeats that this member received since the previous call.
    pub fn take_unreported(&mut self) -> Vec<(ServerId, IncarnationStart)> {
        std::mem::take(&mut self.unreported).into_iter().collect()
    }

    /// Returns the commands to propose for servers that went silent or resumed their heartbeats.
    /// `leading_since` is the time at which this member became leader.
    pub fn liveness_changes(
        &mut self,
        now: Instant,
        leading_since: Instant,
        heartbeat: Duration,
        state: &FleetState,
    ) -> Vec<FleetCommand> {
        let silence_limit = heartbeat * MAX_MISSED_HEARTBEATS;
        let (mut silent, mut resumed) = (Vec::new(), Vec::new());
        for (server, record) in state.servers() {
            let started = record.announcement.started;
            let last = self.last.get(server).filter(|last| last.started == started);
            // A new leader has seen only the heartbeats reported since its election.
            let age = now.duration_since(
                last.map_or(leading_since, |last| last.received_at.max(leading_since)),
            );
            if age > silence_limit && !record.silent {
                silent.push((server.clone(), started));
            } else if record.silent && last.is_some() && age < silence_limit {
                resumed.push((server.clone(), started));
            }
        }
        self.last.retain(|server, _| state.servers().contains_key(server));
        // When most servers go silent together, the fault is probably on the side of the control
        // members, so no server is marked.
        if silent.len() * 2 > state.servers().len() {
            silent.clear();
        }
        let commands = [FleetCommand::Silent(silent), FleetCommand::Heard(resumed)];
        commands.into_iter().filter(|command| !command.is_empty()).collect()
    }
}
