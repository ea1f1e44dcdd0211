//! What an entry knows of the room at the servers of one service, and what a request may cost there.

use std::time::{Duration, Instant};

use super::arrivals::{ArrivalShares, RequestClaim};
use super::finds::FindWindow;
use super::pressure::AdmissionPressure;

/// Servers probed for one request while room is short, of which at most one in four has any. Each probe takes a
/// slot of a full server for some milliseconds.
const SHORT_PROBES: usize = 3;

/// New connections for one request while room is short.
const SHORT_DIALS: usize = 1;

/// Probes in flight for the service at one entry while room is short. Each lasts up to 60 ms on an open
/// connection.
const MAX_SHORT_PROBES_IN_FLIGHT: usize = 6;

/// Probes a second that a server without room gets from all entries together. Each takes a slot for some
/// milliseconds.
const PROBES_PER_FULL_SERVER: f64 = 20.0;

/// Limits of the interval between two requests that may look for room while it is exhausted. The upper one
/// bounds the time in which an entry notices that room is back.
const LOOK_INTERVALS: (Duration, Duration) =
    (Duration::from_millis(20), Duration::from_millis(125));

/// Part of the service's mean latency that the time left must cover.
const MIN_TIME_FRACTION: f64 = 0.5;

/// Part of the mean latency after which a part of the running requests has ended.
const FIRST_RETURN_FRACTION: f64 = 0.25;

/// Part of the time left within which refused callers come back.
const RETURN_TIME_FRACTION: f64 = 0.3;

/// Number of entries and of the service's servers, which share the cost of looking for room.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSize {
    pub entries: u32,
    pub servers: usize,
}

/// Time of one caller.
#[derive(Debug, Clone, Copy)]
pub struct CallerTime {
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time until the deadline.
    pub left: Duration,
    /// Time from the arrival within which the response has its full value.
    pub target: Duration,
}

/// What one look for a server may cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindAllowance {
    /// Servers have room, as far as known.
    Ample,
    /// Room is short: at most this many servers are probed, with at most this many new connections.
    Limited { probes: usize, dials: usize },
    /// Nothing may be probed.
    Nothing,
}

/// Why a request is refused before any server is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// The latest looks found no room, and others look for it already.
    Exhausted,
    /// The room goes to more urgent requests, or to tenants that ask for no more than usual.
    Standing,
    /// The caller's time does not last for a response.
    TooLate,
}

impl RefusalCause {
    /// Reason for the caller and for logs.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Exhausted => "no server has had room",
            Self::Standing => "room is short, others go first",
            Self::TooLate => "room is short, and too little time is left",
        }
    }
}

/// What happens to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomDecision {
    Allowed,
    Refused(RefusalCause),
}

/// Change of the room at a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomChange {
    Short,
    Regained,
}

/// What an entry knows of the room at one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRoom {
    finds: FindWindow,
    pressure: AdmissionPressure,
    arrivals: ArrivalShares,
    probes_in_flight: usize,
    last_look_at: Option<Instant>,
}

impl ServiceRoom {
    /// Decides on a request that arrives; `random` is from 0 to 1.
    ///
    /// Nothing is refused unless most looks for room fail. Then a request is admitted with a probability
    /// between its standing and 1 that falls with the room. While the latest looks found nothing, requests
    /// are admitted only at the intervals at which one of them looks for room.
    pub fn decide(
        &mut self,
        now: Instant,
        claim: RequestClaim<'_>,
        time: CallerTime,
        mean: Option<Duration>,
        size: ServiceSize,
        random: f64,
    ) -> RoomDecision {
        self.arrivals.record(now, claim);
        if random > self.admission(now, claim) {
            return RoomDecision::Refused(RefusalCause::Standing);
        }
        if !self.finds.is_short() {
            return RoomDecision::Allowed;
        }
        if mean.is_some_and(|mean| time.left < mean.mul_f64(MIN_TIME_FRACTION)) {
            return RoomDecision::Refused(RefusalCause::TooLate);
        }
        if !self.may_look(now, size) {
            self.record_choice(now, false);
            return RoomDecision::Refused(RefusalCause::Exhausted);
        }
        RoomDecision::Allowed
    }

