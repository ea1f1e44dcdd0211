//! Tests of what a member knows about the quorum.

use curranthollow::consensus::Role;

use crate::harness::{Cluster, Faults, STEP};

/// Guards against members that take their leader for one with a quorum after both were cut off from it.
#[test]
fn members_without_a_quorum_do_not_renew_its_time() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(5, seed, Faults::default());
        let leader = cluster.await_leader();
        cluster.run(40);
        let others: Vec<_> = cluster.ids().into_iter().filter(|&id| id != leader).collect();
        let (follower, majority) = others.split_first().expect("five members");
        for member in [leader, *follower] {
            assert!(cluster.node(member).has_committed_leader(), "seed {seed}");
            for other in majority {
                cluster.cut_link(member, *other);
                cluster.cut_link(*other, member);
            }
        }
        // A follower counts the time on the way of a message as well.
        let latest = cluster.now + 2 * STEP;
        for _ in 0..200 {
            cluster.step();
            for member in [leader, *follower] {
                let seen_at = cluster.node(member).quorum_seen_at();
                assert!(seen_at.is_some_and(|at| at <= latest), "seed {seed}, member {member}");
            }
        }
        let new_leader = cluster.leader().expect("the majority has a leader");
        for member in majority {
            assert!(cluster.node(*member).quorum_seen_at() > Some(latest), "seed {seed}");
        }
        assert!(majority.contains(&new_leader) && cluster.node(new_leader).role() == Role::Leader);
        cluster.heal();
        cluster.run(200);
        for member in cluster.ids() {
            let age = cluster.now - cluster.node(member).quorum_seen_at().expect("it was seen");
            assert!(age < 20 * STEP, "seed {seed}, member {member}: {age:?}");
        }
    }
}

/// Guards against a member that counts a leader as one with a quorum before it has committed an entry of
/// its term, under lost, late, repeated and reordered messages and slow syncs.
#[test]
fn a_quorum_is_seen_only_after_a_commit_in_a_term() {
    for seed in 100..140 {
        let faults = Faults { loss: 10, duplicate: 10, delay: 6, slow_sync: 40 };
        let mut cluster = Cluster::new(5, seed, faults);
        for _ in 0..1500 {
            cluster.step();
            if cluster.random.u32(0..100) == 0 {
                let id = cluster.random.u64(1..=5);
                match cluster.is_alive(id) {
                    true => cluster.crash(id),
                    false => cluster.restart(id),
                }
            }
            let first_commit = cluster.committed_index() > 0;
            for id in cluster.ids() {
                let node = cluster.node(id);
                assert!(first_commit || node.quorum_seen_at().is_none(), "seed {seed}");
                if node.has_committed_leader() {
                    assert!(node.commit_index() > 0, "seed {seed}, member {id}");
                }
            }
        }
    }
}
