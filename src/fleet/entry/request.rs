//! Handling of one request: route, choice of servers, repeated sends, and the answer.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep_until;

use super::context::EntryContext;
use super::measure::CrowdedChoice;
use super::metrics::GaugeGuard;
use super::send::{self, OutgoingRequest, SendError, ServerResponse, TriedServers};
use crate::fleet::document::{Repetition, RouteRule};
use crate::fleet::routes::choose_target;
use crate::http::RequestHead;
use crate::ids::ServiceName;
use crate::{log_info, log_routine};

/// Tries of connections for one request, beyond the sends that its route allows.
const MAX_CONNECTS: usize = 4;

/// Pause that a refused caller is asked for, in parts of the target latency: it can still be served
/// within that when it comes back.
const RETRY_AFTER: f64 = 0.25;

/// The same before the first document.
const START_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Part of the caller's deadline for which a request waits for the first document. After a loss of
/// all processes it comes within half a second, and many callers come back only once.
const START_WAIT: f64 = 0.15;

/// Deadline of a caller that names none, before the first document.
const START_DEADLINE: Duration = Duration::from_secs(1);

/// Part of its time left that a caller spends on a pause.
const RETRY_PART: f64 = 0.3;

/// A second send starts when the first took this many times the mean latency.
const HEDGE_FACTOR: f64 = 1.4;

/// Bounds of that time in parts of the target latency.
const HEDGE_PARTS: (f64, f64) = (0.25, 0.6);

/// Repeated sends that are kept for failures.
const HEDGE_RESERVE: f64 = 2.0;

/// Complete request of a caller.
pub struct CallerRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received: Instant,
}

/// Answer to a caller.
pub enum CallerAnswer {
    Relay(Box<ServerResponse>),
    Own(OwnAnswer),
}

/// Answer of the entry itself.
#[derive(Debug)]
pub struct OwnAnswer {
    pub status: u16,
    pub reason: &'static str,
    pub retry_after: Option<Duration>,
    /// End of the last send, for logs.
    pub cause: Option<SendError>,
}

impl OwnAnswer {
    /// Answer that promises nothing, or that the request itself was wrong.
    pub fn of(status: u16, reason: &'static str) -> Self {
        Self { status, reason, retry_after: None, cause: None }
    }

    /// The request has not run and will not; the caller may come back.
    fn not_run(reason: &'static str, pause: Duration, left: Duration) -> Self {
        let retry_after = pause.min(left.mul_f64(RETRY_PART));
        Self { status: 503, reason, retry_after: Some(retry_after), cause: None }
    }

    fn caused_by(self, cause: SendError) -> CallerAnswer {
        CallerAnswer::Own(Self { cause: Some(cause), ..self })
    }
}

type SendFuture = Pin<Box<dyn Future<Output = Result<ServerResponse, SendError>>>>;

/// Progress of one request.
struct RequestRun {
    context: Rc<EntryContext>,
    request: Rc<OutgoingRequest>,
    rule: Rc<RouteRule>,
    started: Instant,
    running: FuturesUnordered<SendFuture>,
    tried: TriedServers,
    sends: u32,
    connects: usize,
    may_have_run: bool,
    hedged: bool,
    /// Error response of a server, passed on when nothing better comes.
    failure: Option<Box<ServerResponse>>,
}

/// Whether a request may run more than once, by its route.
pub fn is_idempotent(context: &EntryContext, head: &RequestHead) -> bool {
    let rule = context.table().and_then(|table| table.find(&head.host, head.path()));
    rule.is_none_or(|rule| rule.repetition == Repetition::Idempotent)
}

/// Processes a request to its answer.
pub async fn process(context: &Rc<EntryContext>, caller: CallerRequest) -> CallerAnswer {
    let received = caller.received;
    let id = request_id(context, &caller.head);
    if !context.has_table() {
        let wait = deadline_of(context, &caller.head).unwrap_or(START_DEADLINE).mul_f64(START_WAIT);
        context.wait_for_table(received + wait).await;
    }
    let run = match prepare(context, caller, id.clone()) {
        Ok(run) => run,
        Err(own) => {
            let answer = CallerAnswer::Own(own);
            note_end(context, &id, None, received.elapsed(), &answer);
            return answer;
        }
    };
    let service = run.request.service.clone();
    let _in_flight = GaugeGuard::new(context.metrics.in_flight(&service));
    let answer = run.finish().await;
    note_end(context, &id, Some(&service), received.elapsed(), &answer);
    answer
}

