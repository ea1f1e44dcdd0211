//! Control thread of a control process: formation, leases, directory and links.

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
use super::routes::MemberRoutes;
use crate::claim::HolderSession;
use crate::consensus::Role;
use crate::consensus::formation::{ClusterFormation, FormationAction, FormationEvent};
use crate::consensus::host::{GroupNotice, GroupStatus, HostHandle};
use crate::directory::{DirectoryEvent, DirectoryLimits, ServerDirectory, SyncExchange};
use crate::ids::{MemberId, ProcessName, SettingsRevision, TermNumber};
use crate::link::{GrantLease, HelloMessage, LinkEvent, LinkHub, ProcessRole, WireMessage};
use crate::settings::SettingsStore;
use crate::status::{EntrySummary, ServerSummary};

/// Interval of periodic work.
pub const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which the leader tells claim groups which sessions live, and claims expire.
const SESSION_INTERVAL: Duration = Duration::from_secs(1);

/// Group of the settings.
pub const SETTINGS_GROUP: u32 = 0;

/// Lease duration before the first settings are known.
const FIRST_LEASE: Duration = Duration::from_secs(3);

/// Input of the control thread.
pub enum ControlInput {
    /// Something happened on a link.
    Link(LinkEvent),
    /// The settings group changed.
    Notice(GroupNotice),
    /// Result of a leadership confirmation.
    Round(u64, bool),
    /// A change was committed; answers whether it is in force everywhere.
    Track(SettingsRevision, Sender<bool>),
    /// Asks for what this thread knows for the status report.
    Report(Sender<LeaseReport>),
}

/// Part of the status that the control thread knows.
#[derive(Clone, Debug, Default)]
pub struct LeaseReport {
    /// Leader of the settings group.
    pub leader: Option<ProcessName>,
    /// Term of the settings group.
    pub term: TermNumber,
    /// Epoch of the list of entries.
    pub epoch: u64,
    /// Entries with a live lease.
    pub entries: Vec<EntrySummary>,
    /// Announced servers.
    pub servers: Vec<ServerSummary>,
}

/// What the control thread uses once the cluster is formed.
#[derive(Clone)]
pub struct RunningGroups {
    /// Consensus host.
    pub host: HostHandle,
    /// Settings.
    pub settings: SharedState<SettingsStore>,
    /// Claim groups.
    pub claims: ClaimService,
}

/// Set once the cluster is formed.
pub type GroupCell = Arc<OnceLock<RunningGroups>>;

/// Starts the groups when the formation asks for it.
pub type GroupStarter = Box<dyn FnMut(FormationAction) -> Option<FormationEvent> + Send>;

/// State of the control thread.
pub struct ControlThread {
    name: ProcessName,
    member: MemberId,
    hub: LinkHub,
    routes: MemberRoutes,
    groups: GroupCell,
    formation: ClusterFormation,
    starter: GroupStarter,
    inbox: Sender<ControlInput>,
    leases: LeaseTable,
    leader: Option<MemberId>,
    term: TermNumber,
    is_leader: bool,
    directory: ServerDirectory,
    exchange: SyncExchange,
    entries: BTreeSet<ProcessName>,
    controls: BTreeSet<ProcessName>,
    tracked: BTreeMap<ChangeNumber, Sender<bool>>,
    next_change: ChangeNumber,
    pushed: SettingsRevision,
    missing_sessions: BTreeSet<HolderSession>,
    session_due: Instant,
}

/// Parts of a [`ControlThread`] that its owner provides.
pub struct ThreadParts {
    /// Name of the process.
    pub name: ProcessName,
    /// Member id of the data folder.
    pub member: MemberId,
    /// Links.
    pub hub: LinkHub,
    /// Members by process.
    pub routes: MemberRoutes,
    /// Filled by `starter`.
    pub groups: GroupCell,
    /// Formation of the cluster.
    pub formation: ClusterFormation,
    /// Carries out what the formation asks for besides sending.
    pub starter: GroupStarter,
    /// Queue of the control thread.
    pub inbox: Sender<ControlInput>,
}

impl ControlThread {
    /// Creates the state of a starting process.
    pub fn new(parts: ThreadParts, now: Instant) -> Self {
        Self {
            name: parts.name,
            member: parts.member,
            hub: parts.hub,
            routes: parts.routes,
            groups: parts.groups,
            formation: parts.formation,
            starter: parts.starter,
            inbox: parts.inbox,
            leases: LeaseTable::new(FIRST_LEASE),
            leader: None,
            term: 0,
            is_leader: false,
            directory: ServerDirectory::new(DirectoryLimits::default()),
            exchange: SyncExchange::new(now),
            entries: BTreeSet::new(),
            controls: BTreeSet::new(),
            tracked: BTreeMap::new(),
            next_change: 0,
            pushed: 0,
            missing_sessions: BTreeSet::new(),
            session_due: now,
        }
    }

