//! Runs real control members, entries and stand-in servers on loopback, each on its own thread.

// Relative to this file, because several test programs include it.
#[path = "scripted_server.rs"]
mod scripted_server;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use curranthollow::fleet::config::{
    ControlConfig, EntryConfig, FleetConfig, FleetRole, QuotaLimits, RetryLimits, WarmupLimits,
};
use curranthollow::fleet::control::ControlProcess;
use curranthollow::fleet::entry::EntryProcess;
use curranthollow::fleet::link::{self, FollowMode, FreshnessNotice, LinkMessage};
use curranthollow::fleet::native::NativeDialect;
use curranthollow::fleet::zone_balance::WayPrices;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::LocalSet;

pub use scripted_server::*;

/// Upper limit of all waits, for busy machines; reached only when a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);
static NEXT_PORT: AtomicU32 = AtomicU32::new(0);

/// First port used by tests. The system's range for outgoing connections begins higher: a
/// connection from it could take a port between its selection and its use.
const FIRST_PORT: u32 = 10_000;

/// Number of ports used by tests.
const PORT_COUNT: u32 = 20_000;

/// Returns a free loopback address that no other test of this process gets.
pub fn free_address() -> SocketAddr {
    loop {
        let number = std::process::id() * 512 + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + number % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Returns a path below the build's temporary folder that no other test uses.
pub fn unique_path() -> PathBuf {
    let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
    let name = format!("fleet-{}-{number}", std::process::id());
    PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
}

/// Request for the metrics of an entry.
type MetricsRequest = mpsc::Sender<String>;

/// Process on a thread of its own. Dropping it ends the process abruptly, as if it were killed.
pub struct TestProcess {
    stop: Option<oneshot::Sender<()>>,
    metrics: UnboundedSender<MetricsRequest>,
    thread: Option<JoinHandle<()>>,
}

impl TestProcess {
    fn start(config: FleetConfig) -> Self {
        let (stop, mut stopped) = oneshot::channel();
        let (metrics, mut metrics_requests) = unbounded_channel::<MetricsRequest>();
        let thread = std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a runtime can be built");
            LocalSet::new().block_on(&runtime, async {
                let dialect = Rc::new(NativeDialect);
                match &config.role {
                    FleetRole::Control(control) => {
                        let _process = ControlProcess::start(&config, control, dialect)
                            .await
                            .expect("the member starts");
                        let _ = stopped.await;
                    }
                    FleetRole::Entry(entry) => {
                        let process = EntryProcess::start(&config, entry, dialect)
                            .await
                            .expect("the entry starts");
                        let stops = loop {
                            tokio::select! {
                                Some(request) = metrics_requests.recv() => {
                                    let _ = request.send(process.metrics());
                                }
                                stopped = &mut stopped => break stopped.is_ok(),
                            }
                        };
                        if stops {
                            process.stop(config.grace).await;
                        }
                    }
                }
            });
        });
        Self { stop: Some(stop), metrics, thread: Some(thread) }
    }

    /// Stops the process gracefully.
    pub fn stop(mut self) {
        let _ = self.stop.take().map(|stop| stop.send(()));
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Control member that can be killed, wiped and restarted.
pub struct TestMember {
    pub link: SocketAddr,
    pub operator: SocketAddr,
    folder: PathBuf,
    process: Option<TestProcess>,
}

impl TestMember {
    pub fn new() -> Self {
        let (link, operator) = (free_address(), free_address());
        Self { link, operator, folder: unique_path(), process: None }
    }

    pub fn start(&mut self, seeds: &[SocketAddr], form: bool) {
        let control = ControlConfig {
            operator: self.operator,
            link: self.link,
            data_folder: self.folder.clone(),
            form,
            survivable_losses: 2,
            heartbeat: Duration::from_secs(60),
        };
        self.process = Some(TestProcess::start(config(seeds, FleetRole::Control(control))));
    }

    pub fn kill(&mut self) {
        self.process = None;
    }

    pub fn wipe(&mut self) {
        assert!(self.process.is_none(), "only a stopped member can be wiped");
        std::fs::remove_dir_all(&self.folder).expect("the folder exists");
    }

    pub fn is_running(&self) -> bool {
        self.process.is_some()
    }

    /// Size of all files in the data folder.
    pub fn folder_bytes(&self) -> u64 {
        let files = std::fs::read_dir(&self.folder).expect("the folder exists").flatten();
        files.filter_map(|file| file.metadata().ok()).map(|metadata| metadata.len()).sum()
    }
}

fn config(seeds: &[SocketAddr], role: FleetRole) -> FleetConfig {
    FleetConfig {
        name: "test".into(),
        availability_zone: "a".into(),
        seeds: seeds.to_vec(),
        grace: Duration::from_secs(4),
        metrics: None,
        quota: QuotaLimits::default(),
        warmup: WarmupLimits::default(),
        role,
    }
}

/// Control members, five if nothing else is said; the first three are seeds.
pub struct TestFleet {
    pub members: Vec<TestMember>,
    pub seeds: Vec<SocketAddr>,
}

impl TestFleet {
    pub fn start() -> Self {
        Self::with_members(5)
    }

    pub fn with_members(count: usize) -> Self {
        let mut members: Vec<_> = (0..count).map(|_| TestMember::new()).collect();
        let seeds: Vec<_> = members[..3].iter().map(|member| member.link).collect();
        for member in &mut members {
            member.start(&seeds, true);
        }
        Self { members, seeds }
    }

    /// Puts a document, retrying until a member accepts it.
    pub fn put_document(&self, document: &str) {
        self.put_document_to(0..self.members.len(), document);
    }

    pub fn put_document_to(
        &self,
        members: impl IntoIterator<Item = usize> + Clone,
        document: &str,
    ) {
        wait_for("a document to be accepted", || {
            members.clone().into_iter().any(|member| {
                let member = &self.members[member];
                member.is_running()
                    && call(member.operator, "PUT", "/.curranthollow/document", document).0 == 200
            })
        });
    }

    /// Reads the document from one member; `None` if the member cannot confirm that it is current.
    pub fn read_document(&self, member: usize) -> Option<String> {
        let address = self.members[member].operator;
        let (status, body) = call(address, "GET", "/.curranthollow/document", "");
        (status == 200).then_some(body)
    }
}

/// Entry on loopback.
pub struct TestEntry {
    pub traffic: SocketAddr,
    pub readiness: SocketAddr,
    process: Option<TestProcess>,
}

impl TestEntry {
    pub fn start(seeds: &[SocketAddr]) -> Self {
        Self::start_on_line(seeds, None)
    }

    /// Starts an entry on a line of the given speed.
    pub fn start_on_line(seeds: &[SocketAddr], line_mbps: Option<f64>) -> Self {
        let (traffic, readiness) = (free_address(), free_address());
        let retry = RetryLimits { ratio: 0.2, slack: 50, window: Duration::from_secs(10) };
        let way_prices = WayPrices::default();
        let entry = EntryConfig { traffic, readiness, retry, line_mbps, way_prices };
        let process = TestProcess::start(config(seeds, FleetRole::Entry(entry)));
        let entry = Self { traffic, readiness, process: Some(process) };
        wait_for("the entry to listen", || TcpStream::connect(entry.readiness).is_ok());
        entry
    }

    pub fn is_ready(&self) -> bool {
        call(self.readiness, "GET", "/.curranthollow/ready", "").0 == 200
    }

    pub fn stop(mut self) {
        let _ = self.process.take().map(TestProcess::stop);
    }

    /// Returns the value of a metric without labels.
    pub fn metric(&self, name: &str) -> u64 {
        let (sender, receiver) = mpsc::channel();
        let process = self.process.as_ref().expect("the entry is running");
        process.metrics.send(sender).expect("the entry is running");
        let text = receiver.recv_timeout(TEST_TIMEOUT).expect("the entry reports its metrics");
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        let value = line.unwrap_or_else(|| panic!("no metric {name} in {text}"));
        value.parse().expect("the metric is a count")
    }
}

/// Waits until `check` returns true.
pub fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !check() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Sends one request on a new connection; status 0 if no complete response arrives.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\
         x-request-id: r\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(address, text.as_bytes())
        .map_or((0, String::new()), |response| parse_response(&response))
}

/// Sends bytes and reads until the connection ends.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    stream.write_all(bytes)?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

/// Returns the status and the body of a response.
pub fn parse_response(response: &str) -> (u16, String) {
    let status = response.get(9..12).and_then(|text| text.parse().ok()).unwrap_or(0);
    let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body.to_owned())
}

