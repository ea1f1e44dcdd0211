//! Member set of a Raft group and single-server membership changes.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{LogIndex, MemberId, ProcessName};

/// Maximum number of members in a group, including learners.
pub const MAX_MEMBERS: usize = 16;

/// Maximum number of removed ids to remember, so that a delayed `Join` cannot add one again.
pub const MAX_REMOVED_IDS: usize = 64;

/// Maximum length of a member name in bytes; names come from peers.
pub const MAX_NAME_BYTES: usize = 128;

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: ProcessName,
    pub voter: bool,
    /// Index of the log entry that added the member; 0 for an initial member.
    pub joined: LogIndex,
}

/// All members of a group, and the ids that were removed from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    pub members: BTreeMap<MemberId, MemberRecord>,
    pub removed: VecDeque<MemberId>,
}

/// Change to one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    AddLearner { member: MemberId, name: ProcessName },
    Promote { member: MemberId },
    Remove { member: MemberId },
}

/// Reason why a member change is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MemberError {
    #[error("member {0:016x} is already in the member set")]
    AlreadyMember(MemberId),
    #[error("member {0:016x} is not a learner")]
    NotLearner(MemberId),
    #[error("member {0:016x} is not in the member set")]
    Unknown(MemberId),
    #[error("member {0:016x} was removed earlier; a removed id cannot be added again")]
    Removed(MemberId),
    #[error("member {0:016x} does not hold all committed entries")]
    NotCaughtUp(MemberId),
    #[error("member {0:016x} is the last voter")]
    LastVoter(MemberId),
    #[error("fewer voters than a quorum would hold all committed entries")]
    TooFewVoters,
    #[error("the group already has {MAX_MEMBERS} members")]
    Full,
    #[error("the member name is longer than {MAX_NAME_BYTES} bytes")]
    NameTooLong,
}

impl MemberSet {
    /// Creates an initial member set in which every member is a voter.
    pub fn of_voters(names: impl IntoIterator<Item = (MemberId, ProcessName)>) -> Self {
        let mut set = Self::default();
        for (member, name) in names {
            set.members.insert(member, MemberRecord { name, voter: true, joined: 0 });
        }
        set
    }

    pub fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|(_, record)| record.voter).map(|(&member, _)| member)
    }

    pub fn learners(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|(_, record)| !record.voter).map(|(&member, _)| member)
    }

    pub fn is_voter(&self, member: MemberId) -> bool {
        self.members.get(&member).is_some_and(|record| record.voter)
    }

    pub fn contains(&self, member: MemberId) -> bool {
        self.members.contains_key(&member)
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Approximate size in bytes, as counted against message and queue limits.
    pub fn size_bytes(&self) -> usize {
        const RECORD_BYTES: usize = 32;
        let names: usize = self.members.values().map(|record| record.name.len()).sum();
        names + RECORD_BYTES * self.members.len() + 10 * self.removed.len()
    }

    /// Returns the member set after `change`, which is logged at `index`.
    pub fn with_change(&self, change: &MemberChange, index: LogIndex) -> Result<Self, MemberError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { member, name } => next.add(*member, name, index)?,
            MemberChange::Promote { member } => {
                let record =
                    next.members.get_mut(member).ok_or(MemberError::NotLearner(*member))?;
                if record.voter {
                    return Err(MemberError::NotLearner(*member));
                }
                record.voter = true;
            }
            MemberChange::Remove { member } => next.remove(*member)?,
        }
        Ok(next)
    }

    fn add(
        &mut self,
        member: MemberId,
        name: &ProcessName,
        index: LogIndex,
    ) -> Result<(), MemberError> {
        if self.contains(member) {
            return Err(MemberError::AlreadyMember(member));
        }
        if self.removed.contains(&member) {
            return Err(MemberError::Removed(member));
        }
        if self.members.len() >= MAX_MEMBERS {
            return Err(MemberError::Full);
        }
        if name.len() > MAX_NAME_BYTES {
            return Err(MemberError::NameTooLong);
        }
        let record = MemberRecord { name: name.clone(), voter: false, joined: index };
        self.members.insert(member, record);
        Ok(())
    }

    fn remove(&mut self, member: MemberId) -> Result<(), MemberError> {
        let Some(record) = self.members.get(&member) else {
            return Err(MemberError::Unknown(member));
        };
        if record.voter && self.voters().count() == 1 {
            return Err(MemberError::LastVoter(member));
        }
        self.members.remove(&member);
        self.removed.push_back(member);
        if self.removed.len() > MAX_REMOVED_IDS {
            self.removed.pop_front();
        }
        Ok(())
    }
}
