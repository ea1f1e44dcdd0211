//! Reads callers' requests and enforces the timeouts on them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::time::timeout_at;

use super::activity::RequestProgress;
use super::context::EntryContext;
use super::request::CallerRequest;
use crate::fleet::document::CallerLimits;
use crate::fleet::relay::held_bytes::HeldShare;
use crate::fleet::relay::times::CallerPace;
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead};

/// Time without new bytes after which a body is abandoned.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Multiple of the configured idle timeout after which a connection is closed. Closing at the
/// timeout itself raced with requests: queued behind other responses on a slow line, the close
/// reaches the caller up to a quarter of a second late.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Result of reading from a caller's connection.
pub enum ReadEvent {
    Request(CallerRequest),
    /// The caller closed the connection.
    Closed,
    /// The request is invalid or did not arrive in time.
    Malformed(HttpError),
    /// The entry holds too many request bodies already.
    Overloaded,
    /// Nothing arrived within the idle limit.
    IdleTimeout,
}

/// Why a request was not read.
#[derive(Debug, Error)]
enum ReadError {
    #[error(transparent)]
    Http(#[from] HttpError),
    #[error("too many request bodies are held")]
    Overloaded,
}

impl From<std::io::Error> for ReadError {
    fn from(error: std::io::Error) -> Self {
        Self::Http(error.into())
    }
}

/// Request whose body is still arriving.
struct PartialRequest {
    head: RequestHead,
    received_at: Instant,
    decoder: BodyDecoder,
    body: Vec<u8>,
    share: HeldShare,
    progress: Rc<RequestProgress>,
}

/// Reads requests one after another.
#[derive(Default)]
pub struct RequestReader {
    partial: Option<Box<PartialRequest>>,
    /// How the caller has read the responses so far.
    pub caller_pace: CallerPace,
}

impl RequestReader {
    /// Whether a head was read whose body is still arriving.
    pub fn has_partial_request(&self) -> bool {
        self.partial.is_some()
    }

    /// Reads the next request. Cancellation-safe: bytes that have arrived are kept.
    ///
    /// `resumed_at` is the time since which the connection is being read, `idle_since` the time
    /// since which no response is due.
    pub async fn read_event(
        &mut self,
        context: &EntryContext,
        stream: &mut HttpStream,
        resumed_at: Instant,
        idle_since: Option<Instant>,
    ) -> ReadEvent {
        if self.partial.is_none()
            && stream.buffered().is_empty()
            && let Err(event) = wait_for_bytes(context, stream, idle_since).await
        {
            return event;
        }
        match self.read(context, stream, resumed_at).await {
            Ok(Some(request)) => ReadEvent::Request(request),
            Ok(None) | Err(ReadError::Http(HttpError::Truncated | HttpError::Io(_))) => {
                ReadEvent::Closed
            }
            Err(ReadError::Http(error)) => ReadEvent::Malformed(error),
            Err(ReadError::Overloaded) => ReadEvent::Overloaded,
        }
    }

    async fn read(
        &mut self,
        context: &EntryContext,
        stream: &mut HttpStream,
        resumed_at: Instant,
    ) -> Result<Option<CallerRequest>, ReadError> {
        let limits = context.caller_limits();
        if self.partial.is_none() {
            let deadline = stream.buffered_since().max(resumed_at) + limits.head_timeout;
            let http_limits = HttpLimits { head_bytes: limits.head_bytes, ..HttpLimits::default() };
            let head = timeout_at(deadline.into(), stream.read_request(&http_limits)).await;
            let head = head.map_err(|_| HttpError::Timeout("reading a head"))??;
            let Some(head) = head else { return Ok(None) };
            if head.framing.declared_size().is_some_and(|size| size > limits.body_bytes) {
                return Err(HttpError::BodyTooLarge(limits.body_bytes).into());
            }
            let sends_continue = head.framing != BodyFraming::Empty && head.expects_continue();
            let (decoder, received_at) = (BodyDecoder::new(head.framing), Instant::now());
            let partial = PartialRequest {
                head,
                received_at,
                decoder,
                body: Vec::new(),
                share: context.held_bytes.new_share(),
                progress: context.active_requests.begin(received_at),
            };
            self.partial = Some(Box::new(partial));
            if sends_continue {
                stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
        }
        if let Some(request) = &mut self.partial {
            read_body(limits, stream, request, resumed_at).await?;
        }
        Ok(self.partial.take().map(|request| {
            let PartialRequest { head, received_at, body, share, progress, .. } = *request;
            let caller_pace = self.caller_pace;
            CallerRequest { head, body, received_at, caller_pace, share, progress }
        }))
    }
}

/// Time after which an idle connection is closed.
fn idle_limit(context: &EntryContext) -> Duration {
    context.caller_limits().idle_timeout * IDLE_TIMEOUT_FACTOR
}

/// Waits for the first bytes of a request.
async fn wait_for_bytes(
    context: &EntryContext,
    stream: &mut HttpStream,
    idle_since: Option<Instant>,
) -> Result<(), ReadEvent> {
    loop {
        let read = match idle_since {
            None => stream.fill().await,
            Some(since) => {
                let deadline = since + idle_limit(context);
                match timeout_at(deadline.into(), stream.fill()).await {
                    Ok(read) => read,
                    // A new document may raise the limit, and callers already rely on it.
                    Err(_) if since + idle_limit(context) > deadline => continue,
                    Err(_) => return Err(ReadEvent::IdleTimeout),
                }
            }
        };
        return if read.is_ok_and(|count| count > 0) { Ok(()) } else { Err(ReadEvent::Closed) };
    }
}

async fn read_body(
    limits: CallerLimits,
    stream: &mut HttpStream,
    request: &mut PartialRequest,
    resumed_at: Instant,
) -> Result<(), ReadError> {
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    loop {
        let deadline = stream.last_read_at().max(resumed_at) + BODY_STALL_TIMEOUT;
        // Each read is counted at once. Bytes that are counted late let a new request take memory that
        // is in use, and the request that holds it is refused instead.
        let read_limit = limit.min(request.body.len());
        let read = stream.read_body(&mut request.decoder, &mut request.body, read_limit);
        let result = timeout_at(deadline.into(), read).await;
        if !request.share.grow_to(request.body.len()) {
            return Err(ReadError::Overloaded);
        }
        match result {
            Ok(Ok(true)) => return Ok(()),
            Ok(Ok(false)) if request.body.len() > limit => {
                return Err(HttpError::BodyTooLarge(limits.body_bytes).into());
            }
            Ok(Ok(false)) => {}
            Ok(Err(error)) => return Err(error.into()),
            Err(_) if stream.last_read_at().max(resumed_at) + BODY_STALL_TIMEOUT > deadline => {}
            Err(_) => return Err(HttpError::Timeout("reading a body").into()),
        }
    }
}
