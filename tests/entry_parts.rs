//! Unit tests of the choice of account holders, of held accounts and of failure responses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use curranthollow::credit::{
    CreditWallet, EntryMessage, ServerLimit, WalletEvent, WalletServer, WalletSettings, server_key,
};
use curranthollow::directory::ServiceKey;
use curranthollow::entry::{
    AccountSet, FailureReason, RunState, choose_account_holder, failure_response,
};
use curranthollow::link::LiveEntry;
use yare::parameterized;

fn service(number: usize) -> ServiceKey {
    ServiceKey { team: "blue".into(), service: format!("s{number}").as_str().into() }
}

fn live(count: usize) -> Vec<LiveEntry> {
    let mut entries = Vec::new();
    for number in 1..=count {
        entries.push(LiveEntry {
            name: format!("e{number}").as_str().into(),
            session: 1,
            availability_zone: "a".into(),
            suspect: false,
        });
    }
    entries
}

/// Guards against entries that choose different holders, against an uneven distribution of
/// accounts, and against accounts that move although their holder is still live.
#[test]
fn holders_are_even_and_stable() {
    const SERVICES: usize = 1300;
    let all = live(13);
    let mut counts = BTreeMap::new();
    for number in 0..SERVICES {
        let service = service(number);
        let holder = choose_account_holder(&service, &all).expect("there are entries");
        let mut reversed = all.clone();
        reversed.reverse();
        assert_eq!(choose_account_holder(&service, &reversed), Some(holder.clone()));
        let mut fewer = all.clone();
        fewer.retain(|entry| *entry.name != *"e7");
        let next = choose_account_holder(&service, &fewer).expect("there are entries");
        if *holder == *"e7" {
            assert_ne!(next, holder);
        } else {
            assert_eq!(next, holder);
        }
        *counts.entry(holder).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 13);
    for (holder, count) in counts {
        assert!((60..=140).contains(&count), "{holder} holds {count} accounts of {SERVICES}");
    }
}

/// Guards against choosing an entry that the leader cannot reach.
#[test]
fn suspect_entry_holds_no_account() {
    let mut entries = live(2);
    for number in 0..50 {
        entries[0].suspect = true;
        entries[1].suspect = false;
        assert_eq!(choose_account_holder(&service(number), &entries), Some("e2".into()));
        entries[1].suspect = true;
        assert_eq!(choose_account_holder(&service(number), &entries), None);
    }
    assert_eq!(choose_account_holder(&service(1), &[]), None);
}

fn limits(slots: u32) -> Vec<ServerLimit> {
    let server = server_key("s1");
    vec![ServerLimit { server, zone: "a".into(), slots, draining: false }]
}

/// Builds the first report of an entry's wallet.
fn first_report(now: Instant, entry: &str) -> EntryMessage {
    let settings = WalletSettings::default();
    let mut wallet = CreditWallet::new(now, entry.into(), "a".into(), settings);
    let server =
        WalletServer { server: server_key("s1"), zone: "a".into(), slots: 4, draining: false };
    wallet.handle(now, WalletEvent::ServersChanged(vec![server]));
    let changed = WalletEvent::HolderChanged { epoch: 1, live: vec!["e1".into(), "e2".into()] };
    wallet.handle(now, changed).expect("a report is due")
}

/// Change to an account before a wallet reports to it.
#[derive(Clone, Copy)]
enum AccountChange {
    Kept,
    Released,
    ServiceRemoved,
    HeldAgain,
}

