//! Settings leases: the leader's table and the entries' clients together.

use std::time::{Duration, Instant};

use curranthollow::control::{LeaseAction, LeaseEvent, LeaseTable, RenewalRequest};
use curranthollow::entry::{LeaseClient, LeaseInput, RenewalAction};
use curranthollow::ids::ProcessName;
use yare::parameterized;

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);

fn name(text: &str) -> ProcessName {
    text.into()
}

fn renewal(entry: &str, session: u64, installed: u64) -> LeaseEvent {
    LeaseEvent::Requested(RenewalRequest {
        entry: name(entry),
        via: name(entry),
        session,
        availability_zone: "a".into(),
        installed,
        epoch: 0,
        nonce: 1,
    })
}

fn leading_table(start: Instant, lease: Duration) -> LeaseTable {
    let mut table = LeaseTable::new(lease);
    table.handle(start, LeaseEvent::Leading { term: 1 });
    table
}

/// Grants a lease and returns the round that confirmed it.
fn grant(table: &mut LeaseTable, now: Instant, entry: &str, installed: u64) -> u64 {
    let actions = table.handle(now, renewal(entry, 1, installed));
    let [LeaseAction::Confirm(round)] = actions[..] else {
        panic!("expected one confirmation, found {actions:?}");
    };
    let actions = table.handle(now, LeaseEvent::Confirmed(round));
    assert!(matches!(actions[0], LeaseAction::Grant { .. }), "{actions:?}");
    round
}

fn is_in_force(actions: &[LeaseAction]) -> bool {
    actions.contains(&LeaseAction::InForce(7))
}

/// Guards against a change that is reported in force while an entry may use older settings: the
/// entry has installed it, has left, or its lease and the drift margin have passed.
#[parameterized(
    installed = { LeaseEvent::Installed { entry: "e1".into(), session: 1, revision: 5 }, 10, true },
    installed_older = { LeaseEvent::Installed { entry: "e1".into(), session: 1, revision: 4 }, 10, false },
    other_session = { LeaseEvent::Installed { entry: "e1".into(), session: 2, revision: 5 }, 10, false },
    left = { LeaseEvent::Left { entry: "e1".into(), session: 1 }, 10, true },
    left_other_session = { LeaseEvent::Left { entry: "e1".into(), session: 2 }, 10, false },
    link_lost = { LeaseEvent::LinkLost("e1".into()), 10, false },
    before_margin = { LeaseEvent::Tick, 3299, false },
    after_margin = { LeaseEvent::Tick, 3300, true },
)]
fn change_waits_for_entry(event: LeaseEvent, millis: u32, expected: bool) {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let now = start + 10 * SECOND;
    grant(&mut table, now, "e1", 4);
    let committed = LeaseEvent::Committed { change: 7, revision: 5 };
    assert!(!is_in_force(&table.handle(now, committed)));
    let actions = table.handle(now + MILLISECOND * millis, event);
    assert_eq!(is_in_force(&actions), expected, "{actions:?}");
}

/// Guards against a new leader that forgets the leases of the one before.
#[parameterized(
    same_duration = { &[3000], 3300 },
    reduced = { &[10_000, 1000], 11_000 },
    reduced_twice = { &[10_000, 5000, 1000], 11_000 },
    extended = { &[1000, 5000], 5500 },
)]
fn new_leader_waits(leases: &[u64], wait: u32) {
    let start = Instant::now();
    let mut table = LeaseTable::new(Duration::from_millis(leases[0]));
    for lease in &leases[1..] {
        table.handle(start, LeaseEvent::LeaseChanged(Duration::from_millis(*lease)));
    }
    table.handle(start, LeaseEvent::Leading { term: 2 });
    table.handle(start, LeaseEvent::Committed { change: 7, revision: 5 });
    let before = start + MILLISECOND * (wait - 1);
    assert!(!is_in_force(&table.handle(before, LeaseEvent::Tick)));
    assert!(is_in_force(&table.handle(start + MILLISECOND * wait, LeaseEvent::Tick)));
}

