//! Budget for repeated sends.

use std::time::{Duration, Instant};

use curranthollow::fleet::budget::RetryBudget;
use curranthollow::fleet::config::RetryLimits;

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, slack: 56, window: Duration::from_secs(10) };

/// Guards against more repeated sends than all entries together may make, in any window.
#[test]
fn all_entries_together_stay_within_the_limits_in_every_window() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let entries = random.u32(1..40);
        let mut budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(LIMITS)).collect();
        let start = Instant::now();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for step in 0..4000_u64 {
            let now = start + Duration::from_millis(step * 10);
            let busy = (step / 500) % 2 == 0;
            if !busy && random.u32(0..10) > 0 {
                continue;
            }
            let budget = &mut budgets[random.usize(0..entries as usize)];
            budget.note_request(now);
            requests.push(now);
            while budget.take(now, entries) {
                repeats.push(now);
            }
        }
        for end in (0..400).map(|tenth| start + Duration::from_millis(tenth * 100)) {
            let count = |times: &[Instant], end: Instant| {
                let first = end.checked_sub(LIMITS.window);
                let inside = times
                    .iter()
                    .filter(|time| **time <= end && first.is_none_or(|first| **time > first));
                inside.count() as f64
            };
            let earlier = end.checked_sub(LIMITS.window).unwrap_or(start);
            let counted = count(&requests, end).max(count(&requests, earlier));
            let allowed = LIMITS.ratio * counted + f64::from(LIMITS.slack);
            assert!(count(&repeats, end) <= allowed, "seed {seed}, {entries} entries");
        }
    }
}

/// Guards against a budget that never fills again.
#[test]
fn the_budget_returns_after_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    while budget.take(now, 1) {}
    assert!(!budget.take(now + LIMITS.window / 2, 1));
    assert!(budget.take(now + LIMITS.window * 2, 1));
}
