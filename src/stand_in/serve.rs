//! Request handling of a stand-in server.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures_util::future::{Either, select};
use sha2::{Digest, Sha256};

use super::{
    AnnouncedState, BodyPattern, REFUSED_HEADER, SharedServer, SlotGuard, StandInMode, hex_text,
};
use crate::entry::EXCHANGE_HEADER;
use crate::http::{
    BodyFraming, CallerConnection, HttpError, HttpLimits, RequestBody, RequestHead, ResponseHead,
};

/// Maximum number of bytes of a response body per write.
const MAX_WRITE_BYTES: u64 = 32 * 1024;

/// Interval at which a stalled request checks whether the mode has changed.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Delay after a failed accept, which usually means that no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response to be written.
struct Reply {
    head: ResponseHead,
    content: ReplyContent,
}

enum ReplyContent {
    /// Content in memory.
    Buffered(Vec<u8>),
    /// Bytes of a [`BodyPattern`]; the slot is occupied until the last write begins.
    Pattern { size: u64, chunked: bool, slot: SlotGuard },
}

pub(super) async fn accept_connections(shared: Arc<SharedServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => admit_connection(&shared, stream),
            Err(_) => task::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves a connection, or closes it if the maximum number of connections is open.
fn admit_connection(shared: &Arc<SharedServer>, stream: TcpStream) {
    let connection_id = {
        let mut state = shared.lock();
        if state.stopped || state.connections.len() >= shared.options.connections {
            state.refused_connections += 1;
            return;
        }
        state.next_connection_id += 1;
        let connection_id = state.next_connection_id;
        state.connections.insert(connection_id, stream.clone());
        connection_id
    };
    let shared = Arc::clone(shared);
    task::spawn(async move {
        if let Err(error) = serve_connection(&shared, stream).await {
            log::debug!(code = error.code(), error:%; "stand-in connection failed");
        }
        shared.lock().connections.remove(&connection_id);
    });
}

async fn serve_connection(shared: &SharedServer, stream: TcpStream) -> Result<(), HttpError> {
    let mut connection = CallerConnection::new(stream, HttpLimits::default())?;
    while let Some(head) = connection.next_head().await? {
        let mut body = RequestBody::new(&head);
        let Some(mut reply) = run_request(shared, &mut connection, &head, &mut body).await? else {
            return Ok(());
        };
        let is_leaving = shared.lock().announced_state != AnnouncedState::Ready;
        let keep_alive = head.keep_alive() && body.is_complete() && !is_leaving;
        if !keep_alive {
            let _ = reply.head.headers.append("connection", b"close");
        }
        send_reply(&mut connection, &head, reply).await?;
        if !keep_alive {
            connection.close_lingering().await;
            return Ok(());
        }
    }
    Ok(())
}

/// Runs a request; `None` if the caller closes the connection before the run or during a stall.
async fn run_request(
    shared: &SharedServer,
    connection: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
) -> Result<Option<Reply>, HttpError> {
    if head.path() == "/stand-in/runs" {
        let content = serde_json::to_vec(&shared.lock().runs).expect("a run log can be encoded");
        return Ok(Some(Reply {
            head: ResponseHead::new(200),
            content: ReplyContent::Buffered(content),
        }));
    }
    if shared.lock().mode == StandInMode::Refuse {
        let mut reply = error_reply(503);
        let _ = reply.head.headers.append(REFUSED_HEADER, b"true");
        return Ok(Some(reply));
    }
    let Some(slot) = wait_for_slot(shared, connection).await else {
        return Ok(None);
    };
    let run_id = head.headers.get_str("x-run-id").unwrap_or_default();
    let key = head.headers.get_str("idempotency-key").unwrap_or_default();
    let (mode, service_time) = {
        let mut state = shared.lock();
        state.runs.record(run_id, key);
        let state = &mut *state;
        let service_time = shared.options.service_time.sample(&mut state.random);
        // The mode also slows down a service time that the request specifies.
        let service_time =
            query_number(head, "time_us").map_or(service_time, Duration::from_micros);
        (
            state.mode,
            service_time.mul_f64(slowdown_factor(state.mode, state.mode_started.elapsed())),
        )
    };
    let mut digest = Sha256::new();
    let mut length = 0;
    while let Some(data) = connection.read_body(body).await? {
        digest.update(&data);
        length += data.len() as u64;
    }
    if let StandInMode::FailFast { status } = mode {
        return Ok(Some(error_reply(status)));
    }
    if !service_time.is_zero() {
        task::sleep(service_time).await;
    }
    if !wait_while_stalled(shared, connection).await {
        return Ok(None);
    }
    let mut reply = echo_reply(shared, head, run_id, &hex_text(&digest.finalize()), length);
    if let Some(size) = query_number(head, "size") {
        let chunked = query_number(head, "chunked").is_some();
        reply.content = ReplyContent::Pattern { size, chunked, slot };
    }
    Ok(Some(reply))
}

/// Waits for a slot; `None` if the caller closes the connection first.
async fn wait_for_slot(shared: &SharedServer, connection: &CallerConnection) -> Option<SlotGuard> {
    match select(pin!(shared.slots.acquire()), pin!(connection.closed())).await {
        Either::Left((slot, _)) => Some(slot),
        Either::Right(_) => None,
    }
}

/// Waits until the server does not stall; `false` if the caller closes the connection first.
async fn wait_while_stalled(shared: &SharedServer, connection: &CallerConnection) -> bool {
    let mut closed = pin!(connection.closed());
    while shared.lock().mode == StandInMode::Stall {
        match select(pin!(task::sleep(STALL_POLL_INTERVAL)), &mut closed).await {
            Either::Left(_) => continue,
            Either::Right(_) => return false,
        }
    }
    true
}

/// Returns the factor by which the mode lengthens service times.
fn slowdown_factor(mode: StandInMode, mode_elapsed: Duration) -> f64 {
    match mode {
        StandInMode::Straggler { factor } => factor.max(0.0),
        StandInMode::ColdStart { factor, duration } if mode_elapsed < duration => {
            let remaining_share = 1.0 - mode_elapsed.as_secs_f64() / duration.as_secs_f64();
            1.0 + (factor.max(1.0) - 1.0) * remaining_share
        }
        _ => 1.0,
    }
}

fn error_reply(status: u16) -> Reply {
    let content = ReplyContent::Buffered(b"refused by the stand-in server\n".to_vec());
    Reply { head: ResponseHead::new(status), content }
}

/// Builds a response that lets the caller verify that its request arrived complete and that the
/// response belongs to it.
fn echo_reply(
    shared: &SharedServer,
    request: &RequestHead,
    run_id: &str,
    digest: &str,
    length: u64,
) -> Reply {
    let mut head = ResponseHead::new(200);
    let _ = head.headers.append("x-run-id", run_id.as_bytes());
    if let Some(id) = request.headers.get("x-request-id") {
        let _ = head.headers.append("x-request-id", id);
    }
    let _ = head.headers.append("x-body-sha256", digest.as_bytes());
    let _ = head.headers.append("x-body-length", length.to_string().as_bytes());
    let _ = head.headers.append("x-server", shared.options.server.as_bytes());
    let text = serde_json::json!({
        "run_id": run_id,
        "server": shared.options.server,
        "body_sha256": digest,
        "body_length": length,
    });
    let content = ReplyContent::Buffered(text.to_string().into_bytes());
    Reply { head, content }
}

/// Returns the value of the query parameter `name` as a number.
fn query_number(head: &RequestHead, name: &str) -> Option<u64> {
    let (_, query) = head.target.split_once('?')?;
    for part in query.split('&') {
        let Some((key, value)) = part.split_once('=') else {
            continue;
        };
        if key == name {
            return value.parse().ok();
        }
    }
    None
}

async fn send_reply(
    connection: &mut CallerConnection,
    request: &RequestHead,
    mut reply: Reply,
) -> Result<(), HttpError> {
    if let Some(id) = request.headers.get(EXCHANGE_HEADER) {
        let _ = reply.head.headers.append(EXCHANGE_HEADER, id);
    }
    let (size, chunked, slot) = match reply.content {
        ReplyContent::Buffered(content) => {
            return connection.respond(request, reply.head, &content).await;
        }
        ReplyContent::Pattern { size, chunked, slot } => (size, chunked, slot),
    };
    let mut slot = Some(slot);
    let framing = if chunked { BodyFraming::Chunked } else { BodyFraming::Length(size) };
    if chunked {
        let _ = reply.head.headers.append("transfer-encoding", b"chunked");
    } else {
        let _ = reply.head.headers.append("content-length", size.to_string().as_bytes());
    }
    let run_id = request.headers.get_str("x-run-id").unwrap_or_default();
    let mut output = Vec::new();
    reply.head.write_to(&mut output);
    connection.write(&output).await?;
    if &*request.method == "HEAD" {
        return Ok(());
    }
    let mut pattern = BodyPattern::new(run_id);
    let mut remaining = size;
    while remaining > 0 {
        let mut data = vec![0; remaining.min(MAX_WRITE_BYTES) as usize];
        pattern.fill(&mut data);
        if remaining <= MAX_WRITE_BYTES {
            // Freed before the response ends, because the caller may send its next request immediately.
            slot.take();
        }
        connection.write_body(framing, &data).await?;
        remaining -= data.len() as u64;
    }
    connection.end_body(framing).await
}
