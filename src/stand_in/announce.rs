//! Announcements of a stand-in server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_std::future::timeout;
use serde::Serialize;

use super::{AnnouncedState, SharedServer, StandInMode};
use crate::http::{HeaderList, send_request};

/// Path on an entry that takes announcements.
const ANNOUNCE_PATH: &str = "/.curranthollow/announce";

/// Time after which the next entry is tried.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Wait before the entries are tried again when none has taken an announcement.
const RETRY_WAIT: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct AnnounceBody<'a> {
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

/// Announces the server at each heartbeat and after each change of its state until it is stopped.
pub(super) async fn announce_all(shared: Arc<SharedServer>, woken: Receiver<()>) {
    let mut first = 0;
    loop {
        let Some((content, state)) = next_body(&shared) else {
            return;
        };
        let accepted = announce(&shared, &content, &mut first).await;
        if accepted {
            shared.lock().announcements += 1;
            if state == AnnouncedState::Gone {
                return;
            }
        }
        let wait = if accepted { shared.options.heartbeat } else { RETRY_WAIT };
        let _ = timeout(wait, woken.recv()).await;
    }
}

/// Returns the next announcement; `None` when the server was stopped.
fn next_body(shared: &SharedServer) -> Option<(Vec<u8>, AnnouncedState)> {
    let running = shared.slots.counts().running as u64;
    let mut state = shared.lock();
    if state.stopped {
        return None;
    }
    state.sequence += 1;
    let options = &shared.options;
    let body = AnnounceBody {
        team: &options.team,
        service: &options.service,
        server: &options.server,
        address: shared.address,
        availability_zone: &options.availability_zone,
        slots: options.slots,
        connections: options.connections,
        state: state.announced,
        load: match state.mode {
            StandInMode::MisleadingLoad { load } => load,
            _ => running,
        },
        incarnation: options.incarnation,
        sequence: state.sequence,
    };
    let content = serde_json::to_vec(&body).expect("plain fields can be encoded");
    Some((content, body.state))
}

/// Sends to the entry that worked last, then to the others in turn.
async fn announce(shared: &SharedServer, content: &[u8], first: &mut usize) -> bool {
    let entries = &shared.options.entries;
    for _ in 0..entries.len() {
        let address = entries[*first % entries.len()];
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
                log::warn!(entry:% = address, status; "announcement refused");
            }
            Err(error) => {
                log::debug!(entry:% = address, code = error.code(); "announcement failed");
            }
        }
        *first += 1;
    }
    false
}
