//! Replicated state machine of one claim group.
//!
//! All replicas apply the same commands in the same order and reach the same state. The store takes
//! the time only from the commands, and its clock never moves backwards.
//!
//! Transitions of an existing claim; the holder is the session that was granted the claim:
//!
//! | state | command | result | reason |
//! |---|---|---|---|
//! | any | `Open`, other digest | `Mismatch` | the key belongs to another request |
//! | running | `Open`, same holder and attempt | the same `Granted` | the first reply was lost; the entry still waits for the grant, so it has not sent the request |
//! | running | `Open`, any other | `Running` | a second grant could run the request twice |
//! | done, unknown | `Open`, also same attempt | `Done`, `Unknown` | a settled claim is never granted again |
//! | any | `Settle`, other number | `NoClaim` | the numbered claim was released or dropped |
//! | any | `Settle`, not the holder | `NotHolder` | only the holder knows whether it sent any byte |
//! | running | `Settle` done | done | the answer is known |
//! | running | `Settle` unknown | unknown | bytes were sent and no response arrived |
//! | running | `Settle` not run | released | nothing ran, so a retry may run under a new number |
//! | running | `ExpireHolder` | unknown | the holder may have sent bytes |
//! | unknown | `Settle` done | done | the holder received the answer after all, which no earlier report contradicts |
//! | unknown | `Settle` unknown | unchanged | the command was resent |
//! | unknown | `Settle` not run | `AlreadyUnknown` | a duplicate may have been told "unknown", which only a known answer may replace |
//! | done | `Settle` done | unchanged, `Settled` if equal, else `AlreadyDone` | a final answer never changes |
//! | done | `Settle` unknown, not run | `AlreadyDone` | a final answer never changes |
//! | running | `Expire` | unchanged | without the claim the request could run a second time |
//! | done, unknown | `Expire` past retention | dropped | the retention period promised to the caller is over |

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, ClaimView, HolderSession,
    OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, SettledAs, StoredAnswer,
};
use crate::ids::{ClaimNumber, ProcessName, ServiceName, TeamName};

/// Bytes charged to `ClaimLimits::record_bytes` for one claim without its answer.
///
/// `examples/claim_cost.rs` measures 291 bytes of resident memory per claim at 1,000,000 claims
/// with shared names; the rest is a reserve for services and holders that have few claims each.
pub const RECORD_BYTES: u64 = 512;

/// Longest accepted name or idempotency key, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// Most claims that one `Expire` drops, so that a single command can't stall the log.
pub const MAX_EXPIRED_PER_COMMAND: u64 = 10_000;

/// Most entries whose highest ended session is remembered.
pub const MAX_ENDED_SESSIONS: usize = 4_096;

/// Map key of a claim: the hash of its team, service and idempotency key.
pub(super) type ClaimIdentity = [u8; 32];

/// Size limits of a group. They are part of the replicated state because all replicas must refuse
/// the same commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Limit of all claims without their answers, in bytes; each claim counts `RECORD_BYTES`.
    pub record_bytes: u64,
    /// Limit of all stored answers, in bytes. An answer that exceeds it isn't stored, and the claim
    /// is done without an answer.
    pub answer_bytes: u64,
    /// Limit of one service's stored answers, in bytes, so that no service can use up the space of
    /// other teams' services.
    pub service_answer_bytes: u64,
    /// Limit of a single stored answer, in bytes.
    pub answer_limit: u64,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            record_bytes: 64 << 20,
            answer_bytes: 64 << 20,
            service_answer_bytes: 16 << 20,
            answer_limit: 64 << 10,
        }
    }
}

/// A service, qualified by its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct ServiceScope {
    pub(super) team: TeamName,
    pub(super) service: ServiceName,
}

/// Resources of the group that one service uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceUsage {
    claims: u64,
    answer_bytes: u64,
}

/// Claims that one session holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HolderUsage {
    claims: u64,
    running: BTreeMap<ClaimNumber, ClaimIdentity>,
}

