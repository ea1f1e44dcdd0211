//! Tests of the retry budget.

use std::time::{Duration, Instant};

use curranthollow::fleet::budget::RetryBudget;
use curranthollow::fleet::config::RetryLimits;

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, slack: 56, window: Duration::from_secs(10) };

/// Guards against more retries than all entries together may send, in any window.
#[test]
fn all_entries_together_stay_within_the_limits_in_every_window() {
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let entries = random.u32(1..40);
        let mut budgets: Vec<_> = (0..entries).map(|_| RetryBudget::new(LIMITS)).collect();
        let start = Instant::now();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for step in 0..4000_u64 {
            let now = start + Duration::from_millis(step * 10);
            let is_busy = (step / 500) % 2 == 0;
            if !is_busy && random.u32(0..10) > 0 {
                continue;
            }
            let budget = &mut budgets[random.usize(0..entries as usize)];
            budget.record_request(now);
            requests.push(now);
            while budget.try_take(now, entries) {
                retries.push(now);
            }
        }
        for end in (0..400).map(|tenth| start + Duration::from_millis(tenth * 100)) {
            let count = |times: &[Instant], end: Instant| {
                let window_start = end.checked_sub(LIMITS.window);
                let in_window = times.iter().filter(|time| {
                    **time <= end && window_start.is_none_or(|window_start| **time > window_start)
                });
                in_window.count() as f64
            };
            let earlier = end.checked_sub(LIMITS.window).unwrap_or(start);
            let request_count = count(&requests, end).max(count(&requests, earlier));
            let allowed = LIMITS.ratio * request_count + f64::from(LIMITS.slack);
            assert!(count(&retries, end) <= allowed, "seed {seed}, {entries} entries");
        }
    }
}

/// Guards against a budget that never recovers.
#[test]
fn the_budget_recovers_after_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    while budget.try_take(now, 1) {}
    assert!(!budget.try_take(now + LIMITS.window / 2, 1));
    assert!(budget.try_take(now + LIMITS.window * 2, 1));
}

/// Guards against a budget that is used up by retries that never reached a server.
#[test]
fn a_retry_that_was_not_sent_is_given_back() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    let before = budget.remaining(now, 1);
    for step in 0..200 {
        let now = now + Duration::from_millis(step * 40);
        assert!(budget.try_take(now, 1), "step {step}");
        budget.give_back(now);
    }
    assert_eq!(budget.remaining(now + Duration::from_secs(8), 1), before);
}

/// Guards against a returned retry that frees the place of a later one, which was sent.
#[test]
fn a_returned_retry_leaves_later_ones_counted() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(LIMITS);
    let later = start + Duration::from_secs(2);
    assert!(budget.try_take(start, 1) && budget.try_take(later, 1));
    budget.give_back(start);
    // The first retry has left the window by then, the second one has not.
    let end = start + Duration::from_millis(11_500);
    let counted = RetryBudget::new(LIMITS).remaining(end, 1) - budget.remaining(end, 1);
    assert_eq!(counted, 1.0);
}
