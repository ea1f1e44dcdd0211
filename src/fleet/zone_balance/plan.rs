//! Share of a service's requests that leaves the zone, and the zones to which it goes.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use super::room::{ZoneCapacity, ZoneRoom};
use super::terms::{CallerTerms, Urgency};
use super::way::{BytesMean, WayMeter, WayPrices};
use super::{CALM_UTILIZATION, CROWDED_UTILIZATION, congestion};
use crate::fleet::decay::decay_factor;
use crate::ids::ZoneName;

/// Time between two updates of the share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Time constant with which the share approaches its aim. It is over twice the delay after which a change
/// shows in the reports, so that entries that decide at the same time do not overshoot together.
const SHARE_TIME_CONSTANT: Duration = Duration::from_secs(3);

/// Maximum change of the share in one second.
const MAX_SHARE_RATE: f64 = 0.3;

/// Factor by which the gain must exceed the cost of the way before the first request leaves.
const START_FACTOR: f64 = 1.5;

/// Difference between share and aim that is not worth a change, as a part of the zone's demand.
const AIM_TOLERANCE: f64 = 0.02;

/// Share below which nothing leaves while the share falls.
const MIN_SHARE: f64 = 0.01;

/// Utilisation up to which another zone takes requests. Its own callers need the rest for their swings, and
/// the reports come from the servers that looked best.
const REMOTE_LIMIT: f64 = 0.65;

/// Part of the requests that leave anyway that go to a zone of unknown room, as a first look.
const EXPLORED_PART: f64 = 0.1;

/// The same of all requests while the own zone is crowded and no other zone is known.
const FIRST_LOOK_PART: f64 = 0.03;

/// Factor on the share for a request that has little time or has found a full server at home.
const URGENT_PART: f64 = 2.0;

/// Factor on the share for a request that has much time.
const PATIENT_PART: f64 = 0.7;

/// Zones of one service that are told apart. Servers name their zones themselves.
const MAX_ZONES: usize = 64;

/// Zones that a log line names.
const MAX_LOGGED_ZONES: usize = 3;

/// Steps of the bisection for the aim; they leave an error under a thousandth.
const BISECTION_STEPS: u32 = 12;

/// Change of the decision, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneChange {
    pub share: f64,
    /// Whether leaving began or ended.
    pub is_turn: bool,
    pub own_utilization: Option<f64>,
    /// Parts of the share by zone.
    pub parts: Vec<(ZoneName, f64)>,
}

impl fmt::Display for ZoneChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "share={:.2}", self.share)?;
        if let Some(utilization) = self.own_utilization {
            write!(f, " own_utilization={utilization:.2}")?;
        }
        // Servers name their zones themselves.
        for (zone, part) in self.parts.iter().take(MAX_LOGGED_ZONES) {
            write!(f, " zone=\"{}\" part={part:.2}", zone.escape_debug())?;
        }
        Ok(())
    }
}

/// Another zone with usable servers and known room.
#[derive(Debug, Clone)]
struct RemoteZone {
    zone: ZoneName,
    slots: f64,
    utilization: f64,
    /// Slots that this zone's entries may still fill; below 0 they fill too many.
    spare: f64,
    /// Cost of the way.
    way: f64,
}

/// The other zones that have room for more, taken together.
#[derive(Debug, Clone, Copy, Default)]
struct RemotePool {
    slots: f64,
    load: f64,
    spare: f64,
    /// Cost of the way, weighted by spare room.
    way: f64,
}

impl RemotePool {
    fn new(remotes: &[RemoteZone]) -> Self {
        let mut pool = Self::default();
        for remote in remotes.iter().filter(|remote| remote.spare > 0.0) {
            pool.slots += remote.slots;
            pool.load += remote.utilization * remote.slots;
            pool.spare += remote.spare;
            pool.way += remote.way * remote.spare;
        }
        if pool.spare > 0.0 {
            pool.way /= pool.spare;
        }
        pool
    }

    fn utilization(&self, moved: f64) -> f64 {
        (self.load + moved) / self.slots.max(1.0)
    }
}

