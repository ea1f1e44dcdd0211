//! Blocking of suspected servers by the account, and their return to service.

use std::time::{Duration, Instant};

use curranthollow::credit::{
    AccountEvent, AccountSettings, ClassDemand, CreditAccount, CreditCount, CreditWallet,
    EntryMessage, HolderMessage, LiveEntry, ResponseVerdict, ServerLimit, ServerOutcomes,
    SuspectReason, SuspectServer, WalletEvent, WalletServer, WalletSettings, WorkClass,
};
use curranthollow::ids::{ProcessName, ZoneName};
use yare::parameterized;

const SLOTS: u32 = 6;

/// An account that receives the entry messages composed by the test.
struct HealthFixture {
    now: Instant,
    account: CreditAccount,
    sequence: u64,
}

impl HealthFixture {
    fn new(entry_count: usize, server_count: u64) -> Self {
        let now = Instant::now();
        let mut fixture =
            Self { now, account: CreditAccount::new(now, AccountSettings::default()), sequence: 0 };
        let mut servers = Vec::new();
        for server in 0..server_count {
            let zone = "zone".into();
            servers.push(ServerLimit { server, zone, slots: SLOTS, draining: false });
        }
        fixture.apply(AccountEvent::ServersChanged(servers));
        let mut entries = Vec::new();
        for index in 0..entry_count {
            entries.push(LiveEntry { name: entry_name(index), zone: "zone".into() });
        }
        fixture.apply(AccountEvent::EpochChanged { epoch: 1, entries });
        for index in 0..entry_count {
            let message = EntryMessage { report: Some(Vec::new()), ..fixture.message() };
            fixture.send(index, message);
        }
        fixture
    }

    fn apply(&mut self, event: AccountEvent) -> Vec<HolderMessage> {
        let actions = self.account.handle(self.now, event);
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
            ejected: Vec::new(),
            suspects: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    fn send(&mut self, entry: usize, message: EntryMessage) -> Vec<HolderMessage> {
        self.apply(AccountEvent::Message { entry: entry_name(entry), message })
    }

    fn suspect(&mut self, entry: usize, servers: std::ops::Range<u64>, strength: u8) {
        let reason = SuspectReason::Failing;
        let suspects = servers.map(|server| SuspectServer { server, reason, strength }).collect();
        let message = EntryMessage { suspects, ..self.message() };
        self.send(entry, message);
    }

    fn advance(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
        self.apply(AccountEvent::Tick);
    }

    /// Number of credits of server 0 granted to an entry that demands more than all servers have.
    fn grants_for_demand(&mut self, entry: usize) -> u32 {
        let class = WorkClass::Short;
        let demand =
            ClassDemand { class, waiting: 1000, oldest_age: Duration::ZERO, deadline: None };
        let message = EntryMessage { has_demand: true, demand: vec![demand], ..self.message() };
        let messages = self.send(entry, message);
        // The rest of the demand is withdrawn, so that later events grant nothing.
        let withdrawal = EntryMessage { has_demand: true, ..self.message() };
        self.send(entry, withdrawal);
        let grants = messages.iter().flat_map(|message| &message.grants);
        grants.filter(|grant| grant.server == 0).map(|grant| grant.count).sum()
    }

    /// Returns credits of server 0 together with the outcomes of their requests.
    fn answer(&mut self, entry: usize, good: u32, failed: u32) {
        let returned = CreditCount { server: 0, class: WorkClass::Short, count: good + failed };
        let outcome = ServerOutcomes { server: 0, good, slow: 0, failed };
        let message = EntryMessage {
            has_demand: true,
            returns: vec![returned],
            outcomes: vec![outcome],
            ..self.message()
        };
        self.send(entry, message);
    }
}

fn entry_name(index: usize) -> ProcessName {
    format!("entry-{index}").into()
}

/// Guards against one faulty entry that blocks servers for all, and against servers that are not
/// blocked although several entries suspect them.
#[parameterized(
    one_entry_alone = { &[100], 0 },
    one_entry_and_a_weak_suspicion = { &[100, 30], 0 },
    two_entries_agree = { &[100, 70], 1 },
    four_weak_suspicions = { &[30, 30, 40, 40], 1 },
)]
fn blocking_needs_several_entries(strengths: &[u8], expected: usize) {
    let mut fixture = HealthFixture::new(13, 6);
    for (entry, strength) in strengths.iter().enumerate() {
        fixture.suspect(entry, 0..1, *strength);
    }
    assert_eq!(fixture.account.capped().len(), expected);
}

