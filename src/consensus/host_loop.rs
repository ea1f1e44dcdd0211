//! Loop of the host's thread: drains the queues, runs the Raft nodes, syncs and replies.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use async_channel::Sender;
use async_std::task::block_on;
use futures_util::future::{Either, select};

use super::host::{
    ChangeError, ConfirmError, GroupEvent, GroupSpec, HostCommand, HostConfig, HostError,
    HostQueues, ProposeError,
};
use super::host_group::{GroupRuntime, PendingReply};
use super::message::{MessageBody, RaftMessage, SharedSnapshot};
use super::node::{Proposal, RaftAction, RaftEvent, Role};
use super::repair;
use crate::ids::{GroupId, MemberId, ProcessName};
use crate::storage::{LogBatch, LogStorage};

/// Maximum items taken from each queue per iteration, so that a burst cannot delay the next sync
/// for long.
const MAX_DRAINED_ITEMS: usize = 4096;

/// Bytes taken from each queue per iteration after which draining stops; keeps log frames well
/// below their size limit.
const MAX_DRAINED_BYTES: usize = 32 << 20;

/// Maximum names for which a leader keeps a join request.
const MAX_JOIN_REQUESTS: usize = 16;

pub(super) struct HostLoop {
    config: HostConfig,
    storage: LogStorage,
    groups: BTreeMap<GroupId, GroupRuntime>,
    queues: HostQueues,
    next_request: u64,
    next_join_at: Instant,
    batches: Vec<LogBatch>,
    /// Sequence of the last `Persist` action of each group in `batches`.
    unsynced_sequences: BTreeMap<GroupId, u64>,
    proposals: BTreeMap<GroupId, Vec<Proposal>>,
    prune_due: bool,
    stop_replies: Vec<Sender<()>>,
}

impl HostLoop {
    pub(super) fn new(
        config: HostConfig,
        storage: LogStorage,
        group_specs: Vec<GroupSpec>,
        queues: HostQueues,
    ) -> Result<Self, HostError> {
        let mut groups = BTreeMap::new();
        for spec in group_specs {
            groups.insert(spec.group, GroupRuntime::new(&config, spec)?);
        }
        Ok(Self {
            config,
            storage,
            groups,
            queues,
            next_request: 0,
            next_join_at: Instant::now(),
            batches: Vec::new(),
            unsynced_sequences: BTreeMap::new(),
            proposals: BTreeMap::new(),
            prune_due: false,
            stop_replies: Vec::new(),
        })
    }

    pub(super) fn run(mut self) -> Result<(), HostError> {
        while self.stop_replies.is_empty() {
            let Some(tick_due) = self.wait_for_input() else { return Ok(()) };
            if tick_due {
                self.on_tick()?;
            }
            self.drain_messages()?;
            self.drain_commands()?;
            self.submit_proposals()?;
            self.persist_batches()?;
            self.snapshot_large_groups()?;
        }
        for done in std::mem::take(&mut self.stop_replies) {
            let _ = done.try_send(());
        }
        Ok(())
    }

    /// Waits for input; returns whether a tick is due, or `None` if no handle or no timer is left.
    fn wait_for_input(&self) -> Option<bool> {
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
        let group_ids: Vec<GroupId> = self.groups.keys().copied().collect();
        for &group in &group_ids {
            self.handle_event(group, RaftEvent::Tick)?;
            self.repair_membership(group)?;
        }
        self.send_join_requests();
        if self.storage.segment_count() <= self.config.max_segments {
            return Ok(());
        }
        for group in self.storage.pinning_groups() {
            self.take_snapshot(group)?;
        }
        Ok(())
    }

