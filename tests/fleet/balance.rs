//! Tests of server selection.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::balance::{SendOutcome, ServiceBalancer};
use curranthollow::fleet::dialect::ReportedLoad;
use curranthollow::fleet::update::ServerView;
use curranthollow::ids::ServerId;
use yare::parameterized;

pub type ServerViews = BTreeMap<Box<str>, ServerView>;

pub fn server_view(zone: &str, state: ServerState, started: u64) -> ServerView {
    let announcement = ServerAnnouncement {
        service: "rounds".into(),
        address: "127.0.0.1:80".parse().expect("the address is valid"),
        availability_zone: zone.into(),
        slots: 6,
        state,
        warmup: Duration::ZERO,
        started,
        sequence: 1,
    };
    ServerView { announcement, silent: false }
}

fn new_balancer(now: Instant, views: &ServerViews) -> ServiceBalancer {
    let mut balancer = ServiceBalancer::default();
    balancer.update_servers(now, "e", "a", 1, views.iter());
    balancer
}

fn chosen_server(balancer: &ServiceBalancer, now: Instant) -> Option<String> {
    let random = &mut fastrand::Rng::with_seed(7);
    balancer.choose(now, &[], &[], random).map(|chosen| chosen.server.into_string())
}

/// Fills all slots of a server.
fn fill_slots(balancer: &mut ServiceBalancer, server: &str) {
    for _ in 0..6 {
        balancer.begin_send(&server.into());
    }
}

fn two_servers() -> ServerViews {
    BTreeMap::from([
        ("s1".into(), server_view("a", ServerState::Ready, 1)),
        ("s2".into(), server_view("a", ServerState::Ready, 1)),
    ])
}

/// Guards against new requests for a draining server, even when it is the only one.
#[test]
fn a_draining_server_is_never_chosen() {
    let now = Instant::now();
    let views = BTreeMap::from([("s1".into(), server_view("a", ServerState::Draining, 1))]);
    assert_eq!(chosen_server(&new_balancer(now, &views), now), None);
}

/// Guards against requests to a failing server, and against a permanent ejection.
#[parameterized(
    unreachable = { SendOutcome::Unreachable, 1, 4000 },
    failing = { SendOutcome::Failure, 2, 4000 },
    shedding = { SendOutcome::Shed, 1, 400 },
    unanswered = { SendOutcome::Unanswered, 1, 200 },
)]
fn a_failing_server_is_ejected_and_used_again(outcome: SendOutcome, times: u32, ejected_ms: u64) {
    let now = Instant::now();
    let mut balancer = new_balancer(now, &two_servers());
    for _ in 0..times {
        balancer.begin_send(&"s1".into());
        balancer.end_send(now, &"s1".into(), outcome, Duration::from_millis(1));
    }
    // The other server is full, so only the ejection keeps requests away from this one.
    fill_slots(&mut balancer, "s2");
    let random = &mut fastrand::Rng::with_seed(3);
    for _ in 0..50 {
        let server = balancer.choose(now, &[], &[], random).map(|chosen| chosen.server);
        assert_eq!(server.as_deref(), Some("s2"));
    }
    let later = now + Duration::from_millis(ejected_ms);
    let found = (0..50).any(|_| {
        balancer.choose(later, &[], &[], random).is_some_and(|chosen| *chosen.server == *"s1")
    });
    assert!(found, "the server gets no requests after the ejection");
}

/// Guards against rejections while all servers look bad: then the fault is a common one or the
/// entry's own.
#[test]
fn a_server_is_chosen_even_if_all_are_ejected() {
    let now = Instant::now();
    let mut balancer = new_balancer(now, &two_servers());
    for server in ["s1", "s2"] {
        balancer.begin_send(&server.into());
        balancer.end_send(now, &server.into(), SendOutcome::Unreachable, Duration::ZERO);
    }
    assert!(chosen_server(&balancer, now).is_some());
}

/// Guards against requests to a disturbed or crowded server although another one has room.
#[parameterized(
    disturbed = { 1, 0, 500 },
    crowded = { 6, 2, 100 },
)]
fn a_server_that_reported_no_room_is_avoided(running: u32, waiting: u32, slowness: u32) {
    let now = Instant::now();
    let mut balancer = new_balancer(now, &two_servers());
    let report = ReportedLoad { running, waiting, slots: 6, slowdown_percent: slowness };
    assert!(!report.has_spare_capacity());
    balancer.record_load(now, &"s1".into(), report);
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("s2"));
}

/// Guards against traffic between zones that brings no benefit.
#[test]
fn the_local_zone_is_preferred_until_it_is_full() {
    let now = Instant::now();
    let views = BTreeMap::from([
        ("far".into(), server_view("b", ServerState::Ready, 1)),
        ("near".into(), server_view("a", ServerState::Ready, 1)),
    ]);
    let mut balancer = new_balancer(now, &views);
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("near"));
    fill_slots(&mut balancer, "near");
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("far"));
}

