//! Caller connections, server connections and the connection pool, over loopback sockets.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{self, block_on};
use curranthollow::http::{
    CallerConnection, CheckoutError, ConnectionPool, HttpError, HttpLimits, PoolCounts,
    RequestBody, RequestHead, ResponseHead, ServerConnection,
};
use futures_util::FutureExt;

/// Timeout that only a failing test reaches.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits with short timeouts, for tests that wait for a timeout.
fn short_limits() -> HttpLimits {
    let timeout = Duration::from_millis(30);
    HttpLimits {
        head_timeout: timeout,
        idle_timeout: timeout,
        stall_timeout: timeout,
        ..Default::default()
    }
}

/// Opens a connection and returns its accepted end and the caller's end.
async fn accept_connection(limits: HttpLimits) -> (CallerConnection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    caller.set_nodelay(true).unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    (CallerConnection::new(stream, limits).unwrap(), caller)
}

async fn read_all(stream: &mut TcpStream) -> String {
    let mut content = Vec::new();
    stream.read_to_end(&mut content).await.unwrap();
    String::from_utf8(content).unwrap()
}

/// Reads requests until the connection ends or fails, and describes them.
async fn describe_requests(connection: &mut CallerConnection) -> String {
    let mut descriptions = Vec::new();
    loop {
        let head = match connection.next_head().await {
            Ok(Some(head)) => head,
            Ok(None) => break descriptions.push("end".to_owned()),
            Err(error) => break descriptions.push(error.to_string()),
        };
        let mut body = RequestBody::new(&head);
        match connection.read_whole_body(&mut body, 100).await {
            Ok(content) => descriptions.push(format!("{} {}", head.target, content.escape_ascii())),
            Err(error) => break descriptions.push(format!("{} {error}", head.target)),
        }
    }
    descriptions.join(" | ")
}

/// Guards against requests that are merged, lost or accepted although they are incomplete.
#[yare::parameterized(
    pipelined = { "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nabGET /3 HTTP/1.1\r\nHost: a\r\n\r\n", "/1  | /2 ab | /3  | end" },
    leading_empty_line = { "\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", "/1  | /2  | end" },
    many_empty_lines = { "\r\n\r\n\r\n\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n", "malformed head: incomplete head" },
    chunked = { "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", "/1 ab | /2  | end" },
    short_body = { "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", "/1 connection closed before the message was complete" },
    short_chunks = { "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "/1 connection closed before the message was complete" },
    short_head = { "GET /1 HTTP/1.1\r\nHost: a\r\n", "connection closed before the message was complete" },
    large_body = { "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", "/1 body exceeds 100 bytes" },
    large_chunk = { "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", "/1 body exceeds 100 bytes" },
    bare_lf = { "GET /1 HTTP/1.1\r\nHost: a\nB: c\r\n\r\n", "malformed head: line ends without CR" },
    cr_inside = { "GET /1 HTTP/1.1\r\nHost: a\rB: c\r\n\r\n", "malformed head: CR inside a line" },
    nothing = { "", "end" },
)]
fn request_boundaries_are_respected(input: &str, expected: &str) {
    for piece_size in [input.len().max(1), 1] {
        let description = block_on(async {
            let (mut connection, mut caller) = accept_connection(HttpLimits::default()).await;
            let pieces: Vec<Vec<u8>> = input.as_bytes().chunks(piece_size).map(Vec::from).collect();
            let sending = task::spawn(async move {
                for piece in pieces {
                    // The connection may have been closed already because of an invalid request.
                    if caller.write_all(&piece).await.is_err() {
                        break;
                    }
                    task::yield_now().await;
                }
                let _ = caller.shutdown(Shutdown::Write);
                caller
            });
            let description = describe_requests(&mut connection).await;
            sending.await;
            description
        });
        assert_eq!(description, expected, "pieces of {piece_size}");
    }
}

