//! Tests of the decisions by room, each under one load.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curranthollow::fleet::room::{
    CallerTime, FindAllowance, RequestClaim, RoomDecision, ServiceRoom, ServiceSize,
};

const SLOTS: usize = 6;
const RUN_TIME: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(1);
const SIZE: ServiceSize = ServiceSize { entries: 10, servers: 20 };
const TIME: CallerTime = CallerTime {
    elapsed: Duration::ZERO,
    left: Duration::from_secs(2),
    target: Duration::from_millis(500),
};

/// Probes for one request while room is ample, as the entry makes them.
const AMPLE_PROBES: usize = 5;

/// Requests of one tenant and priority.
struct RequestStream {
    tenant: &'static str,
    priority: u32,
    per_second: f64,
}

fn stream(tenant: &'static str, priority: u32, per_second: f64) -> RequestStream {
    RequestStream { tenant, priority, per_second }
}

#[derive(Debug, Default, Clone, Copy)]
struct ServedCount {
    offered: u32,
    served: u32,
}

impl ServedCount {
    fn share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }
}

/// Servers behind one entry, with the ends of the requests that run there.
struct RoomLoad {
    room: ServiceRoom,
    size: ServiceSize,
    servers: Vec<Vec<Instant>>,
    now: Instant,
    random: fastrand::Rng,
    probes: usize,
    dials: usize,
    /// Whether requests are decided by room; otherwise all are admitted and probe as if it were ample.
    decides: bool,
}

impl RoomLoad {
    fn new(server_count: usize) -> Self {
        Self {
            room: ServiceRoom::default(),
            size: ServiceSize { entries: 1, servers: server_count },
            servers: vec![Vec::new(); server_count],
            now: Instant::now(),
            random: fastrand::Rng::with_seed(36),
            probes: 0,
            dials: 0,
            decides: true,
        }
    }

    /// Blocks all slots of the first `count` servers for `duration`.
    fn block(&mut self, count: usize, duration: Duration) {
        for server in &mut self.servers[..count] {
            *server = vec![self.now + duration; SLOTS];
        }
    }

    /// Plays the streams for `duration`; returns what each was served, by tenant and priority.
    fn play(
        &mut self,
        duration: Duration,
        streams: &[RequestStream],
    ) -> BTreeMap<(&'static str, u32), ServedCount> {
        let mut counts = BTreeMap::<_, ServedCount>::new();
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for stream in streams {
                let chance = stream.per_second * STEP.as_secs_f64();
                if self.random.f64() >= chance {
                    continue;
                }
                let count = counts.entry((stream.tenant, stream.priority)).or_default();
                count.offered += 1;
                count.served += u32::from(self.serve(stream));
            }
        }
        counts
    }

    fn serve(&mut self, stream: &RequestStream) -> bool {
        self.room.update(self.now);
        let claim = RequestClaim { tenant: Some(stream.tenant), priority: stream.priority };
        let random = self.random.f64();
        let decision = self.room.decide(self.now, claim, TIME, Some(RUN_TIME), self.size, random);
        if self.decides && decision != RoomDecision::Allowed {
            return false;
        }
        let allowance = if self.decides { self.room.allowance() } else { FindAllowance::Ample };
        let probes = match allowance {
            FindAllowance::Ample => AMPLE_PROBES,
            FindAllowance::Limited { probes, dials } => {
                self.dials += dials;
                probes
            }
            FindAllowance::Nothing => 0,
        };
        let now = self.now;
        let mut numbers: Vec<_> = (0..self.servers.len()).collect();
        self.random.shuffle(&mut numbers);
        for number in numbers.into_iter().take(probes) {
            self.probes += 1;
            let server = &mut self.servers[number];
            server.retain(|end| *end > now);
            let has_room = server.len() + 1 < SLOTS;
            self.room.record_find(now, has_room);
            if has_room {
                server.push(now + RUN_TIME.mul_f64(0.5 + self.random.f64()));
                self.room.record_choice(now, true);
                return true;
            }
        }
        self.room.record_choice(now, false);
        false
    }
}

/// Load: all servers are full and stay so. Guards against a cost of the saturation that grows with the
/// callers that come.
#[test]
fn a_saturated_service_costs_a_bounded_number_of_probes() {
    let mut costs = Vec::new();
    for per_second in [200.0, 900.0] {
        let mut load = RoomLoad::new(SIZE.servers);
        load.size = SIZE;
        load.block(SIZE.servers, Duration::from_secs(60));
        load.play(Duration::from_secs(5), &[stream("a", 0, per_second)]);
        // Twenty probes a second for each of twenty servers, shared by ten entries. The first requests learn
        // that there is no room.
        assert!(load.probes <= 20 * 20 * 5 / 10 + 4 * AMPLE_PROBES, "{} probes", load.probes);
        assert_eq!(load.dials, 0, "new connections although the last looks found nothing");
        costs.push(load.probes);
    }
    // Several times as many callers, and the first look comes a little sooner after its interval.
    assert!(costs[1] * 4 <= costs[0] * 5, "{costs:?}");
}

/// Load: the servers have been full for seconds, then all have room at once. Guards against refusals that
/// outlast the saturation.
#[test]
fn throughput_is_back_at_once_after_saturation() {
    let mut load = RoomLoad::new(SIZE.servers);
    load.block(SIZE.servers, Duration::from_secs(5));
    let streams = [stream("a", 0, 100.0), stream("b", 1, 100.0)];
    load.play(Duration::from_secs(5), &streams);
    // The next look is due within 20 ms.
    load.play(Duration::from_millis(50), &streams);
    let counts = load.play(Duration::from_millis(500), &streams);
    assert!(counts[&("a", 0)].share() > 0.95, "{counts:?}");
    // Refused callers come back within 600 ms; by then all are served.
    let counts = load.play(Duration::from_secs(2), &streams);
    assert!(counts.values().all(|count| count.share() > 0.99), "{counts:?}");
}

