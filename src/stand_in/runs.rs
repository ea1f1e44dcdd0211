//! Log of the requests that a stand-in server has run.

use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of distinct requests in the log; runs of further requests are only counted.
const MAX_RECORDED_REQUESTS: usize = 1_000_000;

/// Runs of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunRecord {
    /// Value of `X-Run-Id`, empty if absent.
    pub run_id: Box<str>,
    /// Value of `Idempotency-Key`, empty if absent.
    pub idempotency_key: Box<str>,
    /// Number of times the request was run.
    pub count: u32,
}

/// Runs of all requests, ordered by the first run of each request.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunLog {
    /// Number of runs of all requests.
    pub total: u64,
    /// Number of runs that only `total` includes, because the log was full.
    pub unrecorded: u64,
    /// Runs of each request.
    pub runs: Vec<RunRecord>,
    #[serde(skip)]
    positions: BTreeMap<(Box<str>, Box<str>), usize>,
}

impl RunLog {
    /// Records a run of a request.
    pub(super) fn record(&mut self, run_id: &str, idempotency_key: &str) {
        self.total += 1;
        let key = (Box::from(run_id), Box::from(idempotency_key));
        if let Some(position) = self.positions.get(&key) {
            self.runs[*position].count += 1;
            return;
        }
        if self.runs.len() >= MAX_RECORDED_REQUESTS {
            self.unrecorded += 1;
            return;
        }
        let (run_id, idempotency_key) = key.clone();
        self.positions.insert(key, self.runs.len());
        self.runs.push(RunRecord { run_id, idempotency_key, count: 1 });
    }

    /// Returns the number of runs with `run_id`, under any idempotency key.
    pub fn count_by_run_id(&self, run_id: &str) -> u32 {
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

    /// Returns the number of runs with `idempotency_key`.
    pub fn count_by_idempotency_key(&self, idempotency_key: &str) -> u32 {
        let matching = self.runs.iter().filter(|run| *run.idempotency_key == *idempotency_key);
        matching.map(|run| run.count).sum()
    }
}
