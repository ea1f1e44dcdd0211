//! Control member: replicates the settings document and the server list, and streams both to the
//! entries.

mod call_tracker;
mod core;
pub mod disk;
mod followers;
mod heard;
pub mod leader_watch;
mod metrics;
mod operator;
pub mod peer_retry;
pub mod peers;
pub mod placement;
mod quarantine_list;
pub mod rejoin;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::metrics::histogram::Histogram;
use sha2::{Digest, Sha256};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, timeout_at};

use self::call_tracker::{CallTracker, StopPhase};
use self::core::{ControlCore, CoreParts, SharedCore};
use self::disk::{DiskReport, OpenedDisk};
use self::operator::{CALL_TIMEOUT, OperatorService};
use self::peers::PeerLinks;
use super::config::{ControlConfig, FleetConfig};
use super::dialect::WireDialect;
use super::listener::{ListenError, listen};
use super::process_metrics::PROCESS_METRICS;
use super::state::{FleetState, StateError};
use crate::consensus::members::MemberSet;
use crate::consensus::node::RestartState;
use crate::consensus::{RaftConfig, RaftNode};
use crate::ids::MemberId;
use crate::storage::{FormedIdentity, StoredIdentity};
use crate::{log_info, log_warn};

/// Minimum election timeout. It leaves room for a slow disk sync and for the run queue of a small
/// machine.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum election timeout after a start. When all members and entries fail together, the restarted
/// entries cannot serve requests until a leader is elected.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(80);

/// Interval of the leader's heartbeats: three within the minimum election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(220);

/// Delay between attempts to open the data folder.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Time allowed for the leadership transfer before the process exits.
const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Time before the end of the grace period at which the process exits even if calls are in progress.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time before the exit at which calls without an outcome are answered. It covers the way of the response
/// to the operator.
const ENDING_TIME: Duration = Duration::from_millis(100);

/// Time for which closed connections wait for their peers before the process exits.
const CLOSING_TIME: Duration = Duration::from_millis(600);

/// Interval at which a stopping member checks whether calls are in progress.
const CALL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Errors that prevent a control member from starting.
#[derive(Debug, Error)]
pub enum ControlError {
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("cannot restore the snapshot in the data folder: {0}")]
    Snapshot(#[from] StateError),
}

/// A running control member.
pub struct ControlProcess {
    core: SharedCore,
    calls: Rc<CallTracker>,
    /// Task that accepts operators; taken by the stop.
    accept_task: RefCell<Option<JoinHandle<()>>>,
    disk_latency: Histogram,
}

impl ControlProcess {
    /// Opens the data folder and starts the background tasks.
    pub async fn start(
        config: &FleetConfig,
        control: &ControlConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Result<Self, ControlError> {
        let disk = open_disk(config, control).await;
        let (reports, report_queue) = mpsc::unbounded_channel();
        let disk_latency = metrics::disk_latency_histogram();
        let core = build_core(config, control, disk, reports, disk_latency.clone())?;
        let link_listener = listen(control.link).await?;
        let operator_listener = listen(control.operator).await?;
        tokio::task::spawn_local(run_timers(Rc::clone(&core)));
        tokio::task::spawn_local(handle_disk_reports(Rc::clone(&core), report_queue));
        tokio::task::spawn_local(followers::serve(link_listener, Rc::clone(&core)));
        let calls = Rc::new(CallTracker::default());
        let operator_service = OperatorService::new(Rc::clone(&core), dialect, Rc::clone(&calls));
        let accept_task = tokio::task::spawn_local(operator_service.serve(operator_listener));
        Ok(Self { core, calls, accept_task: RefCell::new(Some(accept_task)), disk_latency })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.core.borrow_mut().set_seeds(seeds);
    }

    /// Returns the metrics page in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        self.core.borrow().metrics().encode(&self.disk_latency)
    }

    /// Transfers leadership to another member, answers the calls in progress and returns within `grace`,
    /// or after the time for the transfer if that is longer.
    pub async fn stop(&self, grace: Duration) {
        let started = Instant::now();
        let end = grace.saturating_sub(GRACE_MARGIN).max(TRANSFER_TIME);
        let ending_at = end.saturating_sub(ENDING_TIME);
        let refusing_at = ending_at.saturating_sub(CALL_TIMEOUT);
        self.calls.enter(StopPhase::Stopping);
        self.core.borrow_mut().transfer_leadership(started);
        sleep(TRANSFER_TIME.min(ending_at)).await;
        let phases = [
            (StopPhase::Closing, refusing_at),
            (StopPhase::Refusing, ending_at),
            (StopPhase::Ending, end),
        ];
        for (phase, until) in phases {
            self.calls.enter(phase);
            // An idle member can still have calls in the queue of its listener.
            if let Some(accept_task) = self.accept_task.take() {
                let _ = timeout_at((started + end).into(), accept_task).await;
            }
            self.wait_for_calls(started + until).await;
        }
        sleep((started + TRANSFER_TIME).saturating_duration_since(Instant::now())).await;
        log_info!(
            "member_stopped",
            "calls={} connections={} after_ms={} grace_ms={}",
            self.calls.calls(),
            self.calls.connections(),
            started.elapsed().as_millis(),
            grace.as_millis()
        );
    }

