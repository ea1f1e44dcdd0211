//! Guards the grants of settings leases against slow and late confirmations of leadership.

use std::time::{Duration, Instant};

use curranthollow::control::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};

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
