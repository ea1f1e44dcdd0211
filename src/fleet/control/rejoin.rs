//! Decides whether a member was removed from the member list without knowing it.
//!
//! The leader may remove a voter that is only inactive for some seconds. Its process keeps its data
//! folder and a member list that still names it, so it would wait for a leader for ever. It therefore
//! asks the members that it knows, and joins again under a new id if one of them knows of its removal.
//! The log stays: a new id has given no votes and counts for nothing before it holds all committed
//! entries.

use crate::consensus::RaftNode;
use crate::ids::{LogIndex, MemberId};

/// Index from which on the member list of `node` names `member`; `None` if it does not.
pub fn listed_at(node: &RaftNode, member: MemberId) -> Option<LogIndex> {
    node.members().contains(member).then(|| node.members_index())
}

/// Whether `node` knows that `member`, whose own list names it since `listed_at`, was removed.
///
/// Only a committed list counts. A list that is older than the one of `member` may lack it because it
/// was not added yet.
pub fn is_removed(node: &RaftNode, member: MemberId, listed_at: Option<LogIndex>) -> bool {
    let (index, members) = node.committed_members();
    !members.contains(member)
        && (members.removed.contains(&member) || listed_at.is_some_and(|since| index > since))
}
