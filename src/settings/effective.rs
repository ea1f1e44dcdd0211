//! Effective settings of a service after inheritance.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::{RequestLength, SelectionPolicy};
use crate::schema::parse_quantile;
use crate::units::{read_duration, read_duration_or_off, read_optional_duration, read_size};

/// Methods that count as idempotent for a request without a class. PUT and DELETE are not included:
/// a server that does not implement them idempotently as RFC 9110 requires would run work twice.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Settings of a service with all values resolved.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ServiceSettings {
    #[serde(rename = "match")]
    pub matching: ServiceMatch,
    pub servers: ServerLimits,
    /// Request classes; services that inherit the same list share it.
    #[serde(default)]
    pub classes: Arc<[RequestClass]>,
    /// Deadline of a request whose class sets none.
    #[serde(deserialize_with = "read_duration")]
    pub deadline: Duration,
    /// Body size in bytes above which a request is long, unless its class sets the length.
    #[serde(deserialize_with = "read_size")]
    pub long_body_threshold: u64,
    pub retry: RetrySettings,
    pub drain: DrainSettings,
    pub claims: ClaimSettings,
    pub measure: MeasureBudget,
    pub policy: SelectionPolicy,
}

/// Condition on the requests that belong to a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ServiceMatch {
    /// Host in lower case; `None` matches every host.
    #[serde(default)]
    pub host: Option<Box<str>>,
    pub path_prefix: Box<str>,
}

/// Limits for each server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ServerLimits {
    /// Maximum number of requests that a server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections to a server.
    pub connections: u32,
    /// Maximum number of queued requests of a class on an entry.
    pub queue: u32,
}

/// Class of requests within a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RequestClass {
    pub name: Box<str>,
    /// Methods in the class; empty for all methods.
    #[serde(default)]
    pub methods: BTreeSet<Box<str>>,
    /// Path prefix of whole segments; `None` for all paths.
    #[serde(default)]
    pub path_prefix: Option<Box<str>>,
    pub idempotent: bool,
    /// Expected length; `None` to decide by the body size.
    #[serde(default)]
    pub length: Option<RequestLength>,
    /// Deadline; `None` for the service's deadline.
    #[serde(default, deserialize_with = "read_optional_duration")]
    pub deadline: Option<Duration>,
}

/// Settings for retries and hedged requests.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RetrySettings {
    /// Maximum number of attempts of a request, including the first.
    pub attempts: u32,
    /// Budget for retries and hedged requests in percent of recent successes.
    pub budget_percent: u32,
    #[serde(deserialize_with = "read_duration")]
    pub backoff_min: Duration,
    #[serde(deserialize_with = "read_duration")]
    pub backoff_max: Duration,
    /// Latency quantile, from 0 to 1, after which a request is hedged; `None` to disable hedging.
    #[serde(deserialize_with = "read_quantile")]
    pub hedge_quantile: Option<f64>,
    /// Status codes with which a server declares that it refused a request without executing it.
    pub not_run_statuses: BTreeSet<u16>,
}

/// Settings for servers that drain or become ready.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct DrainSettings {
    /// Time after the start of draining by which no entry sends new requests to the server.
    #[serde(deserialize_with = "read_duration")]
    pub drain_time: Duration,
    /// Time that requests in flight have to complete.
    #[serde(deserialize_with = "read_duration")]
    pub grace: Duration,
    /// Time over which a server that became ready is gradually given all its slots.
    #[serde(deserialize_with = "read_duration")]
    pub slow_start: Duration,
}

/// Settings for claims of non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ClaimSettings {
    #[serde(deserialize_with = "read_duration")]
    pub retention: Duration,
    /// Maximum size in bytes of a stored response.
    #[serde(deserialize_with = "read_size")]
    pub answer_limit: u64,
    /// Maximum size in bytes of a request body.
    #[serde(deserialize_with = "read_size")]
    pub body_limit: u64,
    /// Maximum number of stored claims.
    pub capacity: u64,
}

/// Budget for load reports, probes and credit messages.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MeasureBudget {
    pub messages_per_second: u32,
    #[serde(deserialize_with = "read_size")]
    pub bytes_per_second: u64,
    /// Interval between probes of a server; `None` to disable probes.
    #[serde(deserialize_with = "read_duration_or_off")]
    pub probe: Option<Duration>,
}

fn read_quantile<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    let text = String::deserialize(input)?;
    parse_quantile(&text).ok_or_else(|| serde::de::Error::custom("not a quantile"))
}

impl ServiceSettings {
    /// Returns the first class that matches the method and path.
    pub fn class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes.iter().find(|class| class.matches(method, path))
    }

    /// Tells whether a request may run more than once; without a class, only requests with a safe
    /// method may.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.class(method, path) {
            Some(class) => class.idempotent,
            None => SAFE_METHODS.contains(&method),
        }
    }

    /// Returns the deadline of a request.
    pub fn request_deadline(&self, method: &str, path: &str) -> Duration {
        self.class(method, path).and_then(|class| class.deadline).unwrap_or(self.deadline)
    }

    /// Returns the expected length of a request with a body of `body_size` bytes.
    pub fn request_length(&self, method: &str, path: &str, body_size: u64) -> RequestLength {
        let class_length = self.class(method, path).and_then(|class| class.length);
        let is_long = body_size > self.long_body_threshold;
        class_length.unwrap_or(if is_long { RequestLength::Long } else { RequestLength::Short })
    }

    /// Returns the path and an error message for the first value that contradicts another one.
    pub(super) fn find_contradiction(&self) -> Option<(&'static str, String)> {
        let servers = &self.servers;
        if servers.slots > servers.connections {
            let message = format!(
                "expected at most as many slots as connections ({}), found {}",
                servers.connections, servers.slots
            );
            return Some(("servers.slots", message));
        }
        let retry = &self.retry;
        if retry.backoff_min > retry.backoff_max {
            let message = format!(
                "expected at most backoff_max ({}), found {}",
                crate::units::format_duration(retry.backoff_max),
                crate::units::format_duration(retry.backoff_min)
            );
            return Some(("retry.backoff_min", message));
        }
        None
    }

    /// Resolves contradictions that a later change of the root defaults can cause.
    ///
    /// A team's document must not prevent a change of the root branch, so the values are adjusted
    /// instead of refused.
    pub(super) fn resolve_contradictions(&mut self) {
        self.servers.slots = self.servers.slots.min(self.servers.connections);
        self.retry.backoff_max = self.retry.backoff_max.max(self.retry.backoff_min);
    }
}

impl RequestClass {
    fn matches(&self, method: &str, path: &str) -> bool {
        if !self.methods.is_empty() && !self.methods.contains(method) {
            return false;
        }
        self.path_prefix.as_deref().is_none_or(|prefix| has_path_prefix(path, prefix))
    }
}

/// Tells whether `path` starts with the segments of `prefix`; the query is ignored.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    if prefix == "/" {
        return path.starts_with('/');
    }
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || rest.starts_with('?')
}
