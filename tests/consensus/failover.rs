//! Tests of elections after the end of a leader.

use curranthollow::consensus::message::{MessageBody, RaftMessage};
use curranthollow::consensus::{RaftEvent, Role};

use crate::harness::{Cluster, Faults};

/// Steps in which a new leader is expected: 100 ms. The election timeout is 150 to 300 ms.
const FAILOVER_STEPS: u32 = 20;

/// Members other than `leader`.
fn followers(cluster: &Cluster, leader: u64) -> Vec<u64> {
    cluster.ids().into_iter().filter(|&id| id != leader).collect()
}

/// Runs until another member than `old` leads; returns the number of steps.
fn steps_to_successor(cluster: &mut Cluster, old: u64) -> u32 {
    for step in 0..400 {
        if cluster.leader().is_some_and(|leader| leader != old) {
            return step;
        }
        cluster.step();
    }
    panic!("no other leader");
}

/// Guards against an election that waits for the election timeout although the leader's process is known
/// to have ended, and against votes that split because all followers know it at the same moment.
#[test]
fn a_leader_that_has_ended_is_replaced_at_once() {
    let mut slow = Vec::new();
    for seed in 0..100 {
        for told in [0, 3, 4] {
            let mut cluster = Cluster::new(5, seed, Faults::default());
            let leader = cluster.await_leader();
            cluster.run(40);
            let term = cluster.node(leader).term();
            cluster.crash(leader);
            // What the leader sent arrives before the end of its link.
            cluster.run(1);
            for id in followers(&cluster, leader).into_iter().take(told) {
                cluster.handle_event(id, RaftEvent::LeaderEnded { leader, term });
                assert_eq!(cluster.node(id).leader(), None, "seed {seed}");
            }
            let steps = steps_to_successor(&mut cluster, leader);
            if told == 0 {
                // The control: without evidence nobody may begin.
                assert!(steps > FAILOVER_STEPS, "seed {seed}: {steps} steps");
            } else if steps > FAILOVER_STEPS {
                slow.push((seed, told, steps));
            }
            cluster.commit_one_payload();
        }
    }
    assert!(slow.is_empty(), "too late (seed, told, steps): {slow:?}");
}

/// Guards against a single member that deposes a leader which lives, because only its own link broke.
#[test]
fn evidence_of_a_minority_changes_nothing() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(5, seed, Faults::default());
        let leader = cluster.await_leader();
        cluster.run(40);
        let term = cluster.node(leader).term();
        for id in followers(&cluster, leader).into_iter().take(2) {
            cluster.handle_event(id, RaftEvent::LeaderEnded { leader, term });
        }
        cluster.run(400);
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        for id in cluster.ids() {
            assert_eq!(cluster.node(id).term(), term, "seed {seed}");
            assert_eq!(cluster.node(id).leader(), Some(leader), "seed {seed}");
        }
    }
}

/// Guards against evidence that is applied to another leader than the one it is about.
#[test]
fn evidence_of_another_leader_or_term_is_ignored() {
    let mut cluster = Cluster::new(3, 61, Faults::default());
    let leader = cluster.await_leader();
    cluster.run(40);
    let term = cluster.node(leader).term();
    let [first, second] = followers(&cluster, leader)[..] else { panic!("three members") };
    for (named, term) in [(second, term), (leader, term - 1), (leader, term + 1)] {
        cluster.handle_event(first, RaftEvent::LeaderEnded { leader: named, term });
        assert_eq!(cluster.node(first).leader(), Some(leader), "{named} in term {term}");
    }
    cluster.handle_event(leader, RaftEvent::LeaderEnded { leader, term });
    assert_eq!(cluster.node(leader).role(), Role::Leader);
}

/// Guards against followers that refuse their former leader's new process, or each other, until the
/// election timeout: that process says by a pre-vote that it no longer leads.
#[test]
fn a_pre_vote_of_the_leader_shows_that_it_no_longer_leads() {
    for seed in 0..40 {
        let mut cluster = Cluster::new(5, seed, Faults::default());
        let leader = cluster.await_leader();
        cluster.run(40);
        let node = cluster.node(leader);
        let (term, last_index) = (node.term(), node.last_index());
        cluster.crash(leader);
        cluster.run(1);
        for id in followers(&cluster, leader) {
            let body = MessageBody::PreVote { last_index, last_term: term };
            let pre_vote = RaftMessage { group: 0, from: leader, to: id, term: term + 1, body };
            // One from the election that it won, which comes late.
            let outdated = RaftMessage { term, ..pre_vote.clone() };
            cluster.handle_event(id, RaftEvent::Message(outdated));
            assert_eq!(cluster.node(id).leader(), Some(leader), "seed {seed}");
            cluster.handle_event(id, RaftEvent::Message(pre_vote));
            assert_eq!(cluster.node(id).leader(), None, "seed {seed}");
        }
        // Each granted the pre-vote and waits for that election before its own.
        let steps = steps_to_successor(&mut cluster, leader);
        assert!(steps <= 80, "seed {seed}: {steps} steps");
        cluster.commit_one_payload();
    }
}

/// Guards against evidence that endangers more than the leader's term: it may be wrong at any member at
/// any time, under lost, late, repeated and reordered messages, crashes and slow syncs.
#[test]
fn wrong_evidence_loses_nothing() {
    for seed in 0..30 {
        let faults = Faults { loss: 5, duplicate: 5, delay: 4, slow_sync: 30 };
        let mut cluster = Cluster::new(5, 1000 + seed, faults);
        for _ in 0..2000 {
            cluster.step();
            if cluster.random.u32(0..10) == 0 {
                cluster.propose();
            }
            if cluster.random.u32(0..30) == 0 {
                let id = cluster.random.u64(1..=5);
                let (leader, term) = (cluster.node(id).leader(), cluster.node(id).term());
                if let Some(leader) = leader {
                    cluster.handle_event(id, RaftEvent::LeaderEnded { leader, term });
                }
            }
            if cluster.random.u32(0..150) == 0 {
                let id = cluster.random.u64(1..=5);
                match cluster.is_alive(id) {
                    true => cluster.crash(id),
                    false => cluster.restart(id),
                }
            }
        }
        cluster.faults = Faults::default();
        for id in cluster.ids() {
            if !cluster.is_alive(id) {
                cluster.restart(id);
            }
        }
        cluster.commit_one_payload();
        cluster.run(200);
        for id in cluster.ids() {
            cluster.check_applied_state(id);
        }
    }
}
