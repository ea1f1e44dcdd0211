//! Server pool, load-balancing policies, outlier detection, retries and hedging.

use std::time::{Duration, Instant};

use curranthollow::credit::{CreditWallet, ServerKey, WalletSettings, WorkClass};
use curranthollow::route::retry::LatencyQuantile;
use curranthollow::route::{
    HealthSettings, HealthTracker, PickOutcome, PickedServer, PoolServer, PoolSettings,
    RetryBudget, RetryCandidate, RetryDecision, RetryRefusal, RetrySettings, RoutePolicy,
    ServerPool,
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

struct PoolFixture {
    now: Instant,
    pool: ServerPool,
    wallet: CreditWallet,
}

impl PoolFixture {
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

/// Guards against policy names that are wrongly accepted or rejected.
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

/// Guards against more requests on a server than it has slots, and against requests that wait
/// although a slot is free.
#[parameterized(
    random = { RoutePolicy::Random },
    round_robin = { RoutePolicy::RoundRobin },
    least_in_flight = { RoutePolicy::LeastInFlight },
    two_choices = { RoutePolicy::TwoChoices },
)]
fn policies_fill_all_slots(policy: RoutePolicy) {
    let servers =
        vec![pool_server(1, "zone-0"), pool_server(2, "zone-1"), pool_server(3, "zone-0")];
    let mut fixture = PoolFixture::new(policy, servers);
    let mut order = Vec::new();
    while let Some(picked) = fixture.pick(&[]) {
        order.push(picked.server);
        assert!(fixture.pool.in_flight(picked.server) <= 4);
    }
    assert_eq!(order.len(), 12);
    assert!(order[..8].iter().all(|server| *server != 2), "own zone first: {order:?}");
}

/// Guards against a retry on the excluded server while another one has a free slot.
#[test]
fn excluded_server_is_used_last() {
    let servers = vec![pool_server(1, "zone-0"), pool_server(2, "zone-1")];
    let mut fixture = PoolFixture::new(RoutePolicy::LeastInFlight, servers);
    for _ in 0..4 {
        assert_eq!(fixture.pick(&[1]).map(|picked| picked.server), Some(2));
    }
    assert_eq!(fixture.pick(&[1]).map(|picked| picked.server), Some(1));
}

/// Guards against new requests on a draining server, and against forgetting its requests in flight.
#[test]
fn draining_server_gets_no_new_requests() {
    let mut fixture = PoolFixture::new(RoutePolicy::Random, vec![pool_server(1, "zone-0")]);
    let picked = fixture.pick(&[]).expect("the server has room");
    let mut draining = pool_server(1, "zone-0");
    draining.draining = true;
    fixture.pool.set_servers(vec![draining], 2);
    let outcome = fixture.pool.pick(fixture.now, SHORT, &[], &mut fixture.wallet);
    assert!(matches!(outcome, PickOutcome::NoServer));
    fixture.pool.set_servers(Vec::new(), 2);
    assert_eq!(fixture.pool.in_flight(1), 1);
    fixture.finish(picked, false);
    assert_eq!(fixture.pool.in_flight(1), 0);
}

/// Guards against a server that gets all its slots as soon as it is ready.
#[parameterized(
    at_start = { 0, 1 },
    half = { 1200, 2 },
    done = { 2500, 4 },
)]
fn slow_start_grows_slots(milliseconds: u32, expected: u32) {
    let mut fixture = PoolFixture::new(RoutePolicy::Random, Vec::new());
    let mut server = pool_server(1, "zone-0");
    server.ready_since = Some(fixture.now);
    fixture.pool.set_servers(vec![server], 1);
    let servers = fixture.pool.wallet_servers(fixture.now + MILLISECOND * milliseconds);
    assert_eq!(servers[0].slots, expected);
}

/// Simulates the responses of six servers, one from each every 10 ms.
struct HealthFixture {
    now: Instant,
    random: fastrand::Rng,
    tracker: HealthTracker,
}

impl HealthFixture {
    fn new(seed: u64) -> Self {
        let mut tracker = HealthTracker::new(HealthSettings::default());
        tracker.set_servers(&[0, 1, 2, 3, 4, 5]);
        let random = fastrand::Rng::with_seed(seed);
        Self { now: Instant::now(), random, tracker }
    }

