//! Names and formats on the wire, as data that an adapter supplies.

use super::announcement::{AnnouncementError, IncarnationStart, ServerAnnouncement};
use super::document::{DocumentError, RouteDocument};
use crate::ids::ServerId;

/// Header names in lower case.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Id of one try of a caller; servers echo it.
    pub request_id: &'static str,
    /// Milliseconds that the caller, or the entry, still waits.
    pub deadline: &'static str,
    /// Proof of the server that the response is its own.
    pub signature: &'static str,
    /// Server that a request is meant for.
    pub expected_server: &'static str,
    /// Server that answers.
    pub server_id: &'static str,
    /// Load of a server.
    pub load: &'static str,
    /// Present when a server did not run the request.
    pub not_run: &'static str,
}

/// Paths of the calls that a process answers itself.
#[derive(Debug, Clone, Copy)]
pub struct CallPaths {
    pub readiness: &'static str,
    pub document: &'static str,
    /// The id of a server follows.
    pub servers: &'static str,
}

/// Call on the operator's address of a control member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperatorCall {
    Announce(ServerId),
    Leave(ServerId),
    PutDocument,
    GetDocument,
    Unknown,
}

/// Translates between wire and product.
pub trait WireDialect: 'static {
    fn headers(&self) -> &HeaderNames;

    fn paths(&self) -> &CallPaths;

    /// Whether this is the readiness question of the balancer in front.
    fn is_readiness(&self, method: &str, path: &str) -> bool {
        method == "GET" && path == self.paths().readiness
    }

    /// Recognises a call by method and path.
    fn operator_call(&self, method: &str, path: &str) -> OperatorCall {
        let paths = self.paths();
        let server = path.strip_prefix(paths.servers).filter(|server| !server.is_empty());
        match (method, server) {
            ("PUT", _) if path == paths.document => OperatorCall::PutDocument,
            ("GET", _) if path == paths.document => OperatorCall::GetDocument,
            ("PUT", Some(server)) => OperatorCall::Announce(server.into()),
            ("DELETE", Some(server)) => OperatorCall::Leave(server.into()),
            _ => OperatorCall::Unknown,
        }
    }

    /// Decodes a settings document; the result is not yet checked.
    fn parse_document(&self, body: &[u8]) -> Result<RouteDocument, DocumentError>;

    /// Decodes an announcement.
    fn parse_announcement(&self, body: &[u8]) -> Result<ServerAnnouncement, AnnouncementError>;

    /// Incarnation in the body of a leave call, if it has one.
    fn parse_leave(&self, body: &[u8]) -> Option<IncarnationStart>;

    /// Content type of bodies.
    fn content_type(&self) -> &'static str {
        "application/json"
    }

    /// Body that reports a failure.
    fn error_body(&self, message: &str) -> Vec<u8>;
}

/// Load that a server tells in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldLoad {
    pub running: u32,
    pub waiting: u32,
    pub slots: u32,
    /// Duration of work at this moment in percent of the usual.
    pub slowness: u32,
}

/// Slowness up to which a server counts as undisturbed, in percent of the usual.
const UNDISTURBED: u32 = 150;

impl ToldLoad {
    /// Whether one more request would be worked on at once and at the usual speed.
    ///
    /// A slot is left free, because servers slow down when they are nearly full.
    pub fn has_room(&self) -> bool {
        !self.is_disturbed() && self.running + self.waiting + 1 < self.slots
    }

    /// Whether work takes much longer than usual, for instance because of neighbours.
    pub fn is_disturbed(&self) -> bool {
        self.slowness > UNDISTURBED
    }

    /// Whether one more request would be worked on at once.
    pub fn has_slot(&self) -> bool {
        self.running + self.waiting < self.slots
    }

    /// Reads `running,waiting,slots[,slowness]`.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split(',').map(|part| part.trim().parse::<u32>());
        let running = parts.next()?.ok()?;
        let waiting = parts.next()?.ok()?;
        let slots = parts.next()?.ok()?;
        let slowness = match parts.next() {
            Some(value) => value.ok()?,
            None => 100,
        };
        Some(Self { running, waiting, slots, slowness })
    }
}
