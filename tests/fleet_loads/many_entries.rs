//! Load pattern: hundreds of entries with a few requests a second each, over hundreds of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::balance::{SendOutcome, ServiceBalancer};
use curranthollow::fleet::dialect::ReportedLoad;
use curranthollow::fleet::update::ServerView;
use curranthollow::ids::ServerId;

const ZONES: [&str; 5] = ["west", "central", "east", "north", "south"];

/// Servers of the largest service in each zone.
const SERVERS_BY_ZONE: [usize; 5] = [68, 51, 66, 58, 64];

/// Entries in each zone.
const ENTRIES_BY_ZONE: [usize; 5] = [59, 56, 70, 62, 64];

type ServerViews = BTreeMap<ServerId, ServerView>;

fn server_view(zone: &str) -> ServerView {
    let announcement = ServerAnnouncement {
        service: "rounds".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        availability_zone: zone.into(),
        slots: 6,
        state: ServerState::Ready,
        warmup: Duration::ZERO,
        started: 1,
        sequence: 1,
    };
    ServerView { announcement, silent: false }
}

fn all_servers() -> ServerViews {
    let mut views = BTreeMap::new();
    for (zone, count) in ZONES.iter().zip(SERVERS_BY_ZONE) {
        for number in 0..count {
            views.insert(format!("{zone}-{number}").into(), server_view(zone));
        }
    }
    views
}

fn new_balancer(now: Instant, entry: &str, zone: &str, views: &ServerViews) -> ServiceBalancer {
    let mut balancer = ServiceBalancer::default();
    balancer.update_servers(now, entry, zone, 1, views.iter());
    balancer
}

/// Servers that an entry chooses in 100 requests, one after the other.
fn chosen_servers(balancer: &ServiceBalancer, now: Instant, seed: u64) -> BTreeSet<ServerId> {
    let random = &mut fastrand::Rng::with_seed(seed);
    let chosen = (0..100).filter_map(|_| balancer.choose(now, &[], &[], random));
    chosen.map(|chosen| chosen.server).collect()
}

/// Guards against a new connection for nearly every request, and against servers that most entries
/// prefer: an entry uses few servers, and no server is used by far more entries than the others.
#[test]
fn entries_use_few_servers_and_servers_as_many_entries() {
    let (views, now) = (all_servers(), Instant::now());
    let mut entry_counts: BTreeMap<ServerId, u32> = BTreeMap::new();
    for (zone, count) in ZONES.iter().zip(ENTRIES_BY_ZONE) {
        for number in 0..count {
            let name = format!("edge-{zone}-{number}");
            let balancer = new_balancer(now, &name, zone, &views);
            let servers = chosen_servers(&balancer, now, number as u64);
            assert!(servers.len() <= 8, "{name} uses {} servers", servers.len());
            for server in servers {
                assert!(server.starts_with(zone), "{name} uses {server}");
                *entry_counts.entry(server).or_default() += 1;
            }
        }
    }
    let total: u32 = entry_counts.values().sum();
    let mean = f64::from(total) / views.len() as f64;
    let max = f64::from(*entry_counts.values().max().expect("servers are used"));
    assert!(entry_counts.len() >= views.len() * 98 / 100, "{} are used", entry_counts.len());
    assert!(max <= 2.5 * mean, "one server has {max} entries, the mean is {mean}");
}

/// Guards against an entry that changes its servers, and so its connections, with each change of the
/// fleet.
#[test]
fn a_change_of_the_fleet_changes_few_servers() {
    let (mut views, now) = (all_servers(), Instant::now());
    let before = chosen_servers(&new_balancer(now, "edge-1", "west", &views), now, 1);
    for number in 0..6 {
        views.insert(format!("west-new-{number}").into(), server_view("west"));
    }
    let after = chosen_servers(&new_balancer(now, "edge-1", "west", &views), now, 1);
    let kept = before.intersection(&after).count();
    assert!(kept >= before.len() - 2, "{kept} of {} servers are kept", before.len());
}

