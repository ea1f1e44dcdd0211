//! Snapshots of the replicated state, and the cached updates that depend on its revision.

use std::sync::Arc;

use super::ControlCore;
use crate::consensus::message::SharedSnapshot;
use crate::fleet::control::disk::DiskJob;
use crate::fleet::state::FleetState;
use crate::{log_info, log_warn};

/// Number of log entries applied between two snapshots.
const SNAPSHOT_ENTRIES: u64 = 512;

/// Size of the log entries applied between two snapshots. The log in memory grows by as much, and a member
/// has 256 MB; the log on disk is cut by segments of 8 MiB.
const SNAPSHOT_BYTES: usize = 8 << 20;

impl ControlCore {
    pub(super) fn publish_revision(&mut self) {
        self.updates.clear();
        self.update_parts.clear();
        self.revision.send_replace(self.applied);
    }

    /// Saves a snapshot if enough entries, or entries of enough bytes, were applied since the last one. One
    /// that is being saved is waited for: on a stalled disk each would hold a copy of the state.
    pub(super) fn save_due_snapshot(&mut self) {
        let is_due = self.applied - self.snapshot_index >= SNAPSHOT_ENTRIES
            || self.unsaved_bytes >= SNAPSHOT_BYTES;
        if !is_due || self.is_saving_snapshot {
            return;
        }
        let data = self.state.snapshot();
        let Some(snapshot) = self.node.snapshot_at(self.applied, data) else { return };
        self.snapshot_index = self.applied;
        self.unsaved_bytes = 0;
        self.is_saving_snapshot = true;
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
                self.unsaved_bytes = 0;
                self.publish_revision();
                log_info!("snapshot_installed", "index={}", snapshot.index);
            }
            Err(error) => log_warn!("snapshot_unreadable", "error=\"{error}\""),
        }
    }
}
