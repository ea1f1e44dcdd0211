//! Listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{Domain, Protocol, SockFilter, SockRef, Socket, Type};

/// Maximum number of connections that wait to be accepted.
///
/// Callers that resume queued work open many connections at once. With the standard library's backlog
/// of 128, the operating system drops some attempts, and TCP repeats them only after a second.
pub const ACCEPT_BACKLOG: i32 = 4096;

/// Time for which a closing listener still accepts after [`stop_handshakes`], so that handshakes that have
/// begun are completed: three round trips to a caller.
pub const HANDSHAKE_TIME: Duration = Duration::from_millis(50);

/// Offset of the flags in a TCP header.
const TCP_FLAGS_OFFSET: u32 = 13;
const TCP_SYN: u32 = 0x02;
const TCP_ACK: u32 = 0x10;

/// Binds a listening socket to `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // A restarted process must be able to bind its port while old connections are in TIME_WAIT.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}

/// Makes the kernel drop requests for new connections, because it resets those that are in the queue of a
/// listener when it is closed. Callers repeat the request after a second, and the closed port refuses it.
pub fn stop_handshakes(listener: &impl AsFd) -> io::Result<()> {
    // The values are those of the classic BPF instruction set; offsets count from the TCP header.
    let (load_byte, and, jump_if_equal, return_length) = (0x30, 0x54, 0x15, 0x06);
    let program = [
        SockFilter::new(load_byte, 0, 0, TCP_FLAGS_OFFSET),
        SockFilter::new(and, 0, 0, TCP_SYN | TCP_ACK),
        SockFilter::new(jump_if_equal, 0, 1, TCP_SYN),
        SockFilter::new(return_length, 0, 0, 0),
        SockFilter::new(return_length, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&program)
}
