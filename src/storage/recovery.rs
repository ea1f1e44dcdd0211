//! Rebuilds the durable state of all groups from snapshots and log records.

use std::collections::{BTreeMap, VecDeque};

use super::frame::LogRecord;
use crate::consensus::message::{HardState, LogEntry, SharedSnapshot};
use crate::ids::{GroupId, TermNumber};

/// Recovered durable state of one group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecoveredGroup {
    pub hard_state: HardState,
    pub snapshot: Option<SharedSnapshot>,
    /// Contiguous entries after the snapshot.
    pub entries: VecDeque<LogEntry>,
    /// Term of the log entry at the snapshot's index, if the log still contains it.
    pub(super) term_at_snapshot: Option<TermNumber>,
}

impl RecoveredGroup {
    pub(super) fn from_snapshot(snapshot: SharedSnapshot) -> Self {
        Self { snapshot: Some(snapshot), ..Self::default() }
    }

    fn snapshot_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Applies one record; returns false if an entry does not continue the log.
    pub(super) fn replay(&mut self, record: LogRecord) -> bool {
        match record {
            LogRecord::HardState(state) => self.hard_state = state,
            LogRecord::Truncate(from) => self.truncate(from),
            LogRecord::Entry(entry) => return self.push(entry),
        }
        true
    }

    fn truncate(&mut self, from: u64) {
        if from <= self.snapshot_index() {
            self.term_at_snapshot = None;
        }
        while self.entries.back().is_some_and(|entry| entry.index >= from) {
            self.entries.pop_back();
        }
    }

    fn push(&mut self, entry: LogEntry) -> bool {
        let base = self.snapshot_index();
        if entry.index <= base {
            if entry.index == base {
                self.term_at_snapshot = Some(entry.term);
            }
            return true;
        }
        let last_index = self.entries.back().map_or(base, |last| last.index);
        if entry.index != last_index + 1 {
            return false;
        }
        self.entries.push_back(entry);
        true
    }

    /// Drops the entries after the snapshot if the log's entry at its index has another term.
    ///
    /// A crash between saving an installed snapshot and syncing the truncation leaves such entries.
    pub(super) fn drop_conflicting_tail(&mut self) {
        let Some(snapshot) = &self.snapshot else { return };
        if self.term_at_snapshot.is_some_and(|term| term != snapshot.term) {
            self.entries.clear();
        }
    }
}

/// Recovered groups by id.
pub(super) type RecoveredGroups = BTreeMap<GroupId, RecoveredGroup>;
