//! Scenarios, and the arrivals and service times that they generate.

use curranthollow::credit::WorkClass;

use crate::{CAPACITY, ENTRY_COUNT, MEAN_SERVICE_SECONDS, RUN_SECONDS, WARM_UP_SECONDS};

#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Scenario {
    Light,
    Steady,
    Swing,
    Straggler,
    /// The straggler becomes slow at `ONSET_SECONDS`.
    Onset,
    FailFast,
    /// One server fails every fifth request immediately.
    Flaky,
    /// The short work of `Uploads` without its long work.
    ShortOnly,
    /// Long work that uses 30 % of capacity, and short work that uses 55 %.
    Uploads,
    /// Short work that uses 40 % of capacity, and long work that demands 60 % but may occupy only
    /// half of the slots; entry 0 receives about half of the long work.
    UploadsUneven,
}

/// Service time of long work, in seconds.
const LONG_SERVICE_SECONDS: f64 = 2.0;

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

/// One generated request; times are in seconds of simulated time.
pub(crate) struct Arrival {
    pub(crate) at: f64,
    pub(crate) entry: usize,
    pub(crate) service_seconds: f64,
    pub(crate) class: WorkClass,
}

impl Scenario {
    /// Demand of short work as a fraction of capacity. The swing rises from 0.3 to 3 within 20 ms
    /// and lasts one second out of every three.
    fn short_load(self, at: f64) -> f64 {
        match self {
            Self::Light => return 0.4,
            Self::ShortOnly | Self::Uploads => return 0.55,
            Self::UploadsUneven => return 0.4,
            Self::Swing => {}
            _ => return 0.85,
        }
        let phase = (at - WARM_UP_SECONDS).rem_euclid(3.0);
        match phase {
            ..1.0 => 0.3,
            1.0..1.02 => 0.3 + 2.7 * (phase - 1.0) / 0.02,
            1.02..2.0 => 3.0,
            _ => 0.3,
        }
    }

    /// Whether `at` is in a measured period of the run.
    pub(crate) fn is_measured(self, at: f64) -> bool {
        let phase = (at - WARM_UP_SECONDS).rem_euclid(3.0);
        // The slots of long work are full only after one service time of long work.
        let start = if self.long_load() > 0.0 || self == Self::ShortOnly {
            WARM_UP_SECONDS + LONG_SERVICE_SECONDS
        } else {
            WARM_UP_SECONDS
        };
        at >= start && (self != Self::Swing || (1.05..2.0).contains(&phase))
    }

    pub(crate) fn measured_seconds(self) -> f64 {
        let milliseconds = (RUN_SECONDS * 1000.0) as u32;
        let count = (0..milliseconds)
            .filter(|millisecond| self.is_measured(f64::from(*millisecond) / 1000.0))
            .count();
        count as f64 / 1000.0
    }

    /// Demand of long work as a fraction of capacity.
    fn long_load(self) -> f64 {
        match self {
            Self::Uploads => 0.3,
            Self::UploadsUneven => 0.6,
            _ => 0.0,
        }
    }

    fn add_long_work(self, arrivals: &mut Vec<Arrival>, random: &mut fastrand::Rng) {
        let rate = self.long_load() * CAPACITY * MEAN_SERVICE_SECONDS / LONG_SERVICE_SECONDS;
        let mut at = 0.0;
        while rate > 0.0 && at < RUN_SECONDS {
            at -= (1.0 - random.f64()).ln() / rate;
            let is_for_first_entry = self == Self::UploadsUneven && random.bool();
            let entry = if is_for_first_entry { 0 } else { random.usize(..ENTRY_COUNT) };
            arrivals.push(Arrival {
                at,
                entry,
                service_seconds: LONG_SERVICE_SECONDS,
                class: WorkClass::Long,
            });
        }
        arrivals.sort_by(|first, second| first.at.total_cmp(&second.at));
    }

    /// Generates the arrivals of one run, ordered by time. Short work arrives as a Poisson process,
    /// thinned to the load at each moment, with log-normal service times.
    pub(crate) fn generate_arrivals(self, seed: u64, sigma: f64) -> Vec<Arrival> {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        let max_rate = CAPACITY * 3.0;
        while at < RUN_SECONDS {
            at -= (1.0 - random.f64()).ln() / max_rate;
            if random.f64() * 3.0 >= self.short_load(at) {
                continue;
            }
            let (uniform_1, uniform_2) = (1.0 - random.f64(), random.f64());
            let normal = (-2.0 * uniform_1.ln()).sqrt() * (std::f64::consts::TAU * uniform_2).cos();
            let service_seconds =
                MEAN_SERVICE_SECONDS * (sigma * normal - sigma * sigma / 2.0).exp();
            let (entry, class) = (random.usize(..ENTRY_COUNT), WorkClass::Short);
            arrivals.push(Arrival { at, entry, service_seconds, class });
        }
        self.add_long_work(&mut arrivals, &mut random);
        arrivals
    }
}
