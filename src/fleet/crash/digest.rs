//! Identity of a request across attempts, callers' connections and entries.

use sha2::{Digest, Sha256};

use crate::http::RequestHead;
use crate::ids::RequestDigest;

/// Separates these digests from others over the same bytes.
const DOMAIN_TAG: &[u8] = b"curranthollow request digest 1";

/// Headers that identify the caller, beside the one that the dialect names. All others can differ between
/// attempts of one request.
const CREDENTIAL_HEADERS: [&str; 2] = ["authorization", "cookie"];

/// Size of the pieces in which [`request_digest_in_pieces`] hashes a body: about 0.1 ms each on a whole
/// core, 1 ms on a tenth of one.
pub const DIGEST_PIECE_BYTES: usize = 64 << 10;

/// Returns the digest of a request: equal for the same method, host, target, credentials and body.
/// `credential_header` is the header in which the dialect carries a caller's key, in lower case.
///
/// SHA-256 without a key suffices: nobody can build a request with the digest of another one, and
/// digests travel only on links between processes of the fleet.
pub fn request_digest(credential_header: &str, head: &RequestHead, body: &[u8]) -> RequestDigest {
    let mut hasher = hash_head(credential_header, head, body.len());
    hasher.update(body);
    finish(hasher)
}

/// Returns the same digest. Other tasks run between the pieces of a long body.
pub async fn request_digest_in_pieces(
    credential_header: &str,
    head: &RequestHead,
    body: &[u8],
) -> RequestDigest {
    let mut hasher = hash_head(credential_header, head, body.len());
    for (number, piece) in body.chunks(DIGEST_PIECE_BYTES).enumerate() {
        if number > 0 {
            tokio::task::yield_now().await;
        }
        hasher.update(piece);
    }
    finish(hasher)
}

/// Hashes everything that precedes the bytes of the body.
fn hash_head(credential_header: &str, head: &RequestHead, body_length: usize) -> Sha256 {
    let mut hasher = Sha256::new_with_prefix(DOMAIN_TAG);
    update_field(&mut hasher, head.method.as_bytes());
    update_field(&mut hasher, head.host.as_bytes());
    update_field(&mut hasher, head.target.as_bytes());
    let own_header = Some(credential_header).filter(|name| !CREDENTIAL_HEADERS.contains(name));
    for name in CREDENTIAL_HEADERS.into_iter().chain(own_header) {
        update_length(&mut hasher, head.headers.values(name).count());
        for value in head.headers.values(name) {
            update_field(&mut hasher, value);
        }
    }
    update_length(&mut hasher, body_length);
    hasher
}

fn finish(hasher: Sha256) -> RequestDigest {
    let hash = hasher.finalize();
    hash[..16].iter().fold(0, |digest, byte| digest << 8 | RequestDigest::from(*byte))
}

/// Adds a field with its length, so that bytes cannot move from one field to the next.
fn update_field(hasher: &mut Sha256, field: &[u8]) {
    update_length(hasher, field.len());
    hasher.update(field);
}

fn update_length(hasher: &mut Sha256, length: usize) {
    hasher.update((length as u64).to_be_bytes());
}
