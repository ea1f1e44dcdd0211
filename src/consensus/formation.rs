//! Initial formation of a control cluster.
//!
//! A member with an empty data folder queries all configured peers. When all of them answer that
//! they belong to no cluster, the member with the lowest name decides the initial member set. A
//! member that learns of a formed cluster from a peer joins that cluster.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, ProcessName};
use crate::storage::{FormedIdentity, StoredIdentity};

/// Interval between queries to the peers.
pub const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Message between configured peers; the link identifies the sender's name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FormationMessage {
    /// Asks for the peer's state; the answer must repeat the same member id and round.
    Query { member: MemberId, round: u64 },
    /// The sender belongs to no cluster.
    Unformed { member: MemberId, asked_by: MemberId, round: u64 },
    /// The sender belongs to this cluster.
    Formed(FormedIdentity),
}

/// Input to the formation state machine.
#[derive(Debug, Clone)]
pub enum FormationEvent {
    Tick,
    Message {
        from: ProcessName,
        message: FormationMessage,
    },
    /// The identity from the last `Sync` action is durable.
    Synced,
}

/// How a member became part of its cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Membership {
    /// Its id is in the initial member set.
    Initial,
    /// It is not in the initial member set and asks the leader to add it as a learner.
    Joining,
}

/// Output of the formation state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FormationAction {
    Send {
        to: ProcessName,
        message: FormationMessage,
    },
    /// Write and sync the identity, then pass in [`FormationEvent::Synced`].
    Sync(StoredIdentity),
    /// The member belongs to a cluster and can start its groups.
    Start {
        identity: FormedIdentity,
        membership: Membership,
    },
}

/// Formation state machine of one process.
#[derive(Debug)]
pub struct ClusterFormation {
    name: ProcessName,
    member: MemberId,
    peers: BTreeSet<ProcessName>,
    /// Cluster id to use if this member forms the cluster; drawn at random by the caller.
    new_cluster_id: u64,
    round: u64,
    next_query: Option<Instant>,
    unformed_peers: BTreeMap<ProcessName, MemberId>,
    state: FormationState,
}

#[derive(Debug)]
enum FormationState {
    Unformed,
    Syncing(FormedIdentity),
    Formed(FormedIdentity),
}

impl ClusterFormation {
    /// `peers` are the configured members; `stored` is the content of the identity file.
    pub fn new(
        name: ProcessName,
        peers: BTreeSet<ProcessName>,
        stored: StoredIdentity,
        new_cluster_id: u64,
    ) -> Self {
        let mut peers = peers;
        peers.remove(&name);
        let state = match stored.formed {
            Some(identity) => FormationState::Formed(identity),
            None => FormationState::Unformed,
        };
        Self {
            name,
            member: stored.member,
            peers,
            new_cluster_id,
            round: 0,
            next_query: None,
            unformed_peers: BTreeMap::new(),
            state,
        }
    }

    /// Identity of the cluster, once it is durable on this member.
    pub fn formed(&self) -> Option<&FormedIdentity> {
        match &self.state {
            FormationState::Formed(identity) => Some(identity),
            FormationState::Unformed | FormationState::Syncing(_) => None,
        }
    }

    /// Processes one event.
    pub fn handle(&mut self, now: Instant, event: FormationEvent) -> Vec<FormationAction> {
        match event {
            FormationEvent::Tick => self.on_tick(now),
            FormationEvent::Message { from, message } => self.on_message(&from, message),
            FormationEvent::Synced => self.on_synced(),
        }
    }

    fn on_tick(&mut self, now: Instant) -> Vec<FormationAction> {
        if !matches!(self.state, FormationState::Unformed) {
            return Vec::new();
        }
        if self.peers.is_empty() {
            return self.form_cluster();
        }
        if self.next_query.is_some_and(|due| now < due) {
            return Vec::new();
        }
        self.next_query = Some(now + QUERY_INTERVAL);
        self.round += 1;
        // All answers must belong to the same round: a peer that answered in an earlier round may
        // have formed a cluster since.
        self.unformed_peers.clear();
        let message = FormationMessage::Query { member: self.member, round: self.round };
        self.send_to_all_peers(&message)
    }

