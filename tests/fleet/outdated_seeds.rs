//! Entries whose seeds are members that are out of date.

use std::net::SocketAddr;
use std::time::Duration;

use curranthollow::fleet::link::{self, FreshnessNotice, LinkMessage};
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::harness::{TestEntry, TestFleet, document, free_address, wait_for};

/// Starts a member without a leader that names `members`.
fn start_outdated_member(members: Vec<SocketAddr>) -> SocketAddr {
    let address = free_address();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime can be built").block_on(async {
            let listener = TcpListener::bind(address).await.expect("the port is free");
            while let Ok((stream, _)) = listener.accept().await {
                let Ok((mut writer, _reader)) = link::accept(stream).await else { continue };
                let notice = LinkMessage::Fresh(FreshnessNotice {
                    leader_age: None,
                    members: members.clone(),
                    entries: 1,
                    zone: "a".into(),
                    revision: 0,
                    accepts_crashes: true,
                    accepts_quota_asks: false,
                    leads: false,
                });
                while writer.send(link::encode(&notice)).await.is_ok() {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        });
    });
    address
}

/// Guards against an entry that never finds control because its seeds are members that were removed while
/// they were off (review case 4): they run and know others, but are out of date.
#[test]
fn an_entry_finds_control_through_outdated_seeds() {
    let fleet = TestFleet::start();
    fleet.put_document(&document(1));
    let links: Vec<_> = fleet.members.iter().map(|member| member.link).collect();
    let second = start_outdated_member(links);
    let first = start_outdated_member(vec![free_address(), second]);
    let entry = TestEntry::start(&[first]);
    wait_for("the entry to be ready", || entry.is_ready());
}
