//! Tenants of the soak test of tenants and zones: their limits, their keys and their clients.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::harness::{call, document};
use crate::planned_client::ClientConnection;
use crate::work_server::{KEY_PREFIX, response_body};

/// Rate at which a cold server may be used, in requests per second.
pub const WARMUP_RATE: f64 = 4.0;

/// Size of a response: room for a whole request id.
const RESPONSE_BYTES: usize = 80;

/// Run time of a request in milliseconds.
const SERVICE_MS: u64 = 40;

/// Number of newest keys of the rotating tenant that its clients draw from; most are withdrawn.
const DRAWN_KEYS: u64 = 8;

pub struct TenantLoad {
    pub name: &'static str,
    /// Limit in requests per second, and its burst.
    pub rate: f64,
    pub burst: f64,
    clients: usize,
    /// Pause of a client between two requests.
    pause: Duration,
    /// Whether the tenant stays below its limit and keeps its key.
    pub is_steady: bool,
}

impl TenantLoad {
    const fn new(
        name: &'static str,
        (rate, burst): (f64, f64),
        (clients, pause_ms): (usize, u64),
        is_steady: bool,
    ) -> Self {
        Self { name, rate, burst, clients, pause: Duration::from_millis(pause_ms), is_steady }
    }
}

/// Tenant whose key is replaced again and again.
pub const ROTATING: &str = "rotating";

/// Callers with a key that no tenant has.
pub const NOBODY: &str = "nobody";

/// Two tenants send several times their limit: one whose limit is lent as tokens only, and one with standing
/// rates. The others stay below theirs.
pub const LOADS: [TenantLoad; 6] = [
    TenantLoad::new("flood", (30.0, 20.0), (8, 15), false),
    TenantLoad::new("large", (120.0, 60.0), (14, 15), false),
    TenantLoad::new("steady", (40.0, 20.0), (3, 300), true),
    TenantLoad::new("rare", (3.0, 4.0), (1, 1000), true),
    TenantLoad::new(ROTATING, (60.0, 60.0), (3, 100), false),
    TenantLoad::new(NOBODY, (0.0, 0.0), (1, 200), false),
];

/// Document with tenants; the rotating one has the keys of `version` and the one before.
pub fn tenant_document(version: u64) -> String {
    let mut value: serde_json::Value =
        serde_json::from_str(&document(version)).expect("the document is JSON");
    value["services"]["rounds"]["warmup_per_second"] = WARMUP_RATE.into();
    let mut tenants = Vec::new();
    for load in LOADS.iter().filter(|load| load.name != NOBODY) {
        let keys = match load.name {
            ROTATING => vec![key(ROTATING, version - 1), key(ROTATING, version)],
            name => vec![key(name, 0)],
        };
        tenants.push(serde_json::json!({
            "name": load.name, "keys": keys, "rate_per_second": load.rate, "burst": load.burst,
        }));
    }
    value["tenants"] = tenants.into();
    value.to_string()
}

fn key(tenant: &str, number: u64) -> String {
    format!("{KEY_PREFIX}{tenant}-{number}")
}

/// Versions of the document, which are also the numbers of the keys of the rotating tenant.
#[derive(Default)]
pub struct KeyHistory {
    /// Versions that were sent, and when they were acknowledged.
    versions: Mutex<Vec<(u64, Option<Instant>)>>,
}

impl KeyHistory {
    /// Puts version after version until `stop` is set.
    pub fn rotate(&self, operators: &[SocketAddr], mut random: fastrand::Rng, stop: &AtomicBool) {
        let mut version = 1;
        while !stop.load(Ordering::Relaxed) {
            version += 1;
            self.versions.lock().expect("no thread panics with the lock").push((version, None));
            let text = tenant_document(version);
            let mut statuses =
                operators.iter().map(|at| call(*at, "PUT", "/.curranthollow/document", &text).0);
            if statuses.any(|status| status == 200) {
                let mut versions = self.versions.lock().expect("no thread panics with the lock");
                versions.last_mut().expect("the version was added").1 = Some(Instant::now());
            }
            std::thread::sleep(Duration::from_millis(random.u64(200..1200)));
        }
    }

    fn newest(&self) -> u64 {
        let versions = self.versions.lock().expect("no thread panics with the lock");
        versions.last().map_or(1, |(version, _)| *version)
    }

