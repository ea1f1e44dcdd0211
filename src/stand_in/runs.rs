//! Record of the requests that a stand-in server has run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Different requests that are recorded; further ones are only counted.
const RECORDED_RUNS: usize = 1_000_000;

/// Runs of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunRecord {
    /// Value of `X-Run-Id`, empty when absent.
    pub run_id: Box<str>,
    /// Value of `Idempotency-Key`, empty when absent.
    pub idempotency_key: Box<str>,
    /// How often the request was run.
    pub count: u32,
}

/// All runs in the order of the first run of each request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunLog {
    /// Runs of all requests.
    pub total: u64,
    /// Runs that were counted in `total` only, because the record was full.
    pub unrecorded: u64,
    /// Runs of each request.
    pub runs: Vec<RunRecord>,
    #[serde(skip)]
    positions: BTreeMap<(Box<str>, Box<str>), usize>,
}

impl RunLog {
    /// Records one run.
    pub(super) fn add(&mut self, run_id: &str, idempotency_key: &str) {
        self.total += 1;
        let key = (Box::from(run_id), Box::from(idempotency_key));
        if let Some(position) = self.positions.get(&key) {
            self.runs[*position].count += 1;
            return;
        }
        if self.runs.len() >= RECORDED_RUNS {
            self.unrecorded += 1;
            return;
        }
        let (run_id, idempotency_key) = key.clone();
        self.positions.insert(key, self.runs.len());
        self.runs.push(RunRecord { run_id, idempotency_key, count: 1 });
    }

    /// Returns how often the request with `run_id` was run, under any idempotency key.
    pub fn count(&self, run_id: &str) -> u32 {
        let start = (Box::from(run_id), Box::from(""));
        let mut count = 0;
        for ((id, _), position) in self.positions.range(start..) {
            if **id != *run_id {
                break;
            }
            count += self.runs[*position].count;
        }
        count
    }

    /// Returns how often requests with `idempotency_key` were run.
    pub fn count_of_key(&self, idempotency_key: &str) -> u32 {
        let matching = self.runs.iter().filter(|run| *run.idempotency_key == *idempotency_key);
        matching.map(|run| run.count).sum()
    }
}
