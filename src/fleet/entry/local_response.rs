//! Responses that an entry generates itself.

use std::time::Duration;

use super::request::CallerResponse;
use super::send::SendError;

/// `retry-after` while the entry holds too many request bodies.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Upper limit of `retry-after`, as a fraction of the remaining time.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.3;

/// Reasons of refusals that an explanation names as well.
pub mod reasons {
    pub const NO_DOCUMENT: &str = "no settings document yet";
    pub const NO_ROUTE: &str = "no route";
    pub const UNKNOWN_QUOTA: &str = "the tenant's quota is not known";
    pub const ALL_PAUSED: &str = "all servers are paused";
    pub const ALL_EVACUATED: &str = "all servers are in evacuated zones";
    pub const NO_ROOM: &str = "no server has room";
}

/// Response that the entry generates itself.
#[derive(Debug)]
pub struct LocalResponse {
    pub status: u16,
    pub reason: &'static str,
    pub retry_after: Option<Duration>,
    /// Scheme of the credentials that the caller needs.
    pub challenge: Option<&'static str>,
    /// Error of the last send, for logs.
    pub cause: Option<SendError>,
}

impl LocalResponse {
    /// Creates a response that makes no statement about whether the request ran.
    pub fn new(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, challenge: None, cause: None }
    }

    /// Creates the response to a request whose body does not fit into memory.
    pub fn overloaded() -> Self {
        Self::not_run("too many request bodies", OVERLOAD_RETRY_AFTER, Duration::from_secs(5))
    }

    /// Creates the response to a request that a stopping entry may be unable to finish. Another entry
    /// can serve it at once.
    pub fn stopping() -> Self {
        Self::not_run("the entry is stopping", Duration::ZERO, Duration::ZERO)
    }

    /// Creates the response to a request whose server may still work on it when the entry exits.
    pub fn given_up() -> Self {
        Self::new(504, "no response before the entry stops")
    }

    /// Creates a 503 response: the request did not run and will not, so the caller may retry.
    pub fn not_run(reason: &'static str, delay: Duration, time_left: Duration) -> Self {
        let retry_after = delay.min(time_left.mul_f64(MAX_RETRY_AFTER_FRACTION));
        Self { retry_after: Some(retry_after), ..Self::new(503, reason) }
    }

    /// Creates a 401 response: the caller needs a key that is in force.
    pub fn unauthorized(reason: &'static str, scheme: &'static str) -> Self {
        Self { challenge: Some(scheme), ..Self::new(401, reason) }
    }

    /// Creates the response to a request beyond the limit of its tenant. A later attempt can be served after
    /// `delay`, however little time the caller has.
    pub fn over_limit(delay: Duration) -> Self {
        Self { retry_after: Some(delay), ..Self::new(429, "the tenant's limit is used up") }
    }

    pub fn with_cause(self, cause: SendError) -> CallerResponse {
        CallerResponse::Local(Self { cause: Some(cause), ..self })
    }
}
