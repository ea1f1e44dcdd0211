//! State of one branch in the settings store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::history::{HistoryEntry, VersionHistory};
use super::outcomes::OutcomeLog;
use crate::ids::SettingsRevision;

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
    pub(super) history: VersionHistory,
    pub(super) outcomes: OutcomeLog,
}

impl BranchState {
    pub(super) fn new(document: Option<Arc<str>>, token_sha256: Box<str>) -> Self {
        Self {
            version: 0,
            revision: 0,
            token_sha256,
            document,
            history: VersionHistory::default(),
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
        let change_id = change_id.into();
        let entry =
            HistoryEntry { version: self.version, revision, change_id, document: document.clone() };
        self.history.push(entry, self.document.as_deref());
        self.document = document;
        self.version
    }
}
