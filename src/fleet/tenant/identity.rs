//! Identity of the caller of one request, checked again before each send.

use std::rc::Rc;

use thiserror::Error;

use super::credential::parse_credentials;
use super::{CredentialError, KeyDigest, KnownTenant, TenantTable};
use crate::fleet::dialect::WireDialect;
use crate::http::HeaderList;

/// What a request said of its caller, under the tenants that were in force when it was read.
///
/// Tenants can change while the request waits for a server, so [`Self::tenant_now`] decides before each send.
#[derive(Debug, Default)]
pub struct CallerIdentity {
    /// Tenants against which the request was checked; `None` if the document has none.
    checked: Option<Rc<TenantTable>>,
    key: Option<KeyDigest>,
    needs_key: bool,
    tenant: Option<Rc<KnownTenant>>,
}

/// Why a request that was read must not be sent any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IdentityError {
    #[error("the key was withdrawn")]
    Withdrawn,
    /// The request was read while the document had no tenants, so its headers may still contain a key.
    #[error("keys are needed since the request was read")]
    Outdated,
}

impl CallerIdentity {
    /// Checks the credentials of a request. On a public route, credentials that name no key in force are
    /// ignored, because no key is needed there.
    pub fn check(
        table: &Rc<TenantTable>,
        dialect: &dyn WireDialect,
        headers: &HeaderList,
        is_public: bool,
    ) -> Result<Self, CredentialError> {
        if !table.has_tenants() {
            return Ok(Self::default());
        }
        let name = dialect.headers().authorization;
        let key = parse_credentials(headers, name, dialect.key_scheme());
        let found = key.and_then(|key| table.find(&key).ok_or(CredentialError::Unknown));
        let tenant = match found {
            Ok(tenant) => Some(Rc::clone(tenant)),
            Err(_) if is_public => None,
            Err(error) => return Err(error),
        };
        let key = key.ok().filter(|_| tenant.is_some());
        Ok(Self { checked: Some(Rc::clone(table)), key, needs_key: !is_public, tenant })
    }

    /// Tenant of the caller when the request was read.
    pub fn tenant(&self) -> Option<&Rc<KnownTenant>> {
        self.tenant.as_ref()
    }

    /// Whether the request was read under a document with tenants, so that nothing that the caller says of
    /// keys and tenants reaches a server.
    pub fn hides_credentials(&self) -> bool {
        self.checked.is_some()
    }

    /// Puts the tenant's name in place of the caller's credentials, for the digest of the request. It is logged
    /// and told to others, so a weak key could be guessed from a digest that depends on it; and a request
    /// that crashes servers is the same one under each key of a tenant.
    pub fn replace_credentials(&self, dialect: &dyn WireDialect, headers: &mut HeaderList) {
        if let Some(tenant) = &self.tenant {
            // Cannot fail: names of tenants are printable.
            let _ = headers.set(dialect.headers().authorization, tenant.name.as_bytes());
        }
    }

    /// Returns the tenant whose request this is under the tenants in force now.
    pub fn tenant_now(
        &self,
        table: &Rc<TenantTable>,
    ) -> Result<Option<Rc<KnownTenant>>, IdentityError> {
        let Some(checked) = &self.checked else {
            return if table.has_tenants() { Err(IdentityError::Outdated) } else { Ok(None) };
        };
        if Rc::ptr_eq(checked, table) {
            return Ok(self.tenant.clone());
        }
        let tenant = self.key.as_ref().and_then(|key| table.find(key)).cloned();
        if tenant.is_none() && self.needs_key && table.has_tenants() {
            return Err(IdentityError::Withdrawn);
        }
        Ok(tenant)
    }
}
