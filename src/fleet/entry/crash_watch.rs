//! Gathers evidence of crashes of servers and tells the control members.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::context::EntryContext;
use super::crash_evidence::{BrokenSend, CrashProof, CrashedIncarnations, PendingEvidence};
use super::crash_outbox::{CrashNotice, CrashOutbox, NoticePosition};
use super::local_quarantine::LocalQuarantine;
use super::outgoing::OutgoingRequest;
use super::served_digests::ServedDigests;
use super::suspect_hold::SuspectHolds;
use crate::fleet::crash::{CrashFinding, CrashLedger};
use crate::fleet::link::{self, LinkFrame};
use crate::ids::RequestDigest;
use crate::{log_info, log_routine};

/// Interval at which old evidence is removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Evidence of this entry and the notices about it.
pub struct CrashWatch {
    pub(super) ledger: RefCell<CrashLedger>,
    pub(super) quarantine: RefCell<LocalQuarantine>,
    pub(super) holds: RefCell<SuspectHolds>,
    /// Changes with each decision of control.
    decided: watch::Sender<()>,
    pub(super) pending: RefCell<PendingEvidence>,
    crashed: RefCell<CrashedIncarnations>,
    served: RefCell<ServedDigests>,
    outbox: RefCell<CrashOutbox>,
    /// Position behind the newest notice.
    added: watch::Sender<NoticePosition>,
    /// Position behind the newest notice that a link has sent.
    told: watch::Sender<NoticePosition>,
    /// Number of links to members that accept notices.
    accepting_links: Cell<usize>,
    /// Number of servers whose address is being checked.
    pub(super) running_checks: Cell<usize>,
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

    /// Records that control is in touch, at the start or again.
    pub fn record_regained(&self, now: Instant) {
        self.quarantine.borrow_mut().record_regained(now);
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

    /// Whether a success can change anything.
    pub(super) fn awaits_successes(&self) -> bool {
        !self.ledger.borrow().is_empty() || !self.holds.borrow().is_empty()
    }

    /// Holds a request on the evidence of this entry.
    fn hold(&self, now: Instant, digest: RequestDigest) {
        let hold_time = self.holds.borrow_mut().hold(now, digest);
        let hold_ms = hold_time.map_or(-1, |time| time.as_millis() as i64);
        log_info!("suspect_held", "digest={digest:032x} hold_ms={hold_ms}");
        if hold_time.is_none() && !self.has_control(now) {
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
    pub(super) async fn wait_until_told(&self, position: NoticePosition) {
        if self.accepting_links.get() == 0 {
            return;
        }
        let mut told = self.told.subscribe();
        // The wait cannot fail: the sender lives as long as the watch.
        let _ = told.wait_for(|told| *told >= position).await;
    }

    /// Waits until control has decided on a request that is held.
    pub(super) async fn wait_until_decided(&self, digest: RequestDigest) {
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

    /// Withdraws the evidence against a request that `server` completed; `request_id` is for logs.
    pub(super) fn record_served(&self, request_id: &str, digest: RequestDigest, server: &str) {
        let (watch, now) = (&self.crash_watch, Instant::now());
        if !watch.awaits_successes() || self.is_digest_quarantined(now, digest) {
            return;
        }
        watch.served.borrow_mut().record(now, digest);
        let was_held = watch.holds.borrow_mut().remove(digest);
        if !watch.ledger.borrow_mut().record_served(digest) && !was_held {
            return;
        }
        log_info!(
            "suspect_cleared",
            "request={request_id} digest={digest:032x} server={server} was_held={was_held}"
        );
        watch.add_notice(now, CrashNotice::Served(digest));
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
    pub(super) fn record_crash(
        &self,
        now: Instant,
        send: &BrokenSend,
        proof: CrashProof,
    ) -> NoticePosition {
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
            watch.hold(now, digest);
        }
        watch.add_notice(now, CrashNotice::Crash(report))
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