/// Guards against a caller that occupies a connection by sending a head slowly.
#[test]
fn slow_head_times_out() {
    block_on(async {
        let (mut connection, mut caller) = accept_connection(short_limits()).await;
        let slow_sender = task::spawn(async move {
            while caller.write_all(b"G").await.is_ok() {
                task::sleep(Duration::from_millis(1)).await;
            }
        });
        let error = connection.next_head().await.expect_err("the head never ends");
        assert_eq!(error.response_status(), Some(408), "{error}");
        drop(connection);
        slow_sender.await;
    });
}

/// Guards against a caller that occupies a connection without sending a request or its body.
#[test]
fn idle_and_stalled_requests_time_out() {
    block_on(async {
        let (mut connection, mut caller) = accept_connection(short_limits()).await;
        assert!(connection.next_head().await.unwrap().is_none());
        caller.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n").await.unwrap();
        let head = connection.next_head().await.unwrap().unwrap();
        let error = connection.read_body(&mut RequestBody::new(&head)).await.unwrap_err();
        assert!(matches!(error, HttpError::Timeout(_)), "{error}");
    });
}

/// Guards against a missing `100 Continue` and against one that the caller did not request.
#[yare::parameterized(
    http_11 = { "HTTP/1.1", "Expect: 100-Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
    http_10 = { "HTTP/1.0", "Expect: 100-continue\r\n", "" },
    not_asked = { "HTTP/1.1", "", "" },
)]
fn continue_is_sent_on_request(version: &str, field: &str, expected: &str) {
    block_on(async {
        let (mut connection, mut caller) = accept_connection(HttpLimits::default()).await;
        let head = format!("POST / {version}\r\nHost: a\r\n{field}Content-Length: 2\r\n\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        let head = connection.next_head().await.unwrap().unwrap();
        let mut body = RequestBody::new(&head);
        // Starts to read the body before the caller sends it.
        assert!(connection.read_body(&mut body).now_or_never().is_none());
        let mut interim = vec![0; expected.len()];
        caller.read_exact(&mut interim).await.unwrap();
        assert_eq!(interim, expected.as_bytes());
        caller.write_all(b"ab").await.unwrap();
        assert_eq!(connection.read_body(&mut body).await.unwrap(), Some(b"ab".to_vec()));
        connection.respond(&head, ResponseHead::new(200), b"x").await.unwrap();
        drop(connection);
        assert_eq!(read_all(&mut caller).await, "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx");
    });
}

/// Guards against spurious body bytes after a pending read was dropped, as happens when a deadline
/// expires or a second attempt starts.
#[test]
fn dropped_read_leaves_no_spurious_bytes() {
    block_on(async {
        let (mut connection, mut caller) = accept_connection(HttpLimits::default()).await;
        caller.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n").await.unwrap();
        let head = connection.next_head().await.unwrap().unwrap();
        let mut body = RequestBody::new(&head);
        for _ in 0..3 {
            assert!(connection.read_body(&mut body).now_or_never().is_none());
        }
        caller.write_all(b"hello").await.unwrap();
        let content = connection.read_whole_body(&mut body, 100).await.unwrap();
        assert_eq!(content, b"hello");
    });
}

/// Guards against sending a `Content-Length` or a body that the status or the method does not
/// allow.
#[yare::parameterized(
    get = { "GET", 200, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody" },
    head = { "HEAD", 200, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n" },
    no_content = { "GET", 204, "HTTP/1.1 204 No Content\r\n\r\n" },
    not_modified = { "GET", 304, "HTTP/1.1 304 \r\n\r\n" },
)]
fn content_length_matches_the_body(method: &str, status: u16, expected: &str) {
    block_on(async {
        let (mut connection, mut caller) = accept_connection(HttpLimits::default()).await;
        let raw = format!("{method} / HTTP/1.1\r\nHost: a\r\n\r\n");
        let (head, _) =
            RequestHead::parse(raw.as_bytes(), &HttpLimits::default()).unwrap().unwrap();
        connection.respond(&head, ResponseHead::new(status), b"body").await.unwrap();
        drop(connection);
        assert_eq!(read_all(&mut caller).await, expected);
    });
}

/// Guards against missing the close of a caller's connection and against reporting one that is
/// open.
#[test]
fn closed_caller_is_detected() {
    block_on(async {
        let (connection, caller) = accept_connection(HttpLimits::default()).await;
        assert!(connection.closed().now_or_never().is_none());
        drop(caller);
        connection.closed().await;
    });
}

/// Starts a server that answers each request head with `response`, and closes the connection
/// afterwards if `closes_after_response` is set.
async fn start_server(
    response: &'static [u8],
    closes_after_response: bool,
) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            task::spawn(async move {
                let mut head = Vec::new();
                let mut byte = [0];
                while stream.read_exact(&mut byte).await.is_ok() {
                    head.push(byte[0]);
                    if !head.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    head.clear();
                    let _ = stream.write_all(response).await;
                    if closes_after_response {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request and reads the whole response.
async fn send_request(
    connection: &mut ServerConnection,
    method: &str,
) -> Result<(String, curranthollow::http::ResponseBody), HttpError> {
    let head = format!("{method} / HTTP/1.1\r\nHost: a\r\n\r\n");
    connection.write(head.as_bytes()).await?;
    let (head, mut body) = connection.read_head(method).await?;
    let mut content = Vec::new();
    while let Some(data) = connection.read_body(&mut body).await? {
        content.extend_from_slice(&data);
    }
    Ok((format!("{} {}", head.status, content.escape_ascii()), body))
}

/// Guards against accepting a partial response as complete, and against reusing a connection on
/// which bytes of another response may follow.
#[yare::parameterized(
    whole = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "200 hello", true },
    chunked = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "200 hello", true },
    connection_close = { "GET", b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "200 hello", false },
    http_10 = { "GET", b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", "200 hello", false },
    truncated = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhell", "connection closed before the message was complete", false },
    truncated_head = { "GET", b"HTTP/1.1 200 OK\r\nContent-", "connection closed before the message was complete", false },
    no_response = { "GET", b"", "connection closed before the message was complete", false },
    over_long = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello!", "200 hello", false },
    second_response = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", "200 a", false },
    without_length = { "GET", b"HTTP/1.1 200 OK\r\n\r\nhello", "response end is only marked by connection close", false },
    two_lengths = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", "invalid body framing: repeated Content-Length", false },
    no_last_chunk = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "connection closed before the message was complete", false },
    half_last_chunk = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", "connection closed before the message was complete", false },
    bytes_after_chunks = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nb", "200 a", false },
    early_hints = { "GET", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "200 a", true },
    only_interim = { "GET", b"HTTP/1.1 100 Continue\r\n\r\n", "connection closed before the message was complete", false },
    switch = { "GET", b"HTTP/1.1 101 Switching Protocols\r\n\r\n", "invalid body framing: server switched protocols unasked", false },
    status_000 = { "GET", b"HTTP/1.1 000 Odd\r\nContent-Length: 1\r\n\r\na", "malformed head: status below 100", false },
    status_000_after_interim = { "GET", b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\nContent-Length: 1\r\n\r\na", "malformed head: status below 100", false },
    status_600 = { "GET", b"HTTP/1.1 600 Odd\r\nContent-Length: 1\r\n\r\na", "malformed head: status above 599", false },
    status_000_trailing = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 000 Odd\r\nContent-Length: 1\r\n\r\nb", "200 a", false },
    no_content_with_length = { "GET", b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "204 ", true },
    no_content_with_body = { "GET", b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", "204 ", false },
    not_modified = { "GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "304 ", true },
    head = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "200 ", true },
    head_with_body = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "200 ", false },
    not_http = { "GET", b"SSH-2.0-x\r\n\r\n", "HTTP version not supported", false },
)]
fn only_complete_responses_allow_reuse(
    method: &str,
    response: &'static [u8],
    expected: &str,
    reused: bool,
) {
    block_on(async {
        // If the server kept the connection open, a truncated response would only show as a
        // timeout.
        let address = start_server(response, !reused).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, TEST_TIMEOUT).await.unwrap();
        let description = match send_request(&mut connection, method).await {
            Ok((text, body)) => {
                connection.release(&body);
                text
            }
            Err(error) => {
                drop(connection);
                error.to_string()
            }
        };
        assert_eq!(description, expected);
        let reusable_count = usize::from(reused);
        assert_eq!(pool.counts(address), PoolCounts { open: reusable_count, idle: reusable_count });
        let mut next = pool.checkout(address, 1, TEST_TIMEOUT).await.unwrap();
        assert_eq!(next.is_reused(), reused);
        if reused {
            assert_eq!(send_request(&mut next, method).await.unwrap().0, expected);
        }
    });
}

/// Guards against an unlimited number of interim responses.
#[test]
fn interim_responses_are_bounded() {
    block_on(async {
        let response = Box::leak("HTTP/1.1 100 Continue\r\n\r\n".repeat(17).into_boxed_str());
        let address = start_server(response.as_bytes(), false).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, TEST_TIMEOUT).await.unwrap();
        let error = send_request(&mut connection, "GET").await.map(|found| found.0).unwrap_err();
        assert!(matches!(error, HttpError::UnexpectedBytes), "{error}");
    });
}