/// Guards against a renewal under a reduced duration that cuts the longer lease which the entry
/// still holds: the grant of the renewal may get lost.
#[test]
fn reduced_lease_keeps_longer_one() {
    let start = Instant::now();
    let mut table = leading_table(start, 10 * SECOND);
    let now = start + 20 * SECOND;
    grant(&mut table, now, "e1", 4);
    table.handle(now, LeaseEvent::LeaseChanged(SECOND));
    grant(&mut table, now, "e1", 4);
    table.handle(now, LeaseEvent::Committed { change: 7, revision: 5 });
    assert!(!is_in_force(&table.handle(now + 10 * SECOND, LeaseEvent::Tick)));
    assert!(is_in_force(&table.handle(now + 11 * SECOND, LeaseEvent::Tick)));
}

/// Guards against a late answer of an earlier leadership that confirms a request of this one.
#[test]
fn late_confirmation_grants_nothing() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let first = table.handle(start, renewal("e1", 1, 4));
    let [LeaseAction::Confirm(old)] = first[..] else { panic!("{first:?}") };
    table.handle(start, LeaseEvent::Deposed);
    table.handle(start, LeaseEvent::Leading { term: 3 });
    table.handle(start, renewal("e1", 1, 4));
    assert_eq!(table.handle(start, LeaseEvent::Confirmed(old)), []);
    table.handle(start, LeaseEvent::ConfirmFailed(old));
    let actions = table.handle(start, LeaseEvent::Confirmed(old + 1));
    assert!(matches!(actions[..], [LeaseAction::Grant { .. }]), "{actions:?}");
}

/// Guards against rounds that overtake each other for ever: an entry that repeats its request
/// while a round is open must not keep everyone from a lease.
#[test]
fn repeated_request_is_granted() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let mut rounds = Vec::new();
    for entry in ["e1", "e2", "e1", "e3", "e2"] {
        rounds.extend(table.handle(start, renewal(entry, 1, 4)));
    }
    let mut granted = Vec::new();
    for _ in 0..4 {
        let mut next = Vec::new();
        for action in std::mem::take(&mut rounds) {
            match action {
                LeaseAction::Confirm(round) => {
                    next.extend(table.handle(start, LeaseEvent::Confirmed(round)));
                }
                LeaseAction::Grant { request, .. } => granted.push(request.entry),
                other => panic!("unexpected {other:?}"),
            }
        }
        rounds = next;
    }
    // The first request of e1 is granted by the running round, its repetition by the next one.
    granted.sort_unstable();
    assert_eq!(granted, ["e1".into(), "e1".into(), "e2".into(), Box::<str>::from("e3")]);
    assert_eq!(rounds.len(), 0);
}

/// Guards against a grant of a deposed leader that lasts longer than its successor has waited: a
/// duration that was extended after the request must not apply to it.
#[test]
fn extended_lease_starts_with_next_request() {
    let now = Instant::now();
    let mut table = leading_table(now, SECOND);
    table.handle(now, renewal("e1", 1, 4));
    table.handle(now, LeaseEvent::LeaseChanged(8 * SECOND));
    let actions = table.handle(now, LeaseEvent::Confirmed(1));
    assert!(matches!(actions[..], [LeaseAction::Grant { lease: SECOND, .. }]), "{actions:?}");
    table.handle(now, renewal("e1", 1, 4));
    let actions = table.handle(now, LeaseEvent::Confirmed(2));
    let [LeaseAction::Grant { lease, .. }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(lease, 8 * SECOND);
}

/// Guards against an unanswered confirmation that blocks all later ones.
#[test]
fn unanswered_round_is_repeated() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    assert_eq!(table.handle(start, renewal("e1", 1, 4)), [LeaseAction::Confirm(1)]);
    assert_eq!(table.handle(start + MILLISECOND * 300, renewal("e1", 1, 4)), []);
    let actions = table.handle(start + SECOND, renewal("e1", 1, 4));
    assert_eq!(actions, [LeaseAction::Confirm(2)]);
}

