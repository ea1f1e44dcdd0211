//! The `control` daemon: durable settings and claims, replicated by consensus.

mod claims;
mod leases;
mod machines;
mod operator;
mod process;
mod routes;

pub use claims::ClaimService;
pub use leases::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
pub use machines::{ClaimMachine, SettingsMachine, SharedState};
pub use process::{ControlInput, LeaseReport, SETTINGS_GROUP};
pub use routes::MemberRoutes;

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
use self::process::{ControlThread, GroupCell, RunningGroups, TICK_INTERVAL, ThreadParts};
use crate::config::ProcessConfig;
use crate::consensus::formation::{
    ClusterFormation, FormationAction, FormationEvent, Membership, membership_of,
};
use crate::consensus::host::{ConsensusHost, GroupSpec, HostConfig, HostError};
use crate::consensus::members::MemberSet;
use crate::entry::CLAIM_GROUPS;
use crate::ids::{GroupId, MemberId};
use crate::link::{
    HelloMessage, LinkConfig, LinkEvent, LinkHub, LinkTarget, ProcessRole, WireMessage,
};
use crate::metrics::ProcessMetrics;
use crate::storage::{FormedIdentity, LogStorage, RecoveredGroup, StorageError, StoredIdentity};
use crate::timer::TimerService;

/// Inputs that may wait for the control thread.
const INBOX_LENGTH: usize = 16_384;

/// Time that a stopping leader waits for its successors.
const TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Bound listeners of one control process.
#[derive(Debug)]
pub struct ControlListeners {
    /// For the operator's HTTP interface.
    pub operator: TcpListener,
    /// For links from other processes.
    pub link: TcpListener,
}

/// Why a control process cannot start or go on.
#[derive(Debug, Error)]
pub enum ControlError {
    /// An address cannot be bound.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the config.
        address: SocketAddr,
        /// Reason given by the operating system.
        error: io::Error,
    },
    /// The config has no data folder.
    #[error("the config states no data folder")]
    NoDataFolder,
    /// The config has no root token.
    #[error("the config states no root token")]
    NoRootToken,
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The consensus thread ended early.
    #[error(transparent)]
    Host(#[from] HostError),
    /// The control thread cannot be started.
    #[error("cannot start the control thread: {0}")]
    Thread(io::Error),
}

/// Running control process.
pub struct ControlProcess {
    hub: LinkHub,
    timers: TimerService,
    groups: GroupCell,
    failures: Receiver<ControlError>,
}

impl ControlListeners {
    /// Binds the addresses of a config.
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
        let identity = load_identity(&mut storage)?;
        let member = identity.member;
        let (inbox, inputs) = async_channel::bounded(INBOX_LENGTH);
        let (failure_sender, failures) = async_channel::bounded(1);
        let groups: GroupCell = Arc::new(OnceLock::new());
        let routes = MemberRoutes::default();
        let links = forward_links(inbox.clone(), Arc::clone(&groups), routes.clone());
        let hub = LinkHub::new(link_config(config, identity.member), links);
        let timers = TimerService::start();
        let starter = GroupBuilder {
            config: config.clone(),
            root_token: config.root_token_sha256.clone().ok_or(ControlError::NoRootToken)?,
            member: identity.member,
            storage: Some(storage),
            recovered,
            hub: hub.clone(),
            routes: routes.clone(),
            groups: Arc::clone(&groups),
            inbox: inbox.clone(),
            timers: timers.clone(),
            failures: failure_sender,
        };
        let control = build_thread(config, identity, starter, &hub, &inbox, &groups, &routes);
        let ticks = timers.every(TICK_INTERVAL);
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || task::block_on(control.run(inputs, ticks)))
            .map_err(ControlError::Thread)?;
        hub.listen(listeners.link.into());
        for peer in &config.control_peers {
            // The process with the lower name connects, so that there is one link between two.
            if peer.name > config.name {
                hub.connect(LinkTarget { name: peer.name.clone(), address: peer.link });
            }
        }
        let state = OperatorState {
            name: config.name.clone(),
            member,
            groups: Arc::clone(&groups),
            routes,
            inbox,
            hub: hub.clone(),
            metrics: ProcessMetrics::new(),
        };
        operator::serve(Arc::new(state), listeners.operator.into());
        Ok(Self { hub, timers, groups, failures })
    }

    /// Waits until the process can no longer go on.
    pub async fn failed(&self) -> Option<ControlError> {
        self.failures.recv().await.ok()
    }

    /// Hands over leadership, then stops.
    pub async fn stop(&self) {
        if let Some(groups) = self.groups.get() {
            let transfer = groups.host.transfer(None);
            let _ = async_std::future::timeout(TRANSFER_TIME, transfer).await;
            let handed_over = async {
                while leads_any(groups).await {
                    task::sleep(TICK_INTERVAL).await;
                }
            };
            let _ = async_std::future::timeout(TRANSFER_TIME, handed_over).await;
            groups.host.stop().await;
        }
        self.hub.stop();
        self.timers.stop();
    }
}

