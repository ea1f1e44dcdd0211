//! One request from head to response.

use std::future::Future;
use std::sync::Arc;
use std::time::Instant;

use async_std::task;
use futures_util::future::{Either, select};
use futures_util::{FutureExt, pin_mut};

use super::answer::{FailureReason, RunState, failure_response, keeps_connection};
use super::claimed;
use super::context::EntryContext;
use super::exchange::{
    AttemptFailure, AttemptTarget, OpenResponse, RequestPayload, connect, exchange,
};
use super::hedge::HedgedRequest;
use super::permit::SlotPermit;
use super::plan::{RequestPlan, forward_head, plan_request, request_id};
use super::relay::{RelayOutcome, relay_response};
use crate::credit::ServerKey;
use crate::deadline::with_timeout;
use crate::http::{
    BodyFraming, CallerConnection, CheckoutError, HttpError, RequestBody, RequestHead,
    ServerConnection,
};

/// Largest body in bytes that is held in memory so that another attempt can send it again.
const REPLAY_BYTES: u64 = 64 * 1024;

/// How a request ended.
#[derive(Debug)]
pub enum RequestEnd {
    /// The caller has a whole response of a server.
    Complete,
    /// The entry answers with an error.
    Failed(FailureReason, Box<str>),
    /// The response was cut short; the caller's connection must be closed.
    Broken(HttpError),
    /// The caller went away.
    CallerGone,
}

/// Serves one request; returns whether the connection may be used for another one.
pub async fn serve_request(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: RequestHead,
) -> Result<bool, HttpError> {
    let started = Instant::now();
    let request_id = request_id(context, &head);
    let mut body = RequestBody::new(&head);
    let keep_alive = keeps_connection(&head, context.is_stopping());
    let plan = match plan_request(context, &head, caller.peer().ip(), started) {
        Ok(plan) => plan,
        Err((reason, message)) => {
            context.metrics.count_event(reason.code());
            let failure = (reason, message);
            return fail(caller, &head, &mut body, failure, &request_id, keep_alive).await;
        }
    };
    let Some(_open) = context.share.open(&plan.service.team) else {
        context.metrics.record_request(
            &plan.labels,
            FailureReason::QueueFull.code(),
            started.elapsed(),
        );
        let failure = process_full();
        // The connection is closed, so that a flood leaves room for the connections of others.
        return fail(caller, &head, &mut body, failure, &request_id, false).await;
    };
    context.metrics.in_flight.get_or_create(&plan.labels).inc();
    let end = if plan.idempotent {
        serve_plain(context, caller, &head, &mut body, &plan, &request_id, keep_alive).await
    } else {
        claimed::serve_claimed(context, caller, &head, &mut body, &plan, &request_id, keep_alive)
            .await
    };
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
        micros = started.elapsed().as_micros() as u64; "request"
    );
    match end {
        RequestEnd::Complete => Ok(keep_alive && body.is_complete()),
        RequestEnd::Failed(reason, message) => {
            log::info!(request_id:%, code = reason.code(), message:%; "request failed");
            fail(caller, &head, &mut body, (reason, message), &request_id, keep_alive).await
        }
        RequestEnd::Broken(error) => {
            log::warn!(request_id:%, error:%; "response cut short");
            Ok(false)
        }
        RequestEnd::CallerGone => Ok(false),
    }
}

/// Refusal of a team that has used up its share of the process.
pub fn process_full() -> (FailureReason, Box<str>) {
    (FailureReason::QueueFull, "the team has used up its share of this entry".into())
}

