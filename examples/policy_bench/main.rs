//! Compares the policies with an ideal shared queue over the same arrivals and service times.
//!
//! Usage: `policy_bench [--sigma 1.0] [--seeds 1,2,3] [--scenario NAME] [--policy NAME,...]
//! [--ahead PERCENT] [--idle-hold-us N] [--gap-us N] [--repeat-us N]`.
//! Simulated time; one service, 13 entries, 15 servers of 6 slots, messages between entries and
//! the account holder take 0.5 ms, load reports are 1 s old, requests reach servers at once.

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

use fleet::{Entry, Server, zone};
use options::{account_settings, option};
use scenario::{Arrival, SCENARIOS, Scenario};
use table::print_row;

const ENTRIES: usize = 13;
const SERVERS: usize = 15;
const SLOTS: u32 = 6;
const MEAN_SERVICE: f64 = 0.020;
const CAPACITY: f64 = SERVERS as f64 * SLOTS as f64 / MEAN_SERVICE;
const MESSAGE_DELAY: u64 = 500_000;
const TICK: u64 = 1_000_000;
const REPORT: u64 = 1_000_000_000;
const RUN: f64 = 12.0;
/// Time before which nothing is measured.
const WARM_UP: f64 = 2.0;
/// Time at which the straggler of the onset scenario becomes slow, in seconds.
const ONSET: f64 = 5.0;
/// Ends of the windows after the onset over which the straggler's work is counted, in seconds.
const ONSET_WINDOWS: [f64; 3] = [0.03, 0.1, 0.3];
const DEADLINE: Duration = Duration::from_millis(500);
const LONG_DEADLINE: Duration = Duration::from_secs(10);
const SHORT: WorkClass = WorkClass::Short;

/// `None` is the ideal shared queue.
const POLICIES: [(&str, Option<RoutePolicy>); 6] = [
    ("ideal", None),
    ("credits", Some(RoutePolicy::Credits)),
    ("two_choices", Some(RoutePolicy::TwoChoices)),
    ("least_in_flight", Some(RoutePolicy::LeastInFlight)),
    ("round_robin", Some(RoutePolicy::RoundRobin)),
    ("random", Some(RoutePolicy::Random)),
];

enum Event {
    Arrive(usize),
    /// Request `work` ends on `server`.
    Finish {
        server: usize,
        work: usize,
    },
    ToHolder(usize, EntryMessage),
    ToEntry(usize, HolderMessage),
    Tick(usize),
    HolderTick,
    Report,
}

#[derive(Default, Clone)]
struct Outcome {
    latencies: Vec<f64>,
    waits: Vec<f64>,
    /// Long work of entry 0 and of the others: waits in seconds, and counts.
    long_waits: [Vec<f64>; 2],
    long_offered: [u64; 2],
    long_done: [u64; 2],
    bytes: u64,
    /// Starts on the straggler and on all servers, per window after the onset.
    onset_starts: [(u32, u32); 3],
    good: u64,
    refused: u64,
    failed: u64,
    late: u64,
    messages: u64,
    requests: u64,
    over_slots: u32,
    decisions: u64,
    decision_time: Duration,
    holder_events: u64,
    holder_time: Duration,
}

