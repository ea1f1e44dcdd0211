//! Load balancer for servers whose load shifts in milliseconds.

pub mod consensus;
pub mod ids;
pub mod logging;
pub mod storage;
pub mod timer;
