//! WebSocket links between the system's processes.
//!
//! Each binary WebSocket message contains one CBOR frame. Entries connect to control processes. Of
//! two processes with the same role, the one whose name sorts first opens the connection.

mod frame;
mod hub;
mod message;
mod socket;
mod traffic;

pub use frame::{FrameError, MAX_FRAME_BYTES, WIRE_VERSION, WireFrame};
pub use hub::{LinkConfig, LinkError, LinkEvent, LinkHub, LinkTarget};
pub use message::*;
pub use traffic::{LinkTraffic, TrafficTotals};
