//! Tests of the limit for cold servers, over the balancers of many entries with one clock.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::ServiceBalancer;
use curranthollow::fleet::balance::warmup::{ColdPacing, FleetSize};
use curranthollow::fleet::config::WarmupLimits;
use curranthollow::ids::ServerId;
use yare::parameterized;

use super::balance::{ServerViews, server_view};

/// Requests per second that a cold server bears.
const RATE: f64 = 8.8;

/// Step of the clock; each entry tries a request in each.
const STEP: Duration = Duration::from_millis(20);

const WARMUP: Duration = Duration::from_secs(6);

/// Most requests that any one second may have.
fn bound() -> usize {
    let limits = WarmupLimits::default();
    (RATE * limits.overshoot + limits.tolerance) as usize
}

fn warm_views(count: usize) -> ServerViews {
    let name = |number| format!("warm-{number}").into();
    (0..count).map(|number| (name(number), server_view("a", ServerState::Ready, 1))).collect()
}

fn add_cold(views: &mut ServerViews, server: &str, zone: &str) {
    let mut view = server_view(zone, ServerState::Ready, 9);
    view.announcement.warmup = WARMUP;
    views.insert(server.into(), view);
}

/// Balancers of one service at many entries.
struct ManyEntries {
    start: Instant,
    now: Instant,
    names: Vec<String>,
    balancers: Vec<ServiceBalancer>,
    random: fastrand::Rng,
    /// Times of the requests to each cold server.
    sent: BTreeMap<ServerId, Vec<Duration>>,
}

impl ManyEntries {
    /// `assumed` is the number of entries that each of them believes in.
    fn new(count: usize, assumed: u32, seed: u64, views: &ServerViews) -> Self {
        let now = Instant::now();
        let names: Vec<_> = (0..count).map(|number| format!("entry-{seed}-{number}")).collect();
        let mut entries = Self {
            start: now,
            now,
            names,
            balancers: Vec::new(),
            random: fastrand::Rng::with_seed(seed),
            sent: BTreeMap::new(),
        };
        for _ in 0..count {
            let mut balancer = ServiceBalancer::default();
            balancer.install_pacing(ColdPacing::new(RATE, WarmupLimits::default(), assumed));
            entries.balancers.push(balancer);
        }
        entries.announce(assumed, views);
        entries
    }

    fn announce(&mut self, assumed: u32, views: &ServerViews) {
        for (name, balancer) in self.names.iter().zip(&mut self.balancers) {
            balancer.update_servers(self.now, name, "a", assumed, views.iter());
        }
    }

    /// Lets each entry send one request per step to the server that it chooses.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for balancer in &mut self.balancers {
                let Some(chosen) = balancer.choose(self.now, &[], &[], &mut self.random) else {
                    continue;
                };
                let server = chosen.server;
                if !balancer.take_cold_send(self.now, &server) || server.starts_with("warm") {
                    continue;
                }
                balancer.begin_send(&server);
                let sent = self.sent.entry(server).or_default();
                sent.push(self.now.duration_since(self.start));
            }
        }
    }

    /// Most requests that one server got in any one second before `end`.
    fn busiest_second(&self, end: Duration) -> usize {
        let mut busiest = 0;
        for times in self.sent.values() {
            let mut window = VecDeque::new();
            for time in times.iter().filter(|time| **time < end) {
                window.push_back(*time);
                while window.front().is_some_and(|first| *time - *first >= Duration::from_secs(1)) {
                    window.pop_front();
                }
                busiest = busiest.max(window.len());
            }
        }
        busiest
    }
}

/// Guards against more requests to a cold server than it bears, and against a new one that gets none for
/// four seconds, in small and large fleets and with wrong numbers of entries.
#[parameterized(
    one = { 1, 1 }, three = { 3, 3 }, five = { 5, 5 }, twenty = { 20, 20 }, many = { 95, 95 },
    most = { 300, 300 }, too_many_assumed = { 95, 190 }, unknown = { 300, 256 },
    too_few_assumed = { 95, 64 },
)]
fn a_cold_server_gets_few_requests_and_some(count: usize, assumed: u32) {
    let mut starved = 0;
    for seed in 0..20 {
        let mut views = warm_views(4);
        let mut entries = ManyEntries::new(count, assumed, seed, &views);
        entries.run(STEP);
        add_cold(&mut views, "cold", "a");
        entries.announce(assumed, &views);
        entries.run(WARMUP - STEP * 2);
        let busiest = entries.busiest_second(Duration::MAX);
        assert!(busiest <= bound(), "seed {seed}: {busiest} requests in a second");
        let first = entries.sent.values().flatten().min();
        starved += usize::from(first.is_none_or(|first| *first > Duration::from_secs(4)));
    }
    // With twice the entries assumed, one server in 14 has no participating entry.
    let allowed = if assumed > count as u32 { 4 } else { 1 };
    assert!(starved <= allowed, "{starved} of 20 servers got no request");
}

