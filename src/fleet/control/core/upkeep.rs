//! Periodic work of a member: changes of the member list, join requests and detection of silent
//! servers.

use std::net::SocketAddr;
use std::time::Instant;

use super::{CallWaiter, ControlCore};
use crate::consensus::RaftEvent;
use crate::fleet::link::{ForwardCall, LinkMessage};
use crate::fleet::placement;
use crate::fleet::state::FleetCommand;
use crate::ids::{MemberId, ProcessName};
use crate::log_info;

impl ControlCore {
    /// Records a join request, or passes it to the leader: a joining member may know only followers.
    pub(super) fn on_join(
        &mut self,
        now: Instant,
        from: &ProcessName,
        name: ProcessName,
        member: MemberId,
    ) {
        let leader = self.node.leader().filter(|leader| *leader != self.member);
        if let Some(address) = leader.and_then(|leader| self.address_of(leader))
            && *from == name
        {
            self.peers.send(address, &LinkMessage::Join { name, member });
            return;
        }
        self.join_requests.insert(name, (member, now));
        self.propose_member_change(now);
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

    /// Sends a join request to all known members if this one is not in the member list.
    pub(super) fn send_join_requests(&mut self) {
        if self.node.members().contains(self.member) {
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
            self.peers
                .send(address, &LinkMessage::Join { name: self.name.clone(), member: self.member });
        }
    }

    pub(super) fn report_heartbeats(&mut self, now: Instant) {
        let unreported = self.heartbeat_tracker.take_unreported();
        if let Some(since) = self.leading_since {
            return self.propose_liveness_changes(now, since);
        }
        let leader = self.node.leader().and_then(|leader| self.address_of(leader));
        if let Some(leader) = leader
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
