//! Simulated cluster: in-memory message delivery with seeded faults, and safety checks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use curranthollow::consensus::members::{MemberChange, MemberSet};
use curranthollow::consensus::message::{EntryBody, HardState, LogEntry, RaftMessage};
use curranthollow::consensus::node::{Proposal, RestartState};
use curranthollow::consensus::{RaftAction, RaftConfig, RaftEvent, RaftNode, Role, repair};
use curranthollow::fleet::control::{placement, rejoin};

/// Simulated time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(5);

/// Added to the id of a member that joins again. The ids of tests are below it.
const FIRST_REJOINED_ID: u64 = 1_000_000;

/// Entries applied between snapshots; low, so that tests exercise snapshot transfer.
const SNAPSHOT_INTERVAL_ENTRIES: u64 = 40;

/// Durable state of one member.
#[derive(Clone, Default)]
struct Disk {
    state: RestartState,
}

/// Rule by which leaders change the member set.
#[derive(Clone, Copy)]
enum Placement {
    /// Keeps the member names of the formation; replaces lost ids.
    Repair,
    /// Keeps as many voters, of any names, as are needed to survive this many losses.
    Fleet { survivable_losses: usize },
}

/// Content of one `Persist` action.
type PersistRequest = (u64, Option<HardState>, Option<u64>, Vec<LogEntry>);

struct Member {
    node: RaftNode,
    disk: Disk,
    name: Box<str>,
    /// Contents of `Persist` actions that are not synced yet.
    unsynced: Vec<PersistRequest>,
    /// State of the replicated state machine: the payloads applied so far.
    applied_payloads: Vec<u64>,
    applied: u64,
    snapshot_index: u64,
    join_requests: placement::JoinRequests,
    alive: bool,
    frozen: bool,
    has_stalled_disk: bool,
}

/// Fault rates of message delivery and syncs.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Percentage of messages that are lost.
    pub(crate) loss: u32,
    /// Percentage of messages that are sent twice.
    pub(crate) duplicate: u32,
    /// Maximum additional delay in steps; different delays reorder messages.
    pub(crate) delay: u32,
    /// Percentage of steps in which a member does not sync.
    pub(crate) slow_sync: u32,
}

pub(crate) struct Cluster {
    pub(crate) now: Instant,
    pub(crate) random: fastrand::Rng,
    pub(crate) faults: Faults,
    placement: Placement,
    members: BTreeMap<u64, Member>,
    in_transit: Vec<(Instant, RaftMessage)>,
    blocked_links: BTreeSet<(u64, u64)>,
    /// Committed entries by index, as recorded from the first member that committed them.
    committed: BTreeMap<u64, LogEntry>,
    leader_by_term: BTreeMap<u64, u64>,
    /// Payloads reported as committed by the leader that accepted them.
    pub(crate) acknowledged: BTreeSet<u64>,
    accepted: BTreeMap<(u64, u64, u64), u64>,
    pub(crate) confirmed: Vec<(u64, u64)>,
    next_payload: u64,
}

fn config() -> RaftConfig {
    RaftConfig {
        election_timeout: Duration::from_millis(150),
        heartbeat_interval: Duration::from_millis(30),
        max_append_bytes: 200,
        max_in_flight: 4,
        snapshot_chunk_bytes: 64,
        retained_entries: 8,
        ..RaftConfig::default()
    }
}

pub(crate) fn name_of(member: u64) -> Box<str> {
    // Ids 1, 11 and 21 are successive ids under the same name.
    format!("control-{}", member % 10).into()
}

impl Cluster {
    pub(crate) fn new(count: u64, seed: u64, faults: Faults) -> Self {
        Self::form(count, seed, faults, Placement::Repair)
    }

    /// Cluster with fleet placement: three seed members form it, the others join with empty disks.
    pub(crate) fn of_fleet(count: u64, seed: u64, faults: Faults) -> Self {
        let placement = Placement::Fleet { survivable_losses: 2 };
        let mut cluster = Self::form(3, seed, faults, placement);
        for id in 4..=count {
            cluster.add(id);
        }
        cluster
    }

    /// Starts a member with an empty disk.
    pub(crate) fn add(&mut self, id: u64) {
        self.start(id, Disk::default());
    }

