//! Settings leases: the leader's lease table and the entries' lease clients, alone and together.

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

fn renewal(entry: &str, session: u64, installed_revision: u64) -> LeaseEvent {
    LeaseEvent::RenewalRequested(RenewalRequest {
        entry: name(entry),
        via: name(entry),
        session,
        availability_zone: "a".into(),
        installed_revision,
        epoch: 0,
        nonce: 1,
    })
}

fn leading_table(start: Instant, lease: Duration) -> LeaseTable {
    let mut table = LeaseTable::new(lease);
    table.handle(start, LeaseEvent::BecameLeader { term: 1 });
    table
}

/// Grants a lease and returns the confirmation round that it required.
fn grant_lease(table: &mut LeaseTable, now: Instant, entry: &str, installed_revision: u64) -> u64 {
    let actions = table.handle(now, renewal(entry, 1, installed_revision));
    let [LeaseAction::ConfirmLeadership(round)] = actions[..] else {
        panic!("expected one leadership confirmation, found {actions:?}");
    };
    let actions = table.handle(now, LeaseEvent::Confirmed(round));
    assert!(matches!(actions[0], LeaseAction::Grant { .. }), "{actions:?}");
    round
}

fn is_in_force(actions: &[LeaseAction]) -> bool {
    actions.contains(&LeaseAction::InForce(7))
}

/// Guards against a change that is reported in force while an entry may still use older settings.
/// The change is in force once the entry has installed it, has left, or its lease plus the
/// allowance for clock drift has expired.
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
fn change_is_in_force_after_entry(event: LeaseEvent, delay_ms: u32, expected: bool) {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let now = start + 10 * SECOND;
    grant_lease(&mut table, now, "e1", 4);
    let committed = LeaseEvent::Committed { change: 7, revision: 5 };
    assert!(!is_in_force(&table.handle(now, committed)));
    let actions = table.handle(now + MILLISECOND * delay_ms, event);
    assert_eq!(is_in_force(&actions), expected, "{actions:?}");
}

/// Guards against a new leader that ignores leases granted by its predecessor.
#[parameterized(
    same_duration = { &[3000], 3300 },
    reduced = { &[10_000, 1000], 11_000 },
    reduced_twice = { &[10_000, 5000, 1000], 11_000 },
    extended = { &[1000, 5000], 5500 },
)]
fn new_leader_waits_for_prior_leases(lease_durations_ms: &[u64], wait_ms: u32) {
    let start = Instant::now();
    let mut table = LeaseTable::new(Duration::from_millis(lease_durations_ms[0]));
    for duration_ms in &lease_durations_ms[1..] {
        table.handle(start, LeaseEvent::LeaseDurationChanged(Duration::from_millis(*duration_ms)));
    }
    table.handle(start, LeaseEvent::BecameLeader { term: 2 });
    table.handle(start, LeaseEvent::Committed { change: 7, revision: 5 });
    let before = start + MILLISECOND * (wait_ms - 1);
    assert!(!is_in_force(&table.handle(before, LeaseEvent::Tick)));
    assert!(is_in_force(&table.handle(start + MILLISECOND * wait_ms, LeaseEvent::Tick)));
}

/// Guards against a renewal with a reduced duration that shortens the lease in the leader's table:
/// the grant may be lost, and the entry then still holds the longer lease.
#[test]
fn shorter_renewal_keeps_longer_lease() {
    let start = Instant::now();
    let mut table = leading_table(start, 10 * SECOND);
    let now = start + 20 * SECOND;
    grant_lease(&mut table, now, "e1", 4);
    table.handle(now, LeaseEvent::LeaseDurationChanged(SECOND));
    grant_lease(&mut table, now, "e1", 4);
    table.handle(now, LeaseEvent::Committed { change: 7, revision: 5 });
    assert!(!is_in_force(&table.handle(now + 10 * SECOND, LeaseEvent::Tick)));
    assert!(is_in_force(&table.handle(now + 11 * SECOND, LeaseEvent::Tick)));
}

