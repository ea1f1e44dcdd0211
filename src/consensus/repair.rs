//! Membership repair: replaces a lost member id by a new id with the same name.

use std::collections::BTreeMap;

use super::members::{MAX_MEMBERS, MemberChange, MemberRecord};
use super::node::{RaftNode, Role};
use crate::ids::{MemberId, ProcessName};

/// Pending join requests at a leader; only the latest id is kept per name.
pub type JoinRequests = BTreeMap<ProcessName, MemberId>;

/// Member count up to which a join under a new name is accepted; the remaining places are reserved
/// for repairs.
const MAX_MEMBERS_FOR_NEW_NAMES: usize = MAX_MEMBERS / 2;

/// Returns the next repair step that the leader can take now, if any.
///
/// A new id is first added as a learner. It is promoted to voter once it holds all committed
/// entries and the old id is inactive; only after that is the old id removed.
pub fn next_change(node: &RaftNode, join_requests: &JoinRequests) -> Option<MemberChange> {
    if node.role() != Role::Leader {
        return None;
    }
    next_removal(node)
        .or_else(|| next_promotion(node))
        .or_else(|| next_addition(node, join_requests))
}

/// Other members with the given name.
fn members_with_same_name<'a>(
    node: &'a RaftNode,
    member: MemberId,
    name: &'a ProcessName,
) -> impl Iterator<Item = (MemberId, &'a MemberRecord)> {
    let members = node.members().members.iter();
    members
        .filter(move |(other, record)| **other != member && record.name == *name)
        .map(|(&other, record)| (other, record))
}

fn next_removal(node: &RaftNode) -> Option<MemberChange> {
    for (&member, record) in &node.members().members {
        if node.is_active(member) {
            continue;
        }
        let replaced = members_with_same_name(node, member, &record.name).any(|(other, newer)| {
            let is_newer = if record.voter { newer.joined > record.joined } else { true };
            let has_equal_rights = newer.voter || !record.voter;
            is_newer && has_equal_rights && node.is_caught_up(other)
        });
        if replaced {
            return Some(MemberChange::Remove { member });
        }
    }
    None
}

fn next_promotion(node: &RaftNode) -> Option<MemberChange> {
    for (&member, record) in &node.members().members {
        if record.voter || !node.is_caught_up(member) {
            continue;
        }
        let mut old_voters =
            members_with_same_name(node, member, &record.name).filter(|(_, other)| other.voter);
        let replaces_inactive = old_voters.next().is_some_and(|(voter, _)| !node.is_active(voter));
        if replaces_inactive && old_voters.next().is_none() {
            return Some(MemberChange::Promote { member });
        }
    }
    None
}

fn next_addition(node: &RaftNode, join_requests: &JoinRequests) -> Option<MemberChange> {
    let members = node.members();
    for (name, &member) in join_requests {
        if members.contains(member) || members.removed.contains(&member) {
            continue;
        }
        let is_known_name = members.members.values().any(|record| record.name == *name);
        let max_members = if is_known_name { MAX_MEMBERS } else { MAX_MEMBERS_FOR_NEW_NAMES };
        if members.members.len() < max_members {
            return Some(MemberChange::AddLearner { member, name: name.clone() });
        }
    }
    None
}
