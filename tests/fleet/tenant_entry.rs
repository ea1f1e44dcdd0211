//! Tests of callers with keys at a real entry on loopback.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use yare::parameterized;

use crate::entry::{GARBAGE, NOT_RUN, TestSystem};
use crate::harness::{
    ScriptedServer, ServerStep, TEST_TIMEOUT, VALID_RESPONSE, announce, announcement, exchange,
    header_value, parse_response, wait_for,
};
use crate::tenant_keys::{Holders, tenants, text};

/// Time after which the servers answer; the document has changed before.
const ANSWER_DELAY: Duration = Duration::from_millis(2000);

/// Returns a request that closes its connection and has these further header lines.
fn request(method: &str, path: &str, fields: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nx-request-id: r1\r\nconnection: close\r\n\
         content-length: 0\r\n{fields}\r\n"
    )
}

fn send(system: &TestSystem, method: &str, path: &str, fields: &str) -> String {
    let response = exchange(system.entry.traffic, request(method, path, fields).as_bytes());
    response.expect("the entry responds")
}

/// Waits until the entry serves requests with this key, or refuses them.
fn wait_for_key(system: &TestSystem, key: &str, status: u16) {
    let fields = format!("authorization: Bearer {key}\r\n");
    wait_for("the document to be in force", || {
        parse_response(&send(system, "GET", "/read/check", &fields)).0 == status
    });
}

/// Returns what requests under `path` told the server of keys and tenants.
fn seen(server: &ScriptedServer, path: &str) -> Vec<String> {
    let requests = server.requests();
    let requests = requests.iter().filter(|request| request.contains(path));
    requests
        .map(|request| {
            let fields = ["authorization", "x-tenant"];
            fields.map(|name| header_value(request, name).unwrap_or("-".into())).join(" ")
        })
        .collect()
}

