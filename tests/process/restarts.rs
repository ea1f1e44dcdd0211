//! Guards requests in flight against draining servers and planned restarts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::client::{Answer, Call};
use super::cluster::{ClusterPlan, DEFAULT_LEASE, TestCluster, is_healthy};
use super::support::wait_until;

const WORKERS: usize = 8;

/// Steady load through a balancer that respects the health page.
#[derive(Default)]
pub struct SteadyLoad {
    healthy: Mutex<Vec<SocketAddr>>,
    stopped: AtomicBool,
    sent: AtomicU64,
    pub failures: Mutex<Vec<String>>,
}

impl SteadyLoad {
    /// Runs `action` under load and returns the number of requests.
    pub fn run(&self, entries: &[SocketAddr], action: impl FnOnce()) -> u64 {
        self.look(entries);
        thread::scope(|scope| {
            scope.spawn(|| {
                while !self.stopped.load(Ordering::SeqCst) {
                    self.look(entries);
                    thread::sleep(Duration::from_millis(100));
                }
            });
            for worker in 0..WORKERS {
                scope.spawn(move || self.send_all(worker));
            }
            let guard = StopGuard(self);
            action();
            drop(guard);
        });
        self.sent.load(Ordering::SeqCst)
    }

    fn look(&self, entries: &[SocketAddr]) {
        let healthy = entries.iter().copied().filter(|entry| is_healthy(*entry)).collect();
        *self.healthy.lock().unwrap() = healthy;
    }

    fn send_all(&self, worker: usize) {
        while !self.stopped.load(Ordering::SeqCst) {
            let number = self.sent.fetch_add(1, Ordering::SeqCst);
            let entry = {
                let healthy = self.healthy.lock().unwrap();
                if healthy.is_empty() {
                    self.failures.lock().unwrap().push("no entry is healthy".into());
                    thread::sleep(Duration::from_millis(10));
                    continue;
                }
                healthy[number as usize % healthy.len()]
            };
            let id = format!("steady-{worker}-{number}");
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

/// Ends the load also when the action panics.
struct StopGuard<'a>(&'a SteadyLoad);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        self.0.stopped.store(true, Ordering::SeqCst);
    }
}

// Guards against new work for a draining server and against its requests being cut off.
#[test]
fn draining_server_gets_no_new_work() {
    let cluster =
        TestCluster::start(ClusterPlan { entries: 3, proxied: false, lease: DEFAULT_LEASE });
    let leaving = cluster.servers[0].clone();
    let load = SteadyLoad::default();
    load.run(&cluster.entries(), || {
        wait_until("the server gets work", || leaving.runs().total > 50);
        leaving.drain();
        // The default drain time is 3 s; every entry should know within it.
        thread::sleep(Duration::from_secs(3));
        let before = leaving.runs().total;
        thread::sleep(Duration::from_secs(2));
        assert_eq!(leaving.runs().total, before, "the draining server got new work");
        assert_eq!(leaving.slots().running, 0);
    });
    load.assert_none_failed();
}

// Guards against requests cut off by planned restarts of any process.
#[test]
fn rolling_restart_under_load_fails_no_request() {
    let mut cluster =
        TestCluster::start(ClusterPlan { entries: 3, proxied: false, lease: DEFAULT_LEASE });
    let load = SteadyLoad::default();
    let sent = load.run(&cluster.entries(), || {
        for name in cluster.names("") {
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
    assert!(runs.values().all(|count| *count == 1), "a key ran twice");
}

fn restart_gracefully(cluster: &mut TestCluster, name: &str) {
    let leads = cluster.leader() == name;
    cluster.terminate(name);
    if name.starts_with("entry") {
        let entry = cluster.nodes[name].traffic;
        wait_until("health fails", || !is_healthy(entry));
        // Within the shutdown delay, requests that the balancer still sends are served.
        let answer = Call::get("/read", "lame-duck").send(entry);
        assert!(matches!(answer, Answer::Served(_)), "{answer:?}");
    }
    cluster.wait_ended(name);
    if leads {
        let next = cluster.leader();
        assert_ne!(next, name, "leadership was not handed over");
    }
    cluster.restart(name);
    if name.starts_with("entry") {
        wait_until("the entry is back", || cluster.is_healthy(name));
    } else {
        wait_until("the member is back", || {
            cluster.status().is_some_and(|status| status.survivable_losses == Some(1))
        });
    }
}
