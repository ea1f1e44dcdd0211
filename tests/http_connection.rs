//! Connections from callers and to servers, over loopback sockets.

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{self, block_on};
use curranthollow::http::{
    CallerConnection, CheckoutError, ConnectionPool, HttpError, HttpLimits, PoolCounts,
    RequestBody, RequestHead, ResponseHead, ServerConnection,
};
use futures_util::FutureExt;

/// Long enough that only a fault reaches it.
const LIMIT: Duration = Duration::from_secs(10);

/// Limits with short times, for peers that never go on.
fn short_limits() -> HttpLimits {
    let time = Duration::from_millis(30);
    HttpLimits { head_timeout: time, idle_timeout: time, stall_timeout: time, ..Default::default() }
}

/// Returns an accepted connection and the caller's end of it.
async fn accept(limits: HttpLimits) -> (CallerConnection, TcpStream) {
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

/// Reads requests until the end or an error and describes them.
async fn describe_requests(connection: &mut CallerConnection) -> String {
    let mut found = Vec::new();
    loop {
        let head = match connection.next_head().await {
            Ok(Some(head)) => head,
            Ok(None) => break found.push("end".to_owned()),
            Err(error) => break found.push(error.to_string()),
        };
        let mut body = RequestBody::new(&head);
        match connection.read_whole_body(&mut body, 100).await {
            Ok(content) => found.push(format!("{} {}", head.target, content.escape_ascii())),
            Err(error) => break found.push(format!("{} {error}", head.target)),
        }
    }
    found.join(" | ")
}

/// Guards against requests that are merged, lost or taken as complete when they are not.
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
fn requests(input: &str, expected: &str) {
    for piece in [input.len().max(1), 1] {
        let found = block_on(async {
            let (mut connection, mut caller) = accept(HttpLimits::default()).await;
            let pieces: Vec<Vec<u8>> = input.as_bytes().chunks(piece).map(Vec::from).collect();
            let sending = task::spawn(async move {
                for piece in pieces {
                    // The other side may have refused the request already.
                    if caller.write_all(&piece).await.is_err() {
                        break;
                    }
                    task::yield_now().await;
                }
                let _ = caller.shutdown(Shutdown::Write);
                caller
            });
            let found = describe_requests(&mut connection).await;
            sending.await;
            found
        });
        assert_eq!(found, expected, "pieces of {piece}");
    }
}

/// Guards against a caller that holds a connection by sending a head slowly.
#[test]
fn slow_head_times_out() {
    block_on(async {
        let (mut connection, mut caller) = accept(short_limits()).await;
        let dripping = task::spawn(async move {
            while caller.write_all(b"G").await.is_ok() {
                task::sleep(Duration::from_millis(1)).await;
            }
        });
        let error = connection.next_head().await.expect_err("the head never ends");
        assert_eq!(error.request_status(), Some(408), "{error}");
        drop(connection);
        dripping.await;
    });
}

/// Guards against callers and servers that hold a connection without any progress.
#[test]
fn silence_times_out() {
    block_on(async {
        let (mut connection, mut caller) = accept(short_limits()).await;
        assert!(connection.next_head().await.unwrap().is_none());
        caller.write_all(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n").await.unwrap();
        let head = connection.next_head().await.unwrap().unwrap();
        let error = connection.read_body(&mut RequestBody::new(&head)).await.unwrap_err();
        assert!(matches!(error, HttpError::Timeout(_)), "{error}");
    });
}

/// Guards against a caller that waits for `100 Continue` for ever, or gets it unasked.
#[yare::parameterized(
    http_11 = { "HTTP/1.1", "Expect: 100-Continue\r\n", "HTTP/1.1 100 Continue\r\n\r\n" },
    http_10 = { "HTTP/1.0", "Expect: 100-continue\r\n", "" },
    not_asked = { "HTTP/1.1", "", "" },
)]
fn expect_continue(version: &str, field: &str, expected: &str) {
    block_on(async {
        let (mut connection, mut caller) = accept(HttpLimits::default()).await;
        let head = format!("POST / {version}\r\nHost: a\r\n{field}Content-Length: 2\r\n\r\n");
        caller.write_all(head.as_bytes()).await.unwrap();
        let head = connection.next_head().await.unwrap().unwrap();
        let mut body = RequestBody::new(&head);
        // Asks for the body before it is there.
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

/// Guards against body bytes that appear from nowhere after a read was given up: a deadline or a
/// second attempt drops a read that waits.
#[test]
fn dropped_read_leaves_no_bytes() {
    block_on(async {
        let (mut connection, mut caller) = accept(HttpLimits::default()).await;
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

/// Guards against responses that a caller reads as longer or shorter than they are.
#[yare::parameterized(
    get = { "GET", 200, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody" },
    head = { "HEAD", 200, "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n" },
    no_content = { "GET", 204, "HTTP/1.1 204 No Content\r\n\r\n" },
    not_modified = { "GET", 304, "HTTP/1.1 304 \r\n\r\n" },
)]
fn responses(method: &str, status: u16, expected: &str) {
    block_on(async {
        let (mut connection, mut caller) = accept(HttpLimits::default()).await;
        let raw = format!("{method} / HTTP/1.1\r\nHost: a\r\n\r\n");
        let (head, _) =
            RequestHead::parse(raw.as_bytes(), &HttpLimits::default()).unwrap().unwrap();
        connection.respond(&head, ResponseHead::new(status), b"body").await.unwrap();
        drop(connection);
        assert_eq!(read_all(&mut caller).await, expected);
    });
}

/// Guards against work for callers that have gone, and against taking a caller for gone.
#[test]
fn close_of_the_caller_is_seen() {
    block_on(async {
        let (connection, caller) = accept(HttpLimits::default()).await;
        assert!(connection.closed().now_or_never().is_none());
        drop(caller);
        connection.closed().await;
    });
}

/// Accepts connections and sends `response` once a whole head has arrived, on each connection.
async fn start_server(response: &'static [u8], closes: bool) -> std::net::SocketAddr {
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
                    if closes {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Reads a whole response.
async fn exchange(
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

/// Guards against partial responses that are taken as complete, and against the reuse of a connection
/// on which bytes of another response may follow.
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
    no_content_with_length = { "GET", b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "204 ", true },
    no_content_with_body = { "GET", b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nhello", "204 ", false },
    not_modified = { "GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "304 ", true },
    head = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "200 ", true },
    head_with_body = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "200 ", false },
    not_http = { "GET", b"SSH-2.0-x\r\n\r\n", "HTTP version not supported", false },
)]
fn server_responses(method: &str, response: &'static [u8], expected: &str, reused: bool) {
    block_on(async {
        // A server that keeps the connection open would hide a truncated response behind a timeout.
        let address = start_server(response, !reused).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, LIMIT).await.unwrap();
        let found = match exchange(&mut connection, method).await {
            Ok((text, body)) => {
                connection.release(&body);
                text
            }
            Err(error) => {
                drop(connection);
                error.to_string()
            }
        };
        assert_eq!(found, expected);
        let kept = usize::from(reused);
        assert_eq!(pool.counts(address), PoolCounts { open: kept, idle: kept });
        let mut next = pool.checkout(address, 1, LIMIT).await.unwrap();
        assert_eq!(next.is_reused(), reused);
        if reused {
            assert_eq!(exchange(&mut next, method).await.unwrap().0, expected);
        }
    });
}

/// Guards against endless interim responses.
#[test]
fn interim_responses_are_bounded() {
    block_on(async {
        let response = Box::leak("HTTP/1.1 100 Continue\r\n\r\n".repeat(17).into_boxed_str());
        let address = start_server(response.as_bytes(), false).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, LIMIT).await.unwrap();
        let error = exchange(&mut connection, "GET").await.map(|found| found.0).unwrap_err();
        assert!(matches!(error, HttpError::UnexpectedBytes), "{error}");
    });
}

/// Guards against a request on a connection that the server has closed, or on which it sent bytes that
/// would be taken for the next response.
#[yare::parameterized(closed = { b"" }, late_bytes = { b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })]
fn idle_connection_is_checked(late: &[u8]) {
    let late = late.to_vec();
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::new(HttpLimits::default());
        let mut connection = pool.checkout(address, 1, LIMIT).await.unwrap();
        let (mut server, _) = listener.accept().await.unwrap();
        server.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab").await.unwrap();
        let (_, body) = exchange(&mut connection, "GET").await.unwrap();
        let watcher = connection.writer();
        connection.release(&body);
        assert_eq!(pool.counts(address).idle, 1);
        server.write_all(&late).await.unwrap();
        server.shutdown(Shutdown::Write).unwrap();
        watcher.peek(&mut [0]).await.unwrap();
        let next = pool.checkout(address, 1, LIMIT).await.unwrap();
        assert!(!next.is_reused());
        assert_eq!(pool.counts(address), PoolCounts { open: 1, idle: 0 });
    });
}

/// Guards against more connections than the limit of a server, and against shares that are lost.
#[test]
fn pool_keeps_the_limit() {
    block_on(async {
        let address = start_server(b"", false).await;
        let pool = ConnectionPool::new(HttpLimits::default());
        let first = pool.checkout(address, 2, LIMIT).await.unwrap();
        let second = pool.checkout(address, 2, LIMIT).await.unwrap();
        let third = pool.checkout(address, 2, LIMIT).await;
        assert!(matches!(third, Err(CheckoutError::LimitReached)));
        drop(first);
        let third = pool.checkout(address, 2, LIMIT).await.unwrap();
        drop((second, third));
        assert_eq!(pool.counts(address), PoolCounts::default());
        pool.warm(address, 5, 3, LIMIT).await;
        assert_eq!(pool.counts(address), PoolCounts { open: 3, idle: 3 });
        pool.forget(address);
        assert_eq!(pool.counts(address), PoolCounts::default());
    });
}

/// Guards against a connect failure that keeps its share of the limit.
#[test]
fn failed_connect_frees_its_share() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let pool = ConnectionPool::new(HttpLimits::default());
        let result = pool.checkout(address, 1, LIMIT).await;
        assert!(matches!(result, Err(CheckoutError::Connect(_))));
        assert_eq!(pool.counts(address), PoolCounts::default());
    });
}
