//! Use of what servers said of themselves in their answers.

use std::time::Instant;

use super::{ServerStats, ServiceBalancer};
use crate::fleet::announcement::{IncarnationStart, ServerState};
use crate::fleet::statement::{ConditionChange, TargetStatement};
use crate::ids::ServerId;

impl ServiceBalancer {
    /// Records what an incarnation of `server` said in an answer to the entry `entry`; returns what
    /// changes.
    pub fn record_statement(
        &mut self,
        now: Instant,
        entry: &str,
        (server, started): (&ServerId, IncarnationStart),
        statement: TargetStatement,
    ) -> Option<ConditionChange> {
        let stats = self.servers.get_mut(server).filter(|stats| stats.started == started)?;
        stats.stated.record(now, entry, server, statement)
    }

    /// Takes note that a pause of `server` has ended; returns whether there was one.
    pub fn end_pause(&mut self, now: Instant, server: &ServerId) -> bool {
        self.servers.get_mut(server).is_some_and(|stats| stats.stated.end_pause(now))
    }

    /// Whether the incarnation can get a request, as far as evacuations and its answers say.
    pub fn accepts(&self, now: Instant, server: &ServerId, started: IncarnationStart) -> bool {
        if self.is_evacuated(server) {
            return false;
        }
        let stats = self.servers.get(server).filter(|stats| stats.started == started);
        stats.is_none_or(|stats| stats.stated.accepts(now))
    }

    fn ready_servers(&self) -> impl Iterator<Item = &ServerStats> {
        self.servers.values().filter(|stats| stats.state == ServerState::Ready)
    }

    /// Whether all ready servers leave, are paused or are in evacuated availability zones.
    pub fn is_withdrawn(&self, now: Instant) -> bool {
        let mut ready = self.ready_servers().peekable();
        ready.peek().is_some()
            && ready.all(|stats| stats.is_evacuated || !stats.stated.accepts(now))
    }

    /// End of the first pause if the service is withdrawn.
    pub fn resumes_at(&self, now: Instant) -> Option<Instant> {
        let remaining = self.ready_servers().filter(|stats| !stats.is_evacuated);
        let ends = remaining.filter_map(|stats| stats.stated.resumes_at(now));
        ends.min().filter(|_| self.is_withdrawn(now))
    }

    /// Numbers of servers that leave and that are paused, by their answers.
    pub fn stated_counts(&self, now: Instant) -> (usize, usize) {
        let leaving = self.servers.values().filter(|stats| stats.stated.is_leaving());
        let paused = self.servers.values().filter(|stats| stats.stated.resumes_at(now).is_some());
        (leaving.count(), paused.count())
    }
}
