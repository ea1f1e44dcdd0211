//! Tenants: customers of the operator whose callers identify themselves with keys.

mod key;
mod rule;

pub use key::KeyDigest;
pub use rule::{TenantError, TenantRule};