/// Load: half of the servers have no room for long, the others have. Guards against false refusals: no more
/// than one request in 200 may lose by what is decided here.
#[test]
fn nothing_is_refused_while_half_of_the_servers_have_room() {
    let mut shares = [0.0; 2];
    for seed in 0..20 {
        for decides in [false, true] {
            let mut load = RoomLoad::new(SIZE.servers);
            load.random = fastrand::Rng::with_seed(seed);
            load.decides = decides;
            load.block(SIZE.servers / 2, Duration::from_secs(60));
            let streams = [stream("a", 0, 60.0), stream("b", 3, 60.0)];
            let counts = load.play(Duration::from_secs(10), &streams);
            shares[usize::from(decides)] += counts[&("b", 3)].share() / 20.0;
        }
    }
    assert!(shares[1] > shares[0] - 0.005, "{shares:?}");
}

/// Load: the least urgent priority sends more than the servers can run. Guards against an urgent
/// request that pays for it, and against starvation.
#[test]
fn a_flood_of_one_priority_leaves_room_for_more_urgent_ones() {
    let mut load = RoomLoad::new(8);
    let counts = load.play(
        Duration::from_secs(20),
        &[stream("a", 0, 80.0), stream("b", 1, 40.0), stream("c", 4, 240.0)],
    );
    let share = |key| counts[&key].share();
    assert!(share(("a", 0)) > share(("b", 1)) - 0.05, "{counts:?}");
    assert!(share(("a", 0)) > 0.8, "{counts:?}");
    assert!(share(("c", 4)) > share(("a", 0)) / 4.0, "{counts:?}");
}

/// Load: one of five tenants sends seven times its usual. Guards against tenants that lose service through
/// another one's flood, and against starvation.
#[test]
fn a_flood_of_one_tenant_leaves_room_for_the_others() {
    let mut load = RoomLoad::new(6);
    let usual = |flood| [stream("a", 0, 20.0), stream("b", 0, 20.0), stream("c", 0, 40.0), flood];
    load.play(Duration::from_secs(30), &usual(stream("d", 0, 20.0)));
    // The flood is noticed within some seconds.
    load.play(Duration::from_secs(2), &usual(stream("d", 0, 140.0)));
    let counts = load.play(Duration::from_secs(10), &usual(stream("d", 0, 140.0)));
    let flooding = counts[&("d", 0)].share();
    for tenant in ["a", "b", "c"] {
        let share = counts[&(tenant, 0)].share();
        assert!(share > 0.8, "{tenant}: {counts:?}");
        assert!(flooding > share / 4.0, "{counts:?}");
    }
}

/// Load: all tenants send three times their usual. Guards against a burst that is taken for one tenant's
/// flood: all are served alike.
#[test]
fn a_burst_of_all_tenants_serves_them_alike() {
    let mut load = RoomLoad::new(4);
    let streams = |factor: f64| ["a", "b", "c", "d"].map(|tenant| stream(tenant, 0, 20.0 * factor));
    load.play(Duration::from_secs(30), &streams(1.0));
    let counts = load.play(Duration::from_secs(10), &streams(3.0));
    let shares: Vec<_> = counts.values().map(ServedCount::share).collect();
    let (least, most) =
        (shares.iter().copied().fold(1.0, f64::min), shares.iter().copied().fold(0.0, f64::max));
    assert!(most - least < 0.1, "{counts:?}");
    // Four servers with five usable slots run 100 requests a second; what is refused leaves few unused.
    let served: u32 = counts.values().map(|count| count.served).sum();
    assert!(served >= 850, "{counts:?}");
}

/// Load: a crowd is refused at the same moment. Guards against its return as a crowd.
#[test]
fn the_return_of_a_crowd_is_spread() {
    let mut load = RoomLoad::new(SIZE.servers);
    load.block(SIZE.servers, Duration::from_secs(60));
    load.play(Duration::from_secs(1), &[stream("a", 0, 100.0)]);
    let mut delays: Vec<_> = (0..1000)
        .map(|_| {
            load.room.return_delay(load.now, TIME, Some(RUN_TIME), load.random.f64()).as_millis()
        })
        .collect();
    delays.sort_unstable();
    assert!(delays[0] >= 50, "no running request has ended by then: {}", delays[0]);
    assert!(delays[999] <= 600, "the caller has no time left: {}", delays[999]);
    let busiest = (0..600)
        .step_by(50)
        .map(|start| delays.iter().filter(|delay| (start..start + 50).contains(*delay)).count());
    assert!(busiest.max().is_some_and(|count| count < 150), "{delays:?}");
}

/// Load: a request arrives with too little time while room is short. Guards against waiting for a deadline
/// that cannot be met.
#[test]
fn a_request_without_enough_time_is_refused_at_once() {
    let mut load = RoomLoad::new(SIZE.servers);
    load.block(SIZE.servers, Duration::from_secs(60));
    load.play(Duration::from_millis(200), &[stream("a", 0, 100.0)]);
    assert!(load.room.is_short());
    let claim = RequestClaim { tenant: None, priority: 0 };
    let time = CallerTime { left: Duration::from_millis(80), ..TIME };
    let decision = load.room.decide(load.now, claim, time, Some(RUN_TIME), SIZE, 0.0);
    assert!(matches!(decision, RoomDecision::Refused(_)), "{decision:?}");
}
