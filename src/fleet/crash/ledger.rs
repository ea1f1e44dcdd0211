//! Evidence against requests: counts the crashes under each and decides on quarantine.

mod rivals;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use super::CrashReport;
use crate::fleet::announcement::IncarnationStart;
use crate::ids::{RequestDigest, ServerId};

/// Counted crashes that put a request into quarantine. A crash ends every request that the server was
/// running, so one or two are no proof.
pub const CONVICTION_CRASHES: usize = 3;

/// The same for a request that a server has completed since an earlier crash: it ran beside the cause.
pub const CLEARED_CONVICTION_CRASHES: usize = 6;

/// Time for which a counted crash is evidence.
pub const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);

/// Time after a release in which one crash puts the request back into quarantine.
pub const PROBATION_LIFETIME: Duration = Duration::from_secs(60);

/// Maximum number of suspects; the one whose last counted crash is oldest goes first.
pub const MAX_SUSPECTS: usize = 4096;

/// Maximum number of requests on probation; the oldest goes first. It covers a full quarantine that is
/// released at once.
const MAX_PROBATIONS: usize = 1024;

/// Maximum number of incarnations that are remembered for one suspect: a failing rack takes several
/// servers that ran the same request.
const MAX_INCARNATIONS: usize = 16;

/// Tolerance when the start of a send is compared with an earlier crash, because both times are
/// estimated from the arrival of reports that travel for different times.
const START_TOLERANCE: Duration = Duration::from_millis(20);

/// Time in which at most two crashes count against a request: the send of an entry and its retry. The
/// servers of a failing rack end one after the other, and a request that is resent at once can meet
/// several of them.
const BURST_WINDOW: Duration = Duration::from_millis(50);

/// Time in which crashes of several servers can have one cause: the time in which a rack fails, and the
/// differences between the delays of reports.
pub(super) const RACK_WINDOW: Duration = Duration::from_millis(40);

/// Time between two crashes from which they are separate, whenever their sends began. It is several times
/// [`RACK_WINDOW`] and covers a report that waits behind long responses on a slow line. Without it, copies
/// that run longer than the pause between them would count once for each run.
const SEPARATION_TIME: Duration = Duration::from_millis(250);

/// Maximum number of crashes that are remembered as explained; the oldest goes first.
const MAX_EXPLAINED: usize = 256;

/// Server and its start time.
type Incarnation = (ServerId, IncarnationStart);

/// What one report changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashFinding {
    /// The crash counts; the request is a suspect.
    Suspected { crashes: usize },
    /// The crash counts, and the request belongs into quarantine.
    Convicted,
    /// This crash is counted already.
    Repeated,
    /// The crash does not count: it came shortly after the last counted crash of the request and its send
    /// began before that one, or two crashes count shortly before this one, so the servers may have failed
    /// together; a convicted request explains it; or it is too old to be evidence.
    Concurrent,
}

/// Crash of one incarnation. It is remembered while it can be reported again.
#[derive(Debug, Clone, Copy)]
struct CrashEvidence {
    sent_at: Instant,
    crashed_at: Instant,
    /// Time at which the crash became known here.
    recorded_at: Instant,
    state: EvidenceState,
    /// Whether it counts against the request.
    counts: bool,
}

impl CrashEvidence {
    /// Whether the reports of others about this crash have arrived.
    fn is_complete(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.recorded_at) >= RACK_WINDOW
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EvidenceState {
    Open,
    /// A server has completed the request since.
    Cleared,
    /// A convicted request explains the crash.
    Explained,
}

/// Evidence against one request.
#[derive(Debug, Clone)]
pub struct SuspectRecord {
    crashes: BTreeMap<Incarnation, CrashEvidence>,
    /// Time of the last counted crash. It stays when a success clears the request.
    last_crash: Instant,
    /// Whether a success has cleared the request since the record began.
    was_cleared: bool,
    is_convicted: bool,
}

impl SuspectRecord {
    /// Incarnations whose crashes count.
    pub fn incarnations(&self) -> impl Iterator<Item = (&ServerId, IncarnationStart)> {
        let counted = self.crashes.iter().filter(|(_, evidence)| evidence.counts);
        counted.map(|((server, started), _)| (server, *started))
    }

    /// Number of crashes that count.
    pub fn count(&self) -> usize {
        self.incarnations().count()
    }

    /// Whether the request ran on this incarnation when it crashed, and nothing else explains the crash.
    fn is_open(&self, incarnation: &Incarnation) -> bool {
        let evidence = self.crashes.get(incarnation);
        evidence.is_some_and(|evidence| evidence.state == EvidenceState::Open)
    }

    /// Incarnations on which the request ran when they crashed, if nothing else explains that.
    fn open_incarnations(&self) -> impl Iterator<Item = &Incarnation> {
        let open = self.crashes.iter();
        let open = open.filter(|(_, evidence)| evidence.state == EvidenceState::Open);
        open.map(|(incarnation, _)| incarnation)
    }

