//! Tests of the leader's decision between requests that ran on the same crashing servers.

use std::time::{Duration, Instant};

use curranthollow::fleet::crash::CrashReport;
use curranthollow::fleet::crash::controller::{
    KnownLeader, QuarantineAction, QuarantineController, ReportBatch, SETTLING_TIME,
};
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::ids::RequestDigest;
use yare::parameterized;

const DEADLY: RequestDigest = 1;
const BESIDE: RequestDigest = 2;
const OTHER: RequestDigest = 3;

/// Event at a time in milliseconds since the election.
#[derive(Clone, Copy)]
enum LeaderEvent {
    /// A server ended under a request that had run for 30 ms.
    Crash(RequestDigest, &'static str),
    /// The same for another run time, in milliseconds.
    LongCrash(RequestDigest, &'static str, u64),
    Served(RequestDigest),
}

use LeaderEvent::{Crash, LongCrash, Served};

fn report(digest: RequestDigest, server: &str, ran_for: u64) -> CrashReport {
    CrashReport {
        digest,
        server: server.into(),
        started: 1,
        ran_for: Duration::from_millis(ran_for),
        age: Duration::ZERO,
    }
}

/// Returns the requests that the leader convicts within `end` milliseconds, in order. Proposals are
/// committed at once.
fn convicted(events: &[(u64, LeaderEvent)], end: u64) -> Vec<RequestDigest> {
    let start = Instant::now() + Duration::from_secs(600);
    let mut state = FleetState::default();
    let mut controller = QuarantineController::default();
    controller.set_leader(start, KnownLeader::ThisMember, state.quarantine());
    let mut found = Vec::new();
    for at in 0..end {
        let now = start + Duration::from_millis(at);
        let quarantine = state.quarantine();
        let mut actions = controller.tick(now, quarantine);
        for (_, event) in events.iter().filter(|(event_at, _)| *event_at == at) {
            let batch = match event {
                Crash(digest, server) => ReportBatch::Crashes(vec![report(*digest, server, 30)]),
                LongCrash(digest, server, ran_for) => {
                    ReportBatch::Crashes(vec![report(*digest, server, *ran_for)])
                }
                Served(digest) => ReportBatch::Served(vec![*digest]),
            };
            actions.extend(controller.on_entry_batch(now, batch, quarantine));
        }
        for action in actions {
            let QuarantineAction::Propose(command) = action else { continue };
            state.apply(at + 1, command.clone());
            if let FleetCommand::Quarantine(digests) = command {
                found.extend(digests);
            }
        }
    }
    found
}

/// Guards against innocent requests that are convicted because they ran beside crashing ones or in a
/// failing rack, and against crashing requests that wait although their evidence is plain.
#[parameterized(
    alone = { &[(200, Crash(DEADLY, "a")), (400, Crash(DEADLY, "b")), (600, Crash(DEADLY, "c"))], 601, &[DEADLY] },
    beside_the_deadly_one = { &[(200, Crash(DEADLY, "a")), (201, Crash(BESIDE, "a")), (400, Crash(DEADLY, "b")), (401, Crash(BESIDE, "b")), (600, Crash(BESIDE, "c")), (601, Crash(DEADLY, "c")), (700, Crash(DEADLY, "d"))], 2000, &[DEADLY] },
    told_first_and_equal = { &[(200, Crash(DEADLY, "a")), (201, Crash(BESIDE, "a")), (400, Crash(DEADLY, "b")), (401, Crash(BESIDE, "b")), (600, Crash(BESIDE, "c")), (601, Crash(DEADLY, "c"))], 2000, &[] },
    in_a_rack_and_beside_another = { &[(200, Crash(BESIDE, "a")), (205, Crash(OTHER, "r")), (230, Crash(BESIDE, "b")), (400, Crash(BESIDE, "c"))], 2000, &[] },
    in_a_rack_and_served = { &[(200, Crash(BESIDE, "a")), (205, Crash(OTHER, "r")), (400, Crash(BESIDE, "b")), (600, Crash(BESIDE, "c")), (750, Served(BESIDE))], 2000, &[] },
    in_a_rack_and_not_served = { &[(200, Crash(BESIDE, "a")), (205, Crash(OTHER, "r")), (400, Crash(BESIDE, "b")), (600, Crash(BESIDE, "c"))], 2000, &[BESIDE] },
)]
fn the_leader_separates_requests(
    events: &[(u64, LeaderEvent)],
    end: u64,
    expected: &[RequestDigest],
) {
    assert_eq!(convicted(events, end), expected);
}

/// Guards against a crashing request that waits longer than the settling time beside a failing rack.
#[test]
fn settling_ends_in_time() {
    let events =
        [(200, Crash(7, "a")), (205, Crash(8, "r")), (400, Crash(7, "b")), (600, Crash(7, "c"))];
    let due = 600 + SETTLING_TIME.as_millis() as u64;
    assert_eq!(convicted(&events, due), []);
    assert_eq!(convicted(&events, due + 1), [7]);
}

