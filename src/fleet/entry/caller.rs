//! Connections of callers: requests in order, answers in order, and the close.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

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
    let mut stream = HttpStream::new(stream);
    loop {
        match serve_request(context, &mut stream).await {
            Ok(()) => {}
            Err(ConnectionEnd::Drop) => return,
            Err(ConnectionEnd::Close) => return stream.close().await,
        }
    }
}

fn http_limits(limits: &CallerLimits) -> HttpLimits {
    HttpLimits {
        head_bytes: limits.head_bytes,
        head_timeout: limits.head_timeout,
        idle_timeout: limits.idle_timeout,
        ..HttpLimits::default()
    }
}

/// Counts a request from its head to its answer.
struct ActiveRequest<'a>(&'a EntryContext);

impl<'a> ActiveRequest<'a> {
    fn new(context: &'a EntryContext) -> Self {
        context.active_requests.set(context.active_requests.get() + 1);
        Self(context)
    }
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Reads one request and answers it; `Ok` keeps the connection.
async fn serve_request(
    context: &Rc<EntryContext>,
    stream: &mut HttpStream,
) -> Result<(), ConnectionEnd> {
    let limits = context.table().map(|table| table.limits.clone()).unwrap_or_default();
    let limits = http_limits(&limits);
    wait_for_request(context, stream, &limits).await?;
    let _active = ActiveRequest::new(context);
    let head = match timeout(limits.head_timeout, stream.read_request(&limits)).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Err(ConnectionEnd::Drop),
        Ok(Err(error)) => return refuse_malformed(context, stream, &error).await,
        Err(_) => {
            return refuse_malformed(context, stream, &HttpError::Timeout("reading a head")).await;
        }
    };
    let received = Instant::now();
    let body = match timeout(limits.stall_timeout, read_body(stream, &head)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return refuse_malformed(context, stream, &error).await,
        Err(_) => {
            return refuse_malformed(context, stream, &HttpError::Timeout("reading a body")).await;
        }
    };
    let method = head.method.clone();
    let keep = head.keep_alive();
    let idempotent = request::is_idempotent(context, &head);
    let caller = CallerRequest { head, body, received };
    let answer = {
        let mut work = std::pin::pin!(request::process(context, caller));
        tokio::select! {
            answer = &mut work => answer,
            () = stream.closed(PIPELINE_BYTES) => {
                if !idempotent {
                    // The server may be at work on something that must not be left half done.
                    let _ = work.await;
                }
                return Err(ConnectionEnd::Drop);
            }
        }
    };
    let keep = keep && !context.is_stopping();
    match answer {
        CallerAnswer::Own(own) => write_own(stream, &own, keep).await?,
        CallerAnswer::Relay(response) => relay(stream, *response, &method, keep).await?,
    }
    if keep { Ok(()) } else { Err(ConnectionEnd::Close) }
}

/// Waits for the first byte of a request; connections end here when the entry stops.
async fn wait_for_request(
    context: &EntryContext,
    stream: &mut HttpStream,
    limits: &HttpLimits,
) -> Result<(), ConnectionEnd> {
    if !stream.buffered().is_empty() {
        return Ok(());
    }
    let mut phase = context.phase.subscribe();
    let first_byte = timeout(limits.idle_timeout, stream.fill());
    let filled = if context.is_stopping() {
        // A new connection may still bring one request.
        first_byte.await
    } else {
        tokio::select! {
            biased;
            filled = first_byte => filled,
            _ = phase.changed() => return Err(ConnectionEnd::Close),
        }
    };
    match filled {
        Ok(Ok(count)) if count > 0 => Ok(()),
        Ok(_) => Err(ConnectionEnd::Drop),
        Err(_) => Err(ConnectionEnd::Close),
    }
}

async fn read_body(stream: &mut HttpStream, head: &RequestHead) -> Result<Vec<u8>, HttpError> {
    let mut body = Vec::new();
    if head.framing == BodyFraming::Empty {
        return Ok(body);
    }
    let limit = MAX_BODY_BYTES as u64;
    if head.framing.declared_size().is_some_and(|size| size > limit) {
        return Err(HttpError::BodyTooLarge(limit));
    }
    if head.expects_continue() {
        stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let mut decoder = BodyDecoder::new(head.framing);
    if stream.read_body(&mut decoder, &mut body, MAX_BODY_BYTES).await? {
        return Ok(body);
    }
    Err(HttpError::BodyTooLarge(limit))
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