/// Highest ended session of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EndedSession {
    session: u64,
    ended_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum ClaimState {
    Running,
    Done { answer: Option<Box<StoredAnswer>>, expires_ms: u64 },
    Unknown { expires_ms: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClaimRecord {
    pub(super) number: ClaimNumber,
    pub(super) digest: [u8; 32],
    pub(super) attempt: u64,
    pub(super) retention_ms: u64,
    pub(super) service: Arc<ServiceScope>,
    pub(super) holder: Arc<HolderSession>,
    pub(super) state: ClaimState,
}

/// Claims of one group, with indexes by expiry time, service and holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimStore {
    pub(super) limits: ClaimLimits,
    pub(super) now_ms: u64,
    pub(super) next_number: ClaimNumber,
    pub(super) claims: BTreeMap<ClaimIdentity, ClaimRecord>,
    pub(super) ended: BTreeMap<ProcessName, EndedSession>,
    claims_by_expiry: BTreeMap<(u64, ClaimNumber), ClaimIdentity>,
    services: BTreeMap<Arc<ServiceScope>, ServiceUsage>,
    holders: BTreeMap<Arc<HolderSession>, HolderUsage>,
    answer_bytes: u64,
}

impl ClaimStore {
    /// Creates an empty store.
    pub fn new(limits: ClaimLimits) -> Self {
        Self {
            limits,
            now_ms: 0,
            next_number: 1,
            claims: BTreeMap::new(),
            ended: BTreeMap::new(),
            claims_by_expiry: BTreeMap::new(),
            services: BTreeMap::new(),
            holders: BTreeMap::new(),
            answer_bytes: 0,
        }
    }

    /// Applies the next command of the log.
    pub fn apply(&mut self, command: ClaimCommand) -> ClaimOutcome {
        if command.version != COMMAND_VERSION {
            return ClaimOutcome::UnsupportedVersion;
        }
        self.now_ms = self.now_ms.max(command.now_ms);
        match command.action {
            ClaimAction::Open(open) => ClaimOutcome::Open(self.open(open)),
            ClaimAction::Settle(settle) => ClaimOutcome::Settle(self.settle(settle)),
            ClaimAction::ExpireHolder(session) => self.expire_holder(&session),
            ClaimAction::Expire => self.expire(),
        }
    }

    /// Returns the state of a claim for a duplicate request, without a log entry.
    ///
    /// Only a leader that has confirmed its leadership may report the result.
    pub fn look_up(&self, key: &ClaimKey, digest: &[u8; 32]) -> ClaimView {
        let Some(record) = self.claims.get(&key.identity()) else {
            return ClaimView::Absent;
        };
        if record.digest != *digest {
            return ClaimView::Mismatch;
        }
        match &record.state {
            ClaimState::Running => ClaimView::Running,
            ClaimState::Done { answer, .. } => ClaimView::Done(answer.as_deref().cloned()),
            ClaimState::Unknown { .. } => ClaimView::Unknown,
        }
    }

    /// Returns the sessions that hold running claims, which a leader compares with the live leases.
    pub fn running_sessions(&self) -> impl Iterator<Item = &HolderSession> {
        let sessions = self.holders.iter().filter(|(_, holder)| !holder.running.is_empty());
        sessions.map(|(session, _)| &**session)
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes charged to the limits for claims and stored answers.
    pub fn used_bytes(&self) -> u64 {
        self.claims.len() as u64 * RECORD_BYTES + self.answer_bytes
    }

    /// Returns the earliest time at which a settled claim may be dropped.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.claims_by_expiry.first_key_value().map(|((expires_ms, _), _)| *expires_ms)
    }

    fn open(&mut self, open: OpenClaim) -> OpenOutcome {
        let texts = [&open.key.team, &open.key.service, &open.key.key, &open.holder.holder];
        if texts.into_iter().any(|text| text.len() > MAX_TEXT_BYTES) {
            return OpenOutcome::Invalid;
        }
        let identity = open.key.identity();
        if let Some(record) = self.claims.get(&identity) {
            return record.outcome_for_open(&open);
        }
        let ended = self.ended.get(&open.holder.holder);
        if ended.is_some_and(|ended| open.holder.session <= ended.session) {
            return OpenOutcome::SessionEnded;
        }
        let service = ServiceScope { team: open.key.team, service: open.key.service };
        let service_claims = self.services.get(&service).map_or(0, |usage| usage.claims);
        let record_bytes = (self.claims.len() as u64 + 1) * RECORD_BYTES;
        if service_claims >= open.capacity || record_bytes > self.limits.record_bytes {
            return OpenOutcome::Full;
        }
        let number = self.next_number;
        self.next_number += 1;
        let record = ClaimRecord {
            number,
            digest: open.digest,
            attempt: open.attempt,
            retention_ms: open.retention_ms,
            service: Arc::new(service),
            holder: Arc::new(open.holder),
            state: ClaimState::Running,
        };
        self.insert(identity, record);
        OpenOutcome::Granted { number }
    }

    /// Adds a record to the store and its indexes, and shares equal names with existing records.
    pub(super) fn insert(&mut self, identity: ClaimIdentity, mut record: ClaimRecord) {
        if let Some((service, _)) = self.services.get_key_value(&record.service) {
            record.service = Arc::clone(service);
        }
        if let Some((holder, _)) = self.holders.get_key_value(&record.holder) {
            record.holder = Arc::clone(holder);
        }
        let service = self.services.entry(Arc::clone(&record.service)).or_default();
        service.claims += 1;
        let answer_bytes = record.state.answer_bytes();
        service.answer_bytes += answer_bytes;
        self.answer_bytes += answer_bytes;
        let holder = self.holders.entry(Arc::clone(&record.holder)).or_default();
        holder.claims += 1;
        match record.state.expires_ms() {
            None => holder.running.insert(record.number, identity),
            Some(expires_ms) => self.claims_by_expiry.insert((expires_ms, record.number), identity),
        };
        self.claims.insert(identity, record);
    }

    fn remove(&mut self, identity: &ClaimIdentity) {
        let Some(record) = self.claims.remove(identity) else {
            return;
        };
        let answer_bytes = record.state.answer_bytes();
        self.answer_bytes -= answer_bytes;
        if let Some(service) = self.services.get_mut(&record.service) {
            service.claims -= 1;
            service.answer_bytes -= answer_bytes;
            if service.claims == 0 {
                self.services.remove(&record.service);
            }
        }
        if let Some(expires_ms) = record.state.expires_ms() {
            self.claims_by_expiry.remove(&(expires_ms, record.number));
        }
        if let Some(holder) = self.holders.get_mut(&record.holder) {
            holder.running.remove(&record.number);
            holder.claims -= 1;
            if holder.claims == 0 {
                self.holders.remove(&record.holder);
            }
        }
    }

    fn settle(&mut self, settle: SettleClaim) -> SettleOutcome {
        let identity = settle.key.identity();
        let Some(record) = self.claims.get(&identity) else {
            return SettleOutcome::NoClaim;
        };
        if record.number != settle.number {
            return SettleOutcome::NoClaim;
        }
        if *record.holder != settle.holder {
            return SettleOutcome::NotHolder;
        }
        match (&record.state, settle.outcome) {
            (ClaimState::Running, SettledAs::NotRun) => {
                self.remove(&identity);
                SettleOutcome::Released
            }
            (ClaimState::Running, SettledAs::Unknown) => {
                self.set_final_state(&identity, None);
                SettleOutcome::Settled
            }
            (ClaimState::Running | ClaimState::Unknown { .. }, SettledAs::Done(answer)) => {
                self.set_final_state(&identity, Some(answer));
                SettleOutcome::Settled
            }
            (ClaimState::Unknown { .. }, SettledAs::Unknown) => SettleOutcome::Settled,
            (ClaimState::Unknown { .. }, SettledAs::NotRun) => SettleOutcome::AlreadyUnknown,
            (ClaimState::Done { answer: stored, .. }, SettledAs::Done(answer)) => {
                // A resent command carries the same answer, unless the store didn't keep it.
                let is_resend = stored.is_none() || stored.as_deref() == answer.as_ref();
                if is_resend { SettleOutcome::Settled } else { SettleOutcome::AlreadyDone }
            }
            (ClaimState::Done { .. }, _) => SettleOutcome::AlreadyDone,
        }
    }

    /// Moves a claim to its final state: done if `done` is `Some`, unknown if it is `None`.
    fn set_final_state(&mut self, identity: &ClaimIdentity, done: Option<Option<StoredAnswer>>) {
        let Some(record) = self.claims.get_mut(identity) else {
            return;
        };
        if let Some(expires_ms) = record.state.expires_ms() {
            self.claims_by_expiry.remove(&(expires_ms, record.number));
        }
        if let Some(holder) = self.holders.get_mut(&record.holder) {
            holder.running.remove(&record.number);
        }
        let expires_ms = self.now_ms.saturating_add(record.retention_ms);
        self.claims_by_expiry.insert((expires_ms, record.number), *identity);
        let Some(answer) = done else {
            record.state = ClaimState::Unknown { expires_ms };
            return;
        };
        let mut stored_answer = None;
        if let (Some(answer), Some(service)) = (answer, self.services.get_mut(&record.service)) {
            let size = answer.size();
            let fits = size <= self.limits.answer_limit
                && self.answer_bytes + size <= self.limits.answer_bytes
                && service.answer_bytes + size <= self.limits.service_answer_bytes;
            if fits {
                self.answer_bytes += size;
                service.answer_bytes += size;
                stored_answer = Some(Box::new(answer));
            }
        }
        record.state = ClaimState::Done { answer: stored_answer, expires_ms };
    }

    fn expire_holder(&mut self, ended: &HolderSession) -> ClaimOutcome {
        let first_session = HolderSession { holder: ended.holder.clone(), session: 0 };
        let mut running = Vec::new();
        for (_, holder) in self.holders.range::<HolderSession, _>(&first_session..=ended) {
            running.extend(holder.running.values().copied());
        }
        for identity in &running {
            self.set_final_state(identity, None);
        }
        self.record_ended_session(ended);
        ClaimOutcome::HolderExpired(running.len() as u64)
    }

    /// Records that a session has ended, so that a delayed `Open` of it is refused: nobody would
    /// settle its claim. At the limit the session that ended first is forgotten.
    fn record_ended_session(&mut self, ended: &HolderSession) {
        let previous = self.ended.get(&ended.holder).map_or(0, |previous| previous.session);
        let session = previous.max(ended.session);
        let ended_session = EndedSession { session, ended_ms: self.now_ms };
        self.ended.insert(ended.holder.clone(), ended_session);
        if self.ended.len() <= MAX_ENDED_SESSIONS {
            return;
        }
        let oldest = self.ended.iter().min_by_key(|(name, ended)| (ended.ended_ms, *name));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.ended.remove(&name);
        }
    }

    fn expire(&mut self) -> ClaimOutcome {
        let mut dropped = 0;
        while let Some((&(expires_ms, _), &identity)) = self.claims_by_expiry.first_key_value() {
            if expires_ms > self.now_ms {
                break;
            }
            if dropped == MAX_EXPIRED_PER_COMMAND {
                return ClaimOutcome::Expired { dropped, more: true };
            }
            self.remove(&identity);
            dropped += 1;
        }
        ClaimOutcome::Expired { dropped, more: false }
    }
}

impl ClaimRecord {
    fn outcome_for_open(&self, open: &OpenClaim) -> OpenOutcome {
        if self.digest != open.digest {
            return OpenOutcome::Mismatch;
        }
        let number = self.number;
        match &self.state {
            ClaimState::Running if *self.holder == open.holder && self.attempt == open.attempt => {
                OpenOutcome::Granted { number }
            }
            ClaimState::Running => {
                OpenOutcome::Running { number, holder: self.holder.holder.clone() }
            }
            ClaimState::Done { answer, .. } => {
                OpenOutcome::Done { number, answer: answer.as_deref().cloned() }
            }
            ClaimState::Unknown { .. } => OpenOutcome::Unknown { number },
        }
    }
}

impl ClaimState {
    fn expires_ms(&self) -> Option<u64> {
        match self {
            Self::Running => None,
            Self::Done { expires_ms, .. } | Self::Unknown { expires_ms } => Some(*expires_ms),
        }
    }

    fn answer_bytes(&self) -> u64 {
        match self {
            Self::Done { answer: Some(answer), .. } => answer.size(),
            _ => 0,
        }
    }
}
