//! Stand-in server for `try`, tests and measurements.
//!
//! It announces itself to entries, runs requests in a limited number of slots and records each run.
//! Its behaviour can be changed at run time to that of a straggling, failing or misleading server.

mod announce;
mod pattern;
mod runs;
mod serve;
mod slots;

pub use pattern::{BodyPattern, hex_text};
pub use runs::{RunLog, RunRecord};
pub use slots::{SlotCounts, SlotGuard, SlotQueue};

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use serde::Serialize;

use crate::ids::{ServerId, ServiceName, TeamName, ZoneName};

/// Header on a refusal that was sent before execution.
pub const REFUSED_HEADER: &str = "x-refused-before-execution";

/// How a stand-in server is set up.
#[derive(Clone, Debug)]
pub struct StandInOptions {
    /// Team that owns the service.
    pub team: TeamName,
    /// Service of the server.
    pub service: ServiceName,
    /// Id of the server within the service.
    pub server: ServerId,
    /// Availability zone that is announced.
    pub availability_zone: ZoneName,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Entries that take announcements; the next one is tried when one fails.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of announcements.
    pub token: Box<str>,
    /// Requests that run at once.
    pub slots: usize,
    /// Connections that are accepted at once; further ones are closed.
    pub connections: usize,
    /// Distribution of the time that a request occupies its slot.
    pub service_time: ServiceTime,
    /// Seed of the service times.
    pub seed: u64,
    /// Number of this start of the server, growing with each start.
    pub incarnation: u64,
    /// Interval of announcements.
    pub heartbeat: Duration,
}

impl Default for StandInOptions {
    fn default() -> Self {
        Self {
            team: "team".into(),
            service: "service".into(),
            server: "server-1".into(),
            availability_zone: "a".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            entries: Vec::new(),
            token: "".into(),
            slots: 6,
            connections: 220,
            service_time: ServiceTime::Fixed(Duration::ZERO),
            seed: 1,
            incarnation: 1,
            heartbeat: Duration::from_secs(1),
        }
    }
}

/// Distribution of service times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Always the same time.
    Fixed(Duration),
    /// Lognormal distribution.
    LogNormal {
        /// Mean of the distribution.
        mean: Duration,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws one service time.
    pub fn sample(self, random: &mut fastrand::Rng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::LogNormal { mean, sigma } => {
                // The mean of a lognormal distribution is exp(mu + sigma² / 2).
                let mu = mean.as_secs_f64().max(1e-9).ln() - sigma * sigma / 2.0;
                Duration::from_secs_f64((mu + sigma * standard_normal(random)).exp().min(3600.0))
            }
        }
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn standard_normal(random: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

/// Behaviour of a stand-in server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandInMode {
    /// Serves as declared.
    Normal,
    /// Serves slower by a factor.
    Straggler {
        /// Multiplies each service time.
        factor: f64,
    },
    /// Answers at once with a status; the request counts as run.
    FailFast {
        /// Status of each response.
        status: u16,
    },
    /// Takes requests and does not answer until the mode changes.
    Stall,
    /// Serves slower at first.
    ColdStart {
        /// Multiplies service times at the start; falls linearly to 1.
        factor: f64,
        /// Time until the factor is 1.
        duration: Duration,
    },
    /// Serves as declared and announces a load that does not hold.
    MisleadingLoad {
        /// Load that is announced.
        load: u64,
    },
    /// Refuses with `503` and [`REFUSED_HEADER`] before execution.
    Refuse,
}

/// Life-cycle state in announcements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// Not yet ready for work.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes its work and takes no new work.
    Draining,
    /// Has left.
    Gone,
}

/// Handle to a running stand-in server; cheap to clone.
#[derive(Clone)]
pub struct StandInServer {
    shared: Arc<SharedServer>,
}

struct SharedServer {
    options: StandInOptions,
    address: SocketAddr,
    slots: SlotQueue,
    wake: Sender<()>,
    state: Mutex<ServerState>,
}

struct ServerState {
    mode: StandInMode,
    mode_since: Instant,
    announced: AnnouncedState,
    sequence: u64,
    announcements: u64,
    stopped: bool,
    random: fastrand::Rng,
    runs: RunLog,
    next_connection: u64,
    refused_connections: u64,
    connections: BTreeMap<u64, TcpStream>,
    listener: Option<task::JoinHandle<()>>,
}

impl StandInServer {
    /// Starts a server that announces itself as ready.
    pub async fn start(options: StandInOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let (wake, woken) = async_channel::bounded(1);
        let state = ServerState {
            mode: StandInMode::Normal,
            mode_since: Instant::now(),
            announced: AnnouncedState::Ready,
            sequence: 0,
            announcements: 0,
            stopped: false,
            random: fastrand::Rng::with_seed(options.seed),
            runs: RunLog::default(),
            next_connection: 0,
            refused_connections: 0,
            connections: BTreeMap::new(),
            listener: None,
        };
        let shared = Arc::new(SharedServer {
            address: listener.local_addr()?,
            slots: SlotQueue::new(options.slots),
            options,
            wake,
            state: Mutex::new(state),
        });
        let accepting = task::spawn(serve::accept_all(Arc::clone(&shared), listener));
        shared.lock().listener = Some(accepting);
        if !shared.options.entries.is_empty() {
            task::spawn(announce::announce_all(Arc::clone(&shared), woken));
        }
        Ok(Self { shared })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Changes the behaviour.
    pub fn set_mode(&self, mode: StandInMode) {
        let mut state = self.shared.lock();
        state.mode = mode;
        state.mode_since = Instant::now();
    }

    /// Changes the announced state and announces it at once.
    pub fn set_state(&self, announced: AnnouncedState) {
        self.shared.lock().announced = announced;
        let _ = self.shared.wake.try_send(());
    }

    /// Announces that the server is draining.
    pub fn drain(&self) {
        self.set_state(AnnouncedState::Draining);
    }

    /// Closes the listener and all connections at once, without an announcement.
    pub async fn stop(&self) {
        let listener = {
            let mut state = self.shared.lock();
            state.stopped = true;
            for stream in state.connections.values() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            state.listener.take()
        };
        let _ = self.shared.wake.try_send(());
        if let Some(listener) = listener {
            listener.cancel().await;
        }
    }

    /// Returns a copy of the record of runs.
    pub fn runs(&self) -> RunLog {
        self.shared.lock().runs.clone()
    }

    /// Returns the use of the slots.
    pub fn slots(&self) -> SlotCounts {
        self.shared.slots.counts()
    }

    /// Returns the largest sum of running and waiting work since the previous call.
    pub fn take_max_demand(&self) -> usize {
        self.shared.slots.take_max_demand()
    }

    /// Returns the number of open connections and of those that were refused.
    pub fn connections(&self) -> (usize, u64) {
        let state = self.shared.lock();
        (state.connections.len(), state.refused_connections)
    }

    /// Returns the number of announcements that an entry has accepted.
    pub fn announcements(&self) -> u64 {
        self.shared.lock().announcements
    }
}

impl SharedServer {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("no holder of the server lock panics")
    }
}
