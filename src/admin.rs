//! HTTP server of the operator port: `tide` routes requests that this crate's HTTP code has read.
//!
//! On sockets of its own, `tide` would parse requests with `async-h1`, which accepts truncated and
//! ambiguous ones. Here `tide` receives only complete, validated requests.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::future::{Either, select};
use tide::http::{Method, Request, Response, Url};

use crate::deadline::with_timeout;
use crate::http::{
    CallerConnection, HttpError, HttpLimits, HttpVersion, RequestBody, RequestHead, ResponseHead,
};

/// Maximum size in bytes of a request body on the operator port.
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// Maximum number of open operator connections.
const MAX_OPEN_CONNECTIONS: usize = 256;

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Interval at which a stopping process checks whether all connections are closed.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Server of the operator port. Clones share the same state.
#[derive(Clone)]
pub struct AdminServer {
    shared: Arc<SharedServer>,
}

struct SharedServer {
    open_connections: AtomicUsize,
    open_requests: AtomicUsize,
    /// Closed when the process stops.
    stopping: (Sender<()>, Receiver<()>),
}

impl Default for AdminServer {
    fn default() -> Self {
        let shared = SharedServer {
            open_connections: AtomicUsize::new(0),
            open_requests: AtomicUsize::new(0),
            stopping: bounded(1),
        };
        Self { shared: Arc::new(shared) }
    }
}

impl AdminServer {
    /// Serves `app` on `listener` until the process stops.
    pub fn serve<S>(&self, listener: TcpListener, mut app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        app.with(tide::utils::After(set_error_body));
        let server = self.clone();
        task::spawn(async move {
            loop {
                let stream = match select(pin!(server.stopping()), pin!(listener.accept())).await {
                    Either::Left(_) => return,
                    Either::Right((Ok((stream, _)), _)) => stream,
                    Either::Right((Err(_), _)) => {
                        // Usually the process has no file descriptors left; the delay avoids a
                        // busy loop.
                        task::sleep(ACCEPT_RETRY_DELAY).await;
                        continue;
                    }
                };
                let connection_guard = ConnectionGuard::new(&server);
                if server.open_connections() > MAX_OPEN_CONNECTIONS {
                    continue;
                }
                let (app, server) = (app.clone(), server.clone());
                task::spawn(async move {
                    if let Err(error) = serve_connection(stream, app, &server).await {
                        log::debug!(code = error.code(), error:%; "operator connection failed");
                    }
                    drop(connection_guard);
                });
            }
        });
    }

    /// Waits until the process stops. Handlers that wait for an event answer then.
    pub async fn stopping(&self) {
        let _ = self.shared.stopping.1.recv().await;
    }

    /// Whether the process stops.
    pub fn is_stopping(&self) -> bool {
        self.shared.stopping.0.is_closed()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.shared.open_connections.load(Ordering::Relaxed)
    }

    /// Number of requests from their first byte to the end of the response.
    pub fn open_requests(&self) -> usize {
        self.shared.open_requests.load(Ordering::Relaxed)
    }

    /// Closes the listener and idle connections, and lets waiting handlers answer.
    pub fn stop(&self) {
        self.shared.stopping.0.close();
    }

    /// Waits until all connections are closed, at most for `limit`.
    pub async fn finish(&self, limit: Duration) {
        let connections_closed = async {
            while self.open_connections() > 0 {
                task::sleep(CLOSE_CHECK_INTERVAL).await;
            }
        };
        let _ = with_timeout(limit, connections_closed).await;
    }
}

/// Guard that counts one open connection.
struct ConnectionGuard(AdminServer);

impl ConnectionGuard {
    fn new(server: &AdminServer) -> Self {
        server.shared.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(server.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.shared.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts one open request.
struct RequestGuard<'a>(&'a AdminServer);

impl<'a> RequestGuard<'a> {
    fn new(server: &'a AdminServer) -> Self {
        server.shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(server)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.shared.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve_connection<S>(
    stream: TcpStream,
    app: tide::Server<S>,
    server: &AdminServer,
) -> Result<(), HttpError>
where
    S: Clone + Send + Sync + 'static,
{
    let mut connection = CallerConnection::new(stream, HttpLimits::default())?;
    loop {
        if !wait_for_input(&mut connection, server).await? {
            connection.close_lingering().await;
            return Ok(());
        }
        let _request_guard = RequestGuard::new(server);
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
        let keep_alive = head.keep_alive() && !server.is_stopping();
        send_response(&mut connection, &head, response, keep_alive).await?;
        if !keep_alive {
            return Ok(());
        }
    }
}

/// Waits for the first bytes of a request; `false` when the peer closed the connection or the process
/// stops.
async fn wait_for_input(
    connection: &mut CallerConnection,
    server: &AdminServer,
) -> Result<bool, HttpError> {
    // Input is polled first, so that a request that has arrived is answered.
    match select(pin!(connection.wait_for_input()), pin!(server.stopping())).await {
        Either::Left((arrival, _)) => arrival,
        Either::Right(_) => Ok(false),
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
