//! Tests of the Raft state machine: elections, membership, leadership confirmation and limits.

use crate::harness::{Cluster, Faults, name_of};
use curranthollow::consensus::members::MemberChange;
use curranthollow::consensus::node::{Proposal, Refusal};
use curranthollow::consensus::{RaftAction, RaftConfig, RaftEvent, RaftNode, Role};
use yare::parameterized;

/// Guards against a cluster that elects no leader or does not replicate acknowledged payloads to
/// all members.
#[parameterized(one = { 1, 1 }, three = { 3, 2 }, five = { 5, 3 })]
fn elects_and_replicates(count: u64, seed: u64) {
    let mut cluster = Cluster::new(count, seed, Faults::default());
    cluster.await_leader();
    for _ in 0..100 {
        cluster.propose();
        cluster.step();
    }
    cluster.run(60);
    assert_eq!(cluster.acknowledged.len(), 100);
    for id in cluster.ids() {
        cluster.check_applied_state(id);
    }
}

/// Guards against a partitioned member that raises its term and deposes the leader when the
/// partition heals.
#[parameterized(first = { 11 }, second = { 12 }, third = { 13 })]
fn returning_member_does_not_depose_the_leader(seed: u64) {
    let mut cluster = Cluster::new(3, seed, Faults::default());
    let leader = cluster.await_leader();
    let term = cluster.node(leader).term();
    let other = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    cluster.isolate(other);
    cluster.run(400);
    cluster.heal();
    cluster.run(400);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).term(), term);
    assert_eq!(cluster.node(other).term(), term);
}

/// Guards against a leader that receives no messages but whose heartbeats still prevent an
/// election.
#[parameterized(first = { 21 }, second = { 22 })]
fn leader_that_receives_nothing_steps_down(seed: u64) {
    let mut cluster = Cluster::new(3, seed, Faults::default());
    let leader = cluster.await_leader();
    for other in cluster.ids() {
        cluster.cut_link(other, leader);
    }
    cluster.run_until("another leader", |cluster| {
        cluster.leader().is_some_and(|id| id != leader)
            && cluster.node(leader).role() != Role::Leader
    });
    cluster.commit_one_payload();
}

/// Guards against a follower that receives no messages and deposes a working leader.
#[test]
fn follower_that_receives_nothing_does_not_depose_the_leader() {
    let mut cluster = Cluster::new(3, 31, Faults::default());
    let leader = cluster.await_leader();
    let term = cluster.node(leader).term();
    let follower = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    for other in cluster.ids() {
        cluster.cut_link(other, follower);
    }
    cluster.run(600);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).term(), term);
}

/// Guards against leadership confirmation without contact to a quorum.
#[test]
fn partitioned_leader_confirms_nothing() {
    let mut cluster = Cluster::new(3, 41, Faults::default());
    let old = cluster.await_leader();
    cluster.handle_event(old, RaftEvent::ConfirmLeadership { request: 1 });
    cluster.run(10);
    assert_eq!(cluster.confirmed.len(), 1);
    cluster.isolate(old);
    cluster.handle_event(old, RaftEvent::ConfirmLeadership { request: 2 });
    cluster.run(200);
    cluster.heal();
    cluster.run(200);
    assert!(cluster.confirmed.iter().all(|&(request, _)| request != 2));
}

/// Guards against a confirmed index below an index that was acknowledged earlier.
#[test]
fn confirmed_index_covers_acknowledged_entries() {
    let mut cluster = Cluster::new(3, 42, Faults::default());
    cluster.await_leader();
    cluster.commit_one_payload();
    let old = cluster.leader().expect("there is a leader");
    let acknowledged = cluster.node(old).commit_index();
    cluster.crash(old);
    cluster.run_until("a new leader", |cluster| cluster.leader().is_some());
    let new = cluster.leader().expect("there is a leader");
    cluster.handle_event(new, RaftEvent::ConfirmLeadership { request: 5 });
    cluster.run(60);
    let confirmed = cluster.confirmed.iter().find(|&&(request, _)| request == 5);
    assert!(confirmed.expect("leadership is confirmed").1 >= acknowledged);
}

/// Guards against a leadership transfer that loses entries or does not reach the chosen member.
#[test]
fn transfer_reaches_the_chosen_member() {
    let mut cluster = Cluster::new(3, 51, Faults::default());
    let leader = cluster.await_leader();
    let target = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    for _ in 0..20 {
        cluster.propose();
    }
    cluster.handle_event(leader, RaftEvent::TransferLeadership { to: Some(target) });
    cluster.run_until("the chosen leader", |cluster| cluster.leader() == Some(target));
    cluster.commit_one_payload();
    cluster.run(60);
    cluster.check_applied_state(target);
    assert_eq!(cluster.acknowledged.len(), 21);
}