/// Guards against a late confirmation from an earlier leadership that confirms a request of the
/// current one.
#[test]
fn late_confirmation_grants_nothing() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let first = table.handle(start, renewal("e1", 1, 4));
    let [LeaseAction::ConfirmLeadership(old_round)] = first[..] else { panic!("{first:?}") };
    table.handle(start, LeaseEvent::LostLeadership);
    table.handle(start, LeaseEvent::BecameLeader { term: 3 });
    table.handle(start, renewal("e1", 1, 4));
    assert_eq!(table.handle(start, LeaseEvent::Confirmed(old_round)), []);
    table.handle(start, LeaseEvent::ConfirmationFailed(old_round));
    let actions = table.handle(start, LeaseEvent::Confirmed(old_round + 1));
    assert!(matches!(actions[..], [LeaseAction::Grant { .. }]), "{actions:?}");
}

/// Guards against starvation: an entry that repeats its request while a round is running must not
/// prevent leases for all entries.
#[test]
fn repeated_request_is_granted() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    let mut actions = Vec::new();
    for entry in ["e1", "e2", "e1", "e3", "e2"] {
        actions.extend(table.handle(start, renewal(entry, 1, 4)));
    }
    let mut granted = Vec::new();
    for _ in 0..4 {
        let mut next_actions = Vec::new();
        for action in std::mem::take(&mut actions) {
            match action {
                LeaseAction::ConfirmLeadership(round) => {
                    next_actions.extend(table.handle(start, LeaseEvent::Confirmed(round)));
                }
                LeaseAction::Grant { request, .. } => granted.push(request.entry),
                other => panic!("unexpected action {other:?}"),
            }
        }
        actions = next_actions;
    }
    // The running round grants the first request of e1, and the next round its repeat.
    granted.sort_unstable();
    assert_eq!(granted, ["e1".into(), "e1".into(), "e2".into(), Box::<str>::from("e3")]);
    assert_eq!(actions.len(), 0);
}

/// Guards against a lease from a deposed leader that outlasts its successor's wait: a duration that
/// was extended after the request must not apply to the grant.
#[test]
fn extended_duration_applies_from_next_request() {
    let now = Instant::now();
    let mut table = leading_table(now, SECOND);
    table.handle(now, renewal("e1", 1, 4));
    table.handle(now, LeaseEvent::LeaseDurationChanged(8 * SECOND));
    let actions = table.handle(now, LeaseEvent::Confirmed(1));
    assert!(matches!(actions[..], [LeaseAction::Grant { lease: SECOND, .. }]), "{actions:?}");
    table.handle(now, renewal("e1", 1, 4));
    let actions = table.handle(now, LeaseEvent::Confirmed(2));
    let [LeaseAction::Grant { lease, .. }] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(lease, 8 * SECOND);
}

/// Guards against an unanswered confirmation round that blocks all later rounds.
#[test]
fn unanswered_round_is_replaced() {
    let start = Instant::now();
    let mut table = leading_table(start, 3 * SECOND);
    assert_eq!(table.handle(start, renewal("e1", 1, 4)), [LeaseAction::ConfirmLeadership(1)]);
    assert_eq!(table.handle(start + MILLISECOND * 300, renewal("e1", 1, 4)), []);
    let actions = table.handle(start + SECOND, renewal("e1", 1, 4));
    assert_eq!(actions, [LeaseAction::ConfirmLeadership(2)]);
}

/// Guards against an operator request that waits indefinitely for a change that this process does
/// not track.
#[test]
fn change_without_leadership_is_unconfirmed() {
    let now = Instant::now();
    let mut table = LeaseTable::new(3 * SECOND);
    let committed = LeaseEvent::Committed { change: 7, revision: 5 };
    assert_eq!(table.handle(now, committed.clone()), [LeaseAction::Unconfirmed(7)]);
    table.handle(now, LeaseEvent::BecameLeader { term: 1 });
    assert_eq!(table.handle(now, committed), []);
    assert_eq!(table.handle(now, LeaseEvent::LostLeadership), [LeaseAction::Unconfirmed(7)]);
}

fn linked_client(now: Instant) -> (LeaseClient, RenewalAction) {
    let mut client = LeaseClient::new(vec![name("c1"), name("c2"), name("c3")], 5, now);
    let mut action = None;
    for control in ["c1", "c2", "c3"] {
        let sent = client.handle(now, LeaseInput::ControlUp(name(control)));
        action = sent.or(action);
    }
    (client, action.expect("the first link-up triggers a request"))
}

