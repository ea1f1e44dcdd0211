//! Caller connections: listener, health check, announcements and requests.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_util::future::{Either, select};
use futures_util::{FutureExt, pin_mut};

use super::announce::receive_announcement;
use super::answer::{FailureReason, failure_response, malformed_response};
use super::context::EntryContext;
use super::page;
use super::request::serve_request;
use crate::http::{CallerConnection, HttpError, RequestHead};
use crate::listen::{ACCEPT_BACKLOG, HANDSHAKE_TIME, stop_handshakes};

/// Path of the health check for the load balancer.
pub const HEALTH_PATH: &str = "/.curranthollow/health";

/// Path at which servers announce themselves.
pub const ANNOUNCE_PATH: &str = "/.curranthollow/announce";

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Time for which a finishing process waits for the next request of a connection. It arrives a round
/// trip after the connect, or after a response that kept the connection open.
const NEXT_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Accepts caller connections until the process finishes; the returned task ends when the listener
/// is closed.
pub fn listen(context: Arc<EntryContext>, listener: std::net::TcpListener) -> JoinHandle<()> {
    task::spawn(async move {
        let socket = listener.try_clone();
        let listener = TcpListener::from(listener);
        while let Some(accepted) = accept_until_finishing(&context, &listener).await {
            let Ok(stream) = accepted else {
                // Typically the process is out of file descriptors; a short delay avoids a busy
                // loop.
                task::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            spawn_connection(&context, stream);
        }
        // Closing the listener resets the connections in its queue, whose callers may have sent a
        // request already. Without new handshakes none is added after the last accept.
        if let Err(error) = socket.and_then(|socket| stop_handshakes(&socket)) {
            log::warn!(error:%; "new handshakes cannot be stopped");
        }
        task::sleep(HANDSHAKE_TIME).await;
        for _ in 0..ACCEPT_BACKLOG {
            let Some(Ok((stream, _))) = listener.accept().now_or_never() else {
                return;
            };
            spawn_connection(&context, stream);
        }
    })
}

/// Accepts a connection; `None` when the process finishes.
async fn accept_until_finishing(
    context: &EntryContext,
    listener: &TcpListener,
) -> Option<io::Result<TcpStream>> {
    let accepted = listener.accept();
    let finishing = context.wait_until_finishing();
    pin_mut!(accepted, finishing);
    // Polls `finishing` first, because there may always be another connection to accept.
    match select(finishing, accepted).await {
        Either::Left(_) => None,
        Either::Right((accepted, _)) => Some(accepted.map(|(stream, _)| stream)),
    }
}

fn spawn_connection(context: &Arc<EntryContext>, stream: TcpStream) {
    let connection_guard = context.count_connection();
    if context.open_connections() > context.max_caller_connections {
        context.metrics.count_event("connection_limit");
        return;
    }
    let context = Arc::clone(context);
    task::spawn(async move {
        serve_connection(&context, stream).await;
        drop(connection_guard);
    });
}

async fn serve_connection(context: &Arc<EntryContext>, stream: TcpStream) {
    let mut connection = match CallerConnection::new(stream, context.limits.clone()) {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!(error:%; "caller connection failed");
            return;
        }
    };
    loop {
        match wait_for_input(context, &mut connection).await {
            Ok(true) => (),
            Ok(false) => return connection.close_lingering().await,
            Err(error) => return refuse_request(context, connection, &error).await,
        }
        // A request counts as open from its first byte, so a planned stop does not cut it off.
        let open_guard = context.count_open_request();
        let partial_guard = context.count_partial_request();
        let head = match read_head(context, &mut connection).await {
            Some(Ok(Some(head))) => head,
            Some(Ok(None)) => return,
            Some(Err(error)) => return refuse_request(context, connection, &error).await,
            None => return refuse_incomplete(context, connection).await,
        };
        drop(partial_guard);
        let result = dispatch(context, &mut connection, head).await;
        drop(open_guard);
        match result {
            Ok(true) => (),
            Ok(false) => return connection.close_lingering().await,
            Err(error) => {
                log::debug!(code = error.code(), error:%; "caller connection failed");
                return;
            }
        }
    }
}

/// Waits for the first bytes of the next request; returns `false` if the caller closed the connection,
/// or if it stays idle while the process finishes.
async fn wait_for_input(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
) -> Result<bool, HttpError> {
    if connection.has_input() {
        return Ok(true);
    }
    let finishing = async {
        context.wait_until_finishing().await;
        task::sleep(NEXT_REQUEST_WAIT).await;
    };
    let arrival = connection.wait_for_input();
    pin_mut!(arrival, finishing);
    match select(arrival, finishing).await {
        Either::Left((arrival, _)) => arrival,
        Either::Right(_) => Ok(false),
    }
}

/// Reads a head; `None` if it is incomplete when the process exits.
async fn read_head(
    context: &EntryContext,
    connection: &mut CallerConnection,
) -> Option<Result<Option<RequestHead>, HttpError>> {
    let head = connection.next_head();
    let ending = context.wait_until_ending();
    pin_mut!(head, ending);
    match select(head, ending).await {
        Either::Left((head, _)) => Some(head),
        Either::Right(_) => None,
    }
}

/// Refuses a request whose head is incomplete when the process exits.
async fn refuse_incomplete(context: &Arc<EntryContext>, connection: CallerConnection) {
    let request_id = context.next_request_id();
    let text = "the entry exits; the request was incomplete";
    let (head, content) = failure_response(FailureReason::Stopping, text, &request_id);
    log::info!(request_id:%, code = FailureReason::Stopping.code(); "request refused");
    // The caller may have closed the connection already.
    let _ = connection.refuse(head, &content).await;
}

async fn refuse_request(
    context: &Arc<EntryContext>,
    connection: CallerConnection,
    error: &HttpError,
) {
    context.metrics.count_event(error.code());
    let request_id = context.next_request_id();
    log::info!(request_id:%, peer:% = connection.peer(), code = error.code(), error:%; "request refused");
    let Some((head, content)) = malformed_response(error, &request_id) else {
        return;
    };
    // The caller may have closed the connection already.
    let _ = connection.refuse(head, &content).await;
}

async fn dispatch(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
    head: RequestHead,
) -> Result<bool, HttpError> {
    match head.path() {
        HEALTH_PATH => answer_health(context, connection, &head).await,
        ANNOUNCE_PATH => receive_announcement(context, connection, &head).await,
        _ => {
            let _request = context.count_server_request();
            serve_request(context, connection, head).await
        }
    }
}

async fn answer_health(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
    head: &RequestHead,
) -> Result<bool, HttpError> {
    if page::read_body(connection, head, 0).await?.is_none() {
        return Ok(false);
    }
    let (status, text) = match context.is_healthy(Instant::now()) {
        true => (200, "ready\n"),
        false => (503, "not ready\n"),
    };
    page::send_text(context, connection, head, status, text).await
}
