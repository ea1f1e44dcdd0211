//! Buffered HTTP/1.1 connection on the single-threaded runtime.

use std::cell::RefCell;
use std::io::{self, Read};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout};

use super::relay::line::{LinePacer, PIECE_BYTES, SHORT_BODY_BYTES};
use crate::http::{
    BodyDecoder, BodyFraming, HttpError, HttpLimits, RequestHead, ResponseHead, encode_chunk,
    encode_last_chunk,
};

/// Buffer space reserved for each read.
const READ_BYTES: usize = 16 << 10;

/// Schedule of the pieces of a long body; all bodies in the same direction share it.
pub type SharedPacer<'a> = &'a RefCell<LinePacer>;

/// Time for which a closing connection waits for the peer once the peer can have read everything.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Slowest rate at which a peer is expected to read: a line of 2 Mbit/s.
const SLOWEST_BYTES_PER_S: f64 = 250_000.0;

/// Size of a send buffer that holds the end of a long response: two seconds of a line of 4 Mbit/s.
const LARGE_SEND_BUFFER_BYTES: usize = 1 << 20;

/// Largest send buffer that is expected; what is written beyond it was read by the peer.
const MAX_SEND_BUFFER_BYTES: usize = 2 * LARGE_SEND_BUFFER_BYTES;

/// Maximum number of interim responses before a final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Estimate of the written bytes that the peer may not have read yet.
#[derive(Debug, Clone, Copy)]
struct UnreadEstimate {
    /// Time at which the slowest peer has read everything.
    read_at: Instant,
}

impl UnreadEstimate {
    fn add(&mut self, now: Instant, bytes: usize) {
        let duration = Duration::from_secs_f64(bytes as f64 / SLOWEST_BYTES_PER_S);
        let max_duration =
            Duration::from_secs_f64(MAX_SEND_BUFFER_BYTES as f64 / SLOWEST_BYTES_PER_S);
        self.read_at = (self.read_at.max(now) + duration).min(now + max_duration);
    }
}

/// State of a connection on which no data is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    Idle,
    Closed,
    /// The peer sent bytes without a pending request.
    UnexpectedBytes,
}

/// Connection with a buffer of bytes that were read but not consumed.
pub struct HttpStream {
    stream: TcpStream,
    input: Vec<u8>,
    start: usize,
    /// Maximum number of bytes in one read.
    read_bytes: usize,
    /// Time for which writes have waited until the peer had read enough.
    write_wait: Duration,
    has_large_send_buffer: bool,
    unread: UnreadEstimate,
    /// Arrival time of the newest bytes.
    last_read_at: Instant,
    /// Latest time at which everything that had arrived was read, and the peer had not closed its side.
    drained_at: Instant,
    /// Arrival time of the oldest buffered bytes, or of earlier bytes that were still in the buffer when
    /// they arrived.
    buffered_since: Instant,
}

impl HttpStream {
    pub fn new(stream: TcpStream) -> Self {
        let now = Instant::now();
        let (input, start, read_bytes) = (Vec::new(), 0, READ_BYTES);
        let write_wait = Duration::ZERO;
        Self {
            stream,
            input,
            start,
            read_bytes,
            write_wait,
            has_large_send_buffer: false,
            unread: UnreadEstimate { read_at: now },
            last_read_at: now,
            drained_at: now,
            buffered_since: now,
        }
    }

    /// Time for which writes have waited until the peer had read enough.
    pub fn write_wait(&self) -> Duration {
        self.write_wait
    }

    /// Time at which the newest bytes arrived.
    pub fn last_read_at(&self) -> Instant {
        self.last_read_at
    }

    /// Time until which the peer had certainly not closed its side.
    pub fn drained_at(&self) -> Instant {
        self.drained_at
    }

    /// Time at which the oldest buffered bytes arrived, or an earlier time.
    pub fn buffered_since(&self) -> Instant {
        self.buffered_since
    }

    /// Bytes that were read but not consumed.
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

