//! Arrival times that are fixed before the first request is sent.

use std::time::Duration;

/// Distribution of the time between two arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalProcess {
    /// Independent arrivals.
    Poisson,
    /// Evenly spaced arrivals.
    Constant,
}

/// Period in which the rate is multiplied.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateSwing {
    /// Start, counted from the first arrival.
    pub at: Duration,
    /// Multiplies the rate; swings that overlap multiply each other.
    pub factor: f64,
    /// Length of the period.
    pub duration: Duration,
}

impl RateSwing {
    /// Reports whether `time` lies in the period.
    pub fn contains(&self, time: Duration) -> bool {
        time >= self.at && time < self.at + self.duration
    }
}

/// What determines the arrivals.
#[derive(Clone, Debug)]
pub struct SchedulePlan {
    /// Seed of arrivals and classes.
    pub seed: u64,
    /// Requests a second outside swings.
    pub rate: f64,
    /// Distribution of the time between arrivals.
    pub arrivals: ArrivalProcess,
    /// Length of the schedule.
    pub duration: Duration,
    /// Changes of the rate.
    pub swings: Vec<RateSwing>,
    /// Relative frequency of each class.
    pub shares: Vec<f64>,
    /// Largest number of requests; the schedule ends there.
    pub max_requests: usize,
}

/// One arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Time since the start.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
}

impl SchedulePlan {
    /// Returns all arrivals; the same plan always gives the same arrivals.
    pub fn arrivals(&self) -> Vec<ScheduledRequest> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut arrivals = Vec::new();
        let mut time = 0.0;
        while arrivals.len() < self.max_requests {
            let work = match self.arrivals {
                ArrivalProcess::Constant => 1.0,
                ArrivalProcess::Poisson => -(1.0 - random.f64()).ln(),
            };
            time = self.advance(time, work);
            if time >= self.duration.as_secs_f64() {
                break;
            }
            let class = self.draw_class(&mut random);
            arrivals.push(ScheduledRequest { at: Duration::from_secs_f64(time), class });
        }
        arrivals
    }

    /// Returns the time at which `work` expected arrivals have passed since `time`.
    fn advance(&self, mut time: f64, mut work: f64) -> f64 {
        let end = self.duration.as_secs_f64();
        while time < end {
            let (rate, boundary) = self.rate_at(time);
            let boundary = boundary.min(end);
            let passed = rate * (boundary - time);
            if passed > work {
                return time + work / rate;
            }
            work -= passed;
            time = boundary;
        }
        end
    }

    /// Returns the rate at `time` and the time of its next change.
    fn rate_at(&self, time: f64) -> (f64, f64) {
        let mut rate = self.rate.max(0.0);
        let mut boundary = f64::INFINITY;
        for swing in &self.swings {
            let start = swing.at.as_secs_f64();
            let end = (swing.at + swing.duration).as_secs_f64();
            if time >= start && time < end {
                rate *= swing.factor.max(0.0);
                boundary = boundary.min(end);
            } else if time < start {
                boundary = boundary.min(start);
            }
        }
        (rate, boundary)
    }

    fn draw_class(&self, random: &mut fastrand::Rng) -> usize {
        let total: f64 = self.shares.iter().sum();
        let mut point = random.f64() * total;
        for (class, share) in self.shares.iter().enumerate() {
            if point < *share {
                return class;
            }
            point -= share;
        }
        0
    }
}
