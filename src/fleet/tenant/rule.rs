//! Settings of one tenant.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{KeyDigest, MAX_KEY_BYTES};
use crate::fleet::announcement::is_printable_name;
use crate::ids::TenantName;

/// Maximum length of a name in an error message.
const MAX_SHOWN_CHARS: usize = 64;

/// Settings of one tenant.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantRule {
    /// Priority of the tenant's requests instead of that of their routes; 0 is the highest.
    pub priority: Option<u32>,
    /// Requests per second over all entries; 0 for no limit.
    pub rate: f64,
    /// Requests beyond the rate that may come at once, over all entries.
    pub burst: f64,
    pub keys: BTreeSet<KeyDigest>,
}

/// Errors in the tenants of a document. They name tenants, never keys.
#[derive(Debug, Error, PartialEq)]
pub enum TenantError {
    #[error("tenant {0}: the name is empty, too long or not printable ASCII without spaces")]
    InvalidName(TenantName),
    #[error("tenant {0}: rate or burst is no number from 0 on")]
    InvalidRate(TenantName),
    #[error("tenant {0}: another tenant has the same name")]
    DuplicateName(TenantName),
    #[error(
        "tenant {0}: a key is empty, longer than {MAX_KEY_BYTES} bytes, or no header can carry it"
    )]
    InvalidKey(TenantName),
    #[error("tenants {0} and {1} share a key")]
    SharedKey(TenantName, TenantName),
}

/// Returns a name for an error message: at most 64 printable characters of it.
fn shown(name: &str) -> TenantName {
    let text: String = name.escape_debug().take(MAX_SHOWN_CHARS).collect();
    text.into()
}

impl TenantError {
    /// Creates the error for two tenants with this name.
    pub fn duplicate_name(name: &str) -> Self {
        Self::DuplicateName(shown(name))
    }
}

impl TenantRule {
    /// Creates the settings of a tenant without keys.
    pub fn new(priority: Option<u32>, rate: f64, burst: f64) -> Self {
        Self { priority, rate, burst, keys: BTreeSet::new() }
    }

    /// Whether the number of the tenant's requests is limited.
    pub fn is_limited(&self) -> bool {
        self.rate > 0.0
    }

    /// Adds keys in the form in which callers send them, and fails if no caller can send one.
    pub fn add_keys(&mut self, name: &TenantName, keys: &[Box<str>]) -> Result<(), TenantError> {
        for key in keys {
            let is_sendable = !key.chars().any(char::is_control) && key.trim() == &**key;
            if key.is_empty() || key.len() > MAX_KEY_BYTES || !is_sendable {
                return Err(TenantError::InvalidKey(shown(name)));
            }
            self.keys.insert(KeyDigest::of(key.as_bytes()));
        }
        Ok(())
    }

    /// Validates all tenants of a document.
    pub fn check_all(tenants: &BTreeMap<TenantName, Self>) -> Result<(), TenantError> {
        let mut holders: BTreeMap<&KeyDigest, &TenantName> = BTreeMap::new();
        for (name, rule) in tenants {
            // It is sent to servers in a header.
            if !is_printable_name(name) {
                return Err(TenantError::InvalidName(shown(name)));
            }
            if [rule.rate, rule.burst].iter().any(|value| !value.is_finite() || *value < 0.0) {
                return Err(TenantError::InvalidRate(shown(name)));
            }
            for key in &rule.keys {
                if let Some(holder) = holders.insert(key, name) {
                    return Err(TenantError::SharedKey(holder.clone(), name.clone()));
                }
            }
        }
        Ok(())
    }
}
