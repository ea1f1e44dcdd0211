//! Durability tests of the data folder.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

use curranthollow::consensus::members::MemberSet;
use curranthollow::consensus::message::{EntryBody, HardState, LogEntry, Snapshot};
use curranthollow::storage::{
    FormedIdentity, LogBatch, LogStorage, RecoveredGroup, StorageError, StorageOptions,
    StoredIdentity,
};
use yare::parameterized;

struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("chstorage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Self(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { term, index, body: EntryBody::Payload(format!("payload {index}").into_bytes()) }
}

fn batch(group: u32, index: u64) -> LogBatch {
    let hard_state = (index == 1).then_some(HardState { term: 1, vote: Some(7) });
    LogBatch { group, hard_state, truncate_from: None, entries: vec![entry(index, 1)] }
}

fn last_index(groups: &BTreeMap<u32, RecoveredGroup>, group: u32) -> u64 {
    let group = groups.get(&group);
    group.and_then(|group| group.entries.back()).map_or(0, |entry| entry.index)
}

fn only_segment(folder: &Path) -> PathBuf {
    folder.join(format!("{:016x}.wal", 1))
}

/// Appends `count` times; returns the segment's length before the first and after each append.
fn write_appends(folder: &Path, count: u64) -> Vec<u64> {
    let (mut storage, _) = LogStorage::open(folder).expect("an empty folder opens");
    let mut frame_ends =
        vec![fs::metadata(only_segment(folder)).expect("the segment exists").len()];
    for index in 1..=count {
        storage.append(&[batch(0, index), batch(1, index)]).expect("the append succeeds");
        frame_ends.push(fs::metadata(only_segment(folder)).expect("the segment exists").len());
    }
    frame_ends
}

/// Guards against a torn tail that hides synced appends or is replayed as an append.
#[test]
fn torn_tail_is_discarded_at_every_length() {
    let source = TestFolder::new("torn-source");
    let frame_ends = write_appends(&source.0, 4);
    let data = fs::read(only_segment(&source.0)).expect("the segment is readable");
    let copy = TestFolder::new("torn-copy");
    for length in 0..=data.len() {
        let _ = fs::remove_dir_all(&copy.0);
        fs::create_dir_all(&copy.0).expect("the folder is created");
        fs::write(only_segment(&copy.0), &data[..length]).expect("the copy is written");
        let complete = frame_ends.iter().filter(|&&end| end <= length as u64).count();
        let expected = complete.saturating_sub(1) as u64;
        let (mut storage, groups) =
            LogStorage::open(&copy.0).expect("a torn tail is not corruption");
        assert_eq!((last_index(&groups, 0), last_index(&groups, 1)), (expected, expected));
        storage.append(&[batch(0, expected + 1)]).expect("the log continues");
        drop(storage);
        let (_, groups) = LogStorage::open(&copy.0).expect("the continued log opens");
        assert_eq!(last_index(&groups, 0), expected + 1, "length {length}");
    }
}

/// Guards against flipped bits that are replayed as data, or cut off as a torn tail although synced
/// appends follow.
#[test]
fn flipped_byte_before_the_last_frame_is_refused() {
    let source = TestFolder::new("flip-source");
    let frame_ends = write_appends(&source.0, 4);
    let data = fs::read(only_segment(&source.0)).expect("the segment is readable");
    let copy = TestFolder::new("flip-copy");
    for position in 0..data.len() {
        let _ = fs::remove_dir_all(&copy.0);
        fs::create_dir_all(&copy.0).expect("the folder is created");
        let mut flipped = data.clone();
        flipped[position] ^= 0x10;
        fs::write(only_segment(&copy.0), &flipped).expect("the copy is written");
        let opened = LogStorage::open(&copy.0);
        let frame = frame_ends.iter().filter(|&&end| end <= position as u64).count();
        if frame == 4 {
            // A corrupt last frame cannot be distinguished from one that was never synced.
            let (_, groups) = opened.expect("a corrupt last frame is a torn tail");
            assert_eq!(last_index(&groups, 0), 3);
            continue;
        }
        let start = frame.checked_sub(1).map_or(0, |before| frame_ends[before]);
        match opened {
            Err(StorageError::Corrupt { path, offset, .. }) => {
                assert_eq!((path, offset), (only_segment(&copy.0), start), "byte {position}");
            }
            other => panic!("byte {position}: {other:?}"),
        }
    }
}

/// Guards against restart time that grows with history, and against hard states that are lost when
/// segments are deleted.
#[test]
fn restart_replays_a_bounded_part_of_the_log() {
    let folder = TestFolder::new("bounded");
    let options = StorageOptions { segment_bytes: 4096, ..StorageOptions::default() };
    let (mut storage, _) = LogStorage::open_with(&folder.0, options).expect("the folder opens");
    for index in 1..=900 {
        storage.append(&[batch(0, index), batch(1, index)]).expect("the append succeeds");
        if index % 50 != 0 {
            continue;
        }
        for group in [0, 1] {
            let snapshot =
                Snapshot { index, term: 1, members: MemberSet::default(), data: vec![1, 2, 3] };
            storage.save_snapshot(group, &snapshot).expect("the snapshot is saved");
        }
        storage.prune().expect("old segments are deleted");
    }
    storage.append(&[batch(0, 901)]).expect("the append succeeds");
    drop(storage);
    let (storage, groups) = LogStorage::open_with(&folder.0, options).expect("the folder opens");
    assert!(storage.replayed_bytes() < 3 * 4096, "{} bytes", storage.replayed_bytes());
    assert_eq!(last_index(&groups, 0), 901);
    assert_eq!(groups[&1].hard_state, HardState { term: 1, vote: Some(7) });
    assert_eq!(groups[&1].snapshot.as_ref().map(|snapshot| snapshot.index), Some(900));
    let files = fs::read_dir(&folder.0).expect("the folder is readable").count();
    assert!(files < 10, "{files} files");
}

