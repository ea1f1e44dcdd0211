//! State machine of one claim group.
//!
//! All replicas apply the same commands in the same order and reach the same state. Time comes
//! only from the commands and never moves backwards.
//!
//! Transitions of an existing claim. "Holder" is the session that was granted the claim.
//!
//! | state | command | result | reason |
//! |---|---|---|---|
//! | any | `Open`, other digest | `Mismatch` | the key belongs to another request |
//! | running | `Open`, same holder and attempt | the same `Granted` | the first response was lost; the attempt has not been offered, as its entry waits for the grant |
//! | running | `Open`, any other | `Running` | a second grant could run the request twice |
//! | done, unknown | `Open`, also same attempt | `Done`, `Unknown` | settled states are never granted again |
//! | any | `Settle`, other number | `NoClaim` | it concerns a claim that is released or expired |
//! | any | `Settle`, not the holder | `NotHolder` | only the holder knows whether bytes were offered |
//! | running | `Settle` done | done | the answer is known |
//! | running | `Settle` unknown | unknown | bytes were offered and no answer came |
//! | running | `Settle` not run | released | nothing ran, so a resend may run under a new number |
//! | running | `ExpireHolder` | unknown | the holder may have offered bytes |
//! | unknown | `Settle` done | done | the holder has the answer after all; this only adds knowledge |
//! | unknown | `Settle` unknown | unchanged | resent |
//! | unknown | `Settle` not run | `AlreadyUnknown` | a duplicate may have been told "unknown", which is final unless the answer is known |
//! | done | `Settle` done | unchanged, `Settled` if equal, else `AlreadyDone` | a final answer never changes |
//! | done | `Settle` unknown, not run | `AlreadyDone` | a final answer never changes |
//! | running | `Expire` | unchanged | dropping it would allow a second run |
//! | done, unknown | `Expire` past retention | dropped | the retention promised to the caller is over |

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::command::{
    COMMAND_VERSION, ClaimAction, ClaimCommand, ClaimKey, ClaimOutcome, ClaimView, HolderSession,
    OpenClaim, OpenOutcome, SettleClaim, SettleOutcome, SettledAs, StoredAnswer,
};
use crate::ids::{ClaimNumber, ProcessName, ServiceName, TeamName};

/// Bytes that one claim without its answer counts for.
///
/// `examples/claim_cost.rs` measures 291 bytes of resident memory per claim at 1,000,000 claims
/// with shared names; the rest is room for services and holders that have few claims each.
pub const RECORD_BYTES: u64 = 512;

/// Longest name or key that is accepted, in bytes.
pub const TEXT_BYTES: usize = 1_024;

/// Claims that one `Expire` drops at most, so that one command can't stall the log.
pub const EXPIRE_BATCH: u64 = 10_000;

/// Ended sessions that are remembered; an entry counts once.
pub const ENDED_SESSIONS: usize = 4_096;

/// Identity of a claim: the hash of team, service and key.
pub(super) type ClaimIdentity = [u8; 32];

/// Bounds of a group; part of the replicated state, as replicas must refuse the same commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimLimits {
    /// Bytes of all claims without their answers, at `RECORD_BYTES` each.
    pub record_bytes: u64,
    /// Bytes of all stored answers; when they are used up, only the fact of completion is kept.
    pub answer_bytes: u64,
    /// Bytes of one service's stored answers, so that one team can't use up the others' room.
    pub service_answer_bytes: u64,
    /// Bytes of one stored answer.
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

/// A service within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(super) struct ServiceScope {
    pub(super) team: TeamName,
    pub(super) service: ServiceName,
}

/// What a service uses of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct ServiceUse {
    claims: u64,
    answer_bytes: u64,
}

/// Claims of one holder session.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HolderUse {
    claims: u64,
    running: BTreeMap<ClaimNumber, ClaimIdentity>,
}

/// Highest session of an entry that has ended.
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

