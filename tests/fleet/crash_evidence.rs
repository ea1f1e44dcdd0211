//! Tests of the decisions about crash evidence, without network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::crash::CrashReport;
use curranthollow::fleet::entry::crash_evidence::{
    BrokenSend, CrashProof, EVIDENCE_PATIENCE, MAX_PENDING_EVIDENCE, PendingEvidence,
    ReplicaVerdict, judge,
};
use curranthollow::fleet::entry::crash_outbox::{
    CrashNotice, CrashOutbox, MAX_NOTICES, NOTICE_LIFETIME,
};
use curranthollow::fleet::entry::local_quarantine::{
    LOCAL_QUARANTINE_LIFETIME, LocalQuarantine, MAX_LOCAL_QUARANTINE, REGAIN_HOLD_TIME,
};
use curranthollow::fleet::link::LinkMessage;
use curranthollow::fleet::update::ServerView;
use curranthollow::ids::ServerId;
use yare::parameterized;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn server(
    name: &str,
    port: u16,
    started: u64,
    state: ServerState,
) -> BTreeMap<ServerId, ServerView> {
    let announcement = ServerAnnouncement {
        service: "rounds".into(),
        address: address(port),
        availability_zone: "a".into(),
        slots: 4,
        state,
        warmup: Duration::ZERO,
        started,
        sequence: 1,
    };
    BTreeMap::from([(name.into(), ServerView { announcement, silent: false })])
}

fn broken_send(digest: u128, broken_at: Instant) -> BrokenSend {
    BrokenSend {
        request: "r1".into(),
        digest,
        server: "s1".into(),
        started: 10,
        address: address(1),
        sent_at: broken_at - Duration::from_millis(30),
        broken_at,
    }
}

/// Guards against crash reports about planned stops, and against crashes that are missed because the
/// server was back before it was checked.
#[parameterized(
    still_ready = { server("s1", 1, 10, ServerState::Ready), ReplicaVerdict::Undecided },
    draining = { server("s1", 1, 10, ServerState::Draining), ReplicaVerdict::PlannedStop },
    left = { BTreeMap::new(), ReplicaVerdict::PlannedStop },
    left_beside_another = {
        server("s2", 2, 20, ServerState::Ready), ReplicaVerdict::PlannedStop
    },
    newer_incarnation = {
        server("s1", 1, 11, ServerState::Ready), ReplicaVerdict::Crashed(CrashProof::NewIncarnation)
    },
    moved_newer_incarnation = {
        server("s1", 2, 11, ServerState::Ready), ReplicaVerdict::Crashed(CrashProof::NewIncarnation)
    },
    older_incarnation = { server("s1", 1, 9, ServerState::Ready), ReplicaVerdict::Undecided },
    address_taken = {
        server("s2", 1, 20, ServerState::Ready), ReplicaVerdict::Crashed(CrashProof::AddressTaken)
    },
    earlier_holder_of_the_address = {
        server("s0", 1, 5, ServerState::Ready), ReplicaVerdict::PlannedStop
    },
)]
fn the_replica_tells_crashes_from_planned_stops(
    servers: BTreeMap<ServerId, ServerView>,
    verdict: ReplicaVerdict,
) {
    assert_eq!(judge(&servers, &"s1".into(), 10, address(1)), verdict);
}

/// Guards against evidence that outlives its patience or is confirmed twice.
#[test]
fn pending_evidence_is_confirmed_once_and_in_time() {
    let now = Instant::now();
    let mut evidence = PendingEvidence::default();
    evidence.add(now, broken_send(1, now));
    let ready = server("s1", 1, 10, ServerState::Ready);
    let restarted = server("s1", 1, 11, ServerState::Ready);
    assert!(evidence.take_confirmed(now, &ready).is_empty());
    let confirmed = evidence.take_confirmed(now + EVIDENCE_PATIENCE / 2, &restarted);
    assert_eq!(confirmed, [(broken_send(1, now), CrashProof::NewIncarnation)]);
    assert!(evidence.take_confirmed(now + EVIDENCE_PATIENCE / 2, &restarted).is_empty());
    evidence.add(now, broken_send(2, now));
    assert!(evidence.take_confirmed(now + EVIDENCE_PATIENCE, &restarted).is_empty());
    assert!(evidence.is_empty());
}

/// Guards against a planned stop that is confirmed as a crash by the next incarnation.
#[test]
fn a_planned_stop_drops_pending_evidence() {
    let now = Instant::now();
    let mut evidence = PendingEvidence::default();
    evidence.add(now, broken_send(1, now));
    assert!(evidence.take_confirmed(now, &server("s1", 1, 10, ServerState::Draining)).is_empty());
    assert!(evidence.take_confirmed(now, &server("s1", 1, 11, ServerState::Ready)).is_empty());
}

/// Guards against memory that grows with the number of lost connections.
#[test]
fn pending_evidence_is_bounded() {
    let now = Instant::now();
    let mut evidence = PendingEvidence::default();
    for digest in 0..2 * MAX_PENDING_EVIDENCE as u128 {
        evidence.add(now, broken_send(digest, now));
    }
    assert_eq!(evidence.len(), MAX_PENDING_EVIDENCE);
    let confirmed = evidence.take_confirmed(now, &server("s1", 1, 11, ServerState::Ready));
    assert_eq!(confirmed[0].0.digest, MAX_PENDING_EVIDENCE as u128);
}

