//! Decides which requests are not sent on because servers crashed under them, and refuses them.

use std::time::{Duration, Instant};

use tokio::time::sleep_until;

use super::context::EntryContext;
use super::local_response::LocalResponse;
use super::outgoing::OutgoingRequest;
use super::suspect_hold::SendDecision;
use crate::ids::RequestDigest;
use crate::log_info;

/// Number of counted crashes from which this entry does not retry a request: the next one would
/// convict it.
const MAX_CRASHES_FOR_RETRY: usize = 1;

/// Time by which the leader may take crashes to be closer together, because it estimates their times from
/// the arrival of reports.
const BURST_MARGIN: Duration = Duration::from_millis(20);

/// Status of a request in quarantine. It is final, so callers do not repeat the request as after 503, and
/// it blames the request and not the service, unlike 500.
pub const QUARANTINED_STATUS: u16 = 422;

impl EntryContext {
    /// Waits until a further crash would count against a suspect at the leader as well.
    pub async fn wait_for_burst_end(&self, request: &OutgoingRequest) {
        let burst_end = self.crash_watch.ledger.borrow().burst_end(request.digest());
        if let Some(burst_end) = burst_end {
            sleep_until((burst_end + BURST_MARGIN).min(request.deadline).into()).await;
        }
    }

    /// Decides whether the request may be sent now, and claims the trial after a hold for it.
    pub fn decide_send(&self, request: &OutgoingRequest) -> SendDecision {
        if self.is_quarantined(request) {
            return SendDecision::Quarantined;
        }
        let watch = &self.crash_watch;
        if watch.holds.borrow().is_empty() || request.is_trial.get() {
            return SendDecision::Allowed;
        }
        let (now, digest) = (Instant::now(), request.digest());
        let decision = watch.holds.borrow_mut().decide(now, digest, watch.has_control(now));
        match decision {
            SendDecision::Allowed | SendDecision::Held(_) => {}
            SendDecision::Trial => {
                request.is_trial.set(true);
                log_info!("suspect_tried", "request={} digest={digest:032x}", request.id);
            }
            SendDecision::Quarantined => watch.quarantine_locally(now, digest),
        }
        decision
    }

    /// Makes room for another trial if this request was one and was not sent.
    pub fn return_trial(&self, request: &OutgoingRequest) {
        if request.is_trial.replace(false) {
            let mut holds = self.crash_watch.holds.borrow_mut();
            holds.return_trial(Instant::now(), request.digest());
        }
    }

    /// Refuses the request if it must not be sent.
    pub fn refuse_suspect(
        &self,
        request: &OutgoingRequest,
        may_have_run: bool,
    ) -> Option<LocalResponse> {
        match self.decide_send(request) {
            SendDecision::Allowed => {
                self.regain_hold(request).map(|remaining| self.refuse_held(request, remaining))
            }
            SendDecision::Trial => None,
            SendDecision::Held(remaining) => Some(self.refuse_held(request, remaining)),
            SendDecision::Quarantined => Some(self.refuse_quarantined(request, may_have_run)),
        }
    }

    /// Remaining time for which the request is not sent, because servers crashed under it and control has
    /// just come back. A request that was sent already may be repeated.
    fn regain_hold(&self, request: &OutgoingRequest) -> Option<Duration> {
        let remaining = self.crash_watch.quarantine.borrow().regain_hold(Instant::now())?;
        let is_suspect = !request.is_trial.get() && self.counted_crashes(request) > 0;
        is_suspect.then_some(remaining)
    }

    /// Refuses a request that was not sent and is held for the `remaining` time.
    pub fn refuse_held(&self, request: &OutgoingRequest, remaining: Duration) -> LocalResponse {
        self.metrics.held_requests.inc();
        log_info!(
            "request_held",
            "request={} digest={:032x} remaining_ms={}",
            request.id,
            request.digest(),
            remaining.as_millis()
        );
        let time_left = request.deadline.saturating_duration_since(Instant::now());
        LocalResponse::not_run("the request may have crashed servers", remaining, time_left)
    }

    /// Whether the request is in quarantine, by control or by this entry alone.
    pub fn is_quarantined(&self, request: &OutgoingRequest) -> bool {
        let now = Instant::now();
        self.crash_watch.expire(now);
        let is_empty = !self.state.borrow().has_quarantine()
            && self.crash_watch.quarantine.borrow().is_empty();
        !is_empty && self.is_digest_quarantined(now, request.digest())
    }

    /// Whether the request with this digest is in quarantine.
    pub fn is_digest_quarantined(&self, now: Instant, digest: RequestDigest) -> bool {
        self.state.borrow().is_quarantined(digest)
            || self.crash_watch.quarantine.borrow().contains(now, digest)
    }

    /// Whether the request may be sent again after a failed send.
    pub fn allows_retry(&self, request: &OutgoingRequest) -> bool {
        self.counted_crashes(request) <= MAX_CRASHES_FOR_RETRY && !self.is_quarantined(request)
    }

    /// Whether the request may be sent to a second server while the first has not answered.
    pub fn allows_hedge(&self, request: &OutgoingRequest) -> bool {
        self.counted_crashes(request) == 0 && !self.is_quarantined(request)
    }

    /// Refuses a request in quarantine, for good. After a send that may have reached a server, the response
    /// makes no statement about whether the request ran.
    pub fn refuse_quarantined(
        &self,
        request: &OutgoingRequest,
        may_have_run: bool,
    ) -> LocalResponse {
        let status = if may_have_run { 502 } else { QUARANTINED_STATUS };
        self.metrics.quarantined_requests.inc();
        log_info!(
            "request_quarantined",
            "request={} digest={:032x} status={status}",
            request.id,
            request.digest()
        );
        LocalResponse::new(status, "the request crashed several servers")
    }

    /// Number of crashes that count against the request in this entry's own ledger.
    pub fn counted_crashes(&self, request: &OutgoingRequest) -> usize {
        self.crash_watch.expire(Instant::now());
        let ledger = self.crash_watch.ledger.borrow();
        if ledger.is_empty() { 0 } else { ledger.counted_crashes(request.digest()) }
    }
}