/// Answers with an error; the connection is closed when part of the body is unread.
async fn fail(
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

/// Serves a request that may run more than once.
async fn serve_plain(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
    plan: &RequestPlan,
    request_id: &str,
    keep_alive: bool,
) -> RequestEnd {
    // Without memory the body is streamed, which rules out another attempt.
    let size = head.framing.declared_size().filter(|size| *size <= REPLAY_BYTES);
    let memory = size.and_then(|size| context.share.buffer(&plan.service.team, size));
    let replay = match &memory {
        Some(_) => match read_replay(caller, body, plan.deadline).await {
            Ok(content) => Some(content),
            Err(end) => return end,
        },
        None => None,
    };
    let mut tried: Vec<ServerKey> = Vec::new();
    let mut last = (FailureReason::NoServer, "no server may receive work".into());
    for attempt in 0..plan.attempts {
        if attempt > 0 {
            let Some(wait) = plan.runtime.decide_retry(&tried, plan.deadline, plan.has_outer_retry)
            else {
                break;
            };
            context.metrics.retries.get_or_create(&plan.labels).inc();
            task::sleep(wait).await;
        }
        let permit = match acquire(context, caller, plan, &tried).await {
            Ok(permit) => permit,
            Err(RequestEnd::Failed(reason, message)) if attempt == 0 => {
                return RequestEnd::Failed(reason, message);
            }
            // The earlier attempt says more than a missing slot for another one.
            Err(RequestEnd::Failed(..)) => break,
            Err(end) => return end,
        };
        tried.push(permit.server());
        let (permit, result) = match &replay {
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
        let replayable = replay.is_some();
        let mut response = match result {
            Ok(response) => response,
            Err(AttemptFailure::CallerFailed(error)) => return caller_failure(error),
            Err(failure) => {
                permit.finish_failed(&failure);
                let repeat = replayable || matches!(failure, AttemptFailure::NotOffered(_));
                last = keep_unknown(last, describe(&failure));
                if repeat && !matches!(failure, AttemptFailure::DeadlineExceeded) {
                    continue;
                }
                break;
            }
        };
        let status = response.head.status;
        if plan.settings().retry.not_run_statuses.contains(&status)
            && replayable
            && (attempt + 1 < plan.attempts || last.0.run_state() == RunState::Unknown)
        {
            permit.finish(true);
            let refused = "servers refused the request".into();
            last = keep_unknown(last, (FailureReason::ServersUnavailable, refused));
            continue;
        }
        // The rest of a body that was not read whole would be taken for the next request.
        let keep_alive = keep_alive && body.is_complete();
        let relayed =
            relay_response(caller, head, &mut response, request_id, keep_alive, plan.deadline)
                .await;
        let server_failed =
            matches!(relayed, RelayOutcome::BrokenBeforeHead(_) | RelayOutcome::ServerBroken(_));
        permit.finish(server_failed || status >= 500);
        match relayed {
            RelayOutcome::Complete => {
                finish_connection(response);
                return RequestEnd::Complete;
            }
            RelayOutcome::BrokenBeforeHead(error) => {
                last = (FailureReason::ServerFailed, error.to_string().into());
                if !replayable {
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
    RequestEnd::Failed(last.0, last.1)
}

/// Failure to report after two attempts: one that may have run stays, because "not run" would be
/// wrong although the other attempt did not run.
fn keep_unknown(
    earlier: (FailureReason, Box<str>),
    later: (FailureReason, Box<str>),
) -> (FailureReason, Box<str>) {
    let is_unknown = earlier.0.run_state() == RunState::Unknown;
    if is_unknown && later.0.run_state() == RunState::NotRun { earlier } else { later }
}

/// Returns a connection to its pool when nothing of the request is left on it.
pub fn finish_connection(response: OpenResponse) {
    if response.request_complete {
        response.connection.release(&response.body);
    }
}

/// Reads a small body into memory.
async fn read_replay(
    caller: &mut CallerConnection,
    body: &mut RequestBody,
    deadline: Instant,
) -> Result<Vec<u8>, RequestEnd> {
    let left = deadline.saturating_duration_since(Instant::now());
    match with_timeout(left, caller.read_whole_body(body, REPLAY_BYTES)).await {
        Ok(Ok(content)) => Ok(content),
        Ok(Err(error)) => Err(caller_failure(error)),
        Err(_) => {
            let text = "the body did not arrive before the deadline";
            Err(RequestEnd::Failed(FailureReason::DeadlineBeforeStart, text.into()))
        }
    }
}

/// Decides how a request ends whose caller failed to send its body.
pub fn caller_failure(error: HttpError) -> RequestEnd {
    match error {
        HttpError::InvalidFraming(_) | HttpError::Timeout(_) => {
            RequestEnd::Failed(FailureReason::Malformed, error.to_string().into())
        }
        _ => RequestEnd::CallerGone,
    }
}

/// Waits for a slot; gives up when the caller goes away.
pub async fn acquire(
    context: &Arc<EntryContext>,
    caller: &CallerConnection,
    plan: &RequestPlan,
    tried: &[ServerKey],
) -> Result<SlotPermit, RequestEnd> {
    let queued = context.metrics.queued.get_or_create(&plan.labels).clone();
    queued.inc();
    let slot = plan.runtime.acquire(plan.class, tried, plan.deadline);
    let closed = caller.closed();
    pin_mut!(slot, closed);
    // Only a request that has to wait counts as queued.
    let started = slot.as_mut().now_or_never();
    let place = match &started {
        Some(_) => None,
        None => match context.share.queue(&plan.service.team) {
            Some(place) => Some(place),
            None => {
                queued.dec();
                let (reason, message) = process_full();
                return Err(RequestEnd::Failed(reason, message));
            }
        },
    };
    let slot = async {
        match started {
            Some(result) => result,
            None => slot.await,
        }
    };
    pin_mut!(slot);
    let result = match select(slot, closed).await {
        // The lease may have run out while the request waited.
        Either::Left((Ok(_), _)) if !context.may_serve(Instant::now()) => {
            let text = "the settings lease of this entry has run out";
            Err(RequestEnd::Failed(FailureReason::SettingsStale, text.into()))
        }
        Either::Left((Ok(permit), _)) => Ok(permit),
        Either::Left((Err(reason), _)) => {
            Err(RequestEnd::Failed(reason, "the request was not started".into()))
        }
        Either::Right(_) => Err(RequestEnd::CallerGone),
    };
    queued.dec();
    drop(place);
    result
}

/// Sends the request to the server of `permit`; gives up when the caller goes away.
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

/// Takes a connection to the server of `permit`; no byte of the request is sent.
pub async fn connect_server(
    context: &Arc<EntryContext>,
    plan: &RequestPlan,
    permit: &SlotPermit,
) -> Result<ServerConnection, AttemptFailure> {
    let Some((view, connections)) = plan.runtime.target(permit.server()) else {
        return Err(AttemptFailure::NotOffered(CheckoutError::ServerGone));
    };
    let target = AttemptTarget { address: view.address, connections };
    connect(&context.pool, &target).await
}

/// Failure that the caller is told when no further attempt follows.
pub fn describe(failure: &AttemptFailure) -> (FailureReason, Box<str>) {
    match failure {
        AttemptFailure::NotOffered(error) => {
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
