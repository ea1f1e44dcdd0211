//! Selects the voters among the available control members.
//!
//! To survive the loss of `f` disks, `2 f + 1` members vote; the others are standby learners. A voter
//! that is inactive is replaced once a learner holds all committed entries. A voter is added before
//! the old one is removed, so that committed entries are on enough disks at all times.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::consensus::members::{MAX_MEMBERS, MemberChange};
use crate::consensus::{RaftNode, Role};
use crate::ids::{MemberId, ProcessName};

/// Maximum age of a join request. Requests are repeated every second, so an older one is from a member
/// that no longer runs.
const MAX_JOIN_REQUEST_AGE: Duration = Duration::from_secs(3);

/// Latest join request of each process name: the member id and the time of arrival.
pub type JoinRequests = BTreeMap<ProcessName, (MemberId, Instant)>;

/// Returns the next membership change that the leader should propose, if any.
pub fn next_change(
    node: &RaftNode,
    join_requests: &JoinRequests,
    survivable_losses: usize,
    now: Instant,
) -> Option<MemberChange> {
    if node.role() != Role::Leader {
        return None;
    }
    let voter_target = 2 * survivable_losses + 1;
    remove_surplus_voter(node, join_requests, voter_target)
        .or_else(|| remove_learner(node, join_requests))
        .or_else(|| promote_learner(node, join_requests, voter_target))
        .or_else(|| add_learner(node, join_requests, now))
}

/// Whether `member` is inactive, or its process has restarted with a new data folder.
fn is_lost(
    node: &RaftNode,
    join_requests: &JoinRequests,
    member: MemberId,
    name: &ProcessName,
) -> bool {
    let replaced = join_requests.get(name).is_some_and(|(joining_id, _)| *joining_id != member);
    let has_newer_id = node.members().members.iter().any(|(other, record)| {
        let own_joined = node.members().members.get(&member).map_or(0, |own| own.joined);
        *other != member && record.name == *name && record.joined > own_joined
    });
    replaced || has_newer_id || !node.is_active(member)
}

fn remove_surplus_voter(
    node: &RaftNode,
    join_requests: &JoinRequests,
    voter_target: usize,
) -> Option<MemberChange> {
    let members = node.members();
    if members.voters().count() <= voter_target {
        return None;
    }
    let mut voters = members.members.iter().filter(|(_, record)| record.voter);
    let lost = voters.find(|(member, record)| is_lost(node, join_requests, **member, &record.name));
    lost.map(|(&member, _)| MemberChange::Remove { member })
}

/// Removes a learner whose process has a new member id, or an inactive one if the list is full.
fn remove_learner(node: &RaftNode, join_requests: &JoinRequests) -> Option<MemberChange> {
    let members = node.members();
    let full = members.members.len() >= MAX_MEMBERS;
    for (&member, record) in &members.members {
        if record.voter {
            continue;
        }
        let replaced =
            join_requests.get(&record.name).is_some_and(|(joining_id, _)| *joining_id != member);
        if replaced || (full && !node.is_active(member)) {
            return Some(MemberChange::Remove { member });
        }
    }
    None
}

fn promote_learner(
    node: &RaftNode,
    join_requests: &JoinRequests,
    voter_target: usize,
) -> Option<MemberChange> {
    let members = node.members();
    let all = members.members.iter();
    let healthy_voters = all
        .filter(|(member, record)| {
            record.voter && !is_lost(node, join_requests, **member, &record.name)
        })
        .count();
    if healthy_voters >= voter_target || members.voters().count() > voter_target {
        return None;
    }
    let ready = members.learners().find(|&member| node.holds_committed(member));
    ready.map(|member| MemberChange::Promote { member })
}

fn add_learner(
    node: &RaftNode,
    join_requests: &JoinRequests,
    now: Instant,
) -> Option<MemberChange> {
    let members = node.members();
    for (name, &(member, requested_at)) in join_requests {
        let known = members.contains(member) || members.removed.contains(&member);
        if known
            || now.duration_since(requested_at) > MAX_JOIN_REQUEST_AGE
            || members.members.len() >= MAX_MEMBERS
        {
            continue;
        }
        return Some(MemberChange::AddLearner { member, name: name.clone() });
    }
    None
}

/// Formats a change for log lines.
pub fn describe(change: &MemberChange) -> String {
    match change {
        MemberChange::AddLearner { member, name } => format!("add {member:016x} {name}"),
        MemberChange::Promote { member } => format!("promote {member:016x}"),
        MemberChange::Remove { member } => format!("remove {member:016x}"),
    }
}
