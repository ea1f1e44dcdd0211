//! Simulated servers and entries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use curranthollow::credit::{CreditWallet, ServerKey, WalletEvent};
use curranthollow::ids::ProcessName;
use curranthollow::route::{
    AdmissionQueue, AdmissionSettings, HealthSettings, PoolServer, PoolSettings, RoutePolicy,
    ServerPool,
};

use crate::options::wallet_settings;
use crate::{ENTRY_COUNT, SLOTS_PER_SERVER};

/// A simulated server; requests beyond its slots wait in a first-in-first-out queue.
pub(crate) struct Server {
    pub(crate) key: ServerKey,
    pub(crate) running: u32,
    /// Waiting requests, as indexes into the arrivals.
    pub(crate) queue: VecDeque<usize>,
    /// Largest sum of running and waiting requests so far.
    pub(crate) max_demand: u32,
}

/// A simulated entry with its own view of the servers.
pub(crate) struct Entry {
    pub(crate) name: ProcessName,
    pub(crate) pool: ServerPool,
    pub(crate) wallet: CreditWallet,
    /// Waiting requests, as indexes into the arrivals.
    pub(crate) queue: AdmissionQueue<usize>,
}

impl Entry {
    pub(crate) fn new(
        index: usize,
        policy: Option<RoutePolicy>,
        servers: &[Server],
        now: Instant,
        seed: u64,
    ) -> Self {
        let name: ProcessName = format!("entry-{index}").into();
        let settings = PoolSettings {
            policy: policy.unwrap_or(RoutePolicy::Random),
            slow_start: Duration::from_secs(2),
            health: HealthSettings::default(),
        };
        let mut pool = ServerPool::new(zone_name(index), settings, seed * 100 + index as u64);
        let mut pool_servers = Vec::new();
        for (server_index, server) in servers.iter().enumerate() {
            let (server, zone) = (server.key, zone_name(server_index));
            let (slots, connections, draining) = (SLOTS_PER_SERVER, 220, false);
            let ready_since = None;
            pool_servers.push(PoolServer {
                server,
                zone,
                slots,
                connections,
                ready_since,
                draining,
            });
        }
        pool.set_servers(pool_servers, ENTRY_COUNT as u32);
        let settings = wallet_settings();
        let mut wallet = CreditWallet::new(now, name.clone(), zone_name(index), settings);
        wallet.handle(now, WalletEvent::ServersChanged(pool.wallet_servers(now)));
        Self { name, pool, wallet, queue: AdmissionQueue::new(AdmissionSettings::default()) }
    }
}

pub(crate) fn zone_name(index: usize) -> Box<str> {
    format!("zone-{}", index % 3).into()
}
