//! Safety tests of the Raft state machine under seeded random faults.

use crate::harness::{Cluster, Faults};
use yare::parameterized;

const HARSH_FAULTS: Faults = Faults { loss: 10, duplicate: 5, delay: 6, slow_sync: 30 };

/// Injects or ends one random fault, or transfers leadership.
fn inject_random_fault(cluster: &mut Cluster, count: u64) {
    let id = 1 + cluster.random.u64(0..count);
    let crashed_count = (1..=count).filter(|&id| !cluster.is_alive(id)).count() as u64;
    match cluster.random.u32(0..8) {
        0 if crashed_count < count / 2 && cluster.is_alive(id) => cluster.crash(id),
        1 => {
            for id in 1..=count {
                if !cluster.is_alive(id) {
                    cluster.restart(id);
                }
            }
        }
        2 => cluster.isolate(id),
        3 => {
            let other = 1 + cluster.random.u64(0..count);
            cluster.cut_link(id, other);
        }
        4 => cluster.heal(),
        5 => cluster.freeze(id, true),
        6 => (1..=count).for_each(|id| cluster.freeze(id, false)),
        _ => {
            let to = Some(id);
            if let Some(leader) = cluster.leader() {
                cluster.handle_event(
                    leader,
                    curranthollow::consensus::RaftEvent::TransferLeadership { to },
                );
            }
        }
    }
}

/// Guards against two leaders in one term, changed committed entries and lost acknowledged payloads
/// under message loss, delay, reordering and duplication, one-way partitions, freezes and crashes.
#[parameterized(
    three_1 = { 3, 101 },
    three_2 = { 3, 102 },
    three_3 = { 3, 103 },
    three_4 = { 3, 104 },
    five_1 = { 5, 105 },
    five_2 = { 5, 106 },
    five_3 = { 5, 107 },
    five_4 = { 5, 108 },
)]
fn random_faults_lose_nothing(count: u64, seed: u64) {
    for round in 0..6 {
        let mut cluster = Cluster::new(count, seed * 1000 + round, HARSH_FAULTS);
        for _ in 0..120 {
            inject_random_fault(&mut cluster, count);
            for _ in 0..cluster.random.u32(5..60) {
                cluster.propose();
                cluster.step();
            }
        }
        cluster.heal();
        cluster.faults = Faults::default();
        for id in 1..=count {
            cluster.freeze(id, false);
            if !cluster.is_alive(id) {
                cluster.restart(id);
            }
        }
        cluster.commit_one_payload();
        cluster.run_until("all members hold all committed entries", |cluster| {
            let leader = cluster.leader().map(|id| cluster.node(id).commit_index());
            (1..=count).all(|id| Some(cluster.node(id).commit_index()) == leader)
        });
        assert!(cluster.acknowledged.len() > 50, "{} acknowledged", cluster.acknowledged.len());
        for id in 1..=count {
            cluster.check_applied_state(id);
        }
    }
}

fn is_repaired(cluster: &Cluster, old: u64, new: u64) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let node = cluster.node(leader);
    node.members().is_voter(new)
        && !node.members().contains(old)
        && node.survivable_losses() == node.members().voters().count() - node.members().quorum()
}

/// Guards against a repair that is reported as complete before the new id holds all committed
/// entries: a second disk loss right after it must lose no acknowledged payload.
#[parameterized(
    three_reliable = { 3, 201, Faults::default() },
    three_faulty = { 3, 202, HARSH_FAULTS },
    three_faulty_2 = { 3, 203, HARSH_FAULTS },
    five_reliable = { 5, 204, Faults::default() },
    five_faulty = { 5, 205, HARSH_FAULTS },
)]
fn second_loss_after_repair_loses_nothing(count: u64, seed: u64, faults: Faults) {
    for round in 0..5 {
        let mut cluster = Cluster::new(count, seed * 1000 + round, faults);
        cluster.await_leader();
        for _ in 0..150 {
            cluster.propose();
            cluster.step();
        }
        let first = 1 + cluster.random.u64(0..count);
        cluster.lose_disk(first, first + 10);
        for _ in 0..100 {
            cluster.propose();
            cluster.step();
        }
        cluster.run_until("the first repair", |cluster| is_repaired(cluster, first, first + 10));
        let second = 1 + first % count;
        cluster.lose_disk(second, second + 10);
        cluster.commit_one_payload();
        cluster.run_until("the second repair", |cluster| is_repaired(cluster, second, second + 10));
        cluster.faults = Faults::default();
        cluster.commit_one_payload();
        cluster.run(200);
        cluster.check_applied_state(first + 10);
        cluster.check_applied_state(second + 10);
    }
}

/// Guards against a repair that is reported as complete while its last member set is only in the
/// leader's log: if the leader is lost then, the others still need a quorum of the previous set.
#[parameterized(
    seed_1 = { 211 },
    seed_2 = { 212 },
    seed_3 = { 213 },
)]
fn leader_lost_right_after_repair(seed: u64) {
    for round in 0..10 {
        let mut cluster = Cluster::new(3, seed * 1000 + round, HARSH_FAULTS);
        let leader = cluster.await_leader();
        cluster.commit_one_payload();
        let first = 1 + leader % 3;
        cluster.lose_disk(first, first + 10);
        cluster.run_until("the repair", |cluster| is_repaired(cluster, first, first + 10));
        let leader = cluster.leader().expect("the repaired cluster has a leader");
        cluster.lose_disk(leader, leader % 10 + 20);
        cluster.commit_one_payload();
        cluster.run_until("the second repair", |cluster| {
            is_repaired(cluster, leader, leader % 10 + 20)
        });
    }
}

/// Guards against a replaced member id that starts again and disturbs the cluster or rejoins it.
#[test]
fn replaced_id_does_not_rejoin() {
    let mut cluster = Cluster::new(3, 301, Faults::default());
    cluster.await_leader();
    cluster.commit_one_payload();
    cluster.lose_disk(2, 12);
    cluster.run_until("the repair", |cluster| is_repaired(cluster, 2, 12));
    let leader = cluster.await_leader();
    let term = cluster.node(leader).term();
    cluster.restart(2);
    cluster.run(600);
    assert_eq!((cluster.leader(), cluster.node(leader).term()), (Some(leader), term));
    assert!(!cluster.node(leader).members().contains(2));
    assert!(cluster.node(leader).members().is_voter(12));
}

/// Guards against a follower that cannot catch up after the log was compacted past its last entry;
/// it must receive a snapshot in chunks.
#[parameterized(reliable = { 401, Faults::default() }, faulty = { 402, HARSH_FAULTS })]
fn lagging_follower_receives_a_snapshot(seed: u64, faults: Faults) {
    let mut cluster = Cluster::new(3, seed, faults);
    let leader = cluster.await_leader();
    let crashed = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    cluster.crash(crashed);
    for _ in 0..600 {
        cluster.propose();
        cluster.step();
    }
    cluster.restart(crashed);
    cluster.commit_one_payload();
    cluster.run_until("the follower holds all committed entries", |cluster| {
        cluster.leader().is_some_and(|id| {
            id != crashed && cluster.node(crashed).commit_index() == cluster.node(id).commit_index()
        })
    });
    cluster.check_applied_state(crashed);
}
