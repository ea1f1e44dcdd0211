//! Part of a control member that decides on quarantine: it forwards evidence to the leader and, while
//! it leads, counts the evidence, convicts and releases.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

pub use super::settling::SETTLING_TIME;
use super::settling::SettlingSuspects;
use super::{CrashFinding, CrashLedger, CrashReport};
use crate::fleet::announcement::IncarnationStart;
use crate::fleet::state::{FleetCommand, MAX_QUARANTINED};
use crate::ids::{LogIndex, MemberId, RequestDigest, ServerId};

/// Maximum number of reports that a member holds for the next leader.
pub const MAX_HELD_REPORTS: usize = 256;

/// Time for which a report is held: longer than the election of a leader.
pub const HOLD_TIME: Duration = Duration::from_secs(5);

/// Maximum number of reports that are read from one message.
pub const MAX_MESSAGE_REPORTS: usize = 256;

/// Time that a request spends in quarantine. A new leader starts it again.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(300);

/// Time after which a proposal without an effect is repeated. The node refuses proposals while leadership is
/// being transferred. It is longer than a commit and a small part of the stable window.
pub const PROPOSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a new leader decides on nothing, because the reports that other members hold arrive in
/// any order.
const GATHERING_TIME: Duration = Duration::from_millis(100);

/// Leader that a member knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum KnownLeader {
    #[default]
    Nobody,
    Other(MemberId),
    ThisMember,
}

/// Reports of one kind, in the order in which they were received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportBatch {
    Crashes(Vec<CrashReport>),
    Served(Vec<RequestDigest>),
}

/// What the member has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum QuarantineAction {
    /// Sends reports to the leader.
    Forward(ReportBatch),
    Propose(FleetCommand),
    Log(QuarantineEvent),
}

/// What the leader found or did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineEvent {
    Suspected {
        report: CrashReport,
        crashes: usize,
    },
    Convicted {
        report: CrashReport,
        crashes: usize,
    },
    /// The quarantine is full.
    Refused {
        report: CrashReport,
        crashes: usize,
    },
    Released {
        digest: RequestDigest,
        /// Time in quarantine under this leader.
        held_for: Duration,
        cause: ReleaseCause,
        crashed: CrashedServers,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseCause {
    Timer,
    Operator,
}

/// Incarnations that crashed under a request.
pub type CrashedServers = Vec<(ServerId, IncarnationStart)>;

/// Numbers for the metrics page, counted since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QuarantineCounts {
    pub crash_reports: u64,
    pub served_reports: u64,
    pub convictions: u64,
    pub refusals: u64,
    pub releases: u64,
}

/// Request in quarantine, as the leader knows it.
#[derive(Debug, Clone)]
pub struct QuarantineRecord {
    since: Instant,
    release_proposed: Option<Instant>,
    /// Empty if an earlier leader convicted the request.
    pub crashed: CrashedServers,
}

impl QuarantineRecord {
    /// Remaining time in quarantine.
    pub fn remaining(&self, now: Instant) -> Duration {
        QUARANTINE_TIME.saturating_sub(now.saturating_duration_since(self.since))
    }
}

#[derive(Debug, Clone)]
enum HeldReport {
    Crash(CrashReport),
    Served(RequestDigest),
}

/// State of one member.
#[derive(Debug, Default)]
pub struct QuarantineController {
    leader: KnownLeader,
    ledger: CrashLedger,
    /// Reports of entries in the last [`HOLD_TIME`]. A leader that has just been lost may have received
    /// none of them.
    held: VecDeque<(Instant, HeldReport)>,
    settling: SettlingSuspects,
    /// Convictions that are not committed yet, with the time of the last proposal.
    proposed: BTreeMap<RequestDigest, (Instant, CrashedServers)>,
    in_force: BTreeMap<RequestDigest, QuarantineRecord>,
    /// Time until which a new leader collects the reports that other members hold.
    gathers_until: Option<Instant>,
    counts: QuarantineCounts,
}

