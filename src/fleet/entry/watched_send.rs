//! Follows one send until its server has completed the request or has crashed.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{Map, Shared};
use tokio::net::TcpStream;
use tokio::task::{JoinError, JoinHandle, spawn_local};
use tokio::time::timeout_at;

use super::context::EntryContext;
use super::crash_evidence::{
    BrokenSend, CrashProof, EVIDENCE_PATIENCE, MAX_PENDING_EVIDENCE, MIN_RESTART_TIME,
    ReplicaVerdict, judge,
};
use super::crash_outbox::NoticePosition;
use super::outgoing::OutgoingRequest;
use super::send::{SendError, ServerResponse};
use super::server_body::ServerBody;
use super::suspect_runs::SuspectRun;
use crate::fleet::announcement::IncarnationStart;
use crate::fleet::balance::ChosenServer;
use crate::http::{BodyFraming, HttpError};
use crate::ids::{RequestDigest, ServerId};

/// Time for which the end of a broken send waits until the evidence is checked and told. The request
/// can come again right after its response, at any entry.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);

/// Timeout of the first connection attempt that checks a server. A host without the server refuses within
/// a round trip; a part of [`MAX_REPORT_WAIT`] remains for the report. Each further attempt has twice as
/// long, for lost packets and busy lines.
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after a lost connection for which the end of a send waits for control's decision on a request
/// that is held. The attempt has failed anyway, and its caller learns the final status when it comes again.
const MAX_DECISION_WAIT: Duration = Duration::from_millis(500);

/// Maximum delay with which the loss of a connection is noticed by a relay and still is evidence. After
/// more time, a server that was stopped as planned can be back.
const MAX_NOTICE_DELAY: Duration = MIN_RESTART_TIME;

/// What the end of a send says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEnd {
    /// The server completed the request.
    Served,
    /// The server ended the connection at this time, before its response was complete.
    Lost(Instant),
    /// Neither.
    Unknown,
}

impl SendEnd {
    fn of_result(
        now: Instant,
        request: &OutgoingRequest,
        result: &Result<ServerResponse, SendError>,
    ) -> Self {
        match result {
            Ok(ServerResponse { head, body: ServerBody::Complete(_), .. }) => {
                let is_framed = BodyFraming::of_response(&request.method, head).is_ok();
                Self::of_complete(head.status, is_framed)
            }
            // The relay goes on with the send.
            Ok(_) => Self::Unknown,
            Err(SendError::Broken(error)) => Self::of_error(now, error),
            Err(_) => Self::Unknown,
        }
    }

    /// End of a send with a complete response. The crash of a server looks like the end of a body without
    /// a length.
    pub fn of_complete(status: u16, is_framed: bool) -> Self {
        if status < 500 && is_framed { Self::Served } else { Self::Unknown }
    }

    /// Timeouts and invalid responses come from servers that did not crash, or from the network.
    fn of_error(now: Instant, error: &HttpError) -> Self {
        let is_lost = match error {
            HttpError::Truncated => true,
            HttpError::Io(error) => matches!(
                error.kind(),
                io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
                    | io::ErrorKind::UnexpectedEof
                    | io::ErrorKind::NotConnected
            ),
            _ => false,
        };
        if is_lost { Self::Lost(now) } else { Self::Unknown }
    }

    /// End of a relay. A relay that is paced or has a slow caller reads a lost connection to its end much
    /// later; `drained_at` is the time until which the connection was certainly open.
    pub fn of_relay_error(error: &HttpError, now: Instant, drained_at: Instant) -> Self {
        let notice_delay = now.saturating_duration_since(drained_at);
        if notice_delay > MAX_NOTICE_DELAY { Self::Unknown } else { Self::of_error(now, error) }
    }
}

/// Send in progress, with what is needed to report a crash of its server.
pub struct WatchedSend {
    server: ServerId,
    started: IncarnationStart,
    address: SocketAddr,
    sent_at: Instant,
    /// Known suspension of the machine when the send began.
    suspension: Duration,
    /// Keeps other suspects off the server.
    _run: Option<SuspectRun>,
}

impl WatchedSend {
    /// Creates the record of a send that begins now; `None` if the server has left the replica.
    pub fn begin(
        context: &EntryContext,
        chosen: &ChosenServer,
        run: Option<SuspectRun>,
    ) -> Option<Self> {
        let started = context.state.borrow().servers().get(&chosen.server)?.announcement.started;
        Some(Self {
            server: chosen.server.clone(),
            started,
            address: chosen.address,
            sent_at: Instant::now(),
            suspension: context.known_suspension(),
            _run: run,
        })
    }

    /// Adds the identity of the request, which is dropped as soon as its digest is known.
    pub fn identify(self, request: &Rc<OutgoingRequest>) -> IdentifiedSend {
        let (request_id, request) = (request.id.clone(), Rc::clone(request));
        let digest = spawn_local(async move {
            request.prepare_digest().await;
            request.digest()
        });
        IdentifiedSend {
            request_id,
            digest: digest.map(Result::ok as DigestResult).shared(),
            send: self,
        }
    }

    /// Records the end of the send; waits as [`IdentifiedSend::end`].
    pub async fn end(
        self,
        context: &Rc<EntryContext>,
        request: &Rc<OutgoingRequest>,
        result: &Result<ServerResponse, SendError>,
    ) {
        let end = SendEnd::of_result(Instant::now(), request, result);
        if context.needs_identity(end) {
            self.identify(request).end(context, end, request.deadline).await;
        }
    }
}

/// Digest that is being computed; `None` if the entry ends before.
type PendingDigest = Shared<Map<JoinHandle<RequestDigest>, DigestResult>>;

