//! Decoding of the tenants in a document without their values in errors.

use serde::de::{Deserialize, Deserializer, Error};

/// Beginnings of error messages that contain names of fields of the format, but no values.
const SAFE_PREFIXES: [&str; 2] = ["missing field", "duplicate field"];

/// Decodes the tenants of a document.
///
/// Decoders quote a value of the wrong type in their errors, and it may be a key: errors are logged and
/// returned to the operator.
pub fn deserialize_tenants<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    T::deserialize(deserializer).map_err(|error| {
        let message = error.to_string();
        if SAFE_PREFIXES.iter().any(|prefix| message.starts_with(prefix)) {
            return D::Error::custom(format!("tenants: {message}"));
        }
        D::Error::custom("tenants: a value is malformed or of the wrong type")
    })
}
