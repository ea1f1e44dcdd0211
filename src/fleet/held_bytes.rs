//! Bounds the request bodies that an entry holds in memory.

use std::cell::Cell;
use std::rc::Rc;

/// Maximum size of all request bodies together. One body may have up to 64 MiB, and the smallest machine
/// has 160 MB.
const MAX_HELD_BYTES: usize = 72 << 20;

/// Sum of the request bodies that an entry holds. Clones share the sum.
#[derive(Debug, Clone, Default)]
pub struct HeldBytes {
    total: Rc<Cell<usize>>,
}

/// Part of the sum that one request takes, until it is dropped.
#[derive(Debug)]
pub struct HeldShare {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl HeldBytes {
    /// Returns the share of a request without a body.
    pub fn new_share(&self) -> HeldShare {
        HeldShare { total: Rc::clone(&self.total), bytes: 0 }
    }

    /// Bytes held by all requests.
    pub fn total(&self) -> usize {
        self.total.get()
    }
}

impl HeldShare {
    /// Raises the share to `bytes`; returns whether there is room for it.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let total = self.total.get() + bytes.saturating_sub(self.bytes);
        if total > MAX_HELD_BYTES {
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
