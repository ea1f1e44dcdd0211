//! Tests of the replicated state and of an entry's copy of it.

use std::time::Duration;

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::document::{CallerLimits, Repetition};
use curranthollow::fleet::document::{RouteDocument, RouteRule, ServiceRule};
use curranthollow::fleet::link::{self, FollowMode, LinkMessage};
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::fleet::update::FleetReplica;
use yare::parameterized;

fn new_announcement(
    port: u16,
    state: ServerState,
    started: u64,
    sequence: u64,
) -> ServerAnnouncement {
    ServerAnnouncement {
        service: "rounds".into(),
        address: ([127, 0, 0, 1], port).into(),
        availability_zone: "a".into(),
        slots: 4,
        state,
        warmup: Duration::ZERO,
        started,
        sequence,
    }
}

fn state_after(commands: impl IntoIterator<Item = FleetCommand>) -> FleetState {
    let mut state = FleetState::default();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, command);
    }
    state
}

fn announce(server: &str, announcement: ServerAnnouncement) -> FleetCommand {
    FleetCommand::Announce(server.into(), announcement)
}

use ServerState::{Draining, Ready};

/// Guards against late and reordered announcements that bring a server back.
#[parameterized(
    late_ready_after_drain = { vec![("s", new_announcement(1, Draining, 5, 9)), ("s", new_announcement(1, Ready, 5, 8))], Some(Draining) },
    ready_again_after_drain = { vec![("s", new_announcement(1, Draining, 5, 9)), ("s", new_announcement(1, Ready, 5, 10))], Some(Draining) },
    new_incarnation_after_drain = { vec![("s", new_announcement(1, Draining, 5, 9)), ("s", new_announcement(1, Ready, 6, 1))], Some(Ready) },
    late_earlier_incarnation = { vec![("s", new_announcement(1, Ready, 6, 1)), ("s", new_announcement(1, Draining, 5, 90))], Some(Ready) },
    address_has_a_newer_owner = { vec![("s", new_announcement(1, Ready, 5, 1)), ("t", new_announcement(1, Ready, 6, 1))], None },
    late_owner_of_the_address = { vec![("t", new_announcement(1, Ready, 6, 1)), ("s", new_announcement(1, Ready, 5, 1))], None },
)]
fn the_newest_announcement_wins(
    announcements: Vec<(&str, ServerAnnouncement)>,
    expected: Option<ServerState>,
) {
    let state = state_after(
        announcements.into_iter().map(|(server, announcement)| announce(server, announcement)),
    );
    let record = state.servers().get("s");
    assert_eq!(record.map(|record| record.announcement.state), expected);
}

/// Guards against a heartbeat that arrives after the server has left.
#[test]
fn a_server_that_left_returns_only_in_a_new_incarnation() {
    let leave = FleetCommand::Leave("s".into(), None);
    let mut state = state_after([announce("s", new_announcement(1, Ready, 5, 1)), leave]);
    assert!(!state.needs_replication(&("s".into(), new_announcement(1, Ready, 5, 2))));
    state.apply(3, announce("s", new_announcement(1, Ready, 5, 2)));
    assert!(state.servers().is_empty());
    state.apply(4, announce("s", new_announcement(1, Ready, 6, 1)));
    assert!(state.servers().contains_key("s"));
}

/// Guards against a server that left, or that drains, and is in use again after a restart of a member:
/// a heartbeat from before arrives only then.
#[test]
fn a_server_that_left_stays_gone_after_a_restart() {
    let state = state_after([
        announce("gone", new_announcement(1, Ready, 5, 1)),
        announce("drains", new_announcement(2, Ready, 5, 1)),
        FleetCommand::Leave("gone".into(), Some(5)),
        announce("drains", new_announcement(2, Draining, 5, 2)),
    ]);
    let mut restored = FleetState::restore(&state.snapshot()).expect("the snapshot is valid");
    restored.apply(5, announce("gone", new_announcement(1, Ready, 5, 9)));
    restored.apply(6, announce("drains", new_announcement(2, Ready, 5, 9)));
    assert!(!restored.servers().contains_key("gone"));
    assert_eq!(restored.servers()["drains"].announcement.state, Draining);
}

