//! Metrics pages of real processes.

use std::net::SocketAddr;
use std::process::{Child, Command};

use yare::parameterized;

use crate::harness::{
    ScriptedServer, announcement, call, document, free_address, unique_path, wait_for,
};

/// A process of the binary that is killed when it is dropped.
struct PageProcess(Child);

impl PageProcess {
    fn start(text: &str) -> Self {
        let config = unique_path().with_extension("jsonc");
        std::fs::write(&config, text).expect("the folder can be written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_curranthollow"));
        command.arg("fleet").arg("--config").arg(&config).stdout(std::process::Stdio::null());
        Self(command.spawn().expect("the binary starts"))
    }
}

impl Drop for PageProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct PageSystem {
    _processes: [PageProcess; 2],
    _server: ScriptedServer,
    entry_metrics: SocketAddr,
    member_metrics: SocketAddr,
}

impl PageSystem {
    /// One member, one entry and one server, after one served request.
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
        let processes = [PageProcess::start(&member), PageProcess::start(&entry)];
        wait_for("the first document", || {
            call(operator, "PUT", "/.curranthollow/document", &document(1)).0 == 200
        });
        let server = ScriptedServer::start(&[]);
        let said = announcement(server.address, false, 1, 1);
        wait_for("an announcement", || {
            call(operator, "PUT", "/.curranthollow/servers/s0", &said).0 == 200
        });
        wait_for("a served request", || call(traffic, "GET", "/read/1", "").0 == 200);
        Self { _processes: processes, _server: server, entry_metrics, member_metrics }
    }
}

/// Guards against series that the operations page names and that are missing or stay at zero.
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
fn a_metrics_page_has_the_series(series: &str) {
    let system = PageSystem::start();
    let address =
        if series.starts_with("entry") { system.entry_metrics } else { system.member_metrics };
    wait_for("the series", || call(address, "GET", "/metrics", "").1.contains(series));
    assert!(call(address, "GET", "/metrics", "").1.ends_with("# EOF\n"));
}
