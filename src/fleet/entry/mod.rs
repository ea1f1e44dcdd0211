//! Entry process: forwards callers' requests by the routes and servers that the control members
//! report.

mod activity;
mod authentication;
mod caller;
mod connections;
mod context;
pub mod crash_evidence;
mod crash_gate;
pub mod crash_outbox;
mod crash_watch;
mod explain;
mod follow;
pub mod local_quarantine;
mod local_response;
mod measure;
mod metrics;
mod not_run;
mod outgoing;
mod quota_gate;
mod reader;
mod relay;
mod request;
mod room_gate;
mod send;
pub mod served_digests;
mod server_body;
pub mod suspect_hold;
pub mod suspect_runs;
mod watched_send;
mod withheld_servers;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout, timeout_at};

use self::activity::RequestStage;
use self::context::{ANSWER_TIME, EntryContext, EntryPhase};
use self::follow::FleetFollower;
use super::config::{EntryConfig, FleetConfig};
use super::dialect::WireDialect;
use super::explain::{ExplainQuery, QueryError, SendExplanation};
use super::listener::{ListenError, accept_each, listen};
use super::stream::HttpStream;
use crate::http::{HttpLimits, RequestHead};
use crate::{log_info, log_warn};

/// Minimum duration of a shutdown: callers need this long to notice that the entry is stopping.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(2500);

/// Fraction of the grace period after which idle connections are closed. An earlier close crosses more
/// requests.
const CLOSING_FRACTION: f64 = 0.5;

/// Time for which closed connections wait for their callers before the process exits.
const CLOSING_TIME: Duration = Duration::from_millis(600);

/// Time before the end of the grace period at which the process exits even if requests are in
/// progress.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit at which requests that have not arrived completely are refused. It covers the
/// way of the refusal to the caller on a slow line, and the time for which its connection is drained:
/// unread data at the exit would reset the connection and lose the refusal.
const REFUSAL_TIME: Duration = Duration::from_millis(700);

/// Fraction of the grace period for which servers may work on requests. A request that may outlast the
/// exit and has no response by then is answered by the entry. Users count an earlier answer as a loss.
const SERVER_TIME_FRACTION: f64 = 5.0 / 6.0;

/// Time for which a response that a server has sent until then may be on its way.
const RESPONSE_TRAVEL_TIME: Duration = Duration::from_millis(50);

/// Interval at which a stopping entry checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of requests that are logged one by one when a stop cuts them off.
const MAX_LOGGED_REQUESTS: usize = 16;

/// A running entry.
pub struct EntryProcess {
    context: Rc<EntryContext>,
    follower: Rc<FleetFollower>,
    /// Task that accepts callers; taken by the stop.
    accept_task: RefCell<Option<JoinHandle<()>>>,
}

