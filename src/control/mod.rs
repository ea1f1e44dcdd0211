//! The `control` process: stores settings and claims, replicated by consensus.

mod claims;
mod leases;
mod machines;
mod operator;
mod operator_error;
mod process;
mod routes;

pub use claims::ClaimService;
pub use leases::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
pub use machines::{ClaimStateMachine, SettingsStateMachine, SharedState};
pub use process::{ControlInput, LeaseReport, SETTINGS_GROUP};
pub use routes::MemberNames;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::task;
use thiserror::Error;

use self::operator::OperatorState;
use self::process::{
    ControlThread, ControlThreadParts, RunningGroups, RunningGroupsCell, TICK_INTERVAL,
};
use crate::admin::AdminServer;
use crate::config::ProcessConfig;
use crate::consensus::formation::{
    ClusterFormation, FormationAction, FormationEvent, Membership, membership_of,
};
use crate::consensus::host::{ConsensusHost, GroupSpec, HostConfig, HostError};
use crate::consensus::members::MemberSet;
use crate::entry::{CLAIM_GROUP_COUNT, OPERATOR_STOP_LIMIT};
use crate::ids::{GroupId, MemberId, ProcessName};
use crate::link::{
    HelloMessage, LinkConfig, LinkEvent, LinkHub, LinkTarget, ProcessRole, WireMessage,
};
use crate::metrics::ProcessMetrics;
use crate::storage::{FormedIdentity, LogStorage, RecoveredGroup, StorageError, StoredIdentity};
use crate::timer::TimerService;

/// Capacity of the control thread's input queue.
const INPUT_QUEUE_CAPACITY: usize = 16_384;

/// Longest wait of a stopping process for each step of the leadership transfer.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound listeners of a control process.
#[derive(Debug)]
pub struct ControlListeners {
    /// Listener of the operator's HTTP interface.
    pub operator: TcpListener,
    /// Listener for links from other processes.
    pub link: TcpListener,
}

/// Error that prevents a control process from starting or ends it.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A listener cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address from the config.
        address: SocketAddr,
        /// Error from the operating system.
        error: io::Error,
    },
    /// The config has no data folder.
    #[error("the config states no data folder")]
    NoDataFolder,
    /// The config has no root token.
    #[error("the config states no root token")]
    NoRootToken,
    /// The storage in the data folder failed.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The consensus host failed.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The control thread cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
}

/// A running control process.
pub struct ControlProcess {
    name: ProcessName,
    hub: LinkHub,
    timers: TimerService,
    groups: RunningGroupsCell,
    operator_server: AdminServer,
    fatal_errors: Receiver<ControlError>,
}

