//! Runtime of one group in a host: Raft node, replicated state machine and pending replies.

use std::collections::BTreeMap;
use std::time::Instant;

use async_channel::Sender;

use super::host::{
    ChangeError, ConfirmError, GroupEvent, GroupSpec, GroupStatus, HostConfig, HostError,
    ProposeError, ReplySender,
};
use super::message::{EntryBody, LogEntry};
use super::node::{RaftNode, Refusal, RestartState, Role};
use super::repair::JoinRequests;
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Reply channel of a request whose outcome is not known yet.
pub(super) enum PendingReply {
    Propose(ReplySender<Vec<u8>, ProposeError>),
    Confirm(ReplySender<LogIndex, ConfirmError>),
    Change(ReplySender<LogIndex, ChangeError>),
}

impl PendingReply {
    pub(super) fn refuse(self, refusal: Refusal) {
        // Sending fails if the caller no longer waits.
        match (self, refusal) {
            (Self::Propose(reply), Refusal::NotLeader { leader }) => {
                let _ = reply.try_send(Err(ProposeError::NotLeader { leader }));
            }
            (Self::Propose(reply), _) => {
                let _ = reply.try_send(Err(ProposeError::Busy));
            }
            (Self::Confirm(reply), Refusal::NotLeader { leader }) => {
                let _ = reply.try_send(Err(ConfirmError::NotLeader { leader }));
            }
            (Self::Confirm(reply), _) => {
                let _ = reply.try_send(Err(ConfirmError::Busy));
            }
            (Self::Change(reply), Refusal::NotLeader { leader }) => {
                let _ = reply.try_send(Err(ChangeError::NotLeader { leader }));
            }
            (Self::Change(reply), Refusal::Busy) => {
                let _ = reply.try_send(Err(ChangeError::Busy));
            }
            (Self::Change(reply), Refusal::Member(error)) => {
                let _ = reply.try_send(Err(ChangeError::Refused(error)));
            }
        }
    }

    pub(super) fn fail_leadership_lost(self) {
        match self {
            Self::Propose(reply) => {
                let _ = reply.try_send(Err(ProposeError::LeadershipLost));
            }
            Self::Change(reply) => {
                let _ = reply.try_send(Err(ChangeError::LeadershipLost));
            }
            Self::Confirm(_) => {}
        }
    }
}

pub(super) struct GroupRuntime {
    pub(super) node: RaftNode,
    pub(super) spec: GroupSpec,
    /// Replies of requests that are not in the log yet, by request id.
    pub(super) unlogged_replies: BTreeMap<u64, PendingReply>,
    /// Replies of requests in the log by index, with the term of their entry.
    pub(super) logged_replies: BTreeMap<LogIndex, (TermNumber, PendingReply)>,
    pub(super) applied: LogIndex,
    pub(super) snapshot_index: LogIndex,
    pub(super) bytes_since_snapshot: usize,
    pub(super) subscribers: Vec<Sender<GroupEvent>>,
    pub(super) join_requests: JoinRequests,
}

impl GroupRuntime {
    pub(super) fn new(config: &HostConfig, mut spec: GroupSpec) -> Result<Self, HostError> {
        let recovered = std::mem::take(&mut spec.recovered);
        let group = spec.group;
        if let Some(snapshot) = &recovered.snapshot {
            let restored = spec.machine.restore(&snapshot.data);
            restored.map_err(|error| HostError::Restore { group, error })?;
        }
        let index = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let state = RestartState {
            hard_state: recovered.hard_state,
            initial: config.initial.clone(),
            snapshot: recovered.snapshot,
            entries: recovered.entries,
        };
        let seed = config.seed ^ u64::from(group).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let raft = config.raft.clone();
        let node = RaftNode::new(raft, group, config.member, seed, Instant::now(), state);
        Ok(Self {
            node,
            spec,
            unlogged_replies: BTreeMap::new(),
            logged_replies: BTreeMap::new(),
            applied: index,
            snapshot_index: index,
            bytes_since_snapshot: 0,
            subscribers: Vec::new(),
            join_requests: JoinRequests::new(),
        })
    }

    pub(super) fn apply(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.applied = entry.index;
            self.bytes_since_snapshot += entry.size_bytes();
            let pending = self.logged_replies.remove(&entry.index);
            let response = match &entry.body {
                EntryBody::Payload(payload) => self.spec.machine.apply(entry.index, payload),
                EntryBody::Noop | EntryBody::Members(_) => Vec::new(),
            };
            if let Some((term, pending)) = pending {
                complete_reply(pending, term == entry.term, entry.index, response);
            }
            let EntryBody::Payload(payload) = entry.body else { continue };
            if !self.subscribers.is_empty() {
                self.notify_subscribers(&GroupEvent::Committed {
                    index: entry.index,
                    payload: payload.into(),
                });
            }
        }
    }

    pub(super) fn notify_subscribers(&mut self, event: &GroupEvent) {
        self.subscribers.retain(|subscriber| subscriber.try_send(event.clone()).is_ok());
    }

    pub(super) fn on_role_changed(
        &mut self,
        role: Role,
        term: TermNumber,
        leader: Option<MemberId>,
    ) {
        if role != Role::Leader {
            for (_, pending) in std::mem::take(&mut self.logged_replies).into_values() {
                pending.fail_leadership_lost();
            }
            self.join_requests.clear();
        }
        self.notify_subscribers(&GroupEvent::RoleChanged { role, term, leader });
    }

    pub(super) fn status(&self) -> GroupStatus {
        let is_leader = self.node.role() == Role::Leader;
        GroupStatus {
            group: self.spec.group,
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader(),
            members: self.node.members().clone(),
            commit: self.node.commit_index(),
            applied: self.applied,
            match_indexes: self.node.match_indexes(),
            survivable_losses: is_leader.then(|| self.node.survivable_losses()),
        }
    }
}

fn complete_reply(pending: PendingReply, same_term: bool, index: LogIndex, response: Vec<u8>) {
    match pending {
        other if !same_term => other.fail_leadership_lost(),
        PendingReply::Propose(reply) => {
            let _ = reply.try_send(Ok(response));
        }
        PendingReply::Change(reply) => {
            let _ = reply.try_send(Ok(index));
        }
        PendingReply::Confirm(_) => {}
    }
}
