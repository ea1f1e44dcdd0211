//! Soak test of tenants and zones: beside the faults of `FaultSeries`, tenants send several times their
//! limits, keys are replaced, zones are evacuated and come back cold, and full servers answer nothing.
//!
//! Each run verifies, by what the servers ran, limits of tenants in every window, names of tenants, secrecy
//! and withdrawal of keys, evacuations, the load of cold servers, and that tenants below their limits are
//! served again at the end.
//!
//! `SOAK_SEEDS=10..60` runs other seeds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use yare::parameterized;

use crate::demand_checks::{DemandCheck, EvacuationSpan};
use crate::demand_client::{KeyHistory, TenantClient, tenant_document};
use crate::fault_series::FaultSeries;
use crate::harness::{call, wait_for};
use crate::support::{FleetChild, FleetProcesses, run_given_seeds};
use crate::work_server::{SERVER_RESTART_TIME, WorkServer};

const MEMBERS: usize = 5;
const ENTRIES: usize = 3;
const SERVERS: usize = 9;
const ZONES: [&str; 3] = ["a", "b", "c"];
const GRACE: Duration = Duration::from_secs(4);

/// Maximum number of faults that begin at the same time.
const MAX_TOGETHER: usize = 2;

const FAULT_TIME: Duration = Duration::from_secs(11);

/// Time after the last fault in which leases that were lent before it end, and servers that ended come back,
/// warm up and are used by all entries again, which takes another second.
const SETTLING_TIME: Duration =
    Duration::from_secs(1).saturating_add(SERVER_RESTART_TIME).saturating_add(WARMUP);

/// Time in which tenants below their limits are served: some requests of the rarest one.
const QUIET_TIME: Duration = Duration::from_secs(4);

/// Duration for which a server is cold.
const WARMUP: Duration = Duration::from_secs(3);

/// Duration of an evacuation in milliseconds: longer than the bound after which nothing arrives.
const EVACUATION_MS: std::ops::Range<u64> = 6_500..8_500;

/// Sleeps for `duration`, less if `stop` is set.
fn pause(duration: Duration, stop: &AtomicBool) {
    let end = Instant::now() + duration;
    while Instant::now() < end && !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Evacuates one zone after the other until `faults_end` is set; the servers of a zone are cold afterwards.
/// The last evacuation goes on after the faults, when entries are in touch again.
fn evacuate_zones(
    operators: &[SocketAddr],
    servers: &[WorkServer],
    mut random: fastrand::Rng,
    [faults_end, stop]: [&AtomicBool; 2],
) -> Vec<EvacuationSpan> {
    let mut spans = Vec::new();
    while !faults_end.load(Ordering::Relaxed) {
        let zone = ZONES[random.usize(0..ZONES.len())];
        let path = format!("/.curranthollow/evacuations/{zone}");
        let order = |method| {
            wait_for("an order to be acknowledged", || {
                operators.iter().any(|operator| call(*operator, method, &path, "").0 == 200)
            });
        };
        pause(Duration::from_millis(random.u64(100..800)), faults_end);
        order("POST");
        let acknowledged_at = Instant::now();
        pause(Duration::from_millis(random.u64(EVACUATION_MS)), stop);
        for server in servers.iter().filter(|server| server.zone() == zone) {
            server.begin_warmup();
        }
        let withdrawn_at = Instant::now();
        order("DELETE");
        spans.push(EvacuationSpan { zone, acknowledged_at, withdrawn_at });
    }
    spans
}

/// Ends all servers of one zone after the other, which come back cold, until `stop` is set.
fn return_zones_cold(servers: &[WorkServer], mut random: fastrand::Rng, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        pause(Duration::from_millis(random.u64(1_500..5_000)), stop);
        let zone = ZONES[random.usize(0..ZONES.len())];
        for server in servers.iter().filter(|server| server.zone() == zone) {
            server.restart();
        }
    }
}

