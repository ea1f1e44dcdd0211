//! Tests of the identity of a request and of the evidence against it.

use std::time::{Duration, Instant};

use curranthollow::fleet::crash::CrashFinding::{Concurrent, Convicted, Repeated, Suspected};
use curranthollow::fleet::crash::{
    CrashFinding, CrashLedger, CrashReport, DIGEST_PIECE_BYTES, MAX_SUSPECTS, request_digest,
    request_digest_in_pieces,
};
use curranthollow::http::{HttpLimits, RequestHead};
use curranthollow::ids::RequestDigest;
use yare::parameterized;

/// Event at a time in milliseconds.
#[derive(Clone, Copy)]
enum LedgerEvent {
    /// Server, incarnation, `ran_for` and `age` in milliseconds.
    Crash(&'static str, u64, u64, u64),
    Served,
    Probation,
    Expire,
}

use LedgerEvent::{Crash, Expire, Probation, Served};

fn report(
    digest: RequestDigest,
    server: &str,
    started: u64,
    ran_for: u64,
    age: u64,
) -> CrashReport {
    CrashReport {
        digest,
        server: server.into(),
        started,
        ran_for: Duration::from_millis(ran_for),
        age: Duration::from_millis(age),
    }
}

/// Returns the findings on the crashes and the number of crashes that count at the end.
fn findings(events: &[(u64, LedgerEvent)]) -> (Vec<CrashFinding>, usize) {
    let start = Instant::now();
    let mut ledger = CrashLedger::default();
    let mut found = Vec::new();
    for (at, event) in events {
        let now = start + Duration::from_secs(600) + Duration::from_millis(*at);
        match *event {
            Crash(server, started, ran_for, age) => {
                found.push(ledger.record_crash(now, &report(7, server, started, ran_for, age)));
            }
            Served => {
                ledger.record_served(7);
            }
            Probation => ledger.set_probation(now, 7),
            Expire => ledger.expire(now),
        }
    }
    (found, ledger.counted_crashes(7))
}

/// Guards against requests that are convicted on crashes that do not separate them from others, and
/// against crashing requests that are not convicted.
#[parameterized(
    three_in_a_row = { &[(100, Crash("a", 1, 90, 0)), (300, Crash("b", 1, 90, 0)), (500, Crash("c", 1, 90, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Convicted], 3 },
    same_server_in_new_incarnations = { &[(100, Crash("a", 1, 90, 0)), (300, Crash("a", 2, 90, 0)), (500, Crash("a", 3, 90, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Convicted], 3 },
    one_crash_told_by_three_entries = { &[(100, Crash("a", 1, 90, 0)), (300, Crash("a", 1, 90, 0)), (500, Crash("a", 1, 90, 0))], &[Suspected { crashes: 1 }, Repeated, Repeated], 1 },
    a_rack_fails = { &[(100, Crash("a", 1, 90, 0)), (101, Crash("b", 1, 50, 0)), (102, Crash("c", 1, 200, 0))], &[Suspected { crashes: 1 }, Concurrent, Concurrent], 1 },
    a_rack_fails_and_reports_are_late = { &[(100, Crash("a", 1, 90, 0)), (1900, Crash("b", 1, 50, 1800)), (2100, Crash("c", 1, 60, 2000))], &[Suspected { crashes: 1 }, Concurrent, Concurrent], 1 },
    resent_into_a_failing_rack = { &[(100, Crash("a", 1, 90, 0)), (110, Crash("b", 1, 7, 0)), (149, Crash("c", 1, 30, 0)), (150, Crash("d", 1, 30, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Concurrent, Convicted], 3 },
    resent_at_once_after_a_late_report = { &[(1100, Crash("a", 1, 90, 1000)), (1200, Crash("b", 1, 90, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }], 2 },
    within_the_tolerance = { &[(100, Crash("a", 1, 90, 0)), (200, Crash("b", 1, 120, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }], 2 },
    beyond_the_tolerance = { &[(100, Crash("a", 1, 90, 0)), (200, Crash("b", 1, 121, 0))], &[Suspected { crashes: 1 }, Concurrent], 1 },
    served_in_between = { &[(100, Crash("a", 1, 90, 0)), (300, Crash("b", 1, 90, 0)), (400, Served), (600, Crash("c", 1, 90, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Suspected { crashes: 1 }], 1 },
    served_between_crashes_of_others = { &[(0, Crash("z", 1, 9, 0)), (50, Served), (100, Crash("a", 1, 9, 0)), (300, Crash("b", 1, 9, 0)), (500, Crash("c", 1, 9, 0)), (700, Crash("d", 1, 9, 0)), (900, Crash("e", 1, 9, 0)), (1100, Crash("f", 1, 9, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 1 }, Suspected { crashes: 2 }, Suspected { crashes: 3 }, Suspected { crashes: 4 }, Suspected { crashes: 5 }, Convicted], 6 },
    told_again_after_served = { &[(100, Crash("a", 1, 90, 0)), (200, Served), (300, Crash("a", 1, 90, 0))], &[Suspected { crashes: 1 }, Repeated], 0 },
    told_again_after_concurrent = { &[(100, Crash("a", 1, 90, 0)), (101, Crash("b", 1, 90, 0)), (400, Crash("b", 1, 90, 0))], &[Suspected { crashes: 1 }, Concurrent, Repeated], 1 },
    served_after_conviction = { &[(100, Crash("a", 1, 9, 0)), (300, Crash("b", 1, 9, 0)), (500, Crash("c", 1, 9, 0)), (600, Served)], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Convicted], 3 },
    evidence_expires = { &[(0, Crash("a", 1, 90, 0)), (30_000, Crash("b", 1, 90, 0)), (60_000, Crash("c", 1, 90, 0))], &[Suspected { crashes: 1 }, Suspected { crashes: 2 }, Suspected { crashes: 2 }], 2 },
    evidence_is_removed = { &[(0, Crash("a", 1, 90, 0)), (60_000, Expire)], &[Suspected { crashes: 1 }], 0 },
    too_old_to_count = { &[(0, Crash("a", 1, 90, 60_000))], &[Concurrent], 0 },
    one_crash_on_probation = { &[(0, Probation), (59_999, Crash("a", 1, 90, 0))], &[Convicted], 1 },
    one_crash_after_probation = { &[(0, Probation), (60_000, Crash("a", 1, 90, 0))], &[Suspected { crashes: 1 }], 1 },
    probation_drops_the_evidence = { &[(0, Crash("a", 1, 90, 0)), (100, Probation)], &[Suspected { crashes: 1 }], 0 },
)]
fn crashes_are_counted(events: &[(u64, LedgerEvent)], expected: &[CrashFinding], counted: usize) {
    assert_eq!(findings(events), (expected.to_vec(), counted));
}

/// Guards against durations of a faulty peer that overflow the clock.
#[test]
fn extreme_durations_do_not_panic() {
    let mut ledger = CrashLedger::default();
    for (ran_for, age) in [(u64::MAX, 0), (0, u64::MAX), (u64::MAX, u64::MAX), (u64::MAX, 59_999)] {
        ledger.record_crash(Instant::now(), &report(1, "a", 1, ran_for, age));
    }
}

/// Guards against memory that grows with the number of different requests or incarnations.
#[test]
fn the_ledger_is_bounded() {
    let now = Instant::now();
    let mut ledger = CrashLedger::default();
    for number in 0..MAX_SUSPECTS as u64 + 100 {
        let now = now + Duration::from_millis(number);
        ledger.record_crash(now, &report(number.into(), "a", number, 0, 0));
    }
    assert_eq!(ledger.len(), MAX_SUSPECTS);
    assert_eq!(ledger.counted_crashes(99), 0, "the oldest went first");
    assert_eq!(ledger.counted_crashes(100), 1);
    for started in 0..1000 {
        ledger
            .record_crash(now + Duration::from_secs(20 + started), &report(5, "b", started, 0, 0));
    }
    assert!(ledger.crashed_servers(5).len() <= 16);
}

/// Guards against evidence that a new leader drops because it gets older reports after newer ones.
#[test]
fn the_order_of_reports_does_not_matter() {
    let now = Instant::now() + Duration::from_secs(600);
    let reports =
        [("a", 3000), ("b", 2000), ("c", 1000)].map(|(name, age)| report(7, name, 1, 30, age));
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut ledger = CrashLedger::default();
        for number in order {
            ledger.record_crash(now, &reports[number]);
        }
        assert_eq!(ledger.counted_crashes(7), 3, "{order:?}");
    }
}

/// Guards against innocent requests that are convicted on crashes that a convicted request explains.
#[test]
fn a_convicted_request_explains_its_crashes() {
    let mut now = Instant::now();
    let mut ledger = CrashLedger::default();
    for server in ["a", "b"] {
        now += Duration::from_secs(1);
        for digest in [1, 2] {
            ledger.record_crash(now, &report(digest, server, 1, 90, 0));
        }
    }
    now += Duration::from_secs(1);
    assert_eq!(ledger.record_crash(now, &report(1, "c", 1, 90, 0)), Convicted);
    assert_eq!(ledger.counted_crashes(1), 3);
    assert_eq!(ledger.counted_crashes(2), 0);
    assert_eq!(ledger.record_crash(now, &report(2, "c", 1, 90, 0)), Concurrent);
    assert_eq!(ledger.record_crash(now, &report(3, "c", 1, 90, 0)), Concurrent);
}

fn parse_head(head: &str) -> RequestHead {
    let head = head.replace('\n', "\r\n") + "\r\n\r\n";
    let parsed = RequestHead::parse(head.as_bytes(), &HttpLimits::default());
    parsed.expect("the head is valid").expect("the head is complete").0
}

fn digest_of(head: &str, body: &str) -> RequestDigest {
    request_digest("authorization", &parse_head(head), body.as_bytes())
}

/// Guards against an entry whose only thread hashes a long body while all other requests wait.
#[test]
fn other_tasks_run_while_a_long_body_is_hashed() {
    const PIECES: usize = 40;
    let (head, body) =
        (parse_head("POST /a HTTP/1.1\nhost: h"), vec![7; PIECES * DIGEST_PIECE_BYTES]);
    let mut turns = 0;
    let other_task = async {
        loop {
            turns += 1;
            tokio::task::yield_now().await;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let digest = runtime.expect("a runtime can be built").block_on(async {
        tokio::select! {
            biased;
            digest = request_digest_in_pieces("authorization", &head, &body) => digest,
            () = other_task => unreachable!("the other task does not end"),
        }
    });
    assert_eq!(digest, request_digest("authorization", &head, &body));
    assert_eq!(turns, PIECES - 1);
}

/// Guards against two requests that share a quarantine, and against one that escapes it by a header
/// that changes with each attempt.
#[parameterized(
    same = { "GET /a HTTP/1.1\nhost: h", "", true },
    other_headers = { "GET /a HTTP/1.1\nx-request-id: 9\nuser-agent: u\nhost: h", "", true },
    port_and_case_of_the_host = { "GET /a HTTP/1.1\nhost: H:80", "", true },
    other_method = { "HEAD /a HTTP/1.1\nhost: h", "", false },
    other_host = { "GET /a HTTP/1.1\nhost: i", "", false },
    other_path = { "GET /b HTTP/1.1\nhost: h", "", false },
    other_query = { "GET /a?q HTTP/1.1\nhost: h", "", false },
    other_caller = { "GET /a HTTP/1.1\nhost: h\nauthorization: x", "", false },
    other_cookie = { "GET /a HTTP/1.1\nhost: h\ncookie: x", "", false },
    with_body = { "GET /a HTTP/1.1\nhost: h\ncontent-length: 1", "x", false },
)]
fn digests_identify_requests(head: &str, body: &str, same: bool) {
    let digest = digest_of("GET /a HTTP/1.1\nhost: h", "");
    assert_eq!(digest_of(head, body) == digest, same);
}

/// Guards against bytes that move from one field to the next without changing the digest.
#[test]
fn fields_are_separated() {
    let digests = [
        digest_of("POST /a HTTP/1.1\nhost: h\nauthorization: x\ncookie: y", "z"),
        digest_of("POST /a HTTP/1.1\nhost: h\nauthorization: xy", "z"),
        digest_of("POST /a HTTP/1.1\nhost: h\ncookie: x\ncookie: y", "z"),
        digest_of("POST /a HTTP/1.1\nhost: h\ncookie: x", "yz"),
        digest_of("POST /ah HTTP/1.1\nhost: ", "xyz"),
    ];
    let distinct: std::collections::BTreeSet<_> = digests.into_iter().collect();
    assert_eq!(distinct.len(), digests.len());
}