/// Quarantine in the replicated state.
type ReplicatedQuarantine = BTreeMap<RequestDigest, LogIndex>;

impl QuarantineController {
    pub fn counts(&self) -> QuarantineCounts {
        self.counts
    }

    /// Evidence that this member holds as the leader.
    pub fn ledger(&self) -> &CrashLedger {
        &self.ledger
    }

    /// What this member knows of a request in quarantine while it leads.
    pub fn record(&self, digest: RequestDigest) -> Option<&QuarantineRecord> {
        self.in_force.get(&digest)
    }

    /// Changes the known leader. A new one gets the reports that are held.
    pub fn set_leader(
        &mut self,
        now: Instant,
        leader: KnownLeader,
        quarantine: &ReplicatedQuarantine,
    ) -> Vec<QuarantineAction> {
        if leader == self.leader {
            return Vec::new();
        }
        self.leader = leader;
        self.ledger = CrashLedger::default();
        self.settling = SettlingSuspects::default();
        self.proposed.clear();
        self.in_force.clear();
        self.expire_held(now);
        let mut actions = Vec::new();
        match leader {
            KnownLeader::Nobody => {}
            KnownLeader::Other(_) => {
                let batches = self.held_batches(now).into_iter();
                actions.extend(batches.map(QuarantineAction::Forward));
            }
            KnownLeader::ThisMember => {
                self.gathers_until = Some(now + GATHERING_TIME);
                actions.extend(self.follow_state(now, quarantine));
                for batch in self.held_batches(now) {
                    self.count_batch(now, batch, quarantine, &mut actions);
                }
            }
        }
        actions
    }

    /// Time at which [`Self::tick`] has to decide on a suspect.
    pub fn next_decision(&self) -> Option<Instant> {
        self.settling.next_decision()
    }

    /// Handles reports of an entry.
    pub fn on_entry_batch(
        &mut self,
        now: Instant,
        mut batch: ReportBatch,
        quarantine: &ReplicatedQuarantine,
    ) -> Vec<QuarantineAction> {
        self.expire_held(now);
        match &mut batch {
            ReportBatch::Crashes(reports) => {
                reports.truncate(MAX_MESSAGE_REPORTS);
                self.counts.crash_reports += reports.len() as u64;
                let reports = reports.iter().map(|report| HeldReport::Crash(report.clone()));
                self.held.extend(reports.map(|report| (now, report)));
            }
            ReportBatch::Served(digests) => {
                digests.truncate(MAX_MESSAGE_REPORTS);
                self.counts.served_reports += digests.len() as u64;
                // Cleared evidence must not reach the next leader: reports that several members hold
                // arrive there in any order.
                self.held.retain(|(_, held)| match held {
                    HeldReport::Crash(report) => !digests.contains(&report.digest),
                    HeldReport::Served(_) => true,
                });
                let digests = digests.iter().map(|digest| HeldReport::Served(*digest));
                self.held.extend(digests.map(|digest| (now, digest)));
            }
        }
        let excess = self.held.len().saturating_sub(MAX_HELD_REPORTS);
        self.held.drain(..excess);
        let mut actions = Vec::new();
        match self.leader {
            KnownLeader::Nobody => {}
            KnownLeader::Other(_) => actions.push(QuarantineAction::Forward(batch)),
            KnownLeader::ThisMember => self.count_batch(now, batch, quarantine, &mut actions),
        }
        actions
    }

    /// Handles reports that another member forwarded. A member that no longer leads drops them: the
    /// sender holds them for the next leader.
    pub fn on_member_batch(
        &mut self,
        now: Instant,
        mut batch: ReportBatch,
        quarantine: &ReplicatedQuarantine,
    ) -> Vec<QuarantineAction> {
        let mut actions = Vec::new();
        if self.leader != KnownLeader::ThisMember {
            return actions;
        }
        match &mut batch {
            ReportBatch::Crashes(reports) => {
                reports.truncate(MAX_MESSAGE_REPORTS);
                self.counts.crash_reports += reports.len() as u64;
            }
            ReportBatch::Served(digests) => {
                digests.truncate(MAX_MESSAGE_REPORTS);
                self.counts.served_reports += digests.len() as u64;
            }
        }
        self.count_batch(now, batch, quarantine, &mut actions);
        actions
    }