/// Guards against an operator who waits for ever for a change that this process does not track.
#[test]
fn change_without_leadership_is_unconfirmed() {
    let now = Instant::now();
    let mut table = LeaseTable::new(3 * SECOND);
    let committed = LeaseEvent::Committed { change: 7, revision: 5 };
    assert_eq!(table.handle(now, committed.clone()), [LeaseAction::Unconfirmed(7)]);
    table.handle(now, LeaseEvent::Leading { term: 1 });
    assert_eq!(table.handle(now, committed), []);
    assert_eq!(table.handle(now, LeaseEvent::Deposed), [LeaseAction::Unconfirmed(7)]);
}

fn linked_client(now: Instant) -> (LeaseClient, RenewalAction) {
    let mut client = LeaseClient::new(vec![name("c1"), name("c2"), name("c3")], 5, now);
    let mut action = None;
    for control in ["c1", "c2", "c3"] {
        let sent = client.handle(now, LeaseInput::ControlUp(name(control)));
        action = sent.or(action);
    }
    (client, action.expect("a request is due at once"))
}

/// Guards against a lease that a delayed, repeated or unknown grant extends.
#[parameterized(
    at_once = { 0, 0, 2999, true },
    ended = { 0, 0, 3000, false },
    delayed = { 900, 0, 2999, true },
    delayed_ended = { 900, 0, 3000, false },
    unknown_nonce = { 0, 99, 1, false },
)]
fn lease_runs_from_request(delay: u32, offset: u64, later: u32, expected: bool) {
    let start = Instant::now();
    let (mut client, action) = linked_client(start);
    let lease = 3 * SECOND;
    let nonce = action.nonce + offset;
    let granted = LeaseInput::Granted { leader: name("c1"), nonce, lease };
    client.handle(start + MILLISECOND * delay, granted);
    assert_eq!(client.is_valid(start + MILLISECOND * later), expected);
}

/// Guards against a renewal that ignores the leader which a control process has just named.
#[test]
fn redirected_request_goes_to_leader() {
    let start = Instant::now();
    for leader in ["c1", "c2", "c3"] {
        let (mut client, last) = linked_client(start);
        if *last.to == *leader {
            continue;
        }
        let action = client.handle(start, LeaseInput::Redirected(Some(name(leader))));
        assert_eq!(action.expect("a request to the leader is due").to, name(leader));
        // A leader without an answer is given up for another path.
        let mut others = 0;
        for repeat in 1..=2 {
            let next = client.handle(start + MILLISECOND * 300 * repeat, LeaseInput::Tick);
            others += u32::from(next.expect("a repeat is due").to != name(leader));
        }
        assert!(others > 0, "only {leader} is asked");
    }
}

/// Guards against a short lease that ends between two renewals.
#[parameterized(
    shortest = { 500, 166 },
    standard = { 3000, 1000 },
    longest = { 60_000, 1000 },
)]
fn renewal_comes_before_the_end(lease: u64, due: u32) {
    let start = Instant::now();
    let (mut client, action) = linked_client(start);
    let lease = Duration::from_millis(lease);
    let granted = LeaseInput::Granted { leader: name("c1"), nonce: action.nonce, lease };
    assert_eq!(client.handle(start, granted), None);
    assert_eq!(client.handle(start + MILLISECOND * (due - 1), LeaseInput::Tick), None);
    let action = client.handle(start + MILLISECOND * (due + 1), LeaseInput::Tick);
    assert_eq!(action.expect("a renewal is due").to, name("c1"));
}

