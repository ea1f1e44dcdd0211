//! Sends a request to one server and validates the response.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::sync::OnceCell;

use super::context::EntryContext;
use super::crash_watch::WatchedSend;
use super::measure::{self, CrowdedPolicy, ProbeCounts, ProbeError};
use super::suspect_hold::SendDecision;
use super::suspect_runs;
use crate::fleet::balance::{ChosenServer, SendOutcome};
use crate::fleet::crash::{DIGEST_PIECE_BYTES, request_digest, request_digest_in_pieces};
use crate::fleet::document::{Repetition, RouteRule};
use crate::fleet::held_bytes::HeldShare;
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead, ResponseHead};
use crate::ids::{RequestDigest, ServerId, ServiceName};
use crate::suspension::{SuspensionDeadline, suspended_time};

/// Response bytes that are buffered until the body is complete, so that a broken response can be
/// retried.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// Maximum number of responses to earlier requests that are skipped before the connection is
/// abandoned.
const MAX_STALE_RESPONSES: usize = 2;

/// Maximum size of the body of a skipped response.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

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
    caller_head: RequestHead,
    body: HeldBody,
    digest: OnceCell<RequestDigest>,
    /// Whether this is the only attempt that is allowed after a hold.
    pub is_trial: Cell<bool>,
    pub request_id: Option<Box<[u8]>>,
    rule: Rc<RouteRule>,
    pub idempotent: bool,
    pub deadline: Instant,
    /// Sends that may have reached a server, less those that the server refused without a run.
    pub possible_runs: Cell<u32>,
    /// The deadline, counting the time for which the machine is suspended.
    real_deadline: SuspensionDeadline,
}

/// Body of a request, counted as held.
pub struct HeldBody {
    pub bytes: Vec<u8>,
    pub _share: HeldShare,
}

/// Validated response of a server.
pub struct ServerResponse {
    pub head: ResponseHead,
    pub body: ServerBody,
    pub server: ServerId,
    /// Route of the request.
    pub rule: Rc<RouteRule>,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// Body of a response, complete or still arriving.
pub enum ServerBody {
    Complete(Vec<u8>),
    Streaming { buffered: Vec<u8>, stream: HttpStream, end: BodyEnd, framing: Option<BodyFraming> },
}

/// How the end of a streaming body is detected.
pub enum BodyEnd {
    Framed(BodyDecoder),
    /// The server closes its side of the connection.
    Close,
}

impl BodyEnd {
    fn of(framing: Option<BodyFraming>) -> Self {
        framing.map_or(Self::Close, |framing| Self::Framed(BodyDecoder::new(framing)))
    }

    /// Appends body bytes to `body` until the body is complete or longer than `limit`; returns whether
    /// it is complete. Cancel-safe.
    pub async fn read(
        &mut self,
        context: &EntryContext,
        stream: &mut HttpStream,
        body: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, HttpError> {
        match self {
            Self::Framed(decoder) => {
                stream.read_body_paced(decoder, body, limit, &context.server_pacer).await
            }
            Self::Close => Ok(stream.read_to_close(body, limit).await?),
        }
    }
}

/// Why a send returned no response that can be forwarded.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte was sent to the server.
    #[error("not sent: {0}")]
    NotSent(ProbeError),
    /// No server has room.
    #[error("not sent: {0}")]
    NoServer(ProbeCounts),
    /// The deadline passed before anything was sent.
    #[error("not sent: the deadline has passed")]
    Expired,
    /// The request was put into quarantine before anything was sent.
    #[error("not sent: the request crashed several servers")]
    Quarantined,
    /// The request was held for this time before anything was sent.
    #[error("not sent: the request may have crashed servers")]
    Held(Duration),
    /// The server stated that it did not run the request.
    #[error("refused by the server with status {status}")]
    NotRun { status: u16 },
    #[error("the address belongs to another server")]
    OtherServer,
    #[error("the connection failed: {0}")]
    Broken(#[from] HttpError),
    #[error("untrusted response: {0}")]
    Untrusted(&'static str),
}

impl SendError {
    /// Whether the server may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Untrusted(_))
    }

    /// Whether the request was sent to a server.
    pub fn was_sent(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::NoServer(_) | Self::Expired) && !self.is_withheld()
    }

