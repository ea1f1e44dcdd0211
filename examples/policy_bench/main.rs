//! Simulates the selection policies and an ideal shared queue with the same arrivals and service
//! times.
//!
//! Usage: `policy_bench [--sigma 1.0] [--seeds 1,2,3] [--scenario NAME] [--policy NAME,...]
//! [--ahead PERCENT] [--idle-hold-us N] [--gap-us N] [--repeat-us N]`.
//!
//! Time is simulated. One service has 13 entries and 15 servers of 6 slots. A message between an
//! entry and the account holder takes 0.5 ms, servers report their load every second, and requests
//! reach servers without delay.

mod fleet;
mod options;
mod scenario;
mod table;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use curranthollow::credit::{
    AccountEvent, CreditAccount, EntryMessage, HolderMessage, LiveEntry, ServerKey, ServerLimit,
    WalletEvent, WorkClass, server_key,
};
use curranthollow::route::{
    AdmissionQueue, AdmissionSettings, PickOutcome, PickedServer, RoutePolicy,
};

use fleet::{Entry, Server, zone_name};
use options::{account_settings, option};
use scenario::{Arrival, SCENARIOS, Scenario};
use table::print_row;

const ENTRY_COUNT: usize = 13;
const SERVER_COUNT: usize = 15;
const SLOTS_PER_SERVER: u32 = 6;
/// Mean service time of short work in seconds.
const MEAN_SERVICE_SECONDS: f64 = 0.020;
/// Short requests per second that keep every slot busy.
const CAPACITY: f64 = SERVER_COUNT as f64 * SLOTS_PER_SERVER as f64 / MEAN_SERVICE_SECONDS;
const MESSAGE_DELAY_NS: u64 = 500_000;
const TICK_INTERVAL_NS: u64 = 1_000_000;
const LOAD_REPORT_INTERVAL_NS: u64 = 1_000_000_000;
const RUN_SECONDS: f64 = 12.0;
/// Time before which nothing is measured, in seconds.
const WARM_UP_SECONDS: f64 = 2.0;
/// Time at which the straggler of the onset scenario becomes slow, in seconds.
const ONSET_SECONDS: f64 = 5.0;
/// Ends of the time windows over which the straggler's share of new work is counted, in seconds
/// after the onset.
const ONSET_WINDOW_ENDS: [f64; 3] = [0.03, 0.1, 0.3];
const SHORT_DEADLINE: Duration = Duration::from_millis(500);
const LONG_DEADLINE: Duration = Duration::from_secs(10);
const SHORT: WorkClass = WorkClass::Short;

/// Compared policies; `None` is the ideal shared queue.
const POLICIES: [(&str, Option<RoutePolicy>); 6] = [
    ("ideal", None),
    ("credits", Some(RoutePolicy::Credits)),
    ("two_choices", Some(RoutePolicy::TwoChoices)),
    ("least_in_flight", Some(RoutePolicy::LeastInFlight)),
    ("round_robin", Some(RoutePolicy::RoundRobin)),
    ("random", Some(RoutePolicy::Random)),
];

enum Event {
    /// The request with this index arrives at its entry.
    Arrive(usize),
    /// Request `request` ends on `server`.
    Finish {
        server: usize,
        request: usize,
    },
    /// A message of the entry with this index reaches the account holder.
    ToHolder(usize, EntryMessage),
    /// A message of the account holder reaches the entry with this index.
    ToEntry(usize, HolderMessage),
    /// Periodic work of the entry with this index.
    EntryTick(usize),
    HolderTick,
    /// All servers report their load to all entries.
    LoadReport,
}

/// Results of one run; latencies and waits are in seconds.
#[derive(Default, Clone)]
struct RunResult {
    short_latencies: Vec<f64>,
    short_waits: Vec<f64>,
    /// Long work, first of entry 0 and then of all other entries.
    long_waits: [Vec<f64>; 2],
    long_offered: [u64; 2],
    long_done: [u64; 2],
    message_bytes: u64,
    /// Requests started on the straggler and on all servers, per time window after the onset.
    onset_starts: [(u32, u32); 3],
    /// Short requests that succeeded within their deadline.
    on_time: u64,
    refused_count: u64,
    failed_count: u64,
    late_count: u64,
    message_count: u64,
    request_count: u64,
    /// Most requests that one server had at a time beyond its slots.
    over_slots: u32,
    selection_count: u64,
    selection_time: Duration,
    holder_event_count: u64,
    holder_time: Duration,
}

