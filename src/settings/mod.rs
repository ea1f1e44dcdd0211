//! Settings: documents, inheritance, the replicated store, and the settings installed on entries.

mod branch;
mod change;
mod document;
mod effective;
mod history;
mod inheritance;
mod installed;
mod outcomes;
mod store;
mod tree;

pub use branch::BRANCH_LIMIT;
pub use change::{
    ChangeAction, ChangeOutcome, RefusalReason, SettingsChange, token_matches, token_sha256,
};
pub use document::{RootSettings, TeamSettings};
pub use effective::{
    ClaimSettings, DrainSettings, MeasureBudget, RequestClass, RetrySettings, ServerLimits,
    ServiceMatch, ServiceSettings,
};
pub use history::{HISTORY_BYTE_LIMIT, HISTORY_VERSION_LIMIT, HistoryEntry};
pub use inheritance::{EffectiveValue, ValueSource, effective_values};
pub use installed::{BranchCopy, InstallError, InstalledSettings, SettingsDelta};
pub use outcomes::{ERROR_LIST_BYTE_LIMIT, OUTCOME_LIMIT};
pub use store::{RestoreError, SettingsStore};
pub use tree::{DuplicateRoute, ServiceRef, SettingsTree};

pub use crate::generated::settings::{RequestLength, SelectionPolicy, StalePolicy};

/// Name of the branch that holds the defaults for all teams.
pub const ROOT_BRANCH: &str = "root";
