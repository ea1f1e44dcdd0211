//! Connections made ahead of demand, and closed when their server leaves.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;

use super::exchange::CONNECT_TIMEOUT;
use super::runtime::ServiceRuntime;
use crate::http::ConnectionPool;

/// Interval of [`PoolKeeper::refresh`], whose cost grows with the number of servers.
pub const WARM_INTERVAL: Duration = Duration::from_millis(500);

/// Connections that one entry should have to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmTarget {
    /// Address of the server.
    pub address: SocketAddr,
    /// Connections for the credits held, at least one.
    pub wanted: usize,
    /// This entry's share of the server's connections.
    pub limit: usize,
}

/// Keeps the connection pool in line with the servers.
#[derive(Debug, Default)]
pub struct PoolKeeper {
    used: BTreeSet<SocketAddr>,
    /// Servers that left while connections to them were open.
    retired: BTreeSet<SocketAddr>,
    warming: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

impl PoolKeeper {
    /// Creates a keeper that knows no server.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts missing connections and closes idle ones to servers that take no new work.
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
        for address in std::mem::take(&mut self.used) {
            if !targets.contains_key(&address) {
                self.retired.insert(address);
            }
        }
        self.used = targets.keys().copied().collect();
        // Connections in use become idle later, so this is repeated until none is open.
        self.retired.retain(|address| {
            if self.used.contains(address) {
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
        if !lock(&warming).insert(target.address) {
            return;
        }
        let pool = pool.clone();
        task::spawn(async move {
            let WarmTarget { address, wanted, limit } = target;
            pool.warm(address, wanted, limit, CONNECT_TIMEOUT).await;
            lock(&warming).remove(&address);
        });
    }
}

fn lock(warming: &Mutex<BTreeSet<SocketAddr>>) -> std::sync::MutexGuard<'_, BTreeSet<SocketAddr>> {
    warming.lock().expect("no holder of the warming lock panics")
}