    /// Waits until all calls are answered and their connections are closed, or until `end`.
    async fn wait_for_calls(&self, end: Instant) {
        let mut called_until = Instant::now();
        while Instant::now() < end && self.calls.connections() > 0 {
            if self.calls.calls() > 0 {
                called_until = Instant::now();
            } else if called_until.elapsed() >= CLOSING_TIME {
                return;
            }
            sleep(CALL_CHECK_INTERVAL).await;
        }
    }
}

/// Opens the data folder, retrying until the disk works.
async fn open_disk(config: &FleetConfig, control: &ControlConfig) -> OpenedDisk {
    loop {
        match disk::open(&control.data_folder, || new_identity(config, control)) {
            Ok(disk) => return disk,
            Err(error) => log_warn!("disk_refused", "action=open error=\"{error}\""),
        }
        sleep(OPEN_RETRY_INTERVAL).await;
    }
}

/// Creates the identity for an empty data folder.
///
/// At the first start of the system every process has the same seeds, so the seeds can derive the
/// initial member list without communicating. A folder that is empty at a later start belongs to a
/// new member, which gets a new id and never votes under an earlier one.
fn new_identity(config: &FleetConfig, control: &ControlConfig) -> StoredIdentity {
    if control.form && config.seeds.contains(&control.link) {
        let initial: BTreeMap<_, _> = config
            .seeds
            .iter()
            .map(|seed| (seed.to_string().into_boxed_str(), seed_member_id(*seed)))
            .collect();
        let formed = Some(FormedIdentity { cluster: 1, initial });
        return StoredIdentity { member: seed_member_id(control.link), formed };
    }
    StoredIdentity { member: disk::random_member_id(fastrand::u64(..)), formed: None }
}

/// Derives the id of a seed in the initial member list from its address.
fn seed_member_id(address: SocketAddr) -> MemberId {
    let digest = Sha256::digest(address.to_string());
    digest[..8].iter().fold(0, |id, byte| id << 8 | MemberId::from(*byte))
}

fn build_core(
    config: &FleetConfig,
    control: &ControlConfig,
    disk: OpenedDisk,
    reports: mpsc::UnboundedSender<DiskReport>,
    disk_latency: Histogram,
) -> Result<SharedCore, ControlError> {
    let OpenedDisk { storage, identity, recovered } = disk;
    let name = control.link.to_string().into_boxed_str();
    let initial = identity.formed.clone().map(|formed| formed.initial).unwrap_or_default();
    let initial = MemberSet::of_voters(initial.into_iter().map(|(name, member)| (member, name)));
    let (state, snapshot_index) = match &recovered.snapshot {
        Some(snapshot) => {
            let mut state = FleetState::restore(&snapshot.data)?;
            state.advance(snapshot.index);
            (state, snapshot.index)
        }
        None => (FleetState::default(), 0),
    };
    log_info!(
        "member_started",
        "member={:016x} entries={} snapshot={snapshot_index} initial_voters={}",
        identity.member,
        recovered.entries.len(),
        initial.voters().count()
    );
    let restart = RestartState {
        hard_state: recovered.hard_state,
        initial,
        snapshot: recovered.snapshot,
        entries: recovered.entries,
    };
    let raft = RaftConfig {
        election_timeout: ELECTION_TIMEOUT,
        first_election_timeout: FIRST_ELECTION_TIMEOUT,
        heartbeat_interval: HEARTBEAT_INTERVAL,
        broadcast_commits: true,
        ..RaftConfig::default()
    };
    let now = Instant::now();
    let seed = fastrand::u64(..);
    let node = RaftNode::new(raft, disk::FLEET_GROUP, identity.member, seed, now, restart);
    let report = Box::new(move |report| {
        // The receiver lives until the process exits.
        let _ = reports.send(report);
    });
    let parts = CoreParts {
        name: name.clone(),
        zone: config.availability_zone.clone(),
        survivable_losses: control.survivable_losses,
        heartbeat: control.heartbeat,
        seeds: config.seeds.clone(),
        identity,
        node,
        state,
        snapshot_index,
        disk: disk::start(control.data_folder.clone(), storage, disk_latency, report),
        peers: PeerLinks::new(name),
        quota: config.quota,
    };
    Ok(Rc::new(RefCell::new(ControlCore::new(parts, now))))
}

async fn run_timers(core: SharedCore) {
    let wake = core.borrow().tick_wake();
    loop {
        core.borrow_mut().tick(Instant::now());
        let next = core.borrow_mut().schedule_tick(Instant::now());
        tokio::select! {
            () = sleep_until(next.into()) => {
                PROCESS_METRICS.record_timer_delay(next, Instant::now());
            }
            () = wake.notified() => {}
        }
    }
}

async fn handle_disk_reports(core: SharedCore, mut reports: mpsc::UnboundedReceiver<DiskReport>) {
    while let Some(report) = reports.recv().await {
        core.borrow_mut().on_disk_report(Instant::now(), report);
    }
}