/// Guards against answers from an account that is no longer held here: it would grant credits in
/// addition to the new holder.
#[parameterized(
    kept = { AccountChange::Kept, true },
    released = { AccountChange::Released, false },
    removed = { AccountChange::ServiceRemoved, false },
    held_again = { AccountChange::HeldAgain, true },
)]
fn only_held_accounts_answer(change: AccountChange, expected: bool) {
    let start = Instant::now();
    let mut accounts = AccountSet::new();
    let (entries, key) = (live(2), service(1));
    accounts.hold(start, &key, 1, &entries, limits(4));
    match change {
        AccountChange::Kept => (),
        AccountChange::Released => accounts.release(&key),
        AccountChange::ServiceRemoved => accounts.retain(|_| false),
        AccountChange::HeldAgain => accounts.hold(start, &key, 1, &entries, limits(4)),
    }
    accounts.take_actions();
    for entry in ["e1", "e2"] {
        accounts.receive(start, &key, &entry.into(), first_report(start, entry));
    }
    accounts.tick(start + Duration::from_millis(5));
    let answered: BTreeSet<_> =
        accounts.take_actions().into_iter().map(|(_, action)| action.entry).collect();
    assert_eq!(!answered.is_empty(), expected, "{answered:?}");
    assert!(accounts.take_actions().is_empty(), "actions are taken once");
    // A message for a service without an account here is ignored.
    accounts.receive(start, &service(2), &"e1".into(), first_report(start, "e1"));
    assert!(accounts.take_actions().is_empty());
}

/// Guards against building the list of servers for accounts that are not held here.
#[test]
fn servers_are_compared_for_held_accounts_only() {
    let now = Instant::now();
    let mut accounts = AccountSet::new();
    accounts.update_servers(now, &service(1), || panic!("the account is not held here"));
    accounts.hold(now, &service(1), 1, &live(1), limits(4));
    let mut calls = 0;
    accounts.update_servers(now, &service(1), || {
        calls += 1;
        limits(2)
    });
    assert_eq!(calls, 1);
}

/// Returns the index of a reason; the exhaustive match makes sure that new reasons are listed here.
fn position(reason: FailureReason) -> usize {
    match reason {
        FailureReason::NoService => 0,
        FailureReason::Malformed => 1,
        FailureReason::SettingsStale => 2,
        FailureReason::Stopping => 3,
        FailureReason::QueueFull => 4,
        FailureReason::DeadlineBeforeStart => 5,
        FailureReason::NoServer => 6,
        FailureReason::ServersUnavailable => 7,
        FailureReason::KeyMissing => 8,
        FailureReason::KeyInvalid => 9,
        FailureReason::KeyMismatch => 10,
        FailureReason::ClaimUnavailable => 11,
        FailureReason::ClaimUnknown => 12,
        FailureReason::OutcomeUnknown => 13,
        FailureReason::AlreadyRun => 14,
        FailureReason::BodyTooLarge => 15,
        FailureReason::ServerFailed => 16,
        FailureReason::ServerInvalid => 17,
        FailureReason::DeadlineExceeded => 18,
        FailureReason::Interrupted => 19,
    }
}

/// Guards against a reason without a table row, a code shared by two reasons, an unnoticed change
/// of a status or run state, and a refusal that wrongly claims "not run".
#[test]
fn failure_table_is_complete() {
    let rows: BTreeSet<usize> = FailureReason::ALL.into_iter().map(position).collect();
    assert_eq!(rows, (0..20).collect());
    let mut codes = BTreeSet::new();
    let mut lines = Vec::new();
    for reason in FailureReason::ALL {
        assert!(codes.insert(reason.code()), "code {} is shared by two reasons", reason.code());
        let (head, body) = failure_response(reason, "text", "id-1");
        let body: serde_json::Value = serde_json::from_slice(&body).expect("the body is JSON");
        assert_eq!(head.status, reason.status());
        assert_eq!(body["code"], reason.code());
        assert_eq!(body["request_id"], "id-1");
        let may_have_run = reason.run_state() != RunState::NotRun;
        assert_eq!(body["run"] != "not_run", may_have_run);
        // 503 invites a retry, so the request must not have run or must be protected by its claim.
        let is_protected = reason == FailureReason::ClaimUnknown;
        assert!(reason.status() != 503 || !may_have_run || is_protected, "{reason:?}");
        lines.push(format!("{reason:?}: {} {} {}", reason.status(), reason.code(), body["run"]));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
