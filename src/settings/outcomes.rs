//! Kept outcomes, so that a resent change gets its original outcome.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::change::{ChangeOutcome, RefusalReason};

/// Outcomes kept for one branch. At 106 bytes each, 210 branches with 10,000 would take 210 MiB of the
/// 256 MB that a control process may use; a branch has about 70 changes a day.
pub const OUTCOME_LIMIT: usize = 1_000;

/// Bytes of error lists kept for one branch; older lists are dropped, their outcomes stay.
pub const DETAIL_LIMIT: usize = 256 * 1024;

/// Bytes counted for one error besides its texts.
const ERROR_SIZE: usize = 64;

/// The newest outcomes of one branch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "VecDeque<KeptOutcome>", into = "VecDeque<KeptOutcome>")]
pub(super) struct OutcomeLog {
    kept: VecDeque<KeptOutcome>,
    /// Number of the first kept outcome since the log was created or loaded.
    first: u64,
    numbers: BTreeMap<u128, u64>,
    /// Numbers and sizes of the outcomes that still hold an error list.
    details: VecDeque<(u64, usize)>,
    detail_size: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct KeptOutcome {
    key: u128,
    content: u128,
    outcome: ChangeOutcome,
}

impl OutcomeLog {
    /// Returns the kept outcome; another content under the same key is a refusal.
    pub(super) fn find(&self, key: u128, content: u128) -> Option<ChangeOutcome> {
        let number = self.numbers.get(&key)?;
        let kept = &self.kept[(number - self.first) as usize];
        if kept.content != content {
            return Some(ChangeOutcome::Refused(RefusalReason::ChangeIdReused));
        }
        Some(kept.outcome.clone())
    }

    /// Keeps an outcome; the oldest one goes when the limit is reached.
    pub(super) fn push(&mut self, key: u128, content: u128, outcome: ChangeOutcome) {
        self.add(KeptOutcome { key, content, outcome });
    }

    pub(super) fn len(&self) -> usize {
        self.kept.len()
    }

    fn add(&mut self, outcome: KeptOutcome) {
        if self.kept.len() == OUTCOME_LIMIT {
            self.drop_oldest();
        }
        let number = self.first + self.kept.len() as u64;
        self.numbers.insert(outcome.key, number);
        let size = detail_size(&outcome.outcome);
        self.kept.push_back(outcome);
        if size == 0 {
            return;
        }
        self.details.push_back((number, size));
        self.detail_size += size;
        while self.detail_size > DETAIL_LIMIT {
            self.drop_oldest_detail();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.kept.pop_front() else {
            return;
        };
        self.numbers.remove(&oldest.key);
        if self.details.front().is_some_and(|(number, _)| *number == self.first) {
            let size = self.details.pop_front().map_or(0, |(_, size)| size);
            self.detail_size -= size;
        }
        self.first += 1;
    }

    fn drop_oldest_detail(&mut self) {
        let Some((number, size)) = self.details.pop_front() else {
            return;
        };
        self.detail_size -= size;
        let kept = &mut self.kept[(number - self.first) as usize];
        kept.outcome =
            ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors: Vec::new() });
    }
}

impl From<VecDeque<KeptOutcome>> for OutcomeLog {
    fn from(kept: VecDeque<KeptOutcome>) -> Self {
        let mut log = Self::default();
        for outcome in kept {
            log.add(outcome);
        }
        log
    }
}

impl From<OutcomeLog> for VecDeque<KeptOutcome> {
    fn from(log: OutcomeLog) -> Self {
        log.kept
    }
}

fn detail_size(outcome: &ChangeOutcome) -> usize {
    let ChangeOutcome::Refused(RefusalReason::InvalidDocument { errors }) = outcome else {
        return 0;
    };
    errors.iter().map(|error| ERROR_SIZE + error.path.len() + error.message.len()).sum()
}
