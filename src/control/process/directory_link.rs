//! Server directory of a control process: updates received from entries and requests to them.

use std::time::Instant;

use super::ControlThread;
use crate::directory::{
    CompactHeartbeat, DirectoryAction, DirectoryEvent, DirectorySync, SyncReply,
};
use crate::entry::choose_peers_to_ask;
use crate::ids::ProcessName;
use crate::link::WireMessage;

impl ControlThread {
    pub(super) fn handle_directory_event(&mut self, event: DirectoryEvent) {
        for action in self.directory.handle(Instant::now(), event) {
            let DirectoryAction::SendRequest { peer, request } = action else {
                continue;
            };
            let targets = match peer {
                Some(peer) => vec![peer],
                None => choose_peers_to_ask(&self.linked_entries, fastrand::u64(..)),
            };
            let to = targets.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::DirectoryRequest(request));
        }
    }

    pub(super) fn handle_heartbeats(&mut self, from: ProcessName, packed: &[u8]) {
        match CompactHeartbeat::unpack(packed) {
            Ok(heartbeats) => {
                self.handle_directory_event(DirectoryEvent::Heartbeats { from, heartbeats })
            }
            Err(error) => {
                log::warn!(peer:% = from, error:%; "malformed heartbeats from an entry; ignored")
            }
        }
    }

    /// Answers a step of an anti-entropy round; control processes start no rounds themselves.
    pub(super) fn handle_directory_sync(&mut self, from: &str, step: &DirectorySync) {
        for reply in self.sync_exchange.handle(Instant::now(), &self.directory, step) {
            let message = match reply {
                SyncReply::Sync(step) => WireMessage::DirectorySync(step),
                SyncReply::Answer(batch) => WireMessage::DirectoryAnswer(batch),
            };
            self.hub.send(from, message);
        }
    }
}
