//! Settings leases of entries, as seen by the control leader.
//!
//! A settings change is in force everywhere once each entry that may still use older settings has
//! installed it or has lost its lease. The table also yields the list of live entries, whose
//! revision is the epoch of credit accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{EpochNumber, ProcessName, SettingsRevision, TermNumber, ZoneName};
use crate::link::LiveEntry;

/// Clock drift in percent that is added to each lease on the leader's side.
const DRIFT_PERCENT: u32 = 10;

/// Time after a lost link at which an entry stops being a candidate for credit accounts.
const SUSPECT_DELAY: Duration = Duration::from_millis(300);

/// Time after which a leadership confirmation without an answer no longer holds up the next one.
const ROUND_TIMEOUT: Duration = Duration::from_secs(1);

/// Entries that the table holds; requests of further ones are ignored.
const ENTRY_LIMIT: usize = 4096;

/// Changes that may wait for confirmation at once.
const CHANGE_LIMIT: usize = 1024;

/// Number that the control process gives to a waiting change.
pub type ChangeNumber = u64;

/// Number of one leadership confirmation.
pub type RoundNumber = u64;

/// Leases granted by this process while it leads.
#[derive(Debug)]
pub struct LeaseTable {
    lease: Duration,
    /// Longer duration before the last change, and when the leases granted with it have run out.
    earlier: Option<(Duration, Instant)>,
    leadership: Option<Leadership>,
    /// Last round started. It never starts again, because a late answer of an earlier leadership
    /// must not confirm a round of this one.
    round: RoundNumber,
    entries: BTreeMap<ProcessName, EntryLease>,
    waiting: BTreeMap<ChangeNumber, SettingsRevision>,
}

#[derive(Debug)]
struct Leadership {
    term: TermNumber,
    changes: u32,
    /// Round that waits for its answer, and when it started.
    open_round: Option<(RoundNumber, Instant)>,
    /// Leases of an earlier leader, unknown to this one, have run out by then.
    unknown_until: Instant,
    /// Requests that wait for a confirmation, by round.
    queued: Vec<QueuedRequest>,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    round: RoundNumber,
    /// Lease duration when the request arrived. A longer one that was set since counts from the
    /// next request on, because a later leader may not have waited for it.
    lease: Duration,
    request: RenewalRequest,
}

/// Request of an entry for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewalRequest {
    /// Entry that wants the lease.
    pub entry: ProcessName,
    /// Peer through which the request came; equal to `entry` when it came directly.
    pub via: ProcessName,
    /// Random id of the entry's process start.
    pub session: u64,
    /// Availability zone of the entry.
    pub availability_zone: ZoneName,
    /// Revision that the entry has installed.
    pub installed: SettingsRevision,
    /// Epoch of the list of live entries that the entry knows.
    pub epoch: EpochNumber,
    /// Echoed in the grant.
    pub nonce: u64,
}

#[derive(Clone, Debug)]
struct EntryLease {
    session: u64,
    availability_zone: ZoneName,
    installed: SettingsRevision,
    expires: Instant,
    link_lost: Option<Instant>,
    suspect: bool,
}

/// Input of the table.
#[derive(Clone, Debug)]
pub enum LeaseEvent {
    /// This process became leader of the settings group.
    Leading {
        /// New term.
        term: TermNumber,
    },
    /// This process is no longer leader.
    Deposed,
    /// The lease duration in the settings changed.
    LeaseChanged(Duration),
    /// An entry asks for a lease.
    Requested(RenewalRequest),
    /// A majority confirmed this leader after the round was started.
    Confirmed(RoundNumber),
    /// The round could not be confirmed; the entries will ask again.
    ConfirmFailed(RoundNumber),
    /// An entry reports that it installed a revision.
    Installed {
        /// Name of the entry.
        entry: ProcessName,
        /// Its process start.
        session: u64,
        /// Revision in force there.
        revision: SettingsRevision,
    },
    /// The link to an entry was lost.
    LinkLost(ProcessName),
    /// An entry stops and uses its settings no longer.
    Left {
        /// Name of the entry.
        entry: ProcessName,
        /// Its process start.
        session: u64,
    },
    /// A change was committed and waits until it is in force.
    Committed {
        /// Number given by the control process.
        change: ChangeNumber,
        /// Revision of the change.
        revision: SettingsRevision,
    },
    /// Time has passed.
    Tick,
}

