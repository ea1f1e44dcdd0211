//! Config of one process, validated before anything starts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::generated::config::{PeerAddress, ProcessDocument};
use crate::ids::{ProcessName, RegionName, ZoneName};
use crate::schema::{DocumentSchema, MAX_DOCUMENT_BYTES, SchemaError, ValidatedDocument};
use crate::units::{format_size, parse_duration, parse_size};

pub use crate::generated::config::{LogLevel, ProcessRole};

/// Traffic threads of an entry when the config states none.
const DEFAULT_TRAFFIC_THREADS: u32 = 2;

/// Delay before a stopping entry refuses connections when the config states none.
const DEFAULT_SHUTDOWN_DELAY: Duration = Duration::from_secs(5);

/// Caller connections open at once when the config states none.
const DEFAULT_OPEN_CONNECTIONS: u32 = 20_000;

/// Largest head in bytes when the config states none.
const DEFAULT_HEAD_SIZE: u64 = 32 * 1024;

/// Buffer of one direction of a connection in bytes when the config states none.
const DEFAULT_BUFFER_SIZE: u64 = 64 * 1024;

/// Config of one entry or control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessConfig {
    pub role: ProcessRole,
    pub name: ProcessName,
    pub region: RegionName,
    pub zone: ZoneName,
    /// Listen address for callers; always set for an entry.
    pub traffic: Option<SocketAddr>,
    /// Listen address for the operator's HTTP interface.
    pub operator: SocketAddr,
    /// Listen address for links from other processes.
    pub link: SocketAddr,
    /// Every control process, sorted by name.
    pub control_peers: Vec<PeerConfig>,
    /// Every entry, sorted by name.
    pub entry_peers: Vec<PeerConfig>,
    /// Always set for control.
    pub data_folder: Option<PathBuf>,
    /// SHA-256 of the root token in hex; always set for control.
    pub root_token_sha256: Option<Box<str>>,
    pub traffic_threads: u32,
    /// Time the health page fails before a stopping entry refuses connections.
    pub shutdown_delay: Duration,
    pub log_level: LogLevel,
    pub limits: ProcessLimits,
}

/// Name and link address of one process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerConfig {
    pub name: ProcessName,
    pub link: SocketAddr,
}

/// Limits of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Caller connections open at once.
    pub open_connections: u32,
    /// Largest request or response head in bytes.
    pub head_size: u64,
    /// Buffer of one direction of a connection in bytes.
    pub buffer_size: u64,
}

/// Why a config file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("cannot read {}: {error}", file.display())]
    Unreadable { file: PathBuf, error: std::io::Error },
    #[error("{} configures {found}, but {expected} was started", file.display())]
    OtherRole { file: PathBuf, expected: ProcessRole, found: ProcessRole },
    #[error("{}", lines(file, errors))]
    Invalid { file: PathBuf, errors: Vec<SchemaError> },
}

fn lines(file: &Path, errors: &[SchemaError]) -> String {
    let lines: Vec<String> =
        errors.iter().map(|error| format!("{}:{error}", file.display())).collect();
    lines.join("\n")
}

impl ProcessConfig {
    /// Loads the config file of a daemon.
    pub fn load(file: &Path, role: ProcessRole) -> Result<Self, ConfigError> {
        let text = read_document(file)
            .map_err(|error| ConfigError::Unreadable { file: file.to_owned(), error })?;
        let config = Self::parse(&text)
            .map_err(|errors| ConfigError::Invalid { file: file.to_owned(), errors })?;
        if config.role != role {
            let (file, found) = (file.to_owned(), config.role);
            return Err(ConfigError::OtherRole { file, expected: role, found });
        }
        Ok(config)
    }

    /// Reads and checks a config.
    pub fn parse(text: &str) -> Result<Self, Vec<SchemaError>> {
        let document = DocumentSchema::process().validate(text, "")?;
        let typed: ProcessDocument = document.deserialize().map_err(|error| vec![error])?;
        let config = Self::convert(typed);
        let errors = ConfigCheck::run(&config, &document);
        if errors.is_empty() { Ok(config) } else { Err(errors) }
    }

    /// Peers with the role of this process, itself included.
    pub fn own_peers(&self) -> &[PeerConfig] {
        match self.role {
            ProcessRole::Entry => &self.entry_peers,
            ProcessRole::Control => &self.control_peers,
        }
    }

    fn convert(typed: ProcessDocument) -> Self {
        let limits = typed.limits.as_ref();
        let open_connections = limits.and_then(|limits| limits.open_connections);
        let head_size = limits.and_then(|limits| limits.head_size.as_deref()).and_then(parse_size);
        let buffer_size =
            limits.and_then(|limits| limits.buffer_size.as_deref()).and_then(parse_size);
        let limits = ProcessLimits {
            open_connections: open_connections
                .map_or(DEFAULT_OPEN_CONNECTIONS, |count| count.get() as u32),
            head_size: head_size.unwrap_or(DEFAULT_HEAD_SIZE),
            buffer_size: buffer_size.unwrap_or(DEFAULT_BUFFER_SIZE),
        };
        let delay = typed.shutdown_delay.as_deref().and_then(parse_duration);
        Self {
            role: typed.role,
            name: typed.name.into(),
            region: typed.region.into(),
            zone: typed.availability_zone.into(),
            traffic: typed.listen.traffic.as_deref().map(address),
            operator: address(&typed.listen.operator),
            link: address(&typed.listen.link),
            control_peers: peers(&typed.control_peers),
            entry_peers: peers(&typed.entry_peers),
            data_folder: typed.data_folder.map(PathBuf::from),
            root_token_sha256: typed.root_token_sha256.map(Into::into),
            traffic_threads: typed
                .traffic_threads
                .map_or(DEFAULT_TRAFFIC_THREADS, |count| count.get() as u32),
            shutdown_delay: delay.unwrap_or(DEFAULT_SHUTDOWN_DELAY),
            log_level: typed.log_level.unwrap_or(LogLevel::Info),
            limits,
        }
    }
}

