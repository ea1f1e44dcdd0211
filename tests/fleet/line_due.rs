//! Tests of the time at which a line has carried all responses that are due.

use std::time::{Duration, Instant};

use curranthollow::fleet::relay::line::{DueResponse, LinePacer};
use yare::parameterized;

/// Guards against a stopping entry that counts only the new response, or only the others, as the load of its
/// line. Each response is given by the second in which it is available and the seconds that it needs.
#[parameterized(
    alone = { &[], (2, 1), 3 },
    together = { &[(2, 1), (2, 2)], (2, 1), 6 },
    behind_earlier = { &[(0, 4)], (2, 1), 5 },
    line_is_free_in_between = { &[(0, 1)], (2, 1), 3 },
    beside_later = { &[(3, 2)], (2, 1), 5 },
)]
fn a_line_carries_all_that_is_due(others: &[(u64, u64)], response: (u64, u64), end: u64) {
    let now = Instant::now();
    let pacer = LinePacer::new(Some(8.0));
    let due = |&(available, seconds): &(u64, u64)| DueResponse {
        available_at: now + Duration::from_secs(available),
        bytes: seconds * 1_000_000,
    };
    let latest_end = pacer.latest_end(others.iter().map(due).collect(), due(&response));
    assert_eq!(latest_end - now, Duration::from_secs(end));
}
