//! Request digest, which detects an idempotency key that is reused for another request.

use sha2::{Digest, Sha256};

/// Incremental SHA-256 over method, path with query, and body.
///
/// Method and path are prefixed with their lengths, and the body is followed by its length, because
/// requests whose fields differ but concatenate to the same bytes must have different digests. The
/// body is added in chunks as it is read.
#[derive(Clone, Debug)]
pub struct RequestDigest {
    hasher: Sha256,
    body_bytes: u64,
}

impl RequestDigest {
    /// Starts a digest with the method and the path with query, both as received.
    pub fn new(method: &str, path: &str) -> Self {
        let mut hasher = Sha256::new();
        for field in [method, path] {
            hasher.update((field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        Self { hasher, body_bytes: 0 }
    }

    /// Adds the next chunk of the body.
    pub fn update(&mut self, chunk: &[u8]) {
        self.body_bytes += chunk.len() as u64;
        self.hasher.update(chunk);
    }

    /// Finishes the digest with the length of the body.
    pub fn finish(mut self) -> [u8; 32] {
        self.hasher.update(self.body_bytes.to_be_bytes());
        self.hasher.finalize().into()
    }
}

/// Computes the digest of a request whose body is in memory.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut digest = RequestDigest::new(method, path);
    digest.update(body);
    digest.finish()
}
