//! Errors of HTTP messages and connections.

use std::io;

use thiserror::Error;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The TCP connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before the message was complete.
    #[error("connection closed before the message was complete")]
    Truncated,
    /// The head is not valid HTTP/1.x.
    #[error("malformed head: {0}")]
    MalformedHead(&'static str),
    /// The head exceeds the limit on its size or on the number of header lines.
    #[error("head exceeds the size limit")]
    HeadTooLarge,
    /// The framing headers or the chunk syntax are invalid or ambiguous.
    #[error("invalid body framing: {0}")]
    InvalidFraming(&'static str),
    /// The transfer coding is valid but not supported.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// The method is one that this process does not forward.
    #[error("method not supported")]
    UnsupportedMethod,
    /// The HTTP version is neither 1.0 nor 1.1.
    #[error("HTTP version not supported")]
    UnsupportedVersion,
    /// The response has neither `Content-Length` nor chunked framing, so a truncation could not be
    /// detected.
    #[error("response end is only marked by connection close")]
    UnframedResponse,
    /// The peer made no progress within the timeout.
    #[error("timeout while {0}")]
    Timeout(&'static str),
    /// The server sent bytes that belong to no request, or too many interim responses.
    #[error("unexpected bytes from the server")]
    UnexpectedBytes,
    /// The body exceeds the limit that applies to it.
    #[error("body exceeds {0} bytes")]
    BodyTooLarge(u64),
}

impl HttpError {
    /// Status of the response to a request that failed with this error; `None` when no response can
    /// be sent.
    pub fn response_status(&self) -> Option<u16> {
        match self {
            Self::Io(_) | Self::Truncated | Self::UnframedResponse | Self::UnexpectedBytes => None,
            Self::MalformedHead(_) | Self::InvalidFraming(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::UnsupportedCoding | Self::UnsupportedMethod => Some(501),
            Self::UnsupportedVersion => Some(505),
            Self::Timeout(_) => Some(408),
            Self::BodyTooLarge(_) => Some(413),
        }
    }

    /// Stable code for logs, metrics and error responses.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Io(_) => "connection_failed",
            Self::Truncated => "truncated_message",
            Self::MalformedHead(_) => "malformed_head",
            Self::HeadTooLarge => "head_too_large",
            Self::InvalidFraming(_) => "invalid_framing",
            Self::UnsupportedCoding => "unsupported_coding",
            Self::UnsupportedMethod => "unsupported_method",
            Self::UnsupportedVersion => "unsupported_version",
            Self::UnframedResponse => "unframed_response",
            Self::Timeout(_) => "timeout",
            Self::UnexpectedBytes => "unexpected_bytes",
            Self::BodyTooLarge(_) => "body_too_large",
        }
    }
}