fn note_end(
    context: &EntryContext,
    id: &str,
    service: Option<&str>,
    elapsed: Duration,
    answer: &CallerAnswer,
) {
    let outcome = match answer {
        CallerAnswer::Relay(response) => {
            log_routine!(
                "request_served",
                "request={id} server={} status={} elapsed_ms={}",
                response.server,
                response.head.status,
                elapsed.as_millis()
            );
            if response.head.status < 400 { "served" } else { "server_error" }
        }
        CallerAnswer::Own(own) => {
            let cause = own.cause.as_ref().map(ToString::to_string).unwrap_or_default();
            log_info!(
                "request_refused",
                "request={id} service={} status={} reason=\"{}\" cause=\"{cause}\" elapsed_ms={} \
                 revision={}",
                service.unwrap_or("-"),
                own.status,
                own.reason,
                elapsed.as_millis(),
                context.state.borrow().revision()
            );
            if own.status == 503 { "not_run" } else { "failed" }
        }
    };
    context.metrics.note_request(service, outcome, elapsed);
}

/// Id of the request for logs.
fn request_id(context: &EntryContext, head: &RequestHead) -> Box<str> {
    let id = head.headers.get_str(context.dialect.headers().request_id).unwrap_or("-");
    id.chars().filter(char::is_ascii_graphic).take(40).collect()
}

