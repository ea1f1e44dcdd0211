//! Admission queue, fair sharing between teams, and the budget of measuring messages.

use std::time::{Duration, Instant};

use curranthollow::credit::WorkClass;
use curranthollow::ids::TeamName;
use curranthollow::route::team_share::ProcessLimits;
use curranthollow::route::{
    AdmissionQueue, AdmissionRefusal, AdmissionSettings, MeasureBudget, MeasureLimits, TeamShare,
};
use yare::parameterized;

const SHORT: WorkClass = WorkClass::Short;
const MILLISECOND: Duration = Duration::from_millis(1);

fn small_queue(limit: usize) -> AdmissionQueue<u32> {
    AdmissionQueue::new(AdmissionSettings { limits: [limit, 1], ..Default::default() })
}

/// Guards against queues that grow without bound, and against a limit shared between classes.
#[test]
fn full_queue_refuses_work() {
    let now = Instant::now();
    let mut queue = small_queue(2);
    assert_eq!(queue.offer(now, SHORT, 1, None), Ok(()));
    assert_eq!(queue.offer(now, SHORT, 2, None), Ok(()));
    assert_eq!(queue.offer(now, SHORT, 3, None), Err((3, AdmissionRefusal::QueueFull)));
    assert_eq!(queue.offer(now, WorkClass::Long, 4, None), Ok(()));
    assert_eq!(queue.waiting().map(|work| work.count), [2, 1]);
}

/// Guards against expired work that takes a slot or delays work that can still meet its deadline.
#[test]
fn expired_work_is_dropped() {
    let now = Instant::now();
    let mut queue = small_queue(10);
    let mut expired = Vec::new();
    for (ticket, limit) in [(1, 5), (2, 50), (3, 10)] {
        queue.offer(now, SHORT, ticket, Some(now + MILLISECOND * limit)).expect("there is room");
    }
    let later = now + MILLISECOND * 7;
    assert_eq!(queue.take(later, SHORT, &mut expired), Some(2));
    assert_eq!(expired, [1]);
    queue.expire(now + MILLISECOND * 10, &mut expired);
    assert_eq!(expired, [1, 3]);
    assert!(queue.is_empty());
}

/// Guards against queueing work that cannot finish before its deadline. It must be refused, so that
/// the caller knows that it has not been run.
#[parameterized(
    short_wait = { 5, 100, true },
    long_wait = { 30, 100, false },
    below_service_time = { 0, 9, false },
)]
fn work_that_would_miss_its_deadline_is_refused(ahead: u32, deadline: u32, is_admitted: bool) {
    let mut now = Instant::now();
    let mut queue = small_queue(1000);
    let mut expired = Vec::new();
    for ticket in 0..ahead + 20 {
        queue.offer(now, SHORT, ticket, None).expect("there is room");
    }
    queue.record_service_time(SHORT, MILLISECOND * 10);
    // One start every 4 ms; 20 of them take less than the time after which a queue is overloaded.
    for _ in 0..20 {
        now += MILLISECOND * 4;
        queue.take(now, SHORT, &mut expired).expect("work waits");
    }
    let offer = queue.offer(now, SHORT, 9999, Some(now + MILLISECOND * deadline));
    assert_eq!(offer.is_ok(), is_admitted, "{offer:?}");
}

/// Guards against a collapse of goodput under overload. With arrivals at three times the capacity,
/// work amounting to at least 95 % of the capacity must finish in time, and the queue must stay
/// within its limit.
#[parameterized(
    first = { 1 },
    second = { 2 },
    third = { 3 },
)]
fn goodput_holds_under_overload(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue = small_queue(500);
    let mut expired = Vec::new();
    let start = Instant::now();
    let deadline = MILLISECOND * 200;
    let mut slot_free_at = [start; 10];
    let mut finished_in_time = 0;
    // Ten slots and 10 ms per request serve 1000 requests per second; 3000 arrive.
    for millisecond in 0..5000 {
        let now = start + MILLISECOND * millisecond;
        for _ in 0..random.u32(2..=4) {
            let _ = queue.offer(now, SHORT, millisecond, Some(now + deadline));
        }
        assert!(queue.len(SHORT) <= 500);
        for free_at in &mut slot_free_at {
            if *free_at > now {
                continue;
            }
            let Some(arrived) = queue.take(now, SHORT, &mut expired) else {
                break;
            };
            *free_at = now + MILLISECOND * 10;
            queue.record_service_time(SHORT, MILLISECOND * 10);
            finished_in_time += u32::from(*free_at <= start + MILLISECOND * arrived + deadline);
        }
        queue.expire(now, &mut expired);
    }
    assert!(finished_in_time >= 4750, "{finished_in_time} of 5000");
}

