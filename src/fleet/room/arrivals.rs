//! Who asks for a service: recent and usual arrivals by priority and by tenant.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::fleet::decay::decay_factor;
use crate::ids::TenantName;

/// Time over which recent arrivals are counted. A flood is noticed within it, and a small tenant has a
/// handful of requests at one entry in it.
const RECENT_TIME: Duration = Duration::from_secs(3);

/// Time over which the usual arrivals are averaged. A flood of some seconds hardly changes it.
const USUAL_TIME: Duration = Duration::from_secs(60);

/// Time after which the usual arrivals of an entry are known well enough to compare with.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Maximum number of tenants that are tracked for one service.
const MAX_TENANTS: usize = 128;

/// Maximum number of priorities that are tracked for one service.
const MAX_PRIORITIES: usize = 16;

/// Arrivals of a priority within [`RECENT_TIME`] from which on it counts as present.
const PRESENT_ARRIVALS: f64 = 0.3;

/// Share of the arrivals that are more urgent from which on less urgent ones make room in full. A few find
/// room by their own probes, and many would be turned away for them in vain.
const MATERIAL_SHARE: f64 = 0.25;

/// Lowest standing. A requirement is that nobody is served less than a quarter as often as others; the
/// margin is for chance.
const MIN_STANDING: f64 = 0.3;

/// Arrivals that a tenant may have beyond the expected ones at any time.
const FREE_ARRIVALS: f64 = 3.0;

/// What decides the standing of a request.
#[derive(Debug, Clone, Copy)]
pub struct RequestClaim<'a> {
    pub tenant: Option<&'a str>,
    /// 0 is the highest.
    pub priority: u32,
}

/// Count that decays with a time constant.
#[derive(Debug, Clone, Copy)]
struct DecayingCount {
    value: f64,
    at: Instant,
}

impl DecayingCount {
    fn new(now: Instant) -> Self {
        Self { value: 0.0, at: now }
    }

    fn value(&self, now: Instant, time: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * decay_factor(age, time)
    }

    fn add(&mut self, now: Instant, time: Duration) {
        *self = Self { value: self.value(now, time) + 1.0, at: now };
    }
}

/// Recent and usual arrivals of one tenant, or of all.
#[derive(Debug, Clone, Copy)]
struct ArrivalCounts {
    recent: DecayingCount,
    usual: DecayingCount,
}

impl ArrivalCounts {
    fn new(now: Instant) -> Self {
        Self { recent: DecayingCount::new(now), usual: DecayingCount::new(now) }
    }

    fn add(&mut self, now: Instant) {
        self.recent.add(now, RECENT_TIME);
        self.usual.add(now, USUAL_TIME);
    }

    fn recent(&self, now: Instant) -> f64 {
        self.recent.value(now, RECENT_TIME)
    }

    /// Arrivals within [`RECENT_TIME`] as usual, if arrivals have been counted for `known_time`.
    fn usual(&self, now: Instant, known_time: Duration) -> f64 {
        let covered = 1.0 - decay_factor(known_time, USUAL_TIME);
        let usual_time = USUAL_TIME.as_secs_f64() * covered.max(f64::EPSILON);
        self.usual.value(now, USUAL_TIME) / usual_time * RECENT_TIME.as_secs_f64()
    }
}

/// Arrivals at one service, as one entry sees them.
#[derive(Debug, Clone, Default)]
pub struct ArrivalShares {
    /// Time of the first arrival, and the counts of all.
    total: Option<(Instant, ArrivalCounts)>,
    tenants: BTreeMap<TenantName, ArrivalCounts>,
    priorities: BTreeMap<u32, DecayingCount>,
}

