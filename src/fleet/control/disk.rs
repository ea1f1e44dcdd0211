//! Thread that owns the data folder of a control member.
//!
//! A stalled disk blocks only this thread. After a disk error the thread reopens the folder and
//! repeats the job that failed until it succeeds.

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

/// Group id of the only replicated log of a fleet.
pub const FLEET_GROUP: u32 = 0;

/// Delay before a failed job is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Job for the disk thread. Jobs run in the order in which they are queued.
#[derive(Debug, Clone)]
pub enum DiskJob {
    Append {
        sequence: u64,
        batch: LogBatch,
    },
    /// Saves a snapshot; `installed` marks one that the leader sent.
    Snapshot {
        snapshot: SharedSnapshot,
        installed: bool,
    },
    /// Deletes the log segments that the snapshot covers.
    Prune,
    /// Replaces the identity of the folder.
    SaveIdentity(StoredIdentity),
}

/// Report of a completed job.
#[derive(Debug, Clone)]
pub enum DiskReport {
    Appended { sequence: u64 },
    SnapshotSaved { snapshot: SharedSnapshot, installed: bool },
    IdentitySaved { member: MemberId },
}

/// Callback for reports; runs on the disk thread.
pub type ReportCallback = Box<dyn Fn(DiskReport) + Send>;

/// An open data folder and its contents.
pub struct OpenedDisk {
    pub storage: LogStorage,
    pub identity: StoredIdentity,
    pub recovered: RecoveredGroup,
}

/// Opens the folder, and saves the identity returned by `create` if the folder has none.
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

/// Generates the member id for a new data folder.
pub fn random_member_id(seed: u64) -> MemberId {
    fastrand::Rng::with_seed(seed).u64(1..)
}

/// Starts the disk thread and returns its job queue.
pub fn start(
    folder: PathBuf,
    storage: LogStorage,
    job_seconds: Histogram,
    report: ReportCallback,
) -> Sender<DiskJob> {
    let (sender, jobs) = channel();
    let disk = DiskThread { folder, storage: Some(storage), job_seconds, report };
    std::thread::spawn(move || disk.run(&jobs));
    sender
}

struct DiskThread {
    folder: PathBuf,
    storage: Option<LogStorage>,
    /// Duration of a job in seconds, including retries.
    job_seconds: Histogram,
    report: ReportCallback,
}

impl DiskThread {
    fn run(mut self, jobs: &Receiver<DiskJob>) {
        let mut waiting = VecDeque::new();
        while let Ok(job) = jobs.recv() {
            waiting.push_back(job);
            waiting.extend(jobs.try_iter());
            while let Some(job) = next_job(&mut waiting) {
                self.run_with_retries(job);
            }
        }
    }

    /// Runs a job, reopening the folder and retrying until it succeeds.
    fn run_with_retries(&mut self, mut job: DiskJob) {
        let mut failures = 0_u32;
        let started = Instant::now();
        loop {
            match self.attempt(&job) {
                Ok(()) => break,
                Err(error) => {
                    failures += 1;
                    if failures.is_power_of_two() {
                        log_warn!("disk_refused", "failures={failures} error=\"{error}\"");
                    }
                }
            }
            self.storage = None;
            truncate_before_rewrite(&mut job);
            std::thread::sleep(RETRY_INTERVAL);
        }
        self.job_seconds.observe(started.elapsed().as_secs_f64());
        if failures > 0 {
            log_info!("disk_regained", "failures={failures}");
        }
        match job {
            DiskJob::Append { sequence, .. } => (self.report)(DiskReport::Appended { sequence }),
            DiskJob::Snapshot { snapshot, installed } => {
                (self.report)(DiskReport::SnapshotSaved { snapshot, installed });
            }
            DiskJob::SaveIdentity(StoredIdentity { member, .. }) => {
                (self.report)(DiskReport::IdentitySaved { member });
            }
            DiskJob::Prune => {}
        }
    }

    fn attempt(&mut self, job: &DiskJob) -> Result<(), StorageError> {
        let storage = match &mut self.storage {
            Some(storage) => storage,
            None => self.storage.insert(LogStorage::open(&self.folder)?.0),
        };
        match job {
            DiskJob::Append { batch, .. } => storage.append(std::slice::from_ref(batch)),
            DiskJob::Snapshot { snapshot, .. } => storage.save_snapshot(FLEET_GROUP, snapshot),
            DiskJob::Prune => storage.prune(),
            DiskJob::SaveIdentity(identity) => storage.save_identity(identity),
        }
    }
}

/// Takes the next job, merging consecutive appends so that they share one sync.
fn next_job(waiting: &mut VecDeque<DiskJob>) -> Option<DiskJob> {
    let mut job = waiting.pop_front()?;
    while let (
        DiskJob::Append { sequence, batch },
        Some(DiskJob::Append { sequence: next_sequence, batch: next_batch }),
    ) = (&mut job, waiting.front())
    {
        // A batch is truncated before its entries are written, so a later truncation must not be
        // merged with the entries that it removes.
        if next_batch.truncate_from.is_some() {
            break;
        }
        *sequence = *next_sequence;
        batch.hard_state = next_batch.hard_state.or(batch.hard_state);
        batch.entries.extend(next_batch.entries.iter().cloned());
        waiting.pop_front();
    }
    Some(job)
}

/// Makes a repeated append truncate the log first: a frame may be in the file although its sync
/// failed, and the repeated entries must replace it.
fn truncate_before_rewrite(job: &mut DiskJob) {
    let DiskJob::Append { batch, .. } = job else { return };
    let Some(first) = batch.entries.first() else { return };
    let first = first.index;
    batch.truncate_from = Some(batch.truncate_from.map_or(first, |from| from.min(first)));
}

/// Converts [`RaftAction::Persist`] into a disk job; other actions give `None`.
pub fn append_job(action: RaftAction) -> Option<DiskJob> {
    let RaftAction::Persist { sequence, hard_state, truncate_from, entries } = action else {
        return None;
    };
    let batch = LogBatch { group: FLEET_GROUP, hard_state, truncate_from, entries };
    Some(DiskJob::Append { sequence, batch })
}
