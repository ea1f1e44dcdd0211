//! Failures of HTTP connections.

use std::io;

use thiserror::Error;

/// Why a message could not be read or written.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The connection failed below HTTP.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before the message was complete.
    #[error("connection closed before the message was complete")]
    Truncated,
    /// The head is not valid HTTP/1.x.
    #[error("malformed head: {0}")]
    MalformedHead(&'static str),
    /// The head exceeds the limit on bytes or lines.
    #[error("head exceeds the size limit")]
    HeadTooLarge,
    /// The framing headers contradict each other or are not understood.
    #[error("invalid body framing: {0}")]
    InvalidFraming(&'static str),
    /// The transfer coding is valid but not supported.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// The method is not served by this process.
    #[error("method not supported")]
    UnsupportedMethod,
    /// The HTTP version is neither 1.0 nor 1.1.
    #[error("HTTP version not supported")]
    UnsupportedVersion,
    /// The response has neither a length nor chunked framing, so its end cannot be verified.
    #[error("response end is only marked by connection close")]
    UnframedResponse,
    /// The peer made no progress for too long.
    #[error("timeout while {0}")]
    Timeout(&'static str),
    /// The server sent bytes that belong to no request.
    #[error("unexpected bytes from the server")]
    UnexpectedBytes,
    /// The body exceeds the limit that applies to it.
    #[error("body exceeds {0} bytes")]
    BodyTooLarge(u64),
}

impl HttpError {
    /// Status with which a malformed request is answered; `None` when no answer can be sent.
    pub fn request_status(&self) -> Option<u16> {
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