/// State of one simulation run.
struct Run<'a> {
    scenario: Scenario,
    policy: Option<RoutePolicy>,
    arrivals: &'a [Arrival],
    base: Instant,
    /// Simulated time since `base` in nanoseconds.
    now_ns: u64,
    last_sequence: u64,
    /// Times in nanoseconds and sequence numbers of the scheduled events.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by sequence number.
    events: BTreeMap<u64, Event>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    account: CreditAccount,
    /// Selections of the requests that were sent to a server, by request.
    picked_servers: BTreeMap<usize, PickedServer>,
    /// Queue of the ideal policy.
    shared_queue: AdmissionQueue<usize>,
    result: RunResult,
}

impl<'a> Run<'a> {
    fn new(
        scenario: Scenario,
        policy: Option<RoutePolicy>,
        arrivals: &'a [Arrival],
        seed: u64,
    ) -> Self {
        let base = Instant::now();
        let mut servers = Vec::new();
        for index in 0..SERVER_COUNT {
            let key = server_key(&format!("server-{index}"));
            servers.push(Server { key, running: 0, queue: VecDeque::new(), max_demand: 0 });
        }
        let mut entries = Vec::new();
        for index in 0..ENTRY_COUNT {
            entries.push(Entry::new(index, policy, &servers, base, seed));
        }
        let account = CreditAccount::new(base, account_settings());
        let limits = AdmissionSettings::default().limits.map(|limit| limit * ENTRY_COUNT);
        let shared_queue = AdmissionQueue::new(AdmissionSettings { limits, ..Default::default() });
        Self {
            scenario,
            policy,
            arrivals,
            base,
            now_ns: 0,
            last_sequence: 0,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            servers,
            entries,
            account,
            picked_servers: BTreeMap::new(),
            shared_queue,
            result: RunResult::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_nanos(self.now_ns)
    }

    fn schedule_event(&mut self, delay_ns: u64, event: Event) {
        self.last_sequence += 1;
        self.schedule.push(Reverse((self.now_ns + delay_ns, self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    fn run(mut self) -> RunResult {
        self.start_simulation();
        let end_ns = (RUN_SECONDS * 1e9) as u64;
        while let Some(Reverse((at_ns, sequence))) = self.schedule.pop() {
            if at_ns > end_ns {
                break;
            }
            self.now_ns = at_ns;
            let event = self
                .events
                .remove(&sequence)
                .expect("every scheduled sequence number has an event");
            self.handle_event(event);
        }
        self.result.over_slots = self
            .servers
            .iter()
            .map(|server| server.max_demand.saturating_sub(SLOTS_PER_SERVER))
            .max()
            .unwrap_or(0);
        self.result
    }

    fn start_simulation(&mut self) {
        self.schedule_event((self.arrivals[0].at * 1e9) as u64, Event::Arrive(0));
        let is_credits = self.policy == Some(RoutePolicy::Credits);
        for index in 0..ENTRY_COUNT {
            // Entries tick at different times, as separate processes do.
            self.schedule_event(
                TICK_INTERVAL_NS * index as u64 / ENTRY_COUNT as u64,
                Event::EntryTick(index),
            );
        }
        self.schedule_event(LOAD_REPORT_INTERVAL_NS, Event::LoadReport);
        if !is_credits {
            return;
        }
        self.schedule_event(TICK_INTERVAL_NS, Event::HolderTick);
        let mut server_limits = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let (server, zone) = (server.key, zone_name(index));
            server_limits.push(ServerLimit {
                server,
                zone,
                slots: SLOTS_PER_SERVER,
                draining: false,
            });
        }
        self.handle_account_event(AccountEvent::ServersChanged(server_limits));
        let mut live_entries = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            live_entries.push(LiveEntry { name: entry.name.clone(), zone: zone_name(index) });
        }
        self.handle_account_event(AccountEvent::EpochChanged { epoch: 1, entries: live_entries });
        let names: Vec<_> = self.entries.iter().map(|entry| entry.name.clone()).collect();
        for index in 0..ENTRY_COUNT {
            let event = WalletEvent::HolderChanged { epoch: 1, live: names.clone() };
            self.handle_wallet_event(index, event);
        }
    }

    fn handle_account_event(&mut self, event: AccountEvent) {
        let started = Instant::now();
        let actions = self.account.handle(self.instant(), event);
        self.result.holder_time += started.elapsed();
        self.result.holder_event_count += 1;
        for action in actions {
            let entry_index = self.entries.iter().position(|entry| entry.name == action.entry);
            let entry_index = entry_index.expect("account actions name known entries");
            self.result.message_count += 1;
            self.result.message_bytes += u64::from(action.message.wire_bytes());
            self.schedule_event(MESSAGE_DELAY_NS, Event::ToEntry(entry_index, action.message));
        }
    }

    fn handle_wallet_event(&mut self, entry_index: usize, event: WalletEvent) {
        let now = self.instant();
        if let Some(message) = self.entries[entry_index].wallet.handle(now, event) {
            self.result.message_count += 1;
            self.result.message_bytes += u64::from(message.wire_bytes());
            self.schedule_event(MESSAGE_DELAY_NS, Event::ToHolder(entry_index, message));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Finish { server, request } => self.finish(server, request),
            Event::ToHolder(entry_index, message) => {
                let entry = self.entries[entry_index].name.clone();
                self.handle_account_event(AccountEvent::Message { entry, message });
            }
            Event::ToEntry(entry_index, message) => {
                self.handle_wallet_event(entry_index, WalletEvent::Message(message));
                self.start_waiting(entry_index);
            }
            Event::EntryTick(entry_index) => self.tick_entry(entry_index),
            Event::HolderTick => {
                self.handle_account_event(AccountEvent::Tick);
                self.schedule_event(TICK_INTERVAL_NS, Event::HolderTick);
            }
            Event::LoadReport => self.report_loads(),
        }
    }

    fn arrive(&mut self, request: usize) {
        let arrival = &self.arrivals[request];
        if let Some(next) = self.arrivals.get(request + 1) {
            let delay_ns = ((next.at * 1e9) as u64).saturating_sub(self.now_ns);
            self.schedule_event(delay_ns, Event::Arrive(request + 1));
        }
        self.result.request_count += 1;
        let is_measured_long =
            arrival.class == WorkClass::Long && self.scenario.is_measured(arrival.at);
        self.result.long_offered[usize::from(arrival.entry > 0)] += u64::from(is_measured_long);
        let now = self.instant();
        let entry_index = arrival.entry;
        let queue = match self.policy {
            Some(_) => &mut self.entries[entry_index].queue,
            None => &mut self.shared_queue,
        };
        let deadline = Some(now + deadline(arrival.class));
        let is_admitted = queue.offer(now, arrival.class, request, deadline).is_ok();
        self.result.refused_count += u64::from(!is_admitted);
        self.start_waiting(entry_index);
        let waiting = self.entries[entry_index].queue.waiting();
        if self.policy == Some(RoutePolicy::Credits) && waiting.iter().any(|class| class.count > 0)
        {
            self.handle_wallet_event(entry_index, WalletEvent::Tick(waiting));
        }
    }

    fn start_waiting(&mut self, entry_index: usize) {
        let now = self.instant();
        let mut expired = Vec::new();
        if self.policy.is_none() {
            while let Some(server) = self.free_ideal_server() {
                let short_request = self.shared_queue.take(now, SHORT, &mut expired);
                let request = short_request
                    .or_else(|| self.shared_queue.take(now, WorkClass::Long, &mut expired));
                let Some(request) = request else {
                    break;
                };
                self.start_request(server, request);
            }
            self.result.refused_count += expired.len() as u64;
            return;
        }
        for class in WorkClass::ALL {
            self.start_waiting_in_class(entry_index, class, &mut expired);
        }
        self.result.refused_count += expired.len() as u64;
    }

    fn start_waiting_in_class(
        &mut self,
        entry_index: usize,
        class: WorkClass,
        expired: &mut Vec<usize>,
    ) {
        let now = self.instant();
        while self.entries[entry_index].queue.len(class) > 0 {
            let entry = &mut self.entries[entry_index];
            let started = Instant::now();
            let pick_outcome = entry.pool.pick(now, class, &[], &mut entry.wallet);
            self.result.selection_time += started.elapsed();
            self.result.selection_count += 1;
            let PickOutcome::Start(picked) = pick_outcome else {
                break;
            };
            let Some(request) = entry.queue.take(now, class, expired) else {
                entry.pool.cancel(now, picked, &mut entry.wallet);
                break;
            };
            let server = self.servers.iter().position(|server| server.key == picked.server);
            self.picked_servers.insert(request, picked);
            self.start_request(server.expect("selections name known servers"), request);
        }
    }

    fn start_request(&mut self, server: usize, request: usize) {
        let at = self.now_ns as f64 / 1e9;
        let arrival = &self.arrivals[request];
        if self.scenario.is_measured(at) {
            let waits = match arrival.class {
                WorkClass::Short => &mut self.result.short_waits,
                WorkClass::Long => &mut self.result.long_waits[usize::from(arrival.entry > 0)],
            };
            waits.push(at - arrival.at);
        }
        let window = ONSET_WINDOW_ENDS.iter().position(|end| at - ONSET_SECONDS < *end);
        if let Some(window) = window.filter(|_| at >= ONSET_SECONDS) {
            let (straggler_starts, all_starts) = &mut self.result.onset_starts[window];
            (*straggler_starts, *all_starts) =
                (*straggler_starts + u32::from(server == 0), *all_starts + 1);
        }
        self.send(server, request);
    }

    fn send(&mut self, server: usize, request: usize) {
        let state = &mut self.servers[server];
        state.max_demand = state.max_demand.max(state.running + state.queue.len() as u32 + 1);
        if state.running >= SLOTS_PER_SERVER {
            state.queue.push_back(request);
            return;
        }
        state.running += 1;
        let mut service_seconds = self.arrivals[request].service_seconds;
        let is_slow = match self.scenario {
            Scenario::Straggler => true,
            Scenario::Onset => self.now_ns as f64 / 1e9 >= ONSET_SECONDS,
            _ => false,
        };
        if server == 0 && is_slow {
            service_seconds *= 5.0;
        }
        if self.is_failing(server, request) {
            service_seconds = 0.001;
        }
        self.schedule_event((service_seconds * 1e9) as u64, Event::Finish { server, request });
    }

    /// Returns a free server for the ideal shared queue, which never uses a failing or flaky server
    /// but does not know that a straggler is slow.
    fn free_ideal_server(&self) -> Option<usize> {
        let is_free = |index: &usize| self.servers[*index].running < SLOTS_PER_SERVER;
        (0..SERVER_COUNT).find(|index| is_free(index) && !self.is_failing(*index, 0))
    }

    fn is_failing(&self, server: usize, request: usize) -> bool {
        match self.scenario {
            Scenario::FailFast => server == 0,
            Scenario::Flaky => server == 0 && request.is_multiple_of(5),
            _ => false,
        }
    }

    fn finish(&mut self, server: usize, request: usize) {
        let is_failed = self.is_failing(server, request);
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.send(server, next);
        }
        let arrival = &self.arrivals[request];
        let (at, entry_index) = (self.now_ns as f64 / 1e9, arrival.entry);
        let latency = at - arrival.at;
        let class = arrival.class;
        self.record_finish(at, class, usize::from(entry_index > 0), latency, is_failed);
        let now = self.instant();
        if let Some(picked) = self.picked_servers.remove(&request) {
            let entry = &mut self.entries[entry_index];
            entry.queue.record_service_time(class, now.saturating_duration_since(picked.sent));
            let started = Instant::now();
            entry.pool.finish(now, picked, is_failed, &mut entry.wallet);
            self.result.selection_time += started.elapsed();
            self.result.selection_count += 1;
        } else {
            self.shared_queue
                .record_service_time(class, Duration::from_secs_f64(arrival.service_seconds));
        }
        self.start_waiting(entry_index);
    }

    fn record_finish(
        &mut self,
        at: f64,
        class: WorkClass,
        group: usize,
        latency: f64,
        is_failed: bool,
    ) {
        if is_failed {
            self.result.failed_count += 1;
            return;
        }
        let is_late = latency > deadline(class).as_secs_f64();
        self.result.late_count += u64::from(is_late);
        if self.scenario.is_measured(at) && class == WorkClass::Long {
            self.result.long_done[group] += u64::from(!is_late);
        } else if self.scenario.is_measured(at) {
            self.result.short_latencies.push(latency);
            self.result.on_time += u64::from(!is_late);
        }
    }

    fn tick_entry(&mut self, entry_index: usize) {
        self.schedule_event(TICK_INTERVAL_NS, Event::EntryTick(entry_index));
        let now = self.instant();
        let mut expired = Vec::new();
        if self.policy.is_none() {
            self.shared_queue.expire(now, &mut expired);
            self.result.refused_count += expired.len() as u64;
            return;
        }
        let entry = &mut self.entries[entry_index];
        entry.queue.expire(now, &mut expired);
        self.result.refused_count += expired.len() as u64;
        let ejected = entry.pool.tick(now).map(<[ServerKey]>::to_vec);
        let suspects = entry.pool.changed_suspects(now).map(<[_]>::to_vec);
        let waiting = entry.queue.waiting();
        if let Some(suspects) = suspects {
            self.handle_wallet_event(entry_index, WalletEvent::SuspectsChanged(suspects));
        }
        if let Some(ejected) = ejected {
            self.handle_wallet_event(entry_index, WalletEvent::EjectedChanged(ejected));
        }
        if self.policy == Some(RoutePolicy::Credits) {
            self.handle_wallet_event(entry_index, WalletEvent::Tick(waiting));
        }
        self.start_waiting(entry_index);
    }

    fn report_loads(&mut self) {
        self.schedule_event(LOAD_REPORT_INTERVAL_NS, Event::LoadReport);
        for server in &self.servers {
            let load = server.running + server.queue.len() as u32;
            for entry in &mut self.entries {
                entry.pool.record_load_report(server.key, load);
            }
        }
    }
}

fn deadline(class: WorkClass) -> Duration {
    match class {
        WorkClass::Short => SHORT_DEADLINE,
        WorkClass::Long => LONG_DEADLINE,
    }
}

fn main() {
    let sigma = option("--sigma").map_or(1.0, |text| text.parse().expect("sigma is a number"));
    let seeds = option("--seeds").unwrap_or_else(|| "1,2,3".to_owned());
    let (scenario_filter, policy_filter) = (option("--scenario"), option("--policy"));
    println!("lognormal sigma {sigma}, seeds {seeds}; each value is minimum/median/maximum");
    for (scenario_name, scenario) in SCENARIOS {
        if scenario_filter.as_ref().is_some_and(|filter| filter != scenario_name) {
            continue;
        }
        for (policy_name, policy) in POLICIES {
            if policy_filter
                .as_ref()
                .is_some_and(|filter| !filter.split(',').any(|part| part == policy_name))
            {
                continue;
            }
            let mut results = Vec::new();
            for seed in seeds.split(',') {
                let seed = seed.parse().expect("seeds are numbers");
                let arrivals = scenario.generate_arrivals(seed, sigma);
                let mut result = Run::new(scenario, policy, &arrivals, seed).run();
                result.short_latencies.sort_by(f64::total_cmp);
                result.short_waits.sort_by(f64::total_cmp);
                for waits in &mut result.long_waits {
                    waits.sort_by(f64::total_cmp);
                }
                results.push(result);
            }
            print_row(scenario_name, policy_name, scenario, &results);
        }
    }
}