/// Output of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Ask a majority to confirm this leader; answer with [`LeaseEvent::Confirmed`].
    Confirm(RoundNumber),
    /// Send a lease. The settings sent along must include everything committed before the round,
    /// and every change that this process has reported in force until now.
    Grant {
        /// Request that is granted.
        request: RenewalRequest,
        /// Duration from the moment the entry sent its request.
        lease: Duration,
        /// Epoch of the list.
        epoch: EpochNumber,
        /// Live entries.
        entries: Vec<LiveEntry>,
    },
    /// The change is in force everywhere.
    InForce(ChangeNumber),
    /// The change is committed, but this process no longer knows when it is in force.
    Unconfirmed(ChangeNumber),
    /// Too many changes wait; the change is committed, but is not tracked.
    Untracked(ChangeNumber),
}

impl LeaseTable {
    /// Creates a table with the given lease duration.
    pub fn new(lease: Duration) -> Self {
        Self {
            lease,
            earlier: None,
            leadership: None,
            round: 0,
            entries: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Processes one event.
    pub fn handle(&mut self, now: Instant, event: LeaseEvent) -> Vec<LeaseAction> {
        let mut actions = Vec::new();
        match event {
            LeaseEvent::Leading { term } => self.lead(now, term, &mut actions),
            LeaseEvent::Deposed => self.depose(&mut actions),
            LeaseEvent::LeaseChanged(lease) => self.change_lease(now, lease),
            LeaseEvent::Requested(request) => self.request(now, request, &mut actions),
            LeaseEvent::Confirmed(round) => self.confirmed(now, round, &mut actions),
            LeaseEvent::ConfirmFailed(round) => self.confirm_failed(round),
            LeaseEvent::Installed { entry, session, revision } => {
                self.installed(&entry, session, revision);
            }
            LeaseEvent::LinkLost(entry) => {
                if let Some(lease) = self.entries.get_mut(&entry) {
                    lease.link_lost = Some(now);
                }
            }
            LeaseEvent::Left { entry, session } => self.left(&entry, session),
            LeaseEvent::Committed { change, revision } => {
                if self.leadership.is_none() {
                    actions.push(LeaseAction::Unconfirmed(change));
                } else if self.waiting.len() >= CHANGE_LIMIT {
                    actions.push(LeaseAction::Untracked(change));
                } else {
                    self.waiting.insert(change, revision);
                }
            }
            LeaseEvent::Tick => (),
        }
        self.expire(now);
        self.complete(now, &mut actions);
        actions
    }

    /// Epoch of the current list; 0 when this process does not lead.
    pub fn epoch(&self) -> EpochNumber {
        match &self.leadership {
            Some(leadership) => (leadership.term << 32) | u64::from(leadership.changes),
            None => 0,
        }
    }

    /// Entries with a live lease.
    pub fn live_entries(&self) -> Vec<LiveEntry> {
        let mut live = Vec::with_capacity(self.entries.len());
        for (name, lease) in &self.entries {
            live.push(LiveEntry {
                name: name.clone(),
                session: lease.session,
                availability_zone: lease.availability_zone.clone(),
                suspect: lease.suspect,
            });
        }
        live
    }

    /// Whether leases of an earlier leader have run out, so that the list is complete.
    pub fn knows_all(&self, now: Instant) -> bool {
        self.leadership.as_ref().is_some_and(|leadership| now >= leadership.unknown_until)
    }

    /// Revision in force on each entry with a live lease.
    pub fn installed_revisions(&self) -> BTreeMap<ProcessName, SettingsRevision> {
        self.entries.iter().map(|(name, lease)| (name.clone(), lease.installed)).collect()
    }

    fn lead(&mut self, now: Instant, term: TermNumber, actions: &mut Vec<LeaseAction>) {
        self.depose(actions);
        let mut unknown_until = now + guarded(self.lease);
        // The earlier leader may have granted a longer lease just before the duration changed.
        if let Some((lease, until)) = self.earlier
            && now < until
        {
            unknown_until = unknown_until.max(now + guarded(lease));
        }
        self.leadership = Some(Leadership {
            term,
            changes: 0,
            open_round: None,
            unknown_until,
            queued: Vec::new(),
        });
    }

    fn change_lease(&mut self, now: Instant, lease: Duration) {
        let mut longest = self.lease;
        if let Some((earlier, until)) = self.earlier
            && now < until
        {
            longest = longest.max(earlier);
        }
        self.earlier = (longest > lease).then(|| (longest, now + guarded(longest)));
        self.lease = lease;
    }

    fn depose(&mut self, actions: &mut Vec<LeaseAction>) {
        self.leadership = None;
        self.entries.clear();
        for change in std::mem::take(&mut self.waiting).into_keys() {
            actions.push(LeaseAction::Unconfirmed(change));
        }
    }

    fn request(&mut self, now: Instant, request: RenewalRequest, actions: &mut Vec<LeaseAction>) {
        let known = self.entries.contains_key(&request.entry);
        let full = self.entries.len() >= ENTRY_LIMIT;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if full && !known {
            return;
        }
        // A confirmation only counts for what was asked before it started, so requests that arrive
        // meanwhile join the next round. A repeated request does not replace the one in the running
        // round: when rounds take longer than repeats, it would never be granted.
        let round = self.round + 1;
        let running = leadership.open_round.map(|(open, _)| open);
        leadership.queued.retain(|queued| {
            Some(queued.round) == running || queued.request.entry != request.entry
        });
        leadership.queued.push(QueuedRequest { round, lease: self.lease, request });
        let is_open =
            leadership.open_round.is_some_and(|(_, started)| now < started + ROUND_TIMEOUT);
        if !is_open {
            self.start_round(now, actions);
        }
    }

    /// Asks for a confirmation that counts for every request queued so far.
    fn start_round(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        self.round += 1;
        leadership.open_round = Some((self.round, now));
        actions.push(LeaseAction::Confirm(self.round));
    }

    fn confirmed(&mut self, now: Instant, round: RoundNumber, actions: &mut Vec<LeaseAction>) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let mut granted = Vec::new();
        leadership.queued.retain(|queued| {
            if queued.round <= round {
                granted.push((queued.lease.min(self.lease), queued.request.clone()));
            }
            queued.round > round
        });
        let is_open = leadership.open_round.is_some_and(|(open, _)| open > round);
        if !is_open {
            leadership.open_round = None;
            if !leadership.queued.is_empty() {
                self.start_round(now, actions);
            }
        }
        for (lease, request) in &granted {
            self.record(now, *lease, request);
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

    fn confirm_failed(&mut self, round: RoundNumber) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        if leadership.open_round.is_some_and(|(open, _)| open == round) {
            leadership.open_round = None;
            leadership.queued.clear();
        }
    }

    fn record(&mut self, now: Instant, lease: Duration, request: &RenewalRequest) {
        let direct = request.via == request.entry;
        let previous = self.entries.get(&request.entry);
        // The entry keeps the later end of two leases, for example when the duration was reduced.
        let expires = now + guarded(lease);
        let expires = previous.map_or(expires, |lease| lease.expires.max(expires));
        let same = previous
            .is_some_and(|lease| lease.session == request.session && (!lease.suspect || !direct));
        // A relayed renewal keeps the lease alive, but peers may still be unable to reach the entry.
        let lease = EntryLease {
            session: request.session,
            availability_zone: request.availability_zone.clone(),
            installed: request.installed,
            expires,
            link_lost: previous.filter(|_| !direct).and_then(|lease| lease.link_lost),
            suspect: !direct && previous.is_some_and(|lease| lease.suspect),
        };
        self.entries.insert(request.entry.clone(), lease);
        if !same {
            self.bump_epoch();
        }
    }

    fn installed(&mut self, entry: &str, session: u64, revision: SettingsRevision) {
        if let Some(lease) = self.entries.get_mut(entry)
            && lease.session == session
        {
            lease.installed = lease.installed.max(revision);
        }
    }

    fn left(&mut self, entry: &str, session: u64) {
        if self.entries.get(entry).is_some_and(|lease| lease.session == session) {
            self.entries.remove(entry);
            self.bump_epoch();
        }
    }

    fn expire(&mut self, now: Instant) {
        let mut changed = false;
        self.entries.retain(|_, lease| {
            changed |= lease.expires <= now;
            lease.expires > now
        });
        for lease in self.entries.values_mut() {
            let lost = lease.link_lost.is_some_and(|lost| now >= lost + SUSPECT_DELAY);
            if lost && !lease.suspect {
                lease.suspect = true;
                changed = true;
            }
        }
        if changed {
            self.bump_epoch();
        }
    }

    fn complete(&mut self, now: Instant, actions: &mut Vec<LeaseAction>) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        if now < leadership.unknown_until {
            return;
        }
        let oldest = self.entries.values().map(|lease| lease.installed).min();
        let oldest = oldest.unwrap_or(SettingsRevision::MAX);
        self.waiting.retain(|change, revision| {
            if *revision <= oldest {
                actions.push(LeaseAction::InForce(*change));
            }
            *revision > oldest
        });
    }

    fn bump_epoch(&mut self) {
        if let Some(leadership) = &mut self.leadership {
            leadership.changes += 1;
        }
    }
}

/// Duration that the leader assumes for a lease, with the margin for clock drift.
fn guarded(lease: Duration) -> Duration {
    lease * (100 + DRIFT_PERCENT) / 100
}
