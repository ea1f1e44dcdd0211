//! Server selection from an entry's own measurements and the load that servers report.

mod cost;
mod evacuation;
mod explain;
mod introduction;
pub mod metrics;
mod stated;
pub mod warmup;
mod zones;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::announcement::{IncarnationStart, ServerState};
use super::decay::decay_factor;
use super::dialect::ReportedLoad;
use super::statement::StatedCondition;
use super::update::ServerView;
use super::zone_balance::{CallerTerms, ZonePlan};
use crate::ids::{ServerId, ZoneName};
use warmup::{ColdPacing, WarmupState};

/// Time constant of a reported request count.
const LOAD_TIME_CONSTANT: Duration = Duration::from_millis(400);

/// Time for which a report of no free slot is believed.
const FULL_REPORT_LIFETIME: Duration = Duration::from_millis(60);

/// Weight of the newest sample in a server's moving average of the latency.
const SERVER_SAMPLE_WEIGHT: f64 = 0.3;

/// Weight of the newest sample in the service-wide moving averages.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.03;

/// Time constant with which a server's latency returns to the service mean when it gets no
/// requests.
const LATENCY_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Duration of a server's first ejection after a failure; it doubles with each further failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(400);

/// Duration of the first ejection after an unanswered health probe; it doubles with each further
/// one. A disturbance by neighbours lasts about this long.
const INITIAL_UNANSWERED_EJECTION: Duration = Duration::from_millis(100);

/// Time for which a server counts as full after a send without a byte of the response. A full server has
/// room again when a few of its requests have ended.
const SILENT_PAUSE: Duration = Duration::from_millis(150);

/// Upper limit of the duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Consecutive failures after which a server is ejected.
const FAILURES_BEFORE_EJECTION: u32 = 2;

/// A server without heartbeats is used only if it served a request successfully within this time.
const SILENT_SERVER_USE_TIME: Duration = Duration::from_secs(8);

/// Number of servers among which an entry chooses first. It returns to them often enough to reuse its
/// connections, and some are free while a quarter of all servers is disturbed.
const SUBSET_SIZE: usize = 8;

/// Cost above which further servers are considered: an idle server of the own zone costs less, and one
/// of another zone is no better than one with this cost.
const WIDENING_COST: f64 = 1.6;

/// Cost of opening a connection: a round trip, some time of a slot, and one of the connections that
/// the server allows.
const NEW_CONNECTION_COST: f64 = 0.2;

/// Upper limit of the random cost that spreads the choices of entries with the same view.
const MAX_RANDOM_COST: f64 = 0.08;

/// Outcome of a send to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    Success,
    /// The server refused the request without running it.
    Shed,
    /// The health probe timed out: the server is full, disturbed or down.
    Unanswered,
    /// The connection could not be opened, or another server has the address.
    Unreachable,
    /// An error response, or a broken or missing response.
    Failure,
    /// Cancelled, for instance because another send was answered first; says nothing about the
    /// server.
    Abandoned,
    /// Cancelled without a byte of the response after more time than one takes: the server may be full.
    Silent,
}

/// What this entry knows about one server.
#[derive(Debug, Clone)]
struct ServerStats {
    address: SocketAddr,
    slots: u32,
    same_zone: bool,
    availability_zone: ZoneName,
    is_evacuated: bool,
    state: ServerState,
    silent: bool,
    started: IncarnationStart,
    warmup: WarmupState,
    in_flight: u32,
    /// Last load report, its time, and the requests of this entry in flight at that time.
    load_report: Option<(ReportedLoad, Instant, u32)>,
    /// Moving average of the latency in milliseconds, and the time of its last sample.
    latency: Option<(f64, Instant)>,
    consecutive_failures: u32,
    /// Consecutive health probes without a response.
    unanswered_probes: u32,
    ejected_until: Option<Instant>,
    stated: StatedCondition,
    last_success_at: Option<Instant>,
}

/// A chosen server.
#[derive(Debug, Clone)]
pub struct ChosenServer {
    pub server: ServerId,
    pub started: IncarnationStart,
    pub address: SocketAddr,
    pub in_flight: u32,
    /// Age of the last load report.
    pub load_age: Option<Duration>,
    /// Whether the last load report leaves room for another request at the usual speed.
    pub has_spare_capacity: bool,
    /// Whether a slot is free; assumed when there is no recent load report.
    pub has_free_slot: bool,
    pub cost: f64,
    /// Expected duration of a request, relative to the usual one.
    pub expected_factor: f64,
}

