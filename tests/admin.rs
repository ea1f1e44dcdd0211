//! Operator port: requests that reach the `tide` application and requests that are refused before.

use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_std::io::{self, BufReader, Read, ReadExt, WriteExt};
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::block_on;
use tide::{Body, Request, Response, Server, StatusCode};

/// Response body whose source fails.
struct FailingBody;

impl Read for FailingBody {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Err(io::ErrorKind::Other.into()))
    }
}

async fn start_server() -> SocketAddr {
    let mut app = Server::new();
    app.at("/echo").post(|mut request: Request<()>| async move {
        let note = request.header("x-note").map(|values| values.as_str().to_owned());
        Ok(format!("{} {}", note.unwrap_or_default(), request.body_string().await?))
    });
    app.at("/text").get(|_| async { Ok("text") });
    app.at("/empty").get(|_| async { Ok(Response::new(StatusCode::NoContent)) });
    app.at("/failing").get(|_| async {
        Ok(Response::from(Body::from_reader(BufReader::new(FailingBody), Some(2))))
    });
    app.at("/error").get(|_| async {
        Err::<Response, _>(tide::Error::from_str(StatusCode::Conflict, "no such version"))
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    curranthollow::admin::AdminServer::default().serve(listener, app);
    address
}

/// Sends raw bytes to a new server, closes the sending side and returns the whole output.
fn send_raw(input: &[u8]) -> String {
    block_on(async {
        let mut stream = TcpStream::connect(start_server().await).await.unwrap();
        stream.write_all(input).await.unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut output = Vec::new();
        stream.read_to_end(&mut output).await.unwrap();
        String::from_utf8(output).unwrap()
    })
}

/// Guards against passing truncated, ambiguous or oversized requests to `tide`, which would accept
/// them, and against a panic of `http-types` on header values that are not ASCII.
#[yare::parameterized(
    post = { b"POST /echo HTTP/1.1\r\nHost: a\r\nX-Note: n\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 200 OK | n ab" },
    chunked = { b"POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "HTTP/1.1 200 OK |  ab" },
    truncated_body = { b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab", "" },
    truncated_chunks = { b"POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "" },
    non_ascii = { b"POST /echo HTTP/1.1\r\nHost: a\r\nX-Note: \xe4\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 400 Bad Request | " },
    two_lengths = { b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 400 Bad Request | invalid body framing: repeated Content-Length\n" },
    oversize = { b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 1048577\r\n\r\n", "HTTP/1.1 413 Content Too Large | body exceeds 1048576 bytes\n" },
    failing_body = { b"GET /failing HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 500 Internal Server Error | " },
    head = { b"HEAD /text HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK | " },
    unknown_path = { b"GET /none HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 404 Not Found | " },
    other_method = { b"DELETE /text HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 405 Method Not Allowed | " },
    unknown_method = { b"BREW /text HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400 Bad Request | " },
    error = { b"GET /error HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 409 Conflict | no such version" },
    asterisk = { b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400 Bad Request | " },
    http_2 = { b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "HTTP/1.1 505 HTTP Version Not Supported | HTTP version not supported\n" },
)]
fn serves_only_valid_requests(input: &[u8], expected: &str) {
    let output = send_raw(input);
    let found = match output.split_once("\r\n\r\n") {
        Some((head, body)) => format!("{} | {body}", head.lines().next().unwrap()),
        None => output,
    };
    assert_eq!(found, expected);
}

/// Guards against reading a chunked body without a size limit.
#[test]
fn refuses_endless_chunked_body() {
    let mut input =
        b"POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n100001\r\n".to_vec();
    input.resize(input.len() + 0x10_0001, b'a');
    assert!(send_raw(&input).starts_with("HTTP/1.1 413 "));
}

/// Guards against responses whose end a client cannot determine.
#[test]
fn responses_in_wire_form() {
    let pipelined = "HEAD /text HTTP/1.1\r\nHost: a\r\n\r\n\
        GET /empty HTTP/1.1\r\nHost: a\r\n\r\n\
        GET /text HTTP/1.0\r\nConnection: keep-alive\r\n\r\n\
        GET /text HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n\
        GET /text HTTP/1.1\r\nHost: a\r\n\r\n";
    insta::assert_snapshot!(send_raw(pipelined.as_bytes()).replace("\r\n", "\n"));
}
