//! Tests of the replacement of a control leader whose process has ended, and of the links that it needs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::control::leader_watch::{
    KnownLeader, LeaderWatch, ProbeOutcome, ProbeStep,
};
use curranthollow::fleet::control::peer_retry::{FrameBacklog, QueuedFrame, RetryDelay};
use curranthollow::fleet::control::peers::PeerLinks;
use curranthollow::fleet::link::{self, LinkMessage};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::harness::{TestFleet, document, free_address, leader};

/// Without evidence of its end, a leader is not replaced earlier: the election timeout of at least 700 ms
/// begins with its last heartbeat, which is at most 220 ms old.
const EARLIEST_TIMEOUT: Duration = Duration::from_millis(480);

/// Rounds of which one must be faster than that. A busy machine delays some.
const ROUNDS: usize = 3;

/// Time from `change`, which ends the leader's process, until a member says that it leads.
fn failover_time(fleet: &mut TestFleet, change: impl Fn(&mut TestFleet, usize)) -> Duration {
    let old = leader(fleet);
    // Until all followers are linked with the leader.
    std::thread::sleep(Duration::from_millis(600));
    let ended_at = Instant::now();
    change(fleet, old);
    leader(fleet);
    ended_at.elapsed()
}

fn fastest_failover(change: impl Fn(&mut TestFleet, usize)) -> Duration {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    let seeds = fleet.seeds.clone();
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
        times.push(failover_time(&mut fleet, &change));
        for member in &mut fleet.members {
            if !member.is_running() {
                member.start(&seeds, false);
            }
        }
    }
    println!("failover times: {times:?}");
    times.into_iter().min().expect("there are rounds")
}

/// Guards against followers that wait for the election timeout although the leader's process has ended.
#[test]
fn a_killed_leader_is_replaced_before_the_election_timeout() {
    let time = fastest_failover(|fleet, old| fleet.members[old].kill());
    assert!(time < EARLIEST_TIMEOUT, "{time:?}");
}

/// Guards against followers that wait for the former leader although its new process does not lead. It
/// may listen again before they see that the old one has ended.
#[test]
fn a_restarted_leader_is_replaced_before_the_election_timeout() {
    let time = fastest_failover(|fleet, old| {
        let seeds = fleet.seeds.clone();
        fleet.members[old].kill();
        fleet.members[old].start(&seeds, false);
    });
    assert!(time < EARLIEST_TIMEOUT, "{time:?}");
}

fn watched_leader(address: SocketAddr) -> KnownLeader {
    KnownLeader { member: 7, term: 3, address }
}

/// Guards against evidence from a closed link alone, from the link of another member, from a leader that
/// has linked again and from one that was replaced meanwhile, and against endless connections.
#[test]
fn only_a_refused_leader_without_links_has_ended() {
    let [address, other] = [free_address(), free_address()];
    let leader = Some(watched_leader(address));
    let mut watch = LeaderWatch::default();
    for member in [address, address, other] {
        watch.record_open(member);
    }
    assert!(watch.record_closed(other, leader).is_none());
    assert!(watch.record_closed(address, leader).is_none());
    let mut probe = watch.record_closed(address, leader).expect("it was the last link");
    let (refused, open) = (ProbeOutcome::Refused, ProbeOutcome::Open);
    let later = Some(KnownLeader { term: 4, ..watched_leader(address) });
    for known in [None, later] {
        assert_eq!(watch.record_outcome(&mut probe, known, refused), ProbeStep::Stop);
    }
    assert_eq!(watch.record_outcome(&mut probe, leader, refused), ProbeStep::Ended);
    let mut waited = Duration::ZERO;
    while let ProbeStep::Again { after } = watch.record_outcome(&mut probe, leader, open) {
        waited += after;
    }
    assert_eq!(waited, Duration::from_millis(508));
    watch.record_open(address);
    assert_eq!(watch.record_outcome(&mut probe, leader, refused), ProbeStep::Stop);
    assert!(watch.record_closed(address, later).is_some());
    assert!(watch.record_closed(address, later).is_none());
}

/// Guards against a backlog that grows, delivers what is outdated, or dials a lost peer all the time.
#[test]
fn a_backlog_keeps_the_newest_frames_for_a_moment() {
    let started = Instant::now();
    let frame = |number: u64| link::encode(&LinkMessage::Revision(number));
    let mut backlog = FrameBacklog::default();
    for number in 0..40 {
        let queued_at = started + Duration::from_millis(10 * number);
        backlog.push(QueuedFrame { frame: frame(number), queued_at });
    }
    backlog.drop_old(started + Duration::from_millis(510));
    for number in 27..40 {
        assert_eq!(backlog.pop(), Some(frame(number)));
    }
    assert!(backlog.is_empty());
    let mut retry = RetryDelay::default();
    let mut delay =
        |lasted: Option<u64>| retry.after_failure(lasted.map(Duration::from_millis)).as_millis();
    assert_eq!([None; 6].map(&mut delay), [10, 20, 40, 80, 150, 150]);
    assert_eq!([Some(1000), None, Some(5), None].map(&mut delay), [10, 20, 40, 80]);
}

/// Guards against a message to a starting member that is dropped because its first dial was refused, and
/// against a leader that does not notice the loss of its links, on which it stops lending.
#[test]
fn a_message_reaches_a_member_that_listens_later() {
    let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime is built");
    LocalSet::new().block_on(&runtime, async {
        // A busy machine may bind the port too late for the message.
        for attempt in 1..=5 {
            if is_delivered().await {
                return;
            }
            println!("attempt {attempt}: not delivered");
        }
        panic!("the message never arrives");
    });
}

/// Sends one message before the peer listens, and returns whether it arrives.
async fn is_delivered() -> bool {
    let peer = free_address();
    let links = PeerLinks::new("test".into());
    let message = LinkMessage::Removed { member: 7 };
    links.send(peer, &message);
    // The first dial is refused meanwhile.
    sleep(Duration::from_millis(30)).await;
    assert!(links.is_lost(peer));
    let listener = TcpListener::bind(peer).await.expect("the port is free");
    let receive = async {
        let (stream, _) = listener.accept().await.expect("the link is opened");
        let (_writer, mut reader) = link::accept(stream).await.expect("it is a link");
        while let Ok(received) = reader.receive().await {
            if matches!(received, LinkMessage::Removed { member: 7 }) {
                assert!(!links.is_lost(peer));
                return true;
            }
        }
        false
    };
    timeout(Duration::from_secs(2), receive).await.unwrap_or(false)
}
