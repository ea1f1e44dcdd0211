//! Data folder of a control member: write-ahead log, snapshots and identity.

mod checked_file;
mod frame;
mod log_storage;
mod recovery;

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

pub use checked_file::{FormedIdentity, StoredIdentity};
pub use log_storage::{LogBatch, LogStorage, StorageOptions, SyncFn};
pub use recovery::RecoveredGroup;

/// Storage failure. Every failure is fatal for the process.
#[derive(Debug, Error)]
pub enum StorageError {
    #[error("the data folder {0} is in use by another process")]
    Locked(PathBuf),
    #[error("{path}: corrupt at offset {offset}: {reason}")]
    Corrupt { path: PathBuf, offset: u64, reason: &'static str },
    #[error("{path}: {action} failed: {source}")]
    Io { path: PathBuf, action: &'static str, source: io::Error },
    /// After a failed sync the kernel may have dropped the data, so a later successful sync does
    /// not mean that the data is durable.
    #[error("the data folder is unusable after an earlier failure; the process must stop")]
    Failed,
    #[error("a log frame of {0} bytes exceeds the size limit")]
    TooLarge(usize),
}

impl StorageError {
    pub(crate) fn io(path: &Path, action: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Io { path: path.to_owned(), action, source }
    }
}