/// Guards against an entry without a link to control that does not ask through its peers.
#[test]
fn renewal_goes_through_peer() {
    let now = Instant::now();
    let mut client = LeaseClient::new(vec![name("c1")], 1, now);
    assert_eq!(client.handle(now, LeaseInput::Tick), None);
    assert_eq!(client.handle(now, LeaseInput::PeerUp(name("e2"))), None);
    let action = client.handle(now + MILLISECOND * 300, LeaseInput::Tick);
    assert_eq!(action.expect("a request is due").to, name("e2"));
}

const CONTROLS: [&str; 2] = ["c0", "c1"];

struct EntryWorld {
    client: LeaseClient,
    session: u64,
    installed: u64,
    /// Clock rate of the entry relative to the leaders' clocks.
    rate: f64,
    frozen_until: Instant,
}

#[derive(Clone, Debug)]
enum Message {
    Request { control: usize, request: RenewalRequest },
    Grant { control: usize, entry: usize, nonce: u64, lease: Duration, revision: u64 },
    Settings { entry: usize, revision: u64 },
    Installed { control: usize, entry: usize, session: u64, revision: u64 },
    Confirmed { control: usize, round: u64, is_confirmed: bool },
    Deposed { control: usize, term: u64 },
}

/// Two control processes and some entries, with messages that are lost, late and out of order.
struct LeaseWorld {
    start: Instant,
    now: Instant,
    random: fastrand::Rng,
    is_healthy: bool,
    tables: Vec<LeaseTable>,
    /// Terms in which the control processes believe to lead.
    terms: [u64; 2],
    leader: usize,
    term: u64,
    lease: Duration,
    committed: u64,
    in_force: u64,
    confirmed_changes: u64,
    epoch: u64,
    /// Revision that each control process has applied.
    applied: [u64; 2],
    entries: Vec<EntryWorld>,
    messages: Vec<(Instant, Message)>,
}

impl LeaseWorld {
    fn new(seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(1000);
        let mut world = Self {
            start,
            now: start,
            random: fastrand::Rng::with_seed(seed),
            is_healthy: false,
            tables: vec![LeaseTable::new(3 * SECOND), LeaseTable::new(3 * SECOND)],
            terms: [0; 2],
            leader: 0,
            term: 0,
            lease: 3 * SECOND,
            committed: 1,
            in_force: 0,
            confirmed_changes: 0,
            epoch: 0,
            applied: [1; 2],
            entries: Vec::new(),
            messages: Vec::new(),
        };
        for entry in 0..4 {
            let rate = 1.0 / 1.1 + world.random.f64() * (1.1 - 1.0 / 1.1);
            let client = world.new_client(entry, start);
            let (session, installed) = (world.random.u64(..), 0);
            world.entries.push(EntryWorld {
                client,
                session,
                installed,
                rate,
                frozen_until: start,
            });
        }
        world.elect(0);
        world
    }

    fn new_client(&mut self, entry: usize, local: Instant) -> LeaseClient {
        let controls = CONTROLS.map(name).to_vec();
        let mut client = LeaseClient::new(controls, self.random.u64(..), local);
        // The first request of a link-up is lost; the next tick repeats it.
        for control in CONTROLS {
            client.handle(local, LeaseInput::ControlUp(name(control)));
        }
        let peer = format!("e{}", (entry + 1) % 4);
        client.handle(local, LeaseInput::PeerUp(peer.as_str().into()));
        client
    }

    fn local(&self, entry: usize) -> Instant {
        self.start + (self.now - self.start).mul_f64(self.entries[entry].rate)
    }

    fn send(&mut self, message: Message) {
        if !self.is_healthy && self.random.u8(..10) < 2 {
            return;
        }
        let limit = match (self.is_healthy, self.random.u8(..10)) {
            (true, _) => 5,
            (false, 0) => 6000,
            (false, _) => 200,
        };
        let delay = self.random.u32(..limit);
        self.messages.push((self.now + MILLISECOND * delay, message));
    }