    fn send_to_all_peers(&self, message: &FormationMessage) -> Vec<FormationAction> {
        let peers = self.peers.iter().cloned();
        peers.map(|to| FormationAction::Send { to, message: message.clone() }).collect()
    }

    fn on_message(
        &mut self,
        from: &ProcessName,
        message: FormationMessage,
    ) -> Vec<FormationAction> {
        if !self.peers.contains(from) {
            return Vec::new();
        }
        match message {
            FormationMessage::Query { member, round } => self.on_query(from, member, round),
            FormationMessage::Unformed { member, asked_by, round } => {
                self.on_unformed(from, member, asked_by, round)
            }
            FormationMessage::Formed(identity) => self.on_formed(identity),
        }
    }

    fn on_query(&self, from: &ProcessName, asked_by: MemberId, round: u64) -> Vec<FormationAction> {
        let message = match &self.state {
            FormationState::Unformed => {
                FormationMessage::Unformed { member: self.member, asked_by, round }
            }
            // The identity may become durable at any moment, so neither answer would be reliable.
            FormationState::Syncing(_) => return Vec::new(),
            FormationState::Formed(identity) => FormationMessage::Formed(identity.clone()),
        };
        vec![FormationAction::Send { to: from.clone(), message }]
    }

    fn on_unformed(
        &mut self,
        from: &ProcessName,
        member: MemberId,
        asked_by: MemberId,
        round: u64,
    ) -> Vec<FormationAction> {
        if let FormationState::Formed(identity) = &self.state {
            let message = FormationMessage::Formed(identity.clone());
            return vec![FormationAction::Send { to: from.clone(), message }];
        }
        let is_current_answer = asked_by == self.member && round == self.round;
        if !is_current_answer || !matches!(self.state, FormationState::Unformed) {
            return Vec::new();
        }
        self.unformed_peers.insert(from.clone(), member);
        let has_lowest_name = self.peers.first().is_none_or(|peer| self.name < *peer);
        if !has_lowest_name || self.unformed_peers.len() < self.peers.len() {
            return Vec::new();
        }
        self.form_cluster()
    }

    fn form_cluster(&mut self) -> Vec<FormationAction> {
        let mut initial = self.unformed_peers.clone();
        initial.insert(self.name.clone(), self.member);
        self.sync_identity(FormedIdentity { cluster: self.new_cluster_id, initial })
    }

    fn on_formed(&mut self, identity: FormedIdentity) -> Vec<FormationAction> {
        if !matches!(self.state, FormationState::Unformed) {
            return Vec::new();
        }
        self.sync_identity(identity)
    }

    fn sync_identity(&mut self, identity: FormedIdentity) -> Vec<FormationAction> {
        let stored = StoredIdentity { member: self.member, formed: Some(identity.clone()) };
        self.state = FormationState::Syncing(identity);
        vec![FormationAction::Sync(stored)]
    }

    fn on_synced(&mut self) -> Vec<FormationAction> {
        let FormationState::Syncing(identity) = &self.state else {
            return Vec::new();
        };
        let identity = identity.clone();
        self.state = FormationState::Formed(identity.clone());
        let membership = membership_of(self.member, &identity);
        let mut actions = Vec::new();
        if identity.cluster == self.new_cluster_id {
            actions = self.send_to_all_peers(&FormationMessage::Formed(identity.clone()));
        }
        actions.push(FormationAction::Start { identity, membership });
        actions
    }
}

/// Returns whether `member` is an initial member of the cluster or has to join it.
pub fn membership_of(member: MemberId, identity: &FormedIdentity) -> Membership {
    if identity.initial.values().any(|&initial| initial == member) {
        return Membership::Initial;
    }
    Membership::Joining
}
