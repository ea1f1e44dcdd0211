//! Finds servers that are slow or failing compared with the others, from responses only.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::credit::{AnswerVerdict, ServerKey, SuspectLine, SuspectReason, WorkClass};

/// Rules of one service.
#[derive(Clone, Debug)]
pub struct HealthSettings {
    /// First ejection; each further one takes twice as long.
    pub first_ejection: Duration,
    pub longest_ejection: Duration,
    /// Time over which an ejected server gets its slots back.
    pub return_time: Duration,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            first_ejection: Duration::from_millis(500),
            longest_ejection: Duration::from_secs(30),
            return_time: Duration::from_secs(1),
        }
    }
}

/// Deviation that counts as normal, in standard deviations of the log latency. A cumulative sum
/// with this slack and the limit below raises a false alarm about once in 100,000 responses.
const LATENCY_SLACK: f64 = 1.0;
const LATENCY_LIMIT: f64 = 5.0;
/// Three failures in a row eject a server while the others do not fail.
const FAILURE_SLACK: f64 = 0.3;
const FAILURE_LIMIT: f64 = 2.0;
/// Part of a new response in the running mean and variance of the service.
const MEAN_WEIGHT: f64 = 0.01;
/// Part of a new response in the fast mean. Deviations count from the higher of both means, so
/// that a change common to all servers fades after about ten responses.
const FAST_WEIGHT: f64 = 0.1;
/// Responses of a class before latencies are judged.
const MIN_RESPONSES: u32 = 30;
/// The deviation is taken as at least this, so that very even latencies cause no alarms.
const MIN_DEVIATION: f64 = 0.2;
/// A single response counts at most this many deviations, so that one outlier ejects nobody.
const MAX_DEVIATION: f64 = 3.0;
/// Scores from this part of the limit on are reported. Latency scores of healthy servers reach
/// half of the limit in under one percent of the time; a failure alone is 35 percent.
const REPORTED_LATENCY: f64 = 0.5;
const REPORTED_FAILURE: f64 = 0.3;
/// With more failures than this in the whole service, a failure is no sign against one server;
/// pauses would then only slow down a service that fails as a whole.
const COMMON_FAILURE_RATE: f64 = 0.3;
/// Deviations that make an answer good or slow for a server on probe.
const GOOD_DEVIATION: f64 = 0.5;
const SLOW_DEVIATION: f64 = 1.5;
/// Open requests followed for each server; older ones say most, so newer ones are left out.
const MAX_OPEN: usize = 64;

#[derive(Debug, Default)]
struct ServerScore {
    latency: f64,
    failure: f64,
    open: Vec<(Instant, WorkClass)>,
    ejections: u32,
    ejected_until: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
struct ClassLatency {
    mean: f64,
    fast_mean: f64,
    variance: f64,
    count: u32,
    failure_rate: f64,
}

/// Scores of the servers of one service.
///
/// Each server has a cumulative sum of how far its log latency exceeds that of the service and
/// class, and one of its failures above the service's rate. A server is ejected when a sum
/// exceeds the median of all servers by the limit; so nothing happens when all get worse
/// together. Failed responses add nothing to the latency score: failing fast is no merit.
#[derive(Debug)]
pub struct HealthTracker {
    settings: HealthSettings,
    servers: BTreeMap<ServerKey, ServerScore>,
    classes: [ClassLatency; 2],
}

impl HealthTracker {
    pub fn new(settings: HealthSettings) -> Self {
        Self { settings, servers: BTreeMap::new(), classes: Default::default() }
    }

    /// Sets the servers of the service; scores of others are dropped.
    pub fn set_servers(&mut self, servers: &[ServerKey]) {
        self.servers.retain(|server, _| servers.contains(server));
        for server in servers {
            self.servers.entry(*server).or_default();
        }
    }

    /// Notes that a request was sent.
    pub fn note_sent(&mut self, now: Instant, server: ServerKey, class: WorkClass) {
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        if score.open.len() < MAX_OPEN {
            score.open.push((now, class));
        }
    }

    /// Drops a request that ended without saying anything about the server.
    pub fn forget(&mut self, server: ServerKey, class: WorkClass, sent: Instant) {
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        if let Some(position) = score.open.iter().position(|open| *open == (sent, class)) {
            score.open.remove(position);
        }
    }

    /// Notes the end of a request sent at `sent`.
    pub fn note_response(
        &mut self,
        now: Instant,
        server: ServerKey,
        class: WorkClass,
        sent: Instant,
        failed: bool,
    ) {
        self.forget(server, class, sent);
        let Some(score) = self.servers.get_mut(&server) else {
            return;
        };
        let typical = &mut self.classes[class.index()];
        let failure = f64::from(u8::from(failed));
        let excess = failure - typical.failure_rate - FAILURE_SLACK;
        score.failure = (score.failure + excess).clamp(0.0, 2.0 * FAILURE_LIMIT);
        typical.failure_rate += MEAN_WEIGHT * (failure - typical.failure_rate);
        if !failed {
            let value = log_latency(now, sent);
            let deviation = typical.deviation(value).clamp(-MAX_DEVIATION, MAX_DEVIATION);
            let sum = score.latency + deviation - LATENCY_SLACK;
            score.latency = sum.clamp(0.0, 2.0 * LATENCY_LIMIT);
            typical.note(value);
        }
        self.judge(now, server);
    }