/// Guards against missing entries, or truncated entries that reappear, after a restart.
#[test]
fn truncation_survives_restart() {
    let folder = TestFolder::new("truncation");
    let (mut storage, _) = LogStorage::open(&folder.0).expect("the folder opens");
    for index in 1..=5 {
        storage.append(&[batch(0, index)]).expect("the append succeeds");
    }
    let entries = vec![entry(3, 2)];
    let change = LogBatch { group: 0, hard_state: None, truncate_from: Some(3), entries };
    storage.append(&[change]).expect("the append succeeds");
    drop(storage);
    let (_, groups) = LogStorage::open(&folder.0).expect("the folder opens");
    let terms: Vec<_> = groups[&0].entries.iter().map(|entry| (entry.index, entry.term)).collect();
    assert_eq!(terms, [(1, 1), (2, 1), (3, 2)]);
}

/// Guards against conflicting entries that are recovered after an installed snapshot when a crash
/// comes between saving the snapshot and syncing the truncation.
#[parameterized(
    conflicting = { 2, &[] },
    matching = { 1, &[5] },
)]
fn tail_after_an_installed_snapshot_is_kept_only_if_it_matches(term: u64, kept: &[u64]) {
    let folder = TestFolder::new(&format!("installed-{term}"));
    let (mut storage, _) = LogStorage::open(&folder.0).expect("the folder opens");
    for index in 1..=5 {
        storage.append(&[batch(0, index)]).expect("the append succeeds");
    }
    let snapshot = Snapshot { index: 4, term, members: MemberSet::default(), data: Vec::new() };
    storage.save_snapshot(0, &snapshot).expect("the snapshot is saved");
    drop(storage);
    let (_, groups) = LogStorage::open(&folder.0).expect("the folder opens");
    let indexes: Vec<_> = groups[&0].entries.iter().map(|entry| entry.index).collect();
    assert_eq!(indexes, kept);
}

/// Guards against two processes that write to the same data folder.
#[test]
fn second_open_is_refused() {
    let folder = TestFolder::new("lock");
    let (_storage, _) = LogStorage::open(&folder.0).expect("the folder opens");
    assert!(matches!(LogStorage::open(&folder.0), Err(StorageError::Locked(_))));
}

thread_local! {
    static SYNC_COUNT: Cell<usize> = const { Cell::new(0) };
    static FAIL_SYNCS: Cell<bool> = const { Cell::new(false) };
}

fn counting_sync(file: &File) -> io::Result<()> {
    SYNC_COUNT.set(SYNC_COUNT.get() + 1);
    if FAIL_SYNCS.get() { Err(io::Error::other("injected failure")) } else { file.sync_data() }
}

/// Guards against more than one sync for an append of several groups.
#[test]
fn append_of_several_groups_syncs_once() {
    let folder = TestFolder::new("one-sync");
    let options = StorageOptions { sync: counting_sync, ..StorageOptions::default() };
    let (mut storage, _) = LogStorage::open_with(&folder.0, options).expect("the folder opens");
    let before = SYNC_COUNT.get();
    let batches: Vec<_> = (0..8).map(|group| batch(group, 1)).collect();
    storage.append(&batches).expect("the append succeeds");
    assert_eq!(SYNC_COUNT.get() - before, 1);
}

/// Guards against a retry after a failed sync, which could report success for lost data.
#[test]
fn storage_stays_failed_after_a_failed_sync() {
    let folder = TestFolder::new("failed-sync");
    let options = StorageOptions { sync: counting_sync, ..StorageOptions::default() };
    let (mut storage, _) = LogStorage::open_with(&folder.0, options).expect("the folder opens");
    FAIL_SYNCS.set(true);
    let failed = storage.append(&[batch(0, 1)]);
    assert!(matches!(failed, Err(StorageError::Io { action: "sync", .. })));
    FAIL_SYNCS.set(false);
    let syncs = SYNC_COUNT.get();
    assert!(matches!(storage.append(&[batch(0, 1)]), Err(StorageError::Failed)));
    assert_eq!(SYNC_COUNT.get(), syncs);
}

/// Guards against a lost identity, or a corrupt one that is accepted.
#[test]
fn identity_survives_and_corruption_is_refused() {
    let folder = TestFolder::new("identity");
    let (mut storage, _) = LogStorage::open(&folder.0).expect("the folder opens");
    assert_eq!(storage.identity().expect("a new folder is readable"), None);
    let initial = BTreeMap::from([("a".into(), 1), ("b".into(), 2)]);
    let formed = Some(FormedIdentity { cluster: 9, initial });
    let identity = StoredIdentity { member: 1, formed };
    storage.save_identity(&identity).expect("the identity is saved");
    assert_eq!(storage.identity().expect("the file is readable"), Some(identity));
    let path = folder.0.join("identity");
    let mut data = fs::read(&path).expect("the file is readable");
    *data.last_mut().expect("the file has content") ^= 1;
    fs::write(&path, data).expect("the corrupt file is written");
    assert!(matches!(storage.identity(), Err(StorageError::Corrupt { .. })));
}
