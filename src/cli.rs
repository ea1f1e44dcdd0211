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
    /// What to do.
    #[command(subcommand)]
    pub command: CliCommand,
}

/// Commands of the binary.
#[derive(Debug, Subcommand)]
pub enum CliCommand {
    /// Run a traffic process.
    Entry(DaemonArguments),
    /// Run a settings and claims process.
    Control(DaemonArguments),
    /// Run a process of a fleet: members found from seeds, routes by host and path.
    Fleet(DaemonArguments),
    /// Run all roles in one process on loopback, with stand-in servers.
    Try(TryArguments),
    /// Validate a process config or a settings document.
    Check {
        /// File to check.
        file: PathBuf,
    },
    /// Read and change settings.
    #[command(subcommand)]
    Settings(SettingsCommand),
    /// Show what runs where.
    Status(StatusArguments),
    /// Print the state of one process as JSON.
    Dump {
        /// Operator address of the process.
        address: SocketAddr,
    },
}

/// Arguments of both daemons.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// Config file of the process.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
}

/// Arguments of `try`.
#[derive(Debug, Args)]
pub struct TryArguments {
    /// Port for callers; 0 takes a free one.
    #[arg(long, default_value_t = 0)]
    pub port: u16,
}

/// Where the operator's client connects to.
#[derive(Debug, Args)]
pub struct ControlArguments {
    /// Operator addresses of control processes, separated by commas; the leader is found among them.
    #[arg(
        long,
        env = "CURRANTHOLLOW_CONTROL",
        value_delimiter = ',',
        default_value = "127.0.0.1:7411,127.0.0.1:7421,127.0.0.1:7431"
    )]
    pub control: Vec<SocketAddr>,
    /// Longest wait for an outcome.
    #[arg(long, value_parser = duration_argument, default_value = "30s")]
    pub timeout: Duration,
}

/// Arguments of `status`.
#[derive(Debug, Args)]
pub struct StatusArguments {
    /// Where to connect to.
    #[command(flatten)]
    pub control: ControlArguments,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub json: bool,
}

/// Token for one branch.
#[derive(Debug, Args)]
pub struct TokenArguments {
    /// Token of the branch, or the root token.
    #[arg(long, env = "CURRANTHOLLOW_TOKEN", hide_env_values = true)]
    pub token: Box<str>,
}

/// Commands on settings.
#[derive(Debug, Subcommand)]
pub enum SettingsCommand {
    /// Print the document of a branch, or the effective values of one service.
    Get {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Print every value of this service and where it comes from.
        #[arg(long, value_name = "SERVICE")]
        effective: Option<Box<str>>,
        /// Token.
        #[command(flatten)]
        token: TokenArguments,
        /// Where to connect to.
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
        /// Unique text for this change; resend with the same one. Made at random when left out.
        #[arg(long)]
        change_id: Option<Box<str>>,
        /// Create the branch; its token is read from this environment variable.
        #[arg(long, value_name = "VARIABLE")]
        create_with_token_from: Option<Box<str>>,
        /// Token.
        #[command(flatten)]
        token: TokenArguments,
        /// Where to connect to.
        #[command(flatten)]
        control: ControlArguments,
    },
    /// Print the kept versions of a branch.
    History {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Token.
        #[command(flatten)]
        token: TokenArguments,
        /// Where to connect to.
        #[command(flatten)]
        control: ControlArguments,
    },
    /// Print each new version of a branch until interrupted.
    Watch {
        /// `root` or the name of a team.
        branch: Box<str>,
        /// Stop after this many versions.
        #[arg(long)]
        count: Option<u64>,
        /// Token.
        #[command(flatten)]
        token: TokenArguments,
        /// Where to connect to.
        #[command(flatten)]
        control: ControlArguments,
    },
}

/// An argument is not a duration.
#[derive(Debug, thiserror::Error)]
#[error("expected a duration with a unit, such as 500ms, 30s or 2m")]
struct DurationError;

fn duration_argument(text: &str) -> Result<Duration, DurationError> {
    parse_duration(text).ok_or(DurationError)
}
