//! Frames on a link: version, origin and one message, encoded as CBOR.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::WireMessage;
use crate::ids::{ProcessName, RegionName};

/// Version of the frame and message formats; a link with another version is refused.
pub const WIRE_VERSION: u16 = 1;

/// Largest encoded frame in bytes.
pub const FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Nesting depth at which decoding stops, so that a hostile frame cannot exhaust the stack.
const NESTING_DEPTH: usize = 32;

/// One message with its origin.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireFrame {
    /// Always [`WIRE_VERSION`] in frames of this build.
    pub version: u16,
    /// Region of the sending process.
    pub region: RegionName,
    /// Name of the sending process.
    pub from: ProcessName,
    /// Payload.
    pub message: WireMessage,
}

/// Why a frame was refused.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The frame exceeds [`FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {FRAME_BYTES} bytes")]
    TooLarge(usize),
    /// The bytes are not a frame of this format.
    #[error("malformed frame: {0}")]
    Malformed(Box<str>),
    /// The sender speaks another version.
    #[error("unsupported frame version {0}")]
    Version(u16),
}

/// First field of every frame version; decoded alone so that other versions give a clear error.
#[derive(Deserialize)]
struct VersionField {
    version: u16,
}

impl WireFrame {
    /// Encodes the frame.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::with_capacity(128);
        ciborium::into_writer(self, &mut bytes)
            .map_err(|error| FrameError::Malformed(error.to_string().into()))?;
        if bytes.len() > FRAME_BYTES {
            return Err(FrameError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame and checks its version.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        if bytes.len() > FRAME_BYTES {
            return Err(FrameError::TooLarge(bytes.len()));
        }
        match ciborium::de::from_reader_with_recursion_limit::<Self, _>(bytes, NESTING_DEPTH) {
            Ok(frame) if frame.version == WIRE_VERSION => Ok(frame),
            Ok(frame) => Err(FrameError::Version(frame.version)),
            Err(error) => Err(explain(bytes, &error.to_string())),
        }
    }
}

fn explain(bytes: &[u8], error: &str) -> FrameError {
    let field =
        ciborium::de::from_reader_with_recursion_limit::<VersionField, _>(bytes, NESTING_DEPTH);
    match field {
        Ok(field) if field.version != WIRE_VERSION => FrameError::Version(field.version),
        _ => FrameError::Malformed(error.into()),
    }
}
