//! Tests of the limit for cold servers, over the balancers of many entries with one clock.

use std::collections::{BTreeMap, VecDeque};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::ServiceBalancer;
use curranthollow::fleet::balance::warmup::{ColdPacing, FleetSize};
use curranthollow::fleet::config::WarmupLimits;
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::ids::ServerId;
use yare::parameterized;

use super::balance::{ServerViews, server_view};
use super::harness::{
    TestEntry, TestFleet, VALID_RESPONSE, announce, announcement, call, document, read_request,
    wait_for,
};

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

/// Guards against names for which the hash gives a cold server too many participating entries in any second, of
/// which each sends one request at most, and against a server without an entry for four seconds. Entries learn
/// of the server at times of their own.
#[parameterized(many = { 95, 95, 0 }, most = { 300, 300, 0 }, unknown = { 300, 256, 0 }, too_many_assumed = { 95, 190, 20 })]
fn the_hash_gives_no_server_too_many_entries(count: usize, assumed: u32, allowed: usize) {
    const QUARTERS: usize = 16;
    let limits = WarmupLimits::default();
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(11);
    let (mut most, mut none, mut unserved) = (0, 0, 0);
    for _ in 0..2000 {
        let server: ServerId = format!("i-{:08x}", random.u32(..)).into();
        let mut views = ServerViews::new();
        add_cold(&mut views, &server, "a");
        // Number of entries that take part at some time of the second that begins with each quarter.
        let mut participants = [0; QUARTERS];
        let (mut at_once, mut is_served) = (0, false);
        for _ in 0..count {
            let mut balancer = ServiceBalancer::default();
            balancer.install_pacing(ColdPacing::new(RATE, limits, assumed));
            let name = format!("edge-{:08x}", random.u32(..));
            let known_at = now - Duration::from_millis(random.u64(0..500));
            balancer.update_servers(known_at, &name, "a", assumed, views.iter());
            let open: Vec<_> = (0..QUARTERS + 5)
                .map(|quarter| now + Duration::from_millis(quarter as u64 * 250))
                .map(|at| balancer.is_open(at, &server))
                .collect();
            for (number, second) in open.windows(5).take(QUARTERS).enumerate() {
                participants[number] += usize::from(second.contains(&true));
            }
            at_once += usize::from(open[0]);
            is_served |= open[..16].contains(&true);
        }
        most = most.max(participants.into_iter().max().unwrap_or_default());
        none += usize::from(at_once == 0);
        unserved += usize::from(!is_served);
    }
    println!(
        "{count} entries: at most {most} in a second, at first none at {none}, in 4 s none at {unserved}"
    );
    assert!(most <= bound(), "{most} entries take part");
    assert!(
        none <= if assumed > count as u32 { 200 } else { 30 },
        "{none} of 2000 servers have no entry"
    );
    assert!(unserved <= allowed, "{unserved} of 2000 servers have no entry for four seconds");
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
    assert_eq!(entries.balancers[0].unconfirmed(later).len(), 1);
    for balancer in &mut entries.balancers {
        let is_news = balancer.record_health(later, (&server, started), Some(WARMUP));
        assert!(is_news, "the warm-up is noticed");
        assert!(balancer.unconfirmed(later + Duration::from_millis(900)).is_empty());
        assert!(!balancer.unconfirmed(later + Duration::from_secs(1)).is_empty());
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
    assert!(balancer.unconfirmed(now).is_empty());
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

/// Guards against an entry that starts long after a server and takes it for cold because of its first
/// announcement, and against a new cold period that no entry learns of.
#[test]
fn the_begin_and_the_end_of_a_warmup_are_replicated() {
    let server: ServerId = "cold".into();
    let announced = |sequence, warmup| {
        let mut announcement = server_view("a", ServerState::Ready, 9).announcement;
        (announcement.sequence, announcement.warmup) = (sequence, Duration::from_millis(warmup));
        (server.clone(), announcement)
    };
    let mut state = FleetState::default();
    let mut index = 0;
    let mut replicated = Vec::new();
    for (sequence, warmup) in [(1, 5000), (2, 3500), (3, 0), (4, 0), (5, 4000), (6, 2500), (7, 0)] {
        let announcement = announced(sequence, warmup);
        if state.needs_replication(&announcement) {
            index += 1;
            replicated.push(sequence);
            state.apply(index, FleetCommand::Announce(announcement.0, announcement.1));
        }
    }
    assert_eq!(replicated, [1, 3, 5, 7]);
    let now = Instant::now();
    let mut balancer = ServiceBalancer::default();
    balancer.install_pacing(ColdPacing::new(RATE, WarmupLimits::default(), 95));
    let mut views = ServerViews::new();
    let mut counts = Vec::new();
    for (after, warmup) in [(0, 5000), (2000, 0), (4000, 4000)] {
        let now = now + Duration::from_millis(after);
        let mut view = server_view("a", ServerState::Ready, 9);
        view.announcement.warmup = Duration::from_millis(warmup);
        views.insert(server.clone(), view);
        balancer.update_servers(now, "e", "a", 95, views.iter());
        counts.push(balancer.cold_count(now + Duration::from_secs(1)));
    }
    assert_eq!(counts, [1, 0, 1]);
}

/// Starts a server whose health page states the warm-up in `left_ms`; returns its address and the number of
/// its requests.
fn start_cold_server(left_ms: Arc<AtomicU64>) -> (SocketAddr, Arc<AtomicU64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("a listener has an address");
    let count = Arc::new(AtomicU64::new(0));
    let requests = Arc::clone(&count);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let (left_ms, requests) = (Arc::clone(&left_ms), Arc::clone(&requests));
            std::thread::spawn(move || {
                let mut input = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut input) {
                    let left = left_ms.load(Ordering::Relaxed);
                    let response = if request.starts_with("GET /health") {
                        format!(
                            "HTTP/1.1 200 OK\r\nx-server-warmup: {left}\r\ncontent-length: 0\r\n\r\n"
                        )
                    } else {
                        requests.fetch_add(1, Ordering::Relaxed);
                        VALID_RESPONSE.replace("ID", "r")
                    };
                    if stream.write_all(response.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, count)
}

/// Guards against a warm-up on the health page that an entry does not read, or reads after its send. The
/// entry assumes a large fleet, so it takes no part in the use of the server.
#[test]
fn a_warmup_on_the_health_page_holds_the_next_request_back() {
    let fleet = TestFleet::with_members(3);
    let limits = "\"max_connections\":100,\"warmup_per_second\":8.8";
    fleet.put_document(&document(1).replace("\"max_connections\":100", limits));
    let left_ms = Arc::new(AtomicU64::new(60_000));
    let (address, requests) = start_cold_server(Arc::clone(&left_ms));
    announce(&fleet, "s1", &announcement(address, false, 1, 1));
    let entry = TestEntry::start(&fleet.seeds);
    wait_for("the entry to be ready", || entry.is_ready());
    for _ in 0..5 {
        assert_eq!(call(entry.traffic, "POST", "/book/1", "").0, 503);
    }
    assert_eq!(requests.load(Ordering::Relaxed), 0);
    assert_eq!(entry.metric("entry_cold_servers"), 1);
    // A new incarnation, which is not cold.
    left_ms.store(0, Ordering::Relaxed);
    announce(&fleet, "s1", &announcement(address, false, 2, 2));
    wait_for("the warm server to be used", || call(entry.traffic, "POST", "/book/1", "").0 == 200);
}
