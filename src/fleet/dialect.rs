//! Names and formats used on the wire, supplied by an adapter.

use super::announcement::{AnnouncementError, IncarnationStart, ServerAnnouncement};
use super::document::{DocumentError, RouteDocument};
use crate::ids::{ServerId, ZoneName};

/// Header names in lower case.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; servers echo it.
    pub request_id: &'static str,
    /// Remaining time in milliseconds for which the caller, or the entry, waits.
    pub deadline: &'static str,
    /// Signature by which a server proves that it produced the response.
    pub signature: &'static str,
    /// Id of the server for which a request is intended.
    pub expected_server: &'static str,
    /// Id of the server that responds.
    pub server_id: &'static str,
    /// Current load of a server.
    pub load: &'static str,
    /// Present if the server did not execute the request.
    pub not_run: &'static str,
    /// `1` if the server leaves.
    pub leaving: &'static str,
    /// In a rejection: seconds for which the server wants no further request.
    pub pause: &'static str,
    /// Name of the tenant whose key the caller has sent; set by the entry.
    pub tenant: &'static str,
    /// Credentials of a caller: the key scheme and the key.
    pub authorization: &'static str,
    /// Milliseconds for which a server remains cold, on its health page.
    pub warmup: &'static str,
}

/// Paths of the calls that a fleet process handles itself.
#[derive(Debug, Clone, Copy)]
pub struct CallPaths {
    pub readiness: &'static str,
    pub document: &'static str,
    /// Prefix that is followed by a server id.
    pub servers: &'static str,
    /// Prefix that is followed by the name of an availability zone.
    pub evacuations: &'static str,
    /// List of the requests in quarantine; followed by `/` and a digest for a release.
    pub quarantine: &'static str,
}

/// Path of the quarantine. The platform has no path of its own for it.
pub const QUARANTINE_PATH: &str = "/.curranthollow/quarantine";

/// Call to the operator address of a control member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    Announce(ServerId),
    Leave(ServerId),
    PutDocument,
    GetDocument,
    GetQuarantine,
    Evacuate(ZoneName),
    EndEvacuation(ZoneName),
    /// Releases a request; the text should be a digest in hexadecimal.
    Release(Box<str>),
    Unknown,
}

/// Maps header names, paths and bodies on the wire to the types of fleet mode.
pub trait WireDialect: 'static {
    fn headers(&self) -> &HeaderNames;

    fn paths(&self) -> &CallPaths;

    /// Scheme of the credentials that carry a tenant's key.
    fn key_scheme(&self) -> &'static str;

    /// Whether this is a readiness probe of the load balancer in front.
    fn is_readiness(&self, method: &str, path: &str) -> bool {
        method == "GET" && path == self.paths().readiness
    }

    /// Identifies a call by its method and path.
    fn operator_call(&self, method: &str, path: &str) -> OperatorCall {
        let paths = self.paths();
        let server = path.strip_prefix(paths.servers).filter(|server| !server.is_empty());
        let digest = path.strip_prefix(paths.quarantine).and_then(|rest| rest.strip_prefix('/'));
        if let Some(digest) = digest.filter(|digest| !digest.is_empty())
            && method == "DELETE"
        {
            return OperatorCall::Release(digest.into());
        }
        let zone = path.strip_prefix(paths.evacuations).filter(|zone| !zone.is_empty());
        if let Some(zone) = zone {
            return match method {
                "POST" => OperatorCall::Evacuate(zone.into()),
                "DELETE" => OperatorCall::EndEvacuation(zone.into()),
                _ => OperatorCall::Unknown,
            };
        }
        match (method, server) {
            ("GET", _) if path == paths.quarantine => OperatorCall::GetQuarantine,
            ("PUT", _) if path == paths.document => OperatorCall::PutDocument,
            ("GET", _) if path == paths.document => OperatorCall::GetDocument,
            ("PUT", Some(server)) => OperatorCall::Announce(server.into()),
            ("DELETE", Some(server)) => OperatorCall::Leave(server.into()),
            _ => OperatorCall::Unknown,
        }
    }

    /// Decodes a settings document without validating it.
    fn parse_document(&self, body: &[u8]) -> Result<RouteDocument, DocumentError>;

    /// Decodes an announcement.
    fn parse_announcement(&self, body: &[u8]) -> Result<ServerAnnouncement, AnnouncementError>;

    /// Decodes the incarnation in the body of a leave call, if there is one.
    fn parse_leave(&self, body: &[u8]) -> Option<IncarnationStart>;

    /// Content type of response bodies.
    fn content_type(&self) -> &'static str {
        "application/json"
    }

    /// Encodes the body of an error response.
    fn error_body(&self, message: &str) -> Vec<u8>;
}

/// Load that a server reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Current execution time in percent of the usual time.
    pub slowdown_percent: u32,
}

/// Maximum execution time of a server that is not degraded, in percent of the usual time.
const MAX_NORMAL_SLOWDOWN_PERCENT: u32 = 150;

impl ReportedLoad {
    /// Whether one more request would start at once and run at the usual speed.
    ///
    /// One slot stays free because servers slow down when they are nearly full.
    pub fn has_spare_capacity(&self) -> bool {
        !self.is_degraded() && self.occupied().saturating_add(1) < self.slots
    }

    /// Whether requests take much longer than usual, for example because of noisy neighbours.
    pub fn is_degraded(&self) -> bool {
        self.slowdown_percent > MAX_NORMAL_SLOWDOWN_PERCENT
    }

    /// Whether one more request would start at once.
    pub fn has_free_slot(&self) -> bool {
        self.occupied() < self.slots
    }

    /// Number of requests at the server. A faulty server may report any numbers.
    pub fn occupied(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }

    /// Parses `running,waiting,slots[,slowdown_percent]`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
        let running = parts.next()?.ok()?;
        let waiting = parts.next()?.ok()?;
        let slots = parts.next()?.ok()?;
        let slowdown_percent = match parts.next() {
            Some(value) => value.ok()?,
            None => 100,
        };
        Some(Self { running, waiting, slots, slowdown_percent })
    }
}
