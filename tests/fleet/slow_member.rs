//! Entries that follow a scripted member, which sends slowly or like an older version.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use curranthollow::fleet::dialect::WireDialect;
use curranthollow::fleet::document::RouteDocument;
use curranthollow::fleet::link::{self, FollowMode, FreshnessNotice, LinkMessage};
use curranthollow::fleet::native::NativeDialect;
use curranthollow::fleet::state::{FleetCommand, FleetState};
use curranthollow::fleet::update::CompactUpdate;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::harness::{TestEntry, call, document, free_address, wait_for};

/// How a scripted member sends its state.
#[derive(Clone, Copy)]
enum MemberKind {
    /// One part after the other, with a pause before each.
    Slow(Duration),
    /// The whole update at once, whatever the entry asks for, as older versions do.
    Old,
}

/// State with a document that needs many parts.
fn large_state() -> FleetState {
    let small = NativeDialect.parse_document(document(1).as_bytes()).expect("it is valid");
    let mut large = RouteDocument { version: 1, ..small.clone() };
    for ((host, prefix), rule) in &small.routes {
        for number in 0..2000 {
            let mut rule = rule.clone();
            rule.name = format!("{}-{number}", rule.name).into();
            large.routes.insert((host.clone(), format!("{prefix}more{number}/").into()), rule);
        }
    }
    let mut state = FleetState::default();
    let command = FleetCommand::PutDocument { document: Box::new(large), text: b"{}".to_vec() };
    state.apply(1, command);
    state
}

fn notice(address: SocketAddr) -> LinkMessage {
    LinkMessage::Fresh(FreshnessNotice {
        leader_age: Some(Duration::ZERO),
        members: vec![address],
        entries: 1,
        zone: "a".into(),
        revision: 1,
        accepts_crashes: true,
        accepts_quota_asks: false,
        leads: false,
    })
}

/// Starts a member; returns its address and the number of parts of its update.
fn start_member(kind: MemberKind) -> (SocketAddr, usize) {
    let address = free_address();
    let state = large_state();
    let update = state.update_since(0);
    let parts = link::encode_parts(&CompactUpdate(update.clone()));
    let part_count = parts.len();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime can be built").block_on(async {
            let listener = TcpListener::bind(address).await.expect("the port is free");
            while let Ok((stream, _)) = listener.accept().await {
                let Ok((mut writer, mut reader)) = link::accept(stream).await else { continue };
                let _ = writer.send(link::encode(&notice(address))).await;
                loop {
                    let received = reader.receive();
                    let received = tokio::time::timeout(Duration::from_millis(400), received).await;
                    let mode = match received {
                        Ok(Ok(LinkMessage::Follow { mode, .. })) => mode,
                        Ok(Ok(_)) => continue,
                        Ok(Err(_)) => break,
                        Err(_) => {
                            let _ = writer.send(link::encode(&notice(address))).await;
                            continue;
                        }
                    };
                    match kind {
                        MemberKind::Old => {
                            let update = LinkMessage::Update(update.clone());
                            let _ = writer.send(link::encode(&update)).await;
                        }
                        MemberKind::Slow(pause) if mode == FollowMode::UpdateParts => {
                            for part in &parts {
                                tokio::time::sleep(pause).await;
                                let _ = writer.send(part.clone()).await;
                            }
                        }
                        MemberKind::Slow(_) => {}
                    }
                }
            }
        });
    });
    (address, part_count)
}

/// Guards against an entry that never becomes ready because its state needs longer than the time
/// without a message after which a link is closed.
#[test]
fn a_state_that_takes_long_is_installed() {
    let (member, part_count) = start_member(MemberKind::Slow(Duration::from_millis(120)));
    let started = Instant::now();
    let entry = TestEntry::start(&[member]);
    wait_for("the entry to be ready", || entry.is_ready());
    assert!(started.elapsed() > Duration::from_secs(2), "{part_count} parts are no slow state");
    assert_eq!(call(entry.traffic, "GET", "/read/more1999/x", "").0, 503);
}

/// Guards against entries that cannot follow members of an older version during an upgrade.
#[test]
fn an_older_member_can_be_followed() {
    let (member, _) = start_member(MemberKind::Old);
    let entry = TestEntry::start(&[member]);
    wait_for("the entry to be ready", || entry.is_ready());
    assert_eq!(call(entry.traffic, "GET", "/read/more1999/x", "").0, 503);
}
