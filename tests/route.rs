//! Server pool, policies, health scores and retries.

use std::time::{Duration, Instant};

use curranthollow::credit::{CreditWallet, ServerKey, WalletSettings, WorkClass};
use curranthollow::route::retry::LatencyQuantile;
use curranthollow::route::{
    FailedAttempt, HealthSettings, HealthTracker, PickOutcome, PickedServer, PoolServer,
    PoolSettings, RetryBudget, RetryDecision, RetryRefusal, RetrySettings, RoutePolicy, ServerPool,
};
use yare::parameterized;

const SHORT: WorkClass = WorkClass::Short;
const MILLISECOND: Duration = Duration::from_millis(1);

fn pool_server(server: ServerKey, zone: &str) -> PoolServer {
    PoolServer {
        server,
        zone: zone.into(),
        slots: 4,
        connections: 220,
        ready_since: None,
        draining: false,
    }
}

struct PoolWorld {
    now: Instant,
    pool: ServerPool,
    wallet: CreditWallet,
}

impl PoolWorld {
    fn new(policy: RoutePolicy, servers: Vec<PoolServer>) -> Self {
        let now = Instant::now();
        let slow_start = Duration::from_secs(2);
        let settings = PoolSettings { policy, slow_start, health: HealthSettings::default() };
        let mut pool = ServerPool::new("zone-0".into(), settings, 1);
        pool.set_servers(servers, 2);
        let (name, zone) = ("entry-0".into(), "zone-0".into());
        let wallet = CreditWallet::new(now, name, zone, WalletSettings::default());
        Self { now, pool, wallet }
    }

    fn pick(&mut self, excluded: &[ServerKey]) -> Option<PickedServer> {
        match self.pool.pick(self.now, SHORT, excluded, &mut self.wallet) {
            PickOutcome::Start(picked) => Some(picked),
            PickOutcome::Wait | PickOutcome::NoServer => None,
        }
    }

    fn finish(&mut self, picked: PickedServer, failed: bool) {
        self.pool.finish(self.now, picked, failed, &mut self.wallet);
    }
}

/// Guards against a policy name that is accepted but unknown, or known but not accepted.
#[parameterized(
    random = { "random", Some(RoutePolicy::Random) },
    round_robin = { "round_robin", Some(RoutePolicy::RoundRobin) },
    least_in_flight = { "least_in_flight", Some(RoutePolicy::LeastInFlight) },
    two_choices = { "two_choices", Some(RoutePolicy::TwoChoices) },
    credits = { "credits", Some(RoutePolicy::Credits) },
    unknown = { "fastest", None },
)]
fn policy_names(name: &str, expected: Option<RoutePolicy>) {
    assert_eq!(name.parse().ok(), expected);
}

/// Guards against more requests on a server than slots, and against waiting beside a free slot.
#[parameterized(
    random = { RoutePolicy::Random },
    round_robin = { RoutePolicy::RoundRobin },
    least_in_flight = { RoutePolicy::LeastInFlight },
    two_choices = { RoutePolicy::TwoChoices },
)]
fn baselines_fill_all_slots(policy: RoutePolicy) {
    let servers =
        vec![pool_server(1, "zone-0"), pool_server(2, "zone-1"), pool_server(3, "zone-0")];
    let mut world = PoolWorld::new(policy, servers);
    let mut order = Vec::new();
    while let Some(picked) = world.pick(&[]) {
        order.push(picked.server);
        assert!(world.pool.in_flight(picked.server) <= 4);
    }
    assert_eq!(order.len(), 12);
    assert!(order[..8].iter().all(|server| *server != 2), "own zone first: {order:?}");
}

/// Guards against a retry on the server that failed while another one has room.
#[test]
fn excluded_server_is_last_resort() {
    let servers = vec![pool_server(1, "zone-0"), pool_server(2, "zone-1")];
    let mut world = PoolWorld::new(RoutePolicy::LeastInFlight, servers);
    for _ in 0..4 {
        assert_eq!(world.pick(&[1]).map(|picked| picked.server), Some(2));
    }
    assert_eq!(world.pick(&[1]).map(|picked| picked.server), Some(1));
}

/// Guards against new work on a draining server and loss of its requests in flight.
#[test]
fn draining_server_takes_no_work() {
    let mut world = PoolWorld::new(RoutePolicy::Random, vec![pool_server(1, "zone-0")]);
    let picked = world.pick(&[]).expect("the server has room");
    let mut draining = pool_server(1, "zone-0");
    draining.draining = true;
    world.pool.set_servers(vec![draining], 2);
    let outcome = world.pool.pick(world.now, SHORT, &[], &mut world.wallet);
    assert!(matches!(outcome, PickOutcome::NoServer));
    world.pool.set_servers(Vec::new(), 2);
    assert_eq!(world.pool.in_flight(1), 1);
    world.finish(picked, false);
    assert_eq!(world.pool.in_flight(1), 0);
}

