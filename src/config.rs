//! Configuration of one process, validated before the process starts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::generated::config::{PeerAddress, ProcessDocument};
use crate::ids::{ProcessName, RegionName, ZoneName};
use crate::schema::{DocumentSchema, MAX_DOCUMENT_BYTES, SchemaError, ValidatedDocument};
use crate::units::{format_size, parse_duration, parse_size};

pub use crate::generated::config::{LogLevel, ProcessRole};

/// Default number of traffic threads of an entry.
const DEFAULT_TRAFFIC_THREADS: u32 = 2;

/// Default delay before a stopping entry refuses connections.
const DEFAULT_SHUTDOWN_DELAY: Duration = Duration::from_secs(5);

/// Default time from the stop signal until an entry has answered all callers; longer than the deadlines of
/// ordinary settings, so that requests in progress can finish.
const DEFAULT_SHUTDOWN_LIMIT: Duration = Duration::from_secs(15 * 60);

/// Minimum time between the end of the shutdown delay and that of the shutdown limit.
const MIN_FINISHING_TIME: Duration = Duration::from_secs(2);

/// Default maximum number of open caller connections.
const DEFAULT_OPEN_CONNECTIONS: u32 = 20_000;

/// Default maximum size in bytes of a request or response head.
const DEFAULT_HEAD_SIZE: u64 = 32 * 1024;

/// Default size in bytes of the buffer of one direction of a connection.
const DEFAULT_BUFFER_SIZE: u64 = 64 * 1024;

/// Configuration of one entry or control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessConfig {
    pub role: ProcessRole,
    pub name: ProcessName,
    pub region: RegionName,
    pub availability_zone: ZoneName,
    /// Listen address for callers; always set for an entry.
    pub traffic: Option<SocketAddr>,
    /// Listen address for the operator's HTTP interface.
    pub operator: SocketAddr,
    /// Listen address for links from other processes.
    pub link: SocketAddr,
    /// All control processes, sorted by name.
    pub control_peers: Vec<PeerConfig>,
    /// All entries, sorted by name.
    pub entry_peers: Vec<PeerConfig>,
    /// Folder of the replicated logs; always set for a control process.
    pub data_folder: Option<PathBuf>,
    /// SHA-256 of the root token in hex; always set for a control process.
    pub root_token_sha256: Option<Box<str>>,
    pub traffic_threads: u32,
    /// Time for which a stopping entry fails health checks before it refuses connections.
    pub shutdown_delay: Duration,
    /// Time from the stop signal until an entry has answered all callers.
    pub shutdown_limit: Duration,
    pub log_level: LogLevel,
    pub limits: ProcessLimits,
}

/// Name and link address of a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerConfig {
    pub name: ProcessName,
    pub link: SocketAddr,
}

/// Resource limits of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Maximum number of open caller connections.
    pub open_connections: u32,
    /// Maximum size in bytes of a request or response head.
    pub head_size: u64,
    /// Size in bytes of the buffer of one direction of a connection.
    pub buffer_size: u64,
}

/// Error in a configuration file.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    #[error("cannot read {}: {error}", file.display())]
    Unreadable { file: PathBuf, error: std::io::Error },
    #[error("{} configures {found}, but {expected} was started", file.display())]
    RoleMismatch { file: PathBuf, expected: ProcessRole, found: ProcessRole },
    #[error("{}", format_errors(file, errors))]
    Invalid { file: PathBuf, errors: Vec<SchemaError> },
}

fn format_errors(file: &Path, errors: &[SchemaError]) -> String {
    let lines: Vec<String> =
        errors.iter().map(|error| format!("{}:{error}", file.display())).collect();
    lines.join("\n")
}

impl ProcessConfig {
    /// Loads the configuration file of a daemon with the given role.
    pub fn load(file: &Path, role: ProcessRole) -> Result<Self, ConfigError> {
        let text = read_document(file)
            .map_err(|error| ConfigError::Unreadable { file: file.to_owned(), error })?;
        let config = Self::parse(&text)
            .map_err(|errors| ConfigError::Invalid { file: file.to_owned(), errors })?;
        if config.role != role {
            let (file, found) = (file.to_owned(), config.role);
            return Err(ConfigError::RoleMismatch { file, expected: role, found });
        }
        Ok(config)
    }

    /// Parses and validates a configuration.
    pub fn parse(text: &str) -> Result<Self, Vec<SchemaError>> {
        let document = DocumentSchema::process().validate(text, "")?;
        let process_document: ProcessDocument =
            document.deserialize().map_err(|error| vec![error])?;
        let config = Self::from_document(process_document);
        let errors = ConsistencyCheck::run(&config, &document);
        if errors.is_empty() { Ok(config) } else { Err(errors) }
    }

    /// Returns the peers with the role of this process, including itself.
    pub fn own_peers(&self) -> &[PeerConfig] {
        match self.role {
            ProcessRole::Entry => &self.entry_peers,
            ProcessRole::Control => &self.control_peers,
        }
    }

