//! Test cluster of control processes, entries and stand-in servers.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use async_std::task::block_on;
use curranthollow::generated::operator::{ChangeReply, ChangeRequest, ChangeVerb, OutcomeName};
use curranthollow::http::{ClientResponse, HeaderList, HttpError, send_request};
use curranthollow::operator::{OperatorClient, OperatorError};
use curranthollow::settings::token_sha256;
use curranthollow::stand_in::{ServiceTime, StandInOptions, StandInServer};
use curranthollow::status::SystemStatus;
use rustix::process::{Pid, Signal, kill_process};

use super::client::Call;
use super::proxy::LinkProxy;
use super::support::{ClusterPermit, WAIT_LIMIT, free_address, wait_for, wait_until};

const BINARY: &str = env!("CARGO_BIN_EXE_curranthollow");

pub const ROOT_TOKEN: &str = "root-token";
pub const TEAM_TOKEN: &str = "demo-token";

/// The default settings lease, for tests in which no request may fail during a change of the control leader.
pub const DEFAULT_LEASE: &str = "3s";

/// Short settings lease; keeps tests short that wait until a lease expires. A change of the control leader, also
/// one caused by a stalled disk, may take longer than this; entries then refuse requests for a moment.
pub const SHORT_LEASE: &str = "1s";

/// Settings of the team `demo`: services `read` (idempotent), `book` (at most once) and `faulty` (short
/// deadline).
pub const TEAM_DOCUMENT: &str = r#"{
  "team": "demo",
  "services": {
    "read": { "match": { "path_prefix": "/read" }, "deadline": "10s" },
    "faulty": { "match": { "path_prefix": "/faulty" }, "deadline": "700ms", "servers": { "connections": 8 } },
    "book": {
      "match": { "path_prefix": "/book" },
      "deadline": "6s",
      "retry": { "not_run_statuses": [503] },
      "classes": [{ "name": "book", "methods": ["POST"], "idempotent": false, "length": "short" }],
    },
  },
}"#;

/// Number of entries of a cluster, whether its links pass through proxies, and its settings lease.
#[derive(Clone, Copy)]
pub struct ClusterOptions {
    pub entries: usize,
    pub proxied: bool,
    pub lease: &'static str,
}

/// One control or entry process with its addresses.
pub struct ProcessNode {
    pub traffic: SocketAddr,
    pub operator: SocketAddr,
    pub link: SocketAddr,
    pub config_path: PathBuf,
    role: &'static str,
    child: Option<Child>,
    start_count: usize,
}

/// Running cluster. Dropping it kills the processes and stops the servers.
pub struct TestCluster {
    pub folder: PathBuf,
    pub nodes: BTreeMap<String, ProcessNode>,
    links: BTreeMap<(String, String), LinkProxy>,
    pub servers: Vec<StandInServer>,
    _permit: ClusterPermit,
}

impl TestCluster {
    /// Starts three control processes and the entries, but puts no settings.
    pub fn start_without_settings(options: ClusterOptions) -> Self {
        let permit = ClusterPermit::acquire();
        let folder = std::env::temp_dir().join(format!(
            "curranthollow-test-{}-{:08x}",
            std::process::id(),
            fastrand::u32(..)
        ));
        fs::create_dir_all(&folder).unwrap();
        let mut nodes = BTreeMap::new();
        for number in 1..=3 {
            let name = format!("control-{number}");
            nodes.insert(name.clone(), ProcessNode::new(folder.join(&name), "control"));
        }
        for number in 1..=options.entries {
            let name = format!("entry-{number}");
            nodes.insert(name.clone(), ProcessNode::new(folder.join(&name), "entry"));
        }
        let mut cluster =
            Self { folder, nodes, links: BTreeMap::new(), servers: Vec::new(), _permit: permit };
        if options.proxied {
            cluster.add_proxies();
        }
        cluster.write_configs();
        for name in cluster.process_names("") {
            cluster.restart(&name);
        }
        cluster
    }

