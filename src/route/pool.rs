//! Servers of one service as known to this entry, and the selection of one for each request.

use std::time::{Duration, Instant};

use super::health::{HealthSettings, HealthTracker};
use super::policy::{PolicyCandidate, PolicyState, RoutePolicy};
use crate::credit::{
    CreditWallet, HeldCredit, ResponseVerdict, ServerKey, SuspectServer, WalletServer, WorkClass,
};
use crate::ids::ZoneName;

/// Settings of one service's server pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    pub policy: RoutePolicy,
    pub slow_start: Duration,
    pub health: HealthSettings,
}

/// A server from the directory.
#[derive(Clone, Debug)]
pub struct PoolServer {
    pub server: ServerKey,
    pub zone: ZoneName,
    pub slots: u32,
    pub connections: u32,
    /// Time at which the server became ready; `None` if it needs no slow start.
    pub ready_since: Option<Instant>,
    pub draining: bool,
}

/// A server selected for one request. Must be passed to `ServerPool::finish` or
/// `ServerPool::cancel`.
#[derive(Debug)]
pub struct PickedServer {
    pub server: ServerKey,
    pub class: WorkClass,
    pub sent: Instant,
    credit: Option<HeldCredit>,
}

/// Result of `ServerPool::pick`.
#[derive(Debug)]
pub enum PickOutcome {
    Start(PickedServer),
    /// No server has a free slot; queue the request and try again after the next change.
    Wait,
    /// The service has no server that accepts new requests.
    NoServer,
}

#[derive(Debug)]
struct ServerState {
    info: PoolServer,
    is_local: bool,
    in_flight: u32,
    reported_load: u32,
    /// Connections that this entry may have open to the server.
    connection_share: u32,
}

/// Servers of one service, with the requests of this entry that are in flight to them.
#[derive(Debug)]
pub struct ServerPool {
    settings: PoolSettings,
    zone: ZoneName,
    servers: Vec<ServerState>,
    health: HealthTracker,
    state: PolicyState,
    candidates: Vec<PolicyCandidate>,
    seed: u64,
    ejected: Vec<ServerKey>,
    suspects: Vec<SuspectServer>,
}

impl ServerPool {
    pub fn new(zone: ZoneName, settings: PoolSettings, seed: u64) -> Self {
        let health = HealthTracker::new(settings.health.clone());
        let (servers, candidates) = (Vec::new(), Vec::new());
        let (ejected, suspects) = (Vec::new(), Vec::new());
        let state = PolicyState::new(seed);
        Self { settings, zone, servers, health, state, candidates, seed, ejected, suspects }
    }

    /// Replaces the settings. The outlier scores of the servers are kept.
    pub fn change_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    /// Sets all servers of the service. A server that is no longer listed gets no new requests;
    /// those in flight stay counted until they finish.
    pub fn set_servers(&mut self, servers: Vec<PoolServer>, live_entries: u32) {
        for state in &mut self.servers {
            state.info.draining = true;
            state.info.slots = 0;
        }
        for info in servers {
            let connection_share = info.connections.div_ceil(live_entries.max(1)).max(1);
            let is_local = info.zone == self.zone;
            match self.position(info.server) {
                Ok(position) => {
                    let state = &mut self.servers[position];
                    (state.info, state.is_local) = (info, is_local);
                    state.connection_share = connection_share;
                }
                Err(position) => {
                    let (in_flight, reported_load) = (0, 0);
                    let state =
                        ServerState { info, is_local, in_flight, reported_load, connection_share };
                    self.servers.insert(position, state);
                }
            }
        }
        self.servers.retain(|state| state.info.slots > 0 || state.in_flight > 0);
        let server_keys: Vec<ServerKey> =
            self.servers.iter().map(|state| state.info.server).collect();
        self.health.set_servers(&server_keys);
    }

    /// Records the load that a server reports of itself, which may be stale.
    pub fn record_load_report(&mut self, server: ServerKey, load: u32) {
        if let Ok(position) = self.position(server) {
            self.servers[position].reported_load = load;
        }
    }

    /// Selects a server. Servers in `excluded` are used only when no other has a free slot.
    pub fn pick(
        &mut self,
        now: Instant,
        class: WorkClass,
        excluded: &[ServerKey],
        wallet: &mut CreditWallet,
    ) -> PickOutcome {
        if self.servers.iter().all(|state| state.info.draining) {
            return PickOutcome::NoServer;
        }
        if self.settings.policy == RoutePolicy::Credits {
            let Some(credit) = wallet.acquire(now, class, excluded) else {
                return PickOutcome::Wait;
            };
            return PickOutcome::Start(self.start_request(now, credit.server, class, Some(credit)));
        }
        for includes_excluded in [false, true] {
            for is_local in [true, false] {
                self.collect_candidates(now, includes_excluded, is_local, excluded);
                let Some(chosen) = self.state.choose(self.settings.policy, &self.candidates) else {
                    continue;
                };
                let server = self.servers[chosen.position].info.server;
                return PickOutcome::Start(self.start_request(now, server, class, None));
            }
        }
        PickOutcome::Wait
    }

