//! Servers that respond immediately and report a constant load.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a server that runs until the process exits.
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
    let mut request = [0; 4096];
    // Requests have no bodies and are not pipelined, so each read returns one request.
    while let Ok(count) = stream.read(&mut request) {
        if count == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&request[..count]);
        let is_health_check = head.starts_with("GET /health");
        let identity_headers =
            if is_health_check { "" } else { "x-request-id: r\r\nx-server-signature: s\r\n" };
        let response = format!(
            "HTTP/1.1 200 OK\r\n{identity_headers}x-server-load: 0,0,64,100\r\ncontent-length: 2\r\n\r\nok"
        );
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}
