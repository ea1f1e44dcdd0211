//! Effective settings of one service after inheritance.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Deserializer};

use super::{RequestLength, SelectionPolicy};
use crate::schema::parse_quantile;
use crate::units::{read_duration, read_duration_or_off, read_optional_duration, read_size};

/// Methods that are idempotent when no class covers a request. PUT and DELETE are left out,
/// because a server that departs from RFC 9110 there would run work twice.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Settings of one service with every value filled in.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct ServiceSettings {
    #[serde(rename = "match")]
    pub matching: ServiceMatch,
    pub servers: ServerLimits,
    /// Shared by all services that inherit the list.
    #[serde(default)]
    pub classes: Arc<[RequestClass]>,
    /// Time limit of a request whose class states none.
    #[serde(deserialize_with = "read_duration")]
    pub deadline: Duration,
    /// Body size in bytes above which a request is long when no class says so.
    #[serde(deserialize_with = "read_size")]
    pub long_body_threshold: u64,
    pub retry: RetryRule,
    pub drain: DrainRule,
    pub claims: ClaimRule,
    pub measure: MeasureBudget,
    pub policy: SelectionPolicy,
}

/// Requests that belong to a service.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ServiceMatch {
    /// Host in lower case; `None` matches every host.
    #[serde(default)]
    pub host: Option<Box<str>>,
    pub path_prefix: Box<str>,
}

/// Limits of each server.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ServerLimits {
    /// Requests that one server runs at once.
    pub slots: u32,
    /// Connections to one server.
    pub connections: u32,
    /// Requests of one class that wait on one entry.
    pub queue: u32,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct RequestClass {
    pub name: Box<str>,
    /// Methods of the class; empty for every method.
    #[serde(default)]
    pub methods: BTreeSet<Box<str>>,
    /// Leading path segments; `None` for every path.
    #[serde(default)]
    pub path_prefix: Option<Box<str>>,
    pub idempotent: bool,
    /// `None` decides by body size.
    #[serde(default)]
    pub length: Option<RequestLength>,
    /// `None` for the service's deadline.
    #[serde(default, deserialize_with = "read_optional_duration")]
    pub deadline: Option<Duration>,
}

/// Retries and hedging.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct RetryRule {
    /// Attempts of one request, the first included.
    pub attempts: u32,
    /// Retries and hedged requests in percent of recent successes.
    pub budget_percent: u32,
    #[serde(deserialize_with = "read_duration")]
    pub backoff_min: Duration,
    #[serde(deserialize_with = "read_duration")]
    pub backoff_max: Duration,
    /// Latency quantile from 0 to 1 after which a request is hedged; `None` for never.
    #[serde(deserialize_with = "read_quantile")]
    pub hedge_quantile: Option<f64>,
    /// Statuses by which a server declares that it refused a request before execution.
    pub not_run_statuses: BTreeSet<u16>,
}

/// Servers that leave or join.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct DrainRule {
    /// Time after which no entry sends new work to a draining server.
    #[serde(deserialize_with = "read_duration")]
    pub drain_time: Duration,
    /// Time that requests in flight get to finish.
    #[serde(deserialize_with = "read_duration")]
    pub grace: Duration,
    /// Time over which a server that became ready gets its slots.
    #[serde(deserialize_with = "read_duration")]
    pub slow_start: Duration,
}

/// Claims of non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ClaimRule {
    #[serde(deserialize_with = "read_duration")]
    pub retention: Duration,
    /// Largest response that is stored, in bytes.
    #[serde(deserialize_with = "read_size")]
    pub answer_limit: u64,
    /// Largest request body, in bytes.
    #[serde(deserialize_with = "read_size")]
    pub body_limit: u64,
    /// Claims kept at once.
    pub capacity: u64,
}

/// Budget for load reports, probes and credit messages.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MeasureBudget {
    pub messages_per_second: u32,
    #[serde(deserialize_with = "read_size")]
    pub bytes_per_second: u64,
    /// Interval between probes of one server; `None` for no probes.
    #[serde(deserialize_with = "read_duration_or_off")]
    pub probe: Option<Duration>,
}

fn read_quantile<'de, D: Deserializer<'de>>(input: D) -> Result<Option<f64>, D::Error> {
    let text = String::deserialize(input)?;
    parse_quantile(&text).ok_or_else(|| serde::de::Error::custom("not a quantile"))
}

impl ServiceSettings {
    /// Returns the first class that covers the method and path.
    pub fn class(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes.iter().find(|class| class.covers(method, path))
    }

    /// Tells whether a request may run more than once; without a class only safe methods may.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match self.class(method, path) {
            Some(class) => class.idempotent,
            None => SAFE_METHODS.contains(&method),
        }
    }

    /// Returns the time limit of a request.
    pub fn request_deadline(&self, method: &str, path: &str) -> Duration {
        self.class(method, path).and_then(|class| class.deadline).unwrap_or(self.deadline)
    }

    /// Returns the expected length of a request with a body of `body_size` bytes.
    pub fn request_length(&self, method: &str, path: &str, body_size: u64) -> RequestLength {
        let stated = self.class(method, path).and_then(|class| class.length);
        let long = body_size > self.long_body_threshold;
        stated.unwrap_or(if long { RequestLength::Long } else { RequestLength::Short })
    }

    /// Names the first pair of values that contradict each other, by path and message.
    pub(super) fn contradiction(&self) -> Option<(&'static str, String)> {
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

    /// Resolves contradictions that a later change of the root defaults can bring.
    ///
    /// The root branch must not fail because of a team's document, so these values are adapted.
    pub(super) fn resolve_contradictions(&mut self) {
        self.servers.slots = self.servers.slots.min(self.servers.connections);
        self.retry.backoff_max = self.retry.backoff_max.max(self.retry.backoff_min);
    }
}

impl RequestClass {
    fn covers(&self, method: &str, path: &str) -> bool {
        if !self.methods.is_empty() && !self.methods.contains(method) {
            return false;
        }
        self.path_prefix.as_deref().is_none_or(|prefix| has_prefix(path, prefix))
    }
}

/// Tells whether `path` starts with all segments of `prefix`; a query is ignored.
fn has_prefix(path: &str, prefix: &str) -> bool {
    if prefix == "/" {
        return path.starts_with('/');
    }
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || rest.starts_with('?')
}
