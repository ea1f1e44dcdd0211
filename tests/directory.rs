//! Tests of the server directory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use curranthollow::directory::{
    AnnouncedState, DirectoryAction, DirectoryEvent, DirectoryLimits, LifeEvent, LifeState,
    RelayedAnnouncement, ServerAnnouncement, ServerDirectory, ServiceKey, next_state,
};
use yare::parameterized;

use AnnouncedState as A;
use LifeEvent::{Announced, HeartbeatLate, HeartbeatLost, Restarted};
use LifeState as L;

fn announcement(server: usize, incarnation: u64, sequence: u64, state: A) -> ServerAnnouncement {
    ServerAnnouncement {
        team: "lakeshore".into(),
        service: "history".into(),
        server: format!("server-{server}").into(),
        address: ([127, 0, 0, 1], 4000 + server as u16).into(),
        availability_zone: "zone-a".into(),
        region: "north".into(),
        slots: 6,
        connections: 220,
        state,
        load: (sequence % 1000) as u32,
        incarnation,
        sequence,
    }
}

fn service() -> ServiceKey {
    ServiceKey { team: "lakeshore".into(), service: "history".into() }
}

fn new_directory() -> ServerDirectory {
    ServerDirectory::new(DirectoryLimits::default())
}

fn life_states(directory: &ServerDirectory) -> Vec<LifeState> {
    directory.servers(&service()).map(|record| record.life).collect()
}

fn announce_ready(directory: &mut ServerDirectory, now: Instant, server: usize, sequence: u64) {
    let event = DirectoryEvent::Announced(announcement(server, 1, sequence, A::Ready));
    directory.handle(now, event);
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Guards against transitions that make a draining server ready again or ignore a restart.
#[parameterized(
    starting_ready = { L::Starting, Announced(A::Ready), L::Ready },
    starting_starting = { L::Starting, Announced(A::Starting), L::Starting },
    starting_draining = { L::Starting, Announced(A::Draining), L::Draining },
    starting_gone = { L::Starting, Announced(A::Gone), L::Gone },
    starting_late = { L::Starting, HeartbeatLate, L::Suspect },
    starting_lost = { L::Starting, HeartbeatLost, L::Gone },
    ready_starting = { L::Ready, Announced(A::Starting), L::Starting },
    ready_ready = { L::Ready, Announced(A::Ready), L::Ready },
    ready_draining = { L::Ready, Announced(A::Draining), L::Draining },
    ready_gone = { L::Ready, Announced(A::Gone), L::Gone },
    ready_late = { L::Ready, HeartbeatLate, L::Suspect },
    ready_lost = { L::Ready, HeartbeatLost, L::Gone },
    suspect_starting = { L::Suspect, Announced(A::Starting), L::Starting },
    suspect_ready = { L::Suspect, Announced(A::Ready), L::Ready },
    suspect_draining = { L::Suspect, Announced(A::Draining), L::Draining },
    suspect_gone = { L::Suspect, Announced(A::Gone), L::Gone },
    suspect_late = { L::Suspect, HeartbeatLate, L::Suspect },
    suspect_lost = { L::Suspect, HeartbeatLost, L::Gone },
    draining_starting = { L::Draining, Announced(A::Starting), L::Draining },
    draining_ready = { L::Draining, Announced(A::Ready), L::Draining },
    draining_draining = { L::Draining, Announced(A::Draining), L::Draining },
    draining_gone = { L::Draining, Announced(A::Gone), L::Gone },
    draining_late = { L::Draining, HeartbeatLate, L::Draining },
    draining_lost = { L::Draining, HeartbeatLost, L::Gone },
    draining_restarted = { L::Draining, Restarted(A::Starting), L::Starting },
    gone_restarted = { L::Gone, Restarted(A::Ready), L::Ready },
    gone_late = { L::Gone, HeartbeatLate, L::Gone },
    gone_lost = { L::Gone, HeartbeatLost, L::Gone },
    expired_ready = { L::Gone, Announced(A::Ready), L::Ready },
)]
fn life_cycle_transitions(state: LifeState, event: LifeEvent, expected: LifeState) {
    assert_eq!(next_state(state, event), expected);
}

