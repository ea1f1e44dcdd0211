//! Simulations of one account with several wallets: no server gets more requests than it has slots,
//! and no work waits while a slot is free.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use curranthollow::credit::{
    AccountEvent, AccountSettings, ClassDemand, CreditAccount, CreditCount, CreditWallet,
    EntryMessage, HeldCounts, HeldCredit, HolderMessage, LiveEntry, ResponseVerdict, ServerKey,
    ServerLimit, ServerOutcomes, SuspectReason, SuspectServer, WaitingWork, WalletEvent,
    WalletServer, WalletSettings, WorkClass, fallback_share, server_key,
};
use curranthollow::ids::ProcessName;
use yare::parameterized;

const MILLISECOND: Duration = Duration::from_millis(1);

/// An account and several wallets, joined by links that deliver messages in order. Tests choose the
/// interleaving of deliveries.
struct CreditSimulation {
    now: Instant,
    random: fastrand::Rng,
    epoch: u64,
    account: CreditAccount,
    servers: Vec<ServerLimit>,
    entries: BTreeMap<ProcessName, SimulatedEntry>,
    trace: Vec<String>,
}

struct SimulatedEntry {
    wallet: CreditWallet,
    is_connected: bool,
    to_holder: VecDeque<EntryMessage>,
    to_entry: VecDeque<HolderMessage>,
    running: Vec<HeldCredit>,
    waiting: [VecDeque<Instant>; 2],
}

impl SimulatedEntry {
    fn waiting_work(&self) -> [WaitingWork; 2] {
        let waiting_in = |queue: &VecDeque<Instant>| WaitingWork {
            count: queue.len() as u32,
            oldest: queue.front().copied(),
            deadline: None,
        };
        [waiting_in(&self.waiting[0]), waiting_in(&self.waiting[1])]
    }

    fn start_waiting_work(&mut self, now: Instant) {
        for class in WorkClass::ALL {
            while !self.waiting[class.index()].is_empty() {
                let Some(credit) = self.wallet.acquire(now, class, &[]) else {
                    break;
                };
                self.waiting[class.index()].pop_front();
                self.running.push(credit);
            }
        }
    }
}

impl CreditSimulation {
    fn new(seed: u64, entry_count: usize, slots: &[u32]) -> Self {
        let now = Instant::now();
        let mut servers = Vec::new();
        for (index, slots) in slots.iter().enumerate() {
            let server = server_key(&format!("server-{index}"));
            let zone = format!("zone-{}", index % 3).into();
            servers.push(ServerLimit { server, zone, slots: *slots, draining: false });
        }
        let mut entries = BTreeMap::new();
        for index in 0..entry_count {
            let name: ProcessName = format!("entry-{index}").into();
            let zone = format!("zone-{}", index % 3).into();
            let settings = WalletSettings::default();
            let mut wallet = CreditWallet::new(now, name.clone(), zone, settings);
            wallet.handle(now, WalletEvent::ServersChanged(wallet_servers(&servers)));
            let entry = SimulatedEntry {
                wallet,
                is_connected: true,
                to_holder: VecDeque::new(),
                to_entry: VecDeque::new(),
                running: Vec::new(),
                waiting: [VecDeque::new(), VecDeque::new()],
            };
            entries.insert(name, entry);
        }
        let account = CreditAccount::new(now, AccountSettings::default());
        let random = fastrand::Rng::with_seed(seed);
        let trace = Vec::new();
        let mut simulation = Self { now, random, epoch: 0, account, servers, entries, trace };
        simulation.apply(AccountEvent::ServersChanged(simulation.servers.clone()));
        simulation.change_epoch();
        simulation
    }

    fn names(&self) -> Vec<ProcessName> {
        self.entries.keys().cloned().collect()
    }

    fn random_entry(&mut self) -> ProcessName {
        let index = self.random.usize(..self.entries.len());
        self.names()[index].clone()
    }

