//! Tests of the links to control members that start.

use std::time::{Duration, Instant};

use curranthollow::fleet::control::peer_retry::{FrameBacklog, QueuedFrame, RetryDelay};
use curranthollow::fleet::control::peers::PeerLinks;
use curranthollow::fleet::link::{self, LinkMessage};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use crate::harness::free_address;

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

/// Guards against a message to a starting member that is dropped because its first dial was refused.
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
    let listener = TcpListener::bind(peer).await.expect("the port is free");
    let receive = async {
        let (stream, _) = listener.accept().await.expect("the link is opened");
        let (_writer, mut reader) = link::accept(stream).await.expect("it is a link");
        while let Ok(received) = reader.receive().await {
            if matches!(received, LinkMessage::Removed { member: 7 }) {
                return true;
            }
        }
        false
    };
    timeout(Duration::from_secs(2), receive).await.unwrap_or(false)
}
