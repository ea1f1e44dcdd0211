//! Metrics pages of fleet processes.

use std::net::SocketAddr;
use std::process::{Child, Command};

use yare::parameterized;

use crate::harness::{
    ScriptedServer, announcement, call, document, free_address, unique_path, wait_for,
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
    _server: ScriptedServer,
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
        Self { _processes: processes, _server: server, entry_metrics, member_metrics }
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
