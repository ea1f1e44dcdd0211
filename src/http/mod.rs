//! HTTP/1.1 connections to callers and servers: heads, body framing and connection pooling.
//!
//! Heads are parsed by `httparse` and then validated more strictly: a message that this process and
//! the server could interpret differently would allow request smuggling.

mod body;
mod caller;
mod client;
mod error;
mod framing;
mod head;
mod header;
mod pool;
mod server;
mod stream;

pub use body::{BodyDecoder, DecodeStep, encode_chunk, encode_last_chunk};
pub use caller::{CallerConnection, RequestBody};
pub use client::{ClientResponse, send_request};
pub use error::HttpError;
pub use framing::BodyFraming;
pub use head::{HttpVersion, RequestHead, ResponseHead};
pub use header::{HeaderError, HeaderList};
pub use pool::{CheckoutError, ConnectionPool, PoolCounts};
pub use server::{ResponseBody, ServerConnection};
pub use stream::BufferedStream;

use std::time::Duration;

/// Limits on the memory and time that one peer can occupy.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Maximum size of a head in bytes, start line and headers together.
    pub head_bytes: usize,
    /// Maximum number of header lines in a head.
    pub header_count: usize,
    /// Maximum time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_timeout: Duration,
    /// Time without progress after which a transfer is aborted.
    pub stall_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head_bytes: 32 * 1024,
            header_count: 100,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            stall_timeout: Duration::from_secs(30),
        }
    }
}
