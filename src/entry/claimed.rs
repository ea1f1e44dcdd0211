//! Serving of non-idempotent requests, which run at most once.
//!
//! The claim is committed before any byte is sent to a server, and the types of `claim::guard`
//! allow only one send per granted claim.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use serde_bytes::ByteBuf;

use super::answer::FailureReason;
use super::context::EntryContext;
use super::exchange::{AttemptFailure, OpenResponse, RequestPayload, exchange};
use super::permit::SlotPermit;
use super::plan::{RequestPlan, forward_head};
use super::relay::{RelayOutcome, collect_body, prepare_head, relay_response};
use super::request::{
    RequestEnd, acquire_slot, connect_server, describe_failure, read_body_in_time,
    release_connection, share_exceeded,
};
use crate::claim::digest::request_digest;
use crate::claim::guard::{
    ClaimResolution, GrantedClaim, InFlightClaim, SendPermit, UnclaimedRequest,
};
use crate::claim::waiter::{DuplicateAnswer, DuplicateWaiter, WaitAction, WaitEvent};
use crate::claim::{ClaimKey, OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, StoredAnswer};
use crate::credit::ServerKey;
use crate::http::{
    BodyFraming, CallerConnection, RequestBody, RequestHead, ResponseHead, ServerConnection,
};

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Time for which a settlement may continue after the request deadline.
const SETTLE_GRACE: Duration = Duration::from_secs(1);

/// Time limit for finding out whether an unanswered open command was granted.
const ABANDONED_CLAIM_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that needs a claim, with its body in memory.
struct ClaimedRequest<'a> {
    context: &'a Arc<EntryContext>,
    head: &'a RequestHead,
    plan: &'a RequestPlan,
    request_id: &'a str,
    keep_alive: bool,
    content: Vec<u8>,
}

/// Serves a request that must run at most once.
pub async fn serve_claimed(
    context: &Arc<EntryContext>,
    caller: &mut CallerConnection,
    head: &RequestHead,
    body: &mut RequestBody,
    plan: &RequestPlan,
    request_id: &str,
    keep_alive: bool,
) -> RequestEnd {
    let key = match idempotency_key(head) {
        Ok(key) => key,
        Err(reason) => {
            let text = "a non-idempotent request needs one printable Idempotency-Key header";
            return RequestEnd::Failed(reason, text.into());
        }
    };
    let limit = plan.settings().claims.body_limit;
    let size = head.framing.declared_size().unwrap_or(limit).min(limit);
    let Some(_buffer_guard) = context.share.try_buffer(&plan.service.team, size) else {
        let (reason, message) = share_exceeded();
        return RequestEnd::Failed(reason, message);
    };
    let content = match read_body_in_time(context, caller, body, limit, plan.deadline).await {
        Ok(content) => content,
        Err(RequestEnd::Failed(FailureReason::BodyTooLarge, _)) => {
            let text = format!("requests that need a claim are limited to {limit} bytes");
            return RequestEnd::Failed(FailureReason::BodyTooLarge, text.into());
        }
        Err(end) => return end,
    };
    let request = ClaimedRequest { context, head, plan, request_id, keep_alive, content };
    request.run(caller, key).await
}

fn idempotency_key(head: &RequestHead) -> Result<Box<str>, FailureReason> {
    let mut values = head.headers.values("idempotency-key");
    let value = values.next().ok_or(FailureReason::KeyMissing)?;
    let key = std::str::from_utf8(value).map_err(|_| FailureReason::KeyInvalid)?;
    let printable = key.bytes().all(|byte| byte.is_ascii_graphic());
    if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
        return Err(FailureReason::KeyInvalid);
    }
    Ok(key.into())
}

