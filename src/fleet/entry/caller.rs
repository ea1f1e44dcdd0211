//! Connections of callers: requests in order, answers in order, and the close.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::EntryContext;
use super::request::{self, CallerAnswer, CallerRequest, OwnAnswer};
use super::send::{BodyEnd, ServerBody, ServerResponse};
use crate::fleet::document::CallerLimits;
use crate::fleet::link;
use crate::fleet::stream::{HttpStream, RelayFraming};
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead, ResponseHead};
use crate::{log_info, log_warn};

/// Bytes of further requests that are kept while one is processed.
const PIPELINE_BYTES: usize = 64 << 10;

/// Requests of one connection that are processed at the same time.
const MAX_PIPELINED: usize = 16;

/// Longer than any request takes.
const UNLIMITED: Duration = Duration::from_secs(3600);

/// Largest request body that is held for a server.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Pause after a failed accept, for instance without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes of an arriving response that are passed on at once.
const RELAY_BYTES: usize = 64 << 10;

/// Why a caller's connection is not kept.
enum ConnectionEnd {
    /// The peer has left, or its stream is unusable.
    Drop,
    /// Everything was answered.
    Close,
}

/// Accepts callers for as long as the process runs.
pub async fn serve(listener: TcpListener, context: Rc<EntryContext>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if link::prepare_socket(&stream).is_err() {
                    continue;
                }
                let context = Rc::clone(&context);
                tokio::task::spawn_local(async move { serve_connection(&context, stream).await });
            }
            Err(error) => {
                log_warn!("accept_failed", "listener=traffic error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(context: &Rc<EntryContext>, stream: TcpStream) {
    let connection = CallerConnection {
        context: Rc::clone(context),
        stream: HttpStream::new(stream),
        partial: None,
        waiting: None,
        running: VecDeque::new(),
        last: false,
    };
    connection.serve().await;
}

fn http_limits(limits: &CallerLimits) -> HttpLimits {
    HttpLimits {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
        ..HttpLimits::default()
    }
}

/// Request whose body is still arriving.
struct PartialRequest {
    head: RequestHead,
    received: Instant,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

/// Request in process; dropping it gives up what may be given up.
struct RunningRequest {
    task: JoinHandle<CallerAnswer>,
    method: Box<str>,
    keep: bool,
    idempotent: bool,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        // What runs at most once is left to its end; a server may be in the middle of it.
        if self.idempotent {
            self.task.abort();
        }
    }
}

/// Connection of a caller. Requests that arrive together are processed together; the answers leave
/// in the order of the requests.
struct CallerConnection {
    context: Rc<EntryContext>,
    stream: HttpStream,
    partial: Option<Box<PartialRequest>>,
    /// Request that is processed when all before it are answered.
    waiting: Option<CallerRequest>,
    running: VecDeque<RunningRequest>,
    /// No further request is read.
    last: bool,
}

/// What happened on a connection.
enum CallerEvent {
    Request(CallerRequest),
    Answer(CallerAnswer),
    Left,
    Malformed(HttpError),
    Idle,
    Stopping,
}

impl CallerConnection {
    async fn serve(mut self) {
        loop {
            let event = self.next_event().await;
            let result = match event {
                CallerEvent::Request(request) => {
                    self.take_request(request);
                    Ok(())
                }
                CallerEvent::Answer(answer) => self.answer(answer).await,
                CallerEvent::Left => Err(ConnectionEnd::Drop),
                CallerEvent::Malformed(error) => self.refuse(&error).await,
                CallerEvent::Idle => Err(ConnectionEnd::Close),
                CallerEvent::Stopping => {
                    self.last = true;
                    if self.is_idle() { Err(ConnectionEnd::Close) } else { Ok(()) }
                }
            };
            match result {
                Ok(()) => {}
                Err(ConnectionEnd::Drop) => return,
                Err(ConnectionEnd::Close) => return self.stream.close().await,
            }
        }
    }

    fn is_idle(&self) -> bool {
        let nothing_read = self.partial.is_none() && self.stream.buffered().is_empty();
        self.running.is_empty() && self.waiting.is_none() && nothing_read
    }

    async fn next_event(&mut self) -> CallerEvent {
        let limits = self.context.table().map(|table| table.limits.clone()).unwrap_or_default();
        let limits = http_limits(&limits);
        let room = self.waiting.is_none() && self.running.len() < MAX_PIPELINED;
        // Behind a request that runs at most once nothing is started before its answer.
        let reads = !self.last && room && self.running.iter().all(|running| running.idempotent);
        let stopping = self.context.is_stopping();
        let may_stop = !stopping && !self.last;
        let wait = self.read_timeout(&limits);
        let mut phase = self.context.phase.subscribe();
        let running = self.running.front_mut();
        tokio::select! {
            biased;
            answer = answer_of(running) => CallerEvent::Answer(answer),
            read = read_or_watch(&mut self.stream, &mut self.partial, &limits, reads) => match read {
                Ok(Some(request)) => CallerEvent::Request(request),
                Ok(None) | Err(HttpError::Truncated | HttpError::Io(_)) => CallerEvent::Left,
                Err(error) => CallerEvent::Malformed(error),
            },
            _ = phase.changed(), if may_stop => CallerEvent::Stopping,
            () = sleep(wait.0) => match wait.1 {
                Some(what) => CallerEvent::Malformed(HttpError::Timeout(what)),
                None => CallerEvent::Idle,
            },
        }
    }

    /// How long the caller may take now, and what it is late with then.
    fn read_timeout(&self, limits: &HttpLimits) -> (Duration, Option<&'static str>) {
        if !self.running.is_empty() {
            return (UNLIMITED, None);
        }
        if self.partial.is_some() {
            return (limits.stall_timeout, Some("reading a body"));
        }
        if !self.stream.buffered().is_empty() {
            return (limits.head_timeout, Some("reading a head"));
        }
        (limits.idle_timeout, None)
    }

    fn take_request(&mut self, request: CallerRequest) {
        let idempotent = request::is_idempotent(&self.context, &request.head);
        if !idempotent && !self.running.is_empty() {
            self.waiting = Some(request);
            return;
        }
        self.start(request, idempotent);
    }

    fn start(&mut self, request: CallerRequest, idempotent: bool) {
        let method = request.head.method.clone();
        let keep = request.head.keep_alive();
        // A connection that ends takes no further request whose answer would be lost.
        self.last |= !keep || self.context.is_stopping();
        let active = ActiveRequest::new(&self.context);
        let context = Rc::clone(&self.context);
        let task = tokio::task::spawn_local(async move {
            let answer = request::process(&context, request).await;
            drop(active);
            answer
        });
        self.running.push_back(RunningRequest { task, method, keep, idempotent });
    }

    async fn answer(&mut self, answer: CallerAnswer) -> Result<(), ConnectionEnd> {
        let Some(running) = self.running.pop_front() else { return Ok(()) };
        let _active = ActiveRequest::new(&self.context);
        self.last |= self.context.is_stopping() && self.waiting.is_none();
        let ends = self.last && self.running.is_empty() && self.waiting.is_none();
        let keep = running.keep && !ends;
        match answer {
            CallerAnswer::Own(own) => write_own(&mut self.stream, &own, keep).await?,
            CallerAnswer::Relay(response) => {
                relay(&mut self.stream, *response, &running.method, keep).await?;
            }
        }
        if !keep {
            return Err(ConnectionEnd::Close);
        }
        if self.running.is_empty()
            && let Some(request) = self.waiting.take()
        {
            self.start(request, false);
        }
        Ok(())
    }

    /// Answers a malformed request when all before it are answered.
    async fn refuse(&mut self, error: &HttpError) -> Result<(), ConnectionEnd> {
        while let Some(front) = self.running.front_mut() {
            let answer = answer_of(Some(front)).await;
            self.answer(answer).await?;
        }
        refuse_malformed(&self.context, &mut self.stream, error).await
    }
}

/// Waits for the answer of the first request; for ever when there is none.
async fn answer_of(running: Option<&mut RunningRequest>) -> CallerAnswer {
    let Some(running) = running else { return std::future::pending().await };
    match (&mut running.task).await {
        Ok(answer) => answer,
        Err(_) => CallerAnswer::Own(OwnAnswer {
            status: 502,
            reason: "the request was given up",
            retry_after: None,
        }),
    }
}

/// Counts a request until its answer has left.
struct ActiveRequest(Rc<EntryContext>);

impl ActiveRequest {
    fn new(context: &Rc<EntryContext>) -> Self {
        context.active_requests.set(context.active_requests.get() + 1);
        Self(Rc::clone(context))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Reads the next request, or only watches for the caller's leave.
async fn read_or_watch(
    stream: &mut HttpStream,
    partial: &mut Option<Box<PartialRequest>>,
    limits: &HttpLimits,
    reads: bool,
) -> Result<Option<CallerRequest>, HttpError> {
    if reads {
        return read_request(stream, partial, limits).await;
    }
    stream.closed(PIPELINE_BYTES).await;
    Ok(None)
}

/// Reads one request. Cancelling loses nothing: what has arrived stays in `partial` and the stream.
async fn read_request(
    stream: &mut HttpStream,
    partial: &mut Option<Box<PartialRequest>>,
    limits: &HttpLimits,
) -> Result<Option<CallerRequest>, HttpError> {
    if partial.is_none() {
        let Some(head) = stream.read_request(limits).await? else { return Ok(None) };
        let limit = MAX_BODY_BYTES as u64;
        if head.framing.declared_size().is_some_and(|size| size > limit) {
            return Err(HttpError::BodyTooLarge(limit));
        }
        let expects = head.framing != BodyFraming::Empty && head.expects_continue();
        let (decoder, received) = (BodyDecoder::new(head.framing), Instant::now());
        *partial = Some(Box::new(PartialRequest { head, received, decoder, body: Vec::new() }));
        if expects {
            stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
    }
    if let Some(request) = partial {
        let complete =
            stream.read_body(&mut request.decoder, &mut request.body, MAX_BODY_BYTES).await?;
        if !complete {
            return Err(HttpError::BodyTooLarge(MAX_BODY_BYTES as u64));
        }
    }
    Ok(partial.take().map(|request| {
        let PartialRequest { head, received, body, .. } = *request;
        CallerRequest { head, body, received }
    }))
}

async fn refuse_malformed(
    context: &EntryContext,
    stream: &mut HttpStream,
    error: &HttpError,
) -> Result<(), ConnectionEnd> {
    let Some(status) = error.request_status() else { return Err(ConnectionEnd::Drop) };
    log_info!("request_malformed", "entry={} status={status} error=\"{error}\"", context.name);
    let own = OwnAnswer { status, reason: "malformed request", retry_after: None };
    write_own(stream, &own, false).await?;
    Err(ConnectionEnd::Close)
}

async fn write_own(
    stream: &mut HttpStream,
    own: &OwnAnswer,
    keep: bool,
) -> Result<(), ConnectionEnd> {
    let mut head = ResponseHead::new(own.status);
    let length = own.reason.len().to_string();
    let mut fields = vec![("content-type", "text/plain".to_owned()), ("content-length", length)];
    if let Some(pause) = own.retry_after {
        fields.push(("retry-after", format!("{:.3}", pause.as_secs_f64())));
    }
    if !keep {
        fields.push(("connection", "close".to_owned()));
    }
    for (name, value) in &fields {
        // The values contain no control characters.
        let _ = head.headers.append(name, value.as_bytes());
    }
    let mut output = Vec::with_capacity(200);
    head.write_to(&mut output);
    output.extend_from_slice(own.reason.as_bytes());
    stream.write(&output).await.map_err(|_| ConnectionEnd::Drop)
}

/// Passes a response on; one that breaks off is visibly incomplete for the caller.
async fn relay(
    stream: &mut HttpStream,
    response: ServerResponse,
    method: &str,
    keep: bool,
) -> Result<(), ConnectionEnd> {
    let ServerResponse { mut head, body, .. } = response;
    let no_body = method == "HEAD" || matches!(head.status, 204 | 304);
    head.headers.remove_hop_by_hop();
    if !no_body {
        head.headers.remove("content-length");
    }
    if !keep {
        let _ = head.headers.append("connection", b"close");
    }
    let mut output = Vec::with_capacity(1024);
    head.write_to(&mut output);
    output.truncate(output.len() - 2);
    match body {
        ServerBody::Whole(bytes) => {
            if !no_body {
                RelayFraming::Length(bytes.len() as u64).write_header(&mut output);
            }
            output.extend_from_slice(b"\r\n");
            output.extend_from_slice(&bytes);
            stream.write(&output).await.map_err(|_| ConnectionEnd::Drop)
        }
        ServerBody::Arriving { held, stream: server, end, framing } => {
            let marker = RelayFraming::of(framing);
            marker.write_header(&mut output);
            output.extend_from_slice(b"\r\n");
            marker.encode(&held, &mut output);
            relay_rest(stream, server, end, marker, output).await
        }
    }
}

async fn relay_rest(
    caller: &mut HttpStream,
    mut server: HttpStream,
    mut end: BodyEnd,
    marker: RelayFraming,
    mut output: Vec<u8>,
) -> Result<(), ConnectionEnd> {
    loop {
        caller.write(&output).await.map_err(|_| ConnectionEnd::Drop)?;
        output.clear();
        let mut piece = Vec::new();
        let complete = match &mut end {
            BodyEnd::Framed(decoder) => {
                server.read_body(decoder, &mut piece, RELAY_BYTES).await.ok()
            }
            BodyEnd::Close => server.read_to_close(&mut piece, RELAY_BYTES).await.ok(),
        };
        // Without its end the caller's body stays visibly incomplete.
        let Some(complete) = complete else { return Err(ConnectionEnd::Drop) };
        marker.encode(&piece, &mut output);
        if complete {
            marker.encode_end(&mut output);
            return caller.write(&output).await.map_err(|_| ConnectionEnd::Drop);
        }
    }
}
