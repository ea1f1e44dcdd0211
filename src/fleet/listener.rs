//! Listening sockets of a fleet process.

use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::log_warn;

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Failure to listen on an address.
#[derive(Debug, Error)]
#[error("cannot listen on {address}: {error}")]
pub struct ListenError {
    pub address: SocketAddr,
    pub error: std::io::Error,
}

pub async fn listen(address: SocketAddr) -> Result<TcpListener, ListenError> {
    TcpListener::bind(address).await.map_err(|error| ListenError { address, error })
}

/// Passes each accepted connection to `serve` until the process exits; `name` identifies the listener
/// in logs.
pub async fn accept_each(listener: &TcpListener, name: &str, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log_warn!("accept_failed", "listener={name} error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
