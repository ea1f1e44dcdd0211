//! HTTP server of the operator port: `tide` routes requests that this crate's HTTP code has read.
//!
//! On sockets of its own, `tide` would parse requests with `async-h1`, which accepts truncated and
//! ambiguous ones. Here `tide` receives only complete, validated requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::StreamExt;
use tide::http::{Method, Request, Response, Url};

use crate::http::{
    CallerConnection, HttpError, HttpLimits, HttpVersion, RequestBody, RequestHead, ResponseHead,
};

/// Maximum size in bytes of a request body on the operator port.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Maximum number of open operator connections.
const MAX_OPEN_CONNECTIONS: usize = 256;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves `app` on `listener` until the process exits.
pub fn serve<S>(listener: TcpListener, mut app: tide::Server<S>)
where
    S: Clone + Send + Sync + 'static,
{
    app.with(tide::utils::After(set_error_body));
    task::spawn(async move {
        let open_count = Arc::new(AtomicUsize::new(0));
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                // Usually the process has no file descriptors left; the delay avoids a busy loop.
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if open_count.fetch_add(1, Ordering::Relaxed) >= MAX_OPEN_CONNECTIONS {
                open_count.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let app = app.clone();
            let open_count = Arc::clone(&open_count);
            task::spawn(async move {
                if let Err(error) = serve_connection(stream, app).await {
                    log::debug!(code = error.code(), error:%; "operator connection failed");
                }
                open_count.fetch_sub(1, Ordering::Relaxed);
            });
        }
    });
}

async fn serve_connection<S>(stream: TcpStream, app: tide::Server<S>) -> Result<(), HttpError>
where
    S: Clone + Send + Sync + 'static,
{
    let mut connection = CallerConnection::new(stream, HttpLimits::default())?;
    loop {
        let head = match connection.next_head().await {
            Ok(Some(head)) => head,
            Ok(None) => return Ok(()),
            Err(error) => return send_refusal(connection, None, error).await,
        };
        let mut body = RequestBody::new(&head);
        let content = match connection.read_whole_body(&mut body, MAX_BODY_BYTES).await {
            Ok(content) => content,
            Err(error) => return send_refusal(connection, Some(head), error).await,
        };
        let response = match to_tide_request(&head, content) {
            Some(request) => match app.respond(request).await {
                Ok(response) => response,
                Err(error) => Response::new(error.status()),
            },
            None => Response::new(400),
        };
        let keep_alive = head.keep_alive();
        send_response(&mut connection, &head, response, keep_alive).await?;
        if !keep_alive {
            return Ok(());
        }
    }
}

/// Puts the error message of a failed route into the body, which `tide` leaves empty.
async fn set_error_body(mut response: tide::Response) -> tide::Result {
    if let Some(message) = response.error().map(ToString::to_string) {
        response.set_body(message);
    }
    Ok(response)
}

async fn send_refusal(
    connection: CallerConnection,
    head: Option<RequestHead>,
    error: HttpError,
) -> Result<(), HttpError> {
    let Some(status) = error.response_status() else {
        return Err(error);
    };
    let text = if head.is_some_and(|head| &*head.method == "HEAD") {
        String::new()
    } else {
        format!("{error}\n")
    };
    connection.refuse(ResponseHead::new(status), text.as_bytes()).await?;
    Err(error)
}

/// Converts a validated request for `tide`; `None` if `http-types` cannot represent it.
///
/// Rejects header values that are not ASCII, because `http-types` panics on them.
fn to_tide_request(head: &RequestHead, content: Vec<u8>) -> Option<Request> {
    let method: Method = head.method.parse().ok()?;
    if !head.target.starts_with('/') {
        return None;
    }
    let url = Url::parse(&format!("http://operator{}", head.target)).ok()?;
    let mut request = Request::new(method, url);
    for (name, value) in head.headers.iter() {
        let text = std::str::from_utf8(value).ok().filter(|text| text.is_ascii())?;
        if !name.is_ascii() {
            return None;
        }
        request.append_header(name, text);
    }
    request.set_body(content);
    Some(request)
}

async fn send_response(
    connection: &mut CallerConnection,
    request: &RequestHead,
    mut response: Response,
    keep_alive: bool,
) -> Result<(), HttpError> {
    let content = response.body_bytes().await;
    if content.is_err() {
        // The body source failed: an empty body with the original status would look complete.
        response = Response::new(500);
    }
    let mut head = ResponseHead::new(response.status().into());
    for (name, values) in response.iter() {
        if matches!(name.as_str(), "content-length" | "transfer-encoding" | "connection") {
            continue;
        }
        for value in values.iter() {
            let _ = head.headers.append(name.as_str(), value.as_str().as_bytes());
        }
    }
    if !keep_alive {
        let _ = head.headers.append("connection", b"close");
    } else if request.version == HttpVersion::Http10 {
        let _ = head.headers.append("connection", b"keep-alive");
    }
    connection.respond(request, head, &content.unwrap_or_default()).await
}

/// Builds a response with `value` as its JSON body.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> tide::Response {
    let mut response = tide::Response::new(status);
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    response.set_body(text);
    response.insert_header("content-type", "application/json");
    response
}
