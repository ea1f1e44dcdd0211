//! Settings tree: inheritance, the lookup of services and classes, and duplicate routes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use curranthollow::settings::{
    RequestLength, RootSettings, SelectionPolicy, SettingsTree, StalePolicy, TeamSettings,
    effective_values,
};
use yare::parameterized;

const ROOT: &str = include_str!("../examples/settings/root.jsonc");
const LAKESHORE: &str = include_str!("../examples/settings/lakeshore.jsonc");
const IRONBARK: &str = include_str!("../examples/settings/ironbark.jsonc");

fn build_tree(root: &str, teams: &[(&str, &str)]) -> SettingsTree {
    let root = Arc::new(RootSettings::parse(root, 1).unwrap());
    let mut parsed = BTreeMap::new();
    for (name, text) in teams {
        parsed.insert((*name).into(), Arc::new(TeamSettings::parse(name, text, &root).unwrap()));
    }
    SettingsTree::assemble(1, root, parsed).unwrap()
}

fn example_tree() -> SettingsTree {
    build_tree(ROOT, &[("lakeshore", LAKESHORE), ("ironbark", IRONBARK)])
}

fn team_errors(text: &str) -> String {
    let root = RootSettings::parse(ROOT, 1).unwrap();
    let errors = TeamSettings::parse("blue", text, &root).unwrap_err();
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

// Guards against an unintended change of a value or source in the effective settings of the example
// services.
#[parameterized(
    rounds = { "lakeshore", LAKESHORE, "rounds" }, signoff = { "lakeshore", LAKESHORE, "signoff" },
    sheets = { "lakeshore", LAKESHORE, "sheets" }, roster = { "ironbark", IRONBARK, "roster" },
    booking = { "ironbark", IRONBARK, "booking" }, packs = { "ironbark", IRONBARK, "packs" },
)]
fn reports_effective_values(team: &str, text: &str, service: &str) {
    let values = effective_values(ROOT, team, text, service).unwrap().unwrap();
    let lines: Vec<String> = values.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(format!("effective_{service}"), lines.join("\n"));
}

// Guards against examples that no longer have the classes and values of the design.
#[test]
fn example_services_have_typed_settings() {
    let tree = example_tree();
    let rounds = tree.service("lakeshore", "rounds").unwrap();
    assert_eq!((rounds.servers.slots, rounds.servers.connections), (6, 220));
    assert_eq!(rounds.retry.hedge_quantile, Some(0.99));
    assert_eq!(rounds.drain.slow_start, Duration::from_secs(2));
    assert_eq!(rounds.policy, SelectionPolicy::Credits);
    let booking = tree.service("ironbark", "booking").unwrap();
    assert_eq!(booking.servers.slots, 4);
    assert!(!booking.is_idempotent("POST", "/booking/deposits"));
    assert_eq!(booking.claims.retention, Duration::from_secs(24 * 3600));
    assert_eq!(booking.claims.answer_limit, 64 * 1024);
    assert_eq!(tree.root.settings_lease, Duration::from_secs(3));
    assert_eq!(tree.root.stale_policy, StalePolicy::Refuse);
}

// Guards against an empty list that is treated as absent. Here it states that no status means "not
// run"; with an inherited 503, work that ran would be repeated.
#[test]
fn empty_list_replaces_inherited_list() {
    let root = r#"{"defaults": {"retry": {"not_run_statuses": [503]}}}"#;
    let team = r#"{"team": "blue", "services": {
        "a": {"match": {"path_prefix": "/a"}, "retry": {"not_run_statuses": []}},
        "b": {"match": {"path_prefix": "/b"}, "retry": {"attempts": 1}}}}"#;
    let tree = build_tree(root, &[("blue", team)]);
    assert!(tree.service("blue", "a").unwrap().retry.not_run_statuses.is_empty());
    let inherited = &tree.service("blue", "b").unwrap().retry;
    assert!(inherited.not_run_statuses.contains(&503) && inherited.attempts == 1);
}

// Guards against a short document that takes a lot of memory because services copy inherited lists.
#[test]
fn services_share_inherited_classes() {
    let team = r#"{"team": "blue", "defaults": {"classes": [{"name": "r", "idempotent": true}]}, "services": {
        "a": {"match": {"path_prefix": "/a"}},
        "b": {"match": {"path_prefix": "/b"}},
        "c": {"match": {"path_prefix": "/c"}, "classes": []}}}"#;
    let tree = build_tree(ROOT, &[("blue", team)]);
    let classes = |service| &tree.service("blue", service).unwrap().classes;
    assert_eq!(classes("a").len(), 1);
    assert!(Arc::ptr_eq(classes("a"), classes("b")));
    assert!(classes("c").is_empty());
}

const ROUTES: &str = r#"{"team": "blue", "services": {
    "root": {"match": {"path_prefix": "/"}},
    "a": {"match": {"path_prefix": "/a"}},
    "ab": {"match": {"path_prefix": "/a/b"}},
    "host": {"match": {"host": "blue.example", "path_prefix": "/"}},
    "host_a": {"match": {"host": "blue.example", "path_prefix": "/a/b/c"}}}}"#;

