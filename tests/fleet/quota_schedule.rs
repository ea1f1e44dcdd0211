//! Quotas over many entries, without a network: the bound of the rule under random failures, and what
//! callers get while they stay below their limit.

use std::time::Duration;

use curranthollow::fleet::quota::purse::{QuotaPurse, TakeOutcome};
use curranthollow::fleet::quota::{LEASE_TIME, RENEWAL_INTERVAL};
use curranthollow::suspension::BootTime;
use yare::parameterized;

use crate::quota_parts::{QuotaParts, TENANT, rule};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against entries that together send more than the limit: asks and grants are lost, late and
/// repeated, entries and deputies are cut off, frozen, killed and started again, holders succeed each other
/// without knowing it, and the limit changes.
#[parameterized(
    small_tenant = { 2.6, 2.6, 3.0 },
    tenant_without_leases = { 40.0, 40.0, 2.0 },
    middle_tenant = { 120.0, 60.0, 2.0 },
    large_tenant = { 430.0, 430.0, 1.5 },
    large_tenant_without_burst = { 430.0, 0.0, 1.5 },
    small_rate_with_large_burst = { 1.0, 200.0, 20.0 },
)]
fn no_window_exceeds_the_limit(rate: f64, burst: f64, overload: f64) {
    let mut sent = 0;
    for seed in 0..12 {
        let limit = rule(rate, burst);
        let mut parts = QuotaParts::new(12, &limit, seed);
        (parts.loss, parts.repeats, parts.delay) = (0.1, 0.1, Duration::from_millis(150));
        parts.misled = 0.05;
        let start = parts.now;
        for _ in 0..60 {
            disturb(&mut parts);
            let factor = overload * parts.random.f64() * 2.0;
            let skew = parts.random.usize(1..=12);
            let demand = move |entry| match entry < skew {
                true => rate * factor / skew as f64,
                false => 0.0,
            };
            let time = Duration::from_millis(parts.random.u64(50..900));
            parts.run(time, demand);
        }
        parts.assert_bound(start, &limit);
        sent += parts.outcomes.sent;
    }
    assert!(sent > 0, "the schedules sent nothing");
}

fn disturb(parts: &mut QuotaParts) {
    let entry = parts.random.usize(0..parts.entries.len());
    let until: BootTime = parts.now + Duration::from_millis(parts.random.u64(100..7_000));
    let member = parts.random.usize(0..parts.members.len());
    match parts.random.u32(0..10) {
        0 | 1 => parts.entries[entry].cut_until = until,
        2 => parts.entries[entry].frozen_until = until,
        3 | 4 => parts.restart(entry),
        5 => parts.elect(),
        6 => parts.depose(),
        7 => {
            parts.depose();
            parts.elect();
        }
        8 => parts.members[member].frozen_until = until,
        9 => parts.restart_member(member),
        _ => {}
    }
}

/// Guards against refusals below the limit.
#[parameterized(
    spread_over_all = { 95, 95, 430.0, 270.0 },
    clumped_at_three = { 95, 3, 430.0, 270.0 },
    at_one = { 12, 1, 40.0, 25.0 },
    at_one_with_a_lease = { 12, 1, 120.0, 75.0 },
    three_hundred_entries = { 300, 300, 430.0, 270.0 },
)]
fn nothing_is_refused_below_the_limit(entries: usize, used: usize, rate: f64, demand: f64) {
    let mut parts = QuotaParts::new(entries, &rule(rate, rate), 1);
    let demand = move |entry| if entry < used { demand / used as f64 } else { 0.0 };
    parts.run(seconds(20), demand);
    let outcomes = parts.take_outcomes();
    assert_eq!((outcomes.refused, outcomes.unknown), (0, 0), "{outcomes:?}");
    assert!(outcomes.sent as f64 > 0.9 * 20.0 * (0..entries).map(demand).sum::<f64>());
}

/// Guards against a fixed share, which starves a tenant whose few requests each reach another entry.
#[test]
fn a_small_tenant_is_served_at_any_entry() {
    let mut parts = QuotaParts::new(95, &rule(2.6, 2.6), 1);
    for number in 0..60 {
        parts.request(number * 37 % 95);
        parts.run(Duration::from_millis(600), |_| 0.0);
    }
    let outcomes = parts.take_outcomes();
    assert_eq!((outcomes.sent, outcomes.refused, outcomes.unknown), (60, 0, 0));
}

/// Guards against a flood that gets more than the limit, or less because entries hold tokens idle.
#[test]
fn a_flood_gets_the_limit() {
    let limit = rule(430.0, 430.0);
    let mut parts = QuotaParts::new(95, &limit, 1);
    let start = parts.now;
    parts.run(seconds(10), |_| 270.0 / 95.0);
    parts.take_outcomes();
    parts.run(seconds(20), |_| 6.0 * 270.0 / 95.0);
    let outcomes = parts.take_outcomes();
    parts.assert_bound(start, &limit);
    assert!(outcomes.sent as f64 > 0.9 * 20.0 * 430.0, "{outcomes:?}");
    // Refusals are decided at the entry, not by a message each.
    assert!(outcomes.asks < outcomes.refused / 4, "{outcomes:?}");
}

