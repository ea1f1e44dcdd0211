//! Contract of the claim guard and of waiting duplicates.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_channel::Receiver;
use curranthollow::claim::guard::{
    ClaimResolution, GrantedClaim, OfferedClaim, SendPermit, UnclaimedRequest,
};
use curranthollow::claim::waiter::{
    DuplicateAnswer, DuplicateWaiter, FIRST_POLL, LAST_POLL, MAX_POLLS, WaitAction, WaitEvent,
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

fn request(attempt: u64) -> (UnclaimedRequest, Receiver<SettleClaim>) {
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

fn granted(number: u64, attempt: u64) -> (GrantedClaim, Receiver<SettleClaim>) {
    let (request, receiver) = request(attempt);
    let ClaimResolution::Granted(claim) = request.resolve(OpenOutcome::Granted { number }) else {
        panic!("a grant resolves to a granted claim");
    };
    (claim, receiver)
}

fn offer(claim: GrantedClaim) -> (OfferedClaim, SendPermit) {
    claim.offer(Instant::now()).expect("the offer is in time")
}

fn send(_permit: SendPermit) {}

fn end_granted(claim: GrantedClaim) -> Option<SettleClaim> {
    claim.release()
}

fn end_done(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    send(permit);
    offered.done(Some(answer()))
}

fn end_unknown(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    send(permit);
    offered.unknown()
}

fn end_withdrawn(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    offered.withdraw(permit).expect("the permit is of this claim")
}

fn end_refused(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    send(permit);
    offered.refused(503, &BTreeSet::from([503])).expect("the status is declared")
}

fn end_refused_undeclared(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    send(permit);
    let offered = offered.refused(500, &BTreeSet::from([503])).expect_err("it isn't declared");
    offered.unknown()
}

fn drop_granted(claim: GrantedClaim) -> Option<SettleClaim> {
    drop(claim);
    None
}

fn drop_offered(claim: GrantedClaim) -> Option<SettleClaim> {
    let (offered, permit) = offer(claim);
    drop(permit);
    drop(offered);
    None
}

/// Guards against a settlement that doesn't match what was offered, and against two settlements.
#[parameterized(
    released = { end_granted, SettledAs::NotRun, false },
    done = { end_done, SettledAs::Done(Some(answer())), false },
    unknown = { end_unknown, SettledAs::Unknown, false },
    withdrawn = { end_withdrawn, SettledAs::NotRun, false },
    refused = { end_refused, SettledAs::NotRun, false },
    refused_undeclared = { end_refused_undeclared, SettledAs::Unknown, false },
    granted_dropped = { drop_granted, SettledAs::NotRun, true },
    offered_dropped = { drop_offered, SettledAs::Unknown, true },
)]
fn settlement(end: fn(GrantedClaim) -> Option<SettleClaim>, expected: SettledAs, by_channel: bool) {
    let (claim, receiver) = granted(3, 1);
    let returned = end(claim);
    assert_eq!(returned.is_none(), by_channel);
    let settle = returned.or_else(|| receiver.try_recv().ok()).expect("one settlement comes");
    assert_eq!((settle.number, settle.outcome), (3, expected));
    assert!(receiver.try_recv().is_err());
}

/// Guards against a claim that is released with the unused permit of another one.
#[parameterized(
    other_number = { (1, 5), (2, 5) },
    same_number_in_other_group = { (1, 5), (1, 6) },
)]
fn permit_of_another_claim_is_refused(first: (u64, u64), second: (u64, u64)) {
    let (first, receiver) = granted(first.0, first.1);
    let (second, _other) = granted(second.0, second.1);
    let (first, _first_permit) = offer(first);
    let (second, second_permit) = offer(second);
    let Err((first, permit)) = first.withdraw(second_permit) else {
        panic!("the permit of another claim released this one");
    };
    assert!(second.withdraw(permit).is_ok());
    drop(first);
    assert_eq!(receiver.try_recv().map(|settle| settle.outcome), Ok(SettledAs::Unknown));
}

/// Guards against a send by an entry that wakes up after its deadline or the claim's retention.
#[parameterized(
    in_time = { 60, 30, 29, true },
    past_deadline = { 60, 30, 30, false },
    past_retention = { 10, 30, 10, false },
)]
fn late_offer_is_refused(retention: u64, deadline: u64, offered: u64, expected: bool) {
    let start = Instant::now();
    let (sender, receiver) = async_channel::bounded(4);
    let mut open = request(1).0.command().clone();
    open.retention_ms = retention * 1_000;
    let deadline = start + Duration::from_secs(deadline);
    let request = UnclaimedRequest::new(open, start, deadline, sender);
    let ClaimResolution::Granted(claim) = request.resolve(OpenOutcome::Granted { number: 1 })
    else {
        panic!("a grant resolves to a granted claim");
    };
    let offer = claim.offer(start + Duration::from_secs(offered));
    assert_eq!(offer.is_ok(), expected);
    drop(offer);
    let outcome = if expected { SettledAs::Unknown } else { SettledAs::NotRun };
    assert_eq!(receiver.try_recv().map(|settle| settle.outcome), Ok(outcome));
}

