//! Control processes, entries and stand-in servers of one test.

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

/// The default lease, for tests in which no request may fail while control changes its leader.
pub const DEFAULT_LEASE: &str = "3s";

/// Keeps tests short that wait for the end of a lease. A change of the control leader, also by a
/// stalled disk, may take longer, so entries then refuse requests for a moment.
pub const SHORT_LEASE: &str = "1s";

/// Services `read` (idempotent), `book` (at most once) and `faulty` (short deadline).
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

/// Number of processes and whether links go through proxies.
#[derive(Clone, Copy)]
pub struct ClusterPlan {
    pub entries: usize,
    pub proxied: bool,
    pub lease: &'static str,
}

/// One process of the product.
pub struct ProcessNode {
    pub traffic: SocketAddr,
    pub operator: SocketAddr,
    pub link: SocketAddr,
    pub config: PathBuf,
    role: &'static str,
    child: Option<Child>,
    starts: usize,
}

/// Running system; everything ends when it is dropped.
pub struct TestCluster {
    pub folder: PathBuf,
    pub nodes: BTreeMap<String, ProcessNode>,
    links: BTreeMap<(String, String), LinkProxy>,
    pub servers: Vec<StandInServer>,
    _permit: ClusterPermit,
}

impl TestCluster {
    /// Starts three control processes and the entries, without settings.
    pub fn start_bare(plan: ClusterPlan) -> Self {
        let permit = ClusterPermit::wait();
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
        for number in 1..=plan.entries {
            let name = format!("entry-{number}");
            nodes.insert(name.clone(), ProcessNode::new(folder.join(&name), "entry"));
        }
        let mut cluster =
            Self { folder, nodes, links: BTreeMap::new(), servers: Vec::new(), _permit: permit };
        if plan.proxied {
            cluster.add_proxies();
        }
        cluster.write_configs();
        for name in cluster.names("") {
            cluster.restart(&name);
        }
        cluster
    }

    /// Starts processes, puts settings and starts two servers each of `read` and `book`.
    pub fn start(plan: ClusterPlan) -> Self {
        let mut cluster = Self::start_bare(plan);
        cluster.put_first_settings(plan.lease);
        for service in ["read", "book"] {
            for number in 1..=2 {
                cluster.add_server(service, number);
            }
        }
        cluster.wait_served();
        cluster
    }

    pub fn put_first_settings(&self, lease: &str) {
        let document = root_document(lease);
        let reply = self.put("root", 0, "root-1", &document).unwrap();
        assert_eq!(reply.outcome, OutcomeName::Accepted, "{reply:?}");
        let reply = self.create("demo", TEAM_DOCUMENT, TEAM_TOKEN);
        assert_eq!(reply.outcome, OutcomeName::Accepted, "{reply:?}");
    }

    /// Creates the branch of a team.
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

    /// Starts a server of the team `demo` unless the options name another token.
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

