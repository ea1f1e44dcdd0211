//! Route lookup by host and longest path prefix.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::document::{CallerLimits, DocumentVersion, RouteDocument, RouteRule, ServiceRule};
use super::tenant::TenantTable;
use crate::ids::ServiceName;

/// Routes of one document, shared by the requests that started under it.
#[derive(Debug, Default)]
pub struct RouteTable {
    pub version: DocumentVersion,
    pub limits: CallerLimits,
    pub services: BTreeMap<ServiceName, ServiceRule>,
    pub tenants: Rc<TenantTable>,
    hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, Rc<RouteRule>>>,
}

impl RouteTable {
    pub fn new(document: &RouteDocument) -> Self {
        Self::with_tenants(document, Rc::new(TenantTable::new(&document.tenants)))
    }

    /// Creates the routes of a document with its table of tenants, which is large and changes less often.
    pub fn with_tenants(document: &RouteDocument, tenants: Rc<TenantTable>) -> Self {
        let mut hosts: BTreeMap<Box<str>, BTreeMap<Box<str>, Rc<RouteRule>>> = BTreeMap::new();
        for ((host, prefix), rule) in &document.routes {
            let host = host.to_ascii_lowercase().into_boxed_str();
            hosts.entry(host).or_default().insert(prefix.clone(), Rc::new(rule.clone()));
        }
        Self {
            version: document.version,
            limits: document.limits,
            services: document.services.clone(),
            tenants,
            hosts,
        }
    }

    /// Returns the rule with the longest prefix of `path`; prefixes end with a slash.
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<RouteRule>> {
        let prefixes = self.hosts.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(rule) = prefixes.get(&path[..=slash]) {
                return Some(Rc::clone(rule));
            }
            end = slash;
        }
        None
    }
}

/// Chooses a target service at random in proportion to the weights.
pub fn choose_target<'a>(rule: &'a RouteRule, random: &mut fastrand::Rng) -> &'a ServiceName {
    let total_weight: f64 = rule.targets.iter().map(|(_, weight)| weight).sum();
    let mut remaining_weight = random.f64() * total_weight;
    let mut chosen = &rule.targets[0].0;
    for (service, weight) in &rule.targets {
        if *weight <= 0.0 {
            continue;
        }
        chosen = service;
        remaining_weight -= weight;
        if remaining_weight < 0.0 {
            break;
        }
    }
    chosen
}