fn report(digest: u128) -> CrashReport {
    let broken_at = Instant::now();
    broken_send(digest, broken_at).report(broken_at + Duration::from_millis(5))
}

/// Summary of a message: digests with the age of their reports in milliseconds.
fn summary(messages: &[LinkMessage]) -> Vec<String> {
    let mut lines = Vec::new();
    for message in messages {
        match message {
            LinkMessage::Crashes(reports) => lines.extend(
                reports.iter().map(|report| format!("crash {} {:?}", report.digest, report.age)),
            ),
            LinkMessage::Served(digests) => lines.push(format!("served {digests:?}")),
            other => lines.push(format!("{other:?}")),
        }
    }
    lines
}

/// Guards against notices that a link sends twice, in another order, or with the age at which they were
/// added.
#[test]
fn each_link_gets_each_notice_once_and_in_order() {
    let now = Instant::now();
    let mut outbox = CrashOutbox::default();
    outbox.add(now, CrashNotice::Crash(report(1)));
    let position = outbox.add(now, CrashNotice::Crash(report(2)));
    outbox.add(now, CrashNotice::Served(1));
    outbox.add(now, CrashNotice::Served(2));
    outbox.add(now, CrashNotice::Crash(report(3)));
    let later = now + Duration::from_millis(20);
    let all = outbox.messages_since(later, 0);
    assert_eq!(summary(&all), ["crash 1 25ms", "crash 2 25ms", "served [1, 2]", "crash 3 25ms"]);
    assert_eq!(all.len(), 3);
    let rest = outbox.messages_since(later, position);
    assert_eq!(summary(&rest), ["served [1, 2]", "crash 3 25ms"]);
    assert!(outbox.messages_since(later, outbox.end()).is_empty());
    assert!(outbox.messages_since(now + NOTICE_LIFETIME, 0).is_empty());
}

/// Guards against memory that grows while no member is linked, and against positions that no longer fit
/// after notices were dropped.
#[test]
fn the_outbox_is_bounded() {
    let now = Instant::now();
    let mut outbox = CrashOutbox::default();
    let count = 2 * MAX_NOTICES as u128;
    for digest in 0..count {
        outbox.add(now, CrashNotice::Served(digest));
    }
    let newest: Vec<_> = (count - MAX_NOTICES as u128..count).collect();
    assert_eq!(summary(&outbox.messages_since(now, 3)), [format!("served {newest:?}")]);
    let last = outbox.messages_since(now, outbox.end() - 1);
    assert_eq!(summary(&last), [format!("served [{}]", count - 1)]);
}

/// Guards against a local quarantine that ends while control is away, or stays after control had time to
/// decide.
#[test]
fn the_local_quarantine_holds_until_control_had_time_to_decide() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut quarantine = LocalQuarantine::default();
    quarantine.add(start, 1);
    // Control is away for three times the lifetime.
    let regained = start + 3 * LOCAL_QUARANTINE_LIFETIME;
    assert!(quarantine.contains(regained, 1));
    for number in 0..70 {
        let now = regained + number * second;
        quarantine.record_control(now);
        quarantine.expire(now);
        assert_eq!(quarantine.contains(now, 1), number < 60, "{number} s after control is back");
    }
    assert!(quarantine.is_empty());
}

/// Guards against suspects that are sent on before the decisions of a new leader arrive, and against a hold
/// at the start, when there is nothing to wait for, or without end.
#[test]
fn suspects_are_held_shortly_after_control_is_back() {
    let start = Instant::now();
    let mut quarantine = LocalQuarantine::default();
    quarantine.record_regained(start);
    assert_eq!(quarantine.regain_hold(start), None, "the first contact");
    let regained = start + Duration::from_secs(9);
    quarantine.record_regained(regained);
    assert_eq!(quarantine.regain_hold(regained), Some(REGAIN_HOLD_TIME));
    let later = regained + REGAIN_HOLD_TIME / 4;
    assert_eq!(quarantine.regain_hold(later), Some(REGAIN_HOLD_TIME * 3 / 4));
    assert_eq!(quarantine.regain_hold(regained + REGAIN_HOLD_TIME), None);
}

/// Guards against memory that an attacker fills, and against a new digest that takes the place of an old
/// one.
#[test]
fn a_full_local_quarantine_takes_no_more() {
    let now = Instant::now();
    let mut quarantine = LocalQuarantine::default();
    for digest in 0..MAX_LOCAL_QUARANTINE as u128 {
        assert!(quarantine.add(now, digest));
    }
    assert!(!quarantine.add(now, u128::MAX));
    assert!(quarantine.add(now, 0));
    assert_eq!(quarantine.len(), MAX_LOCAL_QUARANTINE);
    assert!(quarantine.contains(now, 5));
    quarantine.remove(5);
    assert!(!quarantine.contains(now, 5));
}
