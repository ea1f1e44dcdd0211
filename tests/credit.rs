//! Account and wallets together: slots are never exceeded and no work waits beside a free slot.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use curranthollow::credit::{
    AccountBook, AccountEvent, AccountSettings, AnswerVerdict, CreditLine, CreditWallet,
    DemandLine, EntryMessage, HeldCredit, HeldLine, HolderMessage, LiveEntry, OutcomeLine,
    ServerKey, ServerLimit, SuspectLine, SuspectReason, WaitingWork, WalletEvent, WalletServer,
    WalletSettings, WorkClass, fallback_share, server_key,
};
use curranthollow::ids::ProcessName;
use yare::parameterized;

const MILLISECOND: Duration = Duration::from_millis(1);

/// Account, wallets and ordered links with deliveries in any interleaving.
struct CreditWorld {
    now: Instant,
    random: fastrand::Rng,
    epoch: u64,
    book: AccountBook,
    servers: Vec<ServerLimit>,
    entries: BTreeMap<ProcessName, EntryWorld>,
    trace: Vec<String>,
}

struct EntryWorld {
    wallet: CreditWallet,
    is_linked: bool,
    to_holder: VecDeque<EntryMessage>,
    to_entry: VecDeque<HolderMessage>,
    running: Vec<HeldCredit>,
    waiting: [VecDeque<Instant>; 2],
}

impl EntryWorld {
    fn waiting_work(&self) -> [WaitingWork; 2] {
        let line = |queue: &VecDeque<Instant>| WaitingWork {
            count: queue.len() as u32,
            oldest: queue.front().copied(),
            deadline: None,
        };
        [line(&self.waiting[0]), line(&self.waiting[1])]
    }

    fn start_waiting(&mut self, now: Instant) {
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

impl CreditWorld {
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
            let entry = EntryWorld {
                wallet,
                is_linked: true,
                to_holder: VecDeque::new(),
                to_entry: VecDeque::new(),
                running: Vec::new(),
                waiting: [VecDeque::new(), VecDeque::new()],
            };
            entries.insert(name, entry);
        }
        let book = AccountBook::new(now, AccountSettings::default());
        let random = fastrand::Rng::with_seed(seed);
        let trace = Vec::new();
        let mut world = Self { now, random, epoch: 0, book, servers, entries, trace };
        world.feed(AccountEvent::ServersChanged(world.servers.clone()));
        world.change_epoch();
        world
    }

    fn names(&self) -> Vec<ProcessName> {
        self.entries.keys().cloned().collect()
    }

    fn pick_name(&mut self) -> ProcessName {
        let index = self.random.usize(..self.entries.len());
        self.names()[index].clone()
    }

