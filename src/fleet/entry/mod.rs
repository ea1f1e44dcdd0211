//! Entry process: forwards callers' requests by the routes and servers that the control members
//! report.

mod caller;
mod connections;
mod context;
mod follow;
mod measure;
mod metrics;
mod reader;
mod relay;
mod request;
mod send;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use self::context::{EntryContext, EntryPhase};
use self::follow::FleetFollower;
use super::config::{EntryConfig, FleetConfig};
use super::dialect::WireDialect;
use super::listener::{ListenError, accept_each, listen};
use super::stream::HttpStream;
use crate::http::{HttpLimits, RequestHead};
use crate::log_info;

/// Minimum duration of a shutdown: callers need this long to notice that the entry is stopping.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(2500);

/// Time before the end of the grace period at which the process exits even if requests are in
/// progress.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Interval at which a stopping entry checks whether it is idle.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A running entry.
pub struct EntryProcess {
    context: Rc<EntryContext>,
    follower: Rc<FleetFollower>,
}

impl EntryProcess {
    /// Binds the listeners and serves in the background.
    pub async fn start(
        config: &FleetConfig,
        entry: &EntryConfig,
        dialect: Rc<dyn WireDialect>,
    ) -> Result<Self, ListenError> {
        let context = EntryContext::new(config, entry, dialect);
        let traffic = listen(entry.traffic).await?;
        let readiness = listen(entry.readiness).await?;
        let follower = FleetFollower::new(Rc::clone(&context), config.seeds.clone());
        tokio::task::spawn_local(Rc::clone(&follower).run());
        tokio::task::spawn_local(caller::serve(traffic, Rc::clone(&context)));
        tokio::task::spawn_local(serve_readiness(readiness, Rc::clone(&context)));
        Ok(Self { context, follower })
    }

    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.follower.set_seeds(seeds);
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn metrics(&self) -> String {
        let metrics = &self.context.metrics;
        metrics.idle_connections.set(self.context.connections.len() as i64);
        metrics.revision.set(self.context.state.borrow().revision().cast_signed());
        metrics.fresh_members.set(self.follower.fresh_members(Instant::now()) as i64);
        metrics.encode()
    }

    /// Reports the entry as not ready, finishes requests in progress and returns within `grace`.
    pub async fn stop(&self, grace: Duration) {
        let started = Instant::now();
        self.context.phase.send_replace(EntryPhase::Stopping);
        loop {
            sleep(IDLE_CHECK_INTERVAL).await;
            let elapsed = started.elapsed();
            let idle = self.context.active_requests.get() == 0;
            if (idle && elapsed >= MIN_SHUTDOWN_TIME) || elapsed + GRACE_MARGIN >= grace {
                let active = self.context.active_requests.get();
                log_info!("entry_stopped", "active={active} after_ms={}", elapsed.as_millis());
                return;
            }
        }
    }
}

/// Answers the load balancer's readiness checks.
async fn serve_readiness(listener: TcpListener, context: Rc<EntryContext>) {
    let serve = |stream| {
        let context = Rc::clone(&context);
        tokio::task::spawn_local(async move { serve_readiness_connection(&context, stream).await });
    };
    accept_each(listener, "readiness", serve).await;
}

async fn serve_readiness_connection(context: &EntryContext, stream: TcpStream) {
    let mut stream = HttpStream::new(stream);
    let limits = HttpLimits::default();
    loop {
        let read = timeout(limits.head_timeout, stream.read_request(&limits)).await;
        let Ok(Ok(Some(head))) = read else { return };
        let response = readiness_response(context, &head);
        if stream.write(response.as_bytes()).await.is_err() {
            return;
        }
        if !head.keep_alive() {
            return stream.close().await;
        }
    }
}

fn readiness_response(context: &EntryContext, head: &RequestHead) -> &'static str {
    if !context.dialect.is_readiness(&head.method, head.path()) {
        return "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    }
    if context.is_ready() {
        return "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    }
    "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
}
