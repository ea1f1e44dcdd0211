//! What the settings say about one request, and the head that a server receives.

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

/// Longest request id in bytes that is taken over from a caller.
const REQUEST_ID_BYTES: usize = 128;

/// Header with the time left until the deadline, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Header by which an outer layer says that this is a retry.
const RETRY_HEADER: &str = "x-retry-attempt";

/// What the settings say about one request.
pub struct RequestPlan {
    /// Service that receives it.
    pub service: ServiceRef,
    /// Running state of the service.
    pub runtime: Arc<ServiceRuntime>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Class for slots and queues.
    pub class: WorkClass,
    /// End of the request.
    pub deadline: Instant,
    /// Attempts allowed, the first included.
    pub attempts: u32,
    /// An outer layer retries, so this one must not.
    pub has_outer_retry: bool,
    /// Address of the caller or of the platform's balancer.
    pub peer: IpAddr,
    /// Labels of the service's metrics.
    pub labels: ServiceLabels,
}

impl RequestPlan {
    /// Settings of the service.
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

/// Time limit that the caller states, in addition to the settings.
fn caller_timeout(head: &RequestHead) -> Option<Duration> {
    let millis = head.headers.get_str(TIMEOUT_HEADER)?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// Takes over a plausible request id from the caller or makes one.
pub(super) fn request_id(context: &EntryContext, head: &RequestHead) -> Box<str> {
    match head.headers.get_str("x-request-id") {
        Some(id)
            if !id.is_empty()
                && id.len() <= REQUEST_ID_BYTES
                && id.bytes().all(|byte| byte.is_ascii_graphic()) =>
        {
            id.into()
        }
        _ => context.next_request_id(),
    }
}

/// Prepares the head for a server.
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
        // Only HTTP/1.0 requests come without one.
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
    let left = deadline.saturating_duration_since(Instant::now()).as_millis();
    let _ = headers.set(TIMEOUT_HEADER, left.to_string().as_bytes());
    let _ = headers.set("x-request-id", request_id.as_bytes());
    let _ = headers.append("x-forwarded-for", peer.to_string().as_bytes());
    let _ = headers.append("via", b"1.1 curranthollow");
    forward
}
