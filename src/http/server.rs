//! Client side of HTTP/1.1: pooled connections to servers.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use super::head::HeadScanner;
use super::pool::ConnectionPermit;
use super::stream::with_http_timeout;
use super::{BodyDecoder, BodyFraming, BufferedStream, HttpError, HttpLimits, ResponseHead};

/// Maximum number of interim responses skipped before a final response.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Connection to a server; carries one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    stream: BufferedStream,
    address: SocketAddr,
    limits: HttpLimits,
    reused: bool,
    permit: ConnectionPermit,
}

/// Progress of reading a response body.
#[derive(Clone, Debug)]
pub struct ResponseBody {
    decoder: BodyDecoder,
    framing: BodyFraming,
    keep_alive: bool,
}

impl ResponseBody {
    /// How the body is framed.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Reports whether the body has been read to its end.
    pub fn is_complete(&self) -> bool {
        self.decoder.is_complete()
    }
}

impl ServerConnection {
    pub(super) fn new(
        stream: TcpStream,
        address: SocketAddr,
        limits: HttpLimits,
        permit: ConnectionPermit,
    ) -> Result<Self, HttpError> {
        Ok(Self { stream: BufferedStream::new(stream)?, address, limits, reused: false, permit })
    }

    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Time without progress after which a transfer is aborted.
    pub fn stall_timeout(&self) -> Duration {
        self.limits.stall_timeout
    }

    /// Writes raw bytes of a request; fails after the stall timeout without progress.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.write(bytes, self.limits.stall_timeout).await
    }

    /// Returns a second handle to the socket, to write the request body while the response is being
    /// read.
    pub fn writer(&self) -> TcpStream {
        self.stream.handle()
    }

    /// Writes all bytes to a handle from [`Self::writer`]; fails after `stall_timeout` without
    /// progress.
    pub async fn write_all(
        mut writer: &TcpStream,
        mut bytes: &[u8],
        stall_timeout: Duration,
    ) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            let written =
                with_http_timeout(stall_timeout, "writing", writer.write(bytes)).await??;
            if written == 0 {
                return Err(HttpError::Truncated);
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Reads the head of the final response to a request with `method`; skips interim responses.
    pub async fn read_head(
        &mut self,
        method: &str,
    ) -> Result<(ResponseHead, ResponseBody), HttpError> {
        let mut interim_count = 0;
        loop {
            let head = self.read_next_head().await?;
            if head.status == 101 {
                return Err(HttpError::InvalidFraming("server switched protocols unasked"));
            }
            if head.is_interim() {
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(HttpError::UnexpectedBytes);
                }
                continue;
            }
            let framing = BodyFraming::of_response(method, &head)?;
            let body = ResponseBody {
                decoder: BodyDecoder::new(framing),
                framing,
                keep_alive: head.keep_alive(),
            };
            return Ok((head, body));
        }
    }

    async fn read_next_head(&mut self) -> Result<ResponseHead, HttpError> {
        let mut scanner = HeadScanner::default();
        loop {
            let input = self.stream.input();
            if !input.is_empty()
                && let Some((head, length)) =
                    ResponseHead::parse_incremental(input, &self.limits, &mut scanner)?
            {
                self.stream.consume(length);
                return Ok(head);
            }
            if self.stream.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Reads the next piece of body data; `None` at the end of the body.
    pub async fn read_body(
        &mut self,
        body: &mut ResponseBody,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        self.stream.read_body(&mut body.decoder, &self.limits).await
    }

    /// Returns the connection to its pool if the response is complete, the server keeps the
    /// connection open and no further bytes have arrived; otherwise closes it.
    pub fn release(mut self, body: &ResponseBody) {
        if !body.is_complete() || !body.keep_alive || !self.stream.input().is_empty() {
            return;
        }
        self.reused = true;
        let pool = self.permit.pool_handle();
        pool.put_idle(self);
    }

    /// Reports whether an idle connection can carry another request.
    ///
    /// Any input on an idle connection, including the end of the stream, makes it unusable.
    pub(super) async fn is_reusable(&self) -> bool {
        use futures_util::FutureExt;
        let socket = self.stream.handle();
        self.stream.input().is_empty() && socket.peek(&mut [0]).now_or_never().is_none()
    }
}
