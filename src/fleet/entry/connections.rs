//! Idle connections to servers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::stream::{HttpStream, IdleState};
use crate::http::ResponseHead;
use crate::ids::ServerId;

/// Idle connections to one server; more would take the share of other entries.
const MAX_IDLE: usize = 6;

/// Idle time after which a connection is not used when the server names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(7);

/// Part of the server's idle timeout that is used, since it may close at the same moment.
const USED_PART: f64 = 0.7;

struct IdleConnection {
    stream: HttpStream,
    address: SocketAddr,
    until: Instant,
}

/// Idle connections by server.
#[derive(Default)]
pub struct ConnectionStore {
    idle: RefCell<BTreeMap<ServerId, Vec<IdleConnection>>>,
}

impl ConnectionStore {
    /// Takes the connection that was used last.
    pub fn take(&self, now: Instant, server: &ServerId, address: SocketAddr) -> Option<HttpStream> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(server)?;
        while let Some(mut connection) = connections.pop() {
            let sound = connection.address == address
                && now < connection.until
                && connection.stream.idle_state() == IdleState::Idle;
            if sound {
                return Some(connection.stream);
            }
        }
        None
    }

    /// Keeps a connection whose last response was whole and had this head, if it may be used again.
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
        if connections.len() >= MAX_IDLE {
            connections.remove(0);
        }
        let kept = head.keep_alive_timeout();
        let kept = kept.map_or(DEFAULT_IDLE, |timeout| timeout.mul_f64(USED_PART));
        connections.push(IdleConnection { stream, address, until: now + kept });
    }

    /// Whether there is an idle connection to `server`; it may turn out to be closed.
    pub fn has_idle(&self, now: Instant, server: &ServerId) -> bool {
        let idle = self.idle.borrow();
        let newest = idle.get(server).and_then(|connections| connections.last());
        newest.is_some_and(|connection| now < connection.until)
    }

    /// Idle connections to all servers.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Closes the connections to servers that are not kept, and those that are too old.
    pub fn retain(&self, keep: impl Fn(&ServerId) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|server, connections| {
            connections.retain(|connection| now < connection.until);
            keep(server) && !connections.is_empty()
        });
    }
}
