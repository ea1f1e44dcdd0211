//! Servers that answer at once and tell a load.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a server; it ends with the process.
pub(crate) fn start() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut bytes = [0; 4096];
    // The requests have no bodies and come one by one, so one read holds one of them.
    while let Ok(count) = stream.read(&mut bytes) {
        if count == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&bytes[..count]);
        let measures = head.starts_with("GET /health");
        let named = if measures { "" } else { "x-request-id: r\r\nx-server-signature: s\r\n" };
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{named}x-server-load: 0,0,64,100\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