    /// Ends a request. `failed` means that the server did not respond, or responded with a failure.
    pub fn finish(
        &mut self,
        now: Instant,
        picked: PickedServer,
        failed: bool,
        wallet: &mut CreditWallet,
    ) {
        let PickedServer { server, class, sent, credit } = picked;
        let verdict = self.health.classify_response(now, class, sent, failed);
        self.health.record_response(now, server, class, sent, failed);
        self.end_request(now, server, credit, Some(verdict), wallet);
    }

    fn end_request(
        &mut self,
        now: Instant,
        server: ServerKey,
        credit: Option<HeldCredit>,
        verdict: Option<ResponseVerdict>,
        wallet: &mut CreditWallet,
    ) {
        match (credit, verdict) {
            (Some(credit), Some(verdict)) => wallet.finish(now, credit, verdict),
            (Some(credit), None) => wallet.release(now, credit),
            (None, _) => (),
        }
        let Ok(position) = self.position(server) else {
            return;
        };
        let state = &mut self.servers[position];
        state.in_flight = state.in_flight.saturating_sub(1);
        if state.info.slots == 0 && state.in_flight == 0 {
            self.servers.remove(position);
        }
    }

    /// Ends a request without effect on the outlier scores, such as one that was not sent or whose
    /// caller cancelled it.
    pub fn cancel(&mut self, now: Instant, picked: PickedServer, wallet: &mut CreditWallet) {
        self.health.remove_open_request(picked.server, picked.class, picked.sent);
        self.end_request(now, picked.server, picked.credit, None, wallet);
    }

    /// Ejects servers whose open requests show a stall. Returns the ejected servers if they changed
    /// since the last call, for `WalletEvent::EjectedChanged`.
    pub fn tick(&mut self, now: Instant) -> Option<&[ServerKey]> {
        self.health.tick(now);
        let ejected = self.health.ejected(now);
        if ejected == self.ejected {
            return None;
        }
        self.ejected = ejected;
        Some(&self.ejected)
    }

    /// Returns the suspect servers if they changed since the last call, for
    /// `WalletEvent::SuspectsChanged`.
    pub fn changed_suspects(&mut self, now: Instant) -> Option<&[SuspectServer]> {
        let suspects = self.health.suspects(now);
        if suspects == self.suspects {
            return None;
        }
        self.suspects = suspects;
        Some(&self.suspects)
    }

    /// Returns the servers for the wallet and the account, with the slots in effect now.
    pub fn wallet_servers(&self, now: Instant) -> Vec<WalletServer> {
        let mut servers = Vec::new();
        for state in &self.servers {
            let PoolServer { server, ref zone, draining, .. } = state.info;
            let slots = self.effective_slots(now, &state.info);
            servers.push(WalletServer { server, zone: zone.clone(), slots, draining });
        }
        servers
    }

    pub fn in_flight(&self, server: ServerKey) -> u32 {
        self.position(server).map_or(0, |position| self.servers[position].in_flight)
    }

    pub fn health(&self) -> &HealthTracker {
        &self.health
    }

    fn position(&self, server: ServerKey) -> Result<usize, usize> {
        self.servers.binary_search_by_key(&server, |state| state.info.server)
    }

    fn start_request(
        &mut self,
        now: Instant,
        server: ServerKey,
        class: WorkClass,
        credit: Option<HeldCredit>,
    ) -> PickedServer {
        if let Ok(position) = self.position(server) {
            self.servers[position].in_flight += 1;
        }
        self.health.record_sent(now, server, class);
        PickedServer { server, class, sent: now, credit }
    }

    /// Collects local or remote servers with a free slot. Excluded and ejected servers are collected
    /// only with `includes_excluded`, as a last resort.
    fn collect_candidates(
        &mut self,
        now: Instant,
        includes_excluded: bool,
        is_local: bool,
        excluded: &[ServerKey],
    ) {
        self.candidates.clear();
        for (position, state) in self.servers.iter().enumerate() {
            if state.is_local != is_local || state.info.draining {
                continue;
            }
            let weight = self.health.weight(now, state.info.server);
            let is_excluded = excluded.contains(&state.info.server) || weight == 0.0;
            if is_excluded && !includes_excluded {
                continue;
            }
            let slots = self.effective_slots(now, &state.info);
            let available_slots = if weight == 0.0 { slots } else { scale_slots(slots, weight) };
            if state.in_flight >= available_slots.min(state.connection_share) {
                continue;
            }
            let (in_flight, reported_load) = (state.in_flight, state.reported_load);
            self.candidates.push(PolicyCandidate { position, in_flight, reported_load, slots });
        }
    }

    /// Slots in effect, which grow during slow start. A jitter derived from the seed and the server
    /// lengthens the period by up to 20 %, so that entries do not add slots at the same instant.
    fn effective_slots(&self, now: Instant, info: &PoolServer) -> u32 {
        let Some(since) = info.ready_since else {
            return info.slots;
        };
        let jitter = (self.seed ^ info.server).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        let period = self.settings.slow_start.mul_f64(1.0 + 0.2 * jitter as f64 / 256.0);
        let elapsed = now.saturating_duration_since(since);
        if elapsed >= period {
            return info.slots;
        }
        scale_slots(info.slots, elapsed.as_secs_f64() / period.as_secs_f64())
    }
}

/// Returns the given fraction of the slots, at least one.
fn scale_slots(slots: u32, fraction: f64) -> u32 {
    ((f64::from(slots) * fraction) as u32).max(1).min(slots)
}