    /// Starts the processes, puts the initial settings and adds two servers each of `read` and `book`.
    pub fn start(options: ClusterOptions) -> Self {
        let mut cluster = Self::start_without_settings(options);
        cluster.put_initial_settings(options.lease);
        for service in ["read", "book"] {
            for number in 1..=2 {
                cluster.add_server(service, number);
            }
        }
        cluster.wait_until_serving();
        cluster
    }

    pub fn put_initial_settings(&self, lease: &str) {
        let document = root_document(lease);
        let reply = self.put("root", 0, "root-1", &document).unwrap();
        assert_eq!(reply.outcome, OutcomeName::Accepted, "{reply:?}");
        let reply = self.create("demo", TEAM_DOCUMENT, TEAM_TOKEN);
        assert_eq!(reply.outcome, OutcomeName::Accepted, "{reply:?}");
    }

    /// Creates the settings branch of a team.
    pub fn create(&self, team: &str, document: &str, token: &str) -> ChangeReply {
        let change = ChangeRequest {
            action: ChangeVerb::Create,
            base_version: 0,
            branch: team.into(),
            change_id: format!("{team}-1"),
            document: Some(document.into()),
            team_token_sha256: Some(token_sha256(token).into()),
        };
        block_on(self.client(ROOT_TOKEN).change(&change)).unwrap()
    }

    pub fn add_server(&mut self, service: &str, number: usize) -> StandInServer {
        self.add_server_with(StandInOptions {
            service: service.into(),
            server: format!("{service}-{number}").into(),
            service_time: ServiceTime::Fixed(Duration::from_millis(1)),
            ..StandInOptions::default()
        })
    }

    /// Starts a server, of the team `demo` unless the options contain a token.
    pub fn add_server_with(&mut self, mut options: StandInOptions) -> StandInServer {
        options.entries = self.entries();
        if options.token.is_empty() {
            options.team = "demo".into();
            options.token = TEAM_TOKEN.into();
        }
        let server = block_on(StandInServer::start(options)).unwrap();
        self.servers.push(server.clone());
        server
    }

    /// Waits until each entry is healthy and serves both `read` and `book`.
    pub fn wait_until_serving(&self) {
        for name in self.process_names("entry") {
            wait_until(&format!("{name} serves"), || {
                let entry = self.nodes[&name].traffic;
                let key = format!("first-{:016x}", fastrand::u64(..));
                self.is_healthy(&name)
                    && Call::get("/read", &key).send(entry).is_served()
                    && Call::post("/book", &key, "").send(entry).is_served()
            });
        }
    }

    fn add_proxies(&mut self) {
        let names = self.process_names("");
        for from in &names {
            for to in &names {
                let to_is_control = to.starts_with("control");
                let connects = match from.starts_with("entry") {
                    true => to_is_control || to > from,
                    false => to_is_control && to > from,
                };
                if connects && from != to {
                    let proxy = LinkProxy::start(self.nodes[to].link);
                    self.links.insert((from.clone(), to.clone()), proxy);
                }
            }
        }
    }

    /// Link address of `to` as `from` is configured with it: the proxy's, if there is one.
    fn link_address(&self, from: &str, to: &str) -> SocketAddr {
        let proxy = self.links.get(&(from.to_owned(), to.to_owned()));
        proxy.map_or(self.nodes[to].link, |proxy| proxy.address)
    }

    fn write_configs(&self) {
        for (name, node) in &self.nodes {
            let peers = |role: &str| {
                let mut list = Vec::new();
                for peer in self.process_names(role) {
                    let link = self.link_address(name, &peer).to_string();
                    list.push(serde_json::json!({ "name": peer, "link": link }));
                }
                list
            };
            let mut config = serde_json::json!({
                "role": node.role,
                "name": name,
                "region": "test",
                "availability_zone": format!("zone-{}", name.chars().last().unwrap()),
                "listen": { "operator": node.operator.to_string(), "link": node.link.to_string() },
                "control_peers": peers("control"),
                "entry_peers": peers("entry"),
                "shutdown_delay": "800ms",
            });
            if node.role == "entry" {
                config["listen"]["traffic"] = node.traffic.to_string().into();
            } else {
                config["data_folder"] = self.data_folder(name).display().to_string().into();
                config["root_token_sha256"] = (*token_sha256(ROOT_TOKEN)).into();
            }
            fs::write(&node.config_path, config.to_string()).unwrap();
        }
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Names of the processes whose name starts with `role_prefix`.
    pub fn process_names(&self, role_prefix: &str) -> Vec<String> {
        self.nodes.keys().filter(|name| name.starts_with(role_prefix)).cloned().collect()
    }

    /// Traffic addresses of the entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.process_names("entry").iter().map(|name| self.nodes[name].traffic).collect()
    }