/// Guards against reusing a connection that the server has closed, or on which it has sent bytes
/// that would be read as the next response.
#[yare::parameterized(closed = { b"" }, late_bytes = { b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })]
fn unusable_idle_connection_is_not_reused(late_bytes: &[u8]) {
    let late_bytes = late_bytes.to_vec();
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, TEST_TIMEOUT).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab").await.unwrap();
        let (_, body) = send_request(&mut connection, "GET").await.unwrap();
        let client_socket = connection.writer();
        connection.release(&body);
        assert_eq!(pool.counts(address).idle, 1);
        server.write_all(&late_bytes).await.unwrap();
        server.shutdown(Shutdown::Write).unwrap();
        client_socket.peek(&mut [0]).await.unwrap();
        let next = pool.checkout(address, 1, TEST_TIMEOUT).await.unwrap();
        assert!(!next.is_reused());
        assert_eq!(pool.counts(address), PoolCounts { open: 1, idle: 0 });
    });
}

/// Guards against exceeding the connection limit of a server, and against closed connections that
/// still count towards it.
#[test]
fn pool_enforces_the_connection_limit() {
    block_on(async {
        let address = start_server(b"", false).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let first = pool.checkout(address, 2, TEST_TIMEOUT).await.unwrap();
        let second = pool.checkout(address, 2, TEST_TIMEOUT).await.unwrap();
        let third = pool.checkout(address, 2, TEST_TIMEOUT).await;
        assert!(matches!(third, Err(CheckoutError::LimitReached)));
        drop(first);
        let third = pool.checkout(address, 2, TEST_TIMEOUT).await.unwrap();
        drop((second, third));
        assert_eq!(pool.counts(address), PoolCounts::default());
        pool.warm(address, 5, 3, TEST_TIMEOUT).await;
        assert_eq!(pool.counts(address), PoolCounts { open: 3, idle: 3 });
        pool.close_idle(address);
        assert_eq!(pool.counts(address), PoolCounts::default());
    });
}

/// Guards against a failed connection attempt that still counts towards the limit.
#[test]
fn failed_connect_does_not_count_towards_the_limit() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let pool = ConnectionPool::new(HttpLimits::default());
        let result = pool.checkout(address, 1, TEST_TIMEOUT).await;
        assert!(matches!(result, Err(CheckoutError::Connect(_))));
        assert_eq!(pool.counts(address), PoolCounts::default());
    });
}
