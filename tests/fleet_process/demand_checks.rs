//! Checks of quotas, keys, evacuations and cold servers by what the servers saw.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::control_history::{ControlHistory, entry_of};
use crate::demand_client::{
    KeyHistory, LOADS, NOBODY, ROTATING, TenantRequest, WARMUP_RATE, key_of,
};
use crate::harness::call;
use crate::soak::RequestCheck;
use crate::support::{FleetChild, FleetProcesses};
use crate::work_server::{KEY_PREFIX, RunRecord, WorkServer};

/// The `quota_window` of the processes, and by how much the runs in one may exceed a quota.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERSHOOT: f64 = 0.1;
const QUOTA_TOLERANCE: f64 = 20.0;

/// By how much the requests to a cold server in one second may exceed its rate.
const WARMUP_OVERSHOOT: f64 = 1.5;
const WARMUP_TOLERANCE: f64 = 8.0;

/// Time after an acknowledgement from which an evacuated zone gets nothing, and a withdrawn key is refused.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);
const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Time for which an entry is in touch when the two bounds above bind it.
const TOUCH_TIME: Duration = Duration::from_secs(2);

/// Share of the requests of tenants below their limits that are served in the quiet end. The rest leaves room
/// for entries that get no answer of control in time on a busy machine.
const MIN_QUIET_SHARE: f64 = 0.9;

/// Evacuation from its acknowledgement until its withdrawal was sent.
#[derive(Debug, Clone, Copy)]
pub struct EvacuationSpan {
    pub zone: &'static str,
    pub acknowledged_at: Instant,
    pub withdrawn_at: Instant,
}

/// Largest number of times within `window`; sorts them.
pub fn max_within(times: &mut [Instant], window: Duration) -> usize {
    times.sort();
    let (mut first, mut max) = (0, 0);
    for (index, at) in times.iter().enumerate() {
        while *at - times[first] >= window {
            first += 1;
        }
        max = max.max(index + 1 - first);
    }
    max
}

/// What servers ran, and the checks of it.
pub struct DemandCheck<'a> {
    servers: &'a [WorkServer],
    histories: Vec<ControlHistory>,
    pub summary: Vec<String>,
    pub broken: Vec<String>,
}

impl<'a> DemandCheck<'a> {
    pub fn new(servers: &'a [WorkServer], entries: &[FleetChild]) -> Self {
        let histories = entries.iter().map(ControlHistory::read).collect();
        Self { servers, histories, summary: Vec::new(), broken: Vec::new() }
    }