    /// Operator addresses of the control processes.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.process_names("control").iter().map(|name| self.nodes[name].operator).collect()
    }

    pub fn entry(&self, number: usize) -> SocketAddr {
        self.nodes[&format!("entry-{number}")].traffic
    }

    /// Starts a process that is not running, with a new log file.
    pub fn restart(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).unwrap();
        assert!(node.child.is_none(), "{name} is already running");
        node.start_count += 1;
        let log = self.folder.join(format!("{name}-{}.log", node.start_count));
        let log = File::create(log).unwrap();
        let child = Command::new(BINARY)
            .args([node.role, "--config"])
            .arg(&node.config_path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        node.child = Some(child);
    }

    /// Log of the newest start of a process.
    pub fn log(&self, name: &str) -> String {
        let log = self.folder.join(format!("{name}-{}.log", self.nodes[name].start_count));
        fs::read_to_string(log).unwrap()
    }

    fn signal(&self, name: &str, signal: Signal) {
        let child = self.nodes[name].child.as_ref().expect("the process is running");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, name: &str) {
        let mut child =
            self.nodes.get_mut(name).unwrap().child.take().expect("the process is running");
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Suspends a process with SIGSTOP and waits until all of its threads have stopped.
    pub fn freeze(&self, name: &str) {
        self.signal(name, Signal::STOP);
        let process = self.nodes[name].child.as_ref().expect("the process is running").id();
        wait_until("the process to stop", || is_stopped(process));
    }

    /// Continues a frozen process with SIGCONT.
    pub fn unfreeze(&self, name: &str) {
        self.signal(name, Signal::CONT);
    }

    /// Asks a process to shut down (SIGTERM).
    pub fn terminate(&self, name: &str) {
        self.signal(name, Signal::TERM);
    }

    /// Sends SIGHUP to a process.
    pub fn hang_up(&self, name: &str) {
        self.signal(name, Signal::HUP);
    }

    /// Waits until a process that was asked to shut down exits; its exit status must be success.
    pub fn wait_for_exit(&mut self, name: &str) {
        let mut child =
            self.nodes.get_mut(name).unwrap().child.take().expect("the process is running");
        let status = wait_for(&format!("{name} exits"), || child.try_wait().unwrap());
        assert!(status.success(), "{name} exited with {status}");
    }

    /// Sets whether the link bytes to and from a process are held back.
    pub fn set_links_held(&self, name: &str, inbound: bool, outbound: bool) {
        for ((from, to), proxy) in &self.links {
            if from == name {
                proxy.set_held(outbound, inbound);
            } else if to == name {
                proxy.set_held(inbound, outbound);
            }
        }
    }

    /// Holds back all link bytes between two processes, or releases them.
    pub fn set_link_between_held(&self, first: &str, second: &str, held: bool) {
        for ((from, to), proxy) in &self.links {
            if (from == first && to == second) || (from == second && to == first) {
                proxy.set_held(held, held);
            }
        }
    }

    pub fn client(&self, token: &str) -> OperatorClient {
        OperatorClient::new(self.controls(), Some(token.into()), WAIT_LIMIT)
    }

    /// Replaces the document of a branch.
    pub fn put(
        &self,
        branch: &str,
        base: u64,
        change_id: &str,
        document: &str,
    ) -> Result<ChangeReply, OperatorError> {
        let change = replace_request(branch, base, change_id, document);
        let token = if branch == "root" { ROOT_TOKEN } else { TEAM_TOKEN };
        block_on(self.client(token).change(&change))
    }

    /// Sends a GET request to the operator address of one process, without following the leader.
    pub fn get_from(&self, name: &str, path: &str) -> Result<ClientResponse, HttpError> {
        let mut headers = HeaderList::new();
        headers.append("authorization", format!("Bearer {ROOT_TOKEN}").as_bytes()).unwrap();
        let timeout = Duration::from_secs(8);
        block_on(send_request(self.nodes[name].operator, "GET", path, headers, &[], timeout))
    }

    /// Version of a settings branch as the leader reports it.
    pub fn version(&self, branch: &str) -> u64 {
        let body = block_on(self.client(ROOT_TOKEN).get(&format!("/settings/{branch}"))).unwrap();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        body["version"].as_u64().unwrap()
    }

    /// Status as reported by a confirmed leader, if there is one.
    pub fn status(&self) -> Option<SystemStatus> {
        let status = block_on(self.client(ROOT_TOKEN).status()).ok()?;
        status.confirmed.then_some(status)
    }

    /// Name of the confirmed leader of the settings group.
    pub fn leader(&self) -> String {
        wait_for("a confirmed leader", || self.status().map(|status| status.name.into()))
    }

    pub fn is_healthy(&self, name: &str) -> bool {
        is_healthy(self.nodes[name].traffic)
    }

    /// Runs a command of the binary as an operator does; returns its exit code and output.
    pub fn run(&self, arguments: &[&str]) -> (i32, Output) {
        let controls: Vec<String> = self.controls().iter().map(ToString::to_string).collect();
        let output = Command::new(BINARY)
            .args(arguments)
            .env("CURRANTHOLLOW_CONTROL", controls.join(","))
            .env("CURRANTHOLLOW_TOKEN", ROOT_TOKEN)
            .env("NEW_TOKEN", TEAM_TOKEN)
            .current_dir(&self.folder)
            .output()
            .unwrap();
        (output.status.code().unwrap(), output)
    }

    /// Number of runs of one idempotency key over all servers.
    pub fn runs_of_key(&self, key: &str) -> u32 {
        self.servers.iter().map(|server| server.runs().count_by_idempotency_key(key)).sum()
    }
}

