//! Control thread of a control process: cluster formation, settings leases, server directory and
//! link events.

mod directory_link;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::task;
use futures_util::future::{Either, select};
use futures_util::pin_mut;

use super::claims::ClaimService;
use super::leases::{ChangeNumber, LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
use super::machines::SharedState;
use super::routes::MemberNames;
use crate::claim::HolderSession;
use crate::consensus::Role;
use crate::consensus::formation::{ClusterFormation, FormationAction, FormationEvent};
use crate::consensus::host::{GroupEvent, GroupStatus, HostHandle};
use crate::directory::{DirectoryEvent, DirectoryLimits, ServerDirectory, SyncExchange};
use crate::ids::{MemberId, ProcessName, SettingsRevision, TermNumber};
use crate::link::{GrantLease, HelloMessage, LinkEvent, LinkHub, ProcessRole, WireMessage};
use crate::settings::SettingsStore;
use crate::status::{EntrySummary, ServerSummary};

/// Interval between ticks of the control thread.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which expired claims are removed and the leader sends the list of live sessions to
/// the other control processes.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Id of the consensus group that holds the settings.
pub const SETTINGS_GROUP: u32 = 0;

/// Lease duration until the settings are available.
const INITIAL_LEASE_DURATION: Duration = Duration::from_secs(3);

/// Input of the control thread.
pub enum ControlInput {
    /// A link came up, went down or delivered a message.
    Link(LinkEvent),
    /// The role of this process in the settings group changed, or the group committed an entry or
    /// restored a snapshot.
    Notice(GroupEvent),
    /// Result of a leadership confirmation: its round, and whether a majority confirmed it.
    LeadershipRound(u64, bool),
    /// A change was committed; the reply tells whether it came into force on every entry.
    TrackChange(SettingsRevision, Sender<bool>),
    /// Requests this thread's part of the status report.
    LeaseReport(Sender<LeaseReport>),
}

/// Part of the status report that the control thread provides.
#[derive(Clone, Debug, Default)]
pub struct LeaseReport {
    /// Leader of the settings group.
    pub leader: Option<ProcessName>,
    /// Term of the settings group.
    pub term: TermNumber,
    /// Epoch of the list of live entries.
    pub epoch: u64,
    /// Entries with a valid lease.
    pub entries: Vec<EntrySummary>,
    /// Servers in the directory.
    pub servers: Vec<ServerSummary>,
}

/// Consensus host and replicated state of a formed cluster.
#[derive(Clone)]
pub struct RunningGroups {
    /// Handle to the consensus host.
    pub host: HostHandle,
    /// Settings store.
    pub settings: SharedState<SettingsStore>,
    /// Service of the claim groups.
    pub claims: ClaimService,
}

/// Cell that is set once the cluster is formed.
pub type RunningGroupsCell = Arc<OnceLock<RunningGroups>>;

/// Executes formation actions other than sending; returns an event to feed back, if any.
pub type FormationExecutor = Box<dyn FnMut(FormationAction) -> Option<FormationEvent> + Send>;

/// State of the control thread.
pub struct ControlThread {
    name: ProcessName,
    member: MemberId,
    hub: LinkHub,
    member_names: MemberNames,
    groups: RunningGroupsCell,
    formation: ClusterFormation,
    formation_executor: FormationExecutor,
    input_queue: Sender<ControlInput>,
    lease_table: LeaseTable,
    leader: Option<MemberId>,
    term: TermNumber,
    is_leader: bool,
    directory: ServerDirectory,
    sync_exchange: SyncExchange,
    linked_entries: BTreeSet<ProcessName>,
    linked_controls: BTreeSet<ProcessName>,
    change_waiters: BTreeMap<ChangeNumber, Sender<bool>>,
    last_change: ChangeNumber,
    pushed_revision: SettingsRevision,
    missing_sessions: BTreeSet<HolderSession>,
    next_session_check: Instant,
}

/// Parts that the owner of a [`ControlThread`] provides.
pub struct ControlThreadParts {
    /// Name of the process.
    pub name: ProcessName,
    /// Member id of the data folder.
    pub member: MemberId,
    /// Links to other processes.
    pub hub: LinkHub,
    /// Process names of the members.
    pub member_names: MemberNames,
    /// Running groups, set by `formation_executor`.
    pub groups: RunningGroupsCell,
    /// State machine of cluster formation.
    pub formation: ClusterFormation,
    /// Executes the formation actions other than sending.
    pub formation_executor: FormationExecutor,
    /// Input queue of the control thread.
    pub input_queue: Sender<ControlInput>,
}

impl ControlThread {
    /// Creates the initial state of the control thread.
    pub fn new(parts: ControlThreadParts, now: Instant) -> Self {
        Self {
            name: parts.name,
            member: parts.member,
            hub: parts.hub,
            member_names: parts.member_names,
            groups: parts.groups,
            formation: parts.formation,
            formation_executor: parts.formation_executor,
            input_queue: parts.input_queue,
            lease_table: LeaseTable::new(INITIAL_LEASE_DURATION),
            leader: None,
            term: 0,
            is_leader: false,
            directory: ServerDirectory::new(DirectoryLimits::default()),
            sync_exchange: SyncExchange::new(now),
            linked_entries: BTreeSet::new(),
            linked_controls: BTreeSet::new(),
            change_waiters: BTreeMap::new(),
            last_change: 0,
            pushed_revision: 0,
            missing_sessions: BTreeSet::new(),
            next_session_check: now,
        }
    }

    /// Handles inputs and ticks until either channel closes.
    pub async fn run(mut self, inputs: Receiver<ControlInput>, ticks: Receiver<Instant>) {
        loop {
            let input = inputs.recv();
            let tick = ticks.recv();
            pin_mut!(input, tick);
            match select(input, tick).await {
                Either::Left((Ok(input), _)) => self.handle_input(input),
                Either::Right((Ok(_), _)) => self.tick(),
                Either::Left((Err(_), _)) | Either::Right((Err(_), _)) => return,
            }
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Link(event) => self.handle_link_event(event),
            ControlInput::Notice(notice) => self.handle_notice(notice),
            ControlInput::LeadershipRound(round, true) => {
                self.handle_lease_event(LeaseEvent::Confirmed(round))
            }
            ControlInput::LeadershipRound(round, false) => {
                self.handle_lease_event(LeaseEvent::ConfirmationFailed(round));
            }
            ControlInput::TrackChange(revision, reply) => {
                self.last_change += 1;
                let change = self.last_change;
                self.change_waiters.insert(change, reply);
                self.handle_lease_event(LeaseEvent::Committed { change, revision });
            }
            ControlInput::LeaseReport(reply) => {
                let _ = reply.try_send(self.lease_report());
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.formation.formed().is_none() {
            self.handle_formation_event(FormationEvent::Tick);
        }
        self.handle_lease_event(LeaseEvent::Tick);
        self.handle_directory_event(DirectoryEvent::Tick);
        if now < self.next_session_check {
            return;
        }
        self.next_session_check = now + SESSION_CHECK_INTERVAL;
        if let Some(groups) = self.groups.get() {
            groups.claims.expire_claims();
        }
        if self.is_leader && self.lease_table.is_list_complete(now) {
            let live_sessions: Vec<_> = self
                .lease_table
                .live_entries()
                .into_iter()
                .map(|entry| (entry.name, entry.session))
                .collect();
            let to = self.linked_controls.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::LiveSessions(live_sessions.clone()));
            self.expire_ended_sessions(live_sessions);
        }
    }

    fn expire_ended_sessions(&mut self, live_sessions: Vec<(ProcessName, u64)>) {
        let live_sessions: BTreeSet<_> = live_sessions.into_iter().collect();
        if let Some(groups) = self.groups.get() {
            groups.claims.expire_ended_sessions(&live_sessions, &mut self.missing_sessions);
        }
    }

    fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(hello) => self.handle_link_up(hello),
            LinkEvent::Down(name) => {
                self.linked_controls.remove(&name);
                if self.linked_entries.remove(&name) {
                    self.handle_lease_event(LeaseEvent::LinkLost(name));
                }
            }
            LinkEvent::Message(from, message) => self.handle_message(from, *message),
        }
    }

    fn handle_link_up(&mut self, hello: HelloMessage) {
        match hello.role {
            ProcessRole::Entry => {
                self.linked_entries.insert(hello.name);
            }
            ProcessRole::Control => {
                self.linked_controls.insert(hello.name.clone());
                if let Some(member) = hello.member {
                    self.member_names.insert(member, &hello.name);
                }
                if let Some(groups) = self.groups.get() {
                    let host = groups.host.clone();
                    let members = self.member_names.members();
                    task::spawn(async move { host.set_join_targets(members).await });
                }
            }
        }
    }

    fn handle_message(&mut self, from: ProcessName, message: WireMessage) {
        match message {
            WireMessage::Formation(message) => {
                self.handle_formation_event(FormationEvent::Message { from, message });
            }
            WireMessage::RenewLease(request) => {
                if !self.is_leader {
                    let leader =
                        self.leader.and_then(|member| self.member_names.process_name(member));
                    self.hub.send(&from, WireMessage::NotLeader(leader));
                    return;
                }
                self.handle_lease_event(LeaseEvent::RenewalRequested(RenewalRequest {
                    entry: request.entry,
                    via: from,
                    session: request.session,
                    availability_zone: request.availability_zone,
                    installed_revision: request.installed,
                    epoch: request.epoch,
                    nonce: request.nonce,
                }));
            }
            WireMessage::Installed { session, revision } => {
                self.handle_lease_event(LeaseEvent::Installed { entry: from, session, revision });
            }
            WireMessage::Leaving { session } => {
                self.handle_lease_event(LeaseEvent::Left { entry: from, session });
            }
            WireMessage::Announce(batch) => {
                self.handle_directory_event(DirectoryEvent::Relayed(batch));
            }
            WireMessage::Heartbeats(packed) => self.handle_heartbeats(from, &packed),
            WireMessage::DirectorySync(step) => self.handle_directory_sync(&from, &step),
            WireMessage::DirectoryAnswer(batch) => {
                self.handle_directory_event(DirectoryEvent::Answered(batch));
            }
            WireMessage::LiveSessions(live_sessions) if self.is_current_leader(&from) => {
                self.expire_ended_sessions(live_sessions);
            }
            WireMessage::LiveSessions(_) => (),
            _ => log::warn!(peer:% = from; "unexpected message on a link; ignored"),
        }
    }

    fn is_current_leader(&self, name: &ProcessName) -> bool {
        let leader = self.leader.and_then(|member| self.member_names.process_name(member));
        leader.as_ref() == Some(name)
    }

    fn handle_formation_event(&mut self, event: FormationEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.formation.handle(Instant::now(), event) {
                match action {
                    FormationAction::Send { to, message } => {
                        self.hub.send(&to, WireMessage::Formation(message));
                    }
                    action => events.extend((self.formation_executor)(action)),
                }
            }
        }
    }

    fn handle_notice(&mut self, notice: GroupEvent) {
        match notice {
            GroupEvent::RoleChanged { role, term, leader } => {
                self.handle_role_change(role, term, leader)
            }
            GroupEvent::Committed { .. } | GroupEvent::Restored { .. } => self.push_settings(),
        }
    }

    fn handle_role_change(&mut self, role: Role, term: TermNumber, leader: Option<MemberId>) {
        self.leader = leader;
        let is_leader = role == Role::Leader;
        if is_leader && (!self.is_leader || term != self.term) {
            log::info!(term; "became leader of the settings group");
            self.update_lease_duration();
            self.handle_lease_event(LeaseEvent::BecameLeader { term });
        }
        if !is_leader && self.is_leader {
            log::info!(term; "lost leadership of the settings group");
            self.handle_lease_event(LeaseEvent::LostLeadership);
        }
        self.is_leader = is_leader;
        self.term = term;
    }

    fn update_lease_duration(&mut self) {
        let Some(groups) = self.groups.get() else {
            return;
        };
        let tree = groups.settings.lock().tree();
        if let Ok(tree) = tree {
            self.handle_lease_event(LeaseEvent::LeaseDurationChanged(tree.root.settings_lease));
        }
    }

    /// Sends newly committed changes to all linked entries. Entries that lack earlier changes
    /// receive them with their next lease.
    fn push_settings(&mut self) {
        let Some(groups) = self.groups.get().cloned() else {
            return;
        };
        let delta = {
            let store = groups.settings.lock();
            if store.revision() == self.pushed_revision {
                return;
            }
            let since = self.pushed_revision;
            self.pushed_revision = store.revision();
            store.delta_since(since)
        };
        // Followers track the lease duration as well: a new leader must wait until the leases of
        // its predecessor have expired.
        self.update_lease_duration();
        if self.is_leader {
            let to = self.linked_entries.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::Settings(Box::new(delta)));
        }
    }

    fn handle_lease_event(&mut self, event: LeaseEvent) {
        for action in self.lease_table.handle(Instant::now(), event) {
            match action {
                LeaseAction::ConfirmLeadership(round) => self.confirm_leadership(round),
                LeaseAction::Grant { request, lease, epoch, entries } => {
                    let Some(groups) = self.groups.get() else {
                        continue;
                    };
                    let store = groups.settings.lock();
                    // An entry without settings needs a delta even if the store is at revision 0.
                    let is_outdated = request.installed_revision < store.revision()
                        || request.installed_revision == 0;
                    let update = is_outdated.then(|| store.delta_since(request.installed_revision));
                    drop(store);
                    let grant = GrantLease {
                        entry: request.entry,
                        leader: self.name.clone(),
                        nonce: request.nonce,
                        lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
                        epoch,
                        entries: if request.epoch == epoch { Vec::new() } else { entries },
                        update,
                    };
                    self.hub.send(&request.via, WireMessage::GrantLease(Box::new(grant)));
                }
                LeaseAction::InForce(change) => self.resolve_change(change, true),
                LeaseAction::Unconfirmed(change) | LeaseAction::Untracked(change) => {
                    self.resolve_change(change, false);
                }
            }
        }
    }

    fn confirm_leadership(&self, round: u64) {
        let Some(groups) = self.groups.get() else {
            return;
        };
        let host = groups.host.clone();
        let input_queue = self.input_queue.clone();
        task::spawn(async move {
            let confirmed = host.confirm_leadership(SETTINGS_GROUP).await.is_ok();
            let _ = input_queue.send(ControlInput::LeadershipRound(round, confirmed)).await;
        });
    }

    fn resolve_change(&mut self, change: ChangeNumber, in_force: bool) {
        if let Some(reply) = self.change_waiters.remove(&change) {
            let _ = reply.try_send(in_force);
        }
    }

    fn lease_report(&self) -> LeaseReport {
        let revisions = self.lease_table.installed_revisions();
        let mut entries = Vec::new();
        for entry in self.lease_table.live_entries() {
            entries.push(EntrySummary {
                revision: revisions.get(&entry.name).copied().unwrap_or_default(),
                name: entry.name,
                availability_zone: entry.availability_zone,
                suspect: entry.suspect,
            });
        }
        let leader = match self.leader {
            Some(member) if member == self.member => Some(self.name.clone()),
            Some(member) => self.member_names.process_name(member),
            None => None,
        };
        LeaseReport {
            leader,
            term: self.term,
            epoch: self.lease_table.epoch(),
            entries,
            servers: self.server_lines(),
        }
    }

    fn server_lines(&self) -> Vec<ServerSummary> {
        let mut lines = Vec::new();
        for (service, _) in self.directory.service_digests() {
            for record in self.directory.servers(&service) {
                let announcement = &record.announcement;
                lines.push(ServerSummary {
                    team: service.team.clone(),
                    service: service.service.clone(),
                    server: announcement.server.clone(),
                    address: announcement.address.to_string().into(),
                    availability_zone: announcement.availability_zone.clone(),
                    state: format!("{:?}", record.life).to_lowercase().into(),
                    slots: announcement.slots,
                    load: announcement.load,
                });
            }
        }
        lines
    }
}

/// Returns the process name of a group's leader.
pub fn leader_name(
    status: &GroupStatus,
    own: (MemberId, &ProcessName),
    member_names: &MemberNames,
) -> Option<ProcessName> {
    let member = status.leader?;
    if member == own.0 {
        return Some(own.1.clone());
    }
    status
        .members
        .members
        .get(&member)
        .map(|record| record.name.clone())
        .or_else(|| member_names.process_name(member))
}
