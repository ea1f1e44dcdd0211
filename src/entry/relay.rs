//! Passing a response on to the caller.

use std::time::Instant;

use super::exchange::OpenResponse;
use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, HttpError, HttpVersion, RequestHead, ResponseHead,
};

/// Largest chunked response in bytes that is buffered for an HTTP/1.0 caller.
///
/// HTTP/1.0 has no chunks, and a body that ends with the connection cannot be told from a truncated
/// one, so the length must be known before the head is sent.
const HTTP10_BUFFER_BYTES: usize = 1024 * 1024;

/// Name of this proxy in `Via`.
const VIA: &[u8] = b"1.1 curranthollow";

/// How passing on a response ended.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The caller has the whole response.
    Complete,
    /// The server's body was cut short or stalled after the head was sent; the caller's connection
    /// must be closed, so that the break is visible.
    ServerBroken(HttpError),
    /// The body failed before anything was sent, so that another attempt is still possible.
    BrokenBeforeHead(HttpError),
    /// Nothing was sent, because the response does not fit the caller's HTTP version.
    Unsendable,
    /// The caller went away.
    CallerGone,
}

/// Prepares a response head for the caller.
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

/// Sends a response to the caller; `keep_alive` states whether the connection stays open.
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
        let data = match read_piece(response, deadline).await {
            Ok(Some(data)) => data,
            Ok(None) => break,
            Err(error) if sent_head => return RelayOutcome::ServerBroken(error),
            Err(error) => return RelayOutcome::BrokenBeforeHead(error),
        };
        let result = if sent_head {
            caller.write_body(framing, &data).await
        } else {
            append_piece(&mut output, framing, &data);
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

fn append_piece(output: &mut Vec<u8>, framing: BodyFraming, data: &[u8]) {
    if framing == BodyFraming::Chunked {
        crate::http::encode_chunk(data, output);
    } else {
        output.extend_from_slice(data);
    }
}

async fn read_piece(
    response: &mut OpenResponse,
    deadline: Instant,
) -> Result<Option<Vec<u8>>, HttpError> {
    let left = deadline.saturating_duration_since(Instant::now());
    match with_timeout(left, response.connection.read_body(&mut response.body)).await {
        Ok(result) => result,
        Err(_) => Err(HttpError::Timeout("reading a response before the deadline")),
    }
}

/// Reads the body, up to `limit` bytes; `None` when it is larger.
pub async fn collect_body(
    response: &mut OpenResponse,
    limit: usize,
    deadline: Instant,
) -> Result<Result<Vec<u8>, Vec<u8>>, HttpError> {
    let mut whole = Vec::new();
    while let Some(data) = read_piece(response, deadline).await? {
        whole.extend_from_slice(&data);
        if whole.len() > limit {
            return Ok(Err(whole));
        }
    }
    Ok(Ok(whole))
}

async fn relay_buffered(
    caller: &mut CallerConnection,
    request: &RequestHead,
    response: &mut OpenResponse,
    request_id: &str,
    keep_alive: bool,
    deadline: Instant,
) -> RelayOutcome {
    let whole = match collect_body(response, HTTP10_BUFFER_BYTES, deadline).await {
        Ok(Ok(whole)) => whole,
        Ok(Err(_)) => return RelayOutcome::Unsendable,
        Err(error) => return RelayOutcome::BrokenBeforeHead(error),
    };
    let mut head = response.head.clone();
    prepare_head(&mut head, BodyFraming::Length(whole.len() as u64), request_id, keep_alive);
    match caller.respond(request, head, &whole).await {
        Ok(()) => RelayOutcome::Complete,
        Err(_) => RelayOutcome::CallerGone,
    }
}
