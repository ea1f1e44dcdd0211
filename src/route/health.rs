//! Passive outlier detection: finds servers that are slow or failing compared with the other
//! servers of the service, from the responses to ordinary requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::credit::{ResponseVerdict, ServerKey, SuspectReason, SuspectServer, WorkClass};

/// Outlier detection settings of one service.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// Duration of the first ejection; each further one lasts twice as long.
    pub first_ejection: Duration,
    pub max_ejection: Duration,
    /// Time after an ejection over which the server regains its slots.
    pub slot_recovery_time: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            first_ejection: Duration::from_millis(500),
            max_ejection: Duration::from_secs(30),
            slot_recovery_time: Duration::from_secs(1),
        }
    }
}

/// Slack of the cumulative sum (CUSUM), in standard deviations of the log latency: deviations up
/// to this count as normal. Together with the threshold below it gives about one false alarm in
/// 100,000 responses.
const LATENCY_SLACK: f64 = 1.0;
const LATENCY_THRESHOLD: f64 = 5.0;
/// With these values three consecutive failures eject a server while the others do not fail.
const FAILURE_SLACK: f64 = 0.3;
const FAILURE_THRESHOLD: f64 = 2.0;
/// Weight of a new response in the moving averages of mean, variance and failure rate.
const MEAN_WEIGHT: f64 = 0.01;
/// Weight of a new response in the fast mean. Deviations are measured from the higher of the two
/// means, so that a slowdown of all servers counts as normal after about ten responses.
const FAST_MEAN_WEIGHT: f64 = 0.1;
/// Responses of a class that are required before its latencies are evaluated.
const MIN_RESPONSES: u32 = 30;
/// Lower bound of the standard deviation, so that nearly constant latencies cause no false alarms.
const MIN_STANDARD_DEVIATION: f64 = 0.2;
/// Upper bound of the deviation of a single response, so that one outlier ejects no server.
const MAX_DEVIATION: f64 = 3.0;
/// Scores from this fraction of the threshold on are reported to the account holder. Latency
/// scores of healthy servers reach half of the threshold less than one percent of the time; a
/// single failure is 35 percent of the threshold.
const MIN_REPORTED_LATENCY: f64 = 0.5;
const MIN_REPORTED_FAILURE: f64 = 0.3;
/// Above this failure rate over all servers a failure says nothing about one server, and pausing
/// servers would only slow down a service that fails as a whole.
const SERVICE_WIDE_FAILURE_RATE: f64 = 0.3;
/// Deviations below and above which a response is classified as good or slow.
const MAX_GOOD_DEVIATION: f64 = 0.5;
const MIN_SLOW_DEVIATION: f64 = 1.5;
/// Open requests tracked for each server. Older ones are the better evidence of a stall, so newer
/// ones are ignored beyond this number.
const MAX_OPEN_REQUESTS: usize = 64;

#[derive(Debug, Default)]
struct ServerScore {
    latency: f64,
    failure: f64,
    open: Vec<(Instant, WorkClass)>,
    ejections: u32,
    ejected_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassStatistics {
    mean: f64,
    fast_mean: f64,
    variance: f64,
    count: u32,
    failure_rate: f64,
}

/// Outlier scores of the servers of one service.
///
/// Each server has two cumulative sums (CUSUM): how far its log latency exceeds the mean of its
/// request class, and how far its failures exceed the failure rate of that class. A server is
/// ejected when one sum exceeds the median of all servers by the threshold, so that no server is
/// ejected when all get worse together. Failed responses leave the latency score unchanged, so
/// that a server cannot improve it by failing fast.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    servers: BTreeMap<ServerKey, ServerScore>,
    classes: [ClassStatistics; 2],
}

