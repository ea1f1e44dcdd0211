//! Choice of voters among the control members that exist.
//!
//! `2 f + 1` members vote when `f` may lose their disks; any others are learners that stand by. A
//! voter that is silent is replaced as soon as a learner holds everything committed. The list grows
//! before it shrinks, so that a committed entry stays on enough disks all the while.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::consensus::members::{MAX_MEMBERS, MemberChange};
use crate::consensus::{RaftNode, Role};
use crate::ids::{MemberId, ProcessName};

/// A join request is repeated every second; one that is older came from a member that has gone.
const JOIN_AGE: Duration = Duration::from_secs(3);

/// Join requests by name; the newest id of a name wins.
pub type JoinRequests = BTreeMap<ProcessName, (MemberId, Instant)>;

/// Next change that the leader makes, if any.
pub fn next_change(
    node: &RaftNode,
    joins: &JoinRequests,
    survivable_losses: usize,
    now: Instant,
) -> Option<MemberChange> {
    if node.role() != Role::Leader {
        return None;
    }
    let wanted = 2 * survivable_losses + 1;
    surplus_voter(node, joins, wanted)
        .or_else(|| lost_learner(node, joins))
        .or_else(|| promotion(node, joins, wanted))
        .or_else(|| addition(node, joins, now))
}

/// Whether `member` is silent or its process runs with a new data folder.
fn is_lost(node: &RaftNode, joins: &JoinRequests, member: MemberId, name: &ProcessName) -> bool {
    let replaced = joins.get(name).is_some_and(|(joining, _)| *joining != member);
    let namesake = node.members().members.iter().any(|(other, record)| {
        let own = node.members().members.get(&member).map_or(0, |own| own.joined);
        *other != member && record.name == *name && record.joined > own
    });
    replaced || namesake || !node.is_active(member)
}

fn surplus_voter(node: &RaftNode, joins: &JoinRequests, wanted: usize) -> Option<MemberChange> {
    let members = node.members();
    if members.voters().count() <= wanted {
        return None;
    }
    let mut voters = members.members.iter().filter(|(_, record)| record.voter);
    let lost = voters.find(|(member, record)| is_lost(node, joins, **member, &record.name));
    lost.map(|(&member, _)| MemberChange::Remove { member })
}

/// Learners that do not answer make room, since the list is bounded.
fn lost_learner(node: &RaftNode, joins: &JoinRequests) -> Option<MemberChange> {
    let members = node.members();
    let full = members.members.len() >= MAX_MEMBERS;
    for (&member, record) in &members.members {
        if record.voter {
            continue;
        }
        let replaced = joins.get(&record.name).is_some_and(|(joining, _)| *joining != member);
        if replaced || (full && !node.is_active(member)) {
            return Some(MemberChange::Remove { member });
        }
    }
    None
}

fn promotion(node: &RaftNode, joins: &JoinRequests, wanted: usize) -> Option<MemberChange> {
    let members = node.members();
    let all = members.members.iter();
    let sound = all
        .filter(|(member, record)| record.voter && !is_lost(node, joins, **member, &record.name))
        .count();
    if sound >= wanted || members.voters().count() > wanted {
        return None;
    }
    let ready = members.learners().find(|&member| node.is_caught_up(member));
    ready.map(|member| MemberChange::Promote { member })
}

fn addition(node: &RaftNode, joins: &JoinRequests, now: Instant) -> Option<MemberChange> {
    let members = node.members();
    for (name, &(member, asked)) in joins {
        let known = members.contains(member) || members.removed.contains(&member);
        if known || now.duration_since(asked) > JOIN_AGE || members.members.len() >= MAX_MEMBERS {
            continue;
        }
        return Some(MemberChange::AddLearner { member, name: name.clone() });
    }
    None
}

/// A change as log lines show it.
pub fn describe(change: &MemberChange) -> String {
    match change {
        MemberChange::AddLearner { member, name } => format!("add {member:016x} {name}"),
        MemberChange::Promote { member } => format!("promote {member:016x}"),
        MemberChange::Remove { member } => format!("remove {member:016x}"),
    }
}
