//! Incremental decoding and encoding of bodies.

use std::ops::Range;

use super::{BodyFraming, HttpError};

/// Longest chunk-size line in bytes, extensions included.
const CHUNK_LINE_BYTES: usize = 256;

/// Largest size of all trailer lines in bytes.
const TRAILER_BYTES: usize = 8 * 1024;

/// Decodes a body from successive pieces of input.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: DecodeState,
    trailer_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DecodeState {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    Complete,
}

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedChunk {
    /// Number of input bytes that this step used.
    pub consumed: usize,
    /// Part of the input that is body data.
    pub data: Range<usize>,
}

impl BodyDecoder {
    /// Creates a decoder.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecodeState::Complete,
            BodyFraming::Length(length) => DecodeState::Fixed(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
        };
        Self { state, trailer_bytes: 0 }
    }

    /// Reports whether the whole body was decoded.
    pub fn is_complete(&self) -> bool {
        self.state == DecodeState::Complete
    }

    /// Decodes one step; `consumed` is 0 when more input is needed.
    pub fn decode(&mut self, input: &[u8]) -> Result<DecodedChunk, HttpError> {
        match self.state {
            DecodeState::Complete => Ok(DecodedChunk { consumed: 0, data: 0..0 }),
            DecodeState::Fixed(left) => {
                let taken = clamp(input.len(), left);
                let left = left - taken as u64;
                self.state =
                    if left == 0 { DecodeState::Complete } else { DecodeState::Fixed(left) };
                Ok(DecodedChunk { consumed: taken, data: 0..taken })
            }
            DecodeState::ChunkData(left) => {
                let taken = clamp(input.len(), left);
                let left = left - taken as u64;
                self.state =
                    if left == 0 { DecodeState::ChunkEnd } else { DecodeState::ChunkData(left) };
                Ok(DecodedChunk { consumed: taken, data: 0..taken })
            }
            DecodeState::ChunkSize => self.decode_chunk_size(input),
            DecodeState::ChunkEnd => self.decode_chunk_end(input),
            DecodeState::Trailer => self.decode_trailer(input),
        }
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<DecodedChunk, HttpError> {
        let Some(line) = find_line(input, CHUNK_LINE_BYTES)? else {
            return Ok(DecodedChunk { consumed: 0, data: 0..0 });
        };
        let size = parse_chunk_size(&input[..line])?;
        self.state = if size == 0 { DecodeState::Trailer } else { DecodeState::ChunkData(size) };
        Ok(DecodedChunk { consumed: line + 2, data: 0..0 })
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<DecodedChunk, HttpError> {
        if input.len() < 2 {
            return Ok(DecodedChunk { consumed: 0, data: 0..0 });
        }
        if &input[..2] != b"\r\n" {
            return Err(HttpError::InvalidFraming("chunk is longer than its size"));
        }
        self.state = DecodeState::ChunkSize;
        Ok(DecodedChunk { consumed: 2, data: 0..0 })
    }

    /// Skips trailers; they are hop-by-hop for a proxy that does not know their meaning.
    fn decode_trailer(&mut self, input: &[u8]) -> Result<DecodedChunk, HttpError> {
        let left = TRAILER_BYTES.saturating_sub(self.trailer_bytes);
        let Some(line) = find_line(input, left)? else {
            return Ok(DecodedChunk { consumed: 0, data: 0..0 });
        };
        if line == 0 {
            self.state = DecodeState::Complete;
        }
        self.trailer_bytes += line + 2;
        Ok(DecodedChunk { consumed: line + 2, data: 0..0 })
    }
}

fn clamp(available: usize, left: u64) -> usize {
    usize::try_from(left).map_or(available, |left| left.min(available))
}

/// Returns the length of the line at the start of `input` without its CRLF.
fn find_line(input: &[u8], limit: usize) -> Result<Option<usize>, HttpError> {
    for (position, byte) in input.iter().enumerate() {
        if position > limit {
            return Err(HttpError::InvalidFraming("chunk line or trailer too long"));
        }
        let after_cr = position > 0 && input[position - 1] == b'\r';
        if *byte != b'\n' {
            if after_cr {
                return Err(HttpError::InvalidFraming("CR inside a chunk line or trailer"));
            }
            continue;
        }
        if !after_cr {
            return Err(HttpError::InvalidFraming("chunk line ends without CR"));
        }
        return Ok(Some(position - 1));
    }
    if input.len() > limit {
        return Err(HttpError::InvalidFraming("chunk line or trailer too long"));
    }
    Ok(None)
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, HttpError> {
    let mut digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    // Only these two are white space in HTTP; `trim_ascii_end` would also drop CR and form feed.
    while let [rest @ .., b' ' | b'\t'] = digits {
        digits = rest;
    }
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::InvalidFraming("invalid chunk size"));
    }
    let text = std::str::from_utf8(digits).unwrap_or_default();
    u64::from_str_radix(text, 16).map_err(|_| HttpError::InvalidFraming("invalid chunk size"))
}

/// Appends one chunk in wire form; empty data is skipped, because it would end the body.
pub fn encode_chunk(data: &[u8], output: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}

/// Appends the end marker of a chunked body.
pub fn encode_last_chunk(output: &mut Vec<u8>) {
    output.extend_from_slice(b"0\r\n\r\n");
}
