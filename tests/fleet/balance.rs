//! Choice of servers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::balance::{SendOutcome, ServiceBalance};
use curranthollow::fleet::dialect::ReportedLoad;
use curranthollow::fleet::update::ServerView;
use curranthollow::ids::ServerId;
use yare::parameterized;

type ServerViews = BTreeMap<Box<str>, ServerView>;

fn view(zone: &str, state: ServerState, started: u64) -> ServerView {
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

fn balance(now: Instant, views: &ServerViews) -> ServiceBalance {
    let mut balance = ServiceBalance::default();
    balance.update(now, "e", "a", views.iter());
    balance
}

fn chosen(balance: &ServiceBalance, now: Instant) -> Option<String> {
    let random = &mut fastrand::Rng::with_seed(7);
    balance.choose(now, &[], |_| false, random).map(|chosen| chosen.server.into_string())
}

/// Fills all slots of a server.
fn occupy(balance: &mut ServiceBalance, server: &str) {
    for _ in 0..6 {
        balance.begin(&server.into());
    }
}

fn two_servers() -> ServerViews {
    BTreeMap::from([
        ("s1".into(), view("a", ServerState::Ready, 1)),
        ("s2".into(), view("a", ServerState::Ready, 1)),
    ])
}

/// Guards against new work for a server that drains, also when it is the only one.
#[test]
fn a_draining_server_is_never_chosen() {
    let now = Instant::now();
    let views = BTreeMap::from([("s1".into(), view("a", ServerState::Draining, 1))]);
    assert_eq!(chosen(&balance(now, &views), now), None);
}

/// Guards against requests to a server that fails, and against one that is left alone for good.
#[parameterized(
    unreachable = { SendOutcome::Unreachable, 1, 4000 },
    failing = { SendOutcome::Failure, 2, 4000 },
    shedding = { SendOutcome::Shed, 1, 400 },
    unanswered = { SendOutcome::Unanswered, 1, 200 },
)]
fn a_bad_server_is_left_alone_and_comes_back(outcome: SendOutcome, times: u32, back_ms: u64) {
    let now = Instant::now();
    let mut balance = balance(now, &two_servers());
    for _ in 0..times {
        balance.begin(&"s1".into());
        balance.end(now, &"s1".into(), outcome, Duration::from_millis(1));
    }
    // The other server is full, so only the closure keeps requests away from this one.
    occupy(&mut balance, "s2");
    let random = &mut fastrand::Rng::with_seed(3);
    for _ in 0..50 {
        let server = balance.choose(now, &[], |_| false, random).map(|chosen| chosen.server);
        assert_eq!(server.as_deref(), Some("s2"));
    }
    let later = now + Duration::from_millis(back_ms);
    let found = (0..50).any(|_| {
        balance.choose(later, &[], |_| false, random).is_some_and(|chosen| *chosen.server == *"s1")
    });
    assert!(found, "the server gets requests again");
}

/// Guards against refusals while all servers look bad: then the fault is common to them or ours.
#[test]
fn when_all_servers_are_left_alone_one_is_chosen_all_the_same() {
    let now = Instant::now();
    let mut balance = balance(now, &two_servers());
    for server in ["s1", "s2"] {
        balance.begin(&server.into());
        balance.end(now, &server.into(), SendOutcome::Unreachable, Duration::ZERO);
    }
    assert!(chosen(&balance, now).is_some());
}

/// Guards against requests that begin on a disturbed or crowded server although another has room.
#[parameterized(
    disturbed = { 1, 0, 500 },
    crowded = { 6, 2, 100 },
)]
fn a_server_that_told_of_no_room_is_avoided(running: u32, waiting: u32, slowness: u32) {
    let now = Instant::now();
    let mut balance = balance(now, &two_servers());
    let told = ReportedLoad { running, waiting, slots: 6, slowdown_percent: slowness };
    assert!(!told.has_spare_capacity());
    balance.note_load(now, &"s1".into(), told);
    assert_eq!(chosen(&balance, now).as_deref(), Some("s2"));
}

