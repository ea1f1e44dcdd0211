//! Explains where an entry would send a request now, and why, without sending it.
//!
//! The explanation runs the decisions of the request path on copies of their state, so that asking changes
//! nothing: no token is taken, no arrival counted and no server probed.

mod render;

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{ServerId, ServiceName, TenantName, ZoneName};

/// Path of the resource on the metrics address of an entry. It takes an [`ExplainQuery`] as JSON.
pub const EXPLAIN_PATH: &str = "/explain";

/// Maximum size of a query.
pub const MAX_QUERY_BYTES: usize = 16 << 10;

/// Servers that are named for one service, in the order in which they would be asked.
pub const MAX_NAMED_TARGETS: usize = 6;

/// Request that is to be explained. It names a tenant and never a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    pub host: Box<str>,
    pub path: Box<str>,
    /// Tenant of the caller; `None` for a caller without a key.
    #[serde(default)]
    pub tenant: Option<TenantName>,
    /// Time that the caller waits, in milliseconds; that of the route if it is shorter or none is given.
    #[serde(default)]
    pub timeout_ms: Option<u64>,
}

/// Why a query cannot be answered.
#[derive(Debug, Error, PartialEq)]
pub enum QueryError {
    #[error("the query is invalid: {0}")]
    Invalid(Box<str>),
    #[error("no tenant {0} in the document in force")]
    UnknownTenant(TenantName),
}

impl ExplainQuery {
    /// Reads a query.
    ///
    /// # Errors
    ///
    /// Fails if the text is no JSON object with a host, a path that begins with a slash and known fields.
    pub fn parse(body: &[u8]) -> Result<Self, QueryError> {
        let query: Self = serde_json::from_slice(body)
            .map_err(|error| QueryError::Invalid(error.to_string().into()))?;
        if !query.path.starts_with('/') {
            return Err(QueryError::Invalid("the path does not begin with a slash".into()));
        }
        Ok(query)
    }

    /// Host as requests name it for the lookup of a route.
    pub fn route_host(&self) -> Box<str> {
        self.host.to_ascii_lowercase().into()
    }

    /// Path without the query.
    pub fn route_path(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Time until the deadline under a route with the given timeout.
    pub fn time_left(&self, route_timeout: Duration) -> Duration {
        let requested = self.timeout_ms.map(Duration::from_millis);
        requested.map_or(route_timeout, |requested| requested.min(route_timeout))
    }
}

/// What an entry would do with a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SendExplanation {
    pub entry: Box<str>,
    pub zone: ZoneName,
    /// Version of the document in force; 0 before the first one.
    pub document_version: u64,
    /// Revision of the state.
    pub revision: u64,
    pub route: Option<RouteOutlook>,
    pub quota: Option<QuotaOutlook>,
    /// Services to which the route sends, with what would happen at each.
    pub services: Vec<ServiceOutlook>,
    /// Whether any request is in quarantine. The digest of a request depends on its headers and body, so it is
    /// not compared.
    pub has_quarantine: bool,
    /// Answer of the entry itself if the request gets no further than here.
    pub refusal: Option<RefusalOutlook>,
}

/// Route that was found.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteOutlook {
    pub name: Box<str>,
    pub is_public: bool,
    pub is_idempotent: bool,
    pub max_attempts: u32,
    /// Priority of the request: that of the tenant, else of the route.
    pub priority: u32,
    pub target_ms: u64,
    pub time_left_ms: u64,
}

/// What the tenant's quota says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaOutlook {
    pub tenant: TenantName,
    /// Limit in requests per second over all entries.
    pub rate: f64,
    pub burst: f64,
    /// Standing rate that this entry was lent, in requests per second.
    pub lease_rate: f64,
    /// Member that answered last.
    pub holder: Box<str>,
    /// Age of its answer in milliseconds.
    pub age_ms: Option<u64>,
    pub outcome: QuotaOutcome,
}

/// What becomes of a request under its tenant's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaOutcome {
    /// The tenant has no limit.
    Unlimited,
    /// The entry holds a token.
    TokenAtHand,
    /// The request waits for the holder's answer.
    AsksHolder,
    /// The limit is used up.
    UsedUp,
    /// The holder does not answer.
    HolderSilent,
}

/// What would happen at one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceOutlook {
    pub service: ServiceName,
    /// Probability with which the route chooses this service.
    pub probability: f64,
    pub room: RoomOutlook,
    pub zones: ZoneOutlook,
    /// Second sends that the budget allows now.
    pub second_sends: f64,
    /// Servers in the order in which they would be asked, of which the first with room is used.
    pub targets: Vec<TargetOutlook>,
    /// Numbers of all servers of the service by condition.
    pub conditions: Vec<(TargetCondition, usize)>,
    pub refusal: Option<RefusalOutlook>,
}

/// What is known of the room at a service.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RoomOutlook {
    pub is_short: bool,
    /// Looks that found room, and all that are young enough to count.
    pub found: usize,
    pub looks: usize,
    /// Servers that one request may probe while room is short.
    pub max_probes: Option<usize>,
    /// Part of the requests of the lowest standing that is turned away.
    pub pressure: f64,
    /// Standing of the request: 1 for one that others do not go before.
    pub standing: f64,
    /// Probability with which the request is admitted.
    pub admission: f64,
}

/// How much of the service's requests leaves the zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneOutlook {
    /// Part of all requests that leaves.
    pub share: f64,
    /// Parts by zone of what leaves.
    pub parts: Vec<(ZoneName, f64)>,
}

/// Server that would be asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetOutlook {
    pub server: ServerId,
    pub zone: ZoneName,
    /// Expected duration relative to the usual one, with the costs of the way and of a new connection.
    pub cost: f64,
    /// Expected duration alone.
    pub expected_factor: f64,
    pub has_connection: bool,
    /// Age in milliseconds of the last load report.
    pub load_age_ms: Option<u64>,
    pub step: TargetStep,
}

/// What the entry does with a server that it considers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetStep {
    /// A probe asks for room before the send.
    Probe,
    /// The load report is young and says that there is room.
    Send,
    /// The load report is young and says that there is no room.
    PassOver,
}

/// Whether a server can be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetCondition {
    Usable,
    /// A recent load report leaves no room.
    Full,
    /// It failed lately and is used only if no other is left.
    Ejected,
    /// It sends no heartbeats.
    Silent,
    /// It is cold and this entry must not send to it now.
    Cold,
    /// It said that it wants a pause or leaves, or its announcement says so.
    Withdrawn,
    /// Its zone is evacuated.
    Evacuated,
}

/// Answer of the entry itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusalOutlook {
    pub status: u16,
    pub reason: Box<str>,
}

impl RefusalOutlook {
    pub fn new(status: u16, reason: &str) -> Self {
        Self { status, reason: reason.into() }
    }
}
