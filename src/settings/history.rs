//! Kept versions of one branch; older documents are stored as differences to the next one.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::SettingsRevision;

/// Versions kept for one branch.
pub const HISTORY_LIMIT: usize = 100;

/// Bytes of text kept for the older versions of one branch. Whole documents of 100 versions took
/// 171 MiB at 4,200 services; a difference is usually far below 1 KiB. A team that rewrites large
/// documents keeps fewer versions, so that it cannot fill the memory of control.
pub const HISTORY_SIZE: usize = 1024 * 1024;

/// Bytes counted for one version besides its texts.
const ENTRY_SIZE: usize = 64;

/// One accepted version of a branch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryEntry {
    pub version: u64,
    pub revision: SettingsRevision,
    pub change_id: Box<str>,
    /// `None` for a deletion.
    pub document: Option<Arc<str>>,
}

/// Kept versions, oldest first.
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
    /// The newest version; the branch holds its document.
    Current,
    Deleted,
    /// A document whose next version is a deletion.
    Whole(Box<str>),
    /// A document that shares `prefix` and `suffix` bytes with its next version.
    Difference {
        prefix: usize,
        suffix: usize,
        middle: Box<str>,
    },
}

impl VersionHistory {
    /// Adds a version; `previous` is the branch's document before it.
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
        while self.versions.len() > HISTORY_LIMIT || self.size() > HISTORY_SIZE {
            self.versions.pop_front();
        }
    }

    /// Restores the kept versions, oldest first; `current` is the branch's document.
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

    fn size(&self) -> usize {
        let sizes = self.versions.iter().map(|stored| ENTRY_SIZE + stored.text.size());
        sizes.sum()
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
                // A snapshot whose differences do not fit its documents loses these versions only.
                let next = next?;
                let head = next.get(..*prefix)?;
                let tail = next.get(next.len().checked_sub(*suffix)?..)?;
                Some(format!("{head}{middle}{tail}").into())
            }
        }
    }

    fn size(&self) -> usize {
        match self {
            Self::Current | Self::Deleted => 0,
            Self::Whole(text) | Self::Difference { middle: text, .. } => text.len(),
        }
    }
}

/// Length of the common start in bytes, cut back to a whole character.
fn common_prefix(left: &str, right: &str) -> usize {
    let pairs = left.bytes().zip(right.bytes());
    let mut length = pairs.take_while(|(left, right)| left == right).count();
    while !left.is_char_boundary(length) || !right.is_char_boundary(length) {
        length -= 1;
    }
    length
}

/// Length of the common end in bytes, cut back to a whole character.
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