    fn form(count: u64, seed: u64, faults: Faults, placement: Placement) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            random: fastrand::Rng::with_seed(seed),
            faults,
            placement,
            members: BTreeMap::new(),
            in_transit: Vec::new(),
            blocked_links: BTreeSet::new(),
            committed: BTreeMap::new(),
            leader_by_term: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            accepted: BTreeMap::new(),
            confirmed: Vec::new(),
            next_payload: 0,
        };
        let initial = MemberSet::of_voters((1..=count).map(|id| (id, name_of(id))));
        for id in 1..=count {
            let state = RestartState { initial: initial.clone(), ..RestartState::default() };
            cluster.start(id, Disk { state });
        }
        cluster
    }

    fn start(&mut self, id: u64, disk: Disk) {
        let seed = self.random.u64(..);
        let node = RaftNode::new(config(), 0, id, seed, self.now, disk.state.clone());
        let snapshot = disk.state.snapshot.clone();
        let applied_payloads = snapshot.as_ref().map_or_else(Vec::new, |saved| decode(&saved.data));
        let applied = snapshot.map_or(0, |saved| saved.index);
        let member = Member {
            node,
            disk,
            name: name_of(id),
            unsynced: Vec::new(),
            applied_payloads,
            applied,
            snapshot_index: applied,
            join_requests: placement::JoinRequests::new(),
            alive: true,
            frozen: false,
            has_stalled_disk: false,
        };
        self.members.insert(id, member);
    }

    pub(crate) fn crash(&mut self, id: u64) {
        let member = self.members.get_mut(&id).expect("the member exists");
        member.alive = false;
        member.unsynced.clear();
    }

    pub(crate) fn restart(&mut self, id: u64) {
        let disk = self.members[&id].disk.clone();
        self.start(id, disk);
    }

    /// Crashes a member and starts its replacement with an empty disk and a new id.
    pub(crate) fn lose_disk(&mut self, id: u64, new_id: u64) {
        self.crash(id);
        self.start(new_id, Disk::default());
    }

    pub(crate) fn freeze(&mut self, id: u64, frozen: bool) {
        self.members.get_mut(&id).expect("the member exists").frozen = frozen;
    }

    pub(crate) fn stall_disk(&mut self, id: u64, stalled: bool) {
        self.members.get_mut(&id).expect("the member exists").has_stalled_disk = stalled;
    }

    pub(crate) fn is_alive(&self, id: u64) -> bool {
        self.members[&id].alive
    }

    pub(crate) fn ids(&self) -> Vec<u64> {
        self.members.keys().copied().collect()
    }

    pub(crate) fn node(&self, id: u64) -> &RaftNode {
        &self.members[&id].node
    }

    pub(crate) fn cut_link(&mut self, from: u64, to: u64) {
        self.blocked_links.insert((from, to));
    }

    pub(crate) fn isolate(&mut self, id: u64) {
        for other in self.ids() {
            self.cut_link(id, other);
            self.cut_link(other, id);
        }
    }

    pub(crate) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    /// Leader with the highest term among the running members.
    pub(crate) fn leader(&self) -> Option<u64> {
        let running = self.members.iter().filter(|(_, member)| member.alive && !member.frozen);
        let leaders = running.filter(|(_, member)| member.node.role() == Role::Leader);
        leaders.max_by_key(|(_, member)| member.node.term()).map(|(&id, _)| id)
    }

    pub(crate) fn propose(&mut self) -> Option<u64> {
        let leader = self.leader()?;
        self.next_payload += 1;
        let payload = self.next_payload;
        let proposal = Proposal { request: payload, payload: payload.to_le_bytes().to_vec() };
        self.handle_event(leader, RaftEvent::Propose(vec![proposal]));
        Some(payload)
    }

    pub(crate) fn handle_event(&mut self, id: u64, event: RaftEvent) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if !member.alive || member.frozen {
            return;
        }
        let actions = member.node.handle(self.now, event);
        for action in actions {
            self.execute(id, action);
        }
    }

    fn execute(&mut self, id: u64, action: RaftAction) {
        let member = self.members.get_mut(&id).expect("the member exists");
        match action {
            RaftAction::Persist { sequence, hard_state, truncate_from, entries } => {
                member.unsynced.push((sequence, hard_state, truncate_from, entries));
            }
            RaftAction::Send(message) => self.send(message),
            RaftAction::Commit(entries) => {
                for entry in entries {
                    self.on_commit(id, entry);
                }
            }
            RaftAction::Accepted { request, term, index } => {
                self.accepted.insert((id, index, term), request);
            }
            RaftAction::InstallSnapshot(snapshot) => {
                member.disk.save_snapshot(&snapshot);
                member.applied_payloads = decode(&snapshot.data);
                member.applied = snapshot.index;
                member.snapshot_index = snapshot.index;
                self.handle_event(id, RaftEvent::SnapshotInstalled(snapshot));
            }
            RaftAction::LeadershipConfirmed { request, index } => {
                self.confirmed.push((request, index));
            }
            RaftAction::RoleChanged { role: Role::Leader, term, .. } => {
                let first = *self.leader_by_term.entry(term).or_insert(id);
                assert_eq!(first, id, "two leaders in term {term}");
            }
            RaftAction::Refused { .. }
            | RaftAction::RoleChanged { .. }
            | RaftAction::LeaderLost { .. } => {}
        }
    }

    fn on_commit(&mut self, id: u64, entry: LogEntry) {
        let recorded = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(*recorded, entry, "member {id} committed a different entry");
        let member = self.members.get_mut(&id).expect("the member exists");
        assert_eq!(entry.index, member.applied + 1, "member {id} skipped an entry");
        member.applied = entry.index;
        let EntryBody::Payload(payload) = &entry.body else { return };
        let payload = u64::from_le_bytes(payload.as_slice().try_into().expect("8 bytes"));
        member.applied_payloads.push(payload);
        if self.accepted.get(&(id, entry.index, entry.term)) == Some(&payload) {
            self.acknowledged.insert(payload);
        }
    }

    fn send(&mut self, message: RaftMessage) {
        let copies = 1 + u32::from(self.random.u32(0..100) < self.faults.duplicate);
        for _ in 0..copies {
            if self.random.u32(0..100) < self.faults.loss {
                continue;
            }
            let steps = 1 + self.random.u32(0..=self.faults.delay);
            self.in_transit.push((self.now + STEP * steps, message.clone()));
        }
    }

    /// Advances simulated time by one step: delivers, ticks, syncs, compacts and repairs.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, _)| *at <= now);
        self.in_transit = later;
        for (_, message) in due {
            if !self.blocked_links.contains(&(message.from, message.to)) {
                self.handle_event(message.to, RaftEvent::Message(message));
            }
        }
        for id in self.ids() {
            self.handle_event(id, RaftEvent::Tick);
            if self.random.u32(0..100) >= self.faults.slow_sync {
                self.sync(id);
            }
            self.compact(id);
            self.repair(id);
        }
    }

    pub(crate) fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.step();
        }
    }

    /// Runs until `done` returns true; panics after 4000 steps.
    pub(crate) fn run_until(&mut self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        for _ in 0..4000 {
            if done(self) {
                return;
            }
            self.step();
        }
        panic!("condition not reached: {what}");
    }

    fn sync(&mut self, id: u64) {
        let member = self.members.get_mut(&id).expect("the member exists");
        if !member.alive || member.frozen || member.has_stalled_disk {
            return;
        }
        let Some(&(sequence, ..)) = member.unsynced.last() else { return };
        for (_, hard_state, truncate_from, entries) in std::mem::take(&mut member.unsynced) {
            member.disk.write(hard_state, truncate_from, entries);
        }
        self.handle_event(id, RaftEvent::Persisted { sequence });
    }

    fn compact(&mut self, id: u64) {
        let member = self.members.get_mut(&id).expect("the member exists");
        if !member.alive || member.applied < member.snapshot_index + SNAPSHOT_INTERVAL_ENTRIES {
            return;
        }
        let data =
            member.applied_payloads.iter().flat_map(|payload| payload.to_le_bytes()).collect();
        let snapshot =
            member.node.snapshot_at(member.applied, data).expect("the applied index is committed");
        let snapshot = Arc::new(snapshot);
        member.snapshot_index = snapshot.index;
        member.disk.save_snapshot(&snapshot);
        self.handle_event(id, RaftEvent::SnapshotSaved(snapshot));
    }

    /// Does what the host does: leaders change the member set and running members outside it ask to
    /// join.
    fn repair(&mut self, id: u64) {
        let leader = self.leader();
        let member = self.members.get_mut(&id).expect("the member exists");
        if !member.alive || member.frozen {
            return;
        }
        let change = match self.placement {
            Placement::Repair => {
                let join_requests =
                    member.join_requests.iter().map(|(name, (id, _))| (name.clone(), *id));
                repair::next_change(&member.node, &join_requests.collect())
            }
            Placement::Fleet { survivable_losses } => placement::next_change(
                &member.node,
                &member.join_requests,
                survivable_losses,
                self.now,
            ),
        };
        if let Some(change) = change {
            self.handle_event(id, RaftEvent::ChangeMembers { request: u64::MAX, change });
            return;
        }
        let listed_at = rejoin::listed_at(&member.node, id);
        if listed_at.is_some() && member.node.leader().is_some() {
            return;
        }
        let name = member.name.clone();
        let Some(leader) = leader.filter(|leader| !self.blocked_links.contains(&(id, *leader)))
        else {
            return;
        };
        let leader = self.members.get_mut(&leader).expect("the member exists");
        let is_fleet = matches!(self.placement, Placement::Fleet { .. });
        if is_fleet && rejoin::is_removed(&leader.node, id, listed_at) {
            if !self.members[&id].has_stalled_disk {
                self.replace_identity(id);
            }
            return;
        }
        if !leader.node.members().contains(id) {
            leader.join_requests.insert(name, (id, self.now));
        }
    }

    /// Continues a removed member under a new id.
    fn replace_identity(&mut self, id: u64) {
        let new_id = id + FIRST_REJOINED_ID;
        self.sync(id);
        self.handle_event(id, RaftEvent::IdentityReplaced { member: new_id });
        let member = self.members.remove(&id).expect("the member exists");
        self.members.insert(new_id, member);
    }

    /// Latest id of the process that started as `id`.
    pub(crate) fn current_id(&self, id: u64) -> u64 {
        let ids = self.members.keys().copied();
        ids.filter(|other| other % FIRST_REJOINED_ID == id).max().expect("the member exists")
    }

    pub(crate) fn change(&mut self, change: MemberChange) {
        let leader = self.leader().expect("there is a leader");
        self.handle_event(leader, RaftEvent::ChangeMembers { request: u64::MAX, change });
    }

    pub(crate) fn await_leader(&mut self) -> u64 {
        self.run_until("a leader with a committed entry of its term", |cluster| {
            cluster.leader().is_some_and(|id| {
                let node = cluster.node(id);
                cluster.committed.get(&node.commit_index()).is_some_and(|e| e.term == node.term())
            })
        });
        self.leader().expect("a leader was elected")
    }

    /// Proposes payloads until one of them is acknowledged.
    pub(crate) fn commit_one_payload(&mut self) {
        for _ in 0..40 {
            self.await_leader();
            let Some(payload) = self.propose() else { continue };
            for _ in 0..100 {
                self.step();
                if self.acknowledged.contains(&payload) {
                    return;
                }
            }
        }
        panic!("no payload was committed");
    }

    /// Highest index committed by any member.
    pub(crate) fn committed_index(&self) -> u64 {
        self.committed.keys().next_back().copied().unwrap_or(0)
    }

    /// Checks that `id` has applied every acknowledged payload and that its state equals the
    /// committed log.
    pub(crate) fn check_applied_state(&self, id: u64) {
        let state: BTreeSet<u64> = self.members[&id].applied_payloads.iter().copied().collect();
        let lost: Vec<_> = self.acknowledged.difference(&state).collect();
        assert!(
            lost.is_empty(),
            "member {id} lost {} payloads, first {:?}",
            lost.len(),
            lost.first()
        );
        let expected = self.committed.range(..=self.members[&id].applied);
        let payloads = expected.filter_map(|(_, entry)| match &entry.body {
            EntryBody::Payload(payload) => Some(decode(payload)[0]),
            _ => None,
        });
        assert!(
            payloads.eq(self.members[&id].applied_payloads.iter().copied()),
            "member {id} differs from the committed log"
        );
    }
}