impl ClaimedRequest<'_> {
    async fn run(&self, caller: &mut CallerConnection, key: Box<str>) -> RequestEnd {
        let mut open = self.open_command(key);
        loop {
            let deadline = self.plan.deadline;
            let dropped = self.context.dropped_claims();
            let request = UnclaimedRequest::new(open, Instant::now(), deadline, dropped);
            let outcome = match self.context.claims.open(request.command(), deadline).await {
                Ok(outcome) => outcome,
                Err(error) => {
                    task::spawn(release_abandoned(Arc::clone(self.context), request));
                    let message = error.to_string().into();
                    return RequestEnd::Failed(FailureReason::ClaimUnknown, message);
                }
            };
            let request = match request.resolve(outcome) {
                ClaimResolution::Granted(claim) => return self.run_granted(caller, claim).await,
                ClaimResolution::Duplicate { request, .. } => request,
                ClaimResolution::Done(Some(answer)) => return self.replay(caller, &answer).await,
                ClaimResolution::Done(None) => return already_run(),
                ClaimResolution::Unknown => return outcome_unknown(),
                ClaimResolution::Mismatch => return mismatch(),
                ClaimResolution::Refused(outcome) => return refused(&outcome),
            };
            match self.wait_for_original(request.command()).await {
                Some(DuplicateAnswer::Done(answer)) => return self.replay(caller, &answer).await,
                Some(DuplicateAnswer::AlreadyRun) => return already_run(),
                Some(DuplicateAnswer::OutcomeUnknown) => return outcome_unknown(),
                Some(DuplicateAnswer::Mismatch) => return mismatch(),
                None => {
                    let mut next = request.command().clone();
                    next.attempt = self.context.random();
                    open = next;
                }
            }
        }
    }

    fn open_command(&self, key: Box<str>) -> OpenClaim {
        let rule = &self.plan.settings().claims;
        OpenClaim {
            key: ClaimKey {
                team: self.plan.service.team.as_ref().into(),
                service: self.plan.service.service.as_ref().into(),
                key,
            },
            digest: request_digest(&self.head.method, &self.head.target, &self.content),
            holder: self.context.holder_session(),
            attempt: self.context.random(),
            retention_ms: u64::try_from(rule.retention.as_millis()).unwrap_or(u64::MAX),
            capacity: rule.capacity,
        }
    }

    /// Waits until the original request with this key has ended; `None` if its claim was released.
    async fn wait_for_original(&self, open: &OpenClaim) -> Option<DuplicateAnswer> {
        let mut waiter = DuplicateWaiter::new(self.plan.deadline);
        let mut event = WaitEvent::Wake;
        loop {
            match waiter.handle(Instant::now(), event) {
                WaitAction::Query { until } => {
                    let claims = &self.context.claims;
                    event = match claims.look_up(&open.key, open.digest, until).await {
                        Ok(view) => WaitEvent::StateReceived(view),
                        Err(_) => WaitEvent::QueryFailed,
                    };
                }
                WaitAction::Sleep { until } => {
                    task::sleep(until.saturating_duration_since(Instant::now())).await;
                    event = WaitEvent::Wake;
                }
                WaitAction::OpenAgain => return None,
                WaitAction::Respond(answer) => return Some(answer),
            }
        }
    }

    /// Tries servers until one accepts a connection, then sends the request once.
    async fn run_granted(&self, caller: &mut CallerConnection, claim: GrantedClaim) -> RequestEnd {
        let mut tried: Vec<ServerKey> = Vec::new();
        let mut last_failure = (FailureReason::NoServer, "no server may receive work".into());
        while tried.len() < self.plan.attempts.max(1) as usize {
            let permit = match acquire_slot(self.context, caller, self.plan, &tried).await {
                Ok(permit) => permit,
                Err(RequestEnd::Failed(reason, message)) if tried.is_empty() => {
                    last_failure = (reason, message);
                    break;
                }
                Err(RequestEnd::Failed(..)) => break,
                Err(end) => {
                    self.release(claim).await;
                    return end;
                }
            };
            tried.push(permit.server());
            match connect_server(self.context, self.plan, &permit).await {
                Ok(connection) => return self.send(caller, claim, permit, connection).await,
                Err(failure) => {
                    last_failure = describe_failure(&failure);
                    permit.finish_failed(&failure);
                }
            }
        }
        match self.finish_unsent(claim, last_failure.0).await {
            RequestEnd::Failed(reason, _) if reason == last_failure.0 => {
                RequestEnd::Failed(reason, last_failure.1)
            }
            end => end,
        }
    }

    /// Ends a request of which no byte was sent.
    async fn finish_unsent(&self, claim: GrantedClaim, reason: FailureReason) -> RequestEnd {
        if self.release(claim).await {
            return RequestEnd::Failed(reason, "the request was not sent".into());
        }
        let text = "the request was not sent, but its claim could not be released";
        RequestEnd::Failed(FailureReason::ClaimUnknown, text.into())
    }

    async fn send(
        &self,
        caller: &mut CallerConnection,
        claim: GrantedClaim,
        permit: SlotPermit,
        connection: ServerConnection,
    ) -> RequestEnd {
        let framing = match self.content.len() {
            0 => BodyFraming::Empty,
            length => BodyFraming::Length(length as u64),
        };
        let deadline = self.plan.deadline;
        let forward = forward_head(self.head, framing, self.plan.peer, self.request_id, deadline);
        let (claim, send_permit) = match claim.begin_send(Instant::now()) {
            Ok(started) => started,
            Err(claim) => {
                drop(permit);
                return self.finish_unsent(claim, FailureReason::DeadlineBeforeStart).await;
            }
        };
        // From here on the request may run. It is not cancelled if the caller disconnects, so that
        // a resend with the same key gets the stored response.
        match send_once(send_permit, connection, &forward, &self.content, deadline).await {
            Ok(response) => self.finish_response(caller, claim, permit, response).await,
            Err(failure) => {
                permit.finish_failed(&failure);
                self.settle_in_flight(claim.settle_unknown()).await;
                let (reason, message) = describe_failure(&failure);
                let reason = match failure {
                    // The claim is not released, so a resend would not run either.
                    AttemptFailure::NotSent(_) => FailureReason::OutcomeUnknown,
                    _ => reason,
                };
                RequestEnd::Failed(reason, message)
            }
        }
    }

    async fn finish_response(
        &self,
        caller: &mut CallerConnection,
        claim: InFlightClaim,
        permit: SlotPermit,
        mut response: OpenResponse,
    ) -> RequestEnd {
        let rule = &self.plan.settings().retry;
        let status = response.head.status;
        let claim = match claim.release_refused(status, &rule.not_run_statuses) {
            Ok(settle) => return self.finish_refused(settle, permit, response).await,
            Err(claim) => claim,
        };
        let limit = usize::try_from(self.plan.settings().claims.answer_limit).unwrap_or(usize::MAX);
        let fits = response.body.framing().declared_size().is_none_or(|size| size <= limit as u64);
        if !fits {
            return self.finish_oversized(caller, claim, permit, response).await;
        }
        match collect_body(&mut response, limit, self.plan.deadline).await {
            Ok(Ok(content)) => {
                let head = response.head.clone();
                release_connection(response);
                permit.finish(status >= 500);
                let answer = stored_answer(&head, &content);
                self.settle_in_flight(claim.settle_done(Some(answer.clone()))).await;
                self.replay(caller, &answer).await
            }
            Ok(Err(_)) => {
                drop(permit);
                self.settle_in_flight(claim.settle_done(None)).await;
                already_run()
            }
            Err(error) => {
                permit.finish(true);
                self.settle_in_flight(claim.settle_unknown()).await;
                RequestEnd::Failed(FailureReason::ServerFailed, error.to_string().into())
            }
        }
    }

    /// Streams a response to the caller that is too large to be stored.
    async fn finish_oversized(
        &self,
        caller: &mut CallerConnection,
        claim: InFlightClaim,
        permit: SlotPermit,
        mut response: OpenResponse,
    ) -> RequestEnd {
        let deadline = self.plan.deadline;
        let relayed = relay_response(
            caller,
            self.head,
            &mut response,
            self.request_id,
            self.keep_alive,
            deadline,
        )
        .await;
        permit.finish(matches!(
            relayed,
            RelayOutcome::BrokenBeforeHead(_) | RelayOutcome::ServerBroken(_)
        ));
        // A final response head proves that the request ran, even if the body is cut short.
        self.settle_in_flight(claim.settle_done(None)).await;
        match relayed {
            RelayOutcome::Complete => {
                release_connection(response);
                RequestEnd::Complete
            }
            RelayOutcome::BrokenBeforeHead(error) => {
                RequestEnd::Failed(FailureReason::ServerFailed, error.to_string().into())
            }
            RelayOutcome::ServerBroken(error) => RequestEnd::Broken(error),
            RelayOutcome::Unsendable => already_run(),
            RelayOutcome::CallerGone => RequestEnd::CallerGone,
        }
    }

    async fn finish_refused(
        &self,
        settle: Option<SettleClaim>,
        permit: SlotPermit,
        response: OpenResponse,
    ) -> RequestEnd {
        drop(response);
        permit.finish(true);
        if self.confirm_released(settle).await {
            let text = "the server refused the request before execution";
            return RequestEnd::Failed(FailureReason::ServersUnavailable, text.into());
        }
        let text = "the server refused the request, but its claim could not be released";
        RequestEnd::Failed(FailureReason::ClaimUnknown, text.into())
    }

    async fn release(&self, claim: GrantedClaim) -> bool {
        self.confirm_released(claim.release()).await
    }

    /// Releases the claim and waits for confirmation; the caller may be told "not run" only if this
    /// returns true.
    async fn confirm_released(&self, settle: Option<SettleClaim>) -> bool {
        let Some(settle) = settle else {
            return false;
        };
        let until = self.settle_deadline();
        matches!(self.context.claims.settle(&settle, until).await, Ok(SettleOutcome::Released))
    }

    /// Settles the claim of a request that was sent; continues in the background if the claim group
    /// is slow. A response that is stored is settled before it is sent to the caller, so that a
    /// resend finds it.
    async fn settle_in_flight(&self, settle: Option<SettleClaim>) {
        let Some(settle) = settle else {
            return;
        };
        let until = self.settle_deadline().min(Instant::now() + SETTLE_GRACE);
        if self.context.claims.settle(&settle, until).await.is_err() {
            self.context.settle_in_background(settle);
        }
    }

    fn settle_deadline(&self) -> Instant {
        self.plan.deadline.max(Instant::now()) + SETTLE_GRACE
    }

    /// Sends a stored response; all callers with the same key get the same status, headers and
    /// body.
    async fn replay(&self, caller: &mut CallerConnection, answer: &StoredAnswer) -> RequestEnd {
        let limits = crate::http::HttpLimits { head_bytes: usize::MAX, ..Default::default() };
        let head = match ResponseHead::parse(&answer.head, &limits) {
            Ok(Some((head, _))) => head,
            _ => return outcome_unknown(),
        };
        let mut head = head;
        let length = answer.body.len() as u64;
        prepare_head(&mut head, BodyFraming::Length(length), self.request_id, self.keep_alive);
        match caller.respond(self.head, head, &answer.body).await {
            Ok(()) => RequestEnd::Complete,
            Err(_) => RequestEnd::CallerGone,
        }
    }
}

