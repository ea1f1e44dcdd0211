//! Servers in availability zones that the operator has evacuated.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::{ServerStats, ServiceBalancer};
use crate::fleet::announcement::ServerState;
use crate::ids::{ServerId, ZoneName};

impl ServiceBalancer {
    /// Replaces the set of evacuated availability zones.
    pub fn install_evacuation(&mut self, evacuated: &Rc<BTreeSet<ZoneName>>) {
        self.evacuated_zones = Rc::clone(evacuated);
        for stats in self.servers.values_mut() {
            stats.is_evacuated = evacuated.contains(&stats.availability_zone);
        }
    }

    /// Whether `server` is in an evacuated availability zone, whichever its incarnation is.
    pub fn is_evacuated(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|stats| stats.is_evacuated)
    }

    /// Whether the service has ready servers and all of them are in evacuated availability zones.
    pub fn is_wholly_evacuated(&self) -> bool {
        let is_ready = |stats: &&ServerStats| stats.state == ServerState::Ready;
        let mut ready = self.servers.values().filter(is_ready).peekable();
        ready.peek().is_some() && ready.all(|stats| stats.is_evacuated)
    }
}
