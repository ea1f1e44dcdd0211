//! The entry's side of one non-idempotent request, as types that follow each other.
//!
//! `UnclaimedRequest` → `GrantedClaim` → `OfferedClaim` → `SettleClaim` (a command to commit).
//! Sending code takes a `SendPermit` by value. Only `GrantedClaim::offer` makes one, and it
//! consumes the grant, so a request can't be sent without a grant or twice with one:
//!
//! ```compile_fail,E0382
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::{GrantedClaim, SendPermit};
//! # fn send(_permit: SendPermit) {}
//! fn send_twice(granted: GrantedClaim) {
//!     let Ok((_offered, permit)) = granted.offer(Instant::now()) else { return };
//!     send(permit);
//!     send(permit);
//! }
//! ```
//!
//! ```compile_fail,E0382
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::GrantedClaim;
//! fn offer_twice(granted: GrantedClaim) {
//!     let _first = granted.offer(Instant::now());
//!     let _second = granted.offer(Instant::now());
//! }
//! ```
//!
//! ```compile_fail,E0599
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::UnclaimedRequest;
//! fn offer_without_grant(request: UnclaimedRequest) {
//!     let _ = request.offer(Instant::now());
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
//! An offered claim has no way to be released as not run without a reason:
//!
//! ```compile_fail,E0599
//! # use std::time::Instant;
//! # use curranthollow::claim::guard::GrantedClaim;
//! fn release_after_offer(granted: GrantedClaim) {
//!     let Ok((offered, _permit)) = granted.offer(Instant::now()) else { return };
//!     let _ = offered.release();
//! }
//! ```
//!
//! The caller is told "not run" only after the group has answered the settlement with `Released`.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use async_channel::Sender;

use super::command::{OpenClaim, OpenOutcome, SettleClaim, SettledAs, StoredAnswer};
use crate::ids::{ClaimNumber, ProcessName};

/// Receives the settlements of claims that were dropped; its capacity is the bound of open
/// requests, so that there is always room.
pub type DroppedClaims = Sender<SettleClaim>;

/// A request that has no claim yet.
#[derive(Debug)]
pub struct UnclaimedRequest {
    open: OpenClaim,
    offer_until: Instant,
    dropped: DroppedClaims,
}

/// What the group's answer makes of a request.
#[derive(Debug)]
pub enum ClaimResolution {
    /// Run it.
    Granted(GrantedClaim),
    /// Another attempt may be running it; wait for its end (see `waiter`).
    Duplicate { request: UnclaimedRequest, holder: ProcessName },
    /// It ran; `None` stands for an answer that isn't stored.
    Done(Option<StoredAnswer>),
    /// It may have run.
    Unknown,
    /// The key belongs to another request (`422`).
    Mismatch,
    /// No claim could be made, and this attempt was not run.
    Refused(OpenOutcome),
}

/// The right to run a request, before any byte is offered. Dropping it releases the claim.
#[derive(Debug)]
#[must_use]
pub struct GrantedClaim {
    held: HeldClaim,
    offer_until: Instant,
}

/// A claim whose request is being sent. Dropping it settles the claim as unknown.
#[derive(Debug)]
#[must_use]
pub struct OfferedClaim {
    held: HeldClaim,
}

/// Proof of an offered claim; sending code consumes it before the first byte.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct SendPermit {
    number: ClaimNumber,
    /// Numbers are unique only within a claim group; the attempt tells the groups apart.
    attempt: u64,
}

/// A claim and the outcome that it settles with when it is dropped.
#[derive(Debug)]
struct HeldClaim {
    attempt: u64,
    settle: Option<Box<SettleClaim>>,
    dropped: DroppedClaims,
}

impl UnclaimedRequest {
    /// Creates a request at the time `now`; `open.attempt` must be random and new.
    ///
    /// It can be offered until `deadline`, and only within the claim's retention: an entry that
    /// freezes for longer could otherwise wake up after its claim was dropped as unknown and the
    /// key was granted again.
    pub fn new(open: OpenClaim, now: Instant, deadline: Instant, dropped: DroppedClaims) -> Self {
        let retained = now.checked_add(Duration::from_millis(open.retention_ms));
        let offer_until = retained.map_or(deadline, |retained| deadline.min(retained));
        Self { open, offer_until, dropped }
    }

