//! Choice of a server from what this entry has seen and what servers tell of their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::announcement::{IncarnationStart, ServerState};
use super::dialect::ReportedLoad;
use super::update::ServerView;
use crate::ids::ServerId;

/// Time after which a told duration of work says little, because noise changes faster.
const SLOWNESS_MEMORY: Duration = Duration::from_millis(150);

/// Time after which a told number of requests says little.
const LOAD_MEMORY: Duration = Duration::from_millis(400);

/// Time for which a server that told of no free slot is taken to be full.
const SLOT_MEMORY: Duration = Duration::from_millis(60);

/// Weight of the newest latency in the mean of a server.
const SERVER_WEIGHT: f64 = 0.3;

/// Weight of the newest latency in the mean of the service.
const SERVICE_WEIGHT: f64 = 0.03;

/// Time in which a server's bad latency is half forgotten when it gets no requests.
const LATENCY_MEMORY: Duration = Duration::from_secs(4);

/// First time for which a failing server is left alone; it doubles with each failure.
const FIRST_CLOSURE: Duration = Duration::from_millis(400);

/// First time for which a server is left alone whose health page did not answer; it doubles too.
/// A disturbance by neighbours lasts about this long.
const UNANSWERED_CLOSURE: Duration = Duration::from_millis(100);

/// Longest time for which a failing server is left alone.
const LONGEST_CLOSURE: Duration = Duration::from_secs(4);

/// Failures in a row after which a server is left alone.
const FAILURES_TO_CLOSE: u32 = 2;

/// A silent server is used only if it answered within this time.
const SILENT_USE: Duration = Duration::from_secs(8);

/// Slowness of a server that is warming up.
const WARMUP_FACTOR: f64 = 1.8;

/// Cost of another availability zone, in parts of one unit of work.
const REMOTE_COST: f64 = 0.5;

/// Largest part by which an entry prefers some servers to others, drawn for each pair. Entries that
/// come back to the same servers use their connections again; different entries prefer others.
const PREFERENCE_COST: f64 = 0.3;

/// Cost of a new connection: it takes a round trip, some time of a slot, and the server's count.
const CONNECTION_COST: f64 = 0.2;

/// Differences below this do not decide, so that entries with the same view spread.
const RANDOM_COST: f64 = 0.08;

/// How a send to a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    Success,
    /// The server refused and did not run the request.
    Shed,
    /// The health page did not answer in time: the server is full, disturbed or gone.
    Unanswered,
    /// The connection could not be opened, or the server is another one.
    Unreachable,
    /// An error response, a broken or a missing response.
    Failure,
    /// Given up, for instance because another response was first; says nothing of the server.
    Abandoned,
}

/// What is known of one server.
#[derive(Debug, Clone)]
struct ServerLoad {
    address: SocketAddr,
    slots: u32,
    local: bool,
    /// Cost by which this entry prefers other servers.
    preference: f64,
    state: ServerState,
    silent: bool,
    started: IncarnationStart,
    warm_at: Instant,
    in_flight: u32,
    told: Option<(ReportedLoad, Instant, u32)>,
    latency: Option<(f64, Instant)>,
    failures: u32,
    /// Health pages in a row without an answer.
    unanswered: u32,
    closed_until: Option<Instant>,
    last_success: Option<Instant>,
}

/// Server that was chosen.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    pub server: ServerId,
    pub address: SocketAddr,
    pub in_flight: u32,
    /// Age of the load that it told last.
    pub told_age: Option<Duration>,
    /// Whether the load that it told last leaves room.
    pub has_room: bool,
    /// Whether it had a free slot, as far as that is known and not too old.
    pub has_slot: bool,
    pub cost: f64,
}

/// Servers of one service as one entry sees them.
#[derive(Debug, Default)]
pub struct ServiceBalance {
    servers: BTreeMap<ServerId, ServerLoad>,
    /// Mean latency in milliseconds.
    mean: Option<f64>,
    /// Mean slowness that servers told; 1 is as usual.
    mean_slowness: Option<f64>,
}