    /// Whether the reports of others about all counted crashes have arrived.
    fn is_complete(&self, now: Instant) -> bool {
        self.crashes.values().all(|evidence| !evidence.counts || evidence.is_complete(now))
    }

    fn conviction_limit(&self) -> usize {
        if self.was_cleared { CLEARED_CONVICTION_CRASHES } else { CONVICTION_CRASHES }
    }

    /// Decides which crashes count, in the order of the crashes: late reports arrive in any order.
    fn recount(&mut self, is_local: bool) {
        let mut ordered: Vec<_> = self
            .crashes
            .values_mut()
            .filter(|evidence| evidence.state != EvidenceState::Explained)
            .collect();
        ordered.sort_by_key(|evidence| evidence.crashed_at);
        let mut last: Option<CrashEvidence> = None;
        let mut before_last: Option<Instant> = None;
        for evidence in ordered {
            let is_burst =
                before_last.is_some_and(|earlier| evidence.crashed_at < earlier + BURST_WINDOW);
            let is_concurrent = last.is_some_and(|last| {
                // A send that began after the last crash was known is a new attempt, however soon it came.
                let is_new_attempt = is_local && evidence.sent_at >= last.recorded_at;
                let overlaps = evidence.sent_at + START_TOLERANCE < last.crashed_at
                    && evidence.crashed_at < last.crashed_at + SEPARATION_TIME;
                overlaps || (is_burst && !is_new_attempt)
            });
            evidence.counts = evidence.state == EvidenceState::Open && !is_concurrent;
            if is_concurrent {
                continue;
            }
            before_last = last.map(|last| last.crashed_at);
            last = Some(*evidence);
        }
    }

    fn insert(&mut self, incarnation: Incarnation, evidence: CrashEvidence) {
        if self.crashes.len() >= MAX_INCARNATIONS {
            let crashes = self.crashes.iter();
            let oldest = crashes.min_by_key(|(_, evidence)| (evidence.counts, evidence.crashed_at));
            let oldest = oldest.map(|(incarnation, _)| incarnation.clone());
            oldest.and_then(|incarnation| self.crashes.remove(&incarnation));
        }
        self.crashes.insert(incarnation, evidence);
    }

    /// Removes evidence that is too old; returns whether the record is still needed.
    fn expire(&mut self, now: Instant) -> bool {
        self.crashes.retain(|_, evidence| now < evidence.crashed_at + EVIDENCE_LIFETIME);
        now.saturating_duration_since(self.last_crash) < EVIDENCE_LIFETIME
    }
}

/// Evidence against all requests. Sizes are bounded by [`MAX_SUSPECTS`].
#[derive(Debug, Default)]
pub struct CrashLedger {
    records: BTreeMap<RequestDigest, SuspectRecord>,
    /// Released requests, with the end of their probation.
    probations: BTreeMap<RequestDigest, Instant>,
    /// Incarnations that crashed under convicted requests: no evidence against others.
    explained: VecDeque<Incarnation>,
    /// Whether all reports are about sends of this process, so that their times are exact.
    is_local: bool,
}

impl CrashLedger {
    /// Creates the ledger of an entry, which records its own sends only.
    pub fn of_entry() -> Self {
        Self { is_local: true, ..Self::default() }
    }

    /// Records a report that arrived at `now` and convicts the request once enough crashes count.
    pub fn record_crash(&mut self, now: Instant, report: &CrashReport) -> CrashFinding {
        let finding = self.add_crash(now, report);
        let is_counted = matches!(finding, CrashFinding::Suspected { .. });
        if !is_counted || !self.is_due(now, report.digest) {
            return finding;
        }
        self.convict(report.digest);
        CrashFinding::Convicted
    }

    /// Records a report that arrived at `now` without a conviction.
    pub fn add_crash(&mut self, now: Instant, report: &CrashReport) -> CrashFinding {
        let digest = report.digest;
        let crashed_at = now.checked_sub(report.age).unwrap_or(now);
        let sent_at = crashed_at.checked_sub(report.ran_for).unwrap_or(crashed_at);
        if report.age >= EVIDENCE_LIFETIME {
            return CrashFinding::Concurrent;
        }
        let incarnation = (report.server.clone(), report.started);
        let is_explained = self.explained.contains(&incarnation);
        if let Some(record) = self.records.get_mut(&digest) {
            record.expire(now);
            if record.crashes.contains_key(&incarnation) {
                return CrashFinding::Repeated;
            }
        } else if is_explained {
            return CrashFinding::Concurrent;
        } else if self.records.len() >= MAX_SUSPECTS {
            self.remove_oldest();
        }
        let record = self.records.entry(digest).or_insert_with(|| SuspectRecord {
            crashes: BTreeMap::new(),
            last_crash: crashed_at,
            was_cleared: false,
            is_convicted: false,
        });
        let state = match is_explained && !record.is_convicted {
            true => EvidenceState::Explained,
            false => EvidenceState::Open,
        };
        let evidence =
            CrashEvidence { sent_at, crashed_at, recorded_at: now, state, counts: false };
        record.insert(incarnation.clone(), evidence);
        record.recount(self.is_local);
        if !record.crashes[&incarnation].counts {
            return CrashFinding::Concurrent;
        }
        record.last_crash = record.last_crash.max(crashed_at);
        CrashFinding::Suspected { crashes: record.count() }
    }

