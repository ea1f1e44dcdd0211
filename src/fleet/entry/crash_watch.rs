//! Watches sends for crashes of servers: gathers evidence and tells the control members.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, timeout_at};

use super::context::EntryContext;
use super::crash_evidence::{
    BrokenSend, CrashProof, CrashedIncarnations, MAX_PENDING_EVIDENCE, PendingEvidence,
    ReplicaVerdict, judge,
};
use super::crash_outbox::{CrashNotice, CrashOutbox, NoticePosition};
use super::local_quarantine::LocalQuarantine;
use super::send::{OutgoingRequest, SendError, ServerBody, ServerResponse};
use super::served_digests::ServedDigests;
use super::suspect_hold::SuspectHolds;
use crate::fleet::announcement::IncarnationStart;
use crate::fleet::balance::ChosenServer;
use crate::fleet::crash::{CrashFinding, CrashLedger};
use crate::fleet::link::{self, LinkFrame};
use crate::http::BodyFraming;
use crate::ids::{RequestDigest, ServerId};
use crate::{log_info, log_routine};

/// Time for which the end of a broken send waits until the evidence is checked and told. The request
/// can come again right after its response, at any entry.
const MAX_REPORT_WAIT: Duration = Duration::from_millis(50);

/// Timeout of the connection attempt that checks a server. A host without the server refuses within a
/// round trip; a part of [`MAX_REPORT_WAIT`] remains for the report.
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);

/// Time after a lost connection for which the end of a send waits for control's decision on a request
/// that is held. The attempt has failed anyway, and its caller learns the final status when it comes again.
const MAX_DECISION_WAIT: Duration = Duration::from_millis(500);

/// Interval at which old evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Evidence of this entry and the notices about it.
pub struct CrashWatch {
    pub(super) ledger: RefCell<CrashLedger>,
    pub(super) quarantine: RefCell<LocalQuarantine>,
    pub(super) holds: RefCell<SuspectHolds>,
    /// Changes with each decision of control.
    decided: watch::Sender<()>,
    pending: RefCell<PendingEvidence>,
    crashed: RefCell<CrashedIncarnations>,
    served: RefCell<ServedDigests>,
    outbox: RefCell<CrashOutbox>,
    /// Position behind the newest notice.
    added: watch::Sender<NoticePosition>,
    /// Position behind the newest notice that a link has sent.
    told: watch::Sender<NoticePosition>,
    /// Number of links to members that accept notices.
    accepting_links: Cell<usize>,
    running_checks: Cell<usize>,
    expired_at: Cell<Instant>,
}

impl Default for CrashWatch {
    fn default() -> Self {
        Self {
            ledger: RefCell::new(CrashLedger::of_entry()),
            quarantine: RefCell::default(),
            holds: RefCell::default(),
            decided: watch::Sender::new(()),
            pending: RefCell::default(),
            crashed: RefCell::default(),
            served: RefCell::default(),
            outbox: RefCell::default(),
            added: watch::Sender::new(0),
            told: watch::Sender::new(0),
            accepting_links: Cell::new(0),
            running_checks: Cell::new(0),
            expired_at: Cell::new(Instant::now()),
        }
    }
}

impl CrashWatch {
    /// Records a notice from a member that is up to date.
    pub fn record_control(&self, now: Instant) {
        self.quarantine.borrow_mut().record_control(now);
    }

    /// Drops the own evidence against requests that the replica quarantines from now on.
    pub fn drop_decided(&self, digests: &[RequestDigest]) {
        for digest in digests {
            self.ledger.borrow_mut().remove(*digest);
            self.quarantine.borrow_mut().remove(*digest);
            self.holds.borrow_mut().remove(*digest);
        }
        if !digests.is_empty() {
            self.decided.send_replace(());
        }
    }

    /// Number of requests with evidence against them.
    pub fn suspect_count(&self) -> usize {
        self.expire(Instant::now());
        self.ledger.borrow().len()
    }

    /// Number of requests on which control has not decided after the third crash.
    pub fn held_count(&self) -> usize {
        self.expire(Instant::now());
        self.holds.borrow().len()
    }

