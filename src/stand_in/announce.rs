//! Sends a stand-in server's announcements to entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::future::timeout;
use serde::Serialize;

use super::{AnnouncedState, SharedServer, StandInMode};
use crate::http::{HeaderList, send_request};

/// Path at which entries accept announcements.
const ANNOUNCE_PATH: &str = "/.curranthollow/announce";

/// Timeout of an announcement, after which the next entry is tried.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before the entries are tried again if none accepted the announcement.
const RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct AnnouncementBody<'a> {
    team: &'a str,
    service: &'a str,
    server: &'a str,
    address: SocketAddr,
    availability_zone: &'a str,
    slots: usize,
    connections: usize,
    state: AnnouncedState,
    load: u64,
    incarnation: u64,
    sequence: u64,
}

/// Announces the server at each heartbeat and whenever its announced state changes, until it stops
/// or an entry has accepted that it is gone.
pub(super) async fn run_announcements(shared: Arc<SharedServer>, wake_receiver: Receiver<()>) {
    let mut entry_index = 0;
    loop {
        let Some((content, state)) = next_announcement(&shared) else {
            return;
        };
        let accepted = send_announcement(&shared, &content, &mut entry_index).await;
        if accepted {
            shared.lock().accepted_announcements += 1;
            if state == AnnouncedState::Gone {
                return;
            }
        }
        let delay = if accepted { shared.options.heartbeat } else { RETRY_DELAY };
        let _ = timeout(delay, wake_receiver.recv()).await;
    }
}

/// Returns the next announcement and its state; `None` if the server was stopped.
fn next_announcement(shared: &SharedServer) -> Option<(Vec<u8>, AnnouncedState)> {
    let running = shared.slots.counts().running as u64;
    let mut state = shared.lock();
    if state.stopped {
        return None;
    }
    state.sequence += 1;
    let options = &shared.options;
    let body = AnnouncementBody {
        team: &options.team,
        service: &options.service,
        server: &options.server,
        address: shared.address,
        availability_zone: &options.availability_zone,
        slots: options.slots,
        connections: options.connections,
        state: state.announced_state,
        load: match state.mode {
            StandInMode::MisleadingLoad { load } => load,
            _ => running,
        },
        incarnation: options.incarnation,
        sequence: state.sequence,
    };
    let content = serde_json::to_vec(&body).expect("an announcement can be encoded");
    Some((content, body.state))
}

/// Sends an announcement to the entry that accepted the previous one, then to the others in turn.
///
/// Returns whether an entry accepted it.
async fn send_announcement(shared: &SharedServer, content: &[u8], entry_index: &mut usize) -> bool {
    let entries = &shared.options.entries;
    for _ in 0..entries.len() {
        let address = entries[*entry_index % entries.len()];
        let mut headers = HeaderList::new();
        let _ = headers.append("content-type", b"application/json");
        let token = format!("Bearer {}", shared.options.token);
        let _ = headers.append("authorization", token.as_bytes());
        let response =
            send_request(address, "POST", ANNOUNCE_PATH, headers, content, ANNOUNCE_TIMEOUT).await;
        match response {
            Ok(response) if (200..300).contains(&response.head.status) => return true,
            Ok(response) => {
                let status = response.head.status;
                log::warn!(entry:% = address, status; "entry refused announcement");
            }
            Err(error) => {
                log::debug!(entry:% = address, code = error.code(); "announcement failed, trying next entry");
            }
        }
        *entry_index += 1;
    }
    false
}
