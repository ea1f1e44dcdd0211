//! Maintenance of the connection pool: opens connections ahead of demand and closes those to
//! servers that have left.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;

use super::exchange::CONNECT_TIMEOUT;
use super::runtime::ServiceRuntime;
use crate::http::ConnectionPool;

/// Interval of [`PoolMaintainer::refresh`]. It is long because the cost grows with the number of
/// servers.
pub const POOL_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Number of connections that an entry should keep open to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmTarget {
    /// Address of the server.
    pub address: SocketAddr,
    /// One connection per held credit, but at least one.
    pub wanted: usize,
    /// Maximum number of connections: this entry's share of those that the server accepts.
    pub limit: usize,
}

/// Keeps the connection pool in line with the current servers.
#[derive(Debug, Default)]
pub struct PoolMaintainer {
    targeted: BTreeSet<SocketAddr>,
    /// Servers that take no new work but still have open connections.
    retired: BTreeSet<SocketAddr>,
    warming: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl PoolMaintainer {
    /// Creates a maintainer that knows no servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Opens missing connections and closes idle ones to servers that take no new work.
    pub fn refresh<'a>(
        &mut self,
        pool: &ConnectionPool,
        runtimes: impl Iterator<Item = &'a Arc<ServiceRuntime>>,
    ) {
        let mut targets: BTreeMap<SocketAddr, WarmTarget> = BTreeMap::new();
        for target in runtimes.flat_map(|runtime| runtime.warm_targets()) {
            let known = targets.entry(target.address).or_insert(target);
            known.wanted = known.wanted.max(target.wanted);
        }
        for address in std::mem::take(&mut self.targeted) {
            if !targets.contains_key(&address) {
                self.retired.insert(address);
            }
        }
        self.targeted = targets.keys().copied().collect();
        // Connections in use become idle later, so this is repeated until none is open.
        self.retired.retain(|address| {
            if self.targeted.contains(address) {
                return false;
            }
            pool.close_idle(*address);
            pool.counts(*address).open > 0
        });
        for target in targets.into_values() {
            if pool.counts(target.address).open < target.wanted.min(target.limit) {
                self.warm(pool, target);
            }
        }
    }

    fn warm(&self, pool: &ConnectionPool, target: WarmTarget) {
        let warming = Arc::clone(&self.warming);
        if !lock_warming(&warming).insert(target.address) {
            return;
        }
        let pool = pool.clone();
        task::spawn(async move {
            let WarmTarget { address, wanted, limit } = target;
            pool.warm(address, wanted, limit, CONNECT_TIMEOUT).await;
            lock_warming(&warming).remove(&address);
        });
    }
}

fn lock_warming(
    warming: &Mutex<BTreeSet<SocketAddr>>,
) -> std::sync::MutexGuard<'_, BTreeSet<SocketAddr>> {
    warming.lock().expect("warming lock is not poisoned")
}