impl HealthTracker {
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, servers: BTreeMap::new(), classes: Default::default() }
    }

    /// Sets the servers of the service and drops the scores of all others.
    pub fn set_servers(&mut self, servers: &[ServerKey]) {
        self.servers.retain(|server, _| servers.contains(server));
        for server in servers {
            self.servers.entry(*server).or_default();
        }
    }

    /// Records a request that was sent at `now`.
    pub fn record_sent(&mut self, now: Instant, server: ServerKey, class: WorkClass) {
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        if score.open.len() < MAX_OPEN_REQUESTS {
            score.open.push((now, class));
        }
    }

    /// Stops tracking a request, without effect on the score of its server.
    pub fn remove_open_request(&mut self, server: ServerKey, class: WorkClass, sent: Instant) {
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(position) = score.open.iter().position(|open| *open == (sent, class)) {
            score.open.remove(position);
        }
    }

    /// Records the end of a request that was sent at `sent`.
    pub fn record_response(
        &mut self,
        now: Instant,
        server: ServerKey,
        class: WorkClass,
        sent: Instant,
        failed: bool,
    ) {
        self.remove_open_request(server, class, sent);
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        let statistics = &mut self.classes[class.index()];
        let failure = f64::from(u8::from(failed));
        let failure_excess = failure - statistics.failure_rate - FAILURE_SLACK;
        score.failure = (score.failure + failure_excess).clamp(0.0, 2.0 * FAILURE_THRESHOLD);
        statistics.failure_rate += MEAN_WEIGHT * (failure - statistics.failure_rate);
        if !failed {
            let value = log_latency(now, sent);
            let deviation = statistics.deviation(value).clamp(-MAX_DEVIATION, MAX_DEVIATION);
            let sum = score.latency + deviation - LATENCY_SLACK;
            score.latency = sum.clamp(0.0, 2.0 * LATENCY_THRESHOLD);
            statistics.record_latency(value);
        }
        self.eject_if_outlier(now, server);
    }

    /// Ejects servers whose open requests show a stall. To be called every few milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let servers: Vec<ServerKey> = self.servers.keys().copied().collect();
        for server in servers {
            self.eject_if_outlier(now, server);
        }
    }

    /// Fraction of its slots that a server may use: 0 while ejected, then growing to 1.
    pub fn weight(&self, now: Instant, server: ServerKey) -> f64 {
        let Some(until) = self.servers.get(&server).and_then(|score| score.ejected_until) else {
            return 1.0;
        };
        if now < until {
            return 0.0;
        }
        let passed = now.saturating_duration_since(until);
        (passed.as_secs_f64() / self.settings.slot_recovery_time.as_secs_f64()).clamp(0.1, 1.0)
    }

    pub fn is_ejected(&self, now: Instant, server: ServerKey) -> bool {
        self.weight(now, server) == 0.0
    }

    /// Returns the servers that are ejected now.
    pub fn ejected(&self, now: Instant) -> Vec<ServerKey> {
        self.servers.keys().copied().filter(|server| self.is_ejected(now, *server)).collect()
    }

    /// Returns the servers whose scores exceed those of the others, for the account holder.
    pub fn suspects(&self, now: Instant) -> Vec<SuspectServer> {
        let mut candidates = Vec::new();
        for (&server, score) in &self.servers {
            let latency = self.latency_score(now, score);
            let is_ejected = score.ejected_until.is_some_and(|until| now < until);
            let is_reported = latency >= MIN_REPORTED_LATENCY * LATENCY_THRESHOLD
                || score.failure >= MIN_REPORTED_FAILURE * FAILURE_THRESHOLD;
            if is_reported || is_ejected {
                candidates.push((server, latency, score.failure, is_ejected));
            }
        }
        if candidates.is_empty() {
            return Vec::new();
        }
        let median_latency = self.median(|score| self.latency_score(now, score));
        let median_failure = self.median(|score| score.failure);
        let mut suspects = Vec::new();
        for (server, latency, failure, is_ejected) in candidates {
            let latency = (latency - median_latency) / LATENCY_THRESHOLD;
            let failure = (failure - median_failure) / FAILURE_THRESHOLD;
            let is_failing = failure >= MIN_REPORTED_FAILURE;
            if !is_failing && latency < MIN_REPORTED_LATENCY && !is_ejected {
                continue;
            }
            let reason = if is_failing { SuspectReason::Failing } else { SuspectReason::Slow };
            let relative_score =
                if is_ejected { 1.0 } else { latency.max(failure).clamp(0.0, 1.0) };
            // Rounded down to ten percent, so that small changes cause no message.
            let strength = (relative_score * 10.0) as u8 * 10;
            suspects.push(SuspectServer { server, reason, strength });
        }
        suspects
    }

    /// Compares a response with the usual ones of its class. To be called before
    /// `record_response`, which adds the response to those.
    pub fn classify_response(
        &self,
        now: Instant,
        class: WorkClass,
        sent: Instant,
        failed: bool,
    ) -> ResponseVerdict {
        if failed {
            let is_service_wide =
                self.classes[class.index()].failure_rate > SERVICE_WIDE_FAILURE_RATE;
            return if is_service_wide {
                ResponseVerdict::ServiceWideFailure
            } else {
                ResponseVerdict::Failed
            };
        }
        let deviation = self.classes[class.index()].deviation(log_latency(now, sent));
        match deviation {
            ..MAX_GOOD_DEVIATION => ResponseVerdict::Good,
            ..MIN_SLOW_DEVIATION => ResponseVerdict::Neutral,
            _ => ResponseVerdict::Slow,
        }
    }

    fn eject_if_outlier(&mut self, now: Instant, server: ServerKey) {
        let Some(score) = self.servers.get(&server) else {
            return;
        };
        if score.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let (latency, failure) = (self.latency_score(now, score), score.failure);
        if latency < LATENCY_THRESHOLD && failure < FAILURE_THRESHOLD {
            return;
        }
        let median_latency = self.median(|score| self.latency_score(now, score));
        let median_failure = self.median(|score| score.failure);
        let is_slow = latency - median_latency >= LATENCY_THRESHOLD;
        let is_failing = failure - median_failure >= FAILURE_THRESHOLD;
        if !is_slow && !is_failing {
            return;
        }
        if (self.ejected(now).len() + 1) * 2 > self.servers.len() {
            return;
        }
        self.eject(now, server);
    }

    fn eject(&mut self, now: Instant, server: ServerKey) {
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        // A server that stayed healthy for ten times its last period starts again with the first.
        let period = self.settings.first_ejection * (1 << score.ejections.min(16));
        let has_recovered = score.ejected_until.is_none_or(|until| now > until + period * 10);
        score.ejections = if has_recovered { 0 } else { score.ejections + 1 };
        let period = self.settings.first_ejection * (1 << score.ejections.min(16));
        score.ejected_until = Some(now + period.min(self.settings.max_ejection));
        // Starting at half the threshold detects a relapse twice as fast.
        score.latency = LATENCY_THRESHOLD / 2.0;
        score.failure = FAILURE_THRESHOLD / 2.0;
    }

    /// Latency score from the responses plus the deviation that open requests already show.
    fn latency_score(&self, now: Instant, score: &ServerScore) -> f64 {
        let mut sum = score.latency;
        for (sent, class) in &score.open {
            let deviation = self.classes[class.index()].deviation(log_latency(now, *sent));
            sum += (deviation.min(MAX_DEVIATION) - LATENCY_SLACK).max(0.0);
        }
        sum
    }

    fn median(&self, value: impl Fn(&ServerScore) -> f64) -> f64 {
        let mut values: Vec<f64> = self.servers.values().map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied().unwrap_or(0.0)
    }
}

impl ClassStatistics {
    fn record_latency(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.fast_mean += weight.max(FAST_MEAN_WEIGHT) * (value - self.fast_mean);
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    fn deviation(&self, value: f64) -> f64 {
        if self.count < MIN_RESPONSES {
            return 0.0;
        }
        (value - self.mean.max(self.fast_mean)) / self.variance.sqrt().max(MIN_STANDARD_DEVIATION)
    }
}

fn log_latency(now: Instant, sent: Instant) -> f64 {
    now.saturating_duration_since(sent).as_secs_f64().max(1e-6).ln()
}
