//! Checksummed files that are replaced atomically: identity and snapshots.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::StorageError;
use super::log_storage::SyncFn;
use crate::ids::{ClusterId, MemberId, ProcessName};

/// Magic number at the start of a file, followed by the checksum (4 bytes) and the length (8 bytes)
/// of the CBOR content.
const FILE_MAGIC: &[u8; 8] = b"chfile-1";
const HEADER_BYTES: usize = 20;

/// Cluster that a member belongs to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormedIdentity {
    pub cluster: ClusterId,
    /// Member set decided at the formation; later changes are in the log.
    pub initial: BTreeMap<ProcessName, MemberId>,
}

/// Content of the identity file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredIdentity {
    pub member: MemberId,
    pub formed: Option<FormedIdentity>,
}

/// Syncs a folder, which makes created, renamed and deleted entries in it durable.
pub(super) fn sync_folder(folder: &Path, sync: SyncFn) -> Result<(), StorageError> {
    let file = File::open(folder).map_err(StorageError::io(folder, "open"))?;
    sync(&file).map_err(StorageError::io(folder, "sync"))
}

/// Atomically replaces `name` in `folder`: after a crash the file has the old or the new content.
pub(super) fn write_checked<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
    sync: SyncFn,
) -> Result<(), StorageError> {
    let mut content = Vec::new();
    ciborium::into_writer(value, &mut content).expect("writing to a Vec cannot fail");
    let temporary_path = folder.join(format!("{name}.tmp"));
    let mut file =
        File::create(&temporary_path).map_err(StorageError::io(&temporary_path, "create"))?;
    let mut data = FILE_MAGIC.to_vec();
    data.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    data.extend_from_slice(&(content.len() as u64).to_le_bytes());
    data.extend_from_slice(&content);
    file.write_all(&data).map_err(StorageError::io(&temporary_path, "write"))?;
    sync(&file).map_err(StorageError::io(&temporary_path, "sync"))?;
    let path = folder.join(name);
    fs::rename(&temporary_path, &path).map_err(StorageError::io(&path, "rename"))?;
    sync_folder(folder, sync)
}

/// Reads a file written by [`write_checked`]; `None` when it does not exist.
pub(super) fn read_checked<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let data = match fs::read(path) {
        Ok(data) => data,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StorageError::io(path, "read")(error)),
    };
    let corrupt = |offset, reason| StorageError::Corrupt { path: path.to_owned(), offset, reason };
    if data.len() < HEADER_BYTES || &data[..8] != FILE_MAGIC {
        return Err(corrupt(0, "the header is invalid"));
    }
    let content = &data[HEADER_BYTES..];
    let mut header = crc32fast::hash(content).to_le_bytes().to_vec();
    header.extend_from_slice(&(content.len() as u64).to_le_bytes());
    if data[8..HEADER_BYTES] != header {
        return Err(corrupt(8, "length or checksum does not match the content"));
    }
    let value = ciborium::from_reader(content);
    value.map(Some).map_err(|_| corrupt(HEADER_BYTES as u64, "the content is malformed"))
}
