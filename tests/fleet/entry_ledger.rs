//! Tests of the evidence of an entry about its own sends.

use std::time::{Duration, Instant};

use curranthollow::fleet::crash::CrashFinding::{Concurrent, Convicted, Suspected};
use curranthollow::fleet::crash::{CrashFinding, CrashLedger, CrashReport};
use yare::parameterized;

const DIGEST: u128 = 7;

/// Returns the findings of a ledger on crashes at the given times, in milliseconds: send, loss of the
/// connection, record.
fn findings(mut ledger: CrashLedger, crashes: &[(u64, u64, u64)]) -> Vec<CrashFinding> {
    let start = Instant::now() + Duration::from_secs(600);
    let mut found = Vec::new();
    for (number, (sent, broken, recorded)) in crashes.iter().enumerate() {
        let report = CrashReport {
            digest: DIGEST,
            server: format!("s{number}").into(),
            started: 1,
            ran_for: Duration::from_millis(broken - sent),
            age: Duration::from_millis(recorded - broken),
        };
        found.push(ledger.record_crash(start + Duration::from_millis(*recorded), &report));
    }
    found
}

/// Guards against an entry that sends a crashing request a fourth time because its three attempts took
/// less than the time in which a rack fails.
#[parameterized(
    attempts_in_sequence = { CrashLedger::of_entry(), &[(0, 2, 3), (5, 7, 8), (10, 12, 13)], Convicted },
    attempts_side_by_side = { CrashLedger::of_entry(), &[(0, 2, 3), (1, 7, 8), (2, 12, 13)], Concurrent },
    attempt_before_the_last_was_known = { CrashLedger::of_entry(), &[(0, 2, 3), (5, 7, 10), (9, 12, 13)], Concurrent },
    reports_of_several_entries = { CrashLedger::default(), &[(0, 2, 3), (5, 7, 8), (10, 12, 13)], Concurrent },
)]
fn attempts_in_sequence_are_no_burst(
    ledger: CrashLedger,
    crashes: &[(u64, u64, u64)],
    third: CrashFinding,
) {
    let expected = [Suspected { crashes: 1 }, Suspected { crashes: 2 }, third];
    assert_eq!(findings(ledger, crashes), expected);
}

/// Guards against an innocent request that stays convicted at an entry after a server completed it.
#[test]
fn a_success_clears_the_own_evidence_of_an_entry() {
    let now = Instant::now();
    let mut ledger = CrashLedger::of_entry();
    for (number, server) in ["a", "b", "c"].iter().enumerate() {
        let now = now + Duration::from_secs(number as u64);
        let report = CrashReport {
            digest: DIGEST,
            server: (*server).into(),
            started: 1,
            ran_for: Duration::from_millis(90),
            age: Duration::ZERO,
        };
        ledger.record_crash(now, &report);
    }
    assert_eq!(ledger.counted_crashes(DIGEST), 3);
    assert!(ledger.record_served(DIGEST));
    assert_eq!(ledger.counted_crashes(DIGEST), 0);
}