fn random_document(random: &mut fastrand::Rng, version: u64) -> RouteDocument {
    let mut document = RouteDocument { version, ..RouteDocument::default() };
    let service =
        ServiceRule { health_path: "/h".into(), max_connections: 10, ..ServiceRule::default() };
    document.services.insert("rounds".into(), service);
    document.limits = CallerLimits::default();
    for route in 0..8 {
        if random.bool() {
            continue;
        }
        let rule = RouteRule {
            name: format!("r{route}").into(),
            repetition: Repetition::Idempotent,
            timeout: Duration::from_millis(random.u64(1..3)),
            target_latency: Duration::from_millis(1),
            max_attempts: 2,
            priority: 0,
            is_public: false,
            targets: vec![("rounds".into(), 1.0)],
        };
        document.routes.insert(("h".into(), format!("/{route}/").into()), rule);
    }
    document
}

fn random_command(random: &mut fastrand::Rng) -> FleetCommand {
    let server = format!("s{}", random.u32(0..6)).into_boxed_str();
    match random.u32(0..10) {
        0..=2 => {
            let version = random.u64(1..200);
            let document = Box::new(random_document(random, version));
            FleetCommand::PutDocument { document, text: version.to_string().into_bytes() }
        }
        3..=6 => {
            let state = if random.bool() { Ready } else { Draining };
            let (port, started) = (random.u16(1..5), random.u64(1..4));
            announce(&server, new_announcement(port, state, started, random.u64(1..9)))
        }
        7 => FleetCommand::Leave(server, random.bool().then(|| random.u64(1..4))),
        8 => FleetCommand::Silent(vec![(server, random.u64(1..4))]),
        _ => FleetCommand::Heard(vec![(server, random.u64(1..4))]),
    }
}

/// Guards against an entry whose state differs from the members' or goes back to an older one when
/// updates from several links are lost, repeated and reordered.
#[test]
fn followers_reach_the_state_and_never_go_back() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut state = FleetState::default();
        let mut follower = FleetReplica::default();
        let mut in_transit = Vec::new();
        let mut newest_version = 0;
        for index in 1..60 {
            state.apply(index, random_command(&mut random));
            let from = if random.u32(0..4) == 0 { 0 } else { follower.revision() };
            in_transit.push(state.update_since(from));
            if random.bool() {
                continue;
            }
            let update = in_transit[random.usize(0..in_transit.len())].clone();
            let before = follower.revision();
            follower.apply(update);
            assert!(follower.revision() >= before, "seed {seed}");
            let version = follower.document().map_or(0, |document| document.version);
            assert!(
                version >= newest_version,
                "seed {seed}: version {version} after {newest_version}"
            );
            newest_version = version;
        }
        follower.apply(state.update_since(follower.revision()));
        let restored = FleetState::restore(&state.snapshot()).expect("a snapshot can be read");
        assert_eq!(restored, state, "seed {seed}");
        assert_eq!(follower.revision(), state.revision(), "seed {seed}");
        if state.text().is_some() {
            assert_eq!(follower.document(), Some(state.document()), "seed {seed}");
        }
        let followed: Vec<_> =
            follower.servers().iter().map(|(id, view)| (id, &view.announcement)).collect();
        let records = state.servers().iter();
        let expected: Vec<_> = records.map(|(id, record)| (id, &record.announcement)).collect();
        assert_eq!(followed, expected, "seed {seed}");
    }
}

/// Guards against replicated bytes that make the member that decodes them panic.
#[test]
fn malformed_commands_and_snapshots_do_not_panic() {
    let mut random = fastrand::Rng::with_seed(11);
    let valid_bytes = announce("s", new_announcement(1, Ready, 1, 1)).encode();
    for _ in 0..2000 {
        let mut bytes = valid_bytes.clone();
        for _ in 0..random.usize(1..4) {
            let position = random.usize(0..bytes.len());
            bytes[position] = random.u8(..);
        }
        bytes.truncate(random.usize(0..=bytes.len()));
        // Decoding may succeed or fail; it must not panic.
        let _ = FleetCommand::decode(&bytes);
        let _ = FleetState::restore(&bytes);
    }
}

