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

/// Header with an id that is unique to one exchange. A server that returns it shows to which request
/// a response belongs, and only its connections are used again.
pub const EXCHANGE_HEADER: &str = "x-exchange-id";

/// Maximum number of responses to earlier requests that are skipped on a reused connection.
const MAX_LATE_RESPONSES: usize = 2;

/// Maximum size in bytes of the body of a skipped response.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

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
    /// Whether the connection may carry another request once the body is read: the request was sent
    /// completely, and the server ties its responses to requests.
    pub reusable: bool,
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
    let exchange_id = format!("{:016x}", fastrand::u64(..));
    let mut head = head.clone();
    // Cannot fail: a hexadecimal number contains no control characters.
    let _ = head.headers.set(EXCHANGE_HEADER, exchange_id.as_bytes());
    let result = with_timeout(time_left, async {
        let mut exchange = OpenExchange { connection: &mut connection, head: &head, exchange_id };
        match payload {
            RequestPayload::Buffered(body) => exchange.send_buffered(body).await,
            RequestPayload::Streamed { caller, body } => exchange.send_streamed(caller, body).await,
        }
    })
    .await;
    match result {
        Ok(Ok((mut response, body, request_complete))) => {
            let is_attributed = response.headers.get(EXCHANGE_HEADER).is_some();
            response.headers.remove(EXCHANGE_HEADER);
            let reusable = request_complete && is_attributed;
            Ok(OpenResponse { connection, head: response, body, reusable })
        }
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(AttemptFailure::DeadlineExceeded),
    }
}

type ExchangeResult = Result<(ResponseHead, ResponseBody, bool), AttemptFailure>;

/// Request that is being sent, and its connection.
struct OpenExchange<'a> {
    connection: &'a mut ServerConnection,
    head: &'a RequestHead,
    exchange_id: String,
}

impl OpenExchange<'_> {
    async fn send_buffered(&mut self, body: &[u8]) -> ExchangeResult {
        let mut output = Vec::with_capacity(1024 + body.len());
        self.head.write_to(&mut output);
        output.extend_from_slice(body);
        if body.len() > MAX_BLIND_WRITE_BYTES {
            return self.send_large(&output).await;
        }
        if let Err(error) = self.connection.write(&output).await {
            // The server may have answered before it closed the connection, for example with an
            // error.
            return early_response(self.read_own_head(), error).await;
        }
        let (response, body) = self.read_own_head().await.map_err(classify_server_error)?;
        Ok((response, body, true))
    }

    /// Sends a request while reading the response, because the server may answer early.
    async fn send_large(&mut self, request: &[u8]) -> ExchangeResult {
        let writer = self.connection.writer();
        let stall = self.connection.stall_timeout();
        let upload = ServerConnection::write_all(&writer, request, stall);
        let download = self.read_own_head();
        pin_mut!(upload, download);
        match select(upload, download).await {
            Either::Left((Ok(()), download)) => {
                let (response, body) = download.await.map_err(classify_server_error)?;
                Ok((response, body, true))
            }
            Either::Left((Err(error), download)) => early_response(download, error).await,
            Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
            Either::Right((Err(error), _)) => Err(classify_server_error(error)),
        }
    }

    async fn send_streamed(
        &mut self,
        caller: &mut CallerConnection,
        body: &mut RequestBody,
    ) -> ExchangeResult {
        let mut output = Vec::with_capacity(1024);
        self.head.write_to(&mut output);
        self.connection.write(&output).await.map_err(AttemptFailure::ServerFailed)?;
        let writer = self.connection.writer();
        let upload = upload(&writer, caller, body);
        let download = self.read_own_head();
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
                early_response(download, error).await
            }
            Either::Right((Ok((response, body)), _)) => Ok((response, body, false)),
            Either::Right((Err(error), _)) => Err(classify_server_error(error)),
        }
    }

    /// Reads the head of the response to this request and skips late responses to earlier ones.
    async fn read_own_head(&mut self) -> Result<(ResponseHead, ResponseBody), HttpError> {
        for _ in 0..=MAX_LATE_RESPONSES {
            let (response, mut body) = self.connection.read_head(&self.head.method).await?;
            match response.headers.get(EXCHANGE_HEADER) {
                Some(id) if *id == *self.exchange_id.as_bytes() => return Ok((response, body)),
                // Only connections of servers that return the id are used again.
                None if !self.connection.is_reused() => return Ok((response, body)),
                _ => self.skip_body(&mut body).await?,
            }
        }
        Err(HttpError::UnexpectedBytes)
    }

    async fn skip_body(&mut self, body: &mut ResponseBody) -> Result<(), HttpError> {
        let mut skipped = 0;
        while let Some(data) = self.connection.read_body(body).await? {
            skipped += data.len();
            if skipped > MAX_SKIPPED_BYTES {
                return Err(HttpError::UnexpectedBytes);
            }
        }
        Ok(())
    }
}

/// Waits briefly for a response that the server may have sent before it stopped reading; `error` is the
/// failure otherwise.
async fn early_response(
    download: impl Future<Output = Result<(ResponseHead, ResponseBody), HttpError>>,
    error: HttpError,
) -> ExchangeResult {
    match with_timeout(EARLY_RESPONSE_TIMEOUT, download).await {
        Ok(Ok((response, body))) => Ok((response, body, false)),
        _ => Err(AttemptFailure::ServerFailed(error)),
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
