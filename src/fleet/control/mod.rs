//! Control member: replicates the document and the servers, and tells the entries.

mod core;
pub mod disk;
mod followers;
mod heard;
mod metrics;
mod operator;
mod peers;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::metrics::histogram::Histogram;
use sha2::{Digest, Sha256};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::time::{sleep, sleep_until};

use self::core::{ControlCore, CoreParts, SharedCore};
use self::disk::{DiskReport, OpenedDisk};
use self::operator::OperatorService;
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

/// Shortest election timeout. It covers a slow sync and the queue of a small machine.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(700);

/// Shortest election timeout after a start. When all members were lost together, entries that were
/// lost too serve nothing until a leader is elected.
const FIRST_ELECTION_TIMEOUT: Duration = Duration::from_millis(80);

/// Interval of the leader's heartbeats: three within the shortest election timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(220);

/// Pause before a data folder that cannot be opened is tried again.
const OPEN_INTERVAL: Duration = Duration::from_millis(300);

/// Time between giving up leadership and the end of the process.
const HAND_OVER: Duration = Duration::from_millis(400);

/// Why a control member cannot run.
#[derive(Debug, Error)]
pub enum ControlError {
    #[error(transparent)]
    Listen(#[from] ListenError),
    #[error("the snapshot in the data folder cannot be used: {0}")]
    Snapshot(#[from] StateError),
}

/// Running control member.
pub struct ControlProcess {
    core: SharedCore,
    disk_times: Histogram,
}

impl ControlProcess {
    /// Opens the data folder and serves in the background.
    pub async fn start(
        config: &FleetConfig,
        control: &ControlConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Result<Self, ControlError> {
        let disk = open_disk(config, control).await;
        let (reports, report_queue) = mpsc::unbounded_channel();
        let disk_times = metrics::disk_histogram();
        let core = build_core(config, control, disk, reports, disk_times.clone())?;
        let links = listen(control.link).await?;
        let calls = listen(control.operator).await?;
        tokio::task::spawn_local(run_timers(Rc::clone(&core)));
        tokio::task::spawn_local(follow_disk(Rc::clone(&core), report_queue));
        tokio::task::spawn_local(followers::serve(links, Rc::clone(&core)));
        tokio::task::spawn_local(OperatorService::new(Rc::clone(&core), dialect).serve(calls));
        Ok(Self { core, disk_times })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.core.borrow_mut().set_seeds(seeds);
    }

    /// Text of the metrics page.
    pub fn metrics(&self) -> String {
        self.core.borrow().figures().encode(&self.disk_times)
    }

    /// Gives leadership away.
    pub async fn stop(&self) {
        self.core.borrow_mut().hand_over(Instant::now());
        sleep(HAND_OVER).await;
    }
}

/// Opens the data folder; a disk that refuses is tried again until it works.
async fn open_disk(config: &FleetConfig, control: &ControlConfig) -> OpenedDisk {
    loop {
        match disk::open(&control.data_folder, || new_identity(config, control)) {
            Ok(disk) => return disk,
            Err(error) => log_warn!("disk_refused", "action=open error=\"{error}\""),
        }
        sleep(OPEN_INTERVAL).await;
    }
}

/// Identity for an empty data folder.
///
/// At the first start of the system every process has the same seeds, so those that are seeds know
/// the first member list without asking anyone. A folder that is empty later belongs to a new member,
/// which never votes under an earlier id.
fn new_identity(config: &FleetConfig, control: &ControlConfig) -> StoredIdentity {
    if control.form && config.seeds.contains(&control.link) {
        let initial: BTreeMap<_, _> = config
            .seeds
            .iter()
            .map(|seed| (seed.to_string().into_boxed_str(), first_member(*seed)))
            .collect();
        let formed = Some(FormedIdentity { cluster: 1, initial });
        return StoredIdentity { member: first_member(control.link), formed };
    }
    StoredIdentity { member: disk::random_member(fastrand::u64(..)), formed: None }
}

/// Id of a seed in the first member list.
fn first_member(address: SocketAddr) -> MemberId {
    let digest = Sha256::digest(address.to_string());
    digest[..8].iter().fold(0, |id, byte| id << 8 | MemberId::from(*byte))
}

fn build_core(
    config: &FleetConfig,
    control: &ControlConfig,
    disk: OpenedDisk,
    reports: mpsc::UnboundedSender<DiskReport>,
    disk_times: Histogram,
) -> Result<SharedCore, ControlError> {
    let OpenedDisk { storage, identity, recovered } = disk;
    let name = control.link.to_string().into_boxed_str();
    let initial = identity.formed.map(|formed| formed.initial).unwrap_or_default();
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
        // The receiver lives as long as the process.
        let _ = reports.send(report);
    });
    let parts = CoreParts {
        name: name.clone(),
        survivable_losses: control.survivable_losses,
        heartbeat: control.heartbeat,
        seeds: config.seeds.clone(),
        member: identity.member,
        node,
        state,
        snapshot_index,
        disk: disk::start(control.data_folder.clone(), storage, disk_times, report),
        peers: PeerLinks::new(name),
    };
    Ok(Rc::new(RefCell::new(ControlCore::new(parts, now))))
}

async fn run_timers(core: SharedCore) {
    loop {
        core.borrow_mut().tick(Instant::now());
        let next = core.borrow().next_tick(Instant::now());
        sleep_until(next.into()).await;
        PROCESS_METRICS.note_timer(next, Instant::now());
    }
}

async fn follow_disk(core: SharedCore, mut reports: mpsc::UnboundedReceiver<DiskReport>) {
    while let Some(report) = reports.recv().await {
        core.borrow_mut().on_disk(Instant::now(), report);
    }
}
