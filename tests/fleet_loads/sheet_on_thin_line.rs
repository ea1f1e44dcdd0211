//! Load pattern: long responses on a thin line that short ones share.

use std::time::{Duration, Instant};

use curranthollow::fleet::relay::line::{LinePacer, PIECE_BYTES, SHORT_BODY_BYTES};
use yare::parameterized;

const LINE_MBPS: f64 = 2.0;

/// Longest time for which a short response may wait behind long ones.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(75);

/// Time for which the line is busy with a piece.
fn line_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 * 8.0 / (LINE_MBPS * 1e6))
}

/// Puts the pieces of long bodies on the line when the pacer allows it, together with short responses
/// every 10 ms; returns the longest wait of a short one and the time until all bodies are complete.
fn play(body_sizes: &[usize]) -> (Duration, Duration) {
    let start = Instant::now();
    let mut pacer = LinePacer::new(Some(LINE_MBPS));
    let mut bodies: Vec<(Instant, usize)> = body_sizes.iter().map(|size| (start, *size)).collect();
    let mut line_free_at = start;
    let mut next_short = start;
    let (mut max_wait, mut complete_at) = (Duration::ZERO, start);
    while let Some((due, remaining)) = bodies.iter_mut().filter(|body| body.1 > 0).min() {
        if next_short <= *due {
            max_wait = max_wait.max(line_free_at.saturating_duration_since(next_short));
            line_free_at = line_free_at.max(next_short) + line_time(400);
            next_short += Duration::from_millis(10);
            continue;
        }
        let bytes = PIECE_BYTES.min(*remaining);
        line_free_at = line_free_at.max(*due) + line_time(bytes);
        complete_at = line_free_at;
        *remaining -= bytes;
        *due = pacer.schedule(*due, bytes);
    }
    (max_wait, complete_at - start)
}

/// Guards against short responses that wait for seconds behind a long one, and against long ones that
/// take much longer than the line needs.
#[parameterized(
    one_mean_sheet = { &[90_000] },
    one_large_sheet = { &[540_000] },
    three_at_once = { &[90_000, 200_000, 540_000] },
)]
fn short_responses_pass_long_ones(body_sizes: &[usize]) {
    let (max_wait, elapsed) = play(body_sizes);
    assert!(max_wait <= MAX_SHORT_WAIT, "a short response waited for {max_wait:?}");
    let total = body_sizes.iter().sum();
    assert!(elapsed <= line_time(total).mul_f64(1.4), "{elapsed:?} for {total} bytes");
}

/// Guards against a busy machine on which each late timer leaves the line unused for good.
#[test]
fn late_pieces_are_made_up_for() {
    let start = Instant::now();
    let mut pacer = LinePacer::new(Some(LINE_MBPS));
    let on_time = pacer.schedule(start, PIECE_BYTES) - start;
    let mut due = start + on_time;
    for _ in 0..100 {
        due = pacer.schedule(due + Duration::from_millis(5), PIECE_BYTES);
    }
    assert_eq!(due - start, on_time * 101);
}

/// Guards against a stopping entry that keeps a part of the line free although nothing else uses it.
#[test]
fn a_closing_entry_uses_the_whole_line() {
    let now = Instant::now();
    let mut pacer = LinePacer::new(Some(LINE_MBPS));
    pacer.use_whole_line();
    assert_eq!(pacer.schedule(now, PIECE_BYTES) - now, line_time(PIECE_BYTES));
}

/// Guards against delays on lines that are fast enough, or whose speed is not known.
#[parameterized(
    unknown = { None },
    fast = { Some(1000.0) },
    invalid = { Some(0.0) },
)]
fn other_lines_are_not_paced(line_mbps: Option<f64>) {
    let now = Instant::now();
    let mut pacer = LinePacer::new(line_mbps);
    assert!(!pacer.is_active());
    for _ in 0..100 {
        assert_eq!(pacer.schedule(now, SHORT_BODY_BYTES), now);
    }
}

/// Guards against a line that stays reserved after a long body has ended.
#[test]
fn a_pause_is_not_made_up_for() {
    let now = Instant::now();
    let mut pacer = LinePacer::new(Some(LINE_MBPS));
    let first = pacer.schedule(now, PIECE_BYTES) - now;
    let later = now + Duration::from_secs(5);
    assert_eq!(pacer.schedule(later, PIECE_BYTES) - later, first);
}
