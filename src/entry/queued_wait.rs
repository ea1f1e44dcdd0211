//! Cleanup for requests that stop waiting for a slot.

use std::sync::Arc;

use async_channel::Receiver;

use super::permit::SlotPermit;
use super::runtime::ServiceRuntime;
use super::runtime_state::QueueTicket;
use crate::credit::WorkClass;

/// Wait of a queued request. If it is dropped early, the ticket is removed from the queue and a
/// permit that was already sent is returned.
pub(super) struct QueuedWait<'a> {
    pub(super) runtime: &'a Arc<ServiceRuntime>,
    pub(super) class: WorkClass,
    pub(super) receiver: Receiver<SlotPermit>,
    /// The wait has ended with a result, so no cleanup is needed.
    pub(super) is_dequeued: bool,
}

impl Drop for QueuedWait<'_> {
    fn drop(&mut self) {
        if self.is_dequeued {
            return;
        }
        self.receiver.close();
        // A permit may have arrived between the last poll and the close.
        drop(self.receiver.try_recv());
        let is_closed = |ticket: &QueueTicket| ticket.grant.is_closed();
        let removed = self.runtime.lock().queue.remove(self.class, is_closed);
        drop(removed);
    }
}
