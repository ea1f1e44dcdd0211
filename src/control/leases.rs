//! Settings leases that the leader of the settings group grants to entries.
//!
//! A settings change is in force everywhere once each entry that may still use older settings has
//! installed it or its lease has expired. The table also provides the list of live entries; the
//! version of that list is the epoch of credit accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{EpochNumber, ProcessName, SettingsRevision, TermNumber, ZoneName};
use crate::link::LiveEntry;

/// Allowance for clock drift, in percent, that the leader adds to the duration of each lease.
const CLOCK_DRIFT_PERCENT: u32 = 10;

/// Time after the loss of an entry's link at which the entry becomes suspect and is no longer
/// chosen to hold credit accounts.
const SUSPECT_DELAY: Duration = Duration::from_millis(300);

/// Time after which an unanswered leadership confirmation no longer delays the next one.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of entries in the table; requests from further entries are ignored.
const ENTRY_LIMIT: usize = 4096;

/// Maximum number of committed changes that wait to come into force.
const PENDING_CHANGE_LIMIT: usize = 1024;

/// Number that the control process assigns to a tracked change.
pub type ChangeNumber = u64;

/// Number of a round of leadership confirmation.
pub type RoundNumber = u64;

/// Leases that this process has granted as leader of the settings group.
#[derive(Debug)]
pub struct LeaseTable {
    lease_duration: Duration,
    /// Longer lease duration that applied before the last change, and the time at which leases
    /// granted with it have expired.
    prior_longer_lease: Option<(Duration, Instant)>,
    leadership: Option<Leadership>,
    /// Last round started. The count continues across leaderships, so that a late confirmation
    /// from an earlier leadership cannot confirm a round of the current one.
    last_round: RoundNumber,
    entries: BTreeMap<ProcessName, EntryLease>,
    pending_changes: BTreeMap<ChangeNumber, SettingsRevision>,
}

#[derive(Debug)]
struct Leadership {
    term: TermNumber,
    entry_list_changes: u32,
    /// Round that awaits confirmation, and its start time.
    running_round: Option<(RoundNumber, Instant)>,
    /// Time by which all leases granted by earlier leaders have expired; this leader does not
    /// know them.
    prior_leases_expire_at: Instant,
    /// Requests that await confirmation, each with the round that can grant it.
    queued_requests: Vec<QueuedRequest>,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    round: RoundNumber,
    /// Lease duration when the request arrived. A longer duration set since then applies only
    /// from the next request, because a later leader may not have waited for the longer lease.
    lease_duration: Duration,
    request: RenewalRequest,
}

/// Request from an entry for a new or renewed lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalRequest {
    /// Entry that requests the lease.
    pub entry: ProcessName,
    /// Process that delivered the request and receives the grant: the entry itself, or a peer
    /// that relayed the request.
    pub via: ProcessName,
    /// Random id that the entry chose when its process started.
    pub session: u64,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Settings revision installed on the entry.
    pub installed_revision: SettingsRevision,
    /// Epoch of the list of live entries that the entry holds.
    pub epoch: EpochNumber,
    /// Value that the grant repeats, so that the entry can match it to the request.
    pub nonce: u64,
}

#[derive(Clone, Debug)]
struct EntryLease {
    session: u64,
    availability_zone: ZoneName,
    installed_revision: SettingsRevision,
    expires_at: Instant,
    link_lost_at: Option<Instant>,
    suspect: bool,
}

