//! HTTP client that sends one request on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use super::stream::with_http_timeout;
use super::{BodyFraming, ConnectionPool, HttpError, HttpLimits, HttpVersion};
use super::{HeaderList, RequestHead, ResponseHead, pool::CheckoutError};

/// Maximum size of a response body in bytes; a larger response is an error.
const MAX_RESPONSE_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Complete response with its body in memory.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the whole response within `timeout`.
pub async fn send_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    mut headers: HeaderList,
    body: &[u8],
    timeout: Duration,
) -> Result<ClientResponse, HttpError> {
    let host = address.to_string();
    let body_length = body.len().to_string();
    let _ = headers.set("host", host.as_bytes());
    let _ = headers.set("connection", b"close");
    let _ = headers.set("content-length", body_length.as_bytes());
    let head = RequestHead {
        method: method.into(),
        target: target.into(),
        host: host.into(),
        version: HttpVersion::Http11,
        headers,
        framing: BodyFraming::Length(body.len() as u64),
    };
    let mut request = Vec::new();
    head.write_to(&mut request);
    request.extend_from_slice(body);
    with_http_timeout(
        timeout,
        "waiting for the response",
        exchange(address, method, &request, timeout),
    )
    .await?
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    request: &[u8],
    timeout: Duration,
) -> Result<ClientResponse, HttpError> {
    let pool = ConnectionPool::new(HttpLimits::default());
    let mut connection = match pool.checkout(address, 1, timeout).await {
        Ok(connection) => connection,
        Err(CheckoutError::Connect(error)) => return Err(error),
        Err(CheckoutError::LimitReached | CheckoutError::ServerRemoved) => {
            return Err(HttpError::Timeout("connecting"));
        }
    };
    connection.write(request).await?;
    let (head, mut body_reader) = connection.read_head(method).await?;
    let mut body = Vec::new();
    while let Some(data) = connection.read_body(&mut body_reader).await? {
        if body.len() + data.len() > MAX_RESPONSE_BODY_BYTES {
            return Err(HttpError::BodyTooLarge(MAX_RESPONSE_BODY_BYTES as u64));
        }
        body.extend_from_slice(&data);
    }
    Ok(ClientResponse { head, body })
}
