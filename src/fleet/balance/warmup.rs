//! Limit on the requests that all entries together send to a server while it is cold.
//!
//! The entries share the limit without messages: a hash of both names makes each server known as usable
//! to only a few of them, and each of those sends seldom. The others see the server as away. The entries take
//! turns, so that a server that the hash shows to nobody at first is known to some a few seconds later.

use std::time::{Duration, Instant};

use super::{ServiceBalancer, rendezvous_score};
use crate::fleet::announcement::{IncarnationStart, MAX_WARMUP};
use crate::fleet::config::WarmupLimits;
use crate::ids::ServerId;

/// Part of the warm-up rate that the entries are expected to use together. The rest covers that chance
/// gives some servers more participating entries than others.
const EXPECTED_FRACTION: f64 = 0.6;

/// Part of the bound that is used where the rate is so low that a server would often have no
/// participating entry at all.
const MIN_BOUND_FRACTION: f64 = 0.2;

/// Standard deviations between the expected number of participating entries and the bound; about one
/// server in a million has more.
const SAFE_DEVIATIONS: f64 = 5.0;

/// Interval between two requests of a participating entry to one cold server. It exceeds the second of
/// the bound because requests may be on their way for different times.
const SEND_INTERVAL: Duration = Duration::from_millis(1200);

/// Time over which the entries return to a server at the end of its warm-up.
const RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Time for which an entry takes part; another one follows it. In the four seconds in which a new server should
/// get its first request, about twice as many entries take part as at one moment.
const TURN_TIME: Duration = Duration::from_secs(4);

/// Time in which an entry that joins sends a first request whatever its cost is. A second is left for a request
/// to come.
const JOINING_TIME: Duration = Duration::from_secs(3);

/// Time over which the first requests of the participating entries are spread.
const FIRST_SEND_SPREAD: Duration = Duration::from_secs(1);

/// Age up to which a health answer shows that the server has not been restarted since.
const CONFIRMATION_LIFETIME: Duration = Duration::from_secs(1);

/// Number of entries assumed until a full period has been observed. Too large a number only sends less
/// to cold servers.
const INITIAL_ENTRY_COUNT: u32 = 256;

/// Period over which the largest reported number of entries holds. After the loss of a member the others
/// report few entries for some seconds.
const COUNT_PERIOD: Duration = Duration::from_secs(10);

/// Number of entries for limits that must not be exceeded: the largest reported in one to two periods.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetSize {
    period_began: Instant,
    previous_max: u32,
    current_max: u32,
}

impl FleetSize {
    pub fn new(now: Instant) -> Self {
        Self { period_began: now, previous_max: INITIAL_ENTRY_COUNT, current_max: 0 }
    }

    /// Records a reported number of entries.
    pub fn record(&mut self, now: Instant, entry_count: u32) {
        if now.saturating_duration_since(self.period_began) >= COUNT_PERIOD {
            self.previous_max = self.current_max.max(entry_count);
            self.current_max = 0;
            self.period_began = now;
        }
        self.current_max = self.current_max.max(entry_count);
    }

    pub fn entry_count(&self) -> u32 {
        self.previous_max.max(self.current_max).max(1)
    }
}

/// How the entries share a cold server of one service; unlimited by default.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ColdPacing {
    /// Requests per second that all entries are expected to send together; 0 for no limit.
    expected_rate: f64,
    entry_count: u32,
}

impl ColdPacing {
    /// Shares `rate` requests per second, which any second may exceed by `limits`, among `entry_count`
    /// entries. A rate of 0 means no limit.
    pub fn new(rate: f64, limits: WarmupLimits, entry_count: u32) -> Self {
        if rate <= 0.0 {
            return Self::default();
        }
        let bound = rate * limits.overshoot + limits.tolerance;
        let wanted = (rate * EXPECTED_FRACTION).max(bound * MIN_BOUND_FRACTION);
        // Largest mean that lies the safe deviations below the bound. Of the entries that may send in one
        // second some join in that second.
        let root = (SAFE_DEVIATIONS.powi(2) + 4.0 * bound).sqrt() - SAFE_DEVIATIONS;
        let joining = 1.0 / TURN_TIME.as_secs_f64();
        let expected_rate = wanted.min((root / 2.0).powi(2) / (1.0 + joining));
        Self { expected_rate, entry_count: entry_count.max(1) }
    }

    pub fn expected_rate(&self) -> f64 {
        self.expected_rate
    }

    fn is_limited(&self) -> bool {
        self.expected_rate > 0.0
    }

    /// Part of the entries that send to a cold server at one moment.
    fn share(&self) -> f64 {
        self.expected_rate / f64::from(self.entry_count)
    }

    /// Interval between two requests of a participating entry. Few entries all take part, each with its
    /// part of the rate.
    fn interval(&self) -> Duration {
        SEND_INTERVAL.mul_f64((1.0 / self.share()).min(1.0))
    }
}

/// What an entry knows of the warm-up of one server.
#[derive(Debug, Clone, Copy)]
pub(super) struct WarmupState {
    ends_at: Instant,
    /// Remaining warm-up in the newest announcement.
    announced: Duration,
    /// Hash of both names, from 0 to 1.
    score: f64,
    /// Time from which the entries take turns, and the part of them that joins in a second. The part stays the
    /// same when the number of entries changes; otherwise all turns would change in that second.
    turns: Option<(Instant, f64)>,
    /// Earliest time of the next request while the server is cold.
    next_send_at: Instant,
    /// Time of the last health answer.
    confirmed_at: Option<Instant>,
}

