//! Typestate of one non-idempotent request at an entry.
//!
//! `UnclaimedRequest` → `GrantedClaim` → `InFlightClaim` → `SettleClaim` (a command to commit).
//! Sending code takes a `SendPermit` by value. Only `GrantedClaim::begin_send` creates one, and it
//! consumes the grant, so a request can't be sent without a grant or twice with one:
//!
//! ```compile_fail,E0382
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::{GrantedClaim, SendPermit};
//! # fn send(_permit: SendPermit) {}
//! fn send_twice(granted: GrantedClaim) {
//!     let Ok((_in_flight, permit)) = granted.begin_send(Instant::now()) else { return };
//!     send(permit);
//!     send(permit);
//! }
//! ```
//!
//! ```compile_fail,E0382
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::GrantedClaim;
//! fn begin_send_twice(granted: GrantedClaim) {
//!     let _first = granted.begin_send(Instant::now());
//!     let _second = granted.begin_send(Instant::now());
//! }
//! ```
//!
//! ```compile_fail,E0599
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::UnclaimedRequest;
//! fn send_without_grant(request: UnclaimedRequest) {
//!     let _ = request.begin_send(Instant::now());
//! }
//! ```
//!
//! ```compile_fail,E0451
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::SendPermit;
//! fn forge_permit() -> SendPermit {
//!     SendPermit { number: 1, attempt: 1 }
//! }
//! ```
//!
//! A claim in flight can't be released as not run without evidence:
//!
//! ```compile_fail,E0599
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::GrantedClaim;
//! fn release_after_begin_send(granted: GrantedClaim) {
//!     let Ok((in_flight, _permit)) = granted.begin_send(Instant::now()) else { return };
//!     let _ = in_flight.release();
//! }
//! ```
//!
//! The caller is told "not run" only after the group has replied `Released` to the settlement.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_channel::Sender;

use super::command::{OpenClaim, OpenOutcome, SettleClaim, SettledAs, StoredAnswer};
use crate::ids::{ClaimNumber, ProcessName};

/// Channel for the settlements of claims that were dropped. Its capacity is the limit of concurrent
/// requests, so it never is full.
pub type SettlementSender = Sender<SettleClaim>;

/// A request that has no claim yet.
#[derive(Debug)]
pub struct UnclaimedRequest {
    open: OpenClaim,
    send_deadline: Instant,
    settlements: SettlementSender,
}

/// How a request proceeds after the group's reply to its `OpenClaim`.
#[derive(Debug)]
pub enum ClaimResolution {
    /// The request may run.
    Granted(GrantedClaim),
    /// Another attempt may be running the request; wait for its end with a `DuplicateWaiter`.
    Duplicate { request: UnclaimedRequest, holder: ProcessName },
    /// The request ran; `None` if its answer isn't stored.
    Done(Option<StoredAnswer>),
    /// The request may have run.
    Unknown,
    /// The key belongs to another request (`422`).
    Mismatch,
    /// The group created no claim, and this attempt was not run.
    Refused(OpenOutcome),
}

/// The right to run a request of which no byte was sent. Dropping it releases the claim.
#[derive(Debug)]
#[must_use]
pub struct GrantedClaim {
    guard: ClaimGuard,
    send_deadline: Instant,
}

/// A claim whose request may have been sent. Dropping it settles the claim as unknown.
#[derive(Debug)]
#[must_use]
pub struct InFlightClaim {
    guard: ClaimGuard,
}

/// Permission to send a request once; sending code consumes it before the first byte.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendPermit {
    number: ClaimNumber,
    /// Distinguishes claims of different groups, as numbers are unique only within a group.
    attempt: u64,
}

/// Drop guard that sends the prepared settlement, unless the claim was settled before.
#[derive(Debug)]
struct ClaimGuard {
    attempt: u64,
    settle: Option<Box<SettleClaim>>,
    settlements: SettlementSender,
}

impl UnclaimedRequest {
    /// Creates a request; `open.attempt` must be a fresh random id.
    ///
    /// The request can be sent until `deadline`, but only within one retention period after `now`: an
    /// entry that is suspended for longer could otherwise resume after its claim was settled as
    /// unknown and dropped, and the key was granted again.
    pub fn new(
        open: OpenClaim,
        now: Instant,
        deadline: Instant,
        settlements: SettlementSender,
    ) -> Self {
        let retention_end = now.checked_add(Duration::from_millis(open.retention_ms));
        let send_deadline = retention_end.map_or(deadline, |end| deadline.min(end));
        Self { open, send_deadline, settlements }
    }