/// Guards against a merged state that depends on the delivery order or on duplicates.
#[test]
fn merges_are_order_independent() {
    let start = Instant::now();
    for seed in 0..300 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut sent = Vec::new();
        for _ in 0..30 {
            let states = [A::Starting, A::Ready, A::Ready, A::Draining, A::Gone];
            let state = states[random.usize(..states.len())];
            let mut item =
                announcement(random.usize(..3), random.u64(1..3), random.u64(1..8), state);
            item.slots = random.u32(1..3);
            sent.push(Arc::new(item));
        }
        let mut expected = None;
        for _ in 0..4 {
            let mut directory = new_directory();
            let mut delivered = sent.clone();
            delivered.extend(sent.iter().filter(|_| random.bool()).cloned());
            random.shuffle(&mut delivered);
            for announcement in delivered {
                let item = RelayedAnnouncement { announcement, age_ms: 0 };
                directory.handle(start, DirectoryEvent::Relayed(vec![item]));
            }
            let records = directory.servers(&service());
            let merged: Vec<_> =
                records.map(|record| (record.announcement.clone(), record.life)).collect();
            let result = (merged, directory.root_digest());
            assert_eq!(*expected.get_or_insert_with(|| result.clone()), result, "seed {seed}");
        }
    }
}

/// Guards against a leaving server that gets requests again, even if its messages are reordered.
#[parameterized(
    draining_then_ready = { &[(1, A::Ready), (2, A::Draining), (3, A::Ready)], L::Draining },
    ready_before_late_draining = { &[(1, A::Ready), (3, A::Ready), (2, A::Draining)], L::Draining },
    gone_then_ready = { &[(1, A::Gone), (2, A::Ready)], L::Gone },
    gone_then_draining = { &[(1, A::Gone), (2, A::Draining)], L::Gone },
    ready_before_late_gone = { &[(2, A::Ready), (1, A::Gone)], L::Gone },
)]
fn leaving_is_final(sequence: &[(u64, A)], expected: LifeState) {
    let start = Instant::now();
    let mut directory = new_directory();
    for (number, state) in sequence {
        directory.handle(start, DirectoryEvent::Announced(announcement(0, 1, *number, *state)));
    }
    assert_eq!(life_states(&directory), [expected]);
    directory.handle(start, DirectoryEvent::Announced(announcement(0, 2, 1, A::Ready)));
    assert_eq!(life_states(&directory), [L::Ready]);
}

/// Guards against wrong expiry times, and against removal under mass suspicion.
#[parameterized(
    minority_late = { 5, 2, 4, 2, 0 },
    minority_lost = { 5, 2, 11, 0, 2 },
    half_lost = { 4, 2, 11, 0, 2 },
    majority_held = { 5, 3, 60, 3, 0 },
    all_held = { 5, 5, 60, 5, 0 },
    only_server_held = { 1, 1, 60, 1, 0 },
    one_of_two_lost = { 2, 1, 11, 0, 1 },
    two_of_two_held = { 2, 2, 60, 2, 0 },
    majority_held_too_long = { 5, 3, 3_601, 0, 3 },
)]
fn expiry_and_mass_suspicion(
    servers: usize,
    silent: usize,
    until: u64,
    suspect: usize,
    gone: usize,
) {
    let start = Instant::now();
    let mut directory = new_directory();
    for second in 0..=until {
        let now = start + seconds(second);
        for server in 0..servers {
            if second == 0 || server >= silent {
                announce_ready(&mut directory, now, server, second);
            }
        }
        directory.handle(now, DirectoryEvent::Tick);
    }
    let lives = life_states(&directory);
    assert_eq!(lives.iter().filter(|life| **life == L::Suspect).count(), suspect);
    let ready = lives.iter().filter(|life| **life == L::Ready).count();
    assert_eq!(ready, servers - suspect - gone);
    assert_eq!(directory.counters().expired, gone as u64);
}

/// Guards against the immediate removal of servers that are still late when mass suspicion ends,
/// because the others have returned one by one.
#[test]
fn late_servers_get_grace_after_mass_suspicion() {
    let start = Instant::now();
    let mut directory = new_directory();
    for server in 0..10 {
        announce_ready(&mut directory, start, server, 0);
    }
    let mut returned = 0;
    for second in 1..=100 {
        let now = start + seconds(second);
        if (60..68).contains(&second) {
            returned = (second - 59) as usize;
        }
        for server in 0..returned {
            announce_ready(&mut directory, now, server, second);
        }
        directory.handle(now, DirectoryEvent::Tick);
        let lives = life_states(&directory);
        let gone = directory.counters().expired;
        // Mass suspicion ends with the fifth return, at second 64. The two servers that never
        // return are removed 10 s later.
        assert_eq!(gone, if second < 74 { 0 } else { 2 }, "second {second}");
        let ready = lives.iter().filter(|life| **life == L::Ready).count();
        assert_eq!(ready, if second < 3 { 10 } else { returned }, "second {second}");
    }
}

