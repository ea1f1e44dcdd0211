//! Bodies of responses: complete, or relayed while they arrive.

use std::rc::Rc;
use std::time::Instant;

use super::context::EntryContext;
use super::watched_send::{IdentifiedSend, SendEnd};
use crate::fleet::stream::HttpStream;
use crate::http::{BodyDecoder, BodyFraming, HttpError};

/// Body of a response, complete or still arriving.
pub enum ServerBody {
    Complete(Vec<u8>),
    Streaming(Box<StreamingBody>),
}

/// Body that is relayed before it is complete. Dropping it is no evidence: the caller has left, or the
/// time is over.
pub struct StreamingBody {
    /// Bytes that have arrived so far.
    pub buffered: Vec<u8>,
    pub stream: HttpStream,
    pub end: BodyEnd,
    pub framing: Option<BodyFraming>,
    pub status: u16,
    /// The send, until it has ended; `None` also for a server that has left the replica.
    pub watched: Option<IdentifiedSend>,
}

impl StreamingBody {
    /// Reads the next part of the body, longer than `limit` unless it is the last one; returns it and whether
    /// it is the last one, or `None` if the server broke off. Before that, this waits until `wait_deadline`
    /// at the latest for evidence of a crash to be told.
    pub async fn read_part(
        &mut self,
        context: &Rc<EntryContext>,
        limit: usize,
        wait_deadline: Instant,
    ) -> Option<(Vec<u8>, bool)> {
        let mut part = Vec::new();
        let read = self.end.read(context, &mut self.stream, &mut part, limit).await;
        let send_end = match &read {
            Ok(false) => return Some((part, false)),
            Ok(true) => SendEnd::of_complete(self.status, self.framing.is_some()),
            Err(error) => SendEnd::of_relay_error(error, Instant::now(), self.stream.drained_at()),
        };
        if let Some(watched) = self.watched.take() {
            watched.end(context, send_end, wait_deadline).await;
        }
        read.ok().map(|is_last| (part, is_last))
    }
}

/// How the end of a streaming body is detected.
pub enum BodyEnd {
    Framed(BodyDecoder),
    /// The server closes its side of the connection.
    Close,
}

impl BodyEnd {
    pub fn of(framing: Option<BodyFraming>) -> Self {
        framing.map_or(Self::Close, |framing| Self::Framed(BodyDecoder::new(framing)))
    }

    /// Appends body bytes to `body` until the body is complete or longer than `limit`; returns whether
    /// it is complete. Cancel-safe.
    pub async fn read(
        &mut self,
        context: &EntryContext,
        stream: &mut HttpStream,
        body: &mut Vec<u8>,
        limit: usize,
    ) -> Result<bool, HttpError> {
        match self {
            Self::Framed(decoder) => {
                stream.read_body_paced(decoder, body, limit, &context.server_pacer).await
            }
            Self::Close => Ok(stream.read_to_close(body, limit).await?),
        }
    }
}
