//! Main loop of a fleet process: runtime, signals, config reload and metrics page.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

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
use super::explain::{EXPLAIN_PATH, ExplainQuery, MAX_QUERY_BYTES, QueryError};
use super::listener::{ListenError, accept_each};
use super::stream::HttpStream;
use crate::http::{BodyDecoder, HttpLimits};
use crate::{log_info, log_warn};

/// Interval at which the config is reloaded, because it may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Delay between attempts to start.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum time for which the exit of a process waits for its last log lines to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Time before the end of the grace period at which it no longer waits for them.
const LOG_FLUSH_MARGIN: Duration = Duration::from_millis(150);

/// Errors that prevent a process from running.
#[derive(Debug, Error)]
pub enum ProcessError {
    #[error("cannot set up the runtime: {0}")]
    Runtime(#[from] std::io::Error),
    #[error(transparent)]
    Control(#[from] ControlError),
    #[error(transparent)]
    Entry(#[from] ListenError),
}

/// Reloads the config; returns `None` if it is invalid.
pub type ConfigReader = Box<dyn Fn() -> Option<FleetConfig>>;

/// The running role of a process.
enum RunningRole {
    Entry(EntryProcess),
    Control(ControlProcess),
}

/// Runs the process until SIGTERM, then stops gracefully.
pub fn run(
    config: FleetConfig,
    dialect: Rc<dyn WireDialect>,
    read_config: ConfigReader,
) -> Result<(), ProcessError> {
    event_log::start(std::io::stdout());
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(config, dialect, read_config))
}

async fn serve(
    config: FleetConfig,
    dialect: Rc<dyn WireDialect>,
    read_config: ConfigReader,
) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    log_info!("process_started", "name={} zone={}", config.name, config.availability_zone);
    let started_role = tokio::select! {
        role = start_role(&config, &dialect) => role,
        _ = terminate.recv() => {
            log_info!("process_stopped", "name={} reason=\"not started yet\"", config.name);
            event_log::flush(LOG_FLUSH_TIME);
            return Ok(());
        }
    };
    let role = Rc::new(started_role);
    if let Some(address) = config.metrics {
        tokio::task::spawn_local(serve_metrics(address, Rc::clone(&role)));
    }
    wait_for_stop(&role, &config, &read_config, &mut terminate, &mut hangup).await;
    log_info!("process_stopping", "name={}", config.name);
    let started = Instant::now();
    match &*role {
        RunningRole::Entry(entry) => entry.stop(config.grace).await,
        RunningRole::Control(control) => control.stop(config.grace).await,
    }
    log_info!("process_stopped", "name={} after_ms={}", config.name, started.elapsed().as_millis());
    let time_left = config.grace.saturating_sub(started.elapsed() + LOG_FLUSH_MARGIN);
    event_log::flush(time_left.max(LOG_FLUSH_TIME));
    Ok(())
}

/// Starts the role, retrying until it succeeds. While an address is still in use, a retry is cheaper
/// than a restart of the process.
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
        sleep(START_RETRY_INTERVAL).await;
    }
}

async fn wait_for_stop(
    role: &RunningRole,
    config: &FleetConfig,
    read_config: &ConfigReader,
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
        let Some(new_config) = read_config() else {
            log_warn!("reload_refused", "reason=\"the config cannot be read\"");
            continue;
        };
        if new_config.seeds == seeds {
            continue;
        }
        log_info!("reloaded", "seeds={:?}", new_config.seeds);
        seeds = new_config.seeds;
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
    accept_each(&listener, "metrics", serve).await;
}

async fn answer_metrics(role: &RunningRole, stream: TcpStream) {
    let mut stream = HttpStream::new(stream);
    let limits = HttpLimits::default();
    let read = timeout(limits.head_timeout, stream.read_request(&limits)).await;
    let Ok(Ok(Some(head))) = read else { return };
    let page = if head.path() == EXPLAIN_PATH {
        let mut body = Vec::new();
        let mut decoder = BodyDecoder::new(head.framing);
        let read = stream.read_body(&mut decoder, &mut body, MAX_QUERY_BYTES);
        // A body that is too long or does not arrive is no query.
        let is_complete = matches!(timeout(limits.head_timeout, read).await, Ok(Ok(true)));
        explain_page(role, if is_complete { &body } else { &[] })
    } else {
        metrics_page(role)
    };
    let head = format!(
        "HTTP/1.1 {}\r\ncontent-type: {}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        page.status,
        page.content_type,
        page.text.len()
    );
    if stream.write((head + &page.text).as_bytes()).await.is_ok() {
        stream.close().await;
    }
}

/// Page of the metrics address.
struct MetricsPage {
    status: &'static str,
    content_type: &'static str,
    text: String,
}

fn metrics_page(role: &RunningRole) -> MetricsPage {
    let text = match role {
        RunningRole::Entry(entry) => entry.metrics(),
        RunningRole::Control(control) => control.metrics(),
    };
    MetricsPage { status: "200 OK", content_type: "application/openmetrics-text", text }
}

/// Answers a query about a request; only entries decide where one goes.
fn explain_page(role: &RunningRole, body: &[u8]) -> MetricsPage {
    let error = |status, message: String| {
        let text = serde_json::json!({ "error": message }).to_string();
        MetricsPage { status, content_type: "application/json", text }
    };
    let RunningRole::Entry(entry) = role else {
        return error("404 Not Found", "only an entry explains where a request goes".to_owned());
    };
    let explained = ExplainQuery::parse(body).and_then(|query| entry.explain(&query));
    match explained {
        Ok(explanation) => MetricsPage {
            status: "200 OK",
            content_type: "application/json",
            text: serde_json::to_string(&explanation).expect("writing to memory does not fail"),
        },
        Err(cause @ QueryError::Invalid(_)) => error("400 Bad Request", cause.to_string()),
        Err(cause @ QueryError::UnknownTenant(_)) => error("404 Not Found", cause.to_string()),
    }
}