    fn feed(&mut self, event: AccountEvent) {
        for action in self.book.handle(self.now, event) {
            for line in &action.message.grants {
                let server = self.servers.iter().position(|server| server.server == line.server);
                let server = server.expect("grants name known servers");
                let text = format!("{} gets {} of {server}", action.entry, line.count);
                self.trace.push(text);
            }
            for line in &action.message.recalls {
                self.trace.push(format!("{} owes {}", action.entry, line.count));
            }
            let entry = self.entries.get_mut(&action.entry).expect("actions name known entries");
            if entry.is_linked {
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
        self.feed(AccountEvent::EpochChanged { epoch: self.epoch, entries: live });
        for name in self.names() {
            self.announce_holder(&name);
        }
    }

    fn announce_holder(&mut self, name: &ProcessName) {
        let live = self.names();
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if !entry.is_linked {
            return;
        }
        let event = WalletEvent::HolderChanged { epoch: self.epoch, live };
        entry.to_holder.extend(entry.wallet.handle(self.now, event));
    }

    /// A new process becomes holder: nothing of the old account is known to it.
    fn replace_holder(&mut self) {
        for name in self.names() {
            self.cut(&name);
        }
        self.book = AccountBook::new(self.now, AccountSettings::default());
        self.feed(AccountEvent::ServersChanged(self.servers.clone()));
        self.epoch += 1;
        let mut live = Vec::new();
        for (index, name) in self.names().into_iter().enumerate() {
            live.push(LiveEntry { name, zone: format!("zone-{}", index % 3).into() });
        }
        self.feed(AccountEvent::EpochChanged { epoch: self.epoch, entries: live });
        for name in self.names() {
            self.join(&name);
        }
    }

    fn cut(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.is_linked = false;
        entry.to_holder.clear();
        entry.to_entry.clear();
        entry.wallet.handle(self.now, WalletEvent::HolderUnreachable);
        self.feed(AccountEvent::EntryLost(name.clone()));
    }

    fn join(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if entry.is_linked {
            return;
        }
        entry.is_linked = true;
        self.feed(AccountEvent::EntryConnected(name.clone()));
        self.announce_holder(name);
    }

    fn deliver_up(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(message) = entry.to_holder.pop_front() else {
            return;
        };
        self.feed(AccountEvent::Message { entry: name.clone(), message });
    }

    fn deliver_down(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(message) = entry.to_entry.pop_front() else {
            return;
        };
        entry.to_holder.extend(entry.wallet.handle(self.now, WalletEvent::Message(message)));
        entry.start_waiting(self.now);
    }

    fn tick_entry(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let work = entry.waiting_work();
        entry.to_holder.extend(entry.wallet.handle(self.now, WalletEvent::Tick(work)));
        entry.start_waiting(self.now);
    }

    fn request(&mut self, name: &ProcessName, class: WorkClass) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.waiting[class.index()].push_back(self.now);
        entry.start_waiting(self.now);
    }

    fn finish(&mut self, name: &ProcessName) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        if entry.running.is_empty() {
            return;
        }
        let index = self.random.usize(..entry.running.len());
        let credit = entry.running.swap_remove(index);
        entry.wallet.release(self.now, credit);
        entry.start_waiting(self.now);
    }

    /// Ends a request with an answer of which the wallet judges the server.
    fn answer(&mut self, name: &ProcessName, verdict: AnswerVerdict) {
        let entry = self.entries.get_mut(name).expect("the entry is known");
        let Some(credit) = entry.running.pop() else {
            return;
        };
        entry.wallet.finish(self.now, credit, verdict);
        entry.start_waiting(self.now);
    }

    /// The entry suspects servers by chance, `percent` of them on average.
    fn suspect(&mut self, name: &ProcessName, percent: u32) {
        let mut suspects = Vec::new();
        for server in &self.servers {
            if self.random.u32(..100) < percent {
                let (server, strength) = (server.server, self.random.u8(30..=100));
                suspects.push(SuspectLine { server, reason: SuspectReason::Slow, strength });
            }
        }
        let entry = self.entries.get_mut(name).expect("the entry is known");
        entry.wallet.handle(self.now, WalletEvent::SuspectsChanged(suspects));
    }

    fn settle(&mut self, rounds: usize) {
        self.settle_by(rounds, MILLISECOND);
    }

    fn settle_by(&mut self, rounds: usize, step: Duration) {
        for _ in 0..rounds {
            for name in self.names() {
                self.tick_entry(&name);
                while !self.entries[&name].to_holder.is_empty() {
                    self.deliver_up(&name);
                }
            }
            self.feed(AccountEvent::Tick);
            for name in self.names() {
                while !self.entries[&name].to_entry.is_empty() {
                    self.deliver_down(&name);
                }
            }
            self.now += step;
        }
    }

    fn running_on(&self, server: ServerKey) -> u32 {
        self.entries.values().map(|entry| entry.wallet.in_use(server)).sum()
    }

    fn held_of(&self, server: ServerKey) -> u32 {
        self.entries.values().map(|entry| entry.wallet.held(server)).sum()
    }