    /// Whether enough crashes count to convict the request.
    pub fn is_due(&self, now: Instant, digest: RequestDigest) -> bool {
        self.records
            .get(&digest)
            .is_some_and(|record| record.count() >= self.limit(now, digest, record))
    }

    fn limit(&self, now: Instant, digest: RequestDigest, record: &SuspectRecord) -> usize {
        let on_probation = self.probations.get(&digest).is_some_and(|until| now < *until);
        if on_probation { 1 } else { record.conviction_limit() }
    }

    /// Whether the evidence convicts the request at once: other causes are known for few of its crashes, or
    /// it has so many that a longer wait would cost more servers than are allowed.
    pub fn is_separated(&self, now: Instant, digest: RequestDigest) -> bool {
        let Some(record) = self.records.get(&digest) else { return false };
        let (limit, count) = (self.limit(now, digest, record), record.count());
        let is_explained = self.is_explained(now, digest);
        if count > limit + 1 {
            return !is_explained || record.is_complete(now);
        }
        let clear = self.clear_crashes(now, digest);
        !is_explained && (clear >= limit || count > limit && clear + 1 >= limit)
    }

    /// Whether the evidence convicts a request that no server has completed during its settling time.
    pub fn is_settled(&self, now: Instant, digest: RequestDigest) -> bool {
        let Some(record) = self.records.get(&digest) else { return false };
        let limit = self.limit(now, digest, record);
        record.count() >= limit
            && self.clear_crashes(now, digest) + 1 >= limit
            && !self.is_explained(now, digest)
    }

    /// Whether the request has so many counted crashes that somebody is convicted in any case.
    pub fn is_overdue(&self, now: Instant, digest: RequestDigest) -> bool {
        let record = self.records.get(&digest);
        record.is_some_and(|record| record.count() > self.limit(now, digest, record) + 1)
    }

    /// Whether another suspect ran on every server that counts against this one. It explains all of these
    /// crashes as well, also those that do not count against it: copies that run side by side, and a send
    /// that began before its last counted crash. The next crash or success tells the two apart.
    fn is_covered(&self, now: Instant, digest: RequestDigest) -> bool {
        let Some(record) = self.records.get(&digest) else { return false };
        if self.limit(now, digest, record) == 1 {
            // The request was convicted before.
            return false;
        }
        let known = record.crashes.iter();
        let known = known.filter(|(_, evidence)| evidence.counts && evidence.is_complete(now));
        let known: Vec<_> = known.map(|(incarnation, _)| incarnation).collect();
        self.records.iter().any(|(other, other_record)| {
            *other != digest
                && !other_record.is_convicted
                && known.iter().all(|incarnation| other_record.is_open(incarnation))
        })
    }

    /// Number of counted crashes for which no other cause is known: no other suspect with as many crashes
    /// ran there, and no server without the request crashed at the same time.
    pub fn clear_crashes(&self, now: Instant, digest: RequestDigest) -> usize {
        let Some(record) = self.records.get(&digest) else { return 0 };
        let count = record.count();
        let mut clear: BTreeMap<_, _> = record
            .crashes
            .iter()
            .filter(|(_, evidence)| evidence.counts)
            .map(|(incarnation, evidence)| (incarnation, evidence.crashed_at))
            .collect();
        let Some(first) = clear.values().min().copied() else { return 0 };
        // Reports of others about the newest crash may still be on their way.
        let newest = record.crashes.iter();
        let newest = newest.filter(|(_, evidence)| evidence.counts && !evidence.is_complete(now));
        let newest = newest.max_by_key(|(_, evidence)| evidence.crashed_at);
        let newest = newest.map(|(incarnation, _)| incarnation);
        for (other, other_record) in &self.records {
            if *other == digest || other_record.last_crash + RACK_WINDOW < first {
                continue;
            }
            let may_gain = newest.is_some_and(|newest| !other_record.crashes.contains_key(newest));
            let strength = other_record.count() + usize::from(may_gain);
            let is_as_strong = !other_record.is_convicted && strength >= count;
            for (incarnation, evidence) in &other_record.crashes {
                if is_as_strong && evidence.counts {
                    clear.remove(incarnation);
                }
                if record.crashes.contains_key(incarnation) || self.explained.contains(incarnation)
                {
                    continue;
                }
                clear.retain(|_, crashed_at| {
                    let later = evidence.crashed_at.max(*crashed_at);
                    let earlier = evidence.crashed_at.min(*crashed_at);
                    later.duration_since(earlier) >= RACK_WINDOW
                });
            }
        }
        clear.len()
    }