/// Input of the lease table.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// This process was elected leader of the settings group.
    BecameLeader {
        /// New term.
        term: TermNumber,
    },
    /// This process lost the leadership of the settings group.
    LostLeadership,
    /// The lease duration in the settings changed.
    LeaseDurationChanged(Duration),
    /// An entry requests a lease.
    RenewalRequested(RenewalRequest),
    /// A majority confirmed the leadership after the round started.
    Confirmed(RoundNumber),
    /// The round was not confirmed; the entries repeat their requests.
    ConfirmationFailed(RoundNumber),
    /// An entry reports that it has installed a revision.
    Installed {
        /// Name of the entry.
        entry: ProcessName,
        /// Session id of the entry's process.
        session: u64,
        /// Settings revision installed on the entry.
        revision: SettingsRevision,
    },
    /// The link to an entry was lost.
    LinkLost(ProcessName),
    /// An entry is shutting down and no longer uses its settings.
    Left {
        /// Name of the entry.
        entry: ProcessName,
        /// Session id of the entry's process.
        session: u64,
    },
    /// A change was committed and is to be reported once it is in force.
    Committed {
        /// Number assigned by the control process.
        change: ChangeNumber,
        /// Settings revision that the change produced.
        revision: SettingsRevision,
    },
    /// Time has passed.
    Tick,
}

/// Output of the lease table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask a majority to confirm the leadership; the result is returned as
    /// [`LeaseEvent::Confirmed`] or [`LeaseEvent::ConfirmationFailed`].
    ConfirmLeadership(RoundNumber),
    /// Send a lease. The settings sent with it must include every change committed before the
    /// round and every change that this process has reported as in force.
    Grant {
        /// Granted request.
        request: RenewalRequest,
        /// Duration of the lease, counted from the time at which the entry sent its request.
        lease: Duration,
        /// Epoch of the list of live entries.
        epoch: EpochNumber,
        /// Entries with a valid lease.
        entries: Vec<LiveEntry>,
    },
    /// The change is in force on every entry.
    InForce(ChangeNumber),
    /// The change is committed, but this process does not lead and cannot tell when the change
    /// comes into force.
    Unconfirmed(ChangeNumber),
    /// The change is committed, but is not tracked, because too many changes are pending.
    Untracked(ChangeNumber),
}

impl LeaseTable {
    /// Creates an empty table with the given lease duration.
    pub fn new(lease_duration: Duration) -> Self {
        Self {
            lease_duration,
            prior_longer_lease: None,
            leadership: None,
            last_round: 0,
            entries: BTreeMap::new(),
            pending_changes: BTreeMap::new(),
        }
    }

