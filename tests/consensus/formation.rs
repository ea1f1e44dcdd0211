//! Tests of the initial formation of a cluster.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use curranthollow::consensus::formation::{
    ClusterFormation, FormationAction, FormationEvent, FormationMessage, Membership, QUERY_INTERVAL,
};
use curranthollow::ids::ProcessName;
use curranthollow::storage::{FormedIdentity, StoredIdentity};
use yare::parameterized;

const NAMES: [&str; 3] = ["a", "b", "c"];

/// Simulated processes, each with an identity file, and the links between them.
struct Processes {
    now: Instant,
    running: BTreeMap<ProcessName, ClusterFormation>,
    stored: BTreeMap<ProcessName, StoredIdentity>,
    started: BTreeMap<ProcessName, (FormedIdentity, Membership)>,
    cut_links: BTreeSet<(ProcessName, ProcessName)>,
    in_transit: VecDeque<(ProcessName, ProcessName, FormationMessage)>,
    next_cluster: u64,
}

impl Processes {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            running: BTreeMap::new(),
            stored: BTreeMap::new(),
            started: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            in_transit: VecDeque::new(),
            next_cluster: 900,
        }
    }

    /// Starts a process; `member` is its id if it has no identity file yet.
    fn start(&mut self, name: &str, member: u64) {
        let empty = StoredIdentity { member, formed: None };
        let stored = self.stored.entry(name.into()).or_insert(empty).clone();
        self.next_cluster += 1;
        let peers = NAMES.map(ProcessName::from).into();
        let formation = ClusterFormation::new(name.into(), peers, stored, self.next_cluster);
        self.running.insert(name.into(), formation);
    }

    fn handle_event(&mut self, name: &str, event: FormationEvent, sync_succeeds: bool) {
        let Some(formation) = self.running.get_mut(name) else { return };
        for action in formation.handle(self.now, event) {
            match action {
                FormationAction::Send { to, message } => {
                    self.in_transit.push_back((name.into(), to, message));
                }
                FormationAction::Sync(identity) => {
                    self.stored.insert(name.into(), identity);
                    if sync_succeeds {
                        self.handle_event(name, FormationEvent::Synced, sync_succeeds);
                    }
                }
                FormationAction::Start { identity, membership } => {
                    self.started.insert(name.into(), (identity, membership));
                }
            }
        }
    }

    fn run_round(&mut self, sync_succeeds: bool) {
        self.now += QUERY_INTERVAL;
        for name in NAMES {
            self.handle_event(name, FormationEvent::Tick, sync_succeeds);
        }
        while let Some((from, to, message)) = self.in_transit.pop_front() {
            if !self.cut_links.contains(&(from.clone(), to.clone())) {
                self.handle_event(&to, FormationEvent::Message { from, message }, sync_succeeds);
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

/// Guards against a formation whose result depends on the order in which processes start.
#[parameterized(
    in_order = { ["a", "b", "c"] },
    reverse = { ["c", "b", "a"] },
    middle_first = { ["b", "a", "c"] },
)]
fn forms_once_when_all_are_reachable(order: [&str; 3]) {
    let mut processes = Processes::new();
    for (name, member) in order.into_iter().zip(1..) {
        processes.run_round(true);
        assert!(processes.started.is_empty(), "formed without all peers");
        processes.start(name, member);
    }
    processes.run_round(true);
    processes.run_round(true);
    assert_eq!((processes.clusters().len(), processes.started.len()), (1, 3));
    let all_initial =
        NAMES.iter().all(|name| processes.membership(name) == Some(Membership::Initial));
    assert!(all_initial);
}

/// Guards against formation while a link is cut in one direction.
#[parameterized(to_b = { "a", "b" }, from_b = { "b", "a" })]
fn does_not_form_over_a_one_way_link(from: &str, to: &str) {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    processes.cut_links.insert((from.into(), to.into()));
    (0..5).for_each(|_| processes.run_round(true));
    assert!(processes.started.is_empty());
    processes.cut_links.clear();
    (0..2).for_each(|_| processes.run_round(true));
    assert_eq!((processes.clusters().len(), processes.started.len()), (1, 3));
}

/// Guards against an initial member that misses the initial member set and then joins as a new
/// member or forms a second cluster.
#[test]
fn missed_member_set_is_sent_again() {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    // The first member crashes after syncing the member set and before sending it.
    processes.run_round(false);
    assert!(processes.stored["a"].formed.is_some() && processes.started.is_empty());
    processes.in_transit.clear();
    processes.start("a", 77);
    (0..2).for_each(|_| processes.run_round(true));
    assert!(processes.running["a"].formed().is_some());
    assert_eq!(processes.membership("b"), Some(Membership::Initial));
    assert_eq!(processes.membership("c"), Some(Membership::Initial));
    assert_eq!(processes.clusters().len(), 1);
}

/// Guards against a member that lost its disk and forms a second cluster, in particular the one
/// with the lowest name, or that votes under its old id.
#[parameterized(lowest = { "a" }, other = { "c" })]
fn member_with_lost_disk_joins_with_a_new_id(lost: &str) {
    let mut processes = Processes::new();
    NAMES.into_iter().zip(1..).for_each(|(name, member)| processes.start(name, member));
    (0..2).for_each(|_| processes.run_round(true));
    processes.stored.remove(lost);
    processes.started.remove(lost);
    processes.start(lost, 50);
    (0..2).for_each(|_| processes.run_round(true));
    assert_eq!(processes.membership(lost), Some(Membership::Joining));
    assert_eq!(processes.stored[lost].member, 50);
    assert_eq!(processes.clusters().len(), 1);
}

/// Guards against counting answers to queries of an earlier member id or of another round.
#[test]
fn stale_answers_are_ignored() {
    let mut processes = Processes::new();
    processes.start("a", 1);
    processes.handle_event("a", FormationEvent::Tick, true);
    for (name, member) in [("b", 2), ("c", 3)] {
        for (asked_by, round) in [(99, 1), (1, 7)] {
            let message = FormationMessage::Unformed { member, asked_by, round };
            let event = FormationEvent::Message { from: name.into(), message };
            processes.handle_event("a", event, true);
        }
    }
    assert!(processes.started.is_empty());
}
