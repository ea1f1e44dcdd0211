//! A settings change and its outcome.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ids::SettingsRevision;
use crate::schema::SchemaError;

/// A change of one branch, as committed to the replicated log.
///
/// It carries the SHA-256 of the presented token, so that no token reaches a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    pub branch: Box<str>,
    /// Version that the change is based on; 0 for a new branch.
    pub base_version: u64,
    /// Unique text; a resent change keeps its id.
    pub change_id: Box<str>,
    /// SHA-256 of the presented token in hex.
    pub token_sha256: Box<str>,
    pub action: ChangeAction,
}

/// What a change does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeAction {
    /// Replaces the document; needs the token of the branch.
    Replace { document: Box<str> },
    /// Creates a team's branch; needs the root token.
    Create { document: Box<str>, team_token_sha256: Box<str> },
    /// Deletes a team's branch; needs the root token.
    Delete,
    /// Replaces a team's token at any version; needs the root token.
    RotateToken { team_token_sha256: Box<str> },
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    Accepted { version: u64, revision: SettingsRevision },
    Conflict { current: u64 },
    Refused(RefusalReason),
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum RefusalReason {
    /// The list is empty when a resent change asks for errors that are no longer kept.
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
    /// Key of the change among the kept outcomes.
    pub(super) fn key(&self) -> u128 {
        digest(&[self.branch.as_bytes(), self.change_id.as_bytes()])
    }

    /// Digest of what the change asks for; the token is left out.
    pub(super) fn content(&self) -> u128 {
        let base = self.base_version.to_be_bytes();
        let (verb, document, token): (&str, &str, &str) = match &self.action {
            ChangeAction::Replace { document } => ("replace", document, ""),
            ChangeAction::Create { document, team_token_sha256 } => {
                ("create", document, team_token_sha256)
            }
            ChangeAction::Delete => ("delete", "", ""),
            ChangeAction::RotateToken { team_token_sha256 } => ("rotate", "", team_token_sha256),
        };
        digest(&[&base, verb.as_bytes(), document.as_bytes(), token.as_bytes()])
    }
}

/// First 16 bytes of the SHA-256 of the parts, each with its length.
fn digest(parts: &[&[u8]]) -> u128 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let full = hash.finalize();
    let mut short = [0; 16];
    short.copy_from_slice(&full[..16]);
    u128::from_be_bytes(short)
}

/// Returns the SHA-256 of a token in hex.
pub fn token_sha256(token: &str) -> Box<str> {
    let mut hex = String::with_capacity(64);
    for byte in Sha256::digest(token.as_bytes()) {
        hex.push_str(&format!("{byte:02x}"));
    }
    hex.into()
}

/// Compares two token hashes in constant time; an empty hash matches nothing.
pub fn token_matches(kept: &str, presented: &str) -> bool {
    !kept.is_empty() && bool::from(kept.as_bytes().ct_eq(presented.as_bytes()))
}
