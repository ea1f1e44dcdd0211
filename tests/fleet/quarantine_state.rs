//! Tests of the quarantine in the replicated state, in updates and in an entry's replica.

use std::collections::BTreeSet;

use curranthollow::fleet::crash::CrashReport;
use curranthollow::fleet::link::{self, LinkMessage};
use curranthollow::fleet::state::{FleetCommand, FleetState, MAX_QUARANTINED};
use curranthollow::fleet::update::{CompactUpdate, FleetReplica};
use curranthollow::ids::RequestDigest;
use yare::parameterized;

use FleetCommand::{Quarantine, Release};

fn state_after(commands: &[FleetCommand]) -> FleetState {
    let mut state = FleetState::default();
    for (index, command) in (1..).zip(commands) {
        state.apply(index, command.clone());
    }
    state
}

fn digests(state: &FleetState) -> Vec<RequestDigest> {
    state.quarantine().keys().copied().collect()
}

/// Guards against digests that an update loses, repeats or brings back.
#[parameterized(
    complete = { vec![Quarantine(vec![1, 2])], 0, vec![1, 2], vec![] },
    released_is_not_in_a_complete_update = { vec![Quarantine(vec![1, 2]), Release(vec![1])], 0, vec![2], vec![] },
    newer_only = { vec![Quarantine(vec![1]), Quarantine(vec![2])], 1, vec![2], vec![] },
    tombstone = { vec![Quarantine(vec![1]), Release(vec![1])], 1, vec![], vec![1] },
    up_to_date = { vec![Quarantine(vec![1]), Release(vec![1])], 2, vec![], vec![] },
    back_after_a_release = { vec![Quarantine(vec![1]), Release(vec![1]), Quarantine(vec![1])], 1, vec![1], vec![] },
    repeated = { vec![Quarantine(vec![1]), Quarantine(vec![1])], 1, vec![], vec![] },
    unknown_release = { vec![Quarantine(vec![1]), Release(vec![9])], 1, vec![], vec![] },
)]
fn updates_carry_the_quarantine(
    commands: Vec<FleetCommand>,
    from: u64,
    quarantined: Vec<RequestDigest>,
    released: Vec<RequestDigest>,
) {
    let update = state_after(&commands).update_since(from);
    assert_eq!((update.quarantined, update.released), (quarantined, released));
}

/// Guards against others that push a request out of quarantine.
#[test]
fn a_full_quarantine_refuses_further_requests() {
    let full: Vec<_> = (0..MAX_QUARANTINED as RequestDigest).collect();
    let mut state = state_after(&[Quarantine(full.clone())]);
    state.apply(2, Quarantine((5000..9000).collect()));
    assert_eq!(digests(&state), full);
    state.apply(3, Release(vec![7]));
    state.apply(4, Quarantine(vec![5000]));
    assert!(state.quarantine().contains_key(&5000));
    assert_eq!(state.quarantine().len(), MAX_QUARANTINED);
}

/// Guards against an entry that keeps a released request in quarantine after tombstones were discarded,
/// and against tombstones without a bound.
#[test]
fn an_entry_older_than_the_tombstones_gets_a_complete_update() {
    let mut state = state_after(&[Quarantine(vec![1])]);
    let mut replica = FleetReplica::default();
    replica.apply(state.update_since(0));
    state.apply(2, Release(vec![1]));
    for number in 0..5000 {
        let index = 3 + number * 2;
        state.apply(index, Quarantine(vec![RequestDigest::from(number) + 10]));
        state.apply(index + 1, Release(vec![RequestDigest::from(number) + 10]));
    }
    let update = state.update_since(replica.revision());
    assert!(update.complete);
    replica.apply(update);
    assert!(!replica.is_quarantined(1));
    assert!(!replica.has_quarantine());
    assert!(state.update_since(9000).released.len() <= 4096);
}

/// Guards against a quarantine that is lost in a snapshot, an update in parts or a lost, repeated or
/// reordered update.
#[test]
fn replicas_reach_the_quarantine() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut state = FleetState::default();
        let mut replica = FleetReplica::default();
        let mut in_transit = Vec::new();
        for index in 1..80 {
            let chosen: BTreeSet<RequestDigest> =
                (0..random.usize(1..4)).map(|_| random.u128(0..12) << 100).collect();
            let chosen = chosen.into_iter().collect();
            state.apply(index, if random.bool() { Quarantine(chosen) } else { Release(chosen) });
            if random.u32(0..10) == 0 {
                state = FleetState::restore(&state.snapshot()).expect("a snapshot can be read");
            }
            let from = if random.u32(0..5) == 0 { 0 } else { replica.revision() };
            in_transit.push(state.update_since(from));
            if random.bool() {
                replica.apply(in_transit[random.usize(0..in_transit.len())].clone());
            }
        }
        let last = CompactUpdate(state.update_since(replica.revision()));
        let mut bytes = Vec::new();
        ciborium::into_writer(&last, &mut bytes).expect("writing to memory does not fail");
        let decoded: CompactUpdate = ciborium::from_reader(&bytes[..]).expect("it can be read");
        replica.apply(decoded.0);
        for digest in 0..12 {
            let digest = digest << 100;
            let expected = state.quarantine().contains_key(&digest);
            assert_eq!(replica.is_quarantined(digest), expected, "seed {seed}");
        }
        assert_eq!(replica.has_quarantine(), !state.quarantine().is_empty(), "seed {seed}");
    }
}

/// Maximum size of a message with one crash report: 300 entries that send one each to five members take
/// less than a second of a line of 2 Mbit/s.
const MAX_REPORT_BYTES: usize = 160;

/// Guards against reports that fill slow lines.
#[test]
fn reports_are_small() {
    let report = CrashReport {
        digest: RequestDigest::MAX,
        server: "i-0123456789abcdef0".into(),
        started: 1_789_014_446_394,
        ran_for: std::time::Duration::from_millis(93),
        age: std::time::Duration::from_millis(1999),
    };
    let size = |message: &LinkMessage| link::encode(message).len();
    let crash = size(&LinkMessage::Crashes(vec![report.clone()]));
    let two = size(&LinkMessage::Crashes(vec![report.clone(), report]));
    let served = size(&LinkMessage::Served(vec![RequestDigest::MAX]));
    let state = state_after(&[Quarantine(vec![RequestDigest::MAX])]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&CompactUpdate(state.update_since(0)), &mut bytes).expect("it fits");
    println!("crash={crash} further={} served={served} update={}", two - crash, bytes.len());
    assert!(crash <= MAX_REPORT_BYTES, "{crash} bytes");
    assert!(served <= MAX_REPORT_BYTES, "{served} bytes");
}
