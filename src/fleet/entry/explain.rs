//! Answers where a request would go now, from copies of the state that decides it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::local_response::{LocalResponse, reasons};
use super::measure::LOAD_REPORT_LIFETIME;
use crate::fleet::document::{Repetition, RouteRule};
use crate::fleet::explain::{
    ExplainQuery, QueryError, QuotaOutcome, QuotaOutlook, RefusalOutlook, RoomOutlook,
    RouteOutlook, SendExplanation, ServiceOutlook, TargetOutlook, TargetStep,
};
use crate::fleet::quota::purse::TakeOutcome;
use crate::fleet::room::{CallerTime, FindAllowance, RequestClaim, RoomDecision};
use crate::fleet::tenant::{CredentialError, TenantRule};
use crate::fleet::zone_balance::CallerTerms;
use crate::ids::{ServiceName, TenantName};
use crate::suspension::boot_time;

impl From<&LocalResponse> for RefusalOutlook {
    fn from(response: &LocalResponse) -> Self {
        Self::new(response.status, response.reason)
    }
}

/// Request as far as the decisions look at it.
struct QueriedRequest<'a> {
    query: &'a ExplainQuery,
    rule: Rc<RouteRule>,
    priority: u32,
    time_left: Duration,
}

impl EntryContext {
    /// Explains what would become of a request that arrives now. Nothing is sent, counted or changed.
    ///
    /// # Errors
    ///
    /// Fails if the document in force has no tenant of the given name.
    pub fn explain(&self, query: &ExplainQuery) -> Result<SendExplanation, QueryError> {
        let state = self.state.borrow();
        let document = state.document();
        let tenant = self.queried_tenant(query)?;
        let mut explanation = SendExplanation {
            entry: self.name.clone(),
            zone: self.availability_zone.clone(),
            document_version: document.map_or(0, |document| document.version),
            revision: state.revision(),
            route: None,
            quota: None,
            services: Vec::new(),
            has_quarantine: state.has_quarantine(),
            refusal: None,
        };
        let Some(table) = self.route_table() else {
            explanation.refusal = Some(RefusalOutlook::new(503, reasons::NO_DOCUMENT));
            return Ok(explanation);
        };
        let Some(rule) = table.find(&query.route_host(), query.route_path()) else {
            explanation.refusal = Some(RefusalOutlook::new(404, reasons::NO_ROUTE));
            return Ok(explanation);
        };
        let time_left = query.time_left(rule.timeout);
        let priority = tenant.as_ref().and_then(|(_, rule)| rule.priority).unwrap_or(rule.priority);
        let request = QueriedRequest { query, rule, priority, time_left };
        explanation.route = Some(request.route());
        if tenant.is_none() && table.tenants.has_tenants() && !request.rule.is_public {
            explanation.refusal = Some(RefusalOutlook::new(401, CredentialError::Missing.reason()));
            return Ok(explanation);
        }
        if !self.can_finish(&request.rule, Instant::now() + time_left) {
            explanation.refusal = Some(RefusalOutlook::from(&LocalResponse::stopping()));
            return Ok(explanation);
        }
        if let Some((name, rule)) = &tenant {
            let quota = self.quota.explain(name, rule);
            explanation.refusal = quota.outcome.refusal();
            explanation.quota = Some(quota);
        }
        if explanation.refusal.is_none() {
            explanation.services = self.explain_services(&request);
        }
        Ok(explanation)
    }

    fn queried_tenant(
        &self,
        query: &ExplainQuery,
    ) -> Result<Option<(TenantName, TenantRule)>, QueryError> {
        let Some(name) = &query.tenant else { return Ok(None) };
        let state = self.state.borrow();
        let rule = state.document().and_then(|document| document.tenants.get(name));
        let rule = rule.ok_or_else(|| QueryError::UnknownTenant(name.clone()))?;
        Ok(Some((name.clone(), rule.clone())))
    }

    fn explain_services(&self, request: &QueriedRequest<'_>) -> Vec<ServiceOutlook> {
        let targets = &request.rule.targets;
        let total_weight: f64 = targets.iter().map(|(_, weight)| weight).sum();
        let mut services = Vec::new();
        for (service, weight) in targets {
            if *weight <= 0.0 {
                continue;
            }
            services.push(self.explain_service(request, service, weight / total_weight));
        }
        services
    }

