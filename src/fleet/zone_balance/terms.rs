//! What a request's caller needs, as far as the choice of a zone depends on it.

use std::time::{Duration, Instant};

/// Time left before the target, in multiples of the expected duration, below which a request is urgent.
const URGENT_FACTOR: f64 = 1.5;

/// The same above which it can wait for a server of its own zone.
const PATIENT_FACTOR: f64 = 4.0;

/// How soon a request needs a server that starts it at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    Patient,
    Usual,
    Urgent,
}

/// Terms of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTerms {
    /// Time until which the response is worth most; unknown in a choice without a caller.
    pub target_at: Option<Instant>,
    /// Whether an earlier send of the request failed or is unanswered.
    pub is_repeated: bool,
}

impl CallerTerms {
    pub fn urgency(&self, now: Instant, expected: Duration) -> Urgency {
        let Some(target_at) = self.target_at else { return Urgency::Usual };
        let left = target_at.saturating_duration_since(now);
        if left < expected.mul_f64(URGENT_FACTOR) {
            Urgency::Urgent
        } else if left > expected.mul_f64(PATIENT_FACTOR) {
            Urgency::Patient
        } else {
            Urgency::Usual
        }
    }
}