impl ServiceBalance {
    /// Installs the servers of the service; what is known of those that stay is kept.
    pub fn update<'a>(
        &mut self,
        now: Instant,
        entry: &str,
        zone: &str,
        views: impl Iterator<Item = (&'a ServerId, &'a ServerView)>,
    ) {
        let mut old = std::mem::take(&mut self.servers);
        for (server, view) in views {
            let said = &view.announcement;
            let known = old
                .remove(server)
                .filter(|known| known.started == said.started && known.address == said.address);
            let mut load = known.unwrap_or_else(|| ServerLoad {
                address: said.address,
                slots: said.slots,
                preference: PREFERENCE_COST * preference(entry, server),
                local: *said.availability_zone == *zone,
                state: said.state,
                silent: view.silent,
                started: said.started,
                warm_at: now + said.warmup,
                in_flight: 0,
                told: None,
                latency: None,
                failures: 0,
                unanswered: 0,
                closed_until: None,
                last_success: None,
            });
            load.slots = said.slots.max(1);
            load.state = said.state;
            load.silent = view.silent;
            self.servers.insert(server.clone(), load);
        }
    }

    /// Mean latency of the service, if any response was seen.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.mean.map(|mean| Duration::from_secs_f64(mean / 1000.0))
    }

    /// Chooses the server with the lowest cost among those not in `tried`.
    ///
    /// `connected` tells whether there is an idle connection to a server.
    pub fn choose(
        &self,
        now: Instant,
        tried: &[ServerId],
        connected: impl Fn(&ServerId) -> bool,
        random: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        let mut best: Option<(f64, &ServerId, &ServerLoad)> = None;
        let mut closed: Option<(f64, &ServerId, &ServerLoad)> = None;
        for (server, load) in &self.servers {
            if load.state != ServerState::Ready || tried.contains(server) {
                continue;
            }
            let noise = random.f64() * RANDOM_COST;
            let place = if load.is_open(now) { &mut best } else { &mut closed };
            let connection = if connected(server) { 0.0 } else { CONNECTION_COST };
            let cost = self.cost(now, load) + connection + noise;
            if place.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                *place = Some((cost, server, load));
            }
        }
        let (cost, server, load) = best.or(closed)?;
        Some(ChosenServer {
            server: server.clone(),
            address: load.address,
            in_flight: load.in_flight,
            told_age: load.told.map(|(_, at, _)| now.duration_since(at)),
            has_room: load.told.is_none_or(|(told, ..)| told.has_spare_capacity()),
            has_slot: load.told.is_none_or(|(told, at, _)| {
                now.duration_since(at) > SLOT_MEMORY || told.has_free_slot()
            }),
            cost,
        })
    }

    /// Expected duration of one more request in units of the usual duration.
    fn cost(&self, now: Instant, load: &ServerLoad) -> f64 {
        let usual = self.mean_slowness.unwrap_or(1.0);
        let mut slowness = usual;
        let mut others = 0.0;
        if let Some((told, at, own)) = load.told {
            let age = now.duration_since(at);
            slowness +=
                (f64::from(told.slowdown_percent) / 100.0 - usual) * decay(age, SLOWNESS_MEMORY);
            let foreign = (told.running + told.waiting).saturating_sub(own);
            others = f64::from(foreign) * decay(age, LOAD_MEMORY);
        }
        let history = match (load.latency, self.mean) {
            (Some((latency, at)), Some(mean)) if mean > 0.0 => {
                let age = now.duration_since(at);
                1.0 + (latency / mean - 1.0).max(-0.3) * decay(age, LATENCY_MEMORY)
            }
            _ => 1.0,
        };
        let warmup = if now < load.warm_at { WARMUP_FACTOR } else { 1.0 };
        let slots = f64::from(load.slots);
        let occupied = (f64::from(load.in_flight) + others + 1.0) / slots;
        let queue = 1.0 + 0.4 * occupied + 3.0 * (occupied - 0.9).max(0.0);
        let distance = if load.local { 0.0 } else { REMOTE_COST };
        slowness / usual * history * warmup * queue + distance + load.preference
    }

    /// Counts a send to `server`.
    pub fn begin(&mut self, server: &ServerId) {
        if let Some(load) = self.servers.get_mut(server) {
            load.in_flight += 1;
        }
    }

    /// Counts the end of a send that [`Self::begin`] counted.
    ///
    /// Returns whether the server is left alone from now on.
    pub fn end(
        &mut self,
        now: Instant,
        server: &ServerId,
        outcome: SendOutcome,
        elapsed: Duration,
    ) -> bool {
        let Some(load) = self.servers.get_mut(server) else { return false };
        load.in_flight = load.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Success => {
                load.failures = 0;
                load.unanswered = 0;
                load.closed_until = None;
                load.last_success = Some(now);
                self.note_latency(now, server, elapsed);
                false
            }
            SendOutcome::Abandoned => false,
            SendOutcome::Shed => {
                load.closed_until = Some(now + FIRST_CLOSURE / 2);
                true
            }
            SendOutcome::Unanswered => {
                load.unanswered += 1;
                let doublings = load.unanswered.min(5) - 1;
                load.closed_until = Some(now + UNANSWERED_CLOSURE * (1 << doublings));
                true
            }
            SendOutcome::Unreachable | SendOutcome::Failure => {
                load.failures += 1;
                let enough =
                    outcome == SendOutcome::Unreachable || load.failures >= FAILURES_TO_CLOSE;
                if enough {
                    let doublings = load.failures.min(5).saturating_sub(1);
                    let closure = (FIRST_CLOSURE * (1 << doublings)).min(LONGEST_CLOSURE);
                    load.closed_until = Some(now + closure);
                }
                enough
            }
        }
    }

    /// Notes how long a request took, or has taken so far.
    pub fn note_latency(&mut self, now: Instant, server: &ServerId, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * 1000.0;
        let mean = self.mean.get_or_insert(elapsed);
        *mean += (elapsed - *mean) * SERVICE_WEIGHT;
        let mean = *mean;
        let Some(load) = self.servers.get_mut(server) else { return };
        let last = match load.latency {
            Some((latency, at)) => {
                mean + (latency - mean) * decay(now.duration_since(at), LATENCY_MEMORY)
            }
            None => mean,
        };
        load.latency = Some((last + (elapsed - last) * SERVER_WEIGHT, now));
    }

    /// Notes the load that a server told.
    pub fn note_load(&mut self, now: Instant, server: &ServerId, told: ReportedLoad) {
        let slowness = f64::from(told.slowdown_percent) / 100.0;
        let mean = self.mean_slowness.get_or_insert(1.0);
        *mean += (slowness - *mean) * SERVICE_WEIGHT;
        if let Some(load) = self.servers.get_mut(server) {
            load.unanswered = 0;
            load.told = Some((told, now, load.in_flight));
        }
    }
}

impl ServerLoad {
    fn is_open(&self, now: Instant) -> bool {
        if self.closed_until.is_some_and(|until| now < until) {
            return false;
        }
        !self.silent || self.last_success.is_some_and(|last| now.duration_since(last) < SILENT_USE)
    }
}

/// Number from 0 to 1 that is the same for each pair of entry and server: FNV-1a, then the finalizer of
/// MurmurHash3, because names that differ at their end alone differ in few bits before it.
fn preference(entry: &str, server: &str) -> f64 {
    let bytes = entry.bytes().chain([0]).chain(server.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(factor);
    }
    hash ^= hash >> 33;
    (hash >> 32) as f64 / f64::from(u32::MAX)
}

/// Part that is left of a value after `age`.
fn decay(age: Duration, memory: Duration) -> f64 {
    (-age.as_secs_f64() / memory.as_secs_f64()).exp()
}
