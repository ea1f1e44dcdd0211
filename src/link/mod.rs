//! WebSocket links between the system's processes.
//!
//! Each binary WebSocket message carries one CBOR frame. Entries connect to control processes;
//! between processes of the same role the one with the lower name connects.

mod frame;
mod hub;
mod message;
mod socket;
mod traffic;

pub use frame::{FRAME_BYTES, FrameError, WIRE_VERSION, WireFrame};
pub use hub::{LinkConfig, LinkError, LinkEvent, LinkHub, LinkTarget};
pub use message::*;
pub use traffic::{LinkTraffic, TrafficLine};