/// Guards against a server that counts as one of its former zone after it has announced another one.
#[test]
fn a_server_that_names_another_zone_belongs_to_it() {
    let now = Instant::now();
    let mut views = BTreeMap::from([
        ("s1".into(), server_view("a", ServerState::Ready, 1)),
        ("s2".into(), server_view("b", ServerState::Ready, 1)),
    ]);
    let mut balancer = new_balancer(now, &views);
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("s1"));
    views.insert("s1".into(), server_view("b", ServerState::Ready, 1));
    views.insert("s2".into(), server_view("a", ServerState::Ready, 1));
    balancer.update_servers(now, "e", "a", 1, views.iter());
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("s2"));
}

/// Guards against statistics of an earlier incarnation: a restarted server starts afresh.
#[test]
fn a_new_incarnation_starts_without_statistics() {
    let now = Instant::now();
    let mut views = two_servers();
    let mut balancer = new_balancer(now, &views);
    balancer.begin_send(&"s1".into());
    balancer.end_send(now, &"s1".into(), SendOutcome::Unreachable, Duration::ZERO);
    views.insert("s1".into(), server_view("a", ServerState::Ready, 2));
    balancer.update_servers(now, "e", "a", 1, views.iter());
    fill_slots(&mut balancer, "s2");
    let random = &mut fastrand::Rng::with_seed(1);
    let found = (0..50).any(|_| {
        balancer.choose(now, &[], &[], random).is_some_and(|chosen| *chosen.server == *"s1")
    });
    assert!(found);
}

/// Guards against a misread load header.
#[parameterized(
    four = { "3,0,8,500", Some((3, 0, 8, 500)) },
    three = { "3, 1, 8", Some((3, 1, 8, 100)) },
    two = { "3,0", None },
    text = { "a,b,c", None },
    negative = { "-1,0,8", None },
    empty = { "", None },
)]
fn the_load_header_is_parsed(text: &str, expected: Option<(u32, u32, u32, u32)>) {
    let report = ReportedLoad::parse(text);
    assert_eq!(
        report.map(|report| (
            report.running,
            report.waiting,
            report.slots,
            report.slowdown_percent
        )),
        expected
    );
}

/// Guards against an overflow that makes a full server look free, or ends the process.
#[parameterized(
    waiting = { "4294967295,1,6" },
    running = { "1,4294967295,6" },
    all = { "4294967295,4294967295,4294967295,4294967295" },
)]
fn huge_load_figures_mean_no_room(text: &str) {
    let now = Instant::now();
    let report = ReportedLoad::parse(text).expect("the figures fit their type");
    assert!(!report.has_spare_capacity() && !report.has_free_slot());
    let mut balancer = new_balancer(now, &two_servers());
    balancer.record_load(now, &"s1".into(), report);
    assert_eq!(chosen_server(&balancer, now).as_deref(), Some("s2"));
}

/// Guards against entries that all prefer the same servers, and against an entry that spreads its
/// sends over so many servers that each needs a new connection.
#[test]
fn entries_prefer_different_servers() {
    let now = Instant::now();
    let views: ServerViews = (0..100)
        .map(|number| (format!("s{number}").into(), server_view("a", ServerState::Ready, 1)))
        .collect();
    let random = &mut fastrand::Rng::with_seed(9);
    let mut all_servers = std::collections::BTreeSet::new();
    for entry in 0..40 {
        let mut balancer = ServiceBalancer::default();
        balancer.update_servers(now, &format!("e{entry}"), "a", 1, views.iter());
        let sends = (0..100).filter_map(|_| balancer.choose(now, &[], &[], random));
        let own_servers: std::collections::BTreeSet<_> =
            sends.map(|chosen| chosen.server).collect();
        assert!(own_servers.len() <= 45, "entry {entry} uses {} of 100 servers", own_servers.len());
        all_servers.extend(own_servers);
    }
    assert!(
        all_servers.len() >= 95,
        "all entries together use {} of 100 servers",
        all_servers.len()
    );
}

/// Guards against a new connection for nearly every request of a large service: an entry prefers
/// servers to which it has a connection, unless they are much more loaded.
#[test]
fn a_server_with_a_connection_is_preferred_unless_it_is_loaded() {
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(1);
    let views: ServerViews = (0..100)
        .map(|number| {
            (format!("s{number}").into_boxed_str(), server_view("a", ServerState::Ready, 1))
        })
        .collect();
    let mut balancer = new_balancer(now, &views);
    let has_connection = |server: &ServerId| server.starts_with("s1");
    let connected_servers: Vec<_> =
        views.keys().filter(|server| has_connection(server)).cloned().collect();
    let mut connected = 0;
    for _ in 0..100 {
        let chosen =
            balancer.choose(now, &[], &connected_servers, &mut random).expect("servers are ready");
        connected += u32::from(has_connection(&chosen.server));
    }
    assert!(connected >= 90, "{connected} of 100 sends used an existing connection");
    for number in 0..100 {
        let server = format!("s{number}").into_boxed_str();
        if has_connection(&server) {
            for _ in 0..4 {
                balancer.begin_send(&server);
            }
        }
    }
    let chosen =
        balancer.choose(now, &[], &connected_servers, &mut random).expect("servers are ready");
    assert!(!has_connection(&chosen.server), "{} is full", chosen.server);
}