impl Disk {
    fn write(
        &mut self,
        hard_state: Option<HardState>,
        truncate_from: Option<u64>,
        entries: Vec<LogEntry>,
    ) {
        self.state.hard_state = hard_state.unwrap_or(self.state.hard_state);
        if let Some(from) = truncate_from {
            self.state.entries.retain(|entry| entry.index < from);
        }
        let base = self.state.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        for entry in entries {
            if entry.index <= base {
                continue;
            }
            let last = self.state.entries.back().map_or(base, |entry| entry.index);
            assert_eq!(entry.index, last + 1, "the persisted log has a gap");
            self.state.entries.push_back(entry);
        }
    }

    fn save_snapshot(&mut self, snapshot: &Arc<curranthollow::consensus::message::Snapshot>) {
        let at = self.state.entries.iter().find(|entry| entry.index == snapshot.index);
        let conflict = at.is_some_and(|entry| entry.term != snapshot.term);
        self.state.snapshot = Some(Arc::clone(snapshot));
        let kept: VecDeque<_> = std::mem::take(&mut self.state.entries);
        let kept = kept.into_iter().filter(|entry| !conflict && entry.index > snapshot.index);
        self.state.entries = kept.collect();
    }
}

fn decode(data: &[u8]) -> Vec<u64> {
    let chunks = data.chunks_exact(8);
    chunks.map(|chunk| u64::from_le_bytes(chunk.try_into().expect("8 bytes"))).collect()
}
