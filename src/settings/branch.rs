//! State of a branch in the settings store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::history::{HistoryEntry, VersionHistory};
use super::outcomes::OutcomeLog;
use crate::ids::SettingsRevision;

/// Maximum number of branches, deleted ones included; 4,200 services need about 210.
pub const BRANCH_LIMIT: usize = 4096;

/// State of a branch. A deleted branch is kept without a document, so that its version numbers are
/// never reused and entries receive the deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct BranchState {
    pub(super) version: u64,
    /// Settings revision of the branch's last accepted change.
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

    /// Stores the document of an accepted change as a new version and returns the version number.
    pub(super) fn commit_version(
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
