//! Server health in the account: who closes a server for all, and how it returns.

use std::time::{Duration, Instant};

use curranthollow::credit::{
    AccountBook, AccountEvent, AccountSettings, AnswerVerdict, CreditLine, CreditWallet,
    DemandLine, EntryMessage, HolderMessage, LiveEntry, OutcomeLine, ServerLimit, SuspectLine,
    SuspectReason, WalletEvent, WalletServer, WalletSettings, WorkClass,
};
use curranthollow::ids::{ProcessName, ZoneName};
use yare::parameterized;

const SLOTS: u32 = 6;

/// An account with entries that say what the test tells them to.
struct HealthWorld {
    now: Instant,
    book: AccountBook,
    sequence: u64,
}

impl HealthWorld {
    fn new(entry_count: usize, server_count: u64) -> Self {
        let now = Instant::now();
        let mut world =
            Self { now, book: AccountBook::new(now, AccountSettings::default()), sequence: 0 };
        let mut servers = Vec::new();
        for server in 0..server_count {
            let zone = "zone".into();
            servers.push(ServerLimit { server, zone, slots: SLOTS, draining: false });
        }
        world.feed(AccountEvent::ServersChanged(servers));
        let mut entries = Vec::new();
        for index in 0..entry_count {
            entries.push(LiveEntry { name: name(index), zone: "zone".into() });
        }
        world.feed(AccountEvent::EpochChanged { epoch: 1, entries });
        for index in 0..entry_count {
            let message = EntryMessage { report: Some(Vec::new()), ..world.message() };
            world.send(index, message);
        }
        world
    }

    fn feed(&mut self, event: AccountEvent) -> Vec<HolderMessage> {
        let actions = self.book.handle(self.now, event);
        actions.into_iter().map(|action| action.message).collect()
    }

    fn message(&mut self) -> EntryMessage {
        self.sequence += 1;
        EntryMessage {
            epoch: 1,
            session: 1,
            sequence: self.sequence,
            received: 0,
            started: 0,
            idle: 0,
            has_demand: false,
            demand: Vec::new(),
            returns: Vec::new(),
            report: None,
            avoided: Vec::new(),
            suspects: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    fn send(&mut self, entry: usize, message: EntryMessage) -> Vec<HolderMessage> {
        self.feed(AccountEvent::Message { entry: name(entry), message })
    }

    fn suspect(&mut self, entry: usize, servers: std::ops::Range<u64>, strength: u8) {
        let reason = SuspectReason::Failing;
        let suspects = servers.map(|server| SuspectLine { server, reason, strength }).collect();
        let message = EntryMessage { suspects, ..self.message() };
        self.send(entry, message);
    }

    fn wait(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        self.feed(AccountEvent::Tick);
    }

    /// Grants of server 0 to an entry that asks for more than all servers have.
    fn ask(&mut self, entry: usize) -> u32 {
        let class = WorkClass::Short;
        let line = DemandLine { class, waiting: 1000, oldest_age: Duration::ZERO, deadline: None };
        let message = EntryMessage { has_demand: true, demand: vec![line], ..self.message() };
        let messages = self.send(entry, message);
        // The rest of the demand is withdrawn, so that later events grant nothing.
        let nothing = EntryMessage { has_demand: true, ..self.message() };
        self.send(entry, nothing);
        let grants = messages.iter().flat_map(|message| &message.grants);
        grants.filter(|line| line.server == 0).map(|line| line.count).sum()
    }

    /// Gives credits of server 0 back with the answers of their requests.
    fn answer(&mut self, entry: usize, good: u32, failed: u32) {
        let returned = CreditLine { server: 0, class: WorkClass::Short, count: good + failed };
        let outcome = OutcomeLine { server: 0, good, slow: 0, failed };
        let message = EntryMessage {
            has_demand: true,
            returns: vec![returned],
            outcomes: vec![outcome],
            ..self.message()
        };
        self.send(entry, message);
    }
}

fn name(index: usize) -> ProcessName {
    format!("entry-{index}").into()
}

/// Guards against one faulty entry that closes servers for all, and against servers that stay
/// open although several entries agree.
#[parameterized(
    one_entry_alone = { &[100], 0 },
    one_entry_and_a_weak_hint = { &[100, 30], 0 },
    two_entries_agree = { &[100, 70], 1 },
    four_weak_hints = { &[30, 30, 40, 40], 1 },
)]
fn closing_needs_several_entries(strengths: &[u8], expected: usize) {
    let mut world = HealthWorld::new(13, 6);
    for (entry, strength) in strengths.iter().enumerate() {
        world.suspect(entry, 0..1, *strength);
    }
    assert_eq!(world.book.capped().len(), expected);
}

