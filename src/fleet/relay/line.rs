//! Shares the line of an entry between long bodies and everything else.
//!
//! A response of half a megabyte holds a line of 2 Mbit/s for two seconds. Short responses, requests and
//! health probes that wait behind it make callers late and servers look dead, so long bodies use only
//! a part of the line, in small pieces.

use std::time::{Duration, Instant};

/// Part of the line that all long bodies together may use in one direction.
const LONG_BODY_SHARE: f64 = 0.8;

/// Size up to which a body is not paced.
pub const SHORT_BODY_BYTES: usize = 16 << 10;

/// Size of a paced piece: 16 ms of a line of 2 Mbit/s.
pub const PIECE_BYTES: usize = 4 << 10;

/// Lateness of a piece that is made up for by the next ones. Timers of a busy machine fire late; without
/// this each late piece would leave the line unused for good.
const MAX_LATENESS: Duration = Duration::from_millis(50);

/// Line speed in bits per second from which pacing makes no difference: a piece takes 0.3 ms.
const FAST_LINE_BITS_PER_S: f64 = 100e6;

/// Response that a line still has to carry.
#[derive(Debug, Clone, Copy)]
pub struct DueResponse {
    /// Latest time at which its server has it ready.
    pub available_at: Instant,
    pub bytes: u64,
}

/// Schedule of the pieces of all long bodies in one direction of a line.
#[derive(Debug)]
pub struct LinePacer {
    /// Rate of the line in bytes per second; `None` for a line that is fast enough.
    whole_line: Option<f64>,
    /// Rate of long bodies.
    bytes_per_second: Option<f64>,
    /// Time at which the pieces so far have been transferred.
    busy_until: Option<Instant>,
}

impl LinePacer {
    /// Creates a pacer for a line of the given speed; `None` if it is not known.
    pub fn new(line_mbps: Option<f64>) -> Self {
        let bits_per_second = line_mbps.map(|mbps| mbps * 1e6);
        let slow = bits_per_second.filter(|bits| *bits > 0.0 && *bits < FAST_LINE_BITS_PER_S);
        let whole_line = slow.map(|bits| bits / 8.0);
        let bytes_per_second = whole_line.map(|rate| rate * LONG_BODY_SHARE);
        Self { whole_line, bytes_per_second, busy_until: None }
    }

    /// Lets long bodies use the whole line, because nothing else needs it any more.
    pub fn use_whole_line(&mut self) {
        self.bytes_per_second = self.whole_line;
    }

    /// Time at which the line has carried `response` and all that is due before it or with it, if each response
    /// becomes available as late as it may.
    pub fn latest_end(&self, mut others: Vec<DueResponse>, response: DueResponse) -> Instant {
        let Some(rate) = self.whole_line else { return response.available_at };
        others.push(response);
        others.sort_by_key(|due| due.available_at);
        let (mut latest_end, mut bytes) = (response.available_at, 0);
        for due in others.iter().rev() {
            bytes += due.bytes;
            if due.available_at <= response.available_at {
                let end = due.available_at + Duration::from_secs_f64(bytes as f64 / rate);
                latest_end = latest_end.max(end);
            }
        }
        latest_end
    }

    /// Whether long bodies are paced.
    pub fn is_active(&self) -> bool {
        self.bytes_per_second.is_some()
    }

    /// Schedules a piece of a long body; returns the time until which the next one has to wait.
    pub fn schedule(&mut self, now: Instant, bytes: usize) -> Instant {
        let Some(rate) = self.bytes_per_second else { return now };
        let start = self.busy_until.map_or(now, |until| {
            let is_late = now.saturating_duration_since(until) > MAX_LATENESS;
            if is_late { now } else { until }
        });
        let end = start + Duration::from_secs_f64(bytes as f64 / rate);
        self.busy_until = Some(end);
        end
    }
}
