//! One send of a request to one server, and the checks on what comes back.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use thiserror::Error;

use super::context::EntryContext;
use super::measure::{self, CrowdedChoice, LookCounts, MeasureError};
use crate::fleet::balance::{ChosenServer, SendOutcome};
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead, ResponseHead};
use crate::ids::{ServerId, ServiceName};

/// Response bytes that are held until the body is complete, so that a broken one can be repeated.
const HELD_BYTES: usize = 128 << 10;

/// Responses to earlier requests that are skipped before the connection is given up.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Largest body of a response that is skipped.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// Request as it is sent to any server.
pub struct OutgoingRequest {
    /// Id for logs.
    pub id: Box<str>,
    pub service: ServiceName,
    pub method: Box<str>,
    /// Request line and headers, without the ones that differ between sends.
    head: Vec<u8>,
    body: Vec<u8>,
    pub request_id: Option<Box<[u8]>>,
    pub idempotent: bool,
    pub end: Instant,
}

/// Response that passed the checks.
pub struct ServerResponse {
    pub head: ResponseHead,
    pub body: ServerBody,
    pub server: ServerId,
}

/// Body of a response, held or still arriving.
pub enum ServerBody {
    Whole(Vec<u8>),
    Arriving { held: Vec<u8>, stream: HttpStream, end: BodyEnd, framing: Option<BodyFraming> },
}

/// How the end of an arriving body is found.
pub enum BodyEnd {
    Framed(BodyDecoder),
    /// The server closes its side.
    Close,
}

/// Why a send brought no response to pass on.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte left for the server.
    #[error("not sent: {0}")]
    NotSent(MeasureError),
    /// No server has room.
    #[error("not sent: {0}")]
    NoServer(LookCounts),
    /// The server said that it did not run the request.
    #[error("refused by the server with {status}")]
    NotRun { status: u16 },
    #[error("another server has the address")]
    OtherServer,
    #[error("the connection failed: {0}")]
    Broken(#[from] HttpError),
    #[error("the response cannot be trusted: {0}")]
    Untrusted(&'static str),
}

impl SendError {
    /// Whether the server may have run the request.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Broken(_) | Self::Untrusted(_))
    }

    /// Whether the request reached the server.
    pub fn arrived(&self) -> bool {
        !matches!(self, Self::NotSent(_) | Self::NoServer(_))
    }

    fn outcome(&self) -> SendOutcome {
        match self {
            Self::NotSent(_) | Self::NoServer(_) | Self::OtherServer => SendOutcome::Unreachable,
            Self::NotRun { .. } => SendOutcome::Shed,
            Self::Broken(_) | Self::Untrusted(_) => SendOutcome::Failure,
        }
    }

    /// Label for metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::NoServer(_) => "not_sent",
            Self::NotRun { .. } => "not_run",
            Self::OtherServer => "other_server",
            Self::Broken(_) => "broken",
            Self::Untrusted(_) => "untrusted",
        }
    }
}

impl OutgoingRequest {
    /// Prepares the request of a caller for `service`.
    pub fn new(
        context: &EntryContext,
        id: Box<str>,
        service: ServiceName,
        mut caller: RequestHead,
        body: Vec<u8>,
        idempotent: bool,
        end: Instant,
    ) -> Self {
        let names = *context.dialect.headers();
        let request_id = caller.headers.get(names.request_id).map(Into::into);
        let chunked = caller.framing == BodyFraming::Chunked;
        caller.headers.remove_hop_by_hop();
        for name in [names.deadline, names.expected_server, "expect"] {
            caller.headers.remove(name);
        }
        if chunked {
            // The decimal length of a body contains no control characters.
            let _ = caller.headers.set("content-length", body.len().to_string().as_bytes());
        }
        let mut head = Vec::with_capacity(512);
        caller.write_to(&mut head);
        // The blank line comes after the headers of one send.
        head.truncate(head.len() - 2);
        Self { id, service, method: caller.method, head, body, request_id, idempotent, end }
    }

