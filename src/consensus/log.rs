//! In-memory log of one group.

use std::collections::VecDeque;

use super::message::LogEntry;
use crate::ids::{LogIndex, TermNumber};

/// Log entries after a base, which is the last compacted entry.
#[derive(Debug)]
pub(super) struct RaftLog {
    base_index: LogIndex,
    base_term: TermNumber,
    entries: VecDeque<LogEntry>,
}

impl RaftLog {
    pub(super) fn new(
        base_index: LogIndex,
        base_term: TermNumber,
        entries: VecDeque<LogEntry>,
    ) -> Self {
        Self { base_index, base_term, entries }
    }

    pub(super) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(super) fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub(super) fn last_term(&self) -> TermNumber {
        self.entries.back().map_or(self.base_term, |entry| entry.term)
    }

    /// Term of the entry at `index`; `None` before the base and after the last entry.
    pub(super) fn term_at(&self, index: LogIndex) -> Option<TermNumber> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(super) fn get(&self, index: LogIndex) -> Option<&LogEntry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    pub(super) fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    /// Entries from `first` to `last`, both inclusive.
    pub(super) fn range(&self, first: LogIndex, last: LogIndex) -> Vec<LogEntry> {
        (first..=last).filter_map(|index| self.get(index).cloned()).collect()
    }

    /// Entries from `first` on with at most `max_bytes` in total, but at least one entry.
    pub(super) fn batch(&self, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for index in first..=self.last_index() {
            let Some(entry) = self.get(index) else { break };
            bytes += entry.size_bytes();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Index of the first entry of the same term as the entry at `index`.
    pub(super) fn first_index_of_term_at(&self, index: LogIndex) -> LogIndex {
        let term = self.term_at(index);
        let mut start = index;
        while start > self.base_index + 1 && self.term_at(start - 1) == term {
            start -= 1;
        }
        start
    }

    /// Removes all entries from `from` on.
    pub(super) fn truncate(&mut self, from: LogIndex) {
        let kept = from.saturating_sub(self.base_index + 1);
        self.entries.truncate(kept as usize);
    }

    /// Lowest base that retains at most `max_entries` and `max_bytes` up to and including `index`.
    pub(super) fn compaction_base(
        &self,
        index: LogIndex,
        max_entries: u64,
        max_bytes: usize,
    ) -> LogIndex {
        let min_base = index.saturating_sub(max_entries).max(self.base_index);
        let mut base = index;
        let mut bytes = 0;
        while base > min_base {
            bytes += self.get(base).map_or(0, LogEntry::size_bytes);
            if bytes > max_bytes {
                break;
            }
            base -= 1;
        }
        base
    }

    /// Removes all entries up to `index`, which becomes the base.
    pub(super) fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else { return };
        if index <= self.base_index {
            return;
        }
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
    }

    /// Removes all entries and makes `index` the base.
    pub(super) fn reset(&mut self, index: LogIndex, term: TermNumber) {
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
    }

    /// Total size in bytes of the entries after `index`.
    pub(super) fn size_bytes_after(&self, index: LogIndex) -> usize {
        (index + 1..=self.last_index())
            .filter_map(|at| self.get(at))
            .map(LogEntry::size_bytes)
            .sum()
    }
}
