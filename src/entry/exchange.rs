//! One attempt of a request at one server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use futures_util::pin_mut;

use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, CheckoutError, ConnectionPool, HttpError, RequestBody,
    RequestHead, ResponseBody, ResponseHead, ServerConnection, encode_chunk, encode_last_chunk,
};

/// Time for a new connection, which takes about 1 ms in a healthy network.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for an early response after the server stopped reading the body.
const EARLY_RESPONSE_TIME: Duration = Duration::from_millis(500);

/// Largest body in bytes that is written without looking for a response at the same time. It fits
/// the send buffer of a connection, so that a server which stops reading does not block the write.
const BLIND_BYTES: usize = 16 * 1024;

/// Server and limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// Address of the server.
    pub address: SocketAddr,
    /// Connections to the server that this entry may hold.
    pub connections: usize,
}

/// Body to send.
pub enum RequestPayload<'a> {
    /// The whole body is in memory, so that another attempt can send it again.
    Buffered(&'a [u8]),
    /// The body is read from the caller while it is sent.
    Streamed {
        /// Connection to read from.
        caller: &'a mut CallerConnection,
        /// Reading state.
        body: &'a mut RequestBody,
    },
}

/// Why an attempt yielded no response head.
#[derive(Debug)]
pub enum AttemptFailure {
    /// No byte was offered to the server.
    NotOffered(CheckoutError),
    /// The server failed after at least one byte was offered.
    ServerFailed(HttpError),
    /// The server sent something that cannot be passed on safely.
    ServerInvalid(HttpError),
    /// The deadline passed after at least one byte was offered.
    DeadlineExceeded,
    /// The caller went away or sent a broken body.
    CallerFailed(HttpError),
}

/// Response whose head has arrived.
#[derive(Debug)]
pub struct OpenResponse {
    /// Connection that yields the body.
    pub connection: ServerConnection,
    /// Head as received.
    pub head: ResponseHead,
    /// Reading state of the body.
    pub body: ResponseBody,
    /// The request body was sent completely; otherwise the connection must not be reused.
    pub request_complete: bool,
}

/// Takes a connection for an attempt; no byte of the request is sent.
pub async fn connect(
    pool: &ConnectionPool,
    target: &AttemptTarget,
) -> Result<ServerConnection, AttemptFailure> {
    pool.checkout(target.address, target.connections, CONNECT_TIMEOUT)
        .await
        .map_err(AttemptFailure::NotOffered)
}

/// Sends a request and waits for the response head.
pub async fn exchange(
    mut connection: ServerConnection,
    head: &RequestHead,
    payload: RequestPayload<'_>,
    deadline: Instant,
) -> Result<OpenResponse, AttemptFailure> {
    let left = deadline.saturating_duration_since(Instant::now());
    let result = with_timeout(left, async {
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
    if body.len() > BLIND_BYTES {
        return send_large(connection, &head.method, &output).await;
    }
    if let Err(error) = connection.write(&output).await {
        // The server may have answered before it closed, for example with a refusal.
        let early = with_timeout(EARLY_RESPONSE_TIME, connection.read_head(&head.method)).await;
        return match early {
            Ok(Ok((response, body))) => Ok((response, body, false)),
            _ => Err(AttemptFailure::ServerFailed(error)),
        };
    }
    let (response, body) = connection.read_head(&head.method).await.map_err(server_failure)?;
    Ok((response, body, true))
}

/// Sends a request that the server may answer before it has read the whole body.
async fn send_large(
    connection: &mut ServerConnection,
    method: &str,
    request: &[u8],
) -> ExchangeResult {
    let writer = connection.writer();
    let upload = ServerConnection::write_to(&writer, request, connection.stall_timeout());
    let download = connection.read_head(method);
    pin_mut!(upload, download);
    match select(upload, download).await {
        Either::Left((Ok(()), download)) => {
            let (response, body) = download.await.map_err(server_failure)?;
            Ok((response, body, true))
        }
        Either::Left((Err(error), download)) => {
            match with_timeout(EARLY_RESPONSE_TIME, download).await {
                Ok(Ok((response, body))) => Ok((response, body, false)),
                _ => Err(AttemptFailure::ServerFailed(error)),
            }
        }
        Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
        Either::Right((Err(error), _)) => Err(server_failure(error)),
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
            let (response, body) = download.await.map_err(server_failure)?;
            Ok((response, body, true))
        }
        Either::Left((Err(UploadError::Caller(error)), _)) => {
            Err(AttemptFailure::CallerFailed(error))
        }
        Either::Left((Err(UploadError::Server(error)), download)) => {
            match with_timeout(EARLY_RESPONSE_TIME, download).await {
                Ok(Ok((response, body))) => Ok((response, body, false)),
                _ => Err(AttemptFailure::ServerFailed(error)),
            }
        }
        Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
        Either::Right((Err(error), _)) => Err(server_failure(error)),
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
        ServerConnection::write_to(writer, piece, stall).await.map_err(UploadError::Server)?;
    }
    if chunked {
        output.clear();
        encode_last_chunk(&mut output);
        ServerConnection::write_to(writer, &output, stall).await.map_err(UploadError::Server)?;
    }
    Ok(())
}

/// Separates a server that went away from one that sent an invalid message.
fn server_failure(error: HttpError) -> AttemptFailure {
    match error {
        HttpError::Io(_) | HttpError::Truncated | HttpError::Timeout(_) => {
            AttemptFailure::ServerFailed(error)
        }
        error => AttemptFailure::ServerInvalid(error),
    }
}