    /// Probability with which a request is admitted, as far as its standing decides.
    pub fn admission(&self, now: Instant, claim: RequestClaim<'_>) -> f64 {
        let pressure = self.pressure.get(now);
        if pressure <= 0.0 {
            return 1.0;
        }
        1.0 - pressure * (1.0 - self.arrivals.standing(now, claim))
    }

    /// Standing of a request among those that arrive; 1 for one that others do not go before.
    pub fn standing(&self, now: Instant, claim: RequestClaim<'_>) -> f64 {
        self.arrivals.standing(now, claim)
    }

    /// Part of the requests of the lowest standing that is turned away.
    pub fn pressure(&self, now: Instant) -> f64 {
        self.pressure.get(now)
    }

    /// Whether one more request may look for room while it is short.
    fn may_look(&mut self, now: Instant, size: ServiceSize) -> bool {
        if self.probes_in_flight >= MAX_SHORT_PROBES_IN_FLIGHT {
            return false;
        }
        if self.finds.is_exhausted() {
            let interval = look_interval(size);
            if self.last_look_at.is_some_and(|at| now.duration_since(at) < interval) {
                return false;
            }
            self.last_look_at = Some(now);
        }
        true
    }

    /// Records whether an admitted request found a server.
    pub fn record_choice(&mut self, now: Instant, has_found: bool) {
        self.pressure.record(now, has_found, self.finds.found_share());
    }

    /// What a look for a server may cost now.
    pub fn allowance(&self) -> FindAllowance {
        if !self.finds.is_short() {
            return FindAllowance::Ample;
        }
        let probes =
            MAX_SHORT_PROBES_IN_FLIGHT.saturating_sub(self.probes_in_flight).min(SHORT_PROBES);
        if probes == 0 {
            return FindAllowance::Nothing;
        }
        let dials = if self.finds.is_exhausted() { 0 } else { SHORT_DIALS };
        FindAllowance::Limited { probes, dials }
    }

    /// Whether few of the servers have room.
    pub fn is_short(&self) -> bool {
        self.finds.is_short()
    }

    /// Part of the budget of second sends that may be used: the share of looks that found room.
    pub fn second_send_share(&self) -> f64 {
        if self.finds.is_short() { self.finds.found_share() } else { 1.0 }
    }

    /// Numbers of looks that found room, and of all.
    pub fn find_counts(&self) -> (usize, usize) {
        self.finds.counts()
    }

    /// Records whether a server that was asked has room.
    pub fn record_find(&mut self, now: Instant, has_room: bool) -> Option<RoomChange> {
        self.finds.record(now, has_room).then(|| self.change())
    }

    /// Forgets what is too old.
    pub fn update(&mut self, now: Instant) -> Option<RoomChange> {
        self.finds.update(now).then(|| self.change())
    }

    fn change(&self) -> RoomChange {
        if self.finds.is_short() { RoomChange::Short } else { RoomChange::Regained }
    }

    pub fn begin_probe(&mut self) {
        self.probes_in_flight += 1;
    }

    pub fn end_probe(&mut self) {
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
    }

    /// Time after which a refused caller comes back; `random` is from 0 to 1.
    ///
    /// Room is expected when a part of the running requests has ended. The callers are spread over the time
    /// in which they can still be served within the target, and over more the shorter room is.
    pub fn return_delay(
        &self,
        now: Instant,
        time: CallerTime,
        mean: Option<Duration>,
        random: f64,
    ) -> Duration {
        let mean = mean.unwrap_or(time.target / 2);
        let longest = time.left.mul_f64(RETURN_TIME_FRACTION);
        let earliest = mean.mul_f64(FIRST_RETURN_FRACTION).min(longest);
        let for_target = time.target.saturating_sub(time.elapsed + mean).clamp(earliest, longest);
        let latest = for_target + (longest - for_target).mul_f64(self.pressure.get(now));
        earliest + (latest - earliest).mul_f64(random.clamp(0.0, 1.0))
    }
}

/// Interval at which one entry lets a request look for room while there is none.
fn look_interval(size: ServiceSize) -> Duration {
    let rate = PROBES_PER_FULL_SERVER * size.servers.max(1) as f64;
    let probes = f64::from(size.entries.max(1)) * SHORT_PROBES as f64;
    let (min_interval, max_interval) = LOOK_INTERVALS;
    Duration::from_secs_f64(probes / rate).clamp(min_interval, max_interval)
}
