//! Server selection with a health probe before each send.
//!
//! A server's load changes within tens of milliseconds, and an entry sees only a part of the
//! traffic, so load reports from earlier responses are mostly too old. A health probe returns the
//! load within one or two milliseconds, on the connection that the request will use. It also shows
//! that the connection and the server are alive, which matters most for requests that must not be
//! sent twice.

use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at};

use super::context::EntryContext;
use super::outgoing::OutgoingRequest;
use super::room_gate::ProbeGuard;
use crate::fleet::balance::{ChosenServer, SendOutcome};
use crate::fleet::dialect::ReportedLoad;
use crate::fleet::link;
use crate::fleet::room::FindAllowance;
use crate::fleet::room::probe_plan::{
    CONNECT_TIMEOUT, PROBE_PATIENCE, PROBE_TIMEOUT, ProbeNumber, ProbePlan, ProbeStep,
};
use crate::fleet::stream::HttpStream;
use crate::fleet::zone_balance::CallerTerms;
use crate::http::{BodyDecoder, BodyFraming, HttpError, HttpLimits, ResponseHead};
use crate::ids::{ServerId, ServiceName};

/// A load report younger than this makes a probe unnecessary.
pub(super) const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(25);

/// Number of full servers in the first pass after which the service counts as crowded.
const MAX_FULL_FIRST_PASS: usize = 3;

/// The same for the second pass. It is lower because each probe occupies a slot for some
/// milliseconds.
const MAX_FULL_SECOND_PASS: usize = 2;

/// Delay before the second pass over a crowded service.
const CROWDED_DELAY: Duration = Duration::from_millis(20);

/// Servers without an open connection that are left out for one request while none may be opened.
const MAX_SKIPPED: usize = 4;

/// Maximum size of the body of a health page.
const MAX_HEALTH_BODY_BYTES: usize = 16 << 10;

/// Why a health probe returned no load report.
#[derive(Debug, Error)]
pub enum ProbeError {
    #[error("connecting failed: {0}")]
    Connect(std::io::Error),
    #[error("no answer within {} ms", PROBE_TIMEOUT.as_millis())]
    Timeout,
    #[error("no answer within {} ms, and another server was chosen", PROBE_PATIENCE.as_millis())]
    SlowAnswer,
    #[error("no connection within {} ms", CONNECT_TIMEOUT.as_millis())]
    ConnectTimeout,
    #[error("no connection within {} ms, and another server was chosen", PROBE_PATIENCE.as_millis())]
    SlowConnect,
    #[error("invalid response: {0}")]
    Broken(#[from] HttpError),
    #[error("the address belongs to another server")]
    OtherServer,
}

/// Results of the probes for one send, reported when no server has room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Error)]
#[error("{probed} servers probed, {full} full, {disturbed} disturbed, {unanswered} unanswered")]
pub struct ProbeCounts {
    probed: u32,
    full: u32,
    disturbed: u32,
    unanswered: u32,
}

/// What to do when no probed server has room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrowdedPolicy {
    /// Probe again after a delay, then take any server with a free slot.
    ProbeAgain,
    /// Choose no server: a hedged send would only add to the queue in which the first send waits.
    GiveUp,
}

/// Chooses a server for the request that is not in `tried`.
///
/// A server without a free slot is not chosen. Servers slow down when they are nearly full, so
/// further requests to a crowded service would delay all its requests. A refused caller can retry.
pub async fn choose_server(
    context: &Rc<EntryContext>,
    request: &OutgoingRequest,
    tried: &[ServerId],
    crowded_policy: CrowdedPolicy,
) -> Result<ChosenServer, ProbeCounts> {
    let result = find_server(context, request, tried, crowded_policy).await;
    if crowded_policy == CrowdedPolicy::ProbeAgain {
        context.record_choice(&request.service, result.is_ok());
    }
    result
}

async fn find_server(
    context: &Rc<EntryContext>,
    request: &OutgoingRequest,
    tried: &[ServerId],
    crowded_policy: CrowdedPolicy,
) -> Result<ChosenServer, ProbeCounts> {
    let service = &request.service;
    let terms = request.caller_terms(!tried.is_empty());
    let target = (service, terms);
    let mut counts = ProbeCounts::default();
    let mut excluded = tried.to_vec();
    let found =
        find_server_with_room(context, target, &mut excluded, MAX_FULL_FIRST_PASS, &mut counts)
            .await;
    if let Some(found) = found {
        return Ok(found);
    }
    if context.is_room_short(service) {
        // A server that may be full would refuse the request, or never answer it.
        let known =
            context.choose_by_cost(service, tried, &terms).filter(ChosenServer::is_known_free);
        return known.ok_or(counts);
    }
    let is_withdrawn =
        context.with_balancer(service, |balancer| balancer.is_withdrawn(Instant::now()));
    if crowded_policy == CrowdedPolicy::GiveUp || is_withdrawn {
        return Err(counts);
    }
    sleep(CROWDED_DELAY).await;
    let mut excluded = tried.to_vec();
    let found =
        find_server_with_room(context, target, &mut excluded, MAX_FULL_SECOND_PASS, &mut counts)
            .await;
    let found = found.or_else(|| {
        context.choose_unprobed(service, tried, &terms).filter(|chosen| chosen.has_free_slot)
    });
    found.ok_or(counts)
}

