//! Directory of a control process: what it takes from entries and asks them for.

use std::time::Instant;

use super::ControlThread;
use crate::directory::{
    CompactHeartbeat, DirectoryAction, DirectoryEvent, DirectorySync, SyncReply,
};
use crate::entry::choose_peers_to_ask;
use crate::ids::ProcessName;
use crate::link::WireMessage;

impl ControlThread {
    pub(super) fn directory_event(&mut self, event: DirectoryEvent) {
        for action in self.directory.handle(Instant::now(), event) {
            let DirectoryAction::SendRequest { peer, request } = action else {
                continue;
            };
            let asked = match peer {
                Some(peer) => vec![peer],
                None => choose_peers_to_ask(&self.entries, fastrand::u64(..)),
            };
            let to = asked.iter().map(|name| &**name);
            self.hub.send_all(to, WireMessage::DirectoryRequest(request));
        }
    }

    pub(super) fn receive_heartbeats(&mut self, from: ProcessName, packed: &[u8]) {
        match CompactHeartbeat::unpack(packed) {
            Ok(heartbeats) => self.directory_event(DirectoryEvent::Heartbeats { from, heartbeats }),
            Err(error) => log::warn!(peer:% = from, error:%; "heartbeats ignored"),
        }
    }

    /// Answers an entry's round of anti-entropy; control starts none itself.
    pub(super) fn receive_sync(&mut self, from: &str, step: &DirectorySync) {
        for reply in self.exchange.handle(Instant::now(), &self.directory, step) {
            let message = match reply {
                SyncReply::Sync(step) => WireMessage::DirectorySync(step),
                SyncReply::Answer(batch) => WireMessage::DirectoryAnswer(batch),
            };
            self.hub.send(from, message);
        }
    }
}
