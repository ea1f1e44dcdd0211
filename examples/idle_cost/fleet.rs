//! Announces many servers to the entries; nothing listens at the announced addresses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Interval between the heartbeats of one server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Token of the team.
pub(crate) const TEAM_TOKEN: &str = "idle-team-token";

/// Announcing threads, each with a connection to one entry.
pub(crate) struct Announcers {
    state: Arc<AnnouncerState>,
    threads: Vec<JoinHandle<()>>,
}

struct AnnouncerState {
    stopping: AtomicBool,
    accepted_count: AtomicU64,
    entries: Vec<SocketAddr>,
    server_count: usize,
    service_count: usize,
}

impl Announcers {
    /// Starts to announce the servers; successive heartbeats of a server go to the entries in turn.
    pub(crate) fn start(
        entries: Vec<SocketAddr>,
        server_count: usize,
        service_count: usize,
    ) -> Self {
        let entry_count = entries.len();
        let state = Arc::new(AnnouncerState {
            stopping: AtomicBool::new(false),
            accepted_count: AtomicU64::new(0),
            entries,
            server_count,
            service_count,
        });
        let mut threads = Vec::new();
        for entry_index in 0..entry_count {
            let state = Arc::clone(&state);
            threads.push(thread::spawn(move || state.announce_to_entry(entry_index)));
        }
        Self { state, threads }
    }

    /// Returns the number of heartbeats that the entries have accepted.
    pub(crate) fn accepted_count(&self) -> u64 {
        self.state.accepted_count.load(Ordering::Relaxed)
    }

    /// Stops all announcing threads.
    pub(crate) fn stop(self) {
        self.state.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl AnnouncerState {
    fn announce_to_entry(&self, entry_index: usize) {
        let started = Instant::now();
        let mut connection = None;
        let mut round = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            round += 1;
            for server in 0..self.server_count {
                if (server + round) % self.entries.len() != entry_index {
                    continue;
                }
                // Spreads the heartbeats of the servers over the interval.
                let phase = HEARTBEAT_INTERVAL.mul_f64(server as f64 / self.server_count as f64);
                let due_at = started + HEARTBEAT_INTERVAL * (round as u32 - 1) + phase;
                sleep(due_at.saturating_duration_since(Instant::now()));
                if self.announce(entry_index, server, round, &mut connection).is_err() {
                    connection = None;
                }
            }
            let next_round_at = started + HEARTBEAT_INTERVAL * round as u32;
            sleep(next_round_at.saturating_duration_since(Instant::now()));
        }
    }

    fn announce(
        &self,
        entry_index: usize,
        server: usize,
        round: usize,
        connection: &mut Option<TcpStream>,
    ) -> std::io::Result<()> {
        let body = serde_json::json!({
            "team": "idle",
            "service": format!("service-{}", server % self.service_count),
            "server": format!("server-{server}"),
            "address": format!("127.0.0.1:{}", 20_000 + server),
            "availability_zone": format!("zone-{}", server % 3),
            "slots": 6,
            "connections": 220,
            "state": "ready",
            "load": (server + round) % 7,
            "incarnation": 1,
            "sequence": round,
        })
        .to_string();
        let address = self.entries[entry_index];
        let stream = match connection {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(HEARTBEAT_INTERVAL))?;
                connection.insert(stream)
            }
        };
        let request = format!(
            "POST /.curranthollow/announce HTTP/1.1\r\nhost: {address}\r\n\
             authorization: Bearer {TEAM_TOKEN}\r\ncontent-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let mut response = [0; 1024];
        let length = stream.read(&mut response)?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        if response[..length].starts_with(b"HTTP/1.1 202") {
            self.accepted_count.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
