//! Pool of keep-alive connections to servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use thiserror::Error;

use super::stream::with_http_timeout;
use super::{HttpError, HttpLimits, ServerConnection};

/// Idle time after which a connection is closed instead of reused.
///
/// Servers commonly close idle connections after 60 s or more. A request sent shortly before that
/// would race with the close.
const MAX_IDLE_AGE: Duration = Duration::from_secs(30);

/// Connections to all servers, with a limit for each server. Clones share the same pool.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<SharedPool>,
}

#[derive(Debug)]
struct SharedPool {
    limits: HttpLimits,
    servers: Mutex<BTreeMap<SocketAddr, ServerPool>>,
}

#[derive(Debug, Default)]
struct ServerPool {
    open: usize,
    idle: Vec<(Instant, ServerConnection)>,
}

/// Counts one connection towards the limit of its server until it is dropped.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    pool: std::sync::Weak<SharedPool>,
    address: SocketAddr,
}

/// Number of connections to one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// All connections, idle and in use.
    pub open: usize,
    /// Connections that wait in the pool for a request.
    pub idle: usize,
}

/// Why the pool returned no connection; no byte of a request was sent to the server.
#[derive(Debug, Error)]
pub enum CheckoutError {
    /// The limit is reached and none of the connections is idle.
    #[error("connection limit of the server is reached")]
    LimitReached,
    /// The server was removed after it had been selected for the request.
    #[error("server has left")]
    ServerRemoved,
    /// The connection could not be established.
    #[error("connect failed: {0}")]
    Connect(HttpError),
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(limits: HttpLimits) -> Self {
        Self { shared: Arc::new(SharedPool { limits, servers: Mutex::default() }) }
    }

    /// Returns an idle connection or opens a new one, with at most `limit` connections to this
    /// server.
    pub async fn checkout(
        &self,
        address: SocketAddr,
        limit: usize,
        connect_timeout: Duration,
    ) -> Result<ServerConnection, CheckoutError> {
        while let Some(connection) = self.shared.take_idle(address) {
            if connection.is_reusable().await {
                return Ok(connection);
            }
        }
        let permit = self.shared.reserve(address, limit).ok_or(CheckoutError::LimitReached)?;
        let connecting = TcpStream::connect(address);
        let stream = match with_http_timeout(connect_timeout, "connecting", connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(CheckoutError::Connect(error.into())),
            Err(error) => return Err(CheckoutError::Connect(error)),
        };
        let limits = self.shared.limits.clone();
        ServerConnection::new(stream, address, limits, permit).map_err(CheckoutError::Connect)
    }

    /// Opens connections ahead of demand until `target` are open or `limit` is reached; stops at
    /// the first failure.
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
            let Ok(Ok(stream)) = with_http_timeout(connect_timeout, "connecting", connecting).await
            else {
                return;
            };
            let limits = self.shared.limits.clone();
            let Ok(connection) = ServerConnection::new(stream, address, limits, permit) else {
                return;
            };
            self.shared.put_idle(connection);
        }
    }

    /// Closes the idle connections to `address`, for a server that is no longer in use.
    pub fn close_idle(&self, address: SocketAddr) {
        let idle = match self.shared.lock().get_mut(&address) {
            Some(server_pool) => std::mem::take(&mut server_pool.idle),
            None => return,
        };
        // Dropped after the lock is released, because dropping a permit takes the lock again.
        drop(idle);
    }

    /// Closes connections that have been idle for [`MAX_IDLE_AGE`].
    pub fn close_expired(&self, now: Instant) {
        let mut expired = Vec::new();
        for server_pool in self.shared.lock().values_mut() {
            let expired_count = server_pool
                .idle
                .partition_point(|(idle_since, _)| now - *idle_since >= MAX_IDLE_AGE);
            expired.extend(server_pool.idle.drain(..expired_count));
        }
        drop(expired);
    }

    /// Returns the numbers of connections to `address`.
    pub fn counts(&self, address: SocketAddr) -> PoolCounts {
        match self.shared.lock().get(&address) {
            Some(server_pool) => {
                PoolCounts { open: server_pool.open, idle: server_pool.idle.len() }
            }
            None => PoolCounts::default(),
        }
    }
}

impl SharedPool {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, ServerPool>> {
        self.servers.lock().expect("no holder of the pool lock panics")
    }

    /// Takes the most recently used connection, which the server is least likely to have closed.
    fn take_idle(&self, address: SocketAddr) -> Option<ServerConnection> {
        let (idle_since, connection) = self.lock().get_mut(&address)?.idle.pop()?;
        if idle_since.elapsed() < MAX_IDLE_AGE { Some(connection) } else { None }
    }

    fn put_idle(&self, connection: ServerConnection) {
        let mut servers = self.lock();
        let server_pool = servers.entry(connection.address()).or_default();
        server_pool.idle.push((Instant::now(), connection));
    }

    /// Counts a new connection to `address`; `None` when the limit is reached.
    fn reserve(self: &Arc<Self>, address: SocketAddr, limit: usize) -> Option<ConnectionPermit> {
        let mut servers = self.lock();
        let server_pool = servers.entry(address).or_default();
        if server_pool.open >= limit {
            return None;
        }
        server_pool.open += 1;
        Some(ConnectionPermit { pool: Arc::downgrade(self), address })
    }
}

impl ConnectionPermit {
    pub(super) fn pool_handle(&self) -> PoolHandle {
        PoolHandle { pool: self.pool.upgrade() }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let Some(pool) = self.pool.upgrade() else {
            return;
        };
        let mut servers = pool.lock();
        let Some(server_pool) = servers.get_mut(&self.address) else {
            return;
        };
        server_pool.open -= 1;
        if server_pool.open == 0 && server_pool.idle.is_empty() {
            servers.remove(&self.address);
        }
    }
}

/// Handle to the pool of a connection, to which it returns when its request is complete.
pub(super) struct PoolHandle {
    pool: Option<Arc<SharedPool>>,
}

impl PoolHandle {
    /// Returns the connection to the pool, or closes it when the pool no longer exists.
    pub(super) fn put_idle(&self, connection: ServerConnection) {
        if let Some(pool) = &self.pool {
            pool.put_idle(connection);
        }
    }
}
