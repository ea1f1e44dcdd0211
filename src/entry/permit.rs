//! Permits for server slots.

use std::sync::Arc;

use super::exchange::AttemptFailure;
use super::runtime::ServiceRuntime;
use crate::credit::ServerKey;
use crate::http::CheckoutError;
use crate::route::PickedServer;

/// Permit that occupies one slot of a server; the slot is released when it is finished or dropped.
pub struct SlotPermit {
    pub(super) runtime: Arc<ServiceRuntime>,
    pub(super) picked: Option<PickedServer>,
    pub(super) server: ServerKey,
}

impl SlotPermit {
    /// Key of the server.
    pub fn server(&self) -> ServerKey {
        self.server
    }

    /// Releases the slot after an attempt; `failed` tells whether the server failed.
    pub fn finish(mut self, failed: bool) {
        if let Some(picked) = self.picked.take() {
            self.runtime.finish(picked, failed);
        }
    }

    /// Releases the slot of an attempt that was cancelled because another attempt answered first.
    pub fn finish_superseded(mut self) {
        if let Some(picked) = self.picked.take() {
            self.runtime.finish_superseded(picked);
        }
    }

    /// Releases the slot of an attempt that returned no response head.
    pub fn finish_failed(self, failure: &AttemptFailure) {
        match failure {
            // A failure of the caller or a full connection pool does not indicate a failing server.
            AttemptFailure::CallerFailed(_)
            | AttemptFailure::NotSent(CheckoutError::LimitReached | CheckoutError::ServerRemoved) => {
                drop(self)
            }
            _ => self.finish(true),
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(picked) = self.picked.take() {
            self.runtime.cancel(picked);
        }
    }
}