/// Guards against names for which the hash gives a cold server too many participating entries: at most one
/// request of each entry falls into a second.
#[parameterized(many = { 95 }, most = { 300 })]
fn the_hash_gives_no_server_too_many_entries(count: usize) {
    let limits = WarmupLimits::default();
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(11);
    let (mut most, mut none) = (0, 0);
    for _ in 0..2000 {
        let server: ServerId = format!("i-{:08x}", random.u32(..)).into();
        let mut views = ServerViews::new();
        add_cold(&mut views, &server, "a");
        let mut participants = 0;
        for _ in 0..count {
            let mut balancer = ServiceBalancer::default();
            balancer.install_pacing(ColdPacing::new(RATE, limits, count as u32));
            let name = format!("edge-{:08x}", random.u32(..));
            balancer.update_servers(now, &name, "a", count as u32, views.iter());
            participants += usize::from(balancer.is_open(now, &server));
        }
        most = most.max(participants);
        none += usize::from(participants == 0);
    }
    assert!(most <= bound(), "{most} entries take part");
    assert!(none <= 30, "{none} of 2000 servers have no entry");
}

/// Guards against a zone that comes back cold and is crowded by what its servers bore before.
#[test]
fn a_zone_that_returns_cold_is_spared() {
    let mut views = warm_views(30);
    let mut entries = ManyEntries::new(95, 95, 3, &views);
    entries.run(STEP);
    for number in 0..30 {
        add_cold(&mut views, &format!("cold-{number}"), "b");
    }
    entries.announce(95, &views);
    entries.run(WARMUP - STEP * 2);
    assert!(entries.busiest_second(Duration::MAX) <= bound());
    assert!(entries.sent.len() >= 29, "{} of 30 servers got a request", entries.sent.len());
}

/// Guards against a warm-up that a server states again, under the same incarnation, and that goes unnoticed.
#[test]
fn a_warmup_that_is_stated_again_counts() {
    let (server, started): (ServerId, u64) = ("s1".into(), 1);
    let views = BTreeMap::from([(server.clone(), server_view("a", ServerState::Ready, started))]);
    let mut entries = ManyEntries::new(95, 95, 5, &views);
    let now = entries.now;
    let is_open = |balancer: &ServiceBalancer, at| balancer.is_open(at, &server);
    let later = now + Duration::from_secs(2);
    assert_eq!(entries.balancers.iter().filter(|balancer| is_open(balancer, later)).count(), 95);
    for balancer in &mut entries.balancers {
        let is_news = balancer.record_health(later, (&server, started), Some(WARMUP));
        assert!(is_news, "the warm-up is noticed");
        assert!(!balancer.record_health(later, (&server, started), Some(WARMUP)));
    }
    assert!(
        entries.balancers.iter().filter(|balancer| is_open(balancer, later)).count() <= bound()
    );
    // The end is stated, too; the entries return one after the other.
    for balancer in &mut entries.balancers {
        balancer.record_health(later, (&server, started), Some(Duration::ZERO));
    }
    let open_after = |millis| {
        let at = later + Duration::from_millis(millis);
        entries.balancers.iter().filter(|balancer| is_open(balancer, at)).count()
    };
    assert!(open_after(100) < 40);
    assert_eq!(open_after(1000), 95);
}

/// Guards against a burst of requests that fell due while the entry was frozen.
#[test]
fn an_entry_that_wakes_sends_one_request() {
    let mut views = warm_views(2);
    let mut entries = ManyEntries::new(1, 1, 1, &views);
    add_cold(&mut views, "cold", "a");
    entries.announce(1, &views);
    entries.now += Duration::from_secs(3);
    let (now, balancer) = (entries.now, &mut entries.balancers[0]);
    assert!(balancer.take_cold_send(now, &"cold".into()));
    assert!(!balancer.take_cold_send(now, &"cold".into()));
}

/// Guards against a changed behaviour of services without a rate for cold servers.
#[test]
fn without_a_rate_nothing_is_limited() {
    let mut views = ServerViews::new();
    add_cold(&mut views, "cold", "a");
    let mut balancer = ServiceBalancer::default();
    let now = Instant::now();
    balancer.update_servers(now, "e", "a", 95, views.iter());
    for _ in 0..50 {
        assert!(balancer.take_cold_send(now, &"cold".into()));
    }
    assert!(balancer.is_confirmed(now, &"cold".into()));
    assert_eq!(balancer.cold_count(now), 0);
}

/// Guards against too many participating entries while members that lost their links report few entries.
#[test]
fn the_largest_number_of_entries_counts() {
    let start = Instant::now();
    let mut size = FleetSize::new(start);
    let mut counts = Vec::new();
    for (second, reported) in [(1, 5), (9, 95), (11, 95), (15, 2), (19, 95), (32, 4), (43, 4)] {
        size.record(start + Duration::from_secs(second), reported);
        counts.push(size.entry_count());
    }
    assert_eq!(counts, [256, 256, 95, 95, 95, 95, 4]);
}
