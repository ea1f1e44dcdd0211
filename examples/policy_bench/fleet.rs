//! Servers and entries of the simulation.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use curranthollow::credit::{CreditWallet, ServerKey, WalletEvent};
use curranthollow::ids::ProcessName;
use curranthollow::route::{
    AdmissionQueue, AdmissionSettings, HealthSettings, PoolServer, PoolSettings, RoutePolicy,
    ServerPool,
};

use crate::options::wallet_settings;
use crate::{ENTRIES, SLOTS};

pub(crate) struct Server {
    pub(crate) key: ServerKey,
    pub(crate) running: u32,
    pub(crate) queue: VecDeque<usize>,
    pub(crate) most: u32,
}

pub(crate) struct Entry {
    pub(crate) name: ProcessName,
    pub(crate) pool: ServerPool,
    pub(crate) wallet: CreditWallet,
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
        let mut pool = ServerPool::new(zone(index), settings, seed * 100 + index as u64);
        let mut list = Vec::new();
        for (position, server) in servers.iter().enumerate() {
            let (server, zone) = (server.key, zone(position));
            let (slots, connections, draining) = (SLOTS, 220, false);
            let ready_since = None;
            list.push(PoolServer { server, zone, slots, connections, ready_since, draining });
        }
        pool.set_servers(list, ENTRIES as u32);
        let settings = wallet_settings();
        let mut wallet = CreditWallet::new(now, name.clone(), zone(index), settings);
        wallet.handle(now, WalletEvent::ServersChanged(pool.wallet_servers(now)));
        Self { name, pool, wallet, queue: AdmissionQueue::new(AdmissionSettings::default()) }
    }
}

pub(crate) fn zone(index: usize) -> Box<str> {
    format!("zone-{}", index % 3).into()
}