/// Guards against a cold server that gets all its slots at once.
#[parameterized(
    at_once = { 0, 1 },
    half = { 1200, 2 },
    done = { 2500, 4 },
)]
fn slow_start_grows_slots(milliseconds: u32, expected: u32) {
    let mut world = PoolWorld::new(RoutePolicy::Random, Vec::new());
    let mut server = pool_server(1, "zone-0");
    server.ready_since = Some(world.now);
    world.pool.set_servers(vec![server], 1);
    let servers = world.pool.wallet_servers(world.now + MILLISECOND * milliseconds);
    assert_eq!(servers[0].slots, expected);
}

/// Responses of several servers, in rounds of 10 ms.
struct HealthWorld {
    now: Instant,
    random: fastrand::Rng,
    tracker: HealthTracker,
}

impl HealthWorld {
    fn new(seed: u64) -> Self {
        let mut tracker = HealthTracker::new(HealthSettings::default());
        tracker.set_servers(&[0, 1, 2, 3, 4, 5]);
        let random = fastrand::Rng::with_seed(seed);
        Self { now: Instant::now(), random, tracker }
    }

    /// Every server answers once; `behave` gives the factor on its latency and whether it fails.
    fn round(&mut self, behave: impl Fn(ServerKey) -> (f64, bool)) {
        self.now += MILLISECOND * 10;
        for server in 0..6 {
            let (factor, failed) = behave(server);
            let normal = (0..12).map(|_| self.random.f64()).sum::<f64>() - 6.0;
            let latency = Duration::from_secs_f64(0.02 * factor * (0.5 * normal).exp());
            let sent = self.now.checked_sub(latency).expect("the clock is past one second");
            self.tracker.note_response(self.now, server, SHORT, sent, failed);
        }
        self.tracker.tick(self.now);
    }
}

/// Guards against a slow or failing server that keeps its work, and against loss of others.
#[parameterized(
    slow = { 5.0, false, 10 },
    fails_fast = { 0.05, true, 5 },
)]
fn bad_server_is_ejected(factor: f64, failed: bool, rounds: u32) {
    for seed in 0..20 {
        let mut world = HealthWorld::new(seed);
        for _ in 0..200 {
            world.round(|_| (1.0, false));
        }
        let now = world.now;
        assert_eq!(world.tracker.ejected(now), Vec::<u64>::new(), "seed {seed}");
        for _ in 0..rounds {
            world.round(|server| if server == 3 { (factor, failed) } else { (1.0, false) });
        }
        let now = world.now;
        assert_eq!(world.tracker.ejected(now), [3], "seed {seed}");
        let later = now + Duration::from_millis(900);
        assert!((0.01..0.99).contains(&world.tracker.weight(later, 3)), "gradual return");
        assert_eq!(world.tracker.weight(now + Duration::from_secs(3), 3), 1.0);
    }
}

/// Guards against ejection of servers that are only as bad as all the others.
#[parameterized(
    all_slow = { 5.0, false },
    all_fail = { 1.0, true },
)]
fn common_trouble_ejects_nobody(factor: f64, failed: bool) {
    for seed in 0..20 {
        let mut world = HealthWorld::new(seed);
        for _ in 0..200 {
            world.round(|_| (1.0, false));
        }
        for _ in 0..200 {
            world.round(|_| (factor, failed));
            let ejected = world.tracker.ejected(world.now);
            assert_eq!(ejected, Vec::<u64>::new(), "seed {seed}");
        }
    }
}

/// Guards against ejection of more than half of a service.
#[test]
fn at_most_half_is_ejected() {
    let mut world = HealthWorld::new(1);
    for _ in 0..200 {
        world.round(|_| (1.0, false));
    }
    for _ in 0..500 {
        world.round(|server| (1.0, server >= 2));
        assert!(world.tracker.ejected(world.now).len() <= 3);
    }
}

/// Guards against a stalled server that is noticed only when a response comes.
#[test]
fn open_requests_show_a_stall() {
    let mut world = HealthWorld::new(2);
    for _ in 0..200 {
        world.round(|_| (1.0, false));
    }
    for _ in 0..4 {
        world.tracker.note_sent(world.now, 2, SHORT);
    }
    let later = world.now + MILLISECOND * 20;
    world.tracker.tick(later);
    assert_eq!(world.tracker.ejected(later), Vec::<u64>::new());
    let later = world.now + MILLISECOND * 80;
    world.tracker.tick(later);
    assert_eq!(world.tracker.ejected(later), [2]);
}

/// Guards against ejections that stay short for a server that fails again and again.
#[test]
fn ejection_periods_grow() {
    let mut world = HealthWorld::new(3);
    for _ in 0..200 {
        world.round(|_| (1.0, false));
    }
    let mut periods = Vec::new();
    let mut ejected_at = None;
    for _ in 0..1000 {
        let is_out = world.tracker.is_ejected(world.now, 4);
        world.round(|server| (1.0, server == 4 && !is_out));
        match (ejected_at, world.tracker.is_ejected(world.now, 4)) {
            (None, true) => ejected_at = Some(world.now),
            (Some(start), false) => {
                periods.push((world.now - start).as_millis());
                ejected_at = None;
            }
            _ => {}
        }
    }
    insta::assert_debug_snapshot!(periods);
}