/// Ends all threads of a run also if the run panics.
struct StopGuard<'a>([&'a AtomicBool; 2]);

impl Drop for StopGuard<'_> {
    fn drop(&mut self) {
        for stop in self.0 {
            stop.store(true, Ordering::Relaxed);
        }
    }
}

fn run_demand_soak(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let fleet = FleetProcesses::start_in_zones(MEMBERS, &[None; ENTRIES], GRACE, &ZONES);
    let first = tenant_document(1);
    wait_for("the first document", || fleet.call("PUT", "/.curranthollow/document", &first));
    fleet.write_configs(fleet.seeds(), false);
    let servers = fleet.start_servers_in_zones(SERVERS, &ZONES);
    for server in &servers {
        server.set_warmup(WARMUP);
        server.be_silent_when_full();
    }
    let entries: Vec<_> = fleet.entries.iter().map(|entry| entry.address).collect();
    let operators: Vec<_> = fleet.members.iter().map(|member| member.address).collect();
    let has_document = |entry: &SocketAddr| call(*entry, "GET", "/read/w/0/2", "").0 == 401;
    for entry in &entries {
        wait_for("an entry that knows its tenants", || has_document(entry));
    }
    let keys = KeyHistory::default();
    let (stop, faults_end) = (AtomicBool::new(false), AtomicBool::new(false));
    let clients = TenantClient::all(&entries, &keys, &mut random);
    let generators = [(); 3].map(|()| random.fork());
    let mut series = FaultSeries::new(fleet, &servers, random, (FAULT_TIME, MAX_TOGETHER), GRACE);
    let (requests, spans, quiet_from) = std::thread::scope(|scope| {
        let _guard = StopGuard([&stop, &faults_end]);
        let running: Vec<_> =
            clients.into_iter().map(|client| scope.spawn(|| client.run(&stop))).collect();
        let [key_random, zone_random, cold_random] = generators;
        scope.spawn(|| keys.rotate(&operators, key_random, &faults_end));
        scope.spawn(|| return_zones_cold(&servers, cold_random, &faults_end));
        let orders = [&faults_end, &stop];
        let (operators, servers) = (&operators, &servers);
        let evacuations =
            scope.spawn(move || evacuate_zones(operators, servers, zone_random, orders));
        series.run();
        faults_end.store(true, Ordering::Relaxed);
        std::thread::sleep(SETTLING_TIME);
        let quiet_from = Instant::now();
        std::thread::sleep(QUIET_TIME);
        stop.store(true, Ordering::Relaxed);
        let spans = evacuations.join().expect("the thread does not panic");
        let mut requests = Vec::new();
        for client in running {
            requests.extend(client.join().expect("the client does not panic"));
        }
        (requests, spans, quiet_from)
    });
    let FaultSeries { fleet, events, broken, .. } = series;
    let mut check = DemandCheck::new(&servers, &fleet.entries);
    check.broken.extend(broken);
    check.check_quotas();
    check.check_tenants();
    check.check_keys(&keys);
    check.check_evacuations(&spans);
    check.check_cold_servers();
    check.check_responses(&requests);
    check.check_quiet_end(&requests, quiet_from, &keys);
    check.check_key_secrecy(&fleet);
    println!("seed {seed}: {} evacuations, {:#?}", spans.len(), check.summary);
    let logs: Vec<_> =
        fleet.entries.iter().chain(&fleet.members).map(FleetChild::log_path).collect();
    let broken = check.broken;
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}\nfaults: {events:?}\nlogs: {logs:?}");
}

/// Guards against limits, keys, evacuations and cold servers that faults of processes undo.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn limits_and_orders_hold_under_faults(seed: u64) {
    run_demand_soak(seed);
}

/// Runs the seeds of `SOAK_SEEDS`; without it, nothing beyond the test above.
#[test]
fn limits_and_orders_hold_under_faults_with_given_seeds() {
    run_given_seeds("SOAK_SEEDS", run_demand_soak);
}
