//! Exponential decay of values that age.

use std::time::Duration;

/// Factor that remains of a value after `age`.
pub fn decay_factor(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