fn attempt(tried: &[ServerKey]) -> FailedAttempt<'_> {
    FailedAttempt {
        idempotent: true,
        response_started: false,
        has_outer_retry: false,
        tried,
        deadline: None,
    }
}

/// Guards against a retry where one could run work twice, mix responses or add to overload.
#[parameterized(
    not_idempotent = { |attempt: &mut FailedAttempt<'_>| attempt.idempotent = false, RetryRefusal::NotIdempotent },
    response_started = { |attempt: &mut FailedAttempt<'_>| attempt.response_started = true, RetryRefusal::ResponseStarted },
    outer_retry = { |attempt: &mut FailedAttempt<'_>| attempt.has_outer_retry = true, RetryRefusal::OuterRetry },
    no_attempts = { |attempt: &mut FailedAttempt<'_>| attempt.tried = &[1, 2, 3], RetryRefusal::NoAttemptsLeft },
)]
fn retries_are_refused(change: fn(&mut FailedAttempt<'_>), expected: RetryRefusal) {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now, RetrySettings::default(), 1);
    let mut failed = attempt(&[1]);
    change(&mut failed);
    assert_eq!(budget.decide(now, &failed), RetryDecision::Refuse(expected));
    assert!(matches!(budget.decide(now, &attempt(&[1])), RetryDecision::RetryAfter(_)));
}

/// Guards against a retry that cannot end by the deadline.
#[test]
fn late_retry_is_refused() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now, RetrySettings::default(), 1);
    for _ in 0..100 {
        budget.note_success(now, MILLISECOND * 20);
    }
    let mut failed = attempt(&[1]);
    failed.deadline = Some(now + MILLISECOND * 15);
    let refusal = RetryDecision::Refuse(RetryRefusal::DeadlineTooClose);
    assert_eq!(budget.decide(now, &failed), refusal);
    failed.deadline = Some(now + MILLISECOND * 60);
    assert!(matches!(budget.decide(now, &failed), RetryDecision::RetryAfter(_)));
}

/// Guards against retries and hedges above the budget: a tenth of the successes, plus one per
/// second, plus the first token.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn retry_budget_holds(seed: u64) {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut budget = RetryBudget::new(start, RetrySettings::default(), seed);
    let (mut successes, mut extra) = (0.0, 0.0);
    for millisecond in 0..20_000 {
        let now = start + MILLISECOND * millisecond;
        if random.f64() < 0.3 {
            budget.note_success(now, MILLISECOND * random.u32(1..40));
            successes += 1.0;
        }
        if random.f64() < 0.3
            && matches!(budget.decide(now, &attempt(&[1])), RetryDecision::RetryAfter(_))
        {
            extra += 1.0;
        }
        let sent = now.checked_sub(MILLISECOND * 100).expect("the clock is past one second");
        if random.f64() < 0.1 && budget.decide_hedge(now, sent, &attempt(&[1])) {
            extra += 1.0;
        }
        let limit = 0.1 * successes + f64::from(millisecond) / 1000.0 + 1.0;
        assert!(extra <= limit + 1e-6, "{extra} above {limit}");
    }
    assert!(extra > 100.0);
}

/// Guards against backoffs without jitter or without a limit.
#[parameterized(
    first = { 1, 5 },
    second = { 2, 10 },
    limited = { 12, 250 },
)]
fn backoff_is_jittered(attempts: usize, full: u32) {
    let now = Instant::now();
    let settings = RetrySettings { max_attempts: 100, ..Default::default() };
    let mut budget = RetryBudget::new(now, settings, 1);
    for _ in 0..1000 {
        budget.note_success(now, MILLISECOND);
    }
    let tried = vec![1; attempts];
    let mut delays = Vec::new();
    for _ in 0..50 {
        let RetryDecision::RetryAfter(delay) = budget.decide(now, &attempt(&tried)) else {
            panic!("the budget allows 100 retries");
        };
        assert!((MILLISECOND * full / 2..=MILLISECOND * full).contains(&delay), "{delay:?}");
        delays.push(delay);
    }
    delays.dedup();
    assert!(delays.len() > 40);
}

/// Guards against a quantile that is off by more than its bucket.
#[parameterized(
    median = { 0.5, 50 },
    high = { 0.95, 95 },
)]
fn quantile_is_close(quantile: f64, expected: u32) {
    let mut latency = LatencyQuantile::default();
    assert_eq!(latency.quantile(quantile), None);
    for round in 0..5000 {
        latency.note(MILLISECOND * (round % 100 + 1));
    }
    let found = latency.quantile(quantile).expect("there are samples");
    assert!((MILLISECOND * expected..MILLISECOND * expected * 5 / 4).contains(&found), "{found:?}");
}
