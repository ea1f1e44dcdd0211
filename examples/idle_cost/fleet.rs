//! Small announcers of many servers, without anything behind their addresses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Interval of the heartbeats of one server.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Token of the team.
pub(crate) const TEAM_TOKEN: &str = "idle-team-token";

/// Announcers, one thread and connection for each entry.
pub(crate) struct Fleet {
    shared: Arc<SharedFleet>,
    threads: Vec<JoinHandle<()>>,
}

struct SharedFleet {
    stopping: AtomicBool,
    accepted: AtomicU64,
    entries: Vec<SocketAddr>,
    servers: usize,
    services: usize,
}

impl Fleet {
    /// Starts to announce; each heartbeat of a server goes to another entry than the last.
    pub(crate) fn start(entries: Vec<SocketAddr>, servers: usize, services: usize) -> Self {
        let count = entries.len();
        let shared = Arc::new(SharedFleet {
            stopping: AtomicBool::new(false),
            accepted: AtomicU64::new(0),
            entries,
            servers,
            services,
        });
        let mut threads = Vec::new();
        for entry in 0..count {
            let shared = Arc::clone(&shared);
            threads.push(thread::spawn(move || shared.announce_at(entry)));
        }
        Self { shared, threads }
    }

    /// Heartbeats that the entries took.
    pub(crate) fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Ends all announcers.
    pub(crate) fn stop(self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

impl SharedFleet {
    fn announce_at(&self, entry: usize) {
        let started = Instant::now();
        let mut connection = None;
        let mut round = 0;
        while !self.stopping.load(Ordering::Relaxed) {
            round += 1;
            for server in 0..self.servers {
                if (server + round) % self.entries.len() != entry {
                    continue;
                }
                // Servers don't announce at the same moment.
                let phase = HEARTBEAT.mul_f64(server as f64 / self.servers as f64);
                let due = started + HEARTBEAT * (round as u32 - 1) + phase;
                sleep(due.saturating_duration_since(Instant::now()));
                if self.announce(entry, server, round, &mut connection).is_err() {
                    connection = None;
                }
            }
            let next = started + HEARTBEAT * round as u32;
            sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    fn announce(
        &self,
        entry: usize,
        server: usize,
        round: usize,
        connection: &mut Option<TcpStream>,
    ) -> std::io::Result<()> {
        let body = serde_json::json!({
            "team": "idle",
            "service": format!("service-{}", server % self.services),
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
        let address = self.entries[entry];
        let stream = match connection {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(address)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(HEARTBEAT))?;
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
            self.accepted.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}