    /// Returns the command to commit; it may be sent again until `resolve` is called.
    pub fn command(&self) -> &OpenClaim {
        &self.open
    }

    /// Takes the group's answer to the command.
    ///
    /// Later answers to the same attempt have no request left to resolve, so a repeated grant
    /// can't become a second send.
    pub fn resolve(self, outcome: OpenOutcome) -> ClaimResolution {
        match outcome {
            OpenOutcome::Granted { number } => {
                let offer_until = self.offer_until;
                ClaimResolution::Granted(GrantedClaim { held: self.hold(number), offer_until })
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

    fn hold(self, number: ClaimNumber) -> HeldClaim {
        let settle = SettleClaim {
            key: self.open.key,
            number,
            holder: self.open.holder,
            outcome: SettledAs::NotRun,
        };
        HeldClaim {
            attempt: self.open.attempt,
            settle: Some(Box::new(settle)),
            dropped: self.dropped,
        }
    }
}

impl GrantedClaim {
    /// Returns the claim's number.
    pub fn number(&self) -> ClaimNumber {
        self.held.number()
    }

    /// Allows one send. From here on the request counts as possibly run.
    ///
    /// # Errors
    /// Returns the claim, to be released, when the time for the offer is over.
    pub fn offer(mut self, now: Instant) -> Result<(OfferedClaim, SendPermit), Self> {
        if now >= self.offer_until {
            return Err(self);
        }
        let (number, attempt) = (self.number(), self.held.attempt);
        if let Some(settle) = &mut self.held.settle {
            settle.outcome = SettledAs::Unknown;
        }
        Ok((OfferedClaim { held: self.held }, SendPermit { number, attempt }))
    }

    /// Releases the claim, as no byte was offered.
    #[must_use]
    pub fn release(self) -> Option<SettleClaim> {
        self.held.settle(SettledAs::NotRun)
    }
}

impl OfferedClaim {
    /// Returns the claim's number.
    pub fn number(&self) -> ClaimNumber {
        self.held.number()
    }

    /// Settles with the complete answer; `None` for one over the limit.
    #[must_use]
    pub fn done(self, answer: Option<StoredAnswer>) -> Option<SettleClaim> {
        self.held.settle(SettledAs::Done(answer))
    }

    /// Settles as possibly run.
    #[must_use]
    pub fn unknown(self) -> Option<SettleClaim> {
        self.held.settle(SettledAs::Unknown)
    }

    /// Releases the claim, as the unused permit shows that no byte was offered.
    ///
    /// # Errors
    /// Returns both when the permit belongs to another claim.
    pub fn withdraw(self, permit: SendPermit) -> Result<Option<SettleClaim>, (Self, SendPermit)> {
        if (permit.number, permit.attempt) != (self.number(), self.held.attempt) {
            return Err((self, permit));
        }
        Ok(self.held.settle(SettledAs::NotRun))
    }

    /// Releases the claim, as the server refused with a status that the service's settings declare
    /// as sent before execution.
    ///
    /// # Errors
    /// Returns the claim when the status isn't declared.
    pub fn refused(
        self,
        status: u16,
        declared: &BTreeSet<u16>,
    ) -> Result<Option<SettleClaim>, Self> {
        if !declared.contains(&status) {
            return Err(self);
        }
        Ok(self.held.settle(SettledAs::NotRun))
    }
}

impl HeldClaim {
    fn number(&self) -> ClaimNumber {
        self.settle.as_ref().map_or(0, |settle| settle.number)
    }

    fn settle(mut self, outcome: SettledAs) -> Option<SettleClaim> {
        let mut settle = self.settle.take()?;
        settle.outcome = outcome;
        Some(*settle)
    }
}

impl Drop for HeldClaim {
    fn drop(&mut self) {
        let Some(settle) = self.settle.take() else {
            return;
        };
        // When the channel is closed, the claim stays running and becomes unknown with the
        // entry's session.
        let _ = self.dropped.try_send(*settle);
    }
}
