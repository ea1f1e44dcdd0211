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
    has_tenants: bool,
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
        Self { has_tenants: !tenants.is_empty(), holders }
    }

    /// Whether the document has tenants, so that routes need keys unless they are public.
    pub fn has_tenants(&self) -> bool {
        self.has_tenants
    }

    /// Returns the tenant that holds the key.
    pub fn find(&self, key: &KeyDigest) -> Option<&Rc<KnownTenant>> {
        self.holders.get(key)
    }
}