impl ArrivalShares {
    /// Counts a request.
    pub fn record(&mut self, now: Instant, claim: RequestClaim<'_>) {
        let (_, total) = self.total.get_or_insert_with(|| (now, ArrivalCounts::new(now)));
        total.add(now);
        if self.priorities.len() < MAX_PRIORITIES || self.priorities.contains_key(&claim.priority) {
            let priority = self.priorities.entry(claim.priority);
            priority.or_insert_with(|| DecayingCount::new(now)).add(now, RECENT_TIME);
        }
        let Some(tenant) = claim.tenant else { return };
        if let Some(counts) = self.tenants.get_mut(tenant) {
            return counts.add(now);
        }
        if self.tenants.len() >= MAX_TENANTS {
            self.drop_smallest_tenant(now);
        }
        let mut counts = ArrivalCounts::new(now);
        counts.add(now);
        self.tenants.insert(tenant.into(), counts);
    }

    fn drop_smallest_tenant(&mut self, now: Instant) {
        let value = |counts: &ArrivalCounts| counts.usual.value(now, USUAL_TIME);
        let smallest =
            self.tenants.iter().min_by(|(_, one), (_, other)| value(one).total_cmp(&value(other)));
        let Some(smallest) = smallest.map(|(tenant, _)| tenant.clone()) else { return };
        self.tenants.remove(&smallest);
    }

    /// Share of its requests that a claim is due when there is no room for all: 1 for the most urgent
    /// requests of a tenant that asks for no more than usual, never below [`MIN_STANDING`].
    pub fn standing(&self, now: Instant, claim: RequestClaim<'_>) -> f64 {
        let standing = self.priority_factor(now, claim.priority)
            * claim.tenant.map_or(1.0, |tenant| self.tenant_factor(now, tenant));
        standing.clamp(MIN_STANDING, 1.0)
    }

    /// From 1 for the most urgent of the priorities that are present to [`MIN_STANDING`] for the least.
    fn priority_factor(&self, now: Instant, priority: u32) -> f64 {
        let is_present = |count: &DecayingCount| count.value(now, RECENT_TIME) > PRESENT_ARRIVALS;
        let present = self.priorities.iter().filter(|(_, count)| is_present(count));
        let (mut more_urgent, mut less_urgent) = (0.0, 0.0);
        let (mut urgent_arrivals, mut arrivals) = (0.0, 0.0);
        for (other, count) in present {
            let value = count.value(now, RECENT_TIME);
            arrivals += value;
            if *other < priority {
                more_urgent += 1.0;
                urgent_arrivals += value;
            }
            less_urgent += f64::from(u8::from(*other > priority));
        }
        if more_urgent == 0.0 {
            return 1.0;
        }
        let weight = (urgent_arrivals / arrivals / MATERIAL_SHARE).min(1.0);
        1.0 - (1.0 - MIN_STANDING) * weight * more_urgent / (more_urgent + less_urgent)
    }

    /// Below 1 for a tenant that asks for more than usual, and more so than the others. Three standard
    /// deviations are granted for chance: one entry sees few requests of a tenant.
    fn tenant_factor(&self, now: Instant, tenant: &str) -> f64 {
        let Some((first_at, total)) = &self.total else { return 1.0 };
        let known_time = now.saturating_duration_since(*first_at);
        let Some(counts) = self.tenants.get(tenant) else { return 1.0 };
        if known_time < LEARNING_TIME {
            return 1.0;
        }
        let (recent, usual) = (counts.recent(now), counts.usual(now, known_time));
        let others_recent = (total.recent(now) - recent).max(0.0);
        let others_usual = (total.usual(now, known_time) - usual).max(0.0);
        let growth = if others_usual > 0.0 { (others_recent / others_usual).max(1.0) } else { 1.0 };
        // A tenant that is new is due as much as the others are on average.
        let other_count = self.tenants.len().saturating_sub(1).max(1) as f64;
        let expected = (usual * growth).max(others_recent / other_count);
        let allowed = expected + 3.0 * expected.sqrt() + FREE_ARRIVALS;
        if recent <= allowed { 1.0 } else { expected.max(FREE_ARRIVALS) / recent }
    }
}
