//! Settings changes and their outcomes.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::SettingsRevision;
use crate::schema::SchemaError;

/// Change of a branch, as committed to the replicated log.
///
/// The change holds only the SHA-256 of the presented token, so that no token is written to disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    pub branch: Box<str>,
    /// Version of the branch that the change is based on; 0 for a new branch.
    pub base_version: u64,
    /// Unique id of the change; a resent change has the same id.
    pub change_id: Box<str>,
    /// SHA-256 of the presented token in hex.
    pub token_sha256: Box<str>,
    pub action: ChangeAction,
}

/// Action of a settings change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Replaces the document; needs the token of the branch.
    Replace { document: Box<str> },
    /// Creates a team's branch; needs the root token.
    Create { document: Box<str>, team_token_sha256: Box<str> },
    /// Deletes a team's branch; needs the root token.
    Delete,
    /// Replaces a team's token regardless of the branch's version; needs the root token.
    RotateToken { team_token_sha256: Box<str> },
}

/// Outcome of a settings change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    Accepted { version: u64, revision: SettingsRevision },
    Conflict { current: u64 },
    Refused(RefusalReason),
}

/// Reason for refusing a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RefusalReason {
    /// The document has errors. The list is empty in the reply to a resent change whose error list
    /// is no longer stored.
    #[error("the document has errors")]
    InvalidDocument { errors: Vec<SchemaError> },
    #[error("{message}")]
    InvalidRequest { message: Box<str> },
    #[error("the token is wrong for this change")]
    WrongToken,
    #[error("the branch does not exist")]
    UnknownBranch,
    #[error("the branch exists already")]
    BranchExists,
    #[error("the change id was used with another content")]
    ChangeIdReused,
    #[error("no further branch can be created")]
    TooManyBranches,
}

impl SettingsChange {
    /// Returns the key under which the outcome of the change is stored.
    pub(super) fn outcome_key(&self) -> u128 {
        digest(&[self.branch.as_bytes(), self.change_id.as_bytes()])
    }

    /// Returns a digest of the requested change; the presented token is not included.
    pub(super) fn content_digest(&self) -> u128 {
        let base_version = self.base_version.to_be_bytes();
        let (verb, document, token): (&str, &str, &str) = match &self.action {
            ChangeAction::Replace { document } => ("replace", document, ""),
            ChangeAction::Create { document, team_token_sha256 } => {
                ("create", document, team_token_sha256)
            }
            ChangeAction::Delete => ("delete", "", ""),
            ChangeAction::RotateToken { team_token_sha256 } => ("rotate", "", team_token_sha256),
        };
        digest(&[&base_version, verb.as_bytes(), document.as_bytes(), token.as_bytes()])
    }
}

/// Returns the first 16 bytes of the SHA-256 of the parts, each preceded by its length.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let sha256 = hasher.finalize();
    let mut truncated = [0; 16];
    truncated.copy_from_slice(&sha256[..16]);
    u128::from_be_bytes(truncated)
}

/// Returns the SHA-256 of a token as lower-case hex digits.
pub fn token_sha256(token: &str) -> Box<str> {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex.into()
}

/// Compares two token hashes in constant time; an empty hash matches nothing.
pub fn token_matches(stored: &str, presented: &str) -> bool {
    !stored.is_empty() && bool::from(stored.as_bytes().ct_eq(presented.as_bytes()))
}