/// Guards against an answer of the group that turns into a right to run.
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
fn resolution(outcome: OpenOutcome, expected: &str) {
    let (request, receiver) = request(1);
    let resolved = match request.resolve(outcome) {
        ClaimResolution::Granted(_) => "granted",
        ClaimResolution::Duplicate { .. } => "duplicate",
        ClaimResolution::Done(_) => "done",
        ClaimResolution::Unknown => "unknown",
        ClaimResolution::Mismatch => "mismatch",
        ClaimResolution::Refused(_) => "refused",
    };
    assert_eq!(resolved, expected);
    assert!(receiver.try_recv().is_err());
}

fn respond(answer: DuplicateAnswer) -> Option<DuplicateAnswer> {
    Some(answer)
}

/// Guards against a wrong or early answer to a duplicate; `None` stands for waiting on.
#[parameterized(
    done = { WaitEvent::Viewed(ClaimView::Done(Some(answer()))), respond(DuplicateAnswer::Done(answer())), respond(DuplicateAnswer::Done(answer())) },
    too_large = { WaitEvent::Viewed(ClaimView::Done(None)), respond(DuplicateAnswer::AlreadyRun), respond(DuplicateAnswer::AlreadyRun) },
    unknown = { WaitEvent::Viewed(ClaimView::Unknown), respond(DuplicateAnswer::OutcomeUnknown), respond(DuplicateAnswer::OutcomeUnknown) },
    mismatch = { WaitEvent::Viewed(ClaimView::Mismatch), respond(DuplicateAnswer::Mismatch), respond(DuplicateAnswer::Mismatch) },
    running = { WaitEvent::Viewed(ClaimView::Running), None, respond(DuplicateAnswer::OutcomeUnknown) },
    absent = { WaitEvent::Viewed(ClaimView::Absent), None, respond(DuplicateAnswer::OutcomeUnknown) },
    look_failed = { WaitEvent::LookFailed, None, respond(DuplicateAnswer::OutcomeUnknown) },
    wake = { WaitEvent::Wake, None, respond(DuplicateAnswer::OutcomeUnknown) },
)]
fn duplicate_answer(
    event: WaitEvent,
    before: Option<DuplicateAnswer>,
    at_deadline: Option<DuplicateAnswer>,
) {
    let start = Instant::now();
    let deadline = start + Duration::from_secs(1);
    for (now, expected) in [(start, before), (deadline, at_deadline)] {
        let mut waiter = DuplicateWaiter::new(deadline);
        assert!(matches!(waiter.handle(start, WaitEvent::Wake), WaitAction::Look { .. }));
        match (waiter.handle(now, event.clone()), expected) {
            (WaitAction::Respond(answer), Some(expected)) => assert_eq!(answer, expected),
            (WaitAction::OpenAgain, None) => {
                assert_eq!(event, WaitEvent::Viewed(ClaimView::Absent));
            }
            (WaitAction::Sleep { until }, None) => assert_eq!(until, now + FIRST_POLL),
            (action, expected) => panic!("{action:?} instead of {expected:?}"),
        }
    }
}

/// Guards against a duplicate that looks without bound or past its deadline.
#[parameterized(
    short = { Duration::from_millis(35) },
    usual = { Duration::from_secs(10) },
    distant = { Duration::from_secs(86_400) },
)]
fn looks_are_bounded(wait: Duration) {
    let deadline = Instant::now() + wait;
    let mut now = deadline - wait;
    let mut waiter = DuplicateWaiter::new(deadline);
    let mut looks = 0;
    let mut event = WaitEvent::Wake;
    loop {
        match waiter.handle(now, event) {
            WaitAction::Look { until } => {
                assert!(until <= deadline && until <= now + LAST_POLL);
                looks += 1;
                event = WaitEvent::Viewed(ClaimView::Running);
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
            WaitAction::OpenAgain => panic!("the claim was never released"),
        }
    }
    assert_eq!(now, deadline);
    assert!(looks > 1 && looks <= MAX_POLLS, "{looks} looks");
}