type DigestResult = fn(Result<RequestDigest, JoinError>) -> Option<RequestDigest>;

/// Send in progress whose request is known by its digest. Dropping it is no evidence.
pub struct IdentifiedSend {
    request_id: Box<str>,
    digest: PendingDigest,
    send: WatchedSend,
}

impl IdentifiedSend {
    /// Records the end of the send. After a lost connection, this waits, until `wait_deadline` at the latest,
    /// for the evidence to be checked and told. If the wait is cancelled, because the caller has left or the
    /// time is over, the work goes on.
    pub async fn end(self, context: &Rc<EntryContext>, end: SendEnd, wait_deadline: Instant) {
        if !context.needs_identity(end) {
            return;
        }
        let (digest, task_context) = (self.digest.clone(), Rc::clone(context));
        let record = spawn_local(async move { self.record_end(&task_context, end).await });
        let Some(digest) = digest.await else { return };
        match end {
            SendEnd::Lost(broken_at) => {
                context.wait_for_report(record, digest, broken_at, wait_deadline).await;
            }
            SendEnd::Served | SendEnd::Unknown => {
                let _ = record.await;
            }
        }
    }

    async fn record_end(self, context: &EntryContext, end: SendEnd) {
        let Some(digest) = self.digest.clone().await else { return };
        match end {
            SendEnd::Served => context.record_served(&self.request_id, digest, &self.send.server),
            SendEnd::Lost(broken_at) => self.report_loss(context, digest, broken_at).await,
            SendEnd::Unknown => {}
        }
    }

    /// Checks whether the server crashed, and reports it.
    async fn report_loss(self, context: &EntryContext, digest: RequestDigest, broken_at: Instant) {
        context.check_suspension();
        if context.known_suspension() != self.send.suspension {
            // Whatever ended the connection may have been planned while this machine was suspended.
            return;
        }
        let broken = BrokenSend {
            request: self.request_id,
            digest,
            server: self.send.server.clone(),
            started: self.send.started,
            address: self.send.address,
            sent_at: self.send.sent_at,
            broken_at,
        };
        let watch = &context.crash_watch;
        let position = match judge_send(context, &broken) {
            ReplicaVerdict::PlannedStop => None,
            ReplicaVerdict::Crashed(proof) => {
                Some(context.record_crash(Instant::now(), &broken, proof))
            }
            ReplicaVerdict::Undecided if watch.running_checks.get() >= MAX_PENDING_EVIDENCE => {
                watch.pending.borrow_mut().add(broken_at, broken);
                None
            }
            ReplicaVerdict::Undecided => check_server(context, broken).await,
        };
        if let Some(position) = position {
            watch.wait_until_told(position).await;
        }
    }
}

/// Checks whether the server's address refuses connections; returns the position behind the notice
/// if it does. Otherwise the replica may still confirm the crash.
async fn check_server(context: &EntryContext, broken: BrokenSend) -> Option<NoticePosition> {
    let watch = &context.crash_watch;
    watch.running_checks.update(|count| count + 1);
    let refused = refuses_connections(broken.address, broken.broken_at + EVIDENCE_PATIENCE).await;
    watch.running_checks.update(|count| count - 1);
    let now = Instant::now();
    match judge_send(context, &broken) {
        ReplicaVerdict::PlannedStop => None,
        ReplicaVerdict::Crashed(proof) => Some(context.record_crash(now, &broken, proof)),
        ReplicaVerdict::Undecided if refused => {
            Some(context.record_crash(now, &broken, CrashProof::Refused))
        }
        ReplicaVerdict::Undecided => {
            watch.pending.borrow_mut().add(now, broken);
            None
        }
    }
}

/// Whether the address refuses connections; `false` if it accepts one or is silent until `deadline`.
async fn refuses_connections(address: SocketAddr, deadline: Instant) -> bool {
    let mut attempt_timeout = CHECK_TIMEOUT;
    while Instant::now() < deadline {
        let attempt_deadline = (Instant::now() + attempt_timeout).min(deadline);
        let connected = timeout_at(attempt_deadline.into(), TcpStream::connect(address)).await;
        if let Ok(connected) = connected {
            let error = connected.err().map(|error| error.kind());
            return error == Some(io::ErrorKind::ConnectionRefused);
        }
        attempt_timeout *= 2;
    }
    false
}

fn judge_send(context: &EntryContext, broken: &BrokenSend) -> ReplicaVerdict {
    let state = context.state.borrow();
    judge(state.servers(), &broken.server, broken.started, broken.address)
}

impl EntryContext {
    /// Whether an end of a send changes anything. Most do not, and the digest is not computed for them.
    fn needs_identity(&self, end: SendEnd) -> bool {
        match end {
            SendEnd::Served => self.crash_watch.awaits_successes(),
            SendEnd::Lost(_) => true,
            SendEnd::Unknown => false,
        }
    }

    /// Waits briefly until `report` has checked and told the evidence, and longer for control's decision
    /// if the request is held.
    async fn wait_for_report(
        &self,
        report: JoinHandle<()>,
        digest: RequestDigest,
        broken_at: Instant,
        wait_deadline: Instant,
    ) {
        let wait_until = (broken_at + MAX_REPORT_WAIT).min(wait_deadline);
        let _ = timeout_at(wait_until.into(), report).await;
        let watch = &self.crash_watch;
        if !watch.holds.borrow().is_empty() && watch.has_control(Instant::now()) {
            let wait_until = (broken_at + MAX_DECISION_WAIT).min(wait_deadline);
            let decision = watch.wait_until_decided(digest);
            let _ = timeout_at(wait_until.into(), decision).await;
        }
    }
}
