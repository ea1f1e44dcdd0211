//! Applies committed commands to the replicated state.

use super::ControlCore;
use crate::consensus::message::{EntryBody, LogEntry};
use crate::fleet::link::CallOutcome;
use crate::fleet::state::FleetCommand;
use crate::ids::LogIndex;
use crate::{log_info, log_warn};

impl ControlCore {
    /// Applies committed entries of the log and answers their callers.
    pub(super) fn apply(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.applied = entry.index;
            self.unsaved_bytes += entry.size_bytes();
            self.state.advance(entry.index);
            if let EntryBody::Payload(payload) = &entry.body {
                match FleetCommand::decode(payload) {
                    Ok(command) => self.apply_command(entry.index, command),
                    Err(error) => {
                        log_warn!("command_skipped", "index={} error=\"{error}\"", entry.index)
                    }
                }
            }
            let Some((term, waiter)) = self.uncommitted.remove(&entry.index) else { continue };
            let done = CallOutcome::Done { index: entry.index };
            self.send_reply(waiter, if term == entry.term { done } else { CallOutcome::Unknown });
        }
        self.publish_revision();
        self.save_due_snapshot();
    }

    fn apply_command(&mut self, index: LogIndex, command: FleetCommand) {
        let zone = match &command {
            FleetCommand::Evacuate(zone) | FleetCommand::EndEvacuation(zone) => Some(zone.clone()),
            FleetCommand::OrderZone(order) => Some(order.zone.clone()),
            _ => None,
        };
        let Some(zone) = zone else { return self.state.apply(index, command) };
        let was_evacuated = self.state.evacuated().contains(&zone);
        self.state.apply(index, command);
        let is_evacuated = self.state.evacuated().contains(&zone);
        match (was_evacuated, is_evacuated) {
            (false, true) => log_info!("evacuation_begins", "zone={zone} index={index}"),
            (true, false) => log_info!("evacuation_ends", "zone={zone} index={index}"),
            _ => {}
        }
    }
}
