//! Processing of one request, from the head to the end of the response.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use async_std::task;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, pin_mut};

use super::answer::{FailureReason, RunState, failure_response, should_keep_alive};
use super::claimed;
use super::context::EntryContext;
use super::exchange::{
    AttemptFailure, AttemptTarget, OpenResponse, RequestPayload, connect, exchange,
};
use super::hedge::HedgedRequest;
use super::permit::SlotPermit;
use super::plan::{RequestPlan, choose_request_id, forward_head, plan_request};
use super::relay::{RelayOutcome, relay_response};
use crate::credit::ServerKey;
use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, CheckoutError, HttpError, RequestBody, RequestHead,
    ServerConnection,
};

/// Maximum size in bytes of a body that is kept in memory so that another attempt can send it
/// again.
const MAX_RETRY_BODY_BYTES: u64 = 64 * 1024;

/// Outcome of a request.
#[derive(Debug)]
pub enum RequestEnd {
    /// A complete server response was sent to the caller.
    Complete,
    /// The entry responds with an error.
    Failed(FailureReason, Box<str>),
    /// The response was truncated; the caller's connection must be closed.
    Broken(HttpError),
    /// The caller disconnected.
    CallerGone,
}

/// Serves one request; returns whether the connection may be reused.
pub async fn serve_request(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: RequestHead,
) -> Result<bool, HttpError> {
    let started = Instant::now();
    let request_id = choose_request_id(context, &head);
    let mut body = RequestBody::new(&head);
    let keep_alive = should_keep_alive(&head, context.is_stopping());
    let plan = match plan_request(context, &head, caller.peer().ip(), started) {
        Ok(plan) => plan,
        Err((reason, message)) => {
            context.metrics.count_event(reason.code());
            let failure = (reason, message);
            return send_failure(caller, &head, &mut body, failure, &request_id, keep_alive).await;
        }
    };
    let Some(_open_guard) = context.share.try_open(&plan.service.team) else {
        context.metrics.record_request(
            &plan.labels,
            FailureReason::QueueFull.code(),
            started.elapsed(),
        );
        let failure = share_exceeded();
        // Closing the connection keeps a flood of one team from using up the connection limit.
        return send_failure(caller, &head, &mut body, failure, &request_id, false).await;
    };
    context.metrics.in_flight.get_or_create(&plan.labels).inc();
    let end = serve_before_exit(context, caller, &head, &mut body, &plan, &request_id, keep_alive);
    let end = end.await;
    context.metrics.in_flight.get_or_create(&plan.labels).dec();
    let outcome = match &end {
        RequestEnd::Complete => "complete",
        RequestEnd::Failed(reason, _) => reason.code(),
        RequestEnd::Broken(_) => "broken",
        RequestEnd::CallerGone => "caller_gone",
    };
    context.metrics.record_request(&plan.labels, outcome, started.elapsed());
    log::debug!(
        request_id:%, team:% = plan.service.team, service:% = plan.service.service, outcome,
        micros = started.elapsed().as_micros() as u64; "request finished"
    );
    match end {
        RequestEnd::Complete => Ok(keep_alive && body.is_complete()),
        RequestEnd::Failed(reason, message) => {
            log::info!(request_id:%, code = reason.code(), message:%; "request failed");
            send_failure(caller, &head, &mut body, (reason, message), &request_id, keep_alive).await
        }
        RequestEnd::Broken(error) => {
            log::warn!(request_id:%, error:%; "response truncated");
            Ok(false)
        }
        RequestEnd::CallerGone => Ok(false),
    }
}

/// Serves a planned request. When the process exits before the outcome is known, the caller is told so.
async fn serve_before_exit(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
    plan: &RequestPlan,
    request_id: &str,
    keep_alive: bool,
) -> RequestEnd {
    {
        let served = async {
            if plan.idempotent {
                serve_idempotent(context, caller, head, body, plan, request_id, keep_alive).await
            } else {
                claimed::serve_claimed(context, caller, head, body, plan, request_id, keep_alive)
                    .await
            }
        };
        let ending = context.wait_until_ending();
        pin_mut!(served, ending);
        // Polls `served` first: a request that was not sent to a server ends as not run.
        if let Either::Left((end, _)) = select(served, ending).await {
            return end;
        }
    }
    if caller.has_response_started() {
        return RequestEnd::Broken(HttpError::Timeout("relaying a response before the exit"));
    }
    let text = "the entry exits before the outcome is known";
    RequestEnd::Failed(FailureReason::Interrupted, text.into())
}

