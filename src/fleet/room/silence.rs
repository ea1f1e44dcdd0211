//! When a server that has sent no byte of its response counts as silent.

use std::time::Duration;

/// Multiple of the expected duration after which a response is late. Few requests take that long at a server
/// that answers at all.
const LATE_FACTOR: f64 = 2.2;

/// Lower and upper limit of the time, as fractions of the route's target latency. A second send that starts
/// at the upper one can still be answered soon after the target.
const SILENCE_LIMITS: (f64, f64) = (0.2, 0.75);

/// Time after the send from which on a server without a byte of its response counts as silent.
///
/// `mean` is the mean latency of the service and `expected_factor` the expected duration at this server,
/// relative to the usual one.
pub fn silence_time(mean: Option<Duration>, expected_factor: f64, target: Duration) -> Duration {
    let (min_time, max_time) = (target.mul_f64(SILENCE_LIMITS.0), target.mul_f64(SILENCE_LIMITS.1));
    let Some(mean) = mean else { return max_time };
    let factor = LATE_FACTOR * expected_factor.clamp(0.5, 5.0);
    mean.mul_f64(factor).clamp(min_time, max_time)
}
