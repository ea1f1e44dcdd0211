//! Tests of individual Raft rules, driven message by message.

use std::time::{Duration, Instant};

use curranthollow::consensus::members::{MemberChange, MemberError, MemberSet};
use curranthollow::consensus::message::{
    EntryBody, HardState, LogEntry, MessageBody, RaftMessage, SharedSnapshot, Snapshot,
};
use curranthollow::consensus::node::{Proposal, Refusal, RestartState};
use curranthollow::consensus::{RaftAction, RaftConfig, RaftEvent, RaftNode, Role};

use crate::harness::{Cluster, Faults, name_of};

/// Member 1 of 3, initially with `count` uncommitted entries of term 1.
struct TestNode {
    node: RaftNode,
    now: Instant,
    sequence: u64,
}

impl TestNode {
    fn new(count: u64) -> Self {
        Self::with_snapshot(count, None)
    }

    fn with_snapshot(count: u64, snapshot: Option<SharedSnapshot>) -> Self {
        let now = Instant::now();
        let entry = |index| LogEntry { term: 1, index, body: EntryBody::Payload(vec![1]) };
        let state = RestartState {
            hard_state: HardState { term: 1, vote: None },
            initial: MemberSet::of_voters((1..=3).map(|id| (id, name_of(id)))),
            snapshot,
            entries: (1..=count).map(entry).collect(),
        };
        let config = RaftConfig { retained_entries: 0, ..RaftConfig::default() };
        Self { node: RaftNode::new(config, 0, 1, 7, now, state), now, sequence: 0 }
    }

    /// Processes an event and immediately acknowledges its `Persist` actions.
    fn handle_event(&mut self, event: RaftEvent) -> Vec<RaftAction> {
        let mut actions = self.node.handle(self.now, event);
        let persist = actions.iter().find_map(|action| match action {
            RaftAction::Persist { sequence, .. } => Some(*sequence),
            _ => None,
        });
        if let Some(sequence) = persist.filter(|&sequence| sequence > self.sequence) {
            self.sequence = sequence;
            actions.extend(self.handle_event(RaftEvent::Persisted { sequence }));
        }
        actions
    }

    fn message(&mut self, from: u64, term: u64, body: MessageBody) -> Vec<RaftAction> {
        self.handle_event(RaftEvent::Message(RaftMessage { group: 0, from, to: 1, term, body }))
    }

    /// Makes the node leader of term 2 with the vote of member 2.
    fn lead(&mut self) {
        self.now += Duration::from_secs(2);
        self.handle_event(RaftEvent::Tick);
        self.message(2, 2, MessageBody::PreVoteReply { granted: true });
        self.message(2, 2, MessageBody::VoteReply { granted: true });
        assert_eq!((self.node.role(), self.node.term()), (Role::Leader, 2));
    }

    fn change(&mut self, member: u64) -> Vec<RaftAction> {
        let change = MemberChange::AddLearner { member, name: name_of(member) };
        self.handle_event(RaftEvent::ChangeMembers { request: member, change })
    }
}

fn is_busy(actions: &[RaftAction]) -> bool {
    let busy =
        |action: &RaftAction| matches!(action, RaftAction::Refused { refusal: Refusal::Busy, .. });
    actions.iter().any(busy)
}

/// Guards against committing an entry of an earlier term by counting its replicas; a later leader
/// may still overwrite such an entry.
#[test]
fn earlier_term_is_committed_only_with_an_entry_of_the_current_term() {
    let mut leader = TestNode::new(3);
    leader.lead();
    leader.message(2, 2, MessageBody::AppendAccepted { match_index: 3, round: 0 });
    assert_eq!(leader.node.commit_index(), 0);
    leader.message(2, 2, MessageBody::AppendAccepted { match_index: 4, round: 0 });
    assert_eq!(leader.node.commit_index(), 4);
}

/// Guards against two concurrent member changes, and against one before the leader has committed an
/// entry of its term; both can result in two majorities without a common member.
#[test]
fn only_one_member_change_is_in_progress() {
    let mut leader = TestNode::new(0);
    leader.lead();
    assert!(is_busy(&leader.change(4)), "before the first entry of the term is committed");
    leader.message(2, 2, MessageBody::AppendAccepted { match_index: 1, round: 0 });
    assert!(!is_busy(&leader.change(4)));
    assert!(is_busy(&leader.change(5)), "while the first change is open");
    leader.message(2, 2, MessageBody::AppendAccepted { match_index: 2, round: 0 });
    assert!(!is_busy(&leader.change(5)));
}

/// Guards against a delayed join request that adds a removed id again.
#[test]
fn removed_id_is_refused() {
    let set = MemberSet::of_voters((1..=3).map(|id| (id, name_of(id))));
    let set =
        set.with_change(&MemberChange::Remove { member: 3 }, 5).expect("the member is removed");
    let again = MemberChange::AddLearner { member: 3, name: name_of(3) };
    assert_eq!(set.with_change(&again, 6), Err(MemberError::Removed(3)));
}

