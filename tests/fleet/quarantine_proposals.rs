//! Tests of convictions whose proposal has no effect.

use std::time::{Duration, Instant};

use curranthollow::fleet::crash::controller::{
    KnownLeader, PROPOSAL_TIMEOUT, QuarantineAction, QuarantineController, ReportBatch,
};
use curranthollow::fleet::crash::{CONVICTION_CRASHES, CrashReport};
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::ids::RequestDigest;

const DEADLY: RequestDigest = 1;

/// Crash number `number`, reported when it happens.
fn crash(number: usize) -> ReportBatch {
    ReportBatch::Crashes(vec![CrashReport {
        digest: DEADLY,
        server: format!("server-{number}").into(),
        started: 1,
        ran_for: Duration::from_millis(30),
        age: Duration::ZERO,
    }])
}

fn proposals(actions: Vec<QuarantineAction>) -> Vec<FleetCommand> {
    let mut commands = Vec::new();
    for action in actions {
        let QuarantineAction::Propose(command) = action else { continue };
        commands.push(command);
    }
    commands
}

/// Guards against a conviction that is lost with a refused proposal, while the reports that follow are
/// taken for explained.
#[test]
fn a_conviction_is_proposed_until_it_is_committed() {
    let start = Instant::now() + Duration::from_secs(600);
    let mut state = FleetState::default();
    let mut controller = QuarantineController::default();
    controller.set_leader(start, KnownLeader::ThisMember, state.quarantine());
    let expected = [FleetCommand::Quarantine(vec![DEADLY])];
    let mut now = start + Duration::from_secs(1);
    let mut actions = Vec::new();
    for number in 0..CONVICTION_CRASHES {
        now += Duration::from_millis(100);
        actions.extend(controller.on_entry_batch(now, crash(number), state.quarantine()));
    }
    assert_eq!(proposals(actions), expected);

    // The node has refused it. Further crashes neither hurry the next proposal nor replace it.
    for number in 0..2 {
        let before = now + PROPOSAL_TIMEOUT - Duration::from_millis(1);
        let crash = crash(CONVICTION_CRASHES + number);
        let actions = controller.on_entry_batch(before, crash, state.quarantine());
        assert_eq!(proposals(actions), []);
        assert_eq!(proposals(controller.tick(before, state.quarantine())), []);
        now += PROPOSAL_TIMEOUT;
        assert_eq!(proposals(controller.tick(now, state.quarantine())), expected);
    }

    let [conviction] = expected;
    state.apply(1, conviction);
    for _ in 0..10 {
        now += PROPOSAL_TIMEOUT;
        assert_eq!(proposals(controller.tick(now, state.quarantine())), []);
    }
}
