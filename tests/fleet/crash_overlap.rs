//! Tests of requests that run longer than the pause between two copies of them.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use curranthollow::fleet::crash::controller::{
    KnownLeader, QuarantineAction, QuarantineController, ReportBatch,
};
use curranthollow::fleet::crash::{CONVICTION_CRASHES, CrashReport};
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::ids::RequestDigest;
use yare::parameterized;

const DEADLY: RequestDigest = 1;

/// Time after the end of the third server from which the request is no longer sent on.
const STABLE_TIME_MS: u64 = 3000;

/// Number of sends that are still allowed after that time, in all.
const MAX_LATE_SENDS: usize = 3;

/// Delay of a report on its way to the leader, and of a decision on its way to the entries.
const NOTICE_DELAY_MS: u64 = 100;

/// Duration of a run, longer than all of its sends.
const END_MS: u64 = 20_000;

/// Sends one copy each `pause` milliseconds, each from another entry to another server, which ends after
/// `run_time` milliseconds. Returns the times of the sends.
fn send_copies(pause: u64, run_time: u64) -> Vec<u64> {
    let start = Instant::now() + Duration::from_secs(600);
    let state = FleetState::default();
    let quarantine = state.quarantine();
    let mut controller = QuarantineController::default();
    controller.set_leader(start, KnownLeader::ThisMember, quarantine);
    let mut sends = Vec::new();
    let mut convicted_at = None;
    for at in 0..END_MS {
        let is_refused = convicted_at.is_some_and(|convicted| at >= convicted + NOTICE_DELAY_MS);
        if at % pause == 0 && !is_refused {
            sends.push(at);
        }
        let now = start + Duration::from_millis(at);
        let mut actions = controller.tick(now, quarantine);
        for (number, sent_at) in sends.iter().enumerate() {
            if at != sent_at + run_time + NOTICE_DELAY_MS {
                continue;
            }
            let report = CrashReport {
                digest: DEADLY,
                server: format!("server-{number}").into(),
                started: 1,
                ran_for: Duration::from_millis(run_time),
                age: Duration::from_millis(NOTICE_DELAY_MS),
            };
            let batch = ReportBatch::Crashes(vec![report]);
            actions.extend(controller.on_entry_batch(now, batch, quarantine));
        }
        for action in actions {
            let QuarantineAction::Propose(FleetCommand::Quarantine(digests)) = action else {
                continue;
            };
            assert_eq!(BTreeSet::from_iter(digests), BTreeSet::from([DEADLY]));
            convicted_at.get_or_insert(at);
        }
    }
    assert!(convicted_at.is_some(), "the request is not convicted");
    sends
}

/// Guards against a crashing request that is sent on for twice its run time after the third server has
/// ended, because copies that overlap counted as one.
#[parameterized(
    shorter_than_the_pause = { 100, 50 },
    one_second = { 100, 1000 },
    two_seconds = { 100, 2000 },
    three_seconds = { 100, 3000 },
    often = { 20, 2000 },
    rarely = { 900, 2000 },
)]
fn overlapping_copies_convict_in_time(pause: u64, run_time: u64) {
    let sends = send_copies(pause, run_time);
    let third_end = sends[CONVICTION_CRASHES - 1] + run_time;
    let late = sends.iter().filter(|sent_at| **sent_at > third_end + STABLE_TIME_MS).count();
    assert!(late <= MAX_LATE_SENDS, "sent {late} times after {STABLE_TIME_MS} ms");
}
