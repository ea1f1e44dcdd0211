//! Stocks of deputies, without a network.

use std::collections::BTreeMap;
use std::time::Duration;

use curranthollow::fleet::quota::deputy::QuotaDeputy;
use curranthollow::fleet::quota::message::{
    AskKind, AskRow, EntryIncarnation, GrantRow, QuotaAsk, QuotaGrant,
};
use curranthollow::fleet::quota::{GRANT_TIME, LEASE_TIME};
use curranthollow::suspension::BootTime;

use crate::quota_parts::{TENANT, rule};

const START: BootTime = Duration::from_secs(1_000);

/// Deputy with a stock of ten tokens without a rate.
fn deputy_with_ten() -> QuotaDeputy {
    let mut deputy = QuotaDeputy::new("m0", START);
    let ask = deputy.next_ask(START).expect("the first ask is due");
    deputy.on_grant(START, &stock_grant(ask.number, 10));
    deputy
}

fn stock_grant(number: u64, tokens: u32) -> QuotaGrant {
    let row = GrantRow {
        tenant: TENANT.into(),
        rate: 0.0,
        depth: 10.0,
        limit: 40.0,
        tokens,
        next_ms: 0,
        is_used_up: false,
    };
    QuotaGrant { number, holder: "m1".into(), rows: vec![row], is_stock: false }
}

fn lend(deputy: &mut QuotaDeputy, now: BootTime, kind: AskKind, wanted: u32) -> Option<u32> {
    let row = AskRow { tenant: TENANT.into(), rate: 0.0, depth: 0.0, demand: 1.0, wanted };
    let ask =
        QuotaAsk { entry: EntryIncarnation("e0".into(), 1), number: 1, rows: vec![row], kind };
    let tenants = BTreeMap::from([(TENANT.into(), rule(40.0, 40.0))]);
    let grant = deputy.lend(now, &tenants, &ask, false)?;
    assert!(grant.is_stock);
    Some(grant.rows.iter().map(|row| row.tokens).sum())
}

/// Guards against entries of older versions that take the grant of a deputy for the end of their leases.
#[test]
fn entries_of_older_versions_get_no_stock() {
    let mut deputy = deputy_with_ten();
    assert_eq!(lend(&mut deputy, START, AskKind::Old, 1), None);
    assert_eq!(lend(&mut deputy, START, AskKind::First, 1), Some(1));
}

/// Guards against a stock that is filled again while its tokens are on their way, so that entries hold more than
/// the holder has counted.
#[test]
fn tokens_on_their_way_count_as_stock() {
    let mut deputy = deputy_with_ten();
    assert_eq!(lend(&mut deputy, START, AskKind::Repeated, 8), Some(8));
    let now = START + Duration::from_millis(400);
    assert_eq!(lend(&mut deputy, now, AskKind::Repeated, 2), Some(2));
    let ask = deputy.next_ask(now).expect("an ask is due");
    assert_eq!(ask.rows[0].wanted, 8, "two of ten tokens are on their way");
    deputy.on_grant(now, &stock_grant(ask.number, 10));
    assert_eq!(lend(&mut deputy, now, AskKind::Repeated, 10), Some(8));
}

/// Guards against a frozen member that lends afterwards what it held before, and against late or repeated grants.
#[test]
fn a_stock_ends() {
    let mut deputy = deputy_with_ten();
    deputy.on_grant(START, &stock_grant(1, 10));
    let end = START + LEASE_TIME - GRANT_TIME;
    assert_eq!(lend(&mut deputy, end, AskKind::Repeated, 1), None);
    let ask = deputy.next_ask(end).expect("an ask is due");
    deputy.on_grant(end + GRANT_TIME, &stock_grant(ask.number, 10));
    assert_eq!(lend(&mut deputy, end + GRANT_TIME, AskKind::Repeated, 1), None);
}
