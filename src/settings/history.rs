//! Version history of a branch; each older document is stored as its difference from the next one.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::SettingsRevision;

/// Maximum number of versions stored for one branch.
pub const HISTORY_VERSION_LIMIT: usize = 100;

/// Maximum size in bytes of the older versions of one branch. Storing 100 versions as whole
/// documents took 171 MiB with 4,200 services; a difference is usually far below 1 KiB. Fewer
/// versions are stored for a team that rewrites large documents, so that it cannot exhaust the
/// memory of the control processes.
pub const HISTORY_BYTE_LIMIT: usize = 1024 * 1024;

/// Bytes counted for a version in addition to its text.
const VERSION_OVERHEAD_BYTES: usize = 64;

/// Accepted version of a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    pub version: u64,
    pub revision: SettingsRevision,
    pub change_id: Box<str>,
    /// `None` if the change deleted the branch.
    pub document: Option<Arc<str>>,
}

/// Stored versions of a branch, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionHistory {
    versions: VecDeque<StoredVersion>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredVersion {
    version: u64,
    revision: SettingsRevision,
    change_id: Box<str>,
    text: StoredText,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum StoredText {
    /// The newest version, whose document is stored in the branch.
    Current,
    /// A deletion of the branch.
    Deleted,
    /// A whole document, because the next version is a deletion.
    Whole(Box<str>),
    /// A document that shares its first `prefix` and last `suffix` bytes with the next version's.
    Difference { prefix: usize, suffix: usize, middle: Box<str> },
}

impl VersionHistory {
    /// Adds a version and drops the oldest ones beyond the limits; `previous` is the branch's
    /// document before the change.
    pub(super) fn push(&mut self, entry: HistoryEntry, previous: Option<&str>) {
        if let Some(newest) = self.versions.back_mut() {
            newest.text = StoredText::encode(previous, entry.document.as_deref());
        }
        let HistoryEntry { version, revision, change_id, .. } = entry;
        self.versions.push_back(StoredVersion {
            version,
            revision,
            change_id,
            text: StoredText::Current,
        });
        while self.versions.len() > HISTORY_VERSION_LIMIT || self.byte_size() > HISTORY_BYTE_LIMIT {
            self.versions.pop_front();
        }
    }

    /// Returns the stored versions with their documents, oldest first; `current` is the branch's
    /// current document.
    pub(super) fn entries(&self, current: Option<&Arc<str>>) -> Vec<HistoryEntry> {
        let mut entries = Vec::new();
        let mut next: Option<Arc<str>> = current.cloned();
        for stored in self.versions.iter().rev() {
            next = stored.text.decode(next);
            entries.push(HistoryEntry {
                version: stored.version,
                revision: stored.revision,
                change_id: stored.change_id.clone(),
                document: next.clone(),
            });
        }
        entries.reverse();
        entries
    }

    fn byte_size(&self) -> usize {
        let byte_sizes =
            self.versions.iter().map(|stored| VERSION_OVERHEAD_BYTES + stored.text.byte_size());
        byte_sizes.sum()
    }
}

impl StoredText {
    fn encode(document: Option<&str>, next: Option<&str>) -> Self {
        let Some(document) = document else {
            return Self::Deleted;
        };
        let Some(next) = next else {
            return Self::Whole(document.into());
        };
        let prefix = common_prefix(document, next);
        let suffix = common_suffix(&document[prefix..], &next[prefix..]);
        let middle = document[prefix..document.len() - suffix].into();
        Self::Difference { prefix, suffix, middle }
    }

    fn decode(&self, next: Option<Arc<str>>) -> Option<Arc<str>> {
        match self {
            Self::Current => next,
            Self::Deleted => None,
            Self::Whole(document) => Some(document.as_ref().into()),
            Self::Difference { prefix, suffix, middle } => {
                // If a snapshot holds a difference that does not fit the next document, only the
                // documents that depend on it are lost.
                let next = next?;
                let common_head = next.get(..*prefix)?;
                let common_tail = next.get(next.len().checked_sub(*suffix)?..)?;
                Some(format!("{common_head}{middle}{common_tail}").into())
            }
        }
    }

    fn byte_size(&self) -> usize {
        match self {
            Self::Current | Self::Deleted => 0,
            Self::Whole(text) | Self::Difference { middle: text, .. } => text.len(),
        }
    }
}

/// Returns the length in bytes of the common prefix, rounded down to a character boundary.
fn common_prefix(left: &str, right: &str) -> usize {
    let pairs = left.bytes().zip(right.bytes());
    let mut length = pairs.take_while(|(left, right)| left == right).count();
    while !left.is_char_boundary(length) || !right.is_char_boundary(length) {
        length -= 1;
    }
    length
}

/// Returns the length in bytes of the common suffix, rounded down to a character boundary.
fn common_suffix(left: &str, right: &str) -> usize {
    let pairs = left.bytes().rev().zip(right.bytes().rev());
    let mut length = pairs.take_while(|(left, right)| left == right).count();
    while !left.is_char_boundary(left.len() - length)
        || !right.is_char_boundary(right.len() - length)
    {
        length -= 1;
    }
    length
}
