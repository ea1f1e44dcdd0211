//! Tests of the decision how much of a service's traffic leaves the zone. A fluid model stands for the
//! servers: the utilisation of a zone is the work sent there divided by its slots.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::ServiceBalancer;
use curranthollow::fleet::dialect::ReportedLoad;
use curranthollow::fleet::zone_balance::{
    CallerTerms, Urgency, WayMeter, WayPrices, ZoneCapacity, ZonePlan,
};
use yare::parameterized;

use super::balance::{ServerViews, server_view};

const USUAL_DURATION: Duration = Duration::from_millis(250);
const STEP: Duration = Duration::from_millis(250);
const ZONES: [&str; 3] = ["a", "b", "c"];

/// Entries of each zone, their demand in slots, and the zones' slots.
struct Fleet {
    now: Instant,
    /// Zone of each entry, the steps by which its view is late, and its plan.
    entries: Vec<(usize, usize, ZonePlan)>,
    demand: [f64; 3],
    slots: [f64; 3],
    /// Utilisation at each past step.
    history: Vec<[f64; 3]>,
    random: fastrand::Rng,
}

impl Fleet {
    fn new(per_zone: usize, demand: [f64; 3], slots: [f64; 3], max_delay: usize) -> Self {
        let now = Instant::now();
        let mut random = fastrand::Rng::with_seed(11);
        let names: Vec<Box<str>> = ZONES.iter().map(|zone| (*zone).into()).collect();
        let mut entries = Vec::new();
        for zone in (0..3).flat_map(|zone| std::iter::repeat_n(zone, per_zone)) {
            let mut plan = ZonePlan::new(ZONES[zone], WayPrices::default());
            plan.set_zones(ZONES[zone], names.iter());
            for (other, name) in ZONES.iter().enumerate() {
                let way = if other == zone { 1 } else { 7 };
                plan.record_connect(name, Duration::from_millis(way));
            }
            entries.push((zone, random.usize(0..=max_delay), plan));
        }
        Self { now, entries, demand, slots, history: Vec::new(), random }
    }

    /// Mean share that leaves a zone.
    fn share(&self, zone: usize) -> f64 {
        let own: Vec<_> = self.entries.iter().filter(|(own, ..)| *own == zone).collect();
        own.iter().map(|(_, _, plan)| plan.share()).sum::<f64>() / own.len() as f64
    }

    fn utilization(&self) -> [f64; 3] {
        let per_zone = self.entries.len() as f64 / 3.0;
        let mut load = [0.0; 3];
        for (zone, _, plan) in &self.entries {
            let demand = self.demand[*zone] / per_zone;
            load[*zone] += demand * (1.0 - plan.share());
            for (other, part) in plan.parts() {
                let other = ZONES.iter().position(|name| **name == **other).expect("a known zone");
                load[other] += demand * plan.share() * part;
            }
        }
        std::array::from_fn(|zone| load[zone] / self.slots[zone].max(1.0))
    }

    fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.now += STEP;
            self.history.push(self.utilization());
            let slots = self.slots;
            let capacities: BTreeMap<_, _> = (0..3)
                .map(|zone| (ZONES[zone], ZoneCapacity { slots: slots[zone], in_flight: 0.0 }))
                .collect();
            for (_, delay, plan) in &mut self.entries {
                let seen = self.history[self.history.len().saturating_sub(1 + *delay)];
                for zone in 0..3 {
                    // One server reports, with more or less load than the mean.
                    let noise = 0.7 + 0.6 * self.random.f64();
                    let occupied = (seen[zone] * noise * 100.0).round() as u32;
                    if slots[zone] > 0.0 {
                        plan.record_load(self.now, ZONES[zone], occupied, 100);
                    }
                }
                plan.update(self.now, &capacities, USUAL_DURATION);
            }
        }
    }
}