/// Guards against bytes between zones that buy nothing.
#[test]
fn the_own_zone_comes_first_until_it_is_crowded() {
    let now = Instant::now();
    let views = BTreeMap::from([
        ("far".into(), view("b", ServerState::Ready, 1)),
        ("near".into(), view("a", ServerState::Ready, 1)),
    ]);
    let mut balance = balance(now, &views);
    assert_eq!(chosen(&balance, now).as_deref(), Some("near"));
    occupy(&mut balance, "near");
    assert_eq!(chosen(&balance, now).as_deref(), Some("far"));
}

/// Guards against the history of an earlier incarnation: a restarted server is a new one.
#[test]
fn a_new_incarnation_starts_without_history() {
    let now = Instant::now();
    let mut views = two_servers();
    let mut balance = balance(now, &views);
    balance.begin(&"s1".into());
    balance.end(now, &"s1".into(), SendOutcome::Unreachable, Duration::ZERO);
    views.insert("s1".into(), view("a", ServerState::Ready, 2));
    balance.update(now, "e", "a", views.iter());
    occupy(&mut balance, "s2");
    let random = &mut fastrand::Rng::with_seed(1);
    let found = (0..50).any(|_| {
        balance.choose(now, &[], |_| false, random).is_some_and(|chosen| *chosen.server == *"s1")
    });
    assert!(found);
}

/// Guards against a load header that is read wrongly.
#[parameterized(
    four = { "3,0,8,500", Some((3, 0, 8, 500)) },
    three = { "3, 1, 8", Some((3, 1, 8, 100)) },
    two = { "3,0", None },
    text = { "a,b,c", None },
    negative = { "-1,0,8", None },
    empty = { "", None },
)]
fn the_load_header_is_read(text: &str, expected: Option<(u32, u32, u32, u32)>) {
    let told = ReportedLoad::parse(text);
    assert_eq!(
        told.map(|told| (told.running, told.waiting, told.slots, told.slowdown_percent)),
        expected
    );
}

/// Guards against entries that all prefer the same servers, and against an entry whose sends spread
/// over so many servers that it must open a connection for each.
#[test]
fn each_entry_prefers_servers_of_its_own() {
    let now = Instant::now();
    let views: ServerViews = (0..100)
        .map(|number| (format!("s{number}").into(), view("a", ServerState::Ready, 1)))
        .collect();
    let random = &mut fastrand::Rng::with_seed(9);
    let mut all = std::collections::BTreeSet::new();
    for entry in 0..40 {
        let mut balance = ServiceBalance::default();
        balance.update(now, &format!("e{entry}"), "a", views.iter());
        let sends = (0..100).filter_map(|_| balance.choose(now, &[], |_| false, random));
        let own: std::collections::BTreeSet<_> = sends.map(|chosen| chosen.server).collect();
        assert!(own.len() <= 45, "entry {entry} uses {} of 100 servers", own.len());
        all.extend(own);
    }
    assert!(all.len() >= 95, "all entries together use {} of 100 servers", all.len());
}

/// Guards against a new connection for nearly every request of a large service: an entry uses the
/// connections that it has, unless their servers are worse.
#[test]
fn a_server_with_a_connection_is_preferred_but_not_at_any_cost() {
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(1);
    let views: ServerViews = (0..100)
        .map(|number| (format!("s{number}").into_boxed_str(), view("a", ServerState::Ready, 1)))
        .collect();
    let mut balance = balance(now, &views);
    let few = |server: &ServerId| server.starts_with("s1");
    let mut connected = 0;
    for _ in 0..100 {
        let chosen = balance.choose(now, &[], few, &mut random).expect("servers are ready");
        connected += u32::from(few(&chosen.server));
    }
    assert!(connected >= 90, "{connected} of 100");
    for number in 0..100 {
        let server = format!("s{number}").into_boxed_str();
        if few(&server) {
            for _ in 0..4 {
                balance.begin(&server);
            }
        }
    }
    let chosen = balance.choose(now, &[], few, &mut random).expect("servers are ready");
    assert!(!few(&chosen.server), "{} is full", chosen.server);
}
