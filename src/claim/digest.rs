//! Digest of a request, by which a reused key is recognised.

use sha2::{Digest, Sha256};

/// Computes SHA-256 over method, path with query, and body.
///
/// Method and path are preceded by their lengths, and the body is followed by its length, so that
/// no bytes can move from one field into another. The body comes in parts as it is read.
#[derive(Clone, Debug)]
pub struct RequestDigest {
    hash: Sha256,
    body_bytes: u64,
}

impl RequestDigest {
    /// Starts with method and path (with query, as received).
    pub fn new(method: &str, path: &str) -> Self {
        let mut hash = Sha256::new();
        for text in [method, path] {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text.as_bytes());
        }
        Self { hash, body_bytes: 0 }
    }

    /// Adds the next part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.body_bytes += part.len() as u64;
        self.hash.update(part);
    }

    /// Returns the digest.
    pub fn finish(mut self) -> [u8; 32] {
        self.hash.update(self.body_bytes.to_be_bytes());
        self.hash.finalize().into()
    }
}

/// Returns the digest of a request whose body is in memory.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut digest = RequestDigest::new(method, path);
    digest.update(body);
    digest.finish()
}