impl ProcessNode {
    fn new(base: PathBuf, role: &'static str) -> Self {
        Self {
            traffic: free_address(),
            operator: free_address(),
            link: free_address(),
            config_path: base.with_extension("jsonc"),
            role,
            child: None,
            start_count: 0,
        }
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        for node in self.nodes.values_mut() {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        for server in &self.servers {
            block_on(server.stop());
        }
        if std::thread::panicking() {
            eprintln!("process logs are kept in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Document of the root branch.
pub fn root_document(lease: &str) -> String {
    format!(r#"{{ "settings_lease": "{lease}", "defaults": {{}} }}"#)
}

/// Reads the health page of an entry as the platform's load balancer does.
pub fn is_healthy(entry: SocketAddr) -> bool {
    let timeout = Duration::from_millis(500);
    let path = curranthollow::entry::HEALTH_PATH;
    let response = send_request(entry, "GET", path, HeaderList::new(), &[], timeout);
    block_on(response).is_ok_and(|response| response.head.status == 200)
}

pub fn replace_request(branch: &str, base: u64, change_id: &str, document: &str) -> ChangeRequest {
    ChangeRequest {
        action: ChangeVerb::Replace,
        base_version: i64::try_from(base).unwrap(),
        branch: branch.into(),
        change_id: change_id.into(),
        document: Some(document.into()),
        team_token_sha256: None,
    }
}

/// Document of the team `demo` with the additional service `moved`, whose path prefix contains `number`.
pub fn numbered_document(number: u64) -> String {
    let service = format!(r#""moved": {{ "match": {{ "path_prefix": "/moved-{number}" }} }},"#);
    TEAM_DOCUMENT.replace("\"services\": {", &format!("\"services\": {{\n{service}"))
}

/// Runs `action`; returns its value and how long it took.
pub fn timed<T>(action: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let value = action();
    (value, start.elapsed())
}

/// Whether all threads of a process are stopped by a signal.
fn is_stopped(process: u32) -> bool {
    let threads = fs::read_dir(format!("/proc/{process}/task")).expect("the process exists");
    threads.flatten().all(|thread| {
        let status = fs::read_to_string(thread.path().join("status"));
        status.is_ok_and(|status| status.contains("State:\tT"))
    })
}
