//! Handles one request: routing, server selection, retries and the response.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

use super::activity::RequestProgress;
use super::context::EntryContext;
use super::crash_gate::QUARANTINED_STATUS;
use super::local_response::{LocalResponse, reasons};
use super::measure::CrowdedPolicy;
use super::metrics::GaugeGuard;
use super::outgoing::{HeldBody, OutgoingRequest};
use super::send::{self, SendError, SendReport, ServerResponse, TriedServers};
use crate::fleet::budget::RetryBudget;
use crate::fleet::document::RouteRule;
use crate::fleet::relay::held_bytes::HeldShare;
use crate::fleet::relay::times::CallerPace;
use crate::fleet::room::HedgePlan;
use crate::fleet::routes::choose_target;
use crate::http::RequestHead;
use crate::ids::ServiceName;
use crate::{log_info, log_routine};

/// Maximum number of attempts that fail before the request is sent; they do not count against the
/// route's limit of sends.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// `retry-after` of a refused request, as a fraction of the target latency, so that the caller can
/// still be served within the target when it retries.
const RETRY_AFTER_FRACTION: f64 = 0.25;

/// Part of a pause by which callers that come back after it are spread.
const RESUME_SPREAD_FRACTION: f64 = 0.25;

/// `retry-after` before the first document is in force.
const NO_DOCUMENT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Fraction of the caller's timeout for which a request waits for the first document, or for the
/// state to be confirmed after a suspension. After a loss of all processes the document arrives within
/// half a second, and many callers retry only once.
const STATE_WAIT_FRACTION: f64 = 0.15;

/// Timeout assumed before the first document for a caller that states none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Complete request of a caller.
pub struct CallerRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received_at: Instant,
    /// How the caller has read the earlier responses.
    pub caller_pace: CallerPace,
    /// Counts the body as held.
    pub share: HeldShare,
    /// Counts the request as active.
    pub progress: Rc<RequestProgress>,
}

/// Response to a caller.
pub enum CallerResponse {
    Relayed(Box<ServerResponse>),
    Local(LocalResponse),
}

type SendFuture = Pin<Box<dyn Future<Output = SendReport>>>;

/// State of one request while it is handled.
struct RequestDriver {
    context: Rc<EntryContext>,
    request: Rc<OutgoingRequest>,
    rule: Rc<RouteRule>,
    received_at: Instant,
    sends_in_flight: FuturesUnordered<SendFuture>,
    tried: TriedServers,
    send_count: u32,
    unsent_attempts: usize,
    may_have_run: bool,
    hedges: HedgePlan,
    /// Error response of a server, forwarded if no other send succeeds.
    error_response: Option<Box<ServerResponse>>,
}

/// Handles a request and returns its response; `id` is the request id for logs.
pub async fn handle_request(
    context: &Rc<EntryContext>,
    caller_request: CallerRequest,
    id: Box<str>,
) -> CallerResponse {
    let received_at = caller_request.received_at;
    context.check_suspension();
    let state_deadline = received_at
        + requested_timeout(context, &caller_request.head)
            .unwrap_or(DEFAULT_CALLER_TIMEOUT)
            .mul_f64(STATE_WAIT_FRACTION);
    let state_ready = async {
        context.wait_for_route_table(state_deadline).await;
        context.wait_for_confirmed_state(state_deadline).await;
    };
    tokio::select! {
        () = state_ready => {}
        () = context.wait_for_give_up(state_deadline) => {}
    }
    let driver = match prepare(context, caller_request, id.clone()) {
        Ok(driver) => driver,
        Err(local) => {
            let response = CallerResponse::Local(local);
            record_completion(context, &id, None, received_at.elapsed(), &response);
            return response;
        }
    };
    let service = driver.request.service.clone();
    let _in_flight = GaugeGuard::new(context.metrics.in_flight(&service));
    let response = match context.quota.admit(&driver.request).await {
        Ok(_ticket) => driver.drive().await,
        Err(local) => CallerResponse::Local(local),
    };
    record_completion(context, &id, Some(&service), received_at.elapsed(), &response);
    response
}

