//! Credentials with which callers name their tenant's key.

use thiserror::Error;

use super::KeyDigest;
use super::key::MAX_KEY_BYTES;
use crate::http::HeaderList;

/// Why a request names no key in force. Nothing here contains any part of what the caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CredentialError {
    #[error("no credentials")]
    Missing,
    #[error("more than one credentials header")]
    Repeated,
    #[error("the credentials are not text")]
    NotText,
    #[error("the credentials have another scheme")]
    OtherScheme,
    #[error("the credentials contain no key")]
    NoKey,
    #[error("the key in the credentials is too long")]
    TooLong,
    #[error("no tenant holds the key")]
    Unknown,
}

impl CredentialError {
    /// Reason in the response to the caller.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Missing => "a key is needed",
            Self::Unknown => "the key is not in force",
            _ => "malformed credentials",
        }
    }

    /// Label value for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Unknown => "unknown",
            _ => "malformed",
        }
    }
}

/// Returns the digest of the key in header `name`: one value of the form `SCHEME KEY`, with one space and
/// the scheme in upper or lower case (RFC 9110, section 11.4).
pub fn parse_credentials(
    headers: &HeaderList,
    name: &str,
    scheme: &str,
) -> Result<KeyDigest, CredentialError> {
    let mut values = headers.values(name);
    let value = values.next().ok_or(CredentialError::Missing)?;
    if values.next().is_some() {
        return Err(CredentialError::Repeated);
    }
    let text = std::str::from_utf8(value).map_err(|_| CredentialError::NotText)?;
    let (received_scheme, key) = text.split_once(' ').unwrap_or((text, ""));
    if !received_scheme.eq_ignore_ascii_case(scheme) {
        return Err(CredentialError::OtherScheme);
    }
    if key.is_empty() || key.starts_with(' ') {
        return Err(CredentialError::NoKey);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(CredentialError::TooLong);
    }
    Ok(KeyDigest::of(key.as_bytes()))
}
