//! Bounds the bodies that an entry holds in memory.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of all request bodies together. One body may have up to 64 MiB, and the smallest machine
/// has 160 MB.
const MAX_REQUEST_BYTES: usize = 72 << 20;

/// Maximum size of all long responses together. With the request bodies it leaves a third of the memory of
/// the smallest machine to everything else.
const MAX_RESPONSE_BYTES: usize = 24 << 20;

/// Sum of the bodies that an entry holds. Clones share the sum.
#[derive(Debug, Clone)]
pub struct HeldBytes {
    total: Rc<Cell<usize>>,
    limit: usize,
}

/// Part of the sum that one body takes, until it is dropped.
#[derive(Debug)]
pub struct HeldShare {
    total: Rc<Cell<usize>>,
    limit: usize,
    bytes: usize,
}

impl HeldBytes {
    /// Bound for the bodies of requests.
    pub fn of_requests() -> Self {
        Self { total: Rc::default(), limit: MAX_REQUEST_BYTES }
    }

    /// Bound for the bodies of responses.
    pub fn of_responses() -> Self {
        Self { total: Rc::default(), limit: MAX_RESPONSE_BYTES }
    }

    /// Returns a share without a body.
    pub fn new_share(&self) -> HeldShare {
        HeldShare { total: Rc::clone(&self.total), limit: self.limit, bytes: 0 }
    }

    /// Bytes of all shares.
    pub fn total(&self) -> usize {
        self.total.get()
    }
}

impl HeldShare {
    /// Whether memory is reserved.
    pub fn is_reserved(&self) -> bool {
        self.bytes > 0
    }

    /// Raises the share to `bytes`; returns whether there is room for it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let total = self.total.get() + bytes.saturating_sub(self.bytes);
        if total > self.limit {
            return false;
        }
        self.total.set(total);
        self.bytes = self.bytes.max(bytes);
        true
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
