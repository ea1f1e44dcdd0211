//! At-most-once execution by idempotency key: the replicated claim store, the entry's typestate for
//! one request, and the handling of duplicate requests.

mod command;
pub mod digest;
pub mod guard;
mod snapshot;
pub mod store;
pub mod waiter;

pub use command::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, ClaimView, HolderSession,
    OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, SettledAs, StoredAnswer, claim_group_of,
};
pub use snapshot::{RestoreError, SNAPSHOT_FORMAT, SnapshotError};