/// Time that a complete update may occupy an entry's line, and the speed of the slowest line in use
/// in bits per second.
const MAX_TRANSFER_TIME: Duration = Duration::from_millis(50);
const SLOWEST_LINE_BITS_PER_S: f64 = 3.8e6;

/// Guards against entries that wait for their initial state because it fills a slow line: with
/// field names, 255 servers took over 50 KB, and three members sent it at the same time.
#[test]
fn a_complete_update_fits_a_slow_line() {
    let mut state = FleetState::default();
    let mut document = RouteDocument { version: 40, ..RouteDocument::default() };
    for service in ["micu8a", "deye99b", "migo9c"] {
        let rule = ServiceRule {
            health_path: "/healthz".into(),
            max_connections: 1180,
            ..ServiceRule::default()
        };
        document.services.insert(service.into(), rule);
    }
    for route in 0..11 {
        let rule = RouteRule {
            name: format!("r-73hh2b{route}").into(),
            repetition: Repetition::Idempotent,
            timeout: Duration::from_secs(2),
            target_latency: Duration::from_secs(1),
            max_attempts: 2,
            priority: 2,
            is_public: false,
            targets: vec![("micu8a".into(), 90.0), ("deye99b".into(), 10.0)],
        };
        let key = ("jepu9.example".into(), format!("/lepu27{route}/").into());
        document.routes.insert(key, rule);
    }
    state.apply(1, FleetCommand::PutDocument { document: Box::new(document), text: vec![1] });
    for number in 0..455_u64 {
        let server = format!("i-{:010x}", number * 7_777_777).into_boxed_str();
        let port = u16::try_from(8000 + number).expect("ports are small");
        let mut announcement = new_announcement(port, Ready, 1_789_014_446_394 + number, 30);
        announcement.service = ["micu8a", "deye99b", "migo9c"][(number % 3) as usize].into();
        announcement.availability_zone = "lakes-central".into();
        state.apply(number + 2, FleetCommand::Announce(server.clone(), announcement));
        if number >= 255 {
            state.apply(number + 2, FleetCommand::Leave(server, None));
        }
    }
    let frame = link::encode(&LinkMessage::Update(state.update_since(0)));
    let transfer_time = Duration::from_secs_f64(frame.len() as f64 * 8.0 / SLOWEST_LINE_BITS_PER_S);
    assert!(transfer_time <= MAX_TRANSFER_TIME, "{} bytes take {transfer_time:?}", frame.len());
}

/// Guards against frames of a faulty or foreign peer that make the decoding process panic, or the
/// state to which they are applied.
#[test]
fn malformed_frames_do_not_panic() {
    let mut state = state_after([announce("s", new_announcement(1, Ready, 1, 1))]);
    let document = RouteDocument { version: 3, ..RouteDocument::default() };
    state.apply(2, FleetCommand::PutDocument { document: Box::new(document), text: vec![1] });
    let messages = [
        LinkMessage::Follow { name: "e".into(), revision: 7, mode: FollowMode::UpdateParts },
        LinkMessage::Join { name: "127.0.0.1:1".into(), member: 9, listed_at: Some(3) },
        LinkMessage::Removed { member: 9 },
        LinkMessage::Seen(vec![("s".into(), 1)]),
        LinkMessage::Update(state.update_since(0)),
        LinkMessage::Update(state.update_since(1)),
    ];
    let mut random = fastrand::Rng::with_seed(17);
    for message in &messages {
        let valid_bytes = link::encode(message);
        for _ in 0..2000 {
            let mut bytes = valid_bytes.to_vec();
            for _ in 0..random.usize(1..4) {
                let position = random.usize(0..bytes.len());
                bytes[position] = random.u8(..);
            }
            bytes.truncate(random.usize(0..=bytes.len()));
            // Decoding may succeed or fail; it must not panic.
            let decoded = ciborium::from_reader::<LinkMessage, _>(&bytes[..]);
            if let Ok(LinkMessage::Update(update)) = decoded {
                FleetReplica::default().apply(update);
            }
        }
    }
}
