//! Server side of HTTP/1.1: connections accepted from callers.

use std::future::{Future, pending};
use std::net::SocketAddr;
use std::time::Duration;

use async_std::net::TcpStream;

use super::head::HeadScanner;
use super::stream::with_http_timeout;
use super::{
    BodyDecoder, BodyFraming, BufferedStream, HttpError, HttpLimits, RequestHead, ResponseHead,
    encode_chunk, encode_last_chunk,
};

/// Maximum number of empty lines skipped before a request line (RFC 9112, section 2.2).
const MAX_LEADING_EMPTY_LINES: usize = 4;

/// Connection accepted from a caller or from the load balancer of the platform.
#[derive(Debug)]
pub struct CallerConnection {
    stream: BufferedStream,
    limits: HttpLimits,
    peer: SocketAddr,
    /// Bytes of a final response to the current request were written.
    response_started: bool,
}

/// Progress of reading a request body.
#[derive(Clone, Debug)]
pub struct RequestBody {
    decoder: BodyDecoder,
    framing: BodyFraming,
    /// The caller waits for `100 Continue`, which has not been sent yet.
    awaits_continue: bool,
}

impl RequestBody {
    /// Prepares to read the body that follows `head`.
    pub fn new(head: &RequestHead) -> Self {
        Self {
            decoder: BodyDecoder::new(head.framing),
            framing: head.framing,
            awaits_continue: head.expects_continue() && head.framing != BodyFraming::Empty,
        }
    }

    /// How the body is framed.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Reports whether the body has been read to its end.
    pub fn is_complete(&self) -> bool {
        self.decoder.is_complete()
    }
}

impl CallerConnection {
    /// Wraps an accepted stream.
    pub fn new(stream: TcpStream, limits: HttpLimits) -> Result<Self, HttpError> {
        let peer = stream.peer_addr()?;
        let stream = BufferedStream::new(stream)?;
        Ok(Self { stream, limits, peer, response_started: false })
    }

    /// Address of the remote end.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Reads the next request head; `None` when the peer closed the connection or the idle timeout
    /// expired before the first byte.
    pub async fn next_head(&mut self) -> Result<Option<RequestHead>, HttpError> {
        if !self.wait_for_input().await? {
            return Ok(None);
        }
        self.response_started = false;
        let timeout = self.limits.head_timeout;
        with_http_timeout(timeout, "reading a head", self.read_head()).await?.map(Some)
    }

    /// Reports whether the read buffer holds bytes that belong to no request so far.
    pub fn has_input(&self) -> bool {
        !self.stream.input().is_empty()
    }

    /// Waits for the first byte of a request; `false` when the peer closed the connection or the
    /// idle timeout expired.
    pub async fn wait_for_input(&mut self) -> Result<bool, HttpError> {
        if !self.stream.input().is_empty() {
            return Ok(true);
        }
        match with_http_timeout(self.limits.idle_timeout, "idle", self.stream.fill()).await {
            Ok(Ok(count)) => Ok(count > 0),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Ok(false),
        }
    }

    async fn read_head(&mut self) -> Result<RequestHead, HttpError> {
        let mut skipped_lines = 0;
        let mut scanner = HeadScanner::default();
        loop {
            while self.stream.input().starts_with(b"\r\n")
                && skipped_lines < MAX_LEADING_EMPTY_LINES
            {
                self.stream.consume(2);
                skipped_lines += 1;
            }
            let input = self.stream.input();
            let request_line_pending = input.is_empty() || input == b"\r";
            if !request_line_pending
                && let Some((head, length)) =
                    RequestHead::parse_incremental(input, &self.limits, &mut scanner)?
            {
                self.stream.consume(length);
                return Ok(head);
            }
            if self.stream.fill().await? == 0 {
                return Err(HttpError::Truncated);
            }
        }
    }

    /// Reads the next piece of body data, after sending `100 Continue` if the caller waits for it;
    /// `None` at the end of the body.
    pub async fn read_body(
        &mut self,
        body: &mut RequestBody,
    ) -> Result<Option<Vec<u8>>, HttpError> {
        if body.awaits_continue {
            body.awaits_continue = false;
            let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
            self.stream.write(interim, self.limits.stall_timeout).await?;
        }
        self.stream.read_body(&mut body.decoder, &self.limits).await
    }

