//! Incremental decoding of message bodies and encoding of chunked bodies.

use std::ops::Range;

use super::{BodyFraming, HttpError};

/// Maximum length of a chunk-size line in bytes, chunk extensions included.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum total size of the trailer lines in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Decodes a body from input that arrives in pieces.
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

/// Result of one call of [`BodyDecoder::decode`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeStep {
    /// Number of input bytes that this step consumed.
    pub consumed: usize,
    /// Range of the input that contains body data; empty when the step consumed only framing.
    pub data: Range<usize>,
}

impl BodyDecoder {
    /// Creates a decoder for a body with the given framing.
    pub fn new(framing: BodyFraming) -> Self {
        let state = match framing {
            BodyFraming::Empty | BodyFraming::Length(0) => DecodeState::Complete,
            BodyFraming::Length(length) => DecodeState::Fixed(length),
            BodyFraming::Chunked => DecodeState::ChunkSize,
        };
        Self { state, trailer_bytes: 0 }
    }

    /// Reports whether the body has been decoded to its end.
    pub fn is_complete(&self) -> bool {
        self.state == DecodeState::Complete
    }

    /// Performs one decoding step; `consumed` is 0 when more input is needed or the body is
    /// complete.
    pub fn decode(&mut self, input: &[u8]) -> Result<DecodeStep, HttpError> {
        match self.state {
            DecodeState::Complete => Ok(DecodeStep { consumed: 0, data: 0..0 }),
            DecodeState::Fixed(remaining) => {
                let data_length = available_data_length(input.len(), remaining);
                let remaining = remaining - data_length as u64;
                self.state = if remaining == 0 {
                    DecodeState::Complete
                } else {
                    DecodeState::Fixed(remaining)
                };
                Ok(DecodeStep { consumed: data_length, data: 0..data_length })
            }
            DecodeState::ChunkData(remaining) => {
                let data_length = available_data_length(input.len(), remaining);
                let remaining = remaining - data_length as u64;
                self.state = if remaining == 0 {
                    DecodeState::ChunkEnd
                } else {
                    DecodeState::ChunkData(remaining)
                };
                Ok(DecodeStep { consumed: data_length, data: 0..data_length })
            }
            DecodeState::ChunkSize => self.decode_chunk_size(input),
            DecodeState::ChunkEnd => self.decode_chunk_end(input),
            DecodeState::Trailer => self.decode_trailer(input),
        }
    }

    fn decode_chunk_size(&mut self, input: &[u8]) -> Result<DecodeStep, HttpError> {
        let Some(line_length) = find_line_length(input, MAX_CHUNK_LINE_BYTES)? else {
            return Ok(DecodeStep { consumed: 0, data: 0..0 });
        };
        let size = parse_chunk_size(&input[..line_length])?;
        self.state = if size == 0 { DecodeState::Trailer } else { DecodeState::ChunkData(size) };
        Ok(DecodeStep { consumed: line_length + 2, data: 0..0 })
    }

    fn decode_chunk_end(&mut self, input: &[u8]) -> Result<DecodeStep, HttpError> {
        if input.len() < 2 {
            return Ok(DecodeStep { consumed: 0, data: 0..0 });
        }
        if &input[..2] != b"\r\n" {
            return Err(HttpError::InvalidFraming("chunk is longer than its size"));
        }
        self.state = DecodeState::ChunkSize;
        Ok(DecodeStep { consumed: 2, data: 0..0 })
    }

    /// Discards one trailer line. Trailer fields are treated as hop-by-hop, because a proxy does
    /// not know their meaning.
    fn decode_trailer(&mut self, input: &[u8]) -> Result<DecodeStep, HttpError> {
        let remaining = MAX_TRAILER_BYTES.saturating_sub(self.trailer_bytes);
        let Some(line_length) = find_line_length(input, remaining)? else {
            return Ok(DecodeStep { consumed: 0, data: 0..0 });
        };
        if line_length == 0 {
            self.state = DecodeState::Complete;
        }
        self.trailer_bytes += line_length + 2;
        Ok(DecodeStep { consumed: line_length + 2, data: 0..0 })
    }
}

fn available_data_length(available: usize, remaining: u64) -> usize {
    usize::try_from(remaining).map_or(available, |remaining| remaining.min(available))
}

/// Returns the length of the line at the start of `input` without its CRLF, or `None` when its end
/// has not arrived yet.
fn find_line_length(input: &[u8], max_length: usize) -> Result<Option<usize>, HttpError> {
    for (position, byte) in input.iter().enumerate() {
        if position > max_length {
            return Err(HttpError::InvalidFraming("chunk line or trailer too long"));
        }
        let follows_cr = position > 0 && input[position - 1] == b'\r';
        if *byte != b'\n' {
            if follows_cr {
                return Err(HttpError::InvalidFraming("CR inside a chunk line or trailer"));
            }
            continue;
        }
        if !follows_cr {
            return Err(HttpError::InvalidFraming("chunk line ends without CR"));
        }
        return Ok(Some(position - 1));
    }
    if input.len() > max_length {
        return Err(HttpError::InvalidFraming("chunk line or trailer too long"));
    }
    Ok(None)
}

fn parse_chunk_size(size_line: &[u8]) -> Result<u64, HttpError> {
    let mut digits = size_line.split(|byte| *byte == b';').next().unwrap_or_default();
    // HTTP allows only space and tab here; `trim_ascii_end` would also remove CR and form feed.
    while let [rest @ .., b' ' | b'\t'] = digits {
        digits = rest;
    }
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(HttpError::InvalidFraming("invalid chunk size"));
    }
    let digits_text = std::str::from_utf8(digits).unwrap_or_default();
    u64::from_str_radix(digits_text, 16)
        .map_err(|_| HttpError::InvalidFraming("invalid chunk size"))
}

/// Appends one encoded chunk. Empty data is skipped, because a chunk of size 0 ends the body.
pub fn encode_chunk(data: &[u8], output: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    output.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    output.extend_from_slice(data);
    output.extend_from_slice(b"\r\n");
}

/// Appends the last chunk and an empty trailer section.
pub fn encode_last_chunk(output: &mut Vec<u8>) {
    output.extend_from_slice(b"0\r\n\r\n");
}