/// Probes servers in the order of their cost until one has room. While a probe is overdue, the next
/// one runs beside it.
///
/// A disturbed server says nothing about the others. Full servers show that the service is crowded,
/// and further probes would only occupy more of its slots.
async fn find_server_with_room(
    context: &Rc<EntryContext>,
    (service, terms): (&ServiceName, CallerTerms),
    excluded: &mut Vec<ServerId>,
    max_full: usize,
    counts: &mut ProbeCounts,
) -> Option<ChosenServer> {
    let allowance = context.find_allowance(service);
    let mut race = ProbeRace::new(context, (service, terms), max_full, allowance);
    let found = race.run(excluded, counts).await;
    race.record_overdue(counts);
    found
}

/// Progress of one probe.
enum ProbeEvent {
    Connected,
    Answered(Option<ReportedLoad>),
    /// The server rejected the health check like any other request, and reports no load.
    Rejected,
    Failed,
}

/// Concurrent probes for one choice of a server.
struct ProbeRace<'a> {
    context: &'a Rc<EntryContext>,
    service: &'a ServiceName,
    terms: CallerTerms,
    plan: ProbePlan,
    /// New connections that may be opened.
    dials_left: usize,
    /// Servers that were left out because no connection to them is open, and the best of them.
    skipped_count: usize,
    best_skipped: Option<(ChosenServer, Box<str>)>,
    /// Probed servers by number.
    probed: Vec<Rc<ChosenServer>>,
    sender: mpsc::UnboundedSender<(ProbeNumber, ProbeEvent)>,
    events: mpsc::UnboundedReceiver<(ProbeNumber, ProbeEvent)>,
}

