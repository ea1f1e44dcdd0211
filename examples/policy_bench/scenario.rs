//! Recorded arrivals and service times.

use curranthollow::credit::WorkClass;

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
    /// The short work of `Uploads` alone.
    ShortOnly,
    /// Long work with 30 % of capacity beside short work with 55 %.
    Uploads,
    /// Short work with 40 % of capacity beside long work that asks for 60 % and may have half;
    /// entry 0 gets half of the long work.
    UploadsUneven,
}

/// Service time of long work, in seconds.
const LONG_SERVICE: f64 = 2.0;

pub(crate) const SCENARIOS: [(&str, Scenario); 10] = [
    ("light", Scenario::Light),
    ("steady", Scenario::Steady),
    ("swing", Scenario::Swing),
    ("straggler", Scenario::Straggler),
    ("onset", Scenario::Onset),
    ("fail_fast", Scenario::FailFast),
    ("flaky", Scenario::Flaky),
    ("short_only", Scenario::ShortOnly),
    ("uploads", Scenario::Uploads),
    ("uploads_uneven", Scenario::UploadsUneven),
];

pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) entry: usize,
    pub(crate) service: f64,
    pub(crate) class: WorkClass,
}

impl Scenario {
    /// Demand as a part of capacity. The swing is from 0.3 to 3 within 20 ms, for one second of
    /// every three.
    fn load(self, at: f64) -> f64 {
        match self {
            Self::Light => return 0.4,
            Self::ShortOnly | Self::Uploads => return 0.55,
            Self::UploadsUneven => return 0.4,
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
        // Long work needs its service time more to fill its slots.
        let start = if self.long_load() > 0.0 || self == Self::ShortOnly {
            WARM_UP + LONG_SERVICE
        } else {
            WARM_UP
        };
        at >= start && (self != Self::Swing || (1.05..2.0).contains(&phase))
    }

    pub(crate) fn measured_seconds(self) -> f64 {
        let steps = (RUN * 1000.0) as u32;
        let count = (0..steps).filter(|step| self.is_measured(f64::from(*step) / 1000.0)).count();
        count as f64 / 1000.0
    }

    /// Demand of long work as a part of capacity.
    fn long_load(self) -> f64 {
        match self {
            Self::Uploads => 0.3,
            Self::UploadsUneven => 0.6,
            _ => 0.0,
        }
    }

    fn add_long(self, arrivals: &mut Vec<Arrival>, random: &mut fastrand::Rng) {
        let rate = self.long_load() * CAPACITY * MEAN_SERVICE / LONG_SERVICE;
        let mut at = 0.0;
        while rate > 0.0 && at < RUN {
            at -= (1.0 - random.f64()).ln() / rate;
            let is_first = self == Self::UploadsUneven && random.bool();
            let entry = if is_first { 0 } else { random.usize(..ENTRIES) };
            arrivals.push(Arrival { at, entry, service: LONG_SERVICE, class: WorkClass::Long });
        }
        arrivals.sort_by(|first, second| first.at.total_cmp(&second.at));
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
            let (entry, class) = (random.usize(..ENTRIES), WorkClass::Short);
            arrivals.push(Arrival { at, entry, service, class });
        }
        self.add_long(&mut arrivals, &mut random);
        arrivals
    }
}
