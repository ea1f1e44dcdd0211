//! Pool of idle connections to servers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::stream::{HttpStream, IdleState};
use crate::http::ResponseHead;
use crate::ids::ServerId;

/// Maximum number of idle connections to one server; more would use up the share of other entries.
const MAX_IDLE_PER_SERVER: usize = 6;

/// Time for which an idle connection is reused when the server states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(7);

/// Fraction of the server's idle timeout after which a connection is no longer reused, because the
/// server may close it at the same moment.
const IDLE_TIMEOUT_FRACTION: f64 = 0.85;

struct IdleConnection {
    stream: HttpStream,
    address: SocketAddr,
    expires_at: Instant,
}

/// Idle connections by server.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<ServerId, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes the most recently used connection that can be reused.
    pub fn take(&self, now: Instant, server: &ServerId, address: SocketAddr) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(mut connection) = connections.pop() {
            let reusable = connection.address == address
                && now < connection.expires_at
                && connection.stream.idle_state() == IdleState::Idle;
            if reusable {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Returns a connection to the pool if it can be reused. Its last response, with the given
    /// head, must have been read completely.
    pub fn put(
        &self,
        now: Instant,
        server: &ServerId,
        address: SocketAddr,
        stream: HttpStream,
        head: &ResponseHead,
    ) {
        if !head.keep_alive() || !stream.buffered().is_empty() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(server.clone()).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
        let lifetime = head.keep_alive_timeout();
        let lifetime =
            lifetime.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
        connections.push(IdleConnection { stream, address, expires_at: now + lifetime });
    }

    /// Servers to which there is an idle connection; they may have closed it.
    pub fn idle_servers(&self, now: Instant) -> Vec<ServerId> {
        let idle = self.idle.borrow();
        let is_usable = |connections: &[IdleConnection]| {
            connections.last().is_some_and(|connection| now < connection.expires_at)
        };
        let usable = idle.iter().filter(|(_, connections)| is_usable(connections));
        usable.map(|(server, _)| server.clone()).collect()
    }

    /// Number of idle connections to all servers.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes expired connections and those to servers that `keep_server` rejects.
    pub fn retain(&self, keep_server: impl Fn(&ServerId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| now < connection.expires_at);
            keep_server(server) && !connections.is_empty()
        });
    }
}
