//! Tests of the membership and durability of control members as real processes.

use crate::harness::{TestFleet, TestMember, call, document, wait_for};

/// Guards against a learner that is never promoted: with three voters, the loss of two disks loses
/// the document.
#[test]
fn an_acknowledged_document_survives_two_lost_disks() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    fleet.put_document(&document(2));
    for member in &mut fleet.members {
        member.kill();
    }
    for member in &mut fleet.members[..2] {
        member.wipe();
    }
    let seeds = fleet.seeds.clone();
    for member in &mut fleet.members {
        member.start(&seeds, false);
    }
    for member in 0..5 {
        wait_for("every member to read the newest document", || {
            fleet.read_document(member) == Some(document(2))
        });
    }
}

/// Guards against a join request that reaches only followers: a member whose disk is lost knows
/// only the seeds, and none of them need be the leader.
#[test]
fn a_wiped_member_joins_through_followers() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    for lost in 0..5 {
        fleet.members[lost].kill();
        fleet.members[lost].wipe();
        for via in (0..5).filter(|via| *via != lost) {
            let seed = fleet.members[via].link;
            fleet.members[lost].start(&[seed], false);
            wait_for("the wiped member to read", || fleet.read_document(lost) == Some(document(1)));
            fleet.members[lost].kill();
            fleet.members[lost].wipe();
        }
        let seeds = fleet.seeds.clone();
        fleet.members[lost].start(&seeds, false);
        wait_for("the wiped member to read", || fleet.read_document(lost) == Some(document(1)));
        wait_for_voters(&fleet, 5);
    }
}

/// Guards against a replacement that never becomes a voter: two more losses follow it.
#[test]
fn a_replacement_at_another_address_takes_the_place_of_a_lost_member() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    fleet.members[4].kill();
    let mut new = TestMember::new();
    new.start(&fleet.seeds, false);
    fleet.members.push(new);
    wait_for("the new member to read", || fleet.read_document(5) == Some(document(1)));
    wait_for("the new member to vote", || {
        let voters = crate::harness::voters(fleet.members[0].link);
        voters.contains(&fleet.members[5].link) && voters.len() == 5
    });
    fleet.members[0].kill();
    fleet.members[1].kill();
    fleet.put_document_to([2, 3, 5], &document(2));
    wait_for("the remaining members to read", || fleet.read_document(5) == Some(document(2)));
}

/// Guards against a member that was replaced while it was off and stays out for ever when it is back
/// with its disk (review case 1): the fleet would bear one loss less than it must.
#[test]
fn a_member_that_was_replaced_while_it_was_off_votes_again() {
    let mut fleet = TestFleet::with_members(6);
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    let voters = crate::harness::voters(fleet.members[0].link);
    let standby = fleet.members.iter().position(|member| !voters.contains(&member.link));
    let standby = standby.expect("the sixth member is a learner");
    let [off, other, witness] = distinct_members(standby);
    fleet.members[off].kill();
    await_vote(&fleet, witness, standby, off);
    let seeds = fleet.seeds.clone();
    fleet.members[off].start(&seeds, false);
    wait_for("the member to read", || fleet.read_document(off) == Some(document(1)));
    fleet.members[other].kill();
    await_vote(&fleet, witness, off, other);
}

/// Three members that vote while `standby` does not.
fn distinct_members(standby: usize) -> [usize; 3] {
    let mut voters = (0..6).filter(|member| *member != standby);
    std::array::from_fn(|_| voters.next().expect("five members vote"))
}

/// Waits until `witness` reports `new` as a voter in the place of `old`.
fn await_vote(fleet: &TestFleet, witness: usize, new: usize, old: usize) {
    wait_for("a member to be replaced", || {
        let voters = crate::harness::voters(fleet.members[witness].link);
        voters.len() == 5
            && voters.contains(&fleet.members[new].link)
            && !voters.contains(&fleet.members[old].link)
    });
}

