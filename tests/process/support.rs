//! Polling with a time limit, the random seed, free ports and a limit on concurrent clusters.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit of each wait. It is generous because the test machine may be busy.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Number of clusters that run concurrently; keeps the number of processes under about 25.
const MAX_CONCURRENT_CLUSTERS: usize = 4;

static RUNNING_CLUSTERS: Mutex<usize> = Mutex::new(0);
static CLUSTER_ENDED: Condvar = Condvar::new();
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Polls `condition` until it returns a value; panics after [`WAIT_LIMIT`].
#[track_caller]
pub fn wait_for<T>(description: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(
            Instant::now() < deadline,
            "condition not met within {WAIT_LIMIT:?}: {description}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}

#[track_caller]
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    wait_for(description, || condition().then_some(()));
}

/// Reads a number from an environment variable; falls back to `default` if it is unset or invalid.
pub fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|value| value.parse().ok()).unwrap_or(default)
}

pub fn seed() -> u64 {
    env_number("CURRANTHOLLOW_TEST_SEED", 1)
}

/// Returns a loopback address with a free port. The port lies below the kernel's ephemeral port range,
/// so that no outgoing connection occupies it before its process starts or while the process is down.
pub fn free_address() -> SocketAddr {
    loop {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, Ordering::SeqCst);
        let process_offset = (std::process::id() as u16).wrapping_mul(61) % 11_000;
        let port = 20_000 + (process_offset + offset) % 11_000;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Permit to run one cluster, returned on drop.
pub struct ClusterPermit;

impl ClusterPermit {
    pub fn acquire() -> Self {
        let mut running = RUNNING_CLUSTERS.lock().unwrap_or_else(|error| error.into_inner());
        while *running >= MAX_CONCURRENT_CLUSTERS {
            running = CLUSTER_ENDED.wait(running).unwrap_or_else(|error| error.into_inner());
        }
        *running += 1;
        Self
    }
}

impl Drop for ClusterPermit {
    fn drop(&mut self) {
        *RUNNING_CLUSTERS.lock().unwrap_or_else(|error| error.into_inner()) -= 1;
        CLUSTER_ENDED.notify_all();
    }
}
