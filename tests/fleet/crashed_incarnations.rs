//! Tests of the incarnation to which a crash is attributed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::{ServerAnnouncement, ServerState};
use curranthollow::fleet::entry::crash_evidence::{BrokenSend, CrashedIncarnations};
use curranthollow::fleet::update::ServerView;
use curranthollow::ids::ServerId;
use yare::parameterized;

fn servers(started: u64) -> BTreeMap<ServerId, ServerView> {
    let announcement = ServerAnnouncement {
        service: "rounds".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        availability_zone: "a".into(),
        slots: 4,
        state: ServerState::Ready,
        warmup: Duration::ZERO,
        started,
        sequence: 1,
    };
    BTreeMap::from([("s1".into(), ServerView { announcement, silent: false })])
}

/// Guards against crashes that do not count because a restarted server ran the request again before its
/// new incarnation was announced: they looked like the crash before.
#[parameterized(
    copy_of_the_same_crash = { 1, 950, 1, Some(1) },
    connection_not_yet_known_as_lost = { 1, 1020, 1, Some(1) },
    restarted_and_not_announced = { 1, 3000, 1, None },
    restarted_and_announced_since = { 1, 3000, 2, Some(2) },
    restarted_and_announced_before = { 2, 3000, 2, Some(2) },
)]
fn crashes_are_attributed(started: u64, sent_ms: u64, announced: u64, reached: Option<u64>) {
    let start = Instant::now();
    let mut crashed = CrashedIncarnations::default();
    crashed.record(&"s1".into(), 1, start + Duration::from_millis(1000));
    let sent_at = start + Duration::from_millis(sent_ms);
    let send = BrokenSend {
        request: "r1".into(),
        digest: 7,
        server: "s1".into(),
        started,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        sent_at,
        broken_at: sent_at + Duration::from_millis(80),
    };
    assert_eq!(crashed.find_reached(&send, &servers(announced)), reached);
}

/// Guards against memory that grows with the number of servers that ever crashed.
#[test]
fn crashed_incarnations_expire() {
    let now = Instant::now();
    let mut crashed = CrashedIncarnations::default();
    for number in 0..10 {
        crashed.record(&format!("s{number}").into(), 1, now);
    }
    assert_eq!(crashed.len(), 10);
    crashed.expire(now + Duration::from_secs(60));
    assert!(crashed.is_empty());
}
