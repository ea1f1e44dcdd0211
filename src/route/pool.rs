//! Servers of one service as this entry sees them, and the choice of one for a request.

use std::time::{Duration, Instant};

use super::health::{HealthSettings, HealthTracker};
use super::policy::{PolicyCandidate, PolicyState, RoutePolicy};
use crate::credit::{
    AnswerVerdict, CreditWallet, HeldCredit, ServerKey, SuspectLine, WalletServer, WorkClass,
};
use crate::ids::ZoneName;

/// Rules of one service's pool.
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
    /// Time at which the server became ready; `None` for one that was ready all along.
    pub ready_since: Option<Instant>,
    pub draining: bool,
}

/// A server chosen for one request. Must go back by `ServerPool::finish`.
#[derive(Debug)]
pub struct PickedServer {
    pub server: ServerKey,
    pub class: WorkClass,
    pub sent: Instant,
    credit: Option<HeldCredit>,
}

/// Result of a choice.
#[derive(Debug)]
pub enum PickOutcome {
    Start(PickedServer),
    /// All servers are in use; queue the request and try again after the next change.
    Wait,
    /// The service has no server that takes new work.
    NoServer,
}

#[derive(Debug)]
struct ServerState {
    info: PoolServer,
    is_local: bool,
    in_flight: u32,
    reported: u32,
    /// Connections that this entry may have open to the server.
    connection_share: u32,
}

/// Servers of one service, with the requests of this entry.
#[derive(Debug)]
pub struct ServerPool {
    settings: PoolSettings,
    zone: ZoneName,
    servers: Vec<ServerState>,
    health: HealthTracker,
    state: PolicyState,
    candidates: Vec<PolicyCandidate>,
    seed: u64,
    avoided: Vec<ServerKey>,
    suspects: Vec<SuspectLine>,
}

impl ServerPool {
    pub fn new(zone: ZoneName, settings: PoolSettings, seed: u64) -> Self {
        let health = HealthTracker::new(settings.health.clone());
        let (servers, candidates) = (Vec::new(), Vec::new());
        let (avoided, suspects) = (Vec::new(), Vec::new());
        let state = PolicyState::new(seed);
        Self { settings, zone, servers, health, state, candidates, seed, avoided, suspects }
    }

    /// Takes over new rules; the health of the servers is kept.
    pub fn change_settings(&mut self, settings: PoolSettings) {
        self.settings = settings;
    }

    /// Sets all servers of the service. A server left out takes no new work; its requests in
    /// flight stay counted until they finish.
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
                    let (in_flight, reported) = (0, 0);
                    let state =
                        ServerState { info, is_local, in_flight, reported, connection_share };
                    self.servers.insert(position, state);
                }
            }
        }
        self.servers.retain(|state| state.info.slots > 0 || state.in_flight > 0);
        let keys: Vec<ServerKey> = self.servers.iter().map(|state| state.info.server).collect();
        self.health.set_servers(&keys);
    }

    /// Notes a server's own load report, which may be stale.
    pub fn note_report(&mut self, server: ServerKey, load: u32) {
        if let Ok(position) = self.position(server) {
            self.servers[position].reported = load;
        }
    }

    /// Chooses a server. Servers in `excluded` are used only when no other has room.
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
            return PickOutcome::Start(self.begin(now, credit.server, class, Some(credit)));
        }
        for allows_excluded in [false, true] {
            for is_local in [true, false] {
                self.collect_candidates(now, allows_excluded, is_local, excluded);
                let Some(chosen) = self.state.choose(self.settings.policy, &self.candidates) else {
                    continue;
                };
                let server = self.servers[chosen.position].info.server;
                return PickOutcome::Start(self.begin(now, server, class, None));
            }
        }
        PickOutcome::Wait
    }

    /// Ends a request. `failed` means that the server did not answer or answered with a failure.
    pub fn finish(
        &mut self,
        now: Instant,
        picked: PickedServer,
        failed: bool,
        wallet: &mut CreditWallet,
    ) {
        let PickedServer { server, class, sent, credit } = picked;
        let verdict = self.health.verdict(now, class, sent, failed);
        self.health.note_response(now, server, class, sent, failed);
        self.leave(now, server, credit, Some(verdict), wallet);
    }

    fn leave(
        &mut self,
        now: Instant,
        server: ServerKey,
        credit: Option<HeldCredit>,
        verdict: Option<AnswerVerdict>,
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

    /// Gives a server back for which no request was left; says nothing about its health.
    pub fn cancel(&mut self, now: Instant, picked: PickedServer, wallet: &mut CreditWallet) {
        self.health.forget(picked.server, picked.class, picked.sent);
        self.leave(now, picked.server, picked.credit, None, wallet);
    }

    /// Judges open requests. Returns the servers to avoid if they changed since the last call,
    /// for `WalletEvent::AvoidedChanged`.
    pub fn tick(&mut self, now: Instant) -> Option<&[ServerKey]> {
        self.health.tick(now);
        let ejected = self.health.ejected(now);
        if ejected == self.avoided {
            return None;
        }
        self.avoided = ejected;
        Some(&self.avoided)
    }

    /// Returns the servers whose answers look bad if that changed since the last call, for
    /// `WalletEvent::SuspectsChanged`.
    pub fn changed_suspects(&mut self, now: Instant) -> Option<&[SuspectLine]> {
        let suspects = self.health.suspects(now);
        if suspects == self.suspects {
            return None;
        }
        self.suspects = suspects;
        Some(&self.suspects)
    }

    /// Servers for the wallet and the account, with the slots in effect now.
    pub fn wallet_servers(&self, now: Instant) -> Vec<WalletServer> {
        let mut servers = Vec::new();
        for state in &self.servers {
            let PoolServer { server, ref zone, draining, .. } = state.info;
            let slots = self.slots_now(now, &state.info);
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

    fn begin(
        &mut self,
        now: Instant,
        server: ServerKey,
        class: WorkClass,
        credit: Option<HeldCredit>,
    ) -> PickedServer {
        if let Ok(position) = self.position(server) {
            self.servers[position].in_flight += 1;
        }
        self.health.note_sent(now, server, class);
        PickedServer { server, class, sent: now, credit }
    }

    /// Collects servers with room: wanted and well ones, or the rest as the last resort.
    fn collect_candidates(
        &mut self,
        now: Instant,
        allows_excluded: bool,
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
            if is_excluded && !allows_excluded {
                continue;
            }
            let slots = self.slots_now(now, &state.info);
            let weighted = if weight == 0.0 { slots } else { scale(slots, weight) };
            if state.in_flight >= weighted.min(state.connection_share) {
                continue;
            }
            let (in_flight, reported) = (state.in_flight, state.reported);
            self.candidates.push(PolicyCandidate { position, in_flight, reported, slots });
        }
    }

    /// Slots in effect during slow start. The period is up to 20 % longer by a jitter from the
    /// seed and the server, so that entries do not step at the same instant.
    fn slots_now(&self, now: Instant, info: &PoolServer) -> u32 {
        let Some(since) = info.ready_since else {
            return info.slots;
        };
        let jitter = (self.seed ^ info.server).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        let period = self.settings.slow_start.mul_f64(1.0 + 0.2 * jitter as f64 / 256.0);
        let passed = now.saturating_duration_since(since);
        if passed >= period {
            return info.slots;
        }
        scale(info.slots, passed.as_secs_f64() / period.as_secs_f64())
    }
}

/// Part of the slots, at least one.
fn scale(slots: u32, part: f64) -> u32 {
    ((f64::from(slots) * part) as u32).max(1).min(slots)
}
