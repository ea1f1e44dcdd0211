//! Answers as they are written to a caller: own ones and those of servers.

use super::request::OwnAnswer;
use super::send::{BodyEnd, ServerBody, ServerResponse};
use crate::fleet::stream::{HttpStream, RelayFraming};
use crate::http::ResponseHead;
use crate::log_info;

/// Bytes of an arriving response that are passed on at once.
const RELAY_BYTES: usize = 64 << 10;

/// Why a caller's connection is not kept.
pub enum ConnectionEnd {
    /// The peer has left, or its stream is unusable.
    Drop,
    /// Everything was answered.
    Close,
}

/// Writes an answer of the entry itself.
pub async fn write_own(
    stream: &mut HttpStream,
    own: &OwnAnswer,
    keep: bool,
) -> Result<(), ConnectionEnd> {
    let mut head = ResponseHead::new(own.status);
    let length = own.reason.len().to_string();
    let mut fields = vec![("content-type", "text/plain".to_owned()), ("content-length", length)];
    if let Some(pause) = own.retry_after {
        fields.push(("retry-after", format!("{:.3}", pause.as_secs_f64())));
    }
    if !keep {
        fields.push(("connection", "close".to_owned()));
    }
    for (name, value) in &fields {
        // The values contain no control characters.
        let _ = head.headers.append(name, value.as_bytes());
    }
    let mut output = Vec::with_capacity(200);
    head.write_to(&mut output);
    output.extend_from_slice(own.reason.as_bytes());
    stream.write(&output).await.map_err(|_| ConnectionEnd::Drop)
}

/// Passes a response on; one that breaks off is visibly incomplete for the caller.
pub async fn relay(
    stream: &mut HttpStream,
    response: ServerResponse,
    method: &str,
    keep: bool,
) -> Result<(), ConnectionEnd> {
    let ServerResponse { mut head, body, server: name } = response;
    let no_body = method == "HEAD" || matches!(head.status, 204 | 304);
    head.headers.remove_hop_by_hop();
    if !no_body {
        head.headers.remove("content-length");
    }
    if !keep {
        let _ = head.headers.append("connection", b"close");
    }
    let mut output = Vec::with_capacity(1024);
    head.write_to(&mut output);
    output.truncate(output.len() - 2);
    match body {
        ServerBody::Whole(bytes) => {
            if !no_body {
                RelayFraming::Length(bytes.len() as u64).write_header(&mut output);
            }
            output.extend_from_slice(b"\r\n");
            output.extend_from_slice(&bytes);
            stream.write(&output).await.map_err(|_| ConnectionEnd::Drop)
        }
        ServerBody::Arriving { held, stream: server, end, framing } => {
            let marker = RelayFraming::of(framing);
            marker.write_header(&mut output);
            output.extend_from_slice(b"\r\n");
            marker.encode(&held, &mut output);
            let complete = relay_rest(stream, server, end, marker, output).await;
            if complete.is_err() {
                log_info!("response_broken_off", "server={name} status={}", head.status);
            }
            complete
        }
    }
}

async fn relay_rest(
    caller: &mut HttpStream,
    mut server: HttpStream,
    mut end: BodyEnd,
    marker: RelayFraming,
    mut output: Vec<u8>,
) -> Result<(), ConnectionEnd> {
    loop {
        caller.write(&output).await.map_err(|_| ConnectionEnd::Drop)?;
        output.clear();
        let mut piece = Vec::new();
        let complete = match &mut end {
            BodyEnd::Framed(decoder) => {
                server.read_body(decoder, &mut piece, RELAY_BYTES).await.ok()
            }
            BodyEnd::Close => server.read_to_close(&mut piece, RELAY_BYTES).await.ok(),
        };
        // Without its end the caller's body stays visibly incomplete.
        let Some(complete) = complete else { return Err(ConnectionEnd::Drop) };
        marker.encode(&piece, &mut output);
        if complete {
            marker.encode_end(&mut output);
            return caller.write(&output).await.map_err(|_| ConnectionEnd::Drop);
        }
    }
}
