//! Waiting, seeds and free ports.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Limit of each wait; generous, because the machine may be busy.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Clusters that run at once; keeps the number of processes under about 25.
const CLUSTERS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Waits until `condition` yields a value.
#[track_caller]
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "not within {WAIT_LIMIT:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

#[track_caller]
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_for(what, || condition().then_some(()));
}

/// Number of an environment variable.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

pub fn seed() -> u64 {
    env_number("CURRANTHOLLOW_TEST_SEED", 1)
}

/// Finds a free port below the range from which the kernel takes ports of outgoing connections, so
/// that no connection occupies it before its process starts or while the process is down.
pub fn free_address() -> SocketAddr {
    loop {
        let step = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
        let start = (std::process::id() as u16).wrapping_mul(61) % 11_000;
        let port = 20_000 + (start + step) % 11_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Right to run one cluster.
pub struct ClusterPermit;

impl ClusterPermit {
    pub fn wait() -> Self {
        let mut running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
        while *running >= CLUSTERS {
            running = ENDED.wait(running).unwrap_or_else(|error| error.into_inner());
        }
        *running += 1;
        Self
    }
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(|error| error.into_inner()) -= 1;
        ENDED.notify_all();
    }
}
