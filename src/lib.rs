//! Load balancer for servers whose load shifts in milliseconds.

pub mod ids;
pub mod logging;
pub mod timer;
