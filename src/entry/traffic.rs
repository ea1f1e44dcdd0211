//! Caller connections: listener, health check, announcements and requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::announce::receive_announcement;
use super::answer::malformed_response;
use super::context::EntryContext;
use super::page;
use super::request::serve_request;
use crate::http::{CallerConnection, HttpError, RequestHead};

/// Path of the health check for the load balancer.
pub const HEALTH_PATH: &str = "/.curranthollow/health";

/// Path at which servers announce themselves.
pub const ANNOUNCE_PATH: &str = "/.curranthollow/announce";

/// Accepts caller connections until the process no longer takes requests.
pub fn listen(context: Arc<EntryContext>, listener: TcpListener) {
    task::spawn(async move {
        let open_connections = Arc::new(AtomicUsize::new(0));
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            if context.is_finishing() {
                return;
            }
            let Ok(stream) = stream else {
                // Typically the process is out of file descriptors; a short delay avoids a busy
                // loop.
                task::sleep(Duration::from_millis(10)).await;
                continue;
            };
            if open_connections.fetch_add(1, Ordering::Relaxed) >= context.max_caller_connections {
                open_connections.fetch_sub(1, Ordering::Relaxed);
                context.metrics.count_event("connection_limit");
                continue;
            }
            let context = Arc::clone(&context);
            let open_connections = Arc::clone(&open_connections);
            task::spawn(async move {
                serve_connection(&context, stream).await;
                open_connections.fetch_sub(1, Ordering::Relaxed);
            });
        }
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
            Ok(false) => return,
            Err(error) => return refuse_request(context, connection, &error).await,
        }
        // A request counts as open from its first byte, so a planned stop does not cut it off.
        let open_guard = context.count_open_request();
        let head = match connection.next_head().await {
            Ok(Some(head)) => head,
            Ok(None) => return,
            Err(error) => return refuse_request(context, connection, &error).await,
        };
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
/// or if it is idle when the process finishes.
async fn wait_for_input(
    context: &Arc<EntryContext>,
    connection: &mut CallerConnection,
) -> Result<bool, HttpError> {
    if connection.has_input() {
        return Ok(true);
    }
    let finishing = context.wait_until_finishing();
    let arrival = connection.wait_for_input();
    pin_mut!(arrival, finishing);
    match select(arrival, finishing).await {
        Either::Left((arrival, _)) => arrival,
        Either::Right(_) => Ok(false),
    }
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
