//! Loop of the host's thread: drain, run the state machines, sync once, answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_channel::Sender;
use async_std::task::block_on;
use futures_util::future::{Either, select};

use super::host::{
    ChangeError, ConfirmError, GroupNotice, GroupSpec, HostCommand, HostConfig, HostError,
    HostQueues, ProposeError,
};
use super::host_group::{GroupRuntime, Waiter};
use super::message::{MessageBody, RaftMessage, SharedSnapshot};
use super::node::{Proposal, RaftAction, RaftEvent, Role};
use super::repair;
use crate::ids::{GroupId, MemberId, ProcessName};
use crate::storage::{LogBatch, LogStorage};

/// Items taken from each queue before the next sync, so that a flood cannot delay it for long.
const MAX_DRAINED: usize = 4096;

/// Bytes taken from each queue before the next sync; keeps frames well below their limit.
const MAX_DRAINED_BYTES: usize = 32 << 20;

/// Names whose join requests a leader remembers.
const MAX_JOINS: usize = 16;

pub(super) struct HostLoop {
    config: HostConfig,
    storage: LogStorage,
    groups: BTreeMap<GroupId, GroupRuntime>,
    queues: HostQueues,
    next_request: u64,
    next_join: Instant,
    batches: Vec<LogBatch>,
    /// Last `Persist` of each group that is in `batches`.
    unsynced: BTreeMap<GroupId, u64>,
    proposals: BTreeMap<GroupId, Vec<Proposal>>,
    installed: bool,
    stopping: Vec<Sender<()>>,
}

impl HostLoop {
    pub(super) fn new(
        config: HostConfig,
        storage: LogStorage,
        specs: Vec<GroupSpec>,
        queues: HostQueues,
    ) -> Result<Self, HostError> {
        let mut groups = BTreeMap::new();
        for spec in specs {
            groups.insert(spec.group, GroupRuntime::new(&config, spec)?);
        }
        Ok(Self {
            config,
            storage,
            groups,
            queues,
            next_request: 0,
            next_join: Instant::now(),
            batches: Vec::new(),
            unsynced: BTreeMap::new(),
            proposals: BTreeMap::new(),
            installed: false,
            stopping: Vec::new(),
        })
    }

    pub(super) fn run(mut self) -> Result<(), HostError> {
        while self.stopping.is_empty() {
            let Some(ticked) = self.wait() else { return Ok(()) };
            if ticked {
                self.on_tick()?;
            }
            self.drain_messages()?;
            self.drain_commands()?;
            self.propose()?;
            self.sync()?;
            self.compact_large()?;
        }
        for done in std::mem::take(&mut self.stopping) {
            let _ = done.try_send(());
        }
        Ok(())
    }

    /// Waits for input and says whether a tick came; `None` when no handle or no timer is left.
    fn wait(&self) -> Option<bool> {
        let queues = &self.queues;
        if queues.ticks.try_recv().is_ok() {
            return Some(true);
        }
        if !queues.messages.is_empty() || !queues.commands.is_empty() {
            return Some(false);
        }
        let wake = Box::pin(queues.wake.recv());
        let tick = Box::pin(queues.ticks.recv());
        match block_on(select(wake, tick)) {
            Either::Left((woken, _)) => woken.ok().map(|()| false),
            Either::Right((tick, _)) => tick.ok().map(|_| true),
        }
    }

    fn on_tick(&mut self) -> Result<(), HostError> {
        let ids: Vec<GroupId> = self.groups.keys().copied().collect();
        for &group in &ids {
            self.handle(group, RaftEvent::Tick)?;
            self.repair(group)?;
        }
        self.send_joins();
        if self.storage.segment_count() <= self.config.max_segments {
            return Ok(());
        }
        for group in self.storage.pinning_groups() {
            self.compact(group)?;
        }
        Ok(())
    }

