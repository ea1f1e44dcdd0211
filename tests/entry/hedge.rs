//! Second attempts beside a slow first one.

use std::time::Duration;

use async_std::task;
use curranthollow::stand_in::{StandInMode, StandInServer};
use yare::parameterized;

use super::harness::{TestEntry, get, send, stand_in, wait_until, wide_limits};

/// Requests that make the latency quantile known and earn budget.
const USUAL_REQUESTS: u64 = 80;

struct HedgeWorld {
    entry: TestEntry,
    stalled: StandInServer,
    quick: StandInServer,
    /// Hedges before the stall; on a busy machine usual requests can be slow as well.
    earlier_hedges: u64,
}

impl HedgeWorld {
    /// Two servers, one of which stalls once latencies are known.
    async fn start(quantile: &str) -> Self {
        let service = format!(
            r#""servers": {{ "slots": 2 }},
               "retry": {{ "budget_percent": 10, "hedge_quantile": "{quantile}" }}"#
        );
        let entry = TestEntry::start(&[("blue", &service)], wide_limits()).await;
        let (stalled, quick) = (stand_in().await, stand_in().await);
        entry.add_server("blue", "s1", stalled.address(), 2);
        entry.add_server("blue", "s2", quick.address(), 2);
        for _ in 0..USUAL_REQUESTS {
            let response = send(entry.address, &get("/blue")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        stalled.set_mode(StandInMode::Stall);
        let earlier_hedges = count_hedges(&entry);
        Self { entry, stalled, quick, earlier_hedges }
    }

    fn hedges(&self) -> u64 {
        count_hedges(&self.entry) - self.earlier_hedges
    }

    /// Sends requests until one is at the stalled server; `end` tells when it is there.
    async fn send_until(&self, request: Vec<u8>, end: impl Fn() -> bool) -> Vec<String> {
        let mut open = Vec::new();
        for _ in 0..40 {
            let (address, request) = (self.entry.address, request.clone());
            let before = self.quick.runs().total;
            open.push(task::spawn(async move { send(address, &request).await }));
            wait_until("the request's arrival", || end() || self.quick.runs().total > before).await;
            if end() {
                break;
            }
        }
        assert!(end(), "no request was sent to the stalled server");
        // A wrong hedge would be sent within this time; a late one only hides the failure.
        task::sleep(Duration::from_millis(100)).await;
        self.stalled.set_mode(StandInMode::Normal);
        let mut responses = Vec::new();
        for response in open {
            responses.push(response.await);
        }
        responses
    }
}

fn count_hedges(entry: &TestEntry) -> u64 {
    let metrics = entry.context.metrics.encode();
    let line = metrics.lines().find(|line| line.starts_with("curranthollow_hedges_total{"));
    line.map_or(0, |line| line.rsplit(' ').next().expect("a value").parse().expect("a number"))
}

/// Guards against a read that waits for a stalled server although another one is free, and against
/// a loser whose connection or slot stays in use.
#[test]
fn stalled_read_is_answered_by_other_server() {
    task::block_on(async {
        let world = HedgeWorld::start("p95").await;
        let (mut sent, before) = (0, world.stalled.runs().total);
        while world.hedges() == 0 || world.stalled.runs().total == before {
            assert!(sent < 40, "no request was hedged");
            sent += 1;
            let response = send(world.entry.address, &get("/blue")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let runtime = world.entry.runtime("blue");
        wait_until("the return of all slots", || runtime.open() == 0).await;
        wait_until("the end of the stalled run", || world.stalled.slots().running == 0).await;
        let pool = &world.entry.context.pool;
        let counts = pool.counts(world.stalled.address());
        assert_eq!(counts.open, counts.idle, "the loser's connection is closed");
        let quick = pool.counts(world.quick.address());
        assert_eq!(quick.open, quick.idle, "the winner's connection is returned");
    });
}

/// Guards against hedges of requests that an outer layer repeats, that are no reads, or that the
/// settings exclude.
#[parameterized(
    outer_retry = { "p95", "GET /blue HTTP/1.1\r\nHost: x\r\nX-Retry-Attempt: 1\r\nConnection: close\r\n\r\n" },
    options = { "p95", "OPTIONS /blue HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
    settings = { "off", "GET /blue HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
)]
fn excluded_requests_are_not_hedged(quantile: &str, request: &str) {
    let (quantile, request) = (quantile.to_owned(), request.as_bytes().to_vec());
    task::block_on(async move {
        let world = HedgeWorld::start(&quantile).await;
        let is_stalled = || world.stalled.slots().running > 0;
        let responses = world.send_until(request, is_stalled).await;
        assert!(responses.iter().all(|response| response.starts_with("HTTP/1.1 200 ")));
        assert_eq!(world.hedges(), 0);
    });
}
