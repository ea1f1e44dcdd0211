//! Sends a request to one server and validates the response.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;

use super::context::EntryContext;
use super::measure::{self, CrowdedPolicy, ProbeCounts, ProbeError};
use super::not_run::NotRunProof;
use super::outgoing::OutgoingRequest;
use super::server_body::{BodyEnd, ServerBody, StreamingBody};
use super::suspect_hold::SendDecision;
use super::suspect_runs::{self, SuspectRun};
use super::watched_send::WatchedSend;
use crate::fleet::balance::{ChosenServer, SendOutcome};
use crate::fleet::document::RouteRule;
use crate::fleet::relay::held_bytes::HeldShare;
use crate::fleet::room::silence_time;
use crate::fleet::stream::HttpStream;
use crate::fleet::tenant::IdentityError;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, ResponseHead};
use crate::ids::{ServerId, ServiceName};

/// Response bytes that are buffered until the body is complete, so that a broken response can be
/// retried.
const MAX_BUFFERED_BYTES: usize = 128 << 10;

/// The same for a response that finds no room among those that are held.
const MAX_UNRESERVED_BYTES: usize = 16 << 10;

/// Memory that a long response needs: what is buffered, and a copy while it is written.
const RESERVED_BYTES: usize = 2 * MAX_BUFFERED_BYTES;

/// Maximum number of responses to earlier requests that are skipped before the connection is
/// abandoned.
const MAX_STALE_RESPONSES: usize = 2;

/// Maximum size of the body of a skipped response.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Validated response of a server.
pub struct ServerResponse {
    pub head: ResponseHead,
    pub body: ServerBody,
    /// Memory reserved for the body until it is written.
    pub share: HeldShare,
    pub server: ServerId,
    /// Route of the request.
    pub rule: Rc<RouteRule>,
    /// Deadline of the request.
    pub deadline: Instant,
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
    /// The server leaves, wants a pause, is cold or was evacuated meanwhile.
    #[error("not sent: the server leaves, is paused, is cold or was evacuated")]
    Withdrawn,
    /// The deadline passed before anything was sent.
    #[error("not sent: the deadline has passed")]
    Expired,
    /// The request was put into quarantine before anything was sent.
    #[error("not sent: the request crashed several servers")]
    Quarantined,
    /// The request was held for this time before anything was sent.
    #[error("not sent: the request may have crashed servers")]
    Held(Duration),
    /// The caller's key was withdrawn before anything was sent.
    #[error("not sent: {0}")]
    Unidentified(IdentityError),
    /// The server stated that it did not run the request.
    #[error("refused by the server with status {status}")]
    NotRun { status: u16, proof: NotRunProof },
    #[error("the address belongs to another server")]
    OtherServer { proof: NotRunProof },
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
        let is_unsent =
            matches!(self, Self::NotSent(_) | Self::NoServer(_) | Self::Withdrawn | Self::Expired);
        !is_unsent && !self.is_withheld()
    }

    /// Whether the request must not be sent to any server, by the evidence against it or by its key.
    pub fn is_withheld(&self) -> bool {
        matches!(self, Self::Quarantined | Self::Held(_) | Self::Unidentified(_))
    }

    fn outcome(&self) -> SendOutcome {
        match self {
            Self::NotSent(_) | Self::NoServer(_) | Self::OtherServer { .. } => {
                SendOutcome::Unreachable
            }
            Self::Withdrawn
            | Self::Expired
            | Self::Quarantined
            | Self::Held(_)
            | Self::Unidentified(_) => SendOutcome::Abandoned,
            Self::NotRun { .. } => SendOutcome::Shed,
            Self::Broken(_) | Self::Untrusted(_) => SendOutcome::Failure,
        }
    }

    /// Label value for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::NoServer(_) | Self::Withdrawn | Self::Expired => "not_sent",
            Self::Quarantined => "quarantined",
            Self::Held(_) => "held",
            Self::Unidentified(_) => "unauthorized",
            Self::NotRun { .. } => "not_run",
            Self::OtherServer { .. } => "other_server",
            Self::Broken(_) => "broken",
            Self::Untrusted(_) => "untrusted",
        }
    }
}

/// Counts a send as in flight until it ends or is cancelled.
struct SendGuard {
    context: Rc<EntryContext>,
    service: ServiceName,
    server: ServerId,
    started: Instant,
    /// Time from which on a server without a byte of the response counts as silent.
    silent_at: Instant,
    is_answered: Cell<bool>,
    outcome: SendOutcome,
}

