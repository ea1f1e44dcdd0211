//! Segmented write-ahead log that all groups of a data folder share.

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

/// Makes the content of a file or folder durable.
pub type SyncFn = fn(&File) -> io::Result<()>;

/// Settings of the write-ahead log.
#[derive(Debug, Clone, Copy)]
pub struct StorageOptions {
    /// A new segment starts when the current one is at least this long.
    pub segment_bytes: u64,
    /// Replaced in tests to make syncs fail or to count them.
    pub sync: SyncFn,
}

impl Default for StorageOptions {
    fn default() -> Self {
        Self { segment_bytes: 8 << 20, sync: File::sync_data }
    }
}

/// Changes of one group, applied in this order: hard state, truncation, entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LogBatch {
    pub group: GroupId,
    pub hard_state: Option<HardState>,
    /// First index that is no longer valid.
    pub truncate_from: Option<LogIndex>,
    pub entries: Vec<LogEntry>,
}

/// Data folder opened by one process.
#[derive(Debug)]
pub struct LogStorage {
    folder: PathBuf,
    options: StorageOptions,
    _lock: File,
    file: File,
    offset: u64,
    /// Highest index of each group per segment, oldest segment first; the last one is written.
    segments: BTreeMap<u64, BTreeMap<GroupId, LogIndex>>,
    hard_states: BTreeMap<GroupId, HardState>,
    snapshots: BTreeMap<GroupId, LogIndex>,
    recovered_bytes: u64,
    failed: bool,
}

impl LogStorage {
    /// Opens the folder with default options and returns the recovered state of all groups.
    pub fn open(folder: &Path) -> Result<(Self, BTreeMap<GroupId, RecoveredGroup>), StorageError> {
        Self::open_with(folder, StorageOptions::default())
    }

