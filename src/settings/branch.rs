//! State of one branch in the settings store.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::outcomes::OutcomeLog;
use crate::ids::SettingsRevision;

/// Versions kept for one branch.
pub const HISTORY_LIMIT: usize = 100;

/// Branches that can exist, deleted ones included; 4,200 services need about 210.
pub const BRANCH_LIMIT: usize = 4096;

/// One branch; a deleted one stays without document, so that its versions never repeat and
/// entries learn of the deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BranchState {
    pub(super) version: u64,
    /// Revision of the last accepted change.
    pub(super) revision: SettingsRevision,
    pub(super) token_sha256: Box<str>,
    /// `None` when the branch is deleted.
    pub(super) document: Option<Arc<str>>,
    pub(super) history: VecDeque<HistoryEntry>,
    pub(super) outcomes: OutcomeLog,
}

/// One accepted version of a branch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub version: u64,
    pub revision: SettingsRevision,
    pub change_id: Box<str>,
    /// `None` for a deletion.
    pub document: Option<Arc<str>>,
}

impl BranchState {
    pub(super) fn new(document: Option<Arc<str>>, token_sha256: Box<str>) -> Self {
        Self {
            version: 0,
            revision: 0,
            token_sha256,
            document,
            history: VecDeque::new(),
            outcomes: OutcomeLog::default(),
        }
    }

    /// Takes over an accepted document and returns its version.
    pub(super) fn accept(
        &mut self,
        document: Option<Arc<str>>,
        change_id: &str,
        revision: SettingsRevision,
    ) -> u64 {
        self.version += 1;
        self.revision = revision;
        self.document = document.clone();
        if self.history.len() == HISTORY_LIMIT {
            self.history.pop_front();
        }
        let version = self.version;
        let change_id = change_id.into();
        self.history.push_back(HistoryEntry { version, revision, change_id, document });
        version
    }
}
