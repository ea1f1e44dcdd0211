//! Load balancer for servers whose load shifts in milliseconds.

pub mod claim;
pub mod directory;
pub mod ids;
pub mod logging;
pub mod timer;
