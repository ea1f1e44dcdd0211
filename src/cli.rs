//! Command line of the `curranthollow` binary.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use crate::units::parse_duration;

/// Load balancer for servers whose load shifts in milliseconds.
///
/// Exit codes: 0 success, 1 failure, 2 invalid input, 3 refused, 4 outcome unknown.
#[derive(Debug, Parser)]
#[command(name = "curranthollow", version, disable_help_subcommand = true)]
pub struct CliArguments {
    /// Command to run.
    #[command(subcommand)]
    pub command: CliCommand,
}

/// Subcommands of the binary.
#[derive(Debug, Subcommand)]
pub enum CliCommand {
    /// Run an entry process, which forwards callers' requests to servers.
    Entry(DaemonArguments),
    /// Run a control process, which stores settings and claims.
    Control(DaemonArguments),
    /// Run a fleet process, which finds its members through seeds and routes by host and path.
    Fleet(DaemonArguments),
    /// Run an entry, a control process and stand-in servers in one process on loopback.
    Try(TryArguments),
    /// Validate a process configuration or a settings document.
    Check {
        /// File to validate.
        file: PathBuf,
    },
    /// Read or change settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Show the control members, claim groups, entries and servers.
    Status(StatusArguments),
    /// Print the state of one process as JSON.
    Dump {
        /// Operator address of the process.
        address: SocketAddr,
    },
    /// Explain where an entry of fleet mode would send a request now, and why, without sending it.
    Explain(ExplainArguments),
}

/// Arguments of the commands that run a daemon.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// Configuration file of the process.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Arguments of `try`.
#[derive(Debug, Args)]
pub struct TryArguments {
    /// Port for callers; 0 picks a free port.
    #[arg(long, default_value_t = 0)]
    pub port: u16,
}

/// Connection of a client command to the control processes.
#[derive(Debug, Args)]
pub struct ControlArguments {
    /// Operator addresses of control processes, separated by commas; the client finds the leader.
    #[arg(
        long,
        env = "CURRANTHOLLOW_CONTROL",
        value_delimiter = ',',
        default_value = "127.0.0.1:7411,127.0.0.1:7421,127.0.0.1:7431"
    )]
    pub control: Vec<SocketAddr>,
    /// Maximum wait for an outcome.
    #[arg(long, value_parser = parse_duration_argument, default_value = "30s")]
    pub timeout: Duration,
}

/// Arguments of `explain`.
#[derive(Debug, Args)]
pub struct ExplainArguments {
    /// Metrics address of the entry.
    pub address: SocketAddr,
    /// Host of the request.
    pub host: Box<str>,
    /// Path of the request.
    pub path: Box<str>,
    /// Tenant of the caller. Keys are never asked for.
    #[arg(long)]
    pub tenant: Option<Box<str>>,
    /// Time that the caller waits, for example `2s`.
    #[arg(long, value_parser = parse_duration_argument)]
    pub timeout: Option<Duration>,
    /// Print JSON instead of text.
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// Connection to the control processes.
    #[command(flatten)]
    pub control: ControlArguments,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Token that authorizes access to a branch.
#[derive(Debug, Args)]
pub struct TokenArguments {
    /// Token of the branch, or the root token.
    #[arg(long, env = "CURRANTHOLLOW_TOKEN", hide_env_values = true)]
    pub token: Box<str>,
}

/// Subcommands of `settings`.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Print the document of a branch, or the effective values of one service.
    Get {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Print every effective value of this service and its origin.
        #[arg(long, value_name = "SERVICE")]
        effective: Option<Box<str>>,
        /// Token of the branch.
        #[command(flatten)]
        token: TokenArguments,
        /// Connection to the control processes.
        #[command(flatten)]
        control: ControlArguments,
    },
    /// Replace the document of a branch, or create a branch.
    Put {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Settings document.
        file: PathBuf,
        /// Version that the change is based on; 0 for a new branch.
        #[arg(long)]
        base: u64,
        /// Unique id of this change, reused when the change is resent. Random if omitted.
        #[arg(long)]
        change_id: Option<Box<str>>,
        /// Create the branch, with the token in this environment variable.
        #[arg(long, value_name = "VARIABLE")]
        create_with_token_from: Option<Box<str>>,
        /// Token of the branch.
        #[command(flatten)]
        token: TokenArguments,
        /// Connection to the control processes.
        #[command(flatten)]
        control: ControlArguments,
    },
    /// Print the retained versions of a branch.
    History {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Token of the branch.
        #[command(flatten)]
        token: TokenArguments,
        /// Connection to the control processes.
        #[command(flatten)]
        control: ControlArguments,
    },
    /// Print each new version of a branch until interrupted.
    Watch {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Exit after this many versions.
        #[arg(long)]
        count: Option<u64>,
        /// Token of the branch.
        #[command(flatten)]
        token: TokenArguments,
        /// Connection to the control processes.
        #[command(flatten)]
        control: ControlArguments,
    },
}

/// The argument is not a duration.
#[derive(Debug, thiserror::Error)]
#[error("expected a duration with a unit, such as 500ms, 30s or 2m")]
struct InvalidDuration;

fn parse_duration_argument(text: &str) -> Result<Duration, InvalidDuration> {
    parse_duration(text).ok_or(InvalidDuration)
}
