//! Which process a member id belongs to, learned from the hellos of links.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::ids::{MemberId, ProcessName};

/// Names of members that are or were linked.
#[derive(Clone, Default)]
pub struct MemberRoutes {
    names: Arc<Mutex<BTreeMap<MemberId, ProcessName>>>,
}

impl MemberRoutes {
    /// Records the member behind a link; an older id of the same process is forgotten.
    pub fn learn(&self, member: MemberId, name: &ProcessName) {
        let mut names = self.lock();
        names.retain(|_, known| known != name);
        names.insert(member, name.clone());
    }

    /// Name of the process of a member.
    pub fn name_of(&self, member: MemberId) -> Option<ProcessName> {
        self.lock().get(&member).cloned()
    }

    /// Member id of a process.
    pub fn member_of(&self, name: &str) -> Option<MemberId> {
        let names = self.lock();
        names.iter().find(|(_, known)| ***known == *name).map(|(&member, _)| member)
    }

    /// All known members.
    pub fn members(&self) -> Vec<MemberId> {
        self.lock().keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<MemberId, ProcessName>> {
        self.names.lock().expect("no holder of the route lock panics")
    }
}