/// Guards against promotion of a learner that does not hold all committed entries.
#[test]
fn lagging_learner_is_not_promoted() {
    let mut cluster = Cluster::new(3, 61, Faults::default());
    cluster.await_leader();
    cluster.commit_one_payload();
    cluster.change(MemberChange::AddLearner { member: 4, name: name_of(4) });
    cluster.run(60);
    cluster.change(MemberChange::Promote { member: 4 });
    cluster.run(60);
    let leader = cluster.leader().expect("there is a leader");
    let members = cluster.node(leader).members();
    assert!(members.contains(4) && !members.is_voter(4));
}

/// Guards against a removed leader that stays leader or causes further elections.
#[test]
fn removed_leader_steps_down() {
    let mut cluster = Cluster::new(3, 62, Faults::default());
    let old = cluster.await_leader();
    cluster.change(MemberChange::Remove { member: old });
    cluster.run_until("a new leader", |cluster| cluster.leader().is_some_and(|id| id != old));
    cluster.commit_one_payload();
    let leader = cluster.leader().expect("there is a leader");
    let term = cluster.node(leader).term();
    cluster.run(400);
    assert_eq!(cluster.node(leader).term(), term);
    assert!(!cluster.node(leader).members().contains(old));
}

/// Guards against a removal after which fewer voters than a quorum hold all committed entries.
#[test]
fn removal_without_enough_caught_up_voters_is_refused() {
    let mut cluster = Cluster::new(3, 63, Faults::default());
    let leader = cluster.await_leader();
    let others: Vec<_> = cluster.ids().into_iter().filter(|&id| id != leader).collect();
    cluster.crash(others[0]);
    cluster.run(100);
    cluster.change(MemberChange::Remove { member: others[1] });
    cluster.run(60);
    assert!(cluster.node(leader).members().is_voter(others[1]));
}

/// Guards against unbounded memory use while proposals cannot be committed.
#[test]
fn uncommitted_proposals_are_bounded() {
    let now = std::time::Instant::now();
    let config = RaftConfig { max_uncommitted_entries: 10, ..RaftConfig::default() };
    let initial = curranthollow::consensus::members::MemberSet::of_voters([(1, name_of(1))]);
    let state = curranthollow::consensus::node::RestartState { initial, ..Default::default() };
    let mut node = RaftNode::new(config, 0, 1, 1, now, state);
    let later = now + std::time::Duration::from_secs(2);
    node.handle(later, RaftEvent::Tick);
    node.handle(later, RaftEvent::Persisted { sequence: 1 });
    assert_eq!(node.role(), Role::Leader);
    let proposals = (0..30).map(|request| Proposal { request, payload: vec![0; 8] }).collect();
    let actions = node.handle(later, RaftEvent::Propose(proposals));
    let busy = actions
        .iter()
        .filter(|action| matches!(action, RaftAction::Refused { refusal: Refusal::Busy, .. }));
    // The no-op entry of the new term takes one of the 10 places.
    assert_eq!(busy.count(), 21);
}

/// Guards against counting the member's own vote or log entry before it is synced.
#[test]
fn own_vote_and_entry_count_only_once_synced() {
    let now = std::time::Instant::now();
    let initial = curranthollow::consensus::members::MemberSet::of_voters([(1, name_of(1))]);
    let state = curranthollow::consensus::node::RestartState { initial, ..Default::default() };
    let mut node = RaftNode::new(RaftConfig::default(), 0, 1, 1, now, state);
    let later = now + std::time::Duration::from_secs(2);
    node.handle(later, RaftEvent::Tick);
    assert_eq!(node.role(), Role::Candidate);
    node.handle(later, RaftEvent::Persisted { sequence: 1 });
    assert_eq!((node.role(), node.commit_index()), (Role::Leader, 0));
    node.handle(later, RaftEvent::Persisted { sequence: 2 });
    assert_eq!(node.commit_index(), 1);
}

/// Guards against slow elections after all members start, and against keeping the short timeout
/// once a leader is known: a slow disk would then look like a failed leader.
#[test]
fn first_election_timeout_applies_until_a_leader_is_known() {
    use curranthollow::consensus::members::MemberSet;
    use curranthollow::consensus::message::{MessageBody, RaftMessage};
    use curranthollow::consensus::node::RestartState;
    use std::time::{Duration, Instant};

    let first = Duration::from_millis(80);
    let config = RaftConfig { first_election_timeout: first, ..RaftConfig::default() };
    let normal = config.election_timeout;
    let mut now = Instant::now();
    let initial = MemberSet::of_voters([(1, "a".into()), (2, "b".into()), (3, "c".into())]);
    let state = RestartState { initial, ..RestartState::default() };
    let mut node = RaftNode::new(config, 0, 1, 5, now, state);
    for _ in 0..5 {
        assert!(node.next_deadline() < now + first * 2);
        now = node.next_deadline();
        node.handle(now, RaftEvent::Tick);
    }
    let body = MessageBody::Append {
        prev_index: 0,
        prev_term: 0,
        commit: 0,
        round: 0,
        entries: Vec::new(),
        quorum_age_ms: 0,
    };
    let message = RaftMessage { group: 0, from: 2, to: 1, term: 1, body };
    node.handle(now, RaftEvent::Message(message));
    assert!(node.next_deadline() >= now + normal);
}