/// Reads a document; a file beyond the limit is cut just after it, so that the validator refuses it.
pub(crate) fn read_document(file: &Path) -> std::io::Result<String> {
    use std::io::Read;
    let mut text = String::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    std::fs::File::open(file)?.take(limit).read_to_string(&mut text)?;
    Ok(text)
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("the schema allows valid addresses only")
}

fn peers(documents: &[PeerAddress]) -> Vec<PeerConfig> {
    let mut peers = Vec::new();
    for peer in documents {
        peers.push(PeerConfig { name: peer.name.as_str().into(), link: address(&peer.link) });
    }
    peers.sort();
    peers
}

/// Finds values that contradict each other.
struct ConfigCheck<'c> {
    config: &'c ProcessConfig,
    document: &'c ValidatedDocument,
    errors: Vec<SchemaError>,
}

impl<'c> ConfigCheck<'c> {
    fn run(config: &'c ProcessConfig, document: &'c ValidatedDocument) -> Vec<SchemaError> {
        let mut check = Self { config, document, errors: Vec::new() };
        check.check_role();
        check.check_listen();
        check.check_peers();
        check.check_own_peer();
        check.check_limits();
        check.errors.sort_by_key(|error| (error.line, error.column));
        check.errors
    }

    fn report(&mut self, path: &str, message: impl Into<Box<str>>) {
        self.errors.push(self.document.error_at(path, message));
    }

    fn check_role(&mut self) {
        let control = self.config.role == ProcessRole::Control;
        let rows = [
            ("listen.traffic", !control),
            ("traffic_threads", !control),
            ("data_folder", control),
            ("root_token_sha256", control),
        ];
        let role = self.config.role;
        for (path, allowed) in rows {
            let pointer = format!("/{}", path.replace('.', "/"));
            let given = self.document.value().pointer(&pointer).is_some();
            if given && !allowed {
                self.report(path, format!("this key is not allowed for {role}"));
            }
            let required = allowed && path != "traffic_threads";
            if !given && required {
                self.report(path, format!("this key is required for {role}"));
            }
        }
    }

    fn check_listen(&mut self) {
        let config = self.config;
        let mut listen = vec![("listen.link", config.link), ("listen.operator", config.operator)];
        listen.extend(config.traffic.map(|address| ("listen.traffic", address)));
        for (position, (path, address)) in listen.iter().enumerate() {
            for (other, taken) in &listen[..position] {
                if overlaps(*address, *taken) {
                    self.report(path, format!("{address} is also used by {other}"));
                }
            }
        }
        for peer in config.control_peers.iter().chain(&config.entry_peers) {
            for (path, address) in &listen {
                if peer.name != config.name && *address == peer.link {
                    self.report(path, format!("{address} is the link address of {}", peer.name));
                }
            }
        }
    }

    fn check_peers(&mut self) {
        let mut names = BTreeSet::new();
        let mut links = BTreeSet::new();
        for list in ["control_peers", "entry_peers"] {
            let value = self.document.value();
            let rows: Vec<PeerAddress> =
                serde_json::from_value(value[list].clone()).unwrap_or_default();
            for (position, row) in rows.iter().enumerate() {
                let link = address(&row.link);
                if !names.insert(row.name.clone()) {
                    let message = format!("peer `{}` is given twice", row.name);
                    self.report(&format!("{list}[{position}].name"), message);
                }
                if !links.insert(link) {
                    let message = format!("{link} is given for two peers");
                    self.report(&format!("{list}[{position}].link"), message);
                }
                if link.ip().is_unspecified() {
                    let message = "expected an address that other processes can reach";
                    self.report(&format!("{list}[{position}].link"), message);
                }
            }
        }
        let members = self.config.control_peers.len();
        if members.is_multiple_of(2) {
            // An even number survives no more losses than the odd number below it.
            let message = format!("expected an odd number of control processes, found {members}");
            self.report("control_peers", message);
        }
    }

    fn check_own_peer(&mut self) {
        let config = self.config;
        let own = config.own_peers().iter().find(|peer| peer.name == config.name);
        let Some(own) = own else {
            let message = format!("`{}` is missing from the list of its own peers", config.name);
            self.report("name", message);
            return;
        };
        if !overlaps(own.link, config.link) {
            let message = format!("listens on {}, but its peers use {}", config.link, own.link);
            self.report("listen.link", message);
        }
    }

    fn check_limits(&mut self) {
        let limits = &self.config.limits;
        if limits.head_size > limits.buffer_size {
            let message = format!(
                "expected at most buffer_size ({}), found {}",
                format_size(limits.buffer_size),
                format_size(limits.head_size)
            );
            self.report("limits.head_size", message);
        }
    }
}

/// Tells whether two addresses share a port on one IP address; an unspecified address covers all.
fn overlaps(left: SocketAddr, right: SocketAddr) -> bool {
    let covered =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    covered && left.port() == right.port()
}