fn record_completion(
    context: &EntryContext,
    id: &str,
    service: Option<&str>,
    elapsed: Duration,
    response: &CallerResponse,
) {
    let outcome = match response {
        CallerResponse::Relayed(response) => {
            log_routine!(
                "request_served",
                "request={id} server={} status={} elapsed_ms={}",
                response.server,
                response.head.status,
                elapsed.as_millis()
            );
            if response.head.status < 400 { "served" } else { "server_error" }
        }
        CallerResponse::Local(local) => {
            let cause = local.cause.as_ref().map(ToString::to_string).unwrap_or_default();
            log_info!(
                "request_refused",
                "request={id} service={} status={} reason=\"{}\" cause=\"{cause}\" elapsed_ms={} \
                 revision={}",
                service.unwrap_or("-"),
                local.status,
                local.reason,
                elapsed.as_millis(),
                context.state.borrow().revision()
            );
            match local.status {
                429 | 503 => "not_run",
                401 => "unauthorized",
                QUARANTINED_STATUS => "quarantined",
                _ => "failed",
            }
        }
    };
    context.metrics.record_request(service, outcome, elapsed);
}

/// Time that the caller waits for the response, if it states one.
fn requested_timeout(context: &EntryContext, head: &RequestHead) -> Option<Duration> {
    let text = head.headers.get_str(context.dialect.headers().deadline)?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Finds the route and the service of a request; the error is the response if that fails.
fn prepare(
    context: &Rc<EntryContext>,
    mut caller_request: CallerRequest,
    id: Box<str>,
) -> Result<RequestDriver, LocalResponse> {
    let Some(table) = context.route_table() else {
        return Err(LocalResponse::not_run(
            reasons::NO_DOCUMENT,
            NO_DOCUMENT_RETRY_AFTER,
            Duration::from_secs(1),
        ));
    };
    let Some(rule) = table.find(&caller_request.head.host, caller_request.head.path()) else {
        return Err(LocalResponse::new(404, reasons::NO_ROUTE));
    };
    let identity = context.authenticate(&table, &rule, &mut caller_request.head)?;
    let requested_timeout = requested_timeout(context, &caller_request.head);
    let timeout = requested_timeout.map_or(rule.timeout, |requested| requested.min(rule.timeout));
    let service: ServiceName = choose_target(&rule, &mut context.random.borrow_mut()).clone();
    let (received_at, deadline) =
        (caller_request.received_at, caller_request.received_at + timeout);
    if !context.can_begin(&rule, deadline, &caller_request) {
        return Err(LocalResponse::stopping());
    }
    if &*caller_request.head.method != "HEAD" {
        caller_request.progress.expect_response(&rule, deadline);
    }
    let request = OutgoingRequest::new(
        context,
        id,
        service,
        caller_request.head,
        HeldBody { bytes: caller_request.body, _share: caller_request.share },
        Rc::clone(&rule),
        deadline,
    )
    .with_identity(context, identity);
    Ok(RequestDriver {
        context: Rc::clone(context),
        request: Rc::new(request),
        rule,
        received_at,
        sends_in_flight: FuturesUnordered::new(),
        tried: TriedServers::default(),
        send_count: 0,
        unsent_attempts: 0,
        may_have_run: false,
        hedges: HedgePlan::default(),
        error_response: None,
    })
}

impl RequestDriver {
    async fn drive(mut self) -> CallerResponse {
        let now = Instant::now();
        let service = self.request.service.clone();
        self.context.with_budget(&service, |budget| budget.record_request(now));
        if let Some(response) = self.context.refuse_for_room(&self.request, self.received_at) {
            return CallerResponse::Local(response);
        }
        self.context.prepare_digest(&self.request).await;
        if let Some(response) = self.context.refuse_suspect(&self.request, self.may_have_run) {
            return CallerResponse::Local(response);
        }
        let bytes = self.request.expected_bytes(&self.context);
        self.context.with_balancer(&service, |balancer| balancer.record_request(bytes));
        self.start_send(CrowdedPolicy::ProbeAgain, None);
        self.hedges = self.hedge_plan(now);
        let context = Rc::clone(&self.context);
        let mut give_up = pin!(context.wait_for_give_up(self.request.deadline));
        loop {
            let pending_hedge = self.hedges.due_at().filter(|_| self.sends_in_flight.len() == 1);
            let wake_at = pending_hedge.unwrap_or(self.request.deadline).min(self.request.deadline);
            tokio::select! {
                // A response that begins at this moment is not given up.
                biased;
                Some(report) = self.sends_in_flight.next() => {
                    self.context.prepare_digest(&self.request).await;
                    if let Some(response) = self.handle_send_report(report) {
                        return response;
                    }
                }
                () = &mut give_up => return self.given_up_response(),
                () = sleep_until(wake_at.into()) => {
                    self.context.prepare_digest(&self.request).await;
                    let now = Instant::now();
                    if now >= self.request.deadline {
                        return self.timeout_response();
                    }
                    self.start_hedge(now);
                }
            }
        }
    }

    /// Schedule of the sends beside the first one.
    fn hedge_plan(&self, now: Instant) -> HedgePlan {
        if !self.request.idempotent || self.rule.max_attempts < 2 {
            return HedgePlan::default();
        }
        let mean =
            self.context.with_balancer(&self.request.service, |balancer| balancer.mean_latency());
        HedgePlan::new(now, mean, self.rule.target_latency)
    }

    fn start_hedge(&mut self, now: Instant) {
        if !self.context.allows_hedge(&self.request) || !self.can_finish() {
            return self.hedges.cancel();
        }
        let conditions = self.context.hedge_conditions(now, &self.request);
        if self.hedges.decide(now, conditions) {
            self.retry(now, CrowdedPolicy::GiveUp);
        }
    }

    /// Starts a send to a server that was not tried yet.
    fn start_send(&mut self, crowded_policy: CrowdedPolicy, charged_at: Option<Instant>) {
        self.send_count += 1;
        let (context, request) = (Rc::clone(&self.context), Rc::clone(&self.request));
        let tried = Rc::clone(&self.tried);
        let send = send::send(context, request, tried, crowded_policy, charged_at);
        self.sends_in_flight.push(Box::pin(send));
    }

    /// Reverts the counts of a send that reached no server.
    fn take_back_send(&mut self, charged_at: Option<Instant>) {
        self.send_count -= 1;
        if let Some(taken_at) = charged_at {
            let give_back = |budget: &mut RetryBudget| budget.give_back(taken_at);
            self.context.with_budget(&self.request.service, give_back);
        }
    }

    /// Starts a retry if the route and the budget allow it.
    fn retry(&mut self, now: Instant, crowded_policy: CrowdedPolicy) -> bool {
        if self.send_count >= self.rule.max_attempts || now >= self.request.deadline {
            return false;
        }
        if !self.context.allows_retry(&self.request) || !self.can_finish() {
            return false;
        }
        let (left, allowed) = self.context.take_second_send(now, &self.request.service);
        log_info!(
            "send_repeated",
            "request={} service={} sends={} elapsed_ms={} allowed={allowed} budget_left={left:.1}",
            self.request.id,
            self.request.service,
            self.send_count,
            now.duration_since(self.received_at).as_millis()
        );
        self.context.metrics.record_retry(&self.request.service, allowed);
        if allowed {
            self.start_send(crowded_policy, Some(now));
        }
        allowed
    }

    /// Handles the end of one send; returns the response once the request is finished.
    fn handle_send_report(&mut self, report: SendReport) -> Option<CallerResponse> {
        let now = Instant::now();
        let SendReport { server, charged_at, result } = report;
        let error = match result {
            Ok(response) if response.head.status < 500 || !self.request.idempotent => {
                return Some(CallerResponse::Relayed(Box::new(response)));
            }
            Ok(response) => {
                self.may_have_run = true;
                self.error_response = Some(Box::new(response));
                if !self.sends_in_flight.is_empty() || self.retry(now, CrowdedPolicy::ProbeAgain) {
                    return None;
                }
                return self.error_response.take().map(CallerResponse::Relayed);
            }
            Err(error) => error,
        };
        let was_hedged = !self.sends_in_flight.is_empty();
        if (matches!(error, SendError::NoServer(_)) || error.is_withheld()) && was_hedged {
            // A hedged send that found no server with room, or whose request must not be sent.
            self.take_back_send(charged_at);
            self.hedges.record_no_server(now);
            return None;
        }
        self.context.metrics.record_send(&self.request.service, error.label());
        if !matches!(error, SendError::NoServer(_)) {
            log_info!(
                "send_failed",
                "request={} server={} sends={} elapsed_ms={} error=\"{error}\"",
                self.request.id,
                server.as_deref().unwrap_or("-"),
                self.send_count,
                now.duration_since(self.received_at).as_millis()
            );
        }
        self.may_have_run |= error.may_have_run();
        if !self.sends_in_flight.is_empty() {
            if !error.was_sent() {
                self.take_back_send(charged_at);
            }
            return None;
        }
        if self.retry_after_error(now, &error, charged_at) {
            return None;
        }
        if let Some(error_response) = self.error_response.take() {
            return Some(CallerResponse::Relayed(error_response));
        }
        let local = if self.context.is_quarantined(&self.request) {
            self.context.refuse_quarantined(&self.request, self.may_have_run)
        } else if self.may_have_run {
            LocalResponse::new(502, "the server's response is lost")
        } else if let SendError::Unidentified(error) = error {
            self.context.refuse_changed_identity(&self.request, error)
        } else if let SendError::Held(remaining) = error {
            self.context.refuse_held(&self.request, remaining)
        } else if matches!(error, SendError::NoServer(_)) {
            self.refuse_without_server(now)
        } else if matches!(error, SendError::Expired) {
            self.refuse("the time is over before a server was reached")
        } else if !self.can_finish() {
            LocalResponse::stopping()
        } else {
            self.refuse("all servers that were tried refused")
        };
        Some(local.with_cause(error))
    }

    fn retry_after_error(
        &mut self,
        now: Instant,
        error: &SendError,
        charged_at: Option<Instant>,
    ) -> bool {
        if !error.was_sent() {
            self.unsent_attempts += 1;
            let may_retry = self.unsent_attempts < MAX_UNSENT_ATTEMPTS
                && now < self.request.deadline
                && self.can_finish()
                && !matches!(error, SendError::NoServer(_) | SendError::Expired)
                && !error.is_withheld();
            if may_retry {
                // Nothing reached a server, so this attempt takes the place of the last one.
                self.send_count -= 1;
                self.start_send(CrowdedPolicy::ProbeAgain, charged_at);
            } else {
                self.take_back_send(charged_at);
            }
            return may_retry;
        }
        if self.may_have_run && !self.request.idempotent {
            return false;
        }
        self.retry(now, CrowdedPolicy::ProbeAgain)
    }

    /// Whether a further send is expected to have its response before the entry exits.
    fn can_finish(&self) -> bool {
        self.context.can_finish(&self.rule, self.request.deadline)
    }

    /// Refuses a request for which no server has room. While all are paused, the caller comes back after the
    /// first pause, at a random time, so that not all callers come at once.
    fn refuse_without_server(&self, now: Instant) -> LocalResponse {
        let resumes_at = self.context.resumes_at(&self.request.service, now);
        let evacuated = || self.context.refuse_evacuated(&self.request);
        let crowded = || self.refuse_without_room(now);
        let Some(resumes_at) = resumes_at else { return evacuated().unwrap_or_else(crowded) };
        let pause = resumes_at.saturating_duration_since(now);
        let spread = self.context.random.borrow_mut().f64() * RESUME_SPREAD_FRACTION;
        let time_left = self.request.deadline.saturating_duration_since(now);
        LocalResponse::not_run(reasons::ALL_PAUSED, pause.mul_f64(1.0 + spread), time_left)
    }

    fn refuse_without_room(&self, now: Instant) -> LocalResponse {
        let reason = reasons::NO_ROOM;
        if !self.context.is_room_short(&self.request.service) {
            return self.refuse(reason);
        }
        let delay = self.context.return_delay(now, &self.request, self.received_at);
        let time_left = self.request.deadline.saturating_duration_since(now);
        LocalResponse::not_run(reason, delay, time_left)
    }

    fn refuse(&self, reason: &'static str) -> LocalResponse {
        let time_left = self.request.deadline.saturating_duration_since(Instant::now());
        let delay = self.rule.target_latency.mul_f64(RETRY_AFTER_FRACTION);
        LocalResponse::not_run(reason, delay, time_left)
    }

    fn timeout_response(self) -> CallerResponse {
        if let Some(error_response) = self.error_response {
            return CallerResponse::Relayed(error_response);
        }
        // A send that is still in flight may have reached its server.
        if self.may_have_run || !self.sends_in_flight.is_empty() {
            return CallerResponse::Local(LocalResponse::new(504, "no response in time"));
        }
        CallerResponse::Local(self.refuse("the time is over before a server was reached"))
    }

    /// Response to a request that a stopping entry gives up. What was not sent will not be.
    fn given_up_response(self) -> CallerResponse {
        if let Some(error_response) = self.error_response {
            return CallerResponse::Relayed(error_response);
        }
        let may_have_run = self.request.possible_runs.get() > 0;
        let local =
            if may_have_run { LocalResponse::given_up() } else { LocalResponse::stopping() };
        CallerResponse::Local(local)
    }
}
