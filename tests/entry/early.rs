//! Responses that arrive before the request body is sent, and callers that disconnect early.

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task;
use curranthollow::stand_in::StandInMode;
use yare::parameterized;

use super::harness::{TEST_TIMEOUT, TestEntry, ample_limits, read_all, stand_in, wait_until};

/// Larger than the limit for bodies buffered for a retry, so that the body is streamed.
const BODY_BYTES: usize = 100 * 1024;

const SERVICE: &str = r#""classes": [{ "name": "put", "methods": ["PUT"], "idempotent": true }]"#;

/// Builds the head and the first part of the body of an upload.
fn upload_request(framing: &str) -> Vec<u8> {
    let mut request = match framing {
        "chunked" => {
            b"PUT /blue HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec()
        }
        _ => b"PUT /blue HTTP/1.1\r\nHost: x\r\nContent-Length: 204800\r\n\r\n".to_vec(),
    };
    if framing == "chunked" {
        request.extend_from_slice(format!("{BODY_BYTES:x}\r\n").as_bytes());
    }
    request.resize(request.len() + BODY_BYTES, b'x');
    if framing == "chunked" {
        request.extend_from_slice(b"\r\n");
    }
    request
}

/// Reads until the received bytes end with `end`.
async fn read_until(stream: &mut TcpStream, end: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(end) {
        let mut piece = [0; 16 * 1024];
        let read = async_std::future::timeout(TEST_TIMEOUT, stream.read(&mut piece)).await;
        let count = read.expect("bytes arrive in time").expect("the connection is not reset");
        assert!(count > 0, "closed after {:?}", String::from_utf8_lossy(&bytes));
        bytes.extend_from_slice(&piece[..count]);
    }
    bytes
}

/// Guards against reuse of a connection on which part of a request body is still to come: the
/// server would read the next request as the rest of the body, and so would the entry on the
/// caller's connection.
#[parameterized(
    length = { "length" },
    chunked = { "chunked" },
)]
fn early_response_closes_both_connections(framing: &str) {
    let request = upload_request(framing);
    task::block_on(async move {
        let entry = TestEntry::start(&[("blue", SERVICE)], ample_limits()).await;
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let server_address = server.local_addr().expect("it is bound");
        entry.add_server("blue", "s1", server_address, 1);
        let mut caller = TcpStream::connect(entry.address).await.expect("the entry listens");
        caller.write_all(&request).await.expect("the entry reads");
        let (mut connection, _) = server.accept().await.expect("the entry connects");
        read_until(&mut connection, b"x").await;
        let early = b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 2\r\n\r\nno";
        connection.write_all(early).await.expect("the entry reads");
        let response = read_all(&mut caller).await.to_lowercase();
        assert!(response.starts_with("http/1.1 413 "), "{response}");
        assert!(response.contains("\r\nconnection: close\r\n"), "{response}");
        assert!(response.ends_with("\r\n\r\nno"), "{response}");
        let mut unread = Vec::new();
        let rest = async_std::future::timeout(TEST_TIMEOUT, connection.read_to_end(&mut unread));
        // Either end of stream or a reset is fine; only an open connection would be wrong.
        let _ = rest.await.expect("the server's connection is closed");
        let pool = &entry.context.pool;
        wait_until("the end of the connection", || pool.counts(server_address).open == 0).await;
        assert_eq!(entry.runtime("blue").occupied_slots(), 0);
    });
}

/// Guards against closing connections although the body was sent completely, and against losing
/// bytes while the entry checks for an early response.
#[parameterized(
    streamed = { BODY_BYTES, true },
    buffered = { 60 * 1024, false },
    small = { 100, false },
)]
fn complete_upload_keeps_both_connections(size: usize, is_chunked: bool) {
    task::block_on(async move {
        let entry = TestEntry::start(&[("blue", SERVICE)], ample_limits()).await;
        let server = stand_in().await;
        entry.add_server("blue", "s1", server.address(), 1);
        let mut caller = TcpStream::connect(entry.address).await.expect("the entry listens");
        for _ in 0..3 {
            let mut request = upload_request("chunked");
            request.extend_from_slice(b"0\r\n\r\n");
            if !is_chunked {
                let head =
                    format!("PUT /blue HTTP/1.1\r\nHost: x\r\nContent-Length: {size}\r\n\r\n");
                request = head.into_bytes();
                request.resize(request.len() + size, b'x');
            }
            caller.write_all(&request).await.expect("the entry reads");
            let response = read_until(&mut caller, b"}").await;
            let response = String::from_utf8_lossy(&response).to_lowercase();
            assert!(response.starts_with("http/1.1 200 "), "{response}");
            assert!(response.contains(&format!("x-body-length: {size}\r\n")), "{response}");
            assert!(!response.contains("connection: close"), "{response}");
        }
        assert_eq!(entry.context.pool.counts(server.address()).open, 1);
    });
}

/// Guards against slots that stay occupied by disconnected callers. A caller that closes its
/// sending side counts as disconnected, because it cannot be distinguished from one that closed
/// completely.
#[test]
fn half_closed_caller_counts_as_disconnected() {
    task::block_on(async {
        let entry = TestEntry::start(&[("blue", SERVICE)], ample_limits()).await;
        let server = stand_in().await;
        server.set_mode(StandInMode::Stall);
        entry.add_server("blue", "s1", server.address(), 1);
        let mut caller = TcpStream::connect(entry.address).await.expect("the entry listens");
        caller.write_all(b"GET /blue HTTP/1.1\r\nHost: x\r\n\r\n").await.expect("the entry reads");
        wait_until("the start of the run", || server.slots().running == 1).await;
        caller.shutdown(Shutdown::Write).expect("the connection is open");
        assert_eq!(read_all(&mut caller).await, "");
        wait_until("the end of the run", || server.slots().running == 0).await;
        wait_until("the return of the slot", || entry.runtime("blue").occupied_slots() == 0).await;
    });
}