impl ChosenServer {
    /// Whether a recent load report says that a slot is free.
    pub fn is_known_free(&self) -> bool {
        self.has_free_slot && self.load_age.is_some_and(|age| age <= FULL_REPORT_LIFETIME)
    }
}

/// Chooses among the servers of one service.
#[derive(Debug, Default)]
pub struct ServiceBalancer {
    servers: BTreeMap<ServerId, ServerStats>,
    /// All servers in the order in which this entry prefers them: those of its own zone first, then by
    /// a hash of both names, so that each server is preferred by about as many entries.
    ranking: Vec<ServerId>,
    /// Servers that joined later than the first ones and get a request of this entry at the given time.
    introductions: BTreeMap<ServerId, Instant>,
    zone_plan: ZonePlan,
    /// The part of the ranking that belongs to each other zone.
    zone_rankings: BTreeMap<ZoneName, Vec<ServerId>>,
    /// Moving average of the latency in milliseconds.
    mean_latency_ms: Option<f64>,
    /// Moving average of the reported slowness; 1 is the usual duration of a request.
    mean_slowness: Option<f64>,
    evacuated_zones: Rc<BTreeSet<ZoneName>>,
    pacing: ColdPacing,
}

impl ServiceBalancer {
    /// Replaces the set of servers; statistics are kept for servers with the same incarnation and
    /// address.
    ///
    /// `entry_count` is the estimated number of entries, which share the introduction of new servers.
    pub fn update_servers<'a>(
        &mut self,
        now: Instant,
        entry: &str,
        zone: &str,
        entry_count: u32,
        views: impl Iterator<Item = (&'a ServerId, &'a ServerView)>,
    ) {
        let mut previous = std::mem::take(&mut self.servers);
        let had_servers = !previous.is_empty();
        for (server, view) in views {
            let announcement = &view.announcement;
            let same_incarnation =
                previous.remove(server).filter(|known| known.started == announcement.started);
            let stated = same_incarnation.as_ref().map(|known| known.stated).unwrap_or_default();
            let known = same_incarnation.filter(|known| known.address == announcement.address);
            let is_new = known.is_none() && had_servers;
            let mut stats = known.unwrap_or_else(|| ServerStats {
                address: announcement.address,
                slots: announcement.slots,
                same_zone: false,
                availability_zone: announcement.availability_zone.clone(),
                is_evacuated: false,
                state: announcement.state,
                silent: view.silent,
                started: announcement.started,
                warmup: WarmupState::new(now, entry, server, announcement.warmup),
                in_flight: 0,
                load_report: None,
                latency: None,
                consecutive_failures: 0,
                unanswered_probes: 0,
                ejected_until: None,
                stated,
                last_success_at: None,
            });
            stats.slots = announcement.slots.max(1);
            stats.state = announcement.state;
            stats.silent = view.silent;
            stats.warmup.update_announced(now, announcement.warmup);
            stats.warmup.begin_turns(now, &self.pacing);
            stats.same_zone = *announcement.availability_zone == *zone;
            stats.availability_zone.clone_from(&announcement.availability_zone);
            stats.is_evacuated = self.evacuated_zones.contains(&stats.availability_zone);
            if is_new {
                self.schedule_introduction(now, entry, entry_count, server, &stats);
            }
            self.servers.insert(server.clone(), stats);
        }
        self.introductions.retain(|server, _| self.servers.contains_key(server));
        self.rank_servers(entry);
        self.rank_zones(zone);
    }

    fn rank_servers(&mut self, entry: &str) {
        let rank_of = |server: &ServerId, stats: &ServerStats| {
            (!stats.same_zone, rendezvous_score(entry, server))
        };
        let mut ranks: Vec<_> =
            self.servers.iter().map(|(server, stats)| (rank_of(server, stats), server)).collect();
        ranks.sort_by(|((left_zone, left), _), ((right_zone, right), _)| {
            left_zone.cmp(right_zone).then(left.total_cmp(right))
        });
        self.ranking = ranks.into_iter().map(|(_, server)| server.clone()).collect();
    }

    /// Number of the service's servers, whatever their state.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Moving average of the service's latency; `None` before the first sample.
    pub fn mean_latency(&self) -> Option<Duration> {
        self.mean_latency_ms.map(|mean| Duration::from_secs_f64(mean / 1000.0))
    }

    /// Chooses the server with the lowest cost among those not in `tried`: one to which there is an idle
    /// connection or one of the entry's subset, and further ones while the best is expensive. Ejected
    /// servers are considered only if no other is left.
    ///
    /// `connected` are servers with an idle connection; others than those of this service are ignored.
    pub fn choose(
        &self,
        now: Instant,
        tried: &[ServerId],
        connected: &[ServerId],
        random: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        self.choose_for(now, tried, connected, &CallerTerms::default(), random)
    }

    /// [`Self::choose`] for a request with the given terms.
    pub fn choose_for(
        &self,
        now: Instant,
        tried: &[ServerId],
        connected: &[ServerId],
        terms: &CallerTerms,
        random: &mut fastrand::Rng,
    ) -> Option<ChosenServer> {
        let preferred = self.choose_zone(now, tried, terms, random);
        let remote_ranking = preferred.and_then(|zone| self.zone_rankings.get(zone));
        let mut best_available: Option<(f64, &ServerId, &ServerStats)> = None;
        let mut best_ejected: Option<(f64, &ServerId, &ServerStats)> = None;
        let remote_subsets =
            remote_ranking.into_iter().flat_map(|ranking| ranking.chunks(SUBSET_SIZE));
        let subsets = remote_subsets.chain(self.ranking.chunks(SUBSET_SIZE));
        for (number, subset) in std::iter::once(connected).chain(subsets).enumerate() {
            for server in subset {
                let Some((server, stats)) = self.servers.get_key_value(server) else { continue };
                if !self.may_get(now, stats) || tried.contains(server) {
                    continue;
                }
                let noise = random.f64() * MAX_RANDOM_COST;
                let best =
                    if stats.is_available(now) { &mut best_available } else { &mut best_ejected };
                let connection_cost = if number == 0 { 0.0 } else { NEW_CONNECTION_COST };
                let cost = self.cost(now, stats, preferred) + connection_cost + noise;
                if best.as_ref().is_none_or(|(lowest, ..)| cost < *lowest) {
                    *best = Some((cost, server, stats));
                }
            }
            let is_good = best_available.as_ref().is_some_and(|(lowest, _, stats)| {
                *lowest <= WIDENING_COST && !stats.reported_no_room(now)
            });
            if number > 0 && is_good {
                break;
            }
        }
        let introduced = self.due_introduction(now, tried);
        let introduced =
            introduced.map(|(server, stats)| (self.cost(now, stats, preferred), server, stats));
        let (cost, server, stats) = introduced.or(best_available).or(best_ejected)?;
        Some(ChosenServer {
            server: server.clone(),
            started: stats.started,
            address: stats.address,
            in_flight: stats.in_flight,
            load_age: stats.load_report.map(|(_, at, _)| now.duration_since(at)),
            has_spare_capacity: stats
                .load_report
                .is_none_or(|(report, ..)| report.has_spare_capacity()),
            has_free_slot: stats.load_report.is_none_or(|(report, at, _)| {
                now.duration_since(at) > FULL_REPORT_LIFETIME || report.has_free_slot()
            }),
            cost,
            expected_factor: self.expected_factor(now, stats),
        })
    }

    fn may_get(&self, now: Instant, stats: &ServerStats) -> bool {
        stats.may_get_requests(now) && stats.warmup.admits(now, &self.pacing)
    }

    /// Counts the start of a send to `server`.
    pub fn begin_send(&mut self, server: &ServerId) {
        self.introductions.remove(server);
        if let Some(stats) = self.servers.get_mut(server) {
            stats.in_flight += 1;
        }
    }

    /// Records the end of a send that [`Self::begin_send`] counted.
    ///
    /// Returns whether the server is ejected from now on.
    pub fn end_send(
        &mut self,
        now: Instant,
        server: &ServerId,
        outcome: SendOutcome,
        elapsed: Duration,
    ) -> bool {
        let Some(stats) = self.servers.get_mut(server) else { return false };
        stats.in_flight = stats.in_flight.saturating_sub(1);
        match outcome {
            SendOutcome::Success => {
                stats.consecutive_failures = 0;
                stats.unanswered_probes = 0;
                stats.ejected_until = None;
                stats.last_success_at = Some(now);
                self.record_latency(now, server, elapsed);
                false
            }
            SendOutcome::Abandoned => false,
            SendOutcome::Silent => {
                stats.ejected_until = stats.ejected_until.max(Some(now + SILENT_PAUSE));
                true
            }
            SendOutcome::Shed => {
                self.zone_plan.record_full(now, &stats.availability_zone);
                stats.ejected_until = Some(now + INITIAL_EJECTION / 2);
                true
            }
            SendOutcome::Unanswered => {
                self.zone_plan.record_full(now, &stats.availability_zone);
                stats.unanswered_probes += 1;
                let doublings = stats.unanswered_probes.min(5) - 1;
                stats.ejected_until = Some(now + INITIAL_UNANSWERED_EJECTION * (1 << doublings));
                true
            }
            SendOutcome::Unreachable | SendOutcome::Failure => {
                stats.consecutive_failures += 1;
                let ejects = outcome == SendOutcome::Unreachable
                    || stats.consecutive_failures >= FAILURES_BEFORE_EJECTION;
                if ejects {
                    let doublings = stats.consecutive_failures.min(5).saturating_sub(1);
                    let ejection = (INITIAL_EJECTION * (1 << doublings)).min(MAX_EJECTION);
                    stats.ejected_until = Some(now + ejection);
                }
                ejects
            }
        }
    }

    /// Records the duration of a request, or the time that an unfinished one has taken so far.
    pub fn record_latency(&mut self, now: Instant, server: &ServerId, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64() * 1000.0;
        let mean = self.mean_latency_ms.get_or_insert(elapsed);
        *mean += (elapsed - *mean) * SERVICE_SAMPLE_WEIGHT;
        let mean = *mean;
        let Some(stats) = self.servers.get_mut(server) else { return };
        let previous_latency = match stats.latency {
            Some((latency, at)) => {
                mean + (latency - mean)
                    * decay_factor(now.duration_since(at), LATENCY_TIME_CONSTANT)
            }
            None => mean,
        };
        stats.latency =
            Some((previous_latency + (elapsed - previous_latency) * SERVER_SAMPLE_WEIGHT, now));
    }

    /// Records a load report of a server.
    pub fn record_load(&mut self, now: Instant, server: &ServerId, report: ReportedLoad) {
        let slowness = f64::from(report.slowdown_percent) / 100.0;
        let mean = self.mean_slowness.get_or_insert(1.0);
        *mean += (slowness - *mean) * SERVICE_SAMPLE_WEIGHT;
        if let Some(stats) = self.servers.get_mut(server) {
            stats.unanswered_probes = 0;
            stats.load_report = Some((report, now, stats.in_flight));
            let zone = &stats.availability_zone;
            self.zone_plan.record_load(now, zone, report.occupied(), stats.slots);
        }
    }
}