    /// Whether a member takes reports and has lately been up to date. The link of a killed member closes
    /// at once.
    pub(super) fn has_control(&self, now: Instant) -> bool {
        self.accepting_links.get() > 0 && self.quarantine.borrow().has_control(now)
    }

    /// Takes a request out of service on the evidence of this entry.
    fn convict(&self, now: Instant, digest: RequestDigest) {
        if self.has_control(now) {
            let hold_time = self.holds.borrow_mut().hold(now, digest);
            let hold_ms = hold_time.map_or(-1, |time| time.as_millis() as i64);
            log_info!("suspect_held", "digest={digest:032x} hold_ms={hold_ms}");
        } else {
            self.quarantine_locally(now, digest);
        }
    }

    pub(super) fn quarantine_locally(&self, now: Instant, digest: RequestDigest) {
        self.holds.borrow_mut().remove(digest);
        let added = self.quarantine.borrow_mut().add(now, digest);
        log_info!("quarantined_locally", "digest={digest:032x} added={added}");
    }

    pub(super) fn expire(&self, now: Instant) {
        if now.saturating_duration_since(self.expired_at.get()) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at.set(now);
        self.ledger.borrow_mut().expire(now);
        self.quarantine.borrow_mut().expire(now);
        self.holds.borrow_mut().expire(now);
        self.crashed.borrow_mut().expire(now);
    }

    fn add_notice(&self, now: Instant, notice: CrashNotice) -> NoticePosition {
        let position = self.outbox.borrow_mut().add(now, notice);
        self.added.send_replace(position);
        position
    }

    /// Waits until a link has sent the notices before `position`.
    async fn wait_until_told(&self, position: NoticePosition) {
        if self.accepting_links.get() == 0 {
            return;
        }
        let mut told = self.told.subscribe();
        // The wait cannot fail: the sender lives as long as the watch.
        let _ = told.wait_for(|told| *told >= position).await;
    }

    /// Waits until control has decided on a request that is held.
    async fn wait_until_decided(&self, digest: RequestDigest) {
        let mut decided = self.decided.subscribe();
        // The wait cannot fail: the sender lives as long as the watch.
        let _ = decided.wait_for(|()| !self.holds.borrow().contains(digest)).await;
    }
}

impl EntryContext {
    /// Computes the request's digest if digests are compared now, without holding up other tasks.
    pub async fn prepare_digest(&self, request: &OutgoingRequest) {
        let watch = &self.crash_watch;
        let is_compared = self.state.borrow().has_quarantine()
            || !watch.quarantine.borrow().is_empty()
            || !watch.holds.borrow().is_empty()
            || !watch.ledger.borrow().is_empty();
        if is_compared {
            request.prepare_digest().await;
        }
    }

    /// Withdraws the evidence against a request that a server completed.
    fn record_served(&self, request: &OutgoingRequest, response: &ServerResponse) {
        let watch = &self.crash_watch;
        let is_watching = !watch.ledger.borrow().is_empty() || !watch.holds.borrow().is_empty();
        if !is_watching || !is_complete(request, response) || self.is_quarantined(request) {
            return;
        }
        let digest = request.digest();
        watch.served.borrow_mut().record(Instant::now(), digest);
        let was_held = watch.holds.borrow_mut().remove(digest);
        if !watch.ledger.borrow_mut().record_served(digest) && !was_held {
            return;
        }
        log_info!(
            "suspect_cleared",
            "request={} digest={digest:032x} server={} was_held={was_held}",
            request.id,
            response.server
        );
        watch.add_notice(Instant::now(), CrashNotice::Served(digest));
    }

    /// Confirms pending evidence from the servers in the replica.
    pub fn confirm_pending_crashes(&self, now: Instant) {
        if self.crash_watch.pending.borrow().is_empty() {
            return;
        }
        let confirmed = {
            let state = self.state.borrow();
            self.crash_watch.pending.borrow_mut().take_confirmed(now, state.servers())
        };
        for (send, proof) in confirmed {
            self.record_crash(now, &send, proof);
        }
    }