impl<'a> ProbeRace<'a> {
    fn new(
        context: &'a Rc<EntryContext>,
        (service, terms): (&'a ServiceName, CallerTerms),
        max_full: usize,
        allowance: FindAllowance,
    ) -> Self {
        let plan = ProbePlan::new(max_full);
        let (plan, dials_left) = match allowance {
            FindAllowance::Ample => (plan, usize::MAX),
            FindAllowance::Limited { probes, dials } => (plan.with_max_probes(probes), dials),
            FindAllowance::Nothing => (plan.with_max_probes(0), 0),
        };
        let (sender, events) = mpsc::unbounded_channel();
        Self {
            context,
            service,
            terms,
            plan,
            dials_left,
            skipped_count: 0,
            best_skipped: None,
            probed: Vec::new(),
            sender,
            events,
        }
    }

    async fn run(
        &mut self,
        excluded: &mut Vec<ServerId>,
        counts: &mut ProbeCounts,
    ) -> Option<ChosenServer> {
        loop {
            match self.plan.next(Instant::now()) {
                ProbeStep::Start => {
                    let Some(chosen) =
                        self.context.choose_by_cost(self.service, excluded, &self.terms)
                    else {
                        counts.probed += u32::from(self.start_best_skipped());
                        continue;
                    };
                    let Some(path) = self.context.health_path(self.service) else {
                        return Some(chosen);
                    };
                    excluded.push(chosen.server.clone());
                    if chosen.load_age.is_none_or(|age| age >= LOAD_REPORT_LIFETIME) {
                        counts.probed += u32::from(self.start_if_allowed(chosen, path));
                    } else if chosen.has_spare_capacity {
                        return Some(chosen);
                    }
                }
                ProbeStep::Wait(until) => {
                    let next = timeout_at(until.into(), self.events.recv()).await;
                    let Ok(Some((number, event))) = next else { continue };
                    if let Some(found) = self.handle_event(number, event, counts) {
                        return Some(found);
                    }
                }
                ProbeStep::GiveUp => return None,
            }
        }
    }

    /// Starts a probe, unless it needs a connection that may not be opened. Returns whether one was started.
    ///
    /// Without an open connection to any of the servers, the best of them is probed nevertheless.
    fn start_if_allowed(&mut self, chosen: ChosenServer, path: Box<str>) -> bool {
        let now = Instant::now();
        let idle = self.context.connections.take(now, &chosen.server, chosen.address);
        if idle.is_some() || self.dials_left > 0 {
            self.dials_left -= usize::from(idle.is_none());
            self.start(now, chosen, path, idle);
            return true;
        }
        self.best_skipped.get_or_insert((chosen, path));
        self.skipped_count += 1;
        self.skipped_count >= MAX_SKIPPED && self.start_best_skipped()
    }

    /// Ends the choice of further servers. If none was probed, probes the best of those that were left out;
    /// returns whether there is one.
    fn start_best_skipped(&mut self) -> bool {
        self.plan.no_more_servers();
        let best = self.best_skipped.take().filter(|_| self.probed.is_empty());
        let Some((best, path)) = best else { return false };
        self.start(Instant::now(), best, path, None);
        true
    }

    /// Starts a probe. It runs to its end even if another server is chosen meanwhile, because its
    /// result and its connection are useful to later requests.
    fn start(
        &mut self,
        now: Instant,
        chosen: ChosenServer,
        path: Box<str>,
        idle: Option<HttpStream>,
    ) {
        let chosen = Rc::new(chosen);
        self.probed.push(Rc::clone(&chosen));
        let number = self.plan.record_start(now, idle.is_some());
        let probe = ServerProbe {
            context: Rc::clone(self.context),
            service: self.service.clone(),
            path,
            chosen,
            number,
            events: self.sender.clone(),
            _in_flight: ProbeGuard::new(self.context, self.service),
        };
        tokio::task::spawn_local(probe.run(idle));
    }

    /// Returns the server if it has room.
    fn handle_event(
        &mut self,
        number: ProbeNumber,
        event: ProbeEvent,
        counts: &mut ProbeCounts,
    ) -> Option<ChosenServer> {
        match event {
            ProbeEvent::Connected => self.plan.record_connected(Instant::now(), number),
            ProbeEvent::Answered(Some(report)) if !report.has_spare_capacity() => {
                self.plan.record_result(number, !report.is_degraded());
                counts.disturbed += u32::from(report.is_degraded());
                counts.full += u32::from(!report.is_degraded());
            }
            ProbeEvent::Answered(_) => {
                self.plan.record_result(number, false);
                if !self.context.is_open(self.service, &self.probed[number]) {
                    return None;
                }
                return Some(ChosenServer::clone(&self.probed[number]));
            }
            ProbeEvent::Rejected => {
                self.plan.record_result(number, true);
                counts.full += 1;
            }
            ProbeEvent::Failed => {
                self.plan.record_result(number, false);
                counts.unanswered += 1;
            }
        }
        None
    }

    /// Records the probes that are still overdue at the end.
    fn record_overdue(&self, counts: &mut ProbeCounts) {
        for (number, is_connected) in self.plan.overdue(Instant::now()) {
            let error = if is_connected { ProbeError::SlowAnswer } else { ProbeError::SlowConnect };
            counts.unanswered += 1;
            record_probe_failure(self.context, self.service, &self.probed[number], &error);
        }
    }
}

/// One probe in progress.
struct ServerProbe {
    context: Rc<EntryContext>,
    service: ServiceName,
    path: Box<str>,
    chosen: Rc<ChosenServer>,
    number: ProbeNumber,
    events: mpsc::UnboundedSender<(ProbeNumber, ProbeEvent)>,
    _in_flight: ProbeGuard,
}

impl ServerProbe {
    async fn run(self, idle: Option<HttpStream>) {
        let result = self.probe(idle).await;
        if let Some(has_room) = found_room(&result) {
            self.context.record_find(Instant::now(), &self.service, has_room);
        }
        match result {
            Ok(event) => self.report(event),
            Err(error) => {
                record_probe_failure(&self.context, &self.service, &self.chosen, &error);
                self.report(ProbeEvent::Failed);
            }
        }
    }

    fn report(&self, event: ProbeEvent) {
        // The choice may have ended already.
        let _ = self.events.send((self.number, event));
    }

    async fn probe(&self, idle: Option<HttpStream>) -> Result<ProbeEvent, ProbeError> {
        let stream = match idle {
            Some(stream) => stream,
            None => {
                let stream = open_connection(&self.context, &self.service, &self.chosen).await?;
                self.report(ProbeEvent::Connected);
                stream
            }
        };
        timeout(PROBE_TIMEOUT, self.ask(stream)).await.map_err(|_| ProbeError::Timeout)?
    }

