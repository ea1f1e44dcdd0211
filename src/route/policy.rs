//! Baseline choices of a server, selectable by a setting.

use std::str::FromStr;

/// How a service chooses among its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RoutePolicy {
    Random,
    RoundRobin,
    LeastInFlight,
    /// The better of two random servers, by own count plus the server's stale report.
    TwoChoices,
    /// Only servers of which the entry holds a credit.
    Credits,
}

/// The name is not a policy.
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

/// A server that may take a request, as the baselines see it.
#[derive(Clone, Copy, Debug)]
pub struct PolicyCandidate {
    /// Position in the pool.
    pub position: usize,
    /// Requests of this entry on the server.
    pub in_flight: u32,
    /// Load that the server reported last, over all entries.
    pub reported: u32,
    pub slots: u32,
}

/// State of the baselines of one service: the seed's random numbers and the turn.
#[derive(Debug)]
pub struct PolicyState {
    random: fastrand::Rng,
    turn: usize,
}

impl PolicyState {
    pub fn new(seed: u64) -> Self {
        Self { random: fastrand::Rng::with_seed(seed), turn: 0 }
    }

    /// Chooses one of the candidates, which are ordered by position; `None` if there are none.
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
            RoutePolicy::RoundRobin => Some(self.next_in_turn(candidates)),
            RoutePolicy::LeastInFlight => Some(self.least_in_flight(candidates)),
            RoutePolicy::TwoChoices => {
                let (first, second) = (self.random_one(candidates), self.random_one(candidates));
                Some(if load(&second) < load(&first) { second } else { first })
            }
            RoutePolicy::Credits => None,
        }
    }

    fn random_one(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        candidates[self.random.usize(..candidates.len())]
    }

    fn next_in_turn(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        let next = candidates.iter().find(|candidate| candidate.position >= self.turn);
        let chosen = *next.unwrap_or(&candidates[0]);
        self.turn = chosen.position + 1;
        chosen
    }

    /// A random start breaks ties; otherwise all entries would prefer the first server.
    fn least_in_flight(&mut self, candidates: &[PolicyCandidate]) -> PolicyCandidate {
        let start = self.random.usize(..candidates.len());
        let mut best = candidates[start];
        for offset in 1..candidates.len() {
            let candidate = candidates[(start + offset) % candidates.len()];
            let products = (candidate.in_flight * best.slots, best.in_flight * candidate.slots);
            if products.0 < products.1 {
                best = candidate;
            }
        }
        best
    }
}

fn load(candidate: &PolicyCandidate) -> f64 {
    f64::from(candidate.in_flight + candidate.reported) / f64::from(candidate.slots.max(1))
}
