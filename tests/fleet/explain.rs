//! Tests of the explanation where a request would go now.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use curranthollow::fleet::announcement::ServerState;
use curranthollow::fleet::balance::{SendOutcome, ServiceBalancer};
use curranthollow::fleet::dialect::ReportedLoad;
use curranthollow::fleet::explain::{
    ExplainQuery, QuotaOutcome, QuotaOutlook, RefusalOutlook, RoomOutlook, RouteOutlook,
    SendExplanation, ServiceOutlook, TargetOutlook,
};
use curranthollow::fleet::zone_balance::CallerTerms;
use yare::parameterized;

use super::balance::server_view;

const FRESH_TIME: Duration = Duration::from_millis(25);

/// Servers of three zones: one full, one ejected, one evacuated, one draining, one in another zone.
fn mixed_balancer(now: Instant) -> ServiceBalancer {
    let views: BTreeMap<Box<str>, _> = BTreeMap::from([
        ("calm".into(), server_view("a", ServerState::Ready, 1)),
        ("full".into(), server_view("a", ServerState::Ready, 1)),
        ("failed".into(), server_view("a", ServerState::Ready, 1)),
        ("draining".into(), server_view("a", ServerState::Draining, 1)),
        ("far".into(), server_view("b", ServerState::Ready, 1)),
        ("emptied".into(), server_view("c", ServerState::Ready, 1)),
    ]);
    let mut balancer = ServiceBalancer::default();
    balancer.update_servers(now, "e", "a", 1, views.iter());
    balancer.install_evacuation(&Rc::new(BTreeSet::from(["c".into()])));
    let busy = ReportedLoad { running: 6, waiting: 2, slots: 6, slowdown_percent: 100 };
    balancer.record_load(now, &"full".into(), busy);
    balancer.begin_send(&"failed".into());
    balancer.end_send(now, &"failed".into(), SendOutcome::Unreachable, Duration::ZERO);
    balancer
}

fn choices(balancer: &ServiceBalancer, now: Instant, is_probed: bool) -> Vec<TargetOutlook> {
    let mut random = fastrand::Rng::with_seed(7);
    let terms = CallerTerms::default();
    balancer.explain_choices(now, &[], &terms, (is_probed, FRESH_TIME), &mut random)
}

/// Guards against an explanation that names servers which the entry would not ask, or in another order.
#[test]
fn the_choices_are_those_of_a_request() {
    let now = Instant::now();
    let balancer = mixed_balancer(now);
    let targets = choices(&balancer, now, true);
    let mut excluded = Vec::new();
    let mut random = fastrand::Rng::with_seed(7);
    for target in &targets {
        let terms = CallerTerms::default();
        let chosen = balancer.choose_for(now, &excluded, &[], &terms, &mut random);
        assert_eq!(chosen.map(|chosen| chosen.server).as_ref(), Some(&target.server));
        excluded.push(target.server.clone());
    }
    assert_eq!(choices(&balancer, now, false).len(), 1, "without probes the first server is used");
    let explanation = SendExplanation {
        entry: "e".into(),
        zone: "a".into(),
        document_version: 7,
        revision: 31,
        route: Some(RouteOutlook {
            name: "read".into(),
            is_public: false,
            is_idempotent: true,
            max_attempts: 2,
            priority: 1,
            target_ms: 500,
            time_left_ms: 2000,
        }),
        quota: Some(QuotaOutlook {
            tenant: "coop".into(),
            rate: 20.0,
            burst: 5.0,
            lease_rate: 0.0,
            holder: "m2".into(),
            age_ms: Some(120),
            outcome: QuotaOutcome::AsksHolder,
        }),
        services: vec![ServiceOutlook {
            service: "rounds".into(),
            probability: 1.0,
            room: RoomOutlook {
                is_short: true,
                found: 1,
                looks: 12,
                max_probes: Some(3),
                pressure: 0.4,
                standing: 0.5,
                admission: 0.8,
            },
            zones: balancer.zone_outlook(),
            second_sends: 3.25,
            targets,
            conditions: balancer.conditions(now).into_iter().collect(),
            refusal: None,
        }],
        has_quarantine: true,
        refusal: None,
    };
    insta::assert_snapshot!(explanation, @"
    entry     e in a, document 7, revision 31
    route     read: idempotent, not public, priority 1, at most 2 sends, target 500 ms, 2000 ms left
    quota     coop: waits for the holder's answer; limit 20/s, burst 5, lent 0.00/s by m2 120 ms ago
    note      some requests are in quarantine; this one is not compared
    service   rounds with probability 1.00
      room    short, 1 of 12 looks found some; admitted with probability 0.80 (standing 0.50, pressure 0.40)
      probes  at most 3 while room is short
      zones   0.00 of the requests leave the zone
      budget  3.2 second sends left
      servers 2 usable, 1 full, 1 ejected, 1 withdrawn, 1 evacuated
      1.      calm in a: probed first; cost 1.28 (expected 1.07), new connection, load unknown
      2.      far in b: probed first; cost 1.83 (expected 1.07), new connection, load unknown
      3.      full in a: passed over as full; cost 3.61 (expected 3.40), new connection, load known 0 ms ago
      4.      failed in a: probed first; cost 1.30 (expected 1.07), new connection, load unknown
    ");
}

/// Guards against an explanation after which the entry decides otherwise.
#[test]
fn an_explanation_has_no_effect() {
    let now = Instant::now();
    let balancer = mixed_balancer(now);
    let before = format!("{balancer:?}");
    choices(&balancer, now, true);
    assert_eq!(format!("{balancer:?}"), before);
}

/// Guards against an answer that hides why the request goes no further.
#[test]
fn a_refusal_ends_the_explanation() {
    let explanation = SendExplanation {
        entry: "e".into(),
        zone: "a".into(),
        document_version: 0,
        revision: 0,
        route: None,
        quota: None,
        services: Vec::new(),
        has_quarantine: false,
        refusal: Some(RefusalOutlook::new(503, "no settings document yet")),
    };
    insta::assert_snapshot!(explanation, @"
    entry     e in a, document 0, revision 0
    answer    503 from the entry: no settings document yet
    ");
}

/// Guards against queries that are read in part, and against one that carries a key.
#[parameterized(
    empty = { "", false },
    no_object = { "[]", false },
    no_path = { r#"{"host":"shop"}"#, false },
    relative = { r#"{"host":"shop","path":"read"}"#, false },
    key = { r#"{"host":"shop","path":"/read/","key":"k1"}"#, false },
    least = { r#"{"host":"Shop","path":"/read/?a=1"}"#, true },
)]
fn queries_are_checked(text: &str, is_valid: bool) {
    let parsed = ExplainQuery::parse(text.as_bytes());
    assert_eq!(parsed.is_ok(), is_valid, "{parsed:?}");
    let Ok(query) = parsed else { return };
    assert_eq!((&*query.route_host(), query.route_path()), ("shop", "/read/"));
    assert_eq!(query.time_left(Duration::from_secs(2)), Duration::from_secs(2));
}