/// Guards against a lease that is counted from the arrival of its grant instead of the request, and
/// against a grant with an unknown nonce.
#[parameterized(
    at_once = { 0, 0, 2999, true },
    ended = { 0, 0, 3000, false },
    delayed = { 900, 0, 2999, true },
    delayed_ended = { 900, 0, 3000, false },
    unknown_nonce = { 0, 99, 1, false },
)]
fn lease_counts_from_request(
    grant_delay_ms: u32,
    nonce_offset: u64,
    elapsed_ms: u32,
    expected: bool,
) {
    let start = Instant::now();
    let (mut client, action) = linked_client(start);
    let lease = 3 * SECOND;
    let nonce = action.nonce + nonce_offset;
    let granted = LeaseInput::Granted { leader: name("c1"), nonce, lease };
    client.handle(start + MILLISECOND * grant_delay_ms, granted);
    assert_eq!(client.is_valid(start + MILLISECOND * elapsed_ms), expected);
}

/// Guards against a request that ignores the leader named in a redirect.
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
        // A leader that does not answer is abandoned for another target.
        let mut other_targets = 0;
        for repeat in 1..=2 {
            let next = client.handle(start + MILLISECOND * 300 * repeat, LeaseInput::Tick);
            other_targets += u32::from(next.expect("a repeat is due").to != name(leader));
        }
        assert!(other_targets > 0, "all repeats went to the unresponsive leader {leader}");
    }
}

/// Guards against a short lease that expires before its renewal is due.
#[parameterized(
    shortest = { 500, 166 },
    standard = { 3000, 1000 },
    longest = { 60_000, 1000 },
)]
fn renewal_is_due_before_expiry(lease_ms: u64, due_ms: u32) {
    let start = Instant::now();
    let (mut client, action) = linked_client(start);
    let lease = Duration::from_millis(lease_ms);
    let granted = LeaseInput::Granted { leader: name("c1"), nonce: action.nonce, lease };
    assert_eq!(client.handle(start, granted), None);
    assert_eq!(client.handle(start + MILLISECOND * (due_ms - 1), LeaseInput::Tick), None);
    let action = client.handle(start + MILLISECOND * (due_ms + 1), LeaseInput::Tick);
    assert_eq!(action.expect("a renewal is due").to, name("c1"));
}

/// Guards against an entry that has no link to a control process and does not send its request
/// through a peer.
#[test]
fn request_goes_through_peer_without_control_link() {
    let now = Instant::now();
    let mut client = LeaseClient::new(vec![name("c1")], 1, now);
    assert_eq!(client.handle(now, LeaseInput::Tick), None);
    assert_eq!(client.handle(now, LeaseInput::PeerUp(name("e2"))), None);
    let action = client.handle(now + MILLISECOND * 300, LeaseInput::Tick);
    assert_eq!(action.expect("a request is due").to, name("e2"));
}

const CONTROLS: [&str; 2] = ["c0", "c1"];

struct SimulatedEntry {
    client: LeaseClient,
    session: u64,
    installed: u64,
    /// Clock rate of the entry relative to the clock of the control processes.
    clock_rate: f64,
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

/// Simulation of two control processes and four entries, with messages that are lost, delayed and
/// reordered.
struct LeaseSimulation {
    start: Instant,
    now: Instant,
    random: fastrand::Rng,
    is_network_healthy: bool,
    tables: Vec<LeaseTable>,
    /// Term in which each control process considers itself the leader; 0 for none.
    believed_terms: [u64; 2],
    leader: usize,
    term: u64,
    lease_duration: Duration,
    committed_revision: u64,
    in_force_revision: u64,
    changes_in_force: u64,
    epoch: u64,
    /// Settings revision that each control process has applied.
    applied_revisions: [u64; 2],
    entries: Vec<SimulatedEntry>,
    messages: Vec<(Instant, Message)>,
}

impl LeaseSimulation {
    fn new(seed: u64) -> Self {
        let start = Instant::now() + Duration::from_secs(1000);
        let mut simulation = Self {
            start,
            now: start,
            random: fastrand::Rng::with_seed(seed),
            is_network_healthy: false,
            tables: vec![LeaseTable::new(3 * SECOND), LeaseTable::new(3 * SECOND)],
            believed_terms: [0; 2],
            leader: 0,
            term: 0,
            lease_duration: 3 * SECOND,
            committed_revision: 1,
            in_force_revision: 0,
            changes_in_force: 0,
            epoch: 0,
            applied_revisions: [1; 2],
            entries: Vec::new(),
            messages: Vec::new(),
        };
        for entry in 0..4 {
            let clock_rate = 1.0 / 1.1 + simulation.random.f64() * (1.1 - 1.0 / 1.1);
            let client = simulation.new_client(entry, start);
            let (session, installed) = (simulation.random.u64(..), 0);
            simulation.entries.push(SimulatedEntry {
                client,
                session,
                installed,
                clock_rate,
                frozen_until: start,
            });
        }
        simulation.elect(0);
        simulation
    }

