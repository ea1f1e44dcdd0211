//! HTTP/1.1 towards callers and servers: heads, body framing, connections.
//!
//! Heads are parsed by `httparse` and then checked more strictly, because an ambiguous message must
//! not be read differently by this process and by a server behind it.

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

pub use body::{BodyDecoder, DecodedChunk, encode_chunk, encode_last_chunk};
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

/// Bounds on what a peer can make this process hold or wait for.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Largest head in bytes, request line and headers together.
    pub head_bytes: usize,
    /// Largest number of header lines in a head.
    pub header_count: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time that an idle caller connection is kept open.
    pub idle_timeout: Duration,
    /// Time without progress after which a body transfer is given up.
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
