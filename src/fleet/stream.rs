//! HTTP/1.1 messages over one connection of the single-threaded runtime.

use std::io;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::{
    BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead, ResponseHead, encode_chunk,
    encode_last_chunk,
};

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// Time that a closing connection waits for the peer to read what was sent.
const LINGER: Duration = Duration::from_millis(500);

/// State of a connection that should have nothing to read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    Quiet,
    Closed,
    /// Bytes that no request asked for.
    UnexpectedBytes,
}

/// Connection with the bytes that were read and not yet used.
pub struct HttpStream {
    stream: TcpStream,
    input: Vec<u8>,
    start: usize,
    /// Arrival of the newest bytes.
    read_at: Instant,
    /// Arrival of the oldest bytes that were not used when newer ones came.
    begun_at: Instant,
}

impl HttpStream {
    pub fn new(stream: TcpStream) -> Self {
        let now = Instant::now();
        Self { stream, input: Vec::new(), start: 0, read_at: now, begun_at: now }
    }

    /// Moment at which the newest bytes arrived.
    pub fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Moment at which the first of the buffered bytes arrived, or one before it.
    pub fn begun_at(&self) -> Instant {
        self.begun_at
    }

    /// Bytes that were read and not used.
    pub fn buffered(&self) -> &[u8] {
        &self.input[self.start..]
    }

    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.input.len() {
            self.input.clear();
            self.start = 0;
        }
    }

    /// Reads more bytes; 0 means that the peer has closed its side. Cancelling loses nothing.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.input.drain(..self.start);
            self.start = 0;
        }
        let unused = self.input.len();
        loop {
            self.stream.readable().await?;
            self.input.reserve(READ_BYTES);
            match self.stream.try_read_buf(&mut self.input) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                result => {
                    self.read_at = Instant::now();
                    if unused == 0 {
                        self.begun_at = self.read_at;
                    }
                    return result;
                }
            }
        }
    }

    /// Waits until the peer has closed its side; keeps up to `limit` bytes that come before.
    pub async fn closed(&mut self, limit: usize) {
        while self.buffered().len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Looks at a connection that nothing was asked of.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.buffered().is_empty() {
            return IdleState::UnexpectedBytes;
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::UnexpectedBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Quiet,
            Err(_) => IdleState::Closed,
        }
    }

    /// Reads a request head; `None` when the peer closed the connection between requests.
    pub async fn read_request(
        &mut self,
        limits: &HttpLimits,
    ) -> Result<Option<RequestHead>, HttpError> {
        loop {
            // Empty lines before a request line are allowed (RFC 9112, section 2.2).
            while self.buffered().starts_with(b"\r\n") {
                self.consume(2);
            }
            if !self.buffered().is_empty()
                && let Some((head, length)) = RequestHead::parse(self.buffered(), limits)?
            {
                self.consume(length);
                return Ok(Some(head));
            }
            let started = !self.buffered().is_empty();
            if self.fill().await? == 0 {
                return if started { Err(HttpError::Truncated) } else { Ok(None) };
            }
        }
    }

    /// Reads the head of a final response; interim responses are skipped.
    pub async fn read_response(&mut self, limits: &HttpLimits) -> Result<ResponseHead, HttpError> {
        loop {
            if !self.buffered().is_empty()
                && let Some((head, length)) = ResponseHead::parse(self.buffered(), limits)?
            {
                self.consume(length);
                if head.is_interim() {
                    continue;
                }
                return Ok(head);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Appends decoded body bytes to `body` until it is complete or longer than `limit`.
    ///
    /// Returns whether the body is complete.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        body: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, HttpError> {
        loop {
            while !decoder.is_complete() && !self.buffered().is_empty() {
                let input = &self.input[self.start..];
                let chunk = decoder.decode(input)?;
                if chunk.consumed == 0 {
                    break;
                }
                body.extend_from_slice(&input[chunk.data]);
                self.consume(chunk.consumed);
            }
            if decoder.is_complete() {
                return Ok(true);
            }
            if body.len() > limit {
                return Ok(false);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Appends bytes until the peer closes its side or `limit` is passed; true at the end.
    pub async fn read_to_close(&mut self, body: &mut Vec<u8>, limit: usize) -> io::Result<bool> {
        loop {
            body.extend_from_slice(self.buffered());
            let taken = self.buffered().len();
            self.consume(taken);
            if body.len() > limit {
                return Ok(false);
            }
            if self.fill().await? == 0 {
                return Ok(true);
            }
        }
    }

    /// Writes `bytes` unless the peer answers before; returns whether all was written.
    pub async fn write_unanswered(&mut self, mut bytes: &[u8]) -> io::Result<bool> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    let ready = self.stream.ready(interest).await?;
                    if ready.is_readable() && self.take_readable()? {
                        return Ok(false);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Reads what is there without waiting; true when there was something, or the end.
    fn take_readable(&mut self) -> io::Result<bool> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(_) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends what was written, then waits a little for the peer to close.
    ///
    /// A connection that is closed with unread bytes is reset, which may destroy the last response.
    pub async fn close(mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let drain = async {
            let mut bytes = vec![0; 4 << 10];
            while let Ok(count) = self.stream.read(&mut bytes).await {
                if count == 0 {
                    return;
                }
            }
        };
        let _ = timeout(LINGER, drain).await;
    }
}

/// How a response body is marked towards the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFraming {
    Length(u64),
    Chunked,
}

impl RelayFraming {
    /// Framing of a body whose source is framed by `source`; `None` ends with the connection.
    pub fn of(source: Option<BodyFraming>) -> Self {
        match source.and_then(BodyFraming::declared_size) {
            Some(length) => Self::Length(length),
            None => Self::Chunked,
        }
    }

    /// Writes the header field that marks the end.
    pub fn write_header(self, output: &mut Vec<u8>) {
        match self {
            Self::Length(length) => {
                output.extend_from_slice(format!("content-length: {length}\r\n").as_bytes());
            }
            Self::Chunked => output.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        }
    }

    pub fn encode(self, data: &[u8], output: &mut Vec<u8>) {
        match self {
            Self::Length(_) => output.extend_from_slice(data),
            Self::Chunked => encode_chunk(data, output),
        }
    }

    pub fn encode_end(self, output: &mut Vec<u8>) {
        if self == Self::Chunked {
            encode_last_chunk(output);
        }
    }
}