    fn apply(&mut self, event: AccountEvent) {
        for action in self.account.handle(self.now, event) {
            for grant in &action.message.grants {
                let server = self.servers.iter().position(|server| server.server == grant.server);
                let server = server.expect("grants name known servers");
                let text = format!("{} is granted {} of {server}", action.entry, grant.count);
                self.trace.push(text);
            }
            for recall in &action.message.recalls {
                self.trace.push(format!("{} must return {}", action.entry, recall.count));
            }
            let entry = self.entries.get_mut(&action.entry).expect("actions name known entries");
            if entry.is_connected {
                entry.to_entry.push_back(action.message);
            }
        }
    }

    fn change_epoch(&mut self) {
        self.epoch += 1;
        let mut live = Vec::new();
        for (index, name) in self.names().into_iter().enumerate() {
            live.push(LiveEntry { name, zone: format!("zone-{}", index % 3).into() });
        }
        self.apply(AccountEvent::EpochChanged { epoch: self.epoch, entries: live });
        for name in self.names() {
            self.announce_holder(&name);
        }
    }

    fn announce_holder(&mut self, name: &ProcessName) {
        let live = self.names();
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if !entry.is_connected {
            return;
        }
        let event = WalletEvent::HolderChanged { epoch: self.epoch, live };
        entry.to_holder.extend(entry.wallet.handle(self.now, event));
    }

    /// Replaces the holder by a new process, which knows nothing of the old account.
    fn replace_holder(&mut self) {
        for name in self.names() {
            self.disconnect(&name);
        }
        self.account = CreditAccount::new(self.now, AccountSettings::default());
        self.apply(AccountEvent::ServersChanged(self.servers.clone()));
        self.epoch += 1;
        let mut live = Vec::new();
        for (index, name) in self.names().into_iter().enumerate() {
            live.push(LiveEntry { name, zone: format!("zone-{}", index % 3).into() });
        }
        self.apply(AccountEvent::EpochChanged { epoch: self.epoch, entries: live });
        for name in self.names() {
            self.connect(&name);
        }
    }

    fn disconnect(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.is_connected = false;
        entry.to_holder.clear();
        entry.to_entry.clear();
        entry.wallet.handle(self.now, WalletEvent::HolderUnreachable);
        self.apply(AccountEvent::EntryDisconnected(name.clone()));
    }

    fn connect(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if entry.is_connected {
            return;
        }
        entry.is_connected = true;
        self.apply(AccountEvent::EntryConnected(name.clone()));
        self.announce_holder(name);
    }

    fn deliver_to_holder(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(message) = entry.to_holder.pop_front() else {
            return;
        };
        self.apply(AccountEvent::Message { entry: name.clone(), message });
    }

    fn deliver_to_entry(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(message) = entry.to_entry.pop_front() else {
            return;
        };
        entry.to_holder.extend(entry.wallet.handle(self.now, WalletEvent::Message(message)));
        entry.start_waiting_work(self.now);
    }

    fn tick_entry(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let work = entry.waiting_work();
        entry.to_holder.extend(entry.wallet.handle(self.now, WalletEvent::Tick(work)));
        entry.start_waiting_work(self.now);
    }