impl ControlListeners {
    /// Binds the listen addresses of a config.
    pub fn bind(config: &ProcessConfig) -> Result<Self, ControlError> {
        Ok(Self { operator: bind(config.operator)?, link: bind(config.link)? })
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, ControlError> {
    crate::listen::listen(address).map_err(|error| ControlError::Listen { address, error })
}

impl ControlProcess {
    /// Starts a control process on bound listeners.
    pub fn start(
        config: &ProcessConfig,
        listeners: ControlListeners,
    ) -> Result<Self, ControlError> {
        let folder = config.data_folder.as_deref().ok_or(ControlError::NoDataFolder)?;
        let (mut storage, recovered) = LogStorage::open(folder)?;
        let identity = load_or_create_identity(&mut storage)?;
        let member = identity.member;
        let (input_queue, inputs) = async_channel::bounded(INPUT_QUEUE_CAPACITY);
        let (error_sender, fatal_errors) = async_channel::bounded(1);
        let groups: RunningGroupsCell = Arc::new(OnceLock::new());
        let member_names = MemberNames::default();
        let link_events =
            forward_link_events(input_queue.clone(), Arc::clone(&groups), member_names.clone());
        let hub = LinkHub::new(link_config(config, identity.member), link_events);
        let timers = TimerService::start();
        let launcher = GroupLauncher {
            config: config.clone(),
            root_token: config.root_token_sha256.clone().ok_or(ControlError::NoRootToken)?,
            member: identity.member,
            storage: Some(storage),
            recovered,
            hub: hub.clone(),
            member_names: member_names.clone(),
            groups: Arc::clone(&groups),
            input_queue: input_queue.clone(),
            timers: timers.clone(),
            fatal_errors: error_sender,
        };
        let control = build_control_thread(
            config,
            identity,
            launcher,
            &hub,
            &input_queue,
            &groups,
            &member_names,
        );
        let ticks = timers.every(TICK_INTERVAL);
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || task::block_on(control.run(inputs, ticks)))
            .map_err(ControlError::Thread)?;
        hub.listen(listeners.link.into());
        for peer in &config.control_peers {
            // The process with the lower name connects, so that two processes share one link.
            if peer.name > config.name {
                hub.connect(LinkTarget { name: peer.name.clone(), address: peer.link });
            }
        }
        let operator_server = AdminServer::default();
        let state = OperatorState {
            name: config.name.clone(),
            member,
            groups: Arc::clone(&groups),
            member_names,
            input_queue,
            hub: hub.clone(),
            metrics: ProcessMetrics::new(),
            server: operator_server.clone(),
        };
        operator::serve(Arc::new(state), listeners.operator.into());
        Ok(Self { name: config.name.clone(), hub, timers, groups, operator_server, fatal_errors })
    }

    /// Waits for a fatal error; returns `None` when the process stops without one.
    pub async fn failed(&self) -> Option<ControlError> {
        self.fatal_errors.recv().await.ok()
    }

    /// Transfers the leadership of all groups to other members, answers the calls of operators, then
    /// stops the process.
    pub async fn stop(&self) {
        let started = Instant::now();
        self.operator_server.stop();
        if let Some(groups) = self.groups.get() {
            let transfer = groups.host.transfer_leadership(None);
            let _ = async_std::future::timeout(LEADERSHIP_TRANSFER_TIMEOUT, transfer).await;
            let leadership_released = async {
                while leads_replicated_group(groups).await {
                    task::sleep(TICK_INTERVAL).await;
                }
            };
            let _ =
                async_std::future::timeout(LEADERSHIP_TRANSFER_TIMEOUT, leadership_released).await;
            groups.host.stop().await;
        }
        self.operator_server.finish(OPERATOR_STOP_LIMIT).await;
        self.hub.stop();
        self.timers.stop();
        let connections = self.operator_server.open_connections();
        let requests = self.operator_server.open_requests();
        let after_ms = started.elapsed().as_millis() as u64;
        log::info!(name:% = self.name, requests, connections, after_ms; "control process stopped");
    }
}

async fn leads_replicated_group(groups: &RunningGroups) -> bool {
    let statuses = groups.host.status().await;
    statuses.iter().any(|status| {
        status.role == crate::consensus::Role::Leader && status.members.voters().count() > 1
    })
}

fn load_or_create_identity(storage: &mut LogStorage) -> Result<StoredIdentity, StorageError> {
    if let Some(identity) = storage.identity()? {
        return Ok(identity);
    }
    let identity = StoredIdentity { member: fastrand::u64(1..), formed: None };
    storage.save_identity(&identity)?;
    Ok(identity)
}

fn link_config(config: &ProcessConfig, member: MemberId) -> LinkConfig {
    LinkConfig {
        hello: HelloMessage {
            name: config.name.clone(),
            role: ProcessRole::Control,
            availability_zone: config.availability_zone.clone(),
            member: Some(member),
        },
        region: config.region.clone(),
    }
}

/// Dispatches link events: consensus messages and claim calls directly, all others through the
/// queue of the control thread.
fn forward_link_events(
    input_queue: Sender<ControlInput>,
    groups: RunningGroupsCell,
    member_names: MemberNames,
) -> Sender<LinkEvent> {
    let (sender, receiver) = async_channel::bounded::<LinkEvent>(1);
    task::spawn(async move {
        while let Ok(event) = receiver.recv().await {
            let running = groups.get();
            let event = match (event, running) {
                (LinkEvent::Message(from, message), Some(running)) => {
                    match handle_directly(running, &member_names, from, *message) {
                        Some((from, message)) => LinkEvent::Message(from, Box::new(message)),
                        None => continue,
                    }
                }
                (event, _) => event,
            };
            if input_queue.send(ControlInput::Link(event)).await.is_err() {
                return;
            }
        }
    });
    sender
}

/// Handles a message that does not need the state of the control thread; returns any other message.
fn handle_directly(
    running: &RunningGroups,
    member_names: &MemberNames,
    from: Box<str>,
    message: WireMessage,
) -> Option<(Box<str>, WireMessage)> {
    match message {
        WireMessage::Raft(message) => {
            if let Some(member) = member_names.member_id(&from) {
                running.host.deliver(member, *message);
            }
            None
        }
        WireMessage::ClaimCall { call, group, body } => {
            running.claims.serve(from, call, group, body);
            None
        }
        message => Some((from, message)),
    }
}

fn build_control_thread(
    config: &ProcessConfig,
    identity: StoredIdentity,
    mut launcher: GroupLauncher,
    hub: &LinkHub,
    input_queue: &Sender<ControlInput>,
    groups: &RunningGroupsCell,
    member_names: &MemberNames,
) -> ControlThread {
    let peers: BTreeSet<_> = config.control_peers.iter().map(|peer| peer.name.clone()).collect();
    let member = identity.member;
    if let Some(formed) = &identity.formed {
        launcher.start(formed.clone(), membership_of(member, formed));
    }
    let new_cluster_id = fastrand::u64(1..);
    let formation = ClusterFormation::new(config.name.clone(), peers, identity, new_cluster_id);
    let parts = ControlThreadParts {
        name: config.name.clone(),
        member,
        hub: hub.clone(),
        member_names: member_names.clone(),
        groups: Arc::clone(groups),
        formation,
        formation_executor: Box::new(move |action| launcher.execute(action)),
        input_queue: input_queue.clone(),
    };
    ControlThread::new(parts, Instant::now())
}

/// Starts the consensus groups of this process once its cluster is formed.
struct GroupLauncher {
    config: ProcessConfig,
    root_token: Box<str>,
    member: MemberId,
    storage: Option<LogStorage>,
    recovered: BTreeMap<GroupId, RecoveredGroup>,
    hub: LinkHub,
    member_names: MemberNames,
    groups: RunningGroupsCell,
    input_queue: Sender<ControlInput>,
    timers: TimerService,
    fatal_errors: Sender<ControlError>,
}

impl GroupLauncher {
    fn execute(&mut self, action: FormationAction) -> Option<FormationEvent> {
        match action {
            FormationAction::Sync(identity) => {
                let storage = self.storage.as_mut()?;
                match storage.save_identity(&identity) {
                    Ok(()) => return Some(FormationEvent::Synced),
                    Err(error) => self.report_fatal(error.into()),
                }
            }
            FormationAction::Start { identity, membership } => self.start(identity, membership),
            FormationAction::Send { .. } => (),
        }
        None
    }