/// Announces a server, retrying until a member accepts it.
pub fn announce(fleet: &TestFleet, server: &str, body: &str) {
    let path = format!("/.curranthollow/servers/{server}");
    wait_for("an announcement to be accepted", || {
        fleet.members.iter().any(|member| call(member.operator, "PUT", &path, body).0 == 200)
    });
}

/// Returns a document with one idempotent and one at-most-once route to the service `rounds`.
pub fn document(version: u64) -> String {
    document_with_limits(version, 15_000, 3000)
}

/// Returns the same document with the given limits on callers.
pub fn document_with_limits(version: u64, idle_ms: u64, head_ms: u64) -> String {
    let route = |name: &str, prefix: &str, idempotent: bool| {
        serde_json::json!({
            "name": name, "host": "shop", "prefix": prefix, "idempotent": idempotent,
            "timeout_ms": 2000, "target_latency_ms": 1500, "max_attempts": 2,
            "targets": [["rounds", 1.0]],
        })
    };
    serde_json::json!({
        "version": version,
        "limits": { "head_bytes": 16384, "body_bytes": 67108864, "head_timeout_ms": head_ms,
                    "idle_timeout_ms": idle_ms },
        "services": { "rounds": { "health_path": "/health", "max_connections": 100 } },
        "routes": [route("read", "/read/", true), route("book", "/book/", false)],
    })
    .to_string()
}

