//! Model of entries, members and servers without a network: requests that crash servers, innocent
//! requests beside them, and faults of servers, links and leaders.

mod world;

use self::world::{Outcome, run};

/// Seeds that run in CI.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Sends after the third server ended under a request; the target allows three.
const MAX_FURTHER_SENDS: usize = 3;

/// Returns what a run shows against the rules.
fn faults(seed: u64, outcome: &Outcome) -> Vec<String> {
    let mut faults = Vec::new();
    if !outcome.innocents_quarantined.is_empty() {
        faults.push(format!("seed {seed}: innocents {:?}", outcome.innocents_quarantined));
    }
    if !outcome.lost_from_quarantine.is_empty() {
        faults.push(format!("seed {seed}: lost {:?}", outcome.lost_from_quarantine));
    }
    if outcome.late_sends > 0 {
        faults.push(format!("seed {seed}: {} late sends", outcome.late_sends));
    }
    for crashing in &outcome.crashing {
        if !crashing.quarantined || crashing.further_sends > MAX_FURTHER_SENDS {
            faults.push(format!("seed {seed}: {crashing:?}"));
        }
    }
    faults
}

/// Guards against innocent requests in quarantine, and against crashing ones that go on.
#[test]
fn crashing_requests_are_separated_from_their_neighbours() {
    let count = std::env::var("CRASH_MODEL_SEEDS").ok().and_then(|count| count.parse().ok());
    let seeds = count.map_or(SEEDS, |count| 0..count);
    let mut found = Vec::new();
    let (mut crashes, mut crashing_count, mut innocent_crashes) = (0, 0, 0);
    for seed in seeds {
        let outcome = run(seed);
        found.extend(faults(seed, &outcome));
        innocent_crashes += outcome.innocent_crashes;
        for crashing in &outcome.crashing {
            crashes += crashing.crashes;
            crashing_count += 1;
        }
    }
    println!(
        "crashing requests: {crashing_count}, their crashes: {crashes}, innocent sends lost: {innocent_crashes}"
    );
    assert!(found.is_empty(), "{}", found.join("\n"));
}
