//! Listening sockets of a fleet process.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::log_warn;

/// Pause after a failed accept, for instance without free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Gives each accepted connection to `serve` for as long as the process runs; `name` is for logs.
pub async fn accept_each(listener: TcpListener, name: &str, mut serve: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                log_warn!("accept_failed", "listener={name} error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
