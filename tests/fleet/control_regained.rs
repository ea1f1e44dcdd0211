//! Tests of what an entry does with suspects when control comes back.

use std::time::{Duration, Instant};

use curranthollow::fleet::entry::local_quarantine::REGAIN_HOLD_TIME;

use crate::crash_server::{CrashServer, LONG};
use crate::harness::{TestEntry, TestFleet, announce, announcement, call, document, wait_for};

/// Guards against a suspect that is sent on while the decision of a new leader is on its way, and against
/// an innocent one that is refused for good or longer than needed.
#[test]
fn a_suspect_waits_until_control_had_time_to_decide() {
    let servers = [(); 2].map(|()| CrashServer::start());
    let mut fleet = TestFleet::with_members(3);
    fleet.put_document(&document(1));
    for (number, server) in servers.iter().enumerate() {
        announce(&fleet, &format!("s{number}"), &announcement(server.address, false, 1, 1));
    }
    let entry = TestEntry::start(&fleet.seeds);
    wait_for("the entry to be ready", || entry.is_ready());
    let traffic = entry.traffic;
    let send = move || call(traffic, "POST", "/book/1", LONG).0;

    // The request runs on a server that crashes for another reason.
    let sent = std::thread::spawn(send);
    let running = || servers.iter().find(|server| server.count(LONG) > 0);
    wait_for("the request to run", || running().is_some());
    running().expect("it runs").crash();
    assert_eq!(sent.join().expect("the call ends"), 502);
    wait_for("the crash to count", || entry.metric("entry_crashes_reported_total") == 1);

    for member in &mut fleet.members {
        member.kill();
    }
    wait_for("the entry to lose control", || entry.metric("entry_fresh_members") == 0);
    let seeds = fleet.seeds.clone();
    for member in &mut fleet.members {
        member.start(&seeds, false);
    }
    wait_for("control to be back", || entry.metric("entry_fresh_members") > 0);
    let regained_at = Instant::now();
    assert_eq!(send(), 503);
    assert_eq!(call(traffic, "POST", "/book/1", "other").0, 200);
    wait_for("the request to be served", || send() == 200);
    // The request itself takes 700 ms.
    let limit = REGAIN_HOLD_TIME + Duration::from_millis(700) + Duration::from_secs(1);
    assert!(regained_at.elapsed() < limit, "served after {:?}", regained_at.elapsed());
}
