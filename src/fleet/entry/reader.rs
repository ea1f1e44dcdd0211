//! Requests as they arrive from a caller, and the time that the caller may take.

use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use super::context::EntryContext;
use super::request::CallerRequest;
use crate::fleet::document::CallerLimits;
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead};

/// Time without a byte after which a body is given up.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Times of the idle limit after which a connection is closed. A close at the limit itself crossed
/// requests: behind other responses on a slow line its caller learns of it a quarter of a second late.
const IDLE_FACTOR: u32 = 2;

/// What a caller's connection brought.
pub enum ReadEvent {
    Request(CallerRequest),
    /// The caller has closed the connection.
    Left,
    /// The request cannot be read, or does not arrive in time.
    Malformed(HttpError),
    /// Nothing arrived within the idle limit.
    Idle,
}

/// Request whose body is still arriving.
struct PartialRequest {
    head: RequestHead,
    received: Instant,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

/// Reads one request after the other.
#[derive(Default)]
pub struct RequestReader {
    partial: Option<Box<PartialRequest>>,
}

impl RequestReader {
    /// Whether a head was read whose body is still arriving.
    pub fn has_begun(&self) -> bool {
        self.partial.is_some()
    }

    /// Reads the next request. Cancelling loses nothing: what has arrived is kept.
    ///
    /// `resumed` is the moment since which the connection is read, `idle_since` the one since which
    /// the caller waits for nothing.
    pub async fn next(
        &mut self,
        context: &EntryContext,
        stream: &mut HttpStream,
        resumed: Instant,
        idle_since: Option<Instant>,
    ) -> ReadEvent {
        if self.partial.is_none()
            && stream.buffered().is_empty()
            && let Err(event) = wait_for_bytes(context, stream, idle_since).await
        {
            return event;
        }
        match self.read(context.caller_limits(), stream, resumed).await {
            Ok(Some(request)) => ReadEvent::Request(request),
            Ok(None) | Err(HttpError::Truncated | HttpError::Io(_)) => ReadEvent::Left,
            Err(error) => ReadEvent::Malformed(error),
        }
    }

    async fn read(
        &mut self,
        limits: CallerLimits,
        stream: &mut HttpStream,
        resumed: Instant,
    ) -> Result<Option<CallerRequest>, HttpError> {
        if self.partial.is_none() {
            let end = stream.buffered_since().max(resumed) + limits.head_timeout;
            let bounds = HttpLimits { head_bytes: limits.head_bytes, ..HttpLimits::default() };
            let head = timeout_at(end.into(), stream.read_request(&bounds)).await;
            let head = head.map_err(|_| HttpError::Timeout("reading a head"))??;
            let Some(head) = head else { return Ok(None) };
            if head.framing.declared_size().is_some_and(|size| size > limits.body_bytes) {
                return Err(HttpError::BodyTooLarge(limits.body_bytes));
            }
            let expects = head.framing != BodyFraming::Empty && head.expects_continue();
            let (decoder, received) = (BodyDecoder::new(head.framing), Instant::now());
            let partial = PartialRequest { head, received, decoder, body: Vec::new() };
            self.partial = Some(Box::new(partial));
            if expects {
                stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
            }
        }
        if let Some(request) = &mut self.partial {
            read_body(limits, stream, request, resumed).await?;
        }
        Ok(self.partial.take().map(|request| {
            let PartialRequest { head, received, body, .. } = *request;
            CallerRequest { head, body, received }
        }))
    }
}

/// Time for which an idle connection is kept.
fn idle_time(context: &EntryContext) -> Duration {
    context.caller_limits().idle_timeout * IDLE_FACTOR
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
                let end = since + idle_time(context);
                match timeout_at(end.into(), stream.fill()).await {
                    Ok(read) => read,
                    // A new document may have a longer limit, and callers already keep to it.
                    Err(_) if since + idle_time(context) > end => continue,
                    Err(_) => return Err(ReadEvent::Idle),
                }
            }
        };
        return if read.is_ok_and(|count| count > 0) { Ok(()) } else { Err(ReadEvent::Left) };
    }
}

async fn read_body(
    limits: CallerLimits,
    stream: &mut HttpStream,
    request: &mut PartialRequest,
    resumed: Instant,
) -> Result<(), HttpError> {
    let limit = usize::try_from(limits.body_bytes).unwrap_or(usize::MAX);
    loop {
        let end = stream.last_read_at().max(resumed) + BODY_TIMEOUT;
        let read = stream.read_body(&mut request.decoder, &mut request.body, limit);
        match timeout_at(end.into(), read).await {
            Ok(Ok(true)) => return Ok(()),
            Ok(Ok(false)) => return Err(HttpError::BodyTooLarge(limits.body_bytes)),
            Ok(Err(error)) => return Err(error),
            Err(_) if stream.last_read_at().max(resumed) + BODY_TIMEOUT > end => {}
            Err(_) => return Err(HttpError::Timeout("reading a body")),
        }
    }
}