/// Servers that ended under both requests, one after the other; the innocent one is told first.
const SHARED: [(u64, LeaderEvent); 6] = [
    (200, Crash(BESIDE, "a")),
    (201, Crash(DEADLY, "a")),
    (400, Crash(BESIDE, "b")),
    (401, Crash(DEADLY, "b")),
    (600, Crash(BESIDE, "c")),
    (601, Crash(DEADLY, "c")),
];

/// Guards against the conviction of an innocent request that ran beside parallel copies of a crashing one:
/// of these, one end counts.
#[test]
fn ends_of_parallel_copies_explain_crashes() {
    let events = [
        (200, LongCrash(DEADLY, "a", 80)),
        (201, Crash(BESIDE, "a")),
        (260, LongCrash(DEADLY, "b", 100)),
        (261, Crash(BESIDE, "b")),
        (340, Crash(BESIDE, "c")),
        (341, LongCrash(DEADLY, "c", 170)),
        (420, Crash(DEADLY, "d")),
        (500, Crash(DEADLY, "e")),
    ];
    assert_eq!(convicted(&events, 2000), [DEADLY]);
}

/// Guards against a crashing request that waits for the end of the settling time although the reports
/// about its newest crash are complete.
#[test]
fn a_suspect_settles_until_it_is_separated() {
    let events = [
        (200, Crash(DEADLY, "a")),
        (201, Crash(BESIDE, "a")),
        (400, Crash(DEADLY, "b")),
        (401, Crash(BESIDE, "b")),
        (600, Crash(DEADLY, "c")),
    ];
    assert_eq!(convicted(&events, 640), []);
    assert_eq!(convicted(&events, 641), [DEADLY]);
}

/// Guards against a crashing request on which a new leader does not decide because its last report arrived
/// at the end of the time for which it collects reports.
#[test]
fn a_new_leader_decides_on_its_last_reports() {
    let events = [
        (10, Crash(DEADLY, "a")),
        (11, Crash(BESIDE, "a")),
        (50, Crash(DEADLY, "b")),
        (51, Crash(BESIDE, "b")),
        (95, Crash(DEADLY, "c")),
    ];
    assert_eq!(convicted(&events, 135), []);
    assert_eq!(convicted(&events, 136), [DEADLY]);
}

/// Guards against a crashing request that is sent on after its equal beside it has been served.
#[test]
fn a_success_of_its_equal_convicts_a_suspect() {
    let mut events = SHARED.to_vec();
    events.push((2000, Served(BESIDE)));
    assert_eq!(convicted(&events, 2000), []);
    assert_eq!(convicted(&events, 2002), [DEADLY]);
}

/// Guards against a crashing request that goes on because another one runs wherever it runs: the fifth
/// end decides.
#[test]
fn the_wait_for_a_difference_is_bounded() {
    let mut events = SHARED.to_vec();
    events.push((800, Crash(DEADLY, "d")));
    events.push((801, Crash(BESIDE, "d")));
    events.push((1000, Crash(DEADLY, "e")));
    assert_eq!(convicted(&events, 1000), []);
    assert_eq!(convicted(&events, 1041), [DEADLY]);
}

/// Guards against the conviction of an innocent request that ran beside two crashing ones in turn, and reaches
/// the number of crashes that convicts in any case first: its crashes would explain theirs.
#[test]
fn two_crashing_requests_explain_the_crashes_of_a_third() {
    let (first, second) = (DEADLY, OTHER);
    let events = [
        (200, Crash(first, "a")),
        (210, Crash(second, "b")),
        (211, Crash(BESIDE, "b")),
        (250, Crash(first, "d")),
        (290, Crash(second, "e")),
        (291, Crash(BESIDE, "e")),
        // All servers are back.
        (2200, Crash(BESIDE, "f")),
        (2201, Crash(second, "f")),
        (2240, Crash(BESIDE, "g")),
        (2241, Crash(first, "g")),
        (2290, Crash(BESIDE, "h")),
        (2291, Crash(first, "h")),
        (4300, Crash(second, "i")),
    ];
    assert_eq!(convicted(&events, 2400), [first]);
    assert_eq!(convicted(&events, 4400), [first, second]);
}

/// Guards against a crashing request that waits for its next crash although another one has been convicted
/// that explains why servers without the first one ended at the same moments.
#[test]
fn the_conviction_of_another_request_convicts_a_suspect() {
    let mut events = Vec::new();
    for (at, server, other_server) in [(200, "a", "b"), (400, "c", "d"), (600, "e", "f")] {
        events.push((at, Crash(DEADLY, server)));
        events.push((at + 5, Crash(OTHER, other_server)));
    }
    events.extend([(1000, Crash(OTHER, "g")), (1200, Crash(OTHER, "h"))]);
    assert_eq!(convicted(&events, 1200), []);
    assert_eq!(convicted(&events, 1250), [OTHER, DEADLY]);
}
