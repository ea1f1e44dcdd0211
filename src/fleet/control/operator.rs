//! HTTP API of a control member for servers and operators.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout, timeout_at};

use super::call_tracker::{CallTracker, StopPhase};
use super::core::SharedCore;
use super::quarantine_list::{QuarantineList, parse_digest};
use crate::fleet::announcement::{self, ServerAnnouncement, ServerState};
use crate::fleet::dialect::{OperatorCall, WireDialect};
use crate::fleet::document::RouteDocument;
use crate::fleet::link::{self, CallOutcome};
use crate::fleet::listener::accept_until;
use crate::fleet::state::{FleetCommand, OrderOutcome, ZoneOrder};
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, HttpError, HttpLimits, RequestHead, ResponseHead};
use crate::ids::{LogIndex, ServerId, ZoneName};
use crate::{log_info, log_routine, log_warn};

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Timeout for the outcome of a call. It is below the second after which servers and operators call
/// another member.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 1500;

/// Interval at which a read checks whether the local state has reached the confirmed index.
const APPLY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Response to one call.
struct CallResponse {
    status: u16,
    body: Vec<u8>,
}

/// Handles calls on all accepted connections.
pub struct OperatorService {
    core: SharedCore,
    dialect: Rc<dyn WireDialect>,
    limits: HttpLimits,
    calls: Rc<CallTracker>,
}

impl OperatorService {
    pub fn new(core: SharedCore, dialect: Rc<dyn WireDialect>, calls: Rc<CallTracker>) -> Rc<Self> {
        let idle_timeout = Duration::from_secs(30);
        let limits = HttpLimits { idle_timeout, ..HttpLimits::default() };
        Rc::new(Self { core, dialect, limits, calls })
    }

