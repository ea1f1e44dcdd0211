//! Keep-alive connections to servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use thiserror::Error;

use super::stream::limited;
use super::{HttpError, HttpLimits, ServerConnection};

/// Age at which an idle connection is closed instead of used.
///
/// Servers commonly close idle connections after 60 s or more; using one shortly before that races
/// with the close.
const IDLE_AGE: Duration = Duration::from_secs(30);

/// Connections of one process to all servers, with a limit for each server.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<SharedPool>,
}

#[derive(Debug)]
struct SharedPool {
    limits: HttpLimits,
    servers: Mutex<BTreeMap<SocketAddr, ServerSlot>>,
}

#[derive(Debug, Default)]
struct ServerSlot {
    open: usize,
    idle: Vec<(Instant, ServerConnection)>,
}

/// Share of a server's connection limit held by one connection; released on drop.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    pool: std::sync::Weak<SharedPool>,
    address: SocketAddr,
}

/// Number of connections to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// All connections.
    pub open: usize,
    /// Connections that wait for a request.
    pub idle: usize,
}

/// Why no connection could be had. No byte of a request was offered to the server.
#[derive(Debug, Error)]
pub enum CheckoutError {
    /// All connections that the limit allows are in use.
    #[error("connection limit of the server is reached")]
    LimitReached,
    /// The server left between the choice and the connection.
    #[error("server has left")]
    ServerGone,
    /// The connection could not be made.
    #[error("connect failed: {0}")]
    Connect(HttpError),
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(limits: HttpLimits) -> Self {
        Self { shared: Arc::new(SharedPool { limits, servers: Mutex::default() }) }
    }

    /// Returns an idle connection or makes a new one, at most `limit` to this server.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        limit: usize,
        connect_timeout: Duration,
    ) -> Result<ServerConnection, CheckoutError> {
        while let Some(connection) = self.shared.take_idle(address) {
            if connection.is_quiet().await {
                return Ok(connection);
            }
        }
        let permit = self.shared.reserve(address, limit).ok_or(CheckoutError::LimitReached)?;
        let connecting = TcpStream::connect(address);
        let stream = match limited(connect_timeout, "connecting", connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CheckoutError::Connect(error.into())),
            Err(error) => return Err(CheckoutError::Connect(error)),
        };
        let limits = self.shared.limits.clone();
        ServerConnection::new(stream, address, limits, permit).map_err(CheckoutError::Connect)
    }

    /// Makes connections ahead of demand until `target` are open, within `limit`.
    pub async fn warm(
        &self,
        address: SocketAddr,
        target: usize,
        limit: usize,
        connect_timeout: Duration,
    ) {
        while self.counts(address).open < target.min(limit) {
            let Some(permit) = self.shared.reserve(address, limit) else {
                return;
            };
            let connecting = TcpStream::connect(address);
            let Ok(Ok(stream)) = limited(connect_timeout, "connecting", connecting).await else {
                return;
            };
            let limits = self.shared.limits.clone();
            let Ok(connection) = ServerConnection::new(stream, address, limits, permit) else {
                return;
            };
            self.shared.put_idle(connection);
        }
    }

    /// Closes the idle connections to a server that is no longer in use.
    pub fn forget(&self, address: SocketAddr) {
        let idle = match self.shared.lock().get_mut(&address) {
            Some(slot) => std::mem::take(&mut slot.idle),
            None => return,
        };
        // Dropped outside the lock, because the permits lock it again.
        drop(idle);
    }

    /// Closes idle connections that have reached their maximum age.
    pub fn close_expired(&self, now: Instant) {
        let mut expired = Vec::new();
        for slot in self.shared.lock().values_mut() {
            let fresh = slot.idle.partition_point(|(since, _)| now - *since >= IDLE_AGE);
            expired.extend(slot.idle.drain(..fresh));
        }
        drop(expired);
    }

    /// Returns the number of connections to `address`.
    pub fn counts(&self, address: SocketAddr) -> PoolCounts {
        match self.shared.lock().get(&address) {
            Some(slot) => PoolCounts { open: slot.open, idle: slot.idle.len() },
            None => PoolCounts::default(),
        }
    }
}

impl SharedPool {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ServerSlot>> {
        self.servers.lock().expect("no holder of the pool lock panics")
    }

    /// Takes the connection that was used last; it is the least likely to be closed by the server.
    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        let (since, connection) = self.lock().get_mut(&address)?.idle.pop()?;
        if since.elapsed() < IDLE_AGE { Some(connection) } else { None }
    }

    fn put_idle(&self, connection: ServerConnection) {
        let mut servers = self.lock();
        let slot = servers.entry(connection.address()).or_default();
        slot.idle.push((Instant::now(), connection));
    }

    fn reserve(self: &Arc<Self>, address: SocketAddr, limit: usize) -> Option<ConnectionPermit> {
        let mut servers = self.lock();
        let slot = servers.entry(address).or_default();
        if slot.open >= limit {
            return None;
        }
        slot.open += 1;
        Some(ConnectionPermit { pool: Arc::downgrade(self), address })
    }
}

impl ConnectionPermit {
    pub(super) fn pool(&self) -> IdleReturn {
        IdleReturn { pool: self.pool.upgrade() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        let mut servers = pool.lock();
        let Some(slot) = servers.get_mut(&self.address) else {
            return;
        };
        slot.open -= 1;
        if slot.open == 0 && slot.idle.is_empty() {
            servers.remove(&self.address);
        }
    }
}

/// Path back into the pool for a connection whose request is complete.
pub(super) struct IdleReturn {
    pool: Option<Arc<SharedPool>>,
}

impl IdleReturn {
    /// Puts the connection back, or closes it when the pool is gone.
    pub(super) fn put_idle(&self, connection: ServerConnection) {
        if let Some(pool) = &self.pool {
            pool.put_idle(connection);
        }
    }
}
