//! Segmented write-ahead log shared by all groups in a data folder.

use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use super::StorageError;
use super::checked_file::{StoredIdentity, read_checked, sync_folder, write_checked};
use super::frame::{self, HEADER_BYTES, LogRecord, MAX_FRAME_BYTES};
use super::recovery::{RecoveredGroup, RecoveredGroups};
use crate::consensus::message::{HardState, LogEntry, SharedSnapshot, Snapshot};
use crate::ids::{GroupId, LogIndex};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity";
const SEGMENT_SUFFIX: &str = ".wal";
const SNAPSHOT_SUFFIX: &str = ".snapshot";

/// Function that syncs a file or folder to disk.
pub type SyncFn = fn(&File) -> io::Result<()>;

/// Settings of the write-ahead log.
#[derive(Debug, Clone, Copy)]
pub struct StorageOptions {
    /// Size of the current segment at which the next append starts a new one.
    pub segment_bytes: u64,
    /// Replaced in tests to inject sync failures or to count syncs.
    pub sync: SyncFn,
}

impl Default for StorageOptions {
    fn default() -> Self {
        Self { segment_bytes: 8 << 20, sync: File::sync_data }
    }
}

/// Changes to the log of one group, applied in this order: hard state, truncation, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogBatch {
    pub group: GroupId,
    pub hard_state: Option<HardState>,
    /// First index to be removed.
    pub truncate_from: Option<LogIndex>,
    pub entries: Vec<LogEntry>,
}

/// Open data folder, locked by this process.
#[derive(Debug)]
pub struct LogStorage {
    folder: PathBuf,
    options: StorageOptions,
    _lock: File,
    file: File,
    offset: u64,
    /// Highest entry index of each group per segment, oldest segment first. Frames are appended to
    /// the last segment.
    segments: BTreeMap<u64, BTreeMap<GroupId, LogIndex>>,
    hard_states: BTreeMap<GroupId, HardState>,
    snapshots: BTreeMap<GroupId, LogIndex>,
    replayed_bytes: u64,
    failed: bool,
}

impl LogStorage {
    /// Opens the folder with default options; also returns the recovered state of all groups.
    pub fn open(folder: &Path) -> Result<(Self, BTreeMap<GroupId, RecoveredGroup>), StorageError> {
        Self::open_with(folder, StorageOptions::default())
    }