    fn request(&mut self, name: &ProcessName, class: WorkClass) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.waiting[class.index()].push_back(self.now);
        entry.start_waiting_work(self.now);
    }

    fn finish(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if entry.running.is_empty() {
            return;
        }
        let index = self.random.usize(..entry.running.len());
        let credit = entry.running.swap_remove(index);
        entry.wallet.release(self.now, credit);
        entry.start_waiting_work(self.now);
    }

    /// Ends a request with a response that is classified as `verdict`.
    fn answer(&mut self, name: &ProcessName, verdict: ResponseVerdict) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(credit) = entry.running.pop() else {
            return;
        };
        entry.wallet.finish(self.now, credit, verdict);
        entry.start_waiting_work(self.now);
    }

    /// Lets the entry suspect random servers, `percent` of them on average.
    fn suspect(&mut self, name: &ProcessName, percent: u32) {
        let mut suspects = Vec::new();
        for server in &self.servers {
            if self.random.u32(..100) < percent {
                let (server, strength) = (server.server, self.random.u8(30..=100));
                suspects.push(SuspectServer { server, reason: SuspectReason::Slow, strength });
            }
        }
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.wallet.handle(self.now, WalletEvent::SuspectsChanged(suspects));
    }

    fn run_rounds(&mut self, rounds: usize) {
        self.run_rounds_with_step(rounds, MILLISECOND);
    }

    fn run_rounds_with_step(&mut self, rounds: usize, step: Duration) {
        for _ in 0..rounds {
            for name in self.names() {
                self.tick_entry(&name);
                while !self.entries[&name].to_holder.is_empty() {
                    self.deliver_to_holder(&name);
                }
            }
            self.apply(AccountEvent::Tick);
            for name in self.names() {
                while !self.entries[&name].to_entry.is_empty() {
                    self.deliver_to_entry(&name);
                }
            }
            self.now += step;
        }
    }

    fn running_on(&self, server: ServerKey) -> u32 {
        self.entries.values().map(|entry| entry.wallet.in_use(server)).sum()
    }

    fn held_on(&self, server: ServerKey) -> u32 {
        self.entries.values().map(|entry| entry.wallet.held(server)).sum()
    }

    fn check_slots(&self, step: usize) {
        for server in &self.servers {
            let held = self.held_on(server.server);
            assert!(held <= server.slots, "step {step}: {held} of {} slots", server.slots);
            let outstanding = self.account.outstanding(server.server);
            assert!(outstanding <= server.slots, "step {step}: outstanding {outstanding}");
        }
    }

    /// Asserts that no short work waits while a server has a free slot.
    fn check_work_conserving(&self) {
        let waiting: usize = self.entries.values().map(|entry| entry.waiting[0].len()).sum();
        if waiting == 0 {
            return;
        }
        for server in self.servers.iter().filter(|server| !server.draining) {
            let running = self.running_on(server.server);
            assert!(running >= server.slots, "{waiting} wait, {running} of {}", server.slots);
        }
    }
}

fn wallet_servers(servers: &[ServerLimit]) -> Vec<WalletServer> {
    let mut list = Vec::new();
    for server in servers {
        let ServerLimit { server, zone, slots, draining } = server.clone();
        list.push(WalletServer { server, zone, slots, draining });
    }
    list
}

/// Guards against more credits than slots under random sequences of requests, deliveries and ticks,
/// and against work that waits while a slot is free once all messages have been delivered.
#[parameterized(
    one = { 1, 2, &[1] },
    few = { 2, 3, &[2, 3] },
    fifteen_servers = { 3, 13, &[6; 15] },
    thirteen_servers = { 4, 13, &[4; 13] },
    uneven = { 5, 5, &[1, 9, 2, 4] },
)]
fn random_traffic_never_exceeds_slots(seed: u64, entry_count: usize, slots: &[u32]) {
    for round in 0..20 {
        let mut simulation = CreditSimulation::new(seed * 1000 + round, entry_count, slots);
        for step in 0..1500 {
            let name = simulation.random_entry();
            match simulation.random.u32(..100) {
                0..30 => simulation.request(&name, WorkClass::Short),
                30..35 => simulation.request(&name, WorkClass::Long),
                35..60 => simulation.finish(&name),
                60..72 => simulation.deliver_to_holder(&name),
                72..84 => simulation.deliver_to_entry(&name),
                84..94 => simulation.tick_entry(&name),
                94..97 => simulation.apply(AccountEvent::Tick),
                _ => simulation.now += MILLISECOND * simulation.random.u32(..3),
            }
            simulation.check_slots(step);
        }
        simulation.run_rounds(60);
        simulation.check_work_conserving();
    }
}

