//! Load-balancing policies that a service can select in its settings.

use std::str::FromStr;

/// How a service chooses among its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoutePolicy {
    Random,
    RoundRobin,
    LeastInFlight,
    /// The less loaded of two random servers, by the entry's own requests in flight plus the load
    /// that the server reported last.
    TwoChoices,
    /// A server for which the entry holds a credit; see `CreditWallet`.
    Credits,
}

/// The name is not that of a policy.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown policy `{0}`; known: random, round_robin, least_in_flight, two_choices, credits")]
pub struct UnknownPolicy(Box<str>);

impl FromStr for RoutePolicy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        match name {
            "random" => Ok(Self::Random),
            "round_robin" => Ok(Self::RoundRobin),
            "least_in_flight" => Ok(Self::LeastInFlight),
            "two_choices" => Ok(Self::TwoChoices),
            "credits" => Ok(Self::Credits),
            _ => Err(UnknownPolicy(name.into())),
        }
    }
}

/// A server that can accept a request.
#[derive(Clone, Copy, Debug)]
pub struct PolicyCandidate {
    /// Index in the pool.
    pub position: usize,
    /// Requests of this entry in flight to the server.
    pub in_flight: u32,
    /// Requests from all entries, as last reported by the server.
    pub reported_load: u32,
    pub slots: u32,
}

/// Random generator and round-robin position of one service, for all policies except credits.
#[derive(Debug)]
pub struct PolicyState {
    random: fastrand::Rng,
    next_position: usize,
}

impl PolicyState {
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), next_position: 0 }
    }

    /// Chooses one of the candidates, which must be sorted by position. Returns `None` if there are
    /// none, or for `RoutePolicy::Credits`, where the wallet chooses the server.
    pub fn choose(
        &mut self,
        policy: RoutePolicy,
        candidates: &[PolicyCandidate],
    ) -> Option<PolicyCandidate> {
        if candidates.is_empty() {
            return None;
        }
        match policy {
            RoutePolicy::Random => Some(self.random_one(candidates)),
            RoutePolicy::RoundRobin => Some(self.next_in_rotation(candidates)),
            RoutePolicy::LeastInFlight => Some(self.least_in_flight(candidates)),
            RoutePolicy::TwoChoices => {
                let (first, second) = (self.random_one(candidates), self.random_one(candidates));
                Some(if load_per_slot(&second) < load_per_slot(&first) { second } else { first })
            }
            RoutePolicy::Credits => None,
        }
    }

    fn random_one(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        candidates[self.random.usize(..candidates.len())]
    }

    fn next_in_rotation(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        let next = candidates.iter().find(|candidate| candidate.position >= self.next_position);
        let chosen = *next.unwrap_or(&candidates[0]);
        self.next_position = chosen.position + 1;
        chosen
    }

    /// Fewest requests in flight per slot. The random start breaks ties; otherwise all entries would
    /// prefer the first server.
    fn least_in_flight(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        let start = self.random.usize(..candidates.len());
        let mut best = candidates[start];
        for offset in 1..candidates.len() {
            let candidate = candidates[(start + offset) % candidates.len()];
            let scaled_loads = (candidate.in_flight * best.slots, best.in_flight * candidate.slots);
            if scaled_loads.0 < scaled_loads.1 {
                best = candidate;
            }
        }
        best
    }
}

fn load_per_slot(candidate: &PolicyCandidate) -> f64 {
    f64::from(candidate.in_flight + candidate.reported_load) / f64::from(candidate.slots.max(1))
}