    /// Requests the health page; returns what the answer says about the load.
    async fn ask(&self, mut stream: HttpStream) -> Result<ProbeEvent, ProbeError> {
        let (context, chosen) = (&self.context, &self.chosen);
        context.metrics.record_send(&self.service, "measured");
        let request = format!("GET {} HTTP/1.1\r\nhost: {}\r\n\r\n", self.path, chosen.address);
        let (head, complete) = request_health_page(context, &mut stream, &request, chosen).await?;
        let now = Instant::now();
        let report = context.record_load(now, &self.service, &chosen.server, &head);
        context.record_statement(now, &self.service, chosen, &head);
        context.record_health(now, &self.service, chosen, &head);
        // A second copy of a rejection bears no id that would tell it from the next answer.
        let is_rejected = head.headers.get(context.dialect.headers().not_run).is_some();
        if complete && !is_rejected && !context.is_evacuated(&self.service, chosen) {
            context.connections.put(now, &chosen.server, chosen.address, stream, &head);
        }
        match report {
            None if is_rejected => Ok(ProbeEvent::Rejected),
            report => Ok(ProbeEvent::Answered(report)),
        }
    }
}

/// What a probe says about the room at the service. A disturbed server, or one that is down, says nothing.
fn found_room(result: &Result<ProbeEvent, ProbeError>) -> Option<bool> {
    match result {
        Ok(ProbeEvent::Answered(Some(report))) if report.has_spare_capacity() => Some(true),
        Ok(ProbeEvent::Answered(Some(report))) => (!report.is_degraded()).then_some(false),
        Ok(ProbeEvent::Answered(None)) => Some(true),
        Ok(ProbeEvent::Rejected) | Err(ProbeError::Timeout) => Some(false),
        Ok(ProbeEvent::Connected | ProbeEvent::Failed) | Err(_) => None,
    }
}

fn record_probe_failure(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
    error: &ProbeError,
) {
    let now = Instant::now();
    let outcome = match error {
        // A full server delays the health page as long as any request.
        ProbeError::Timeout | ProbeError::SlowAnswer => SendOutcome::Unanswered,
        _ => SendOutcome::Unreachable,
    };
    context.with_balancer(service, |balancer| balancer.begin_send(&chosen.server));
    let ejected = context.end_send(now, service, &chosen.server, outcome, Duration::ZERO);
    crate::log_routine!(
        "server_unreachable",
        "service={service} server={} closed={ejected} error=\"{error}\"",
        chosen.server
    );
}

/// Requests the health page; returns its head and whether its body was read completely.
async fn request_health_page(
    context: &EntryContext,
    stream: &mut HttpStream,
    request: &str,
    chosen: &ChosenServer,
) -> Result<(ResponseHead, bool), ProbeError> {
    let header_names = context.dialect.headers();
    stream.write(request.as_bytes()).await.map_err(HttpError::from)?;
    let head = stream.read_response(&HttpLimits::default()).await?;
    if head.headers.get(header_names.request_id).is_some() {
        // A late response to an earlier request; the connection is not reused.
        return Err(HttpError::UnexpectedBytes.into());
    }
    let framing = BodyFraming::of_response("GET", &head)?;
    let mut body = Vec::new();
    let mut decoder = BodyDecoder::new(framing);
    let complete = stream.read_body(&mut decoder, &mut body, MAX_HEALTH_BODY_BYTES).await?;
    let server = head.headers.get(header_names.server_id);
    if server.is_some_and(|server| server != chosen.server.as_bytes()) {
        return Err(ProbeError::OtherServer);
    }
    Ok((head, complete))
}

/// Takes an idle connection to the server from the pool, or opens one.
pub async fn connect(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
) -> Result<HttpStream, ProbeError> {
    let idle = context.connections.take(Instant::now(), &chosen.server, chosen.address);
    match idle {
        Some(stream) => Ok(stream),
        None => open_connection(context, service, chosen).await,
    }
}

/// Opens a connection to the server.
pub async fn open_connection(
    context: &EntryContext,
    service: &ServiceName,
    chosen: &ChosenServer,
) -> Result<HttpStream, ProbeError> {
    let started_at = Instant::now();
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(chosen.address)).await;
    let connected = connected.map_err(|_| ProbeError::ConnectTimeout)?;
    let stream = connected.map_err(ProbeError::Connect)?;
    link::prepare_socket(&stream, link::USER_TIMEOUT).map_err(ProbeError::Connect)?;
    context.metrics.record_opened_connection(service);
    let elapsed = started_at.elapsed();
    context.with_balancer(service, |balancer| balancer.record_connect(&chosen.server, elapsed));
    Ok(HttpStream::new(stream))
}