/// Guards against an outage while a leader is elected, and against a new holder that lends anew what its
/// predecessor has lent.
#[test]
fn leases_outlast_the_holder() {
    let limit = rule(430.0, 430.0);
    let mut parts = QuotaParts::new(12, &limit, 1);
    let start = parts.now;
    let demand = |_| 270.0 / 12.0;
    parts.run(seconds(10), demand);
    parts.take_outcomes();
    parts.depose();
    parts.run(Duration::from_millis(1_500), demand);
    parts.elect();
    parts.run(seconds(8), demand);
    let outcomes = parts.take_outcomes();
    parts.assert_bound(start, &limit);
    assert!(outcomes.sent as f64 > 0.95 * 9.5 * 270.0, "{outcomes:?}");
}

/// Guards against an outage of tenants without leases until a frozen leader is replaced.
#[parameterized(
    small_tenant = { 95, 2.6 },
    tenant_of_ten = { 95, 10.0 },
    tenant_of_thirty = { 95, 30.0 },
    tenant_of_thirty_at_one_entry = { 1, 30.0 },
    tenant_of_eighty = { 95, 80.0 },
)]
fn stocks_outlast_the_holder(entries: usize, rate: f64) {
    let limit = rule(rate, rate);
    let mut parts = QuotaParts::new(95, &limit, 1);
    let start = parts.now;
    let mean = rate / 1.6;
    let demand = move |entry| if entry < entries { mean / entries as f64 } else { 0.0 };
    parts.run(seconds(10), demand);
    parts.take_outcomes();
    parts.depose();
    parts.run(Duration::from_millis(1_200), demand);
    let outage = parts.take_outcomes();
    parts.elect();
    parts.run(seconds(6), demand);
    parts.assert_bound(start, &limit);
    assert!(outage.sent as f64 >= 0.5 * mean * 1.2 - 1.0, "{outage:?}");
}

/// Guards against an entry that spends without end what it was lent before it was cut off, and against
/// others that get nothing in the meantime.
#[test]
fn a_cut_off_entry_spends_its_lease_only() {
    let limit = rule(100.0, 100.0);
    let mut parts = QuotaParts::new(4, &limit, 1);
    let start = parts.now;
    parts.run(seconds(8), |_| 15.0);
    parts.take_outcomes();
    parts.entries[0].cut_until = parts.now + seconds(60);
    let lease_left = LEASE_TIME - RENEWAL_INTERVAL;
    parts.run(lease_left, |_| 15.0);
    let during_lease = parts.take_outcomes();
    assert!(during_lease.sent as f64 > 0.95 * lease_left.as_secs_f64() * 60.0, "{during_lease:?}");
    parts.run(seconds(3), |_| 15.0);
    parts.take_outcomes();
    parts.run(seconds(8), |entry| if entry == 0 { 15.0 } else { 0.0 });
    assert_eq!(parts.take_outcomes().sent, 0);
    parts.assert_bound(start, &limit);
}

/// Guards against a system that is refused for long after all its processes were killed.
#[test]
fn all_processes_come_back() {
    let limit = rule(430.0, 430.0);
    let mut parts = QuotaParts::new(12, &limit, 1);
    let (start, demand) = (parts.now, |_| 270.0 / 12.0);
    parts.run(seconds(8), demand);
    parts.depose();
    (0..12).for_each(|entry| parts.restart(entry));
    parts.run(Duration::from_millis(800), |_| 0.0);
    parts.elect();
    parts.run(seconds(6), demand);
    parts.take_outcomes();
    parts.run(seconds(5), demand);
    let outcomes = parts.take_outcomes();
    assert!(outcomes.sent as f64 > 0.95 * 5.0 * 270.0, "{outcomes:?}");
    parts.assert_bound(start, &limit);
}

/// Guards against leases that go on under a limit that was lowered, and against a raised one that stays
/// without effect.
#[test]
fn a_changed_limit_binds() {
    let (high, low) = (rule(430.0, 430.0), rule(20.0, 20.0));
    let mut parts = QuotaParts::new(12, &high, 1);
    let demand = |_| 270.0 / 12.0;
    parts.run(seconds(8), demand);
    parts.tenants.insert(TENANT.into(), low.clone());
    parts.entries.iter_mut().for_each(|entry| entry.rule = low.clone());
    let lowered_at = parts.now;
    parts.run(seconds(12), demand);
    parts.assert_bound(lowered_at, &low);
    parts.tenants.insert(TENANT.into(), high.clone());
    parts.entries.iter_mut().for_each(|entry| entry.rule = high.clone());
    parts.run(seconds(2), demand);
    parts.take_outcomes();
    parts.run(seconds(5), demand);
    let outcomes = parts.take_outcomes();
    assert!(outcomes.sent as f64 > 0.95 * 5.0 * 270.0, "{outcomes:?}");
}

/// Guards against requests that are counted although they were not sent, and against a purse that grows by
/// more of them than the holder has counted.
#[test]
fn a_request_that_was_not_sent_is_given_back() {
    let mut parts = QuotaParts::new(1, &rule(120.0, 120.0), 1);
    parts.run(seconds(8), |_| 45.0);
    parts.run(seconds(1), |_| 0.0);
    let (now, tenant) = (parts.now, TENANT.into());
    let purse = &mut parts.entries[0].purse;
    let take_all = |purse: &mut QuotaPurse| {
        let mut count = 0;
        while purse.take(now, &tenant, 120.0) == TakeOutcome::Taken {
            count += 1;
        }
        purse.stop_waiting(&tenant);
        count
    };
    let depth = take_all(purse);
    assert!(depth > 0);
    purse.give_back(now, &tenant, 120.0);
    assert_eq!(take_all(purse), 1);
    for _ in 0..100 {
        purse.give_back(now, &tenant, 120.0);
    }
    assert_eq!(take_all(purse), depth);
}
