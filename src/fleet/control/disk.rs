//! Thread that owns the data folder of a control member.
//!
//! A disk that stalls delays only this thread. A disk that fails is tried again until it works: the
//! folder is opened anew, and the jobs that were not acknowledged are written once more.

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use prometheus_client::metrics::histogram::Histogram;

use crate::consensus::RaftAction;
use crate::consensus::message::SharedSnapshot;
use crate::ids::MemberId;
use crate::storage::{LogBatch, LogStorage, RecoveredGroup, StorageError, StoredIdentity};
use crate::{log_info, log_warn};

/// The one replicated log of a fleet.
pub const FLEET_GROUP: u32 = 0;

/// Pause before a failed disk is tried again.
const REPAIR_INTERVAL: Duration = Duration::from_millis(300);

/// Work for the disk, done in order.
#[derive(Debug, Clone)]
pub enum DiskJob {
    Append {
        sequence: u64,
        batch: LogBatch,
    },
    /// Own snapshot, or one that the leader sent.
    Snapshot {
        snapshot: SharedSnapshot,
        installed: bool,
    },
    /// Deletes log segments that the snapshot covers.
    Prune,
}

/// What the disk has done.
#[derive(Debug, Clone)]
pub enum DiskReport {
    Appended { sequence: u64 },
    Saved { snapshot: SharedSnapshot, installed: bool },
}

/// Receives reports; called on the disk's thread.
pub type ReportSink = Box<dyn Fn(DiskReport) + Send>;

/// Opened folder with what it held.
pub struct OpenedDisk {
    pub storage: LogStorage,
    pub identity: StoredIdentity,
    pub recovered: RecoveredGroup,
}

/// Opens the folder; a folder without identity gets the one that `create` returns.
pub fn open(
    folder: &Path,
    create: impl FnOnce() -> StoredIdentity,
) -> Result<OpenedDisk, StorageError> {
    let (mut storage, mut groups) = LogStorage::open(folder)?;
    let identity = match storage.identity()? {
        Some(identity) => identity,
        None => {
            let identity = create();
            storage.save_identity(&identity)?;
            identity
        }
    };
    let recovered = groups.remove(&FLEET_GROUP).unwrap_or_default();
    Ok(OpenedDisk { storage, identity, recovered })
}

/// Random id of a new data folder.
pub fn random_member(seed: u64) -> MemberId {
    fastrand::Rng::with_seed(seed).u64(1..)
}

/// Starts the thread and returns its queue.
pub fn start(
    folder: PathBuf,
    storage: LogStorage,
    times: Histogram,
    report: ReportSink,
) -> Sender<DiskJob> {
    let (sender, jobs) = channel();
    let disk = DiskThread { folder, storage: Some(storage), times, report };
    std::thread::spawn(move || disk.run(&jobs));
    sender
}

struct DiskThread {
    folder: PathBuf,
    storage: Option<LogStorage>,
    /// Seconds from the start of a job to its end, repairs included.
    times: Histogram,
    report: ReportSink,
}

impl DiskThread {
    fn run(mut self, jobs: &Receiver<DiskJob>) {
        let mut waiting = VecDeque::new();
        while let Ok(job) = jobs.recv() {
            waiting.push_back(job);
            waiting.extend(jobs.try_iter());
            while let Some(work) = next_work(&mut waiting) {
                self.finish(work);
            }
        }
    }

    /// Does one piece of work, however often the disk must be opened for it.
    fn finish(&mut self, mut work: DiskJob) {
        let mut failures = 0_u32;
        let started = Instant::now();
        loop {
            match self.attempt(&work) {
                Ok(()) => break,
                Err(error) => {
                    failures += 1;
                    if failures.is_power_of_two() {
                        log_warn!("disk_refused", "failures={failures} error=\"{error}\"");
                    }
                }
            }
            self.storage = None;
            rewrite_from_start(&mut work);
            std::thread::sleep(REPAIR_INTERVAL);
        }
        self.times.observe(started.elapsed().as_secs_f64());
        if failures > 0 {
            log_info!("disk_regained", "failures={failures}");
        }
        match work {
            DiskJob::Append { sequence, .. } => (self.report)(DiskReport::Appended { sequence }),
            DiskJob::Snapshot { snapshot, installed } => {
                (self.report)(DiskReport::Saved { snapshot, installed });
            }
            DiskJob::Prune => {}
        }
    }

    fn attempt(&mut self, work: &DiskJob) -> Result<(), StorageError> {
        let storage = match &mut self.storage {
            Some(storage) => storage,
            None => self.storage.insert(LogStorage::open(&self.folder)?.0),
        };
        match work {
            DiskJob::Append { batch, .. } => storage.append(std::slice::from_ref(batch)),
            DiskJob::Snapshot { snapshot, .. } => storage.save_snapshot(FLEET_GROUP, snapshot),
            DiskJob::Prune => storage.prune(),
        }
    }
}

/// Takes the next job; appends that wait together are written with one sync.
fn next_work(waiting: &mut VecDeque<DiskJob>) -> Option<DiskJob> {
    let mut work = waiting.pop_front()?;
    while let (
        DiskJob::Append { sequence, batch },
        Some(DiskJob::Append { sequence: next, batch: more }),
    ) = (&mut work, waiting.front())
    {
        // A truncation inside a batch would come before the entries that it removes.
        if more.truncate_from.is_some() {
            break;
        }
        *sequence = *next;
        batch.hard_state = more.hard_state.or(batch.hard_state);
        batch.entries.extend(more.entries.iter().cloned());
        waiting.pop_front();
    }
    Some(work)
}

/// A frame whose sync failed may be in the file; the entries replace it when they are written again.
fn rewrite_from_start(work: &mut DiskJob) {
    let DiskJob::Append { batch, .. } = work else { return };
    let Some(first) = batch.entries.first() else { return };
    let first = first.index;
    batch.truncate_from = Some(batch.truncate_from.map_or(first, |from| from.min(first)));
}

/// Translates the action of the state machine.
pub fn append_job(action: RaftAction) -> Option<DiskJob> {
    let RaftAction::Persist { sequence, hard_state, truncate_from, entries } = action else {
        return None;
    };
    let batch = LogBatch { group: FLEET_GROUP, hard_state, truncate_from, entries };
    Some(DiskJob::Append { sequence, batch })
}
