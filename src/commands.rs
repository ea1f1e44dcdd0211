//! Implementation of the subcommands.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use async_global_executor::GlobalExecutorConfig;
use async_std::task;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::check::check_file;
use crate::cli::{
    CliCommand, ControlArguments, ExplainArguments, SettingsCommand, StatusArguments,
    TokenArguments,
};
use crate::config::{ConfigError, LogLevel, ProcessConfig, ProcessRole};
use crate::control::{ControlListeners, ControlProcess};
use crate::demo::DemoSystem;
use crate::entry::{EntryListeners, EntryProcess};
use crate::fleet::explain::{EXPLAIN_PATH, ExplainQuery, SendExplanation};
use crate::fleet::{self, native::NativeDialect};
use crate::generated::operator::{ChangeReply, ChangeRequest, ChangeVerb, OutcomeName};
use crate::http::{HeaderList, send_request};
use crate::life_cycle::StateChart;
use crate::logging;
use crate::operator::{OperatorClient, OperatorError};
use crate::settings::token_sha256;
use crate::status::SystemStatus;
use crate::table::render_status;

/// Exit code for invalid input, such as a configuration with errors.
const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code for a refused request.
const EXIT_REFUSED: u8 = 3;

/// Exit code for a change whose outcome is unknown.
const EXIT_OUTCOME_UNKNOWN: u8 = 4;

/// Interval at which the stop-signal count is polled.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of the request that `dump` or `explain` sends to one process.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a subcommand.
pub fn run(command: CliCommand) -> Result<ExitCode> {
    match command {
        CliCommand::Entry(arguments) => run_entry(&arguments.config),
        CliCommand::Control(arguments) => run_control(&arguments.config),
        CliCommand::Fleet(arguments) => run_fleet(&arguments.config),
        CliCommand::Try(arguments) => run_try(arguments.port),
        CliCommand::Check { file } => run_check(&file),
        CliCommand::Settings(command) => task::block_on(run_settings(command)),
        CliCommand::Status(arguments) => task::block_on(run_status(arguments)),
        CliCommand::Dump { address } => task::block_on(run_dump(address)),
        CliCommand::Explain(arguments) => task::block_on(run_explain(arguments)),
    }
}

fn run_fleet(path: &Path) -> Result<ExitCode> {
    let config = fleet::file::read_config(path)?;
    let path = path.to_owned();
    let reader = Box::new(move || fleet::file::read_config(&path).ok());
    fleet::process::run(config, Rc::new(NativeDialect), reader)?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the exit code for an error.
pub fn exit_code_of(error: &anyhow::Error) -> ExitCode {
    if error.is::<ConfigError>() {
        return ExitCode::from(EXIT_INVALID_INPUT);
    }
    match error.downcast_ref::<OperatorError>() {
        Some(OperatorError::Refused { .. }) => ExitCode::from(EXIT_REFUSED),
        Some(OperatorError::OutcomeUnknown(_)) => ExitCode::from(EXIT_OUTCOME_UNKNOWN),
        _ => ExitCode::FAILURE,
    }
}

/// Counts SIGINT and SIGTERM; the second signal terminates the process immediately.
struct StopSignals {
    count: Arc<AtomicUsize>,
}

impl StopSignals {
    fn install() -> Result<Self> {
        let count = Arc::new(AtomicUsize::new(0));
        let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM])?;
        let signal_count = Arc::clone(&count);
        std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
            for signal in signals.forever() {
                if signal_count.fetch_add(1, Ordering::SeqCst) > 0 {
                    log::warn!(signal; "second stop signal received, exiting immediately");
                    std::process::exit(1);
                }
                log::info!(signal; "stop signal received, shutting down");
            }
        })?;
        Ok(Self { count })
    }

    async fn wait(&self) {
        while self.count.load(Ordering::SeqCst) == 0 {
            task::sleep(SIGNAL_POLL_INTERVAL).await;
        }
    }
}

/// Keeps SIGHUP, by which operators ask many daemons for a reload, from ending the process. The config
/// is read only at the start, and settings arrive from the control processes.
fn ignore_hang_ups() -> Result<()> {
    let mut signals = signal_hook::iterator::Signals::new([SIGHUP])?;
    std::thread::Builder::new().name("hang-ups".to_owned()).spawn(move || {
        for signal in signals.forever() {
            log::warn!(signal; "SIGHUP ignored; the config is read only at the start");
        }
    })?;
    Ok(())
}

/// Executor threads of a control process; consensus and storage have dedicated threads.
const CONTROL_EXECUTOR_THREADS: u32 = 2;

