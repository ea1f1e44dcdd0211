//! Use of evacuations and of the limit for cold servers by an entry.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::local_response::{LocalResponse, reasons};
use super::outgoing::OutgoingRequest;
use crate::fleet::balance::ChosenServer;
use crate::fleet::balance::warmup::ColdPacing;
use crate::fleet::update::FleetReplica;
use crate::fleet::zone_balance::CallerTerms;
use crate::http::ResponseHead;
use crate::ids::{ServerId, ServiceName, ZoneName};
use crate::{log_info, log_routine};

/// `retry-after` while all servers of a service are evacuated; only an operator ends that.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Part of that time by which the callers are spread.
const EVACUATED_RETRY_SPREAD: f64 = 0.5;

impl EntryContext {
    /// Updates the number of entries that share a cold server.
    pub fn share_cold_servers(&self, reported_count: u32) {
        let mut fleet_size = self.fleet_size.get();
        let count_before = fleet_size.entry_count();
        fleet_size.record(Instant::now(), reported_count);
        self.fleet_size.set(fleet_size);
        if fleet_size.entry_count() == count_before {
            return;
        }
        for balancer in self.balancers.borrow_mut().values_mut() {
            balancer.set_entry_count(fleet_size.entry_count());
        }
    }

    /// Limit for cold servers of a service.
    pub(super) fn pacing_of(&self, state: &FleetReplica, service: &ServiceName) -> ColdPacing {
        let rule = state.document().and_then(|document| document.services.get(service));
        let entry_count = self.fleet_size.get().entry_count();
        rule.map_or_else(ColdPacing::default, |rule| {
            ColdPacing::new(rule.warmup_rate, self.warmup_limits, entry_count)
        })
    }

    pub(super) fn install_pacing(&self, state: &FleetReplica) {
        for (service, balancer) in self.balancers.borrow_mut().iter_mut() {
            balancer.install_pacing(self.pacing_of(state, service));
        }
    }

    /// Logs evacuations that begin and end.
    pub(super) fn record_evacuation(
        &self,
        before: &BTreeSet<ZoneName>,
        evacuated: &BTreeSet<ZoneName>,
    ) {
        for zone in evacuated.difference(before) {
            log_info!("evacuation_begins", "zone={zone}");
        }
        for zone in before.difference(evacuated) {
            log_info!("evacuation_ends", "zone={zone}");
        }
        self.metrics.withheld.evacuated_zones.set(evacuated.len() as i64);
    }

    /// Records a health answer and the rest of the warm-up that it states.
    pub fn record_health(
        &self,
        now: Instant,
        service: &ServiceName,
        chosen: &ChosenServer,
        head: &ResponseHead,
    ) {
        let text = head.headers.get_str(self.dialect.headers().warmup);
        let left = text.and_then(|text| text.trim().parse().ok()).map(Duration::from_millis);
        let server = (&chosen.server, chosen.started);
        let becomes_cold =
            self.with_balancer(service, |balancer| balancer.record_health(now, server, left));
        if becomes_cold {
            log_routine!(
                "server_cold",
                "service={service} server={} warmup_ms={}",
                chosen.server,
                left.unwrap_or_default().as_millis()
            );
        }
    }

    /// Whether the chosen server wants a request at this moment; if so, the request must be sent at once.
    pub fn admits_send(&self, service: &ServiceName, chosen: &ChosenServer) -> bool {
        let now = Instant::now();
        let admitted = self.with_balancer(service, |balancer| {
            balancer.accepts(now, &chosen.server, chosen.started)
                && balancer.take_cold_send(now, &chosen.server)
        });
        if !admitted {
            self.metrics.withheld.withdrawn_sends.inc();
        }
        admitted
    }

    /// Whether the chosen server can get a request as far as evacuations and its warm-up say.
    pub fn is_open(&self, service: &ServiceName, chosen: &ChosenServer) -> bool {
        let now = Instant::now();
        self.with_balancer(service, |balancer| balancer.is_open(now, &chosen.server))
    }

    /// Chooses a server without a probe. With a limit for cold servers, it is one that was not restarted
    /// since its last health answer, as far as that is known.
    pub fn choose_unprobed(
        &self,
        service: &ServiceName,
        tried: &[ServerId],
        terms: &CallerTerms,
    ) -> Option<ChosenServer> {
        let now = Instant::now();
        let mut excluded = tried.to_vec();
        if self.health_path(service).is_some() {
            excluded.extend(self.with_balancer(service, |balancer| balancer.unconfirmed(now)));
        }
        self.choose_by_cost(service, &excluded, terms)
    }

    pub fn is_evacuated(&self, service: &ServiceName, chosen: &ChosenServer) -> bool {
        self.with_balancer(service, |balancer| balancer.is_evacuated(&chosen.server))
    }

    /// End of the first pause if all servers of a service that are not evacuated leave or are paused.
    pub fn resumes_at(&self, service: &ServiceName, now: Instant) -> Option<Instant> {
        self.with_balancer(service, |balancer| balancer.resumes_at(now))
    }

    /// Refuses a request if its service has ready servers in evacuated availability zones only.
    pub fn refuse_evacuated(&self, request: &OutgoingRequest) -> Option<LocalResponse> {
        if !self.with_balancer(&request.service, |balancer| balancer.is_wholly_evacuated()) {
            return None;
        }
        self.metrics.withheld.evacuated_refusals.inc();
        let spread = self.random.borrow_mut().f64() * EVACUATED_RETRY_SPREAD;
        let delay = EVACUATED_RETRY_AFTER.mul_f64(1.0 + spread);
        Some(LocalResponse::not_run(reasons::ALL_EVACUATED, delay, request.time_left()))
    }

    /// Number of servers to which the limit for cold servers applies.
    pub fn cold_count(&self, now: Instant) -> usize {
        self.balancers.borrow().values().map(|balancer| balancer.cold_count(now)).sum()
    }
}