    fn from_document(process_document: ProcessDocument) -> Self {
        let limits = process_document.limits.as_ref();
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
        let delay = process_document.shutdown_delay.as_deref().and_then(parse_duration);
        let shutdown_limit = process_document.shutdown_limit.as_deref().and_then(parse_duration);
        Self {
            role: process_document.role,
            name: process_document.name.into(),
            region: process_document.region.into(),
            availability_zone: process_document.availability_zone.into(),
            traffic: process_document.listen.traffic.as_deref().map(parse_address),
            operator: parse_address(&process_document.listen.operator),
            link: parse_address(&process_document.listen.link),
            control_peers: sorted_peers(&process_document.control_peers),
            entry_peers: sorted_peers(&process_document.entry_peers),
            data_folder: process_document.data_folder.map(PathBuf::from),
            root_token_sha256: process_document.root_token_sha256.map(Into::into),
            traffic_threads: process_document
                .traffic_threads
                .map_or(DEFAULT_TRAFFIC_THREADS, |count| count.get() as u32),
            shutdown_delay: delay.unwrap_or(DEFAULT_SHUTDOWN_DELAY),
            shutdown_limit: shutdown_limit.unwrap_or(DEFAULT_SHUTDOWN_LIMIT),
            log_level: process_document.log_level.unwrap_or(LogLevel::Info),
            limits,
        }
    }
}

/// Reads a document, truncated one byte beyond the size limit, so that the validator refuses a file
/// that is too large.
pub(crate) fn read_document(file: &Path) -> std::io::Result<String> {
    use std::io::Read;
    let mut text = String::new();
    let limit = MAX_DOCUMENT_BYTES as u64 + 1;
    std::fs::File::open(file)?.take(limit).read_to_string(&mut text)?;
    Ok(text)
}

fn parse_address(text: &str) -> SocketAddr {
    text.parse().expect("the schema allows only valid addresses")
}

fn sorted_peers(documents: &[PeerAddress]) -> Vec<PeerConfig> {
    let mut peers = Vec::new();
    for peer in documents {
        peers.push(PeerConfig { name: peer.name.as_str().into(), link: parse_address(&peer.link) });
    }
    peers.sort();
    peers
}

/// Finds values that are each valid but inconsistent with each other.
struct ConsistencyCheck<'c> {
    config: &'c ProcessConfig,
    document: &'c ValidatedDocument,
    errors: Vec<SchemaError>,
}

impl<'c> ConsistencyCheck<'c> {
    fn run(config: &'c ProcessConfig, document: &'c ValidatedDocument) -> Vec<SchemaError> {
        let mut check = Self { config, document, errors: Vec::new() };
        check.check_role();
        check.check_listen_addresses();
        check.check_peers();
        check.check_own_peer();
        check.check_limits();
        check.check_shutdown();
        check.errors.sort_by_key(|error| (error.line, error.column));
        check.errors
    }

    fn report(&mut self, path: &str, message: impl Into<Box<str>>) {
        self.errors.push(self.document.error_at(path, message));
    }

    fn check_role(&mut self) {
        let is_control = self.config.role == ProcessRole::Control;
        let allowed_keys = [
            ("listen.traffic", !is_control),
            ("traffic_threads", !is_control),
            ("data_folder", is_control),
            ("root_token_sha256", is_control),
        ];
        let role = self.config.role;
        for (path, is_allowed) in allowed_keys {
            let pointer = format!("/{}", path.replace('.', "/"));
            let is_present = self.document.value().pointer(&pointer).is_some();
            if is_present && !is_allowed {
                self.report(path, format!("this key is not allowed for {role}"));
            }
            let is_required = is_allowed && path != "traffic_threads";
            if !is_present && is_required {
                self.report(path, format!("this key is required for {role}"));
            }
        }
    }

    fn check_listen_addresses(&mut self) {
        let config = self.config;
        let mut listen = vec![("listen.link", config.link), ("listen.operator", config.operator)];
        listen.extend(config.traffic.map(|address| ("listen.traffic", address)));
        for (position, (path, address)) in listen.iter().enumerate() {
            for (other_path, other_address) in &listen[..position] {
                if addresses_conflict(*address, *other_address) {
                    self.report(path, format!("{address} is also used by {other_path}"));
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
                let link = parse_address(&row.link);
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
            // An even number of members tolerates no more failures than one member fewer.
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
        if !addresses_conflict(own.link, config.link) {
            let message = format!("listens on {}, but its peers use {}", config.link, own.link);
            self.report("listen.link", message);
        }
    }

    fn check_shutdown(&mut self) {
        let minimum = self.config.shutdown_delay + MIN_FINISHING_TIME;
        if self.config.shutdown_limit < minimum {
            let message = format!("expected at least shutdown_delay and 2s, {minimum:?}");
            self.report("shutdown_limit", message);
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

/// Returns whether two listen addresses conflict; an unspecified IP address conflicts with all.
fn addresses_conflict(left: SocketAddr, right: SocketAddr) -> bool {
    let same_host =
        left.ip() == right.ip() || left.ip().is_unspecified() || right.ip().is_unspecified();
    same_host && left.port() == right.port()
}