    /// Reads more bytes into the buffer; returns 0 if the peer has closed its side. Cancel-safe.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.input.drain(..self.start);
            self.start = 0;
        }
        let unconsumed = self.input.len();
        let mut is_drained = false;
        loop {
            self.stream.readable().await?;
            if is_drained {
                // The wait has only just ended.
                self.drained_at = Instant::now();
            }
            let length = self.input.len();
            // Doubling would cost as much again on each of many connections.
            self.input.reserve_exact(self.read_bytes);
            self.input.resize(length + self.read_bytes, 0);
            let result = self.stream.try_read(&mut self.input[length..]);
            self.input.truncate(length + *result.as_ref().unwrap_or(&0));
            match result {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => is_drained = true,
                result => {
                    self.last_read_at = Instant::now();
                    if unconsumed == 0 {
                        self.buffered_since = self.last_read_at;
                    }
                    return result;
                }
            }
        }
    }

    /// Waits until the peer closes its side. Bytes that arrive before are buffered; once `limit` bytes
    /// are in the buffer, this never returns.
    pub async fn closed(&mut self, limit: usize) {
        while self.buffered().len() < limit {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending().await
    }

    /// Checks the state of a connection without a pending request.
    pub fn idle_state(&mut self) -> IdleState {
        if !self.buffered().is_empty() {
            return IdleState::UnexpectedBytes;
        }
        let mut byte = [0; 1];
        match self.stream.try_read(&mut byte) {
            Ok(0) => IdleState::Closed,
            Ok(_) => IdleState::UnexpectedBytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Idle,
            Err(_) => IdleState::Closed,
        }
    }

    /// Reads a request head; returns `None` if the peer closed the connection between requests.
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

    /// Reads the head of a final response, skipping interim responses.
    pub async fn read_response(&mut self, limits: &HttpLimits) -> Result<ResponseHead, HttpError> {
        let mut interim_count = 0;
        loop {
            if !self.buffered().is_empty()
                && let Some((head, length)) = ResponseHead::parse(self.buffered(), limits)?
            {
                self.consume(length);
                if head.status == 101 {
                    return Err(HttpError::InvalidFraming("server switched protocols unasked"));
                }
                if !head.is_interim() {
                    return Ok(head);
                }
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::UnexpectedBytes);
                }
                continue;
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Appends decoded body bytes to `body` until the body is complete or longer than `limit`.
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

    /// Like [`Self::read_body`], but paces a long body. The connection reads in small pieces from then
    /// on, so that the rest waits at the server and not on the line.
    pub async fn read_body_paced(
        &mut self,
        decoder: &mut BodyDecoder,
        body: &mut Vec<u8>,
        limit: usize,
        pacer: SharedPacer<'_>,
    ) -> Result<bool, HttpError> {
        if !pacer.borrow().is_active() {
            return self.read_body(decoder, body, limit).await;
        }
        loop {
            let next_limit = limit.min(body.len().max(SHORT_BODY_BYTES));
            let complete = self.read_body(decoder, body, next_limit).await?;
            if complete || body.len() > limit {
                return Ok(complete);
            }
            self.read_bytes = PIECE_BYTES;
            let resume_at = pacer.borrow_mut().schedule(Instant::now(), PIECE_BYTES);
            sleep_until(resume_at.into()).await;
        }
    }

    /// Writes a response; a long one is paced.
    pub async fn write_paced(&mut self, bytes: &[u8], pacer: SharedPacer<'_>) -> io::Result<()> {
        if !pacer.borrow().is_active() || bytes.len() <= SHORT_BODY_BYTES {
            return self.write(bytes).await;
        }
        for piece in bytes.chunks(PIECE_BYTES) {
            self.write(piece).await?;
            let resume_at = pacer.borrow_mut().schedule(Instant::now(), piece.len());
            sleep_until(resume_at.into()).await;
        }
        Ok(())
    }

    /// Appends bytes until the peer closes its side or `limit` is exceeded; returns whether the peer
    /// closed.
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

    /// Writes `bytes`, stopping early if the peer responds; returns whether all bytes were written.
    pub async fn write_until_response(&mut self, mut bytes: &[u8]) -> io::Result<bool> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    let interest = Interest::READABLE | Interest::WRITABLE;
                    let ready = self.stream.ready(interest).await?;
                    if ready.is_readable() && self.fill_available()? {
                        return Ok(false);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Reads available bytes without waiting; returns whether there were any or the peer closed.
    pub fn fill_available(&mut self) -> io::Result<bool> {
        let was_empty = self.buffered().is_empty();
        self.input.reserve(READ_BYTES);
        let mut read = self.stream.try_read_buf(&mut self.input);
        if read.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
            read = self.read_from_kernel();
        }
        match read {
            Ok(_) => {
                self.last_read_at = Instant::now();
                if was_empty {
                    self.buffered_since = self.last_read_at;
                }
                Ok(true)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Reads without the runtime, which knows only of bytes that its last poll of the kernel reported.
    fn read_from_kernel(&mut self) -> io::Result<usize> {
        let length = self.input.len();
        self.input.resize(length + READ_BYTES, 0);
        let read = (&*SockRef::from(&self.stream)).read(&mut self.input[length..]);
        self.input.truncate(length + *read.as_ref().unwrap_or(&0));
        read
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let started = Instant::now();
        let result = self.stream.write_all(bytes).await;
        self.write_wait += started.elapsed();
        self.unread.add(Instant::now(), bytes.len());
        result
    }

    /// Whether the peer may not have read everything.
    pub fn may_hold_unread(&self) -> bool {
        Instant::now() < self.unread.read_at
    }

    /// Lets the kernel take more of a response than the peer has read: it transmits the rest even after the
    /// process has exited.
    pub fn enlarge_send_buffer(&mut self) {
        if std::mem::replace(&mut self.has_large_send_buffer, true) {
            return;
        }
        let socket = SockRef::from(&self.stream);
        let is_smaller = |granted| socket.send_buffer_size().is_ok_and(|bytes| bytes < granted);
        if granted_send_buffer().is_ok_and(is_smaller) {
            // If it fails, less of the response is transmitted after the exit.
            let _ = socket.set_send_buffer_size(LARGE_SEND_BUFFER_BYTES);
        }
    }

    /// Shuts down the sending side and waits until the peer closes, or can have read everything.
    ///
    /// Closing a socket with unread bytes resets the connection, and so do bytes that arrive afterwards: a
    /// peer that pipelines sends them before it has read that the connection ends. A reset discards what
    /// the kernel has not sent yet.
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
        let unread_time = self.unread.read_at.saturating_duration_since(Instant::now());
        let _ = timeout(unread_time + LINGER_TIMEOUT, drain).await;
    }
}

/// Size, as the kernel counts it, that the system grants to a large send buffer. A buffer that has already
/// grown beyond it by itself would shrink to it.
fn granted_send_buffer() -> io::Result<usize> {
    let probe = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    probe.set_send_buffer_size(LARGE_SEND_BUFFER_BYTES)?;
    probe.send_buffer_size()
}

/// Framing of a response body that is relayed to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayFraming {
    Length(u64),
    Chunked,
}

impl RelayFraming {
    /// Chooses the framing for a body received with framing `source`; `None` stands for a body that
    /// ends with the connection.
    pub fn of(source: Option<BodyFraming>) -> Self {
        match source.and_then(BodyFraming::declared_size) {
            Some(length) => Self::Length(length),
            None => Self::Chunked,
        }
    }

    /// Writes the header field that declares the framing.
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