/// Guards against relays that loop or multiply. Each link carries one item for every other
/// announcement.
#[test]
fn relays_do_not_multiply() {
    let start = Instant::now();
    let entries = 13;
    let mut directories: Vec<_> = (0..entries).map(|_| new_directory()).collect();
    let (servers, rounds) = (40, 10);
    let mut batches = 0;
    let mut now = start;
    for round in 1..=rounds {
        now += seconds(1);
        for server in 0..servers {
            announce_ready(&mut directories[server % entries], now, server, round);
        }
        now += Duration::from_millis(50);
        for sender in 0..entries {
            for action in directories[sender].handle(now, DirectoryEvent::Tick) {
                let event = match action {
                    DirectoryAction::Relay(batch) => DirectoryEvent::Relayed(batch),
                    DirectoryAction::RelayHeartbeats(heartbeats) => {
                        DirectoryEvent::Heartbeats { from: sender.to_string().into(), heartbeats }
                    }
                    _ => continue,
                };
                batches += 1;
                for receiver in (0..entries).filter(|receiver| *receiver != sender) {
                    directories[receiver].handle(now, event.clone());
                }
            }
        }
    }
    let relayed: u64 = directories.iter().map(|item| item.counters().relayed_out).sum();
    // A heartbeat 1 s after a relayed one is not relayed.
    assert_eq!(relayed, servers as u64 * rounds / 2);
    assert_eq!(batches, entries as u64 * rounds / 2);
    let later = now + seconds(1);
    for directory in &mut directories {
        assert_eq!(directory.server_count(), servers);
        let actions = directory.handle(later, DirectoryEvent::Tick);
        assert!(!actions.iter().any(|action| matches!(
            action,
            DirectoryAction::Relay(_) | DirectoryAction::RelayHeartbeats(_)
        )));
    }
}

/// Guards against the relay of a repeated announcement.
#[test]
fn repeated_announcement_is_not_relayed() {
    let start = Instant::now();
    let mut directory = new_directory();
    announce_ready(&mut directory, start, 0, 1);
    directory.handle(start + seconds(1), DirectoryEvent::Tick);
    announce_ready(&mut directory, start + seconds(1), 0, 1);
    assert_eq!(directory.relay_due(), None);
    assert_eq!(directory.counters().ignored_old, 1);
}

/// Guards against a delayed announcement that counts as a new heartbeat.
#[test]
fn relayed_age_counts_as_silence() {
    let start = Instant::now();
    let mut directory = new_directory();
    for server in 0..4 {
        let age_ms = if server == 0 { 9_000 } else { 0 };
        let announcement = Arc::new(announcement(server, 1, 1, A::Ready));
        let item = RelayedAnnouncement { announcement, age_ms };
        directory.handle(start + seconds(9), DirectoryEvent::Relayed(vec![item]));
    }
    directory.handle(start + seconds(9), DirectoryEvent::Tick);
    assert_eq!(life_states(&directory), [L::Suspect, L::Ready, L::Ready, L::Ready]);
    directory.handle(start + seconds(10), DirectoryEvent::Tick);
    assert_eq!(life_states(&directory)[0], L::Gone);
}

/// Guards against anti-entropy that sends equal announcements or leaves differences.
#[test]
fn anti_entropy_sends_the_difference() {
    let start = Instant::now();
    let mut directories = [new_directory(), new_directory()];
    for server in 0..50 {
        for directory in &mut directories {
            announce_ready(directory, start, server, 1);
        }
    }
    announce_ready(&mut directories[0], start, 50, 1);
    let draining = DirectoryEvent::Announced(announcement(7, 1, 2, A::Draining));
    directories[1].handle(start, draining);
    let key = service();
    let differing = directories[0].differing_services(&directories[1].service_digests());
    assert_eq!(differing, std::slice::from_ref(&key));
    let from_first = directories[0].missing_from(start, &directories[1].service_summary(&key));
    let from_second = directories[1].missing_from(start, &directories[0].service_summary(&key));
    assert_eq!((from_first.len(), from_second.len()), (2, 1));
    directories[1].handle(start, DirectoryEvent::Relayed(from_first));
    directories[0].handle(start, DirectoryEvent::Relayed(from_second));
    assert_eq!(directories[0].root_digest(), directories[1].root_digest());
    let digests = directories[1].service_digests();
    assert!(directories[0].differing_services(&digests).is_empty());
    let mut empty = new_directory();
    assert_eq!(empty.differing_services(&digests), std::slice::from_ref(&key));
    let all = directories[0].missing_from(start, &empty.service_summary(&key));
    empty.handle(start, DirectoryEvent::Relayed(all));
    assert_eq!(empty.root_digest(), directories[0].root_digest());
}

