//! Tenants of the document in force, found by the keys of callers.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::{KeyDigest, TenantRule};
use crate::ids::TenantName;

/// Tenant of the document in force.
#[derive(Debug, PartialEq)]
pub struct KnownTenant {
    pub name: TenantName,
    pub rule: TenantRule,
}

/// Tenants of one document by the digests of their keys.
#[derive(Debug, Default)]
pub struct TenantTable {
    tenant_count: usize,
    holders: BTreeMap<KeyDigest, Rc<KnownTenant>>,
}

impl TenantTable {
    pub fn new(tenants: &BTreeMap<TenantName, TenantRule>) -> Self {
        let mut holders = BTreeMap::new();
        for (name, rule) in tenants {
            let tenant = Rc::new(KnownTenant { name: name.clone(), rule: rule.clone() });
            for key in &rule.keys {
                holders.insert(*key, Rc::clone(&tenant));
            }
        }
        Self { tenant_count: tenants.len(), holders }
    }

    /// Whether the document has tenants, so that routes need keys unless they are public.
    pub fn has_tenants(&self) -> bool {
        self.tenant_count > 0
    }

    /// Number of tenants, also of those without keys.
    pub fn tenant_count(&self) -> usize {
        self.tenant_count
    }

    /// Number of keys.
    pub fn key_count(&self) -> usize {
        self.holders.len()
    }

    /// Returns the tenant that holds the key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<KnownTenant>> {
        self.holders.get(key)
    }
}
