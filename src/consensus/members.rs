//! Member list of a group and the single-server changes to it.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::{LogIndex, MemberId, ProcessName};

/// Members a group may have, learners included.
pub const MAX_MEMBERS: usize = 16;

/// Ids of removed members that the list remembers, so that a late `Join` cannot bring one back.
pub const MAX_REMOVED: usize = 64;

/// Longest member name in bytes; names arrive from peers.
pub const MAX_NAME_BYTES: usize = 128;

/// One member of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: ProcessName,
    pub voter: bool,
    /// Index of the log entry that added the member; 0 for the initial list.
    pub joined: LogIndex,
}

/// Complete member list of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    pub members: BTreeMap<MemberId, MemberRecord>,
    pub removed: VecDeque<MemberId>,
}

/// Change of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    AddLearner { member: MemberId, name: ProcessName },
    Promote { member: MemberId },
    Remove { member: MemberId },
}

/// Reasons to refuse a member change.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MemberError {
    #[error("member {0:016x} is already in the list")]
    AlreadyMember(MemberId),
    #[error("member {0:016x} is not a learner")]
    NotLearner(MemberId),
    #[error("member {0:016x} is not in the list")]
    Unknown(MemberId),
    #[error("member {0:016x} was removed earlier; a removed id never returns")]
    Removed(MemberId),
    #[error("member {0:016x} does not hold everything committed")]
    NotCaughtUp(MemberId),
    #[error("member {0:016x} is the last voter")]
    LastVoter(MemberId),
    #[error("too few voters would remain that hold everything committed")]
    TooFewVoters,
    #[error("the list is full")]
    Full,
    #[error("the member name is longer than {MAX_NAME_BYTES} bytes")]
    NameTooLong,
}

impl MemberSet {
    /// Initial list in which every member votes.
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

    /// Voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Bytes this list counts for in message bounds.
    pub fn size(&self) -> usize {
        const RECORD_BYTES: usize = 32;
        let names: usize = self.members.values().map(|record| record.name.len()).sum();
        names + RECORD_BYTES * self.members.len() + 10 * self.removed.len()
    }

    /// Returns the list after `change`, which goes into the log at `index`.
    pub fn changed(&self, change: &MemberChange, index: LogIndex) -> Result<Self, MemberError> {
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
        if self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
        Ok(())
    }
}
