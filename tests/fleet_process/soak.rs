//! Soak test with fault injection: fleet processes are killed and paused, and the loopback proxies in
//! front of the servers break connections. A seed selects the sequence of faults.
//!
//! Each run verifies that no at-most-once request was executed twice, that no request reported as not
//! executed was executed, that no acknowledged document was lost, and that the fleet serves requests
//! again.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use yare::parameterized;

use crate::harness::{
    ScriptedServer, announcement, call, document, exchange, free_address, parse_response,
    unique_path, wait_for,
};

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

/// Fleet process with its config file; killed on drop.
struct SoakProcess {
    config: PathBuf,
    text: String,
    child: Option<Child>,
    operator: SocketAddr,
}

impl SoakProcess {
    fn new(text: String, operator: SocketAddr) -> Self {
        let config = unique_path().with_extension("jsonc");
        Self { config, text, child: None, operator }
    }

    fn start(&mut self, form: bool) {
        let text = self.text.replace("FORM", if form { "true" } else { "false" });
        std::fs::write(&self.config, text).expect("the folder can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
        let log = File::options().create(true).append(true).open(self.config.with_extension("log"));
        let log = log.expect("the folder can be written");
        command.arg("fleet").arg("--config").arg(&self.config).stdout(log);
        self.child = Some(command.spawn().expect("the binary starts"));
    }

    fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process runs");
        let pid = Pid::from_raw(child.id().cast_signed()).expect("the process id is valid");
        kill_process(pid, signal).expect("the process exists");
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for SoakProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

struct SoakFleet {
    members: Vec<SoakProcess>,
    entry: SoakProcess,
    traffic: SocketAddr,
}

impl SoakFleet {
    fn start() -> Self {
        let links: Vec<_> = (0..MEMBERS).map(|_| free_address()).collect();
        let seeds = serde_json::json!(links[..3]).to_string();
        let common = format!(r#""availability_zone":"a","seeds":{seeds},"grace":"4s""#);
        let mut members = Vec::new();
        for link in &links {
            let (operator, folder) = (free_address(), unique_path());
            let text = format!(
                r#"{{"name":"m",{common},"control":{{"operator":"{operator}","link":"{link}",
                "data_folder":{folder:?},"form":FORM,"survivable_losses":2,"heartbeat":"60s"}}}}"#
            );
            members.push(SoakProcess::new(text, operator));
        }
        let (traffic, readiness) = (free_address(), free_address());
        let text = format!(
            r#"{{"name":"e",{common},"entry":{{"traffic":"{traffic}","readiness":"{readiness}",
            "retry_ratio":0.2,"retry_slack":50,"retry_window":"10s"}}}}"#
        );
        let mut fleet = Self { members, entry: SoakProcess::new(text, readiness), traffic };
        for member in &mut fleet.members {
            member.start(true);
        }
        fleet.entry.start(true);
        fleet
    }

    fn call(&self, method: &str, path: &str, body: &str) -> bool {
        let running = self.members.iter().filter(|member| member.child.is_some());
        running.into_iter().any(|member| call(member.operator, method, path, body).0 == 200)
    }

    fn read(&self) -> Option<String> {
        let running = self.members.iter().filter(|member| member.child.is_some());
        let mut answers =
            running.map(|member| call(member.operator, "GET", "/.curranthollow/document", ""));
        answers.find(|(status, _)| *status == 200).map(|(_, body)| body)
    }

    /// Injects one random fault and ends it before returning.
    fn inject_fault(&mut self, random: &mut fastrand::Rng, proxies: &[FaultProxy]) {
        let pause = Duration::from_millis(random.u64(50..400));
        let member = random.usize(0..MEMBERS);
        match random.u32(0..6) {
            0 => {
                self.members[member].kill();
                std::thread::sleep(pause);
                self.members[member].start(false);
            }
            1 => {
                self.members[member].signal(Signal::STOP);
                std::thread::sleep(pause * 3);
                self.members[member].signal(Signal::CONT);
            }
            2 => {
                for member in &mut self.members {
                    member.kill();
                }
                std::thread::sleep(pause);
                for member in &mut self.members {
                    member.start(false);
                }
            }
            3 => {
                self.entry.kill();
                std::thread::sleep(pause);
                self.entry.start(false);
            }
            4 => {
                self.entry.signal(Signal::STOP);
                std::thread::sleep(pause * 3);
                self.entry.signal(Signal::CONT);
            }
            _ => {
                let proxy = &proxies[random.usize(0..proxies.len())];
                proxy.broken.store(true, Ordering::Relaxed);
                std::thread::sleep(pause * 2);
                proxy.broken.store(false, Ordering::Relaxed);
            }
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
    let mut fleet = SoakFleet::start();
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &document(1)));
    for (number, proxy) in proxies.iter().enumerate() {
        let path = format!("/.curranthollow/servers/s{number}");
        let announcement_body = announcement(proxy.address, false, 1, 1);
        wait_for("an announcement", || fleet.call("PUT", &path, &announcement_body));
    }
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU32::new(0)));
    let callers: Vec<_> = (0..3)
        .map(|_| {
            let (stop, next, traffic) = (Arc::clone(&stop), Arc::clone(&next), fleet.traffic);
            std::thread::spawn(move || send_bookings(traffic, &stop, &next))
        })
        .collect();
    let mut acknowledged = 1;
    for version in 2..2 + u64::from(FAULTS_PER_RUN) {
        if fleet.call("PUT", "/.curranthollow/document", &document(version)) {
            acknowledged = version;
        }
        fleet.inject_fault(&mut random, &proxies);
        let read = fleet.read().and_then(|text| version_of(&text));
        assert!(
            read.is_none_or(|read| read >= acknowledged),
            "seed {seed}: read version {read:?}, but {acknowledged} was acknowledged"
        );
    }
    wait_for("the fleet to read again", || fleet.read().is_some());
    let read = fleet.read().and_then(|text| version_of(&text));
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
