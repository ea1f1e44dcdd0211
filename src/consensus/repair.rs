//! Membership repair: replaces a member id by a new one of the same name.

use std::collections::BTreeMap;

use super::members::{MAX_MEMBERS, MemberChange, MemberRecord};
use super::node::{RaftNode, Role};
use crate::ids::{MemberId, ProcessName};

/// Join requests that a leader remembers, one per name; the newest id wins.
pub type JoinRequests = BTreeMap<ProcessName, MemberId>;

/// Members up to which a join under an unknown name is accepted; the rest is kept for repairs.
const MAX_WITH_UNKNOWN_NAMES: usize = MAX_MEMBERS / 2;

/// Next step of a repair that the leader can take now.
///
/// The new id is added as a learner. It becomes a voter when it holds everything committed and the
/// old id is silent, and only then the old id is removed.
pub fn next_change(node: &RaftNode, joins: &JoinRequests) -> Option<MemberChange> {
    if node.role() != Role::Leader {
        return None;
    }
    removal(node).or_else(|| promotion(node)).or_else(|| addition(node, joins))
}

/// Other members of the same name.
fn namesakes<'a>(
    node: &'a RaftNode,
    member: MemberId,
    name: &'a ProcessName,
) -> impl Iterator<Item = (MemberId, &'a MemberRecord)> {
    let all = node.members().members.iter();
    all.filter(move |(other, record)| **other != member && record.name == *name)
        .map(|(&other, record)| (other, record))
}

fn removal(node: &RaftNode) -> Option<MemberChange> {
    for (&member, record) in &node.members().members {
        if node.is_active(member) {
            continue;
        }
        let replaced = namesakes(node, member, &record.name).any(|(other, newer)| {
            let supersedes = if record.voter { newer.joined > record.joined } else { true };
            let ranks = newer.voter || !record.voter;
            supersedes && ranks && node.holds_committed(other)
        });
        if replaced {
            return Some(MemberChange::Remove { member });
        }
    }
    None
}

fn promotion(node: &RaftNode) -> Option<MemberChange> {
    for (&member, record) in &node.members().members {
        if record.voter || !node.holds_committed(member) {
            continue;
        }
        let mut old = namesakes(node, member, &record.name).filter(|(_, other)| other.voter);
        let replaces = old.next().is_some_and(|(voter, _)| !node.is_active(voter));
        if replaces && old.next().is_none() {
            return Some(MemberChange::Promote { member });
        }
    }
    None
}

fn addition(node: &RaftNode, joins: &JoinRequests) -> Option<MemberChange> {
    let members = node.members();
    for (name, &member) in joins {
        if members.contains(member) || members.removed.contains(&member) {
            continue;
        }
        let known = members.members.values().any(|record| record.name == *name);
        let bound = if known { MAX_MEMBERS } else { MAX_WITH_UNKNOWN_NAMES };
        if members.members.len() < bound {
            return Some(MemberChange::AddLearner { member, name: name.clone() });
        }
    }
    None
}
