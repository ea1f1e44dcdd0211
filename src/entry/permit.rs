//! Permits for one slot of a server.

use std::sync::Arc;

use super::exchange::AttemptFailure;
use super::runtime::ServiceRuntime;
use crate::credit::ServerKey;
use crate::http::CheckoutError;
use crate::route::PickedServer;

/// Right to occupy one slot of a server; given back when finished or dropped.
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

    /// Ends the attempt and tells whether the server failed.
    pub fn finish(mut self, failed: bool) {
        if let Some(picked) = self.picked.take() {
            self.runtime.finish(picked, failed);
        }
    }

    /// Ends an attempt that was given up because another one answered first.
    pub fn finish_slow(mut self) {
        if let Some(picked) = self.picked.take() {
            self.runtime.finish_slow(picked);
        }
    }

    /// Ends an attempt that yielded no response head.
    pub fn finish_failed(self, failure: &AttemptFailure) {
        match failure {
            // The caller's failure and a full connection pool say nothing about the server.
            AttemptFailure::CallerFailed(_)
            | AttemptFailure::NotOffered(
                CheckoutError::LimitReached | CheckoutError::ServerRemoved,
            ) => drop(self),
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
