//! Agreement and membership of a fleet under random schedules, as state machines.

use std::collections::BTreeMap;

use curranthollow::consensus::RaftEvent;
use yare::parameterized;

use crate::harness::{Cluster, Faults, name_of};

const ROUGH: Faults = Faults { loss: 8, duplicate: 5, delay: 6, slow_sync: 30 };

/// Voters of a fleet that survives two losses.
const VOTERS: usize = 5;

/// Disks that may be lost together.
const LOSSES: usize = 2;

/// Members with the newest id of each and what was done to them.
struct FleetSchedule {
    cluster: Cluster,
    /// Running ids.
    present: Vec<u64>,
    /// Members whose disks were lost or that were replaced since the last repair.
    lost: usize,
    /// Number of ids that were given, for new ones.
    generation: u64,
    next_read: u64,
    /// Highest committed index at the moment of each read.
    reads: BTreeMap<u64, u64>,
}

impl FleetSchedule {
    fn start(seed: u64) -> Self {
        let mut schedule = Self {
            cluster: Cluster::of_fleet(VOTERS as u64, seed, ROUGH),
            present: (1..=VOTERS as u64).collect(),
            lost: 0,
            generation: 0,
            next_read: 1 << 40,
            reads: BTreeMap::new(),
        };
        schedule.await_repair("the formation");
        schedule
    }

    /// Whether the present members are the voters, and the leader needs no more than it has.
    fn is_repaired(cluster: &Cluster, present: &[u64]) -> bool {
        let Some(leader) = cluster.leader() else { return false };
        let node = cluster.node(leader);
        let voters: Vec<_> = node.members().voters().collect();
        voters.len() == VOTERS
            && present.iter().all(|id| node.members().is_voter(*id))
            && node.survivable_losses() >= LOSSES
    }

    fn await_repair(&mut self, what: &str) {
        let present = self.present.clone();
        self.cluster.run_until(what, |cluster| Self::is_repaired(cluster, &present));
        self.lost = 0;
    }

    /// Ends all faults.
    fn calm(&mut self) {
        self.cluster.heal();
        for id in self.present.clone() {
            self.cluster.freeze(id, false);
            if !self.cluster.is_alive(id) {
                self.cluster.restart(id);
            }
        }
    }

    fn disturb(&mut self) {
        let place = self.cluster.random.usize(0..self.present.len());
        let id = self.present[place];
        match self.cluster.random.u32(0..10) {
            0 => self.cluster.crash(id),
            1 => self.calm(),
            2 => self.cluster.isolate(id),
            3 => {
                let other = self.present[self.cluster.random.usize(0..self.present.len())];
                self.cluster.cut(id, other);
            }
            4 => self.cluster.freeze(id, true),
            5 => {
                for id in self.present.clone() {
                    self.cluster.crash(id);
                    self.cluster.restart(id);
                }
            }
            6 | 7 if self.lost < LOSSES => self.lose(place, id),
            8 => {
                self.calm();
                self.await_repair("a repair between faults");
            }
            _ => self.read(),
        }
    }

    /// A disk is lost: the member comes back at its address, or another one at a new address.
    fn lose(&mut self, place: usize, id: u64) {
        self.lost += 1;
        self.generation += 1;
        // The last digit of an id tells its name, and no two machines have the same.
        let free = (0..10).filter(|name| self.present.iter().all(|id| id % 10 != *name));
        let free: Vec<u64> = free.collect();
        let name = if self.cluster.random.bool() {
            id % 10
        } else {
            free[self.cluster.random.usize(0..free.len())]
        };
        let new = 10 * self.generation + name;
        self.cluster.crash(id);
        self.cluster.add(new);
        self.present[place] = new;
    }

    fn read(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        self.next_read += 1;
        self.reads.insert(self.next_read, self.cluster.committed_index());
        self.cluster.event(leader, RaftEvent::ConfirmLeadership { request: self.next_read });
    }

    fn check_reads(&self, seed: u64) {
        for (request, index) in &self.cluster.confirmed {
            let Some(committed) = self.reads.get(request) else { continue };
            assert!(index >= committed, "seed {seed}: read {index}, committed was {committed}");
        }
    }

    fn check_names(&self, seed: u64) {
        let leader = self.cluster.leader().expect("the fleet is calm");
        let mut names = BTreeMap::new();
        for id in self.cluster.node(leader).members().voters() {
            let other = names.insert(name_of(id), id);
            assert_eq!(other, None, "seed {seed}: two members under {}", name_of(id));
        }
    }
}

/// Guards against lost documents, older reads, two leaders in a term and two voters under one address
/// while members crash, freeze, are cut off, lose disks and are replaced, two at a time.
#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 },
    seed_5 = { 5 }, seed_6 = { 6 }, seed_7 = { 7 }, seed_8 = { 8 },
)]
fn random_schedules_lose_nothing(seed: u64) {
    for round in 0..4 {
        let seed = seed * 100 + round;
        let mut schedule = FleetSchedule::start(seed);
        for _ in 0..80 {
            schedule.disturb();
            for _ in 0..schedule.cluster.random.u32(5..50) {
                schedule.cluster.propose();
                schedule.cluster.step();
            }
        }
        schedule.calm();
        schedule.cluster.faults = Faults::default();
        schedule.await_repair("the last repair");
        schedule.cluster.commit_one();
        schedule.cluster.run(200);
        for id in &schedule.present {
            schedule.cluster.check_complete(*id);
        }
        schedule.check_reads(seed);
        schedule.check_names(seed);
        assert!(schedule.cluster.acknowledged.len() > 50, "seed {seed}: hardly any progress");
    }
}
