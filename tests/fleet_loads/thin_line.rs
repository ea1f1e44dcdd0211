//! Load pattern: a large document, or the first state of a large fleet, for entries on a thin line.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::document::{Repetition, RouteDocument, RouteRule, ServiceRule};
use curranthollow::fleet::follow_plan::FollowPlan;
use curranthollow::fleet::link::{self, LinkFrame};
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::fleet::update::{CompactUpdate, FleetReplica};
use curranthollow::ids::LogIndex;

/// Slowest line of an entry.
const LINE_BITS_PER_S: f64 = 2e6;

/// Half of the time within which a document must be in force on the large site.
const MAX_CHANGE_TIME: Duration = Duration::from_millis(1250);

/// Half of the time in which callers retry after a restart of everything.
const MAX_FIRST_STATE_TIME: Duration = Duration::from_millis(1000);

/// Largest step of the transfer on the line, so that notices and short responses get between.
const MAX_PART_TIME: Duration = Duration::from_millis(20);

/// Time after which missing updates are requested from another member.
const MAX_STALL: Duration = Duration::from_millis(300);

fn transfer_time(frames: &[LinkFrame]) -> Duration {
    let bytes: usize = frames.iter().map(|frame| frame.len()).sum();
    Duration::from_secs_f64(bytes as f64 * 8.0 / LINE_BITS_PER_S)
}

fn route_rule(number: usize) -> RouteRule {
    RouteRule {
        name: format!("r-{number:07x}").into(),
        repetition: Repetition::Idempotent,
        timeout: Duration::from_millis(4000),
        target_latency: Duration::from_millis(1500),
        max_attempts: 2,
        priority: 2,
        is_public: false,
        targets: vec![("jeda71a".into(), 90.0), ("vozi63b".into(), 10.0)],
    }
}

fn document(version: u64, route_count: usize) -> RouteDocument {
    let mut document = RouteDocument { version, ..RouteDocument::default() };
    for service in ["jeda71a", "vozi63b"] {
        let rule = ServiceRule {
            health_path: "/healthz".into(),
            max_connections: 2400,
            ..ServiceRule::default()
        };
        document.services.insert(service.into(), rule);
    }
    for number in 0..route_count {
        let host = format!("lolo{}.example", number % 8);
        let key = (host.into(), format!("/path{number}/sub{number}/").into());
        document.routes.insert(key, route_rule(number));
    }
    document
}

fn put(document: RouteDocument) -> FleetCommand {
    FleetCommand::PutDocument { document: Box::new(document), text: b"{}".to_vec() }
}

fn announcement(number: u64) -> FleetCommand {
    let announcement = ServerAnnouncement {
        service: if number.is_multiple_of(3) { "vozi63b" } else { "jeda71a" }.into(),
        address: SocketAddr::from(([10, 1, (number / 200) as u8, (number % 200) as u8], 8249)),
        availability_zone: ["lakes-west", "lakes-east"][(number % 2) as usize].into(),
        slots: 6,
        state: ServerState::Ready,
        warmup: Duration::ZERO,
        started: 1_774_957_549_000 + number,
        sequence: 1,
    };
    FleetCommand::Announce(format!("i-{number:010x}").into(), announcement)
}

/// State with servers and a document.
fn large_state(server_count: u64, route_count: usize) -> FleetState {
    let mut state = FleetState::default();
    for number in 0..server_count {
        state.apply(number + 1, announcement(number));
    }
    state.apply(server_count + 1, put(document(1, route_count)));
    state
}

fn replica_at(state: &FleetState) -> FleetReplica {
    let mut replica = FleetReplica::default();
    assert!(replica.apply(state.update_since(0)));
    replica
}

/// Guards against a document that comes into force late because its routes fill the line.
#[test]
fn a_thousand_new_routes_arrive_in_time() {
    let mut state = large_state(480, 20);
    let before = state.revision();
    let mut replica = replica_at(&state);
    state.apply(before + 1, put(document(2, 1420)));
    let update = CompactUpdate(state.update_since(before));
    let parts = link::encode_parts(&update);
    let elapsed = transfer_time(&parts);
    assert!(elapsed <= MAX_CHANGE_TIME, "{elapsed:?}");
    assert!(replica.apply(update.0));
    assert_eq!(replica.document(), Some(state.document()));
}

/// Guards against entries that are without servers and routes for long after everything restarted.
#[test]
fn the_first_state_arrives_in_time() {
    let state = large_state(480, 2000);
    let parts = link::encode_parts(&CompactUpdate(state.update_since(0)));
    let elapsed = transfer_time(&parts);
    assert!(elapsed <= MAX_FIRST_STATE_TIME, "{elapsed:?}");
    for part in &parts {
        let elapsed = transfer_time(std::slice::from_ref(part));
        assert!(elapsed <= MAX_PART_TIME, "{elapsed:?}");
    }
}

