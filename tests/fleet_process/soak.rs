//! Soak test with fault injection: fleet processes are killed and paused, and the loopback proxies in
//! front of the servers break connections. A seed selects the sequence of faults.
//!
//! Each run verifies that no at-most-once request was executed twice, that no request reported as not
//! executed was executed, that no acknowledged document was lost, and that the fleet serves requests
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::Signal;
use yare::parameterized;

use crate::harness::{ScriptedServer, announcement, document, exchange, parse_response, wait_for};
use crate::support::FleetProcesses;

const MEMBERS: usize = 5;
const FAULTS_PER_RUN: u32 = 14;

/// TCP proxy that closes connections while `broken` is set.
struct FaultProxy {
    address: SocketAddr,
    broken: Arc<AtomicBool>,
}

impl FaultProxy {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a listener has an address");
        let broken = Arc::new(AtomicBool::new(false));
        let state = Arc::clone(&broken);
        std::thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&caller, &server), (&server, &caller)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let state = Arc::clone(&state);
                    std::thread::spawn(move || forward(from, to, &state));
                }
            }
        });
        Self { address, broken }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, broken: &AtomicBool) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        let intact = !broken.load(Ordering::Relaxed);
        if count == 0 || !intact || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

/// Injects one random fault and ends it before returning.
fn inject_fault(fleet: &mut FleetProcesses, random: &mut fastrand::Rng, proxies: &[FaultProxy]) {
    let pause = Duration::from_millis(random.u64(50..400));
    let member = random.usize(0..MEMBERS);
    match random.u32(0..6) {
        0 => {
            fleet.members[member].kill();
            std::thread::sleep(pause);
            fleet.restart_member(member);
        }
        1 => {
            fleet.members[member].signal(Signal::STOP);
            std::thread::sleep(pause * 3);
            fleet.members[member].signal(Signal::CONT);
        }
        2 => {
            for member in &mut fleet.members {
                member.kill();
            }
            std::thread::sleep(pause);
            for member in 0..MEMBERS {
                fleet.restart_member(member);
            }
        }
        3 => {
            fleet.entries[0].kill();
            std::thread::sleep(pause);
            fleet.entries[0].start();
        }
        4 => {
            fleet.entries[0].signal(Signal::STOP);
            std::thread::sleep(pause * 3);
            fleet.entries[0].signal(Signal::CONT);
        }
        _ => {
            let proxy = &proxies[random.usize(0..proxies.len())];
            proxy.broken.store(true, Ordering::Relaxed);
            std::thread::sleep(pause * 2);
            proxy.broken.store(false, Ordering::Relaxed);
        }
    }
}

/// Sends at-most-once requests until `stop` is set; returns the response status of each request id, 0
/// for no response.
fn send_bookings(
    traffic: SocketAddr,
    stop: &AtomicBool,
    next: &AtomicU32,
) -> BTreeMap<String, u16> {
    let mut answers = BTreeMap::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("b{}", next.fetch_add(1, Ordering::Relaxed));
        let text = format!(
            "POST /book/1 HTTP/1.1\r\nhost: shop\r\nx-request-id: {id}\r\n\
             x-request-deadline: 1500\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        );
        let status =
            exchange(traffic, text.as_bytes()).map_or(0, |answer| parse_response(&answer).0);
        answers.insert(id, status);
        std::thread::sleep(Duration::from_millis(5));
    }
    answers
}

#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn promises_hold_under_faults(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let servers: Vec<_> = (0..3).map(|_| ScriptedServer::start(&[])).collect();
    let proxies: Vec<_> = servers.iter().map(|server| FaultProxy::start(server.address)).collect();
    let mut fleet = FleetProcesses::start(MEMBERS, &[None], Duration::from_secs(4));
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &document(1)));
    for (number, proxy) in proxies.iter().enumerate() {
        let path = format!("/.curranthollow/servers/s{number}");
        let announcement_body = announcement(proxy.address, false, 1, 1);
        wait_for("an announcement", || fleet.call("PUT", &path, &announcement_body));
    }
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let callers: Vec<_> = (0..3)
        .map(|_| {
            let (stop, next, traffic) =
                (Arc::clone(&stop), Arc::clone(&next), fleet.entries[0].address);
            std::thread::spawn(move || send_bookings(traffic, &stop, &next))
        })
        .collect();
    let mut acknowledged = 1;
    for version in 2..2 + u64::from(FAULTS_PER_RUN) {
        if fleet.call("PUT", "/.curranthollow/document", &document(version)) {
            acknowledged = version;
        }
        inject_fault(&mut fleet, &mut random, &proxies);
        let read = fleet.read_document().and_then(|text| version_of(&text));
        assert!(
            read.is_none_or(|read| read >= acknowledged),
            "seed {seed}: read version {read:?}, but {acknowledged} was acknowledged"
        );
    }
    wait_for("the fleet to read again", || fleet.read_document().is_some());
    let read = fleet.read_document().and_then(|text| version_of(&text));
    assert!(
        read.is_some_and(|read| read >= acknowledged),
        "seed {seed}: acknowledged version {acknowledged} was lost"
    );
    let end = Instant::now() + Duration::from_secs(1);
    wait_for("a second of service", || Instant::now() > end);
    stop.store(true, Ordering::Relaxed);
    let mut answers = BTreeMap::new();
    for caller in callers {
        answers.extend(caller.join().expect("the caller thread does not panic"));
    }
    check_runs(seed, &servers, &answers);
}

fn version_of(text: &str) -> Option<u64> {
    serde_json::from_str::<serde_json::Value>(text).ok()?["version"].as_u64()
}

fn check_runs(seed: u64, servers: &[ScriptedServer], answers: &BTreeMap<String, u16>) {
    let mut executed = BTreeSet::new();
    for request in servers.iter().flat_map(ScriptedServer::requests) {
        if !request.starts_with("POST") {
            continue;
        }
        let id = crate::harness::header_value(&request, "x-request-id")
            .expect("the entry forwards the request id");
        assert!(executed.insert(id.clone()), "seed {seed}: {id} was executed twice");
    }
    let mut served = 0;
    for (id, status) in answers {
        match status {
            200 => served += 1,
            503 => assert!(
                !executed.contains(id),
                "seed {seed}: {id} was executed although its response says that it was not"
            ),
            _ => {}
        }
    }
    assert!(served > 50, "seed {seed}: only {served} of {} were served", answers.len());
}
