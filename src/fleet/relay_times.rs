//! Expected time between a server's response and the end of its relay to the caller, by route.

use std::collections::BTreeMap;
use std::time::Duration;

use super::document::RouteRule;

/// Factor by which the longest relay time of a route shrinks with each response. Half of it is left
/// after 34 responses, so that it outlives the short ones between two long ones.
const LONGEST_TIME_DECAY: f64 = 0.98;

/// Size of a response that counts as possible before a route's responses are known: two responses of
/// half a megabyte at the same time.
const UNKNOWN_RESPONSE_BYTES: f64 = 1e6;

/// Longest recent relay time of each route. A route starts with the time that a long response needs on
/// the line, at most its timeout.
#[derive(Debug)]
pub struct RelayTimes {
    unknown_time: Duration,
    /// By the name of the route.
    longest_times: BTreeMap<Box<str>, Duration>,
}

impl RelayTimes {
    /// Creates the times for a line of the given speed; one that is not known counts as fast.
    pub fn new(line_mbps: Option<f64>) -> Self {
        let seconds = |mbps| UNKNOWN_RESPONSE_BYTES * 8.0 / (mbps * 1e6);
        let unknown_time = line_mbps.map(seconds).map(Duration::try_from_secs_f64);
        let unknown_time =
            unknown_time.map_or(Duration::ZERO, |time| time.unwrap_or(Duration::MAX));
        Self { unknown_time, longest_times: BTreeMap::new() }
    }

    pub fn expected(&self, rule: &RouteRule) -> Duration {
        let longest = self.longest_times.get(&rule.name).copied();
        longest.unwrap_or_else(|| self.unknown_time.min(rule.timeout))
    }

    /// Records how long the relay of a response took, without the time for which it waited for its
    /// caller to read.
    pub fn record(&mut self, rule: &RouteRule, elapsed: Duration) {
        let longest = elapsed.max(self.expected(rule).mul_f64(LONGEST_TIME_DECAY));
        self.longest_times.insert(rule.name.clone(), longest);
    }

    /// Drops routes that are not in force any more.
    pub fn retain<'a>(&mut self, rules: impl Iterator<Item = &'a RouteRule>) {
        let mut kept = BTreeMap::new();
        for rule in rules {
            if let Some(time) = self.longest_times.remove(&rule.name) {
                kept.insert(rule.name.clone(), time);
            }
        }
        self.longest_times = kept;
    }
}