// Guards against a request that is routed to the wrong service.
#[parameterized(
    exact = { "x", "/a", "a" }, below = { "x", "/a/c", "a" }, longest = { "x", "/a/b/c", "ab" },
    segment = { "x", "/ab", "root" }, slash = { "x", "/a/", "a" }, query = { "x", "/a?b=/a/b", "a" },
    root = { "x", "/", "root" }, host = { "blue.example", "/a", "host" },
    host_longest = { "blue.example", "/a/b/c/d", "host_a" }, port = { "blue.example:8080", "/z", "host" },
    upper_case = { "Blue.Example", "/z", "host" }, dot = { "blue.example.", "/z", "host" },
    other_host = { "x.blue.example", "/z", "root" }, ipv6 = { "[::1]:80", "/a", "a" },
)]
fn finds_service(host: &str, path: &str, expected: &str) {
    let tree = build_tree(ROOT, &[("blue", ROUTES)]);
    assert_eq!(&*tree.find_service(host, path).unwrap().service, expected);
}

#[parameterized(empty = { "" }, star = { "*" }, relative = { "a/b" })]
fn finds_no_service(path: &str) {
    assert!(build_tree(ROOT, &[("blue", ROUTES)]).find_service("x", path).is_none());
    assert!(example_tree().find_service("x", "/other").is_none());
}

// Guards against a long path that slows the lookup down or is split within a character.
#[test]
fn bounds_lookup_of_long_paths() {
    let tree = build_tree(ROOT, &[("blue", ROUTES)]);
    let long_path = "/".repeat(100_000);
    assert_eq!(&*tree.find_service("x", &long_path).unwrap().service, "root");
    let multibyte_path = format!("/a/{}", "ü".repeat(1000));
    assert_eq!(&*tree.find_service("x", &multibyte_path).unwrap().service, "a");
}

// Guards against a wrong class, which would let work run twice or treat a long request as short.
#[parameterized(
    photo = { "PUT", "/sheets/photos/1", 0, true, RequestLength::Long, 120 },
    sheet_small = { "GET", "/sheets/1", 10, true, RequestLength::Short, 30 },
    sheet_large = { "PUT", "/sheets/1", 300_000, true, RequestLength::Long, 30 },
    threshold = { "PUT", "/sheets/1", 262_144, true, RequestLength::Short, 30 },
    no_class = { "POST", "/sheets/1", 0, false, RequestLength::Short, 30 },
    delete = { "DELETE", "/sheets/1", 0, false, RequestLength::Short, 30 },
    options = { "OPTIONS", "/sheets/1", 0, true, RequestLength::Short, 30 },
    near_prefix = { "PUT", "/sheets/photoshop", 0, true, RequestLength::Short, 30 },
)]
fn classifies_request(
    method: &str,
    path: &str,
    body_size: u64,
    idempotent: bool,
    length: RequestLength,
    deadline_secs: u64,
) {
    let tree = example_tree();
    let sheets = tree.service("lakeshore", "sheets").unwrap();
    assert_eq!(sheets.is_idempotent(method, path), idempotent);
    assert_eq!(sheets.request_length(method, path, body_size), length);
    assert_eq!(sheets.request_deadline(method, path), Duration::from_secs(deadline_secs));
}

// Guards against accepted documents whose values contradict each other.
#[parameterized(
    same_match = { r#"{"team": "blue", "services": {"a": {"match": {"path_prefix": "/x"}}, "b": {"match": {"path_prefix": "/x"}}}}"#, "1:101: teams.blue.services.b.match.path_prefix: service `a` matches the same host and path prefix" },
    other_team = { r#"{"team": "red", "services": {}}"#, "1:10: teams.blue.team: expected the name of the branch (blue), found red" },
    slots = { r#"{"team": "blue", "defaults": {"servers": {"slots": 300}}, "services": {"a": {"match": {"path_prefix": "/x"}}}}"#, "1:77: teams.blue.services.a.servers.slots: expected at most as many slots as connections (220), found 300" },
    backoff = { r#"{"team": "blue", "services": {"a": {"match": {"path_prefix": "/x"}, "retry": {"backoff_min": "1s"}}}}"#, "1:94: teams.blue.services.a.retry.backoff_min: expected at most backoff_max (100ms), found 1s" },
)]
fn reports_contradiction(text: &str, expected: &str) {
    assert_eq!(team_errors(text), expected);
}

#[test]
fn refuses_contradictory_root_defaults() {
    let errors =
        RootSettings::parse(r#"{"defaults": {"servers": {"slots": 300}}}"#, 1).unwrap_err();
    assert_eq!(
        errors[0].to_string(),
        "1:36: defaults.servers.slots: expected at most as many slots as connections (220), found 300"
    );
}

// Guards against two teams that own the same route.
#[test]
fn refuses_duplicate_route_across_teams() {
    let root = Arc::new(RootSettings::parse(ROOT, 1).unwrap());
    let mut teams = BTreeMap::new();
    for name in ["blue", "red"] {
        let text = format!(
            r#"{{"team": "{name}", "services": {{"a": {{"match": {{"path_prefix": "/x"}}}}}}}}"#
        );
        teams.insert(name.into(), Arc::new(TeamSettings::parse(name, &text, &root).unwrap()));
    }
    let error = SettingsTree::assemble(1, root, teams).unwrap_err();
    assert_eq!(
        error.to_string(),
        "service `red/a` matches the same host and path prefix as `blue/a`"
    );
}
