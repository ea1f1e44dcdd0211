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

/// Maximum number of bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Buffer capacity in bytes that an idle connection retains, enough for a typical head.
const RETAINED_BUFFER_BYTES: usize = 1024;

thread_local! {
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// Maximum number of bytes discarded by a lingering close.
const MAX_LINGER_BYTES: usize = 512 * 1024;

/// Maximum duration of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// TCP stream with a buffer for received bytes that have not been consumed.
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

    /// Received bytes that have not been consumed.
    pub fn input(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Removes the first `count` bytes of the input.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start < self.buffer.len() {
            return;
        }
        self.buffer.clear();
        self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        self.start = 0;
    }

    /// Reads once from the socket and returns the number of bytes; 0 means end of stream.
    ///
    /// Cancellation-safe: dropping the future loses no input.
    pub async fn fill(&mut self) -> io::Result<usize> {
        poll_fn(|context| self.poll_fill(context)).await
    }

    /// Reads into a thread-local buffer first, so that an idle connection occupies no read buffer.
    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|read_buffer| {
            let result = ready!(Pin::new(&mut self.stream).poll_read(context, read_buffer));
            let count = *result.as_ref().unwrap_or(&0);
            self.buffer.drain(..self.start);
            self.start = 0;
            self.buffer.extend_from_slice(&read_buffer[..count]);
            Poll::Ready(result)
        })
    }

    /// Writes all bytes; fails after `stall_timeout` without progress.
    pub async fn write(
        &mut self,
        mut bytes: &[u8],
        stall_timeout: Duration,
    ) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            let written =
                with_http_timeout(stall_timeout, "writing", self.stream.write(bytes)).await??;
            if written == 0 {
                return Err(HttpError::Io(io::ErrorKind::WriteZero.into()));
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Returns a second handle to the socket, to write concurrently or to detect a close.
    pub fn handle(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Reads until the decoder yields body data and returns it; `None` at the end of the body.
    pub async fn read_body(
        &mut self,
        decoder: &mut BodyDecoder,
        limits: &HttpLimits,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        while !decoder.is_complete() {
            let step = decoder.decode(self.input())?;
            let data = self.input()[step.data.clone()].to_vec();
            self.consume(step.consumed);
            if !data.is_empty() {
                return Ok(Some(data));
            }
            if step.consumed > 0 {
                continue;
            }
            let count =
                with_http_timeout(limits.stall_timeout, "reading a body", self.fill()).await??;
            if count == 0 {
                return Err(HttpError::Truncated);
            }
        }
        Ok(None)
    }

    /// Lingering close: shuts down the sending side, then discards input up to limits on bytes and
    /// time.
    ///
    /// Closing immediately with unread input would reset the connection, and the peer could lose a
    /// response that was already sent.
    pub async fn close_lingering(mut self) {
        if self.stream.shutdown(std::net::Shutdown::Write).is_err() {
            return;
        }
        let discard = async {
            let mut remaining = MAX_LINGER_BYTES;
            let mut read_buffer = vec![0; READ_BUFFER_BYTES];
            while remaining > 0 {
                match self.stream.read(&mut read_buffer).await {
                    Ok(0) | Err(_) => return,
                    Ok(count) => remaining = remaining.saturating_sub(count),
                }
            }
        };
        let _ = with_timeout(LINGER_TIMEOUT, discard).await;
    }
}

/// Runs `future` for at most `timeout`; `action` describes it in the error.
pub(super) async fn with_http_timeout<T>(
    timeout: Duration,
    action: &'static str,
    future: impl Future<Output = T>,
) -> Result<T, HttpError> {
    with_timeout(timeout, future).await.map_err(|_| HttpError::Timeout(action))
}
