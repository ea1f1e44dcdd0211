//! What the way to another zone costs.

use std::time::Duration;

/// Cost of the way to a zone to which no connection was opened yet, in units of the usual request duration.
pub const UNKNOWN_WAY_COST: f64 = 0.5;

/// Upper limit of the cost of a way. Otherwise one very long response would keep a zone without room from
/// ever being left.
const MAX_WAY_COST: f64 = 1.5;

/// Weight of a new connect time. Connect times to a loaded server vary widely.
const CONNECT_SAMPLE_WEIGHT: f64 = 0.2;

/// Weight of a new request in the mean number of bytes.
const BYTES_SAMPLE_WEIGHT: f64 = 0.05;

/// Prices of traffic between zones, in units of the usual request duration: how much slower a request may
/// be at home before it leaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WayPrices {
    /// Price of one request without its bytes.
    pub request: f64,
    /// Price of one MiB of request and response bodies.
    pub mib: f64,
}

impl Default for WayPrices {
    fn default() -> Self {
        Self { request: 0.05, mib: 1.0 }
    }
}

/// Measured properties of the ways: connect times by zone are one round trip each.
#[derive(Debug, Clone, Default)]
pub struct WayMeter {
    connect: Option<Duration>,
}

impl WayMeter {
    /// Records the time that opening a connection to a server of the zone took.
    pub fn record_connect(&mut self, elapsed: Duration) {
        let mean = self.connect.get_or_insert(elapsed);
        // A retransmission says nothing about the way.
        let elapsed = elapsed.min(*mean * 4);
        let kept = mean.mul_f64(1.0 - CONNECT_SAMPLE_WEIGHT);
        *mean = kept + elapsed.mul_f64(CONNECT_SAMPLE_WEIGHT);
    }

    /// Cost of sending a request to the zone instead of keeping it at `own`. `expected` is the usual duration
    /// of a request.
    pub fn cost(&self, own: &Self, expected: Duration, bytes: f64, prices: WayPrices) -> f64 {
        let price = prices.request + bytes / f64::from(1 << 20) * prices.mib;
        let Some(connect) = self.connect else {
            return (UNKNOWN_WAY_COST + price).min(MAX_WAY_COST);
        };
        let extra = connect.saturating_sub(own.connect.unwrap_or_default());
        let delay = extra.as_secs_f64() / expected.as_secs_f64().max(0.001);
        (delay + price).min(MAX_WAY_COST)
    }
}

/// Moving average of the bytes that a request of the service moves.
#[derive(Debug, Clone, Copy, Default)]
pub struct BytesMean(f64);

impl BytesMean {
    pub fn record(&mut self, bytes: u64) {
        self.0 += (bytes as f64 - self.0) * BYTES_SAMPLE_WEIGHT;
    }

    pub fn get(self) -> f64 {
        self.0
    }
}