    /// Makes a control process leader; the earlier leader learns it later.
    fn elect(&mut self, control: usize) {
        let old = self.leader;
        self.term += 1;
        if old != control {
            let delay = self.random.u32(..5000);
            let deposed = Message::Deposed { control: old, term: self.terms[old] };
            self.messages.push((self.now + MILLISECOND * delay, deposed));
        }
        self.leader = control;
        self.applied[control] = self.committed;
        self.terms[control] = self.term;
        let term = self.term;
        self.table_event(control, LeaseEvent::LeaseChanged(self.lease));
        self.table_event(control, LeaseEvent::Leading { term });
    }

    fn commit(&mut self) {
        self.committed += 1;
        self.applied[self.leader] = self.committed;
        if self.random.u8(..4) == 0 {
            self.lease = MILLISECOND * self.random.u32(500..8000);
            for control in 0..2 {
                self.table_event(control, LeaseEvent::LeaseChanged(self.lease));
            }
        }
        let revision = self.committed;
        self.table_event(self.leader, LeaseEvent::Committed { change: revision, revision });
        for entry in 0..self.entries.len() {
            self.send(Message::Settings { entry, revision });
        }
    }

    fn table_event(&mut self, control: usize, event: LeaseEvent) {
        for action in self.tables[control].handle(self.now, event) {
            match action {
                LeaseAction::Confirm(round) => {
                    let is_confirmed = control == self.leader;
                    let delay = self.random.u32(..if self.is_healthy { 5 } else { 1500 });
                    let message = Message::Confirmed { control, round, is_confirmed };
                    self.messages.push((self.now + MILLISECOND * delay, message));
                }
                LeaseAction::Grant { request, lease, .. } => {
                    let entry = request.entry[1..].parse().expect("entries are numbered");
                    let revision = self.applied[control];
                    let nonce = request.nonce;
                    self.send(Message::Grant { control, entry, nonce, lease, revision });
                }
                LeaseAction::InForce(revision) => {
                    self.in_force = self.in_force.max(revision);
                    self.confirmed_changes += 1;
                }
                LeaseAction::Unconfirmed(_) | LeaseAction::Untracked(_) => (),
            }
        }
    }

    fn client_event(&mut self, entry: usize, input: LeaseInput) {
        let local = self.local(entry);
        let Some(action) = self.entries[entry].client.handle(local, input) else {
            return;
        };
        // A peer passes the request on to the leader that it knows.
        let via = if action.to.starts_with('e') {
            action.to.clone()
        } else {
            format!("e{entry}").as_str().into()
        };
        let control = CONTROLS.iter().position(|control| **control == *action.to);
        let state = &self.entries[entry];
        let request = RenewalRequest {
            entry: format!("e{entry}").as_str().into(),
            via,
            session: state.session,
            availability_zone: "a".into(),
            installed: state.installed,
            epoch: 0,
            nonce: action.nonce,
        };
        let control = control.unwrap_or(self.leader);
        self.send(Message::Request { control, request });
    }

    fn install(&mut self, entry: usize, revision: u64) {
        let state = &mut self.entries[entry];
        state.installed = state.installed.max(revision);
        let (session, revision) = (state.session, state.installed);
        for control in 0..2 {
            self.send(Message::Installed { control, entry, session, revision });
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Request { control, request } => {
                self.table_event(control, LeaseEvent::Requested(request));
            }
            Message::Grant { control, entry, nonce, lease, revision } => {
                self.install(entry, revision);
                let leader = name(CONTROLS[control]);
                self.client_event(entry, LeaseInput::Granted { leader, nonce, lease });
            }
            Message::Settings { entry, revision } => self.install(entry, revision),
            Message::Installed { control, entry, session, revision } => {
                let entry = format!("e{entry}").as_str().into();
                self.table_event(control, LeaseEvent::Installed { entry, session, revision });
            }
            Message::Confirmed { control, round, is_confirmed: true } => {
                self.table_event(control, LeaseEvent::Confirmed(round));
            }
            Message::Confirmed { control, round, is_confirmed: false } => {
                self.table_event(control, LeaseEvent::ConfirmFailed(round));
            }
            Message::Deposed { control, term } if self.terms[control] == term => {
                self.terms[control] = 0;
                self.table_event(control, LeaseEvent::Deposed);
            }
            Message::Deposed { .. } => (),
        }
    }

