//! Plain-text endpoints that an entry serves itself on the traffic port.

use std::sync::Arc;

use super::answer::should_keep_alive;
use super::context::EntryContext;
use crate::http::{CallerConnection, HttpError, RequestBody, RequestHead, ResponseHead};

/// Reads a request body of at most `limit` bytes.
///
/// If the body is too large or malformed, sends the error response and returns `None`; the
/// connection must then be closed.
pub async fn read_body(
    connection: &mut CallerConnection,
    head: &RequestHead,
    limit: u64,
) -> Result<Option<Vec<u8>>, HttpError> {
    let mut body = RequestBody::new(head);
    match connection.read_whole_body(&mut body, limit).await {
        Ok(content) => Ok(Some(content)),
        Err(error) => {
            let Some(status) = error.response_status() else {
                return Err(error);
            };
            send_page(connection, head, status, &format!("{error}\n"), false).await?;
            Ok(None)
        }
    }
}

/// Sends a plain-text response; returns whether the connection stays open.
pub async fn send_text(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
    head: &RequestHead,
    status: u16,
    text: &str,
) -> Result<bool, HttpError> {
    let keep_alive = should_keep_alive(head, context.is_stopping());
    send_page(connection, head, status, text, keep_alive).await?;
    Ok(keep_alive)
}

async fn send_page(
    connection: &mut CallerConnection,
    head: &RequestHead,
    status: u16,
    text: &str,
    keep_alive: bool,
) -> Result<(), HttpError> {
    let mut response = ResponseHead::new(status);
    let _ = response.headers.append("content-type", b"text/plain");
    if !keep_alive {
        let _ = response.headers.append("connection", b"close");
    }
    connection.respond(head, response, text.as_bytes()).await
}
