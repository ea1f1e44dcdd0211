//! Tests of time limits across a suspension of the machine. The steady clock stands still meanwhile,
//! so the tests pass the same instant before and after it.

use std::time::{Duration, Instant};

use curranthollow::entry::{LeaseClient, LeaseInput};
use curranthollow::suspension::{SuspensionDeadline, SuspensionWatch, suspended_time};
use yare::parameterized;

const LEASE: Duration = Duration::from_secs(5);

/// Returns a client whose lease was just granted.
fn granted_client(now: Instant) -> LeaseClient {
    let mut client = LeaseClient::new(vec!["c1".into()], 1, now);
    let renewal = client.handle(now, LeaseInput::ControlUp("c1".into()));
    let nonce = renewal.expect("a renewal is due").nonce;
    let grant = LeaseInput::Granted { leader: "c1".into(), nonce, lease: LEASE };
    client.handle(now, grant);
    assert!(client.is_valid(now));
    client
}

/// Guards against a process that serves on a lease which ran out while its machine was suspended.
#[parameterized(
    short = { 2, true },
    whole_lease = { 5, false },
    long = { 60, false },
)]
fn a_suspension_shortens_the_settings_lease(suspended_s: u64, is_valid: bool) {
    let now = Instant::now();
    let mut client = granted_client(now);
    client.handle(now, LeaseInput::Suspended(Duration::from_secs(suspended_s)));
    assert_eq!(client.is_valid(now), is_valid);
    assert!(!client.is_valid(now + LEASE - Duration::from_secs(suspended_s.min(5))));
}

/// Guards against a grant that was on its way during the suspension: its lease counts from the
/// renewal.
#[test]
fn a_grant_from_before_a_suspension_is_shortened() {
    let now = Instant::now();
    let mut client = LeaseClient::new(vec!["c1".into()], 1, now);
    let renewal = client.handle(now, LeaseInput::ControlUp("c1".into()));
    let nonce = renewal.expect("a renewal is due").nonce;
    client.handle(now, LeaseInput::Suspended(Duration::from_secs(6)));
    client.handle(now, LeaseInput::Granted { leader: "c1".into(), nonce, lease: LEASE });
    assert!(!client.is_valid(now));
}

/// Guards against an entry whose traffic threads trust the lease before its control thread has
/// noticed the suspension.
#[parameterized(
    none = { 0, 5000 },
    reading_error = { 5, 5000 },
    part = { 2000, 3000 },
    all = { 5000, 0 },
    more = { 90_000, 0 },
)]
fn a_deadline_counts_the_suspension(suspended_ms: u64, left_ms: u64) {
    let now = Instant::now();
    let before = suspended_time();
    let deadline = SuspensionDeadline::new(now + LEASE, before);
    let after = before + Duration::from_millis(suspended_ms);
    assert_eq!(deadline.time_left(now, after), Duration::from_millis(left_ms));
    assert_eq!(deadline.is_over(now, after), left_ms == 0);
}

/// Guards against a suspension that is reported twice or not at all.
#[test]
fn each_suspension_is_reported_once() {
    let start = Duration::from_secs(100);
    let mut watch = SuspensionWatch::new(start);
    assert_eq!(watch.check(start + Duration::from_millis(1)), None);
    let suspended = start + Duration::from_secs(4);
    assert_eq!(watch.check(suspended), Some(Duration::from_secs(4)));
    assert_eq!(watch.check(suspended), None);
    assert_eq!(watch.check(suspended + LEASE), Some(LEASE));
}