    fn check_slots(&self, step: usize) {
        for server in &self.servers {
            let held = self.held_of(server.server);
            assert!(held <= server.slots, "step {step}: {held} of {} slots", server.slots);
            let outstanding = self.book.outstanding(server.server);
            assert!(outstanding <= server.slots, "step {step}: outstanding {outstanding}");
        }
    }

    /// No work waits while a server has a slot that this class may use.
    fn check_no_idle_slot(&self) {
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

/// Guards against credits above the slots under any order of requests, deliveries and ticks, and
/// against work that waits beside a free slot once the messages have been delivered.
#[parameterized(
    one = { 1, 2, &[1] },
    few = { 2, 3, &[2, 3] },
    lakeshore = { 3, 13, &[6; 15] },
    ironbark = { 4, 13, &[4; 13] },
    uneven = { 5, 5, &[1, 9, 2, 4] },
)]
fn random_traffic_keeps_slots(seed: u64, entry_count: usize, slots: &[u32]) {
    for round in 0..20 {
        let mut world = CreditWorld::new(seed * 1000 + round, entry_count, slots);
        for step in 0..1500 {
            let name = world.pick_name();
            match world.random.u32(..100) {
                0..30 => world.request(&name, WorkClass::Short),
                30..35 => world.request(&name, WorkClass::Long),
                35..60 => world.finish(&name),
                60..72 => world.deliver_up(&name),
                72..84 => world.deliver_down(&name),
                84..94 => world.tick_entry(&name),
                94..97 => world.feed(AccountEvent::Tick),
                _ => world.now += MILLISECOND * world.random.u32(..3),
            }
            world.check_slots(step);
        }
        world.settle(60);
        world.check_no_idle_slot();
    }
}

/// Guards against credits granted twice when links break, epochs change and holders are replaced.
/// Work by own count is out of scope here: all interruptions are shorter than the lease.
#[parameterized(first = { 11 }, second = { 12 }, third = { 13 })]
fn interruptions_keep_slots(seed: u64) {
    for round in 0..25 {
        let mut world = CreditWorld::new(seed * 1000 + round, 5, &[6, 6, 4, 1]);
        world.settle(5);
        for step in 0..1500 {
            let name = world.pick_name();
            match world.random.u32(..200) {
                0..60 => world.request(&name, WorkClass::Short),
                60..65 => world.request(&name, WorkClass::Long),
                65..120 => world.finish(&name),
                120..145 => world.deliver_up(&name),
                145..170 => world.deliver_down(&name),
                170..185 => world.tick_entry(&name),
                185..190 => world.feed(AccountEvent::Tick),
                190..192 => world.cut(&name),
                192..195 => world.join(&name),
                195..196 => world.change_epoch(),
                196..197 => world.replace_holder(),
                _ => world.now += MILLISECOND,
            }
            world.check_slots(step);
        }
        for name in world.names() {
            world.join(&name);
        }
        world.settle(100);
        world.check_no_idle_slot();
    }
}

/// Guards against credits that are lost for ever or counted twice after interruptions of any
/// length, including those beyond the lease, with late messages and work by own count.
#[parameterized(first = { 31 }, second = { 32 }, third = { 33 })]
fn long_interruptions_lose_no_slot(seed: u64) {
    for round in 0..25 {
        let mut world = CreditWorld::new(seed * 1000 + round, 4, &[5, 3, 1]);
        for _ in 0..1500 {
            let name = world.pick_name();
            match world.random.u32(..200) {
                0..60 => world.request(&name, WorkClass::Short),
                60..65 => world.request(&name, WorkClass::Long),
                65..120 => world.finish(&name),
                120..145 => world.deliver_up(&name),
                145..170 => world.deliver_down(&name),
                170..183 => world.tick_entry(&name),
                183..188 => world.feed(AccountEvent::Tick),
                188..190 => world.cut(&name),
                190..193 => world.join(&name),
                193..194 => world.change_epoch(),
                194..195 => world.replace_holder(),
                195..197 => world.now += MILLISECOND * world.random.u32(..1500),
                _ => world.now += MILLISECOND,
            }
        }
        for name in world.names() {
            world.join(&name);
        }
        // Longer than the lease, so that every silent entry has been replaced by its report.
        world.settle_by(100, MILLISECOND * 25);
        for name in world.names() {
            while !world.entries[&name].running.is_empty() {
                world.finish(&name);
            }
            world.entries.get_mut(&name).expect("the entry is known").waiting = Default::default();
        }
        world.settle(50);
        for name in world.names() {
            for _ in 0..9 {
                world.request(&name, WorkClass::Short);
            }
        }
        world.settle(100);
        world.check_slots(0);
        world.check_no_idle_slot();
    }
}

