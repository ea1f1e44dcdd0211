//! One group of a host: its state machines and the callers that wait for outcomes.

use std::collections::BTreeMap;
use std::time::Instant;

use async_channel::Sender;

use super::host::{
    ChangeError, ConfirmError, GroupNotice, GroupSpec, GroupStatus, HostConfig, HostError,
    ProposeError, Reply,
};
use super::message::{EntryBody, LogEntry};
use super::node::{RaftNode, Refusal, RestartState, Role};
use super::repair::JoinRequests;
use crate::ids::{LogIndex, MemberId, TermNumber};

/// Someone who waits for the outcome of a request.
pub(super) enum Waiter {
    Propose(Reply<Vec<u8>, ProposeError>),
    Confirm(Reply<LogIndex, ConfirmError>),
    Change(Reply<LogIndex, ChangeError>),
}

impl Waiter {
    pub(super) fn refuse(self, refusal: Refusal) {
        // The receiver is gone when the caller has given up.
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

    pub(super) fn lose(self) {
        match self {
            Self::Propose(reply) => {
                let _ = reply.try_send(Err(ProposeError::Lost));
            }
            Self::Change(reply) => {
                let _ = reply.try_send(Err(ChangeError::Lost));
            }
            Self::Confirm(_) => {}
        }
    }
}

pub(super) struct GroupRuntime {
    pub(super) node: RaftNode,
    pub(super) spec: GroupSpec,
    /// Requests by number that are not in the log yet.
    pub(super) requests: BTreeMap<u64, Waiter>,
    /// Requests in the log by index, with the term of their entry.
    pub(super) logged: BTreeMap<LogIndex, (TermNumber, Waiter)>,
    pub(super) applied: LogIndex,
    pub(super) snapshot_index: LogIndex,
    pub(super) bytes_since: usize,
    pub(super) subscribers: Vec<Sender<GroupNotice>>,
    pub(super) joins: JoinRequests,
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
            requests: BTreeMap::new(),
            logged: BTreeMap::new(),
            applied: index,
            snapshot_index: index,
            bytes_since: 0,
            subscribers: Vec::new(),
            joins: JoinRequests::new(),
        })
    }

    pub(super) fn apply(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            self.applied = entry.index;
            self.bytes_since += entry.size();
            let waiter = self.logged.remove(&entry.index);
            let response = match &entry.body {
                EntryBody::Payload(payload) => self.spec.machine.apply(entry.index, payload),
                EntryBody::Noop | EntryBody::Members(_) => Vec::new(),
            };
            if let Some((term, waiter)) = waiter {
                answer(waiter, term == entry.term, entry.index, response);
            }
            let EntryBody::Payload(payload) = entry.body else { continue };
            if !self.subscribers.is_empty() {
                self.notify(&GroupNotice::Committed {
                    index: entry.index,
                    payload: payload.into(),
                });
            }
        }
    }

    pub(super) fn notify(&mut self, notice: &GroupNotice) {
        self.subscribers.retain(|subscriber| subscriber.try_send(notice.clone()).is_ok());
    }

    pub(super) fn change_role(&mut self, role: Role, term: TermNumber, leader: Option<MemberId>) {
        if role != Role::Leader {
            for (_, waiter) in std::mem::take(&mut self.logged).into_values() {
                waiter.lose();
            }
            self.joins.clear();
        }
        self.notify(&GroupNotice::Role { role, term, leader });
    }

    pub(super) fn status(&self) -> GroupStatus {
        let leads = self.node.role() == Role::Leader;
        GroupStatus {
            group: self.spec.group,
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader(),
            members: self.node.members().clone(),
            commit: self.node.commit(),
            applied: self.applied,
            match_indexes: self.node.match_indexes(),
            survivable_losses: leads.then(|| self.node.survivable_losses()),
        }
    }
}

fn answer(waiter: Waiter, same_term: bool, index: LogIndex, response: Vec<u8>) {
    match waiter {
        other if !same_term => other.lose(),
        Waiter::Propose(reply) => {
            let _ = reply.try_send(Ok(response));
        }
        Waiter::Change(reply) => {
            let _ = reply.try_send(Ok(index));
        }
        Waiter::Confirm(_) => {}
    }
}
