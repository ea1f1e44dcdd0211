//! Tests of evacuated availability zones: the replicated state, the balancer, and real processes.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::ServiceBalancer;
use curranthollow::fleet::state::{FleetCommand, FleetState, MAX_EVACUATED};
use curranthollow::fleet::update::FleetReplica;
use curranthollow::ids::ZoneName;

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
        assert!(!state.has_refused_evacuation(index));
    }
    state.apply(1000, evacuate("z1"));
    state.apply(1001, evacuate("one-too-many"));
    let state = FleetState::restore(&state.snapshot()).expect("the snapshot is restored");
    assert!(!state.has_refused_evacuation(1000));
    assert!(state.has_refused_evacuation(1001));
    assert!(!state.evacuated().contains("one-too-many"));
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
