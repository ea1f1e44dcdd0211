//! Safety and membership repair of a fleet under random fault schedules, simulated in memory.

use std::collections::BTreeMap;

use curranthollow::consensus::RaftEvent;
use yare::parameterized;

use crate::harness::{Cluster, Faults, name_of};

const HARSH_FAULTS: Faults = Faults { loss: 8, duplicate: 5, delay: 6, slow_sync: 30 };

/// Number of voters of a fleet that survives two losses.
const VOTERS: usize = 5;

/// Number of disks that may be lost before the next repair.
const MAX_LOST_DISKS: usize = 2;

/// Random schedule of faults on a simulated fleet.
struct FleetSchedule {
    cluster: Cluster,
    /// Latest member id of each machine.
    member_ids: Vec<u64>,
    /// Number of disks lost since the last repair.
    lost_disks: usize,
    /// Number of replacements started so far; used to derive new ids.
    replacement_count: u64,
    next_read: u64,
    /// Highest committed index at the start of each read, by request.
    committed_at_read: BTreeMap<u64, u64>,
}

impl FleetSchedule {
    fn start(seed: u64) -> Self {
        let mut schedule = Self {
            cluster: Cluster::of_fleet(VOTERS as u64, seed, HARSH_FAULTS),
            member_ids: (1..=VOTERS as u64).collect(),
            lost_disks: 0,
            replacement_count: 0,
            next_read: 1 << 40,
            committed_at_read: BTreeMap::new(),
        };
        schedule.await_repair("the formation");
        schedule
    }

    /// Whether all current members are voters and the leader reports that it survives
    /// [`MAX_LOST_DISKS`].
    fn is_repaired(cluster: &Cluster, member_ids: &[u64]) -> bool {
        let Some(leader) = cluster.leader() else { return false };
        let node = cluster.node(leader);
        let voters: Vec<_> = node.members().voters().collect();
        voters.len() == VOTERS
            && member_ids.iter().all(|id| node.members().is_voter(*id))
            && node.survivable_losses() >= MAX_LOST_DISKS
    }

    fn await_repair(&mut self, what: &str) {
        let member_ids = self.member_ids.clone();
        self.cluster.run_until(what, |cluster| Self::is_repaired(cluster, &member_ids));
        self.lost_disks = 0;
    }

    /// Ends all partitions, freezes and crashes.
    fn end_faults(&mut self) {
        self.cluster.heal();
        for id in self.member_ids.clone() {
            self.cluster.freeze(id, false);
            if !self.cluster.is_alive(id) {
                self.cluster.restart(id);
            }
        }
    }

    fn inject_random_fault(&mut self) {
        let position = self.cluster.random.usize(0..self.member_ids.len());
        let id = self.member_ids[position];
        match self.cluster.random.u32(0..10) {
            0 => self.cluster.crash(id),
            1 => self.end_faults(),
            2 => self.cluster.isolate(id),
            3 => {
                let other = self.member_ids[self.cluster.random.usize(0..self.member_ids.len())];
                self.cluster.cut_link(id, other);
            }
            4 => self.cluster.freeze(id, true),
            5 => {
                for id in self.member_ids.clone() {
                    self.cluster.crash(id);
                    self.cluster.restart(id);
                }
            }
            6 | 7 if self.lost_disks < MAX_LOST_DISKS => self.lose_disk(position, id),
            8 => {
                self.end_faults();
                self.await_repair("a repair between faults");
            }
            _ => self.read(),
        }
    }

    /// Loses the disk of a member and starts a replacement, under the same or under another name.
    fn lose_disk(&mut self, position: usize, id: u64) {
        self.lost_disks += 1;
        self.replacement_count += 1;
        // The last digit of an id determines its name, which must be unique among the members.
        let free_names = (0..10).filter(|name| self.member_ids.iter().all(|id| id % 10 != *name));
        let free_names: Vec<u64> = free_names.collect();
        let name = if self.cluster.random.bool() {
            id % 10
        } else {
            free_names[self.cluster.random.usize(0..free_names.len())]
        };
        let new_id = 10 * self.replacement_count + name;
        self.cluster.crash(id);
        self.cluster.add(new_id);
        self.member_ids[position] = new_id;
    }

    fn read(&mut self) {
        let Some(leader) = self.cluster.leader() else { return };
        self.next_read += 1;
        self.committed_at_read.insert(self.next_read, self.cluster.committed_index());
        self.cluster.handle_event(leader, RaftEvent::ConfirmLeadership { request: self.next_read });
    }

    fn check_reads(&self, seed: u64) {
        for (request, index) in &self.cluster.confirmed {
            let Some(committed) = self.committed_at_read.get(request) else { continue };
            assert!(index >= committed, "seed {seed}: read {index}, committed was {committed}");
        }
    }

    fn check_names(&self, seed: u64) {
        let leader = self.cluster.leader().expect("the fleet has a leader");
        let mut names = BTreeMap::new();
        for id in self.cluster.node(leader).members().voters() {
            let other = names.insert(name_of(id), id);
            assert_eq!(other, None, "seed {seed}: two voters named {}", name_of(id));
        }
    }
}

/// Guards against lost payloads, stale reads, two leaders in one term and two voters with the same
/// name while members crash, freeze, are partitioned, and lose up to two disks between repairs.
#[parameterized(
    seed_1 = { 1 }, seed_2 = { 2 }, seed_3 = { 3 }, seed_4 = { 4 },
    seed_5 = { 5 }, seed_6 = { 6 }, seed_7 = { 7 }, seed_8 = { 8 },
)]
fn random_schedules_lose_nothing(seed: u64) {
    for round in 0..4 {
        let seed = seed * 100 + round;
        let mut schedule = FleetSchedule::start(seed);
        for _ in 0..80 {
            schedule.inject_random_fault();
            for _ in 0..schedule.cluster.random.u32(5..50) {
                schedule.cluster.propose();
                schedule.cluster.step();
            }
        }
        schedule.end_faults();
        schedule.cluster.faults = Faults::default();
        schedule.await_repair("the last repair");
        schedule.cluster.commit_one_payload();
        schedule.cluster.run(200);
        for id in &schedule.member_ids {
            schedule.cluster.check_applied_state(*id);
        }
        schedule.check_reads(seed);
        schedule.check_names(seed);
        assert!(
            schedule.cluster.acknowledged.len() > 50,
            "seed {seed}: too few acknowledged payloads"
        );
    }
}
