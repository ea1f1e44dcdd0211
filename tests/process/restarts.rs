//! Requests in flight during the draining of a server and planned restarts of processes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::client::{Answer, Call};
use super::cluster::{ClusterOptions, DEFAULT_LEASE, TestCluster, is_healthy};
use super::support::wait_until;

/// Threads that send requests concurrently.
const CALLERS: usize = 8;

/// Steady load that, like a load balancer, sends only to entries whose health page reports success.
#[derive(Default)]
pub struct SteadyLoad {
    healthy_entries: Mutex<Vec<SocketAddr>>,
    stopped: AtomicBool,
    sent: AtomicU64,
    pub failures: Mutex<Vec<String>>,
}

impl SteadyLoad {
    /// Runs `action` under load; returns the number of requests sent.
    pub fn run(&self, entries: &[SocketAddr], action: impl FnOnce()) -> u64 {
        self.refresh_healthy_entries(entries);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !self.stopped.load(Ordering::SeqCst) {
                    self.refresh_healthy_entries(entries);
                    thread::sleep(Duration::from_millis(100));
                }
            });
            for caller in 0..CALLERS {
                scope.spawn(move || self.send_until_stopped(caller));
            }
            let guard = StopGuard(self);
            action();
            drop(guard);
        });
        self.sent.load(Ordering::SeqCst)
    }

    fn refresh_healthy_entries(&self, entries: &[SocketAddr]) {
        let healthy = entries.iter().copied().filter(|entry| is_healthy(*entry)).collect();
        *self.healthy_entries.lock().unwrap() = healthy;
    }

    fn send_until_stopped(&self, caller: usize) {
        while !self.stopped.load(Ordering::SeqCst) {
            let number = self.sent.fetch_add(1, Ordering::SeqCst);
            let entry = {
                let healthy = self.healthy_entries.lock().unwrap();
                if healthy.is_empty() {
                    self.failures.lock().unwrap().push("no entry is healthy".into());
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                healthy[number as usize % healthy.len()]
            };
            let id = format!("steady-{caller}-{number}");
            let call = match number % 8 {
                0 => Call::post("/book?time_us=5000", &id, "deposit"),
                1 => Call::get("/read?time_us=400000", &id),
                2 => Call::get("/read?size=200000", &id),
                _ => Call::get("/read?time_us=2000", &id),
            };
            let answer = call.send(entry);
            if !answer.is_served() {
                self.failures.lock().unwrap().push(format!("{id} at {entry}: {answer:?}"));
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    #[track_caller]
    fn assert_none_failed(&self) {
        let failures = self.failures.lock().unwrap();
        let shown = &failures[..failures.len().min(10)];
        assert!(failures.is_empty(), "{} requests failed: {shown:#?}", failures.len());
    }
}

/// Stops the load on drop, also when the action panics.
struct StopGuard<'a>(&'a SteadyLoad);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::SeqCst);
    }
}

// Guards against new requests to a draining server and against aborting the ones that it still runs.
#[test]
fn draining_server_gets_no_new_requests() {
    let cluster =
        TestCluster::start(ClusterOptions { entries: 3, proxied: false, lease: DEFAULT_LEASE });
    let draining_server = cluster.servers[0].clone();
    let load = SteadyLoad::default();
    load.run(&cluster.entries(), || {
        wait_until("the server receives requests", || draining_server.runs().total > 50);
        draining_server.drain();
        // The default drain time is 3 s; each entry must learn of the draining within it.
        thread::sleep(Duration::from_secs(3));
        let runs_before = draining_server.runs().total;
        thread::sleep(Duration::from_secs(2));
        assert_eq!(
            draining_server.runs().total,
            runs_before,
            "the draining server received new requests"
        );
        assert_eq!(draining_server.slots().running, 0);
    });
    load.assert_none_failed();
}

// Guards against requests that fail because of a planned restart of any process.
#[test]
fn rolling_restart_under_load_fails_no_request() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 3, proxied: false, lease: DEFAULT_LEASE });
    let load = SteadyLoad::default();
    let sent = load.run(&cluster.entries(), || {
        for name in cluster.process_names("") {
            restart_gracefully(&mut cluster, &name);
        }
    });
    println!("{sent} requests during the rolling restart");
    load.assert_none_failed();
    let mut runs = BTreeMap::new();
    for server in &cluster.servers {
        for run in server.runs().runs {
            *runs.entry(run.idempotency_key).or_insert(0) += run.count;
        }
    }
    runs.remove("");
    assert!(runs.values().all(|count| *count == 1), "an idempotency key ran twice");
}

fn restart_gracefully(cluster: &mut TestCluster, name: &str) {
    let was_leader = cluster.leader() == name;
    cluster.terminate(name);
    if name.starts_with("entry") {
        let entry = cluster.nodes[name].traffic;
        wait_until("the health check fails", || !is_healthy(entry));
        // Requests that the load balancer still sends within the shutdown delay are served.
        let answer = Call::get("/read", "lame-duck").send(entry);
        assert!(matches!(answer, Answer::Served(_)), "{answer:?}");
    }
    cluster.wait_for_exit(name);
    if was_leader {
        let new_leader = cluster.leader();
        assert_ne!(new_leader, name, "leadership was not handed over");
    }
    cluster.restart(name);
    if name.starts_with("entry") {
        wait_until("the restarted entry is healthy", || cluster.is_healthy(name));
    } else {
        wait_until("the restarted member is up to date", || {
            cluster.status().is_some_and(|status| status.survivable_losses == Some(1))
        });
    }
}

// Guards against a planned stop that cuts off a request of which only a part has arrived.
#[test]
fn a_request_that_arrives_in_parts_survives_a_planned_stop() {
    let mut cluster =
        TestCluster::start(ClusterOptions { entries: 1, proxied: false, lease: DEFAULT_LEASE });
    let entry = cluster.entry(1);
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    stream.write_all(b"GET /read HTTP/1.1\r\nhost: te").unwrap();
    thread::sleep(Duration::from_millis(200));
    cluster.terminate("entry-1");
    // Beyond the shutdown delay of the test's config, 800 ms.
    thread::sleep(Duration::from_millis(1500));
    let rest = b"st\r\nx-run-id: parts\r\nconnection: close\r\n\r\n";
    stream.write_all(rest).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    cluster.wait_for_exit("entry-1");
}
