//! Request hedging: a second attempt while the first one is slow.

use std::time::Duration;

use async_std::task;
use curranthollow::stand_in::{StandInMode, StandInServer};
use yare::parameterized;

use super::harness::{TestEntry, ample_limits, get, send, stand_in, wait_until};

/// Requests sent first, so that the latency quantile is known and the retry budget is filled.
const WARMUP_REQUESTS: u64 = 80;

struct HedgeFixture {
    entry: TestEntry,
    stalled: StandInServer,
    quick: StandInServer,
    /// Hedges before the stall; on a busy machine normal requests can be slow enough to be hedged.
    hedges_before_stall: u64,
}

impl HedgeFixture {
    /// Starts an entry with two servers, one of which stalls once latencies are known.
    async fn start(quantile: &str) -> Self {
        let service = format!(
            r#""servers": {{ "slots": 2 }},
               "retry": {{ "budget_percent": 10, "hedge_quantile": "{quantile}" }}"#
        );
        let entry = TestEntry::start(&[("blue", &service)], ample_limits()).await;
        let (stalled, quick) = (stand_in().await, stand_in().await);
        entry.add_server("blue", "s1", stalled.address(), 2);
        entry.add_server("blue", "s2", quick.address(), 2);
        for _ in 0..WARMUP_REQUESTS {
            let response = send(entry.address, &get("/blue")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        stalled.set_mode(StandInMode::Stall);
        let hedges_before_stall = count_hedges(&entry);
        Self { entry, stalled, quick, hedges_before_stall }
    }

    fn hedges(&self) -> u64 {
        count_hedges(&self.entry) - self.hedges_before_stall
    }

    /// Sends requests until `is_at_stalled_server` reports that one has reached the stalled server;
    /// returns all responses.
    async fn send_until(
        &self,
        request: Vec<u8>,
        is_at_stalled_server: impl Fn() -> bool,
    ) -> Vec<String> {
        let mut pending = Vec::new();
        for _ in 0..40 {
            let (address, request) = (self.entry.address, request.clone());
            let before = self.quick.runs().total;
            pending.push(task::spawn(async move { send(address, &request).await }));
            wait_until("the request's arrival", || {
                is_at_stalled_server() || self.quick.runs().total > before
            })
            .await;
            if is_at_stalled_server() {
                break;
            }
        }
        assert!(is_at_stalled_server(), "no request was sent to the stalled server");
        // An unwanted hedge would normally be sent within this time; a later one goes unnoticed.
        task::sleep(Duration::from_millis(100)).await;
        self.stalled.set_mode(StandInMode::Normal);
        let mut responses = Vec::new();
        for response in pending {
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
/// leaking the connection or slot of the cancelled attempt.
#[test]
fn stalled_read_is_answered_by_other_server() {
    task::block_on(async {
        let fixture = HedgeFixture::start("p95").await;
        let (mut sent, before) = (0, fixture.stalled.runs().total);
        while fixture.hedges() == 0 || fixture.stalled.runs().total == before {
            assert!(sent < 40, "no request was hedged");
            sent += 1;
            let response = send(fixture.entry.address, &get("/blue")).await;
            assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
        }
        let runtime = fixture.entry.runtime("blue");
        wait_until("the return of all slots", || runtime.occupied_slots() == 0).await;
        wait_until("the end of the stalled run", || fixture.stalled.slots().running == 0).await;
        let pool = &fixture.entry.context.pool;
        let counts = pool.counts(fixture.stalled.address());
        assert_eq!(counts.open, counts.idle, "the connection of the cancelled attempt is closed");
        let quick = pool.counts(fixture.quick.address());
        assert_eq!(
            quick.open, quick.idle,
            "the connection of the winning attempt is returned to the pool"
        );
    });
}

/// Guards against hedging requests that the caller retries itself, that are not reads, or for which
/// the settings disable hedging.
#[parameterized(
    outer_retry = { "p95", "GET /blue HTTP/1.1\r\nHost: x\r\nX-Retry-Attempt: 1\r\nConnection: close\r\n\r\n" },
    options = { "p95", "OPTIONS /blue HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
    settings = { "off", "GET /blue HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" },
)]
fn excluded_requests_are_not_hedged(quantile: &str, request: &str) {
    let (quantile, request) = (quantile.to_owned(), request.as_bytes().to_vec());
    task::block_on(async move {
        let fixture = HedgeFixture::start(&quantile).await;
        let is_stalled = || fixture.stalled.slots().running > 0;
        let responses = fixture.send_until(request, is_stalled).await;
        assert!(responses.iter().all(|response| response.starts_with("HTTP/1.1 200 ")));
        assert_eq!(fixture.hedges(), 0);
    });
}
