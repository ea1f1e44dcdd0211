//! Per-request parameters from the settings, and the request head that is forwarded to a server.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::answer::FailureReason;
use super::context::EntryContext;
use super::runtime::ServiceRuntime;
use crate::credit::WorkClass;
use crate::http::{BodyFraming, RequestHead};
use crate::metrics::ServiceLabels;
use crate::settings::{RequestLength, ServiceRef, ServiceSettings};

/// Maximum length in bytes of a request id that is accepted from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// Header with the time left until the deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header by which an upstream client marks a request as a retry.
const RETRY_HEADER: &str = "x-retry-attempt";

/// Parameters of one request, derived from the settings and the request head.
pub struct RequestPlan {
    /// Service to which the request is routed.
    pub service: ServiceRef,
    /// Runtime of the service.
    pub runtime: Arc<ServiceRuntime>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Work class for slots and queues.
    pub class: WorkClass,
    /// Time at which the request times out.
    pub deadline: Instant,
    /// Maximum number of attempts, including the first.
    pub attempts: u32,
    /// The caller retries the request itself, so the entry must not.
    pub has_outer_retry: bool,
    /// Address of the caller or of the load balancer in front of the entry.
    pub peer: IpAddr,
    /// Metric labels of the service.
    pub labels: ServiceLabels,
}

impl RequestPlan {
    /// Returns the settings of the service.
    pub fn settings(&self) -> &ServiceSettings {
        &self.service.settings
    }
}

pub(super) fn plan_request(
    context: &Arc<EntryContext>,
    head: &RequestHead,
    peer: IpAddr,
    started: Instant,
) -> Result<RequestPlan, (FailureReason, Box<str>)> {
    if !context.may_serve(started) {
        let text = "the settings lease of this entry has run out";
        return Err((FailureReason::SettingsStale, text.into()));
    }
    let table = context.table();
    let found = table.tree.as_ref().and_then(|tree| tree.find_service(&head.host, head.path()));
    let no_service = || (FailureReason::NoService, "no service matches host and path".into());
    let service = found.ok_or_else(no_service)?.clone();
    let runtime = table.runtime(&service.team, &service.service).ok_or_else(no_service)?;
    let settings = &service.settings;
    let path = head.path();
    let size = head.framing.declared_size().unwrap_or(u64::MAX);
    let class = match settings.request_length(&head.method, path, size) {
        RequestLength::Short => WorkClass::Short,
        RequestLength::Long => WorkClass::Long,
    };
    let limit = settings.request_deadline(&head.method, path);
    let limit = limit.min(caller_timeout(head).unwrap_or(limit));
    Ok(RequestPlan {
        idempotent: settings.is_idempotent(&head.method, path),
        class,
        deadline: started + limit,
        peer,
        attempts: settings.retry.attempts,
        has_outer_retry: head.headers.get(RETRY_HEADER).is_some(),
        labels: ServiceLabels {
            team: service.team.to_string(),
            service: service.service.to_string(),
        },
        runtime,
        service,
    })
}

/// Returns the timeout requested by the caller; it can only shorten that of the settings.
fn caller_timeout(head: &RequestHead) -> Option<Duration> {
    let timeout_ms = head.headers.get_str(TIMEOUT_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(timeout_ms))
}

/// Returns the caller's request id if it is valid, or else a generated one.
pub(super) fn choose_request_id(context: &EntryContext, head: &RequestHead) -> Box<str> {
    match head.headers.get_str("x-request-id") {
        Some(id)
            if !id.is_empty()
                && id.len() <= MAX_REQUEST_ID_BYTES
                && id.bytes().all(|byte| byte.is_ascii_graphic()) =>
        {
            id.into()
        }
        _ => context.next_request_id(),
    }
}

/// Builds the request head that is forwarded to a server.
pub fn forward_head(
    head: &RequestHead,
    framing: BodyFraming,
    peer: IpAddr,
    request_id: &str,
    deadline: Instant,
) -> RequestHead {
    let mut forward = head.clone();
    let headers = &mut forward.headers;
    headers.remove_hop_by_hop();
    headers.remove("expect");
    headers.remove("content-length");
    if headers.get("host").is_none() {
        // Only HTTP/1.0 requests can lack a host header.
        let _ = headers.append("host", head.host.as_bytes());
    }
    match framing {
        BodyFraming::Empty => {
            if !matches!(&*head.method, "GET" | "HEAD" | "DELETE" | "OPTIONS") {
                let _ = headers.append("content-length", b"0");
            }
        }
        BodyFraming::Length(length) => {
            let _ = headers.append("content-length", length.to_string().as_bytes());
        }
        BodyFraming::Chunked => {
            let _ = headers.append("transfer-encoding", b"chunked");
        }
    }
    let time_left_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
    let _ = headers.set(TIMEOUT_HEADER, time_left_ms.to_string().as_bytes());
    let _ = headers.set("x-request-id", request_id.as_bytes());
    let _ = headers.append("x-forwarded-for", peer.to_string().as_bytes());
    let _ = headers.append("via", b"1.1 curranthollow");
    forward
}
