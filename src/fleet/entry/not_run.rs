//! Proof that a server did not run a request.
//!
//! Only with it may a request be sent again that runs at most once, or its caller be told that it did not
//! run.

use super::outgoing::OutgoingRequest;
use crate::fleet::dialect::HeaderNames;
use crate::http::ResponseHead;

/// Statement of a server about one request; only [`NotRunProof::of`] creates it.
#[derive(Debug)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof in `head`, if the server states there that it did not run `request`.
    ///
    /// The head must bear the id of the request. One without an id may be a second copy of an answer to an
    /// earlier request or to a health check. A request without an id has a connection of its own.
    pub fn of(names: &HeaderNames, request: &OutgoingRequest, head: &ResponseHead) -> Option<Self> {
        let echoed = head.headers.get(names.request_id);
        let expected = request.request_id.as_deref();
        let is_own = expected.is_none_or(|expected| echoed.is_some_and(|id| id == expected));
        let is_stated = head.status == 421 || head.headers.get(names.not_run).is_some();
        (is_own && is_stated).then_some(Self(()))
    }
}
