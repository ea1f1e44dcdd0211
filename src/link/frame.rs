//! Link frames: protocol version, sender and one message, encoded as CBOR.

use std::fmt;

use serde::de::{Error, IgnoredAny, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use super::WireMessage;
use crate::ids::{ProcessName, RegionName};

/// Version of the frame and message formats; a frame of any other version is rejected.
pub const WIRE_VERSION: u16 = 1;

/// Maximum size of an encoded frame in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum nesting depth of a frame, so that a malicious frame cannot exhaust the stack.
const MAX_NESTING_DEPTH: usize = 32;

/// One message with its sender.
///
/// A frame is encoded as an array of version and message. The region and name of the sender are the
/// same for all frames of a link, so only a hello frame carries them; they are empty in other
/// decoded frames.
#[derive(Clone, Debug)]
pub struct WireFrame {
    /// Always [`WIRE_VERSION`] in frames of this build.
    pub version: u16,
    /// Region of the sending process.
    pub region: RegionName,
    /// Name of the sending process.
    pub from: ProcessName,
    /// The message.
    pub message: WireMessage,
}

/// Why a frame could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The frame exceeds [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge(usize),
    /// The bytes are not valid CBOR or not a frame of this version.
    #[error("malformed frame: {0}")]
    Malformed(Box<str>),
    /// The frame has another version than [`WIRE_VERSION`].
    #[error("unsupported frame version {0}")]
    UnsupportedVersion(u16),
}

/// Result of decoding; of a frame of another version only the version is known.
enum DecodedFrame {
    Supported(Box<WireFrame>),
    OtherVersion(u16),
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
        let missing_field = |field| A::Error::custom(format!("the frame has no {field}"));
        let version = fields.next_element()?.ok_or_else(|| missing_field("version"))?;
        if version != WIRE_VERSION {
            // Only the first field has a fixed meaning in all versions; the others are skipped.
            while let Ok(Some(IgnoredAny)) = fields.next_element() {}
            return Ok(DecodedFrame::OtherVersion(version));
        }
        let message = fields.next_element()?.ok_or_else(|| missing_field("message"))?;
        let (mut region, mut from) = (RegionName::default(), ProcessName::default());
        if matches!(message, WireMessage::Hello(_)) {
            region = fields.next_element()?.ok_or_else(|| missing_field("region"))?;
            from = fields.next_element()?.ok_or_else(|| missing_field("name"))?;
        }
        let frame = WireFrame { version, region, from, message };
        Ok(DecodedFrame::Supported(Box::new(frame)))
    }
}

impl WireFrame {
    /// Encodes the frame; fails when it exceeds [`MAX_FRAME_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        let mut bytes = Vec::with_capacity(128);
        let encoded = match &self.message {
            WireMessage::Hello(_) => {
                let fields = (self.version, &self.message, &self.region, &self.from);
                ciborium::into_writer(&fields, &mut bytes)
            }
            message => ciborium::into_writer(&(self.version, message), &mut bytes),
        };
        encoded.map_err(|error| FrameError::Malformed(error.to_string().into()))?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a frame after checking its size and version.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge(bytes.len()));
        }
        match ciborium::de::from_reader_with_recursion_limit::<DecodedFrame, _>(
            bytes,
            MAX_NESTING_DEPTH,
        ) {
            Ok(DecodedFrame::Supported(frame)) => Ok(*frame),
            Ok(DecodedFrame::OtherVersion(version)) => Err(FrameError::UnsupportedVersion(version)),
            Err(error) => Err(FrameError::Malformed(error.to_string().into())),
        }
    }
}
