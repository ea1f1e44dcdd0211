//! What servers say of themselves in their answers: that they leave, or that they want a pause.
//!
//! An answer is a third source of a server's state, beside its announcements and what the entry observes.
//! It holds for one incarnation of the server and for this entry only
//! (`docs/decisions/0014-server-statements.md`).

use std::time::{Duration, Instant};

use super::balance::rendezvous_score;
use super::dialect::HeaderNames;
use crate::http::HeaderList;

/// Maximum pause. A longer one is cut: a single bad answer must not take a server out for good.
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// Time after the end of a pause within which the entries return one by one.
const RETURN_SPREAD: Duration = Duration::from_millis(500);

/// What one answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetStatement {
    /// The server leaves; it takes no new requests.
    pub is_leaving: bool,
    /// The server rejected the request and wants no further one for this time.
    pub pause: Option<Duration>,
    /// A field has no valid value and was ignored, or was cut to the maximum.
    pub is_invalid: bool,
}

impl TargetStatement {
    /// Reads the statement in the head of an answer; the caller checks that the answer belongs to the
    /// request.
    pub fn parse(names: &HeaderNames, status: u16, headers: &HeaderList) -> Self {
        let mut statement = Self::default();
        match single_value(headers, names.leaving) {
            None => {}
            Some(Some("1")) => statement.is_leaving = true,
            Some(_) => statement.is_invalid = true,
        }
        if status != 503 {
            return statement;
        }
        let Some(value) = single_value(headers, names.pause) else { return statement };
        let seconds = value.and_then(|value| value.trim().parse::<f64>().ok());
        let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
        let max_seconds = MAX_PAUSE.as_secs_f64();
        statement.is_invalid |= seconds.is_none_or(|seconds| seconds > max_seconds);
        statement.pause = seconds.map(|seconds| Duration::from_secs_f64(seconds.min(max_seconds)));
        statement
    }
}

/// The value of a field: `None` without the field, `Some(None)` if it is no text or is given twice.
fn single_value<'a>(headers: &'a HeaderList, name: &'a str) -> Option<Option<&'a str>> {
    let mut values = headers.values(name);
    let first = values.next()?;
    let is_single = values.next().is_none();
    Some(std::str::from_utf8(first).ok().filter(|_| is_single))
}

/// Change of a condition, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConditionChange {
    /// The server leaves.
    Left,
    /// The server is paused for this time.
    Paused(Duration),
}

/// What one incarnation of a server has said so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StatedCondition {
    is_leaving: bool,
    /// Time at which this entry may send to the server again.
    resumes_at: Option<Instant>,
}

impl StatedCondition {
    /// Records a statement that the entry `entry` received from `server`; returns what changes. Of several
    /// pauses the latest end holds.
    pub fn record(
        &mut self,
        now: Instant,
        entry: &str,
        server: &str,
        statement: TargetStatement,
    ) -> Option<ConditionChange> {
        if statement.is_leaving && !self.is_leaving {
            self.is_leaving = true;
            return Some(ConditionChange::Left);
        }
        let pause = statement.pause.filter(|pause| !pause.is_zero())?;
        let pause = pause + RETURN_SPREAD.mul_f64(rendezvous_score(entry, server));
        let was_paused = !self.accepts(now);
        let resumes_at = now + pause;
        self.resumes_at = Some(self.resumes_at.map_or(resumes_at, |until| until.max(resumes_at)));
        (!was_paused).then_some(ConditionChange::Paused(pause))
    }

    /// Whether the server can get a request.
    pub fn accepts(&self, now: Instant) -> bool {
        !self.is_leaving && self.resumes_at.is_none_or(|resumes_at| resumes_at <= now)
    }

    /// End of the current pause; `None` if the server leaves or is not paused.
    pub fn resumes_at(&self, now: Instant) -> Option<Instant> {
        self.resumes_at.filter(|resumes_at| !self.is_leaving && *resumes_at > now)
    }

    /// Whether the server leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Takes note that a pause has ended; returns whether there was one.
    pub fn end_pause(&mut self, now: Instant) -> bool {
        self.resumes_at.take_if(|resumes_at| *resumes_at <= now).is_some()
    }
}
