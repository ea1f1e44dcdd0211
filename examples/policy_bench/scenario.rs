//! Recorded arrivals and service times.

use crate::{CAPACITY, ENTRIES, MEAN_SERVICE, RUN, WARM_UP};

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scenario {
    Light,
    Steady,
    Swing,
    Straggler,
    /// The straggler becomes slow at `ONSET`.
    Onset,
    FailFast,
    /// One server fails every fifth request at once.
    Flaky,
}

pub(crate) const SCENARIOS: [(&str, Scenario); 7] = [
    ("light", Scenario::Light),
    ("steady", Scenario::Steady),
    ("swing", Scenario::Swing),
    ("straggler", Scenario::Straggler),
    ("onset", Scenario::Onset),
    ("fail_fast", Scenario::FailFast),
    ("flaky", Scenario::Flaky),
];

pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) entry: usize,
    pub(crate) service: f64,
}

impl Scenario {
    /// Demand as a part of capacity. The swing is from 0.3 to 3 within 20 ms, for one second of
    /// every three.
    fn load(self, at: f64) -> f64 {
        match self {
            Self::Light => return 0.4,
            Self::Swing => {}
            _ => return 0.85,
        }
        let phase = (at - WARM_UP).rem_euclid(3.0);
        match phase {
            ..1.0 => 0.3,
            1.0..1.02 => 0.3 + 2.7 * (phase - 1.0) / 0.02,
            1.02..2.0 => 3.0,
            _ => 0.3,
        }
    }

    /// Whether `at` is in the part of the run over which goodput is measured.
    pub(crate) fn is_measured(self, at: f64) -> bool {
        let phase = (at - WARM_UP).rem_euclid(3.0);
        at >= WARM_UP && (self != Self::Swing || (1.05..2.0).contains(&phase))
    }

    pub(crate) fn measured_seconds(self) -> f64 {
        let steps = (RUN * 1000.0) as u32;
        let count = (0..steps).filter(|step| self.is_measured(f64::from(*step) / 1000.0)).count();
        count as f64 / 1000.0
    }

    pub(crate) fn record(self, seed: u64, sigma: f64) -> Vec<Arrival> {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        let highest = CAPACITY * 3.0;
        while at < RUN {
            at -= (1.0 - random.f64()).ln() / highest;
            if random.f64() * 3.0 >= self.load(at) {
                continue;
            }
            let (first, second) = (1.0 - random.f64(), random.f64());
            let normal = (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos();
            let service = MEAN_SERVICE * (sigma * normal - sigma * sigma / 2.0).exp();
            arrivals.push(Arrival { at, entry: random.usize(..ENTRIES), service });
        }
        arrivals
    }
}
