//! One process of a fleet: runtime, signals, reload and metrics page.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::config::{FleetConfig, FleetRole};
use super::control::{ControlError, ControlProcess};
use super::dialect::WireDialect;
use super::entry::EntryProcess;
use super::event_log;
use super::listener::{ListenError, accept_each};
use super::stream::HttpStream;
use crate::http::HttpLimits;
use crate::{log_info, log_warn};

/// Interval at which the config is read again, since it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Pause before a process that cannot start tries again.
const START_INTERVAL: Duration = Duration::from_millis(300);

/// Why a process cannot run.
#[derive(Debug, Error)]
pub enum ProcessError {
    #[error("the runtime cannot be set up: {0}")]
    Runtime(#[from] std::io::Error),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error(transparent)]
    Entry(#[from] ListenError),
}

/// Reads the config again; `None` when it cannot be used.
pub type ConfigReader = Box<dyn Fn() -> Option<FleetConfig>>;

/// Running role.
enum RunningRole {
    Entry(EntryProcess),
    Control(ControlProcess),
}

/// Runs the process until SIGTERM and a graceful stop.
pub fn run(
    config: FleetConfig,
    dialect: Rc<dyn WireDialect>,
    reader: ConfigReader,
) -> Result<(), ProcessError> {
    event_log::start(std::io::stdout());
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, dialect, reader))
}

async fn serve(
    config: FleetConfig,
    dialect: Rc<dyn WireDialect>,
    reader: ConfigReader,
) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    log_info!("process_started", "name={} zone={}", config.name, config.availability_zone);
    let role = Rc::new(start_role(&config, &dialect).await);
    if let Some(address) = config.metrics {
        tokio::task::spawn_local(serve_metrics(address, Rc::clone(&role)));
    }
    wait_for_stop(&role, &config, &reader, &mut terminate, &mut hangup).await;
    log_info!("process_stopping", "name={}", config.name);
    match &*role {
        RunningRole::Entry(entry) => entry.stop(config.grace).await,
        RunningRole::Control(control) => control.stop().await,
    }
    Ok(())
}

/// Starts the role; an address that is still taken is tried again, since a restart loop costs more.
async fn start_role(config: &FleetConfig, dialect: &Rc<dyn WireDialect>) -> RunningRole {
    loop {
        let started = match &config.role {
            FleetRole::Entry(entry) => EntryProcess::start(config, entry, Rc::clone(dialect))
                .await
                .map(RunningRole::Entry)
                .map_err(ProcessError::from),
            FleetRole::Control(control) => {
                ControlProcess::start(config, control, Rc::clone(dialect))
                    .await
                    .map(RunningRole::Control)
                    .map_err(ProcessError::from)
            }
        };
        match started {
            Ok(role) => return role,
            Err(error) => log_warn!("start_failed", "error=\"{error}\""),
        }
        sleep(START_INTERVAL).await;
    }
}

async fn wait_for_stop(
    role: &RunningRole,
    config: &FleetConfig,
    reader: &ConfigReader,
    terminate: &mut Signal,
    hangup: &mut Signal,
) {
    let mut seeds = config.seeds.clone();
    loop {
        tokio::select! {
            _ = terminate.recv() => return,
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        let Some(fresh) = reader() else {
            log_warn!("reload_refused", "reason=\"the config cannot be read\"");
            continue;
        };
        if fresh.seeds == seeds {
            continue;
        }
        log_info!("reloaded", "seeds={:?}", fresh.seeds);
        seeds = fresh.seeds;
        match role {
            RunningRole::Entry(entry) => entry.set_seeds(seeds.clone()),
            RunningRole::Control(control) => control.set_seeds(seeds.clone()),
        }
    }
}

async fn serve_metrics(address: SocketAddr, role: Rc<RunningRole>) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log_warn!("metrics_unavailable", "address={address} error=\"{error}\"");
            return;
        }
    };
    let serve = |stream| {
        let role = Rc::clone(&role);
        tokio::task::spawn_local(async move { answer_metrics(&role, stream).await });
    };
    accept_each(listener, "metrics", serve).await;
}

async fn answer_metrics(role: &RunningRole, stream: TcpStream) {
    let mut stream = HttpStream::new(stream);
    let limits = HttpLimits::default();
    let read = timeout(limits.head_timeout, stream.read_request(&limits)).await;
    if !matches!(read, Ok(Ok(Some(_)))) {
        return;
    }
    let text = match role {
        RunningRole::Entry(entry) => entry.metrics(),
        RunningRole::Control(control) => control.metrics(),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/openmetrics-text\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        text.len()
    );
    if stream.write((head + &text).as_bytes()).await.is_ok() {
        stream.close().await;
    }
}
