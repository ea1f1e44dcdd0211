//! Writes responses to callers: those of servers and the entry's own.

use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use super::activity::RequestProgress;
use super::context::EntryContext;
use super::local_response::LocalResponse;
use super::send::ServerResponse;
use super::server_body::{ServerBody, StreamingBody};
use crate::fleet::stream::{HttpStream, RelayFraming};
use crate::http::{BodyFraming, ResponseHead};
use crate::log_info;

/// Size of the parts in which a streaming response is forwarded.
const RELAY_PART_BYTES: usize = 64 << 10;

/// The same for a response without reserved memory.
const UNRESERVED_PART_BYTES: usize = 8 << 10;

/// Time after the deadline of a request at which the relay of its response ends. A server may send
/// without end, and a caller may read slowly.
const RELAY_GRACE: Duration = Duration::from_secs(5);

/// Why a caller's connection is not kept open.
pub enum ConnectionEnd {
    /// The peer has disconnected, or its stream is unusable.
    Drop,
    /// All requests were answered.
    Close,
}

/// Writes a response that the entry generated itself.
pub async fn write_local_response(
    stream: &mut HttpStream,
    response: &LocalResponse,
    keep_alive: bool,
) -> Result<(), ConnectionEnd> {
    let mut head = ResponseHead::new(response.status);
    let length = response.reason.len().to_string();
    let mut fields = vec![("content-type", "text/plain".to_owned()), ("content-length", length)];
    if let Some(delay) = response.retry_after {
        fields.push(("retry-after", format!("{:.3}", delay.as_secs_f64())));
    }
    if let Some(scheme) = response.challenge {
        fields.push(("www-authenticate", scheme.to_owned()));
    }
    if !keep_alive {
        fields.push(("connection", "close".to_owned()));
    }
    for (name, value) in &fields {
        // Cannot fail: the values contain no control characters.
        let _ = head.headers.append(name, value.as_bytes());
    }
    let mut output = Vec::with_capacity(200);
    head.write_to(&mut output);
    output.extend_from_slice(response.reason.as_bytes());
    stream.write(&output).await.map_err(|_| ConnectionEnd::Drop)
}

/// Maximum size of the framing of one chunk and of the last one.
const MAX_FRAMING_BYTES: usize = 32;

/// Body that is being relayed.
struct BodyRelay {
    body: StreamingBody,
    framing: RelayFraming,
    /// Size of the parts that are read.
    part_bytes: usize,
    /// What is written next.
    output: Vec<u8>,
}

/// Relay of one response to its caller.
pub struct ResponseRelay<'a> {
    pub context: &'a Rc<EntryContext>,
    pub progress: &'a RequestProgress,
    pub method: &'a str,
    /// Whether the caller's connection stays open.
    pub keep_alive: bool,
}

impl ResponseRelay<'_> {
    /// Forwards a server's response. If the server breaks off, the caller can see that the body is
    /// incomplete.
    pub async fn run(
        &self,
        stream: &mut HttpStream,
        response: ServerResponse,
    ) -> Result<(), ConnectionEnd> {
        let ServerResponse { mut head, body, share, server: server_id, rule, deadline } = response;
        let (started, waited_before) = (Instant::now(), stream.write_wait());
        let no_body = self.method == "HEAD" || matches!(head.status, 204 | 304);
        head.headers.remove_hop_by_hop();
        if !no_body {
            head.headers.remove("content-length");
        }
        if !self.keep_alive {
            let _ = head.headers.append("connection", b"close");
        }
        let mut output = Vec::with_capacity(1024);
        head.write_to(&mut output);
        output.truncate(output.len() - 2);
        let result = match body {
            ServerBody::Complete(bytes) => {
                let size = bytes.len() as u64;
                self.progress.begin_response(Instant::now(), Some(size));
                if !no_body {
                    RelayFraming::Length(size).write_header(&mut output);
                }
                output.extend_from_slice(b"\r\n");
                output.extend_from_slice(&bytes);
                drop(bytes);
                let written = stream.write_paced(&output, &self.context.caller_pacer).await;
                written.map_err(|_| ConnectionEnd::Drop)
            }
            ServerBody::Streaming(mut body) => {
                let declared_size = body.framing.and_then(BodyFraming::declared_size);
                self.progress.begin_response(Instant::now(), declared_size);
                let relay_framing = RelayFraming::of(body.framing);
                relay_framing.write_header(&mut output);
                output.extend_from_slice(b"\r\n");
                relay_framing.encode(&std::mem::take(&mut body.buffered), &mut output);
                let part_bytes =
                    if share.is_reserved() { RELAY_PART_BYTES } else { UNRESERVED_PART_BYTES };
                let relay_deadline = deadline + RELAY_GRACE;
                let relay = BodyRelay { body: *body, framing: relay_framing, part_bytes, output };
                let relay = self.relay_body(stream, relay, relay_deadline);
                let result = timeout_at(relay_deadline.into(), relay).await;
                let result = result.unwrap_or(Err(ConnectionEnd::Drop));
                if result.is_err() {
                    log_info!("response_broken_off", "server={server_id} status={}", head.status);
                }
                result
            }
        };
        let caller_wait = stream.write_wait() - waited_before;
        let elapsed = started.elapsed().saturating_sub(caller_wait);
        self.context.relay_times.borrow_mut().record(
            &rule,
            elapsed,
            self.progress.response_bytes(),
        );
        result
    }

    /// Relays the rest of a body. The next part is read while the last one is written: on a slow line
    /// both directions take as long, and by turns a body would take twice the time.
    async fn relay_body(
        &self,
        caller: &mut HttpStream,
        relay: BodyRelay,
        relay_deadline: Instant,
    ) -> Result<(), ConnectionEnd> {
        let BodyRelay { mut body, framing, part_bytes, mut output } = relay;
        let mut complete = false;
        while !complete {
            if self.context.is_stopping() {
                caller.enlarge_send_buffer();
            }
            let write = async {
                let written = caller.write_paced(&output, &self.context.caller_pacer).await;
                written.map_err(|_| ConnectionEnd::Drop)
            };
            let read = body.read_part(self.context, part_bytes, relay_deadline);
            let read = async { Ok(read.await) };
            // A caller that has left ends the read, but a server that breaks off does not end the write.
            let ((), read) = tokio::try_join!(write, read)?;
            self.progress.add_relayed(output.len());
            // The end of the body is not written, so the caller can see that it is incomplete.
            let Some((part, is_last)) = read else { return Err(ConnectionEnd::Drop) };
            // The first output was longer; its memory is not kept.
            output = Vec::with_capacity(part.len() + MAX_FRAMING_BYTES);
            framing.encode(&part, &mut output);
            complete = is_last;
            // A server and a caller that are both fast would keep the thread for megabytes.
            tokio::task::yield_now().await;
        }
        framing.encode_end(&mut output);
        let written = caller.write_paced(&output, &self.context.caller_pacer).await;
        written.map_err(|_| ConnectionEnd::Drop)
    }
}