/// Outcome of a request that no server has received when the process exits.
fn not_started() -> RequestEnd {
    RequestEnd::Failed(
        FailureReason::Stopping,
        "the entry exits; the request was not started".into(),
    )
}

/// Failure for a team that has used up its share of the process limits.
pub fn share_exceeded() -> (FailureReason, Box<str>) {
    (FailureReason::QueueFull, "the team has used up its share of this entry".into())
}

/// Sends an error response; the connection is closed if part of the request body is unread.
async fn send_failure(
    caller: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
    (reason, message): (FailureReason, Box<str>),
    request_id: &str,
    keep_alive: bool,
) -> Result<bool, HttpError> {
    let keep_alive = keep_alive && body.is_complete();
    let (mut response, content) = failure_response(reason, &message, request_id);
    if !keep_alive {
        let _ = response.headers.append("connection", b"close");
    }
    caller.respond(head, response, &content).await?;
    Ok(keep_alive)
}

/// Serves an idempotent request, which may run more than once.
async fn serve_idempotent(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
    plan: &RequestPlan,
    request_id: &str,
    keep_alive: bool,
) -> RequestEnd {
    // Without buffer space the body is streamed, and only an attempt that sent nothing can be
    // retried.
    let size = head.framing.declared_size().filter(|size| *size <= MAX_RETRY_BODY_BYTES);
    let buffer_guard = size.and_then(|size| context.share.try_buffer(&plan.service.team, size));
    let retry_body = match &buffer_guard {
        Some(_) => {
            match read_body_in_time(context, caller, body, MAX_RETRY_BODY_BYTES, plan.deadline)
                .await
            {
                Ok(content) => Some(content),
                Err(end) => return end,
            }
        }
        None => None,
    };
    let mut tried: Vec<ServerKey> = Vec::new();
    let mut last_failure = (FailureReason::NoServer, "no server may receive work".into());
    for attempt in 0..plan.attempts {
        if attempt > 0 {
            let Some(wait) = plan.runtime.decide_retry(&tried, plan.deadline, plan.has_outer_retry)
            else {
                break;
            };
            context.metrics.retries.get_or_create(&plan.labels).inc();
            task::sleep(wait).await;
        }
        let permit = match acquire_slot(context, caller, plan, &tried).await {
            Ok(permit) => permit,
            Err(RequestEnd::Failed(reason, message)) if attempt == 0 => {
                return RequestEnd::Failed(reason, message);
            }
            // The failure of the earlier attempt is more informative than the lack of a slot.
            Err(RequestEnd::Failed(..)) => break,
            Err(end) => return end,
        };
        tried.push(permit.server());
        let (permit, result) = match &retry_body {
            Some(content) => {
                let caller = &*caller;
                let request = HedgedRequest { context, caller, head, content, plan, request_id };
                request.run(permit, &mut tried).await
            }
            None => {
                let closed = caller.closed();
                let payload = RequestPayload::Streamed { caller: &mut *caller, body: &mut *body };
                let result =
                    attempt_once(context, head, payload, closed, plan, request_id, &permit).await;
                (permit, result)
            }
        };
        let has_retry_body = retry_body.is_some();
        let mut response = match result {
            Ok(response) => response,
            Err(AttemptFailure::CallerFailed(error)) => return caller_failure(error),
            Err(failure) => {
                permit.finish_failed(&failure);
                let may_retry = has_retry_body || matches!(failure, AttemptFailure::NotSent(_));
                last_failure = prefer_unknown(last_failure, describe_failure(&failure));
                if may_retry && !matches!(failure, AttemptFailure::DeadlineExceeded) {
                    continue;
                }
                break;
            }
        };
        let status = response.head.status;
        if plan.settings().retry.not_run_statuses.contains(&status)
            && has_retry_body
            && (attempt + 1 < plan.attempts || last_failure.0.run_state() == RunState::Unknown)
        {
            permit.finish(true);
            let refused_text = "servers refused the request".into();
            last_failure =
                prefer_unknown(last_failure, (FailureReason::ServersUnavailable, refused_text));
            continue;
        }
        // An unread rest of the request body would be parsed as the next request.
        let keep_alive = keep_alive && body.is_complete();
        let relayed =
            relay_response(caller, head, &mut response, request_id, keep_alive, plan.deadline)
                .await;
        let server_failed =
            matches!(relayed, RelayOutcome::BrokenBeforeHead(_) | RelayOutcome::ServerBroken(_));
        permit.finish(server_failed || status >= 500);
        match relayed {
            RelayOutcome::Complete => {
                release_connection(response);
                return RequestEnd::Complete;
            }
            RelayOutcome::BrokenBeforeHead(error) => {
                last_failure = (FailureReason::ServerFailed, error.to_string().into());
                if !has_retry_body {
                    break;
                }
            }
            RelayOutcome::ServerBroken(error) => return RequestEnd::Broken(error),
            RelayOutcome::Unsendable => {
                let text = "the response has no length and is too large for HTTP/1.0";
                return RequestEnd::Failed(FailureReason::ServerInvalid, text.into());
            }
            RelayOutcome::CallerGone => return RequestEnd::CallerGone,
        }
    }
    RequestEnd::Failed(last_failure.0, last_failure.1)
}

