//! Selects the voters among the available control members.
//!
//! To survive the loss of `f` disks, `2 f + 1` members vote; the others are standby learners. A voter
//! that is inactive is replaced once a learner holds all committed entries. A voter is added before
//! the old one is removed, so that committed entries are on enough disks at all times.
//!
//! An id whose process has a new one never comes back, an inactive member may. The former is therefore
//! removed first; a member that was removed while it was inactive joins again under a new id
//! ([`super::rejoin`]).

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
    remove_surplus_voter(node, join_requests, voter_target, now)
        .or_else(|| remove_learner(node, join_requests, now))
        .or_else(|| promote_learner(node, join_requests, voter_target, now))
        .or_else(|| add_learner(node, join_requests, now))
}

/// Whether the process of `member` has restarted with a new data folder, so that this id never returns.
fn is_replaced(
    node: &RaftNode,
    join_requests: &JoinRequests,
    member: MemberId,
    now: Instant,
) -> bool {
    let members = node.members();
    let Some(record) = members.members.get(&member) else { return false };
    // A request of a listed or removed id may have been delayed and says nothing about newer ids.
    let is_joining = join_requests.get(&record.name).is_some_and(|(joining_id, requested_at)| {
        !members.contains(*joining_id)
            && !members.removed.contains(joining_id)
            && now.duration_since(*requested_at) <= MAX_JOIN_REQUEST_AGE
    });
    is_joining
        || members
            .members
            .values()
            .any(|other| other.name == record.name && other.joined > record.joined)
}

/// Whether `member` is inactive, or its process has restarted with a new data folder.
fn is_lost(node: &RaftNode, join_requests: &JoinRequests, member: MemberId, now: Instant) -> bool {
    !node.is_active(member) || is_replaced(node, join_requests, member, now)
}

fn remove_surplus_voter(
    node: &RaftNode,
    join_requests: &JoinRequests,
    voter_target: usize,
    now: Instant,
) -> Option<MemberChange> {
    let members = node.members();
    if members.voters().count() <= voter_target {
        return None;
    }
    let lost = members.voters().filter(|voter| is_lost(node, join_requests, *voter, now));
    let member = lost.min_by_key(|voter| {
        let is_replaced = is_replaced(node, join_requests, *voter, now);
        (!is_replaced, node.last_response_at(*voter))
    })?;
    Some(MemberChange::Remove { member })
}

/// Removes a learner whose process has a new member id, or an inactive one if the list is full.
fn remove_learner(
    node: &RaftNode,
    join_requests: &JoinRequests,
    now: Instant,
) -> Option<MemberChange> {
    let members = node.members();
    let full = members.members.len() >= MAX_MEMBERS;
    let mut learners = members.learners();
    let member = learners.find(|learner| {
        is_replaced(node, join_requests, *learner, now) || (full && !node.is_active(*learner))
    })?;
    Some(MemberChange::Remove { member })
}

fn promote_learner(
    node: &RaftNode,
    join_requests: &JoinRequests,
    voter_target: usize,
    now: Instant,
) -> Option<MemberChange> {
    let members = node.members();
    let healthy_voters =
        members.voters().filter(|voter| !is_lost(node, join_requests, *voter, now)).count();
    if healthy_voters >= voter_target || members.voters().count() > voter_target {
        return None;
    }
    let ready = members.learners().find(|&member| node.is_caught_up(member));
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