    fn encode(&self, context: &EntryContext, server: &ServerId) -> Vec<u8> {
        let names = context.dialect.headers();
        let left = self.end.saturating_duration_since(Instant::now()).as_millis().max(1);
        let mut bytes = Vec::with_capacity(self.head.len() + self.body.len() + 96);
        bytes.extend_from_slice(&self.head);
        for (name, value) in [(names.deadline, &*left.to_string()), (names.expected_server, server)]
        {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Counts a send at the server until it ends, also when the send is cancelled.
struct SendCount {
    context: Rc<EntryContext>,
    service: ServiceName,
    server: ServerId,
    started: Instant,
    outcome: SendOutcome,
}

impl SendCount {
    fn new(context: &Rc<EntryContext>, service: &ServiceName, server: &ServerId) -> Self {
        context.with_service(service, |balance| balance.begin(server));
        Self {
            context: Rc::clone(context),
            service: service.clone(),
            server: server.clone(),
            started: Instant::now(),
            outcome: SendOutcome::Abandoned,
        }
    }
}

impl Drop for SendCount {
    fn drop(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.started);
        self.context.with_service(&self.service, |balance| {
            let slow = balance.mean_latency().is_some_and(|mean| elapsed > mean);
            if self.outcome == SendOutcome::Abandoned && slow {
                // The response would have come later still.
                balance.note_latency(now, &self.server, elapsed);
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

/// Chooses a server and sends the request to it.
pub async fn send(
    context: Rc<EntryContext>,
    request: Rc<OutgoingRequest>,
    tried: TriedServers,
    crowded: CrowdedChoice,
) -> Result<ServerResponse, SendError> {
    let before = tried.borrow().clone();
    let chosen = measure::choose_server(&context, &request.service, &before, crowded).await;
    let chosen = chosen.map_err(SendError::NoServer)?;
    crate::log_routine!(
        "server_chosen",
        "request={} service={} server={} in_flight={} told_age_ms={} cost={:.2}",
        request.id,
        request.service,
        chosen.server,
        chosen.in_flight,
        chosen.told_age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX)),
        chosen.cost
    );
    tried.borrow_mut().push(chosen.server.clone());
    let mut count = SendCount::new(&context, &request.service, &chosen.server);
    let result = exchange(&context, &request, &chosen).await;
    count.outcome = match &result {
        Ok(response) if response.head.status < 500 => SendOutcome::Success,
        Ok(_) => SendOutcome::Failure,
        Err(error) => error.outcome(),
    };
    result
}

async fn exchange(
    context: &EntryContext,
    request: &OutgoingRequest,
    chosen: &ChosenServer,
) -> Result<ServerResponse, SendError> {
    let mut stream =
        measure::connect(context, &request.service, chosen).await.map_err(SendError::NotSent)?;
    let limits = HttpLimits::default();
    let bytes = request.encode(context, &chosen.server);
    // From here on the server may have the request.
    let whole = stream.write_until_response(&bytes).await.map_err(HttpError::from)?;
    let head = read_own_head(context, request, &mut stream, &limits).await?;
    context.note_load(Instant::now(), &request.service, &chosen.server, &head);
    check_head(context, &head)?;
    let framing = match BodyFraming::of_response(&request.method, &head) {
        Ok(framing) => Some(framing),
        Err(HttpError::UnframedResponse) => None,
        Err(error) => return Err(error.into()),
    };
    let mut held = Vec::new();
    let (complete, end) = match framing {
        Some(framing) => {
            let mut decoder = BodyDecoder::new(framing);
            let complete = stream.read_body(&mut decoder, &mut held, HELD_BYTES).await?;
            (complete, BodyEnd::Framed(decoder))
        }
        None => {
            let complete = stream.read_to_close(&mut held, HELD_BYTES).await;
            (complete.map_err(HttpError::from)?, BodyEnd::Close)
        }
    };
    let server = chosen.server.clone();
    if !complete {
        let body = ServerBody::Arriving { held, stream, end, framing };
        return Ok(ServerResponse { head, body, server });
    }
    if whole && framing.is_some() {
        context.connections.put(Instant::now(), &chosen.server, chosen.address, stream, &head);
    }
    Ok(ServerResponse { head, body: ServerBody::Whole(held), server })
}

/// Reads the response to this request; late responses to earlier ones are skipped.
async fn read_own_head(
    context: &EntryContext,
    request: &OutgoingRequest,
    stream: &mut HttpStream,
    limits: &HttpLimits,
) -> Result<ResponseHead, SendError> {
    let names = context.dialect.headers();
    for _ in 0..=MAX_FOREIGN_RESPONSES {
        let head = stream.read_response(limits).await?;
        let echoed = head.headers.get(names.request_id);
        let refused = head.status == 421 || head.headers.get(names.not_run).is_some();
        match (echoed, &request.request_id) {
            (Some(echoed), Some(own)) if echoed == &**own => return Ok(head),
            (None, None) => return Ok(head),
            (None, _) if refused => return Ok(head),
            (None, _) => return Err(SendError::Untrusted("it does not name the request")),
            (Some(_), _) => {}
        }
        let framing = BodyFraming::of_response(&request.method, &head)?;
        let mut skipped = Vec::new();
        let mut decoder = BodyDecoder::new(framing);
        if !stream.read_body(&mut decoder, &mut skipped, MAX_SKIPPED_BYTES).await? {
            break;
        }
    }
    Err(SendError::Untrusted("it belongs to another request"))
}

fn check_head(context: &EntryContext, head: &ResponseHead) -> Result<(), SendError> {
    let names = context.dialect.headers();
    if head.status == 421 {
        return Err(SendError::OtherServer);
    }
    if head.headers.get(names.not_run).is_some() {
        return Err(SendError::NotRun { status: head.status });
    }
    if matches!(head.status, 408 | 429 | 503) {
        // Passed on, these would promise that the request has not run.
        return Err(SendError::Untrusted("a refusal that does not say whether the request ran"));
    }
    if head.headers.get("content-encoding").is_some() {
        return Err(SendError::Untrusted("it is encoded, and no encoding was asked for"));
    }
    let success = (200..300).contains(&head.status);
    if success && head.headers.get(names.signature).is_none() {
        return Err(SendError::Untrusted("a success without the server's signature"));
    }
    Ok(())
}
