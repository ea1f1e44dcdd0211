//! Relaying of server responses to the caller.

use std::time::Instant;

use super::exchange::OpenResponse;
use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, HttpError, HttpVersion, RequestHead, ResponseHead,
};

/// Maximum size in bytes of a chunked response that is buffered for an HTTP/1.0 caller.
///
/// HTTP/1.0 has no chunked coding, and a body delimited by the end of the connection cannot be
/// distinguished from a truncated one, so the length must be known before the head is sent.
const MAX_HTTP10_BUFFER_BYTES: usize = 1024 * 1024;

/// Value of the `Via` header for this proxy.
const VIA: &[u8] = b"1.1 curranthollow";

/// Outcome of relaying a response.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The whole response was sent to the caller.
    Complete,
    /// The response body was truncated or stalled after the head was sent; the caller's connection
    /// must be closed, so that the caller notices.
    ServerBroken(HttpError),
    /// The response body failed before anything was sent, so another attempt is still possible.
    BrokenBeforeHead(HttpError),
    /// Nothing was sent, because the response cannot be expressed in the caller's HTTP version.
    Unsendable,
    /// The caller disconnected.
    CallerGone,
}

/// Rewrites the hop-by-hop, `Via` and request-id headers of a response head for the caller.
pub fn prepare_head(
    head: &mut ResponseHead,
    framing: BodyFraming,
    request_id: &str,
    keep_alive: bool,
) {
    head.headers.remove_hop_by_hop();
    if framing == BodyFraming::Chunked {
        let _ = head.headers.append("transfer-encoding", b"chunked");
    }
    let _ = head.headers.append("via", VIA);
    let _ = head.headers.set("x-request-id", request_id.as_bytes());
    if !keep_alive {
        let _ = head.headers.append("connection", b"close");
    }
}

/// Streams a response to the caller; `keep_alive` tells whether the connection stays open.
pub async fn relay_response(
    caller: &mut CallerConnection,
    request: &RequestHead,
    response: &mut OpenResponse,
    request_id: &str,
    keep_alive: bool,
    deadline: Instant,
) -> RelayOutcome {
    if response.body.framing() == BodyFraming::Chunked && request.version == HttpVersion::Http10 {
        return relay_buffered(caller, request, response, request_id, keep_alive, deadline).await;
    }
    let framing = response.body.framing();
    let mut head = response.head.clone();
    prepare_head(&mut head, framing, request_id, keep_alive);
    if keep_alive && request.version == HttpVersion::Http10 {
        let _ = head.headers.append("connection", b"keep-alive");
    }
    let mut output = Vec::with_capacity(1024);
    head.write_to(&mut output);
    let mut sent_head = false;
    loop {
        let data = match read_body_part(response, deadline).await {
            Ok(Some(data)) => data,
            Ok(None) => break,
            Err(error) if sent_head => return RelayOutcome::ServerBroken(error),
            Err(error) => return RelayOutcome::BrokenBeforeHead(error),
        };
        let result = if sent_head {
            caller.write_body(framing, &data).await
        } else {
            append_body_part(&mut output, framing, &data);
            caller.write(&output).await
        };
        if result.is_err() {
            return RelayOutcome::CallerGone;
        }
        sent_head = true;
    }
    let end = if sent_head {
        caller.end_body(framing).await
    } else {
        if framing == BodyFraming::Chunked {
            crate::http::encode_last_chunk(&mut output);
        }
        caller.write(&output).await
    };
    match end {
        Ok(()) => RelayOutcome::Complete,
        Err(_) => RelayOutcome::CallerGone,
    }
}

fn append_body_part(output: &mut Vec<u8>, framing: BodyFraming, data: &[u8]) {
    if framing == BodyFraming::Chunked {
        crate::http::encode_chunk(data, output);
    } else {
        output.extend_from_slice(data);
    }
}

async fn read_body_part(
    response: &mut OpenResponse,
    deadline: Instant,
) -> Result<Option<Vec<u8>>, HttpError> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    match with_timeout(time_left, response.connection.read_body(&mut response.body)).await {
        Ok(result) => result,
        Err(_) => Err(HttpError::Timeout("reading a response before the deadline")),
    }
}

/// Reads the whole body; the inner `Err` holds the bytes read so far if it is larger than `limit`.
pub async fn collect_body(
    response: &mut OpenResponse,
    limit: usize,
    deadline: Instant,
) -> Result<Result<Vec<u8>, Vec<u8>>, HttpError> {
    let mut content = Vec::new();
    while let Some(data) = read_body_part(response, deadline).await? {
        content.extend_from_slice(&data);
        if content.len() > limit {
            return Ok(Err(content));
        }
    }
    Ok(Ok(content))
}

async fn relay_buffered(
    caller: &mut CallerConnection,
    request: &RequestHead,
    response: &mut OpenResponse,
    request_id: &str,
    keep_alive: bool,
    deadline: Instant,
) -> RelayOutcome {
    let content = match collect_body(response, MAX_HTTP10_BUFFER_BYTES, deadline).await {
        Ok(Ok(content)) => content,
        Ok(Err(_)) => return RelayOutcome::Unsendable,
        Err(error) => return RelayOutcome::BrokenBeforeHead(error),
    };
    let mut head = response.head.clone();
    prepare_head(&mut head, BodyFraming::Length(content.len() as u64), request_id, keep_alive);
    match caller.respond(request, head, &content).await {
        Ok(()) => RelayOutcome::Complete,
        Err(_) => RelayOutcome::CallerGone,
    }
}