    /// Like [`LogStorage::open`], with the given options.
    pub fn open_with(
        folder: &Path,
        options: StorageOptions,
    ) -> Result<(Self, BTreeMap<GroupId, RecoveredGroup>), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io(folder, "create"))?;
        let lock = lock_folder(folder)?;
        let mut groups = load_snapshots(folder)?;
        let numbers = list_segment_numbers(folder, SEGMENT_SUFFIX)?;
        let mut segments = BTreeMap::new();
        let mut replayed_bytes = 0;
        let mut valid_length = 0;
        for &number in &numbers {
            let segment_file = SegmentFile {
                path: segment_path(folder, number),
                number,
                is_oldest: numbers.first() == Some(&number),
                is_newest: numbers.last() == Some(&number),
            };
            let (last_indexes, length) = replay_segment(&segment_file, &mut groups)?;
            replayed_bytes += length;
            valid_length = length;
            segments.insert(number, last_indexes);
        }
        for group in groups.values_mut() {
            group.drop_conflicting_tail();
        }
        let current_segment = numbers.last().copied().unwrap_or(1);
        let path = segment_path(folder, current_segment);
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(StorageError::io(&path, "open"))?;
        file.set_len(valid_length).map_err(StorageError::io(&path, "truncate"))?;
        segments.entry(current_segment).or_default();
        let mut storage = Self {
            folder: folder.to_owned(),
            options,
            _lock: lock,
            file,
            offset: valid_length,
            segments,
            hard_states: groups.iter().map(|(&id, group)| (id, group.hard_state)).collect(),
            snapshots: BTreeMap::new(),
            replayed_bytes,
            failed: false,
        };
        for (&id, group) in &groups {
            if let Some(snapshot) = &group.snapshot {
                storage.snapshots.insert(id, snapshot.index);
            }
        }
        if valid_length == 0 {
            storage.write_hard_states()?;
        }
        storage.sync_file()?;
        sync_folder(&storage.folder, options.sync)?;
        Ok((storage, groups))
    }

    /// Bytes of the write-ahead log that were replayed when the folder was opened.
    pub fn replayed_bytes(&self) -> u64 {
        self.replayed_bytes
    }

    /// Number of segment files.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Writes the changes of all groups as one frame and syncs once.
    pub fn append(&mut self, batches: &[LogBatch]) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| storage.append_batches(batches))
    }

    /// Saves a snapshot durably and deletes the previous one of the group.
    pub fn save_snapshot(
        &mut self,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            let name = snapshot_name(group, snapshot.index);
            write_checked(&storage.folder, &name, snapshot, storage.options.sync)?;
            let Some(previous_index) = storage.snapshots.insert(group, snapshot.index) else {
                return Ok(());
            };
            if previous_index == snapshot.index {
                return Ok(());
            }
            let path = storage.folder.join(snapshot_name(group, previous_index));
            fs::remove_file(&path).map_err(StorageError::io(&path, "delete"))
        })
    }

    /// Deletes the oldest segments whose entries are all covered by snapshots.
    ///
    /// Must be called only after the truncation that belongs to an installed snapshot was appended.
    pub fn prune(&mut self) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            let mut deleted = false;
            while storage.segments.len() > 1 && storage.pinning_groups().is_empty() {
                let (number, _) =
                    storage.segments.pop_first().expect("there are at least two segments");
                let path = segment_path(&storage.folder, number);
                fs::remove_file(&path).map_err(StorageError::io(&path, "delete"))?;
                deleted = true;
            }
            if !deleted {
                return Ok(());
            }
            sync_folder(&storage.folder, storage.options.sync)
        })
    }

    /// Groups whose snapshots do not cover all their entries in the oldest segment.
    pub fn pinning_groups(&self) -> Vec<GroupId> {
        let Some((_, last_indexes)) = self.segments.first_key_value() else { return Vec::new() };
        let snapshot_index = |group: &GroupId| self.snapshots.get(group).copied().unwrap_or(0);
        let uncovered =
            last_indexes.iter().filter(|(group, index)| snapshot_index(group) < **index);
        uncovered.map(|(&group, _)| group).collect()
    }

    /// Reads the identity file; `None` if it does not exist.
    pub fn identity(&self) -> Result<Option<StoredIdentity>, StorageError> {
        read_checked(&self.folder.join(IDENTITY_FILE))
    }

    /// Replaces the identity file atomically and durably.
    pub fn save_identity(&mut self, identity: &StoredIdentity) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| {
            write_checked(&storage.folder, IDENTITY_FILE, identity, storage.options.sync)
        })
    }

    fn run_unless_failed<T>(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    fn append_batches(&mut self, batches: &[LogBatch]) -> Result<(), StorageError> {
        if self.offset >= self.options.segment_bytes {
            self.start_segment()?;
        }
        let mut payload = Vec::new();
        for batch in batches {
            self.encode_batch(&mut payload, batch);
        }
        self.write_frame(&payload)?;
        self.sync_file()
    }

    fn encode_batch(&mut self, payload: &mut Vec<u8>, batch: &LogBatch) {
        if let Some(state) = batch.hard_state {
            self.hard_states.insert(batch.group, state);
            frame::encode_record(payload, batch.group, &LogRecord::HardState(state));
        }
        if let Some(from) = batch.truncate_from {
            frame::encode_record(payload, batch.group, &LogRecord::Truncate(from));
        }
        let last_indexes =
            self.segments.last_entry().expect("there is always a current segment").into_mut();
        for entry in &batch.entries {
            frame::encode_record(payload, batch.group, &LogRecord::Entry(entry.clone()));
            let index = last_indexes.entry(batch.group).or_default();
            *index = entry.index.max(*index);
        }
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let number = self.current_segment() + 1;
        let path = segment_path(&self.folder, number);
        let file = OpenOptions::new().create_new(true).append(true).open(&path);
        self.file = file.map_err(StorageError::io(&path, "create"))?;
        self.offset = 0;
        self.segments.insert(number, BTreeMap::new());
        self.write_hard_states()?;
        self.sync_file()?;
        sync_folder(&self.folder, self.options.sync)
    }

    /// Writes the hard states of all groups to the start of a segment, so that older segments can
    /// be deleted.
    fn write_hard_states(&mut self) -> Result<(), StorageError> {
        let mut payload = Vec::new();
        for (&group, &state) in &self.hard_states {
            frame::encode_record(&mut payload, group, &LogRecord::HardState(state));
        }
        self.write_frame(&payload)
    }

    fn write_frame(&mut self, payload: &[u8]) -> Result<(), StorageError> {
        if payload.len() > MAX_FRAME_BYTES {
            return Err(StorageError::TooLarge(payload.len()));
        }
        let number = self.current_segment();
        let data = frame::encode_frame(number, self.offset, payload);
        let written = self.file.write_all(&data);
        written.map_err(StorageError::io(&segment_path(&self.folder, number), "write"))?;
        self.offset += data.len() as u64;
        Ok(())
    }

    fn sync_file(&self) -> Result<(), StorageError> {
        let path = segment_path(&self.folder, self.current_segment());
        (self.options.sync)(&self.file).map_err(StorageError::io(&path, "sync"))
    }

    fn current_segment(&self) -> u64 {
        self.segments.last_key_value().map_or(1, |(&number, _)| number)
    }
}