    /// Accepts connections until the stop closes them.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let serve = |stream| {
            let has_capacity = self.calls.connections() < MAX_CONNECTIONS;
            if has_capacity && link::prepare_socket(&stream, link::USER_TIMEOUT).is_ok() {
                let service = Rc::clone(&self);
                let connection_guard = self.calls.begin_connection();
                tokio::task::spawn_local(async move {
                    service.serve_connection(stream).await;
                    drop(connection_guard);
                });
            }
        };
        let closing = self.calls.reach(StopPhase::Closing);
        accept_until(closing, listener, "operator", serve).await;
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let mut stream = HttpStream::new(stream);
        while self.wait_for_call(&mut stream).await {
            // A call counts from its first byte until its response is written.
            let _call_guard = self.calls.begin_call();
            match self.serve_call(&mut stream).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(_) => return,
            }
        }
        stream.close().await;
    }

    /// Waits for the first byte of a call; `false` if there will be none.
    async fn wait_for_call(&self, stream: &mut HttpStream) -> bool {
        if !stream.buffered().is_empty() {
            return true;
        }
        tokio::select! {
            read = timeout(self.limits.idle_timeout, stream.fill()) => {
                read.is_ok_and(|read| read.is_ok_and(|count| count > 0))
            }
            () = self.calls.reach(StopPhase::Closing) => {
                stream.fill_available().is_ok() && !stream.buffered().is_empty()
            }
        }
    }

    /// Reads and answers one call; returns whether the connection stays open.
    async fn serve_call(&self, stream: &mut HttpStream) -> Result<bool, HttpError> {
        let read = tokio::select! {
            biased;
            read = timeout(self.limits.idle_timeout, self.read_call(stream)) => read,
            () = self.calls.reach(StopPhase::Refusing) => {
                log_info!("call_refused", "reason=\"incomplete at the end of the stop\" status=503");
                stream.write(&self.encode(&self.stopping(), false)).await?;
                return Ok(false);
            }
        };
        let (head, body) = match read {
            Ok(Ok(Some(call))) => call,
            Ok(Err(error)) => {
                let Some(status) = error.response_status() else { return Err(error) };
                let body = self.dialect.error_body(&error.to_string());
                stream.write(&self.encode(&CallResponse { status, body }, false)).await?;
                return Ok(false);
            }
            Ok(Ok(None)) => return Ok(false),
            Err(_) => return Err(HttpError::Timeout("reading a call")),
        };
        let is_order = matches!(
            self.dialect.operator_call(&head.method, head.path()),
            OperatorCall::Evacuate(_) | OperatorCall::EndEvacuation(_)
        );
        let response = tokio::select! {
            biased;
            // After this member was frozen the call may be an old one, which its caller has sent to another
            // member since.
            () = stream.closed(MAX_BODY_BYTES), if is_order => return Ok(false),
            response = self.answer_before_exit(&head, &body) => response,
        };
        // The next call on this connection goes to another member.
        let keep_alive = head.keep_alive() && self.calls.phase() == StopPhase::Serving;
        stream.write(&self.encode(&response, keep_alive)).await?;
        Ok(keep_alive)
    }

    /// Handles a call; near the exit, says truthfully what is known about it.
    async fn answer_before_exit(&self, head: &RequestHead, body: &[u8]) -> CallResponse {
        if self.calls.phase() >= StopPhase::Refusing {
            return self.stopping();
        }
        tokio::select! {
            biased;
            response = self.handle_call(head, body) => response,
            () = self.calls.reach(StopPhase::Ending) => {
                self.failure(503, "the member stops; the outcome is not known")
            }
        }
    }

    /// Response to a call that was not proposed.
    fn stopping(&self) -> CallResponse {
        self.failure(503, "the member stops; nothing was changed")
    }

    async fn read_call(
        &self,
        stream: &mut HttpStream,
    ) -> Result<Option<(RequestHead, Vec<u8>)>, HttpError> {
        let Some(head) = stream.read_request(&self.limits).await? else { return Ok(None) };
        if head.expects_continue() {
            stream.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let mut body = Vec::new();
        let mut decoder = BodyDecoder::new(head.framing);
        if !stream.read_body(&mut decoder, &mut body, MAX_BODY_BYTES).await? {
            return Err(HttpError::BodyTooLarge(MAX_BODY_BYTES as u64));
        }
        Ok(Some((head, body)))
    }

    fn encode(&self, response: &CallResponse, keep_alive: bool) -> Vec<u8> {
        let mut head = ResponseHead::new(response.status);
        let length = response.body.len().to_string();
        let connection: &[u8] = if keep_alive { b"keep-alive" } else { b"close" };
        let kind = self.dialect.content_type().as_bytes();
        let headers: [(&str, &[u8]); 3] = [
            ("content-type", kind),
            ("content-length", length.as_bytes()),
            ("connection", connection),
        ];
        for (name, value) in headers {
            // Appending cannot fail: the values contain no control characters.
            let _ = head.headers.append(name, value);
        }
        let mut output = Vec::with_capacity(response.body.len() + 160);
        head.write_to(&mut output);
        output.extend_from_slice(&response.body);
        output
    }

    fn failure(&self, status: u16, message: &str) -> CallResponse {
        CallResponse { status, body: self.dialect.error_body(message) }
    }

    fn success(&self) -> CallResponse {
        CallResponse { status: 200, body: b"{}".to_vec() }
    }

    async fn handle_call(&self, head: &RequestHead, body: &[u8]) -> CallResponse {
        match self.dialect.operator_call(&head.method, head.path()) {
            OperatorCall::Announce(server) => self.announce(server, body).await,
            OperatorCall::Leave(server) => self.leave(server, body).await,
            OperatorCall::PutDocument => self.put_document(body).await,
            OperatorCall::GetDocument => self.get_document().await,
            OperatorCall::GetQuarantine => self.get_quarantine(),
            OperatorCall::Release(digest) => self.release(&digest).await,
            OperatorCall::Evacuate(zone) => self.order_zone(zone, true).await,
            OperatorCall::EndEvacuation(zone) => self.order_zone(zone, false).await,
            OperatorCall::Unknown => self.failure(404, "no such call"),
        }
    }

    async fn announce(&self, server: ServerId, body: &[u8]) -> CallResponse {
        let parsed = self.dialect.parse_announcement(body).and_then(|announcement| {
            announcement.check(&server)?;
            Ok(announcement)
        });
        let announcement = match parsed {
            Ok(announcement) => announcement,
            Err(error) => {
                log_warn!("announcement_refused", "server={server} error=\"{error}\"");
                return self.failure(400, &error.to_string());
            }
        };
        let now = Instant::now();
        let server_announcement = (server, announcement);
        if !self.core.borrow().state().needs_replication(&server_announcement) {
            return self.heartbeat(now, &server_announcement.0, &server_announcement.1);
        }
        let (server, announcement) = server_announcement;
        let (started, state) = (announcement.started, announcement.state);
        log_info!(
            "server_announced",
            "server={server} service={} address={} state={state:?} started={started} sequence={}",
            announcement.service,
            announcement.address,
            announcement.sequence
        );
        self.core.borrow_mut().record_heartbeat(now, &server, started);
        let command = FleetCommand::Announce(server, announcement);
        self.commit(&command).await
    }

    /// Handles an announcement that changes nothing and so only proves that the server is alive.
    fn heartbeat(
        &self,
        now: Instant,
        server: &ServerId,
        announcement: &ServerAnnouncement,
    ) -> CallResponse {
        let mut core = self.core.borrow_mut();
        let known = core.state().servers().get(server).map(|record| &record.announcement);
        let known = known.filter(|known| known.started == announcement.started);
        // A ready announcement that was sent before a drain may arrive late and still counts. A
        // draining one counts only if the drain is already recorded.
        let alive = known.is_some_and(|known| {
            announcement.state == ServerState::Ready || known.state == announcement.state
        });
        if alive {
            core.record_heartbeat(now, server, announcement.started);
        }
        self.success()
    }

    async fn leave(&self, server: ServerId, body: &[u8]) -> CallResponse {
        let started = self.dialect.parse_leave(body);
        if let Err(error) = announcement::check_leave(&server, started) {
            return self.failure(400, &error.to_string());
        }
        log_info!("server_leaves", "server={server} started={started:?}");
        self.commit(&FleetCommand::Leave(server, started)).await
    }

    /// Replicates a command. A success response means that a majority has it on disk.
    async fn commit(&self, command: &FleetCommand) -> CallResponse {
        self.commit_at(command).await.map_or_else(|failure| failure, |_| self.success())
    }

    /// Replicates a command; returns the log index at which a majority has it on disk.
    async fn commit_at(&self, command: &FleetCommand) -> Result<LogIndex, CallResponse> {
        let outcome = self.core.borrow_mut().propose(Instant::now(), command);
        match self.wait_for_outcome(outcome).await {
            Some(CallOutcome::Done { index }) => Ok(index),
            Some(CallOutcome::Refused) => Err(self.failure(503, "no leader; nothing was changed")),
            Some(CallOutcome::Unknown) | None => Err(self.failure(503, "the outcome is not known")),
        }
    }

    async fn wait_for_outcome(
        &self,
        outcome: oneshot::Receiver<CallOutcome>,
    ) -> Option<CallOutcome> {
        timeout(CALL_TIMEOUT, outcome).await.ok()?.ok()
    }

    async fn put_document(&self, body: &[u8]) -> CallResponse {
        let parsed = self.dialect.parse_document(body).and_then(|document| {
            document.check()?;
            Ok(document)
        });
        let document = match parsed {
            Ok(document) => document,
            Err(error) => {
                log_warn!("document_refused", "bytes={} error=\"{error}\"", body.len());
                return self.failure(400, &error.to_string());
            }
        };
        let version = document.version;
        let response = self.commit(&put_command(document, body)).await;
        log_info!(
            "document_put",
            "version={version} bytes={} status={} in_force={}",
            body.len(),
            response.status,
            self.core.borrow().state().document().version
        );
        response
    }

    fn get_quarantine(&self) -> CallResponse {
        let list = QuarantineList::of(&self.core.borrow(), Instant::now());
        let body = serde_json::to_vec(&list).expect("writing to memory does not fail");
        CallResponse { status: 200, body }
    }

    async fn release(&self, text: &str) -> CallResponse {
        let Some(digest) = parse_digest(text) else {
            return self.failure(400, "the digest is not a hexadecimal number of 128 bits");
        };
        if !self.core.borrow().state().quarantine().contains_key(&digest) {
            return self.failure(404, "this request is not in quarantine");
        }
        log_info!("release_requested", "digest={digest:032x}");
        self.commit(&FleetCommand::Release(vec![digest])).await
    }

    /// Evacuates an availability zone or ends that. An order that is outdated when it is applied is proposed
    /// again: its caller still waits, so it comes after the contrary one.
    async fn order_zone(&self, zone: ZoneName, evacuates: bool) -> CallResponse {
        if let Err(message) = check_zone(&zone) {
            log_warn!("evacuation_refused", "error=\"{message}\"");
            return self.failure(400, message);
        }
        let event = if evacuates { "evacuation_requested" } else { "evacuation_end_requested" };
        log_info!(event, "zone={zone}");
        let placed = timeout(CALL_TIMEOUT, self.place_order(&zone, evacuates)).await;
        placed.unwrap_or_else(|_| self.failure(503, "the outcome is not known"))
    }

    async fn place_order(&self, zone: &ZoneName, evacuates: bool) -> CallResponse {
        loop {
            let seen = self.core.borrow().applied();
            let order = ZoneOrder { zone: zone.clone(), evacuates, seen };
            let index = match self.commit_at(&FleetCommand::OrderZone(order)).await {
                Ok(index) => index,
                Err(failure) => return failure,
            };
            self.wait_until_applied(index).await;
            let outcome = self.core.borrow().state().order_outcome(index);
            match outcome {
                OrderOutcome::InForce => return self.success(),
                OrderOutcome::Outdated => log_info!("evacuation_outdated", "zone={zone}"),
                OrderOutcome::Refused => {
                    log_warn!("evacuation_refused", "error=\"too many zones are evacuated\"");
                    return self.failure(409, "too many availability zones are evacuated");
                }
            }
        }
    }

    /// Waits until the local state includes the log entry `index`.
    async fn wait_until_applied(&self, index: LogIndex) {
        while self.core.borrow().applied() < index {
            sleep(APPLY_POLL_INTERVAL).await;
        }
    }

    /// Returns the current document. This is a linearizable read: it fails unless a majority confirms
    /// the leader.
    async fn get_document(&self) -> CallResponse {
        let deadline = tokio::time::Instant::now() + CALL_TIMEOUT;
        let outcome = self.core.borrow_mut().read_index(Instant::now());
        let Ok(Ok(CallOutcome::Done { index })) = timeout_at(deadline, outcome).await else {
            log_routine!("read_refused", "reason=no_majority");
            return self.failure(503, "no majority confirms the newest document");
        };
        if timeout_at(deadline, self.wait_until_applied(index)).await.is_err() {
            return self.failure(503, "this member is behind");
        }
        match self.core.borrow().state().text() {
            Some(text) => CallResponse { status: 200, body: text.to_vec() },
            None => self.failure(503, "there is no document yet"),
        }
    }
}

/// Checks the name of an availability zone. Anyone who reaches a member can call it, and all members and
/// entries hold the name.
fn check_zone(zone: &ZoneName) -> Result<(), &'static str> {
    if announcement::is_printable_name(zone) {
        Ok(())
    } else {
        Err("the availability zone is too long or not printable ASCII")
    }
}

fn put_command(document: RouteDocument, body: &[u8]) -> FleetCommand {
    FleetCommand::PutDocument { document: Box::new(document), text: body.to_vec() }
}
