//! Expected size of a response, and expected time between a server's response and the end of its relay
//! to the caller, by route.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::document::RouteRule;

/// Factor by which the longest relay of a route shrinks with each response. Half of it is left after 34
/// responses, so that it outlives the short ones between two long ones.
const LONGEST_RELAY_DECAY: f64 = 0.98;

/// Size of a response that counts as possible before a route's responses are known: two responses of
/// half a megabyte at the same time.
const UNKNOWN_RESPONSE_BYTES: u64 = 1_000_000;

/// Slowest rate, in bits per second, at which a caller is expected to read before it is known: the speed of
/// the slowest lines in use.
const UNKNOWN_CALLER_BITS_PER_S: f64 = 2e6;

/// Longest recent relay of a route.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LongestRelay {
    elapsed: Duration,
    bytes: u64,
    /// The same without the size that counts before anything is known.
    known_bytes: u64,
}

/// Longest recent relay of each route. A route starts with a long response and the time that it needs on the
/// line, at most the route's timeout.
#[derive(Debug)]
pub struct RelayTimes {
    unknown_time: Duration,
    /// By the name of the route.
    longest_relays: BTreeMap<Box<str>, LongestRelay>,
}

impl RelayTimes {
    /// Creates the times for a line of the given speed; one that is not known counts as fast.
    pub fn new(line_mbps: Option<f64>) -> Self {
        let seconds = |mbps| UNKNOWN_RESPONSE_BYTES as f64 * 8.0 / (mbps * 1e6);
        let unknown_time = line_mbps.map(seconds).map(Duration::try_from_secs_f64);
        let unknown_time =
            unknown_time.map_or(Duration::ZERO, |time| time.unwrap_or(Duration::MAX));
        Self { unknown_time, longest_relays: BTreeMap::new() }
    }

    pub fn expected(&self, rule: &RouteRule) -> Duration {
        let longest = self.longest_relays.get(&rule.name).map(|relay| relay.elapsed);
        longest.unwrap_or_else(|| self.unknown_time.min(rule.timeout))
    }

    pub fn expected_bytes(&self, rule: &RouteRule) -> u64 {
        let longest = self.longest_relays.get(&rule.name).map(|relay| relay.bytes);
        longest.unwrap_or(UNKNOWN_RESPONSE_BYTES)
    }

    /// Size of the longest recent response; 0 before the first one.
    pub fn known_bytes(&self, rule: &RouteRule) -> u64 {
        self.longest_relays.get(&rule.name).map_or(0, |relay| relay.known_bytes)
    }

    /// Records the size of a response and how long its relay took, without the time for which it waited
    /// for its caller to read.
    pub fn record(&mut self, rule: &RouteRule, elapsed: Duration, bytes: u64) {
        let decay = |bytes: u64| (bytes as f64 * LONGEST_RELAY_DECAY) as u64;
        let longest = LongestRelay {
            elapsed: elapsed.max(self.expected(rule).mul_f64(LONGEST_RELAY_DECAY)),
            bytes: bytes.max(decay(self.expected_bytes(rule))),
            known_bytes: bytes.max(decay(self.known_bytes(rule))),
        };
        self.longest_relays.insert(rule.name.clone(), longest);
    }

    /// Drops routes that are not in force any more.
    pub fn retain<'a>(&mut self, rules: impl Iterator<Item = &'a RouteRule>) {
        let mut kept = BTreeMap::new();
        for rule in rules {
            if let Some(relay) = self.longest_relays.remove(&rule.name) {
                kept.insert(rule.name.clone(), relay);
            }
        }
        self.longest_relays = kept;
    }
}

/// How a caller has read the responses on its connection.
#[derive(Debug, Default, Clone, Copy)]
pub struct CallerPace {
    longest_wait: Duration,
    longest_bytes: u64,
}

impl CallerPace {
    /// Records for how long a response of this size waited for its caller to read.
    pub fn record(&mut self, wait: Duration, bytes: u64) {
        self.longest_wait = self.longest_wait.max(wait);
        self.longest_bytes = self.longest_bytes.max(bytes);
    }

    /// Longest time for which a response of this size is expected to wait. The part that is longer than any
    /// response so far may be read slowly.
    pub fn expected_wait(&self, bytes: u64) -> Duration {
        let unknown_bits = bytes.saturating_sub(self.longest_bytes) as f64 * 8.0;
        self.longest_wait + Duration::from_secs_f64(unknown_bits / UNKNOWN_CALLER_BITS_PER_S)
    }
}