    /// Compares with the replicated state and proposes the releases that are due.
    pub fn tick(
        &mut self,
        now: Instant,
        quarantine: &ReplicatedQuarantine,
    ) -> Vec<QuarantineAction> {
        self.expire_held(now);
        let mut actions = self.follow_state(now, quarantine);
        self.ledger.expire(now);
        self.decide_settled(now, quarantine, &mut actions);
        actions.extend(self.repeat_proposals(now));
        let mut due = Vec::new();
        for (digest, record) in &mut self.in_force {
            let is_pending = record.release_proposed.is_some_and(|proposed_at| {
                now.saturating_duration_since(proposed_at) < PROPOSAL_TIMEOUT
            });
            if is_pending || !record.remaining(now).is_zero() {
                continue;
            }
            record.release_proposed = Some(now);
            due.push(*digest);
        }
        if !due.is_empty() {
            actions.push(QuarantineAction::Propose(FleetCommand::Release(due)));
        }
        actions
    }

    /// Proposes convictions again that are not committed in time. A proposal that is committed twice has no
    /// further effect.
    fn repeat_proposals(&mut self, now: Instant) -> Option<QuarantineAction> {
        let mut due = Vec::new();
        for (digest, (proposed_at, _)) in &mut self.proposed {
            if now.saturating_duration_since(*proposed_at) < PROPOSAL_TIMEOUT {
                continue;
            }
            *proposed_at = now;
            due.push(*digest);
        }
        (!due.is_empty()).then_some(QuarantineAction::Propose(FleetCommand::Quarantine(due)))
    }

    /// Follows the replicated state after committed commands.
    pub fn follow_state(
        &mut self,
        now: Instant,
        quarantine: &ReplicatedQuarantine,
    ) -> Vec<QuarantineAction> {
        let mut actions = Vec::new();
        if self.leader != KnownLeader::ThisMember {
            return actions;
        }
        for digest in quarantine.keys() {
            if self.in_force.contains_key(digest) {
                continue;
            }
            self.settling.remove(*digest);
            let (_, crashed) = self.proposed.remove(digest).unwrap_or((now, Vec::new()));
            let record = QuarantineRecord { since: now, release_proposed: None, crashed };
            self.in_force.insert(*digest, record);
        }
        let gone = self.in_force.keys().filter(|digest| !quarantine.contains_key(digest));
        let gone: Vec<_> = gone.copied().collect();
        for digest in gone {
            let Some(record) = self.in_force.remove(&digest) else { continue };
            let cause = match record.release_proposed {
                Some(_) => ReleaseCause::Timer,
                None => ReleaseCause::Operator,
            };
            match cause {
                ReleaseCause::Timer => self.ledger.set_probation(now, digest),
                ReleaseCause::Operator => self.ledger.remove(digest),
            }
            self.counts.releases += 1;
            let held_for = now.saturating_duration_since(record.since);
            let crashed = record.crashed;
            let event = QuarantineEvent::Released { digest, held_for, cause, crashed };
            actions.push(QuarantineAction::Log(event));
        }
        actions
    }

    fn count_batch(
        &mut self,
        now: Instant,
        batch: ReportBatch,
        quarantine: &ReplicatedQuarantine,
        actions: &mut Vec<QuarantineAction>,
    ) {
        match batch {
            ReportBatch::Crashes(reports) => {
                let mut convicted = Vec::new();
                for report in reports {
                    let event = self.count_crash(now, report, quarantine);
                    let Some(event) = event else { continue };
                    if let QuarantineEvent::Convicted { report, .. } = &event {
                        convicted.push(report.digest);
                    }
                    actions.push(QuarantineAction::Log(event));
                }
                if !convicted.is_empty() {
                    actions.push(QuarantineAction::Propose(FleetCommand::Quarantine(convicted)));
                }
            }
            ReportBatch::Served(digests) => {
                for digest in digests {
                    self.ledger.record_served(digest);
                }
                self.settling.reconsider(now, &self.ledger);
            }
        }
    }

