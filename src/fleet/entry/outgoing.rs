//! Request of a caller in the form that is sent to servers, and its digest.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::sync::OnceCell;

use super::context::EntryContext;
use crate::fleet::crash::{DIGEST_PIECE_BYTES, request_digest, request_digest_in_pieces};
use crate::fleet::document::{Repetition, RouteRule};
use crate::fleet::relay::held_bytes::HeldShare;
use crate::fleet::tenant::{CallerIdentity, KnownTenant};
use crate::fleet::zone_balance::CallerTerms;
use crate::http::{BodyFraming, RequestHead};
use crate::ids::{RequestDigest, ServerId, ServiceName};
use crate::suspension::{SuspensionDeadline, suspended_time};

/// Size up to which a request body is copied behind its head, so that both are written at once.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

/// Request in the form that is sent to any server.
pub struct OutgoingRequest {
    /// Request id for logs.
    pub id: Box<str>,
    pub service: ServiceName,
    pub method: Box<str>,
    /// Request line and headers, without those that differ between sends.
    head: Vec<u8>,
    /// Head for the digest.
    caller_head: RequestHead,
    /// Header in which the dialect carries a caller's key.
    credential_header: &'static str,
    body: HeldBody,
    digest: OnceCell<RequestDigest>,
    /// Whether this is the only attempt that is allowed after a hold.
    pub is_trial: Cell<bool>,
    pub request_id: Option<Box<[u8]>>,
    pub rule: Rc<RouteRule>,
    pub idempotent: bool,
    pub identity: CallerIdentity,
    /// Tenant of the caller when the request was read.
    pub tenant: Option<Rc<KnownTenant>>,
    /// Priority of the tenant, else that of the route; 0 is the highest.
    pub priority: u32,
    pub deadline: Instant,
    /// Time until which the response is worth most.
    target_at: Instant,
    /// Sends that may have reached a server, less those that the server refused without a run.
    pub possible_runs: Cell<u32>,
    /// Time from which on the server of the latest send counts as silent.
    pub silent_at: Cell<Option<Instant>>,
    /// The deadline, counting the time for which the machine is suspended.
    real_deadline: SuspensionDeadline,
}

/// Body of a request, counted as held.
pub struct HeldBody {
    pub bytes: Vec<u8>,
    pub _share: HeldShare,
}

impl OutgoingRequest {
    /// Prepares a caller's request for `service`.
    pub fn new(
        context: &EntryContext,
        id: Box<str>,
        service: ServiceName,
        mut caller_head: RequestHead,
        body: HeldBody,
        rule: Rc<RouteRule>,
        deadline: Instant,
    ) -> Self {
        let header_names = *context.dialect.headers();
        let request_id = caller_head.headers.get(header_names.request_id).map(Into::into);
        let chunked = caller_head.framing == BodyFraming::Chunked;
        caller_head.headers.remove_hop_by_hop();
        for name in [header_names.deadline, header_names.expected_server, "expect"] {
            caller_head.headers.remove(name);
        }
        if chunked {
            // Cannot fail: a decimal number contains no control characters.
            let _ =
                caller_head.headers.set("content-length", body.bytes.len().to_string().as_bytes());
        }
        let mut head = Vec::with_capacity(512);
        caller_head.write_to(&mut head);
        // The blank line follows the headers that are added for each send.
        head.truncate(head.len() - 2);
        Self {
            id,
            service,
            method: caller_head.method.clone(),
            head,
            caller_head,
            credential_header: header_names.authorization,
            body,
            digest: OnceCell::new(),
            is_trial: Cell::new(false),
            request_id,
            target_at: Instant::now() + rule.target_latency,
            idempotent: rule.repetition == Repetition::Idempotent,
            identity: CallerIdentity::default(),
            tenant: None,
            priority: rule.priority,
            rule,
            deadline,
            possible_runs: Cell::default(),
            silent_at: Cell::default(),
            real_deadline: SuspensionDeadline::new(deadline, context.known_suspension()),
        }
    }

    /// Sets the caller's identity, whose headers the request no longer contains.
    pub fn with_identity(mut self, context: &EntryContext, identity: CallerIdentity) -> Self {
        let tenant = identity.tenant().cloned();
        // The head for servers is encoded already; the rest is for the digest.
        identity.replace_credentials(&*context.dialect, &mut self.caller_head.headers);
        let tenant_priority = tenant.as_ref().and_then(|tenant| tenant.rule.priority);
        let priority = tenant_priority.unwrap_or(self.priority);
        Self { identity, tenant, priority, ..self }
    }

    /// Digest that identifies the request when it comes again. Computed once, when it is first needed:
    /// most requests never need it. [`Self::prepare_digest`] comes first for a long body.
    pub fn digest(&self) -> RequestDigest {
        if let Some(digest) = self.digest.get() {
            return *digest;
        }
        let digest = request_digest(self.credential_header, &self.caller_head, &self.body.bytes);
        // Fails only while the same digest is being prepared.
        let _ = self.digest.set(digest);
        digest
    }

    /// Computes the digest of a request with a long body without holding up other tasks.
    pub async fn prepare_digest(&self) {
        if self.body.bytes.len() > DIGEST_PIECE_BYTES {
            let compute = || {
                request_digest_in_pieces(
                    self.credential_header,
                    &self.caller_head,
                    &self.body.bytes,
                )
            };
            self.digest.get_or_init(compute).await;
        }
    }

    /// What the caller needs of the choice of a server.
    pub fn caller_terms(&self, is_repeated: bool) -> CallerTerms {
        CallerTerms { target_at: Some(self.target_at), is_repeated }
    }

    /// Expected size of request and response.
    pub fn expected_bytes(&self, context: &EntryContext) -> u64 {
        let response_bytes = context.relay_times.borrow().known_bytes(&self.rule);
        response_bytes + self.body.bytes.len() as u64
    }

    /// Time left, less the time for which the machine was suspended.
    pub fn time_left(&self) -> Duration {
        self.real_deadline.time_left(Instant::now(), suspended_time())
    }

    /// Encodes the head for one send in the name of `tenant`, followed by the body if it is short; a long one
    /// is not copied.
    pub fn encode(
        &self,
        context: &EntryContext,
        server: &ServerId,
        tenant: Option<&KnownTenant>,
        time_left: Duration,
    ) -> Vec<u8> {
        let header_names = context.dialect.headers();
        let time_left_ms = time_left.as_millis().max(1);
        let mut bytes = Vec::with_capacity(self.head.len() + MAX_COPIED_BODY_BYTES);
        bytes.extend_from_slice(&self.head);
        let time_left_ms = time_left_ms.to_string();
        let added = [
            (header_names.deadline, Some(&*time_left_ms)),
            (header_names.expected_server, Some(&**server)),
            (header_names.tenant, tenant.map(|tenant| &*tenant.name)),
        ];
        for (name, value) in added {
            let Some(value) = value else { continue };
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if self.long_body().is_empty() {
            bytes.extend_from_slice(&self.body.bytes);
        }
        bytes
    }

    /// The body if it is written separately; otherwise nothing.
    pub fn long_body(&self) -> &[u8] {
        if self.body.bytes.len() > MAX_COPIED_BODY_BYTES { &self.body.bytes } else { &[] }
    }
}
