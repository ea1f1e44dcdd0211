//! Settings: documents, inheritance, and the replicated state machine that holds them.

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
    ClaimRule, DrainRule, MeasureBudget, RequestClass, RetryRule, ServerLimits, ServiceMatch,
    ServiceSettings,
};
pub use history::{HISTORY_LIMIT, HISTORY_SIZE, HistoryEntry};
pub use inheritance::{EffectiveValue, ValueSource, effective_values};
pub use installed::{BranchCopy, InstallError, InstalledSettings, SettingsDelta};
pub use outcomes::{DETAIL_LIMIT, OUTCOME_LIMIT};
pub use store::{RestoreError, SettingsStore};
pub use tree::{RouteClash, ServiceRef, SettingsTree};

pub use crate::generated::settings::{RequestLength, SelectionPolicy, StalePolicy};

/// Name of the branch that holds the defaults of all teams.
pub const ROOT_BRANCH: &str = "root";
