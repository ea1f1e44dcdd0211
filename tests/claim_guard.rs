//! Tests of the claim typestate and of the duplicate waiter.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use curranthollow::claim::guard::{
    ClaimResolution, GrantedClaim, InFlightClaim, SendPermit, UnclaimedRequest,
};
use curranthollow::claim::waiter::{
    DuplicateAnswer, DuplicateWaiter, INITIAL_POLL_INTERVAL, MAX_POLL_INTERVAL, MAX_QUERIES,
    WaitAction, WaitEvent,
};
use curranthollow::claim::{
    ClaimKey, ClaimView, HolderSession, OpenClaim, OpenOutcome, SettleClaim, SettledAs,
    StoredAnswer,
};
use serde_bytes::ByteBuf;
use yare::parameterized;

fn answer() -> StoredAnswer {
    StoredAnswer { status: 201, head: ByteBuf::new(), body: ByteBuf::from(b"x".to_vec()) }
}

fn unclaimed_request(attempt: u64) -> (UnclaimedRequest, Receiver<SettleClaim>) {
    let (sender, receiver) = async_channel::bounded(4);
    let open = OpenClaim {
        key: ClaimKey { team: "t".into(), service: "s".into(), key: "k".into() },
        digest: [0; 32],
        holder: HolderSession { holder: "a".into(), session: 1 },
        attempt,
        retention_ms: 60_000,
        capacity: 1,
    };
    let now = Instant::now();
    (UnclaimedRequest::new(open, now, now + Duration::from_secs(30), sender), receiver)
}

fn granted_claim(number: u64, attempt: u64) -> (GrantedClaim, Receiver<SettleClaim>) {
    let (request, receiver) = unclaimed_request(attempt);
    let ClaimResolution::Granted(claim) = request.resolve(OpenOutcome::Granted { number }) else {
        panic!("a `Granted` reply should resolve to a granted claim");
    };
    (claim, receiver)
}

fn begin_send(claim: GrantedClaim) -> (InFlightClaim, SendPermit) {
    claim.begin_send(Instant::now()).expect("the send deadline should be ahead")
}

fn consume(_permit: SendPermit) {}

fn release_granted(claim: GrantedClaim) -> Option<SettleClaim> {
    claim.release()
}

fn settle_done(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    consume(permit);
    in_flight.settle_done(Some(answer()))
}

fn settle_unknown(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    consume(permit);
    in_flight.settle_unknown()
}

fn release_unsent(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    in_flight.release_unsent(permit).expect("the permit should belong to this claim")
}

fn release_refused(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    consume(permit);
    in_flight.release_refused(503, &BTreeSet::from([503])).expect("the status should be declared")
}

fn refuse_undeclared_status(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    consume(permit);
    let in_flight = in_flight
        .release_refused(500, &BTreeSet::from([503]))
        .expect_err("the status should not be declared");
    in_flight.settle_unknown()
}

fn drop_granted(claim: GrantedClaim) -> Option<SettleClaim> {
    drop(claim);
    None
}

fn drop_in_flight(claim: GrantedClaim) -> Option<SettleClaim> {
    let (in_flight, permit) = begin_send(claim);
    drop(permit);
    drop(in_flight);
    None
}

/// Guards against a settlement that contradicts whether the request was sent, and against a second
/// settlement of one claim.
#[parameterized(
    released = { release_granted, SettledAs::NotRun, false },
    done = { settle_done, SettledAs::Done(Some(answer())), false },
    unknown = { settle_unknown, SettledAs::Unknown, false },
    unsent = { release_unsent, SettledAs::NotRun, false },
    refused = { release_refused, SettledAs::NotRun, false },
    refused_undeclared = { refuse_undeclared_status, SettledAs::Unknown, false },
    granted_dropped = { drop_granted, SettledAs::NotRun, true },
    in_flight_dropped = { drop_in_flight, SettledAs::Unknown, true },
)]
fn each_end_settles_once(
    end: fn(GrantedClaim) -> Option<SettleClaim>,
    expected: SettledAs,
    via_channel: bool,
) {
    let (claim, receiver) = granted_claim(3, 1);
    let returned = end(claim);
    assert_eq!(returned.is_none(), via_channel);
    let settle = returned
        .or_else(|| receiver.try_recv().ok())
        .expect("one settlement should be returned or sent");
    assert_eq!((settle.number, settle.outcome), (3, expected));
    assert!(receiver.try_recv().is_err());
}

/// Guards against the release of a claim with the unused permit of another claim.
#[parameterized(
    other_number = { (1, 5), (2, 5) },
    same_number_in_other_group = { (1, 5), (1, 6) },
)]
fn permit_of_another_claim_is_refused(first: (u64, u64), second: (u64, u64)) {
    let (first, receiver) = granted_claim(first.0, first.1);
    let (second, _second_receiver) = granted_claim(second.0, second.1);
    let (first, _first_permit) = begin_send(first);
    let (second, second_permit) = begin_send(second);
    let Err((first, permit)) = first.release_unsent(second_permit) else {
        panic!("the permit of another claim should not release this one");
    };
    assert!(second.release_unsent(permit).is_ok());
    drop(first);
    assert_eq!(receiver.try_recv().map(|settle| settle.outcome), Ok(SettledAs::Unknown));
}

