//! Stand-in server for `curranthollow try`, tests and benchmarks.
//!
//! It announces itself to entries, runs requests in a limited number of slots and records each run.
//! At run time it can be switched to a faulty behaviour, such as slow responses, errors or a false
//! load.

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

/// Header of a response that refuses a request without executing it.
pub const REFUSED_HEADER: &str = "x-refused-before-execution";

/// Options of a stand-in server.
#[derive(Clone, Debug)]
pub struct StandInOptions {
    /// Team that owns the service.
    pub team: TeamName,
    /// Service that the server provides.
    pub service: ServiceName,
    /// Id of the server within its service.
    pub server: ServerId,
    /// Announced availability zone.
    pub availability_zone: ZoneName,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Entries to announce to; if one fails, the next one is tried.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of announcements.
    pub token: Box<str>,
    /// Maximum number of requests that run concurrently.
    pub slots: usize,
    /// Maximum number of open connections; further ones are closed.
    pub connections: usize,
    /// Distribution of the time for which a request occupies its slot.
    pub service_time: ServiceTime,
    /// Random seed of the service times.
    pub seed: u64,
    /// Incarnation number, which increases with each start of the server.
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
    /// Constant time.
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
    /// Draws a service time.
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

/// Draws from the standard normal distribution with the Box-Muller transform.
fn standard_normal(random: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - random.f64()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.f64()).cos()
}

/// Behaviour of a stand-in server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StandInMode {
    /// Serves requests according to the options.
    Normal,
    /// Serves requests slower by a constant factor.
    Straggler {
        /// Factor of each service time.
        factor: f64,
    },
    /// Responds immediately with a status; the request counts as run.
    FailFast {
        /// Status of each response.
        status: u16,
    },
    /// Accepts requests but does not respond until the mode changes.
    Stall,
    /// Serves requests slower at first.
    ColdStart {
        /// Initial factor of service times, which decreases linearly to 1.
        factor: f64,
        /// Time until the factor reaches 1.
        duration: Duration,
    },
    /// Serves requests according to the options but announces a false load.
    MisleadingLoad {
        /// Announced load.
        load: u64,
    },
    /// Refuses requests with status 503 and [`REFUSED_HEADER`], without executing them.
    Refuse,
}

/// Life-cycle state that a server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// Not yet ready for requests.
    Starting,
    /// Accepts requests.
    Ready,
    /// Completes running requests and accepts no new ones.
    Draining,
    /// Has shut down.
    Gone,
}

/// Handle to a running stand-in server, cheap to clone.
#[derive(Clone)]
pub struct StandInServer {
    shared: Arc<SharedServer>,
}

struct SharedServer {
    options: StandInOptions,
    address: SocketAddr,
    slots: SlotQueue,
    wake_sender: Sender<()>,
    state: Mutex<ServerState>,
}

struct ServerState {
    mode: StandInMode,
    mode_started: Instant,
    announced_state: AnnouncedState,
    sequence: u64,
    accepted_announcements: u64,
    stopped: bool,
    random: fastrand::Rng,
    runs: RunLog,
    next_connection_id: u64,
    refused_connections: u64,
    connections: BTreeMap<u64, TcpStream>,
    accept_task: Option<task::JoinHandle<()>>,
}

impl StandInServer {
    /// Starts a server that announces itself as ready.
    pub async fn start(options: StandInOptions) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen).await?;
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let state = ServerState {
            mode: StandInMode::Normal,
            mode_started: Instant::now(),
            announced_state: AnnouncedState::Ready,
            sequence: 0,
            accepted_announcements: 0,
            stopped: false,
            random: fastrand::Rng::with_seed(options.seed),
            runs: RunLog::default(),
            next_connection_id: 0,
            refused_connections: 0,
            connections: BTreeMap::new(),
            accept_task: None,
        };
        let shared = Arc::new(SharedServer {
            address: listener.local_addr()?,
            slots: SlotQueue::new(options.slots),
            options,
            wake_sender,
            state: Mutex::new(state),
        });
        let accept_task = task::spawn(serve::accept_connections(Arc::clone(&shared), listener));
        shared.lock().accept_task = Some(accept_task);
        if !shared.options.entries.is_empty() {
            task::spawn(announce::run_announcements(Arc::clone(&shared), wake_receiver));
        }
        Ok(Self { shared })
    }

    /// Returns the address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Switches the behaviour.
    pub fn set_mode(&self, mode: StandInMode) {
        let mut state = self.shared.lock();
        state.mode = mode;
        state.mode_started = Instant::now();
    }

    /// Sets the announced state and announces it immediately.
    pub fn set_announced_state(&self, announced_state: AnnouncedState) {
        self.shared.lock().announced_state = announced_state;
        let _ = self.shared.wake_sender.try_send(());
    }

    /// Announces that the server is draining.
    pub fn drain(&self) {
        self.set_announced_state(AnnouncedState::Draining);
    }

    /// Closes the listener and all connections immediately, without an announcement.
    pub async fn stop(&self) {
        let accept_task = {
            let mut state = self.shared.lock();
            state.stopped = true;
            for stream in state.connections.values() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            state.accept_task.take()
        };
        let _ = self.shared.wake_sender.try_send(());
        if let Some(accept_task) = accept_task {
            accept_task.cancel().await;
        }
    }

    /// Returns a copy of the run log.
    pub fn runs(&self) -> RunLog {
        self.shared.lock().runs.clone()
    }

    /// Returns how many slots are occupied and how many requests wait.
    pub fn slots(&self) -> SlotCounts {
        self.shared.slots.counts()
    }

    /// Returns the maximum number of running and waiting requests since the previous call.
    pub fn take_max_demand(&self) -> usize {
        self.shared.slots.take_max_demand()
    }

    /// Returns the number of open connections and the number of refused ones.
    pub fn connections(&self) -> (usize, u64) {
        let state = self.shared.lock();
        (state.connections.len(), state.refused_connections)
    }

    /// Returns the number of announcements that entries have accepted.
    pub fn announcements(&self) -> u64 {
        self.shared.lock().accepted_announcements
    }
}

impl SharedServer {
    fn lock(&self) -> MutexGuard<'_, ServerState> {
        self.state.lock().expect("no holder of the server lock panics")
    }
}