    /// Every server responds once; `behavior` returns its latency factor and whether it fails.
    fn round(&mut self, behavior: impl Fn(ServerKey) -> (f64, bool)) {
        self.now += MILLISECOND * 10;
        for server in 0..6 {
            let (latency_factor, failed) = behavior(server);
            let standard_normal = (0..12).map(|_| self.random.f64()).sum::<f64>() - 6.0;
            let latency =
                Duration::from_secs_f64(0.02 * latency_factor * (0.5 * standard_normal).exp());
            let sent = self.now.checked_sub(latency).expect("the clock is past one second");
            self.tracker.record_response(self.now, server, SHORT, sent, failed);
        }
        self.tracker.tick(self.now);
    }
}

/// Guards against a slow or failing server that is not ejected, and against ejecting others.
#[parameterized(
    slow = { 5.0, false, 10 },
    fails_fast = { 0.05, true, 5 },
)]
fn bad_server_is_ejected(latency_factor: f64, failed: bool, rounds: u32) {
    for seed in 0..20 {
        let mut fixture = HealthFixture::new(seed);
        for _ in 0..200 {
            fixture.round(|_| (1.0, false));
        }
        let now = fixture.now;
        assert_eq!(fixture.tracker.ejected(now), Vec::<u64>::new(), "seed {seed}");
        for _ in 0..rounds {
            fixture
                .round(|server| if server == 3 { (latency_factor, failed) } else { (1.0, false) });
        }
        let now = fixture.now;
        assert_eq!(fixture.tracker.ejected(now), [3], "seed {seed}");
        let later = now + Duration::from_millis(900);
        assert!((0.01..0.99).contains(&fixture.tracker.weight(later, 3)), "gradual return");
        assert_eq!(fixture.tracker.weight(now + Duration::from_secs(3), 3), 1.0);
    }
}

/// Guards against ejections while all servers are equally slow or failing.
#[parameterized(
    all_slow = { 5.0, false },
    all_fail = { 1.0, true },
)]
fn service_wide_degradation_ejects_no_server(latency_factor: f64, failed: bool) {
    for seed in 0..20 {
        let mut fixture = HealthFixture::new(seed);
        for _ in 0..200 {
            fixture.round(|_| (1.0, false));
        }
        for _ in 0..200 {
            fixture.round(|_| (latency_factor, failed));
            let ejected = fixture.tracker.ejected(fixture.now);
            assert_eq!(ejected, Vec::<u64>::new(), "seed {seed}");
        }
    }
}

/// Guards against ejection of more than half of the servers of a service.
#[test]
fn at_most_half_is_ejected() {
    let mut fixture = HealthFixture::new(1);
    for _ in 0..200 {
        fixture.round(|_| (1.0, false));
    }
    for _ in 0..500 {
        fixture.round(|server| (1.0, server >= 2));
        assert!(fixture.tracker.ejected(fixture.now).len() <= 3);
    }
}

/// Guards against a stalled server that is detected only once it responds.
#[test]
fn stalled_server_is_ejected_by_its_open_requests() {
    let mut fixture = HealthFixture::new(2);
    for _ in 0..200 {
        fixture.round(|_| (1.0, false));
    }
    for _ in 0..4 {
        fixture.tracker.record_sent(fixture.now, 2, SHORT);
    }
    let later = fixture.now + MILLISECOND * 20;
    fixture.tracker.tick(later);
    assert_eq!(fixture.tracker.ejected(later), Vec::<u64>::new());
    let later = fixture.now + MILLISECOND * 80;
    fixture.tracker.tick(later);
    assert_eq!(fixture.tracker.ejected(later), [2]);
}

/// Guards against ejections that do not get longer for a server that fails repeatedly.
#[test]
fn ejection_periods_grow() {
    let mut fixture = HealthFixture::new(3);
    for _ in 0..200 {
        fixture.round(|_| (1.0, false));
    }
    let mut periods = Vec::new();
    let mut ejected_at = None;
    for _ in 0..1000 {
        let was_ejected = fixture.tracker.is_ejected(fixture.now, 4);
        fixture.round(|server| (1.0, server == 4 && !was_ejected));
        match (ejected_at, fixture.tracker.is_ejected(fixture.now, 4)) {
            (None, true) => ejected_at = Some(fixture.now),
            (Some(start), false) => {
                periods.push((fixture.now - start).as_millis());
                ejected_at = None;
            }
            _ => {}
        }
    }
    insta::assert_debug_snapshot!(periods);
}

fn retry_candidate(tried: &[ServerKey]) -> RetryCandidate<'_> {
    RetryCandidate {
        idempotent: true,
        response_started: false,
        has_outer_retry: false,
        tried,
        deadline: None,
    }
}