/// Guards against a choice among disturbed servers although others are free: with a quarter of all
/// servers disturbed, or with all of the entry's own ones full, a good one is found at once.
#[test]
fn the_subset_is_widened_at_once() {
    let (views, now) = (all_servers(), Instant::now());
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut balancer = new_balancer(now, &format!("edge-{seed}"), "central", &views);
        let own = chosen_servers(&balancer, now, seed);
        let (calm, disturbed) = (100, 500);
        for server in views.keys() {
            let slowdown_percent = if random.u8(..4) == 0 { disturbed } else { calm };
            let is_full = own.contains(server) && seed % 2 == 0;
            let running = if is_full { 6 } else { random.u32(..3) };
            let report = ReportedLoad { running, waiting: 0, slots: 6, slowdown_percent };
            balancer.record_load(now, server, report);
        }
        let chosen = balancer.choose(now, &[], &[], &mut random).expect("servers are ready");
        assert!(chosen.has_spare_capacity, "seed {seed}: {} has no room", chosen.server);
        assert!(seed % 2 == 1 || !own.contains(&chosen.server), "seed {seed}");
    }
}

/// Guards against refusals and errors in a zone whose servers have all failed.
#[test]
fn other_zones_take_over_when_a_zone_fails() {
    let (views, now) = (all_servers(), Instant::now());
    let mut balancer = new_balancer(now, "edge-1", "central", &views);
    for server in views.keys().filter(|server| server.starts_with("central")) {
        balancer.begin_send(server);
        balancer.end_send(now, server, SendOutcome::Unreachable, Duration::ZERO);
    }
    let chosen = balancer.choose(now, &[], &[], &mut fastrand::Rng::with_seed(1));
    assert!(chosen.is_some_and(|chosen| !chosen.server.starts_with("central")));
}

/// Guards against a zone that queues while another has free servers: requests spill over before the
/// servers of the zone are full.
#[test]
fn a_busy_zone_spills_over() {
    let (views, now) = (all_servers(), Instant::now());
    let mut balancer = new_balancer(now, "edge-1", "central", &views);
    for server in views.keys() {
        let running = if server.starts_with("central") { 5 } else { 1 };
        let report = ReportedLoad { running, waiting: 0, slots: 6, slowdown_percent: 100 };
        balancer.record_load(now, server, report);
    }
    let chosen = balancer.choose(now, &[], &[], &mut fastrand::Rng::with_seed(1));
    assert!(chosen.is_some_and(|chosen| !chosen.server.starts_with("central")));
}

/// Guards against a new server that gets no requests because others are warm, and against one that gets
/// a request of every entry at the same moment.
#[test]
fn a_new_server_is_introduced_by_a_few_entries() {
    const ENTRY_COUNT: u32 = 311;
    let start = Instant::now();
    let mut views = all_servers();
    let mut balancers = Vec::new();
    for number in 0..ENTRY_COUNT {
        let zone = ZONES[number as usize % ZONES.len()];
        let name = format!("edge-{zone}-{number}");
        let mut balancer = ServiceBalancer::default();
        balancer.update_servers(start, &name, zone, ENTRY_COUNT, views.iter());
        balancers.push((name, zone, balancer));
    }
    let joined: ServerId = "west-new".into();
    let mut view = server_view("west");
    view.announcement.warmup = Duration::from_secs(3);
    views.insert(joined.clone(), view);
    let mut arrivals = Vec::new();
    for (name, zone, balancer) in &mut balancers {
        balancer.update_servers(start, name, zone, ENTRY_COUNT, views.iter());
        let random = &mut fastrand::Rng::with_seed(1);
        // A request each 400 ms.
        for step in 0..10 {
            let now = start + Duration::from_millis(400 * step);
            let chosen = balancer.choose(now, &[], &[], random).expect("servers are ready");
            balancer.begin_send(&chosen.server);
            balancer.end_send(
                now,
                &chosen.server,
                SendOutcome::Success,
                Duration::from_millis(500),
            );
            if chosen.server == joined {
                arrivals.push(now - start);
            }
        }
    }
    let early = arrivals.iter().filter(|at| **at <= Duration::from_secs(3)).count();
    assert!((4..=40).contains(&early), "{early} requests within three seconds");
    for step in 0..10 {
        let at = Duration::from_millis(400 * step);
        let at_once = arrivals.iter().filter(|arrival| **arrival == at).count();
        assert!(at_once <= 12, "{at_once} requests at {at:?}");
    }
}