struct SegmentFile {
    path: PathBuf,
    number: u64,
    is_oldest: bool,
    is_newest: bool,
}

impl SegmentFile {
    fn corrupt(&self, offset: usize, reason: &'static str) -> StorageError {
        StorageError::Corrupt { path: self.path.clone(), offset: offset as u64, reason }
    }
}

/// Replays one segment; returns the highest entry index per group and the length of the valid part.
fn replay_segment(
    segment_file: &SegmentFile,
    groups: &mut RecoveredGroups,
) -> Result<(BTreeMap<GroupId, LogIndex>, u64), StorageError> {
    let data =
        fs::read(&segment_file.path).map_err(StorageError::io(&segment_file.path, "read"))?;
    let mut last_indexes = BTreeMap::new();
    let mut offset = 0;
    while let Some(payload) = frame::frame_at(segment_file.number, &data, offset) {
        let records = frame::decode_records(payload)
            .ok_or_else(|| segment_file.corrupt(offset, "a record is malformed"))?;
        for (group, record) in records {
            if let LogRecord::Entry(entry) = &record {
                let index: &mut LogIndex = last_indexes.entry(group).or_default();
                *index = entry.index.max(*index);
            }
            if !groups.entry(group).or_default().replay(record) {
                return Err(segment_file.corrupt(offset, "the log of a group has a gap"));
            }
        }
        offset += HEADER_BYTES + payload.len();
    }
    // The hard states in the first frame of the oldest segment have no other copy, so this frame
    // may only be missing in a folder to which nothing was ever appended.
    let may_end_torn = segment_file.is_newest
        && (offset > 0 || !segment_file.is_oldest || segment_file.number == 1);
    let is_complete = offset == data.len() && offset > 0;
    if !is_complete && !may_end_torn {
        return Err(segment_file.corrupt(offset, "a frame is invalid before the end of the log"));
    }
    if !is_complete && frame::has_frame_after(segment_file.number, &data, offset) {
        return Err(segment_file.corrupt(offset, "an invalid frame is followed by intact frames"));
    }
    Ok((last_indexes, offset as u64))
}

fn lock_folder(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let file = file.map_err(StorageError::io(&path, "open"))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked(folder.to_owned())),
        Err(TryLockError::Error(error)) => Err(StorageError::io(&path, "lock")(error)),
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:016x}{SEGMENT_SUFFIX}"))
}

fn snapshot_name(group: GroupId, index: LogIndex) -> String {
    format!("{group:08x}{index:016x}{SNAPSHOT_SUFFIX}")
}

/// Sorted names of the files that end in `suffix`, without the suffix.
fn list_names(folder: &Path, suffix: &str) -> Result<Vec<String>, StorageError> {
    let mut names = Vec::new();
    for item in fs::read_dir(folder).map_err(StorageError::io(folder, "list"))? {
        let name = item.map_err(StorageError::io(folder, "list"))?.file_name();
        let Some(stem) = name.to_str().and_then(|name| name.strip_suffix(suffix)) else {
            continue;
        };
        names.push(stem.to_owned());
    }
    names.sort();
    Ok(names)
}

fn list_segment_numbers(folder: &Path, suffix: &str) -> Result<Vec<u64>, StorageError> {
    let mut numbers: Vec<u64> = Vec::new();
    for name in list_names(folder, suffix)? {
        let corrupt =
            |reason| StorageError::Corrupt { path: folder.join(&name), offset: 0, reason };
        let number = u64::from_str_radix(&name, 16)
            .map_err(|_| corrupt("the file name has no segment number"))?;
        if numbers.last().is_some_and(|&last| number != last + 1) {
            return Err(corrupt("the preceding segment is missing"));
        }
        numbers.push(number);
    }
    Ok(numbers)
}

/// Loads the latest snapshot of each group and deletes older ones left behind by a crash.
fn load_snapshots(folder: &Path) -> Result<RecoveredGroups, StorageError> {
    let mut latest: BTreeMap<GroupId, PathBuf> = BTreeMap::new();
    let mut older_paths = Vec::new();
    for name in list_names(folder, SNAPSHOT_SUFFIX)? {
        let path = folder.join(format!("{name}{SNAPSHOT_SUFFIX}"));
        let group = name.get(..8).and_then(|text| u32::from_str_radix(text, 16).ok());
        let Some(group) = group else { continue };
        older_paths.extend(latest.insert(group, path));
    }
    let mut groups = RecoveredGroups::new();
    for (group, path) in latest {
        if let Some(snapshot) = read_checked::<Snapshot>(&path)? {
            let snapshot: SharedSnapshot = Arc::new(snapshot);
            groups.insert(group, RecoveredGroup::from_snapshot(snapshot));
        }
    }
    for path in older_paths {
        fs::remove_file(&path).map_err(StorageError::io(&path, "delete"))?;
    }
    Ok(groups)
}
