//! Fleet mode: state machines by table and seed, and real processes on loopback.

mod balance;
mod blocked_log;
mod budget;
mod entry;
mod harness;
mod members;
mod soak;
mod state;