/// Guards against credits granted twice when links break, epochs change and holders are replaced.
/// All interruptions are shorter than the lease, so that no wallet enters fallback mode.
#[parameterized(first = { 11 }, second = { 12 }, third = { 13 })]
fn short_interruptions_never_exceed_slots(seed: u64) {
    for round in 0..25 {
        let mut simulation = CreditSimulation::new(seed * 1000 + round, 5, &[6, 6, 4, 1]);
        simulation.run_rounds(5);
        for step in 0..1500 {
            let name = simulation.random_entry();
            match simulation.random.u32(..200) {
                0..60 => simulation.request(&name, WorkClass::Short),
                60..65 => simulation.request(&name, WorkClass::Long),
                65..120 => simulation.finish(&name),
                120..145 => simulation.deliver_to_holder(&name),
                145..170 => simulation.deliver_to_entry(&name),
                170..185 => simulation.tick_entry(&name),
                185..190 => simulation.apply(AccountEvent::Tick),
                190..192 => simulation.disconnect(&name),
                192..195 => simulation.connect(&name),
                195..196 => simulation.change_epoch(),
                196..197 => simulation.replace_holder(),
                _ => simulation.now += MILLISECOND,
            }
            simulation.check_slots(step);
        }
        for name in simulation.names() {
            simulation.connect(&name);
        }
        simulation.run_rounds(100);
        simulation.check_work_conserving();
    }
}

/// Guards against credits that are lost or counted twice after interruptions of any length. Those
/// longer than the lease also bring late messages and work started in fallback mode.
#[parameterized(first = { 31 }, second = { 32 }, third = { 33 })]
fn long_interruptions_lose_no_slot(seed: u64) {
    for round in 0..25 {
        let mut simulation = CreditSimulation::new(seed * 1000 + round, 4, &[5, 3, 1]);
        for _ in 0..1500 {
            let name = simulation.random_entry();
            match simulation.random.u32(..200) {
                0..60 => simulation.request(&name, WorkClass::Short),
                60..65 => simulation.request(&name, WorkClass::Long),
                65..120 => simulation.finish(&name),
                120..145 => simulation.deliver_to_holder(&name),
                145..170 => simulation.deliver_to_entry(&name),
                170..183 => simulation.tick_entry(&name),
                183..188 => simulation.apply(AccountEvent::Tick),
                188..190 => simulation.disconnect(&name),
                190..193 => simulation.connect(&name),
                193..194 => simulation.change_epoch(),
                194..195 => simulation.replace_holder(),
                195..197 => simulation.now += MILLISECOND * simulation.random.u32(..1500),
                _ => simulation.now += MILLISECOND,
            }
        }
        for name in simulation.names() {
            simulation.connect(&name);
        }
        // Longer than the lease, so that every silent entry has reported again.
        simulation.run_rounds_with_step(100, MILLISECOND * 25);
        for name in simulation.names() {
            while !simulation.entries[&name].running.is_empty() {
                simulation.finish(&name);
            }
            simulation.entries.get_mut(&name).expect("the entry is known").waiting =
                Default::default();
        }
        simulation.run_rounds(50);
        for name in simulation.names() {
            for _ in 0..9 {
                simulation.request(&name, WorkClass::Short);
            }
        }
        simulation.run_rounds(100);
        simulation.check_slots(0);
        simulation.check_work_conserving();
    }
}

