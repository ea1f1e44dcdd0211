//! TCP stream with a bounded read buffer.

use std::cell::RefCell;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::io::{Read, ReadExt, WriteExt};
use async_std::net::TcpStream;

use super::{BodyDecoder, HttpError, HttpLimits};
use crate::deadline::with_timeout;

/// Bytes requested from the socket in one read.
const READ_BYTES: usize = 16 * 1024;

/// Capacity that the buffer of an idle connection keeps, enough for a typical head.
const KEPT_BYTES: usize = 1024;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Bytes that are read and discarded before a refused connection is closed.
const LINGER_BYTES: usize = 512 * 1024;

/// Longest wait for the peer while bytes are discarded before a close.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// TCP stream whose unread input is kept in a buffer.
#[derive(Debug)]
pub struct BufferedStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
}

impl BufferedStream {
    /// Wraps a connected stream and turns off Nagle's algorithm.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new(), start: 0 })
    }

    /// Unread input.
    pub fn input(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Marks `count` bytes of the input as used.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.buffer.len() {
            return;
        }
        self.buffer.clear();
        self.buffer.shrink_to(KEPT_BYTES);
        self.start = 0;
    }

    /// Reads once from the socket and returns the number of bytes; 0 means end of stream.
    ///
    /// Dropping the future loses no input and leaves the buffer as it was.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context)).await
    }

    /// Reads by way of a buffer of the thread, so that an idle connection holds none.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|scratch| {
            let result = ready!(Pin::new(&mut self.stream).poll_read(context, scratch));
            let count = *result.as_ref().unwrap_or(&0);
            self.buffer.drain(..self.start);
            self.start = 0;
            self.buffer.extend_from_slice(&scratch[..count]);
            Poll::Ready(result)
        })
    }

    /// Writes all bytes; gives up after `stall` without progress.
    pub async fn write(&mut self, mut bytes: &[u8], stall: Duration) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            let written = limited(stall, "writing", self.stream.write(bytes)).await??;
            if written == 0 {
                return Err(HttpError::Io(io::ErrorKind::WriteZero.into()));
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Another handle to the socket, for concurrent writing or for watching.
    pub fn handle(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads until the decoder yields data and returns it; `None` at the end of the body.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limits: &HttpLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        while !decoder.is_complete() {
            let chunk = decoder.decode(self.input())?;
            let data = self.input()[chunk.data.clone()].to_vec();
            self.consume(chunk.consumed);
            if !data.is_empty() {
                return Ok(Some(data));
            }
            if chunk.consumed > 0 {
                continue;
            }
            let count = limited(limits.stall_timeout, "reading a body", self.fill()).await??;
            if count == 0 {
                return Err(HttpError::Truncated);
            }
        }
        Ok(None)
    }

    /// Closes after a refusal: stops sending, then discards input for a bounded time.
    ///
    /// Closing at once with unread input would reset the connection, and the peer could lose the
    /// response that explains the refusal.
    pub async fn close_lingering(mut self) {
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut left = LINGER_BYTES;
            let mut scratch = vec![0; READ_BYTES];
            while left > 0 {
                match self.stream.read(&mut scratch).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        let _ = with_timeout(LINGER_TIME, discard).await;
    }
}

/// Runs `future` for at most `limit`.
pub(super) async fn limited<T>(
    limit: Duration,
    action: &'static str,
    future: impl Future<Output = T>,
) -> Result<T, HttpError> {
    with_timeout(limit, future).await.map_err(|_| HttpError::Timeout(action))
}