    fn repair_membership(&mut self, group: GroupId) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get(&group) else { return Ok(()) };
        let Some(change) = repair::next_change(&runtime.node, &runtime.join_requests) else {
            return Ok(());
        };
        self.next_request += 1;
        let request = self.next_request;
        self.handle_event(group, RaftEvent::ChangeMembers { request, change })
    }

    /// Sends a join request for each group that this member does not belong to.
    fn send_join_requests(&mut self) {
        let now = Instant::now();
        if now < self.next_join_at {
            return;
        }
        self.next_join_at = now + self.config.raft.election_timeout;
        let member = self.config.member;
        for (&group, runtime) in &self.groups {
            if runtime.node.members().contains(member) {
                continue;
            }
            let member_ids = runtime.node.members().members.keys();
            for &to in self.config.join_targets.iter().chain(member_ids) {
                let body = MessageBody::Join { name: self.config.name.clone(), member };
                let term = runtime.node.term();
                let message = RaftMessage { group, from: member, to, term, body };
                let _ = self.queues.outgoing.try_send((to, message));
            }
        }
    }

    fn drain_messages(&mut self) -> Result<(), HostError> {
        let mut bytes = 0;
        for _ in 0..MAX_DRAINED_ITEMS {
            let Ok(message) = self.queues.messages.try_recv() else { break };
            let size = message.size_bytes();
            self.queues.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            if let MessageBody::Join { name, member } = &message.body {
                self.on_join(message.group, message.from, name.clone(), *member);
            } else {
                self.handle_event(message.group, RaftEvent::Message(message))?;
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
            if runtime.join_requests.len() < MAX_JOIN_REQUESTS
                || runtime.join_requests.contains_key(&name)
            {
                runtime.join_requests.insert(name, member);
            }
            return;
        }
        // Forwarded only if received directly from the joining member, so that two members with
        // stale views of the leader cannot forward it to each other forever.
        let Some(to) = runtime.node.leader().filter(|_| from == member) else { return };
        let body = MessageBody::Join { name, member };
        let term = runtime.node.term();
        let message = RaftMessage { group, from: self.config.member, to, term, body };
        let _ = self.queues.outgoing.try_send((to, message));
    }

    fn drain_commands(&mut self) -> Result<(), HostError> {
        let mut bytes = 0;
        for _ in 0..MAX_DRAINED_ITEMS {
            let Ok(command) = self.queues.commands.try_recv() else { break };
            if let HostCommand::Propose { payload, .. } = &command {
                bytes += payload.len();
                self.queues.queued_bytes.fetch_sub(payload.len(), Ordering::Relaxed);
            }
            self.on_command(command)?;
            if bytes > MAX_DRAINED_BYTES || !self.stop_replies.is_empty() {
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
                    let _ = reply.try_send(Err(ProposeError::UnknownGroup(group)));
                    return Ok(());
                };
                runtime.unlogged_replies.insert(request, PendingReply::Propose(reply));
                self.proposals.entry(group).or_default().push(Proposal { request, payload });
            }
            HostCommand::ConfirmLeadership { group, reply } => {
                let Some(runtime) = self.groups.get_mut(&group) else {
                    let _ = reply.try_send(Err(ConfirmError::UnknownGroup(group)));
                    return Ok(());
                };
                runtime.unlogged_replies.insert(request, PendingReply::Confirm(reply));
                self.handle_event(group, RaftEvent::ConfirmLeadership { request })?;
            }
            HostCommand::ChangeMembers { group, change, reply } => {
                let Some(runtime) = self.groups.get_mut(&group) else {
                    let _ = reply.try_send(Err(ChangeError::UnknownGroup(group)));
                    return Ok(());
                };
                runtime.unlogged_replies.insert(request, PendingReply::Change(reply));
                self.handle_event(group, RaftEvent::ChangeMembers { request, change })?;
            }
            HostCommand::Status { reply } => {
                let _ = reply.try_send(self.groups.values().map(GroupRuntime::status).collect());
            }
            HostCommand::Subscribe { group, sender } => {
                if let Some(runtime) = self.groups.get_mut(&group) {
                    // A subscriber that starts after an election still needs the current role.
                    let (role, term) = (runtime.node.role(), runtime.node.term());
                    let leader = runtime.node.leader();
                    let _ = sender.try_send(GroupEvent::RoleChanged { role, term, leader });
                    runtime.subscribers.push(sender);
                }
            }
            HostCommand::SetJoinTargets(members) => self.config.join_targets = members,
            HostCommand::TransferLeadership { to, done } => {
                let group_ids: Vec<GroupId> = self.groups.keys().copied().collect();
                for group in group_ids {
                    self.handle_event(group, RaftEvent::TransferLeadership { to })?;
                }
                let _ = done.try_send(());
            }
            HostCommand::Stop { done } => self.stop_replies.push(done),
        }
        Ok(())
    }

    fn submit_proposals(&mut self) -> Result<(), HostError> {
        for (group, proposals) in std::mem::take(&mut self.proposals) {
            self.handle_event(group, RaftEvent::Propose(proposals))?;
        }
        Ok(())
    }

    /// Appends pending batches, one sync for all groups at a time, until no group has new changes.
    fn persist_batches(&mut self) -> Result<(), HostError> {
        while !self.batches.is_empty() {
            let batches = std::mem::take(&mut self.batches);
            self.storage.append(&batches)?;
            for (group, sequence) in std::mem::take(&mut self.unsynced_sequences) {
                self.handle_event(group, RaftEvent::Persisted { sequence })?;
            }
        }
        // Segments may be deleted only after the truncation that belongs to an installed snapshot
        // is durable.
        if std::mem::take(&mut self.prune_due) {
            self.storage.prune()?;
        }
        Ok(())
    }

    fn handle_event(&mut self, group: GroupId, event: RaftEvent) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        let actions = runtime.node.handle(Instant::now(), event);
        for action in actions {
            self.execute(group, action)?;
        }
        Ok(())
    }

    fn execute(&mut self, group: GroupId, action: RaftAction) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        match action {
            RaftAction::Persist { sequence, hard_state, truncate_from, entries } => {
                self.batches.push(LogBatch { group, hard_state, truncate_from, entries });
                self.unsynced_sequences.insert(group, sequence);
            }
            RaftAction::Send(message) => {
                // The message is dropped if the queue is full; the Raft node sends it again later.
                let _ = self.queues.outgoing.try_send((message.to, message));
            }
            RaftAction::Commit(entries) => runtime.apply(entries),
            RaftAction::Accepted { request, term, index } => {
                if let Some(pending) = runtime.unlogged_replies.remove(&request) {
                    runtime.logged_replies.insert(index, (term, pending));
                }
            }
            RaftAction::Refused { request, refusal } => {
                if let Some(pending) = runtime.unlogged_replies.remove(&request) {
                    pending.refuse(refusal);
                }
            }
            RaftAction::LeadershipConfirmed { request, index } => {
                if let Some(PendingReply::Confirm(reply)) =
                    runtime.unlogged_replies.remove(&request)
                {
                    let _ = reply.try_send(Ok(index));
                }
            }
            RaftAction::InstallSnapshot(snapshot) => self.install_snapshot(group, snapshot)?,
            RaftAction::LeaderLost { .. } => {}
            RaftAction::RoleChanged { role, term, leader } => {
                runtime.on_role_changed(role, term, leader);
            }
        }
        Ok(())
    }

    fn install_snapshot(
        &mut self,
        group: GroupId,
        snapshot: SharedSnapshot,
    ) -> Result<(), HostError> {
        let Some(runtime) = self.groups.get_mut(&group) else { return Ok(()) };
        self.storage.save_snapshot(group, &snapshot)?;
        let restored = runtime.spec.machine.restore(&snapshot.data);
        restored.map_err(|error| HostError::Restore { group, error })?;
        runtime.applied = snapshot.index;
        runtime.snapshot_index = snapshot.index;
        runtime.bytes_since_snapshot = 0;
        runtime.notify_subscribers(&GroupEvent::Restored { index: snapshot.index });
        self.prune_due = true;
        self.handle_event(group, RaftEvent::SnapshotInstalled(snapshot))
    }

    fn snapshot_large_groups(&mut self) -> Result<(), HostError> {
        let (entries, bytes) =
            (self.config.snapshot_interval_entries, self.config.snapshot_interval_bytes);
        let due_groups = self.groups.iter().filter(|(_, runtime)| {
            runtime.applied - runtime.snapshot_index >= entries
                || runtime.bytes_since_snapshot >= bytes
        });
        let group_ids: Vec<GroupId> = due_groups.map(|(&group, _)| group).collect();
        for group in group_ids {
            self.take_snapshot(group)?;
        }
        Ok(())
    }

    fn take_snapshot(&mut self, group: GroupId) -> Result<(), HostError> {
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
        runtime.bytes_since_snapshot = 0;
        self.prune_due = true;
        self.handle_event(group, RaftEvent::SnapshotSaved(Arc::new(snapshot)))
    }
}
