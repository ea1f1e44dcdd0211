//! Parsing of response heads and the framing of response bodies.

use curranthollow::http::{BodyFraming, HttpLimits, ResponseHead};

/// Parses a head and describes the result in one line.
fn describe(method: &str, raw: &[u8]) -> String {
    let head = match ResponseHead::parse(raw, &HttpLimits::default()) {
        Ok(None) => return "incomplete".into(),
        Ok(Some((head, _))) => head,
        Err(error) => return error.to_string(),
    };
    if head.is_interim() {
        return format!("{} interim", head.status);
    }
    match BodyFraming::of_response(method, &head) {
        Ok(framing) => format!("{} {framing:?} keep_alive={}", head.status, head.keep_alive()),
        Err(error) => error.to_string(),
    }
}

/// Guards against accepting responses whose end is ambiguous or cannot be verified.
#[yare::parameterized(
    length = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "200 Length(5) keep_alive=true" },
    zero = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "200 Empty keep_alive=true" },
    chunked = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "200 Chunked keep_alive=true" },
    no_reason = { "GET", b"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", "200 Length(5) keep_alive=true" },
    without_length = { "GET", b"HTTP/1.1 200 OK\r\n\r\n", "response end is only marked by connection close" },
    two_lengths = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "invalid body framing: repeated Content-Length" },
    two_lengths_to_head = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", "invalid body framing: repeated Content-Length" },
    both = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "invalid body framing: Content-Length with Transfer-Encoding" },
    chunked_http_10 = { "GET", b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "invalid body framing: Transfer-Encoding in HTTP/1.0" },
    gzip = { "GET", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "unsupported transfer coding" },
    http_10 = { "GET", b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n", "200 Length(5) keep_alive=false" },
    close = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\n", "200 Length(5) keep_alive=false" },
    no_content = { "GET", b"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", "204 Empty keep_alive=true" },
    not_modified = { "GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "304 Empty keep_alive=true" },
    to_head = { "HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "200 Empty keep_alive=true" },
    to_head_without_length = { "HEAD", b"HTTP/1.1 200 OK\r\n\r\n", "200 Empty keep_alive=true" },
    to_lower_case_head = { "head", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "200 Length(5) keep_alive=true" },
    early_hints = { "GET", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "103 interim" },
    status_99 = { "GET", b"HTTP/1.1 099 Odd\r\nContent-Length: 5\r\n\r\n", "malformed head: status below 100" },
    status_000 = { "GET", b"HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n\r\n", "malformed head: status below 100" },
    status_599 = { "GET", b"HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n\r\n", "599 Length(5) keep_alive=true" },
    status_600 = { "GET", b"HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n\r\n", "malformed head: status above 599" },
    status_999 = { "GET", b"HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n\r\n", "malformed head: status above 599" },
    status_of_four_digits = { "GET", b"HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\n", "malformed head: invalid status" },
    status_word = { "GET", b"HTTP/1.1 abc OK\r\n\r\n", "malformed head: invalid status" },
    http_2 = { "GET", b"HTTP/2.0 200 OK\r\n\r\n", "HTTP version not supported" },
    bare_lf = { "GET", b"HTTP/1.1 200 OK\nContent-Length: 5\n\n", "malformed head: line ends without CR" },
    space_before_colon = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\n", "malformed head: invalid header name" },
    line_folding = { "GET", b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "malformed head: invalid header name" },
    cut = { "GET", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "incomplete" },
)]
fn heads_are_parsed_strictly(method: &str, raw: &[u8], expected: &str) {
    assert_eq!(describe(method, raw), expected);
}

/// Guards against changing header values that are not ASCII and reason phrases that are not
/// standard.
#[test]
fn non_ascii_values_are_unchanged() {
    let raw = b"HTTP/1.1 299 Odd reason\r\na: \xe4\xff\r\na: \xc3\xa4 b\r\n\r\n";
    let (head, length) = ResponseHead::parse(raw, &HttpLimits::default()).unwrap().unwrap();
    assert_eq!(length, raw.len());
    let mut output = Vec::new();
    head.write_to(&mut output);
    assert_eq!(output, raw);
}

/// Guards against unlimited buffering of a large head.
#[test]
fn large_head_is_rejected() {
    let large_head = format!("HTTP/1.1 200 OK\r\nA: {}\r\n\r\n", "b".repeat(150 * 1024));
    assert_eq!(describe("GET", large_head.as_bytes()), "head exceeds the size limit");
}
