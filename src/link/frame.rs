//! Frames on a link: version, origin and one message, encoded as CBOR.

use std::fmt;

use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use super::WireMessage;
use crate::ids::{ProcessName, RegionName};

/// Version of the frame and message formats; a link with another version is refused.
pub const WIRE_VERSION: u16 = 1;

/// Largest encoded frame in bytes.
pub const FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Nesting depth at which decoding stops, so that a hostile frame cannot exhaust the stack.
const NESTING_DEPTH: usize = 32;

/// One message with its origin.
///
/// It is encoded as an array of version and message. Only a hello is followed by region and name of
/// its sender, as they are the same in all frames of a link; a decoded frame of another kind leaves
/// them empty.
#[derive(Clone, Debug)]
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
#[derive(Debug, thiserror::Error)]
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

/// Frame as it is decoded; after another version the rest is not read.
enum DecodedFrame {
    Known(Box<WireFrame>),
    Other(u16),
}

struct FrameVisitor;

impl<'de> Deserialize<'de> for DecodedFrame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FrameVisitor)
    }
}

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = DecodedFrame;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a frame")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<Self::Value, A::Error> {
        let missing = |field| A::Error::custom(format!("the frame has no {field}"));
        let version = fields.next_element()?.ok_or_else(|| missing("version"))?;
        if version != WIRE_VERSION {
            // Formats of other versions are unknown; only their first field is fixed.
            while let Ok(Some(IgnoredAny)) = fields.next_element() {}
            return Ok(DecodedFrame::Other(version));
        }
        let message = fields.next_element()?.ok_or_else(|| missing("message"))?;
        let (mut region, mut from) = (RegionName::default(), ProcessName::default());
        if matches!(message, WireMessage::Hello(_)) {
            region = fields.next_element()?.ok_or_else(|| missing("region"))?;
            from = fields.next_element()?.ok_or_else(|| missing("name"))?;
        }
        let frame = WireFrame { version, region, from, message };
        Ok(DecodedFrame::Known(Box::new(frame)))
    }
}

impl WireFrame {
    /// Encodes the frame.
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::with_capacity(128);
        let written = match &self.message {
            WireMessage::Hello(_) => {
                let fields = (self.version, &self.message, &self.region, &self.from);
                ciborium::into_writer(&fields, &mut bytes)
            }
            message => ciborium::into_writer(&(self.version, message), &mut bytes),
        };
        written.map_err(|error| FrameError::Malformed(error.to_string().into()))?;
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
        match ciborium::de::from_reader_with_recursion_limit::<DecodedFrame, _>(
            bytes,
            NESTING_DEPTH,
        ) {
            Ok(DecodedFrame::Known(frame)) => Ok(*frame),
            Ok(DecodedFrame::Other(version)) => Err(FrameError::Version(version)),
            Err(error) => Err(FrameError::Malformed(error.to_string().into())),
        }
    }
}