struct Run<'a> {
    scenario: Scenario,
    policy: Option<RoutePolicy>,
    arrivals: &'a [Arrival],
    base: Instant,
    now: u64,
    sequence: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    servers: Vec<Server>,
    entries: Vec<Entry>,
    book: CreditAccount,
    picked: BTreeMap<usize, PickedServer>,
    shared: AdmissionQueue<usize>,
    outcome: Outcome,
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
        for index in 0..SERVERS {
            let key = server_key(&format!("server-{index}"));
            servers.push(Server { key, running: 0, queue: VecDeque::new(), most: 0 });
        }
        let mut entries = Vec::new();
        for index in 0..ENTRIES {
            entries.push(Entry::new(index, policy, &servers, base, seed));
        }
        let book = CreditAccount::new(base, account_settings());
        let limits = AdmissionSettings::default().limits.map(|limit| limit * ENTRIES);
        let shared = AdmissionQueue::new(AdmissionSettings { limits, ..Default::default() });
        Self {
            scenario,
            policy,
            arrivals,
            base,
            now: 0,
            sequence: 0,
            heap: BinaryHeap::new(),
            events: BTreeMap::new(),
            servers,
            entries,
            book,
            picked: BTreeMap::new(),
            shared,
            outcome: Outcome::default(),
        }
    }

    fn instant(&self) -> Instant {
        self.base + Duration::from_nanos(self.now)
    }

    fn at(&mut self, delay: u64, event: Event) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn run(mut self) -> Outcome {
        self.start();
        let end = (RUN * 1e9) as u64;
        while let Some(Reverse((at, sequence))) = self.heap.pop() {
            if at > end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&sequence).expect("every queued number has an event");
            self.handle(event);
        }
        self.outcome.over_slots =
            self.servers.iter().map(|server| server.most.saturating_sub(SLOTS)).max().unwrap_or(0);
        self.outcome
    }

    fn start(&mut self) {
        self.at((self.arrivals[0].at * 1e9) as u64, Event::Arrive(0));
        let is_credits = self.policy == Some(RoutePolicy::Credits);
        for index in 0..ENTRIES {
            // Entries tick at different instants, as separate processes do.
            self.at(TICK * index as u64 / ENTRIES as u64, Event::Tick(index));
        }
        self.at(REPORT, Event::Report);
        if !is_credits {
            return;
        }
        self.at(TICK, Event::HolderTick);
        let mut limits = Vec::new();
        for (index, server) in self.servers.iter().enumerate() {
            let (server, zone) = (server.key, zone(index));
            limits.push(ServerLimit { server, zone, slots: SLOTS, draining: false });
        }
        self.feed(AccountEvent::ServersChanged(limits));
        let mut live = Vec::new();
        for (index, entry) in self.entries.iter().enumerate() {
            live.push(LiveEntry { name: entry.name.clone(), zone: zone(index) });
        }
        self.feed(AccountEvent::EpochChanged { epoch: 1, entries: live });
        let names: Vec<_> = self.entries.iter().map(|entry| entry.name.clone()).collect();
        for index in 0..ENTRIES {
            let event = WalletEvent::HolderChanged { epoch: 1, live: names.clone() };
            self.feed_wallet(index, event);
        }
    }

    fn feed(&mut self, event: AccountEvent) {
        let started = Instant::now();
        let actions = self.book.handle(self.instant(), event);
        self.outcome.holder_time += started.elapsed();
        self.outcome.holder_events += 1;
        for action in actions {
            let index = self.entries.iter().position(|entry| entry.name == action.entry);
            let index = index.expect("actions name known entries");
            self.outcome.messages += 1;
            self.outcome.bytes += u64::from(action.message.wire_bytes());
            self.at(MESSAGE_DELAY, Event::ToEntry(index, action.message));
        }
    }

    fn feed_wallet(&mut self, index: usize, event: WalletEvent) {
        let now = self.instant();
        if let Some(message) = self.entries[index].wallet.handle(now, event) {
            self.outcome.messages += 1;
            self.outcome.bytes += u64::from(message.wire_bytes());
            self.at(MESSAGE_DELAY, Event::ToHolder(index, message));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(work) => self.arrive(work),
            Event::Finish { server, work } => self.finish(server, work),
            Event::ToHolder(index, message) => {
                let entry = self.entries[index].name.clone();
                self.feed(AccountEvent::Message { entry, message });
            }
            Event::ToEntry(index, message) => {
                self.feed_wallet(index, WalletEvent::Message(message));
                self.start_waiting(index);
            }
            Event::Tick(index) => self.tick(index),
            Event::HolderTick => {
                self.feed(AccountEvent::Tick);
                self.at(TICK, Event::HolderTick);
            }
            Event::Report => self.report(),
        }
    }

    fn arrive(&mut self, work: usize) {
        let arrival = &self.arrivals[work];
        if let Some(next) = self.arrivals.get(work + 1) {
            let delay = ((next.at * 1e9) as u64).saturating_sub(self.now);
            self.at(delay, Event::Arrive(work + 1));
        }
        self.outcome.requests += 1;
        let is_long = arrival.class == WorkClass::Long && self.scenario.is_measured(arrival.at);
        self.outcome.long_offered[usize::from(arrival.entry > 0)] += u64::from(is_long);
        let now = self.instant();
        let index = arrival.entry;
        let queue = match self.policy {
            Some(_) => &mut self.entries[index].queue,
            None => &mut self.shared,
        };
        let deadline = Some(now + deadline(arrival.class));
        let is_queued = queue.offer(now, arrival.class, work, deadline).is_ok();
        self.outcome.refused += u64::from(!is_queued);
        self.start_waiting(index);
        let waiting = self.entries[index].queue.waiting();
        if self.policy == Some(RoutePolicy::Credits) && waiting.iter().any(|work| work.count > 0) {
            self.feed_wallet(index, WalletEvent::Tick(waiting));
        }
    }

    fn start_waiting(&mut self, index: usize) {
        let now = self.instant();
        let mut expired = Vec::new();
        if self.policy.is_none() {
            while let Some(server) = self.ideal_server() {
                let short = self.shared.take(now, SHORT, &mut expired);
                let work = short.or_else(|| self.shared.take(now, WorkClass::Long, &mut expired));
                let Some(work) = work else {
                    break;
                };
                self.start_work(server, work);
            }
            self.outcome.refused += expired.len() as u64;
            return;
        }
        for class in WorkClass::ALL {
            self.start_class(index, class, &mut expired);
        }
        self.outcome.refused += expired.len() as u64;
    }

    fn start_class(&mut self, index: usize, class: WorkClass, expired: &mut Vec<usize>) {
        let now = self.instant();
        while self.entries[index].queue.len(class) > 0 {
            let entry = &mut self.entries[index];
            let started = Instant::now();
            let outcome = entry.pool.pick(now, class, &[], &mut entry.wallet);
            self.outcome.decision_time += started.elapsed();
            self.outcome.decisions += 1;
            let PickOutcome::Start(picked) = outcome else {
                break;
            };
            let Some(work) = entry.queue.take(now, class, expired) else {
                entry.pool.cancel(now, picked, &mut entry.wallet);
                break;
            };
            let server = self.servers.iter().position(|server| server.key == picked.server);
            self.picked.insert(work, picked);
            self.start_work(server.expect("picks name known servers"), work);
        }
    }

    fn start_work(&mut self, server: usize, work: usize) {
        let at = self.now as f64 / 1e9;
        let arrival = &self.arrivals[work];
        if self.scenario.is_measured(at) {
            let waits = match arrival.class {
                WorkClass::Short => &mut self.outcome.waits,
                WorkClass::Long => &mut self.outcome.long_waits[usize::from(arrival.entry > 0)],
            };
            waits.push(at - arrival.at);
        }
        let window = ONSET_WINDOWS.iter().position(|end| at - ONSET < *end);
        if let Some(window) = window.filter(|_| at >= ONSET) {
            let (slow, all) = &mut self.outcome.onset_starts[window];
            (*slow, *all) = (*slow + u32::from(server == 0), *all + 1);
        }
        self.send(server, work);
    }

    fn send(&mut self, server: usize, work: usize) {
        let state = &mut self.servers[server];
        state.most = state.most.max(state.running + state.queue.len() as u32 + 1);
        if state.running >= SLOTS {
            state.queue.push_back(work);
            return;
        }
        state.running += 1;
        let mut seconds = self.arrivals[work].service;
        let is_slow = match self.scenario {
            Scenario::Straggler => true,
            Scenario::Onset => self.now as f64 / 1e9 >= ONSET,
            _ => false,
        };
        if server == 0 && is_slow {
            seconds *= 5.0;
        }
        if self.is_failing(server, work) {
            seconds = 0.001;
        }
        self.at((seconds * 1e9) as u64, Event::Finish { server, work });
    }

    /// The ideal never uses a failing server; it does not know that a straggler is slow.
    fn ideal_server(&self) -> Option<usize> {
        let is_free = |index: &usize| self.servers[*index].running < SLOTS;
        (0..SERVERS).find(|index| is_free(index) && !self.is_failing(*index, 0))
    }

    fn is_failing(&self, server: usize, work: usize) -> bool {
        match self.scenario {
            Scenario::FailFast => server == 0,
            Scenario::Flaky => server == 0 && work.is_multiple_of(5),
            _ => false,
        }
    }

    fn finish(&mut self, server: usize, work: usize) {
        let failed = self.is_failing(server, work);
        self.servers[server].running -= 1;
        if let Some(next) = self.servers[server].queue.pop_front() {
            self.send(server, next);
        }
        let arrival = &self.arrivals[work];
        let (at, index) = (self.now as f64 / 1e9, arrival.entry);
        let latency = at - arrival.at;
        let class = arrival.class;
        self.note(at, class, usize::from(index > 0), latency, failed);
        let now = self.instant();
        if let Some(picked) = self.picked.remove(&work) {
            let entry = &mut self.entries[index];
            entry.queue.record_service_time(class, now.saturating_duration_since(picked.sent));
            let started = Instant::now();
            entry.pool.finish(now, picked, failed, &mut entry.wallet);
            self.outcome.decision_time += started.elapsed();
            self.outcome.decisions += 1;
        } else {
            self.shared.record_service_time(class, Duration::from_secs_f64(arrival.service));
        }
        self.start_waiting(index);
    }

    fn note(&mut self, at: f64, class: WorkClass, group: usize, latency: f64, failed: bool) {
        if failed {
            self.outcome.failed += 1;
            return;
        }
        let is_late = latency > deadline(class).as_secs_f64();
        self.outcome.late += u64::from(is_late);
        if self.scenario.is_measured(at) && class == WorkClass::Long {
            self.outcome.long_done[group] += u64::from(!is_late);
        } else if self.scenario.is_measured(at) {
            self.outcome.latencies.push(latency);
            self.outcome.good += u64::from(!is_late);
        }
    }

    fn tick(&mut self, index: usize) {
        self.at(TICK, Event::Tick(index));
        let now = self.instant();
        let mut expired = Vec::new();
        if self.policy.is_none() {
            self.shared.expire(now, &mut expired);
            self.outcome.refused += expired.len() as u64;
            return;
        }
        let entry = &mut self.entries[index];
        entry.queue.expire(now, &mut expired);
        self.outcome.refused += expired.len() as u64;
        let avoided = entry.pool.tick(now).map(<[ServerKey]>::to_vec);
        let suspects = entry.pool.changed_suspects(now).map(<[_]>::to_vec);
        let waiting = entry.queue.waiting();
        if let Some(suspects) = suspects {
            self.feed_wallet(index, WalletEvent::SuspectsChanged(suspects));
        }
        if let Some(avoided) = avoided {
            self.feed_wallet(index, WalletEvent::EjectedChanged(avoided));
        }
        if self.policy == Some(RoutePolicy::Credits) {
            self.feed_wallet(index, WalletEvent::Tick(waiting));
        }
        self.start_waiting(index);
    }

    fn report(&mut self) {
        self.at(REPORT, Event::Report);
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
        WorkClass::Short => DEADLINE,
        WorkClass::Long => LONG_DEADLINE,
    }
}

