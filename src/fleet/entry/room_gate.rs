//! Use of what is known of the room at services: admission, the cost of finding a server, second sends.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::context::{EntryContext, with_service};
use super::local_response::LocalResponse;
use super::outgoing::OutgoingRequest;
use crate::fleet::room::{
    CallerTime, FindAllowance, HedgeConditions, RefusalCause, RequestClaim, RoomChange,
    RoomDecision, ServiceRoom, ServiceSize,
};
use crate::ids::ServiceName;
use crate::log_info;

/// Counts a probe as in flight until it ends or is cancelled.
pub struct ProbeGuard {
    context: Rc<EntryContext>,
    service: ServiceName,
}

impl ProbeGuard {
    pub fn new(context: &Rc<EntryContext>, service: &ServiceName) -> Self {
        context.with_room(service, ServiceRoom::begin_probe);
        Self { context: Rc::clone(context), service: service.clone() }
    }
}

impl Drop for ProbeGuard {
    fn drop(&mut self) {
        self.context.with_room(&self.service, ServiceRoom::end_probe);
    }
}

impl EntryContext {
    /// Calls `operation` with the room of a service.
    fn with_room<T>(
        &self,
        service: &ServiceName,
        operation: impl FnOnce(&mut ServiceRoom) -> T,
    ) -> T {
        with_service(&self.rooms, service, ServiceRoom::default, operation)
    }

    /// Decides whether a request is admitted; the response if it is refused.
    pub fn refuse_for_room(
        &self,
        request: &OutgoingRequest,
        received_at: Instant,
    ) -> Option<LocalResponse> {
        let now = Instant::now();
        self.update_room(now, &request.service);
        let size = self.service_size(&request.service);
        let tenant = request.tenant.as_ref().map(|tenant| &*tenant.name);
        let claim = RequestClaim { tenant, priority: request.priority };
        let time = caller_time(now, request, received_at);
        let mean = self.mean_latency(&request.service);
        let random = self.random.borrow_mut().f64();
        let decision = self
            .with_room(&request.service, |room| room.decide(now, claim, time, mean, size, random));
        let RoomDecision::Refused(cause) = decision else { return None };
        let counter = match cause {
            RefusalCause::Exhausted => &self.metrics.room.exhausted_refusals,
            RefusalCause::Standing => &self.metrics.room.standing_refusals,
            RefusalCause::TooLate => &self.metrics.room.late_refusals,
        };
        counter.inc();
        let delay = self.return_delay(now, request, received_at);
        Some(LocalResponse::not_run(cause.reason(), delay, time.left))
    }

    /// Time after which the caller of a request without a server comes back.
    pub fn return_delay(
        &self,
        now: Instant,
        request: &OutgoingRequest,
        received_at: Instant,
    ) -> Duration {
        let time = caller_time(now, request, received_at);
        let mean = self.mean_latency(&request.service);
        let random = self.random.borrow_mut().f64();
        self.with_room(&request.service, |room| room.return_delay(now, time, mean, random))
    }

    pub(super) fn service_size(&self, service: &ServiceName) -> ServiceSize {
        let servers = self.with_balancer(service, |balancer| balancer.server_count());
        ServiceSize { entries: self.entry_count(), servers }
    }

    pub(super) fn mean_latency(&self, service: &ServiceName) -> Option<Duration> {
        self.with_balancer(service, |balancer| balancer.mean_latency())
    }

    /// What a look for a server may cost now.
    pub fn find_allowance(&self, service: &ServiceName) -> FindAllowance {
        self.update_room(Instant::now(), service);
        self.with_room(service, |room| room.allowance())
    }

    /// Whether room at a service is short.
    pub fn is_room_short(&self, service: &ServiceName) -> bool {
        self.update_room(Instant::now(), service);
        self.with_room(service, |room| room.is_short())
    }

    /// What decides whether a second send of a request starts now.
    pub fn hedge_conditions(&self, now: Instant, request: &OutgoingRequest) -> HedgeConditions {
        let service = &request.service;
        let entry_count = self.entry_count();
        let left = self.with_budget(service, |budget| budget.remaining(now, entry_count));
        let is_room_short = self.is_room_short(service);
        let silent_at = request.silent_at.get();
        if is_room_short && silent_at.is_none_or(|silent_at| now < silent_at) {
            self.metrics.room.withheld_hedges.inc();
        }
        let budget = left * self.second_send_share(service);
        HedgeConditions { is_room_short, silent_at, budget }
    }

    /// Charges a second send to the budget, of which a smaller part may be used while room is short.
    /// Returns the budget that was left, and whether the send is allowed.
    pub fn take_second_send(&self, now: Instant, service: &ServiceName) -> (f64, bool) {
        let entry_count = self.entry_count();
        let share = self.second_send_share(service);
        self.with_budget(service, |budget| {
            let left = budget.remaining(now, entry_count);
            (left, left * share >= 1.0 && budget.try_take(now, entry_count))
        })
    }

    /// Part of the budget of second sends that may be used now.
    fn second_send_share(&self, service: &ServiceName) -> f64 {
        self.with_room(service, |room| room.second_send_share())
    }

    /// Records whether a server that was probed has room.
    pub fn record_find(&self, now: Instant, service: &ServiceName, has_room: bool) {
        let change = self.with_room(service, |room| room.record_find(now, has_room));
        self.record_room_change(service, change);
    }

    /// Records whether an admitted request found a server. Servers that take nothing, for example because their
    /// zone is evacuated, say nothing about room.
    pub fn record_choice(&self, service: &ServiceName, has_found: bool) {
        let is_withdrawn =
            || self.with_balancer(service, |balancer| balancer.is_withdrawn(Instant::now()));
        if !has_found && is_withdrawn() {
            return;
        }
        self.with_room(service, |room| room.record_choice(Instant::now(), has_found));
    }

    fn update_room(&self, now: Instant, service: &ServiceName) {
        let change = self.with_room(service, |room| room.update(now));
        self.record_room_change(service, change);
    }

    fn record_room_change(&self, service: &ServiceName, change: Option<RoomChange>) {
        let Some(change) = change else { return };
        let (found, total) = self.with_room(service, |room| room.find_counts());
        match change {
            RoomChange::Short => {
                self.metrics.room.short_services.inc();
                log_info!("room_short", "service={service} found={found} probes={total}");
            }
            RoomChange::Regained => {
                self.metrics.room.short_services.dec();
                log_info!("room_regained", "service={service} found={found} probes={total}");
            }
        }
    }
}

fn caller_time(now: Instant, request: &OutgoingRequest, received_at: Instant) -> CallerTime {
    CallerTime {
        elapsed: now.saturating_duration_since(received_at),
        left: request.deadline.saturating_duration_since(now),
        target: request.rule.target_latency,
    }
}
