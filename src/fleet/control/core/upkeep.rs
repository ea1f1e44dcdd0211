//! Periodic work of a member: changes of the member list, join requests and detection of silent
//! servers.

use std::net::SocketAddr;
use std::time::Instant;

use super::{CallWaiter, ControlCore};
use crate::consensus::RaftEvent;
use crate::fleet::control::disk::{self, DiskJob};
use crate::fleet::control::{placement, rejoin};
use crate::fleet::link::{ForwardCall, LinkMessage};
use crate::fleet::state::FleetCommand;
use crate::ids::{LogIndex, MemberId, ProcessName};
use crate::log_info;
use crate::storage::StoredIdentity;

impl ControlCore {
    /// Records a join request, or passes it to the leader: a joining member may know only followers.
    pub(super) fn on_join(
        &mut self,
        now: Instant,
        from: &ProcessName,
        name: ProcessName,
        member: MemberId,
        listed_at: Option<LogIndex>,
    ) {
        if rejoin::is_removed(&self.node, member, listed_at) {
            if let Ok(address) = name.parse() {
                self.peers.send(address, &LinkMessage::Removed { member });
            }
            return;
        }
        let leader = self.node.leader().filter(|leader| *leader != self.member);
        if let Some(address) = leader.and_then(|leader| self.address_of(leader))
            && *from == name
        {
            self.peers.send(address, &LinkMessage::Join { name, member, listed_at });
            return;
        }
        if !self.node.members().contains(member) {
            self.join_requests.insert(name, (member, now));
            self.propose_member_change(now);
        }
    }

    /// Takes a new id if this member was removed under its present one.
    pub(super) fn on_removed(&mut self, member: MemberId) {
        if member != self.member || self.is_rejoining {
            return;
        }
        self.is_rejoining = true;
        let member = disk::random_member_id(fastrand::u64(..));
        let identity = StoredIdentity { member, formed: self.formed.clone() };
        // The disk thread runs until the process exits, so the send cannot fail.
        let _ = self.disk.send(DiskJob::SaveIdentity(identity));
    }

    pub(super) fn on_identity_saved(&mut self, now: Instant, member: MemberId) {
        log_info!("member_rejoins", "removed={:016x} member={member:016x}", self.member);
        self.is_rejoining = false;
        self.member = member;
        self.handle(now, RaftEvent::IdentityReplaced { member });
        self.send_join_requests();
    }

    pub(super) fn propose_member_change(&mut self, now: Instant) {
        let change =
            placement::next_change(&self.node, &self.join_requests, self.survivable_losses, now);
        let Some(change) = change else { return };
        self.last_request += 1;
        let request = self.last_request;
        self.requests.insert(request, CallWaiter::Internal);
        let before = self.node.last_index();
        self.handle(now, RaftEvent::ChangeMembers { request, change: change.clone() });
        if self.node.last_index() > before {
            log_info!("members_changed", "change=\"{}\"", placement::describe(&change));
        }
    }

    /// Sends a join request to all known members if this one is not in the member list. While it has no
    /// leader, it may have been removed without knowing it, and sends the request as well.
    pub(super) fn send_join_requests(&mut self) {
        let listed_at = rejoin::listed_at(&self.node, self.member);
        if listed_at.is_some() && self.node.leader().is_some() {
            return;
        }
        let listed_members = self.node.members().members.values();
        let mut addresses: Vec<SocketAddr> =
            listed_members.filter_map(|record| record.name.parse().ok()).collect();
        addresses.extend(&self.seeds);
        addresses.sort();
        addresses.dedup();
        for address in addresses {
            if *address.to_string() == *self.name {
                continue;
            }
            let (name, member) = (self.name.clone(), self.member);
            self.peers.send(address, &LinkMessage::Join { name, member, listed_at });
        }
    }

    pub(super) fn report_heartbeats(&mut self, now: Instant) {
        let unreported = self.heartbeat_tracker.take_unreported();
        if let Some(since) = self.leading_since {
            return self.propose_liveness_changes(now, since);
        }
        if let Some(leader) = self.leader_address()
            && !unreported.is_empty()
        {
            self.peers.send(leader, &LinkMessage::Seen(unreported));
        }
    }

    fn propose_liveness_changes(&mut self, now: Instant, since: Instant) {
        for command in
            self.heartbeat_tracker.liveness_changes(now, since, self.heartbeat, &self.state)
        {
            if let FleetCommand::Silent(servers) | FleetCommand::Heard(servers) = &command {
                let silent = matches!(command, FleetCommand::Silent(_));
                let (count, first) = (servers.len(), &servers[0].0);
                log_info!("servers_silent", "silent={silent} count={count} first={first}");
            }
            self.last_request += 1;
            let call = ForwardCall::Propose(command.encode());
            self.start_call(now, self.last_request, call, CallWaiter::Internal);
        }
    }
}
