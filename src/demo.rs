//! The `try` command: an entry, a control process and stand-in servers in one process on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::config::{LogLevel, PeerConfig, ProcessConfig, ProcessLimits, ProcessRole};
use crate::control::{ControlError, ControlListeners, ControlProcess};
use crate::entry::{EntryError, EntryListeners, EntryProcess};
use crate::generated::operator::{ChangeRequest, ChangeVerb, OutcomeName};
use crate::operator::{OperatorClient, OperatorError};
use crate::settings::token_sha256;
use crate::stand_in::{StandInOptions, StandInServer};

/// Token of the root branch.
pub const ROOT_TOKEN: &str = "try-root-token";

/// Token of the team's branch.
pub const TEAM_TOKEN: &str = "try-team-token";

/// Settings of the team.
const TEAM_DOCUMENT: &str = include_str!("demo_team.jsonc");

/// Number of stand-in servers of each service.
const SERVERS_PER_SERVICE: usize = 2;

/// Services with stand-in servers.
const SERVICES: [&str; 2] = ["hello", "booking"];

/// Maximum wait until the initial settings are accepted.
const SETTINGS_TIMEOUT: Duration = Duration::from_secs(20);

/// Why the demonstration cannot start.
#[derive(Debug, Error)]
pub enum DemoError {
    /// A socket or the data folder cannot be created.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The control process cannot start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// The entry cannot start.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// The request that creates the settings failed.
    #[error(transparent)]
    Settings(#[from] OperatorError),
    /// The control process refused the settings.
    #[error("settings refused: {0}")]
    Refused(Box<str>),
}

/// Running demonstration.
pub struct DemoSystem {
    control: ControlProcess,
    entry: EntryProcess,
    servers: Vec<StandInServer>,
    folder: PathBuf,
    /// Address for callers.
    pub traffic_address: SocketAddr,
    /// Operator address of the control process.
    pub operator_address: SocketAddr,
}

impl DemoSystem {
    /// Starts one control process, one entry and the stand-in servers.
    pub async fn start(port: u16) -> Result<Self, DemoError> {
        let traffic = listen(port)?;
        let entry_operator = listen(0)?;
        let entry_link = listen(0)?;
        let control_operator = listen(0)?;
        let control_link = listen(0)?;
        let folder = create_data_folder()?;
        let mut base = base_config(control_link.local_addr()?, entry_link.local_addr()?);
        base.traffic = Some(traffic.local_addr()?);
        let control_config = ProcessConfig {
            role: ProcessRole::Control,
            name: "control-1".into(),
            operator: control_operator.local_addr()?,
            link: control_link.local_addr()?,
            data_folder: Some(folder.clone()),
            root_token_sha256: Some(token_sha256(ROOT_TOKEN)),
            ..base.clone()
        };
        let entry_config = ProcessConfig {
            operator: entry_operator.local_addr()?,
            link: entry_link.local_addr()?,
            ..base
        };
        let (traffic_address, operator_address) =
            (traffic.local_addr()?, control_operator.local_addr()?);
        let listeners = ControlListeners { operator: control_operator, link: control_link };
        let control = ControlProcess::start(&control_config, listeners)?;
        let listeners = EntryListeners { traffic, operator: entry_operator, link: entry_link };
        let entry = EntryProcess::start(&entry_config, listeners)?;
        put_settings(operator_address).await?;
        let servers = start_servers(traffic_address).await?;
        Ok(Self { control, entry, servers, folder, traffic_address, operator_address })
    }

    /// Returns the stand-in servers.
    pub fn servers(&self) -> &[StandInServer] {
        &self.servers
    }

    /// Stops everything gracefully and removes the data folder.
    pub async fn stop(self) {
        self.entry.stop().await;
        self.control.stop().await;
        for server in &self.servers {
            server.stop().await;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn listen(port: u16) -> io::Result<TcpListener> {
    crate::listen::listen((Ipv4Addr::LOCALHOST, port).into())
}

fn create_data_folder() -> io::Result<PathBuf> {
    let name = format!("curranthollow-try-{}-{:08x}", std::process::id(), fastrand::u32(..));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn base_config(control_link: SocketAddr, entry_link: SocketAddr) -> ProcessConfig {
    ProcessConfig {
        role: ProcessRole::Entry,
        name: "entry-1".into(),
        region: "try".into(),
        availability_zone: "zone-1".into(),
        traffic: None,
        operator: entry_link,
        link: entry_link,
        control_peers: vec![PeerConfig { name: "control-1".into(), link: control_link }],
        entry_peers: vec![PeerConfig { name: "entry-1".into(), link: entry_link }],
        data_folder: None,
        root_token_sha256: None,
        traffic_threads: 2,
        shutdown_delay: Duration::ZERO,
        shutdown_limit: Duration::from_secs(60),
        log_level: LogLevel::Info,
        limits: ProcessLimits {
            open_connections: 1000,
            head_size: 32 << 10,
            buffer_size: 64 << 10,
        },
    }
}

async fn put_settings(operator_address: SocketAddr) -> Result<(), DemoError> {
    let client =
        OperatorClient::new(vec![operator_address], Some(ROOT_TOKEN.into()), SETTINGS_TIMEOUT);
    let change = ChangeRequest {
        action: ChangeVerb::Create,
        base_version: 0,
        branch: "try".into(),
        change_id: "try-1".into(),
        document: Some(TEAM_DOCUMENT.into()),
        team_token_sha256: Some(token_sha256(TEAM_TOKEN).into()),
    };
    let reply = client.change(&change).await?;
    if reply.outcome != OutcomeName::Accepted {
        let reason = reply.reason.unwrap_or_default();
        let errors: Vec<_> = reply
            .errors
            .iter()
            .map(|error| {
                format!("{}:{}: {}: {}", error.line, error.column, error.path, error.message)
            })
            .collect();
        return Err(DemoError::Refused(format!("{reason} {}", errors.join("; ")).into()));
    }
    Ok(())
}

async fn start_servers(entry_address: SocketAddr) -> io::Result<Vec<StandInServer>> {
    let mut servers = Vec::new();
    for service in SERVICES {
        for number in 1..=SERVERS_PER_SERVICE {
            let options = StandInOptions {
                team: "try".into(),
                service: service.into(),
                server: format!("{service}-{number}").into(),
                availability_zone: "zone-1".into(),
                entries: vec![entry_address],
                token: TEAM_TOKEN.into(),
                ..StandInOptions::default()
            };
            servers.push(StandInServer::start(options).await?);
        }
    }
    Ok(servers)
}