fn init_logging(level: LogLevel) {
    logging::init(match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    });
}

/// Starts the executor with a fixed number of threads; must be called before any task is spawned.
///
/// By default, async-std starts one thread per processor on its first use, and each I/O event wakes
/// several of them.
pub fn init_executor(threads: u32) {
    let threads = threads as usize;
    let config = GlobalExecutorConfig::default()
        .with_env_var("ASYNC_STD_THREAD_COUNT")
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| "traffic".to_owned());
    async_global_executor::init_with_config(config);
}

fn run_entry(file: &Path) -> Result<ExitCode> {
    StateChart::check_all()?;
    let config = ProcessConfig::load(file, ProcessRole::Entry)?;
    init_executor(config.traffic_threads);
    init_logging(config.log_level);
    let stop_signals = StopSignals::install()?;
    ignore_hang_ups()?;
    task::block_on(async {
        let entry = EntryProcess::start(&config, EntryListeners::bind(&config)?)?;
        log::info!(name:% = config.name; "entry started");
        stop_signals.wait().await;
        entry.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn run_control(file: &Path) -> Result<ExitCode> {
    StateChart::check_all()?;
    let config = ProcessConfig::load(file, ProcessRole::Control)?;
    init_logging(config.log_level);
    init_executor(CONTROL_EXECUTOR_THREADS);
    let stop_signals = StopSignals::install()?;
    ignore_hang_ups()?;
    task::block_on(async {
        let control = ControlProcess::start(&config, ControlListeners::bind(&config)?)?;
        log::info!(name:% = config.name; "control process started");
        let stopped = stop_signals.wait();
        let failed = control.failed();
        futures_util::pin_mut!(stopped, failed);
        if let futures_util::future::Either::Right((Some(error), _)) =
            futures_util::future::select(stopped, failed).await
        {
            log::error!(error:%; "control process failed");
            return Err(error.into());
        }
        control.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn run_try(port: u16) -> Result<ExitCode> {
    StateChart::check_all()?;
    init_logging(LogLevel::Warn);
    let stop_signals = StopSignals::install()?;
    task::block_on(async {
        let demo = DemoSystem::start(port).await?;
        println!(
            "ready url=http://{} operator=http://{}",
            demo.traffic_address, demo.operator_address
        );
        std::io::stdout().flush()?;
        stop_signals.wait().await;
        demo.stop().await;
        Ok(ExitCode::SUCCESS)
    })
}

fn run_check(file: &Path) -> Result<ExitCode> {
    let report = check_file(file).with_context(|| format!("cannot read {}", file.display()))?;
    for error in &report.errors {
        eprintln!("{error}");
    }
    if !report.errors.is_empty() {
        return Ok(ExitCode::from(EXIT_INVALID_INPUT));
    }
    println!("{}: valid", file.display());
    Ok(ExitCode::SUCCESS)
}

fn operator_client(control: &ControlArguments, token: Option<&TokenArguments>) -> OperatorClient {
    let token = token.map(|token| token.token.clone());
    OperatorClient::new(control.control.clone(), token, control.timeout)
}

async fn run_settings(command: SettingsCommand) -> Result<ExitCode> {
    match command {
        SettingsCommand::Get { branch, effective, token, control } => {
            let client = operator_client(&control, Some(&token));
            get_settings(&client, &branch, effective.as_deref()).await
        }
        SettingsCommand::Put {
            branch,
            file,
            base,
            change_id,
            create_with_token_from,
            token,
            control,
        } => {
            let document = std::fs::read_to_string(&file)
                .with_context(|| format!("cannot read {}", file.display()))?;
            let team_token_sha256 = match &create_with_token_from {
                Some(variable) => {
                    let token = std::env::var(&**variable)
                        .with_context(|| format!("cannot read environment variable {variable}"))?;
                    Some(token_sha256(&token).into())
                }
                None => None,
            };
            let change = ChangeRequest {
                action: match team_token_sha256 {
                    Some(_) => ChangeVerb::Create,
                    None => ChangeVerb::Replace,
                },
                base_version: i64::try_from(base)?,
                branch: branch.into(),
                change_id: change_id.map_or_else(random_change_id, Into::into),
                document: Some(document),
                team_token_sha256,
            };
            put_settings(&operator_client(&control, Some(&token)), &change, &file).await
        }
        SettingsCommand::History { branch, token, control } => {
            let client = operator_client(&control, Some(&token));
            write_stdout(&client.get(&format!("/settings/{branch}/history")).await?)
        }
        SettingsCommand::Watch { branch, count, token, control } => {
            watch_settings(&operator_client(&control, Some(&token)), &branch, count).await
        }
    }
}

fn random_change_id() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..))
}

fn write_stdout(bytes: &[u8]) -> Result<ExitCode> {
    std::io::stdout().write_all(bytes)?;
    Ok(ExitCode::SUCCESS)
}

/// Branch in a response of the operator interface.
#[derive(serde::Deserialize)]
struct BranchResponse {
    version: u64,
    revision: u64,
    document: Box<str>,
}

async fn get_settings(
    client: &OperatorClient,
    branch: &str,
    effective: Option<&str>,
) -> Result<ExitCode> {
    if let Some(service) = effective {
        return write_stdout(
            &client.get(&format!("/settings/{branch}/effective/{service}")).await?,
        );
    }
    let body: BranchResponse =
        serde_json::from_slice(&client.get(&format!("/settings/{branch}")).await?)?;
    eprintln!("branch {branch} version {} revision {}", body.version, body.revision);
    write_stdout(body.document.as_bytes())
}

async fn watch_settings(
    client: &OperatorClient,
    branch: &str,
    count: Option<u64>,
) -> Result<ExitCode> {
    let mut after = 0;
    let mut remaining = count.unwrap_or(u64::MAX);
    while remaining > 0 {
        let bytes = client.get(&format!("/settings/{branch}/watch/{after}")).await?;
        let body: BranchResponse = serde_json::from_slice(&bytes)?;
        if body.version <= after {
            continue;
        }
        after = body.version;
        remaining -= 1;
        println!("branch {branch} version {} revision {}", body.version, body.revision);
    }
    Ok(ExitCode::SUCCESS)
}

async fn put_settings(
    client: &OperatorClient,
    change: &ChangeRequest,
    file: &Path,
) -> Result<ExitCode> {
    let reply = match client.change(change).await {
        Ok(reply) => reply,
        Err(OperatorError::OutcomeUnknown(reason)) => {
            println!("unknown: {reason}");
            println!(
                "run the same command with --change-id {} to learn the outcome",
                change.change_id
            );
            return Ok(ExitCode::from(EXIT_OUTCOME_UNKNOWN));
        }
        Err(error) => return Err(error.into()),
    };
    Ok(print_outcome(&reply, file))
}

fn print_outcome(reply: &ChangeReply, file: &Path) -> ExitCode {
    let version = reply.version.unwrap_or_default();
    match reply.outcome {
        OutcomeName::Accepted => {
            println!("accepted as version {version}");
            ExitCode::SUCCESS
        }
        OutcomeName::Conflict => {
            println!("refused because the current version is {version}");
            ExitCode::from(EXIT_REFUSED)
        }
        OutcomeName::Refused => {
            println!("refused because {}", reply.reason.as_deref().unwrap_or("of errors"));
            for error in &reply.errors {
                let (line, column) = (error.line, error.column);
                println!("{}:{line}:{column}: {}: {}", file.display(), error.path, error.message);
            }
            ExitCode::from(EXIT_REFUSED)
        }
    }
}

async fn run_status(arguments: StatusArguments) -> Result<ExitCode> {
    let status: SystemStatus = operator_client(&arguments.control, None).status().await?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print!("{}", render_status(&status));
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_explain(arguments: ExplainArguments) -> Result<ExitCode> {
    let query = ExplainQuery {
        host: arguments.host,
        path: arguments.path,
        tenant: arguments.tenant,
        timeout_ms: arguments.timeout.map(|timeout| timeout.as_millis() as u64),
    };
    let body = serde_json::to_vec(&query)?;
    let headers = HeaderList::new();
    let response =
        send_request(arguments.address, "POST", EXPLAIN_PATH, headers, &body, PROCESS_TIMEOUT)
            .await?;
    if response.head.status != 200 {
        let message = String::from_utf8_lossy(&response.body).into();
        return Err(OperatorError::Refused { status: response.head.status, message }.into());
    }
    let explanation: SendExplanation =
        serde_json::from_slice(&response.body).context("the answer is no explanation")?;
    if arguments.json {
        println!("{}", serde_json::to_string_pretty(&explanation)?);
    } else {
        print!("{explanation}");
    }
    Ok(ExitCode::SUCCESS)
}

async fn run_dump(address: SocketAddr) -> Result<ExitCode> {
    let response =
        send_request(address, "GET", "/dump", HeaderList::new(), &[], PROCESS_TIMEOUT).await?;
    write_stdout(&response.body)
}