    /// Reads the whole body into memory; fails when it exceeds `limit` bytes.
    pub async fn read_whole_body(
        &mut self,
        body: &mut RequestBody,
        limit: u64,
    ) -> Result<Vec<u8>, HttpError> {
        if body.framing.declared_size().is_some_and(|size| size > limit) {
            return Err(HttpError::BodyTooLarge(limit));
        }
        let mut content = Vec::new();
        while let Some(data) = self.read_body(body).await? {
            if (content.len() + data.len()) as u64 > limit {
                return Err(HttpError::BodyTooLarge(limit));
            }
            content.extend_from_slice(&data);
        }
        Ok(content)
    }

    /// Whether a part of the response to the current request was written, so that no other can follow.
    pub fn has_response_started(&self) -> bool {
        self.response_started
    }

    /// Writes bytes of a response; fails after the stall timeout without progress.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), HttpError> {
        self.response_started = true;
        self.stream.write(bytes, self.limits.stall_timeout).await
    }

    /// Writes a response with a body in memory and sets its `Content-Length`.
    ///
    /// `Connection: close` is left to the code that builds `head`.
    pub async fn respond(
        &mut self,
        request: &RequestHead,
        mut head: ResponseHead,
        body: &[u8],
    ) -> Result<(), HttpError> {
        head.headers.remove("content-length");
        // A 204 must not have a Content-Length, and in a 304 it would state the size of the
        // representation (RFC 9110, section 8.6).
        let has_no_body = matches!(head.status, 204 | 304);
        if !has_no_body {
            let length = body.len().to_string();
            let _ = head.headers.append("content-length", length.as_bytes());
        }
        let mut output = Vec::with_capacity(512 + body.len());
        head.write_to(&mut output);
        if !has_no_body && request.method.as_ref() != "HEAD" {
            output.extend_from_slice(body);
        }
        self.write(&output).await
    }

    /// Writes a piece of a streamed response body, as a chunk if the framing is chunked.
    pub async fn write_body(&mut self, framing: BodyFraming, data: &[u8]) -> Result<(), HttpError> {
        if framing != BodyFraming::Chunked {
            return self.write(data).await;
        }
        let mut output = Vec::with_capacity(data.len() + 16);
        encode_chunk(data, &mut output);
        self.write(&output).await
    }

    /// Ends a streamed response body; only chunked framing needs bytes for this.
    pub async fn end_body(&mut self, framing: BodyFraming) -> Result<(), HttpError> {
        if framing != BodyFraming::Chunked {
            return Ok(());
        }
        let mut output = Vec::new();
        encode_last_chunk(&mut output);
        self.write(&output).await
    }

    /// Resolves when the caller has closed its side of the connection.
    ///
    /// Never resolves while unread bytes are waiting, because the close can only be seen after
    /// them.
    pub fn closed(&self) -> impl Future<Output = ()> + use<> {
        let socket = self.stream.handle();
        let has_input = !self.stream.input().is_empty();
        async move {
            if has_input {
                return pending().await;
            }
            match socket.peek(&mut [0]).await {
                Ok(0) | Err(_) => (),
                Ok(_) => pending().await,
            }
        }
    }

    /// Time without progress after which a transfer is aborted.
    pub fn stall_timeout(&self) -> Duration {
        self.limits.stall_timeout
    }

    /// Rejects a request that may not have been read to its end: sends the response and closes the
    /// connection with [`Self::close_lingering`].
    pub async fn refuse(mut self, mut head: ResponseHead, body: &[u8]) -> Result<(), HttpError> {
        let _ = head.headers.set("connection", b"close");
        let _ = head.headers.set("content-length", body.len().to_string().as_bytes());
        let mut output = Vec::with_capacity(512 + body.len());
        head.write_to(&mut output);
        output.extend_from_slice(body);
        self.write(&output).await?;
        self.close_lingering().await;
        Ok(())
    }

    /// Closes the connection so that unread input does not make the peer lose the response.
    pub async fn close_lingering(self) {
        self.stream.close_lingering().await;
    }
}