impl EntryProcess {
    /// Binds the listeners and serves in the background.
    pub async fn start(
        config: &FleetConfig,
        entry: &EntryConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Result<Self, ListenError> {
        let context = EntryContext::new(config, entry, dialect);
        let traffic = listen(entry.traffic).await?;
        let readiness = listen(entry.readiness).await?;
        let follower = FleetFollower::new(Rc::clone(&context), config.seeds.clone());
        tokio::task::spawn_local(Rc::clone(&follower).run());
        tokio::task::spawn_local(Rc::clone(&context.quota).run());
        let accept_task = tokio::task::spawn_local(caller::serve(traffic, Rc::clone(&context)));
        tokio::task::spawn_local(serve_readiness(readiness, Rc::clone(&context)));
        Ok(Self { context, follower, accept_task: RefCell::new(Some(accept_task)) })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.follower.set_seeds(seeds);
    }

    /// Explains what would become of a request that arrives now.
    ///
    /// # Errors
    ///
    /// Fails if the document in force has no tenant of the given name.
    pub fn explain(&self, query: &ExplainQuery) -> Result<SendExplanation, QueryError> {
        self.context.explain(query)
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        let metrics = &self.context.metrics;
        metrics.idle_connections.set(self.context.connections.len() as i64);
        metrics.held_body_bytes.set(self.context.held_bytes.total() as i64);
        let now = Instant::now();
        let (leaving, paused) = self.context.stated_counts(now);
        metrics.leaving_servers.set(leaving as i64);
        metrics.paused_servers.set(paused as i64);
        metrics.withheld.cold_servers.set(self.context.cold_count(now) as i64);
        metrics.held_response_bytes.set(self.context.held_responses.total() as i64);
        metrics.suspect_requests.set(self.context.crash_watch.suspect_count() as i64);
        metrics.held_suspects.set(self.context.crash_watch.held_count() as i64);
        metrics.revision.set(self.context.state.borrow().revision().cast_signed());
        metrics.fresh_members.set(self.follower.fresh_members(Instant::now()) as i64);
        metrics.encode()
    }

    /// Reports the entry as not ready, finishes requests in progress and returns within `grace`.
    pub async fn stop(&self, grace: Duration) {
        let started = Instant::now();
        let end = grace.saturating_sub(GRACE_MARGIN);
        let ending_at = end.saturating_sub(REFUSAL_TIME);
        let closing_at = grace.mul_f64(CLOSING_FRACTION).max(MIN_SHUTDOWN_TIME).min(ending_at);
        let giving_up_at = (grace.mul_f64(SERVER_TIME_FRACTION) + RESPONSE_TRAVEL_TIME)
            .max(ending_at)
            .min(end.saturating_sub(ANSWER_TIME));
        self.context.begin_stop(started + end);
        // New requests are few from now on, and a long response that is not complete at the exit is cut.
        for pacer in [&self.context.server_pacer, &self.context.caller_pacer] {
            pacer.borrow_mut().use_whole_line();
        }
        while started.elapsed() < closing_at {
            sleep(IDLE_CHECK_INTERVAL).await;
            if self.is_idle() && started.elapsed() >= MIN_SHUTDOWN_TIME {
                break;
            }
        }
        let phases = [
            (EntryPhase::Closing, ending_at),
            (EntryPhase::Ending, giving_up_at),
            (EntryPhase::GivingUp, end),
        ];
        for (phase, phase_end) in phases {
            self.context.phase.send_replace(phase);
            // An idle entry can still have callers in the queue of its listener.
            if let Some(accept_task) = self.accept_task.take() {
                let _ = timeout_at((started + end).into(), accept_task).await;
                tokio::task::yield_now().await;
            }
            self.wait_for_callers(started + phase_end).await;
        }
        self.log_stop(started.elapsed(), grace);
    }

    /// Waits until all requests are answered and their connections are closed, or until `end`.
    async fn wait_for_callers(&self, end: Instant) {
        let mut active_until = Instant::now();
        while Instant::now() < end && !self.is_idle() {
            let now = Instant::now();
            let closing = self.context.metrics.closing_connections.get();
            if !self.context.active_requests.is_empty() || closing > 0 {
                active_until = now;
            } else if now.duration_since(active_until) >= CLOSING_TIME {
                return;
            }
            sleep(IDLE_CHECK_INTERVAL.min(end.saturating_duration_since(now))).await;
        }
    }

    /// Logs the end of a stop and each request that it cuts off.
    fn log_stop(&self, elapsed: Duration, grace: Duration) {
        let active = self.context.active_requests.report(Instant::now());
        let count = |stage| active.iter().filter(|request| request.stage == stage).count();
        log_info!(
            "entry_stopped",
            "active={} receiving={} handling={} responding={} connections={} after_ms={} \
             grace_ms={}",
            active.len(),
            count(RequestStage::Receiving),
            count(RequestStage::Handling),
            count(RequestStage::Responding),
            self.context.metrics.caller_connections.get(),
            elapsed.as_millis(),
            grace.as_millis()
        );
        for request in active.iter().take(MAX_LOGGED_REQUESTS) {
            log_warn!("request_cut", "{request}");
        }
    }

    /// Whether no request is in progress and no caller is connected.
    fn is_idle(&self) -> bool {
        let context = &self.context;
        context.active_requests.is_empty() && context.metrics.caller_connections.get() == 0
    }
}

/// Answers the load balancer's readiness checks.
async fn serve_readiness(listener: TcpListener, context: Rc<EntryContext>) {
    let serve = |stream| {
        let context = Rc::clone(&context);
        tokio::task::spawn_local(async move { serve_readiness_connection(&context, stream).await });
    };
    accept_each(&listener, "readiness", serve).await;
}

async fn serve_readiness_connection(context: &EntryContext, stream: TcpStream) {
    let mut stream = HttpStream::new(stream);
    let limits = HttpLimits::default();
    loop {
        let read = timeout(limits.head_timeout, stream.read_request(&limits)).await;
        let Ok(Ok(Some(head))) = read else { return };
        let response = readiness_response(context, &head);
        if stream.write(response.as_bytes()).await.is_err() {
            return;
        }
        if !head.keep_alive() {
            return stream.close().await;
        }
    }
}

fn readiness_response(context: &EntryContext, head: &RequestHead) -> &'static str {
    if !context.dialect.is_readiness(&head.method, head.path()) {
        return "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    }
    if context.is_ready() {
        return "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    }
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
}
