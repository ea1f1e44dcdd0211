//! Ask under way, of which a borrower has one at a time.

use super::message::{AskNumber, QuotaGrant};
use super::{BootTime, GRANT_TIME};

/// Ask that is not answered yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingAsk {
    pub number: AskNumber,
    pub sent_at: BootTime,
}

impl PendingAsk {
    /// Time until which the answer is accepted.
    pub fn ends_at(&self) -> BootTime {
        self.sent_at + GRANT_TIME
    }

    /// Takes the pending ask if `grant` answers it; returns it if the answer came in time. The holder relies on
    /// this: what an ask states replaces what was lent before, so no other grant may be accepted.
    pub fn take_answered(
        pending: &mut Option<Self>,
        now: BootTime,
        grant: &QuotaGrant,
    ) -> Option<Self> {
        let ask = pending.take_if(|ask| ask.number == grant.number)?;
        (now < ask.ends_at()).then_some(ask)
    }
}