/// Guards against credits above the slots while servers are closed, probed and opened again,
/// and against servers that stay capped after their answers have become good.
#[parameterized(first = { 51 }, second = { 52 }, third = { 53 })]
fn suspicions_keep_slots(seed: u64) {
    const VERDICTS: [AnswerVerdict; 5] = [
        AnswerVerdict::Good,
        AnswerVerdict::Neutral,
        AnswerVerdict::Slow,
        AnswerVerdict::Failed,
        AnswerVerdict::CommonFailure,
    ];
    let mut capped = 0;
    for round in 0..10 {
        let mut world = CreditWorld::new(seed * 1000 + round, 5, &[6, 6, 4, 1]);
        world.settle(5);
        for step in 0..1500 {
            let name = world.pick_name();
            match world.random.u32(..200) {
                0..60 => world.request(&name, WorkClass::Short),
                60..65 => world.request(&name, WorkClass::Long),
                65..120 => {
                    let verdict = VERDICTS[world.random.usize(..VERDICTS.len())];
                    world.answer(&name, verdict);
                }
                120..140 => world.deliver_up(&name),
                140..160 => world.deliver_down(&name),
                160..175 => world.tick_entry(&name),
                175..180 => world.suspect(&name, 20),
                180..185 => world.feed(AccountEvent::Tick),
                185..186 => world.cut(&name),
                186..190 => world.join(&name),
                _ => world.now += MILLISECOND * 2,
            }
            world.check_slots(step);
            capped += world.book.capped().len();
        }
        for name in world.names() {
            world.join(&name);
            world.suspect(&name, 0);
        }
        for step in 0..400 {
            for name in world.names() {
                world.answer(&name, AnswerVerdict::Good);
                world.request(&name, WorkClass::Short);
            }
            world.settle_by(1, MILLISECOND * 25);
            world.check_slots(step);
        }
        assert!(world.book.capped().is_empty(), "round {round}: {:?}", world.book.capped());
        world.settle(60);
        world.check_no_idle_slot();
    }
    assert!(capped > 0, "no server was ever closed");
}

/// Guards against a dead entry's credits that come back too early or never.
#[test]
fn credits_of_dead_entry_return_after_lease() {
    let mut world = CreditWorld::new(21, 2, &[4]);
    let (dead, alive): (ProcessName, ProcessName) = ("entry-0".into(), "entry-1".into());
    for _ in 0..4 {
        world.request(&dead, WorkClass::Short);
    }
    world.settle(10);
    assert_eq!(world.entries[&dead].running.len(), 4);
    world.cut(&dead);
    for _ in 0..4 {
        world.request(&alive, WorkClass::Short);
    }
    world.settle(1900);
    assert_eq!(world.entries[&alive].running.len(), 0);
    world.settle(400);
    // Two of four slots stay aside for the own count of the entry while the live list has it.
    assert_eq!(world.entries[&alive].running.len(), 2);
    let zone = "zone-1".into();
    let live = vec![LiveEntry { name: alive.clone(), zone }];
    world.epoch += 1;
    let epoch = world.epoch;
    world.feed(AccountEvent::EpochChanged { epoch, entries: live });
    world.announce_holder(&alive);
    world.settle(100);
    assert_eq!(world.entries[&alive].running.len(), 4);
}