    fn count_crash(
        &mut self,
        now: Instant,
        report: CrashReport,
        quarantine: &ReplicatedQuarantine,
    ) -> Option<QuarantineEvent> {
        let digest = report.digest;
        if quarantine.contains_key(&digest) || self.proposed.contains_key(&digest) {
            self.ledger.explain(digest, report.server, report.started);
            self.settling.reconsider(now, &self.ledger);
            return None;
        }
        match self.ledger.add_crash(now, &report) {
            CrashFinding::Repeated | CrashFinding::Concurrent => None,
            CrashFinding::Suspected { crashes } => {
                if !self.ledger.is_due(now, digest) {
                    return Some(QuarantineEvent::Suspected { report, crashes });
                }
                let gathers_until = self.gathers_until.filter(|until| now < *until);
                let is_plain = gathers_until.is_none() && self.ledger.is_separated(now, digest);
                if is_plain || !self.settling.has_room() {
                    return Some(self.convict(now, report, quarantine));
                }
                self.settling.add(now, gathers_until, &report);
                Some(QuarantineEvent::Suspected { report, crashes })
            }
            CrashFinding::Convicted => None,
        }
    }

    fn decide_settled(
        &mut self,
        now: Instant,
        quarantine: &ReplicatedQuarantine,
        actions: &mut Vec<QuarantineAction>,
    ) {
        let mut convicted = Vec::new();
        for report in self.settling.decide(now, &mut self.ledger) {
            let digest = report.digest;
            let event = self.convict(now, report, quarantine);
            if matches!(event, QuarantineEvent::Convicted { .. }) {
                convicted.push(digest);
            }
            actions.push(QuarantineAction::Log(event));
        }
        if !convicted.is_empty() {
            actions.push(QuarantineAction::Propose(FleetCommand::Quarantine(convicted)));
        }
    }

    fn convict(
        &mut self,
        now: Instant,
        report: CrashReport,
        quarantine: &ReplicatedQuarantine,
    ) -> QuarantineEvent {
        let digest = report.digest;
        self.settling.remove(digest);
        self.ledger.convict(digest);
        self.settling.reconsider(now, &self.ledger);
        let crashes = self.ledger.counted_crashes(digest);
        if quarantine.len() + self.proposed.len() >= MAX_QUARANTINED {
            self.counts.refusals += 1;
            return QuarantineEvent::Refused { report, crashes };
        }
        self.counts.convictions += 1;
        let crashed = self.ledger.crashed_servers(digest);
        self.proposed.insert(digest, (now, crashed));
        QuarantineEvent::Convicted { report, crashes }
    }

    fn expire_held(&mut self, now: Instant) {
        self.held
            .retain(|(received_at, _)| now.saturating_duration_since(*received_at) < HOLD_TIME);
    }

    /// Held reports in their order, with their age at `now`.
    fn held_batches(&self, now: Instant) -> Vec<ReportBatch> {
        let mut batches = Vec::new();
        for (received_at, held) in &self.held {
            match (held, batches.last_mut()) {
                (HeldReport::Crash(report), last) => {
                    let mut report = report.clone();
                    let held_for = now.saturating_duration_since(*received_at);
                    report.age = report.age.saturating_add(held_for);
                    match last {
                        Some(ReportBatch::Crashes(reports)) => reports.push(report),
                        _ => batches.push(ReportBatch::Crashes(vec![report])),
                    }
                }
                (HeldReport::Served(digest), Some(ReportBatch::Served(digests))) => {
                    digests.push(*digest);
                }
                (HeldReport::Served(digest), _) => batches.push(ReportBatch::Served(vec![*digest])),
            }
        }
        batches
    }
}
