//! Parsing and serialization of request and response heads.

use std::time::Duration;

use super::{BodyFraming, HeaderList, HttpError, HttpLimits};

/// Upper limit of a declared idle timeout. A huge number would overflow the clock.
const MAX_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// HTTP version of a message; messages of other versions are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HttpVersion {
    /// HTTP/1.0
    Http10,
    /// HTTP/1.1
    Http11,
}

/// Parsed and validated head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received; methods are case-sensitive.
    pub method: Box<str>,
    /// Request target in origin form (path and query), or `*`.
    pub target: Box<str>,
    /// Host from the absolute form or the `Host` header, without the port, in lower case.
    pub host: Box<str>,
    /// Version that the caller sent.
    pub version: HttpVersion,
    /// Header fields.
    pub headers: HeaderList,
    /// How the end of the body is determined.
    pub framing: BodyFraming,
}

/// Parsed and validated head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, 100 to 599 (RFC 9110, section 15).
    pub status: u16,
    /// Reason phrase as received.
    pub reason: Box<str>,
    /// Version that the server sent.
    pub version: HttpVersion,
    /// Header fields.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Parses a head from the start of `input`.
    ///
    /// Returns the head and its length in bytes, or `None` when more input is needed.
    pub fn parse(
        input: &[u8],
        limits: &HttpLimits,
    ) -> Result<Option<(RequestHead, usize)>, HttpError> {
        Self::parse_incremental(input, limits, &mut HeadScanner::default())
    }

    /// Like [`Self::parse`], but continues the scan for the end of the head where the previous call
    /// with the same `scanner` stopped.
    pub(super) fn parse_incremental(
        input: &[u8],
        limits: &HttpLimits,
        scanner: &mut HeadScanner,
    ) -> Result<Option<(RequestHead, usize)>, HttpError> {
        let Some(length) = scanner.find_end(input, limits)? else {
            return Ok(None);
        };
        let mut fields = vec![httparse::EMPTY_HEADER; limits.header_count];
        let mut request = httparse::Request::new(&mut fields);
        let status = request.parse(&input[..length]).map_err(map_parse_error)?;
        if status.is_partial() {
            return Err(HttpError::MalformedHead("incomplete head"));
        }
        let version = parse_version(request.version)?;
        let method = request.method.unwrap_or_default();
        if matches!(method, "CONNECT" | "TRACE") {
            return Err(HttpError::UnsupportedMethod);
        }
        let mut headers = collect_headers(request.headers);
        let raw_target = request.path.unwrap_or_default();
        let (authority, target) = resolve_target(raw_target, version, &headers)?;
        let host = normalize_host(&authority);
        if !raw_target.starts_with('/') && raw_target != "*" {
            // The server must see the host by which this process routed the request.
            let _ = headers.set("host", authority.as_bytes());
        }
        let framing = BodyFraming::of_request(version, &headers)?;
        let head = RequestHead { method: method.into(), target, host, version, headers, framing };
        Ok(Some((head, length)))
    }

    /// Path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Reports whether the connection stays open after this request.
    pub fn keep_alive(&self) -> bool {
        allows_keep_alive(self.version, &self.headers)
    }

    /// Reports whether the caller may wait for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.version == HttpVersion::Http11 && self.headers.has_token("expect", "100-continue")
    }

    /// Appends the serialized head of an HTTP/1.1 request.
    pub fn write_to(&self, output: &mut Vec<u8>) {
        output.extend_from_slice(self.method.as_bytes());
        output.push(b' ');
        output.extend_from_slice(self.target.as_bytes());
        output.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write_to(output);
        output.extend_from_slice(b"\r\n");
    }
}

