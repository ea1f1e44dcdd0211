//! Parsing of request heads: which ones are accepted, and which are rejected as ambiguous or
//! malformed.

use curranthollow::http::{HttpLimits, RequestHead};

/// Parses a head and describes the result in one line.
fn describe(raw: &[u8]) -> String {
    match RequestHead::parse(raw, &HttpLimits::default()) {
        Ok(None) => "incomplete".into(),
        Ok(Some((head, length))) => {
            let RequestHead { method, target, host, framing, .. } = &head;
            let keep_alive = head.keep_alive();
            let rest = raw.len() - length;
            format!("{method} {target} host={host} {framing:?} keep_alive={keep_alive} rest={rest}")
        }
        Err(error) => {
            let status = error.response_status().unwrap_or_default();
            format!("{status} {error}")
        }
    }
}

/// Guards against framing headers that servers interpret differently (request smuggling).
#[yare::parameterized(
    no_body = { "", "Empty" },
    length = { "Content-Length: 4\r\n", "Length(4)" },
    zero = { "Content-Length: 0\r\n", "Empty" },
    chunked = { "Transfer-Encoding: chunked\r\n", "Chunked" },
    chunked_upper_case = { "transfer-ENCODING: CHUNKED\r\n", "Chunked" },
    two_lengths = { "Content-Length: 4\r\nContent-Length: 5\r\n", "400 invalid body framing: repeated Content-Length" },
    two_equal_lengths = { "Content-Length: 4\r\nContent-Length: 4\r\n", "400 invalid body framing: repeated Content-Length" },
    length_list = { "Content-Length: 4, 4\r\n", "400 invalid body framing: Content-Length is not a number" },
    plus = { "Content-Length: +4\r\n", "400 invalid body framing: Content-Length is not a number" },
    minus = { "Content-Length: -4\r\n", "400 invalid body framing: Content-Length is not a number" },
    hexadecimal = { "Content-Length: 0x4\r\n", "400 invalid body framing: Content-Length is not a number" },
    empty = { "Content-Length:\r\n", "400 invalid body framing: Content-Length is not a number" },
    overflow = { "Content-Length: 18446744073709551616\r\n", "400 invalid body framing: Content-Length is too large" },
    both = { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "400 invalid body framing: Content-Length with Transfer-Encoding" },
    xchunked = { "Transfer-Encoding: xchunked\r\n", "501 unsupported transfer coding" },
    gzip_chunked = { "Transfer-Encoding: gzip, chunked\r\n", "501 unsupported transfer coding" },
    identity = { "Transfer-Encoding: identity\r\n", "501 unsupported transfer coding" },
    empty_coding = { "Transfer-Encoding:\r\n", "501 unsupported transfer coding" },
    repeated_coding = { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "400 invalid body framing: repeated Transfer-Encoding" },
    vertical_tab = { "Transfer-Encoding: \x0bchunked\r\n", "400 malformed head: invalid header value" },
)]
fn request_framing_is_unambiguous(header_lines: &str, expected: &str) {
    let description =
        describe(format!("POST /x HTTP/1.1\r\nHost: a\r\n{header_lines}\r\n").as_bytes());
    if expected.starts_with(char::is_numeric) {
        assert_eq!(description, expected);
    } else {
        assert_eq!(description, format!("POST /x host=a {expected} keep_alive=true rest=0"));
    }
}