/// Number of changes of a large document. Each of them is about a megabyte in the log.
const LARGE_CHANGES: u64 = 80;

/// Bound of a data folder: three segments of the log, a snapshot and its successor.
const MAX_FOLDER_BYTES: u64 = 32 << 20;

/// Returns a document with 1,700 routes.
fn large_document(version: u64) -> String {
    let mut value: serde_json::Value =
        serde_json::from_str(&document(version)).expect("the text is JSON");
    let route = value["routes"][0].clone();
    let routes = value["routes"].as_array_mut().expect("the document has routes");
    for number in 0..1698 {
        let mut route = route.clone();
        route["name"] = format!("read-{number}").into();
        route["prefix"] = format!("/read/more-{number}/").into();
        routes.push(route);
    }
    value.to_string()
}

/// Guards against a log that is cut by the number of its entries only (review case 2): large documents
/// fill the memory of a member, and each start reads the same log.
#[test]
fn the_log_is_cut_by_its_size() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    for version in 2..2 + LARGE_CHANGES {
        fleet.put_document(&large_document(version));
    }
    let last = large_document(1 + LARGE_CHANGES);
    for member in 0..5 {
        wait_for("every member to read the newest document", || {
            fleet.read_document(member).as_ref() == Some(&last)
        });
        wait_for("the log to be cut", || fleet.members[member].folder_bytes() < MAX_FOLDER_BYTES);
    }
    for member in &mut fleet.members {
        member.kill();
    }
    let seeds = fleet.seeds.clone();
    for member in &mut fleet.members {
        member.start(&seeds, false);
    }
    wait_for("the newest document after a restart", || {
        fleet.read_document(4).as_ref() == Some(&last)
    });
}

/// Guards against an older document that replaces a newer one, and against an error for a repeated
/// change.
#[test]
fn the_highest_version_wins_and_older_ones_are_acknowledged() {
    let fleet = TestFleet::start();
    fleet.put_document(&document(5));
    for version in [3, 5] {
        fleet.put_document(&document(version));
    }
    for member in 0..5 {
        wait_for("every member to read version 5", || {
            fleet.read_document(member) == Some(document(5))
        });
    }
}

/// Guards against invalid documents that are acknowledged, at any member and after a valid one.
#[test]
fn an_invalid_document_is_rejected_and_changes_nothing() {
    let fleet = TestFleet::start();
    fleet.put_document(&document(1));
    let valid = document(9);
    let invalid = [
        valid[..valid.len() - 9].to_owned(),
        valid.replace("[\"rounds\",1.0]", "[\"unknown\",1.0]"),
        valid.replace("[\"rounds\",1.0]", "[\"rounds\",0.0]"),
        valid.replace("[\"rounds\",1.0]", "[\"rounds\",2.0],[\"rounds\",-1.0]"),
        valid.replace("\"max_attempts\":2", "\"max_attempts\":0"),
        valid.replace("/book/", "/read/"),
    ];
    for (member, text) in (0..5).cycle().zip(&invalid) {
        let address = fleet.members[member].operator;
        let (status, _) = call(address, "PUT", "/.curranthollow/document", text);
        assert_eq!(status, 400, "{text}");
    }
    wait_for("version 1 to be read", || fleet.read_document(0) == Some(document(1)));
}

/// Guards against a minority that serves reads.
#[test]
fn a_minority_serves_no_reads() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    wait_for_voters(&fleet, 5);
    for member in &mut fleet.members[..3] {
        member.kill();
    }
    for _ in 0..5 {
        assert_eq!(fleet.read_document(3), None);
        assert_eq!(fleet.read_document(4), None);
    }
}

fn wait_for_voters(fleet: &TestFleet, count: usize) {
    let running = fleet.members.iter().filter(|member| member.is_running());
    let links: Vec<_> = running.map(|member| member.link).collect();
    wait_for("all members to vote", || {
        links.iter().all(|link| crate::harness::voters(*link).len() == count)
    });
}
