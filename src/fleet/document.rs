//! Settings document of fleet mode: routes by host and path, services and limits on callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::tenant::{TenantError, TenantRule};
use crate::ids::{ServiceName, TenantName};

/// Version of a document. The highest version is in force.
pub type DocumentVersion = u64;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    Idempotent,
    AtMostOnce,
}

/// Limits on the size and duration of a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    pub head_bytes: usize,
    pub body_bytes: u64,
    pub head_timeout: Duration,
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 64 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Host and path prefix of a route.
pub type RouteKey = (Box<str>, Box<str>);

/// Targets and policy for requests under one prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    pub name: Box<str>,
    pub repetition: Repetition,
    pub timeout: Duration,
    /// Latency goal: a response within this time has its full value.
    pub target_latency: Duration,
    /// Maximum number of servers to which one request may be sent.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key although the document has tenants.
    #[serde(default)]
    pub is_public: bool,
    /// Target services with their weights.
    pub targets: Vec<(ServiceName, f64)>,
}

/// Settings of one service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    pub health_path: Box<str>,
    /// Maximum number of connections that one server accepts in total.
    pub max_connections: u32,
    /// Time for which a server is cold after its start.
    #[serde(default)]
    pub warmup: Duration,
    /// Requests per second that a cold server bears from all entries together; 0 for no limit.
    #[serde(default)]
    pub warmup_rate: f64,
}

/// The complete settings document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    pub version: DocumentVersion,
    pub limits: CallerLimits,
    pub routes: BTreeMap<RouteKey, RouteRule>,
    pub services: BTreeMap<ServiceName, ServiceRule>,
    /// Tenants; without any, no request needs a key.
    #[serde(default)]
    pub tenants: BTreeMap<TenantName, TenantRule>,
}

/// Errors that make a document invalid.
#[derive(Debug, Error, PartialEq)]
pub enum DocumentError {
    #[error("the document cannot be read: {0}")]
    Unreadable(Box<str>),
    #[error("{path}: {problem}")]
    Field { path: Box<str>, problem: Box<str> },
    #[error(transparent)]
    Tenant(#[from] TenantError),
    #[error("service {0}: the warm-up rate is no number from 0 on")]
    InvalidWarmup(ServiceName),
    #[error("route {route}: service {service} is not defined")]
    UnknownService { route: Box<str>, service: ServiceName },
    #[error("route {0}: the weights add up to 0")]
    ZeroTotalWeight(Box<str>),
    #[error("route {0}: a weight is below 0 or no number")]
    InvalidWeight(Box<str>),
    #[error("route {0}: max attempts is 0")]
    ZeroMaxAttempts(Box<str>),
    #[error("route {0}: the timeout is 0")]
    ZeroTimeout(Box<str>),
    #[error("route {0}: another route has the same host and prefix")]
    DuplicateRoute(Box<str>),
    #[error("route {0}: the prefix does not begin and end with a slash")]
    InvalidPrefix(Box<str>),
}

impl RouteDocument {
    /// Adds a route, and fails if another one has the same host and prefix.
    pub fn add_route(&mut self, key: RouteKey, rule: RouteRule) -> Result<(), DocumentError> {
        let name = rule.name.clone();
        match self.routes.insert(key, rule) {
            Some(_) => Err(DocumentError::DuplicateRoute(name)),
            None => Ok(()),
        }
    }

    /// Adds a tenant with its keys, and fails if a key is unusable or another tenant has the same name.
    pub fn add_tenant(
        &mut self,
        name: TenantName,
        keys: &[Box<str>],
        mut rule: TenantRule,
    ) -> Result<(), DocumentError> {
        rule.add_keys(&name, keys)?;
        if self.tenants.contains_key(&name) {
            return Err(TenantError::duplicate_name(&name).into());
        }
        self.tenants.insert(name, rule);
        Ok(())
    }

    /// Validates prefixes, attempts, timeouts and target weights of all routes, the services and the
    /// tenants.
    pub fn check(&self) -> Result<(), DocumentError> {
        TenantRule::check_all(&self.tenants)?;
        for (name, rule) in &self.services {
            if !rule.warmup_rate.is_finite() || rule.warmup_rate < 0.0 {
                return Err(DocumentError::InvalidWarmup(name.clone()));
            }
        }
        for ((_, prefix), rule) in &self.routes {
            let name = || rule.name.clone();
            if !prefix.starts_with('/') || !prefix.ends_with('/') {
                return Err(DocumentError::InvalidPrefix(name()));
            }
            if rule.max_attempts == 0 {
                return Err(DocumentError::ZeroMaxAttempts(name()));
            }
            if rule.timeout.is_zero() {
                return Err(DocumentError::ZeroTimeout(name()));
            }
            self.check_targets(rule)?;
        }
        Ok(())
    }

    fn check_targets(&self, rule: &RouteRule) -> Result<(), DocumentError> {
        let mut total_weight = 0.0;
        for (service, weight) in &rule.targets {
            if !weight.is_finite() || *weight < 0.0 {
                return Err(DocumentError::InvalidWeight(rule.name.clone()));
            }
            if !self.services.contains_key(service) {
                let (route, service) = (rule.name.clone(), service.clone());
                return Err(DocumentError::UnknownService { route, service });
            }
            total_weight += weight;
        }
        if total_weight > 0.0 {
            Ok(())
        } else {
            Err(DocumentError::ZeroTotalWeight(rule.name.clone()))
        }
    }
}
