//! Digests of the keys with which callers identify themselves.
//!
//! Only digests are replicated to entries, kept and compared, so that neither a dump of an entry nor the
//! duration of a comparison reveals a key.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum length of a key in bytes. Usual tokens are shorter, and a request head has little room.
pub const MAX_KEY_BYTES: usize = 512;

/// SHA-256 digest of a key. Its debug output shows nothing of the digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key in the form in which callers send it.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}
