//! Open-loop load generator that verifies each response.
//!
//! The times at which requests are due are fixed before the run. Latency is measured from the due
//! time, so it includes queueing inside the generator and in front of a slow system.

mod exchange;
mod report;
mod schedule;

pub use report::{ClassReport, LoadReport, OutcomeCounts, SwingReport};
pub use schedule::{ArrivalProcess, RateSwing, SchedulePlan, ScheduledRequest};

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;

use crate::http::{ConnectionPool, HttpLimits};
use crate::stand_in::{ServiceTime, SlotQueue};
use report::ReportBuilder;

/// Class of requests with the same method, path and sizes.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// Name of the class in the report.
    pub name: Box<str>,
    /// Relative frequency among all classes.
    pub share: f64,
    /// Method of the requests.
    pub method: Box<str>,
    /// Path without a query.
    pub path: Box<str>,
    /// Size of the request body in bytes.
    pub upload_bytes: u64,
    /// Size of the response body in bytes; `None` requests the short default response.
    pub download_bytes: Option<u64>,
    /// Distribution of the service times requested from the stand-in server; `None` leaves the
    /// choice to the server.
    pub service_time: Option<ServiceTime>,
}

/// Parameters of a run of the load generator.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses to which requests are sent in round-robin order.
    pub targets: Vec<SocketAddr>,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Additional headers of each request.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Requests per second outside swings.
    pub rate: f64,
    /// Distribution of the time between arrivals.
    pub arrival_process: ArrivalProcess,
    /// Length of the period in which requests are due.
    pub duration: Duration,
    /// Temporary changes of the rate.
    pub swings: Vec<RateSwing>,
    /// Seed of the schedule and part of each run id.
    pub seed: u64,
    /// Maximum number of requests in the run.
    pub max_requests: usize,
    /// Maximum number of requests in flight; further requests wait, which adds to their latency.
    pub max_in_flight: usize,
    /// Maximum number of keep-alive connections to each target.
    pub connections_per_target: usize,
    /// Maximum time to connect, and separately to send a request and receive its whole response.
    pub timeout: Duration,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            host: "service.team".into(),
            headers: Vec::new(),
            classes: vec![LoadClass::short_read()],
            rate: 100.0,
            arrival_process: ArrivalProcess::Poisson,
            duration: Duration::from_secs(1),
            swings: Vec::new(),
            seed: 1,
            max_requests: 1_000_000,
            max_in_flight: 10_000,
            connections_per_target: 512,
            timeout: Duration::from_secs(10),
        }
    }
}

impl LoadOptions {
    /// Returns the requests of the run with their due times.
    pub fn schedule(&self) -> Vec<ScheduledRequest> {
        let plan = SchedulePlan {
            seed: self.seed,
            rate: self.rate,
            arrival_process: self.arrival_process,
            duration: self.duration,
            swings: self.swings.clone(),
            shares: self.classes.iter().map(|class| class.share).collect(),
            max_requests: if self.targets.is_empty() { 0 } else { self.max_requests },
        };
        plan.requests()
    }

    /// Service time requested by request `request_number` of `class`; the same seed and number
    /// always give the same time.
    pub fn service_time(&self, request_number: usize, class: usize) -> Option<Duration> {
        let seed =
            self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(request_number as u64);
        let mut random = fastrand::Rng::with_seed(seed);
        Some(self.classes[class].service_time?.sample(&mut random))
    }
}

impl LoadClass {
    /// Class of short reads.
    pub fn short_read() -> Self {
        Self {
            name: "short".into(),
            share: 1.0,
            method: "GET".into(),
            path: "/short".into(),
            upload_bytes: 0,
            download_bytes: None,
            service_time: None,
        }
    }

    /// Class of long transfers: uploads by `PUT`, otherwise downloads by `GET`.
    pub fn long_transfer(share: f64, upload_bytes: u64, download_bytes: Option<u64>) -> Self {
        Self {
            name: "long".into(),
            share,
            method: if upload_bytes > 0 { "PUT".into() } else { "GET".into() },
            path: "/long".into(),
            upload_bytes,
            download_bytes,
            service_time: None,
        }
    }

    /// Request target: path and query.
    fn target(&self, service_time: Option<Duration>) -> String {
        let mut target = self.path.to_string();
        let mut separator = '?';
        if let Some(size) = self.download_bytes {
            target.push_str(&format!("{separator}size={size}"));
            separator = '&';
        }
        if let Some(time) = service_time {
            target.push_str(&format!("{separator}time_us={}", time.as_micros()));
        }
        target
    }
}

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadOutcome {
    /// The response is complete and belongs to the request.
    Ok,
    /// The response states that the request was not run, or no connection was available to send it.
    NotRun,
    /// The caller cannot determine whether the request was run.
    Unknown,
    /// The response is complete and has an error status.
    Failed,
    /// The response ended early or was malformed.
    Broken,
    /// The response belongs to another request or has unexpected content.
    Wrong,
}

/// Returns the run id of request `request_number` in a run with `seed`.
pub fn run_id(seed: u64, request_number: usize) -> String {
    format!("{seed:x}-{request_number}")
}

/// State of a run, shared by the tasks of its requests.
struct LoadRun {
    options: LoadOptions,
    pool: ConnectionPool,
    connection_slots: Vec<SlotQueue>,
    started_at: Instant,
    report: Mutex<ReportBuilder>,
}

/// Sends all scheduled requests and waits for their outcomes.
pub async fn run_load(options: LoadOptions) -> LoadReport {
    let schedule = options.schedule();
    let limits = HttpLimits { stall_timeout: options.timeout, ..HttpLimits::default() };
    let in_flight_slots = SlotQueue::new(options.max_in_flight);
    let mut connection_slots = Vec::new();
    for _ in &options.targets {
        connection_slots.push(SlotQueue::new(options.connections_per_target));
    }
    let run = Arc::new(LoadRun {
        pool: ConnectionPool::new(limits),
        connection_slots,
        started_at: Instant::now(),
        report: Mutex::new(ReportBuilder::new(&options, &schedule)),
        options,
    });
    let mut tasks = Vec::with_capacity(schedule.len());
    for (request_number, request) in schedule.iter().copied().enumerate() {
        sleep_until(run.started_at + request.due_at).await;
        let in_flight_slot = in_flight_slots.acquire().await;
        let run = Arc::clone(&run);
        tasks.push(task::spawn(async move {
            run.send_scheduled(request_number, request).await;
            drop(in_flight_slot);
        }));
    }
    for task in tasks {
        task.await;
    }
    let elapsed = run.started_at.elapsed();
    run.report.lock().expect("no holder of the report lock panics").build(elapsed)
}

async fn sleep_until(deadline: Instant) {
    let delay = deadline.saturating_duration_since(Instant::now());
    if !delay.is_zero() {
        task::sleep(delay).await;
    }
}

impl LoadRun {
    async fn send_scheduled(&self, request_number: usize, request: ScheduledRequest) {
        let target_index = request_number % self.options.targets.len();
        let connection_slot = self.connection_slots[target_index].acquire().await;
        let sent_at = self.started_at.elapsed();
        let outcome = self.exchange(request_number, request.class, target_index).await;
        drop(connection_slot);
        let ended_at = self.started_at.elapsed();
        let mut report = self.report.lock().expect("no holder of the report lock panics");
        report.record(request_number, request, sent_at, ended_at, outcome);
    }
}