/// Guards against lost or duplicated tickets under random sequences of calls.
#[parameterized(first = { 4 }, second = { 5 }, third = { 6 })]
fn every_ticket_is_returned_once(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut queue = small_queue(20);
    let mut now = Instant::now();
    let (mut removed, mut expired) = (Vec::new(), Vec::new());
    for ticket in 0..5000 {
        now += MILLISECOND * random.u32(..3);
        let deadline = random.bool().then(|| now + MILLISECOND * random.u32(1..100));
        if let Err((ticket, _)) = queue.offer(now, SHORT, ticket, deadline) {
            removed.push(ticket);
        }
        match random.u32(..10) {
            0..4 => removed.extend(queue.take(now, SHORT, &mut expired)),
            4 => queue.expire(now, &mut expired),
            5 => removed.extend(queue.remove(SHORT, |queued| queued % 7 == 0)),
            _ => {}
        }
        assert!(queue.len(SHORT) <= 20);
    }
    while let Some(ticket) = queue.take(now, SHORT, &mut expired) {
        removed.push(ticket);
    }
    removed.append(&mut expired);
    removed.sort_unstable();
    assert_eq!(removed, (0..5000).collect::<Vec<_>>());
}

fn teams(names: &[&str]) -> Vec<TeamName> {
    names.iter().map(|name| TeamName::from(*name)).collect()
}

/// Guards against one team that uses the whole process: another must still get its guaranteed share.
#[test]
fn busy_team_leaves_others_their_guaranteed_share() {
    let mut share = TeamShare::new(ProcessLimits { queued: 100, open: 40, buffered_kib: 0 });
    share.set_teams(&teams(&["flood", "quiet"]));
    let queued = (0..1000).filter(|_| share.try_queue("flood")).count();
    let opened = (0..1000).filter(|_| share.try_open("flood")).count();
    assert_eq!((queued, opened), (75, 30));
    assert_eq!((0..1000).filter(|_| share.try_queue("quiet")).count(), 25);
    assert_eq!((0..1000).filter(|_| share.try_open("quiet")).count(), 10);
    assert_eq!((share.queued(), share.open()), (100, 40));
    assert!(!share.try_queue("unknown"));
}

/// Guards against totals above the limits under random sequences of calls.
#[parameterized(first = { 7 }, second = { 8 })]
fn totals_stay_within_process_limits(seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let names = ["a", "b", "c", "d", "e"];
    let mut share = TeamShare::new(ProcessLimits { queued: 30, open: 10, buffered_kib: 0 });
    share.set_teams(&teams(&names));
    for _ in 0..20_000 {
        let name = names[random.usize(..names.len())];
        match random.u32(..5) {
            0 | 1 => _ = share.try_queue(name),
            2 => share.leave_queue(name),
            3 => _ = share.try_open(name),
            _ => share.close(name),
        }
        assert!(share.queued() <= 30 && share.open() <= 10);
    }
}

/// Guards against a round robin that prefers the first team or stops at an idle one.
#[parameterized(
    all_busy = { &["a", "b", "c"], [100, 100, 100] },
    one_idle = { &["a", "c"], [150, 0, 150] },
    one_busy = { &["b"], [0, 300, 0] },
    none_busy = { &[], [0, 0, 0] },
)]
fn round_robin_is_fair(busy: &[&str], expected: [u32; 3]) {
    let mut share = TeamShare::new(ProcessLimits { queued: 30, open: 10, buffered_kib: 0 });
    share.set_teams(&teams(&["a", "b", "c"]));
    let mut counts = [0_u32; 3];
    for _ in 0..300 {
        let Some(name) = share.next_team(|name| busy.contains(&name)) else {
            break;
        };
        let position = ["a", "b", "c"].iter().position(|team| **team == *name);
        counts[position.expect("the team is known")] += 1;
    }
    for (count, expected) in counts.iter().zip(expected) {
        assert!(count.abs_diff(expected) <= 4, "{counts:?}");
    }
}

/// Guards against more messages or bytes than the limits allow.
#[parameterized(
    limited_by_messages = { 100.0, 1e9 },
    limited_by_bytes = { 1e6, 20_000.0 },
    nothing_allowed = { 0.0, 0.0 },
)]
fn messages_stay_within_budget(messages_per_second: f64, bytes_per_second: f64) {
    let start = Instant::now();
    let limits = MeasureLimits { messages_per_second, bytes_per_second };
    let mut budget = MeasureBudget::new(start, limits);
    let mut random = fastrand::Rng::with_seed(9);
    let mut attempts = 0;
    for millisecond in 0..10_000 {
        let now = start + MILLISECOND * millisecond;
        for _ in 0..random.u32(..4) {
            budget.try_spend(now, random.u32(50..300));
            attempts += 1;
        }
        let seconds = f64::from(millisecond) / 1000.0 + 0.5;
        let counters = budget.counters();
        assert!(counters.messages_spent as f64 <= messages_per_second * seconds + 1e-6);
        assert!(counters.bytes_spent as f64 <= bytes_per_second * seconds + 1e-6);
        assert_eq!(counters.messages_spent + counters.messages_suppressed, attempts);
    }
}

/// Guards against messages spent by `charge` that do not reduce the budget of later ones.
#[test]
fn charged_messages_delay_others() {
    let start = Instant::now();
    let limits = MeasureLimits { messages_per_second: 10.0, bytes_per_second: 1e6 };
    let mut budget = MeasureBudget::new(start, limits);
    for _ in 0..15 {
        budget.charge(start, 10);
    }
    assert!(!budget.try_spend(start + Duration::from_millis(1050), 10));
    assert!(budget.try_spend(start + Duration::from_millis(1150), 10));
    assert!(!budget.has_room(start + Duration::from_millis(1150), 10));
}