/// Guards against conflicting entries that survive a snapshot installation in memory or on disk.
#[test]
fn installed_snapshot_replaces_a_conflicting_log() {
    let mut follower = TestNode::new(5);
    let members = MemberSet::of_voters((1..=3).map(|id| (id, name_of(id))));
    let chunk = MessageBody::SnapshotChunk {
        index: 3,
        last_term: 2,
        members,
        total: 4,
        offset: 0,
        round: 0,
        data: vec![1, 2, 3, 4],
    };
    let actions = follower.message(2, 2, chunk);
    let snapshot = actions.into_iter().find_map(|action| match action {
        RaftAction::InstallSnapshot(snapshot) => Some(snapshot),
        _ => None,
    });
    let snapshot = snapshot.expect("the single chunk completes the snapshot");
    let actions = follower.handle_event(RaftEvent::SnapshotInstalled(snapshot));
    let truncated = actions.iter().find_map(|action| match action {
        RaftAction::Persist { truncate_from, .. } => *truncate_from,
        _ => None,
    });
    assert!(truncated.is_some_and(|from| from <= 3), "{truncated:?}");
    assert_eq!((follower.node.last_index(), follower.node.commit_index()), (3, 3));
    let accepted = actions.iter().any(|action| match action {
        RaftAction::Send(message) => {
            message.body == MessageBody::AppendAccepted { match_index: 3, round: 0 }
        }
        _ => false,
    });
    assert!(accepted, "{actions:?}");
}

/// Offsets of the snapshot chunks sent by `actions`.
fn chunk_offsets(actions: &[RaftAction]) -> Vec<u64> {
    let offset_of = |action: &RaftAction| match action {
        RaftAction::Send(RaftMessage {
            body: MessageBody::SnapshotChunk { offset, .. }, ..
        }) => Some(*offset),
        _ => None,
    };
    actions.iter().filter_map(offset_of).collect()
}

/// Guards against a snapshot transfer that never ends because the receiver has started over and
/// holds less than the leader assumes.
#[test]
fn snapshot_transfer_resumes_at_the_offset_of_the_receiver() {
    let members = MemberSet::of_voters((1..=3).map(|id| (id, name_of(id))));
    let chunk = RaftConfig::default().snapshot_chunk_bytes as u64;
    let data = vec![0; 3 * chunk as usize];
    let snapshot = Snapshot { index: 10, term: 1, members, data }.into();
    let mut leader = TestNode::with_snapshot(0, Some(snapshot));
    leader.lead();
    let refused = MessageBody::AppendRejected { prev_index: 10, hint: 0, round: 0 };
    assert_eq!(chunk_offsets(&leader.message(2, 2, refused.clone())), [0]);
    let reply = |received| MessageBody::SnapshotReply { index: 10, received, round: 0 };
    assert_eq!(chunk_offsets(&leader.message(2, 2, reply(chunk))), [chunk]);
    assert_eq!(chunk_offsets(&leader.message(2, 2, reply(2 * chunk))), [2 * chunk]);
    leader.message(2, 2, reply(chunk));
    assert_eq!(chunk_offsets(&leader.message(2, 2, refused)), [chunk]);
    assert_eq!(chunk_offsets(&leader.message(2, 2, reply(2 * chunk))), [2 * chunk]);
}

/// Guards against a follower that never catches up because the log was compacted past the start of
/// a lost probe.
#[test]
fn lost_probe_before_the_base_is_replaced_by_a_snapshot() {
    let mut leader = TestNode::new(30);
    leader.lead();
    let refused = |prev_index| MessageBody::AppendRejected { prev_index, hint: 20, round: 0 };
    leader.message(2, 2, refused(30));
    // The probe carries entries 21 to 31; compaction at entry 32 moves the base past them.
    leader.handle_event(RaftEvent::Propose(vec![Proposal { request: 1, payload: vec![1] }]));
    leader.message(3, 2, MessageBody::AppendAccepted { match_index: 32, round: 0 });
    let snapshot = leader.node.snapshot_at(32, vec![1]).expect("everything is committed");
    leader.handle_event(RaftEvent::SnapshotSaved(snapshot.into()));
    assert_eq!(chunk_offsets(&leader.message(2, 2, refused(32))), [0]);
}

/// Guards against a leader that was paused, and takes answers that waited meanwhile for a sign that a
/// quorum still follows it. The others may have another leader by then.
#[test]
fn a_paused_leader_steps_down_before_it_counts_answers() {
    let mut leader = TestNode::new(0);
    leader.lead();
    let answer = MessageBody::AppendAccepted { match_index: 1, round: 0 };
    leader.message(2, 2, answer.clone());
    let seen_at = leader.node.quorum_seen_at();
    assert_eq!(seen_at, Some(leader.now));
    leader.now += RaftConfig::default().election_timeout;
    leader.message(2, 2, answer);
    assert_eq!((leader.node.role(), leader.node.quorum_seen_at()), (Role::Follower, seen_at));
}

/// Guards against a member that loses contact to the leader only and then wins an election, or
/// raises its term and later deposes the leader, although the other members still follow that
/// leader.
#[test]
fn member_partitioned_from_the_leader_only_does_not_depose_it() {
    let mut cluster = Cluster::new(3, 71, Faults::default());
    let leader = cluster.await_leader();
    let term = cluster.node(leader).term();
    let other = cluster.ids().into_iter().find(|&id| id != leader).expect("three members");
    cluster.cut_link(leader, other);
    cluster.cut_link(other, leader);
    cluster.run(600);
    assert_eq!(cluster.node(other).term(), term);
    cluster.heal();
    cluster.run(200);
    assert_eq!((cluster.leader(), cluster.node(leader).term()), (Some(leader), term));
}