/// Guards against more credits than slots while servers are blocked, probed and uncapped, and
/// against servers that stay capped although their responses have become good.
#[parameterized(first = { 51 }, second = { 52 }, third = { 53 })]
fn suspicions_never_exceed_slots(seed: u64) {
    const VERDICTS: [ResponseVerdict; 5] = [
        ResponseVerdict::Good,
        ResponseVerdict::Neutral,
        ResponseVerdict::Slow,
        ResponseVerdict::Failed,
        ResponseVerdict::ServiceWideFailure,
    ];
    let mut capped = 0;
    for round in 0..10 {
        let mut simulation = CreditSimulation::new(seed * 1000 + round, 5, &[6, 6, 4, 1]);
        simulation.run_rounds(5);
        for step in 0..1500 {
            let name = simulation.random_entry();
            match simulation.random.u32(..200) {
                0..60 => simulation.request(&name, WorkClass::Short),
                60..65 => simulation.request(&name, WorkClass::Long),
                65..120 => {
                    let verdict = VERDICTS[simulation.random.usize(..VERDICTS.len())];
                    simulation.answer(&name, verdict);
                }
                120..140 => simulation.deliver_to_holder(&name),
                140..160 => simulation.deliver_to_entry(&name),
                160..175 => simulation.tick_entry(&name),
                175..180 => simulation.suspect(&name, 20),
                180..185 => simulation.apply(AccountEvent::Tick),
                185..186 => simulation.disconnect(&name),
                186..190 => simulation.connect(&name),
                _ => simulation.now += MILLISECOND * 2,
            }
            simulation.check_slots(step);
            capped += simulation.account.capped().len();
        }
        for name in simulation.names() {
            simulation.connect(&name);
            simulation.suspect(&name, 0);
        }
        for step in 0..400 {
            for name in simulation.names() {
                simulation.answer(&name, ResponseVerdict::Good);
                simulation.request(&name, WorkClass::Short);
            }
            simulation.run_rounds_with_step(1, MILLISECOND * 25);
            simulation.check_slots(step);
        }
        assert!(
            simulation.account.capped().is_empty(),
            "round {round}: {:?}",
            simulation.account.capped()
        );
        simulation.run_rounds(60);
        simulation.check_work_conserving();
    }
    assert!(capped > 0, "no server was ever capped");
}

/// Guards against credits of a dead entry that are granted again too early or never.
#[test]
fn credits_of_dead_entry_return_after_lease() {
    let mut simulation = CreditSimulation::new(21, 2, &[4]);
    let (dead, alive): (ProcessName, ProcessName) = ("entry-0".into(), "entry-1".into());
    for _ in 0..4 {
        simulation.request(&dead, WorkClass::Short);
    }
    simulation.run_rounds(10);
    assert_eq!(simulation.entries[&dead].running.len(), 4);
    simulation.disconnect(&dead);
    for _ in 0..4 {
        simulation.request(&alive, WorkClass::Short);
    }
    simulation.run_rounds(1900);
    assert_eq!(simulation.entries[&alive].running.len(), 0);
    simulation.run_rounds(400);
    // Two of four slots stay reserved for the fallback share of the dead entry, which is still in
    // the list of live entries.
    assert_eq!(simulation.entries[&alive].running.len(), 2);
    let zone = "zone-1".into();
    let live = vec![LiveEntry { name: alive.clone(), zone }];
    simulation.epoch += 1;
    let epoch = simulation.epoch;
    simulation.apply(AccountEvent::EpochChanged { epoch, entries: live });
    simulation.announce_holder(&alive);
    simulation.run_rounds(100);
    assert_eq!(simulation.entries[&alive].running.len(), 4);
}

/// Guards against a new holder that grants credits before every entry has reported those it holds.
#[test]
fn new_holder_waits_for_every_report() {
    let mut simulation = CreditSimulation::new(22, 3, &[6]);
    let silent: ProcessName = "entry-2".into();
    simulation.request(&silent, WorkClass::Short);
    simulation.run_rounds(10);
    simulation.replace_holder();
    simulation.disconnect(&silent);
    let requester: ProcessName = "entry-0".into();
    for _ in 0..6 {
        simulation.request(&requester, WorkClass::Short);
    }
    simulation.run_rounds(50);
    assert!(!simulation.account.has_all_reports());
    let before = simulation.entries[&requester].running.len();
    simulation.run_rounds(2000);
    assert_eq!(simulation.entries[&requester].running.len(), before);
    simulation.run_rounds(300);
    assert!(simulation.account.has_all_reports());
    assert_eq!(simulation.entries[&requester].running.len(), 4);
}