/// Returns an announcement of a server of `rounds`.
pub fn announcement(address: SocketAddr, draining: bool, started: u64, sequence: u64) -> String {
    serde_json::json!({
        "service": "rounds", "address": address, "availability_zone": "a", "slots": 4,
        "draining": draining, "started": started, "sequence": sequence,
    })
    .to_string()
}

/// Returns the voters that a member reports to an entry.
pub fn voters(member: SocketAddr) -> Vec<SocketAddr> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let request_voters = async {
        let (mut writer, mut reader) = link::connect(member).await.ok()?;
        let follow =
            LinkMessage::Follow { name: "test".into(), revision: 0, mode: FollowMode::NoticesOnly };
        writer.send(link::encode(&follow)).await.ok()?;
        loop {
            if let LinkMessage::Fresh(notice) = reader.receive().await.ok()? {
                return Some(notice.members);
            }
        }
    };
    runtime.expect("a runtime can be built").block_on(request_voters).unwrap_or_default()
}

/// Waits until a member says that it leads, and returns its number.
pub fn leader(fleet: &TestFleet) -> usize {
    let mut found = None;
    wait_for("a leader", || {
        let running = fleet.members.iter().enumerate().filter(|(_, member)| member.is_running());
        found = running
            .map(|(number, _)| number)
            .find(|number| notice(fleet.members[*number].link).is_some_and(|notice| notice.leads));
        found.is_some()
    });
    found.expect("the wait has ended")
}

/// Reads one status notice of a member.
fn notice(member: SocketAddr) -> Option<FreshnessNotice> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let request = async {
        let (mut writer, mut reader) = link::connect(member).await.ok()?;
        let (name, mode) = ("test".into(), FollowMode::NoticesOnly);
        let follow = LinkMessage::Follow { name, revision: 0, mode };
        writer.send(link::encode(&follow)).await.ok()?;
        loop {
            if let LinkMessage::Fresh(notice) = reader.receive().await.ok()? {
                return Some(notice);
            }
        }
    };
    runtime.expect("a runtime can be built").block_on(request)
}
