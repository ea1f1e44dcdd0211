//! Schema validation: errors are found, located and explained, and malicious documents are cheap to
//! reject.

use curranthollow::generated::announcement::AnnouncementDocument;
use curranthollow::generated::operator::{ChangeReply, ChangeRequest, StatusReply};
use curranthollow::schema::{
    DocumentSchema, MAX_DOCUMENT_BYTES, MAX_NESTING_DEPTH, MAX_REPORTED_ERRORS, TextFormat,
    parse_quantile,
};
use curranthollow::units::{format_duration, format_size, parse_duration, parse_size};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::time::Duration;
use yare::parameterized;

const SCHEMAS: [&str; 5] = [
    include_str!("../schema/config.schema.json"),
    include_str!("../schema/settings.schema.json"),
    include_str!("../schema/announcement.schema.json"),
    include_str!("../schema/operator.schema.json"),
    include_str!("../schema/chart.schema.json"),
];

fn team_errors(text: &str) -> Vec<String> {
    let result = DocumentSchema::team_settings().validate(text, "teams.lakeshore");
    let errors = result.err().unwrap_or_default();
    errors.iter().map(ToString::to_string).collect()
}

/// Validates a document whose service has the given content, which starts at line 2, column 1.
fn service_errors(content: &str) -> Vec<String> {
    team_errors(&format!(
        "{{\"team\": \"lakeshore\", \"services\": {{\"rounds\": {{\"match\": {{\"path_prefix\": \"/r\"}},\n{content}}}}}}}"
    ))
}