/// Guards against a new holder that grants while credits of the old one are unreported.
#[test]
fn new_holder_waits_for_every_report() {
    let mut world = CreditWorld::new(22, 3, &[6]);
    let silent: ProcessName = "entry-2".into();
    world.request(&silent, WorkClass::Short);
    world.settle(10);
    world.replace_holder();
    world.cut(&silent);
    let asking: ProcessName = "entry-0".into();
    for _ in 0..6 {
        world.request(&asking, WorkClass::Short);
    }
    world.settle(50);
    assert!(!world.book.is_complete());
    let before = world.entries[&asking].running.len();
    world.settle(2000);
    assert_eq!(world.entries[&asking].running.len(), before);
    world.settle(300);
    assert!(world.book.is_complete());
    assert_eq!(world.entries[&asking].running.len(), 4);
}

/// Guards against new work on a server that drains or has lost slots.
#[parameterized(
    drains = { true, 4, 0 },
    shrinks = { false, 1, 1 },
)]
fn reduced_server_loses_credits(draining: bool, slots: u32, expected: u32) {
    let mut world = CreditWorld::new(23, 3, &[4, 4]);
    for name in world.names() {
        for _ in 0..4 {
            world.request(&name, WorkClass::Short);
        }
    }
    world.settle(10);
    world.servers[0].draining = draining;
    world.servers[0].slots = slots;
    let server = world.servers[0].server;
    world.feed(AccountEvent::ServersChanged(world.servers.clone()));
    for _ in 0..60 {
        for name in world.names() {
            world.finish(&name);
            world.request(&name, WorkClass::Short);
        }
        world.settle(3);
    }
    assert_eq!(world.running_on(server), expected);
    assert_eq!(world.book.outstanding(server), expected);
}

/// Guards against long work that takes the slots reserved for short work.
#[test]
fn long_work_leaves_slots_for_short() {
    let mut world = CreditWorld::new(24, 2, &[6, 6]);
    let name: ProcessName = "entry-0".into();
    for _ in 0..20 {
        world.request(&name, WorkClass::Long);
    }
    world.settle(50);
    assert_eq!(world.entries[&name].running.len(), 6);
    for _ in 0..6 {
        world.request(&"entry-1".into(), WorkClass::Short);
    }
    world.settle(20);
    assert_eq!(world.entries[&ProcessName::from("entry-1")].running.len(), 6);
}

/// Guards against an entry that keeps long credits for its own younger work.
#[test]
fn long_credit_goes_to_oldest_work() {
    let mut world = CreditWorld::new(29, 2, &[6, 6]);
    let (first, second): (ProcessName, ProcessName) = ("entry-0".into(), "entry-1".into());
    for _ in 0..6 {
        world.request(&first, WorkClass::Long);
    }
    world.settle(50);
    world.request(&second, WorkClass::Long);
    world.settle(5);
    for _ in 0..5 {
        world.request(&first, WorkClass::Long);
    }
    world.finish(&first);
    world.settle(5);
    assert_eq!(world.entries[&second].running.len(), 1);
    assert_eq!(world.entries[&first].running.len(), 5);
}

/// Guards against long work that never starts because short work uses the credits for it.
#[test]
fn short_work_leaves_credit_for_waiting_long_work() {
    let mut world = CreditWorld::new(30, 1, &[4]);
    let name: ProcessName = "entry-0".into();
    for _ in 0..4 {
        world.request(&name, WorkClass::Short);
    }
    world.settle(20);
    world.request(&name, WorkClass::Long);
    world.settle(2);
    for _ in 0..4 {
        world.request(&name, WorkClass::Short);
    }
    world.settle(2);
    for _ in 0..4 {
        world.finish(&name);
        world.settle(5);
    }
    assert!(world.entries[&name].waiting[WorkClass::Long.index()].is_empty());
}

