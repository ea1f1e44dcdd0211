//! Tests of evacuated availability zones: the replicated state, the balancer, and real processes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::ServiceBalancer;
use curranthollow::fleet::state::{
    FleetCommand, FleetState, MAX_EVACUATED, OrderOutcome, ZoneOrder,
};
use curranthollow::fleet::update::FleetReplica;
use curranthollow::ids::ZoneName;

use yare::parameterized;

use super::balance::server_view;
use super::harness::{
    ScriptedServer, ServerStep, TestEntry, TestFleet, VALID_RESPONSE, announce, announcement, call,
    document, wait_for,
};

fn evacuate(zone: &str) -> FleetCommand {
    FleetCommand::Evacuate(zone.into())
}

fn end(zone: &str) -> FleetCommand {
    FleetCommand::EndEvacuation(zone.into())
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| (*name).into()).collect()
}

/// Guards against orders that a resend, a snapshot or a decoding loses or repeats, and against entries that
/// miss one.
#[test]
fn orders_survive_snapshots_and_reach_replicas() {
    let (mut state, mut replica) = (FleetState::default(), FleetReplica::default());
    let orders = [
        (evacuate("a"), &["a"] as &[&str]),
        (evacuate("a"), &["a"]),
        (evacuate("unknown"), &["a", "unknown"]),
        (end("a"), &["unknown"]),
        (end("a"), &["unknown"]),
        (evacuate("a"), &["a", "unknown"]),
        (end("unknown"), &["a"]),
    ];
    for (index, (command, expected)) in orders.into_iter().enumerate() {
        let command = FleetCommand::decode(&command.encode()).expect("the command is decoded");
        state.apply(index as u64 + 1, command);
        state = FleetState::restore(&state.snapshot()).expect("the snapshot is restored");
        assert_eq!(*state.evacuated(), zones(expected));
        assert!(replica.apply(state.update_since(replica.revision())));
        assert_eq!(*replica.evacuated(), zones(expected));
    }
}

/// Guards against an acknowledgement of an evacuation that is not in force because there are too many.
#[test]
fn an_evacuation_beyond_the_maximum_is_refused() {
    let mut state = FleetState::default();
    for index in 1..=MAX_EVACUATED as u64 {
        state.apply(index, evacuate(&format!("z{index}")));
        assert_eq!(state.order_outcome(index), OrderOutcome::InForce);
    }
    state.apply(1000, evacuate("z1"));
    state.apply(1001, evacuate("one-too-many"));
    let state = FleetState::restore(&state.snapshot()).expect("the snapshot is restored");
    assert_eq!(state.order_outcome(1000), OrderOutcome::InForce);
    assert_eq!(state.order_outcome(1001), OrderOutcome::Refused);
    assert!(!state.evacuated().contains("one-too-many"));
}

/// Guards against a call that is carried out late and undoes another operator's acknowledged order. Each order
/// says up to which index its member knew the log; the first one has the index 1.
#[parameterized(
    late_order = { &[(true, 0), (false, 1), (true, 0)], "iio", false },
    late_withdrawal = { &[(true, 0), (false, 1), (true, 2), (false, 1)], "iiio", true },
    late_after_a_repeated_order = { &[(true, 0), (true, 1), (false, 1)], "iio", true },
    late_and_equal = { &[(true, 0), (true, 0)], "ii", true },
    late_and_sent_again = { &[(true, 0), (false, 1), (true, 0), (true, 3)], "iioi", true },
    withdrawal_of_none = { &[(false, 0), (true, 0), (true, 1)], "ioi", true },
)]
fn a_late_order_changes_nothing(orders: &[(bool, u64)], expected: &str, evacuated: bool) {
    let mut state = FleetState::default();
    let mut outcomes = String::new();
    for (number, (evacuates, seen)) in orders.iter().enumerate() {
        let order = ZoneOrder { zone: "a".into(), evacuates: *evacuates, seen: *seen };
        let command = FleetCommand::OrderZone(order);
        let command = FleetCommand::decode(&command.encode()).expect("the command is decoded");
        let index = number as u64 + 1;
        state.apply(index, command);
        state = FleetState::restore(&state.snapshot()).expect("the snapshot is restored");
        outcomes.push(match state.order_outcome(index) {
            OrderOutcome::InForce => 'i',
            OrderOutcome::Outdated => 'o',
            OrderOutcome::Refused => 'r',
        });
    }
    assert_eq!(outcomes, expected);
    assert_eq!(state.evacuated().contains("a"), evacuated);
}

/// Guards against a late order that has an effect because its zone is forgotten, and against a history that
/// grows with the names that operators send.
#[test]
fn a_late_order_for_a_forgotten_zone_changes_nothing() {
    let mut state = FleetState::default();
    let order = |zone: &str, evacuates, seen| {
        FleetCommand::OrderZone(ZoneOrder { zone: zone.into(), evacuates, seen })
    };
    let size_after = |state: &mut FleetState, range: std::ops::Range<u64>| {
        for index in range {
            state.apply(index, order(&format!("z{index:04}"), false, index - 1));
        }
        state.snapshot().len()
    };
    let full = size_after(&mut state, 1..1000);
    assert!(size_after(&mut state, 1000..3000) < full + 1000);
    state.apply(3000, order("z0001", true, 1));
    assert_eq!(state.order_outcome(3000), OrderOutcome::Outdated);
    state.apply(3001, order("z0001", true, 3000));
    assert_eq!(state.order_outcome(3001), OrderOutcome::InForce);
}