/// Guards against traffic between zones while the own zone has room, against a zone that stays buried
/// beside an idle one, against remote zones that are buried in its place, and against moves that gain nothing.
#[parameterized(
    room_at_home = { [120.0, 60.0, 60.0], [0.0, 0.0], [0.59, 0.61] },
    too_small = { [230.0, 60.0, 60.0], [0.2, 0.6], [0.6, 0.9] },
    far_too_small = { [500.0, 60.0, 60.0], [0.22, 0.3], [1.7, 2.0] },
    all_full = { [230.0, 230.0, 230.0], [0.0, 0.05], [1.1, 1.2] },
)]
fn the_share_follows_the_room(demand: [f64; 3], share: [f64; 2], own: [f64; 2]) {
    let mut fleet = Fleet::new(30, demand, [200.0; 3], 2);
    fleet.run(240);
    let [own_utilization, others @ ..] = fleet.utilization();
    let measured = fleet.share(0);
    assert!((share[0]..=share[1]).contains(&measured), "share {measured}");
    assert!((own[0]..=own[1]).contains(&own_utilization), "utilisation {own_utilization}");
    let is_overfull = demand[1] > 200.0;
    assert!(is_overfull || others.iter().all(|other| *other < 0.72), "others {others:?}");
}

/// Guards against a share that goes on to a zone that is lost, and against one that stays away although
/// the own zone is back.
#[test]
fn a_lost_zone_gets_nothing_and_a_lost_own_zone_keeps_nothing() {
    let mut fleet = Fleet::new(10, [230.0, 60.0, 60.0], [200.0; 3], 0);
    fleet.run(120);
    fleet.slots[1] = 0.0;
    fleet.run(1);
    let sends_to_b = |(zone, _, plan): &(usize, usize, ZonePlan)| {
        *zone == 0 && plan.parts().iter().any(|(name, _)| **name == *"b")
    };
    assert!(!fleet.entries.iter().any(sends_to_b));
    fleet.slots = [0.0, 200.0, 200.0];
    fleet.run(1);
    assert!(fleet.share(0) >= 1.0);
    fleet.demand = [100.0, 60.0, 60.0];
    fleet.slots = [200.0; 3];
    fleet.run(1);
    assert!(fleet.share(0) > 0.8, "all returns at once");
    fleet.run(80);
    assert!(fleet.share(0) < 0.01, "share {}", fleet.share(0));
}

/// Guards against entries that leave and return in step: when demand swings each second, and when
/// hundreds of entries see the same zones with different delays.
#[parameterized(
    swing = { 30, 2, 80.0 },
    many_entries = { 200, 6, 0.0 },
)]
fn the_share_does_not_oscillate(per_zone: usize, max_delay: usize, swing: f64) {
    let mut fleet = Fleet::new(per_zone, [230.0, 60.0, 60.0], [200.0; 3], max_delay);
    fleet.run(120);
    let mut shares = Vec::new();
    for second in 0..30 {
        fleet.demand[0] = 230.0 + if second % 2 == 0 { swing } else { -swing };
        for _ in 0..4 {
            fleet.run(1);
            shares.push(fleet.share(0));
        }
    }
    let (low, high) = shares
        .iter()
        .fold((1.0_f64, 0.0_f64), |(low, high), share| (low.min(*share), high.max(*share)));
    assert!(high - low < 0.15 && low > 0.1, "the share moves between {low} and {high}");
}

/// Guards against a way that is weighed without the work: five milliseconds are much for a request of
/// ten and nothing for one of a second; large bodies cost more than small ones.
#[test]
fn a_way_costs_short_and_large_requests_more() {
    let (mut own, mut other) = (WayMeter::default(), WayMeter::default());
    own.record_connect(Duration::from_millis(1));
    other.record_connect(Duration::from_millis(6));
    let cost = |work_ms, bytes| {
        other.cost(&own, Duration::from_millis(work_ms), bytes, WayPrices::default())
    };
    assert!(cost(10, 0.0) > 0.5 && cost(1000, 0.0) < 0.06);
    assert!(cost(1000, 1e6) > 10.0 * cost(1000, 0.0));
}

