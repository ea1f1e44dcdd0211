//! An in-process entry whose settings and servers are set directly.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use curranthollow::directory::{AnnouncedState, LifeState, ServerAnnouncement, ServiceKey};
use curranthollow::entry::{
    ClaimClient, ContextParts, EntryContext, ProcessShare, RuntimeIdentity, ServiceRuntime,
    ServiceTable, listen,
};
use curranthollow::http::HttpLimits;
use curranthollow::link::{HelloMessage, LinkConfig, LinkHub, ProcessRole};
use curranthollow::route::team_share::ProcessLimits;
use curranthollow::settings::{RootSettings, SettingsTree, TeamSettings};
use curranthollow::stand_in::{StandInOptions, StandInServer};
use curranthollow::suspension::{SuspensionDeadline, suspended_time};

/// Timeout of test steps, long enough for a busy machine; reached only when a test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Entry whose settings and servers are set by the test.
pub struct TestEntry {
    pub context: Arc<EntryContext>,
    pub address: SocketAddr,
}

impl TestEntry {
    /// Starts an entry with one service per team. `teams` lists team names and service settings; a
    /// service matches paths that begin with the name of its team.
    pub async fn start(teams: &[(&str, &str)], limits: ProcessLimits) -> Self {
        let hello = HelloMessage {
            name: "e1".into(),
            role: ProcessRole::Entry,
            availability_zone: "a".into(),
            member: None,
        };
        let (events, _) = async_channel::bounded(16);
        let hub = LinkHub::new(LinkConfig { hello, region: "r".into() }, events);
        let (inbox, _) = async_channel::bounded(16);
        let (dropped, _) = async_channel::bounded(16);
        let context = EntryContext::new(ContextParts {
            name: "e1".into(),
            region: "r".into(),
            availability_zone: "a".into(),
            limits: HttpLimits::default(),
            max_caller_connections: 1000,
            claims: ClaimClient::new(hub, Vec::new(), 1),
            inbox,
            dropped,
            share: ProcessShare::with_limits(limits),
            session: 1,
        });
        context.publish(table(teams));
        let expires_at = Instant::now() + Duration::from_secs(3600);
        context.set_lease(Some(SuspensionDeadline::new(expires_at, suspended_time())));
        context.advance("ready");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        listen(Arc::clone(&context), listener);
        Self { context, address }
    }

    /// Returns the runtime of a team's service.
    pub fn runtime(&self, team: &str) -> Arc<ServiceRuntime> {
        self.context.table().runtime(team, "books").expect("the service exists")
    }

    /// Adds a server that is ready.
    pub fn add_server(&self, team: &str, server: &str, address: SocketAddr, slots: u32) {
        let announcement = ServerAnnouncement {
            team: team.into(),
            service: "books".into(),
            server: server.into(),
            address,
            availability_zone: "a".into(),
            region: "r".into(),
            slots,
            connections: 220,
            state: AnnouncedState::Ready,
            load: 0,
            incarnation: 1,
            sequence: 1,
        };
        self.runtime(team).update_server(Instant::now(), &announcement, LifeState::Ready);
    }
}

fn table(teams: &[(&str, &str)]) -> ServiceTable {
    let root = RootSettings::parse(r#"{ "defaults": {} }"#, 1).expect("the root is valid");
    let root = Arc::new(root);
    let mut parsed = BTreeMap::new();
    for (team, service) in teams {
        let text = format!(
            r#"{{ "team": "{team}", "services": {{ "books": {{
                "match": {{ "path_prefix": "/{team}" }},
                "policy": "least_in_flight", {service} }} }} }}"#
        );
        let settings = TeamSettings::parse(team, &text, &root).expect("the team is valid");
        parsed.insert((*team).into(), Arc::new(settings));
    }
    let tree = Arc::new(SettingsTree::assemble(1, root, parsed).expect("the tree is valid"));
    let mut table = ServiceTable { tree: Some(Arc::clone(&tree)), ..Default::default() };
    for (team, _) in teams {
        let identity = RuntimeIdentity {
            name: "e1".into(),
            availability_zone: "a".into(),
            seed: 1,
            outbox: Box::new(|_, _| ()),
        };
        let key = ServiceKey { team: (*team).into(), service: "books".into() };
        let settings = Arc::clone(tree.service(team, "books").expect("the service exists"));
        let runtime = ServiceRuntime::new(key, settings, identity, Instant::now());
        table.runtimes.entry((*team).into()).or_default().insert("books".into(), runtime);
    }
    table
}

/// Process limits that no test reaches.
pub fn ample_limits() -> ProcessLimits {
    ProcessLimits { queued: 1000, open: 1000, buffered_kib: 1024 * 1024 }
}

/// Starts a stand-in server that does not announce itself.
pub async fn stand_in() -> StandInServer {
    StandInServer::start(StandInOptions::default()).await.expect("a port is free")
}

/// Sends a request on a new connection and reads the response until the entry closes it.
pub async fn send(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the entry listens");
    stream.write_all(request).await.expect("the entry reads");
    read_all(&mut stream).await
}

/// Reads until the peer closes the connection.
pub async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let result = async_std::future::timeout(TEST_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    result.expect("the peer closes in time").expect("the connection is not reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Builds a GET request with `Connection: close`.
pub fn get(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").into_bytes()
}

/// Waits until `is_true` returns true; `what` names the condition in the error message.
pub async fn wait_until(what: &str, is_true: impl Fn() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !is_true() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        task::sleep(Duration::from_millis(2)).await;
    }
}