    fn repair(&mut self, group: GroupId) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get(&group) else { return Ok(()) };
        let Some(change) = repair::next_change(&runtime.node, &runtime.joins) else {
            return Ok(());
        };
        self.next_request += 1;
        let request = self.next_request;
        self.handle(group, RaftEvent::ChangeMembers { request, change })
    }

    /// Asks the known members to add this one to each group that does not have it.
    fn send_joins(&mut self) {
        let now = Instant::now();
        if now < self.next_join {
            return;
        }
        self.next_join = now + self.config.raft.election_timeout;
        let member = self.config.member;
        for (&group, runtime) in &self.groups {
            if runtime.node.members().contains(member) {
                continue;
            }
            let known = runtime.node.members().members.keys();
            for &to in self.config.contacts.iter().chain(known) {
                let body = MessageBody::Join { name: self.config.name.clone(), member };
                let term = runtime.node.term();
                let message = RaftMessage { group, from: member, to, term, body };
                let _ = self.queues.outgoing.try_send((to, message));
            }
        }
    }

    fn drain_messages(&mut self) -> Result<(), HostError> {
        let mut bytes = 0;
        for _ in 0..MAX_DRAINED {
            let Ok(message) = self.queues.messages.try_recv() else { break };
            let size = message.size();
            self.queues.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            if let MessageBody::Join { name, member } = &message.body {
                self.on_join(message.group, message.from, name.clone(), *member);
            } else {
                self.handle(message.group, RaftEvent::Message(message))?;
            }
            bytes += size;
            if bytes > MAX_DRAINED_BYTES {
                break;
            }
        }
        Ok(())
    }

    fn on_join(&mut self, group: GroupId, from: MemberId, name: ProcessName, member: MemberId) {
        let Some(runtime) = self.groups.get_mut(&group) else { return };
        if runtime.node.role() == Role::Leader {
            if runtime.joins.len() < MAX_JOINS || runtime.joins.contains_key(&name) {
                runtime.joins.insert(name, member);
            }
            return;
        }
        // Forwarded once only, so that two members with old views cannot pass it back and forth.
        let Some(to) = runtime.node.leader().filter(|_| from == member) else { return };
        let body = MessageBody::Join { name, member };
        let term = runtime.node.term();
        let message = RaftMessage { group, from: self.config.member, to, term, body };
        let _ = self.queues.outgoing.try_send((to, message));
    }

    fn drain_commands(&mut self) -> Result<(), HostError> {
        let mut bytes = 0;
        for _ in 0..MAX_DRAINED {
            let Ok(command) = self.queues.commands.try_recv() else { break };
            if let HostCommand::Propose { payload, .. } = &command {
                bytes += payload.len();
                self.queues.queued_bytes.fetch_sub(payload.len(), Ordering::Relaxed);
            }
            self.on_command(command)?;
            if bytes > MAX_DRAINED_BYTES || !self.stopping.is_empty() {
                break;
            }
        }
        Ok(())
    }

    fn on_command(&mut self, command: HostCommand) -> Result<(), HostError> {
        self.next_request += 1;
        let request = self.next_request;
        match command {
            HostCommand::Propose { group, payload, reply } => {
                let Some(runtime) = self.groups.get_mut(&group) else {
                    let _ = reply.try_send(Err(ProposeError::NoGroup(group)));
                    return Ok(());
                };
                runtime.requests.insert(request, Waiter::Propose(reply));
                self.proposals.entry(group).or_default().push(Proposal { request, payload });
            }
            HostCommand::Confirm { group, reply } => {
                let Some(runtime) = self.groups.get_mut(&group) else {
                    let _ = reply.try_send(Err(ConfirmError::NoGroup(group)));
                    return Ok(());
                };
                runtime.requests.insert(request, Waiter::Confirm(reply));
                self.handle(group, RaftEvent::ConfirmLeadership { request })?;
            }
            HostCommand::Change { group, change, reply } => {
                let Some(runtime) = self.groups.get_mut(&group) else {
                    let _ = reply.try_send(Err(ChangeError::NoGroup(group)));
                    return Ok(());
                };
                runtime.requests.insert(request, Waiter::Change(reply));
                self.handle(group, RaftEvent::ChangeMembers { request, change })?;
            }
            HostCommand::Status { reply } => {
                let _ = reply.try_send(self.groups.values().map(GroupRuntime::status).collect());
            }
            HostCommand::Subscribe { group, sender } => {
                if let Some(runtime) = self.groups.get_mut(&group) {
                    // A subscriber that comes after an election must still learn its result.
                    let (role, term) = (runtime.node.role(), runtime.node.term());
                    let leader = runtime.node.leader();
                    let _ = sender.try_send(GroupNotice::Role { role, term, leader });
                    runtime.subscribers.push(sender);
                }
            }
            HostCommand::Contacts(members) => self.config.contacts = members,
            HostCommand::Transfer { to, done } => {
                let ids: Vec<GroupId> = self.groups.keys().copied().collect();
                for group in ids {
                    self.handle(group, RaftEvent::Transfer { to })?;
                }
                let _ = done.try_send(());
            }
            HostCommand::Stop { done } => self.stopping.push(done),
        }
        Ok(())
    }

    fn propose(&mut self) -> Result<(), HostError> {
        for (group, proposals) in std::mem::take(&mut self.proposals) {
            self.handle(group, RaftEvent::Propose(proposals))?;
        }
        Ok(())
    }

    /// Makes everything durable with one sync per turn until nothing new is to be written.
    fn sync(&mut self) -> Result<(), HostError> {
        while !self.batches.is_empty() {
            let batches = std::mem::take(&mut self.batches);
            self.storage.append(&batches)?;
            for (group, sequence) in std::mem::take(&mut self.unsynced) {
                self.handle(group, RaftEvent::Persisted { sequence })?;
            }
        }
        // Segments may go only after the truncation that belongs to an installed snapshot is
        // durable.
        if std::mem::take(&mut self.installed) {
            self.storage.prune()?;
        }
        Ok(())
    }

    fn handle(&mut self, group: GroupId, event: RaftEvent) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        let actions = runtime.node.handle(Instant::now(), event);
        for action in actions {
            self.perform(group, action)?;
        }
        Ok(())
    }

    fn perform(&mut self, group: GroupId, action: RaftAction) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        match action {
            RaftAction::Persist { sequence, hard_state, truncate_from, entries } => {
                self.batches.push(LogBatch { group, hard_state, truncate_from, entries });
                self.unsynced.insert(group, sequence);
            }
            RaftAction::Send(message) => {
                // A full queue drops the message; the state machine sends it again.
                let _ = self.queues.outgoing.try_send((message.to, message));
            }
            RaftAction::Commit(entries) => runtime.apply(entries),
            RaftAction::Accepted { request, term, index } => {
                if let Some(waiter) = runtime.requests.remove(&request) {
                    runtime.logged.insert(index, (term, waiter));
                }
            }
            RaftAction::Refused { request, refusal } => {
                if let Some(waiter) = runtime.requests.remove(&request) {
                    waiter.refuse(refusal);
                }
            }
            RaftAction::LeadershipConfirmed { request, index } => {
                if let Some(Waiter::Confirm(reply)) = runtime.requests.remove(&request) {
                    let _ = reply.try_send(Ok(index));
                }
            }
            RaftAction::InstallSnapshot(snapshot) => self.install(group, snapshot)?,
            RaftAction::RoleChanged { role, term, leader } => {
                runtime.change_role(role, term, leader);
            }
        }
        Ok(())
    }

    fn install(&mut self, group: GroupId, snapshot: SharedSnapshot) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        self.storage.save_snapshot(group, &snapshot)?;
        let restored = runtime.spec.machine.restore(&snapshot.data);
        restored.map_err(|error| HostError::Restore { group, error })?;
        runtime.applied = snapshot.index;
        runtime.snapshot_index = snapshot.index;
        runtime.bytes_since = 0;
        runtime.notify(&GroupNotice::Restored { index: snapshot.index });
        self.installed = true;
        self.handle(group, RaftEvent::SnapshotInstalled(snapshot))
    }

    fn compact_large(&mut self) -> Result<(), HostError> {
        let (entries, bytes) = (self.config.compact_entries, self.config.compact_bytes);
        let large = self.groups.iter().filter(|(_, runtime)| {
            runtime.applied - runtime.snapshot_index >= entries || runtime.bytes_since >= bytes
        });
        let ids: Vec<GroupId> = large.map(|(&group, _)| group).collect();
        for group in ids {
            self.compact(group)?;
        }
        Ok(())
    }

    fn compact(&mut self, group: GroupId) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        if runtime.applied <= runtime.snapshot_index {
            return Ok(());
        }
        let data = runtime.spec.machine.snapshot();
        let Some(snapshot) = runtime.node.snapshot_at(runtime.applied, data) else {
            return Ok(());
        };
        self.storage.save_snapshot(group, &snapshot)?;
        runtime.snapshot_index = snapshot.index;
        runtime.bytes_since = 0;
        self.installed = true;
        self.handle(group, RaftEvent::SnapshotSaved(Arc::new(snapshot)))
    }
}
