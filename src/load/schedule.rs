//! Schedule of arrival times, computed before the first request is sent.

use std::time::Duration;

/// Distribution of the time between two arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ArrivalProcess {
    /// Independent arrivals with exponentially distributed intervals.
    Poisson,
    /// Arrivals at equal intervals.
    Constant,
}

/// Period during which the rate is multiplied by a factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateSwing {
    /// Start of the period, counted from the start of the schedule.
    pub start: Duration,
    /// Factor by which the rate is multiplied; the factors of overlapping swings are multiplied.
    pub factor: f64,
    /// Length of the period.
    pub duration: Duration,
}

impl RateSwing {
    /// Reports whether `time` lies in the period.
    pub fn contains(&self, time: Duration) -> bool {
        time >= self.start && time < self.start + self.duration
    }
}

/// Parameters from which a schedule is computed.
#[derive(Clone, Debug)]
pub struct SchedulePlan {
    /// Seed of the random arrival times and classes.
    pub seed: u64,
    /// Requests per second outside swings.
    pub rate: f64,
    /// Distribution of the time between arrivals.
    pub arrival_process: ArrivalProcess,
    /// Length of the schedule.
    pub duration: Duration,
    /// Temporary changes of the rate.
    pub swings: Vec<RateSwing>,
    /// Relative frequencies of the classes.
    pub shares: Vec<f64>,
    /// Number of requests after which the schedule ends early.
    pub max_requests: usize,
}

/// One scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduledRequest {
    /// Time at which the request is due, counted from the start of the schedule.
    pub due_at: Duration,
    /// Index of the request's class.
    pub class: usize,
}

impl SchedulePlan {
    /// Computes all requests; the same plan always gives the same requests.
    pub fn requests(&self) -> Vec<ScheduledRequest> {
        let mut random = fastrand::Rng::with_seed(self.seed);
        let mut requests = Vec::new();
        let mut time = 0.0;
        while requests.len() < self.max_requests {
            let arrivals = match self.arrival_process {
                ArrivalProcess::Constant => 1.0,
                ArrivalProcess::Poisson => -(1.0 - random.f64()).ln(),
            };
            time = self.advance(time, arrivals);
            if time >= self.duration.as_secs_f64() {
                break;
            }
            let class = self.sample_class(&mut random);
            requests.push(ScheduledRequest { due_at: Duration::from_secs_f64(time), class });
        }
        requests
    }

    /// Returns the time at which the integral of the rate since `time` reaches `arrivals`, or the
    /// end of the schedule if that is earlier.
    fn advance(&self, mut time: f64, mut arrivals: f64) -> f64 {
        let end = self.duration.as_secs_f64();
        while time < end {
            let (rate, boundary) = self.rate_at(time);
            let boundary = boundary.min(end);
            let expected_arrivals = rate * (boundary - time);
            if expected_arrivals > arrivals {
                return time + arrivals / rate;
            }
            arrivals -= expected_arrivals;
            time = boundary;
        }
        end
    }

    /// Returns the rate at `time` and the time of its next change.
    fn rate_at(&self, time: f64) -> (f64, f64) {
        let mut rate = self.rate.max(0.0);
        let mut boundary = f64::INFINITY;
        for swing in &self.swings {
            let start = swing.start.as_secs_f64();
            let end = (swing.start + swing.duration).as_secs_f64();
            if time >= start && time < end {
                rate *= swing.factor.max(0.0);
                boundary = boundary.min(end);
            } else if time < start {
                boundary = boundary.min(start);
            }
        }
        (rate, boundary)
    }

    /// Chooses a random class according to the shares.
    fn sample_class(&self, random: &mut fastrand::Rng) -> usize {
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