    /// Convicts a request: its crashes no longer count against others.
    pub fn convict(&mut self, digest: RequestDigest) {
        let Some(record) = self.records.get_mut(&digest) else { return };
        record.is_convicted = true;
        for (server, started) in self.crashed_servers(digest) {
            self.explain(digest, server, started);
        }
    }

    /// Records that an incarnation crashed under a convicted request: the crash no longer counts against
    /// requests that ran beside it.
    pub fn explain(&mut self, digest: RequestDigest, server: ServerId, started: IncarnationStart) {
        let incarnation = (server, started);
        if self.explained.contains(&incarnation) {
            return;
        }
        for (other, record) in &mut self.records {
            if *other == digest || record.is_convicted {
                continue;
            }
            if let Some(evidence) = record.crashes.get_mut(&incarnation) {
                evidence.state = EvidenceState::Explained;
                evidence.counts = false;
            }
        }
        if self.explained.len() >= MAX_EXPLAINED {
            self.explained.pop_front();
        }
        self.explained.push_back(incarnation);
    }

    /// Records that a server completed the request; returns whether it was a suspect or on probation.
    pub fn record_served(&mut self, digest: RequestDigest) -> bool {
        let was_on_probation = self.probations.remove(&digest).is_some();
        let Some(record) = self.records.get_mut(&digest) else { return was_on_probation };
        let crashes = record.count();
        // Control has the last word on a conviction; an entry only holds the request until then.
        if record.is_convicted && !self.is_local {
            return was_on_probation;
        }
        record.is_convicted = false;
        record.was_cleared |= crashes > 0;
        for evidence in record.crashes.values_mut() {
            if evidence.state == EvidenceState::Open {
                evidence.state = EvidenceState::Cleared;
            }
            evidence.counts = false;
        }
        crashes > 0 || was_on_probation
    }

    /// Number of crashes that count against the request.
    pub fn counted_crashes(&self, digest: RequestDigest) -> usize {
        self.records.get(&digest).map_or(0, SuspectRecord::count)
    }

    /// Time until which the next crash under the request would belong to a burst and not count.
    pub fn burst_end(&self, digest: RequestDigest) -> Option<Instant> {
        let crashes = self.records.get(&digest)?.crashes.values();
        let counted = crashes.filter(|evidence| evidence.counts);
        let mut crash_times: Vec<_> = counted.map(|evidence| evidence.crashed_at).collect();
        crash_times.sort_unstable();
        let before_last = crash_times.iter().rev().nth(1)?;
        Some(*before_last + BURST_WINDOW)
    }

    /// Incarnations that crashed under the request and count.
    pub fn crashed_servers(&self, digest: RequestDigest) -> Vec<Incarnation> {
        let Some(record) = self.records.get(&digest) else { return Vec::new() };
        record.incarnations().map(|(server, started)| (server.clone(), started)).collect()
    }

    /// Starts the probation of a released request; earlier evidence against it is dropped.
    pub fn set_probation(&mut self, now: Instant, digest: RequestDigest) {
        self.records.remove(&digest);
        self.probations.insert(digest, now + PROBATION_LIFETIME);
        if self.probations.len() > MAX_PROBATIONS {
            let oldest = self.probations.iter().min_by_key(|(_, until)| **until);
            let oldest = oldest.map(|(digest, _)| *digest);
            oldest.and_then(|digest| self.probations.remove(&digest));
        }
    }

    /// Drops all evidence against a request.
    pub fn remove(&mut self, digest: RequestDigest) {
        self.records.remove(&digest);
        self.probations.remove(&digest);
    }

    /// Removes evidence that is too old.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, record| record.expire(now));
        self.probations.retain(|_, until| now < *until);
    }

    /// Requests with at least one counted crash.
    pub fn suspects(&self) -> impl Iterator<Item = (RequestDigest, &SuspectRecord)> {
        let records = self.records.iter().filter(|(_, record)| record.count() > 0);
        records.map(|(digest, record)| (*digest, record))
    }

    /// Number of suspects, including those that a success has cleared in the last minute.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn remove_oldest(&mut self) {
        let oldest = self.records.iter().min_by_key(|(_, record)| record.last_crash);
        let oldest = oldest.map(|(digest, _)| *digest);
        oldest.and_then(|digest| self.records.remove(&digest));
    }
}