impl ResponseHead {
    /// Creates an HTTP/1.1 head with the usual reason phrase and no headers.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            reason: reason_phrase(status).into(),
            version: HttpVersion::Http11,
            headers: HeaderList::new(),
        }
    }

    /// Parses a head from the start of `input`.
    ///
    /// Returns the head and its length in bytes, or `None` when more input is needed.
    pub fn parse(
        input: &[u8],
        limits: &HttpLimits,
    ) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        Self::parse_incremental(input, limits, &mut HeadScanner::default())
    }

    /// Like [`Self::parse`], but continues the scan for the end of the head where the previous call
    /// with the same `scanner` stopped.
    pub(super) fn parse_incremental(
        input: &[u8],
        limits: &HttpLimits,
        scanner: &mut HeadScanner,
    ) -> Result<Option<(ResponseHead, usize)>, HttpError> {
        let Some(length) = scanner.find_end(input, limits)? else {
            return Ok(None);
        };
        let mut fields = vec![httparse::EMPTY_HEADER; limits.header_count];
        let mut response = httparse::Response::new(&mut fields);
        let status = response.parse(&input[..length]).map_err(map_parse_error)?;
        if status.is_partial() {
            return Err(HttpError::MalformedHead("incomplete head"));
        }
        let head = ResponseHead {
            status: response.code.unwrap_or_default(),
            reason: response.reason.unwrap_or_default().into(),
            version: parse_version(response.version)?,
            headers: collect_headers(response.headers),
        };
        if head.status < 100 {
            return Err(HttpError::MalformedHead("status below 100"));
        }
        if head.status > 599 {
            return Err(HttpError::MalformedHead("status above 599"));
        }
        Ok(Some((head, length)))
    }

    /// Reports whether this is an interim (1xx) response.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }

    /// Reports whether the connection stays open after this response.
    pub fn keep_alive(&self) -> bool {
        allows_keep_alive(self.version, &self.headers)
    }

    /// Idle timeout that the server declares in its `Keep-Alive` header.
    pub fn keep_alive_timeout(&self) -> Option<Duration> {
        let value = self.headers.get_str("keep-alive")?;
        let mut parameters = value.split(',').filter_map(|part| part.trim().split_once('='));
        let (_, seconds) = parameters.find(|(name, _)| name.trim() == "timeout")?;
        let seconds: u64 = seconds.trim().parse().ok()?;
        Some(Duration::from_secs(seconds).min(MAX_KEEP_ALIVE_TIMEOUT))
    }

    /// Appends the serialized head of an HTTP/1.1 response.
    pub fn write_to(&self, output: &mut Vec<u8>) {
        output.extend_from_slice(format!("HTTP/1.1 {} ", self.status).as_bytes());
        output.extend_from_slice(self.reason.as_bytes());
        output.extend_from_slice(b"\r\n");
        self.headers.write_to(output);
        output.extend_from_slice(b"\r\n");
    }
}

fn allows_keep_alive(version: HttpVersion, headers: &HeaderList) -> bool {
    if headers.has_token("connection", "close") {
        return false;
    }
    version == HttpVersion::Http11 || headers.has_token("connection", "keep-alive")
}

/// Finds the end of a head and rejects line ends other than CRLF.
///
/// `httparse` accepts a bare LF as line end, but some servers do not, so a head that contains one
/// is ambiguous. The scan resumes where it stopped, so that a head that arrives byte by byte does
/// not cost quadratic time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HeadScanner {
    scanned: usize,
    line_start: usize,
    last_byte: u8,
}