    fn runs(&self) -> impl Iterator<Item = (&'static str, RunRecord)> + use<'a> {
        let servers = self.servers.iter();
        servers.flat_map(|server| server.runs().into_iter().map(|run| (server.zone(), run)))
    }

    /// Guards against entries that together let more through than a tenant's limit.
    pub fn check_quotas(&mut self) {
        let mut arrivals = BTreeMap::<_, Vec<_>>::new();
        for (_, run) in self.runs() {
            arrivals.entry(run.tenant.unwrap_or_default()).or_default().push(run.at);
        }
        for load in LOADS.iter().filter(|load| load.name != NOBODY) {
            let times = arrivals.entry(load.name.to_owned()).or_default();
            let max = max_within(times, QUOTA_WINDOW);
            let limit = load.rate * QUOTA_WINDOW.as_secs_f64() + load.burst;
            let allowed = limit * (1.0 + QUOTA_OVERSHOOT) + QUOTA_TOLERANCE;
            let text =
                format!("{}: at most {max} runs in a window, {allowed:.0} allowed", load.name);
            if max as f64 > allowed {
                self.broken.push(text.clone());
            }
            self.summary.push(text);
        }
    }

    /// Guards against names that callers choose, keys that servers see, and keys that nobody has.
    pub fn check_tenants(&mut self) {
        for (_, run) in self.runs() {
            let tenant = run.id.split('-').next();
            if run.shows_key || run.tenant.as_deref() != tenant || tenant == Some(NOBODY) {
                self.broken.push(format!("run of another tenant or with a key: {run:?}"));
            }
        }
    }

    /// Guards against withdrawn keys that entries in touch still accept.
    pub fn check_keys(&mut self, keys: &KeyHistory) {
        let runs = self.runs().filter(|(_, run)| run.id.starts_with(ROTATING));
        let runs = runs.filter_map(|(_, run)| Some((keys.withdrawn_at(key_of(&run.id))?, run)));
        let late: Vec<_> = runs.filter(|(at, run)| run.at > *at + WITHDRAWAL_BOUND).collect();
        self.check_late("withdrawn key", late);
    }

    /// Guards against requests to evacuated zones, also after a loss of all control processes.
    pub fn check_evacuations(&mut self, spans: &[EvacuationSpan]) {
        let mut late = Vec::new();
        for (zone, run) in self.runs() {
            for span in spans.iter().filter(|span| span.zone == zone) {
                if run.at > span.acknowledged_at + EVACUATION_BOUND && run.at < span.withdrawn_at {
                    late.push((span.acknowledged_at, run.clone()));
                }
            }
        }
        self.check_late("evacuation", late);
    }

    /// Counts runs of entries out of touch, which the bounds do not bind; those of the others are faults.
    fn check_late(&mut self, what: &str, late: Vec<(Instant, RunRecord)>) {
        let mut out_of_touch = 0;
        for (since, run) in late {
            if self.histories[entry_of(&run.id)].in_touch_for(run.at, TOUCH_TIME) {
                self.broken.push(format!("{what}: {:?} later: {run:?}", run.at - since));
            } else {
                out_of_touch += 1;
            }
        }
        self.summary.push(format!("{what}: {out_of_touch} late runs of entries out of touch"));
    }

    /// Guards against entries that together overload a cold server.
    pub fn check_cold_servers(&mut self) {
        let allowed = WARMUP_RATE * WARMUP_OVERSHOOT + WARMUP_TOLERANCE;
        let (mut spans, mut runs, mut max) = (0, 0, 0);
        for (number, server) in self.servers.iter().enumerate() {
            let arrivals = server.runs();
            for (begin, end) in server.cold_spans() {
                let within = arrivals.iter().filter(|run| run.at >= begin && run.at < end);
                let mut times: Vec<_> = within.map(|run| run.at).collect();
                let count = max_within(&mut times, Duration::from_secs(1));
                if count as f64 > allowed {
                    self.broken.push(format!("cold server {number}: {count} in a second"));
                }
                (spans, runs, max) = (spans + 1, runs + times.len(), max.max(count));
            }
        }
        self.summary.push(format!("{spans} cold spans, {runs} runs, at most {max} in a second"));
    }

    /// Compares what callers were told with what servers ran.
    pub fn check_responses(&mut self, requests: &[TenantRequest]) {
        let mut check = RequestCheck::new(self.servers);
        for request in requests {
            let ran = check.run_counts.contains_key(&request.id);
            let may_be_unknown = [ROTATING, NOBODY].contains(&request.tenant);
            match request.status {
                401 if may_be_unknown && !ran => *check.statuses.entry(401).or_default() += 1,
                200 if !request.is_own => {
                    check.broken.push(format!("{}: another response", request.id));
                }
                status => check.check(&request.id, request.at_most_once, false, status),
            }
        }
        self.summary.push(format!("responses {:?}", check.statuses));
        self.broken.append(&mut check.broken);
    }

    /// Guards against refusals of tenants below their limits, and of keys in force, once faults are over.
    pub fn check_quiet_end(
        &mut self,
        requests: &[TenantRequest],
        from: Instant,
        keys: &KeyHistory,
    ) {
        let mut statuses = BTreeMap::<u16, usize>::new();
        for request in requests.iter().filter(|request| request.sent_at >= from) {
            let load = LOADS.iter().find(|load| load.name == request.tenant);
            let is_steady = load.is_some_and(|load| load.is_steady);
            let is_rotating = request.tenant == ROTATING && keys.is_in_force(request.key_number);
            if is_steady || is_rotating {
                *statuses.entry(request.status).or_default() += 1;
            }
        }
        let count = |status| statuses.get(&status).copied().unwrap_or_default();
        let (all, served) = (statuses.values().sum::<usize>(), count(200));
        let share = served as f64 / all.max(1) as f64;
        let text = format!("quiet end below the limits: {statuses:?}");
        if share < MIN_QUIET_SHARE || count(429) + count(401) > 0 {
            self.broken.push(text.clone());
        }
        self.summary.push(text);
    }

    /// Guards against keys in logs and on metrics pages.
    pub fn check_key_secrecy(&mut self, fleet: &FleetProcesses) {
        for child in fleet.entries.iter().chain(&fleet.members) {
            let log = std::fs::read_to_string(child.log_path()).expect("the log can be read");
            if let Some(line) = log.lines().find(|line| line.contains(KEY_PREFIX)) {
                self.broken.push(format!("a key in {:?}: {line}", child.log_path()));
            }
        }
        for address in fleet.member_metrics.iter().chain(&fleet.entry_metrics) {
            let (status, page) = call(*address, "GET", "/metrics", "");
            if status != 200 || page.contains(KEY_PREFIX) {
                self.broken.push(format!("a key on the page of {address}, or status {status}"));
            }
        }
    }
}
