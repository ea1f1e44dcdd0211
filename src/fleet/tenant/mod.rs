//! Tenants: customers of the operator whose callers identify themselves with keys.

mod credential;
mod decode;
mod identity;
mod key;
mod metrics;
mod rule;
mod table;

pub use credential::{CredentialError, parse_credentials};
pub use decode::deserialize_tenants;
pub use identity::{CallerIdentity, IdentityError};
pub use key::{KeyDigest, MAX_KEY_BYTES};
pub use metrics::KeyMetrics;
pub use rule::{TenantError, TenantRule};
pub use table::{KnownTenant, TenantTable};