fn main() {
    let sigma = option("--sigma").map_or(1.0, |text| text.parse().expect("sigma is a number"));
    let seeds = option("--seeds").unwrap_or_else(|| "1,2,3".to_owned());
    let (only_scenario, only_policy) = (option("--scenario"), option("--policy"));
    println!("lognormal sigma {sigma}, seeds {seeds}; each value is minimum/median/maximum");
    for (scenario_name, scenario) in SCENARIOS {
        if only_scenario.as_ref().is_some_and(|only| only != scenario_name) {
            continue;
        }
        for (name, policy) in POLICIES {
            if only_policy.as_ref().is_some_and(|only| !only.split(',').any(|part| part == name)) {
                continue;
            }
            let mut outcomes = Vec::new();
            for seed in seeds.split(',') {
                let seed = seed.parse().expect("seeds are numbers");
                let arrivals = scenario.record(seed, sigma);
                let mut outcome = Run::new(scenario, policy, &arrivals, seed).run();
                outcome.latencies.sort_by(f64::total_cmp);
                outcome.waits.sort_by(f64::total_cmp);
                for waits in &mut outcome.long_waits {
                    waits.sort_by(f64::total_cmp);
                }
                outcomes.push(outcome);
            }
            print_row(scenario_name, name, scenario, &outcomes);
        }
    }
}