/// Guards against an entry that suspects all servers because of its own fault, such as a broken
/// network path.
#[test]
fn entry_that_suspects_most_servers_does_not_count() {
    let mut fixture = HealthFixture::new(3, 6);
    fixture.suspect(0, 0..6, 100);
    fixture.suspect(1, 0..1, 100);
    assert_eq!(fixture.account.capped().len(), 0);
}

/// Guards against a service that loses more than half of its servers when most of them get worse.
#[parameterized(
    one_by_one = { &[0, 1, 2, 3, 4, 5], 3 },
    two_servers = { &[0, 1], 2 },
)]
fn at_most_half_is_blocked(servers: &[u64], expected: usize) {
    let mut fixture = HealthFixture::new(13, 6);
    for server in servers {
        for entry in 0..2 {
            fixture.suspect(entry + 2 * *server as usize, *server..server + 1, 100);
        }
    }
    assert_eq!(fixture.account.capped().len(), expected);
}

/// Guards against a server that regains all slots at once, never, or without being probed, and
/// against blocking it twice because of the same suspicion.
#[test]
fn server_returns_step_by_step() {
    let mut fixture = HealthFixture::new(3, 2);
    fixture.suspect(0, 0..1, 100);
    fixture.suspect(1, 0..1, 100);
    assert_eq!(fixture.account.capped(), [0]);
    assert_eq!(fixture.grants_for_demand(2), 0);
    fixture.advance(150);
    assert_eq!(fixture.grants_for_demand(2), 0);
    fixture.advance(60);
    for slots in [1, 2] {
        // The old suspicion is still reported, but does not count again.
        fixture.suspect(1, 0..1, 100);
        assert_eq!(fixture.grants_for_demand(2), slots);
        fixture.answer(2, slots, 0);
    }
    assert_eq!(fixture.grants_for_demand(2), 4);
    fixture.answer(2, 4, 0);
    assert_eq!(fixture.grants_for_demand(2), SLOTS);
    assert!(fixture.account.capped().is_empty());
}

/// Guards against failed probes that do not lengthen the time until the next one.
#[test]
fn failed_probe_doubles_the_block_period() {
    let mut fixture = HealthFixture::new(3, 2);
    fixture.suspect(0, 0..1, 100);
    fixture.suspect(1, 0..1, 100);
    for period in [200, 400, 800] {
        fixture.advance(period - 10);
        assert_eq!(fixture.grants_for_demand(2), 0);
        fixture.advance(20);
        assert_eq!(fixture.grants_for_demand(2), 1);
        fixture.answer(2, 0, 1);
    }
    fixture.advance(800);
    assert_eq!(fixture.grants_for_demand(2), 0);
}

/// Guards against a server that attracts work by failing faster than others respond.
#[parameterized(
    failed = { ResponseVerdict::Failed, true },
    good = { ResponseVerdict::Good, false },
    all_servers_fail = { ResponseVerdict::ServiceWideFailure, false },
)]
fn wallet_pauses_server_after_failure(verdict: ResponseVerdict, pauses: bool) {
    let mut now = Instant::now();
    let zone: ZoneName = "zone".into();
    let mut wallet = CreditWallet::new(now, entry_name(0), zone.clone(), WalletSettings::default());
    let server = WalletServer { server: 0, zone, slots: SLOTS, draining: false };
    wallet.handle(now, WalletEvent::ServersChanged(vec![server]));
    wallet.handle(now, WalletEvent::HolderChanged { epoch: 1, live: vec![entry_name(0)] });
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

/// Guards against a holder that immediately grants the credit of a failed request again.
#[test]
fn holder_pauses_server_after_failure() {
    let mut fixture = HealthFixture::new(3, 2);
    assert_eq!(fixture.grants_for_demand(2), SLOTS);
    fixture.answer(2, 0, 1);
    assert_eq!(fixture.grants_for_demand(1), 0);
    fixture.advance(1);
    assert_eq!(fixture.grants_for_demand(1), 0);
    fixture.advance(1);
    assert_eq!(fixture.grants_for_demand(1), 1);
}