impl HeadScanner {
    /// Scans the new part of `input`; returns the length of the head once it is complete.
    fn find_end(&mut self, input: &[u8], limits: &HttpLimits) -> Result<Option<usize>, HttpError> {
        let scannable = &input[..input.len().min(limits.head_bytes)];
        while let Some(byte) = scannable.get(self.scanned).copied() {
            if byte == b'\n' {
                if self.last_byte != b'\r' {
                    return Err(HttpError::MalformedHead("line ends without CR"));
                }
                if self.scanned - self.line_start == 1 {
                    return Ok(Some(self.scanned + 1));
                }
                self.line_start = self.scanned + 1;
            } else if self.last_byte == b'\r' {
                return Err(HttpError::MalformedHead("CR inside a line"));
            }
            self.last_byte = byte;
            self.scanned += 1;
        }
        if input.len() >= limits.head_bytes {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(None)
    }
}

fn parse_version(version: Option<u8>) -> Result<HttpVersion, HttpError> {
    match version {
        Some(0) => Ok(HttpVersion::Http10),
        Some(1) => Ok(HttpVersion::Http11),
        _ => Err(HttpError::UnsupportedVersion),
    }
}

fn map_parse_error(error: httparse::Error) -> HttpError {
    match error {
        httparse::Error::TooManyHeaders => HttpError::HeadTooLarge,
        httparse::Error::Version => HttpError::UnsupportedVersion,
        httparse::Error::HeaderName => HttpError::MalformedHead("invalid header name"),
        httparse::Error::HeaderValue => HttpError::MalformedHead("invalid header value"),
        httparse::Error::NewLine => HttpError::MalformedHead("invalid line end"),
        httparse::Error::Status => HttpError::MalformedHead("invalid status"),
        httparse::Error::Token => HttpError::MalformedHead("invalid token"),
    }
}

fn collect_headers(fields: &[httparse::Header<'_>]) -> HeaderList {
    let mut headers = HeaderList::new();
    for field in fields {
        headers.push_parsed(field.name, field.value);
    }
    headers
}

/// Returns the authority and the origin-form target of a request.
fn resolve_target(
    raw_target: &str,
    version: HttpVersion,
    headers: &HeaderList,
) -> Result<(Box<str>, Box<str>), HttpError> {
    let mut hosts = headers.values("host");
    let host_header = match hosts.next() {
        Some(value) => {
            if !is_authority(value) {
                return Err(HttpError::MalformedHead("invalid Host"));
            }
            std::str::from_utf8(value).unwrap_or_default()
        }
        None if version == HttpVersion::Http11 => {
            return Err(HttpError::MalformedHead("Host is missing"));
        }
        None => "",
    };
    if hosts.next().is_some() {
        return Err(HttpError::MalformedHead("more than one Host"));
    }
    if raw_target.starts_with('/') || raw_target == "*" {
        return Ok((host_header.into(), raw_target.into()));
    }
    // The absolute form overrides the Host header (RFC 9112, section 3.2.2).
    let scheme_end = raw_target.find("://").ok_or(HttpError::MalformedHead("invalid target"))?;
    if !raw_target[..scheme_end].eq_ignore_ascii_case("http") {
        return Err(HttpError::MalformedHead("invalid scheme in target"));
    }
    let rest = &raw_target[scheme_end + 3..];
    let path_start = rest.find(['/', '?']).unwrap_or(rest.len());
    let (authority, path) = rest.split_at(path_start);
    if authority.is_empty() || !is_authority(authority.as_bytes()) {
        return Err(HttpError::MalformedHead("invalid authority in target"));
    }
    let target = if path.starts_with('/') { path.into() } else { format!("/{path}").into() };
    Ok((authority.into(), target))
}

/// Reports whether `value` has only characters of a host and port (RFC 3986, section 3.2.2).
///
/// User information is rejected, because servers disagree on which part of it is the host.
fn is_authority(value: &[u8]) -> bool {
    value.iter().all(|byte| byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=%:[]".contains(byte))
}

/// Removes the port of an authority and converts the host to lower case.
fn normalize_host(authority: &str) -> Box<str> {
    let name = match authority.rfind(':') {
        Some(colon) if !authority[colon..].contains(']') => &authority[..colon],
        _ => authority,
    };
    name.to_ascii_lowercase().into()
}

/// Reason phrases of the status codes that this process generates.
const REASON_PHRASES: [(u16, &str); 23] = [
    (200, "OK"),
    (201, "Created"),
    (202, "Accepted"),
    (204, "No Content"),
    (400, "Bad Request"),
    (401, "Unauthorized"),
    (403, "Forbidden"),
    (404, "Not Found"),
    (405, "Method Not Allowed"),
    (408, "Request Timeout"),
    (409, "Conflict"),
    (413, "Content Too Large"),
    (421, "Misdirected Request"),
    (422, "Unprocessable Content"),
    (429, "Too Many Requests"),
    (431, "Request Header Fields Too Large"),
    (499, "Client Closed Request"),
    (500, "Internal Server Error"),
    (501, "Not Implemented"),
    (502, "Bad Gateway"),
    (503, "Service Unavailable"),
    (504, "Gateway Timeout"),
    (505, "HTTP Version Not Supported"),
];

fn reason_phrase(status: u16) -> &'static str {
    for (known, phrase) in REASON_PHRASES {
        if known == status {
            return phrase;
        }
    }
    ""
}
