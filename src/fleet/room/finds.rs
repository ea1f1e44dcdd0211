//! Results of the latest looks for a server with room.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a result counts. The load of a server changes within tens of milliseconds, but that of a
/// whole service within several durations of a request.
const FIND_LIFETIME: Duration = Duration::from_millis(500);

/// Number of results that are kept: about what an entry finds out within [`FIND_LIFETIME`].
const MAX_FINDS: usize = 16;

/// Number of results from which on room can count as short.
const MIN_FINDS: usize = 10;

/// Results without room in a row after which one more look is not expected to find any.
const EXHAUSTED_FINDS: usize = 10;

/// Room becomes short when at most one of this number of results found any. With two servers in five free,
/// fewer than 3 in 100 windows look like that.
const SHORT_RATIO: usize = 8;

/// Room is no longer short when one of this number of results found some.
const ENOUGH_RATIO: usize = 4;

/// Results of the latest looks.
#[derive(Debug, Clone, Default)]
pub struct FindWindow {
    /// Oldest first.
    finds: VecDeque<(Instant, bool)>,
    is_short: bool,
    /// Number of the latest looks with the same result.
    repetitions: usize,
}

impl FindWindow {
    /// Records whether a server that was asked has room. Returns whether room became or ceased to be short.
    pub fn record(&mut self, now: Instant, has_room: bool) -> bool {
        let was_same = self.finds.back().is_some_and(|(_, last)| *last == has_room);
        self.repetitions = if was_same { self.repetitions.saturating_add(1) } else { 1 };
        if self.finds.len() >= MAX_FINDS {
            self.finds.pop_front();
        }
        self.finds.push_back((now, has_room));
        self.update(now)
    }

    /// Forgets results that are too old. Returns whether room ceased to be short.
    pub fn update(&mut self, now: Instant) -> bool {
        while self.finds.front().is_some_and(|(at, _)| now.duration_since(*at) > FIND_LIFETIME) {
            self.finds.pop_front();
        }
        let (total, found) = (self.finds.len(), self.found_count());
        let was_short = self.is_short;
        self.is_short = if was_short {
            total > 0 && found * ENOUGH_RATIO < total
        } else {
            total >= MIN_FINDS && found * SHORT_RATIO <= total
        };
        self.is_short != was_short
    }

    /// Whether few of the servers have room.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Whether so many looks in a row found nothing that one more is not expected to find any.
    pub fn is_exhausted(&self) -> bool {
        let found_none = self.finds.back().is_some_and(|(_, has_room)| !has_room);
        self.is_short && found_none && self.repetitions >= EXHAUSTED_FINDS
    }

    /// Share of the looks that found room; 1 without any result.
    pub fn found_share(&self) -> f64 {
        match self.finds.len() {
            0 => 1.0,
            total => self.found_count() as f64 / total as f64,
        }
    }

    /// Numbers of looks that found room, and of all.
    pub fn counts(&self) -> (usize, usize) {
        (self.found_count(), self.finds.len())
    }

    fn found_count(&self) -> usize {
        self.finds.iter().filter(|(_, has_room)| *has_room).count()
    }
}