/// Guards against an encoding that loses or changes a part of the state.
#[test]
fn the_compact_form_is_complete() {
    let mut state = large_state(50, 30);
    let mut changed = document(2, 40);
    changed.routes.pop_first();
    state.apply(100, put(changed));
    state.apply(101, FleetCommand::Leave("i-0000000003".into(), None));
    for from in [0, 10, 51, 100] {
        let update = state.update_since(from);
        let mut bytes = Vec::new();
        let compact = CompactUpdate(update.clone());
        ciborium::into_writer(&compact, &mut bytes).expect("writing to memory does not fail");
        let decoded: CompactUpdate = ciborium::from_reader(&bytes[..]).expect("it is valid");
        assert_eq!(decoded.0, update, "from {from}");
    }
}

fn member(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7160))
}

/// Plan of an entry in zone `a` with links to members 1 to `count`; member 1 is in its zone.
fn plan_with_links(now: Instant, count: u8, revision: LogIndex) -> FollowPlan {
    let mut plan = FollowPlan::new("e1".into(), "a".into());
    for number in 1..=count {
        let zone = if number == 1 { "a" } else { "b" }.into();
        plan.add_link(member(number));
        plan.record_zone(member(number), &zone);
        plan.record_fresh(now, member(number));
        plan.record_revision(member(number), revision);
    }
    plan
}

/// Guards against several copies of an update on one line: a slow transfer that goes on is left alone.
#[test]
fn a_slow_transfer_is_not_repeated() {
    let mut now = Instant::now();
    let mut plan = plan_with_links(now, 3, 10);
    assert_eq!(plan.change_stream(now, 0), Some(member(1)));
    for _ in 0..100 {
        now += Duration::from_millis(50);
        for number in 1..=3 {
            plan.record_fresh(now, member(number));
        }
        plan.record_progress(now, member(1));
        assert_eq!(plan.change_stream(now, 0), None);
    }
    assert_eq!(plan.change_stream(now, 10), None);
}

/// Guards against updates that are missed because their member is frozen or cut off: another member is
/// asked as soon as it is known to have them.
#[test]
fn a_stalled_transfer_continues_from_another_member() {
    let mut now = Instant::now();
    let mut plan = plan_with_links(now, 3, 10);
    assert_eq!(plan.change_stream(now, 10), Some(member(1)));
    plan.record_revision(member(2), 11);
    assert_eq!(plan.change_stream(now, 10), None);
    assert!(plan.is_behind());
    now += MAX_STALL;
    assert_eq!(plan.change_stream(now, 10), Some(member(2)));
    assert_eq!(plan.change_stream(now, 11), None);
    assert!(!plan.is_behind());
    // With nothing missing, the member of the own zone is taken again.
    plan.record_revision(member(1), 11);
    assert_eq!(plan.change_stream(now, 11), Some(member(1)));
}

/// Guards against an entry that stays without updates after the link that carries them has ended.
#[test]
fn a_lost_stream_is_replaced_at_once() {
    let now = Instant::now();
    let mut plan = plan_with_links(now, 3, 10);
    assert_eq!(plan.change_stream(now, 10), Some(member(1)));
    plan.remove_link(member(1));
    assert!(plan.change_stream(now, 10).is_some_and(|address| address != member(1)));
}

/// Guards against an entry that waits for a leader before it loads the state it needs to serve.
#[test]
fn the_first_state_comes_from_any_member() {
    let now = Instant::now();
    let mut plan = FollowPlan::new("e1".into(), "a".into());
    plan.add_link(member(2));
    assert_eq!(plan.change_stream(now, 0), None);
    plan.record_revision(member(2), 7);
    assert_eq!(plan.change_stream(now, 0), Some(member(2)));
}

/// Guards against entries that all follow the same members, and against one that follows none of its
/// own zone.
#[test]
fn entries_spread_over_the_members() {
    let now = Instant::now();
    let mut followers = [0; 6];
    for entry in 0..200 {
        let zone = format!("z{}", entry % 5 + 1);
        let mut plan = FollowPlan::new(format!("entry-{entry}").into(), zone.into());
        for number in 1..=5 {
            plan.add_link(member(number));
            plan.record_zone(member(number), &format!("z{number}").into());
            plan.record_fresh(now, member(number));
        }
        assert_eq!(plan.change_stream(now, 0), Some(member((entry % 5 + 1) as u8)));
        let kept = (1..=5).filter(|number| !plan.is_surplus(now, member(*number)));
        let kept: Vec<u8> = kept.collect();
        assert_eq!(kept.len(), 3, "entry {entry} follows {kept:?}");
        for number in kept {
            followers[usize::from(number)] += 1;
        }
    }
    for count in &followers[1..] {
        assert!((90..=150).contains(count), "{followers:?}");
    }
}