    fn report_fatal(&self, error: ControlError) {
        let _ = self.fatal_errors.try_send(error);
    }

    fn start(&mut self, identity: FormedIdentity, membership: Membership) {
        let Some(storage) = self.storage.take() else {
            return;
        };
        log::info!(cluster:% = format!("{:016x}", identity.cluster), membership:?; "cluster formed; starting consensus groups");
        if let Err(error) = self.start_host(storage, &identity, membership) {
            self.report_fatal(error);
        }
    }

    fn start_host(
        &mut self,
        storage: LogStorage,
        identity: &FormedIdentity,
        membership: Membership,
    ) -> Result<(), ControlError> {
        let founders = identity.initial.iter().map(|(name, &member)| (member, name.clone()));
        let initial_members = match membership {
            Membership::Initial => MemberSet::of_voters(founders),
            Membership::Joining => MemberSet::default(),
        };
        let seed = fastrand::u64(..);
        let mut config =
            HostConfig::new(self.config.name.clone(), self.member, initial_members, seed);
        config.join_targets = identity.initial.values().copied().collect();
        config.join_targets.extend(self.member_names.members());
        let mut specs = Vec::new();
        let (machine, settings) = SettingsStateMachine::new(identity.cluster, &self.root_token);
        specs.push(self.group_spec(SETTINGS_GROUP, Box::new(machine)));
        let mut stores = BTreeMap::new();
        for group in 1..=CLAIM_GROUP_COUNT {
            let (machine, store) = ClaimStateMachine::new();
            stores.insert(group, store);
            specs.push(self.group_spec(group, Box::new(machine)));
        }
        let host = ConsensusHost::start(config, storage, specs, &self.timers)?;
        let handle = host.handle();
        self.spawn_message_sender(host.outgoing());
        self.spawn_settings_observer(handle.clone());
        let claims =
            ClaimService::new(handle.clone(), self.hub.clone(), self.member_names.clone(), stores);
        let _ = self.groups.set(RunningGroups { host: handle, settings, claims });
        let fatal_errors = self.fatal_errors.clone();
        thread::Builder::new()
            .name("consensus-watch".to_owned())
            .spawn(move || {
                if let Err(error) = host.join() {
                    let _ = fatal_errors.try_send(error.into());
                }
            })
            .map_err(ControlError::Thread)?;
        Ok(())
    }

    fn group_spec(
        &mut self,
        group: GroupId,
        machine: Box<dyn crate::consensus::host::StateMachine>,
    ) -> GroupSpec {
        let recovered = self.recovered.remove(&group).unwrap_or_default();
        GroupSpec { group, machine, recovered }
    }

    /// Spawns the task that sends consensus messages over the links. A message that cannot be sent
    /// is dropped; consensus repeats it later.
    fn spawn_message_sender(
        &self,
        outgoing: Receiver<(MemberId, crate::consensus::message::RaftMessage)>,
    ) {
        let hub = self.hub.clone();
        let member_names = self.member_names.clone();
        task::spawn(async move {
            while let Ok((member, message)) = outgoing.recv().await {
                if let Some(name) = member_names.process_name(member) {
                    hub.send(&name, WireMessage::Raft(Box::new(message)));
                }
            }
        });
    }

    /// Spawns the task that forwards notices of the settings group to the control thread.
    fn spawn_settings_observer(&self, handle: crate::consensus::host::HostHandle) {
        let input_queue = self.input_queue.clone();
        task::spawn(async move {
            loop {
                let notices = handle.subscribe(SETTINGS_GROUP).await;
                let mut has_received = false;
                while let Ok(notice) = notices.recv().await {
                    has_received = true;
                    if input_queue.send(ControlInput::Notice(notice)).await.is_err() {
                        return;
                    }
                }
                // The channel closes when the host stops or when this task falls behind. Subscribe
                // again unless the channel closed without a single notice.
                if !has_received {
                    return;
                }
            }
        });
    }
}