    /// Like [`LogStorage::open`] with given options.
    pub fn open_with(
        folder: &Path,
        options: StorageOptions,
    ) -> Result<(Self, BTreeMap<GroupId, RecoveredGroup>), StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io(folder, "create"))?;
        let lock = lock_folder(folder)?;
        let mut groups = load_snapshots(folder)?;
        let numbers = list_numbers(folder, SEGMENT_SUFFIX)?;
        let mut segments = BTreeMap::new();
        let mut recovered_bytes = 0;
        let mut end = 0;
        for &number in &numbers {
            let place = SegmentPlace {
                path: segment_path(folder, number),
                number,
                first: numbers.first() == Some(&number),
                last: numbers.last() == Some(&number),
            };
            let (highest, length) = replay_segment(&place, &mut groups)?;
            recovered_bytes += length;
            end = length;
            segments.insert(number, highest);
        }
        for group in groups.values_mut() {
            group.finish();
        }
        let current = numbers.last().copied().unwrap_or(1);
        let path = segment_path(folder, current);
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(StorageError::io(&path, "open"))?;
        file.set_len(end).map_err(StorageError::io(&path, "truncate"))?;
        segments.entry(current).or_default();
        let mut storage = Self {
            folder: folder.to_owned(),
            options,
            _lock: lock,
            file,
            offset: end,
            segments,
            hard_states: groups.iter().map(|(&id, group)| (id, group.hard_state)).collect(),
            snapshots: BTreeMap::new(),
            recovered_bytes,
            failed: false,
        };
        for (&id, group) in &groups {
            if let Some(snapshot) = &group.snapshot {
                storage.snapshots.insert(id, snapshot.index);
            }
        }
        if end == 0 {
            storage.write_hard_states()?;
        }
        storage.sync_file()?;
        sync_folder(&storage.folder, options.sync)?;
        Ok((storage, groups))
    }

    /// Bytes of the write-ahead log that the last opening read.
    pub fn recovered_bytes(&self) -> u64 {
        self.recovered_bytes
    }

    /// Number of segment files.
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }

    /// Writes the changes of all groups and makes them durable with one sync.
    pub fn append(&mut self, batches: &[LogBatch]) -> Result<(), StorageError> {
        self.guarded(|storage| storage.append_batches(batches))
    }

    /// Saves a snapshot; the previous one of the group is deleted.
    pub fn save_snapshot(
        &mut self,
        group: GroupId,
        snapshot: &Snapshot,
    ) -> Result<(), StorageError> {
        self.guarded(|storage| {
            let name = snapshot_name(group, snapshot.index);
            write_checked(&storage.folder, &name, snapshot, storage.options.sync)?;
            let Some(old) = storage.snapshots.insert(group, snapshot.index) else {
                return Ok(());
            };
            if old == snapshot.index {
                return Ok(());
            }
            let path = storage.folder.join(snapshot_name(group, old));
            fs::remove_file(&path).map_err(StorageError::io(&path, "delete"))
        })
    }

    /// Deletes the oldest segments as far as snapshots cover all their entries.
    ///
    /// Call it only after the truncation that belongs to an installed snapshot was appended.
    pub fn prune(&mut self) -> Result<(), StorageError> {
        self.guarded(|storage| {
            let mut deleted = false;
            while storage.segments.len() > 1 && storage.pinning_groups().is_empty() {
                let (number, _) = storage.segments.pop_first().expect("the map has two items");
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

    /// Groups whose snapshots do not cover the oldest segment.
    pub fn pinning_groups(&self) -> Vec<GroupId> {
        let Some((_, highest)) = self.segments.first_key_value() else { return Vec::new() };
        let covered = |group: &GroupId| self.snapshots.get(group).copied().unwrap_or(0);
        let open = highest.iter().filter(|(group, index)| covered(group) < **index);
        open.map(|(&group, _)| group).collect()
    }

    /// Reads the identity file; `None` for a folder that has none yet.
    pub fn identity(&self) -> Result<Option<StoredIdentity>, StorageError> {
        read_checked(&self.folder.join(IDENTITY_FILE))
    }

    /// Replaces the identity file and makes it durable.
    pub fn save_identity(&mut self, identity: &StoredIdentity) -> Result<(), StorageError> {
        self.guarded(|storage| {
            write_checked(&storage.folder, IDENTITY_FILE, identity, storage.options.sync)
        })
    }

    fn guarded<T>(
        &mut self,
        run: impl FnOnce(&mut Self) -> Result<T, StorageError>,
    ) -> Result<T, StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = run(self);
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
        let highest = self.segments.last_entry().expect("a segment is open").into_mut();
        for entry in &batch.entries {
            frame::encode_record(payload, batch.group, &LogRecord::Entry(entry.clone()));
            let index = highest.entry(batch.group).or_default();
            *index = entry.index.max(*index);
        }
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let number = self.current() + 1;
        let path = segment_path(&self.folder, number);
        let file = OpenOptions::new().create_new(true).append(true).open(&path);
        self.file = file.map_err(StorageError::io(&path, "create"))?;
        self.offset = 0;
        self.segments.insert(number, BTreeMap::new());
        self.write_hard_states()?;
        self.sync_file()?;
        sync_folder(&self.folder, self.options.sync)
    }

    /// Every segment starts with the hard states, so that older segments can be deleted.
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
        let number = self.current();
        let data = frame::encode_frame(number, self.offset, payload);
        let written = self.file.write_all(&data);
        written.map_err(StorageError::io(&segment_path(&self.folder, number), "write"))?;
        self.offset += data.len() as u64;
        Ok(())
    }

    fn sync_file(&self) -> Result<(), StorageError> {
        let path = segment_path(&self.folder, self.current());
        (self.options.sync)(&self.file).map_err(StorageError::io(&path, "sync"))
    }

    fn current(&self) -> u64 {
        self.segments.last_key_value().map_or(1, |(&number, _)| number)
    }
}

struct SegmentPlace {
    path: PathBuf,
    number: u64,
    first: bool,
    last: bool,
}

impl SegmentPlace {
    fn damaged(&self, offset: usize, reason: &'static str) -> StorageError {
        StorageError::Damaged { path: self.path.clone(), offset: offset as u64, reason }
    }
}

/// Replays one segment; returns the highest index per group and the length of the valid part.
fn replay_segment(
    place: &SegmentPlace,
    groups: &mut RecoveredGroups,
) -> Result<(BTreeMap<GroupId, LogIndex>, u64), StorageError> {
    let data = fs::read(&place.path).map_err(StorageError::io(&place.path, "read"))?;
    let mut highest = BTreeMap::new();
    let mut offset = 0;
    while let Some(payload) = frame::frame_at(place.number, &data, offset) {
        let records = frame::decode_records(payload)
            .ok_or_else(|| place.damaged(offset, "a record is malformed"))?;
        for (group, record) in records {
            if let LogRecord::Entry(entry) = &record {
                let index: &mut LogIndex = highest.entry(group).or_default();
                *index = entry.index.max(*index);
            }
            if !groups.entry(group).or_default().replay(record) {
                return Err(place.damaged(offset, "the log of a group has a gap"));
            }
        }
        offset += HEADER_BYTES + payload.len();
    }
    // The hard states in the first frame of the oldest segment have no other copy, so this frame
    // may only be missing in a folder that was never used.
    let torn_tail = place.last && (offset > 0 || !place.first || place.number == 1);
    let complete = offset == data.len() && offset > 0;
    if !complete && !torn_tail {
        return Err(place.damaged(offset, "a frame is invalid before the end of the log"));
    }
    if !complete && frame::frame_follows(place.number, &data, offset) {
        return Err(place.damaged(offset, "a frame is invalid and intact frames follow it"));
    }
    Ok((highest, offset as u64))
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

/// File names with `suffix`, without it, in order.
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

fn list_numbers(folder: &Path, suffix: &str) -> Result<Vec<u64>, StorageError> {
    let mut numbers: Vec<u64> = Vec::new();
    for name in list_names(folder, suffix)? {
        let damaged =
            |reason| StorageError::Damaged { path: folder.join(&name), offset: 0, reason };
        let number = u64::from_str_radix(&name, 16)
            .map_err(|_| damaged("the file name has no segment number"))?;
        if numbers.last().is_some_and(|&last| number != last + 1) {
            return Err(damaged("the segment before this one is missing"));
        }
        numbers.push(number);
    }
    Ok(numbers)
}

/// Loads the newest snapshot of each group and deletes older ones left by a crash.
fn load_snapshots(folder: &Path) -> Result<RecoveredGroups, StorageError> {
    let mut newest: BTreeMap<GroupId, PathBuf> = BTreeMap::new();
    let mut older = Vec::new();
    for name in list_names(folder, SNAPSHOT_SUFFIX)? {
        let path = folder.join(format!("{name}{SNAPSHOT_SUFFIX}"));
        let group = name.get(..8).and_then(|text| u32::from_str_radix(text, 16).ok());
        let Some(group) = group else { continue };
        older.extend(newest.insert(group, path));
    }
    let mut groups = RecoveredGroups::new();
    for (group, path) in newest {
        if let Some(snapshot) = read_checked::<Snapshot>(&path)? {
            let snapshot: SharedSnapshot = Arc::new(snapshot);
            groups.insert(group, RecoveredGroup::of_snapshot(snapshot));
        }
    }
    for path in older {
        fs::remove_file(&path).map_err(StorageError::io(&path, "delete"))?;
    }
    Ok(groups)
}