/// Decision of one entry for one service.
#[derive(Debug, Clone, Default)]
pub struct ZonePlan {
    own_zone: ZoneName,
    rooms: BTreeMap<ZoneName, ZoneRoom>,
    ways: BTreeMap<ZoneName, WayMeter>,
    bytes: BytesMean,
    prices: WayPrices,
    /// Parts of all requests that leave, by zone.
    shares: BTreeMap<ZoneName, f64>,
    /// Their sum, at most 1.
    share: f64,
    /// Probability of each zone for a request that leaves.
    parts: Vec<(ZoneName, f64)>,
    /// Zones with usable servers of which nothing is known.
    unknown: Vec<ZoneName>,
    is_own_crowded: bool,
    has_remote_room: bool,
    is_own_lost: bool,
    expected: Duration,
    updated_at: Option<Instant>,
}

impl ZonePlan {
    pub fn new(own_zone: &str, prices: WayPrices) -> Self {
        Self { own_zone: own_zone.into(), prices, ..Self::default() }
    }

    /// Takes over the zones in which the service has servers; measurements of the others are dropped.
    pub fn set_zones<'a>(&mut self, own_zone: &str, zones: impl Iterator<Item = &'a ZoneName>) {
        self.own_zone = own_zone.into();
        let mut rooms = std::mem::take(&mut self.rooms);
        for zone in zones {
            if self.rooms.len() >= MAX_ZONES {
                break;
            }
            if !self.rooms.contains_key(zone) {
                self.rooms.insert(zone.clone(), rooms.remove(zone).unwrap_or_default());
            }
        }
        self.ways.retain(|zone, _| self.rooms.contains_key(zone));
        self.parts.retain(|(zone, _)| self.rooms.contains_key(zone));
        self.unknown.retain(|zone| self.rooms.contains_key(zone));
        // The lost zone must not wait for the next interval.
        self.updated_at = None;
    }

    pub fn set_prices(&mut self, prices: WayPrices) {
        self.prices = prices;
    }

    /// Records that a server of `zone` has `occupied` of its `slots` in use.
    pub fn record_load(&mut self, now: Instant, zone: &str, occupied: u32, slots: u32) {
        if let Some(room) = self.rooms.get_mut(zone) {
            room.record_load(now, occupied, slots);
        }
    }

    /// Records that a server of `zone` was full.
    pub fn record_full(&mut self, now: Instant, zone: &str) {
        if let Some(room) = self.rooms.get_mut(zone) {
            room.record_full(now);
        }
    }

    /// Records the time that opening a connection to a server of `zone` took.
    pub fn record_connect(&mut self, zone: &str, elapsed: Duration) {
        if self.rooms.contains_key(zone) {
            self.ways.entry(zone.into()).or_default().record_connect(elapsed);
        }
    }

    /// Records the expected size of a request and its response. Once for each request, however many servers
    /// are looked at for it.
    pub fn record_request(&mut self, bytes: u64) {
        self.bytes.record(bytes);
    }

    /// Whether an update is due.
    pub fn is_due(&self, now: Instant) -> bool {
        self.rooms.len() > usize::from(self.rooms.contains_key(&self.own_zone))
            && self.updated_at.is_none_or(|at| now.saturating_duration_since(at) >= UPDATE_INTERVAL)
    }

    /// Part of the requests that leaves the zone.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Probability of each zone for a request that leaves; the sum is 1.
    pub fn parts(&self) -> &[(ZoneName, f64)] {
        &self.parts
    }

    /// Updates the share. `capacities` are the usable slots by zone, and `expected` is the usual duration
    /// of a request. Returns the decision if it changed.
    pub fn update(
        &mut self,
        now: Instant,
        capacities: &BTreeMap<&str, ZoneCapacity>,
        expected: Duration,
    ) -> Option<ZoneChange> {
        let last_update = self.updated_at.replace(now);
        let elapsed = last_update.map_or(UPDATE_INTERVAL, |at| now.saturating_duration_since(at));
        let elapsed = elapsed.min(Duration::from_secs(1));
        self.expected = expected;
        for (zone, room) in &mut self.rooms {
            room.capacity = capacities.get(&**zone).copied().unwrap_or_default();
        }
        let remotes = self.measure_remotes(now);
        let pool = RemotePool::new(&remotes);
        let own_room = self.rooms.get(&self.own_zone).cloned().unwrap_or_default();
        let own = own_room.utilization(now);
        self.is_own_lost = own_room.capacity.slots <= 0.0;
        self.is_own_crowded = own.is_some_and(|own| own > CROWDED_UTILIZATION);
        self.has_remote_room = pool.spare > 0.0 && pool.utilization(0.0) < CALM_UTILIZATION;
        let (previous, previous_parts) = (self.share, std::mem::take(&mut self.parts));
        // A lost zone gets nothing from now on.
        self.shares.retain(|zone, _| remotes.iter().any(|remote| remote.zone == *zone));
        self.move_shares(own, own_room.capacity.slots, &remotes, elapsed);
        self.parts = self.divide(&remotes);
        if self.is_own_lost {
            // Everything leaves at once, and returns in steps.
            self.shares = self.parts.iter().cloned().collect();
        }
        self.share = self.shares.values().sum::<f64>().min(1.0);
        let is_turn = (previous > 0.0) != (self.share > 0.0);
        let changed = is_turn || previous != self.share || previous_parts != self.parts;
        changed.then(|| ZoneChange {
            share: self.share,
            is_turn,
            own_utilization: own,
            parts: self.parts.clone(),
        })
    }

    /// Collects what is known of the other zones with usable servers.
    fn measure_remotes(&mut self, now: Instant) -> Vec<RemoteZone> {
        let mut remotes = Vec::new();
        self.unknown.clear();
        // The entries of all zones but the remote one may send there.
        let senders = (self.rooms.len().max(2) - 1) as f64;
        let own_way = self.ways.get(&self.own_zone).cloned().unwrap_or_default();
        for (zone, room) in &self.rooms {
            let slots = room.capacity.slots;
            if *zone == self.own_zone || slots <= 0.0 {
                continue;
            }
            let Some(utilization) = room.utilization(now) else {
                self.unknown.push(zone.clone());
                continue;
            };
            let way = self.ways.get(zone).cloned().unwrap_or_default();
            remotes.push(RemoteZone {
                zone: zone.clone(),
                slots,
                utilization,
                spare: (REMOTE_LIMIT - utilization) * slots / senders,
                way: way.cost(&own_way, self.expected, self.bytes.get(), self.prices),
            });
        }
        remotes
    }

    /// Moves the share of each zone by a damped step.
    fn move_shares(
        &mut self,
        own: Option<f64>,
        slots: f64,
        remotes: &[RemoteZone],
        elapsed: Duration,
    ) {
        let pool = RemotePool::new(remotes);
        let previous = self.share;
        let own = own.unwrap_or(0.0);
        // The own servers hold what this zone's requests keep at home.
        let demand = (own * slots / (1.0 - previous).max(0.1)).max(0.05 * slots).max(1.0);
        let moved = self.wanted_move(own, slots, demand, pool) / demand;
        for remote in remotes {
            let share = self.shares.get(&remote.zone).copied().unwrap_or(0.0);
            let change = if remote.spare < 0.0 {
                // Its own callers go first.
                moved.min(0.0).min(remote.spare / demand)
            } else if moved > 0.0 {
                moved * remote.spare / pool.spare
            } else {
                moved * share / previous.max(MIN_SHARE)
            };
            let next = approach(share, share + change, elapsed);
            if next > 0.0 {
                self.shares.insert(remote.zone.clone(), next);
            } else {
                self.shares.remove(&remote.zone);
            }
        }
        let sum: f64 = self.shares.values().sum();
        if sum > 1.0 {
            self.shares.values_mut().for_each(|share| *share /= sum);
        }
    }

    /// Load in slots by which more should leave, up to the point at which one more request gains as much
    /// as its way costs. Below 0 if some of what leaves should return.
    fn wanted_move(&self, own: f64, slots: f64, demand: f64, pool: RemotePool) -> f64 {
        if slots <= 0.0 || pool.spare <= 0.0 {
            return 0.0;
        }
        let gain = |moved: f64| {
            congestion(own - moved / slots) - congestion(pool.utilization(moved)) - pool.way
        };
        let is_leaving = self.share > 0.0;
        if !is_leaving && gain(0.0) <= (START_FACTOR - 1.0) * pool.way {
            return 0.0;
        }
        let moved = balance_point(-self.share * demand, pool.spare, gain);
        let is_small = moved.abs() < AIM_TOLERANCE * demand && self.share > 2.0 * AIM_TOLERANCE;
        if is_small { 0.0 } else { moved }
    }

    /// Divides what leaves among the zones: as decided, else by spare room, else by slots.
    fn divide(&self, remotes: &[RemoteZone]) -> Vec<(ZoneName, f64)> {
        let by_share =
            |remote: &RemoteZone| self.shares.get(&remote.zone).copied().unwrap_or_default();
        let by_spare = |remote: &RemoteZone| remote.spare.max(0.0);
        let by_slots = |remote: &RemoteZone| if self.is_own_lost { remote.slots } else { 0.0 };
        let weights: [&dyn Fn(&RemoteZone) -> f64; 3] = [&by_share, &by_spare, &by_slots];
        let skipped = usize::from(self.is_own_lost);
        for weight in weights.into_iter().skip(skipped) {
            let sum: f64 = remotes.iter().map(weight).sum();
            if sum > 0.0 {
                let weighted = remotes.iter().filter(|remote| weight(remote) > 0.0);
                return weighted
                    .map(|remote| (remote.zone.clone(), weight(remote) / sum))
                    .collect();
            }
        }
        Vec::new()
    }

    /// Zone whose servers a request prefers; `None` for the own zone.
    ///
    /// `has_tried` tells whether a server of the own zone was found without room for the request.
    pub fn choose_zone(
        &self,
        now: Instant,
        terms: &CallerTerms,
        has_tried: bool,
        random: &mut fastrand::Rng,
    ) -> Option<&ZoneName> {
        if self.is_own_lost {
            return self.draw_part(random).or_else(|| self.draw_unknown(random));
        }
        if self.parts.is_empty() {
            // Nobody knows the other zones: a rare request looks there while the own zone is crowded.
            let looks = self.is_own_crowded && !self.unknown.is_empty();
            let is_look = looks && (has_tried || random.f64() < FIRST_LOOK_PART);
            return if is_look { self.draw_unknown(random) } else { None };
        }
        if random.f64() >= self.leave_probability(now, terms, has_tried) {
            return None;
        }
        if !self.unknown.is_empty() && random.f64() < EXPLORED_PART {
            return self.draw_unknown(random);
        }
        self.draw_part(random)
    }

    /// Probability with which a request leaves. Only retries, which a budget limits, leave regardless of the
    /// share: under a burst nearly every request is urgent and finds full servers.
    fn leave_probability(&self, now: Instant, terms: &CallerTerms, has_tried: bool) -> f64 {
        if terms.is_repeated && self.is_own_crowded && self.has_remote_room {
            return 1.0;
        }
        match terms.urgency(now, self.expected) {
            _ if has_tried => (self.share * URGENT_PART).min(1.0),
            Urgency::Urgent => (self.share * URGENT_PART).min(1.0),
            Urgency::Usual => self.share,
            Urgency::Patient => self.share * PATIENT_PART,
        }
    }

    fn draw_part(&self, random: &mut fastrand::Rng) -> Option<&ZoneName> {
        let mut drawn = random.f64();
        for (zone, part) in &self.parts {
            if drawn < *part {
                return Some(zone);
            }
            drawn -= part;
        }
        self.parts.last().map(|(zone, _)| zone)
    }

    fn draw_unknown(&self, random: &mut fastrand::Rng) -> Option<&ZoneName> {
        random.choice(&self.unknown)
    }
}

/// Moves `share` towards `aim` by a damped step.
fn approach(share: f64, aim: f64, elapsed: Duration) -> f64 {
    let weight = 1.0 - decay_factor(elapsed, SHARE_TIME_CONSTANT);
    let limit = MAX_SHARE_RATE * elapsed.as_secs_f64();
    let next = share + ((aim - share) * weight).clamp(-limit, limit);
    if aim < share && next < MIN_SHARE { 0.0 } else { next.clamp(0.0, 1.0) }
}

/// Point between `low` and `high` at which the falling function `gain` passes through 0, or the end that is
/// nearer to it.
fn balance_point(mut low: f64, mut high: f64, gain: impl Fn(f64) -> f64) -> f64 {
    if gain(low) <= 0.0 {
        return low;
    }
    if gain(high) >= 0.0 {
        return high;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = (low + high) / 2.0;
        if gain(middle) > 0.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    (low + high) / 2.0
}
