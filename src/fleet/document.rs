//! Settings document of fleet mode: routes by host and path, services and limits on callers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::ServiceName;

/// Number of a document; the highest one is in force.
pub type DocumentVersion = u64;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repetition {
    Idempotent,
    AtMostOnce,
}

/// Bounds on what a caller may send and how long it may take.
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

/// Destination and rules of the requests under one prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    pub name: Box<str>,
    pub repetition: Repetition,
    pub timeout: Duration,
    /// Time within which a response is worth most.
    pub target_latency: Duration,
    /// Servers to which one request may be sent.
    pub max_attempts: u32,
    /// Rank of the requests; 0 is the highest.
    pub priority: u32,
    /// Services and their weights.
    pub targets: Vec<(ServiceName, f64)>,
}

/// Settings of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    pub health_path: Box<str>,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
}

/// Complete settings document.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    pub version: DocumentVersion,
    pub limits: CallerLimits,
    pub routes: BTreeMap<RouteKey, RouteRule>,
    pub services: BTreeMap<ServiceName, ServiceRule>,
}

/// Why a document is refused.
#[derive(Debug, Error, PartialEq)]
pub enum DocumentError {
    #[error("the document cannot be read: {0}")]
    Unreadable(Box<str>),
    #[error("{path}: {problem}")]
    Field { path: Box<str>, problem: Box<str> },
    #[error("route {route}: service {service} is not defined")]
    UnknownService { route: Box<str>, service: ServiceName },
    #[error("route {0}: the weights add up to 0")]
    NoWeight(Box<str>),
    #[error("route {0}: a weight is below 0 or no number")]
    InvalidWeight(Box<str>),
    #[error("route {0}: max attempts is 0")]
    NoAttempts(Box<str>),
    #[error("route {0}: the timeout is 0")]
    NoTimeout(Box<str>),
    #[error("route {0}: another route has the same host and prefix")]
    DuplicateRoute(Box<str>),
    #[error("route {0}: the prefix does not begin and end with a slash")]
    InvalidPrefix(Box<str>),
}

impl RouteDocument {
    /// Adds a route; another one must not have the same host and prefix.
    pub fn add_route(&mut self, key: RouteKey, rule: RouteRule) -> Result<(), DocumentError> {
        let name = rule.name.clone();
        match self.routes.insert(key, rule) {
            Some(_) => Err(DocumentError::DuplicateRoute(name)),
            None => Ok(()),
        }
    }

    /// Checks the rules that concern several fields.
    pub fn check(&self) -> Result<(), DocumentError> {
        for ((_, prefix), rule) in &self.routes {
            let name = || rule.name.clone();
            if !prefix.starts_with('/') || !prefix.ends_with('/') {
                return Err(DocumentError::InvalidPrefix(name()));
            }
            if rule.max_attempts == 0 {
                return Err(DocumentError::NoAttempts(name()));
            }
            if rule.timeout.is_zero() {
                return Err(DocumentError::NoTimeout(name()));
            }
            self.check_targets(rule)?;
        }
        Ok(())
    }

    fn check_targets(&self, rule: &RouteRule) -> Result<(), DocumentError> {
        let mut sum = 0.0;
        for (service, weight) in &rule.targets {
            if !weight.is_finite() || *weight < 0.0 {
                return Err(DocumentError::InvalidWeight(rule.name.clone()));
            }
            if !self.services.contains_key(service) {
                let (route, service) = (rule.name.clone(), service.clone());
                return Err(DocumentError::UnknownService { route, service });
            }
            sum += weight;
        }
        if sum > 0.0 { Ok(()) } else { Err(DocumentError::NoWeight(rule.name.clone())) }
    }
}