/// Guards against a retry or an urgent request that waits at home for a full server while another zone
/// would start it at once, against a patient one that goes first, and against first sends that all leave
/// at the same moment because a burst makes them urgent.
#[test]
fn an_urgent_request_leaves_first() {
    let mut fleet = Fleet::new(1, [230.0, 60.0, 60.0], [200.0; 3], 0);
    fleet.run(8);
    let (now, plan) = (fleet.now, &fleet.entries[0].2);
    let mut left = |target_ms, is_repeated, has_tried| {
        let target_at = Some(now + Duration::from_millis(target_ms));
        let terms = CallerTerms { target_at, is_repeated };
        let random = &mut fleet.random;
        (0..1000).filter(|_| plan.choose_zone(now, &terms, has_tried, random).is_some()).count()
    };
    assert_eq!(left(800, true, false), 1000);
    let (urgent, refused) = (left(300, false, false), left(800, false, true));
    let (usual, patient) = (left(800, false, false), left(5000, false, false));
    assert!(patient < usual && usual < urgent && usual < refused && urgent < 900);
    let terms = CallerTerms::default();
    assert_eq!(terms.urgency(now, USUAL_DURATION), Urgency::Usual);
}

/// Guards against a decision that the choice of servers does not follow, and against one that counts
/// servers that get no requests as room.
#[parameterized(
    ready = { ServerState::Ready, true },
    draining = { ServerState::Draining, false },
)]
fn the_choice_follows_the_share(state: ServerState, leaves: bool) {
    let mut now = Instant::now();
    let (mut balancer, random) = (ServiceBalancer::default(), &mut fastrand::Rng::with_seed(5));
    let views: ServerViews = (0..8)
        .flat_map(|number| [("a", number), ("b", number)])
        .map(|(zone, number)| {
            let state = if zone == "a" { ServerState::Ready } else { state };
            (format!("{zone}{number}").into(), server_view(zone, state, 1))
        })
        .collect();
    balancer.update_servers(now, "e", "a", 1, views.iter());
    let terms = CallerTerms::default();
    for _ in 0..40 {
        now += STEP;
        for server in views.keys() {
            let running = if server.starts_with('a') { 6 } else { 1 };
            let report = ReportedLoad { running, waiting: 0, slots: 6, slowdown_percent: 100 };
            balancer.record_load(now, server, report);
            balancer.record_connect(server, Duration::from_millis(1));
        }
        balancer.update_zones(now);
    }
    // Later, so that the load of single servers no longer decides.
    now += Duration::from_secs(3);
    let chosen: Vec<_> = (0..500)
        .filter_map(|_| balancer.choose_for(now, &[], &[], &terms, random))
        .filter(|chosen| chosen.server.starts_with('b'))
        .collect();
    let part = chosen.len() as f64 / 500.0;
    let share = balancer.leaving_share();
    assert!((part - share).abs() < 0.08, "{part} of the choices, share {share}");
    assert_eq!(share > 0.1, leaves);
}

/// Guards against a large request that keeps others at home because it counts once for each server at
/// which it looks.
#[test]
fn a_request_counts_once_however_often_it_looks() {
    let mut now = Instant::now();
    let mut balancer = ServiceBalancer::default();
    let views: ServerViews = [("a", "a1"), ("b", "b1")]
        .map(|(zone, server)| (server.into(), server_view(zone, ServerState::Ready, 1)))
        .into();
    balancer.update_servers(now, "e", "a", 1, views.iter());
    let mut run = |balancer: &mut ServiceBalancer| {
        for _ in 0..40 {
            now += STEP;
            for (server, running) in [("a1", 5), ("b1", 1)] {
                let report = ReportedLoad { running, waiting: 0, slots: 6, slowdown_percent: 100 };
                balancer.record_load(now, &server.into(), report);
                balancer.record_connect(&server.into(), Duration::from_millis(1));
            }
            balancer.update_zones(now);
        }
        balancer.leaving_share()
    };
    balancer.record_request(0);
    assert!(run(&mut balancer) > 0.3);
    balancer.record_request(2 << 20);
    assert!(run(&mut balancer) > 0.3);
}
