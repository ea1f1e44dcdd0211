//! Quarantine of requests that crash servers: passes events to the [`QuarantineController`] and
//! performs its actions.
//!
//! [`QuarantineController`]: crate::fleet::crash::controller::QuarantineController

use std::time::Instant;

use super::{CallWaiter, ControlCore};
use crate::consensus::Role;
use crate::fleet::crash::CrashReport;
use crate::fleet::crash::controller::{
    CrashedServers, KnownLeader, QuarantineAction, QuarantineController, QuarantineEvent,
    ReportBatch,
};
use crate::fleet::link::{ForwardCall, LinkMessage};
use crate::log_info;

impl ControlCore {
    pub fn quarantine(&self) -> &QuarantineController {
        &self.quarantine
    }

    /// Whether this member leads.
    pub fn leads(&self) -> bool {
        self.node.role() == Role::Leader
    }

    /// Handles reports that an entry sent to this member.
    pub fn on_entry_batch(&mut self, now: Instant, batch: ReportBatch) {
        let actions = self.quarantine.on_entry_batch(now, batch, self.state.quarantine());
        self.perform_quarantine(now, actions);
    }

    pub(super) fn on_member_batch(&mut self, now: Instant, batch: ReportBatch) {
        let actions = self.quarantine.on_member_batch(now, batch, self.state.quarantine());
        self.perform_quarantine(now, actions);
    }

    pub(super) fn tick_quarantine(&mut self, now: Instant) {
        let actions = self.quarantine.tick(now, self.state.quarantine());
        self.perform_quarantine(now, actions);
    }

    /// Follows the role of this member.
    pub(super) fn follow_leader(&mut self, now: Instant) {
        let leader = match (self.leads(), self.node.leader()) {
            (true, _) => KnownLeader::ThisMember,
            (false, Some(leader)) => KnownLeader::Other(leader),
            (false, None) => KnownLeader::Nobody,
        };
        let actions = self.quarantine.set_leader(now, leader, self.state.quarantine());
        self.perform_quarantine(now, actions);
    }

    fn perform_quarantine(&mut self, now: Instant, actions: Vec<QuarantineAction>) {
        for action in actions {
            match action {
                QuarantineAction::Forward(batch) => self.forward_batch(batch),
                QuarantineAction::Propose(command) => {
                    self.last_request += 1;
                    let call = ForwardCall::Propose(command.encode());
                    self.start_call(now, self.last_request, call, CallWaiter::Internal);
                }
                QuarantineAction::Log(event) => log_event(&event),
            }
        }
    }

    fn forward_batch(&self, batch: ReportBatch) {
        let Some(leader) = self.leader_address() else { return };
        let message = match batch {
            ReportBatch::Crashes(reports) => LinkMessage::Crashes(reports),
            ReportBatch::Served(digests) => LinkMessage::Served(digests),
        };
        self.peers.send(leader, &message);
    }
}

fn log_event(event: &QuarantineEvent) {
    match event {
        QuarantineEvent::Suspected { report, crashes } => {
            log_finding("request_suspected", report, *crashes);
        }
        QuarantineEvent::Convicted { report, crashes } => {
            log_finding("request_quarantined", report, *crashes);
        }
        QuarantineEvent::Refused { report, crashes } => {
            log_finding("quarantine_full", report, *crashes);
        }
        QuarantineEvent::Released { digest, held_for, cause, crashed } => log_info!(
            "request_released",
            "digest={digest:032x} cause={cause:?} held_ms={} crashes={} servers=\"{}\"",
            held_for.as_millis(),
            crashed.len(),
            describe(crashed)
        ),
    }
}

fn log_finding(event: &str, report: &CrashReport, crashes: usize) {
    let CrashReport { digest, server, started, ran_for, age } = report;
    log_info!(
        event,
        "digest={digest:032x} server={server} started={started} crashes={crashes} ran_for_ms={} age_ms={}",
        ran_for.as_millis(),
        age.as_millis()
    );
}

fn describe(crashed: &CrashedServers) -> String {
    let names: Vec<_> =
        crashed.iter().map(|(server, started)| format!("{server}/{started}")).collect();
    names.join(",")
}