// Guards against an error that is not detected, has the wrong position, or does not state the
// allowed values.
#[parameterized(
    wrong_type = { r#""servers": {"slots": "6"}"#, "2:22: teams.lakeshore.services.rounds.servers.slots: expected an integer from 1 to 65535, found \"6\"" },
    below_range = { r#""servers": {"slots": 0}"#, "2:22: teams.lakeshore.services.rounds.servers.slots: expected an integer from 1 to 65535, found 0" },
    fraction = { r#""servers": {"slots": 1.5}"#, "2:22: teams.lakeshore.services.rounds.servers.slots: expected an integer from 1 to 65535, found 1.5" },
    huge = { r#""servers": {"slots": 99999999999999999999}"#, "2:22: teams.lakeshore.services.rounds.servers.slots: expected an integer from 1 to 65535, found 99999999999999999999" },
    null = { r#""servers": null"#, "2:12: teams.lakeshore.services.rounds.servers: expected an object, found null" },
    close_key = { r#""servers": {"slot": 6}"#, "2:13: teams.lakeshore.services.rounds.servers.slot: unknown key, did you mean `slots`?" },
    far_key = { r#""servers": {"threads": 6}"#, "2:13: teams.lakeshore.services.rounds.servers.threads: unknown key, allowed are connections, queue, slots" },
    duplicate_key = { r#""servers": {"slots": 6, "slots": 7}"#, "2:25: teams.lakeshore.services.rounds.servers.slots: the key is given twice" },
    no_unit = { r#""deadline": "3""#, "2:13: teams.lakeshore.services.rounds.deadline: expected a duration such as 250ms, 3s, 2m or 24h, from 10ms to 24h, found \"3\"" },
    short_duration = { r#""deadline": "9ms""#, "2:13: teams.lakeshore.services.rounds.deadline: expected a duration such as 250ms, 3s, 2m or 24h, from 10ms to 24h, found \"9ms\"" },
    long_duration = { r#""drain": {"drain_time": "61s"}"#, "2:25: teams.lakeshore.services.rounds.drain.drain_time: expected a duration such as 250ms, 3s, 2m or 24h, from 100ms to 1m, found \"61s\"" },
    overflow = { r#""deadline": "18446744073709551615h""#, "2:13: teams.lakeshore.services.rounds.deadline: expected a duration such as 250ms, 3s, 2m or 24h, from 10ms to 24h, found \"18446744073709551615h\"" },
    wrong_size = { r#""long_body_threshold": "1KB""#, "2:24: teams.lakeshore.services.rounds.long_body_threshold: expected a size such as 512B, 64KiB, 8MiB or 1GiB, from 1B to 1GiB, found \"1KB\"" },
    wrong_choice = { r#""policy": "fastest""#, "2:11: teams.lakeshore.services.rounds.policy: expected one of \"random\", \"round_robin\", \"least_in_flight\", \"two_choices\", \"credits\", found \"fastest\"" },
    quantile = { r#""retry": {"hedge_quantile": "p30"}"#, "2:29: teams.lakeshore.services.rounds.retry.hedge_quantile: expected off or a quantile from p50 to p99.99 such as p99, found \"p30\"" },
    status = { r#""retry": {"not_run_statuses": [503, 200]}"#, "2:37: teams.lakeshore.services.rounds.retry.not_run_statuses[1]: expected an integer from 400 to 599, found 200" },
    class_twice = { r#""classes": [{"name": "a", "idempotent": true}, {"name": "a", "idempotent": true}]"#, "2:57: teams.lakeshore.services.rounds.classes[1].name: name `a` is given twice" },
    missing_in_class = { r#""classes": [{"name": "a"}]"#, "2:13: teams.lakeshore.services.rounds.classes[0]: missing key `idempotent`, expected true or false" },
    empty_methods = { r#""classes": [{"name": "a", "idempotent": true, "methods": []}]"#, "2:58: teams.lakeshore.services.rounds.classes[0].methods: expected a list of 1 to 16 items, found a list of 0 items" },
    column_after_umlaut = { r#"/* ü */ "policy": 1"#, "2:19: teams.lakeshore.services.rounds.policy: expected one of \"random\", \"round_robin\", \"least_in_flight\", \"two_choices\", \"credits\", found 1" },
)]
fn reports_error(content: &str, expected: &str) {
    assert_eq!(service_errors(content), [expected]);
}

// Guards against accepting extensions of JSON other than comments and trailing commas.
#[parameterized(
    bare_key = { "{team: \"a\"}" },
    single_quotes = { "{'team': 'a'}" },
    missing_comma = { "{\"team\": \"a\" \"services\": {}}" },
    hexadecimal = { "{\"team\": 0x10}" },
    plus = { "{\"team\": +1}" },
    nan = { "{\"team\": NaN}" },
    unfinished = { "{\"team\": " },
    two_values = { "{} {}" },
    empty = { "" },
    only_comment = { "// nothing" },
)]
fn rejects_other_syntax(text: &str) {
    assert_eq!(team_errors(text).len(), 1);
}

// Guards against path prefixes that other spellings of a path or dot segments would bypass.
#[parameterized(
    no_slash = { "rounds" }, end = { "/rounds/" }, double = { "//rounds" }, dots = { "/a/../b" },
    escape = { "/a%2fb" }, query = { "/a?b" }, space = { "/a b" }, empty = { "" },
)]
fn rejects_path(path: &str) {
    assert!(!TextFormat::PathPrefix.allows(path));
}

// Guards against reporting only the first error.
#[test]
fn reports_all_errors_in_order() {
    let text = include_str!("faults/team.jsonc");
    insta::assert_snapshot!(team_errors(text).join("\n"));
}

// Guards against documents that are expensive because of their size, depth or number of errors.
#[test]
fn limits_cost_of_malicious_documents() {
    let oversized = format!("{{\"team\": \"{}\"}}", "a".repeat(MAX_DOCUMENT_BYTES));
    assert_eq!(team_errors(&oversized).len(), 1);
    let nested = "[".repeat(MAX_DOCUMENT_BYTES);
    let message = format!(
        "1:{}: teams.lakeshore: more than {MAX_NESTING_DEPTH} levels of objects and lists",
        MAX_NESTING_DEPTH + 1
    );
    assert_eq!(team_errors(&nested), [message]);
    let brackets_in_text =
        format!("{{\"team\": \"{}\\\"\" /* {} */}}", "[".repeat(100), "{".repeat(100));
    assert!(!team_errors(&brackets_in_text)[0].contains("levels"));
    let unknown_keys: String = (0..5000).map(|key| format!("\"key{key}\": 1,")).collect();
    assert_eq!(team_errors(&format!("{{{unknown_keys}}}")).len(), MAX_REPORTED_ERRORS);
    let long_key =
        format!("{{\"{}\": 1, \"team\": \"a\", \"services\": {{}}}}", "k".repeat(10_000));
    assert!(team_errors(&long_key)[0].len() < 300);
}

// Guards against a team with so many services that every change of the settings tree is expensive.
#[test]
fn limits_services_of_a_team() {
    let service =
        |number| format!("\"s{number}\": {{\"match\": {{\"path_prefix\": \"/s{number}\"}}}},");
    let services: String = (0..501).map(service).collect();
    let text = format!("{{\"team\": \"lakeshore\", \"services\": {{{services}}}}}");
    let expected = "1:35: teams.lakeshore.services: expected at most 500 keys, found 501";
    assert_eq!(team_errors(&text), [expected]);
}

// Guards against a schema with an unknown format, a dangling reference, a key without description,
// an integer without range, or an object that does not state whether it allows unknown keys.
#[test]
fn schemas_are_complete() {
    for text in SCHEMAS {
        let schema: Value = serde_json::from_str(text).unwrap();
        check_schema(&schema, &schema);
    }
}

fn check_schema(file: &Value, schema: &Value) {
    if let Some(name) = schema["format"].as_str() {
        assert!(TextFormat::from_name(name).is_some(), "unknown format {name}");
    }
    if let Some(target) = schema["$ref"].as_str() {
        assert!(file.pointer(&target[1..]).is_some(), "dangling reference {target}");
    }
    if schema["type"] == "object" {
        assert!(
            schema.get("additionalProperties").is_some(),
            "object without additionalProperties: {schema}"
        );
    }
    if schema["type"] == "integer" {
        assert!(
            schema["minimum"].is_i64() && schema["maximum"].is_i64(),
            "integer without range: {schema}"
        );
    }
    for property in schema["properties"].as_object().into_iter().flat_map(|map| map.values()) {
        assert!(property["description"].is_string(), "property without description: {property}");
    }
    let children = match schema {
        Value::Object(map) => map.values().collect(),
        Value::Array(list) => list.iter().collect(),
        _ => Vec::new(),
    };
    for child in children {
        check_schema(file, child);
    }
}

const ANNOUNCEMENT: &str = r#"{"team": "lakeshore", "service": "rounds", "server": "rounds-1", "address": "127.0.0.1:9000",
    "availability_zone": "zone-1", "slots": 6, "connections": 220, "state": "ready", "load": 2,
    "incarnation": 1, "sequence": 9007199254740991}"#;
const CHANGE_REQUEST: &str = r#"{"action": "rotate_token", "branch": "lakeshore", "base_version": 0, "change_id": "r-1",
    "team_token_sha256": "ca978112ca1bbdcafac231b39a23dc4da786eff8147c4e72b9807785afee48bb"}"#;
const CHANGE_REPLY: &str = r#"{"outcome": "refused", "reason": "the document has errors",
    "errors": [{"line": 1, "column": 2, "path": "team", "message": "unknown key"}]}"#;
const STATUS_REPLY: &str = r#"{"name": "control-1", "role": "control", "region": "r", "availability_zone": "z",
    "state": "serving", "settings_revision": 4, "leader": "control-2", "survivable_losses": 1,
    "members": [{"name": "control-1", "state": "voter"}]}"#;

// Guards against a body of an external interface that its generated type cannot deserialize or
// serializes differently.
#[test]
fn bodies_round_trip_through_generated_types() {
    round_trip::<AnnouncementDocument>(DocumentSchema::announcement(), ANNOUNCEMENT);
    round_trip::<ChangeRequest>(DocumentSchema::change_request(), CHANGE_REQUEST);
    round_trip::<ChangeReply>(DocumentSchema::change_reply(), CHANGE_REPLY);
    round_trip::<StatusReply>(DocumentSchema::status_reply(), STATUS_REPLY);
}

fn round_trip<T: DeserializeOwned + Serialize>(schema: DocumentSchema, text: &str) {
    let document: T = schema.parse(text).unwrap();
    let serialized = serde_json::to_value(&document).unwrap();
    assert_eq!(serialized, serde_json::from_str::<Value>(text).unwrap());
}

// Guards against accepting an announcement that would put an invalid server into the directory.
#[parameterized(
    no_slots = { "\"slots\": 6", "\"slots\": 0" }, no_port = { "127.0.0.1:9000", "127.0.0.1" },
    host_name = { "127.0.0.1:9000", "localhost:9000" }, state = { "\"ready\"", "\"suspect\"" },
    negative = { "\"incarnation\": 1", "\"incarnation\": -1" }, no_team = { "\"team\": \"lakeshore\",", "" },
    extra = { "\"load\": 2", "\"weight\": 2" },
)]
fn rejects_announcement(from: &str, to: &str) {
    let text = ANNOUNCEMENT.replacen(from, to, 1);
    assert_ne!(text, ANNOUNCEMENT);
    let errors = DocumentSchema::announcement().validate(&text, "").unwrap_err();
    assert_eq!(errors.len(), 1);
}

// Guards against a unit that is parsed or formatted with the wrong factor.
#[parameterized(
    millis = { "250ms", 250 }, seconds = { "3s", 3_000 }, minutes = { "2m", 120_000 },
    hours = { "24h", 86_400_000 }, zero = { "0ms", 0 },
)]
fn parses_durations(text: &str, millis: u64) {
    let duration = parse_duration(text).unwrap();
    assert_eq!(duration, Duration::from_millis(millis));
    assert_eq!(format_duration(duration), text);
}

#[parameterized(
    bytes = { "512B", 512 }, kib = { "64KiB", 65_536 }, mib = { "8MiB", 8_388_608 },
    gib = { "1GiB", 1_073_741_824 }, zero = { "0B", 0 },
)]
fn parses_sizes(text: &str, bytes: u64) {
    assert_eq!(parse_size(text), Some(bytes));
    assert_eq!(format_size(bytes), text);
}

#[parameterized(
    sign = { "-1s" }, plus = { "+1s" }, fraction = { "1.5s" }, space = { "1 s" }, upper = { "1S" },
    none = { "s" }, empty = { "" }, days = { "1d" }, overflow = { "9999999999999999999h" },
)]
fn rejects_duration(text: &str) {
    assert_eq!(parse_duration(text), None);
}

#[test]
fn parses_quantiles() {
    assert_eq!(parse_quantile("off"), Some(None));
    assert_eq!(parse_quantile("p99"), Some(Some(0.99)));
    assert_eq!(parse_quantile("p100"), None);
    assert_eq!(parse_quantile("99"), None);
}
