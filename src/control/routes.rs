//! Map from consensus member ids to process names, filled from the hello messages of links.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::{MemberId, ProcessName};

/// Process names of the members that are or have been linked to this process.
#[derive(Clone, Default)]
pub struct MemberNames {
    names: Arc<Mutex<BTreeMap<MemberId, ProcessName>>>,
}

impl MemberNames {
    /// Records the member id of a linked process and removes an earlier id of the same process.
    pub fn insert(&self, member: MemberId, name: &ProcessName) {
        let mut names = self.lock();
        names.retain(|_, recorded| recorded != name);
        names.insert(member, name.clone());
    }

    /// Returns the process name of a member.
    pub fn process_name(&self, member: MemberId) -> Option<ProcessName> {
        self.lock().get(&member).cloned()
    }

    /// Returns the member id of a process.
    pub fn member_id(&self, name: &str) -> Option<MemberId> {
        let names = self.lock();
        names.iter().find(|(_, recorded)| ***recorded == *name).map(|(&member, _)| member)
    }

    /// Returns the ids of all known members.
    pub fn members(&self) -> Vec<MemberId> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<MemberId, ProcessName>> {
        self.names.lock().expect("the lock on member names is never poisoned")
    }
}
