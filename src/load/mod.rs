//! Open-loop load generator that verifies each response.
//!
//! Requests are due at times fixed ahead. Latency counts from the due time, so waiting inside the
//! generator and in front of a slow system is part of it.

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

/// Kind of request.
#[derive(Clone, Debug)]
pub struct LoadClass {
    /// Name in the report.
    pub name: Box<str>,
    /// Relative frequency.
    pub share: f64,
    /// Method of the requests.
    pub method: Box<str>,
    /// Path without a query.
    pub path: Box<str>,
    /// Size of the request body.
    pub upload_bytes: u64,
    /// Size of the response body; `None` asks for the short default response.
    pub download_bytes: Option<u64>,
    /// Service times that the stand-in server is asked for; `None` leaves them to the server.
    pub service_time: Option<ServiceTime>,
}

/// What a run of the generator sends.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses that take requests in turn.
    pub targets: Vec<SocketAddr>,
    /// Value of the `Host` header.
    pub host: Box<str>,
    /// Further headers of each request.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Kinds of requests.
    pub classes: Vec<LoadClass>,
    /// Requests a second outside swings.
    pub rate: f64,
    /// Distribution of the time between arrivals.
    pub arrivals: ArrivalProcess,
    /// Time in which requests are due.
    pub duration: Duration,
    /// Changes of the rate.
    pub swings: Vec<RateSwing>,
    /// Seed of the schedule and part of each run id.
    pub seed: u64,
    /// Largest number of requests.
    pub max_requests: usize,
    /// Requests in flight at once; further ones wait, and their waiting counts.
    pub max_in_flight: usize,
    /// Keep-alive connections to each target.
    pub connections_per_target: usize,
    /// Time for a new connection, and then time from sending to the end of the response.
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
            arrivals: ArrivalProcess::Poisson,
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
    /// Arrivals of the run.
    pub fn schedule(&self) -> Vec<ScheduledRequest> {
        let plan = SchedulePlan {
            seed: self.seed,
            rate: self.rate,
            arrivals: self.arrivals,
            duration: self.duration,
            swings: self.swings.clone(),
            shares: self.classes.iter().map(|class| class.share).collect(),
            max_requests: if self.targets.is_empty() { 0 } else { self.max_requests },
        };
        plan.arrivals()
    }

    /// Service time that request `number` asks for; it depends on the seed and the number only.
    pub fn service_time(&self, number: usize, class: usize) -> Option<Duration> {
        let seed = self.seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(number as u64);
        let mut random = fastrand::Rng::with_seed(seed);
        Some(self.classes[class].service_time?.sample(&mut random))
    }
}

impl LoadClass {
    /// Short reads.
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

    /// Long uploads or downloads; an upload is sent by `PUT`.
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

    /// Path and query.
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

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadOutcome {
    /// The response is whole and belongs to the request.
    Ok,
    /// The caller was told that the request was not run, or no byte of it was sent.
    NotRun,
    /// The caller cannot know whether the request was run.
    Unknown,
    /// A whole response with an error status of the server.
    Failed,
    /// The response ended early or was malformed.
    Broken,
    /// The response belongs to another request or has another content.
    Wrong,
}

/// Returns the run id of request `number` in a run with `seed`.
pub fn run_id(seed: u64, number: usize) -> String {
    format!("{seed:x}-{number}")
}

/// Shared state of one run.
struct LoadRun {
    options: LoadOptions,
    pool: ConnectionPool,
    connections: Vec<SlotQueue>,
    started: Instant,
    report: Mutex<ReportBuilder>,
}

/// Sends the whole schedule and waits for all outcomes.
pub async fn run_load(options: LoadOptions) -> LoadReport {
    let schedule = options.schedule();
    let limits = HttpLimits { stall_timeout: options.timeout, ..HttpLimits::default() };
    let in_flight = SlotQueue::new(options.max_in_flight);
    let mut connections = Vec::new();
    for _ in &options.targets {
        connections.push(SlotQueue::new(options.connections_per_target));
    }
    let run = Arc::new(LoadRun {
        pool: ConnectionPool::new(limits),
        connections,
        started: Instant::now(),
        report: Mutex::new(ReportBuilder::new(&options, &schedule)),
        options,
    });
    let mut tasks = Vec::with_capacity(schedule.len());
    for (number, request) in schedule.iter().copied().enumerate() {
        sleep_until(run.started + request.at).await;
        let permit = in_flight.acquire().await;
        let run = Arc::clone(&run);
        tasks.push(task::spawn(async move {
            run.serve(number, request).await;
            drop(permit);
        }));
    }
    for task in tasks {
        task.await;
    }
    let elapsed = run.started.elapsed();
    run.report.lock().expect("no holder of the report lock panics").build(elapsed)
}

async fn sleep_until(deadline: Instant) {
    let wait = deadline.saturating_duration_since(Instant::now());
    if !wait.is_zero() {
        task::sleep(wait).await;
    }
}

impl LoadRun {
    async fn serve(&self, number: usize, request: ScheduledRequest) {
        let position = number % self.options.targets.len();
        let connection = self.connections[position].acquire().await;
        let sent = self.started.elapsed();
        let outcome = self.exchange(number, request.class, position).await;
        drop(connection);
        let ended = self.started.elapsed();
        let mut report = self.report.lock().expect("no holder of the report lock panics");
        report.add(number, request, sent, ended, outcome);
    }
}
