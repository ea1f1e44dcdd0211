//! Snapshots of the replicated state, and the cached updates that depend on its revision.

use std::sync::Arc;

use super::ControlCore;
use crate::consensus::message::SharedSnapshot;
use crate::fleet::control::disk::DiskJob;
use crate::fleet::state::FleetState;
use crate::{log_info, log_warn};

/// Number of log entries applied between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 512;

impl ControlCore {
    pub(super) fn publish_revision(&mut self) {
        self.updates.clear();
        self.update_parts.clear();
        self.revision.send_replace(self.applied);
    }

    /// Saves a snapshot if enough entries were applied since the last one.
    pub(super) fn save_due_snapshot(&mut self) {
        if self.applied - self.snapshot_index < SNAPSHOT_ENTRIES {
            return;
        }
        let data = self.state.snapshot();
        let Some(snapshot) = self.node.snapshot_at(self.applied, data) else { return };
        self.snapshot_index = self.applied;
        let snapshot = Arc::new(snapshot);
        let _ = self.disk.send(DiskJob::Snapshot { snapshot, installed: false });
    }

    pub(super) fn restore(&mut self, snapshot: &SharedSnapshot) {
        match FleetState::restore(&snapshot.data) {
            Ok(mut state) => {
                state.advance(snapshot.index);
                self.state = state;
                self.applied = snapshot.index;
                self.snapshot_index = snapshot.index;
                self.publish_revision();
                log_info!("snapshot_installed", "index={}", snapshot.index);
            }
            Err(error) => log_warn!("snapshot_unreadable", "error=\"{error}\""),
        }
    }
}
