//! Listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Protocol, Socket, Type};

/// Connections that wait to be accepted. Callers release held-back work all at once, and beyond the
/// standard library's 128 the system drops connection attempts, which repeat only after a second.
const BACKLOG: i32 = 4096;

/// Binds a listener.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process must get its port although old connections are still closing.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}
