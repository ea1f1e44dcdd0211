//! Malformed input on all ports of real processes: none of it ends a process or one of its tasks.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use curranthollow::fleet::link::{self, FollowMode, ForwardCall, LinkFrame, LinkMessage};
use tokio::runtime::Builder;

use crate::harness::{
    ScriptedServer, TestEntry, TestFleet, announce, announcement, call, document, wait_for,
};
use crate::mutation::mutate;

static PANIC_COUNT: AtomicUsize = AtomicUsize::new(0);

/// Counts panics in the threads of processes; tests run in threads with a name.
fn count_panics() {
    let previous = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        if std::thread::current().name().is_none() {
            PANIC_COUNT.fetch_add(1, Ordering::SeqCst);
        }
        previous(info);
    }));
}

fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let Ok(mut stream) = TcpStream::connect(address) else { panic!("{address} does not listen") };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 512]);
}

/// Sends frames on one link until it is closed.
fn send_frames(address: SocketAddr, frames: Vec<LinkFrame>) {
    let runtime = Builder::new_current_thread().enable_all().build().expect("it can be built");
    runtime.block_on(async {
        let Ok((mut writer, _reader)) = link::connect(address).await else { return };
        for frame in frames {
            if writer.send(frame).await.is_err() {
                return;
            }
        }
    });
}

/// Guards against one malformed message that takes a process down.
#[test]
fn malformed_input_ends_no_process() {
    count_panics();
    let server = ScriptedServer::start(&[]);
    let fleet = TestFleet::start();
    fleet.put_document(&document(1));
    announce(&fleet, "s0", &announcement(server.address, false, 1, 1));
    let entry = TestEntry::start(&fleet.seeds);
    wait_for("the entry to be ready", || entry.is_ready());
    let member = &fleet.members[0];
    let put = |path: &str, body: &str| {
        let length = body.len();
        format!("PUT {path} HTTP/1.1\r\nhost: shop\r\ncontent-length: {length}\r\n\r\n{body}")
    };
    let heartbeat = announcement(server.address, false, 1, 2);
    let valid_texts = [
        (member.operator, put("/.curranthollow/document", &document(2))),
        (member.operator, put("/.curranthollow/servers/s9", &heartbeat)),
        (member.link, "GET / HTTP/1.1\r\nupgrade: websocket\r\n\r\n".to_owned()),
        (entry.readiness, "GET /.curranthollow/ready HTTP/1.1\r\nhost: e\r\n\r\n".to_owned()),
        (entry.traffic, "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\n\r\n".to_owned()),
        (entry.traffic, put("/book/1", "body").replace("PUT", "POST")),
    ];
    let valid_messages = [
        LinkMessage::Follow { name: "e".into(), revision: 7, mode: FollowMode::UpdateParts },
        LinkMessage::Member { name: "127.0.0.1:1".into() },
        LinkMessage::Join { name: "127.0.0.1:1".into(), member: 9, listed_at: Some(3) },
        LinkMessage::Removed { member: 9 },
        LinkMessage::Forward { request: 3, call: ForwardCall::Propose(vec![1, 2, 3]) },
        LinkMessage::Forward { request: 4, call: ForwardCall::ReadIndex },
        LinkMessage::Seen(vec![("s".into(), 1)]),
        LinkMessage::Revision(1 << 60),
        LinkMessage::UpdatePart { bytes: vec![0xff; 40], is_last: true },
    ];
    let mut random = fastrand::Rng::with_seed(23);
    for _ in 0..60 {
        for (address, text) in &valid_texts {
            send_bytes(*address, &mutate(&mut random, text.as_bytes()));
        }
        let first = &valid_messages[random.usize(..2)];
        let mut frames = vec![link::encode(first)];
        for message in &valid_messages {
            frames.push(mutate(&mut random, &link::encode(message)).into());
        }
        send_frames(member.link, frames);
    }
    assert_eq!(PANIC_COUNT.load(Ordering::SeqCst), 0, "a task panicked");
    fleet.put_document(&document(900));
    wait_for("the entry to serve", || call(entry.traffic, "GET", "/read/1", "").0 == 200);
    assert!(entry.is_ready());
    assert_eq!(fleet.read_document(0), Some(document(900)));
}