    /// Processes inputs and ticks until the input channel closes.
    pub async fn run(mut self, inputs: Receiver<ControlInput>, ticks: Receiver<Instant>) {
        loop {
            let input = inputs.recv();
            let tick = ticks.recv();
            pin_mut!(input, tick);
            match select(input, tick).await {
                Either::Left((Ok(input), _)) => self.process(input),
                Either::Right((Ok(_), _)) => self.tick(),
                Either::Left((Err(_), _)) | Either::Right((Err(_), _)) => return,
            }
        }
    }

    fn process(&mut self, input: ControlInput) {
        match input {
            ControlInput::Link(event) => self.process_link(event),
            ControlInput::Notice(notice) => self.process_notice(notice),
            ControlInput::Round(round, true) => self.lease_event(LeaseEvent::Confirmed(round)),
            ControlInput::Round(round, false) => {
                self.lease_event(LeaseEvent::ConfirmFailed(round));
            }
            ControlInput::Track(revision, reply) => {
                self.next_change += 1;
                let change = self.next_change;
                self.tracked.insert(change, reply);
                self.lease_event(LeaseEvent::Committed { change, revision });
            }
            ControlInput::Report(reply) => {
                let _ = reply.try_send(self.report());
            }
        }
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if self.formation.formed().is_none() {
            self.formation_event(FormationEvent::Tick);
        }
        self.lease_event(LeaseEvent::Tick);
        self.directory_event(DirectoryEvent::Tick);
        if now < self.session_due {
            return;
        }
        self.session_due = now + SESSION_INTERVAL;
        if let Some(groups) = self.groups.get() {
            groups.claims.expire();
        }
        if self.is_leader && self.leases.knows_all(now) {
            let live: Vec<_> = self
                .leases
                .live_entries()
                .into_iter()
                .map(|entry| (entry.name, entry.session))
                .collect();
            let to = self.controls.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::LiveSessions(live.clone()));
            self.end_sessions(live);
        }
    }

    fn end_sessions(&mut self, live: Vec<(ProcessName, u64)>) {
        let live: BTreeSet<_> = live.into_iter().collect();
        if let Some(groups) = self.groups.get() {
            groups.claims.end_sessions(&live, &mut self.missing_sessions);
        }
    }

    fn process_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(hello) => self.link_up(hello),
            LinkEvent::Down(name) => {
                self.controls.remove(&name);
                if self.entries.remove(&name) {
                    self.lease_event(LeaseEvent::LinkLost(name));
                }
            }
            LinkEvent::Message(from, message) => self.receive(from, *message),
        }
    }

    fn link_up(&mut self, hello: HelloMessage) {
        match hello.role {
            ProcessRole::Entry => {
                self.entries.insert(hello.name);
            }
            ProcessRole::Control => {
                self.controls.insert(hello.name.clone());
                if let Some(member) = hello.member {
                    self.routes.learn(member, &hello.name);
                }
                if let Some(groups) = self.groups.get() {
                    let host = groups.host.clone();
                    let members = self.routes.members();
                    task::spawn(async move { host.contacts(members).await });
                }
            }
        }
    }

    fn receive(&mut self, from: ProcessName, message: WireMessage) {
        match message {
            WireMessage::Formation(message) => {
                self.formation_event(FormationEvent::Message { from, message });
            }
            WireMessage::RenewLease(request) => {
                if !self.is_leader {
                    let leader = self.leader.and_then(|member| self.routes.name_of(member));
                    self.hub.send(&from, WireMessage::NotLeader(leader));
                    return;
                }
                self.lease_event(LeaseEvent::Requested(RenewalRequest {
                    entry: request.entry,
                    via: from,
                    session: request.session,
                    availability_zone: request.availability_zone,
                    installed: request.installed,
                    epoch: request.epoch,
                    nonce: request.nonce,
                }));
            }
            WireMessage::Installed { session, revision } => {
                self.lease_event(LeaseEvent::Installed { entry: from, session, revision });
            }
            WireMessage::Leaving { session } => {
                self.lease_event(LeaseEvent::Left { entry: from, session });
            }
            WireMessage::Announce(batch) => {
                self.directory_event(DirectoryEvent::Relayed(batch));
            }
            WireMessage::Heartbeats(packed) => self.receive_heartbeats(from, &packed),
            WireMessage::DirectorySync(step) => self.receive_sync(&from, &step),
            WireMessage::DirectoryAnswer(batch) => {
                self.directory_event(DirectoryEvent::Answered(batch));
            }
            WireMessage::LiveSessions(live) if self.is_current_leader(&from) => {
                self.end_sessions(live);
            }
            WireMessage::LiveSessions(_) => (),
            _ => log::warn!(peer:% = from; "unexpected message"),
        }
    }

    fn is_current_leader(&self, name: &ProcessName) -> bool {
        let leader = self.leader.and_then(|member| self.routes.name_of(member));
        leader.as_ref() == Some(name)
    }

    fn formation_event(&mut self, event: FormationEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.formation.handle(Instant::now(), event) {
                match action {
                    FormationAction::Send { to, message } => {
                        self.hub.send(&to, WireMessage::Formation(message));
                    }
                    action => events.extend((self.starter)(action)),
                }
            }
        }
    }

    fn process_notice(&mut self, notice: GroupNotice) {
        match notice {
            GroupNotice::Role { role, term, leader } => self.change_role(role, term, leader),
            GroupNotice::Committed { .. } | GroupNotice::Restored { .. } => self.push_settings(),
        }
    }

    fn change_role(&mut self, role: Role, term: TermNumber, leader: Option<MemberId>) {
        self.leader = leader;
        let leads = role == Role::Leader;
        if leads && (!self.is_leader || term != self.term) {
            log::info!(term; "leading the settings group");
            self.refresh_lease();
            self.lease_event(LeaseEvent::Leading { term });
        }
        if !leads && self.is_leader {
            log::info!(term; "no longer leading the settings group");
            self.lease_event(LeaseEvent::Deposed);
        }
        self.is_leader = leads;
        self.term = term;
    }

    fn refresh_lease(&mut self) {
        let Some(groups) = self.groups.get() else {
            return;
        };
        let tree = groups.settings.lock().tree();
        if let Ok(tree) = tree {
            self.lease_event(LeaseEvent::LeaseChanged(tree.root.settings_lease));
        }
    }

    /// Sends what was just committed to all linked entries; entries that miss earlier changes get
    /// them with their next lease.
    fn push_settings(&mut self) {
        let Some(groups) = self.groups.get().cloned() else {
            return;
        };
        let delta = {
            let store = groups.settings.lock();
            if store.revision() == self.pushed {
                return;
            }
            let since = self.pushed;
            self.pushed = store.revision();
            store.delta_since(since)
        };
        // Followers note changes as well: as the next leader they wait for the leases granted before.
        self.refresh_lease();
        if self.is_leader {
            let to = self.entries.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::Settings(Box::new(delta)));
        }
    }

    fn lease_event(&mut self, event: LeaseEvent) {
        for action in self.leases.handle(Instant::now(), event) {
            match action {
                LeaseAction::Confirm(round) => self.confirm(round),
                LeaseAction::Grant { request, lease, epoch, entries } => {
                    let Some(groups) = self.groups.get() else {
                        continue;
                    };
                    let store = groups.settings.lock();
                    // An entry without settings needs them even at revision 0.
                    let lacks = request.installed < store.revision() || request.installed == 0;
                    let update = lacks.then(|| store.delta_since(request.installed));
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
                LeaseAction::InForce(change) => self.answer(change, true),
                LeaseAction::Unconfirmed(change) | LeaseAction::Untracked(change) => {
                    self.answer(change, false);
                }
            }
        }
    }

    fn confirm(&self, round: u64) {
        let Some(groups) = self.groups.get() else {
            return;
        };
        let host = groups.host.clone();
        let inbox = self.inbox.clone();
        task::spawn(async move {
            let confirmed = host.confirm(SETTINGS_GROUP).await.is_ok();
            let _ = inbox.send(ControlInput::Round(round, confirmed)).await;
        });
    }

    fn answer(&mut self, change: ChangeNumber, in_force: bool) {
        if let Some(reply) = self.tracked.remove(&change) {
            let _ = reply.try_send(in_force);
        }
    }

    fn report(&self) -> LeaseReport {
        let revisions = self.leases.installed_revisions();
        let mut entries = Vec::new();
        for entry in self.leases.live_entries() {
            entries.push(EntrySummary {
                revision: revisions.get(&entry.name).copied().unwrap_or_default(),
                name: entry.name,
                availability_zone: entry.availability_zone,
                suspect: entry.suspect,
            });
        }
        let leader = match self.leader {
            Some(member) if member == self.member => Some(self.name.clone()),
            Some(member) => self.routes.name_of(member),
            None => None,
        };
        LeaseReport {
            leader,
            term: self.term,
            epoch: self.leases.epoch(),
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

/// Leader of a group by name.
pub fn leader_name(
    status: &GroupStatus,
    own: (MemberId, &ProcessName),
    routes: &MemberRoutes,
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
        .or_else(|| routes.name_of(member))
}