/// Repeats an open command that got no answer in time, and releases the claim if it was granted.
/// Otherwise the key would stay blocked until the entry's session ends.
async fn release_abandoned(context: Arc<EntryContext>, request: UnclaimedRequest) {
    let until = Instant::now() + ABANDONED_CLAIM_TIMEOUT;
    if let Ok(outcome) = context.claims.open(request.command(), until).await {
        // Dropping a granted claim releases it.
        drop(request.resolve(outcome));
    }
}

/// Sends the request to a server; consumes the permit, so that it cannot be sent twice.
async fn send_once(
    _permit: SendPermit,
    connection: ServerConnection,
    forward: &RequestHead,
    content: &[u8],
    deadline: Instant,
) -> Result<OpenResponse, AttemptFailure> {
    exchange(connection, forward, RequestPayload::Buffered(content), deadline).await
}

fn stored_answer(head: &ResponseHead, content: &[u8]) -> StoredAnswer {
    let mut kept = head.clone();
    kept.headers.remove_hop_by_hop();
    let mut bytes = Vec::new();
    kept.write_to(&mut bytes);
    StoredAnswer {
        status: head.status,
        head: ByteBuf::from(bytes),
        body: ByteBuf::from(content.to_vec()),
    }
}

fn already_run() -> RequestEnd {
    let text = "the request ran once; its response is not stored";
    RequestEnd::Failed(FailureReason::AlreadyRun, text.into())
}

fn outcome_unknown() -> RequestEnd {
    let text = "the request may have run; it will not be run again under this key";
    RequestEnd::Failed(FailureReason::OutcomeUnknown, text.into())
}

fn mismatch() -> RequestEnd {
    let text = "the idempotency key was used with another request";
    RequestEnd::Failed(FailureReason::KeyMismatch, text.into())
}

fn refused(outcome: &OpenOutcome) -> RequestEnd {
    let text = match outcome {
        OpenOutcome::Full => "the claim store is full",
        OpenOutcome::Invalid => "the idempotency key is not accepted",
        _ => "the entry's session has ended; send the request again",
    };
    RequestEnd::Failed(FailureReason::ClaimUnavailable, text.into())
}