/// Claims of one group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimStore {
    pub(super) limits: ClaimLimits,
    pub(super) now_ms: u64,
    pub(super) next_number: ClaimNumber,
    pub(super) claims: BTreeMap<ClaimIdentity, ClaimRecord>,
    pub(super) ended: BTreeMap<ProcessName, EndedSession>,
    expiries: BTreeMap<(u64, ClaimNumber), ClaimIdentity>,
    services: BTreeMap<Arc<ServiceScope>, ServiceUse>,
    holders: BTreeMap<Arc<HolderSession>, HolderUse>,
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
            expiries: BTreeMap::new(),
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

    /// Returns the state of a claim for a duplicate request, without a command.
    ///
    /// Only a leader that has confirmed its leadership may answer with it.
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

    /// Returns the sessions that hold running claims; a leader compares them with the live leases.
    pub fn running_sessions(&self) -> impl Iterator<Item = &HolderSession> {
        let sessions = self.holders.iter().filter(|(_, holder)| !holder.running.is_empty());
        sessions.map(|(session, _)| &**session)
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the bytes that count against the limits.
    pub fn used_bytes(&self) -> u64 {
        self.claims.len() as u64 * RECORD_BYTES + self.answer_bytes
    }

    /// Returns the time at which the next settled claim may be dropped.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        self.expiries.first_key_value().map(|((expires_ms, _), _)| *expires_ms)
    }

    fn open(&mut self, open: OpenClaim) -> OpenOutcome {
        let names = [&open.key.team, &open.key.service, &open.key.key, &open.holder.holder];
        if names.into_iter().any(|name| name.len() > TEXT_BYTES) {
            return OpenOutcome::Invalid;
        }
        let identity = open.key.identity();
        if let Some(record) = self.claims.get(&identity) {
            return record.reopen(&open);
        }
        let ended = self.ended.get(&open.holder.holder);
        if ended.is_some_and(|ended| open.holder.session <= ended.session) {
            return OpenOutcome::SessionEnded;
        }
        let service = ServiceScope { team: open.key.team, service: open.key.service };
        let used = self.services.get(&service).map_or(0, |service| service.claims);
        let bytes = (self.claims.len() as u64 + 1) * RECORD_BYTES;
        if used >= open.capacity || bytes > self.limits.record_bytes {
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

    /// Adds a record and its index entries; shares the names with earlier records.
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
            Some(expires_ms) => self.expiries.insert((expires_ms, record.number), identity),
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
            self.expiries.remove(&(expires_ms, record.number));
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
                self.finish(&identity, None);
                SettleOutcome::Settled
            }
            (ClaimState::Running | ClaimState::Unknown { .. }, SettledAs::Done(answer)) => {
                self.finish(&identity, Some(answer));
                SettleOutcome::Settled
            }
            (ClaimState::Unknown { .. }, SettledAs::Unknown) => SettleOutcome::Settled,
            (ClaimState::Unknown { .. }, SettledAs::NotRun) => SettleOutcome::AlreadyUnknown,
            (ClaimState::Done { answer: stored, .. }, SettledAs::Done(answer)) => {
                // A resent settlement is equal, unless the store kept only the fact.
                let resent = stored.is_none() || stored.as_deref() == answer.as_ref();
                if resent { SettleOutcome::Settled } else { SettleOutcome::AlreadyDone }
            }
            (ClaimState::Done { .. }, _) => SettleOutcome::AlreadyDone,
        }
    }

    /// Sets the final state: done with `Some`, unknown with `None`.
    fn finish(&mut self, identity: &ClaimIdentity, done: Option<Option<StoredAnswer>>) {
        let Some(record) = self.claims.get_mut(identity) else {
            return;
        };
        if let Some(expires_ms) = record.state.expires_ms() {
            self.expiries.remove(&(expires_ms, record.number));
        }
        if let Some(holder) = self.holders.get_mut(&record.holder) {
            holder.running.remove(&record.number);
        }
        let expires_ms = self.now_ms.saturating_add(record.retention_ms);
        self.expiries.insert((expires_ms, record.number), *identity);
        let Some(answer) = done else {
            record.state = ClaimState::Unknown { expires_ms };
            return;
        };
        let mut stored = None;
        if let (Some(answer), Some(service)) = (answer, self.services.get_mut(&record.service)) {
            let size = answer.size();
            let fits = size <= self.limits.answer_limit
                && self.answer_bytes + size <= self.limits.answer_bytes
                && service.answer_bytes + size <= self.limits.service_answer_bytes;
            if fits {
                self.answer_bytes += size;
                service.answer_bytes += size;
                stored = Some(Box::new(answer));
            }
        }
        record.state = ClaimState::Done { answer: stored, expires_ms };
    }

    fn expire_holder(&mut self, ended: &HolderSession) -> ClaimOutcome {
        let first = HolderSession { holder: ended.holder.clone(), session: 0 };
        let mut running = Vec::new();
        for (_, holder) in self.holders.range::<HolderSession, _>(&first..=ended) {
            running.extend(holder.running.values().copied());
        }
        for identity in &running {
            self.finish(identity, None);
        }
        self.remember_ended(ended);
        ClaimOutcome::HolderExpired(running.len() as u64)
    }

    /// Keeps a delayed `Open` of the ended session from creating a claim that nobody would settle.
    fn remember_ended(&mut self, ended: &HolderSession) {
        let known = self.ended.get(&ended.holder).map_or(0, |known| known.session);
        let session = known.max(ended.session);
        let ended_session = EndedSession { session, ended_ms: self.now_ms };
        self.ended.insert(ended.holder.clone(), ended_session);
        if self.ended.len() <= ENDED_SESSIONS {
            return;
        }
        let oldest = self.ended.iter().min_by_key(|(name, ended)| (ended.ended_ms, *name));
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.ended.remove(&name);
        }
    }

    fn expire(&mut self) -> ClaimOutcome {
        let mut dropped = 0;
        while let Some((&(expires_ms, _), &identity)) = self.expiries.first_key_value() {
            if expires_ms > self.now_ms {
                break;
            }
            if dropped == EXPIRE_BATCH {
                return ClaimOutcome::Expired { dropped, more: true };
            }
            self.remove(&identity);
            dropped += 1;
        }
        ClaimOutcome::Expired { dropped, more: false }
    }
}

impl ClaimRecord {
    fn reopen(&self, open: &OpenClaim) -> OpenOutcome {
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
