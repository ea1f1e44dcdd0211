//! Connections to servers.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::WriteExt;
use async_std::net::TcpStream;

use super::head::HeadScanner;
use super::pool::ConnectionPermit;
use super::stream::limited;
use super::{BodyDecoder, BodyFraming, BufferedStream, HttpError, HttpLimits, ResponseHead};

/// Interim responses that are skipped before a final one.
const INTERIM_RESPONSES: usize = 16;

/// Connection to one server that serves at most one request at a time.
#[derive(Debug)]
pub struct ServerConnection {
    stream: BufferedStream,
    address: SocketAddr,
    limits: HttpLimits,
    reused: bool,
    permit: ConnectionPermit,
}

/// Reading state of a response body.
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

    /// Reports whether the whole body was read.
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

    /// Reports whether the connection has served a request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Time without progress after which a transfer is given up.
    pub fn stall_timeout(&self) -> Duration {
        self.limits.stall_timeout
    }

    /// Writes raw bytes of a request.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.stream.write(bytes, self.limits.stall_timeout).await
    }

    /// Another handle for writing a body while the response is being read.
    pub fn writer(&self) -> TcpStream {
        self.stream.handle()
    }

    /// Writes all bytes to a handle from [`Self::writer`]; gives up after `stall` without progress.
    pub async fn write_to(
        mut writer: &TcpStream,
        mut bytes: &[u8],
        stall: Duration,
    ) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            let written = limited(stall, "writing", writer.write(bytes)).await??;
            if written == 0 {
                return Err(HttpError::Truncated);
            }
            bytes = &bytes[written..];
        }
        Ok(())
    }

    /// Reads the final response head to a request with `method`; interim responses are skipped.
    pub async fn read_head(
        &mut self,
        method: &str,
    ) -> Result<(ResponseHead, ResponseBody), HttpError> {
        let mut interim = 0;
        loop {
            let head = self.read_one_head().await?;
            if head.status == 101 {
                return Err(HttpError::InvalidFraming("server switched protocols unasked"));
            }
            if head.is_interim() {
                interim += 1;
                if interim > INTERIM_RESPONSES {
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

    async fn read_one_head(&mut self) -> Result<ResponseHead, HttpError> {
        let mut scanner = HeadScanner::default();
        loop {
            let input = self.stream.input();
            if !input.is_empty()
                && let Some((head, length)) =
                    ResponseHead::parse_more(input, &self.limits, &mut scanner)?
            {
                self.stream.consume(length);
                return Ok(head);
            }
            if self.stream.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Reads the next piece of the body; `None` at its end.
    pub async fn read_body(
        &mut self,
        body: &mut ResponseBody,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        self.stream.read_body(&mut body.decoder, &self.limits).await
    }

    /// Returns the connection to its pool when it is certain that nothing is left over from the
    /// request; otherwise closes it.
    pub fn release(mut self, body: &ResponseBody) {
        if !body.is_complete() || !body.keep_alive || !self.stream.input().is_empty() {
            return;
        }
        self.reused = true;
        let pool = self.permit.pool();
        pool.put_idle(self);
    }

    /// Reports whether an idle connection still waits for a request.
    ///
    /// Any input on an idle connection, an end of stream included, means that it must not be used.
    pub(super) async fn is_quiet(&self) -> bool {
        use futures_util::FutureExt;
        let handle = self.stream.handle();
        self.stream.input().is_empty() && handle.peek(&mut [0]).now_or_never().is_none()
    }
}
