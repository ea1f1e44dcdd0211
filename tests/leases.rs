//! Guards settings leases: slow and late confirmations on the leader's side, the search for the leader
//! on the entry's side.

use std::time::{Duration, Instant};

use curranthollow::control::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
use curranthollow::entry::{LeaseClient, LeaseInput};
use yare::parameterized;

const LEASE: Duration = Duration::from_secs(1);

fn request(entry: &str, nonce: u64) -> LeaseEvent {
    LeaseEvent::Requested(RenewalRequest {
        entry: entry.into(),
        via: entry.into(),
        session: 1,
        availability_zone: "a".into(),
        installed: 0,
        epoch: 0,
        nonce,
    })
}

/// Rounds that the actions start, and nonces that they grant.
fn outcome(actions: Vec<LeaseAction>) -> (Vec<u64>, Vec<u64>) {
    let (mut rounds, mut nonces) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            LeaseAction::Confirm(round) => rounds.push(round),
            LeaseAction::Grant { request, .. } => nonces.push(request.nonce),
            _ => (),
        }
    }
    (rounds, nonces)
}

// Guards against requests that are repeated during a slow round and then never granted.
#[test]
fn repeated_requests_are_granted_by_the_running_round() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.handle(now, LeaseEvent::Leading { term: 1 });
    let mut running = outcome(table.handle(now, request("a", 0))).0;
    assert_eq!(running.len(), 1);
    let mut granted = Vec::new();
    for round in 1..=20 {
        // Three repeats arrive before each answer.
        for repeat in 0..3 {
            let started = outcome(table.handle(now, request("a", round * 10 + repeat))).0;
            assert_eq!(started, Vec::<u64>::new(), "a second round runs beside the first");
        }
        let (next, nonces) = outcome(table.handle(now, LeaseEvent::Confirmed(running[0])));
        assert_eq!(next.len(), 1);
        granted.extend(nonces);
        running = next;
    }
    let repeats = (1..20).map(|round| round * 10 + 2);
    assert_eq!(granted, std::iter::once(0).chain(repeats).collect::<Vec<_>>());
}

// Guards against a lease by a confirmation that was asked for under an earlier leadership.
#[test]
fn late_confirmation_of_an_earlier_term_grants_nothing() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.handle(now, LeaseEvent::Leading { term: 1 });
    let old = outcome(table.handle(now, request("a", 1))).0[0];
    table.handle(now, LeaseEvent::Deposed);
    table.handle(now, LeaseEvent::Leading { term: 3 });
    let new = outcome(table.handle(now, request("a", 2))).0[0];
    let late = outcome(table.handle(now, LeaseEvent::Confirmed(old)));
    assert_eq!(late, (Vec::new(), Vec::new()));
    let failed = outcome(table.handle(now, LeaseEvent::ConfirmFailed(old)));
    assert_eq!(failed, (Vec::new(), Vec::new()));
    let granted = outcome(table.handle(now, LeaseEvent::Confirmed(new)));
    assert_eq!(granted, (Vec::new(), vec![2]));
}

// Guards against an entry that never asks the leader when one control process is down, and one that
// ignores who is named as leader.
#[parameterized(
    first = { "control-1", true }, second = { "control-2", true }, third = { "control-3", true },
    first_unnamed = { "control-1", false }, second_unnamed = { "control-2", false },
    third_unnamed = { "control-3", false },
)]
fn finds_the_leader_for_every_seed(leader: &str, is_named: bool) {
    let controls: Vec<Box<str>> =
        ["control-1", "control-2", "control-3"].into_iter().map(Into::into).collect();
    let dead = if leader == "control-3" { "control-1" } else { "control-3" };
    for seed in 0..12 {
        let start = Instant::now();
        let mut client = LeaseClient::new(controls.clone(), seed, start);
        client.handle(start, LeaseInput::PeerUp("entry-2".into()));
        for control in controls.iter().filter(|control| &***control != dead) {
            client.handle(start, LeaseInput::ControlUp(control.clone()));
        }
        let (mut now, mut found) = (start, None);
        while found.is_none() && now < start + Duration::from_millis(2500) {
            now += Duration::from_millis(2);
            let mut input = LeaseInput::Tick;
            // Answers come at once; the peer has no leader to pass the request on to.
            while let Some(action) = client.handle(now, input) {
                input = LeaseInput::Tick;
                if &*action.to == leader {
                    found = Some(now - start);
                    break;
                }
                if action.to.starts_with("control") {
                    input = LeaseInput::Redirected(is_named.then(|| leader.into()));
                }
            }
        }
        let limit = Duration::from_millis(if is_named { 700 } else { 1300 });
        assert!(found.is_some_and(|found| found < limit), "seed {seed}: {found:?}");
    }
}
