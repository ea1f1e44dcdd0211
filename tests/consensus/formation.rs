//! First formation of a cluster.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use curranthollow::consensus::formation::{
    ClusterFormation, FormationAction, FormationEvent, FormationMessage, Membership, QUERY_INTERVAL,
};
use curranthollow::ids::ProcessName;
use curranthollow::storage::{FormedIdentity, StoredIdentity};
use yare::parameterized;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Processes with reliable or cut links and an identity file each.
struct Processes {
    now: Instant,
    running: BTreeMap<ProcessName, ClusterFormation>,
    stored: BTreeMap<ProcessName, StoredIdentity>,
    started: BTreeMap<ProcessName, (FormedIdentity, Membership)>,
    cut: BTreeSet<(ProcessName, ProcessName)>,
    queue: VecDeque<(ProcessName, ProcessName, FormationMessage)>,
    next_cluster: u64,
}

impl Processes {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            running: BTreeMap::new(),
            stored: BTreeMap::new(),
            started: BTreeMap::new(),
            cut: BTreeSet::new(),
            queue: VecDeque::new(),
            next_cluster: 900,
        }
    }

    /// Starts a process; `member` is the id for an empty folder.
    fn start(&mut self, name: &str, member: u64) {
        let empty = StoredIdentity { member, formed: None };
        let stored = self.stored.entry(name.into()).or_insert(empty).clone();
        self.next_cluster += 1;
        let peers = NAMES.map(ProcessName::from).into();
        let formation = ClusterFormation::new(name.into(), peers, stored, self.next_cluster);
        self.running.insert(name.into(), formation);
    }

    fn event(&mut self, name: &str, event: FormationEvent, sync: bool) {
        let Some(formation) = self.running.get_mut(name) else { return };
        for action in formation.handle(self.now, event) {
            match action {
                FormationAction::Send { to, message } => {
                    self.queue.push_back((name.into(), to, message));
                }
                FormationAction::Sync(identity) => {
                    self.stored.insert(name.into(), identity);
                    if sync {
                        self.event(name, FormationEvent::Synced, sync);
                    }
                }
                FormationAction::Start { identity, membership } => {
                    self.started.insert(name.into(), (identity, membership));
                }
            }
        }
    }

    fn turn(&mut self, sync: bool) {
        self.now += QUERY_INTERVAL;
        for name in NAMES {
            self.event(name, FormationEvent::Tick, sync);
        }
        while let Some((from, to, message)) = self.queue.pop_front() {
            if !self.cut.contains(&(from.clone(), to.clone())) {
                self.event(&to, FormationEvent::Message { from, message }, sync);
            }
        }
    }

    fn clusters(&self) -> BTreeSet<u64> {
        self.started.values().map(|(identity, _)| identity.cluster).collect()
    }

    fn membership(&self, name: &str) -> Option<Membership> {
        self.started.get(name).map(|(_, membership)| *membership)
    }
}

/// Guards against a formation that depends on the order of starts.
#[parameterized(
    in_order = { ["a", "b", "c"] },
    reverse = { ["c", "b", "a"] },
    middle_first = { ["b", "a", "c"] },
)]
fn forms_once_when_all_are_reachable(order: [&str; 3]) {
    let mut processes = Processes::new();
    for (name, member) in order.into_iter().zip(1..) {
        processes.turn(true);
        assert!(processes.started.is_empty(), "formed without all peers");
        processes.start(name, member);
    }
    processes.turn(true);
    processes.turn(true);
    assert_eq!((processes.clusters().len(), processes.started.len()), (1, 3));
    let founders = NAMES.iter().all(|name| processes.membership(name) == Some(Membership::Founder));
    assert!(founders);
}

/// Guards against formation while a link is cut in one direction only.
#[parameterized(to_b = { "a", "b" }, from_b = { "b", "a" })]
fn does_not_form_over_a_cut_link(from: &str, to: &str) {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    processes.cut.insert((from.into(), to.into()));
    (0..5).for_each(|_| processes.turn(true));
    assert!(processes.started.is_empty());
    processes.cut.clear();
    (0..2).for_each(|_| processes.turn(true));
    assert_eq!((processes.clusters().len(), processes.started.len()), (1, 3));
}

/// Guards against a member of the initial list that missed it and then joins as a newcomer or forms
/// a second cluster.
#[test]
fn missed_list_is_sent_again() {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    // The first member crashes after the sync and before it sends the list.
    processes.turn(false);
    assert!(processes.stored["a"].formed.is_some() && processes.started.is_empty());
    processes.queue.clear();
    processes.start("a", 77);
    (0..2).for_each(|_| processes.turn(true));
    assert!(processes.running["a"].formed().is_some());
    assert_eq!(processes.membership("b"), Some(Membership::Founder));
    assert_eq!(processes.membership("c"), Some(Membership::Founder));
    assert_eq!(processes.clusters().len(), 1);
}

/// Guards against a lost disk of the member with the lowest name that forms a second cluster or
/// votes under its old id.
#[parameterized(lowest = { "a" }, other = { "c" })]
fn lost_disk_joins_with_a_new_id(lost: &str) {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    (0..2).for_each(|_| processes.turn(true));
    processes.stored.remove(lost);
    processes.started.remove(lost);
    processes.start(lost, 50);
    (0..2).for_each(|_| processes.turn(true));
    assert_eq!(processes.membership(lost), Some(Membership::Newcomer));
    assert_eq!(processes.stored[lost].member, 50);
    assert_eq!(processes.clusters().len(), 1);
}

/// Guards against an answer from before a restart that counts for the new member id.
#[test]
fn old_answers_do_not_count() {
    let mut processes = Processes::new();
    processes.start("a", 1);
    processes.event("a", FormationEvent::Tick, true);
    for (name, member) in [("b", 2), ("c", 3)] {
        for (asked_by, round) in [(99, 1), (1, 7)] {
            let message = FormationMessage::Unformed { member, asked_by, round };
            let event = FormationEvent::Message { from: name.into(), message };
            processes.event("a", event, true);
        }
    }
    assert!(processes.started.is_empty());
}