/// Time that the caller waits for the answer, if it says so.
fn deadline_of(context: &EntryContext, head: &RequestHead) -> Option<Duration> {
    let text = head.headers.get_str(context.dialect.headers().deadline)?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Finds the route and the service of a request; the error is the answer when there is none.
fn prepare(
    context: &Rc<EntryContext>,
    caller: CallerRequest,
    id: Box<str>,
) -> Result<RequestRun, OwnAnswer> {
    let Some(table) = context.table() else {
        return Err(OwnAnswer::not_run(
            "no settings document yet",
            START_RETRY_AFTER,
            Duration::from_secs(1),
        ));
    };
    let Some(rule) = table.find(&caller.head.host, caller.head.path()) else {
        return Err(OwnAnswer::of(404, "no route"));
    };
    let deadline = deadline_of(context, &caller.head);
    let limit = deadline.map_or(rule.timeout, |deadline| deadline.min(rule.timeout));
    let service: ServiceName = choose_target(&rule, &mut context.random.borrow_mut()).clone();
    let idempotent = rule.repetition == Repetition::Idempotent;
    let (started, end) = (caller.received, caller.received + limit);
    let request =
        OutgoingRequest::new(context, id, service, caller.head, caller.body, idempotent, end);
    Ok(RequestRun {
        context: Rc::clone(context),
        request: Rc::new(request),
        rule,
        started,
        running: FuturesUnordered::new(),
        tried: TriedServers::default(),
        sends: 0,
        connects: 0,
        may_have_run: false,
        hedged: false,
        failure: None,
    })
}

impl RequestRun {
    async fn finish(mut self) -> CallerAnswer {
        let now = Instant::now();
        let service = self.request.service.clone();
        self.context.with_budget(&service, |budget| budget.note_request(now));
        self.start_send(CrowdedChoice::LookAgain);
        let hedge_at = self.hedge_time(now);
        loop {
            let hedge = hedge_at.filter(|_| !self.hedged && self.running.len() == 1);
            let timer = hedge.unwrap_or(self.request.end).min(self.request.end);
            tokio::select! {
                biased;
                Some(result) = self.running.next() => {
                    if let Some(answer) = self.on_result(result) {
                        return answer;
                    }
                }
                () = sleep_until(timer.into()) => {
                    let now = Instant::now();
                    if now >= self.request.end {
                        return self.time_out();
                    }
                    self.hedge(now);
                }
            }
        }
    }

    /// Moment at which a second send starts if the first is not answered.
    fn hedge_time(&self, now: Instant) -> Option<Instant> {
        if !self.request.idempotent || self.rule.max_attempts < 2 {
            return None;
        }
        let target = self.rule.target_latency;
        let (least, most) = (target.mul_f64(HEDGE_PARTS.0), target.mul_f64(HEDGE_PARTS.1));
        let mean =
            self.context.with_service(&self.request.service, |balance| balance.mean_latency());
        let wait = mean.map_or(most, |mean| mean.mul_f64(HEDGE_FACTOR).clamp(least, most));
        Some(now + wait)
    }

    fn hedge(&mut self, now: Instant) {
        self.hedged = true;
        let entries = self.context.entries();
        let left =
            self.context.with_budget(&self.request.service, |budget| budget.left(now, entries));
        if left >= HEDGE_RESERVE {
            self.repeat(now, CrowdedChoice::Nothing);
        }
    }

    /// Starts a send to a server that was not tried yet.
    fn start_send(&mut self, crowded: CrowdedChoice) {
        self.sends += 1;
        let (context, request) = (Rc::clone(&self.context), Rc::clone(&self.request));
        let tried = Rc::clone(&self.tried);
        self.running.push(Box::pin(send::send(context, request, tried, crowded)));
    }

    /// Starts one more send if route, budget and servers allow it.
    fn repeat(&mut self, now: Instant, crowded: CrowdedChoice) -> bool {
        if self.sends >= self.rule.max_attempts || now >= self.request.end {
            return false;
        }
        let entries = self.context.entries();
        let (left, taken) = self.context.with_budget(&self.request.service, |budget| {
            (budget.left(now, entries), budget.take(now, entries))
        });
        log_info!(
            "send_repeated",
            "request={} service={} sends={} elapsed_ms={} allowed={taken} budget_left={left:.1}",
            self.request.id,
            self.request.service,
            self.sends,
            now.duration_since(self.started).as_millis()
        );
        self.context.metrics.note_repeat(&self.request.service, taken);
        if taken {
            self.start_send(crowded);
        }
        taken
    }

    /// Handles the end of one send; returns the answer when the request is finished.
    fn on_result(&mut self, result: Result<ServerResponse, SendError>) -> Option<CallerAnswer> {
        let now = Instant::now();
        let error = match result {
            Ok(response) if response.head.status < 500 || !self.request.idempotent => {
                return Some(CallerAnswer::Relay(Box::new(response)));
            }
            Ok(response) => {
                self.may_have_run = true;
                self.failure = Some(Box::new(response));
                if !self.running.is_empty() || self.repeat(now, CrowdedChoice::LookAgain) {
                    return None;
                }
                return self.failure.take().map(CallerAnswer::Relay);
            }
            Err(error) => error,
        };
        if matches!(error, SendError::NoServer(_)) && !self.running.is_empty() {
            // A second send that found no room.
            self.sends -= 1;
            return None;
        }
        self.context.metrics.note_send(&self.request.service, error.label());
        if !matches!(error, SendError::NoServer(_)) {
            log_info!(
                "send_failed",
                "request={} server={} sends={} elapsed_ms={} error=\"{error}\"",
                self.request.id,
                self.tried.borrow().last().map_or("-", |server| server),
                self.sends,
                now.duration_since(self.started).as_millis()
            );
        }
        self.may_have_run |= error.may_have_run();
        if !self.running.is_empty() {
            return None;
        }
        if self.try_again(now, &error) {
            return None;
        }
        if let Some(failure) = self.failure.take() {
            return Some(CallerAnswer::Relay(failure));
        }
        let own = if self.may_have_run {
            OwnAnswer::of(502, "the server's response is lost")
        } else if matches!(error, SendError::NoServer(_)) {
            self.refuse("no server has room")
        } else {
            self.refuse("all servers that were tried refused")
        };
        Some(own.caused_by(error))
    }

    fn try_again(&mut self, now: Instant, error: &SendError) -> bool {
        if !error.arrived() {
            // Nothing reached a server, so this is no repeated send.
            self.sends -= 1;
            self.connects += 1;
            let again = self.connects < MAX_CONNECTS
                && now < self.request.end
                && !matches!(error, SendError::NoServer(_));
            if again {
                self.start_send(CrowdedChoice::LookAgain);
            }
            return again;
        }
        if self.may_have_run && !self.request.idempotent {
            return false;
        }
        self.repeat(now, CrowdedChoice::LookAgain)
    }

    fn refuse(&self, reason: &'static str) -> OwnAnswer {
        let left = self.request.end.saturating_duration_since(Instant::now());
        let pause = self.rule.target_latency.mul_f64(RETRY_AFTER);
        OwnAnswer::not_run(reason, pause, left)
    }

    fn time_out(self) -> CallerAnswer {
        if let Some(failure) = self.failure {
            return CallerAnswer::Relay(failure);
        }
        // A send that is still running may have reached its server.
        if self.may_have_run || !self.running.is_empty() {
            return CallerAnswer::Own(OwnAnswer::of(504, "no response in time"));
        }
        CallerAnswer::Own(self.refuse("the time is over before a server was reached"))
    }
}
