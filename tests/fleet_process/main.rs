//! Fleet mode as processes of the binary.
//!
//! A program of its own, because a child that is just being started holds the listeners of its parent
//! for a moment: a member that a thread of the same program restarts found its port in use.

mod blocked_log;
#[allow(dead_code, reason = "shared with the tests that start no processes")]
#[path = "../fleet/harness.rs"]
mod harness;
mod metrics_page;
mod soak;