    /// Whether the evidence against the request prevented the send.
    pub fn is_withheld(&self) -> bool {
        matches!(self, Self::Quarantined | Self::Held(_))
    }

    /// Whether the server ended the connection before its response was complete. Timeouts and invalid
    /// responses come from servers that did not crash, or from the network.
    pub fn is_lost_connection(&self) -> bool {
        match self {
            Self::Broken(HttpError::Truncated) => true,
            Self::Broken(HttpError::Io(error)) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
                    | io::ErrorKind::UnexpectedEof
                    | io::ErrorKind::NotConnected
            ),
            _ => false,
        }
    }

    fn outcome(&self) -> SendOutcome {
        match self {
            Self::NotSent(_) | Self::NoServer(_) | Self::OtherServer => SendOutcome::Unreachable,
            Self::Expired | Self::Quarantined | Self::Held(_) => SendOutcome::Abandoned,
            Self::NotRun { .. } => SendOutcome::Shed,
            Self::Broken(_) | Self::Untrusted(_) => SendOutcome::Failure,
        }
    }

    /// Label value for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::NoServer(_) | Self::Expired => "not_sent",
            Self::Quarantined => "quarantined",
            Self::Held(_) => "held",
            Self::NotRun { .. } => "not_run",
            Self::OtherServer => "other_server",
            Self::Broken(_) => "broken",
            Self::Untrusted(_) => "untrusted",
        }
    }
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
            body,
            digest: OnceCell::new(),
            is_trial: Cell::new(false),
            request_id,
            idempotent: rule.repetition == Repetition::Idempotent,
            rule,
            deadline,
            possible_runs: Cell::default(),
            real_deadline: SuspensionDeadline::new(deadline, context.known_suspension()),
        }
    }

    /// Digest that identifies the request when it comes again. Computed once, when it is first needed:
    /// most requests never need it. [`Self::prepare_digest`] comes first for a long body.
    pub fn digest(&self) -> RequestDigest {
        if let Some(digest) = self.digest.get() {
            return *digest;
        }
        let digest = request_digest(&self.caller_head, &self.body.bytes);
        // Fails only while the same digest is being prepared.
        let _ = self.digest.set(digest);
        digest
    }

    /// Computes the digest of a request with a long body without holding up other tasks.
    pub async fn prepare_digest(&self) {
        if self.body.bytes.len() > DIGEST_PIECE_BYTES {
            let compute = || request_digest_in_pieces(&self.caller_head, &self.body.bytes);
            self.digest.get_or_init(compute).await;
        }
    }

    /// Time left, less the time for which the machine was suspended.
    fn time_left(&self) -> Duration {
        self.real_deadline.time_left(Instant::now(), suspended_time())
    }

    /// Encodes the head for one send, followed by the body if it is short; a long one is not copied.
    fn encode(&self, context: &EntryContext, server: &ServerId, time_left: Duration) -> Vec<u8> {
        let header_names = context.dialect.headers();
        let time_left_ms = time_left.as_millis().max(1);
        let mut bytes = Vec::with_capacity(self.head.len() + MAX_COPIED_BODY_BYTES);
        bytes.extend_from_slice(&self.head);
        for (name, value) in [
            (header_names.deadline, &*time_left_ms.to_string()),
            (header_names.expected_server, server),
        ] {
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
    fn long_body(&self) -> &[u8] {
        if self.body.bytes.len() > MAX_COPIED_BODY_BYTES { &self.body.bytes } else { &[] }
    }
}

/// Counts a send as in flight until it ends or is cancelled.
struct SendGuard {
    context: Rc<EntryContext>,
    service: ServiceName,
    server: ServerId,
    started: Instant,
    outcome: SendOutcome,
}

impl SendGuard {
    fn new(context: &Rc<EntryContext>, service: &ServiceName, server: &ServerId) -> Self {
        context.with_balancer(service, |balancer| balancer.begin_send(server));
        Self {
            context: Rc::clone(context),
            service: service.clone(),
            server: server.clone(),
            started: Instant::now(),
            outcome: SendOutcome::Abandoned,
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.started);
        self.context.with_balancer(&self.service, |balancer| {
            let slow = balancer.mean_latency().is_some_and(|mean| elapsed > mean);
            if self.outcome == SendOutcome::Abandoned && slow {
                // The response would have taken even longer.
                balancer.record_latency(now, &self.server, elapsed);
            }
        });
        if self.context.end_send(now, &self.service, &self.server, self.outcome, elapsed) {
            crate::log_routine!(
                "server_closed",
                "service={} server={} outcome={:?}",
                self.service,
                self.server,
                self.outcome
            );
        }
    }
}

/// Servers to which a request was sent, shared by its sends.
pub type TriedServers = Rc<RefCell<Vec<ServerId>>>;

/// How one send ended.
pub struct SendReport {
    /// Chosen server; `None` if none had room.
    pub server: Option<ServerId>,
    /// Time at which the send was charged to the retry budget, if it was.
    pub charged_at: Option<Instant>,
    pub result: Result<ServerResponse, SendError>,
}

/// Chooses a server and sends the request to it. `charged_at` is the time at which the send was
/// charged to the retry budget, if it was.
pub async fn send(
    context: Rc<EntryContext>,
    request: Rc<OutgoingRequest>,
    tried: TriedServers,
    crowded_policy: CrowdedPolicy,
    charged_at: Option<Instant>,
) -> SendReport {
    let already_tried = tried.borrow().clone();
    let chosen =
        suspect_runs::choose_server(&context, &request, &already_tried, crowded_policy).await;
    let (chosen, _suspect_run) = match chosen {
        Ok(chosen) => chosen,
        Err(counts) => {
            context.return_trial(&request);
            return SendReport {
                server: None,
                charged_at,
                result: Err(SendError::NoServer(counts)),
            };
        }
    };
    tried.borrow_mut().push(chosen.server.clone());
    let result = send_to(&context, &request, &chosen).await;
    SendReport { server: Some(chosen.server), charged_at, result }
}

async fn send_to(
    context: &Rc<EntryContext>,
    request: &Rc<OutgoingRequest>,
    chosen: &ChosenServer,
) -> Result<ServerResponse, SendError> {
    crate::log_routine!(
        "server_chosen",
        "request={} service={} server={} in_flight={} told_age_ms={} cost={:.2}",
        request.id,
        request.service,
        chosen.server,
        chosen.in_flight,
        chosen.load_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
        chosen.cost
    );
    let mut guard = SendGuard::new(context, &request.service, &chosen.server);
    let mut watched = None;
    let result = exchange(context, request, chosen, &mut watched).await;
    guard.outcome = match &result {
        Ok(response) if response.head.status < 500 => SendOutcome::Success,
        Ok(_) => SendOutcome::Failure,
        Err(error) => error.outcome(),
    };
    // Other requests avoid the server while the evidence is checked.
    drop(guard);
    let was_refused = matches!(result, Err(SendError::NotRun { .. } | SendError::OtherServer));
    if was_refused {
        request.possible_runs.update(|count| count - 1);
    }
    if was_refused || result.as_ref().is_err_and(|error| !error.was_sent()) {
        context.return_trial(request);
    }
    if let Some(watched) = watched {
        watched.end(context, request, &result).await;
    }
    result
}

/// Sends the request and reads its response; `watched` is set once anything is sent.
async fn exchange(
    context: &EntryContext,
    request: &OutgoingRequest,
    chosen: &ChosenServer,
    watched: &mut Option<WatchedSend>,
) -> Result<ServerResponse, SendError> {
    // A request without an id needs a connection on which nothing else can be due.
    let connecting = async {
        match request.request_id {
            Some(_) => measure::connect(context, &request.service, chosen).await,
            None => measure::open_connection(context, &request.service, chosen).await,
        }
    };
    let mut stream = connecting.await.map_err(SendError::NotSent)?;
    context.prepare_digest(request).await;
    let time_left = request.time_left();
    if time_left.is_zero() {
        return Err(SendError::Expired);
    }
    match context.decide_send(request) {
        SendDecision::Allowed | SendDecision::Trial => {}
        SendDecision::Held(remaining) => return Err(SendError::Held(remaining)),
        SendDecision::Quarantined => return Err(SendError::Quarantined),
    }
    let limits = HttpLimits::default();
    let bytes = request.encode(context, &chosen.server, time_left);
    *watched = WatchedSend::begin(context, chosen);
    // From here on the server may have received the request.
    request.possible_runs.update(|count| count + 1);
    let head_written = stream.write_until_response(&bytes).await.map_err(HttpError::from)?;
    let fully_written = head_written
        && stream.write_until_response(request.long_body()).await.map_err(HttpError::from)?;
    let head = read_matching_head(context, request, &mut stream, &limits).await?;
    context.record_load(Instant::now(), &request.service, &chosen.server, &head);
    validate_head(context, &head)?;
    let framing = match BodyFraming::of_response(&request.method, &head) {
        Ok(framing) => Some(framing),
        Err(HttpError::UnframedResponse) => None,
        Err(error) => return Err(error.into()),
    };
    let mut buffered = Vec::new();
    let mut end = BodyEnd::of(framing);
    let complete = tokio::select! {
        biased;
        complete = end.read(context, &mut stream, &mut buffered, MAX_BUFFERED_BYTES) => complete?,
        // Nothing is held back for a retry that would not start: the exit may come first.
        () = context.wait_for_last_send(&request.rule, request.deadline) => false,
    };
    let (server, rule) = (chosen.server.clone(), Rc::clone(&request.rule));
    let deadline = request.deadline;
    if !complete {
        let body = ServerBody::Streaming { buffered, stream, end, framing };
        return Ok(ServerResponse { head, body, server, rule, deadline });
    }
    // Without a request id, a late copy of this response would look like the next one.
    if fully_written && framing.is_some() && request.request_id.is_some() {
        context.connections.put(Instant::now(), &chosen.server, chosen.address, stream, &head);
    }
    let body = ServerBody::Complete(buffered);
    Ok(ServerResponse { head, body, server, rule, deadline })
}

/// Reads the response to this request and skips late responses to earlier ones.
async fn read_matching_head(
    context: &EntryContext,
    request: &OutgoingRequest,
    stream: &mut HttpStream,
    limits: &HttpLimits,
) -> Result<ResponseHead, SendError> {
    let header_names = context.dialect.headers();
    for _ in 0..=MAX_STALE_RESPONSES {
        let head = stream.read_response(limits).await?;
        let echoed = head.headers.get(header_names.request_id);
        let not_run = head.status == 421 || head.headers.get(header_names.not_run).is_some();
        match (echoed, &request.request_id) {
            (Some(echoed), Some(expected)) if echoed == &**expected => return Ok(head),
            (None, None) => return Ok(head),
            (None, _) if not_run => return Ok(head),
            (None, _) => return Err(SendError::Untrusted("no request id")),
            (Some(_), _) => {}
        }
        let framing = BodyFraming::of_response(&request.method, &head)?;
        let mut skipped = Vec::new();
        let mut decoder = BodyDecoder::new(framing);
        if !stream.read_body(&mut decoder, &mut skipped, MAX_SKIPPED_BYTES).await? {
            break;
        }
    }
    Err(SendError::Untrusted("response to another request"))
}

fn validate_head(context: &EntryContext, head: &ResponseHead) -> Result<(), SendError> {
    let header_names = context.dialect.headers();
    if head.status == 421 {
        return Err(SendError::OtherServer);
    }
    if head.headers.get(header_names.not_run).is_some() {
        return Err(SendError::NotRun { status: head.status });
    }
    if matches!(head.status, 408 | 429 | 503) {
        // Forwarded to the caller, these statuses would state that the request did not run.
        return Err(SendError::Untrusted("refusal without a statement whether the request ran"));
    }
    if head.headers.get("content-encoding").is_some() {
        return Err(SendError::Untrusted("content encoding that was not requested"));
    }
    let success = (200..300).contains(&head.status);
    if success && head.headers.get(header_names.signature).is_none() {
        return Err(SendError::Untrusted("success without the server's signature"));
    }
    Ok(())
}
