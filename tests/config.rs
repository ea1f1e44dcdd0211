//! Process configuration and `check`: valid examples, inconsistent values and error positions.

use std::path::{Path, PathBuf};
use std::time::Duration;

use curranthollow::check::{DocumentKind, check_file, check_text};
use curranthollow::config::{ConfigError, ProcessConfig, ProcessRole};
use yare::parameterized;

const ENTRY_CONFIG: &str = include_str!("../examples/config/entry-1.jsonc");
const CONTROL_CONFIG: &str = include_str!("../examples/config/control-1.jsonc");

fn example_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name)
}

// Guards against example configurations that a daemon refuses.
#[parameterized(
    control_1 = { "control-1", ProcessRole::Control }, control_2 = { "control-2", ProcessRole::Control },
    control_3 = { "control-3", ProcessRole::Control }, entry_1 = { "entry-1", ProcessRole::Entry },
    entry_2 = { "entry-2", ProcessRole::Entry },
)]
fn loads_example(name: &str, role: ProcessRole) {
    let file = example_path(&format!("config/{name}.jsonc"));
    let config = ProcessConfig::load(&file, role).unwrap();
    assert_eq!(&*config.name, name);
    assert!(config.own_peers().iter().any(|peer| peer.link == config.link));
    assert_eq!(config.data_folder.is_some(), role == ProcessRole::Control);
    assert_eq!(check_file(&file).unwrap().kind, Some(DocumentKind::ProcessConfig));
}

// Guards against two example processes that listen on the same port.
#[test]
fn examples_use_distinct_ports() {
    let mut ports = std::collections::BTreeSet::new();
    for name in ["control-1", "control-2", "control-3", "entry-1", "entry-2"] {
        let text = std::fs::read_to_string(example_path(&format!("config/{name}.jsonc"))).unwrap();
        let config = ProcessConfig::parse(&text).unwrap();
        for address in
            [Some(config.link), Some(config.operator), config.traffic].into_iter().flatten()
        {
            assert!(ports.insert(address.port()), "port {} is used twice", address.port());
        }
    }
}

// Guards against example settings that `check` refuses.
#[parameterized(
    root = { "settings/root.jsonc", DocumentKind::RootSettings },
    lakeshore = { "settings/lakeshore.jsonc", DocumentKind::TeamSettings },
    ironbark = { "settings/ironbark.jsonc", DocumentKind::TeamSettings },
)]
fn checks_example_settings(name: &str, kind: DocumentKind) {
    let report = check_file(&example_path(name)).unwrap();
    assert_eq!((report.kind, report.errors), (Some(kind), Vec::new()));
}

