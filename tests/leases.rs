//! Settings leases: slow and late leadership confirmations in the leader's table, and the search
//! for the leader by an entry's client.

use std::time::{Duration, Instant};

use curranthollow::control::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
use curranthollow::entry::{LeaseClient, LeaseInput};
use yare::parameterized;

const LEASE: Duration = Duration::from_secs(1);

fn renewal_request(entry: &str, nonce: u64) -> LeaseEvent {
    LeaseEvent::RenewalRequested(RenewalRequest {
        entry: entry.into(),
        via: entry.into(),
        session: 1,
        availability_zone: "a".into(),
        installed_revision: 0,
        epoch: 0,
        nonce,
    })
}

/// Returns the confirmation rounds that the actions start and the nonces that they grant.
fn rounds_and_nonces(actions: Vec<LeaseAction>) -> (Vec<u64>, Vec<u64>) {
    let (mut rounds, mut nonces) = (Vec::new(), Vec::new());
    for action in actions {
        match action {
            LeaseAction::ConfirmLeadership(round) => rounds.push(round),
            LeaseAction::Grant { request, .. } => nonces.push(request.nonce),
            _ => (),
        }
    }
    (rounds, nonces)
}

// Guards against a request that is never granted because the entry repeats it during each slow
// round.
#[test]
fn repeated_requests_are_granted_by_the_running_round() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.handle(now, LeaseEvent::BecameLeader { term: 1 });
    let mut running_rounds = rounds_and_nonces(table.handle(now, renewal_request("a", 0))).0;
    assert_eq!(running_rounds.len(), 1);
    let mut granted = Vec::new();
    for round in 1..=20 {
        // Three repeats arrive before each round is confirmed.
        for repeat in 0..3 {
            let started =
                rounds_and_nonces(table.handle(now, renewal_request("a", round * 10 + repeat))).0;
            assert_eq!(
                started,
                Vec::<u64>::new(),
                "a second round started while the first was unconfirmed"
            );
        }
        let (next_rounds, nonces) =
            rounds_and_nonces(table.handle(now, LeaseEvent::Confirmed(running_rounds[0])));
        assert_eq!(next_rounds.len(), 1);
        granted.extend(nonces);
        running_rounds = next_rounds;
    }
    let repeats = (1..20).map(|round| round * 10 + 2);
    assert_eq!(granted, std::iter::once(0).chain(repeats).collect::<Vec<_>>());
}

// Guards against a lease that is granted on a confirmation requested during an earlier leadership.
#[test]
fn late_confirmation_of_an_earlier_term_grants_nothing() {
    let now = Instant::now();
    let mut table = LeaseTable::new(LEASE);
    table.handle(now, LeaseEvent::BecameLeader { term: 1 });
    let old_round = rounds_and_nonces(table.handle(now, renewal_request("a", 1))).0[0];
    table.handle(now, LeaseEvent::LostLeadership);
    table.handle(now, LeaseEvent::BecameLeader { term: 3 });
    let new_round = rounds_and_nonces(table.handle(now, renewal_request("a", 2))).0[0];
    let late = rounds_and_nonces(table.handle(now, LeaseEvent::Confirmed(old_round)));
    assert_eq!(late, (Vec::new(), Vec::new()));
    let failed = rounds_and_nonces(table.handle(now, LeaseEvent::ConfirmationFailed(old_round)));
    assert_eq!(failed, (Vec::new(), Vec::new()));
    let granted = rounds_and_nonces(table.handle(now, LeaseEvent::Confirmed(new_round)));
    assert_eq!(granted, (Vec::new(), vec![2]));
}

// Guards against an entry that does not find the leader while one control process is down, and
// against one that ignores the leader named in a redirect.
#[parameterized(
    first = { "control-1", true }, second = { "control-2", true }, third = { "control-3", true },
    first_unnamed = { "control-1", false }, second_unnamed = { "control-2", false },
    third_unnamed = { "control-3", false },
)]
fn finds_the_leader_for_every_seed(leader: &str, is_named: bool) {
    let controls: Vec<Box<str>> =
        ["control-1", "control-2", "control-3"].into_iter().map(Into::into).collect();
    let stopped_control = if leader == "control-3" { "control-1" } else { "control-3" };
    for seed in 0..12 {
        let start = Instant::now();
        let mut client = LeaseClient::new(controls.clone(), seed, start);
        client.handle(start, LeaseInput::PeerUp("entry-2".into()));
        for control in controls.iter().filter(|control| &***control != stopped_control) {
            client.handle(start, LeaseInput::ControlUp(control.clone()));
        }
        let (mut now, mut found_after) = (start, None);
        while found_after.is_none() && now < start + Duration::from_millis(2500) {
            now += Duration::from_millis(2);
            let mut input = LeaseInput::Tick;
            // Control processes redirect at once; the peer knows no leader to relay the request to.
            while let Some(action) = client.handle(now, input) {
                input = LeaseInput::Tick;
                if &*action.to == leader {
                    found_after = Some(now - start);
                    break;
                }
                if action.to.starts_with("control") {
                    input = LeaseInput::Redirected(is_named.then(|| leader.into()));
                }
            }
        }
        let limit = Duration::from_millis(if is_named { 700 } else { 1300 });
        assert!(
            found_after.is_some_and(|elapsed| elapsed < limit),
            "seed {seed}: leader found after {found_after:?}"
        );
    }
}
