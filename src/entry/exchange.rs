//! A single attempt to send a request to a server and read the response head.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use futures_util::pin_mut;

use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, CheckoutError, ConnectionPool, HttpError, RequestBody,
    RequestHead, ResponseBody, ResponseHead, ServerConnection, encode_chunk, encode_last_chunk,
};

/// Timeout for a new connection, which takes about 1 ms in a healthy network.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time to wait for an early response after the server has stopped reading the request body.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size in bytes of a body that is written completely before the response is read. It fits
/// into the send buffer of a connection, so the write does not block if the server stops reading.
const MAX_BLIND_WRITE_BYTES: usize = 16 * 1024;

/// Server of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum number of connections from this entry to the server.
    pub connection_limit: usize,
}

/// Request body to send.
pub enum RequestPayload<'a> {
    /// The whole body is in memory, so another attempt can send it again.
    Buffered(&'a [u8]),
    /// The body is streamed from the caller.
    Streamed {
        /// Connection to the caller.
        caller: &'a mut CallerConnection,
        /// Read state of the body.
        body: &'a mut RequestBody,
    },
}

/// Reason for which an attempt returned no response head.
#[derive(Debug)]
pub enum AttemptFailure {
    /// No byte was sent to the server.
    NotSent(CheckoutError),
    /// The server failed after sending had started.
    ServerFailed(HttpError),
    /// The server sent an invalid response that cannot be forwarded safely.
    ServerInvalid(HttpError),
    /// The deadline passed after sending had started.
    DeadlineExceeded,
    /// The caller disconnected or sent an invalid body.
    CallerFailed(HttpError),
}

/// Response whose head was received and whose body is still to be read.
#[derive(Debug)]
pub struct OpenResponse {
    /// Connection from which the body is read.
    pub connection: ServerConnection,
    /// Head as received.
    pub head: ResponseHead,
    /// Read state of the body.
    pub body: ResponseBody,
    /// Whether the request body was sent completely; if not, the connection must not be reused.
    pub request_complete: bool,
}

/// Checks out a connection for an attempt; no byte of the request is sent.
pub async fn connect(
    pool: &ConnectionPool,
    target: &AttemptTarget,
) -> Result<ServerConnection, AttemptFailure> {
    pool.checkout(target.address, target.connection_limit, CONNECT_TIMEOUT)
        .await
        .map_err(AttemptFailure::NotSent)
}

/// Sends a request and waits for the response head.
pub async fn exchange(
    mut connection: ServerConnection,
    head: &RequestHead,
    payload: RequestPayload<'_>,
    deadline: Instant,
) -> Result<OpenResponse, AttemptFailure> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let result = with_timeout(time_left, async {
        match payload {
            RequestPayload::Buffered(body) => send_buffered(&mut connection, head, body).await,
            RequestPayload::Streamed { caller, body } => {
                send_streamed(&mut connection, head, caller, body).await
            }
        }
    })
    .await;
    match result {
        Ok(Ok((response, body, request_complete))) => {
            Ok(OpenResponse { connection, head: response, body, request_complete })
        }
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

type ExchangeResult = Result<(ResponseHead, ResponseBody, bool), AttemptFailure>;

async fn send_buffered(
    connection: &mut ServerConnection,
    head: &RequestHead,
    body: &[u8],
) -> ExchangeResult {
    let mut output = Vec::with_capacity(1024 + body.len());
    head.write_to(&mut output);
    output.extend_from_slice(body);
    if body.len() > MAX_BLIND_WRITE_BYTES {
        return send_large(connection, &head.method, &output).await;
    }
    if let Err(error) = connection.write(&output).await {
        // The server may have answered before it closed the connection, for example with an error.
        let early = with_timeout(EARLY_RESPONSE_TIMEOUT, connection.read_head(&head.method)).await;
        return match early {
            Ok(Ok((response, body))) => Ok((response, body, false)),
            _ => Err(AttemptFailure::ServerFailed(error)),
        };
    }
    let (response, body) =
        connection.read_head(&head.method).await.map_err(classify_server_error)?;
    Ok((response, body, true))
}

/// Sends a request while reading the response, because the server may answer early.
async fn send_large(
    connection: &mut ServerConnection,
    method: &str,
    request: &[u8],
) -> ExchangeResult {
    let writer = connection.writer();
    let upload = ServerConnection::write_all(&writer, request, connection.stall_timeout());
    let download = connection.read_head(method);
    pin_mut!(upload, download);
    match select(upload, download).await {
        Either::Left((Ok(()), download)) => {
            let (response, body) = download.await.map_err(classify_server_error)?;
            Ok((response, body, true))
        }
        Either::Left((Err(error), download)) => {
            match with_timeout(EARLY_RESPONSE_TIMEOUT, download).await {
                Ok(Ok((response, body))) => Ok((response, body, false)),
                _ => Err(AttemptFailure::ServerFailed(error)),
            }
        }
        Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
        Either::Right((Err(error), _)) => Err(classify_server_error(error)),
    }
}

async fn send_streamed(
    connection: &mut ServerConnection,
    head: &RequestHead,
    caller: &mut CallerConnection,
    body: &mut RequestBody,
) -> ExchangeResult {
    let mut output = Vec::with_capacity(1024);
    head.write_to(&mut output);
    connection.write(&output).await.map_err(AttemptFailure::ServerFailed)?;
    let writer = connection.writer();
    let upload = upload(&writer, caller, body);
    let download = connection.read_head(&head.method);
    pin_mut!(upload, download);
    match select(upload, download).await {
        Either::Left((Ok(()), download)) => {
            let (response, body) = download.await.map_err(classify_server_error)?;
            Ok((response, body, true))
        }
        Either::Left((Err(UploadError::Caller(error)), _)) => {
            Err(AttemptFailure::CallerFailed(error))
        }
        Either::Left((Err(UploadError::Server(error)), download)) => {
            match with_timeout(EARLY_RESPONSE_TIMEOUT, download).await {
                Ok(Ok((response, body))) => Ok((response, body, false)),
                _ => Err(AttemptFailure::ServerFailed(error)),
            }
        }
        Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
        Either::Right((Err(error), _)) => Err(classify_server_error(error)),
    }
}

enum UploadError {
    Caller(HttpError),
    Server(HttpError),
}

async fn upload(
    writer: &async_std::net::TcpStream,
    caller: &mut CallerConnection,
    body: &mut RequestBody,
) -> Result<(), UploadError> {
    let chunked = body.framing() == BodyFraming::Chunked;
    let stall = caller.stall_timeout();
    let mut output = Vec::new();
    while let Some(data) = caller.read_body(body).await.map_err(UploadError::Caller)? {
        output.clear();
        let piece: &[u8] = if chunked {
            encode_chunk(&data, &mut output);
            &output
        } else {
            &data
        };
        ServerConnection::write_all(writer, piece, stall).await.map_err(UploadError::Server)?;
    }
    if chunked {
        output.clear();
        encode_last_chunk(&mut output);
        ServerConnection::write_all(writer, &output, stall).await.map_err(UploadError::Server)?;
    }
    Ok(())
}

/// Distinguishes a server that disconnected or timed out from one that sent an invalid response.
fn classify_server_error(error: HttpError) -> AttemptFailure {
    match error {
        HttpError::Io(_) | HttpError::Truncated | HttpError::Timeout(_) => {
            AttemptFailure::ServerFailed(error)
        }
        error => AttemptFailure::ServerInvalid(error),
    }
}