    fn is_frozen(&self, message: &Message) -> bool {
        match message {
            Message::Grant { entry, .. } | Message::Settings { entry, .. } => {
                self.now < self.entries[*entry].frozen_until
            }
            _ => false,
        }
    }

    fn step(&mut self) {
        self.now += MILLISECOND * self.random.u32(1..60);
        if !self.is_healthy {
            self.disturb();
        }
        let mut due = Vec::new();
        for (at, message) in std::mem::take(&mut self.messages) {
            if at <= self.now && !self.is_frozen(&message) {
                due.push(message);
            } else {
                self.messages.push((at, message));
            }
        }
        self.random.shuffle(&mut due);
        for message in due {
            self.deliver(message);
            self.check();
        }
        for control in 0..2 {
            self.table_event(control, LeaseEvent::Tick);
        }
        for entry in 0..self.entries.len() {
            if self.now >= self.entries[entry].frozen_until {
                self.client_event(entry, LeaseInput::Tick);
            }
        }
        self.check();
    }

    fn disturb(&mut self) {
        let entry = self.random.usize(..self.entries.len());
        match self.random.u16(..1000) {
            0..30 => self.commit(),
            30..36 => {
                let control = self.random.usize(..2);
                self.elect(control);
            }
            36..44 => {
                let pause = MILLISECOND * self.random.u32(..8000);
                self.entries[entry].frozen_until = self.now + pause;
            }
            44..48 => {
                let local = self.local(entry);
                self.entries[entry].client = self.new_client(entry, local);
                self.entries[entry].session = self.random.u64(..);
                self.entries[entry].installed = 0;
            }
            _ => (),
        }
    }

    fn check(&mut self) {
        let table = &self.tables[self.leader];
        let live = table.live_entries();
        for (entry, state) in self.entries.iter().enumerate() {
            if !state.client.is_valid(self.local(entry)) {
                continue;
            }
            let (installed, in_force) = (state.installed, self.in_force);
            assert!(
                installed >= in_force,
                "entry {entry} uses {installed}, {in_force} is in force"
            );
            let own = format!("e{entry}");
            let is_known = live.iter().any(|line| *line.name == *own);
            let knows_all = table.knows_all(self.now);
            assert!(is_known || !knows_all, "entry {entry} holds a lease that the leader has lost");
        }
        let epoch = self.tables[self.leader].epoch();
        assert!(epoch >= self.epoch, "epoch {epoch} after {}", self.epoch);
        self.epoch = epoch;
    }
}

/// Guards against a change in force while an entry with a valid lease uses older settings, against
/// leases that outlive what the leader assumes, against an epoch that goes back, and against
/// entries that get no lease once messages arrive again.
#[test]
fn changes_in_force_are_used_everywhere() {
    let mut confirmed = 0;
    for seed in 0..60 {
        let mut world = LeaseWorld::new(seed);
        for _ in 0..3000 {
            world.step();
        }
        world.is_healthy = true;
        let end = world.now + 25 * SECOND;
        while world.now < end {
            world.step();
        }
        for entry in 0..world.entries.len() {
            let is_valid = world.entries[entry].client.is_valid(world.local(entry));
            assert!(is_valid, "entry {entry} has no lease, seed {seed}");
        }
        confirmed += world.confirmed_changes;
    }
    assert!(confirmed > 1000, "only {confirmed} changes came into force");
}