/// Guards against shares that add up to more or less than the limit.
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

/// Guards against entries that exceed the slots together when no account is reachable.
#[test]
fn own_count_stays_within_slots() {
    let mut world = CreditWorld::new(25, 13, &[6; 5]);
    world.settle(5);
    for name in world.names() {
        world.cut(&name);
    }
    world.settle(2100);
    for name in world.names() {
        for _ in 0..10 {
            world.request(&name, WorkClass::Short);
        }
    }
    for server in &world.servers {
        assert_eq!(world.running_on(server.server), 6);
    }
    for name in world.names() {
        world.join(&name);
    }
    world.settle(100);
    for server in &world.servers {
        assert_eq!(world.book.outstanding(server.server), 6);
    }
}

/// Guards against an entry that floods the holder: one demand message per tick at most.
#[test]
fn one_message_per_tick() {
    let mut world = CreditWorld::new(26, 2, &[1]);
    let name: ProcessName = "entry-0".into();
    world.settle(5);
    for _ in 0..50 {
        world.request(&name, WorkClass::Short);
    }
    assert_eq!(world.entries[&name].to_holder.len(), 0);
    world.tick_entry(&name);
    world.tick_entry(&name);
    assert_eq!(world.entries[&name].to_holder.len(), 1);
}

/// Guards against a malformed message that stops the account holder or frees slots of others.
#[test]
fn absurd_message_does_no_harm() {
    let mut world = CreditWorld::new(28, 2, &[2]);
    for _ in 0..2 {
        world.request(&"entry-0".into(), WorkClass::Short);
    }
    world.settle(10);
    let (most, server) = (u32::MAX, world.servers[0].server);
    let class = WorkClass::Short;
    let demand = DemandLine {
        class,
        waiting: most,
        oldest_age: Duration::MAX,
        deadline: Some(Duration::MAX),
    };
    let reason = SuspectReason::Failing;
    let suspect = SuspectLine { server, reason, strength: u8::MAX };
    let outcome = OutcomeLine { server, good: most, slow: most, failed: most };
    let message = EntryMessage {
        epoch: 1,
        session: 1,
        sequence: u64::MAX,
        received: u64::MAX,
        started: most,
        idle: most,
        has_demand: true,
        demand: vec![demand; 3],
        returns: vec![CreditLine { server, class, count: most }; 3],
        report: None,
        avoided: vec![1; 1000],
        suspects: vec![suspect; 1000],
        outcomes: vec![outcome; 1000],
    };
    world.feed(AccountEvent::Message { entry: "entry-1".into(), message: message.clone() });
    assert_eq!(world.book.outstanding(server), 2);
    let held = HeldLine { server, class, in_use: most, idle: most };
    let report = EntryMessage { session: 2, report: Some(vec![held; 3]), ..message.clone() };
    world.feed(AccountEvent::Message { entry: "entry-1".into(), message: report });
    world.feed(AccountEvent::Tick);
    assert!(world.book.outstanding(server) >= 2);
    let empty = EntryMessage { session: 3, report: Some(Vec::new()), ..message };
    world.finish(&"entry-0".into());
    world.settle(10);
    world.feed(AccountEvent::Message { entry: "entry-1".into(), message: empty });
    assert!(world.book.outstanding(server) <= 2);
}

/// Guards against unnoticed changes in the order of grants and recalls.
#[test]
fn trace_of_two_entries() {
    let mut world = CreditWorld::new(27, 2, &[2, 1]);
    for _ in 0..3 {
        world.request(&"entry-0".into(), WorkClass::Short);
    }
    world.settle(5);
    world.trace.push("entry-1 waits".to_owned());
    world.request(&"entry-1".into(), WorkClass::Short);
    world.settle(3);
    world.finish(&"entry-0".into());
    world.settle(5);
    insta::assert_snapshot!(world.trace.join("\n"));
}
