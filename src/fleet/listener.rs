//! Listening sockets of a fleet process.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::listen::{HANDSHAKE_TIME, stop_handshakes};
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

/// Passes accepted connections to `serve` until `closing` completes, then closes the listener.
///
/// The kernel completes handshakes without the process, and closing a listener resets the connections in
/// its queue, some with a whole request. Therefore no handshake begins during the close, and all
/// connections whose handshake has ended are passed on.
pub async fn accept_until(
    closing: impl Future<Output = ()>,
    listener: TcpListener,
    name: &str,
    mut serve: impl FnMut(TcpStream),
) {
    tokio::select! {
        () = closing => {}
        () = accept_each(&listener, name, &mut serve) => {}
    }
    if let Err(error) = stop_handshakes(&listener) {
        log_warn!("handshakes_not_stopped", "listener={name} error=\"{error}\"");
    }
    let _ = timeout(HANDSHAKE_TIME, accept_each(&listener, name, &mut serve)).await;
    if let Err(error) = accept_queued(listener, serve) {
        log_warn!("accept_failed", "listener={name} error=\"{error}\"");
    }
}

/// Passes all connections in the queue of the kernel to `serve`. The runtime accepts only those whose
/// arrival it has noticed, and a limited number at a time; this asks the kernel itself.
fn accept_queued(listener: TcpListener, mut serve: impl FnMut(TcpStream)) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => continue,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
            Err(error) => return Err(error),
        };
        stream.set_nonblocking(true)?;
        serve(TcpStream::from_std(stream)?);
    }
}