    fn new_client(&mut self, entry: usize, local_time: Instant) -> LeaseClient {
        let controls = CONTROLS.map(name).to_vec();
        let mut client = LeaseClient::new(controls, self.random.u64(..), local_time);
        // The request made when the first link comes up is dropped; a later tick repeats it.
        for control in CONTROLS {
            client.handle(local_time, LeaseInput::ControlUp(name(control)));
        }
        let peer = format!("e{}", (entry + 1) % 4);
        client.handle(local_time, LeaseInput::PeerUp(peer.as_str().into()));
        client
    }

    fn local_time(&self, entry: usize) -> Instant {
        self.start + (self.now - self.start).mul_f64(self.entries[entry].clock_rate)
    }

    fn send(&mut self, message: Message) {
        if !self.is_network_healthy && self.random.u8(..10) < 2 {
            return;
        }
        let delay_limit_ms = match (self.is_network_healthy, self.random.u8(..10)) {
            (true, _) => 5,
            (false, 0) => 6000,
            (false, _) => 200,
        };
        let delay_ms = self.random.u32(..delay_limit_ms);
        self.messages.push((self.now + MILLISECOND * delay_ms, message));
    }

    /// Makes a control process the leader; the previous leader learns of it after a delay.
    fn elect(&mut self, control: usize) {
        let previous_leader = self.leader;
        self.term += 1;
        if previous_leader != control {
            let delay_ms = self.random.u32(..5000);
            let deposed = Message::Deposed {
                control: previous_leader,
                term: self.believed_terms[previous_leader],
            };
            self.messages.push((self.now + MILLISECOND * delay_ms, deposed));
        }
        self.leader = control;
        self.applied_revisions[control] = self.committed_revision;
        self.believed_terms[control] = self.term;
        let term = self.term;
        self.handle_table_event(control, LeaseEvent::LeaseDurationChanged(self.lease_duration));
        self.handle_table_event(control, LeaseEvent::BecameLeader { term });
    }

    fn commit(&mut self) {
        self.committed_revision += 1;
        self.applied_revisions[self.leader] = self.committed_revision;
        if self.random.u8(..4) == 0 {
            self.lease_duration = MILLISECOND * self.random.u32(500..8000);
            for control in 0..2 {
                self.handle_table_event(
                    control,
                    LeaseEvent::LeaseDurationChanged(self.lease_duration),
                );
            }
        }
        let revision = self.committed_revision;
        self.handle_table_event(self.leader, LeaseEvent::Committed { change: revision, revision });
        for entry in 0..self.entries.len() {
            self.send(Message::Settings { entry, revision });
        }
    }

    fn handle_table_event(&mut self, control: usize, event: LeaseEvent) {
        for action in self.tables[control].handle(self.now, event) {
            match action {
                LeaseAction::ConfirmLeadership(round) => {
                    let is_confirmed = control == self.leader;
                    let delay_ms =
                        self.random.u32(..if self.is_network_healthy { 5 } else { 1500 });
                    let message = Message::Confirmed { control, round, is_confirmed };
                    self.messages.push((self.now + MILLISECOND * delay_ms, message));
                }
                LeaseAction::Grant { request, lease, .. } => {
                    let entry = request.entry[1..].parse().expect("entries are numbered");
                    let revision = self.applied_revisions[control];
                    let nonce = request.nonce;
                    self.send(Message::Grant { control, entry, nonce, lease, revision });
                }
                LeaseAction::InForce(revision) => {
                    self.in_force_revision = self.in_force_revision.max(revision);
                    self.changes_in_force += 1;
                }
                LeaseAction::Unconfirmed(_) | LeaseAction::Untracked(_) => (),
            }
        }
    }

