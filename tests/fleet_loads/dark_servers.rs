//! Load pattern: a part of the servers accepts no connection, and the entry does not know which.

use std::time::{Duration, Instant};

use curranthollow::fleet::room::probe_plan::{ProbePlan, ProbeStep};
use yare::parameterized;

/// Time in which a server that is up accepts a connection and answers a probe.
const CONNECT_DELAY: Duration = Duration::from_millis(3);
const ANSWER_DELAY: Duration = Duration::from_millis(7);

/// Reaction of a simulated server to a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerKind {
    Free,
    Full,
    /// Answers health pages only after its slots are free.
    Delayed,
    /// Accepts no connection.
    Dark,
}

/// Probes the servers in order; returns the delay and the chosen server, if any had room.
fn choose(servers: &[ServerKind], max_full: usize) -> (Duration, Option<usize>) {
    let start = Instant::now();
    let mut now = start;
    let mut plan = ProbePlan::new(max_full);
    let mut next_server = 0;
    // Pending events: time, probe, whether the server has accepted the connection before.
    let mut events: Vec<(Instant, usize, bool)> = Vec::new();
    loop {
        match plan.next(now) {
            ProbeStep::Start if next_server == servers.len() => plan.no_more_servers(),
            ProbeStep::Start => {
                let number = plan.record_start(now, false);
                if servers[next_server] != ServerKind::Dark {
                    events.push((now + CONNECT_DELAY, number, false));
                }
                next_server += 1;
            }
            ProbeStep::Wait(until) => {
                events.sort_by_key(|event| std::cmp::Reverse(event.0));
                let Some((at, number, is_connected)) = events.pop_if(|event| event.0 <= until)
                else {
                    now = until;
                    continue;
                };
                now = at;
                if !is_connected {
                    plan.record_connected(now, number);
                    if servers[number] != ServerKind::Delayed {
                        events.push((now + ANSWER_DELAY, number, true));
                    }
                    continue;
                }
                plan.record_result(number, servers[number] == ServerKind::Full);
                if servers[number] == ServerKind::Free {
                    return (now - start, Some(number));
                }
            }
            ProbeStep::GiveUp => return (now - start, None),
        }
    }
}

use ServerKind::{Dark, Delayed, Free, Full};

/// Guards against requests that wait for one connection attempt after the other.
#[parameterized(
    all_up = { &[Free, Free], 10, Some(0) },
    one_dark = { &[Dark, Free], 35, Some(1) },
    three_dark = { &[Dark, Dark, Dark, Free], 85, Some(3) },
    full_ones_between = { &[Dark, Full, Dark, Full, Free], 80, Some(4) },
    crowded = { &[Full, Full, Full, Free], 30, None },
    delayed_answers = { &[Delayed, Delayed, Delayed, Delayed, Free], 115, None },
    two_delayed_answers = { &[Delayed, Delayed, Free], 80, Some(2) },
    only_server_is_full = { &[Full], 10, None },
    only_server_is_dark = { &[Dark], 250, None },
)]
fn a_choice_is_made_within(servers: &[ServerKind], limit_ms: u64, expected: Option<usize>) {
    let (delay, chosen) = choose(servers, 3);
    assert_eq!(chosen, expected);
    assert!(delay <= Duration::from_millis(limit_ms), "{delay:?}");
}

/// Guards against a part of dark servers that holds up many requests: with up to four in ten dark,
/// at most one choice in a hundred may take as long as one connection attempt.
#[parameterized(
    tenth = { 0.1 },
    quarter = { 0.25 },
    four_tenths = { 0.4 },
)]
fn dark_servers_hold_up_few_requests(dark_share: f64) {
    let mut random = fastrand::Rng::with_seed(7);
    let mut delays = Vec::new();
    for _ in 0..10_000 {
        let servers: Vec<_> =
            (0..40).map(|_| if random.f64() < dark_share { Dark } else { Free }).collect();
        let (delay, chosen) = choose(&servers, 3);
        if chosen.is_some() {
            delays.push(delay);
        }
    }
    delays.sort();
    assert!(delays.len() >= 9900, "{} of 10000 requests found a server", delays.len());
    let p99 = delays[delays.len() * 99 / 100];
    assert!(p99 < Duration::from_millis(250), "{p99:?}");
}