/// Chooses the failure to report after two attempts. If the earlier attempt may have run, its
/// failure is kept, because "not run" would be wrong even though the later attempt did not run.
fn prefer_unknown(
    earlier: (FailureReason, Box<str>),
    later: (FailureReason, Box<str>),
) -> (FailureReason, Box<str>) {
    let is_unknown = earlier.0.run_state() == RunState::Unknown;
    if is_unknown && later.0.run_state() == RunState::NotRun { earlier } else { later }
}

/// Returns a connection to its pool if it may carry another request.
pub fn release_connection(response: OpenResponse) {
    if response.reusable {
        response.connection.release(&response.body);
    }
}

/// Reads a request body of at most `limit` bytes into memory. A body that has not arrived at the
/// deadline is refused, so that a slow caller cannot hold up a planned stop.
pub async fn read_body_in_time(
    context: &EntryContext,
    caller: &mut CallerConnection,
    body: &mut RequestBody,
    limit: u64,
    deadline: Instant,
) -> Result<Vec<u8>, RequestEnd> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let content = caller.read_whole_body(body, limit);
    let ending = context.wait_until_ending();
    pin_mut!(content, ending);
    match with_timeout(time_left, select(content, ending)).await {
        Ok(Either::Left((Ok(content), _))) => Ok(content),
        Ok(Either::Left((Err(error), _))) => Err(caller_failure(error)),
        Ok(Either::Right(_)) => Err(not_started()),
        Err(_) => {
            let text = "the body did not arrive before the deadline";
            Err(RequestEnd::Failed(FailureReason::DeadlineBeforeStart, text.into()))
        }
    }
}

/// Maps an error while reading the request body to the outcome of the request.
fn caller_failure(error: HttpError) -> RequestEnd {
    match error {
        HttpError::BodyTooLarge(_) => {
            RequestEnd::Failed(FailureReason::BodyTooLarge, error.to_string().into())
        }
        HttpError::InvalidFraming(_) | HttpError::Timeout(_) => {
            RequestEnd::Failed(FailureReason::Malformed, error.to_string().into())
        }
        _ => RequestEnd::CallerGone,
    }
}

