//! Tests of an entry's own decisions on suspects, with the time passed in.

use std::time::{Duration, Instant};

use curranthollow::fleet::entry::served_digests::{MAX_SERVED, SERVED_LIFETIME, ServedDigests};
use curranthollow::fleet::entry::suspect_hold::SendDecision::{Allowed, Held, Quarantined, Trial};
use curranthollow::fleet::entry::suspect_hold::{
    FIRST_HOLD_TIME, HOLD_MEMORY, MAX_HELD, MAX_HOLD_TIME, SendDecision, SuspectHolds,
};
use curranthollow::fleet::entry::suspect_runs::SuspectRuns;
use yare::parameterized;

const DIGEST: u128 = 7;

/// Event at a time in milliseconds.
#[derive(Clone, Copy)]
enum HoldEvent {
    /// A crash that would convict the request.
    Crash,
    Served,
    Unsent,
    /// A request arrives while control is in touch.
    Arrives(SendDecision),
    /// A request arrives without control.
    ArrivesAlone(SendDecision),
}

use HoldEvent::{Arrives, ArrivesAlone, Crash, Served, Unsent};

const fn held(millis: u64) -> SendDecision {
    Held(Duration::from_millis(millis))
}

/// Guards against a final refusal of an innocent request while control can decide, and against a
/// crashing request that is sent on meanwhile.
#[parameterized(
    unsuspected = { &[(0, Arrives(Allowed)), (1, ArrivesAlone(Allowed))] },
    held_while_control_decides = { &[(0, Crash), (1, Arrives(held(999))), (999, Arrives(held(1)))] },
    one_trial_after_the_hold = { &[(0, Crash), (1000, Arrives(Trial)), (1001, Arrives(held(999))), (2000, Arrives(Trial))] },
    served_in_the_trial = { &[(0, Crash), (1000, Arrives(Trial)), (1100, Served), (1101, Arrives(Allowed)), (1102, Arrives(Allowed))] },
    served_in_the_hold = { &[(0, Crash), (500, Served), (501, Arrives(Allowed))] },
    crashed_in_the_trial = { &[(0, Crash), (1000, Arrives(Trial)), (1100, Crash), (1101, Arrives(held(1999))), (3100, Arrives(Trial)), (3200, Crash), (3201, Arrives(held(3999)))] },
    trial_without_a_send = { &[(0, Crash), (1000, Arrives(Trial)), (1010, Unsent), (1011, Arrives(Trial)), (1012, Arrives(held(999)))] },
    unsent_in_the_hold = { &[(0, Crash), (1000, Arrives(Trial)), (1010, Unsent), (1020, Crash), (1021, Arrives(held(1999)))] },
    control_is_lost_in_the_hold = { &[(0, Crash), (1, Arrives(held(999))), (2, ArrivesAlone(held(998)))] },
    crashes_in_the_hold_without_control = { &[(0, Crash), (10, Crash), (20, Crash), (21, ArrivesAlone(held(3999)))] },
    crashed_in_one_trial_without_control = { &[(0, Crash), (1000, ArrivesAlone(Trial)), (1100, Crash), (1101, ArrivesAlone(held(1999))), (3100, ArrivesAlone(Trial)), (3101, ArrivesAlone(held(1999)))] },
    crashed_in_two_trials_without_control = { &[(0, Crash), (1000, ArrivesAlone(Trial)), (1100, Crash), (3100, ArrivesAlone(Trial)), (3200, Crash), (3201, Arrives(held(3999))), (3202, ArrivesAlone(Quarantined))] },
    no_crash_for_a_minute = { &[(0, Crash), (1000, Arrives(Trial)), (59_000, Arrives(Trial)), (59_001, Arrives(held(999))), (60_000, Arrives(Allowed))] },
    control_is_lost_after_the_hold = { &[(0, Crash), (1000, ArrivesAlone(Trial))] },
)]
fn suspects_are_held_until_control_decides(events: &[(u64, HoldEvent)]) {
    let start = Instant::now();
    let mut holds = SuspectHolds::default();
    for (at, event) in events {
        let now = start + Duration::from_millis(*at);
        holds.expire(now);
        match *event {
            Crash => {
                holds.hold(now, DIGEST);
            }
            Served => assert!(holds.remove(DIGEST)),
            Unsent => holds.return_trial(now, DIGEST),
            Arrives(expected) => assert_eq!(holds.decide(now, DIGEST, true), expected, "{at} ms"),
            ArrivesAlone(expected) => {
                assert_eq!(holds.decide(now, DIGEST, false), expected, "{at} ms");
            }
        }
    }
}

/// Guards against holds without end, and against memory that grows with the number of suspects.
#[test]
fn holds_are_bounded() {
    let mut now = Instant::now();
    let mut holds = SuspectHolds::default();
    for doubled in [1, 2, 4, 8, 16, 16] {
        assert_eq!(holds.hold(now, DIGEST), Some(FIRST_HOLD_TIME * doubled));
    }
    for digest in 100..2 * MAX_HELD as u128 {
        holds.hold(now, digest);
    }
    assert_eq!(holds.len(), MAX_HELD);
    assert_eq!(holds.hold(now, u128::MAX), None);
    assert_eq!(holds.hold(now, DIGEST), Some(MAX_HOLD_TIME));
    now += MAX_HOLD_TIME + HOLD_MEMORY;
    holds.expire(now);
    assert!(holds.is_empty());
}

/// Guards against an innocent request that is convicted because it was sent to the same servers as the one
/// that crashed them.
#[test]
fn suspects_do_not_share_a_server() {
    let mut runs = SuspectRuns::default();
    assert!(runs.begin(&"a".into(), 1));
    assert!(runs.begin(&"a".into(), 1), "copies of one request are no evidence against another");
    assert!(!runs.begin(&"a".into(), 2));
    assert!(runs.begin(&"b".into(), 2));
    assert_eq!(runs.servers_of_others(1), ["b".into()]);
    runs.end(&"a".into(), 1);
    assert!(!runs.begin(&"a".into(), 2), "one copy still runs");
    runs.end(&"a".into(), 1);
    assert!(runs.begin(&"a".into(), 2));
}

/// Guards against a popular request that is convicted on crashes of others between its successes, and
/// against memory that grows with the number of completed requests.
#[test]
fn a_request_completed_shortly_before_is_no_suspect() {
    let start = Instant::now();
    let half = SERVED_LIFETIME / 2;
    let mut served = ServedDigests::default();
    served.record(start, DIGEST);
    served.record(start + half, DIGEST);
    assert!(!served.contains(start + half, DIGEST + 1));
    served.record(start + SERVED_LIFETIME, DIGEST + 1);
    assert!(served.contains(start + SERVED_LIFETIME, DIGEST), "completed again");
    assert!(!served.contains(start + half + SERVED_LIFETIME, DIGEST));
    for digest in 100..2 * MAX_SERVED as u128 {
        served.record(start + SERVED_LIFETIME, digest);
    }
    assert!(served.len() <= MAX_SERVED);
}
