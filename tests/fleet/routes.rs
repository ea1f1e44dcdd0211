//! Tests of route lookup and weighted targets.

use std::time::Duration;

use curranthollow::fleet::document::{Repetition, RouteDocument, RouteRule};
use curranthollow::fleet::routes::{RouteTable, choose_target};
use yare::parameterized;

/// Maximum deviation of a target's share from its weight.
const MAX_SHARE_DEVIATION: f64 = 0.1;

fn rule(name: &str, targets: &[(&str, f64)]) -> RouteRule {
    RouteRule {
        name: name.into(),
        repetition: Repetition::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        max_attempts: 2,
        priority: 1,
        is_public: false,
        targets: targets.iter().map(|(service, weight)| ((*service).into(), *weight)).collect(),
    }
}

/// Guards against a service that gets more or less than its weight, or any request at weight 0.
#[parameterized(
    even = { &[("a", 1.0), ("b", 1.0)] },
    uneven = { &[("a", 90.0), ("b", 10.0)] },
    none = { &[("a", 0.0), ("b", 3.0), ("c", 1.0)] },
    last_none = { &[("a", 1.0), ("b", 0.0)] },
)]
fn requests_are_divided_by_weight(targets: &[(&str, f64)]) {
    let rule = rule("r", targets);
    let total_weight: f64 = targets.iter().map(|(_, weight)| weight).sum();
    for seed in 0..20 {
        let mut random = fastrand::Rng::with_seed(seed);
        let chosen: Vec<_> = (0..300).map(|_| choose_target(&rule, &mut random)).collect();
        for (service, weight) in targets {
            let count = chosen.iter().filter(|chosen| chosen.as_ref() == *service).count();
            let share = count as f64 / chosen.len() as f64;
            assert!(
                (share - weight / total_weight).abs() <= MAX_SHARE_DEVIATION,
                "seed {seed}: {service} {share}"
            );
            assert!(*weight > 0.0 || count == 0, "seed {seed}: {service} has no weight");
        }
    }
}

/// Guards against a request that is routed by a shorter prefix or another host.
#[parameterized(
    longest = { "shop", "/read/deep/1", Some("deep") },
    shorter = { "shop", "/read/other", Some("read") },
    whole = { "shop", "/read/", Some("read") },
    not_a_prefix = { "shop", "/reading/1", None },
    without_slash = { "shop", "/read", None },
    other_host = { "else", "/read/1", None },
)]
fn the_longest_prefix_of_the_host_matches(host: &str, path: &str, expected: Option<&str>) {
    let mut document = RouteDocument::default();
    for (name, prefix) in [("read", "/read/"), ("deep", "/read/deep/")] {
        let rule = rule(name, &[("a", 1.0)]);
        document.routes.insert(("Shop".into(), prefix.into()), rule);
    }
    let found = RouteTable::new(&document).find(host, path);
    assert_eq!(found.as_ref().map(|rule| &*rule.name), expected);
}