impl ServerStats {
    /// Whether the server wants requests, by its announcement and by its answers, and its availability
    /// zone is not evacuated.
    fn may_get_requests(&self, now: Instant) -> bool {
        self.state == ServerState::Ready && !self.is_evacuated && self.stated.accepts(now)
    }

    /// Whether a recent load report leaves no room for another request at the usual speed.
    fn reported_no_room(&self, now: Instant) -> bool {
        self.load_report.is_some_and(|(report, at, _)| {
            now.duration_since(at) < LOAD_TIME_CONSTANT && !report.has_spare_capacity()
        })
    }

    fn is_available(&self, now: Instant) -> bool {
        if self.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        !self.silent
            || self
                .last_success_at
                .is_some_and(|at| now.duration_since(at) < SILENT_SERVER_USE_TIME)
    }
}

/// Returns a number from 0 to 1 that is the same for each pair of an entry and a server or member. The hash is
/// FNV-1a with the finalizer of MurmurHash3, because FNV-1a alone gives similar values for names
/// that differ only at their end.
pub fn rendezvous_score(entry: &str, other: &str) -> f64 {
    let bytes = entry.bytes().chain([0]).chain(other.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    for factor in [0xff51_afd7_ed55_8ccd, 0xc4ce_b9fe_1a85_ec53] {
        hash = (hash ^ (hash >> 33)).wrapping_mul(factor);
    }
    hash ^= hash >> 33;
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
