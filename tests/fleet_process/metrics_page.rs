//! Metrics pages of fleet processes.

use std::net::SocketAddr;
use std::process::{Child, Command};

use yare::parameterized;

use crate::harness::{
    ScriptedServer, announcement, call, document, exchange, free_address, parse_response,
    unique_path, wait_for,
};

/// Fleet process that is killed on drop.
struct MeteredProcess(Child);

impl MeteredProcess {
    fn start(config_text: &str) -> Self {
        let config_path = unique_path().with_extension("jsonc");
        std::fs::write(&config_path, config_text).expect("the test folder is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
        command.arg("fleet").arg("--config").arg(&config_path).stdout(std::process::Stdio::null());
        Self(command.spawn().expect("the binary starts"))
    }
}

impl Drop for MeteredProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct MeteredFleet {
    _processes: [MeteredProcess; 2],
    server: ScriptedServer,
    operator: SocketAddr,
    traffic: SocketAddr,
    entry_metrics: SocketAddr,
    member_metrics: SocketAddr,
}

impl MeteredFleet {
    /// Starts one member, one entry and one server, and waits until one request was served.
    fn start() -> Self {
        let [link, operator, traffic, readiness] = [(); 4].map(|()| free_address());
        let [entry_metrics, member_metrics] = [(); 2].map(|()| free_address());
        let common = format!(r#""availability_zone":"a","seeds":["{link}"],"grace":"1s""#);
        let folder = unique_path();
        let member = format!(
            r#"{{"name":"m",{common},"metrics":"{member_metrics}","control":{{"operator":"{operator}",
            "link":"{link}","data_folder":{folder:?},"form":true,"survivable_losses":0,
            "heartbeat":"60s"}}}}"#
        );
        let entry = format!(
            r#"{{"name":"e",{common},"metrics":"{entry_metrics}","entry":{{"traffic":"{traffic}",
            "readiness":"{readiness}","retry_ratio":0.2,"retry_slack":9,"retry_window":"10s"}}}}"#
        );
        let processes = [MeteredProcess::start(&member), MeteredProcess::start(&entry)];
        wait_for("the first document", || {
            call(operator, "PUT", "/.curranthollow/document", &document(1)).0 == 200
        });
        let server = ScriptedServer::start(&[]);
        let announcement_body = announcement(server.address, false, 1, 1);
        wait_for("an announcement", || {
            call(operator, "PUT", "/.curranthollow/servers/s0", &announcement_body).0 == 200
        });
        wait_for("a served request", || call(traffic, "GET", "/read/1", "").0 == 200);
        Self { _processes: processes, server, operator, traffic, entry_metrics, member_metrics }
    }
}

/// Guards against documented series that are missing from the metrics page or never updated.
#[parameterized(
    requests = { "entry_requests_total{service=\"rounds\",outcome=\"served\"} 1" },
    latency = { "entry_latency_seconds_count{service=\"rounds\"} " },
    in_flight = { "entry_in_flight{service=\"rounds\"} 0" },
    version = { "entry_document_version 1" },
    members = { "entry_fresh_members 1" },
    connections = { "entry_server_connections_total{service=\"rounds\"} " },
    links = { "entry_link_frames_received_total " },
    dropped = { "entry_log_lines_dropped_total 0" },
    delay = { "entry_loop_delay_seconds_bucket" },
    leads = { "control_leads 1" },
    leader = { "control_has_leader 1" },
    disk = { "control_disk_seconds_bucket" },
    followed = { "control_entries 1" },
)]
fn metrics_page_contains_series(series: &str) {
    let system = MeteredFleet::start();
    let address =
        if series.starts_with("entry") { system.entry_metrics } else { system.member_metrics };
    wait_for("the series", || call(address, "GET", "/metrics", "").1.contains(series));
    assert!(call(address, "GET", "/metrics", "").1.ends_with("# EOF\n"));
}

/// Runs `explain` and returns its exit code and what it printed.
fn explain(address: SocketAddr, arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
    command.arg("explain").arg(address.to_string()).args(arguments);
    let output = command.output().expect("the binary starts");
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).expect("the output is text"))
}

/// Guards against an explanation that differs from what becomes of the request, takes a token of the tenant, or
/// reaches a server.
#[test]
fn a_request_is_explained_without_being_sent() {
    let system = MeteredFleet::start();
    let mut value: serde_json::Value =
        serde_json::from_str(&document(2)).expect("the document is JSON");
    // One token in five seconds, so that an explanation which takes it is noticed.
    value["tenants"] = serde_json::json!([
        { "name": "coop", "keys": ["k1"], "rate_per_second": 0.2, "burst": 1 },
    ]);
    let put = call(system.operator, "PUT", "/.curranthollow/document", &value.to_string());
    assert_eq!(put.0, 200, "{put:?}");
    let address = system.entry_metrics;
    wait_for("the tenant to be known", || {
        explain(address, &["shop", "/read/1", "--tenant", "coop"]).0 == Some(0)
    });
    let sent_before = system.server.sent_count();
    for _ in 0..20 {
        let (code, text) = explain(address, &["shop", "/read/1", "--tenant", "coop"]);
        assert_eq!(code, Some(0), "{text}");
        assert!(text.contains("  1.      s0 in a: "), "{text}");
    }
    let (_, text) = explain(address, &["shop", "/read/1"]);
    assert!(text.contains("answer    401 from the entry: a key is needed"), "{text}");
    let (_, text) = explain(address, &["other", "/read/1"]);
    assert!(text.contains("answer    404 from the entry: no route"), "{text}");
    let unknown = explain(address, &["shop", "/read/1", "--tenant", "nobody"]);
    assert_eq!(unknown.0, Some(3), "{}", unknown.1);
    assert_eq!(explain(system.member_metrics, &["shop", "/read/1"]).0, Some(3));
    assert_eq!(system.server.sent_count(), sent_before);
    let request = "GET /read/1 HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer k1\r\n\
                   x-request-id: r\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    wait_for("the token to be lent", || {
        let response = exchange(system.traffic, request.as_bytes()).unwrap_or_default();
        parse_response(&response).0 == 200
    });
    wait_for("the limit to be used up", || {
        explain(address, &["shop", "/read/1", "--tenant", "coop"]).1.contains("answer    429")
    });
}