    /// Returns the command to commit, which may be resent until `resolve` is called.
    pub fn command(&self) -> &OpenClaim {
        &self.open
    }

    /// Consumes the request with the group's reply to the command.
    ///
    /// Further replies to the same attempt find no request to resolve, so a repeated grant can't
    /// cause a second send.
    pub fn resolve(self, outcome: OpenOutcome) -> ClaimResolution {
        match outcome {
            OpenOutcome::Granted { number } => {
                let send_deadline = self.send_deadline;
                ClaimResolution::Granted(GrantedClaim {
                    guard: self.into_guard(number),
                    send_deadline,
                })
            }
            OpenOutcome::Running { holder, .. } => {
                ClaimResolution::Duplicate { request: self, holder }
            }
            OpenOutcome::Done { answer, .. } => ClaimResolution::Done(answer),
            OpenOutcome::Unknown { .. } => ClaimResolution::Unknown,
            OpenOutcome::Mismatch => ClaimResolution::Mismatch,
            OpenOutcome::Full | OpenOutcome::SessionEnded | OpenOutcome::Invalid => {
                ClaimResolution::Refused(outcome)
            }
        }
    }

    fn into_guard(self, number: ClaimNumber) -> ClaimGuard {
        let settle = SettleClaim {
            key: self.open.key,
            number,
            holder: self.open.holder,
            outcome: SettledAs::NotRun,
        };
        ClaimGuard {
            attempt: self.open.attempt,
            settle: Some(Box::new(settle)),
            settlements: self.settlements,
        }
    }
}

impl GrantedClaim {
    pub fn number(&self) -> ClaimNumber {
        self.guard.number()
    }

    /// Permits one send. From here on the request counts as possibly run.
    ///
    /// # Errors
    /// Returns the claim, which should be released, if the send deadline has passed.
    pub fn begin_send(mut self, now: Instant) -> Result<(InFlightClaim, SendPermit), Self> {
        if now >= self.send_deadline {
            return Err(self);
        }
        let (number, attempt) = (self.number(), self.guard.attempt);
        if let Some(settle) = &mut self.guard.settle {
            settle.outcome = SettledAs::Unknown;
        }
        Ok((InFlightClaim { guard: self.guard }, SendPermit { number, attempt }))
    }

    /// Releases the claim as not run, since no byte was sent.
    #[must_use]
    pub fn release(self) -> Option<SettleClaim> {
        self.guard.settle(SettledAs::NotRun)
    }
}

impl InFlightClaim {
    pub fn number(&self) -> ClaimNumber {
        self.guard.number()
    }

    /// Settles the claim as done; `answer` is `None` if it exceeds the size limit.
    #[must_use]
    pub fn settle_done(self, answer: Option<StoredAnswer>) -> Option<SettleClaim> {
        self.guard.settle(SettledAs::Done(answer))
    }

    /// Settles the claim as unknown: the request may have run.
    #[must_use]
    pub fn settle_unknown(self) -> Option<SettleClaim> {
        self.guard.settle(SettledAs::Unknown)
    }

    /// Releases the claim as not run; the unused permit proves that no byte was sent.
    ///
    /// # Errors
    /// Returns both arguments if the permit belongs to another claim.
    pub fn release_unsent(
        self,
        permit: SendPermit,
    ) -> Result<Option<SettleClaim>, (Self, SendPermit)> {
        if (permit.number, permit.attempt) != (self.number(), self.guard.attempt) {
            return Err((self, permit));
        }
        Ok(self.guard.settle(SettledAs::NotRun))
    }

    /// Releases the claim as not run, since the server responded with a status that the service's
    /// settings declare as sent before execution.
    ///
    /// # Errors
    /// Returns the claim if the status isn't declared.
    pub fn release_refused(
        self,
        status: u16,
        not_run_statuses: &BTreeSet<u16>,
    ) -> Result<Option<SettleClaim>, Self> {
        if !not_run_statuses.contains(&status) {
            return Err(self);
        }
        Ok(self.guard.settle(SettledAs::NotRun))
    }
}

impl ClaimGuard {
    fn number(&self) -> ClaimNumber {
        self.settle.as_ref().map_or(0, |settle| settle.number)
    }

    fn settle(mut self, outcome: SettledAs) -> Option<SettleClaim> {
        let mut settle = self.settle.take()?;
        settle.outcome = outcome;
        Some(*settle)
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let Some(settle) = self.settle.take() else {
            return;
        };
        // If the channel is closed, the claim stays running and becomes unknown when the entry's
        // session expires.
        let _ = self.settlements.try_send(*settle);
    }
}
