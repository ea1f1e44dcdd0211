//! List of the requests in quarantine and of the suspects, for operators.

use std::time::Instant;

use serde::Serialize;

use super::core::ControlCore;
use crate::fleet::announcement::IncarnationStart;
use crate::ids::{LogIndex, RequestDigest, ServerId};

/// Incarnation that crashed under a request.
#[derive(Debug, Serialize)]
struct CrashedServer {
    server: ServerId,
    started: IncarnationStart,
}

/// Request in quarantine.
#[derive(Debug, Serialize)]
struct QuarantinedRequest {
    digest: Box<str>,
    /// Log index at which it came into quarantine.
    index: LogIndex,
    /// Time until the release; known to the leader only.
    #[serde(skip_serializing_if = "Option::is_none")]
    remaining_ms: Option<u64>,
    /// Crashes that led to the quarantine; known to the leader that convicted the request.
    crashed: Vec<CrashedServer>,
}

/// Request under suspicion.
#[derive(Debug, Serialize)]
struct SuspectedRequest {
    digest: Box<str>,
    crashed: Vec<CrashedServer>,
}

/// Everything that a member knows of requests that crash servers.
#[derive(Debug, Serialize)]
pub(super) struct QuarantineList {
    /// Whether this member leads; only the leader knows suspects.
    leads: bool,
    quarantined: Vec<QuarantinedRequest>,
    suspects: Vec<SuspectedRequest>,
}

impl QuarantineList {
    pub(super) fn of(core: &ControlCore, now: Instant) -> Self {
        let controller = core.quarantine();
        let mut quarantined = Vec::new();
        for (digest, index) in core.state().quarantine() {
            let record = controller.record(*digest);
            let remaining = record.map(|record| record.remaining(now).as_millis());
            let crashed = record.map(|record| record.crashed.as_slice()).unwrap_or_default();
            quarantined.push(QuarantinedRequest {
                digest: format_digest(*digest),
                index: *index,
                remaining_ms: remaining.and_then(|remaining| u64::try_from(remaining).ok()),
                crashed: crashed.iter().cloned().map(crashed_server).collect(),
            });
        }
        let mut suspects = Vec::new();
        for (digest, record) in controller.ledger().suspects() {
            if core.state().quarantine().contains_key(&digest) {
                continue;
            }
            let incarnations = record.incarnations();
            let incarnations = incarnations.map(|(server, started)| (server.clone(), started));
            let crashed = incarnations.map(crashed_server).collect();
            suspects.push(SuspectedRequest { digest: format_digest(digest), crashed });
        }
        Self { leads: core.leads(), quarantined, suspects }
    }
}

fn crashed_server((server, started): (ServerId, IncarnationStart)) -> CrashedServer {
    CrashedServer { server, started }
}

fn format_digest(digest: RequestDigest) -> Box<str> {
    format!("{digest:032x}").into()
}

/// Parses a digest of at most 32 hexadecimal digits.
pub(super) fn parse_digest(text: &str) -> Option<RequestDigest> {
    // The standard parser accepts a sign.
    if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    RequestDigest::from_str_radix(text, 16).ok()
}
