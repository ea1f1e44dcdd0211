//! Small pages that an entry answers itself on the traffic port.

use std::sync::Arc;

use super::answer::keeps_connection;
use super::context::EntryContext;
use crate::http::{CallerConnection, HttpError, RequestBody, RequestHead, ResponseHead};

/// Reads the body of a request for a page, up to `limit` bytes.
///
/// A body that is too large or malformed is answered here; `None` means that the connection is to be
/// closed.
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
            send(connection, head, status, &format!("{error}\n"), false).await?;
            Ok(None)
        }
    }
}

/// Sends a page as plain text; returns whether the connection stays open.
pub async fn send_text(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
    head: &RequestHead,
    status: u16,
    text: &str,
) -> Result<bool, HttpError> {
    let keep_alive = keeps_connection(head, context.is_stopping());
    send(connection, head, status, text, keep_alive).await?;
    Ok(keep_alive)
}

async fn send(
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