    fn handle_client_event(&mut self, entry: usize, input: LeaseInput) {
        let local_time = self.local_time(entry);
        let Some(action) = self.entries[entry].client.handle(local_time, input) else {
            return;
        };
        // A peer relays the request to the current leader.
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
            installed_revision: state.installed,
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
                self.handle_table_event(control, LeaseEvent::RenewalRequested(request));
            }
            Message::Grant { control, entry, nonce, lease, revision } => {
                self.install(entry, revision);
                let leader = name(CONTROLS[control]);
                self.handle_client_event(entry, LeaseInput::Granted { leader, nonce, lease });
            }
            Message::Settings { entry, revision } => self.install(entry, revision),
            Message::Installed { control, entry, session, revision } => {
                let entry = format!("e{entry}").as_str().into();
                self.handle_table_event(
                    control,
                    LeaseEvent::Installed { entry, session, revision },
                );
            }
            Message::Confirmed { control, round, is_confirmed: true } => {
                self.handle_table_event(control, LeaseEvent::Confirmed(round));
            }
            Message::Confirmed { control, round, is_confirmed: false } => {
                self.handle_table_event(control, LeaseEvent::ConfirmationFailed(round));
            }
            Message::Deposed { control, term } if self.believed_terms[control] == term => {
                self.believed_terms[control] = 0;
                self.handle_table_event(control, LeaseEvent::LostLeadership);
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
        if !self.is_network_healthy {
            self.inject_fault();
        }
        let mut due_messages = Vec::new();
        for (arrival, message) in std::mem::take(&mut self.messages) {
            if arrival <= self.now && !self.is_frozen(&message) {
                due_messages.push(message);
            } else {
                self.messages.push((arrival, message));
            }
        }
        self.random.shuffle(&mut due_messages);
        for message in due_messages {
            self.deliver(message);
            self.check_invariants();
        }
        for control in 0..2 {
            self.handle_table_event(control, LeaseEvent::Tick);
        }
        for entry in 0..self.entries.len() {
            if self.now >= self.entries[entry].frozen_until {
                self.handle_client_event(entry, LeaseInput::Tick);
            }
        }
        self.check_invariants();
    }

    fn inject_fault(&mut self) {
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
                let local_time = self.local_time(entry);
                self.entries[entry].client = self.new_client(entry, local_time);
                self.entries[entry].session = self.random.u64(..);
                self.entries[entry].installed = 0;
            }
            _ => (),
        }
    }

    fn check_invariants(&mut self) {
        let table = &self.tables[self.leader];
        let live_entries = table.live_entries();
        for (entry, state) in self.entries.iter().enumerate() {
            if !state.client.is_valid(self.local_time(entry)) {
                continue;
            }
            let (installed, in_force) = (state.installed, self.in_force_revision);
            assert!(
                installed >= in_force,
                "entry {entry} uses revision {installed}, but revision {in_force} is in force"
            );
            let name = format!("e{entry}");
            let is_known = live_entries.iter().any(|live| *live.name == *name);
            let is_list_complete = table.is_list_complete(self.now);
            assert!(
                is_known || !is_list_complete,
                "entry {entry} holds a lease that is missing from the leader's table"
            );
        }
        let epoch = self.tables[self.leader].epoch();
        assert!(epoch >= self.epoch, "epoch decreased to {epoch} from {}", self.epoch);
        self.epoch = epoch;
    }
}

/// Guards against a change that is reported in force while an entry with a valid lease uses older
/// settings, against leases that outlast the leader's record of them, against an epoch that
/// decreases, and against entries that get no lease after the network recovers.
#[test]
fn changes_in_force_are_used_everywhere() {
    let mut changes_in_force = 0;
    for seed in 0..60 {
        let mut simulation = LeaseSimulation::new(seed);
        for _ in 0..3000 {
            simulation.step();
        }
        simulation.is_network_healthy = true;
        let recovery_end = simulation.now + 25 * SECOND;
        while simulation.now < recovery_end {
            simulation.step();
        }
        for entry in 0..simulation.entries.len() {
            let is_valid = simulation.entries[entry].client.is_valid(simulation.local_time(entry));
            assert!(
                is_valid,
                "seed {seed}: entry {entry} has no lease after the network recovered"
            );
        }
        changes_in_force += simulation.changes_in_force;
    }
    assert!(changes_in_force > 1000, "only {changes_in_force} changes were reported in force");
}