/// Guards against a choice among evacuated servers, also when no others are left, when one was chosen
/// before, and when one starts again meanwhile.
#[test]
fn an_evacuated_server_is_never_chosen() {
    let now = Instant::now();
    let mut views = BTreeMap::from([
        ("s1".into(), server_view("a", ServerState::Ready, 1)),
        ("s2".into(), server_view("b", ServerState::Ready, 1)),
    ]);
    let mut balancer = ServiceBalancer::default();
    balancer.update_servers(now, "e", "a", 1, views.iter());
    balancer.install_evacuation(&Rc::new(zones(&["a"])));
    let chosen = |balancer: &ServiceBalancer| {
        let chosen = balancer.choose(now, &[], &["s1".into()], &mut fastrand::Rng::with_seed(1));
        chosen.map(|chosen| chosen.server.into_string())
    };
    assert_eq!(chosen(&balancer).as_deref(), Some("s2"));
    assert!(!balancer.accepts(now, &"s1".into(), 1));
    assert!(!balancer.is_withdrawn(now) && !balancer.is_wholly_evacuated());
    views.insert("s1".into(), server_view("a", ServerState::Ready, 2));
    balancer.update_servers(now, "e", "a", 1, views.iter());
    assert!(!balancer.accepts(now, &"s1".into(), 1), "the restarted server is evacuated, too");
    balancer.install_evacuation(&Rc::new(zones(&["a", "b"])));
    assert_eq!(chosen(&balancer), None);
    assert!(balancer.is_withdrawn(now) && balancer.is_wholly_evacuated());
    balancer.install_evacuation(&Rc::new(zones(&[])));
    assert!(balancer.accepts(now, &"s1".into(), 2));
}

fn in_zone(server: &ScriptedServer, zone: &str) -> String {
    announcement(server.address, false, 1, 1)
        .replace("\"availability_zone\":\"a\"", &format!("\"availability_zone\":\"{zone}\""))
}

fn order(fleet: &TestFleet, method: &str, zone: &str) {
    let path = format!("/.curranthollow/evacuations/{zone}");
    wait_for("an order to be acknowledged", || {
        let running = fleet.members.iter().filter(|member| member.is_running());
        running.into_iter().any(|member| call(member.operator, method, &path, "").0 == 200)
    });
}

/// Guards against requests that still reach an evacuated zone, against what runs there being cut, and
/// against an order that the loss of all members undoes.
#[test]
fn an_evacuated_zone_gets_nothing_until_the_order_is_withdrawn() {
    let slow = ServerStep::Delay(Duration::from_millis(800), VALID_RESPONSE);
    let servers = [ScriptedServer::start(&[slow]), ScriptedServer::start(&[])];
    let mut fleet = TestFleet::with_members(3);
    fleet.put_document(&document(1));
    announce(&fleet, "s-a", &in_zone(&servers[0], "a"));
    let entry = TestEntry::start(&fleet.seeds);
    wait_for("the entry to be ready", || entry.is_ready());
    let traffic = entry.traffic;
    let running = std::thread::spawn(move || call(traffic, "POST", "/book/1", "").0);
    wait_for("the request to run", || servers[0].sent_count() > 0);
    announce(&fleet, "s-b", &in_zone(&servers[1], "b"));
    order(&fleet, "POST", "a");
    let acknowledged_at = Instant::now();
    wait_for("the evacuation to be installed", || entry.metric("entry_evacuated_zones") == 1);
    println!("evacuation installed after {} ms", acknowledged_at.elapsed().as_millis());
    assert!(acknowledged_at.elapsed() < Duration::from_secs(5));
    assert_eq!(running.join().expect("the caller ends"), 200);
    assert_eq!(entry.metric("entry_idle_connections"), 0, "no connection is kept");
    let count = servers[0].requests().len();
    for _ in 0..10 {
        assert_eq!(call(traffic, "GET", "/read/1", "").0, 200);
    }
    assert_eq!(servers[0].requests().len(), count);
    for member in &mut fleet.members {
        member.kill();
    }
    let seeds = fleet.seeds.clone();
    for member in &mut fleet.members {
        member.start(&seeds, false);
    }
    let late = TestEntry::start(&fleet.seeds);
    wait_for("the late entry to be ready", || late.is_ready());
    assert_eq!(call(late.traffic, "GET", "/read/1", "").0, 200);
    assert_eq!(servers[0].requests().len(), count);
    order(&fleet, "POST", "b");
    wait_for("the second evacuation", || entry.metric("entry_evacuated_zones") == 2);
    let began = Instant::now();
    assert_eq!(call(traffic, "POST", "/book/2", "").0, 503);
    assert!(began.elapsed() < Duration::from_millis(500), "refused at once");
    order(&fleet, "DELETE", "a");
    wait_for("requests to be served again", || call(traffic, "POST", "/book/3", "").0 == 200);
    assert!(servers[0].requests().len() > count);
}

/// Guards against a 200 for an order that is not in force because too many zones are evacuated.
#[test]
fn a_member_refuses_an_evacuation_beyond_the_maximum() {
    let fleet = TestFleet::with_members(3);
    for number in 0..MAX_EVACUATED {
        order(&fleet, "POST", &format!("z{number}"));
    }
    let evacuate = |zone: &str| {
        let path = format!("/.curranthollow/evacuations/{zone}");
        let members = fleet.members.iter();
        members.map(|member| call(member.operator, "POST", &path, "").0).collect::<Vec<_>>()
    };
    assert_eq!(evacuate("one-too-many"), [409; 3]);
    assert_eq!(evacuate("z0"), [200; 3], "an order in force is acknowledged again");
}
