//! Body framing: how the end of a message body is determined (RFC 9112, section 6).

use super::{HeaderList, HttpError, HttpVersion, ResponseHead};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
}

impl BodyFraming {
    /// Determines the framing of a request body.
    pub fn of_request(version: HttpVersion, headers: &HeaderList) -> Result<Self, HttpError> {
        let length = parse_content_length(headers)?;
        if is_chunked(headers)? {
            if length.is_some() {
                return Err(HttpError::InvalidFraming("Content-Length with Transfer-Encoding"));
            }
            if version == HttpVersion::Http10 {
                return Err(HttpError::InvalidFraming("Transfer-Encoding in HTTP/1.0"));
            }
            return Ok(Self::Chunked);
        }
        match length {
            None | Some(0) => Ok(Self::Empty),
            Some(length) => Ok(Self::Length(length)),
        }
    }

    /// Determines the body framing of a final response to a request with `method`.
    ///
    /// A response that ends only when the connection closes is an error, because a truncated one
    /// cannot be distinguished from a complete one.
    pub fn of_response(method: &str, head: &ResponseHead) -> Result<Self, HttpError> {
        let length = parse_content_length(&head.headers)?;
        let chunked = is_chunked(&head.headers)?;
        if chunked && length.is_some() {
            return Err(HttpError::InvalidFraming("Content-Length with Transfer-Encoding"));
        }
        if chunked && head.version == HttpVersion::Http10 {
            return Err(HttpError::InvalidFraming("Transfer-Encoding in HTTP/1.0"));
        }
        if method == "HEAD" || matches!(head.status, 204 | 304) {
            return Ok(Self::Empty);
        }
        if chunked {
            return Ok(Self::Chunked);
        }
        match length {
            Some(0) => Ok(Self::Empty),
            Some(length) => Ok(Self::Length(length)),
            None => Err(HttpError::UnframedResponse),
        }
    }

    /// Size in bytes that the head declares, or `None` for a chunked body.
    pub fn declared_size(self) -> Option<u64> {
        match self {
            Self::Empty => Some(0),
            Self::Length(length) => Some(length),
            Self::Chunked => None,
        }
    }
}

/// Returns the value of `Content-Length`; a repeated, signed or otherwise invalid one is an error.
fn parse_content_length(headers: &HeaderList) -> Result<Option<u64>, HttpError> {
    let mut values = headers.values("content-length");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HttpError::InvalidFraming("repeated Content-Length"));
    }
    // `u64::from_str` accepts a leading plus sign, so the characters are checked first.
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::InvalidFraming("Content-Length is not a number"));
    }
    let digits = std::str::from_utf8(value).unwrap_or_default();
    digits.parse().map(Some).map_err(|_| HttpError::InvalidFraming("Content-Length is too large"))
}

/// Reports whether the body is chunked; any other or repeated transfer coding is an error.
fn is_chunked(headers: &HeaderList) -> Result<bool, HttpError> {
    let mut values = headers.values("transfer-encoding");
    let Some(value) = values.next() else {
        return Ok(false);
    };
    if values.next().is_some() {
        return Err(HttpError::InvalidFraming("repeated Transfer-Encoding"));
    }
    if value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
        return Ok(true);
    }
    Err(HttpError::UnsupportedCoding)
}