    /// Records a crash and tells the control members; returns the position behind the notice.
    fn record_crash(&self, now: Instant, send: &BrokenSend, proof: CrashProof) -> NoticePosition {
        let watch = &self.crash_watch;
        let mut report = send.report(now);
        let digest = report.digest;
        let reached = watch.crashed.borrow().find_reached(send, self.state.borrow().servers());
        let Some(reached) = reached else {
            watch.pending.borrow_mut().add(now, send.clone());
            return watch.outbox.borrow().end();
        };
        report.started = reached;
        watch.crashed.borrow_mut().record(&send.server, reached, send.broken_at);
        if watch.served.borrow().contains(send.broken_at, digest) {
            log_routine!(
                "crash_not_counted",
                "request={} digest={digest:032x} server={} started={} finding=Served",
                send.request,
                report.server,
                report.started
            );
            return watch.outbox.borrow().end();
        }
        let finding = watch.ledger.borrow_mut().record_crash(now, &report);
        // Members count a report only once it counts here.
        if matches!(finding, CrashFinding::Repeated | CrashFinding::Concurrent) {
            log_routine!(
                "crash_not_counted",
                "request={} digest={digest:032x} server={} started={} finding={finding:?}",
                send.request,
                report.server,
                report.started
            );
            return watch.outbox.borrow().end();
        }
        log_info!(
            "crash_reported",
            "request={} digest={digest:032x} server={} started={} ran_for_ms={} age_ms={} \
             proof={} finding={finding:?}",
            send.request,
            report.server,
            report.started,
            report.ran_for.as_millis(),
            report.age.as_millis(),
            proof.label()
        );
        self.metrics.crashes_reported.inc();
        if finding == CrashFinding::Convicted && !self.state.borrow().is_quarantined(digest) {
            watch.convict(now, digest);
        }
        watch.add_notice(now, CrashNotice::Crash(report))
    }
}

/// Whether the server completed the request. The crash of a server looks like the end of a body without
/// a length.
fn is_complete(request: &OutgoingRequest, response: &ServerResponse) -> bool {
    response.head.status < 500
        && matches!(response.body, ServerBody::Complete(_))
        && BodyFraming::of_response(&request.method, &response.head).is_ok()
}

/// Send in progress, with what is needed to report a crash of its server.
pub struct WatchedSend {
    server: ServerId,
    started: IncarnationStart,
    address: SocketAddr,
    sent_at: Instant,
    /// Known suspension of the machine when the send began.
    suspension: Duration,
}

impl WatchedSend {
    /// Creates the record of a send that begins now; `None` if the server has left the replica.
    pub fn begin(context: &EntryContext, chosen: &ChosenServer) -> Option<Self> {
        let started = context.state.borrow().servers().get(&chosen.server)?.announcement.started;
        Some(Self {
            server: chosen.server.clone(),
            started,
            address: chosen.address,
            sent_at: Instant::now(),
            suspension: context.known_suspension(),
        })
    }

    /// Records the end of the send. After a lost connection, this waits briefly until the evidence is
    /// checked and told; that goes on if the wait is cancelled.
    pub async fn end(
        self,
        context: &Rc<EntryContext>,
        request: &Rc<OutgoingRequest>,
        result: &Result<ServerResponse, SendError>,
    ) {
        match result {
            Ok(response) => {
                context.prepare_digest(request).await;
                context.record_served(request, response);
            }
            Err(error) if error.is_lost_connection() => {
                let broken_at = Instant::now();
                let (task_context, task_request) = (Rc::clone(context), Rc::clone(request));
                let report = tokio::task::spawn_local(async move {
                    task_request.prepare_digest().await;
                    self.report_crash(&task_context, &task_request, broken_at).await;
                });
                request.prepare_digest().await;
                let wait_until = (broken_at + MAX_REPORT_WAIT).min(request.deadline);
                let _ = timeout_at(wait_until.into(), report).await;
                let watch = &context.crash_watch;
                if !watch.holds.borrow().is_empty() {
                    let wait_until = (broken_at + MAX_DECISION_WAIT).min(request.deadline);
                    let decision = watch.wait_until_decided(request.digest());
                    let _ = timeout_at(wait_until.into(), decision).await;
                }
            }
            Err(_) => {}
        }
    }