/// Guards against fields that are swapped or lost in the encoding.
#[test]
fn relayed_announcements_round_trip() {
    let mut item = announcement(3, 4, 5, A::Draining);
    (item.slots, item.connections, item.load) = (1, 2, 3);
    for address in ["127.0.0.1:80", "[::1]:81"] {
        item.address = address.parse().expect("the address should be valid");
        let sent = RelayedAnnouncement { announcement: Arc::new(item.clone()), age_ms: 6 };
        let mut bytes = Vec::new();
        ciborium::into_writer(&vec![sent.clone()], &mut bytes)
            .expect("writing a batch to a vector should succeed");
        let received: Vec<RelayedAnnouncement> =
            ciborium::from_reader(&bytes[..]).expect("a complete batch should be decoded");
        assert_eq!(received, [sent]);
        let text =
            serde_json::to_string(&item).expect("an announcement should be serializable as JSON");
        assert_eq!(serde_json::from_str::<ServerAnnouncement>(&text).ok(), Some(item.clone()));
    }
}

/// Guards against a directory that exceeds its limits or lets one team use all of its capacity.
#[test]
fn limits_are_enforced() {
    let limits = DirectoryLimits {
        services: 3,
        servers: 8,
        servers_per_team: 5,
        servers_per_service: 4,
        text_bytes: 20,
    };
    let start = Instant::now();
    let mut directory = ServerDirectory::new(limits);
    let mut counts: BTreeMap<(Box<str>, Box<str>), usize> = BTreeMap::new();
    for (team, service, servers) in [
        ("a", "x", 6),
        ("a", "y", 6),
        ("b", "x", 9),
        ("c", "x", 1),
        ("a", "this name is too long", 1),
    ] {
        for server in 0..servers {
            let mut item = announcement(server, 1, 1, A::Ready);
            item.team = team.into();
            item.service = service.into();
            directory.handle(start, DirectoryEvent::Announced(item));
        }
        let key = ServiceKey { team: team.into(), service: service.into() };
        counts.insert((team.into(), service.into()), directory.servers(&key).count());
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [0, 4, 1, 3, 0]);
    assert_eq!(directory.counters().refused_text, 1);
    directory.handle(start + seconds(3_700), DirectoryEvent::Tick);
    directory.handle(start + seconds(3_800), DirectoryEvent::Tick);
    assert_eq!(directory.server_count(), 0);
    assert_eq!(directory.root_digest(), 0);
}

/// Expected state after an event, written independently of the state chart.
fn expected_state(state: LifeState, event: LifeEvent) -> LifeState {
    match (state, event) {
        (_, Restarted(announced)) => announced.into(),
        (LifeState::Draining, Announced(AnnouncedState::Starting | AnnouncedState::Ready)) => state,
        (_, Announced(announced)) => announced.into(),
        (LifeState::Starting | LifeState::Ready, HeartbeatLate) => LifeState::Suspect,
        (_, HeartbeatLate) => state,
        (_, HeartbeatLost) => LifeState::Gone,
    }
}

/// Guards against a state chart that differs from the expected transitions for any state and event.
#[test]
fn every_transition_matches_the_expected_state() {
    use AnnouncedState::{Draining, Gone, Ready, Starting};
    let mut events = vec![HeartbeatLate, HeartbeatLost];
    for announced in [Starting, Ready, Draining, Gone] {
        events.extend([Announced(announced), Restarted(announced)]);
    }
    for state in [
        LifeState::Starting,
        LifeState::Ready,
        LifeState::Suspect,
        LifeState::Draining,
        LifeState::Gone,
    ] {
        for &event in &events {
            assert_eq!(
                next_state(state, event),
                expected_state(state, event),
                "{state:?} {event:?}"
            );
        }
    }
}
