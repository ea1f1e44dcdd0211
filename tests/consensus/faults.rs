//! Safety of the Raft state machine under seeded faults.

use crate::harness::{Cluster, Faults};
use yare::parameterized;

const ROUGH: Faults = Faults { loss: 10, duplicate: 5, delay: 6, slow_sync: 30 };

/// Injects one random fault or ends one.
fn disturb(cluster: &mut Cluster, count: u64) {
    let id = 1 + cluster.random.u64(0..count);
    let down = (1..=count).filter(|&id| !cluster.is_alive(id)).count() as u64;
    match cluster.random.u32(0..8) {
        0 if down < count / 2 && cluster.is_alive(id) => cluster.crash(id),
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
            cluster.cut(id, other);
        }
        4 => cluster.heal(),
        5 => cluster.freeze(id, true),
        6 => (1..=count).for_each(|id| cluster.freeze(id, false)),
        _ => {
            let to = Some(id);
            if let Some(leader) = cluster.leader() {
                cluster.event(leader, curranthollow::consensus::RaftEvent::Transfer { to });
            }
        }
    }
}

/// Guards against two leaders in a term, changed committed entries and lost acknowledged payloads
/// under loss, delay, reordering, duplication, cuts in one direction, freezes and crashes.
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
        let mut cluster = Cluster::new(count, seed * 1000 + round, ROUGH);
        for _ in 0..120 {
            disturb(&mut cluster, count);
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
        cluster.commit_one();
        cluster.run_until("all members hold everything", |cluster| {
            let leader = cluster.leader().map(|id| cluster.node(id).commit());
            (1..=count).all(|id| Some(cluster.node(id).commit()) == leader)
        });
        assert!(cluster.acknowledged.len() > 50, "{} acknowledged", cluster.acknowledged.len());
        for id in 1..=count {
            cluster.check_complete(id);
        }
    }
}

fn repaired(cluster: &Cluster, old: u64, new: u64) -> bool {
    let Some(leader) = cluster.leader() else { return false };
    let node = cluster.node(leader);
    node.members().is_voter(new)
        && !node.members().contains(old)
        && node.survivable_losses() == node.members().voters().count() - node.members().quorum()
}

/// Guards against a repair that counts as finished before the new id holds everything: a second
/// loss right after it must lose nothing.
#[parameterized(
    three_calm = { 3, 201, Faults::default() },
    three_rough = { 3, 202, ROUGH },
    three_rough_2 = { 3, 203, ROUGH },
    five_calm = { 5, 204, Faults::default() },
    five_rough = { 5, 205, ROUGH },
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
        cluster.run_until("the first repair", |cluster| repaired(cluster, first, first + 10));
        let second = 1 + first % count;
        cluster.lose_disk(second, second + 10);
        cluster.commit_one();
        cluster.run_until("the second repair", |cluster| repaired(cluster, second, second + 10));
        cluster.faults = Faults::default();
        cluster.commit_one();
        cluster.run(200);
        cluster.check_complete(first + 10);
        cluster.check_complete(second + 10);
    }
}

/// Guards against a repair that counts as finished while its last member list is only in the
/// leader's log: if the leader is lost then, the others still need the majority of the old list.
#[parameterized(
    seed_1 = { 211 },
    seed_2 = { 212 },
    seed_3 = { 213 },
)]
fn leader_lost_right_after_repair(seed: u64) {
    for round in 0..10 {
        let mut cluster = Cluster::new(3, seed * 1000 + round, ROUGH);
        let leader = cluster.await_leader();
        cluster.commit_one();
        let first = 1 + leader % 3;
        cluster.lose_disk(first, first + 10);
        cluster.run_until("the repair", |cluster| repaired(cluster, first, first + 10));
        let leader = cluster.leader().expect("the repaired cluster has a leader");
        cluster.lose_disk(leader, leader % 10 + 20);
        cluster.commit_one();
        cluster
            .run_until("the second repair", |cluster| repaired(cluster, leader, leader % 10 + 20));
    }
}

/// Guards against an old id that returns from a partition after its name was given to a new id.
#[test]
fn replaced_id_never_returns() {
    let mut cluster = Cluster::new(3, 301, Faults::default());
    cluster.await_leader();
    cluster.commit_one();
    cluster.lose_disk(2, 12);
    cluster.run_until("the repair", |cluster| repaired(cluster, 2, 12));
    let leader = cluster.await_leader();
    let term = cluster.node(leader).term();
    cluster.restart(2);
    cluster.run(600);
    assert_eq!((cluster.leader(), cluster.node(leader).term()), (Some(leader), term));
    assert!(!cluster.node(leader).members().contains(2));
    assert!(cluster.node(leader).members().is_voter(12));
}

/// Guards against restart and catch-up that need the whole history: the follower that was away
/// longer than the log reaches back gets a snapshot in chunks.
#[parameterized(calm = { 401, Faults::default() }, rough = { 402, ROUGH })]
fn follower_far_behind_gets_a_snapshot(seed: u64, faults: Faults) {
    let mut cluster = Cluster::new(3, seed, faults);
    let leader = cluster.await_leader();
    let away = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    cluster.crash(away);
    for _ in 0..600 {
        cluster.propose();
        cluster.step();
    }
    cluster.restart(away);
    cluster.commit_one();
    cluster.run_until("the follower holds everything", |cluster| {
        cluster.leader().is_some_and(|id| {
            id != away && cluster.node(away).commit() == cluster.node(id).commit()
        })
    });
    cluster.check_complete(away);
}
