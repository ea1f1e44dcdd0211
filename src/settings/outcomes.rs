//! Stored outcomes of recent changes, so that a resent change gets its original outcome.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::change::{ChangeOutcome, RefusalReason};

/// Maximum number of outcomes stored for one branch. With 10,000 outcomes of 106 bytes each, 210
/// branches would take 210 MiB of the 256 MB that a control process may use; a branch has about 70
/// changes a day.
pub const OUTCOME_LIMIT: usize = 1_000;

/// Maximum size in bytes of the error lists stored for one branch. The oldest lists are dropped
/// first; their outcomes are kept.
pub const ERROR_LIST_BYTE_LIMIT: usize = 256 * 1024;

/// Bytes counted for an error in addition to its texts.
const ERROR_OVERHEAD_BYTES: usize = 64;

/// Outcomes of the latest changes of one branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<StoredOutcome>", into = "VecDeque<StoredOutcome>")]
pub(super) struct OutcomeLog {
    outcomes: VecDeque<StoredOutcome>,
    /// Number of the oldest stored outcome, counted since the log was created or loaded.
    first_number: u64,
    /// Numbers of the stored outcomes by the key of their change.
    number_by_key: BTreeMap<u128, u64>,
    /// Numbers of the outcomes that still hold an error list, with the size of each list.
    details: VecDeque<(u64, usize)>,
    /// Size of all stored error lists in bytes.
    detail_size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredOutcome {
    key: u128,
    content: u128,
    outcome: ChangeOutcome,
}

impl OutcomeLog {
    /// Returns the stored outcome of a change; a reused change id with different content is
    /// refused.
    pub(super) fn find(&self, key: u128, content: u128) -> Option<ChangeOutcome> {
        let number = self.number_by_key.get(&key)?;
        let stored = &self.outcomes[(number - self.first_number) as usize];
        if stored.content != content {
            return Some(ChangeOutcome::Refused(RefusalReason::ChangeIdReused));
        }
        Some(stored.outcome.clone())
    }

    /// Stores an outcome; drops the oldest one at the limit.
    pub(super) fn push(&mut self, key: u128, content: u128, outcome: ChangeOutcome) {
        self.add(StoredOutcome { key, content, outcome });
    }

    pub(super) fn len(&self) -> usize {
        self.outcomes.len()
    }

    fn add(&mut self, outcome: StoredOutcome) {
        if self.outcomes.len() == OUTCOME_LIMIT {
            self.drop_oldest();
        }
        let number = self.first_number + self.outcomes.len() as u64;
        self.number_by_key.insert(outcome.key, number);
        let size = error_list_size(&outcome.outcome);
        self.outcomes.push_back(outcome);
        if size == 0 {
            return;
        }
        self.details.push_back((number, size));
        self.detail_size += size;
        while self.detail_size > ERROR_LIST_BYTE_LIMIT {
            self.drop_oldest_error_list();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.outcomes.pop_front() else {
            return;
        };
        self.number_by_key.remove(&oldest.key);
        if self.details.front().is_some_and(|(number, _)| *number == self.first_number) {
            let size = self.details.pop_front().map_or(0, |(_, size)| size);
            self.detail_size -= size;
        }
        self.first_number += 1;
    }

    fn drop_oldest_error_list(&mut self) {
        let Some((number, size)) = self.details.pop_front() else {
            return;
        };
        self.detail_size -= size;
        let stored = &mut self.outcomes[(number - self.first_number) as usize];
        stored.outcome =
            ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors: Vec::new() });
    }
}

impl From<VecDeque<StoredOutcome>> for OutcomeLog {
    fn from(outcomes: VecDeque<StoredOutcome>) -> Self {
        let mut log = Self::default();
        for outcome in outcomes {
            log.add(outcome);
        }
        log
    }
}

impl From<OutcomeLog> for VecDeque<StoredOutcome> {
    fn from(log: OutcomeLog) -> Self {
        log.outcomes
    }
}

fn error_list_size(outcome: &ChangeOutcome) -> usize {
    let ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors }) = outcome else {
        return 0;
    };
    errors.iter().map(|error| ERROR_OVERHEAD_BYTES + error.path.len() + error.message.len()).sum()
}
