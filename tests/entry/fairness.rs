//! Isolation of teams: a flood of one team while another team sends requests.

use async_std::task;
use curranthollow::entry::ProcessShare;
use curranthollow::route::team_share::ProcessLimits;
use curranthollow::stand_in::StandInMode;
use std::sync::Arc;
use yare::parameterized;

use super::harness::{TestEntry, get, send, stand_in, wait_until};

/// Guards against one team using up the open or queued requests of the process: the excess of its
/// flood is refused immediately as not run, and the other team is served.
#[parameterized(
    open_requests = { ProcessLimits { queued: 1000, open: 24, buffered_kib: 1024 }, 18 },
    queued_requests = { ProcessLimits { queued: 20, open: 1000, buffered_kib: 1024 }, 17 },
)]
fn flood_leaves_room_for_neighbour(limits: ProcessLimits, expected_served: usize) {
    const FLOOD_REQUESTS: usize = 60;
    const NEIGHBOUR_REQUESTS: usize = 40;
    task::block_on(async move {
        let service = r#""servers": { "slots": 2, "queue": 1000 }"#;
        let entry = TestEntry::start(&[("blue", service), ("green", service)], limits).await;
        let (slow, quick) = (stand_in().await, stand_in().await);
        slow.set_mode(StandInMode::Stall);
        entry.add_server("blue", "s1", slow.address(), 2);
        entry.add_server("green", "s2", quick.address(), 2);
        let address = entry.address;
        let mut flood = Vec::new();
        for _ in 0..FLOOD_REQUESTS {
            flood.push(task::spawn(async move { send(address, &get("/blue")).await }));
        }
        let metrics_contain = |metrics: &str| entry.context.metrics.encode().contains(metrics);
        let refused = format!(r#"outcome="queue_full"}} {}"#, FLOOD_REQUESTS - expected_served);
        wait_until("the refusal of the flood's rest", || metrics_contain(&refused)).await;
        for _ in 0..NEIGHBOUR_REQUESTS {
            let response = send(address, &get("/green")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        assert_eq!(quick.runs().total, NEIGHBOUR_REQUESTS as u64);
        slow.set_mode(StandInMode::Normal);
        let mut served = 0;
        for request in flood {
            let response = request.await;
            let is_refused = response.contains(r#""code":"queue_full","run":"not_run""#);
            let is_served = response.starts_with("HTTP/1.1 200 ");
            assert!(is_served || is_refused, "{response}");
            served += usize::from(is_served);
        }
        assert_eq!((served, slow.runs().total), (expected_served, expected_served as u64));

        wait_until("the end of all requests", || entry.context.open_requests() == 0).await;
    });
}

/// Guards against bodies of one team using up the buffer memory of the process.
#[test]
fn buffered_bodies_are_bounded() {
    let limits = ProcessLimits { queued: 0, open: 0, buffered_kib: 100 };
    let share = ProcessShare::with_limits(limits);
    share.set_teams(&["blue".into(), "green".into()]);
    let (blue, green): (Arc<str>, Arc<str>) = ("blue".into(), "green".into());
    let first = share.try_buffer(&blue, 70 * 1024).expect("there is room");
    assert!(share.try_buffer(&blue, 5 * 1024 + 1).is_none(), "the neighbour's part is kept");
    assert!(share.try_buffer(&blue, u64::MAX).is_none());
    let _second = share.try_buffer(&blue, 5 * 1024).expect("there is room");
    assert!(share.try_buffer(&blue, 0).is_some(), "a request without a body needs no memory");
    let _neighbour = share.try_buffer(&green, 25 * 1024).expect("its part was kept");
    assert!(share.try_buffer(&green, 1).is_none());
    drop(first);
    assert!(share.try_buffer(&blue, 70 * 1024).is_some());
}