    /// Judges servers by their open requests; call it every few milliseconds.
    pub fn tick(&mut self, now: Instant) {
        let servers: Vec<ServerKey> = self.servers.keys().copied().collect();
        for server in servers {
            self.judge(now, server);
        }
    }

    /// Part of its slots that a server may be given: 0 while ejected, then growing to 1.
    pub fn weight(&self, now: Instant, server: ServerKey) -> f64 {
        let Some(until) = self.servers.get(&server).and_then(|score| score.ejected_until) else {
            return 1.0;
        };
        if now < until {
            return 0.0;
        }
        let passed = now.saturating_duration_since(until);
        (passed.as_secs_f64() / self.settings.return_time.as_secs_f64()).clamp(0.1, 1.0)
    }

    pub fn is_ejected(&self, now: Instant, server: ServerKey) -> bool {
        self.weight(now, server) == 0.0
    }

    /// Servers ejected now.
    pub fn ejected(&self, now: Instant) -> Vec<ServerKey> {
        self.servers.keys().copied().filter(|server| self.is_ejected(now, *server)).collect()
    }

    /// Servers whose scores exceed those of the others, for the account holder.
    pub fn suspects(&self, now: Instant) -> Vec<SuspectLine> {
        let mut found = Vec::new();
        for (&server, score) in &self.servers {
            let latency = self.latency_sum(now, score);
            let is_ejected = score.ejected_until.is_some_and(|until| now < until);
            let is_reported = latency >= REPORTED_LATENCY * LATENCY_LIMIT
                || score.failure >= REPORTED_FAILURE * FAILURE_LIMIT;
            if is_reported || is_ejected {
                found.push((server, latency, score.failure, is_ejected));
            }
        }
        if found.is_empty() {
            return Vec::new();
        }
        let median_latency = self.median(|score| self.latency_sum(now, score));
        let median_failure = self.median(|score| score.failure);
        let mut lines = Vec::new();
        for (server, latency, failure, is_ejected) in found {
            let latency = (latency - median_latency) / LATENCY_LIMIT;
            let failure = (failure - median_failure) / FAILURE_LIMIT;
            let is_failing = failure >= REPORTED_FAILURE;
            if !is_failing && latency < REPORTED_LATENCY && !is_ejected {
                continue;
            }
            let reason = if is_failing { SuspectReason::Failing } else { SuspectReason::Slow };
            let part = if is_ejected { 1.0 } else { latency.max(failure).clamp(0.0, 1.0) };
            // Steps of ten percent, so that small changes need no message.
            let strength = (part * 10.0) as u8 * 10;
            lines.push(SuspectLine { server, reason, strength });
        }
        lines
    }

    /// Compares an answer with the usual ones of its class; call it before `note_response`.
    pub fn verdict(
        &self,
        now: Instant,
        class: WorkClass,
        sent: Instant,
        failed: bool,
    ) -> AnswerVerdict {
        if failed {
            let is_common = self.classes[class.index()].failure_rate > COMMON_FAILURE_RATE;
            return if is_common { AnswerVerdict::CommonFailure } else { AnswerVerdict::Failed };
        }
        let deviation = self.classes[class.index()].deviation(log_latency(now, sent));
        match deviation {
            ..GOOD_DEVIATION => AnswerVerdict::Good,
            ..SLOW_DEVIATION => AnswerVerdict::Neutral,
            _ => AnswerVerdict::Slow,
        }
    }

    fn judge(&mut self, now: Instant, server: ServerKey) {
        let Some(score) = self.servers.get(&server) else {
            return;
        };
        if score.ejected_until.is_some_and(|until| now < until) {
            return;
        }
        let (latency, failure) = (self.latency_sum(now, score), score.failure);
        if latency < LATENCY_LIMIT && failure < FAILURE_LIMIT {
            return;
        }
        let median_latency = self.median(|score| self.latency_sum(now, score));
        let median_failure = self.median(|score| score.failure);
        let is_slow = latency - median_latency >= LATENCY_LIMIT;
        let is_failing = failure - median_failure >= FAILURE_LIMIT;
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
        // A server that stayed well for ten of its last periods starts again with a short one.
        let period = self.settings.first_ejection * (1 << score.ejections.min(16));
        let was_well = score.ejected_until.is_none_or(|until| now > until + period * 10);
        score.ejections = if was_well { 0 } else { score.ejections + 1 };
        let period = self.settings.first_ejection * (1 << score.ejections.min(16));
        score.ejected_until = Some(now + period.min(self.settings.longest_ejection));
        // Half the limit: after its return a relapse is found twice as fast.
        score.latency = LATENCY_LIMIT / 2.0;
        score.failure = FAILURE_LIMIT / 2.0;
    }

    /// Sum of the responses, plus what the requests still open show already.
    fn latency_sum(&self, now: Instant, score: &ServerScore) -> f64 {
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

impl ClassLatency {
    fn note(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.count));
        let difference = value - self.mean;
        self.mean += weight * difference;
        self.fast_mean += weight.max(FAST_WEIGHT) * (value - self.fast_mean);
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    fn deviation(&self, value: f64) -> f64 {
        if self.count < MIN_RESPONSES {
            return 0.0;
        }
        (value - self.mean.max(self.fast_mean)) / self.variance.sqrt().max(MIN_DEVIATION)
    }
}

fn log_latency(now: Instant, sent: Instant) -> f64 {
    now.saturating_duration_since(sent).as_secs_f64().max(1e-6).ln()
}