    /// Waits until each entry serves both services.
    pub fn wait_served(&self) {
        for name in self.names("entry") {
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
        let names = self.names("");
        for from in &names {
            for to in &names {
                let controls = to.starts_with("control");
                let dials = match from.starts_with("entry") {
                    true => controls || to > from,
                    false => controls && to > from,
                };
                if dials && from != to {
                    let proxy = LinkProxy::start(self.nodes[to].link);
                    self.links.insert((from.clone(), to.clone()), proxy);
                }
            }
        }
    }

    /// Address at which `from` reaches the links of `to`.
    fn link_address(&self, from: &str, to: &str) -> SocketAddr {
        let proxy = self.links.get(&(from.to_owned(), to.to_owned()));
        proxy.map_or(self.nodes[to].link, |proxy| proxy.address)
    }

    fn write_configs(&self) {
        for (name, node) in &self.nodes {
            let peers = |role: &str| {
                let mut list = Vec::new();
                for peer in self.names(role) {
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
            fs::write(&node.config, config.to_string()).unwrap();
        }
    }

    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    /// Names of the processes whose name starts with `role`.
    pub fn names(&self, role: &str) -> Vec<String> {
        self.nodes.keys().filter(|name| name.starts_with(role)).cloned().collect()
    }

    /// Traffic addresses of the entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.names("entry").iter().map(|name| self.nodes[name].traffic).collect()
    }

    /// Operator addresses of the control processes.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.names("control").iter().map(|name| self.nodes[name].operator).collect()
    }

    pub fn entry(&self, number: usize) -> SocketAddr {
        self.nodes[&format!("entry-{number}")].traffic
    }

    /// Starts a process that does not run.
    pub fn restart(&mut self, name: &str) {
        let node = self.nodes.get_mut(name).unwrap();
        assert!(node.child.is_none(), "{name} runs");
        node.starts += 1;
        let log = self.folder.join(format!("{name}-{}.log", node.starts));
        let log = File::create(log).unwrap();
        let child = Command::new(BINARY)
            .args([node.role, "--config"])
            .arg(&node.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        node.child = Some(child);
    }

    fn signal(&self, name: &str, signal: Signal) {
        let child = self.nodes[name].child.as_ref().expect("the process runs");
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    /// Ends a process without warning.
    pub fn kill(&mut self, name: &str) {
        let mut child = self.nodes.get_mut(name).unwrap().child.take().expect("the process runs");
        child.kill().unwrap();
        child.wait().unwrap();
    }

    pub fn freeze(&self, name: &str) {
        self.signal(name, Signal::STOP);
    }

    pub fn wake(&self, name: &str) {
        self.signal(name, Signal::CONT);
    }

    /// Asks a process to stop.
    pub fn terminate(&self, name: &str) {
        self.signal(name, Signal::TERM);
    }

    /// Waits for the end of a process that was asked to stop; it must report success.
    pub fn wait_ended(&mut self, name: &str) {
        let mut child = self.nodes.get_mut(name).unwrap().child.take().expect("the process runs");
        let status = wait_for(&format!("{name} ends"), || child.try_wait().unwrap());
        assert!(status.success(), "{name} ended with {status}");
    }

    /// Holds back link bytes to or from a process.
    pub fn isolate(&self, name: &str, inbound: bool, outbound: bool) {
        for ((from, to), proxy) in &self.links {
            if from == name {
                proxy.hold(outbound, inbound);
            } else if to == name {
                proxy.hold(inbound, outbound);
            }
        }
    }

    /// Holds back all bytes between two processes, or lets them pass again.
    pub fn cut(&self, one: &str, other: &str, held: bool) {
        for ((from, to), proxy) in &self.links {
            if (from == one && to == other) || (from == other && to == one) {
                proxy.hold(held, held);
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
        let change = replacement(branch, base, change_id, document);
        let token = if branch == "root" { ROOT_TOKEN } else { TEAM_TOKEN };
        block_on(self.client(token).change(&change))
    }

    /// Sends one request to one operator address, without looking for the leader.
    pub fn ask(&self, name: &str, path: &str) -> Result<ClientResponse, HttpError> {
        let mut headers = HeaderList::new();
        headers.append("authorization", format!("Bearer {ROOT_TOKEN}").as_bytes()).unwrap();
        let limit = Duration::from_secs(8);
        block_on(send_request(self.nodes[name].operator, "GET", path, headers, &[], limit))
    }

    /// Version of a branch as the leader reports it.
    pub fn version(&self, branch: &str) -> u64 {
        let body = block_on(self.client(ROOT_TOKEN).get(&format!("/settings/{branch}"))).unwrap();
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        body["version"].as_u64().unwrap()
    }

    /// Status of the confirmed leader.
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

    /// Runs the operator's client; returns its exit code and output.
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

    /// Runs of one key at all servers.
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
            config: base.with_extension("jsonc"),
            role,
            child: None,
            starts: 0,
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

/// Reads the health page as the platform's balancer does.
pub fn is_healthy(entry: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let path = curranthollow::entry::HEALTH_PATH;
    let sent = send_request(entry, "GET", path, HeaderList::new(), &[], limit);
    block_on(sent).is_ok_and(|response| response.head.status == 200)
}

pub fn replacement(branch: &str, base: u64, change_id: &str, document: &str) -> ChangeRequest {
    ChangeRequest {
        action: ChangeVerb::Replace,
        base_version: i64::try_from(base).unwrap(),
        branch: branch.into(),
        change_id: change_id.into(),
        document: Some(document.into()),
        team_token_sha256: None,
    }
}

/// Team document that differs by `number` and, after a change, moves `/moved` elsewhere.
pub fn numbered_document(number: u64) -> String {
    let service = format!(r#""moved": {{ "match": {{ "path_prefix": "/moved-{number}" }} }},"#);
    TEAM_DOCUMENT.replace("\"services\": {", &format!("\"services\": {{\n{service}"))
}

/// Time that `action` takes.
pub fn timed<T>(action: impl FnOnce() -> T) -> (T, Duration) {
    let start = Instant::now();
    let value = action();
    (value, start.elapsed())
}
