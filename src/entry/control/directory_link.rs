//! Exchange of the server directory with other processes.

use std::collections::BTreeSet;
use std::time::Instant;

use super::EntryControl;
use crate::directory::{
    CompactHeartbeat, DirectoryAction, DirectoryEvent, DirectoryRequest, DirectorySync,
    ServiceSummary, SyncReply,
};
use crate::ids::ProcessName;
use crate::link::WireMessage;

/// Maximum number of peers that are asked about servers whose heartbeats are missing.
const MAX_ASKED_PEERS: usize = 2;

/// Chooses peers to ask about servers whose heartbeats are missing; `random` sets the first one.
pub fn choose_peers_to_ask(peers: &BTreeSet<ProcessName>, random: u64) -> Vec<ProcessName> {
    let start = random as usize % peers.len().max(1);
    peers.iter().cycle().skip(start).take(MAX_ASKED_PEERS.min(peers.len())).cloned().collect()
}

impl EntryControl {
    /// Sends all known servers to a new peer; later changes reach it through relayed announcements.
    pub(super) fn send_directory(&self, now: Instant, peer: &str) {
        for (service, _) in self.directory.service_digests() {
            let empty_summary = ServiceSummary { service, servers: Vec::new() };
            let batch = self.directory.missing_from(now, &empty_summary);
            if !batch.is_empty() {
                self.hub.send(peer, WireMessage::DirectoryAnswer(batch));
            }
        }
    }

    pub(super) fn handle_directory_event(&mut self, now: Instant, event: DirectoryEvent) {
        let actions = self.directory.handle(now, event);
        let table = self.context.table();
        for action in actions {
            match action {
                DirectoryAction::Relay(batch) => self.send_to_all(WireMessage::Announce(batch)),
                DirectoryAction::RelayHeartbeats(heartbeats) => {
                    self.send_to_all(WireMessage::Heartbeats(CompactHeartbeat::pack(&heartbeats)));
                }
                DirectoryAction::SendRequest { peer, request } => {
                    let asked = match peer {
                        Some(peer) => vec![peer],
                        None => choose_peers_to_ask(&self.peers, self.context.random()),
                    };
                    let to = asked.iter().map(|name| &**name);
                    self.hub.send_all(to, WireMessage::DirectoryRequest(request));
                }
                DirectoryAction::ServerChanged { from, to, announcement } => {
                    self.update_server(now, &table, from, to, &announcement);
                }
                DirectoryAction::LoadReported { announcement } => {
                    let runtime = table.runtime(&announcement.team, &announcement.service);
                    if let Some(runtime) = runtime {
                        runtime.record_load_report(&announcement);
                    }
                }
            }
        }
        self.deliver_grants();
    }

    fn send_to_all(&self, message: WireMessage) {
        let to = self.peers.iter().chain(&self.controls).map(|name| &**name);
        self.hub.send_all(to, message);
    }

    pub(super) fn receive_heartbeats(&mut self, now: Instant, from: &ProcessName, packed: &[u8]) {
        match CompactHeartbeat::unpack(packed) {
            Ok(heartbeats) => {
                let from = from.clone();
                self.handle_directory_event(now, DirectoryEvent::Heartbeats { from, heartbeats });
            }
            Err(error) => log::warn!(peer:% = from, error:%; "invalid heartbeat message ignored"),
        }
    }

    pub(super) fn answer_directory_request(
        &self,
        now: Instant,
        from: &str,
        request: &DirectoryRequest,
    ) {
        let answer = self.directory.answer(now, request);
        if !answer.is_empty() {
            self.hub.send(from, WireMessage::DirectoryAnswer(answer));
        }
    }

    /// Starts an anti-entropy round when it is due, with each peer in turn.
    pub(super) fn start_sync(&mut self, now: Instant) {
        let Some(round) = self.sync_exchange.start_round(now) else {
            return;
        };
        let count = self.peers.len() + self.controls.len();
        let mut peers = self.peers.iter().chain(&self.controls);
        if let Some(peer) = peers.nth(round % count.max(1)) {
            let root = DirectorySync::Root(self.directory.root_digest());
            self.hub.send(peer, WireMessage::DirectorySync(root));
        }
    }

    pub(super) fn receive_sync(&mut self, now: Instant, from: &str, step: &DirectorySync) {
        for reply in self.sync_exchange.handle(now, &self.directory, step) {
            let message = match reply {
                SyncReply::Sync(step) => WireMessage::DirectorySync(step),
                SyncReply::Answer(batch) => WireMessage::DirectoryAnswer(batch),
            };
            self.hub.send(from, message);
        }
    }
}