/// Guards against an entry whose own fault, such as a broken path, speaks against all servers.
#[test]
fn entry_that_suspects_most_servers_does_not_count() {
    let mut world = HealthWorld::new(3, 6);
    world.suspect(0, 0..6, 100);
    world.suspect(1, 0..1, 100);
    assert_eq!(world.book.capped().len(), 0);
}

/// Guards against a service that loses more than half of its servers, and against servers that
/// are closed although all get worse together.
#[parameterized(
    one_by_one = { &[0, 1, 2, 3, 4, 5], 3 },
    two_servers = { &[0, 1], 2 },
)]
fn at_most_half_is_closed(servers: &[u64], expected: usize) {
    let mut world = HealthWorld::new(13, 6);
    for server in servers {
        for entry in 0..2 {
            world.suspect(entry + 2 * *server as usize, *server..server + 1, 100);
        }
    }
    assert_eq!(world.book.capped().len(), expected);
}

/// Guards against a server that returns with all slots at once, or never, or without being
/// tested, and against evidence that closes it twice.
#[test]
fn server_returns_step_by_step() {
    let mut world = HealthWorld::new(3, 2);
    world.suspect(0, 0..1, 100);
    world.suspect(1, 0..1, 100);
    assert_eq!(world.book.capped(), [0]);
    assert_eq!(world.ask(2), 0);
    world.wait(150);
    assert_eq!(world.ask(2), 0);
    world.wait(60);
    for slots in [1, 2] {
        // The old evidence is still reported, but has had its effect.
        world.suspect(1, 0..1, 100);
        assert_eq!(world.ask(2), slots);
        world.answer(2, slots, 0);
    }
    assert_eq!(world.ask(2), 4);
    world.answer(2, 4, 0);
    assert_eq!(world.ask(2), SLOTS);
    assert!(world.book.capped().is_empty());
}

/// Guards against probes that come as often as before although they fail.
#[test]
fn failed_probe_doubles_the_period() {
    let mut world = HealthWorld::new(3, 2);
    world.suspect(0, 0..1, 100);
    world.suspect(1, 0..1, 100);
    for period in [200, 400, 800] {
        world.wait(period - 10);
        assert_eq!(world.ask(2), 0);
        world.wait(20);
        assert_eq!(world.ask(2), 1);
        world.answer(2, 0, 1);
    }
    world.wait(800);
    assert_eq!(world.ask(2), 0);
}

/// Guards against a server that attracts work by failing faster than others answer.
#[parameterized(
    failed = { AnswerVerdict::Failed, true },
    good = { AnswerVerdict::Good, false },
    all_servers_fail = { AnswerVerdict::CommonFailure, false },
)]
fn wallet_pauses_server_after_failure(verdict: AnswerVerdict, pauses: bool) {
    let mut now = Instant::now();
    let zone: ZoneName = "zone".into();
    let mut wallet = CreditWallet::new(now, name(0), zone.clone(), WalletSettings::default());
    let server = WalletServer { server: 0, zone, slots: SLOTS, draining: false };
    wallet.handle(now, WalletEvent::ServersChanged(vec![server]));
    wallet.handle(now, WalletEvent::HolderChanged { epoch: 1, live: vec![name(0)] });
    wallet.handle(now, WalletEvent::HolderUnreachable);
    for pause in [2, 4, 8, 16, 16] {
        let credit = wallet.acquire(now, WorkClass::Short, &[]).expect("a slot is free");
        wallet.finish(now, credit, verdict);
        now += Duration::from_millis(pause - 1);
        let credit = wallet.acquire(now, WorkClass::Short, &[]);
        assert_eq!(credit.is_none(), pauses);
        if let Some(credit) = credit {
            wallet.release(now, credit);
        }
        now += Duration::from_millis(1);
    }
}

/// Guards against a holder that grants the credit of a failed request again at once.
#[test]
fn holder_pauses_server_after_failure() {
    let mut world = HealthWorld::new(3, 2);
    assert_eq!(world.ask(2), SLOTS);
    world.answer(2, 0, 1);
    assert_eq!(world.ask(1), 0);
    world.wait(1);
    assert_eq!(world.ask(1), 0);
    world.wait(1);
    assert_eq!(world.ask(1), 1);
}
