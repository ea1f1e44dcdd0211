//! Clients that send the same request again and again, and the check of how often one that ends its
//! servers is sent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::control_history::{ControlHistory, entry_of, since_epoch};
use crate::planned_client::ClientConnection;
use crate::support::FleetChild;
use crate::work_server::{DEADLY_BODY, DEADLY_PREFIX, WorkServer, response_body};

/// Limits of the pause between two requests of a client.
const PAUSE_MS: std::ops::Range<u64> = 50..250;

/// Maximum number of clients that repeat one request.
const MAX_REPEATING_CLIENTS: usize = 6;

/// Period from the start of the faults in which deadly requests begin to arrive, in milliseconds.
const DEADLY_START_MS: std::ops::Range<u64> = 0..9_000;

/// Time after the end of the third server from which a deadly request is no longer sent on.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Number of sends of a deadly request that are still allowed after that time, in all.
const MAX_LATE_SENDS: usize = 3;

/// Number of servers after whose end a deadly request is known.
const CONVICTING_ENDS: usize = 3;

/// Response to one request.
#[derive(Debug)]
pub struct RepeatedRequest {
    pub id: String,
    /// 0 if there was no complete response.
    pub status: u16,
    /// Whether the body is that of a response to this request.
    pub is_own: bool,
}

/// Client that repeats one request, on connections that it keeps for some requests.
pub struct RepeatClient {
    /// Prefix of the request ids.
    pub name: String,
    pub route: &'static str,
    /// Work id, time and size: `w/60/200`.
    pub work: String,
    pub body: &'static str,
    pub entries: Vec<SocketAddr>,
    pub random: fastrand::Rng,
    pub starts_at: Instant,
}

impl RepeatClient {
    /// Sends requests until `stop` is set.
    pub fn run(mut self, stop: &AtomicBool) -> Vec<RepeatedRequest> {
        std::thread::sleep(self.starts_at.saturating_duration_since(Instant::now()));
        let mut requests = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let entry = self.random.usize(0..self.entries.len());
            let Some(mut connection) = ClientConnection::open(entry, self.entries[entry]) else {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            };
            while !stop.load(Ordering::Relaxed) {
                let request = self.send(&mut connection, entry, requests.len());
                let is_open = request.status != 0;
                requests.push(request);
                std::thread::sleep(Duration::from_millis(self.random.u64(PAUSE_MS)));
                if !is_open || self.random.u32(0..4) == 0 {
                    break;
                }
            }
        }
        requests
    }

    fn send(
        &self,
        connection: &mut ClientConnection,
        entry: usize,
        number: usize,
    ) -> RepeatedRequest {
        let id = format!("{}-{number}-e{entry}", self.name);
        let text = format!(
            "POST /{}/{} HTTP/1.1\r\nhost: shop\r\nx-request-id: {id}\r\n\
             content-length: {}\r\n\r\n{}",
            self.route,
            self.work,
            self.body.len(),
            self.body
        );
        let Some((head, body)) = connection.exchange(&text) else {
            return RepeatedRequest { id, status: 0, is_own: false };
        };
        let status = head.get(9..12).and_then(|status| status.parse().ok()).unwrap_or_default();
        let size = self.work.rsplit('/').next().and_then(|size| size.parse().ok());
        let is_own = body == response_body(&id, size.expect("a number")).as_bytes();
        RepeatedRequest { id, status, is_own }
    }
}

/// Deadly requests, and others that are repeated beside them.
pub struct RepeatedTraffic {
    /// Whether the request is deadly, its route, and its client.
    pub clients: Vec<(bool, &'static str, JoinHandle<Vec<RepeatedRequest>>)>,
    /// Work ids of the deadly requests.
    pub works: Vec<String>,
}

impl RepeatedTraffic {
    /// Starts clients that send until `stop` is set; `random` draws class, number and moment of the
    /// deadly requests.
    pub fn start(
        random: &mut fastrand::Rng,
        entries: &[SocketAddr],
        stop: &Arc<AtomicBool>,
    ) -> Self {
        let now = Instant::now();
        let class = if random.bool() { "read" } else { "book" };
        let mut requests = vec![
            (false, "body".to_owned(), class, format!("{DEADLY_PREFIX}0/80/2"), "harmless", now),
            (false, "read".to_owned(), "read", "w/60/200".to_owned(), "", now),
            (false, "book".to_owned(), "book", "w/60/200".to_owned(), "deposit", now),
            (false, "path".to_owned(), "read", "w/20/20".to_owned(), DEADLY_BODY, now),
        ];
        let mut works = Vec::new();
        for number in 0..random.usize(1..=2) {
            let (name, delay_ms) =
                (format!("{DEADLY_PREFIX}{number}"), random.u64(DEADLY_START_MS));
            println!("{name} of class {class} begins after {delay_ms} ms");
            let starts_at = now + Duration::from_millis(delay_ms);
            let work = format!("{name}/80/2");
            requests.push((true, name.clone(), class, work, DEADLY_BODY, starts_at));
            works.push(name);
        }
        let mut clients = Vec::new();
        for (is_deadly, name, route, work, body, starts_at) in requests {
            for number in 0..entries.len().min(MAX_REPEATING_CLIENTS) {
                let client = RepeatClient {
                    name: format!("{name}-{number}"),
                    route,
                    work: work.clone(),
                    body,
                    entries: entries.to_vec(),
                    random: random.fork(),
                    starts_at,
                };
                let stop = Arc::clone(stop);
                clients.push((is_deadly, route, std::thread::spawn(move || client.run(&stop))));
            }
        }
        Self { clients, works }
    }
}

/// Verifies how often a deadly request is sent after three servers ended under it; returns a summary.
pub fn check_deadly_sends(
    work: &str,
    servers: &[WorkServer],
    entries: &[FleetChild],
    broken: &mut Vec<String>,
) -> String {
    let histories: Vec<_> = entries.iter().map(ControlHistory::read).collect();
    let (mut sends, mut ends) = (Vec::new(), Vec::new());
    for server in servers {
        let server_ends = server.ends();
        for run in server.runs().into_iter().filter(|run| run.deadly && run.work == work) {
            ends.extend(server_ends.iter().find(|end| **end >= run.at));
            sends.push(run);
        }
    }
    // A server may run two copies of the request when it ends.
    ends.sort();
    ends.dedup();
    let Some(third_end) = ends.get(CONVICTING_ENDS - 1) else {
        broken.push(format!("{work}: only {} servers ended under it", ends.len()));
        return String::new();
    };
    let (mut late, mut out_of_touch) = (Vec::new(), 0);
    for send in &sends {
        if send.at <= *third_end + STABLE_TIME {
            continue;
        }
        let entry = entry_of(&send.id);
        let sent_at = since_epoch(send.at);
        if histories[entry].in_touch(sent_at) {
            late.push(format!("{} at {:.3}", send.id, sent_at.as_secs_f64()));
        } else {
            out_of_touch += 1;
        }
    }
    let summary = format!(
        "{work}: {} sends, {} ends, the third at {:.3}; later {} in touch, {out_of_touch} not",
        sends.len(),
        ends.len(),
        since_epoch(*third_end).as_secs_f64(),
        late.len()
    );
    if late.len() > MAX_LATE_SENDS {
        broken.push(format!("{summary}: {late:?}"));
    }
    summary
}