/// Waits for a slot until the deadline or until the caller disconnects.
pub async fn acquire_slot(
    context: &Arc<EntryContext>,
    caller: &CallerConnection,
    plan: &RequestPlan,
    tried: &[ServerKey],
) -> Result<SlotPermit, RequestEnd> {
    let queued = context.metrics.queued.get_or_create(&plan.labels).clone();
    queued.inc();
    let slot = plan.runtime.acquire(plan.class, tried, plan.deadline);
    let closed = caller.closed();
    let ending = context.wait_until_ending();
    pin_mut!(slot, closed, ending);
    // Only requests that have to wait count against the team's share of the queue.
    let ready_slot = slot.as_mut().now_or_never();
    let queue_guard = match &ready_slot {
        Some(_) => None,
        None => match context.share.try_queue(&plan.service.team) {
            Some(queue_guard) => Some(queue_guard),
            None => {
                queued.dec();
                let (reason, message) = share_exceeded();
                return Err(RequestEnd::Failed(reason, message));
            }
        },
    };
    let slot = async {
        match ready_slot {
            Some(result) => result,
            None => slot.await,
        }
    };
    pin_mut!(slot);
    let gone = select(closed, ending);
    let result = match select(slot, gone).await {
        // The settings lease may have expired while the request waited.
        Either::Left((Ok(_), _)) if !context.may_serve(Instant::now()) => {
            let text = "the settings lease of this entry has run out";
            Err(RequestEnd::Failed(FailureReason::SettingsStale, text.into()))
        }
        Either::Left((Ok(permit), _)) => Ok(permit),
        Either::Left((Err(reason), _)) => {
            Err(RequestEnd::Failed(reason, "the request was not started".into()))
        }
        Either::Right((Either::Left(_), _)) => Err(RequestEnd::CallerGone),
        Either::Right((Either::Right(_), _)) => Err(not_started()),
    };
    queued.dec();
    drop(queue_guard);
    result
}

/// Sends the request to the server of `permit`; aborts if the caller disconnects.
pub async fn attempt_once(
    context: &Arc<EntryContext>,
    head: &RequestHead,
    payload: RequestPayload<'_>,
    closed: impl Future<Output = ()>,
    plan: &RequestPlan,
    request_id: &str,
    permit: &SlotPermit,
) -> Result<OpenResponse, AttemptFailure> {
    let attempt = async {
        let connection = connect_server(context, plan, permit).await?;
        let framing = match &payload {
            RequestPayload::Buffered([]) => BodyFraming::Empty,
            RequestPayload::Buffered(content) => BodyFraming::Length(content.len() as u64),
            RequestPayload::Streamed { body, .. } => body.framing(),
        };
        let forward = forward_head(head, framing, plan.peer, request_id, plan.deadline);
        exchange(connection, &forward, payload, plan.deadline).await
    };
    pin_mut!(attempt, closed);
    match select(attempt, closed).await {
        Either::Left((result, _)) => result,
        Either::Right(_) => Err(AttemptFailure::CallerFailed(HttpError::Truncated)),
    }
}

/// Checks out a connection to the server of `permit`; no byte of the request is sent.
pub async fn connect_server(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    permit: &SlotPermit,
) -> Result<ServerConnection, AttemptFailure> {
    let Some((view, connection_limit)) = plan.runtime.server_target(permit.server()) else {
        return Err(AttemptFailure::NotSent(CheckoutError::ServerRemoved));
    };
    let target = AttemptTarget { address: view.address, connection_limit };
    connect(&context.pool, &target).await
}

/// Converts a failed attempt to the failure reported to the caller if no further attempt follows.
pub fn describe_failure(failure: &AttemptFailure) -> (FailureReason, Box<str>) {
    match failure {
        AttemptFailure::NotSent(error) => {
            (FailureReason::ServersUnavailable, error.to_string().into())
        }
        AttemptFailure::ServerFailed(error) => {
            (FailureReason::ServerFailed, error.to_string().into())
        }
        AttemptFailure::ServerInvalid(error) => {
            (FailureReason::ServerInvalid, error.to_string().into())
        }
        AttemptFailure::DeadlineExceeded => {
            (FailureReason::DeadlineExceeded, "no response before the deadline".into())
        }
        AttemptFailure::CallerFailed(error) => (FailureReason::Malformed, error.to_string().into()),
    }
}