/// Guards against a server that gets a request without a proper key, a key, or a tenant that a caller made up.
#[test]
fn keys_are_checked_and_replaced_by_tenants() {
    let server = ScriptedServer::start(&[]);
    let holders = tenants(&[("a", &["k1"]), ("b", &["k2"])]);
    let system = TestSystem::start_with_document(&[server.address], None, &text(1, holders));
    let claim = "x-tenant: b\r\nX-Tenant: b\r\n";
    let lines = [
        ("missing", ""),
        ("unknown", "authorization: Bearer k3\r\n"),
        ("other scheme", "authorization: Basic k1\r\n"),
        ("twice", "authorization: Bearer k1\r\nAuthorization: Bearer k1\r\n"),
        ("in force", "AUTHORIZATION: bearer k1\r\n"),
    ];
    let mut outcomes = Vec::new();
    for path in ["/read/", "/open/", "/none/"] {
        for (number, (name, line)) in lines.iter().enumerate() {
            let path = format!("{path}{number}");
            let response = send(&system, "GET", &path, &format!("{claim}{line}"));
            let challenge = header_value(&response, "www-authenticate").unwrap_or("-".into());
            let seen = seen(&server, &path).join(", ");
            let status = parse_response(&response).0;
            outcomes.push(format!(
                "{path} {name}: {status} challenge {challenge}, server saw {seen:?}"
            ));
        }
    }
    assert_eq!((system.entry.metric("entry_keys"), system.entry.metric("entry_tenants")), (2, 2));
    insta::assert_snapshot!(outcomes.join("\n"), @r#"
    /read/0 missing: 401 challenge Bearer, server saw ""
    /read/1 unknown: 401 challenge Bearer, server saw ""
    /read/2 other scheme: 401 challenge Bearer, server saw ""
    /read/3 twice: 401 challenge Bearer, server saw ""
    /read/4 in force: 200 challenge -, server saw "- a"
    /open/0 missing: 200 challenge -, server saw "- -"
    /open/1 unknown: 200 challenge -, server saw "- -"
    /open/2 other scheme: 200 challenge -, server saw "- -"
    /open/3 twice: 200 challenge -, server saw "- -"
    /open/4 in force: 200 challenge -, server saw "- a"
    /none/0 missing: 404 challenge -, server saw ""
    /none/1 unknown: 404 challenge -, server saw ""
    /none/2 other scheme: 404 challenge -, server saw ""
    /none/3 twice: 404 challenge -, server saw ""
    /none/4 in force: 404 challenge -, server saw ""
    "#);
}

/// Guards against a change for documents without tenants: servers may check credentials themselves.
#[test]
fn credentials_are_forwarded_without_tenants() {
    let server = ScriptedServer::start(&[]);
    let system = TestSystem::start_with_document(&[server.address], None, &text(1, tenants(&[])));
    send(&system, "GET", "/read/1", "authorization: Bearer k1\r\nx-tenant: b\r\n");
    assert_eq!(seen(&server, "/read/1"), ["Bearer k1 b"]);
}

/// Guards against a repeated send with a key that was withdrawn, or in the name of its former tenant, while the
/// request waited for the answer to its first send.
#[parameterized(
    withdrawn_and_not_run = { "POST", NOT_RUN, &[("a", &["k1"])], &[("a", &[])], 401, &["- a"] },
    withdrawn_and_lost = { "GET", GARBAGE, &[("a", &["k1"])], &[("a", &["k9"])], 502, &["- a"] },
    moved_and_not_run = { "POST", NOT_RUN, &[("a", &["k1"])], &[("b", &["k1"])], 200, &["- a", "- b"] },
    moved_and_lost = { "GET", GARBAGE, &[("a", &["k1"])], &[("b", &["k1"])], 200, &["- a", "- b"] },
    first_tenants = { "POST", NOT_RUN, &[], &[("a", &["k1"])], 503, &["Bearer k1 -"] },
)]
fn a_key_is_checked_before_each_send(
    method: &'static str,
    answer: &'static str,
    before: Holders,
    after: Holders,
    expected_status: u16,
    expected_seen: &[&str],
) {
    let first = ScriptedServer::start(&[ServerStep::Delay(ANSWER_DELAY, answer)]);
    let system = TestSystem::start_with_document(&[first.address], None, &text(1, tenants(before)));
    let servers = [first, ScriptedServer::start(&[])];
    let path = if method == "GET" { "/read/waits" } else { "/book/waits" };
    let all_seen = || servers.iter().flat_map(|server| seen(server, path)).collect::<Vec<_>>();
    let traffic = system.entry.traffic;
    let request = request(method, path, "authorization: Bearer k1\r\n");
    let caller = std::thread::spawn(move || exchange(traffic, request.as_bytes()));
    wait_for("the first send", || all_seen().len() == 1);
    announce(&system.fleet, "s1", &announcement(servers[1].address, false, 1, 1));
    system.fleet.put_document(&text(2, tenants(after)));
    wait_for("the document to be in force", || system.entry.metric("entry_document_version") == 2);
    let response = caller.join().expect("the caller ends").expect("the entry responds");
    let mut seen = all_seen();
    seen.sort();
    assert_eq!((parse_response(&response).0, seen), (expected_status, to_texts(expected_seen)));
}

fn to_texts(texts: &[&str]) -> Vec<String> {
    texts.iter().map(|text| (*text).to_owned()).collect()
}

/// Guards against a request that runs although its key was withdrawn while it waited on its connection, and
/// against the loss of the response before it.
#[test]
fn a_pipelined_request_needs_a_key_when_it_starts() {
    let server = ScriptedServer::start(&[ServerStep::Delay(ANSWER_DELAY, VALID_RESPONSE)]);
    let holders = tenants(&[("a", &["k1"])]);
    let system = TestSystem::start_with_document(&[server.address], None, &text(1, holders));
    let key = "authorization: Bearer k1\r\n";
    let first = request("GET", "/read/waits", key).replace("connection: close\r\n", "");
    let second = request("POST", "/book/waits", key);
    let mut stream = TcpStream::connect(system.entry.traffic).expect("the entry listens");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the timeout is valid");
    stream.write_all(format!("{first}{second}").as_bytes()).expect("the entry reads");
    wait_for("the first send", || seen(&server, "/read/waits").len() == 1);
    system.fleet.put_document(&text(2, tenants(&[("a", &["k2"])])));
    wait_for_key(&system, "k1", 401);
    wait_for_key(&system, "k2", 200);
    let mut responses = String::new();
    stream.read_to_string(&mut responses).expect("the entry closes the connection");
    let statuses: Vec<_> = responses.match_indices("HTTP/1.1 ").collect();
    let statuses: Vec<_> = statuses.iter().map(|(at, _)| &responses[at + 9..at + 12]).collect();
    assert_eq!(statuses, ["200", "401"]);
    assert!(seen(&server, "/book/waits").is_empty());
}