    /// Time of the first acknowledgement of a version without this key.
    pub fn withdrawn_at(&self, key: u64) -> Option<Instant> {
        let versions = self.versions.lock().expect("no thread panics with the lock");
        let mut without = versions.iter().filter(|(version, _)| *version >= key + 2);
        without.find_map(|(_, acknowledged_at)| *acknowledged_at)
    }

    /// Whether each document from the newest acknowledged one on has this key.
    pub fn is_in_force(&self, key: u64) -> bool {
        let versions = self.versions.lock().expect("no thread panics with the lock");
        let acknowledged = versions.iter().rfind(|(_, acknowledged_at)| acknowledged_at.is_some());
        let newest = versions.last().map_or(1, |(version, _)| *version);
        acknowledged.is_some_and(|(version, _)| *version >= key) && newest <= key + 1
    }
}

/// Request and what its caller was told.
#[derive(Debug, Clone)]
pub struct TenantRequest {
    pub id: String,
    pub tenant: &'static str,
    pub key_number: u64,
    pub at_most_once: bool,
    pub sent_at: Instant,
    /// 0 if there was no complete response.
    pub status: u16,
    /// Whether the body is that of a response to this request.
    pub is_own: bool,
}

/// Number of the key that a request was sent with, from its id.
pub fn key_of(id: &str) -> u64 {
    let key = id.rsplit("-k").next().and_then(|text| text.split('-').next()?.parse().ok());
    key.expect("the id names the key")
}

/// Client of a tenant, which sends requests to all entries in turn at random.
pub struct TenantClient<'a> {
    pub load: &'static TenantLoad,
    pub number: usize,
    pub entries: &'a [SocketAddr],
    pub keys: &'a KeyHistory,
    pub random: fastrand::Rng,
}

impl<'a> TenantClient<'a> {
    /// All clients of all tenants.
    pub fn all(
        entries: &'a [SocketAddr],
        keys: &'a KeyHistory,
        random: &mut fastrand::Rng,
    ) -> Vec<Self> {
        let mut clients = Vec::new();
        for load in &LOADS {
            for number in 0..load.clients {
                clients.push(Self { load, number, entries, keys, random: random.fork() });
            }
        }
        clients
    }

    /// Sends requests until `stop` is set, some of them on one connection.
    pub fn run(mut self, stop: &AtomicBool) -> Vec<TenantRequest> {
        let mut requests = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let entry = self.random.usize(0..self.entries.len());
            let Some(mut connection) = ClientConnection::open(entry, self.entries[entry]) else {
                std::thread::sleep(self.load.pause);
                continue;
            };
            while !stop.load(Ordering::Relaxed) {
                let request = self.send(&mut connection, entry, requests.len());
                let is_open = request.status != 0;
                requests.push(request);
                std::thread::sleep(self.load.pause);
                if !is_open || self.random.u32(0..6) == 0 {
                    break;
                }
            }
        }
        requests
    }

    fn send(
        &mut self,
        connection: &mut ClientConnection,
        entry: usize,
        number: usize,
    ) -> TenantRequest {
        let tenant = self.load.name;
        let key_number = match tenant {
            ROTATING => self.keys.newest().saturating_sub(self.random.u64(0..DRAWN_KEYS)),
            _ => 0,
        };
        let id = format!("{tenant}-{}-{number}-k{key_number}-e{entry}", self.number);
        let at_most_once = self.random.bool();
        let route = if at_most_once { "book" } else { "read" };
        // Paths differ, so that servers that end under several requests count as evidence against none.
        let text = format!(
            "POST /{route}/{tenant}{}x{number}/{SERVICE_MS}/{RESPONSE_BYTES} HTTP/1.1\r\n\
             host: shop\r\nx-request-id: {id}\r\nauthorization: Bearer {}\r\n\
             x-tenant: forged\r\ncontent-length: 0\r\n\r\n",
            self.number,
            key(tenant, key_number),
        );
        let sent_at = Instant::now();
        let response = connection.exchange(&text);
        let (head, body) = response.unwrap_or_default();
        let status = head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or_default();
        let is_own = body == response_body(&id, RESPONSE_BYTES).as_bytes();
        TenantRequest { id, tenant, key_number, at_most_once, sent_at, status, is_own }
    }
}
