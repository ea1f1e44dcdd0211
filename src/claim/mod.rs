//! At-most-once claims: the replicated store, the entry's side of one request, and duplicates.

mod command;
pub mod digest;
pub mod guard;
mod snapshot;
pub mod store;
pub mod waiter;

pub use command::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, ClaimView, HolderSession,
    OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, SettledAs, StoredAnswer, shard_of,
};
pub use snapshot::{RestoreError, SNAPSHOT_FORMAT, SnapshotError};