/// Guards against new work on a server that is draining or has fewer slots than before.
#[parameterized(
    drains = { true, 4, 0 },
    shrinks = { false, 1, 1 },
)]
fn reduced_server_loses_credits(draining: bool, slots: u32, expected: u32) {
    let mut simulation = CreditSimulation::new(23, 3, &[4, 4]);
    for name in simulation.names() {
        for _ in 0..4 {
            simulation.request(&name, WorkClass::Short);
        }
    }
    simulation.run_rounds(10);
    simulation.servers[0].draining = draining;
    simulation.servers[0].slots = slots;
    let server = simulation.servers[0].server;
    simulation.apply(AccountEvent::ServersChanged(simulation.servers.clone()));
    for _ in 0..60 {
        for name in simulation.names() {
            simulation.finish(&name);
            simulation.request(&name, WorkClass::Short);
        }
        simulation.run_rounds(3);
    }
    assert_eq!(simulation.running_on(server), expected);
    assert_eq!(simulation.account.outstanding(server), expected);
}

/// Guards against long work in the slots that are reserved for short work.
#[test]
fn long_work_leaves_slots_for_short() {
    let mut simulation = CreditSimulation::new(24, 2, &[6, 6]);
    let name: ProcessName = "entry-0".into();
    for _ in 0..20 {
        simulation.request(&name, WorkClass::Long);
    }
    simulation.run_rounds(50);
    assert_eq!(simulation.entries[&name].running.len(), 6);
    for _ in 0..6 {
        simulation.request(&"entry-1".into(), WorkClass::Short);
    }
    simulation.run_rounds(20);
    assert_eq!(simulation.entries[&ProcessName::from("entry-1")].running.len(), 6);
}

/// Guards against an entry that reuses a credit for long work although older long work waits in
/// another entry.
#[test]
fn long_credit_is_granted_to_oldest_work() {
    let mut simulation = CreditSimulation::new(29, 2, &[6, 6]);
    let (first, second): (ProcessName, ProcessName) = ("entry-0".into(), "entry-1".into());
    for _ in 0..6 {
        simulation.request(&first, WorkClass::Long);
    }
    simulation.run_rounds(50);
    simulation.request(&second, WorkClass::Long);
    simulation.run_rounds(5);
    for _ in 0..5 {
        simulation.request(&first, WorkClass::Long);
    }
    simulation.finish(&first);
    simulation.run_rounds(5);
    assert_eq!(simulation.entries[&second].running.len(), 1);
    assert_eq!(simulation.entries[&first].running.len(), 5);
}

/// Guards against long work that never starts because short work takes its credits.
#[test]
fn short_work_leaves_credit_for_waiting_long_work() {
    let mut simulation = CreditSimulation::new(30, 1, &[4]);
    let name: ProcessName = "entry-0".into();
    for _ in 0..4 {
        simulation.request(&name, WorkClass::Short);
    }
    simulation.run_rounds(20);
    simulation.request(&name, WorkClass::Long);
    simulation.run_rounds(2);
    for _ in 0..4 {
        simulation.request(&name, WorkClass::Short);
    }
    simulation.run_rounds(2);
    for _ in 0..4 {
        simulation.finish(&name);
        simulation.run_rounds(5);
    }
    assert!(simulation.entries[&name].waiting[WorkClass::Long.index()].is_empty());
}

/// Guards against fallback shares that add up to more or less than the limit.
#[parameterized(
    fewer_slots = { 13, 6 },
    more_slots = { 3, 20 },
    one_entry = { 1, 6 },
    no_slots = { 4, 0 },
)]
fn fallback_shares_add_up(entry_count: usize, limit: u32) {
    let names: Vec<ProcessName> = (0..entry_count).map(|index| index.to_string().into()).collect();
    for server in 0..50 {
        let mut sum = 0;
        for name in &names {
            sum += fallback_share(server, limit, name, names.iter());
        }
        assert_eq!(sum, limit);
    }
}

