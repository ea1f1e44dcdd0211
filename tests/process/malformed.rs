//! Malformed input on the ports of all processes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::client::Call;
use super::cluster::{ClusterOptions, DEFAULT_LEASE, TestCluster};
use super::mutation::mutate;
use super::support::{seed, wait_until};

/// Valid beginnings, which are mutated.
const TEXTS: [&str; 5] = [
    "GET /read HTTP/1.1\r\nhost: test\r\nx-run-id: m\r\n\r\n",
    "POST /book HTTP/1.1\r\nhost: test\r\nidempotency-key: k\r\ncontent-length: 4\r\n\r\nbody",
    "POST /.curranthollow/announce HTTP/1.1\r\nhost: e\r\ncontent-length: 13\r\n\r\n{\"team\":\"demo\"",
    "GET / HTTP/1.1\r\nhost: e\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
     sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n\x02\x7e\x01\x02",
    "PUT /settings/teams/demo HTTP/1.1\r\nhost: c\r\ncontent-length: 2\r\n\r\n{}",
];

fn send_bytes(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).expect("the process listens");
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 512]);
}

// Guards against one malformed message that takes a process down.
#[test]
fn malformed_input_ends_no_process() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    let mut random = fastrand::Rng::with_seed(seed());
    for _ in 0..40 {
        for (name, node) in &cluster.nodes {
            let mut addresses = vec![node.operator, node.link];
            if name.starts_with("entry") {
                addresses.push(node.traffic);
            }
            for address in addresses {
                let text = TEXTS[random.usize(..TEXTS.len())];
                send_bytes(address, &mutate(&mut random, text.as_bytes()));
            }
        }
    }
    let entry = cluster.entry(1);
    wait_until("a request is served", || Call::get("/read", "after").send(entry).is_served());
    wait_until("all control processes are up", || {
        cluster.status().is_some_and(|status| status.survivable_losses == Some(1))
    });
    // A process that had ended and was not restarted would have no exit to wait for.
    cluster.terminate("entry-1");
    cluster.wait_for_exit("entry-1");
}
