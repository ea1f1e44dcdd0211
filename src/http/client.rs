//! One-shot HTTP client for the operator's commands and for announcements.

use std::net::SocketAddr;
use std::time::Duration;

use super::stream::limited;
use super::{BodyFraming, ConnectionPool, HttpError, HttpLimits, HttpVersion};
use super::{HeaderList, RequestHead, ResponseHead, pool::CheckoutError};

/// Largest response body in bytes that the client holds.
const RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Complete response.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// Status line and headers.
    pub head: ResponseHead,
    /// Whole body.
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the whole response within `limit`.
pub async fn send_request(
    address: SocketAddr,
    method: &str,
    target: &str,
    mut headers: HeaderList,
    body: &[u8],
    limit: Duration,
) -> Result<ClientResponse, HttpError> {
    let host = address.to_string();
    let length = body.len().to_string();
    let _ = headers.set("host", host.as_bytes());
    let _ = headers.set("connection", b"close");
    let _ = headers.set("content-length", length.as_bytes());
    let head = RequestHead {
        method: method.into(),
        target: target.into(),
        host: host.into(),
        version: HttpVersion::Http11,
        headers,
        framing: BodyFraming::Length(body.len() as u64),
    };
    let mut output = Vec::new();
    head.write_to(&mut output);
    output.extend_from_slice(body);
    limited(limit, "waiting for the response", exchange(address, method, &output, limit)).await?
}

async fn exchange(
    address: SocketAddr,
    method: &str,
    request: &[u8],
    limit: Duration,
) -> Result<ClientResponse, HttpError> {
    let pool = ConnectionPool::new(HttpLimits::default());
    let mut connection = match pool.checkout(address, 1, limit).await {
        Ok(connection) => connection,
        Err(CheckoutError::Connect(error)) => return Err(error),
        Err(CheckoutError::LimitReached | CheckoutError::ServerGone) => {
            return Err(HttpError::Timeout("connecting"));
        }
    };
    connection.write(request).await?;
    let (head, mut reader) = connection.read_head(method).await?;
    let mut body = Vec::new();
    while let Some(data) = connection.read_body(&mut reader).await? {
        if body.len() + data.len() > RESPONSE_BYTES {
            return Err(HttpError::BodyTooLarge(RESPONSE_BYTES as u64));
        }
        body.extend_from_slice(&data);
    }
    Ok(ClientResponse { head, body })
}