// Guards against inconsistent values that are detected only after the process has started.
#[parameterized(
    same_port = { ENTRY_CONFIG, "127.0.0.1:7511", "127.0.0.1:7512", "9:17: listen.operator: 127.0.0.1:7512 is also used by listen.link" },
    any_address = { ENTRY_CONFIG, "127.0.0.1:7510", "0.0.0.0:7512", "8:16: listen.traffic: 0.0.0.0:7512 is also used by listen.link" },
    peer_port = { ENTRY_CONFIG, "127.0.0.1:7510", "127.0.0.1:7522", "8:16: listen.traffic: 127.0.0.1:7522 is the link address of entry-2" },
    other_link = { ENTRY_CONFIG, "\"link\": \"127.0.0.1:7512\",", "\"link\": \"127.0.0.1:7519\",", "10:13: listen.link: listens on 127.0.0.1:7519, but its peers use 127.0.0.1:7512" },
    own_name = { ENTRY_CONFIG, "\"name\": \"entry-1\",\n", "\"name\": \"entry-9\",\n", "4:11: name: `entry-9` is missing from the list of its own peers; 10:13: listen.link: 127.0.0.1:7512 is the link address of entry-1" },
    even_control = { CONTROL_CONFIG, "{ \"name\": \"control-3\", \"link\": \"127.0.0.1:7432\" },", "", "11:20: control_peers: expected an odd number of control processes, found 2" },
    peer_twice = { CONTROL_CONFIG, "\"control-3\"", "\"control-2\"", "14:15: control_peers[2].name: peer `control-2` is given twice" },
    link_twice = { CONTROL_CONFIG, "127.0.0.1:7432", "127.0.0.1:7422", "14:36: control_peers[2].link: 127.0.0.1:7422 is given for two peers" },
    unreachable = { CONTROL_CONFIG, "127.0.0.1:7432", "0.0.0.0:7432", "14:36: control_peers[2].link: expected an address that other processes can reach" },
    no_port = { ENTRY_CONFIG, "127.0.0.1:7510", "127.0.0.1:0", "8:16: listen.traffic: expected an IP address and port such as 127.0.0.1:8080, found \"127.0.0.1:0\"" },
    no_traffic = { ENTRY_CONFIG, "\"traffic\": \"127.0.0.1:7510\",", "", "7:13: listen.traffic: this key is required for entry" },
    entry_data = { ENTRY_CONFIG, "\"traffic_threads\": 2,", "\"data_folder\": \"data\",", "21:18: data_folder: this key is not allowed for entry" },
    no_data = { CONTROL_CONFIG, "\"data_folder\": \"data/control-1\",", "", "2:1: data_folder: this key is required for control" },
    control_traffic = { CONTROL_CONFIG, "\"operator\"", "\"traffic\": \"127.0.0.1:7410\", \"operator\"", "8:16: listen.traffic: this key is not allowed for control" },
    limit = { ENTRY_CONFIG, "\"traffic_threads\": 2,", "\"shutdown_limit\": \"3s\",", "21:21: shutdown_limit: expected at least shutdown_delay and 2s, 7s" },
    head = { ENTRY_CONFIG, "\"head_size\": \"32KiB\"", "\"head_size\": \"128KiB\"", "24:55: limits.head_size: expected at most buffer_size (64KiB), found 128KiB" },
)]
fn reports_inconsistent_values(base: &str, from: &str, to: &str, expected: &str) {
    let text = base.replacen(from, to, 1);
    assert_ne!(text, base, "the example does not contain {from}");
    let errors = ProcessConfig::parse(&text).unwrap_err();
    let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert_eq!(errors.join("; "), expected);
}

// Guards against a daemon that starts with the configuration of the other role.
#[test]
fn refuses_config_of_other_role() {
    let error = ProcessConfig::load(&example_path("config/entry-1.jsonc"), ProcessRole::Control);
    assert!(matches!(error, Err(ConfigError::RoleMismatch { .. })));
}

// Guards against unintended changes of default values.
#[test]
fn applies_defaults() {
    let config = ProcessConfig::parse(CONTROL_CONFIG).unwrap();
    assert_eq!(config.traffic_threads, 2);
    assert_eq!(config.shutdown_delay, Duration::from_secs(5));
    assert_eq!(config.shutdown_limit, Duration::from_secs(15 * 60));
    assert_eq!(config.limits.open_connections, 20_000);
    assert_eq!(config.limits.head_size, 32 * 1024);
    assert_eq!(config.limits.buffer_size, 64 * 1024);
}

// Guards against errors without a position in the file and against a wrongly inferred document kind.
#[parameterized(
    process = { "process", "{\"role\": \"proxy\", \"name\": 1}", Some(DocumentKind::ProcessConfig) },
    root = { "root", "{\"defaults\": {\"servers\": {\"slots\": 0}}}", Some(DocumentKind::RootSettings) },
    team = { "team", "{\"team\": \"a\", \"defaults\": {}, \"services\": {\"b\": {}}}", Some(DocumentKind::TeamSettings) },
    team_without_name = { "team_without_name", "{\"defaults\": {}, \"services\": {}}", Some(DocumentKind::TeamSettings) },
    unknown = { "unknown", "{\"upstreams\": []}", None },
    list = { "list", "[]", None },
    syntax = { "syntax", "{\n  \"team\" \"a\"\n}", None },
)]
fn checks_by_content(name: &str, text: &str, kind: Option<DocumentKind>) {
    let report = check_text("file.jsonc", text);
    assert_eq!(report.kind, kind);
    assert!(!report.errors.is_empty());
    insta::assert_snapshot!(format!("check_{name}"), report.errors.join("\n"));
}