/// Guards against a send by an entry that was suspended past the request's deadline or the claim's
/// retention.
#[parameterized(
    in_time = { 60, 30, 29, true },
    past_deadline = { 60, 30, 30, false },
    past_retention = { 10, 30, 10, false },
)]
fn late_send_is_refused(retention: u64, deadline: u64, sent_at: u64, expected: bool) {
    let start = Instant::now();
    let (sender, receiver) = async_channel::bounded(4);
    let mut open = unclaimed_request(1).0.command().clone();
    open.retention_ms = retention * 1_000;
    let deadline = start + Duration::from_secs(deadline);
    let request = UnclaimedRequest::new(open, start, deadline, sender);
    let ClaimResolution::Granted(claim) = request.resolve(OpenOutcome::Granted { number: 1 })
    else {
        panic!("a `Granted` reply should resolve to a granted claim");
    };
    let started = claim.begin_send(start + Duration::from_secs(sent_at));
    assert_eq!(started.is_ok(), expected);
    drop(started);
    let outcome = if expected { SettledAs::Unknown } else { SettledAs::NotRun };
    assert_eq!(receiver.try_recv().map(|settle| settle.outcome), Ok(outcome));
}

/// Guards against a reply other than `Granted` that permits the request to run.
#[parameterized(
    running = { OpenOutcome::Running { number: 1, holder: "b".into() }, "duplicate" },
    done = { OpenOutcome::Done { number: 1, answer: Some(answer()) }, "done" },
    too_large = { OpenOutcome::Done { number: 1, answer: None }, "done" },
    unknown = { OpenOutcome::Unknown { number: 1 }, "unknown" },
    mismatch = { OpenOutcome::Mismatch, "mismatch" },
    full = { OpenOutcome::Full, "refused" },
    session_ended = { OpenOutcome::SessionEnded, "refused" },
    invalid = { OpenOutcome::Invalid, "refused" },
)]
fn replies_resolve_requests(outcome: OpenOutcome, expected: &str) {
    let (request, receiver) = unclaimed_request(1);
    let actual = match request.resolve(outcome) {
        ClaimResolution::Granted(_) => "granted",
        ClaimResolution::Duplicate { .. } => "duplicate",
        ClaimResolution::Done(_) => "done",
        ClaimResolution::Unknown => "unknown",
        ClaimResolution::Mismatch => "mismatch",
        ClaimResolution::Refused(_) => "refused",
    };
    assert_eq!(actual, expected);
    assert!(receiver.try_recv().is_err());
}

fn response(answer: DuplicateAnswer) -> Option<DuplicateAnswer> {
    Some(answer)
}

/// Guards against a wrong or premature response to a duplicate; `None` means that it keeps waiting.
#[parameterized(
    done = { WaitEvent::StateReceived(ClaimView::Done(Some(answer()))), response(DuplicateAnswer::Done(answer())), response(DuplicateAnswer::Done(answer())) },
    too_large = { WaitEvent::StateReceived(ClaimView::Done(None)), response(DuplicateAnswer::AlreadyRun), response(DuplicateAnswer::AlreadyRun) },
    unknown = { WaitEvent::StateReceived(ClaimView::Unknown), response(DuplicateAnswer::OutcomeUnknown), response(DuplicateAnswer::OutcomeUnknown) },
    mismatch = { WaitEvent::StateReceived(ClaimView::Mismatch), response(DuplicateAnswer::Mismatch), response(DuplicateAnswer::Mismatch) },
    running = { WaitEvent::StateReceived(ClaimView::Running), None, response(DuplicateAnswer::OutcomeUnknown) },
    absent = { WaitEvent::StateReceived(ClaimView::Absent), None, response(DuplicateAnswer::OutcomeUnknown) },
    query_failed = { WaitEvent::QueryFailed, None, response(DuplicateAnswer::OutcomeUnknown) },
    wake = { WaitEvent::Wake, None, response(DuplicateAnswer::OutcomeUnknown) },
)]
fn duplicate_gets_final_state(
    event: WaitEvent,
    before: Option<DuplicateAnswer>,
    at_deadline: Option<DuplicateAnswer>,
) {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(1);
    for (now, expected) in [(start, before), (deadline, at_deadline)] {
        let mut waiter = DuplicateWaiter::new(deadline);
        assert!(matches!(waiter.handle(start, WaitEvent::Wake), WaitAction::Query { .. }));
        match (waiter.handle(now, event.clone()), expected) {
            (WaitAction::Respond(answer), Some(expected)) => assert_eq!(answer, expected),
            (WaitAction::OpenAgain, None) => {
                assert_eq!(event, WaitEvent::StateReceived(ClaimView::Absent));
            }
            (WaitAction::Sleep { until }, None) => assert_eq!(until, now + INITIAL_POLL_INTERVAL),
            (action, expected) => panic!("got {action:?}, expected {expected:?}"),
        }
    }
}

/// Guards against a duplicate that sends unlimited queries or waits past its deadline.
#[parameterized(
    short = { Duration::from_millis(35) },
    usual = { Duration::from_secs(10) },
    distant = { Duration::from_secs(86_400) },
)]
fn queries_are_bounded(wait: Duration) {
    let deadline = Instant::now() + wait;
    let mut now = deadline - wait;
    let mut waiter = DuplicateWaiter::new(deadline);
    let mut queries = 0;
    let mut event = WaitEvent::Wake;
    loop {
        match waiter.handle(now, event) {
            WaitAction::Query { until } => {
                assert!(until <= deadline && until <= now + MAX_POLL_INTERVAL);
                queries += 1;
                event = WaitEvent::StateReceived(ClaimView::Running);
            }
            WaitAction::Sleep { until } => {
                assert!(until <= deadline);
                now = until;
                event = WaitEvent::Wake;
            }
            WaitAction::Respond(answer) => {
                assert_eq!(answer, DuplicateAnswer::OutcomeUnknown);
                break;
            }
            WaitAction::OpenAgain => panic!("unexpected OpenAgain for a running claim"),
        }
    }
    assert_eq!(now, deadline);
    assert!(queries > 1 && queries <= MAX_QUERIES, "{queries} queries");
}