/// Guards against retries that could run a request twice, mix two responses or add to an overload.
#[parameterized(
    not_idempotent = { |candidate: &mut RetryCandidate<'_>| candidate.idempotent = false, RetryRefusal::NotIdempotent },
    response_started = { |candidate: &mut RetryCandidate<'_>| candidate.response_started = true, RetryRefusal::ResponseStarted },
    outer_retry = { |candidate: &mut RetryCandidate<'_>| candidate.has_outer_retry = true, RetryRefusal::OuterRetry },
    no_attempts = { |candidate: &mut RetryCandidate<'_>| candidate.tried = &[1, 2, 3], RetryRefusal::NoAttemptsLeft },
)]
fn retries_are_refused(change: fn(&mut RetryCandidate<'_>), expected: RetryRefusal) {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now, RetrySettings::default(), 1);
    let mut candidate = retry_candidate(&[1]);
    change(&mut candidate);
    assert_eq!(budget.decide(now, &candidate), RetryDecision::Refuse(expected));
    assert!(matches!(budget.decide(now, &retry_candidate(&[1])), RetryDecision::RetryAfter(_)));
}

/// Guards against a retry that cannot finish before the deadline.
#[test]
fn retry_that_would_miss_the_deadline_is_refused() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now, RetrySettings::default(), 1);
    for _ in 0..100 {
        budget.record_success(now, MILLISECOND * 20);
    }
    let mut candidate = retry_candidate(&[1]);
    candidate.deadline = Some(now + MILLISECOND * 15);
    let refusal = RetryDecision::Refuse(RetryRefusal::DeadlineTooClose);
    assert_eq!(budget.decide(now, &candidate), refusal);
    candidate.deadline = Some(now + MILLISECOND * 60);
    assert!(matches!(budget.decide(now, &candidate), RetryDecision::RetryAfter(_)));
}

/// Guards against more retries and hedges than the budget allows: a tenth of the successes, plus
/// one per second, plus the initial token.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn retries_and_hedges_stay_within_budget(seed: u64) {
    let start = Instant::now();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut budget = RetryBudget::new(start, RetrySettings::default(), seed);
    let (mut successes, mut attempts_granted) = (0.0, 0.0);
    for millisecond in 0..20_000 {
        let now = start + MILLISECOND * millisecond;
        if random.f64() < 0.3 {
            budget.record_success(now, MILLISECOND * random.u32(1..40));
            successes += 1.0;
        }
        if random.f64() < 0.3
            && matches!(budget.decide(now, &retry_candidate(&[1])), RetryDecision::RetryAfter(_))
        {
            attempts_granted += 1.0;
        }
        let sent = now.checked_sub(MILLISECOND * 100).expect("the clock is past one second");
        if random.f64() < 0.1 && budget.decide_hedge(now, sent, &retry_candidate(&[1])) {
            attempts_granted += 1.0;
        }
        let limit = 0.1 * successes + f64::from(millisecond) / 1000.0 + 1.0;
        assert!(attempts_granted <= limit + 1e-6, "{attempts_granted} above {limit}");
    }
    assert!(attempts_granted > 100.0);
}

/// Guards against backoffs without jitter or without an upper bound.
#[parameterized(
    first = { 1, 5 },
    second = { 2, 10 },
    limited = { 12, 250 },
)]
fn backoff_is_jittered(attempts: usize, full_backoff: u32) {
    let now = Instant::now();
    let settings = RetrySettings { max_attempts: 100, ..Default::default() };
    let mut budget = RetryBudget::new(now, settings, 1);
    for _ in 0..1000 {
        budget.record_success(now, MILLISECOND);
    }
    let tried = vec![1; attempts];
    let mut delays = Vec::new();
    for _ in 0..50 {
        let RetryDecision::RetryAfter(delay) = budget.decide(now, &retry_candidate(&tried)) else {
            panic!("the budget allows 100 retries");
        };
        assert!(
            (MILLISECOND * full_backoff / 2..=MILLISECOND * full_backoff).contains(&delay),
            "{delay:?}"
        );
        delays.push(delay);
    }
    delays.dedup();
    assert!(delays.len() > 40);
}

/// Guards against a quantile with an error of more than one bucket.
#[parameterized(
    median = { 0.5, 50 },
    high = { 0.95, 95 },
)]
fn quantile_is_accurate_to_one_bucket(quantile: f64, expected: u32) {
    let mut latency = LatencyQuantile::default();
    assert_eq!(latency.quantile(quantile), None);
    for round in 0..5000 {
        latency.record(MILLISECOND * (round % 100 + 1));
    }
    let found = latency.quantile(quantile).expect("there are samples");
    assert!((MILLISECOND * expected..MILLISECOND * expected * 5 / 4).contains(&found), "{found:?}");
}
