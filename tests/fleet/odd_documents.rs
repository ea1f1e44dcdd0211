//! Bad documents with tenants, and several operators who change documents and evacuate at once.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use crate::entry::TestSystem;
use crate::harness::{ScriptedServer, TEST_TIMEOUT, call, exchange, parse_response, wait_for};
use crate::tenant_keys::{tenants, text};

const DOCUMENT_PATH: &str = "/.curranthollow/document";

/// Sends a document as bytes; returns the status and the body of the response.
fn put_bytes(address: SocketAddr, body: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(address).expect("the member listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    let length = body.len();
    let head = format!(
        "PUT {DOCUMENT_PATH} HTTP/1.1\r\nhost: m\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    // A member that refuses a long body does not read all of it.
    let _ = stream.write_all(&[head.as_bytes(), body].concat());
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    parse_response(&String::from_utf8_lossy(&response))
}

/// Guards against a bad document that is acknowledged, that ends a member, that costs the one in force, or whose
/// refusal shows a key.
#[test]
fn bad_documents_are_refused_and_lose_nothing() {
    let server = ScriptedServer::start(&[]);
    let in_force = text(5, tenants(&[("a", &["k1"])]));
    let system = TestSystem::start_with_document(&[server.address], None, &in_force);
    let valid = text(9, tenants(&[("NAME", &["SECRET"])])).into_bytes();
    let at = valid.windows(4).position(|bytes| bytes == b"NAME").expect("the name is there");
    let mut not_text = valid.clone();
    not_text[at] = 0xff;
    let deep = text(9, tenants(&[])).replace("[]", &"[".repeat(100_000));
    let huge_name = text(9, tenants(&[(&"n".repeat(3 << 20), &["SECRET"])]));
    let cases: [(&str, Vec<u8>, u16); 7] = [
        ("cut off", valid[..valid.len() / 2].to_vec(), 400),
        ("empty", Vec::new(), 400),
        ("name that is not text", not_text, 400),
        ("deep", deep.into_bytes(), 400),
        ("name of megabytes", huge_name.into_bytes(), 400),
        ("larger than the limit", vec![b' '; 5 << 20], 413),
        ("shared key", text(9, tenants(&[("a", &["SECRET"]), ("b", &["SECRET"])])).into(), 400),
    ];
    for (name, body, expected) in cases {
        for member in &system.fleet.members {
            let (status, message) = put_bytes(member.operator, &body);
            assert_eq!(status, expected, "{name}: {message}");
            assert!(!message.contains("SECRET") && message.len() < 400, "{name}: {message}");
        }
    }
    assert_eq!(system.fleet.read_document(0), Some(in_force));
    assert_eq!(get(&system, "k1"), 200);
    assert_eq!(get(&system, "SECRET"), 401);
}

/// Returns the status of a request with this key.
fn get(system: &TestSystem, key: &str) -> u16 {
    let request = format!(
        "GET /read/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: r\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    parse_response(&exchange(system.entry.traffic, request.as_bytes()).expect("the entry responds"))
        .0
}

/// Number of changes of each operator.
const CHANGE_COUNT: u64 = 8;

/// Sends an order to one member after the other until one acknowledges it; no answer may refuse it.
fn order(members: &[SocketAddr], first: usize, method: &str, path: &str, body: &str) {
    let mut member = first;
    wait_for("an order to be acknowledged", || {
        member = (member + 1) % members.len();
        let (status, message) = call(members[member], method, path, body);
        assert!(matches!(status, 200 | 503 | 0), "{method} {path}: {status} {message}");
        status == 200
    });
}

/// Guards against a change that is refused, lost or mixed with another one when operators send documents with
/// keys and evacuations to different members at the same time.
#[test]
fn operators_change_keys_and_evacuations_at_once() {
    let server = ScriptedServer::start(&[]);
    let first = text(1, tenants(&[("a", &["k1"])]));
    let system = TestSystem::start_with_document(&[server.address], None, &first);
    let addresses: Vec<_> = system.fleet.members.iter().map(|member| member.operator).collect();
    // The operators' versions interleave: operator 0 has the even ones, operator 1 the odd ones.
    let document = |version: u64| {
        let key = format!("v{version}");
        text(version, tenants(&[("a", &[&key]), ("b", &["kept"])]))
    };
    std::thread::scope(|scope| {
        for operator in 0..2 {
            let addresses = &addresses;
            scope.spawn(move || {
                for change in 1..=CHANGE_COUNT {
                    let version = change * 2 + operator;
                    order(addresses, operator as usize, "PUT", DOCUMENT_PATH, &document(version));
                    let zone = format!("/.curranthollow/evacuations/other-{operator}");
                    let method = if change % 2 == 1 { "POST" } else { "DELETE" };
                    order(addresses, change as usize, method, &zone, "");
                }
            });
        }
    });
    let newest = CHANGE_COUNT * 2 + 1;
    for member in 0..addresses.len() {
        wait_for("each member to read the newest document", || {
            system.fleet.read_document(member) == Some(document(newest))
        });
    }
    let key = format!("v{newest}");
    wait_for("the newest key to be in force", || get(&system, &key) == 200);
    let older = (2..newest).map(|version| get(&system, &format!("v{version}")));
    assert!(older.into_iter().all(|status| status == 401));
    assert_eq!((get(&system, "k1"), get(&system, "kept")), (401, 200));
}