/// Guards against entries that together exceed the slots while no account holder is reachable.
#[test]
fn fallback_stays_within_slots() {
    let mut simulation = CreditSimulation::new(25, 13, &[6; 5]);
    simulation.run_rounds(5);
    for name in simulation.names() {
        simulation.disconnect(&name);
    }
    simulation.run_rounds(2100);
    for name in simulation.names() {
        for _ in 0..10 {
            simulation.request(&name, WorkClass::Short);
        }
    }
    for server in &simulation.servers {
        assert_eq!(simulation.running_on(server.server), 6);
    }
    for name in simulation.names() {
        simulation.connect(&name);
    }
    simulation.run_rounds(100);
    for server in &simulation.servers {
        assert_eq!(simulation.account.outstanding(server.server), 6);
    }
}

/// Guards against an entry that floods the holder with a message per request. There must be at most
/// one message about demand per tick.
#[test]
fn one_message_per_tick() {
    let mut simulation = CreditSimulation::new(26, 2, &[1]);
    let name: ProcessName = "entry-0".into();
    simulation.run_rounds(5);
    for _ in 0..50 {
        simulation.request(&name, WorkClass::Short);
    }
    assert_eq!(simulation.entries[&name].to_holder.len(), 0);
    simulation.tick_entry(&name);
    simulation.tick_entry(&name);
    assert_eq!(simulation.entries[&name].to_holder.len(), 1);
}

/// Guards against a malformed message that makes the account holder panic or frees slots that other
/// entries hold.
#[test]
fn malformed_message_is_harmless() {
    let mut simulation = CreditSimulation::new(28, 2, &[2]);
    for _ in 0..2 {
        simulation.request(&"entry-0".into(), WorkClass::Short);
    }
    simulation.run_rounds(10);
    let (max_count, server) = (u32::MAX, simulation.servers[0].server);
    let class = WorkClass::Short;
    let demand = ClassDemand {
        class,
        waiting: max_count,
        oldest_age: Duration::MAX,
        deadline: Some(Duration::MAX),
    };
    let reason = SuspectReason::Failing;
    let suspect = SuspectServer { server, reason, strength: u8::MAX };
    let outcome = ServerOutcomes { server, good: max_count, slow: max_count, failed: max_count };
    let message = EntryMessage {
        epoch: 1,
        session: 1,
        sequence: u64::MAX,
        received: u64::MAX,
        started: max_count,
        idle: max_count,
        has_demand: true,
        demand: vec![demand; 3],
        returns: vec![CreditCount { server, class, count: max_count }; 3],
        report: None,
        ejected: vec![1; 1000],
        suspects: vec![suspect; 1000],
        outcomes: vec![outcome; 1000],
    };
    simulation.apply(AccountEvent::Message { entry: "entry-1".into(), message: message.clone() });
    assert_eq!(simulation.account.outstanding(server), 2);
    let held = HeldCounts { server, class, in_use: max_count, idle: max_count };
    let report = EntryMessage { session: 2, report: Some(vec![held; 3]), ..message.clone() };
    simulation.apply(AccountEvent::Message { entry: "entry-1".into(), message: report });
    simulation.apply(AccountEvent::Tick);
    assert!(simulation.account.outstanding(server) >= 2);
    let empty = EntryMessage { session: 3, report: Some(Vec::new()), ..message };
    simulation.finish(&"entry-0".into());
    simulation.run_rounds(10);
    simulation.apply(AccountEvent::Message { entry: "entry-1".into(), message: empty });
    assert!(simulation.account.outstanding(server) <= 2);
}

/// Guards against unintended changes in the order of grants and recalls.
#[test]
fn trace_of_two_entries() {
    let mut simulation = CreditSimulation::new(27, 2, &[2, 1]);
    for _ in 0..3 {
        simulation.request(&"entry-0".into(), WorkClass::Short);
    }
    simulation.run_rounds(5);
    simulation.trace.push("entry-1 waits".to_owned());
    simulation.request(&"entry-1".into(), WorkClass::Short);
    simulation.run_rounds(3);
    simulation.finish(&"entry-0".into());
    simulation.run_rounds(5);
    insta::assert_snapshot!(simulation.trace.join("\n"));
}
