//! Listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Maximum number of connections that wait to be accepted.
///
/// Callers that resume queued work open many connections at once. With the standard library's backlog
/// of 128, the operating system drops some attempts, and TCP repeats them only after a second.
pub const ACCEPT_BACKLOG: i32 = 4096;

/// Binds a listening socket to `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process must be able to bind its port while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
