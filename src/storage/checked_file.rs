//! Small files that are replaced as a whole: identity and snapshots.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::StorageError;
use super::log_storage::SyncFn;
use crate::ids::{ClusterId, MemberId, ProcessName};

/// Format mark, then checksum (4 bytes) and length (8 bytes) of the CBOR content.
const FILE_MARK: &[u8; 8] = b"chfile-1";
const HEADER_BYTES: usize = 20;

/// Cluster that a member belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormedIdentity {
    pub cluster: ClusterId,
    /// Member list that the formation fixed; later changes are in the log.
    pub initial: BTreeMap<ProcessName, MemberId>,
}

/// Content of the identity file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredIdentity {
    pub member: MemberId,
    pub formed: Option<FormedIdentity>,
}

/// Syncs a folder, so that created, renamed and deleted names in it are durable.
pub(super) fn sync_folder(folder: &Path, sync: SyncFn) -> Result<(), StorageError> {
    let file = File::open(folder).map_err(StorageError::io(folder, "open"))?;
    sync(&file).map_err(StorageError::io(folder, "sync"))
}

/// Replaces `name` in `folder`; the old or the new content survives a crash, never a mixture.
pub(super) fn write_checked<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
    sync: SyncFn,
) -> Result<(), StorageError> {
    let mut content = Vec::new();
    ciborium::into_writer(value, &mut content).expect("a write to memory succeeds");
    let temporary = folder.join(format!("{name}.tmp"));
    let mut file = File::create(&temporary).map_err(StorageError::io(&temporary, "create"))?;
    let mut data = FILE_MARK.to_vec();
    data.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    data.extend_from_slice(&(content.len() as u64).to_le_bytes());
    data.extend_from_slice(&content);
    file.write_all(&data).map_err(StorageError::io(&temporary, "write"))?;
    sync(&file).map_err(StorageError::io(&temporary, "sync"))?;
    let path = folder.join(name);
    fs::rename(&temporary, &path).map_err(StorageError::io(&path, "rename"))?;
    sync_folder(folder, sync)
}

/// Reads a file written by [`write_checked`]; `None` when it does not exist.
pub(super) fn read_checked<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let data = match fs::read(path) {
        Ok(data) => data,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StorageError::io(path, "read")(error)),
    };
    let damaged = |offset, reason| StorageError::Damaged { path: path.to_owned(), offset, reason };
    if data.len() < HEADER_BYTES || &data[..8] != FILE_MARK {
        return Err(damaged(0, "the header is invalid"));
    }
    let content = &data[HEADER_BYTES..];
    let mut header = crc32fast::hash(content).to_le_bytes().to_vec();
    header.extend_from_slice(&(content.len() as u64).to_le_bytes());
    if data[8..HEADER_BYTES] != header {
        return Err(damaged(8, "length or checksum does not match the content"));
    }
    let value = ciborium::from_reader(content);
    value.map(Some).map_err(|_| damaged(HEADER_BYTES as u64, "the content is malformed"))
}
