//! Tests of the quarantine with real members: reports over links, and the calls of an operator.

use std::net::SocketAddr;
use std::time::Duration;

use curranthollow::fleet::crash::CrashReport;
use curranthollow::fleet::link::{self, FollowMode, LinkMessage};
use curranthollow::ids::RequestDigest;
use tokio::runtime::Builder;

use crate::harness::{TestFleet, call, document, wait_for};

const LIST_PATH: &str = "/.curranthollow/quarantine";

/// Sends crash reports as an entry does, and waits until the member has read them.
fn send_crashes(member: SocketAddr, digest: RequestDigest, servers: &[&str]) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("it can be built");
    runtime.block_on(async {
        let (mut writer, mut reader) = link::connect(member).await.expect("the member listens");
        let mode = FollowMode::NoticesOnly;
        let follow = LinkMessage::Follow { name: "test".into(), revision: 0, mode };
        writer.send(link::encode(&follow)).await.expect("the link is open");
        loop {
            let message = reader.receive().await.expect("the link is open");
            if let LinkMessage::Fresh(notice) = message {
                assert!(notice.accepts_crashes);
                break;
            }
        }
        for server in servers {
            let (ran_for, age) = (Duration::ZERO, Duration::ZERO);
            let report = CrashReport { digest, server: (*server).into(), started: 1, ran_for, age };
            let message = LinkMessage::Crashes(vec![report]);
            writer.send(link::encode(&message)).await.expect("the link is open");
        }
        // A notice that follows the reports shows that the member served the link meanwhile.
        for _ in 0..2 {
            reader.receive().await.expect("the link is open");
        }
    });
}

/// Returns the list of a member.
fn list(member: SocketAddr) -> serde_json::Value {
    let (status, body) = call(member, "GET", LIST_PATH, "");
    assert_eq!(status, 200);
    serde_json::from_str(&body).expect("the list is JSON")
}

fn digests(list: &serde_json::Value, kind: &str) -> Vec<String> {
    let items = list[kind].as_array().expect("it is an array").iter();
    items.map(|item| item["digest"].as_str().expect("it is text").to_owned()).collect()
}

fn leads(member: SocketAddr) -> bool {
    list(member)["leads"] == true
}

fn delete(member: SocketAddr, digest: &str) -> u16 {
    call(member, "DELETE", &format!("{LIST_PATH}/{digest}"), "").0
}

/// Guards against evidence that is lost at a follower, and against a quarantine that an operator cannot
/// see or clear.
#[test]
fn an_operator_sees_and_clears_the_quarantine() {
    let mut fleet = TestFleet::start();
    fleet.put_document(&document(1));
    let operators: Vec<_> = fleet.members.iter().map(|member| member.operator).collect();
    wait_for("one leader", || operators.iter().filter(|member| leads(**member)).count() == 1);
    let leader = operators.iter().position(|member| leads(*member)).expect("one leads");
    let follower = (leader + 1) % operators.len();
    send_crashes(fleet.members[follower].link, 0xab, &["a", "b"]);
    let suspect = vec![format!("{:032x}", 0xab)];
    wait_for("the leader to suspect the request", || {
        digests(&list(operators[leader]), "suspects") == suspect
    });
    send_crashes(fleet.members[follower].link, 0xab, &["c"]);
    for member in &operators {
        wait_for("the request to be in quarantine", || {
            digests(&list(*member), "quarantined") == suspect
        });
    }
    wait_for("the leader to tell the evidence", || {
        let crashed = list(operators[leader])["quarantined"][0]["crashed"].clone();
        crashed.as_array().is_some_and(|crashed| crashed.len() == 3)
    });
    assert_eq!(delete(operators[follower], "xyz"), 400);
    assert_eq!(delete(operators[follower], "+ab"), 400);
    assert_eq!(delete(operators[follower], &"1".repeat(33)), 400);
    assert_eq!(delete(operators[follower], "ac"), 404);
    wait_for("the release", || delete(operators[follower], &suspect[0]) == 200);
    for member in &operators {
        wait_for("the request to be released", || {
            digests(&list(*member), "quarantined").is_empty()
        });
    }
    assert_eq!(delete(operators[follower], &suspect[0]), 404);
    send_crashes(fleet.members[leader].link, 0xcd, &["a", "b", "c"]);
    wait_for("the second request to be in quarantine", || {
        digests(&list(operators[follower]), "quarantined") == [format!("{:032x}", 0xcd)]
    });
    for number in (0..operators.len()).filter(|number| *number != follower) {
        fleet.members[number].kill();
    }
    assert_eq!(delete(operators[follower], "cd"), 503);
}