    /// Handles one event and returns the resulting actions.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match event {
            LeaseEvent::BecameLeader { term } => self.start_leadership(now, term, &mut actions),
            LeaseEvent::LostLeadership => self.end_leadership(&mut actions),
            LeaseEvent::LeaseDurationChanged(duration) => self.set_lease_duration(now, duration),
            LeaseEvent::RenewalRequested(request) => self.queue_request(now, request, &mut actions),
            LeaseEvent::Confirmed(round) => self.grant_confirmed(now, round, &mut actions),
            LeaseEvent::ConfirmationFailed(round) => self.discard_failed_round(round),
            LeaseEvent::Installed { entry, session, revision } => {
                self.record_installed(&entry, session, revision);
            }
            LeaseEvent::LinkLost(entry) => {
                if let Some(lease) = self.entries.get_mut(&entry) {
                    lease.link_lost_at = Some(now);
                }
            }
            LeaseEvent::Left { entry, session } => self.remove_entry(&entry, session),
            LeaseEvent::Committed { change, revision } => {
                if self.leadership.is_none() {
                    actions.push(LeaseAction::Unconfirmed(change));
                } else if self.pending_changes.len() >= PENDING_CHANGE_LIMIT {
                    actions.push(LeaseAction::Untracked(change));
                } else {
                    self.pending_changes.insert(change, revision);
                }
            }
            LeaseEvent::Tick => (),
        }
        self.expire_leases(now);
        self.report_changes_in_force(now, &mut actions);
        actions
    }

    /// Returns the epoch of the list of live entries; 0 when this process does not lead.
    pub fn epoch(&self) -> EpochNumber {
        match &self.leadership {
            Some(leadership) => (leadership.term << 32) | u64::from(leadership.entry_list_changes),
            None => 0,
        }
    }

    /// Returns the entries with a valid lease.
    pub fn live_entries(&self) -> Vec<LiveEntry> {
        let mut entries = Vec::with_capacity(self.entries.len());
        for (name, lease) in &self.entries {
            entries.push(LiveEntry {
                name: name.clone(),
                session: lease.session,
                availability_zone: lease.availability_zone.clone(),
                suspect: lease.suspect,
            });
        }
        entries
    }

    /// Tells whether the list of live entries is complete: this process leads, and all leases
    /// granted by earlier leaders have expired.
    pub fn is_list_complete(&self, now: Instant) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| now >= leadership.prior_leases_expire_at)
    }

    /// Returns the settings revision installed on each entry with a valid lease.
    pub fn installed_revisions(&self) -> BTreeMap<ProcessName, SettingsRevision> {
        self.entries.iter().map(|(name, lease)| (name.clone(), lease.installed_revision)).collect()
    }

    fn start_leadership(&mut self, now: Instant, term: TermNumber, actions: &mut Vec<LeaseAction>) {
        self.end_leadership(actions);
        let mut prior_leases_expire_at = now + with_drift_allowance(self.lease_duration);
        // The previous leader may have granted a longer lease just before the duration changed.
        if let Some((prior_lease, expires_at)) = self.prior_longer_lease
            && now < expires_at
        {
            prior_leases_expire_at =
                prior_leases_expire_at.max(now + with_drift_allowance(prior_lease));
        }
        self.leadership = Some(Leadership {
            term,
            entry_list_changes: 0,
            running_round: None,
            prior_leases_expire_at,
            queued_requests: Vec::new(),
        });
    }

    fn set_lease_duration(&mut self, now: Instant, duration: Duration) {
        let mut longest = self.lease_duration;
        if let Some((prior_lease, expires_at)) = self.prior_longer_lease
            && now < expires_at
        {
            longest = longest.max(prior_lease);
        }
        self.prior_longer_lease =
            (longest > duration).then(|| (longest, now + with_drift_allowance(longest)));
        self.lease_duration = duration;
    }

    fn end_leadership(&mut self, actions: &mut Vec<LeaseAction>) {
        self.leadership = None;
        self.entries.clear();
        for change in std::mem::take(&mut self.pending_changes).into_keys() {
            actions.push(LeaseAction::Unconfirmed(change));
        }
    }

    fn queue_request(
        &mut self,
        now: Instant,
        request: RenewalRequest,
        actions: &mut Vec<LeaseAction>,
    ) {
        let is_known = self.entries.contains_key(&request.entry);
        let is_full = self.entries.len() >= ENTRY_LIMIT;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if is_full && !is_known {
            return;
        }
        // A confirmation covers only the requests that arrived before its round started, so
        // requests that arrive during a round join the next one. A repeated request does not
        // replace the one in the running round: if rounds took longer than the repeat interval, the
        // request would never be granted.
        let round = self.last_round + 1;
        let running = leadership.running_round.map(|(running, _)| running);
        leadership.queued_requests.retain(|queued| {
            Some(queued.round) == running || queued.request.entry != request.entry
        });
        leadership.queued_requests.push(QueuedRequest {
            round,
            lease_duration: self.lease_duration,
            request,
        });
        let is_running = leadership
            .running_round
            .is_some_and(|(_, started_at)| now < started_at + CONFIRMATION_TIMEOUT);
        if !is_running {
            self.start_round(now, actions);
        }
    }

    /// Starts a leadership confirmation that covers every request queued so far.
    fn start_round(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        self.last_round += 1;
        leadership.running_round = Some((self.last_round, now));
        actions.push(LeaseAction::ConfirmLeadership(self.last_round));
    }

    fn grant_confirmed(
        &mut self,
        now: Instant,
        round: RoundNumber,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut granted = Vec::new();
        leadership.queued_requests.retain(|queued| {
            if queued.round <= round {
                granted
                    .push((queued.lease_duration.min(self.lease_duration), queued.request.clone()));
            }
            queued.round > round
        });
        let is_running = leadership.running_round.is_some_and(|(running, _)| running > round);
        if !is_running {
            leadership.running_round = None;
            if !leadership.queued_requests.is_empty() {
                self.start_round(now, actions);
            }
        }
        for (lease, request) in &granted {
            self.record_grant(now, *lease, request);
        }
        for (lease, request) in granted {
            actions.push(LeaseAction::Grant {
                lease,
                epoch: self.epoch(),
                entries: self.live_entries(),
                request,
            });
        }
    }

    fn discard_failed_round(&mut self, round: RoundNumber) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.running_round.is_some_and(|(running, _)| running == round) {
            leadership.running_round = None;
            leadership.queued_requests.clear();
        }
    }

    fn record_grant(&mut self, now: Instant, lease: Duration, request: &RenewalRequest) {
        let is_direct = request.via == request.entry;
        let previous = self.entries.get(&request.entry);
        // The entry may still hold an earlier lease that ends later, for example when the duration
        // was reduced in between.
        let expires_at = now + with_drift_allowance(lease);
        let expires_at = previous.map_or(expires_at, |lease| lease.expires_at.max(expires_at));
        let is_unchanged = previous.is_some_and(|lease| {
            lease.session == request.session && (!lease.suspect || !is_direct)
        });
        // A relayed renewal extends the lease, but does not clear the suspicion: peers may still be
        // unable to reach the entry.
        let lease = EntryLease {
            session: request.session,
            availability_zone: request.availability_zone.clone(),
            installed_revision: request.installed_revision,
            expires_at,
            link_lost_at: previous.filter(|_| !is_direct).and_then(|lease| lease.link_lost_at),
            suspect: !is_direct && previous.is_some_and(|lease| lease.suspect),
        };
        self.entries.insert(request.entry.clone(), lease);
        if !is_unchanged {
            self.advance_epoch();
        }
    }

    fn record_installed(&mut self, entry: &str, session: u64, revision: SettingsRevision) {
        if let Some(lease) = self.entries.get_mut(entry)
            && lease.session == session
        {
            lease.installed_revision = lease.installed_revision.max(revision);
        }
    }

    fn remove_entry(&mut self, entry: &str, session: u64) {
        if self.entries.get(entry).is_some_and(|lease| lease.session == session) {
            self.entries.remove(entry);
            self.advance_epoch();
        }
    }

    fn expire_leases(&mut self, now: Instant) {
        let mut is_changed = false;
        self.entries.retain(|_, lease| {
            is_changed |= lease.expires_at <= now;
            lease.expires_at > now
        });
        for lease in self.entries.values_mut() {
            let is_unlinked =
                lease.link_lost_at.is_some_and(|lost_at| now >= lost_at + SUSPECT_DELAY);
            if is_unlinked && !lease.suspect {
                lease.suspect = true;
                is_changed = true;
            }
        }
        if is_changed {
            self.advance_epoch();
        }
    }

    fn report_changes_in_force(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        if now < leadership.prior_leases_expire_at {
            return;
        }
        let oldest_installed = self.entries.values().map(|lease| lease.installed_revision).min();
        let oldest_installed = oldest_installed.unwrap_or(SettingsRevision::MAX);
        self.pending_changes.retain(|change, revision| {
            if *revision <= oldest_installed {
                actions.push(LeaseAction::InForce(*change));
            }
            *revision > oldest_installed
        });
    }

    fn advance_epoch(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.entry_list_changes += 1;
        }
    }
}

/// Returns the duration of a lease plus the allowance for clock drift on the entry.
fn with_drift_allowance(lease: Duration) -> Duration {
    lease * (100 + CLOCK_DRIFT_PERCENT) / 100
}