async fn leads_any(groups: &RunningGroups) -> bool {
    let statuses = groups.host.status().await;
    statuses.iter().any(|status| {
        status.role == crate::consensus::Role::Leader && status.members.voters().count() > 1
    })
}

fn load_identity(storage: &mut LogStorage) -> Result<StoredIdentity, StorageError> {
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

/// Passes consensus messages and claim calls straight on, and the rest to the control thread.
fn forward_links(
    inbox: Sender<ControlInput>,
    groups: GroupCell,
    routes: MemberRoutes,
) -> Sender<LinkEvent> {
    let (sender, receiver) = async_channel::bounded::<LinkEvent>(1);
    task::spawn(async move {
        while let Ok(event) = receiver.recv().await {
            let running = groups.get();
            let event = match (event, running) {
                (LinkEvent::Message(from, message), Some(running)) => {
                    match serve_directly(running, &routes, from, *message) {
                        Some((from, message)) => LinkEvent::Message(from, Box::new(message)),
                        None => continue,
                    }
                }
                (event, _) => event,
            };
            if inbox.send(ControlInput::Link(event)).await.is_err() {
                return;
            }
        }
    });
    sender
}

/// Handles a message that needs no state of the control thread; returns any other one.
fn serve_directly(
    running: &RunningGroups,
    routes: &MemberRoutes,
    from: Box<str>,
    message: WireMessage,
) -> Option<(Box<str>, WireMessage)> {
    match message {
        WireMessage::Raft(message) => {
            if let Some(member) = routes.member_of(&from) {
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

fn build_thread(
    config: &ProcessConfig,
    identity: StoredIdentity,
    mut starter: GroupBuilder,
    hub: &LinkHub,
    inbox: &Sender<ControlInput>,
    groups: &GroupCell,
    routes: &MemberRoutes,
) -> ControlThread {
    let peers: BTreeSet<_> = config.control_peers.iter().map(|peer| peer.name.clone()).collect();
    let member = identity.member;
    if let Some(formed) = &identity.formed {
        starter.start(formed.clone(), membership_of(member, formed));
    }
    let new_cluster = fastrand::u64(1..);
    let formation = ClusterFormation::new(config.name.clone(), peers, identity, new_cluster);
    let parts = ThreadParts {
        name: config.name.clone(),
        member,
        hub: hub.clone(),
        routes: routes.clone(),
        groups: Arc::clone(groups),
        formation,
        starter: Box::new(move |action| starter.carry_out(action)),
        inbox: inbox.clone(),
    };
    ControlThread::new(parts, Instant::now())
}

/// Starts the groups of this process once its cluster is known.
struct GroupBuilder {
    config: ProcessConfig,
    root_token: Box<str>,
    member: MemberId,
    storage: Option<LogStorage>,
    recovered: BTreeMap<GroupId, RecoveredGroup>,
    hub: LinkHub,
    routes: MemberRoutes,
    groups: GroupCell,
    inbox: Sender<ControlInput>,
    timers: TimerService,
    failures: Sender<ControlError>,
}

impl GroupBuilder {
    fn carry_out(&mut self, action: FormationAction) -> Option<FormationEvent> {
        match action {
            FormationAction::Sync(identity) => {
                let storage = self.storage.as_mut()?;
                match storage.save_identity(&identity) {
                    Ok(()) => return Some(FormationEvent::Synced),
                    Err(error) => self.fail(error.into()),
                }
            }
            FormationAction::Start { identity, membership } => self.start(identity, membership),
            FormationAction::Send { .. } => (),
        }
        None
    }

    fn fail(&self, error: ControlError) {
        let _ = self.failures.try_send(error);
    }

    fn start(&mut self, identity: FormedIdentity, membership: Membership) {
        let Some(storage) = self.storage.take() else {
            return;
        };
        log::info!(cluster:% = format!("{:016x}", identity.cluster), membership:?; "cluster known");
        if let Err(error) = self.start_host(storage, &identity, membership) {
            self.fail(error);
        }
    }

    fn start_host(
        &mut self,
        storage: LogStorage,
        identity: &FormedIdentity,
        membership: Membership,
    ) -> Result<(), ControlError> {
        let named = identity.initial.iter().map(|(name, &member)| (member, name.clone()));
        let initial = match membership {
            Membership::Founder => MemberSet::of_voters(named),
            Membership::Newcomer => MemberSet::default(),
        };
        let seed = fastrand::u64(..);
        let mut config = HostConfig::new(self.config.name.clone(), self.member, initial, seed);
        config.contacts = identity.initial.values().copied().collect();
        config.contacts.extend(self.routes.members());
        let mut specs = Vec::new();
        let (machine, settings) = SettingsMachine::new(identity.cluster, &self.root_token);
        specs.push(self.spec(SETTINGS_GROUP, Box::new(machine)));
        let mut stores = BTreeMap::new();
        for group in 1..=CLAIM_GROUPS {
            let (machine, store) = ClaimMachine::new();
            stores.insert(group, store);
            specs.push(self.spec(group, Box::new(machine)));
        }
        let host = ConsensusHost::start(config, storage, specs, &self.timers)?;
        let handle = host.handle();
        self.spawn_sender(host.outgoing());
        self.spawn_observer(handle.clone());
        let claims =
            ClaimService::new(handle.clone(), self.hub.clone(), self.routes.clone(), stores);
        let _ = self.groups.set(RunningGroups { host: handle, settings, claims });
        let failures = self.failures.clone();
        thread::Builder::new()
            .name("consensus-watch".to_owned())
            .spawn(move || {
                if let Err(error) = host.join() {
                    let _ = failures.try_send(error.into());
                }
            })
            .map_err(ControlError::Thread)?;
        Ok(())
    }

    fn spec(
        &mut self,
        group: GroupId,
        machine: Box<dyn crate::consensus::host::GroupMachine>,
    ) -> GroupSpec {
        let recovered = self.recovered.remove(&group).unwrap_or_default();
        GroupSpec { group, machine, recovered }
    }

    /// Sends consensus messages over the links; what cannot be sent is sent again later.
    fn spawn_sender(&self, outgoing: Receiver<(MemberId, crate::consensus::message::RaftMessage)>) {
        let hub = self.hub.clone();
        let routes = self.routes.clone();
        task::spawn(async move {
            while let Ok((member, message)) = outgoing.recv().await {
                if let Some(name) = routes.name_of(member) {
                    hub.send(&name, WireMessage::Raft(Box::new(message)));
                }
            }
        });
    }

    /// Passes notices of the settings group on to the control thread.
    fn spawn_observer(&self, handle: crate::consensus::host::HostHandle) {
        let inbox = self.inbox.clone();
        task::spawn(async move {
            loop {
                let notices = handle.subscribe(SETTINGS_GROUP).await;
                let mut received = false;
                while let Ok(notice) = notices.recv().await {
                    received = true;
                    if inbox.send(ControlInput::Notice(notice)).await.is_err() {
                        return;
                    }
                }
                // The channel closes when the host stops or this task fell behind.
                if !received {
                    return;
                }
            }
        });
    }
}
