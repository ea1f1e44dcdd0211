//! Guards the promises of the design page over real processes on loopback.
//!
//! `CURRANTHOLLOW_TEST_SEED` sets the seed of random choices (default 1), and
//! `CURRANTHOLLOW_CHAOS_SECONDS` the duration of the chaos test (default 20).

mod answers;
mod chaos;
mod claims;
mod client;
mod cluster;
mod golden;
mod partitions;
mod proxy;
mod restarts;
mod settings;
mod support;
mod teams;