impl SendGuard {
    fn new(context: &Rc<EntryContext>, request: &OutgoingRequest, chosen: &ChosenServer) -> Self {
        let now = Instant::now();
        let (service, server) = (&request.service, &chosen.server);
        let mean = context.with_balancer(service, |balancer| balancer.mean_latency());
        let target = request.rule.target_latency;
        let silent_at = now + silence_time(mean, chosen.expected_factor, target);
        request.silent_at.set(Some(silent_at));
        let was_paused = context.with_balancer(service, |balancer| {
            balancer.begin_send(server);
            balancer.end_pause(now, server)
        });
        if was_paused {
            crate::log_info!("server_resumed", "service={service} server={server}");
        }
        Self {
            context: Rc::clone(context),
            service: service.clone(),
            server: server.clone(),
            started: now,
            silent_at,
            is_answered: Cell::default(),
            outcome: SendOutcome::Abandoned,
        }
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.started);
        let is_silent = !self.is_answered.get() && now >= self.silent_at;
        if self.outcome == SendOutcome::Abandoned && is_silent {
            self.outcome = SendOutcome::Silent;
            self.context.metrics.room.silent_sends.inc();
        }
        self.context.with_balancer(&self.service, |balancer| {
            let slow = balancer.mean_latency().is_some_and(|mean| elapsed > mean);
            let is_unfinished =
                matches!(self.outcome, SendOutcome::Abandoned | SendOutcome::Silent);
            if is_unfinished && slow {
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
    let (chosen, run) = match chosen {
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
    let result = send_to(&context, &request, &chosen, run).await;
    SendReport { server: Some(chosen.server), charged_at, result }
}

async fn send_to(
    context: &Rc<EntryContext>,
    request: &Rc<OutgoingRequest>,
    chosen: &ChosenServer,
    run: Option<SuspectRun>,
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
    let mut guard = SendGuard::new(context, request, chosen);
    let mut watched = None;
    let result = exchange(context, request, chosen, run, &mut watched, &guard.is_answered).await;
    guard.outcome = match &result {
        Ok(response) if response.head.status < 500 => SendOutcome::Success,
        Ok(_) => SendOutcome::Failure,
        // What a server rejects while it is paused is no failure.
        Err(error) if error.was_sent() && !context.accepts(&request.service, chosen) => {
            SendOutcome::Shed
        }
        Err(error) => error.outcome(),
    };
    // Other requests avoid the server while the evidence is checked.
    drop(guard);
    let was_refused =
        matches!(result, Err(SendError::NotRun { .. } | SendError::OtherServer { .. }));
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

/// Sends the request and reads its response; `watched` is set once anything is sent, until a response that
/// is relayed takes it along. `is_answered` is set once the head of the response is there.
async fn exchange(
    context: &EntryContext,
    request: &Rc<OutgoingRequest>,
    chosen: &ChosenServer,
    run: Option<SuspectRun>,
    watched: &mut Option<WatchedSend>,
    is_answered: &Cell<bool>,
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
    if !context.admits_send(&request.service, chosen) {
        return Err(SendError::Withdrawn);
    }
    let tenant = context.current_tenant(request).map_err(SendError::Unidentified)?;
    match context.decide_send(request) {
        SendDecision::Allowed | SendDecision::Trial => {}
        SendDecision::Held(remaining) => return Err(SendError::Held(remaining)),
        SendDecision::Quarantined => return Err(SendError::Quarantined),
    }
    let limits = HttpLimits::default();
    let bytes = request.encode(context, &chosen.server, tenant.as_deref(), time_left);
    *watched = WatchedSend::begin(context, chosen, run);
    // From here on the server may have received the request.
    request.possible_runs.update(|count| count + 1);
    let head_written = stream.write_until_response(&bytes).await.map_err(HttpError::from)?;
    let fully_written = head_written
        && stream.write_until_response(request.long_body()).await.map_err(HttpError::from)?;
    let head = read_matching_head(context, request, &mut stream, &limits).await?;
    is_answered.set(true);
    context.record_load(Instant::now(), &request.service, &chosen.server, &head);
    let validated = validate_head(context, request, &head);
    // Another server at the address speaks of itself.
    if !matches!(validated, Err(SendError::OtherServer { .. })) {
        context.record_statement(Instant::now(), &request.service, chosen, &head);
    }
    validated?;
    let framing = match BodyFraming::of_response(&request.method, &head) {
        Ok(framing) => Some(framing),
        Err(HttpError::UnframedResponse) => None,
        Err(error) => return Err(error.into()),
    };
    let mut buffered = Vec::new();
    let mut end = BodyEnd::of(framing);
    let mut share = context.held_responses.new_share();
    let read = async {
        let complete = end.read(context, &mut stream, &mut buffered, MAX_UNRESERVED_BYTES).await?;
        if complete || !share.grow_to(RESERVED_BYTES) {
            return Ok::<_, HttpError>(complete);
        }
        buffered.reserve_exact(MAX_BUFFERED_BYTES);
        end.read(context, &mut stream, &mut buffered, MAX_BUFFERED_BYTES).await
    };
    let complete = tokio::select! {
        biased;
        complete = read => complete?,
        // Nothing is held back for a retry that would not start: the exit may come first.
        () = context.wait_for_last_send(&request.rule, request.deadline) => false,
    };
    let (server, rule) = (chosen.server.clone(), Rc::clone(&request.rule));
    let deadline = request.deadline;
    if !complete {
        // Now, because the request and its body are dropped before the response ends.
        let watched = watched.take().map(|watched| watched.identify(request));
        let status = head.status;
        let body = StreamingBody { buffered, stream, end, framing, status, watched };
        let body = ServerBody::Streaming(Box::new(body));
        return Ok(ServerResponse { head, body, share, server, rule, deadline });
    }
    // Without a request id, a late copy of this response would look like the next one.
    let is_evacuated = context.is_evacuated(&request.service, chosen);
    if fully_written && framing.is_some() && request.request_id.is_some() && !is_evacuated {
        context.connections.put(Instant::now(), &chosen.server, chosen.address, stream, &head);
    }
    let body = ServerBody::Complete(buffered);
    Ok(ServerResponse { head, body, share, server, rule, deadline })
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
        match (echoed, &request.request_id) {
            (Some(echoed), Some(expected)) if echoed == &**expected => return Ok(head),
            (None, None) => return Ok(head),
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

fn validate_head(
    context: &EntryContext,
    request: &OutgoingRequest,
    head: &ResponseHead,
) -> Result<(), SendError> {
    let header_names = context.dialect.headers();
    match NotRunProof::of(header_names, request, head) {
        Some(proof) if head.status == 421 => return Err(SendError::OtherServer { proof }),
        Some(proof) => return Err(SendError::NotRun { status: head.status, proof }),
        None => {}
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
