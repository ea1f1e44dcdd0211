//! End-to-end tests: each starts real control and entry processes on the loopback interface and checks
//! the guarantees that the design document states.
//!
//! `CURRANTHOLLOW_TEST_SEED` sets the seed of the random number generators (default 1), and
//! `CURRANTHOLLOW_CHAOS_SECONDS` the duration of the chaos test (default 20).

mod answers;
mod chaos;
mod claims;
mod client;
mod cluster;
mod golden;
mod malformed;
#[path = "../common/mutation.rs"]
mod mutation;
mod partitions;
mod proxy;
mod restarts;
mod settings;
mod stop_limit;
mod stops;
mod support;
mod teams;