impl WarmupState {
    pub(super) fn new(now: Instant, entry: &str, server: &ServerId, left: Duration) -> Self {
        let score = rendezvous_score(server, entry);
        Self {
            ends_at: now + left.min(MAX_WARMUP),
            announced: left,
            score,
            turns: None,
            next_send_at: now,
            confirmed_at: None,
        }
    }

    /// Takes note of another announcement of the same incarnation.
    pub(super) fn update_announced(&mut self, now: Instant, left: Duration) {
        if left == self.announced {
            return;
        }
        self.announced = left;
        self.ends_at =
            if left.is_zero() { self.ends_at.min(now) } else { now + left.min(MAX_WARMUP) };
    }

    /// Whether the server is slow because it warms up.
    pub(super) fn is_slow(&self, now: Instant) -> bool {
        now < self.ends_at
    }

    /// Whether the limit holds. The entries leave it at different times: a server that could not bear
    /// the usual load would otherwise get it from all of them at once.
    fn is_cold(&self, now: Instant) -> bool {
        now < self.ends_at + RETURN_SPREAD.mul_f64(self.score)
    }

    /// Lets the entries take turns from now on if the server is cold.
    pub(super) fn begin_turns(&mut self, now: Instant, pacing: &ColdPacing) {
        if self.turns.is_none() && self.is_limited(now, pacing) {
            self.turns = Some((now, pacing.share() / TURN_TIME.as_secs_f64()));
        }
    }

    /// Place of this entry among all, from 0 to 1; those below the share take part. It moves on with time and
    /// returns to 0. Clocks need not agree, because the hash is independent of them.
    fn place(&self, now: Instant) -> f64 {
        let moved = self.turns.map_or(0.0, |(since, joining)| {
            now.saturating_duration_since(since).as_secs_f64() * joining
        });
        (self.score + moved).fract()
    }

    fn takes_part(&self, now: Instant, pacing: &ColdPacing) -> bool {
        pacing.share() >= 1.0 || self.place(now) < pacing.share()
    }

    pub(super) fn admits(&self, now: Instant, pacing: &ColdPacing) -> bool {
        !self.is_limited(now, pacing) || (self.takes_part(now, pacing) && now >= self.next_send_at)
    }

    /// Time of this entry's first request to a server that is cold; `None` if it does not take part soon.
    pub(super) fn first_send(&self, now: Instant, pacing: &ColdPacing) -> Option<Instant> {
        let place = self.place(now);
        if self.takes_part(now, pacing) {
            return Some(now + FIRST_SEND_SPREAD.mul_f64((place / pacing.share()).min(1.0)));
        }
        let (_, joining) = self.turns?;
        let wait = (1.0 - place) / joining;
        (wait <= JOINING_TIME.as_secs_f64()).then(|| now + Duration::from_secs_f64(wait))
    }

    pub(super) fn is_limited(&self, now: Instant, pacing: &ColdPacing) -> bool {
        pacing.is_limited() && self.is_cold(now)
    }
}

impl ServiceBalancer {
    pub fn install_pacing(&mut self, pacing: ColdPacing) {
        self.pacing = pacing;
    }

    /// Replaces the number of entries that share a cold server.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.pacing.entry_count = entry_count.max(1);
    }

    /// Records a health answer of an incarnation of `server`, and the rest of the warm-up if it states
    /// one.
    ///
    /// Returns whether the server is cold from now on and was not before.
    pub fn record_health(
        &mut self,
        now: Instant,
        (server, started): (&ServerId, IncarnationStart),
        left: Option<Duration>,
    ) -> bool {
        let pacing = self.pacing;
        let stats = self.servers.get_mut(server).filter(|stats| stats.started == started);
        let Some(state) = stats.map(|stats| &mut stats.warmup) else { return false };
        state.confirmed_at = Some(now);
        let Some(left) = left.filter(|_| pacing.is_limited()) else { return false };
        let was_cold = state.is_cold(now);
        if left.is_zero() {
            state.ends_at = state.ends_at.min(now);
            return false;
        }
        state.ends_at = now + left.min(MAX_WARMUP);
        state.begin_turns(now, &pacing);
        !was_cold
    }

    /// Whether `server` can get a request now as far as evacuations and its warm-up say.
    pub fn is_open(&self, now: Instant, server: &ServerId) -> bool {
        let stats = self.servers.get(server);
        stats.is_none_or(|stats| !stats.is_evacuated && stats.warmup.admits(now, &self.pacing))
    }

    /// Takes the permission for one request that is sent to `server` at once; `false` if there is none.
    pub fn take_cold_send(&mut self, now: Instant, server: &ServerId) -> bool {
        let pacing = self.pacing;
        let Some(state) = self.servers.get_mut(server).map(|stats| &mut stats.warmup) else {
            return true;
        };
        let is_admitted = state.admits(now, &pacing);
        if is_admitted && state.is_limited(now, &pacing) {
            state.next_send_at = now + pacing.interval();
        }
        is_admitted
    }

    /// Servers of which no health answer shows that they were not restarted in the last second; none
    /// without a limit for cold servers.
    pub fn unconfirmed(&self, now: Instant) -> Vec<ServerId> {
        if !self.pacing.is_limited() {
            return Vec::new();
        }
        let is_old = |at| now.saturating_duration_since(at) >= CONFIRMATION_LIFETIME;
        let unconfirmed =
            self.servers.iter().filter(|(_, stats)| stats.warmup.confirmed_at.is_none_or(is_old));
        unconfirmed.map(|(server, _)| server.clone()).collect()
    }

    /// Number of servers to which the limit for cold servers applies.
    pub fn cold_count(&self, now: Instant) -> usize {
        let states = self.servers.values().map(|stats| &stats.warmup);
        states.filter(|state| state.is_limited(now, &self.pacing)).count()
    }
}