    async fn report_crash(
        self,
        context: &Rc<EntryContext>,
        request: &OutgoingRequest,
        broken_at: Instant,
    ) {
        context.check_suspension();
        if context.known_suspension() != self.suspension {
            // Whatever ended the connection may have been planned while this machine was suspended.
            return;
        }
        let verdict = self.judge(context);
        if verdict == ReplicaVerdict::PlannedStop {
            return;
        }
        let send = BrokenSend {
            request: request.id.clone(),
            digest: request.digest(),
            server: self.server.clone(),
            started: self.started,
            address: self.address,
            sent_at: self.sent_at,
            broken_at,
        };
        if let ReplicaVerdict::Crashed(proof) = verdict {
            let position = context.record_crash(Instant::now(), &send, proof);
            return context.crash_watch.wait_until_told(position).await;
        }
        let watch = &context.crash_watch;
        if watch.running_checks.get() >= MAX_PENDING_EVIDENCE {
            return watch.pending.borrow_mut().add(broken_at, send);
        }
        let checked_context = Rc::clone(context);
        let check =
            tokio::task::spawn_local(async move { self.check(&checked_context, send).await });
        if let Ok(Some(position)) = check.await {
            watch.wait_until_told(position).await;
        }
    }

    /// Checks whether the server's address refuses connections; returns the position behind the notice
    /// if it does. Otherwise the replica may still confirm the crash.
    async fn check(self, context: &EntryContext, send: BrokenSend) -> Option<NoticePosition> {
        let watch = &context.crash_watch;
        watch.running_checks.update(|count| count + 1);
        let connected = timeout(CHECK_TIMEOUT, TcpStream::connect(self.address)).await;
        watch.running_checks.update(|count| count - 1);
        let refused = matches!(
            &connected,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused
        );
        let now = Instant::now();
        match self.judge(context) {
            ReplicaVerdict::PlannedStop => None,
            ReplicaVerdict::Crashed(proof) => Some(context.record_crash(now, &send, proof)),
            ReplicaVerdict::Undecided if refused => {
                Some(context.record_crash(now, &send, CrashProof::Refused))
            }
            ReplicaVerdict::Undecided => {
                watch.pending.borrow_mut().add(now, send);
                None
            }
        }
    }

    fn judge(&self, context: &EntryContext) -> ReplicaVerdict {
        let state = context.state.borrow();
        judge(state.servers(), &self.server, self.started, self.address)
    }
}

/// Notices that one link has not sent yet.
pub struct CrashFeed<'a> {
    watch: &'a CrashWatch,
    added: watch::Receiver<NoticePosition>,
    position: NoticePosition,
    is_accepted: bool,
}

impl<'a> CrashFeed<'a> {
    /// Creates a feed that begins with the oldest notice that is still kept.
    pub fn new(watch: &'a CrashWatch) -> Self {
        Self { watch, added: watch.added.subscribe(), position: 0, is_accepted: false }
    }

    /// Records whether the member accepts notices.
    pub fn set_accepted(&mut self, is_accepted: bool) {
        let was_accepted = std::mem::replace(&mut self.is_accepted, is_accepted);
        let links = &self.watch.accepting_links;
        links.update(|count| count + usize::from(is_accepted) - usize::from(was_accepted));
    }

    /// Waits until there are notices for the member. Cancel-safe.
    pub async fn changed(&mut self) {
        if !self.is_accepted {
            return std::future::pending().await;
        }
        // The wait cannot fail: the sender lives as long as the watch.
        let _ = self.added.wait_for(|added| *added > self.position).await;
    }

    /// Returns the notices that are still kept as frames; [`Self::record_sent`] follows once they are
    /// written.
    pub fn take(&mut self) -> Vec<LinkFrame> {
        let mut outbox = self.watch.outbox.borrow_mut();
        let messages = outbox.messages_since(Instant::now(), self.position);
        self.position = outbox.end();
        messages.iter().map(link::encode).collect()
    }

    pub fn record_sent(&self) {
        self.watch.told.send_if_modified(|told| {
            let is_newer = *told < self.position;
            *told = self.position.max(*told);
            is_newer
        });
    }
}

impl Drop for CrashFeed<'_> {
    fn drop(&mut self) {
        self.set_accepted(false);
    }
}
