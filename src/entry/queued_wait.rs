//! Wait of a request for a slot.

use std::sync::Arc;

use async_channel::Receiver;

use super::permit::SlotPermit;
use super::runtime::ServiceRuntime;
use super::runtime_state::QueueTicket;
use crate::credit::WorkClass;

/// Wait of a queued request; a request that gives up leaves the queue and returns its permit.
pub(super) struct QueuedWait<'a> {
    pub(super) runtime: &'a Arc<ServiceRuntime>,
    pub(super) class: WorkClass,
    pub(super) receiver: Receiver<SlotPermit>,
    /// The ticket has left the queue.
    pub(super) is_over: bool,
}

impl Drop for QueuedWait<'_> {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        self.receiver.close();
        // A permit may have arrived between the last look and the close.
        drop(self.receiver.try_recv());
        let is_closed = |ticket: &QueueTicket| ticket.grant.is_closed();
        let removed = self.runtime.lock().queue.remove(self.class, is_closed);
        drop(removed);
    }
}