/// Guards against accepting heads that servers interpret differently.
#[yare::parameterized(
    simple = { b"GET /a?b=c HTTP/1.1\r\nHost: A.b:80\r\n\r\n", "GET /a?b=c host=a.b Empty keep_alive=true rest=0" },
    ipv6_host = { b"GET / HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", "GET / host=[::1] Empty keep_alive=true rest=0" },
    unknown_method = { b"BREW /pot HTTP/1.1\r\nHost: a\r\n\r\n", "BREW /pot host=a Empty keep_alive=true rest=0" },
    connect = { b"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", "501 method not supported" },
    trace = { b"TRACE / HTTP/1.1\r\nHost: a\r\n\r\n", "501 method not supported" },
    asterisk = { b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS * host=a Empty keep_alive=true rest=0" },
    http_10 = { b"GET / HTTP/1.0\r\n\r\n", "GET / host= Empty keep_alive=false rest=0" },
    http_10_keep_alive = { b"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n", "GET / host= Empty keep_alive=true rest=0" },
    http_10_chunked = { b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "400 invalid body framing: Transfer-Encoding in HTTP/1.0" },
    close = { b"GET / HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n", "GET / host=a Empty keep_alive=false rest=0" },
    close_wins = { b"GET / HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\nConnection: close\r\n\r\n", "GET / host=a Empty keep_alive=false rest=0" },
    http_2_preface = { b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "505 HTTP version not supported" },
    http_1_2 = { b"GET / HTTP/1.2\r\nHost: a\r\n\r\n", "505 HTTP version not supported" },
    no_version = { b"GET /\r\n\r\n", "400 malformed head: invalid token" },
    tls_hello = { b"\x16\x03\x01\x02\x00\x01\r\n\r\n", "400 malformed head: invalid token" },
    no_host = { b"GET / HTTP/1.1\r\n\r\n", "400 malformed head: Host is missing" },
    two_hosts = { b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", "400 malformed head: more than one Host" },
    host_with_space = { b"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", "400 malformed head: invalid Host" },
    host_with_path = { b"GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "400 malformed head: invalid Host" },
    host_with_user = { b"GET / HTTP/1.1\r\nHost: b@a\r\n\r\n", "400 malformed head: invalid Host" },
    host_not_ascii = { b"GET / HTTP/1.1\r\nHost: \xc3\xa4\r\n\r\n", "400 malformed head: invalid Host" },
    absolute_form = { b"GET http://B:8080/c?d HTTP/1.1\r\nHost: a\r\n\r\n", "GET /c?d host=b Empty keep_alive=true rest=0" },
    absolute_without_path = { b"GET HTTP://b?d HTTP/1.1\r\nHost: a\r\n\r\n", "GET /?d host=b Empty keep_alive=true rest=0" },
    absolute_other_scheme = { b"GET ftp://b/ HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed head: invalid scheme in target" },
    absolute_with_user = { b"GET http://a@b/ HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed head: invalid authority in target" },
    absolute_without_host = { b"GET http:///c HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed head: invalid authority in target" },
    relative_target = { b"GET c HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed head: invalid target" },
    pipelined = { b"GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /2 ", "GET / host=a Empty keep_alive=true rest=7" },
    bare_lf = { b"GET / HTTP/1.1\nHost: a\n\n", "400 malformed head: line ends without CR" },
    bare_lf_later = { b"GET / HTTP/1.1\r\nHost: a\nB: c\r\n\r\n", "400 malformed head: line ends without CR" },
    cr_inside = { b"GET / HTTP/1.1\r\nHost: a\rB: c\r\n\r\n", "400 malformed head: CR inside a line" },
    two_cr = { b"GET / HTTP/1.1\r\nHost: a\r\r\n\r\n", "400 malformed head: CR inside a line" },
    line_folding = { b"GET / HTTP/1.1\r\nHost: a\r\nB: c\r\n d\r\n\r\n", "400 malformed head: invalid header name" },
    fold_at_first_field = { b"GET / HTTP/1.1\r\n Host: a\r\n\r\n", "400 malformed head: invalid header name" },
    space_before_colon = { b"GET / HTTP/1.1\r\nHost : a\r\n\r\n", "400 malformed head: invalid header name" },
    no_colon = { b"GET / HTTP/1.1\r\nHost\r\n\r\n", "400 malformed head: invalid header name" },
    empty_name = { b"GET / HTTP/1.1\r\n: a\r\n\r\n", "400 malformed head: invalid header name" },
    nul_in_value = { b"GET / HTTP/1.1\r\nHost: a\x00b\r\n\r\n", "400 malformed head: invalid header value" },
    two_spaces = { b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", "400 malformed head: invalid token" },
    cut = { b"GET / HTTP/1.1\r\nHost: a\r\n", "incomplete" },
)]
fn heads_are_parsed_strictly(raw: &[u8], expected: &str) {
    assert_eq!(describe(raw), expected);
}

/// Guards against unlimited buffering of a large head.
#[test]
fn large_heads_are_rejected() {
    let large_head = format!("GET / HTTP/1.1\r\nHost: a\r\nB: {}\r\n\r\n", "c".repeat(150 * 1024));
    assert_eq!(describe(large_head.as_bytes()), "431 head exceeds the size limit");
    assert_eq!(describe(&large_head.as_bytes()[..32 * 1024 - 1]), "incomplete");
    assert_eq!(describe(&large_head.as_bytes()[..32 * 1024]), "431 head exceeds the size limit");
    let many_headers = format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "B: c\r\n".repeat(100));
    assert_eq!(describe(many_headers.as_bytes()), "431 head exceeds the size limit");
}

/// Guards against changing or rejecting header values that are not ASCII.
#[test]
fn non_ascii_values_are_unchanged() {
    let raw = b"GET / HTTP/1.1\r\nhost: a\r\nb: \xe4\xff c\r\nb: \xc3\xa4\r\nempty: \r\n\r\n";
    let (head, _) = RequestHead::parse(raw, &HttpLimits::default()).unwrap().unwrap();
    let mut output = Vec::new();
    head.write_to(&mut output);
    assert_eq!(output, raw);
}

/// Guards against forwarding a `Host` other than the one by which the request was routed.
#[test]
fn absolute_form_sets_host_header() {
    let raw = b"GET http://B:8080/c HTTP/1.1\r\nHost: a\r\n\r\n";
    let (head, _) = RequestHead::parse(raw, &HttpLimits::default()).unwrap().unwrap();
    let hosts: Vec<&[u8]> = head.headers.values("host").collect();
    assert_eq!(hosts, [b"B:8080"]);
}

/// Guards against forwarding hop-by-hop headers, and against a caller that removes framing headers
/// by listing them in `Connection`.
#[test]
fn hop_by_hop_headers_are_removed() {
    let raw = b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close, X-One, Content-Length, Host\r\n\
        X-One: 1\r\nX-Two: 2\r\nKeep-Alive: 3\r\nTE: trailers\r\nUpgrade: h2c\r\n\
        Content-Length: 4\r\n\r\n";
    let (mut head, _) = RequestHead::parse(raw, &HttpLimits::default()).unwrap().unwrap();
    head.headers.remove_hop_by_hop();
    let names: Vec<&str> = head.headers.iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["host", "x-two", "content-length"]);
}