    fn explain_service(
        &self,
        request: &QueriedRequest<'_>,
        service: &ServiceName,
        probability: f64,
    ) -> ServiceOutlook {
        let now = Instant::now();
        let (room, room_refusal) = self.explain_room(now, request, service);
        let connected = self.connections.idle_servers(now);
        let terms = request.terms(now);
        let probing = (self.health_path(service).is_some(), LOAD_REPORT_LIFETIME);
        // The next request draws the same random numbers.
        let mut random = self.random.borrow().clone();
        let (targets, conditions, zones, resumes_at, is_wholly_evacuated) =
            self.with_balancer(service, |balancer| {
                (
                    balancer.explain_choices(now, &connected, &terms, probing, &mut random),
                    balancer.conditions(now),
                    balancer.zone_outlook(),
                    balancer.resumes_at(now),
                    balancer.is_wholly_evacuated(),
                )
            });
        let refusal = if let Some(reason) = room_refusal {
            Some(RefusalOutlook::new(503, reason))
        } else if resumes_at.is_some() {
            Some(RefusalOutlook::new(503, reasons::ALL_PAUSED))
        } else if is_wholly_evacuated {
            Some(RefusalOutlook::new(503, reasons::ALL_EVACUATED))
        } else if !targets.iter().any(TargetOutlook::is_asked) {
            Some(RefusalOutlook::new(503, reasons::NO_ROOM))
        } else {
            None
        };
        let entry_count = self.entry_count();
        ServiceOutlook {
            service: service.clone(),
            probability,
            room,
            zones,
            second_sends: self
                .with_budget(service, |budget| budget.remaining(now, entry_count))
                .max(0.0),
            targets,
            conditions: conditions.into_iter().collect(),
            refusal,
        }
    }

    /// What is known of the room at a service, and the reason if the request would be refused for it. While room
    /// is exhausted, one request in each interval looks for it; that this one is next is not assumed.
    fn explain_room(
        &self,
        now: Instant,
        request: &QueriedRequest<'_>,
        service: &ServiceName,
    ) -> (RoomOutlook, Option<&'static str>) {
        let mut room = self.rooms.borrow().get(service).cloned().unwrap_or_default();
        let (size, mean) = (self.service_size(service), self.mean_latency(service));
        room.update(now);
        let claim =
            RequestClaim { tenant: request.query.tenant.as_deref(), priority: request.priority };
        let (found, looks) = room.find_counts();
        let outlook = RoomOutlook {
            is_short: room.is_short(),
            found,
            looks,
            max_probes: match room.allowance() {
                FindAllowance::Ample => None,
                FindAllowance::Limited { probes, .. } => Some(probes),
                FindAllowance::Nothing => Some(0),
            },
            pressure: room.pressure(now),
            standing: room.standing(now, claim),
            admission: room.admission(now, claim),
        };
        let time = CallerTime {
            elapsed: Duration::ZERO,
            left: request.time_left,
            target: request.rule.target_latency,
        };
        // The most favourable draw: a refusal in spite of it is certain.
        let decision = room.decide(now, claim, time, mean, size, 0.0);
        let reason = match decision {
            RoomDecision::Allowed => None,
            RoomDecision::Refused(cause) => Some(cause.reason()),
        };
        (outlook, reason)
    }
}

impl QueriedRequest<'_> {
    fn route(&self) -> RouteOutlook {
        RouteOutlook {
            name: self.rule.name.clone(),
            is_public: self.rule.is_public,
            is_idempotent: self.rule.repetition == Repetition::Idempotent,
            max_attempts: self.rule.max_attempts,
            priority: self.priority,
            target_ms: self.rule.target_latency.as_millis() as u64,
            time_left_ms: self.time_left.as_millis() as u64,
        }
    }

    fn terms(&self, now: Instant) -> CallerTerms {
        CallerTerms { target_at: Some(now + self.rule.target_latency), is_repeated: false }
    }
}

impl TargetOutlook {
    fn is_asked(&self) -> bool {
        self.step != TargetStep::PassOver
    }
}

impl QuotaOutcome {
    fn refusal(self) -> Option<RefusalOutlook> {
        match self {
            Self::Unlimited | Self::TokenAtHand | Self::AsksHolder => None,
            Self::UsedUp => Some(RefusalOutlook::from(&LocalResponse::over_limit(Duration::ZERO))),
            Self::HolderSilent => Some(RefusalOutlook::new(503, reasons::UNKNOWN_QUOTA)),
        }
    }
}

impl super::quota_gate::QuotaGate {
    /// What the tenant's quota would say to a request now.
    fn explain(&self, tenant: &TenantName, rule: &TenantRule) -> QuotaOutlook {
        let now = boot_time();
        // A copy, so that no token is taken.
        let mut purse = self.purse_copy();
        let outcome = if rule.is_limited() {
            match purse.take(now, tenant, rule.rate) {
                TakeOutcome::Taken => QuotaOutcome::TokenAtHand,
                TakeOutcome::Waits => QuotaOutcome::AsksHolder,
                TakeOutcome::Refused(_) => QuotaOutcome::UsedUp,
                TakeOutcome::Unknown => QuotaOutcome::HolderSilent,
            }
        } else {
            QuotaOutcome::Unlimited
        };
        let known = purse.known_account(now, tenant);
        QuotaOutlook {
            tenant: tenant.clone(),
            rate: rule.rate,
            burst: rule.burst,
            lease_rate: known.rate,
            holder: known.holder.into(),
            age_ms: known.age.map(|age| age.as_millis() as u64),
            outcome,
        }
    }
}
